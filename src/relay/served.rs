//! Contents of requests that a gateway served lately.

use std::collections::HashMap;

use crate::message::RequestKey;

/// Contents that are remembered, at least: a minute of a gateway's requests.
const SERVED_MIN: usize = 8_192;

/// When contents were served last; the ones served longest ago are forgotten.
#[derive(Debug, Default)]
pub(super) struct ServedLately {
    newer: HashMap<RequestKey, u64>,
    older: HashMap<RequestKey, u64>,
}

impl ServedLately {
    /// Notes that `key` was served.
    pub(super) fn note(&mut self, now_ms: u64, key: RequestKey) {
        if self.newer.len() >= SERVED_MIN && !self.newer.contains_key(&key) {
            self.older = std::mem::take(&mut self.newer);
        }
        self.newer.insert(key, now_ms);
    }

    /// How long ago `key` was served; none if it was not, or too long ago.
    pub(super) fn ago_ms(&self, now_ms: u64, key: &RequestKey) -> Option<u32> {
        let served_at_ms = self.newer.get(key).or_else(|| self.older.get(key))?;
        u32::try_from(now_ms.saturating_sub(*served_at_ms)).ok()
    }
}
