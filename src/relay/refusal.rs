//! Why a request gets no answer of an endpoint, and what its client is told.

use http::StatusCode;
use http::header::{HeaderValue, WWW_AUTHENTICATE};

use crate::http::{Answer, answer};
use crate::routing::KeyRefusal;

/// Why nothing could be sent.
#[derive(Debug, Clone, Copy)]
pub(super) enum NotSent {
    /// No endpoint could take it in time.
    NoPlace(&'static str),
    /// The rate limits of the endpoints that could take it are used up.
    Limited {
        /// The time after which the client may retry.
        after_ms: u64,
    },
    /// The endpoints that could take it asked for backoff.
    BackingOff {
        /// The time after which the client may retry.
        after_ms: u64,
    },
    /// The deadline passed.
    Late,
    /// The retry budget is used up.
    NoBudget,
    /// Endpoints ended under requests like it.
    Held {
        /// When the client may come again.
        after_ms: u64,
    },
    /// Its workspace asks for more than its quota.
    OverQuota {
        /// When the client may come again.
        after_ms: u64,
    },
    /// What its workspace has left cannot be known.
    QuotaUnknown {
        /// When the client may come again.
        after_ms: u64,
    },
    /// Which keys are valid is not known for certain.
    KeysUnknown {
        /// When the client may come again.
        after_ms: u64,
    },
    /// Its key does not let it in.
    Unauthorized(KeyRefusal),
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
        NotSent::Limited { after_ms }
        | NotSent::BackingOff { after_ms }
        | NotSent::Held { after_ms }
        | NotSent::OverQuota { after_ms }
        | NotSent::QuotaUnknown { after_ms }
        | NotSent::KeysUnknown { after_ms } => after_ms,
        NotSent::Unauthorized(_) => 0,
    }
}

/// What the client of a request that was not sent is told.
pub(super) fn refuse(reason: NotSent) -> Answer {
    let after_ms = come_back_ms(reason);
    match reason {
        NotSent::NoPlace(detail) => come_back(detail, after_ms),
        NotSent::Limited { .. } => come_back("endpoints limit what they take", after_ms),
        NotSent::BackingOff { .. } => come_back("endpoints asked for backoff", after_ms),
        NotSent::Late => come_back("the deadline passed", after_ms),
        NotSent::NoBudget => come_back("too many requests were sent again", after_ms),
        NotSent::Held { .. } => come_back("endpoints ended under requests like this one", after_ms),
        NotSent::OverQuota { .. } => {
            let detail = "the workspace asks for more than its quota";
            later(StatusCode::TOO_MANY_REQUESTS, detail, after_ms)
        }
        NotSent::QuotaUnknown { .. } => {
            come_back("what is left of the workspace's quota is not known", after_ms)
        }
        NotSent::KeysUnknown { .. } => {
            come_back("which keys are valid is not known for certain", after_ms)
        }
        NotSent::Unauthorized(refusal) => unauthorized(refusal),
    }
}

/// Tells what is wrong, and nothing of the key.
fn unauthorized(refusal: KeyRefusal) -> Answer {
    let detail = match refusal {
        KeyRefusal::Missing => "a key is needed",
        KeyRefusal::Unreadable => "the key cannot be read",
        KeyRefusal::Unknown => "the key is not known",
    };
    let mut refusal = own_answer(StatusCode::UNAUTHORIZED, detail);
    refusal.headers_mut().insert(WWW_AUTHENTICATE, HeaderValue::from_static("Bearer"));
    refusal
}

/// A refusal: the request did not run and will not; the client may come again after a while.
pub(super) fn come_back(detail: &str, after_ms: u64) -> Answer {
    later(StatusCode::SERVICE_UNAVAILABLE, detail, after_ms)
}

fn later(status: StatusCode, detail: &str, after_ms: u64) -> Answer {
    let mut refusal = own_answer(status, detail);
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
