//! Keys that identify the content of requests: attempts with the same content have the same key at
//! any gateway.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use super::WeightsName;

/// The parts of a request that determine what an endpoint runs.
///
/// The client and all headers except the host are left out: ids, deadlines and headers that proxies
/// add differ between attempts, and content that crashes an endpoint does so for any client.
#[derive(Debug, Clone, Copy)]
pub struct RequestContent<'a> {
    /// The HTTP method.
    pub method: &'a str,
    /// The host that the client requested.
    pub host: &'a str,
    /// The path and query.
    pub target: &'a str,
    /// The weights that the request requires.
    pub weights: Option<&'a WeightsName>,
    /// The whole body, independent of how it was split into chunks.
    pub body: &'a [u8],
}

/// Identifies the content of a request; the same for each attempt at any gateway.
///
/// The key is a truncated SHA-256 digest: with a weaker hash, a client could craft a request that
/// has the key of another client's request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestKey([u8; 16]);

impl RequestKey {
    /// The key of `content`.
    pub fn new(content: RequestContent<'_>) -> Self {
        let RequestContent { method, host, target, weights, body } = content;
        let weights = weights.map_or_else(String::new, ToString::to_string);
        let mut hasher = Sha256::new();
        for part in
            [method.as_bytes(), host.as_bytes(), target.as_bytes(), weights.as_bytes(), body]
        {
            hasher.update((part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        let mut key = [0; 16];
        key.copy_from_slice(&hasher.finalize()[..16]);
        Self(key)
    }
}

impl fmt::Display for RequestKey {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        for byte in self.0 {
            write!(out, "{byte:02x}")?;
        }
        Ok(())
    }
}
