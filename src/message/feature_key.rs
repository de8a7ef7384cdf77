//! Keys of what requests share and what may crash endpoints: their whole content, or a part of their
//! prompts. The same at any gateway.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use super::WeightsName;

/// The first half of the key of a prompt part; the other half is the part's id.
const PART_TAG: [u8; 8] = *b"prompt\0\0";

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

/// Identifies something that requests share and that may crash endpoints.
///
/// The key of a content is a truncated SHA-256 digest: with a weaker hash, a client could craft a
/// request that has the key of another client's request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct FeatureKey([u8; 16]);

impl FeatureKey {
    /// The key of the whole content of a request.
    pub fn of_content(content: RequestContent<'_>) -> Self {
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

    /// The key of the prompt part with this id, wherever it stands in a prompt and whatever weights
    /// read it.
    pub fn of_prompt_part(id: u64) -> Self {
        let mut key = [0; 16];
        key[..8].copy_from_slice(&PART_TAG);
        key[8..].copy_from_slice(&id.to_be_bytes());
        Self(key)
    }

    /// The id of the prompt part, if this is the key of one.
    pub fn prompt_part(&self) -> Option<u64> {
        let (tag, id) = self.0.split_first_chunk()?;
        if *tag != PART_TAG {
            return None;
        }
        Some(u64::from_be_bytes(id.try_into().ok()?))
    }
}

impl fmt::Display for FeatureKey {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(id) = self.prompt_part() {
            return write!(out, "part:{id:x}");
        }
        for byte in self.0 {
            write!(out, "{byte:02x}")?;
        }
        Ok(())
    }
}
