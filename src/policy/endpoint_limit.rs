//! A gateway's share of the request rate that an endpoint accepts from all gateways together.
//!
//! Gateways exchange their demand for the endpoint, and each uses the limit in proportion to its
//! own demand. A gateway's own demand is delayed by the time it takes to reach the others: with
//! current values, the shares of gateways whose demand rises at the same time would add up to more
//! than the limit. A gateway that cannot know the demand of the others uses an equal share.

use std::collections::VecDeque;

/// The lowest limit that is enforced: at zero, no request would be sent whose response could show
/// that the limit has ended.
const LIMIT_MIN_PER_S: f64 = 0.1;
/// The highest limit; no endpoint serves more.
const LIMIT_MAX_PER_S: f64 = 1e6;
/// The time constant of the moving average of demand.
const DEMAND_TIME_CONSTANT_MS: f64 = 2_000.0;
/// The delay after which the other gateways know a gateway's demand.
const DEMAND_DELAY_MS: u64 = 1_000;
/// The interval between samples of past demand.
const SAMPLE_EVERY_MS: u64 = 100;
/// The fraction of an equal share that a gateway may always use: without it, a gateway whose demand
/// the others do not know yet could not send anything.
const MIN_SHARE: f64 = 0.25;
/// The burst of all gateways together: the limit over this time, and a few more requests.
const BURST_MS: f64 = 1_000.0;
const BURST_REQUESTS: f64 = 2.0;
/// A gateway's burst is at least one request while the number of gateways does not exceed the limit
/// per second by more than this.
const WHOLE_REQUEST_MARGIN: f64 = 3.0;
/// Within a window, endpoints tolerate this multiple of their limit and a few more requests.
const TOLERANCE_WINDOW_S: f64 = 4.0;
const TOLERANCE_FACTOR: f64 = 1.5;
const TOLERANCE_REQUESTS: f64 = 5.0;
/// The margin, in standard deviations, between the mean of randomly admitted requests and the
/// tolerance.
const RANDOM_MARGIN_DEVIATIONS: f64 = 5.0;
/// The burst of all gateways together when they admit requests at random.
const RANDOM_BURST_REQUESTS: f64 = 1.0;

/// What this gateway knows about the other gateways that send to an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OtherGateways {
    /// The number of gateways, including this one.
    pub gateways: u32,
    /// The demand of the others in requests per minute; `None` when it is not reliably known.
    pub demand_per_min: Option<u32>,
}

/// An exponential moving average of the rate of requests that could go to an endpoint.
#[derive(Debug, Clone, Copy, Default)]
struct Demand {
    per_s: f64,
    at_ms: u64,
}

impl Demand {
    fn add(&mut self, now_ms: u64) {
        self.per_s = self.per_s(now_ms) + 1_000.0 / DEMAND_TIME_CONSTANT_MS;
        self.at_ms = now_ms;
    }

    fn per_s(&self, now_ms: u64) -> f64 {
        self.per_s * (-(now_ms.saturating_sub(self.at_ms) as f64) / DEMAND_TIME_CONSTANT_MS).exp()
    }

    fn per_min(&self, now_ms: u64) -> u32 {
        (self.per_s(now_ms) * 60.0).round() as u32
    }
}

/// One gateway's token bucket for the limit of one endpoint.
#[derive(Debug, Clone)]
pub struct EndpointLimit {
    per_s: f64,
    /// Requests that may be sent immediately.
    tokens: f64,
    refilled_at_ms: u64,
    demand: Demand,
    /// Samples of past demand, oldest first.
    samples: VecDeque<Demand>,
}

impl EndpointLimit {
    /// A limit of `per_s` requests per second; the bucket starts empty.
    pub fn new(now_ms: u64, per_s: f64) -> Self {
        Self {
            per_s: per_s.clamp(LIMIT_MIN_PER_S, LIMIT_MAX_PER_S),
            tokens: 0.0,
            refilled_at_ms: now_ms,
            demand: Demand::default(),
            samples: VecDeque::new(),
        }
    }

    /// The requests per second that all gateways together may send.
    pub fn per_s(&self) -> f64 {
        self.per_s
    }

    /// Changes the limit to `per_s` requests per second.
    pub fn set(&mut self, per_s: f64) {
        self.per_s = per_s.clamp(LIMIT_MIN_PER_S, LIMIT_MAX_PER_S);
    }

