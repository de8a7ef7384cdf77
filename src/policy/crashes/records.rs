//! The recorded crashes, and when features of interrupted requests were last served.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::sync::Arc;

use super::exposure::Used;
use crate::message::{FeatureKey, InterruptedFeature, WeightsName};

/// How long crashes are stored, for the sake of rare requests.
pub(super) const RETENTION_MS: u64 = 3_600_000;
/// The maximum number of stored crashes.
const CRASHES_MAX: usize = 1_000;
/// The run time that counts at least for requests that may have been sent after the crash: gateways that
/// have not heard of it send to a port that accepts connections in its endpoint's place, and would look
/// as if they had crashed it at once.
const SENT_AFTER_CRASH_RUN_MS: u32 = 200;
/// How much the times of reports differ, at most, that gateways send of the same crash.
const REPORT_JITTER_MS: u64 = 10;
/// The maximum number of features whose last time of being served is stored.
const SERVED_MAX: usize = 4_096;

/// A feature of requests that a crash interrupted.
#[derive(Debug)]
pub(super) struct Interruption {
    /// The longest time for which a request with the feature had run there: if it crashed endpoints
    /// soon after its start, this endpoint would have crashed earlier.
    ran_ms: u32,
    /// When the first of these requests was sent or, at engines, began to be answered.
    began_at_ms: u64,
    /// True if one such request ran alone, because its content was suspected.
    is_trial: bool,
    pub(super) weights: Option<WeightsName>,
    pub(super) is_evaluated: bool,
}

impl Interruption {
    /// The time for which requests with the feature had run when the endpoint crashed at `crashed_at_ms`.
    pub(super) fn ran_ms(&self, crashed_at_ms: u64) -> u32 {
        if self.began_at_ms + REPORT_JITTER_MS < crashed_at_ms {
            return self.ran_ms;
        }
        self.ran_ms.max(SENT_AFTER_CRASH_RUN_MS)
    }
}

/// Numbers crashes in the order of their first reports.
pub(super) type CrashNumber = u64;

/// The crash of an endpoint.
#[derive(Debug)]
pub(super) struct Crash {
    pub(super) endpoint: Arc<str>,
    pub(super) at_ms: u64,
    pub(super) service: Arc<str>,
    /// The number of endpoints of the service that ran requests, including this one: crashes of
    /// idle endpoints are not observed.
    pub(super) used: Used,
    pub(super) features: BTreeMap<FeatureKey, Interruption>,
    /// The held feature among the interrupted ones.
    pub(super) explained_by: Option<FeatureKey>,
    /// The number of suspects among its features.
    pub(super) suspects: usize,
    /// True while its evaluation is due: reports that arrive before it are evaluated together.
    pub(super) awaits_evaluation: bool,
}

impl Crash {
    /// True if the feature ran alone, as a trial of what it does.
    pub(super) fn is_trial_of(&self, key: FeatureKey) -> bool {
        self.features.get(&key).is_some_and(|interruption| interruption.is_trial)
    }
}

/// What the leader knew of a feature when its requests were interrupted.
#[derive(Debug, Clone, Copy)]
pub(super) struct KnownFeature {
    /// True while it is refused without exception.
    pub(super) is_held: bool,
    /// Since when one request with it at a time may run, as a trial.
    pub(super) on_trial_since_ms: Option<u64>,
}

/// Recorded crashes, by endpoint and by feature.
#[derive(Debug, Default)]
pub(super) struct CrashRecords {
    /// The crashes, in the order of their numbers.
    crashes: VecDeque<Crash>,
    /// The number of the first of `crashes`.
    first: CrashNumber,
    /// Keyed by incarnation, so that a crash reported repeatedly or by several gateways counts
    /// once.
    by_endpoint: HashMap<Arc<str>, CrashNumber>,
    /// The crashes that interrupted requests with each feature since one was last served.
    pub(super) by_feature: HashMap<FeatureKey, Vec<CrashNumber>>,
    /// Features that are likely causes of the crashes that interrupted them, as of their last
    /// evaluation.
    suspects: BTreeSet<FeatureKey>,
    /// When requests with features that a crash interrupted were last served.
    pub(super) served_at_ms: HashMap<FeatureKey, u64>,
}

impl CrashRecords {
    /// The crash with this number, unless it has expired.
    pub(super) fn get(&self, number: CrashNumber) -> Option<&Crash> {
        self.crashes.get(usize::try_from(number.checked_sub(self.first)?).ok()?)
    }

