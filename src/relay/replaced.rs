//! Versions of weights that were replaced: until when requests are sent to them, and begin there.

use std::sync::Arc;

use super::fleet::Fleet;
use crate::message::{Holding, WeightsName};
use crate::policy::versions::{BEGUN_PERCENT, KnownVersion, SENT_PERCENT, Versions};

/// An endpoint that holds a version which is replaced.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeldOlder {
    /// The endpoint's incarnation.
    pub endpoint: Arc<str>,
    /// The version that it holds.
    pub version: u64,
    /// Requests of this gateway that it has not begun to answer, for whatever weights.
    pub unanswered: usize,
    /// For how long the oldest of them that is not late has waited while nothing was answered.
    pub silent_ms: u64,
}

impl Fleet {
    /// Lets requests begin on a version for `within_ms` after it was replaced.
    #[must_use]
    pub fn with_version_within(mut self, within_ms: u64) -> Self {
        self.versions = Versions::new(within_ms * SENT_PERCENT / 100);
        self.begin_within_ms = begin_within_ms(within_ms);
        self
    }

    /// Notes a version of weights that was named as the newest at `now_ms`, or since.
    pub fn set_newest(&mut self, now_ms: u64, name: WeightsName, version: u64) {
        self.versions.record(now_ms, name, version);
    }

    /// Notes a version of weights that was named as the newest at some time before.
    pub fn learn_newest(&mut self, now_ms: u64, name: WeightsName, version: u64) {
        self.versions.record_with_unknown_age(now_ms, name, version);
    }

    /// What is known of the versions of weights; nothing when they were never renewed.
    pub fn known_version(&self, now_ms: u64, name: &WeightsName) -> Option<KnownVersion> {
        let known = self.versions.known_version(now_ms, name)?;
        Some(KnownVersion { due: self.version_due(now_ms, name), ..known })
    }

    /// The oldest version that a request may still begin on; 0 while any will do.
    ///
    /// Base models are served as they are held: replacing one at an endpoint ends every adapter there,
    /// and refusing the older one refuses every request for it.
    pub(super) fn version_due(&self, now_ms: u64, name: &WeightsName) -> u64 {
        if name.adapter.is_none() { 0 } else { self.versions.due(now_ms, name) }
    }

    /// Until when a request that was sent to the version `held` may begin; nothing while no newer one is
    /// known. A version of unknown age that is due may be too old already.
    pub fn begin_by_ms(&self, now_ms: u64, name: &WeightsName, held: u64) -> Option<u64> {
        if self.version_due(now_ms, name) > held {
            return Some(now_ms);
        }
        name.adapter.as_ref()?;
        Some(self.versions.due_at_ms(now_ms, name, held)? + self.begin_within_ms)
    }

    /// What is under way at endpoints that hold `name` in a version older than `version`.
    pub fn held_older(&self, now_ms: u64, name: &WeightsName, version: u64) -> Vec<HeldOlder> {
        let mut held_older = Vec::new();
        for (id, holding) in self.homes.get(name).into_iter().flatten() {
            let Holding::Ready(held) = *holding else { continue };
            let Some(known) = self.endpoints.get(id) else { continue };
            if held >= version {
                continue;
            }
            held_older.push(HeldOlder {
                endpoint: id.clone(),
                version: held,
                unanswered: known.waiting.len(),
                silent_ms: known.waiting.silent_ms(now_ms),
            });
        }
        held_older
    }
}

/// For how long a request may still begin on a version once that is due.
pub(super) fn begin_within_ms(version_within_ms: u64) -> u64 {
    version_within_ms * (BEGUN_PERCENT - SENT_PERCENT) / 100
}
