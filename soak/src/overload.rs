//! Simulated overload: the signals that an endpoint adds to its answers, and the requests that it
//! receives.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use http::{HeaderMap, HeaderValue};

use crate::client::SENT_TO;
use crate::endpoint::{Answer, rejection, text};
use crate::record::DisturbanceState;

/// The time after the first advertisement from which a rate limit is enforced: `contact_ms`, plus
/// half a second for answers in flight.
pub const LIMIT_ENFORCED_AFTER: Duration = Duration::from_millis(3_500);
/// The window over which requests are counted against a rate limit.
pub const LIMIT_WINDOW: Duration = Duration::from_secs(4);
/// The multiple of the rate limit that is tolerated within a window.
const LIMIT_TOLERANCE_FACTOR: f64 = 1.5;
/// The number of requests that are tolerated within a window in addition to this multiple.
const LIMIT_SLACK_REQUESTS: f64 = 5.0;
/// The time after a refusal from which its backoff is enforced.
pub const BACKOFF_GRACE: Duration = Duration::from_millis(500);
/// The maximum number of requests from one gateway within a backoff.
pub const BACKOFF_ARRIVALS_MAX: usize = 2;
/// The time after a gateway's first request within which it may send more to a leaving endpoint:
/// `drain_ms`, plus half a second for the first answer to arrive.
pub const LEAVING_GRACE: Duration = Duration::from_millis(2_500);

/// A signal that an overloaded endpoint adds to all answers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Signal {
    /// A rate limit for all gateways together, in requests per second.
    Limit(f64),
    /// Requests are refused, and the gateway is asked to back off for this long.
    Backoff(Duration),
    /// Requests are served, but the endpoint is about to shut down.
    Leaving,
}

/// A request received by an endpoint.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// When it arrived.
    pub at: Instant,
    /// The gateway to which the client sent it.
    pub gateway: Arc<str>,
    /// The backoff that the refusal asked for; `None` if the request was accepted.
    pub backoff: Option<Duration>,
    /// The index of the signal period in which it arrived; `None` before the first one.
    period_index: Option<usize>,
    /// Whether the system's own processes and connections were undisturbed when it arrived.
    disturbance: DisturbanceState,
}

/// A period in which the incarnation and the signal of an endpoint stay the same.
#[derive(Debug, Clone, Copy)]
struct SignalPeriod {
    incarnation: u32,
    signal: Option<Signal>,
    started_at: Instant,
}

#[derive(Debug, Default)]
struct State {
    incarnation: u32,
    signal: Option<Signal>,
    periods: Vec<SignalPeriod>,
    arrivals: Vec<Arrival>,
}

impl State {
    fn start_period(&mut self) {
        let (incarnation, signal) = (self.incarnation, self.signal);
        self.periods.push(SignalPeriod { incarnation, signal, started_at: Instant::now() });
    }
}

/// The overload signal of one endpoint and the requests that it received.
#[derive(Debug, Default)]
pub struct Overload {
    state: Mutex<State>,
}

