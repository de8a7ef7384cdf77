//! Which status codes a final HTTP answer may have.

use http::StatusCode;
use snafu::{Snafu, ensure};

/// A status that no final answer has: below 200, which is for interim answers, or above 599.
///
/// The protocol has five classes of status codes (RFC 9110, section 15). 101 switches to another
/// protocol, for which gateways never ask.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(display("{status} is not the status of a final answer"))]
pub struct InvalidStatus {
    /// The status.
    status: u16,
}

/// Returns the status of a final answer with this code.
///
/// # Errors
/// No final answer has this code.
pub fn final_status(code: u16) -> Result<StatusCode, InvalidStatus> {
    let status = StatusCode::from_u16(code).map_err(|_| InvalidStatus { status: code })?;
    check_final(status).map(|()| status)
}

/// Checks that an answer is final and of a class that the protocol has.
///
/// # Errors
/// No final answer has this status.
pub fn check_final(status: StatusCode) -> Result<(), InvalidStatus> {
    let code = status.as_u16();
    ensure!((200..600).contains(&code), InvalidStatusSnafu { status: code });
    Ok(())
}
