//! Endpoints that ask callers for fewer requests: what their answers say, and what reaches them meanwhile.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use http::{HeaderMap, HeaderValue};

use crate::client::SENT_TO;
use crate::endpoint::text;

/// What all answers of an endpoint say.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Statement {
    /// It takes so many requests a second from all gateways together.
    Limit(f64),
}

/// A request that reached an endpoint.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// When it came.
    pub at: Instant,
    /// The gateway that its client sent it to.
    pub gateway: Arc<str>,
}

#[derive(Debug, Default)]
struct State {
    statement: Option<Statement>,
    stated_at: Option<Instant>,
    arrivals: Vec<Arrival>,
}

/// What one endpoint asks for, and the requests that reached it.
#[derive(Debug, Default)]
pub struct Need {
    state: Mutex<State>,
}

impl Need {
    /// An endpoint that asks for nothing.
    pub fn new() -> Self {
        Self::default()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Makes all answers say `statement` from now on, or nothing.
    pub fn state(&self, statement: Option<Statement>) {
        let mut state = self.lock();
        state.statement = statement;
        state.stated_at = Some(Instant::now());
    }

    /// Notes a request that has come.
    pub fn arrived(&self, headers: &HeaderMap) {
        let gateway = text(headers, SENT_TO).into();
        self.lock().arrivals.push(Arrival { at: Instant::now(), gateway });
    }

    /// Adds what the endpoint says to the headers of an answer.
    pub fn write(&self, headers: &mut HeaderMap) {
        if let Some(Statement::Limit(per_s)) = self.lock().statement
            && let Ok(value) = HeaderValue::from_str(&per_s.to_string())
        {
            headers.insert("server-limit", value);
        }
    }

    /// The requests that came from `from` on, in order.
    pub fn arrivals_since(&self, from: Instant) -> Vec<Arrival> {
        let state = self.lock();
        state.arrivals.iter().filter(|arrival| arrival.at >= from).cloned().collect()
    }
}

/// The most arrivals within any `window`.
pub fn most_within(arrivals: &[Arrival], window: Duration) -> usize {
    let mut most = 0;
    let mut first = 0;
    for (last, arrival) in arrivals.iter().enumerate() {
        while arrival.at.duration_since(arrivals[first].at) >= window {
            first += 1;
        }
        most = most.max(last + 1 - first);
    }
    most
}