    /// Like [`CrashRecords::get`], to change it.
    pub(super) fn get_mut(&mut self, number: CrashNumber) -> Option<&mut Crash> {
        self.crashes.get_mut(usize::try_from(number.checked_sub(self.first)?).ok()?)
    }

    /// The number of the crash of an incarnation.
    pub(super) fn number_of(&self, endpoint: &str) -> Option<CrashNumber> {
        self.by_endpoint.get(endpoint).copied()
    }

    /// The number of stored crashes.
    pub(super) fn len(&self) -> usize {
        self.crashes.len()
    }

    /// The crashes, those reported last first.
    pub(super) fn latest(&self) -> impl Iterator<Item = &Crash> {
        self.crashes.iter().rev()
    }

    /// Records the crash of `endpoint` at `at_ms`, unless it is known; returns its number.
    pub(super) fn add_crash(
        &mut self,
        now_ms: u64,
        at_ms: u64,
        endpoint: &Arc<str>,
        service: Arc<str>,
        used: Used,
    ) -> CrashNumber {
        if let Some(number) = self.number_of(endpoint) {
            // Reports are delayed, so the earliest is the most accurate.
            if let Some(crash) = self.get_mut(number) {
                crash.at_ms = crash.at_ms.min(at_ms);
            }
            return number;
        }
        self.remove_expired(now_ms);
        let number = self.first + self.crashes.len() as CrashNumber;
        self.by_endpoint.insert(endpoint.clone(), number);
        self.crashes.push_back(Crash {
            endpoint: endpoint.clone(),
            at_ms,
            service,
            used,
            features: BTreeMap::new(),
            explained_by: None,
            suspects: 0,
            awaits_evaluation: false,
        });
        number
    }

    /// Records a feature of requests that a crash interrupted, as seen at `seen_at_ms`; returns false
    /// if it was known.
    pub(super) fn add_feature(
        &mut self,
        number: CrashNumber,
        seen_at_ms: u64,
        feature: InterruptedFeature,
        known_feature: KnownFeature,
    ) -> bool {
        let KnownFeature { is_held, on_trial_since_ms } = known_feature;
        let InterruptedFeature { key, weights, ran_ms, .. } = feature;
        let began_at_ms = seen_at_ms.saturating_sub(ran_ms.into());
        let is_trial = on_trial_since_ms.is_some_and(|since_ms| since_ms <= began_at_ms);
        let is_suspect = self.is_suspect(key);
        let Some(crash) = self.get_mut(number) else { return false };
        if is_held {
            crash.explained_by.get_or_insert(key);
        }
        if let Some(known) = crash.features.get_mut(&key) {
            known.ran_ms = ran_ms.max(known.ran_ms);
            known.began_at_ms = began_at_ms.min(known.began_at_ms);
            known.is_trial &= is_trial;
            return false;
        }
        crash.features.insert(
            key,
            Interruption { ran_ms, began_at_ms, is_trial, weights, is_evaluated: false },
        );
        crash.suspects += usize::from(is_suspect);
        self.by_feature.entry(key).or_default().push(number);
        true
    }

    /// The features of a crash that have not been evaluated, which now count as evaluated. Those of
    /// more crashes come first, and of features that were always interrupted together a content
    /// before parts of prompts: it holds up fewer requests.
    pub(super) fn take_unevaluated(
        &mut self,
        number: CrashNumber,
    ) -> Vec<(FeatureKey, Option<WeightsName>)> {
        let mut taken = Vec::new();
        let Some(crash) = self.get_mut(number) else { return taken };
        for (key, interruption) in &mut crash.features {
            if !std::mem::replace(&mut interruption.is_evaluated, true) {
                taken.push((*key, interruption.weights.clone()));
            }
        }
        taken.sort_by_key(|(key, _)| {
            let crashes = self.by_feature.get(key).map_or(0, Vec::len);
            (Reverse(crashes), key.prompt_part().is_some())
        });
        taken
    }

    /// Marks a crash to be evaluated; returns false if it is already.
    pub(super) fn mark_for_evaluation(&mut self, number: CrashNumber) -> bool {
        let Some(crash) = self.get_mut(number) else { return false };
        !std::mem::replace(&mut crash.awaits_evaluation, true)
    }

