//! HTTP over `hyper`: a client with a connection pool, a server with limits, and whether a response is
//! whole.

mod client;
mod client_stream;
mod connection_headers;
mod framing;
mod server;
mod whole_body;

use std::convert::Infallible;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Response, StatusCode};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Body;
use tokio::time::timeout;

pub use client::{HttpClient, request};
pub use connection_headers::remove_connection_headers;
pub use framing::{Framing, FramingError};
pub use server::{HttpHandler, ServerLimits, serve, stopped};
pub use whole_body::{SenderCheck, WholeBody, is_event_stream};

use crate::error::Error;

/// The body of an answer. An error in it aborts the connection, so that the client does not take
/// the answer to be complete.
pub type AnswerBody = BoxBody<Bytes, Error>;

/// An answer to a caller.
pub type Answer = Response<AnswerBody>;

/// Builds a body from bytes in memory.
pub fn full(body: impl Into<Bytes>) -> AnswerBody {
    Full::new(body.into()).map_err(|never: Infallible| match never {}).boxed()
}

/// Builds an answer with a body in memory.
pub fn answer(status: StatusCode, content_type: &str, body: impl Into<Bytes>) -> Answer {
    let mut answer = Response::new(full(body));
    *answer.status_mut() = status;
    if let Ok(value) = content_type.parse() {
        answer.headers_mut().insert(http::header::CONTENT_TYPE, value);
    }
    answer
}

/// Builds an answer with a JSON body.
pub fn json_answer(status: StatusCode, body: &serde_json::Value) -> Answer {
    answer(status, "application/json", body.to_string())
}

/// The reason why a body could not be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyFault {
    /// The body is larger than allowed.
    TooLarge,
    /// The body did not arrive in time.
    TooSlow,
    /// The connection failed before the end of the body.
    Broken,
}

/// Reads a complete body, of at most `max_bytes`, within `timeout_ms`.
///
/// # Errors
/// The limit that was exceeded, or a connection that failed.
pub async fn read_body<B>(
    body: B,
    max_bytes: usize,
    timeout_ms: u64,
) -> std::result::Result<Bytes, BodyFault>
where
    B: Body<Data = Bytes>,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let collected =
        timeout(Duration::from_millis(timeout_ms), Limited::new(body, max_bytes).collect());
    match collected.await {
        Err(_) => Err(BodyFault::TooSlow),
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.downcast_ref::<LengthLimitError>().is_some() => {
            Err(BodyFault::TooLarge)
        }
        Ok(Err(_)) => Err(BodyFault::Broken),
    }
}

/// Returns the value of a header; `None` if it is missing or is not visible ASCII.
pub fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}
