//! The standings of features: decided, committed, and ended by trials or by time.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::records::{KnownFeature, RETENTION_MS};
use crate::message::{FeatureKey, FeatureStanding, Standing, WeightsName};

/// How long a feature is held at first; each trial that crashes its endpoint multiplies the time by
/// `HELD_BACKOFF_FACTOR`.
const HELD_MS: u64 = 10_000;
const HELD_BACKOFF_FACTOR: u64 = 6;
/// The maximum time for which a feature is held.
const HELD_MAX_MS: u64 = 3_600_000;
/// The part of the holding time, in percent, after which a content is no longer held if its weights
/// are updated: the newer version may fix it.
const UPDATED_WEIGHTS_PERCENT: u64 = 50;
/// The timeout of a trial; after that, another gateway may try.
const TRIAL_TIMEOUT_MS: u64 = 15_000;
/// How long a feature is held again after a trial without an outcome.
const TRIAL_RETRY_MS: u64 = 1_000;
/// The maximum number of features whose standing is stored.
const STANDINGS_MAX: usize = 1_024;

/// A committed standing.
#[derive(Debug)]
pub(super) struct KnownStanding {
    pub(super) weights: Option<WeightsName>,
    pub(super) standing: Standing,
    pub(super) since_ms: u64,
    /// When gateways were first informed of the feature.
    pub(super) announced_at_ms: u64,
    /// True if the holding time was already shortened because the weights were updated.
    is_shortened: bool,
}

/// The standings of all features that are treated specially.
#[derive(Debug, Default)]
pub(super) struct Verdicts {
    known: BTreeMap<FeatureKey, KnownStanding>,
    /// Decided standings that are not proposed yet.
    decided: Vec<FeatureStanding>,
    /// The last decided standing of each feature whose commit is pending.
    uncommitted: BTreeMap<FeatureKey, Standing>,
}

impl Verdicts {
    /// The committed standing of a feature.
    pub(super) fn get(&self, key: FeatureKey) -> Option<&KnownStanding> {
        self.known.get(&key)
    }

    /// What is known of a feature whose requests a crash interrupted.
    pub(super) fn known_feature(&self, key: FeatureKey) -> KnownFeature {
        let known = self.get(key);
        let is_held = known.is_some_and(|known| matches!(known.standing, Standing::Held { .. }));
        let on_trial = known.filter(|known| matches!(known.standing, Standing::Running { .. }));
        KnownFeature { is_held, on_trial_since_ms: on_trial.map(|known| known.since_ms) }
    }

    /// Decides a standing, to be committed, unless it is the same as before.
    pub(super) fn decide(
        &mut self,
        key: FeatureKey,
        weights: Option<WeightsName>,
        standing: Standing,
    ) {
        let known = self.known.get(&key).map(|known| &known.standing);
        if self.uncommitted.get(&key).or(known) == Some(&standing) {
            return;
        }
        if !self.known.contains_key(&key) && self.known.len() >= STANDINGS_MAX {
            self.clear_least_severe();
        }
        self.uncommitted.insert(key, standing.clone());
        self.decided.push(FeatureStanding { key, weights, standing });
    }

    /// Clears the standing of a feature, if it has one.
    pub(super) fn clear(&mut self, key: FeatureKey) {
        let Some(known) = self.known.get(&key) else { return };
        if known.standing != Standing::Cleared {
            let weights = known.weights.clone();
            self.decide(key, weights, Standing::Cleared);
        }
    }

    /// Makes room by clearing one standing: a watched feature before a suspected before a held one,
    /// and of these the one whose standing is oldest.
    fn clear_least_severe(&mut self) {
        let rank = |known: &KnownStanding| match known.standing {
            Standing::Cleared | Standing::Watched => 0,
            Standing::Suspected | Standing::Running { .. } => 1,
            Standing::Held { .. } | Standing::OnTrial { .. } => 2,
        };
        let least = self.known.iter().min_by_key(|(_, known)| (rank(known), known.since_ms));
        let Some((key, known)) = least else { return };
        let (key, weights) = (*key, known.weights.clone());
        let standing = Standing::Cleared;
        self.uncommitted.insert(key, standing.clone());
        self.decided.push(FeatureStanding { key, weights, standing });
    }