    /// Lets a feature of a crash be evaluated again.
    pub(super) fn reset_evaluation(&mut self, number: CrashNumber, key: FeatureKey) {
        let Some(crash) = self.get_mut(number) else { return };
        if let Some(interruption) = crash.features.get_mut(&key) {
            interruption.is_evaluated = false;
        }
    }

    /// Records that a request with the feature was served at `at_ms`. Returns the crashes that the
    /// feature explained until now.
    pub(super) fn note_served(&mut self, key: FeatureKey, at_ms: u64) -> Vec<CrashNumber> {
        if self.served_at_ms.len() >= SERVED_MAX && !self.served_at_ms.contains_key(&key) {
            let earliest = self.served_at_ms.iter().min_by_key(|(_, at_ms)| **at_ms);
            let Some((earliest, _)) = earliest else { return Vec::new() };
            let earliest = *earliest;
            self.served_at_ms.remove(&earliest);
        }
        let known_ms = self.served_at_ms.entry(key).or_insert(at_ms);
        *known_ms = at_ms.max(*known_ms);
        let Some(mut numbers) = self.by_feature.remove(&key) else { return Vec::new() };
        let is_before =
            |number: &mut CrashNumber| self.get(*number).is_none_or(|crash| crash.at_ms < at_ms);
        let before: Vec<CrashNumber> = numbers.extract_if(.., is_before).collect();
        self.by_feature.insert(key, numbers);
        self.remove_feature(key, before)
    }

    /// Removes a feature from all crashes. Returns those that it explained.
    pub(super) fn clear(&mut self, key: FeatureKey) -> Vec<CrashNumber> {
        self.set_suspect(key, false);
        let numbers = self.by_feature.remove(&key).unwrap_or_default();
        self.remove_feature(key, numbers)
    }

    /// Removes a feature from the crashes of these `numbers`. Returns those that it explained, whose
    /// other features are to be evaluated again.
    fn remove_feature(&mut self, key: FeatureKey, numbers: Vec<CrashNumber>) -> Vec<CrashNumber> {
        let is_suspect = self.is_suspect(key);
        let mut unexplained = Vec::new();
        for number in numbers {
            let Some(crash) = self.get_mut(number) else { continue };
            if crash.features.remove(&key).is_some() && is_suspect {
                crash.suspects -= 1;
            }
            if crash.explained_by != Some(key) {
                continue;
            }
            crash.explained_by = None;
            for interruption in crash.features.values_mut() {
                interruption.is_evaluated = false;
            }
            unexplained.push(number);
        }
        unexplained
    }

    /// Records whether a feature is a likely cause of the crashes that interrupted it.
    pub(super) fn set_suspect(&mut self, key: FeatureKey, is_suspect: bool) {
        let has_changed =
            if is_suspect { self.suspects.insert(key) } else { self.suspects.remove(&key) };
        if !has_changed {
            return;
        }
        for number in self.by_feature.get(&key).cloned().unwrap_or_default() {
            let Some(crash) = self.get_mut(number) else { continue };
            if is_suspect {
                crash.suspects += 1;
            } else {
                crash.suspects -= 1;
            }
        }
    }

    /// True if the feature is a likely cause of the crashes that interrupted it.
    pub(super) fn is_suspect(&self, key: FeatureKey) -> bool {
        self.suspects.contains(&key)
    }

    /// Marks the crashes of a held feature as explained by it: they are no evidence against the
    /// other features.
    pub(super) fn explain(&mut self, key: FeatureKey) {
        for number in self.by_feature.get(&key).cloned().unwrap_or_default() {
            if let Some(crash) = self.get_mut(number) {
                crash.explained_by.get_or_insert(key);
            }
        }
    }

    fn remove_expired(&mut self, now_ms: u64) {
        while let Some(crash) = self.crashes.front() {
            if self.crashes.len() < CRASHES_MAX && crash.at_ms + RETENTION_MS > now_ms {
                return;
            }
            let number = self.first;
            self.first += 1;
            let Some(crash) = self.crashes.pop_front() else { return };
            self.by_endpoint.remove(&crash.endpoint);
            for key in crash.features.keys() {
                let Some(numbers) = self.by_feature.get_mut(key) else { continue };
                numbers.retain(|known| *known != number);
                if numbers.is_empty() {
                    self.by_feature.remove(key);
                    self.suspects.remove(key);
                }
            }
        }
    }
}
