//! Which versions of renewed weights a request may still begin on.

use std::collections::HashMap;

use crate::message::WeightsName;

/// Weights whose newest version is older than this must have it; the users allow five seconds.
const OLD_VERSION_MS: u64 = 2_500;

/// What a gateway knows of the versions of some weights.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KnownVersion {
    /// The newest that was named.
    pub newest: u64,
    /// For how long this gateway has known the newest.
    pub known_for_ms: u64,
    /// The oldest that a request may still begin on; 0 while any will do.
    pub due: u64,
}

/// The versions of all weights that were ever renewed.
#[derive(Debug, Default)]
pub struct Versions {
    newest: HashMap<WeightsName, (u64, u64)>,
}

impl Versions {
    /// No weights were renewed.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes a version that has just been named.
    pub fn named(&mut self, now_ms: u64, name: WeightsName, version: u64) {
        let known = self.newest.get(&name).map_or(0, |(known, _)| *known);
        if version > known {
            self.newest.insert(name, (version, now_ms));
        }
    }

    /// Notes a version that was named at some time before.
    pub fn learnt(&mut self, now_ms: u64, name: WeightsName, version: u64) {
        self.named(now_ms, name, version);
    }

    /// What is known of `name`; nothing when it was never renewed.
    pub fn of(&self, now_ms: u64, name: &WeightsName) -> Option<KnownVersion> {
        let (newest, since_ms) = *self.newest.get(name)?;
        let due = if since_ms + OLD_VERSION_MS <= now_ms { newest } else { 0 };
        Some(KnownVersion { newest, known_for_ms: now_ms.saturating_sub(since_ms), due })
    }
}