impl Overload {
    /// An endpoint without a signal.
    pub fn new() -> Self {
        Self::default()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds `signal` to all answers from now on; `None` stops signaling. Returns the previous
    /// signal.
    pub fn set_signal(&self, signal: Option<Signal>) -> Option<Signal> {
        let mut state = self.lock();
        let previous = std::mem::replace(&mut state.signal, signal);
        state.start_period();
        previous
    }

    /// The current signal, if any.
    pub fn signal(&self) -> Option<Signal> {
        self.lock().signal
    }

    /// Records the start of another incarnation of the endpoint.
    pub fn record_restart(&self) {
        let mut state = self.lock();
        state.incarnation += 1;
        state.start_period();
    }

    /// Records a received request.
    pub fn record_arrival(&self, headers: &HeaderMap, disturbance: DisturbanceState) {
        let gateway = text(headers, SENT_TO).into();
        let mut state = self.lock();
        let backoff = match state.signal {
            Some(Signal::Backoff(backoff)) => Some(backoff),
            _ => None,
        };
        let period_index = state.periods.len().checked_sub(1);
        let at = Instant::now();
        state.arrivals.push(Arrival { at, gateway, backoff, period_index, disturbance });
    }

    /// Returns the refusal for request `id`, or `None` while requests are accepted.
    pub fn refusal(&self, id: &str) -> Option<Answer> {
        let Some(Signal::Backoff(backoff)) = self.lock().signal else { return None };
        let mut answer = rejection(id);
        let seconds = HeaderValue::from_str(&backoff.as_secs_f64().to_string());
        answer
            .headers_mut()
            .insert("retry-after", seconds.expect("a number is a valid header value"));
        Some(answer)
    }

    /// Adds the signal to the headers of an answer.
    pub fn write_headers(&self, headers: &mut HeaderMap) {
        match self.lock().signal {
            Some(Signal::Limit(per_s)) => {
                let limit = HeaderValue::from_str(&per_s.to_string());
                headers.insert("server-limit", limit.expect("a number is a valid header value"));
            }
            Some(Signal::Leaving) => {
                headers.insert("server-leaving", HeaderValue::from_static("1"));
            }
            Some(Signal::Backoff(_)) | None => {}
        }
    }

    /// Describes the signals that gateways violated while the system's own processes and
    /// connections were undisturbed.
    pub fn breaches(&self, endpoint: &str) -> Vec<String> {
        let state = self.lock();
        let mut breaches = Vec::new();
        for (index, period) in state.periods.iter().enumerate() {
            let Some(signal) = period.signal else { continue };
            for arrivals in state.undisturbed_arrivals(index, *period) {
                if let Some(breach) = find_breach(signal, period.started_at, &arrivals) {
                    breaches.push(format!("{endpoint}: {breach}"));
                }
            }
        }
        breaches
    }

    /// The requests received since `from`, in order.
    pub fn arrivals_since(&self, from: Instant) -> Vec<Arrival> {
        let state = self.lock();
        state.arrivals.iter().filter(|arrival| arrival.at >= from).cloned().collect()
    }
}

impl State {
    /// The undisturbed arrivals to which the signal of period `index` applies, grouped by the
    /// disturbances before them: a restarted gateway has lost the signals that it received earlier.
    fn undisturbed_arrivals(&self, index: usize, period: SignalPeriod) -> Vec<Vec<Arrival>> {
        let mut by_disturbance: BTreeMap<u32, Vec<Arrival>> = BTreeMap::new();
        for arrival in &self.arrivals {
            let Some(arrival_index) = arrival.period_index else { continue };
            let is_same_incarnation = self.periods[arrival_index].incarnation == period.incarnation;
            // A limit ends with its period; other signals apply until the incarnation ends.
            let is_limit = matches!(period.signal, Some(Signal::Limit(_)));
            let has_ended = is_limit && arrival_index > index;
            let is_undisturbed = arrival.disturbance.is_undisturbed;
            if arrival_index < index || !is_same_incarnation || has_ended || !is_undisturbed {
                continue;
            }
            let disturbances = arrival.disturbance.disturbances_begun;
            let arrivals = by_disturbance.entry(disturbances).or_default();
            arrivals.push(arrival.clone());
        }
        by_disturbance.into_values().collect()
    }
}

/// Describes how `arrivals` violate a signal that was sent from `started_at` on.
fn find_breach(signal: Signal, started_at: Instant, arrivals: &[Arrival]) -> Option<String> {
    match signal {
        Signal::Limit(per_s) => {
            let enforced: Vec<Arrival> = arrivals
                .iter()
                .filter(|arrival| arrival.at >= started_at + LIMIT_ENFORCED_AFTER)
                .cloned()
                .collect();
            let allowed =
                per_s * LIMIT_WINDOW.as_secs_f64() * LIMIT_TOLERANCE_FACTOR + LIMIT_SLACK_REQUESTS;
            let received = max_arrivals_within(&enforced, LIMIT_WINDOW);
            (received as f64 > allowed).then(|| {
                format!("{received} requests within {LIMIT_WINDOW:?}, {allowed:.0} allowed")
            })
        }
        Signal::Backoff(backoff) => {
            let received = max_arrivals_in_backoff(arrivals, BACKOFF_GRACE);
            (received > BACKOFF_ARRIVALS_MAX).then(|| {
                format!("{received} requests from one gateway within a backoff of {backoff:?}")
            })
        }
        Signal::Leaving => {
            let received = count_arrivals_after_grace(arrivals, LEAVING_GRACE);
            (received > 0)
                .then(|| format!("{received} requests after the grace period of a shutdown"))
        }
    }
}

/// The maximum number of arrivals within any `window`.
pub fn max_arrivals_within(arrivals: &[Arrival], window: Duration) -> usize {
    let mut max_arrivals = 0;
    let mut first = 0;
    for (last, arrival) in arrivals.iter().enumerate() {
        while arrival.at.duration_since(arrivals[first].at) >= window {
            first += 1;
        }
        max_arrivals = max_arrivals.max(last + 1 - first);
    }
    max_arrivals
}

/// The maximum number of arrivals from one gateway within any backoff, not counting those within
/// `grace` after the refusal that asked for it.
pub fn max_arrivals_in_backoff(arrivals: &[Arrival], grace: Duration) -> usize {
    let mut max_arrivals = 0;
    for refused in arrivals {
        let Some(backoff) = refused.backoff else { continue };
        let within = arrivals.iter().filter(|arrival| {
            arrival.gateway == refused.gateway
                && arrival.at > refused.at + grace
                && arrival.at < refused.at + backoff
        });
        max_arrivals = max_arrivals.max(within.count());
    }
    max_arrivals
}

/// The number of arrivals later than `grace` after the first one from the same gateway.
pub fn count_arrivals_after_grace(arrivals: &[Arrival], grace: Duration) -> usize {
    let mut first_at = BTreeMap::new();
    let mut late_arrivals = 0;
    for arrival in arrivals {
        let first_at = *first_at.entry(&arrival.gateway).or_insert(arrival.at);
        late_arrivals += usize::from(arrival.at > first_at + grace);
    }
    late_arrivals
}
