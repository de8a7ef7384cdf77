//! Calls to control, as operators and endpoints make them.

use std::net::SocketAddr;
use std::time::Duration;

use crate::http::{Response, call};

/// Callers of control move on after a second without an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
const REDIRECTS_MAX: usize = 2;

/// Calls one replica and follows its redirects.
pub fn call_control(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
) -> std::io::Result<Response> {
    let mut address = address;
    let mut redirects = 0;
    loop {
        let headers = format!("Host: {address}\r\nContent-Type: application/json\r\n");
        let response = call(address, method, path, &headers, body, ANSWER_TIMEOUT)?;
        if response.status() != 307 || redirects == REDIRECTS_MAX {
            return Ok(response);
        }
        redirects += 1;
        let location = response.head.header("location");
        let authority = location.trim_start_matches("http://").split('/').next().unwrap_or("");
        address = authority.parse().map_err(|_| std::io::ErrorKind::InvalidData)?;
    }
}

/// Describes the result of a call in a few words.
pub fn describe(result: &std::io::Result<Response>) -> String {
    match result {
        Ok(response) => response.status().to_string(),
        Err(error) => format!("no answer ({error})"),
    }
}