    /// Lets `gateway` send a request with a feature that is suspected, or whose holding time is over,
    /// unless another gateway already does.
    pub(super) fn grant_trial(&mut self, now_ms: u64, key: FeatureKey, gateway: &Arc<str>) {
        let Some(known) = self.known.get(&key) else { return };
        let gateway = gateway.clone();
        let (wait_ms, granted) = match known.standing {
            Standing::Held { for_ms, times } => (for_ms, Standing::OnTrial { gateway, times }),
            Standing::OnTrial { times, .. } => {
                (TRIAL_TIMEOUT_MS, Standing::OnTrial { gateway, times })
            }
            Standing::Suspected => (0, Standing::Running { gateway }),
            Standing::Running { .. } => (TRIAL_TIMEOUT_MS, Standing::Running { gateway }),
            Standing::Watched | Standing::Cleared => return,
        };
        if known.since_ms + wait_ms > now_ms || self.uncommitted.contains_key(&key) {
            return;
        }
        self.decide(key, known.weights.clone(), granted);
    }

    /// Takes back a trial that `gateway` could not use or that had no outcome; another one may
    /// follow soon.
    pub(super) fn return_trial(&mut self, key: FeatureKey, gateway: &Arc<str>) {
        let trying = self.known.get(&key).and_then(|known| known.standing.trying());
        if trying == Some(gateway) {
            self.end_trial(key);
        }
    }

    /// Ends a trial that had no outcome.
    pub(super) fn end_trial(&mut self, key: FeatureKey) {
        let Some(known) = self.known.get(&key) else { return };
        let standing = match &known.standing {
            Standing::OnTrial { times, .. } => {
                Standing::Held { for_ms: TRIAL_RETRY_MS, times: *times }
            }
            Standing::Running { .. } => Standing::Suspected,
            _ => return,
        };
        if !self.uncommitted.contains_key(&key) {
            self.decide(key, known.weights.clone(), standing);
        }
    }

    /// True if a trial of the feature was granted after `from_ms`, and not after `until_ms`.
    pub(super) fn is_trial_between(&self, key: FeatureKey, from_ms: u64, until_ms: u64) -> bool {
        self.get(key).is_some_and(|known| {
            known.standing.trying().is_some() && (from_ms + 1..=until_ms).contains(&known.since_ms)
        })
    }

    /// Shortens the time for which contents for `name` are held, since `name` has just got a newer
    /// version.
    pub(super) fn note_weights_updated(&mut self, now_ms: u64, name: &WeightsName) {
        let mut shortened = Vec::new();
        for (key, known) in &mut self.known {
            let Some(weights) = &known.weights else { continue };
            let Standing::Held { for_ms, times } = known.standing else { continue };
            if known.is_shortened || (weights != name && weights.base() != *name) {
                continue;
            }
            known.is_shortened = true;
            let until_ms = known.since_ms + for_ms * UPDATED_WEIGHTS_PERCENT / 100;
            let standing = Standing::Held { for_ms: until_ms.saturating_sub(now_ms), times };
            shortened.push((*key, known.weights.clone(), standing));
        }
        for (key, weights, standing) in shortened {
            self.decide(key, weights, standing);
        }
    }

    /// Takes the standings decided since the last call, to be committed.
    pub(super) fn take_decided(&mut self) -> Vec<FeatureStanding> {
        std::mem::take(&mut self.decided)
    }

    /// Applies a committed standing.
    pub(super) fn apply_committed(&mut self, now_ms: u64, committed: &FeatureStanding) {
        let FeatureStanding { key, weights, standing } = committed;
        self.uncommitted.remove(key);
        let before = self.known.remove(key);
        if *standing == Standing::Cleared {
            return;
        }
        let is_still_shortened = |known: &KnownStanding| {
            let times = known.standing.times_held();
            known.is_shortened && times == standing.times_held()
        };
        let known = KnownStanding {
            weights: weights.clone(),
            standing: standing.clone(),
            since_ms: now_ms,
            announced_at_ms: before.as_ref().map_or(now_ms, |before| before.announced_at_ms),
            is_shortened: before.as_ref().is_some_and(is_still_shortened),
        };
        self.known.insert(*key, known);
    }

    /// Clears standings that have not changed for long.
    pub(super) fn clear_expired(&mut self, now_ms: u64) {
        let mut ended = Vec::new();
        for (key, known) in &self.known {
            if known.since_ms + RETENTION_MS + HELD_MAX_MS <= now_ms {
                ended.push((*key, known.weights.clone()));
            }
        }
        for (key, weights) in ended {
            self.decide(key, weights, Standing::Cleared);
        }
    }
}

/// The standing of a feature that was held `times` before.
pub(super) fn held(times: u32) -> Standing {
    let for_ms = HELD_BACKOFF_FACTOR
        .checked_pow(times)
        .map_or(HELD_MAX_MS, |multiple| HELD_MS.saturating_mul(multiple).min(HELD_MAX_MS));
    Standing::Held { for_ms, times }
}
