//! Simulated overload: the signals that an endpoint adds to its answers, and the requests that it
//! receives.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use http::{HeaderMap, HeaderValue, StatusCode};

use crate::client::SENT_TO;
use crate::endpoint::{Answer, text, whole};

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
}

#[derive(Debug, Default)]
struct State {
    signal: Option<Signal>,
    arrivals: Vec<Arrival>,
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

    /// Adds `signal` to all answers from now on; `None` stops signaling.
    pub fn set_signal(&self, signal: Option<Signal>) {
        self.lock().signal = signal;
    }

    /// Records a received request.
    pub fn record_arrival(&self, headers: &HeaderMap) {
        let gateway = text(headers, SENT_TO).into();
        let mut state = self.lock();
        let backoff = match state.signal {
            Some(Signal::Backoff(backoff)) => Some(backoff),
            _ => None,
        };
        state.arrivals.push(Arrival { at: Instant::now(), gateway, backoff });
    }

    /// Returns the refusal for request `id`, or `None` while requests are accepted.
    pub fn refusal(&self, id: &str) -> Option<Answer> {
        let Some(Signal::Backoff(backoff)) = self.lock().signal else { return None };
        let mut answer = whole(StatusCode::SERVICE_UNAVAILABLE, id, String::new());
        answer.headers_mut().insert("not-executed", HeaderValue::from_static("1"));
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

    /// The requests received since `from`, in order.
    pub fn arrivals_since(&self, from: Instant) -> Vec<Arrival> {
        let state = self.lock();
        state.arrivals.iter().filter(|arrival| arrival.at >= from).cloned().collect()
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
