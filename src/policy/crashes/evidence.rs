//! The evidence of recorded crashes against features of the interrupted requests.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::exposure::Used;
use super::records::{Crash, CrashNumber, CrashRecords};
use crate::message::FeatureKey;

/// A p-value `p` becomes the e-value `CALIBRATOR_POWER * p.powf(CALIBRATOR_POWER - 1)`.
const CALIBRATOR_POWER: f64 = 0.5;
/// The number of crashes from which a feature may be held.
const HELD_CRASHES: usize = 3;
/// The e-value from which a feature is held.
const HELD_E_VALUE: f64 = 3_000.0;
/// The e-value from which the prime suspect of at least `HELD_CRASHES` crashes is held.
const HELD_PRIME_E_VALUE: f64 = 200.0;
/// The e-value from which a feature of at least `HELD_CRASHES` crashes is held, if one of them was in a
/// trial: by then the gateways had time to report that they served it.
const HELD_TRIED_E_VALUE: f64 = 200.0;
/// The run time that counts at least for a trial. Its probability to be interrupted must not depend on
/// when the endpoint crashed.
const TRIAL_RUN_MIN_MS: u32 = 200;
/// The number of crashes from which their prime suspect explains them for the other interrupted
/// features.
const EXPLAINING_CRASHES: usize = 2;
/// How long a feature that was served is an unlikely cause of crashes.
const RECENTLY_SERVED_MS: u64 = 60_000;
/// The e-value from which each attempt of a request goes to one endpoint only.
const SUSPECTED_E_VALUE: f64 = 30.0;
/// The mean e-value of a crash from which a feature of at least `HELD_CRASHES` crashes is suspected: at a
/// service with an endpoint or two, each single crash says little.
const SUSPECTED_MEAN_E_VALUE: f64 = 1.6;
/// The number of crashes from which gateways report when a feature is served.
const WATCHED_CRASHES: usize = 2;
/// The minimum time over which the crash rate is measured: the first crash of a series gives no
/// rate.
pub(super) const RATE_PERIOD_MIN_MS: u64 = 2_000;
/// The maximum time over which the crash rate is measured.
const RATE_PERIOD_MAX_MS: u64 = 60_000;
/// The maximum number of crashes over which the rate is measured.
const RATE_CRASHES_MAX: usize = 64;
/// The number of a feature's latest crashes that count as evidence: a cause is found with a few, and
/// the evaluation compares each of them with others.
const EVIDENCE_MAX: usize = 12;
/// Crashes up to this long after another one count for its rate too: simultaneous crashes are
/// reported one by one.
const SIMULTANEOUS_MS: u64 = 250;

/// What the evidence against a feature amounts to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Assessment {
    /// Gateways report when it is served.
    Watch,
    /// Each attempt goes to one endpoint only.
    Suspect,
    /// It is refused.
    Hold,
}

/// The evidence against a feature.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Evidence {
    /// The number of crashes that no other feature explains.
    pub crashes: usize,
    /// The evidence of these crashes as an e-value.
    pub e_value: f64,
    /// The number of them that have the feature as their prime suspect.
    pub prime_crashes: usize,
    /// The number of them that happened in trials.
    pub trial_crashes: usize,
    /// True if another feature is a likelier cause of them.
    pub has_likelier_cause: bool,
}

impl Evidence {
    /// What follows from the evidence.
    pub(super) fn assess(self) -> Assessment {
        let required = if self.trial_crashes > 0 { HELD_TRIED_E_VALUE } else { HELD_E_VALUE };
        let is_proven = self.crashes >= HELD_CRASHES && self.e_value >= required;
        let is_prime = self.prime_crashes >= HELD_CRASHES && self.e_value >= HELD_PRIME_E_VALUE;
        if (is_proven && !self.has_likelier_cause) || is_prime {
            return Assessment::Hold;
        }
        let is_suspect = self.e_value >= SUSPECTED_E_VALUE
            || self.prime_crashes >= EXPLAINING_CRASHES
            || (self.crashes >= HELD_CRASHES
                && self.e_value.powf(1.0 / self.crashes as f64) >= SUSPECTED_MEAN_E_VALUE
                && !self.has_likelier_cause);
        if is_suspect { Assessment::Suspect } else { Assessment::Watch }
    }
}

impl CrashRecords {
    /// The evidence against a feature; `None` for too few crashes.
    pub(super) fn evidence(&self, key: FeatureKey) -> Option<Evidence> {
        let crashes = self.unexplained_count(key);
        if crashes < WATCHED_CRASHES {
            return None;
        }
        let e_value = self.e_value(key);
        let has_likelier_cause = crashes >= HELD_CRASHES && self.has_likelier_cause(key);
        let prime_crashes = self.prime_crashes(key);
        let is_trial = |crash: &&Crash| self.is_trial(key, crash);
        let trial_crashes = self.unexplained_crashes(key).filter(is_trial).count();
        Some(Evidence { crashes, e_value, prime_crashes, trial_crashes, has_likelier_cause })
    }

