//! How the end of an HTTP/1 response body is marked.

use std::fmt;

use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::response::Parts;
use http::{HeaderMap, StatusCode};

/// What marks the end of a response body (RFC 9112, section 6.3).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// The response has no body.
    Empty,
    /// `Content-Length`; a body that ends early is an error of the connection.
    Length,
    /// The last chunk; a body that ends without it is an error of the connection.
    Chunked,
    /// The end of the connection, which looks the same whether the sender was done or crashed.
    Close,
}

impl Framing {
    /// Returns the framing of a response with this head, to a request other than `HEAD`.
    pub fn of(head: &Parts) -> Self {
        if has_no_body(head.status) {
            return Self::Empty;
        }
        if head.headers.contains_key(TRANSFER_ENCODING) {
            return if is_chunked(&head.headers) { Self::Chunked } else { Self::Close };
        }
        if head.headers.contains_key(CONTENT_LENGTH) { Self::Length } else { Self::Close }
    }
}

impl fmt::Display for Framing {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Empty => "empty",
            Self::Length => "length",
            Self::Chunked => "chunked",
            Self::Close => "close",
        })
    }
}

fn has_no_body(status: StatusCode) -> bool {
    status.is_informational() || matches!(status.as_u16(), 204 | 304)
}

/// True if `chunked` is the last encoding.
fn is_chunked(headers: &HeaderMap) -> bool {
    let Some(value) = headers.get_all(TRANSFER_ENCODING).iter().next_back() else { return false };
    let Ok(value) = value.to_str() else { return false };
    let last = value.rsplit(',').next().unwrap_or_default();
    last.trim().eq_ignore_ascii_case("chunked")
}
