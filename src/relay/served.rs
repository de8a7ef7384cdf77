//! Remembers the features of recently served requests.

use std::collections::HashMap;

use crate::message::FeatureKey;

/// The minimum number of features that are remembered; a gateway serves requests with about this many
/// in a minute.
const SERVED_MIN: usize = 8_192;

/// The time at which each feature was last served, in two generations; a full generation replaces
/// the older one.
#[derive(Debug, Default)]
pub(super) struct RecentlyServed {
    newer: HashMap<FeatureKey, u64>,
    older: HashMap<FeatureKey, u64>,
}

impl RecentlyServed {
    /// Records that `key` was served.
    pub(super) fn note(&mut self, now_ms: u64, key: FeatureKey) {
        if self.newer.len() >= SERVED_MIN && !self.newer.contains_key(&key) {
            self.older = std::mem::take(&mut self.newer);
        }
        self.newer.insert(key, now_ms);
    }

    /// How long ago `key` was last served; `None` if it was not, or if that was forgotten.
    pub(super) fn ago_ms(&self, now_ms: u64, key: &FeatureKey) -> Option<u32> {
        let served_at_ms = self.newer.get(key).or_else(|| self.older.get(key))?;
        u32::try_from(now_ms.saturating_sub(*served_at_ms)).ok()
    }
}