    /// Counts a request that could go to the endpoint towards the demand.
    pub fn note_request(&mut self, now_ms: u64) {
        let sampled_at_ms = self.samples.back().map_or(0, |demand| demand.at_ms);
        if self.samples.is_empty() || sampled_at_ms + SAMPLE_EVERY_MS <= now_ms {
            self.samples.push_back(self.demand);
        }
        while self.samples.get(1).is_some_and(|demand| demand.at_ms + DEMAND_DELAY_MS <= now_ms) {
            self.samples.pop_front();
        }
        self.demand.add(now_ms);
    }

    /// This gateway's demand in requests per minute.
    pub fn demand_per_min(&self, now_ms: u64) -> u32 {
        self.demand.per_min(now_ms)
    }

    /// The demand that the others know: the delayed value, or the current one if it is lower.
    fn delayed_demand_per_min(&self, now_ms: u64) -> u32 {
        let then_ms = now_ms.saturating_sub(DEMAND_DELAY_MS);
        let mut delayed = Demand::default();
        for demand in self.samples.iter().chain([&self.demand]) {
            if demand.at_ms <= then_ms {
                delayed = *demand;
            }
        }
        delayed.per_min(then_ms).min(self.demand_per_min(now_ms))
    }

    /// The share of the limit that this gateway may use, from 0 to 1.
    fn share(&self, now_ms: u64, others: OtherGateways) -> f64 {
        let equal = 1.0 / f64::from(others.gateways.max(1));
        let Some(others_per_min) = others.demand_per_min else { return equal };
        let own_per_min = self.delayed_demand_per_min(now_ms);
        if own_per_min == 0 && others_per_min == 0 {
            return equal;
        }
        let all_per_min = f64::from(own_per_min) + f64::from(others_per_min);
        (f64::from(own_per_min) / all_per_min).max(equal * MIN_SHARE)
    }

    /// The time until the next request may be sent; 0 if it may be sent now.
    ///
    /// A gateway whose burst is less than one request admits requests at random instead; `draw` is
    /// random, from 0 to 1.
    pub fn wait_ms(&mut self, now_ms: u64, others: OtherGateways, draw: f64) -> u64 {
        let share = self.share(now_ms, others);
        let Refill { per_s, burst } = self.refill_for(share, others.gateways);
        self.refill(now_ms, per_s, burst);
        if burst < 1.0 {
            let chance = std::mem::take(&mut self.tokens);
            self.tokens = if draw < chance { 1.0 } else { 0.0 };
        }
        if self.tokens >= 1.0 {
            return 0;
        }
        ((1.0 - self.tokens) * 1_000.0 / per_s).ceil() as u64
    }

    /// Takes the token of a request that is sent.
    pub fn take(&mut self) {
        self.tokens = (self.tokens - 1.0).max(0.0);
    }

    fn refill(&mut self, now_ms: u64, per_s: f64, burst: f64) {
        let passed_s = now_ms.saturating_sub(self.refilled_at_ms) as f64 / 1_000.0;
        self.refilled_at_ms = self.refilled_at_ms.max(now_ms);
        self.tokens = (self.tokens + per_s * passed_s).min(burst);
    }

    /// The refill rate and burst for this gateway's `share` of the limit, from 0 to 1.
    fn refill_for(&self, share: f64, gateways: u32) -> Refill {
        let per_s = self.per_s * share;
        let burst = (self.per_s * BURST_MS / 1_000.0 + BURST_REQUESTS) * share;
        if burst >= 1.0 {
            return Refill { per_s, burst };
        }
        if f64::from(gateways) <= self.per_s + WHOLE_REQUEST_MARGIN {
            return Refill { per_s, burst: 1.0 };
        }
        let window_requests = self.random_requests_per_window();
        let total_burst = RANDOM_BURST_REQUESTS.min(window_requests / TOLERANCE_WINDOW_S);
        let per_s = (window_requests - total_burst) / TOLERANCE_WINDOW_S * share;
        Refill { per_s, burst: total_burst * share }
    }

    /// The mean number of requests per window that all gateways together may admit at random while
    /// `RANDOM_MARGIN_DEVIATIONS` above it stay within the tolerance.
    fn random_requests_per_window(&self) -> f64 {
        let tolerated = self.per_s * TOLERANCE_WINDOW_S * TOLERANCE_FACTOR + TOLERANCE_REQUESTS;
        let root =
            (RANDOM_MARGIN_DEVIATIONS.powi(2) + 4.0 * tolerated).sqrt() - RANDOM_MARGIN_DEVIATIONS;
        (root / 2.0).powi(2).min(self.per_s * TOLERANCE_WINDOW_S)
    }
}

/// The refill rate and capacity of a token bucket.
struct Refill {
    per_s: f64,
    burst: f64,
}