    /// How a feature was interrupted by a crash; `None` if the crash has expired.
    pub(super) fn weigh(&self, number: CrashNumber, key: FeatureKey) -> Option<(&Crash, u32, f64)> {
        let crash = self.get(number)?;
        let ran_ms = crash.features.get(&key)?.ran_ms(crash.at_ms);
        Some((crash, ran_ms, self.crash_e_value(key, crash)))
    }

    /// Updates which of the features interrupted by a crash are suspects.
    pub(super) fn update_suspects(&mut self, number: CrashNumber) {
        let Some(crash) = self.get(number) else { return };
        for key in crash.features.keys().copied().collect::<Vec<_>>() {
            let is_likely_cause = self.unexplained_count(key) >= HELD_CRASHES
                && self.e_value(key) >= SUSPECTED_E_VALUE
                && !self.has_likelier_cause(key);
            let is_suspect = is_likely_cause || self.prime_crashes(key) >= EXPLAINING_CRASHES;
            self.set_suspect(key, is_suspect);
        }
    }

    /// True if the feature is a possible cause of a crash that it is known to have been part of.
    pub(super) fn is_possible_cause(&self, number: CrashNumber, key: FeatureKey) -> bool {
        self.get(number).is_some_and(|crash| {
            self.crash_e_value(key, crash) >= 1.0 && !self.is_explained_without(key, crash)
        })
    }

    /// True if a feature other than `key` is likely to have caused the crash.
    fn is_explained_without(&self, key: FeatureKey, crash: &Crash) -> bool {
        if let Some(explained_by) = crash.explained_by {
            return explained_by != key;
        }
        let own = self.is_suspect(key) && crash.features.contains_key(&key);
        crash.suspects > usize::from(own)
    }

    /// True if a feature was served so shortly before the crash that it is an unlikely cause.
    fn is_recently_served(&self, key: FeatureKey, crash: &Crash) -> bool {
        self.served_at_ms.get(&key).is_some_and(|at_ms| crash.at_ms < at_ms + RECENTLY_SERVED_MS)
    }

    /// The most likely cause of a crash: among the features not served recently, the one with the
    /// most crashes; `None` if two have as many, or if no gateway reports which features it served.
    fn prime_suspect(&self, crash: &Crash) -> Option<FeatureKey> {
        if self.served_at_ms.is_empty() {
            return None;
        }
        let mut suspect = None;
        let mut most_crashes = 0;
        for key in crash.features.keys() {
            let crashes = self.by_feature.get(key).map_or(0, Vec::len);
            if crashes < most_crashes || self.is_recently_served(*key, crash) {
                continue;
            }
            suspect = (crashes > most_crashes).then_some(*key);
            most_crashes = crashes;
        }
        suspect
    }

    /// The number of crashes soon after the start of a request with the feature that have it as
    /// their prime suspect; 0 unless, for one of them, it was the only interrupted feature that was
    /// not served recently.
    ///
    /// This avoids holding a feature that was interrupted together with several others: one of
    /// these is always among the interrupted ones too.
    fn prime_crashes(&self, key: FeatureKey) -> usize {
        let mut crashes = 0;
        let mut was_only_candidate = false;
        for crash in self.unexplained_crashes(key) {
            if self.prime_suspect(crash) != Some(key) || self.crash_e_value(key, crash) < 1.0 {
                continue;
            }
            crashes += 1;
            let mut others = crash.features.keys().filter(|other| **other != key);
            was_only_candidate |= others.all(|other| self.is_recently_served(*other, crash));
        }
        if was_only_candidate { crashes } else { 0 }
    }

    /// The number of crashes of a feature that no other feature explains.
    fn unexplained_count(&self, key: FeatureKey) -> usize {
        self.unexplained_crashes(key).count()
    }

    /// The evidence that the feature causes its crashes rather than being interrupted by
    /// coincidence, as an e-value.
    pub(super) fn e_value(&self, key: FeatureKey) -> f64 {
        let mut e_value = 1.0;
        for crash in self.unexplained_crashes(key) {
            e_value *= self.crash_e_value(key, crash);
        }
        e_value
    }

    fn crash_e_value(&self, key: FeatureKey, crash: &Crash) -> f64 {
        let ran_ms = crash.features.get(&key).map_or(u32::MAX, |run| run.ran_ms(crash.at_ms));
        let rate_per_ms = self.background_rate_per_ms(key, crash);
        let p_value = |ran_ms: u32, used: usize| {
            1.0 - (-rate_per_ms / used.max(1) as f64 * f64::from(ran_ms)).exp()
        };
        let Used { within_period, at_crash } = crash.used;
        if self.is_trial(key, crash) {
            // The likelihood ratio: a trial of the cause always crashes its endpoint.
            return 1.0 / p_value(ran_ms.max(TRIAL_RUN_MIN_MS), at_crash);
        }
        // What is served now and then is interrupted by most crashes of a service that is seldom up, where few
        // endpoints were really in use.
        let used = if self.is_recently_served(key, crash) { at_crash } else { within_period };
        CALIBRATOR_POWER * p_value(ran_ms.max(1), used).powf(CALIBRATOR_POWER - 1.0)
    }

