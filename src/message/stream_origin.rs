//! Messages about the software version that began a stream, so that any gateway can continue the
//! stream at the same version.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Identifies a stream by the client's attempt that received its first event.
///
/// The key is a truncated SHA-256 digest of the workspace and the attempt's id: it has the same size
/// whatever the client sends, and names no stream of another workspace.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StreamKey([u8; 16]);

impl StreamKey {
    /// The key of the stream that began with `attempt` of a client of `workspace`, if it has one.
    pub fn new(workspace: Option<&str>, attempt: &str) -> Self {
        let mut hasher = Sha256::new();
        let workspace = workspace.unwrap_or_default();
        hasher.update((workspace.len() as u64).to_le_bytes());
        hasher.update(workspace.as_bytes());
        hasher.update(attempt.as_bytes());
        let mut key = [0; 16];
        key.copy_from_slice(&hasher.finalize()[..16]);
        Self(key)
    }

    /// The key of a stream whose first attempt the client does not name; no record has it.
    pub fn unnamed() -> Self {
        Self(rand::random())
    }
}

impl fmt::Display for StreamKey {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        for byte in self.0 {
            write!(out, "{byte:02x}")?;
        }
        Ok(())
    }
}

/// Where a stream began; only endpoints of this service and version can continue it.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StreamOrigin {
    /// The service.
    pub service: Arc<str>,
    /// The software version of the endpoint.
    pub software_version: Arc<str>,
}

/// Streams that began at the same software version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BegunStreams {
    /// Where they began.
    pub origin: StreamOrigin,
    /// The streams.
    pub streams: Vec<StreamKey>,
}

/// A gateway's question where a stream began.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginAsk {
    /// The stream.
    pub stream: StreamKey,
    /// The service that the stream must have begun at; `None` if its route has several.
    pub service: Option<Arc<str>>,
}
