//! Services whose endpoints end when they reject too many requests in a second.
//!
//! All endpoints of a service become brittle at the same time, and say so in their responses. A gateway
//! that has not heard it itself learns it from the others, with their load.

use std::collections::HashSet;
use std::sync::Arc;

/// How long a service counts as brittle after the last response that said so.
const EXPIRY_MS: u64 = 10_000;

/// What one gateway knows of the brittleness of a service.
#[derive(Debug, Default)]
pub struct Brittleness {
    /// When a response last said that its endpoint is brittle; `None` if a later one did not.
    heard_at_ms: Option<u64>,
    /// The endpoints that are brittle according to other gateways.
    others: HashSet<Arc<str>>,
}

impl Brittleness {
    /// Applies a response to a request that was sent at `sent_at_ms`.
    pub fn note(&mut self, now_ms: u64, sent_at_ms: u64, is_brittle: bool) {
        if is_brittle {
            self.heard_at_ms = Some(now_ms);
        } else if self.heard_at_ms.is_some_and(|heard_at_ms| sent_at_ms >= heard_at_ms) {
            // A response may have been overtaken by a later one.
            self.heard_at_ms = None;
        }
    }

    /// Applies what the other gateways have heard from `endpoint`.
    pub fn note_others(&mut self, endpoint: &Arc<str>, is_brittle: bool) {
        if is_brittle {
            self.others.insert(endpoint.clone());
        } else {
            self.others.remove(endpoint);
        }
    }

    /// Forgets what the other gateways have heard.
    pub fn forget_others(&mut self) {
        self.others.clear();
    }

    /// True if this gateway has heard it itself.
    pub fn is_heard(&self, now_ms: u64) -> bool {
        self.heard_at_ms.is_some_and(|heard_at_ms| now_ms < heard_at_ms + EXPIRY_MS)
    }

    /// True while the service counts as brittle.
    pub fn is_brittle(&self, now_ms: u64) -> bool {
        self.is_heard(now_ms) || !self.others.is_empty()
    }
}
