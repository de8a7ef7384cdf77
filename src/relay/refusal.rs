//! Why a request gets no answer of an endpoint, and what its client is told.

use http::StatusCode;

use crate::http::{Answer, answer};

/// Why nothing could be sent.
#[derive(Debug, Clone, Copy)]
pub(super) enum NotSent {
    /// No endpoint could take it in time.
    NoPlace(&'static str),
    /// The deadline passed.
    Late,
    /// The retry budget is used up.
    NoBudget,
    /// Endpoints ended under requests like it.
    Held {
        /// When the client may come again.
        after_ms: u64,
    },
}

/// Why a request has no answer.
pub(super) enum Failure {
    NotSent(NotSent),
    Unknown(String),
}

/// When a client that was refused should come again; about what a load takes, or a few answers.
pub(super) fn come_back_ms(reason: NotSent) -> u64 {
    match reason {
        NotSent::NoPlace("weights are not loaded") => 350,
        NotSent::NoPlace(_) | NotSent::Late => 200,
        NotSent::NoBudget => 500,
        NotSent::Held { after_ms } => after_ms,
    }
}

/// A refusal: the request did not run and will not; the client may come again after a while.
pub(super) fn come_back(detail: &str, after_ms: u64) -> Answer {
    let mut refusal = own_answer(StatusCode::SERVICE_UNAVAILABLE, detail);
    let seconds = format!("{}.{:03}", after_ms / 1_000, after_ms % 1_000);
    if let Ok(value) = seconds.parse() {
        refusal.headers_mut().insert(http::header::RETRY_AFTER, value);
    }
    refusal
}

/// An answer of the gateway's own.
pub(super) fn own_answer(status: StatusCode, detail: &str) -> Answer {
    answer(status, "text/plain", detail.to_owned())
}
