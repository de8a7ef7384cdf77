//! What makes two tries of a client the same request.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use super::WeightsName;

/// What an endpoint runs for a request.
///
/// Neither the client nor any other header is part of it: ids, deadlines and what proxies add differ
/// from one try to the next, and content that ends one endpoint does so whoever sends it.
#[derive(Debug, Clone, Copy)]
pub struct RequestContent<'a> {
    /// The method.
    pub method: &'a str,
    /// The host that the client names.
    pub host: &'a str,
    /// The path with its query.
    pub target: &'a str,
    /// The weights that have to answer it.
    pub weights: Option<&'a WeightsName>,
    /// The body, however it was cut on its way here.
    pub body: &'a [u8],
}

/// Names a request's content, the same for each try at any gateway.
///
/// A digest that nobody can aim: a client must not be able to have another one's request taken for
/// its own.
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
