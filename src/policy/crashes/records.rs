//! The recorded crashes, and when features of interrupted requests were last served.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::sync::Arc;

use crate::message::{FeatureKey, InterruptedFeature, WeightsName};

/// How long crashes are stored, for the sake of rare requests.
pub(super) const RETENTION_MS: u64 = 3_600_000;
/// The maximum number of stored crashes.
const CRASHES_MAX: usize = 1_000;
/// The maximum number of features whose last time of being served is stored.
const SERVED_MAX: usize = 4_096;

/// A feature of requests that a crash interrupted.
#[derive(Debug)]
pub(super) struct Interruption {
    /// The longest time for which a request with the feature had run there: if it crashed endpoints
    /// soon after its start, this endpoint would have crashed earlier.
    pub(super) ran_ms: u32,
    pub(super) weights: Option<WeightsName>,
    pub(super) is_evaluated: bool,
}

/// The crash of an endpoint.
#[derive(Debug)]
pub(super) struct Crash {
    pub(super) at_ms: u64,
    pub(super) service: Arc<str>,
    /// The number of endpoints of the service that ran requests, including this one: crashes of
    /// idle endpoints are not observed.
    pub(super) used: usize,
    pub(super) features: BTreeMap<FeatureKey, Interruption>,
    /// The held feature among the interrupted ones.
    pub(super) explained_by: Option<FeatureKey>,
}

/// Recorded crashes, by endpoint and by feature.
#[derive(Debug, Default)]
pub(super) struct CrashRecords {
    /// Keyed by incarnation, so that a crash reported repeatedly or by several gateways counts
    /// once.
    pub(super) by_endpoint: HashMap<Arc<str>, Crash>,
    /// Incarnations, in the order of their first reports.
    order: VecDeque<Arc<str>>,
    /// The crashes that interrupted requests with each feature since one was last served.
    pub(super) by_feature: HashMap<FeatureKey, Vec<Arc<str>>>,
    /// Features that are likely causes of the crashes that interrupted them, as of their last
    /// evaluation.
    pub(super) suspects: BTreeSet<FeatureKey>,
    /// When requests with features that a crash interrupted were last served.
    pub(super) served_at_ms: HashMap<FeatureKey, u64>,
}

impl CrashRecords {
    /// Records the crash of `endpoint` at `at_ms`, unless it is known; returns the time first
    /// recorded.
    pub(super) fn add_crash(
        &mut self,
        now_ms: u64,
        at_ms: u64,
        endpoint: &Arc<str>,
        service: Arc<str>,
        used: usize,
    ) -> u64 {
        if let Some(known) = self.by_endpoint.get(endpoint) {
            return known.at_ms;
        }
        self.remove_expired(now_ms);
        self.order.push_back(endpoint.clone());
        let (features, explained_by) = (BTreeMap::new(), None);
        let crash = Crash { at_ms, service, used: used.max(1), features, explained_by };
        self.by_endpoint.insert(endpoint.clone(), crash);
        at_ms
    }

    /// Records a feature of requests that the crash of `endpoint` interrupted; returns false if it
    /// was known.
    pub(super) fn add_feature(
        &mut self,
        endpoint: &Arc<str>,
        feature: InterruptedFeature,
        is_held: bool,
    ) -> bool {
        let InterruptedFeature { key, weights, ran_ms, .. } = feature;
        let Some(crash) = self.by_endpoint.get_mut(endpoint) else { return false };
        if is_held {
            crash.explained_by.get_or_insert(key);
        }
        if let Some(known) = crash.features.get_mut(&key) {
            known.ran_ms = ran_ms.max(known.ran_ms);
            return false;
        }
        crash.features.insert(key, Interruption { ran_ms, weights, is_evaluated: false });
        self.by_feature.entry(key).or_default().push(endpoint.clone());
        true
    }

