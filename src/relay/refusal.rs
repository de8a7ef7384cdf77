//! The reasons why a request is not sent to an endpoint, and the responses that tell the client.

use http::StatusCode;
use http::header::{HeaderValue, WWW_AUTHENTICATE};

use crate::http::{Answer, answer};
use crate::routing::KeyRefusal;

/// Why a request was not sent.
#[derive(Debug, Clone, Copy)]
pub(super) enum NotSent {
    /// No endpoint could take the request.
    NoPlace(&'static str),
    /// No endpoint could take the request while it waited.
    WaitEnded {
        /// What the request waited for.
        reason: &'static str,
        /// The time after which the client may retry.
        after_ms: u64,
    },
    /// The request was expected to wait for longer than its deadline allows.
    DeadlineUnreachable {
        /// What the request would have waited for.
        reason: &'static str,
        /// The time after which the client may retry.
        after_ms: u64,
    },
    /// The queues of waiting requests are full.
    QueueFull {
        /// The time after which the client may retry.
        after_ms: u64,
    },
    /// A more urgent request took the place in the full queues.
    Replaced {
        /// The time after which the client may retry.
        after_ms: u64,
    },
    /// The rate limits of the endpoints that could take the request are used up.
    Limited {
        /// The time after which the client may retry.
        after_ms: u64,
    },
    /// The endpoints that could take the request asked for backoff.
    BackingOff {
        /// The time after which the client may retry.
        after_ms: u64,
    },
    /// The endpoints that could take the request cannot be reached from this gateway.
    OutOfReach,
    /// The endpoints cannot be reached from this gateway, and no other gateway takes the request.
    NoPeer {
        /// The time after which the client may retry.
        after_ms: u64,
    },
    /// Another gateway, which reaches the endpoints, found none that takes the request.
    ByPeer {
        /// The time after which the client may retry.
        after_ms: u64,
    },
    /// The deadline passed.
    Late,
    /// This gateway is stopping, and an answer would not end before it does.
    Stopping,
    /// The retry budget is used up.
    NoBudget,
    /// Endpoints ended while they ran requests with the same content.
    Held {
        /// The time after which the client may retry.
        after_ms: u64,
    },
    /// The workspace exceeds its quota.
    OverQuota {
        /// The time after which the client may retry.
        after_ms: u64,
    },
    /// The workspace's remaining quota is unknown.
    QuotaUnknown {
        /// The time after which the client may retry.
        after_ms: u64,
    },
    /// This gateway's list of valid keys may be stale.
    KeysUnknown {
        /// The time after which the client may retry.
        after_ms: u64,
    },
    /// The key is missing or not valid.
    Unauthorized(KeyRefusal),
    /// Nobody knows at which software version the stream began that the client resumes.
    OriginUnknown,
    /// No endpoint has the software version at which the stream began.
    VersionGone,
}

/// `Retry-After` of a stream whose beginning is not known: a leader that was just elected learns of
/// it within that time.
const ORIGIN_UNKNOWN_RETRY_MS: u64 = 500;
/// `Retry-After` of a stream whose software version is gone: an endpoint takes seconds to start.
const VERSION_GONE_RETRY_MS: u64 = 2_000;

/// Why a request got no response.
pub(super) enum Failure {
    NotSent(NotSent),
    Unknown(String),
}

/// The time after which a refused client should retry; about the time of a load, or of a few
/// responses.
pub(super) fn retry_after_ms(reason: NotSent) -> u64 {
    match reason {
        NotSent::NoPlace(_) | NotSent::OutOfReach | NotSent::Late | NotSent::Stopping => 200,
        NotSent::NoBudget => 500,
        NotSent::WaitEnded { after_ms, .. }
        | NotSent::DeadlineUnreachable { after_ms, .. }
        | NotSent::QueueFull { after_ms }
        | NotSent::Replaced { after_ms }
        | NotSent::NoPeer { after_ms }
        | NotSent::ByPeer { after_ms }
        | NotSent::Limited { after_ms }
        | NotSent::BackingOff { after_ms }
        | NotSent::Held { after_ms }
        | NotSent::OverQuota { after_ms }
        | NotSent::QuotaUnknown { after_ms }
        | NotSent::KeysUnknown { after_ms } => after_ms,
        NotSent::Unauthorized(_) => 0,
        NotSent::OriginUnknown => ORIGIN_UNKNOWN_RETRY_MS,
        NotSent::VersionGone => VERSION_GONE_RETRY_MS,
    }
}

/// The response to the client of a request that was not sent.
pub(super) fn refuse(reason: NotSent) -> Answer {
    let after_ms = retry_after_ms(reason);
    match reason {
        NotSent::NoPlace(detail)
        | NotSent::WaitEnded { reason: detail, .. }
        | NotSent::DeadlineUnreachable { reason: detail, .. } => {
            refuse_unavailable(detail, after_ms)
        }
        NotSent::QueueFull { .. } | NotSent::Replaced { .. } => {
            refuse_unavailable("too many requests wait", after_ms)
        }
        NotSent::Limited { .. } => refuse_unavailable("endpoints limit what they take", after_ms),
        NotSent::BackingOff { .. } => refuse_unavailable("endpoints asked for backoff", after_ms),
        NotSent::OutOfReach | NotSent::NoPeer { .. } => {
            refuse_unavailable("the endpoints cannot be reached", after_ms)
        }
        NotSent::ByPeer { .. } => {
            refuse_unavailable("the endpoints cannot take the request", after_ms)
        }
        NotSent::Late => refuse_unavailable("the deadline passed", after_ms),
        NotSent::Stopping => refuse_unavailable("the gateway is stopping", after_ms),
        NotSent::NoBudget => refuse_unavailable("too many requests were sent again", after_ms),
        NotSent::Held { .. } => {
            refuse_unavailable("endpoints ended under requests like this one", after_ms)
        }
        NotSent::OverQuota { .. } => {
            let detail = "the workspace asks for more than its quota";
            refuse_with_retry(StatusCode::TOO_MANY_REQUESTS, detail, after_ms)
        }
        NotSent::QuotaUnknown { .. } => {
            refuse_unavailable("what is left of the workspace's quota is not known", after_ms)
        }
        NotSent::KeysUnknown { .. } => {
            refuse_unavailable("which keys are valid is not known for certain", after_ms)
        }
        NotSent::Unauthorized(refusal) => unauthorized(refusal),
        NotSent::OriginUnknown => {
            refuse_unavailable("it is not known which software version began the stream", after_ms)
        }
        NotSent::VersionGone => refuse_unavailable(
            "no endpoint has the software version that began the stream",
            after_ms,
        ),
    }
}

/// States what is wrong without revealing anything about the key.
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

/// A 503 response with `Retry-After`: the request did not run and will not.
pub(super) fn refuse_unavailable(detail: &str, after_ms: u64) -> Answer {
    refuse_with_retry(StatusCode::SERVICE_UNAVAILABLE, detail, after_ms)
}

fn refuse_with_retry(status: StatusCode, detail: &str, after_ms: u64) -> Answer {
    let mut refusal = own_answer(status, detail);
    let seconds = format!("{}.{:03}", after_ms / 1_000, after_ms % 1_000);
    if let Ok(value) = seconds.parse() {
        refusal.headers_mut().insert(http::header::RETRY_AFTER, value);
    }
    refusal
}

/// A response of the gateway itself.
pub(super) fn own_answer(status: StatusCode, detail: &str) -> Answer {
    answer(status, "text/plain", detail.to_owned())
}
