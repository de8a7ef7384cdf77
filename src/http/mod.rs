//! HTTP over `hyper`: a client with a connection pool, a server with limits, and whether a response is
//! whole.

mod body;
mod client;
mod client_stream;
mod connection_headers;
mod framing;
mod meter;
mod server;
mod status;
mod whole_body;

use std::convert::Infallible;

use bytes::Bytes;
use http::{HeaderMap, Response, StatusCode};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full};

pub use body::{BodyFault, NO_ROOM, RequestBody, no_room_retry_ms};
pub use client::{HttpClient, request};
pub use connection_headers::remove_connection_headers;
pub use framing::{Framing, FramingError};
pub use server::{HttpHandler, ServerLimits, serve, stopped};
pub use status::{InvalidStatus, check_final, final_status};
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

/// Returns the value of a header; `None` if it is missing or is not visible ASCII.
pub fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}