    /// The features of a crash that have not been evaluated, which now count as evaluated. Those of
    /// more crashes come first, and of features that were always interrupted together a content
    /// before parts of prompts: it holds up fewer requests.
    pub(super) fn take_unevaluated(
        &mut self,
        endpoint: &str,
    ) -> Vec<(FeatureKey, Option<WeightsName>)> {
        let mut taken = Vec::new();
        let Some(crash) = self.by_endpoint.get_mut(endpoint) else { return taken };
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

    /// Lets a feature of a crash be evaluated again.
    pub(super) fn reset_evaluation(&mut self, endpoint: &str, key: FeatureKey) {
        let Some(crash) = self.by_endpoint.get_mut(endpoint) else { return };
        if let Some(interruption) = crash.features.get_mut(&key) {
            interruption.is_evaluated = false;
        }
    }

    /// Records that a request with the feature was served at `at_ms`. Returns the crashes that the
    /// feature explained until now.
    pub(super) fn note_served(&mut self, key: FeatureKey, at_ms: u64) -> Vec<Arc<str>> {
        if self.served_at_ms.len() >= SERVED_MAX && !self.served_at_ms.contains_key(&key) {
            let earliest = self.served_at_ms.iter().min_by_key(|(_, at_ms)| **at_ms);
            let Some((earliest, _)) = earliest else { return Vec::new() };
            let earliest = *earliest;
            self.served_at_ms.remove(&earliest);
        }
        let known_ms = self.served_at_ms.entry(key).or_insert(at_ms);
        *known_ms = at_ms.max(*known_ms);
        let Some(endpoints) = self.by_feature.get_mut(&key) else { return Vec::new() };
        let by_endpoint = &self.by_endpoint;
        let is_before = |endpoint: &mut Arc<str>| {
            by_endpoint.get(endpoint).is_none_or(|crash| crash.at_ms < at_ms)
        };
        let before: Vec<Arc<str>> = endpoints.extract_if(.., is_before).collect();
        self.remove_feature(key, before)
    }

    /// Removes a feature from all crashes. Returns those that it explained.
    pub(super) fn clear(&mut self, key: FeatureKey) -> Vec<Arc<str>> {
        self.suspects.remove(&key);
        let endpoints = self.by_feature.remove(&key).unwrap_or_default();
        self.remove_feature(key, endpoints)
    }

    /// Removes a feature from the crashes of `endpoints`. Returns those that it explained, whose
    /// other features are to be evaluated again.
    fn remove_feature(&mut self, key: FeatureKey, endpoints: Vec<Arc<str>>) -> Vec<Arc<str>> {
        let mut unexplained = Vec::new();
        for endpoint in endpoints {
            let Some(crash) = self.by_endpoint.get_mut(&endpoint) else { continue };
            crash.features.remove(&key);
            if crash.explained_by != Some(key) {
                continue;
            }
            crash.explained_by = None;
            for interruption in crash.features.values_mut() {
                interruption.is_evaluated = false;
            }
            unexplained.push(endpoint);
        }
        unexplained
    }

    /// Marks the crashes of a held feature as explained by it: they are no evidence against the
    /// other features.
    pub(super) fn explain(&mut self, key: FeatureKey) {
        for endpoint in self.by_feature.get(&key).into_iter().flatten() {
            if let Some(crash) = self.by_endpoint.get_mut(endpoint) {
                crash.explained_by.get_or_insert(key);
            }
        }
    }

    fn remove_expired(&mut self, now_ms: u64) {
        while let Some(endpoint) = self.order.front() {
            let at_ms = self.by_endpoint.get(endpoint).map_or(0, |crash| crash.at_ms);
            if self.order.len() < CRASHES_MAX && at_ms + RETENTION_MS > now_ms {
                return;
            }
            let endpoint = endpoint.clone();
            self.order.pop_front();
            let Some(crash) = self.by_endpoint.remove(&endpoint) else { continue };
            for key in crash.features.keys() {
                let Some(endpoints) = self.by_feature.get_mut(key) else { continue };
                endpoints.retain(|known| *known != endpoint);
                if endpoints.is_empty() {
                    self.by_feature.remove(key);
                    self.suspects.remove(key);
                }
            }
        }
    }
}
