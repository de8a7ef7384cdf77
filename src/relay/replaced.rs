//! Limits how long requests are sent to, and may start on, weights versions that were replaced.

use std::sync::Arc;

use super::fleet::Fleet;
use crate::message::{Holding, WeightsName};
use crate::policy::versions::{BEGUN_PERCENT, KnownVersion, SENT_PERCENT, Versions};

/// An endpoint that holds a replaced version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeldOlder {
    /// The endpoint's incarnation.
    pub endpoint: Arc<str>,
    /// The version that the endpoint holds.
    pub version: u64,
    /// The number of this gateway's requests that the endpoint has not started to answer, for any
    /// weights.
    pub unanswered: usize,
    /// How long the oldest of them that is not late has waited without any response from the
    /// endpoint.
    pub silent_ms: u64,
}

impl Fleet {
    /// Allows requests to start on a version for `within_ms` after it was replaced.
    #[must_use]
    pub fn with_version_within(mut self, within_ms: u64) -> Self {
        self.versions = Versions::new(within_ms * SENT_PERCENT / 100);
        self.begin_within_ms = begin_within_ms(within_ms);
        self
    }

    /// Records a version that was published at `now_ms` or later.
    pub fn set_newest(&mut self, now_ms: u64, name: WeightsName, version: u64) {
        self.versions.record(now_ms, name, version);
    }

    /// Records a version that was published at an unknown earlier time.
    pub fn learn_newest(&mut self, now_ms: u64, name: WeightsName, version: u64) {
        self.versions.record_with_unknown_age(now_ms, name, version);
    }

    /// The known versions of the weights; `None` if no version was published.
    pub fn known_version(&self, now_ms: u64, name: &WeightsName) -> Option<KnownVersion> {
        let known = self.versions.known_version(now_ms, name)?;
        Some(KnownVersion { due: self.version_due(now_ms, name), ..known })
    }

    /// The oldest version that a request may still start on; 0 if any version will do.
    ///
    /// Base models are served in any version: replacing the base model of an endpoint would end all
    /// adapters there, and refusing an older version would refuse all requests for it.
    pub(super) fn version_due(&self, now_ms: u64, name: &WeightsName) -> u64 {
        if name.adapter.is_none() { 0 } else { self.versions.due(now_ms, name) }
    }

    /// The time until which a request sent to the version `held` may start; `None` while no newer
    /// version is known. If the newer version is due and of unknown age, the time is already over,
    /// since `held` may be too old.
    pub fn begin_by_ms(&self, now_ms: u64, name: &WeightsName, held: u64) -> Option<u64> {
        if self.version_due(now_ms, name) > held {
            return Some(now_ms);
        }
        name.adapter.as_ref()?;
        Some(self.versions.due_at_ms(now_ms, name, held)? + self.begin_within_ms)
    }

    /// The requests in progress at endpoints that hold `name` in a version older than `version`.
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

/// How long a request may still take to start on a version once a newer one is due.
pub(super) fn begin_within_ms(version_within_ms: u64) -> u64 {
    version_within_ms * (BEGUN_PERCENT - SENT_PERCENT) / 100
}
