//! Workspaces: whose request it is by the API key that it carries, and how much each may ask for.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// An API key as it is kept: a digest, which nobody can turn back into the key.
///
/// Keys are looked up by digest, so that the time which a lookup takes tells nothing of how far a key matches.
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

/// Says nothing of the key.
impl fmt::Debug for ApiKey {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str("ApiKey(..)")
    }
}

/// What a request says of whose it is.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Credential {
    /// Nothing.
    #[default]
    Missing,
    /// Something that is no key, or more than one.
    Unreadable,
    /// A key.
    Key(ApiKey),
}

/// One customer of the system.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Workspace {
    /// The unique name, by which endpoints know it.
    pub name: Arc<str>,
    /// Its keys.
    pub keys: Vec<ApiKey>,
    /// The rank of its requests, in place of their routes'.
    pub priority: Option<u8>,
    /// How much it may ask for; none is no limit.
    pub quota: Option<Quota>,
}

/// What a quota counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuotaUnit {
    /// Each request as one.
    Requests,
    /// The tokens of each request's prompt and the most of its answer.
    Tokens {
        /// What a request counts that tells none.
        plain: u32,
    },
}

/// How much a workspace may ask for, over all gateways together.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Quota {
    /// What is counted.
    pub unit: QuotaUnit,
    /// Units a second.
    pub rate_per_s: f64,
    /// Units above that at once.
    pub burst: f64,
}

impl Quota {
    /// The most that one request may cost: one that costs more could never be let in.
    pub fn cost_max(&self) -> f64 {
        self.burst.max(self.rate_per_s)
    }

    /// What a request counts with `tokens` in its prompt and answer; none where it tells none.
    pub fn cost(&self, tokens: Option<u64>) -> u64 {
        match self.unit {
            QuotaUnit::Requests => 1,
            QuotaUnit::Tokens { plain } => tokens.unwrap_or(u64::from(plain)),
        }
    }
}
