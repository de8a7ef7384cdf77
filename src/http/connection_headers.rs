//! The headers that apply to a single connection.

use http::HeaderMap;
use http::header::{CONNECTION, TRANSFER_ENCODING};

/// Removes the headers that apply to a single connection.
pub fn remove_connection_headers(headers: &mut HeaderMap) {
    let mut named = Vec::new();
    for value in headers.get_all(CONNECTION) {
        let Ok(value) = value.to_str() else { continue };
        for name in value.split(',') {
            named.push(name.trim().to_ascii_lowercase());
        }
    }
    for name in named {
        headers.remove(name);
    }
    for name in ["keep-alive", "proxy-connection", "te", "trailer", "upgrade"] {
        headers.remove(name);
    }
    headers.remove(CONNECTION);
    headers.remove(TRANSFER_ENCODING);
}
