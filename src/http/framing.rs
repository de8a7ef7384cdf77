//! How the end of an HTTP/1 response body is marked.

use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::response::Parts;
use http::{HeaderMap, StatusCode};
use snafu::Snafu;

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
    ///
    /// # Errors
    /// The head contradicts itself, or names a transfer encoding that is not decoded here. Parts of
    /// such a body may belong to another response.
    pub fn of(head: &Parts) -> Result<Self, FramingError> {
        if has_no_body(head.status) {
            return Ok(Self::Empty);
        }
        let has_length = head.headers.contains_key(CONTENT_LENGTH);
        if !head.headers.contains_key(TRANSFER_ENCODING) {
            return Ok(if has_length { Self::Length } else { Self::Close });
        }
        if has_length {
            return Err(FramingError::LengthAndEncoding);
        }
        if !is_chunked(&head.headers) {
            return Err(FramingError::UnknownEncoding);
        }
        Ok(Self::Chunked)
    }

    /// Its name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Empty => "empty",
            Self::Length => "length",
            Self::Chunked => "chunked",
            Self::Close => "close",
        }
    }
}

/// Why the head of a response does not determine the end of its body.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum FramingError {
    /// Both `Content-Length` and `Transfer-Encoding` are given.
    #[snafu(display("the response has both a length and a transfer encoding"))]
    LengthAndEncoding,
    /// `Transfer-Encoding` is not just `chunked`.
    #[snafu(display("the transfer encoding of the response is not supported"))]
    UnknownEncoding,
}

fn has_no_body(status: StatusCode) -> bool {
    status.is_informational() || matches!(status.as_u16(), 204 | 304)
}

/// True if `chunked` is the only encoding.
fn is_chunked(headers: &HeaderMap) -> bool {
    let mut values = headers.get_all(TRANSFER_ENCODING).iter();
    let (Some(value), None) = (values.next(), values.next()) else { return false };
    value.as_bytes().trim_ascii().eq_ignore_ascii_case(b"chunked")
}
