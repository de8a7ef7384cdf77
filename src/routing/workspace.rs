//! Workspaces, which are identified by the API keys of their requests and limited by quotas.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// The digest of an API key, from which the key cannot be recovered.
///
/// Keys are looked up by digest, so that the time of a lookup does not reveal how much of a key
/// matches.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ApiKey([u8; 16]);

impl ApiKey {
    /// The digest of the key `text`.
    pub fn new(text: &[u8]) -> Self {
        let mut key = [0; 16];
        key.copy_from_slice(&Sha256::digest(text)[..16]);
        Self(key)
    }
}

/// Does not print the digest.
impl fmt::Debug for ApiKey {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str("ApiKey(..)")
    }
}

/// The credential of a request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Credential {
    /// The request has no credential.
    #[default]
    Missing,
    /// The credential is not a key, or there is more than one.
    Unreadable,
    /// An API key.
    Key(ApiKey),
}

/// A customer of the system.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Workspace {
    /// The unique name, as sent to endpoints.
    pub name: Arc<str>,
    /// The API keys.
    pub keys: Vec<ApiKey>,
    /// The priority of its requests, which replaces that of their routes.
    pub priority: Option<u8>,
    /// The quota; `None` means no limit.
    pub quota: Option<Quota>,
}

/// What a quota counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuotaUnit {
    /// Each request counts as one.
    Requests,
    /// The tokens of a request's prompt and the maximum number of tokens of its response.
    Tokens {
        /// The number of tokens of a request that does not state any.
        plain: u32,
    },
}

/// The limit of a workspace across all gateways.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Quota {
    /// What is counted.
    pub unit: QuotaUnit,
    /// Units per second.
    pub rate_per_s: f64,
    /// Units that may be used at once above the rate.
    pub burst: f64,
}

impl Quota {
    /// The maximum cost of one request; a request that costs more could never be admitted.
    pub fn cost_max(&self) -> f64 {
        self.burst.max(self.rate_per_s)
    }

    /// The cost of a request with `tokens` in its prompt and response, `None` if it does not state
    /// any.
    pub fn cost(&self, tokens: Option<u64>) -> u64 {
        match self.unit {
            QuotaUnit::Requests => 1,
            QuotaUnit::Tokens { plain } => tokens.unwrap_or(u64::from(plain)),
        }
    }
}