    /// True if a feature that had not been served for long ran alone, as a trial of what it does.
    ///
    /// Requests that are repeated all the time are interrupted together by each crash, whether one of them is
    /// on trial or not; they have been served before.
    fn is_trial(&self, key: FeatureKey, crash: &Crash) -> bool {
        crash.is_trial_of(key) && !self.is_recently_served(key, crash)
    }

    /// The endpoints whose crashes count as evidence against a feature.
    pub(super) fn crashed_endpoints(&self, key: FeatureKey) -> Vec<Arc<str>> {
        let mut endpoints = Vec::new();
        for crash in self.crashes_with(key) {
            if crash.explained_by.is_none_or(|cause| cause == key) {
                endpoints.push(crash.endpoint.clone());
            }
        }
        endpoints
    }

    fn crashes_with(&self, key: FeatureKey) -> impl DoubleEndedIterator<Item = &Crash> {
        let numbers = self.by_feature.get(&key).into_iter().flatten();
        numbers.filter_map(|number| self.get(*number))
    }

    /// The latest crashes of a feature that no other feature explains.
    fn unexplained_crashes(&self, key: FeatureKey) -> impl Iterator<Item = &Crash> {
        let is_unexplained = move |crash: &&Crash| match crash.explained_by {
            Some(explained_by) => explained_by == key,
            None => !(self.is_recently_served(key, crash) && self.has_other_candidate(key, crash)),
        };
        self.crashes_with(key).rev().filter(is_unexplained).take(EVIDENCE_MAX)
    }

    /// The number of comparisons that the evaluation of a crash takes, up to a constant factor.
    pub(super) fn evaluation_cost(&self, number: CrashNumber) -> usize {
        let Some(crash) = self.get(number) else { return 0 };
        let compared = self.len().min(RATE_CRASHES_MAX);
        let mut cost = 0;
        for key in crash.features.keys() {
            let crashes = self.by_feature.get(key).map_or(0, Vec::len);
            cost += crashes.min(EVIDENCE_MAX) * compared;
        }
        cost
    }

    /// True if another feature, which was not served recently or is a suspect, may have caused the
    /// crash.
    fn has_other_candidate(&self, key: FeatureKey, crash: &Crash) -> bool {
        let mut others = crash.features.keys().filter(|other| **other != key);
        others.any(|other| !self.is_recently_served(*other, crash) || self.is_suspect(*other))
    }

    /// True if another feature was interrupted by all crashes of this one, or all but one, after a
    /// shorter time: the other feature caused them, and this one was interrupted by coincidence
    /// each time.
    fn has_likelier_cause(&self, key: FeatureKey) -> bool {
        let crashes: Vec<&Crash> = self.unexplained_crashes(key).collect();
        let mut shared: BTreeMap<FeatureKey, usize> = BTreeMap::new();
        for crash in &crashes {
            for other in crash.features.keys() {
                if *other != key && !self.is_recently_served(*other, crash) {
                    *shared.entry(*other).or_default() += 1;
                }
            }
        }
        // Few features are left to compare the evidence with, which takes longer.
        shared.retain(|_, shared| *shared + 1 >= crashes.len());
        shared.keys().any(|other| self.is_likelier_cause(*other, key, &crashes))
    }

    /// True if the crashes that interrupted both features are stronger evidence against `other`.
    fn is_likelier_cause(&self, other: FeatureKey, key: FeatureKey, crashes: &[&Crash]) -> bool {
        let mut e_value_ratio = 1.0;
        for crash in crashes {
            if crash.features.contains_key(&other) && !self.is_recently_served(other, crash) {
                e_value_ratio *= self.crash_e_value(other, crash) / self.crash_e_value(key, crash);
            }
        }
        e_value_ratio > 1.0
    }

    /// The crash rate of the service, without the other crashes that interrupted the
    /// feature: the highest rate over all periods that end with this crash, since crashes come in
    /// series.
    fn background_rate_per_ms(&self, key: FeatureKey, crash: &Crash) -> f64 {
        let from_ms = crash.at_ms.saturating_sub(RATE_PERIOD_MAX_MS);
        let until_ms = crash.at_ms + SIMULTANEOUS_MS;
        let mut ages_ms = Vec::new();
        for other in self.latest() {
            if ages_ms.len() == RATE_CRASHES_MAX {
                break;
            }
            if other.service != crash.service || !(from_ms..=until_ms).contains(&other.at_ms) {
                continue;
            }
            let is_same_crash = std::ptr::eq(other, crash);
            if !is_same_crash && other.features.contains_key(&key) {
                continue;
            }
            // Several features that crash endpoints in turn would otherwise count as each other's
            // background rate.
            if !is_same_crash && self.is_explained_without(key, other) {
                continue;
            }
            ages_ms.push(crash.at_ms.saturating_sub(other.at_ms));
        }
        ages_ms.sort_unstable();
        let mut highest: f64 = 0.0;
        for (position, age_ms) in ages_ms.iter().enumerate() {
            let rate = (position + 1) as f64 / (age_ms + RATE_PERIOD_MIN_MS) as f64;
            highest = highest.max(rate);
        }
        highest
    }
}
