//! The standings of requests whose content may crash endpoints, as decided by the control leader,
//! and the permissions that follow from them.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use crate::message::{FeatureKey, FeatureStanding, Standing};

/// `Retry-After` of a request that comes while a trial of the same content is in progress, and how
/// long a trial of this gateway may take.
const OWN_TRIAL_MS: u64 = 2_000;
/// How long another gateway's trial may take; after that the leader may give the trial to this
/// gateway.
const OTHER_TRIAL_MS: u64 = 15_000;
/// The shortest `Retry-After` of a refused request.
const RETRY_AFTER_MIN_MS: u64 = 1_000;

/// How often the leader is informed that a watched feature was served.
const SERVED_REPORT_INTERVAL_MS: u64 = 250;

/// Whether a request may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Permission {
    /// Without restriction.
    Unrestricted,
    /// To one endpoint, without resending it within the same attempt of the client.
    Once,
    /// Not now; the client may retry later.
    Refused {
        /// The time after which the client may retry.
        after_ms: u64,
    },
    /// Only after asking the leader for a trial: the request is suspected, or was held long enough.
    AskLeader,
}

#[derive(Debug)]
struct Entry {
    standing: Standing,
    since_ms: u64,
    /// When the leader was last informed that the feature was served.
    served_reported_at_ms: Option<u64>,
}

/// The standings of all requests that are treated specially.
#[derive(Debug)]
pub struct Standings {
    gateway: Arc<str>,
    entries: HashMap<FeatureKey, Entry>,
    /// Trials of this gateway that were used.
    tried: HashSet<FeatureKey>,
    /// The number of requests that wait for a trial.
    waiting: HashMap<FeatureKey, usize>,
}

impl Standings {
    /// Creates an empty set of standings for this `gateway`.
    pub fn new(gateway: Arc<str>) -> Self {
        Self { gateway, entries: HashMap::new(), tried: HashSet::new(), waiting: HashMap::new() }
    }

    /// True if no request is treated specially.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// True if the leader must be informed when the request was served.
    pub fn is_watched(&self, key: &FeatureKey) -> bool {
        self.entries.contains_key(key)
    }

    /// Records that a request with the feature was served; returns true if the leader is to be
    /// informed: not of each request, since many may share a feature.
    pub fn note_served(&mut self, now_ms: u64, key: &FeatureKey) -> bool {
        let Some(entry) = self.entries.get_mut(key) else { return false };
        let reported_at_ms = entry.served_reported_at_ms;
        if reported_at_ms.is_some_and(|at_ms| now_ms < at_ms + SERVED_REPORT_INTERVAL_MS) {
            return false;
        }
        entry.served_reported_at_ms = Some(now_ms);
        true
    }

    /// Applies a decision of the leader; returns true for a trial of this gateway that no request
    /// waits for.
    pub fn apply(&mut self, now_ms: u64, standing: FeatureStanding) -> bool {
        let FeatureStanding { key, standing, .. } = standing;
        self.tried.remove(&key);
        if standing == Standing::Cleared {
            self.entries.remove(&key);
            return false;
        }
        let is_own_trial = standing.trying() == Some(&self.gateway);
        self.entries.insert(key, Entry { standing, since_ms: now_ms, served_reported_at_ms: None });
        is_own_trial && !self.waiting.contains_key(&key)
    }

    /// Records that a request waits for a trial.
    pub fn begin_wait(&mut self, key: FeatureKey) {
        *self.waiting.entry(key).or_insert(0) += 1;
    }

    /// Records that a request no longer waits for a trial.
    pub fn end_wait(&mut self, key: &FeatureKey) {
        let Some(waiting) = self.waiting.get_mut(key) else { return };
        *waiting -= 1;
        if *waiting == 0 {
            self.waiting.remove(key);
        }
    }

    /// Forgets all standings except those of `keys`, which are all that the leader has.
    pub fn keep_only(&mut self, keys: &HashSet<FeatureKey>) {
        self.entries.retain(|key, _| keys.contains(key));
    }

    /// The known standing of a feature and its age in milliseconds; `None` if it has none.
    pub fn known(&self, now_ms: u64, key: &FeatureKey) -> Option<(&Standing, u64)> {
        let entry = self.entries.get(key)?;
        Some((&entry.standing, now_ms.saturating_sub(entry.since_ms)))
    }

    /// Whether a request may be sent.
    pub fn permission(&self, now_ms: u64, key: FeatureKey) -> Permission {
        let Some(Entry { standing, since_ms, .. }) = self.entries.get(&key) else {
            return Permission::Unrestricted;
        };
        let age_ms = now_ms.saturating_sub(*since_ms);
        match standing {
            Standing::Watched | Standing::Cleared => Permission::Unrestricted,
            // Requests with a common prompt part are too many to run one at a time.
            Standing::Suspected if key.prompt_part().is_some() => Permission::Once,
            Standing::Held { for_ms, .. } if age_ms < *for_ms => {
                Permission::Refused { after_ms: (for_ms - age_ms).max(RETRY_AFTER_MIN_MS) }
            }
            Standing::OnTrial { gateway, .. } | Standing::Running { gateway } => {
                let decided_ms =
                    if *gateway == self.gateway { OWN_TRIAL_MS } else { OTHER_TRIAL_MS };
                if age_ms >= decided_ms {
                    return Permission::AskLeader;
                }
                Permission::Refused { after_ms: OWN_TRIAL_MS }
            }
            Standing::Suspected | Standing::Held { .. } => Permission::AskLeader,
        }
    }

    /// How long the request is still held; `None` if it is not held.
    pub fn held_for_ms(&self, now_ms: u64, key: &FeatureKey) -> Option<u64> {
        let Entry { standing: Standing::Held { for_ms, .. }, since_ms, .. } =
            self.entries.get(key)?
        else {
            return None;
        };
        Some((since_ms + for_ms).saturating_sub(now_ms).max(RETRY_AFTER_MIN_MS))
    }

    /// Takes the trial that the leader gave to this gateway; returns false if there is none or it
    /// was used.
    pub fn take_trial(&mut self, key: &FeatureKey) -> bool {
        let Some(Entry { standing, .. }) = self.entries.get(key) else { return false };
        standing.trying() == Some(&self.gateway) && self.tried.insert(*key)
    }

    /// True if this gateway has used its trial of the request.
    pub fn has_used_trial(&self, key: &FeatureKey) -> bool {
        self.tried.contains(key)
    }
}
