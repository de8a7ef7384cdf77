//! Detects endpoints that ended while they ran requests, and reports them to the control leader.
//!
//! A response that breaks off is weak evidence, since a connection may be reset while its endpoint
//! keeps running. So the gateway probes the endpoint, once for all responses that broke off
//! together.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::mpsc;
use tracing::info;

use super::served::RecentlyServed;
use super::standings::Standings;
use crate::message::{
    EndpointCrash, FeatureKey, FeatureStanding, InterruptedFeature, RegisteredEndpoint, SessionUp,
    Standing,
};

/// How long broken responses are kept after their endpoint seemed alive: an endpoint that restarts
/// at once answers the probe, and registers its new incarnation within this time.
const UNCONFIRMED_MS: u64 = 5_000;
/// The shortest interval between probes of a silent endpoint.
const SILENT_PROBE_INTERVAL_MS: u64 = 3_000;
/// The maximum number of features in the report of a crash; clients may send any number of parts.
const FEATURES_MAX: usize = 512;
/// How long crashes are resent to new leaders.
const RESEND_MS: u64 = 60_000;
/// The maximum number of crashes that are resent.
const RESEND_MAX: usize = 256;

/// A gateway's record of endpoint crashes, and of the standings that the leader gave to requests
/// which may have caused them.
#[derive(Debug)]
pub(super) struct CrashWatch {
    standings: Mutex<Standings>,
    records: Mutex<CrashRecords>,
    served: Mutex<RecentlyServed>,
    liveness_checks: mpsc::UnboundedSender<LivenessCheck>,
    outgoing: mpsc::UnboundedSender<SessionUp>,
}

#[derive(Debug, Default)]
struct CrashRecords {
    /// Broken responses of endpoints that have not been probed yet.
    broken: HashMap<Arc<str>, Broken>,
    /// Broken responses of endpoints that answered the probe or could not be reached.
    unconfirmed: HashMap<Arc<str>, Broken>,
    /// Detected crashes, each with the time of its first broken response.
    crashes: VecDeque<(u64, EndpointCrash)>,
    /// The time of the last probe of each silent endpoint.
    silent_probed_at_ms: HashMap<Arc<str>, u64>,
}

/// A check whether an endpoint that may have ended still runs.
#[derive(Debug)]
pub(super) struct LivenessCheck {
    /// The endpoint's incarnation.
    pub(super) id: Arc<str>,
    pub(super) service: Arc<str>,
    /// The endpoint to probe; `None` if it has certainly ended.
    pub(super) endpoint: Option<RegisteredEndpoint>,
    /// True if the endpoint broke off no response but has been silent for long.
    pub(super) is_silent: bool,
}

/// Responses that an endpoint broke off.
#[derive(Debug)]
struct Broken {
    since_ms: u64,
    /// The number of responses.
    runs: usize,
    features: BTreeMap<FeatureKey, InterruptedFeature>,
    /// The features that one of the requests was a trial of.
    tried: BTreeSet<FeatureKey>,
    /// True once another incarnation has taken the endpoint's place, which answers at its address.
    is_replaced: bool,
}

/// A request whose response an endpoint broke off.
#[derive(Debug)]
pub(super) struct BrokenRun {
    pub(super) sent_at_ms: u64,
    pub(super) features: Vec<InterruptedFeature>,
    /// The features that the request was a trial of.
    pub(super) tried: Vec<FeatureKey>,
}

impl Broken {
    fn new(since_ms: u64) -> Self {
        let (features, tried) = (BTreeMap::new(), BTreeSet::new());
        Self { since_ms, runs: 0, features, tried, is_replaced: false }
    }

    fn add(&mut self, run: BrokenRun) {
        self.runs += 1;
        self.tried.extend(run.tried);
        for feature in run.features {
            if let Some(known) = self.features.get_mut(&feature.key) {
                known.ran_ms = known.ran_ms.max(feature.ran_ms);
                continue;
            }
            if self.features.len() < FEATURES_MAX {
                self.features.insert(feature.key, feature);
            }
        }
    }

    fn into_features(self) -> Vec<InterruptedFeature> {
        self.features.into_values().collect()
    }
}

impl CrashWatch {
    /// Creates an empty record. Liveness checks to run are sent to `liveness_checks`, messages for
    /// the leader to `outgoing`.
    pub(super) fn new(
        gateway: Arc<str>,
        liveness_checks: mpsc::UnboundedSender<LivenessCheck>,
        outgoing: mpsc::UnboundedSender<SessionUp>,
    ) -> Self {
        let standings = Mutex::new(Standings::new(gateway));
        Self {
            standings,
            records: Mutex::default(),
            served: Mutex::default(),
            liveness_checks,
            outgoing,
        }
    }

    pub(super) fn standings(&self) -> MutexGuard<'_, Standings> {
        self.standings.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn records(&self) -> MutexGuard<'_, CrashRecords> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn served(&self) -> MutexGuard<'_, RecentlyServed> {
        self.served.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that a request with the feature `key` was served, and reports it to the leader if it
    /// watches the feature.
    pub(super) fn note_served(&self, now_ms: u64, key: FeatureKey) {
        self.served().note(now_ms, key);
        if self.standings().note_served(now_ms, &key) {
            info!(event = "watched_feature_served", key = %key);
            self.send_to_leader(SessionUp::Served(key));
        }
    }

    /// How long ago this gateway last served a request with the feature `key`, if that is remembered.
    pub(super) fn served_ago_ms(&self, now_ms: u64, key: &FeatureKey) -> Option<u32> {
        self.served().ago_ms(now_ms, key)
    }

    /// Applies a standing that the leader decided.
    pub(super) fn apply_standing(&self, now_ms: u64, standing: FeatureStanding) {
        if standing.standing == Standing::Cleared {
            for (_, crash) in &mut self.records().crashes {
                crash.features.retain(|feature| feature.key != standing.key);
            }
        }
        let key = standing.key;
        if matches!(standing.standing, Standing::Watched | Standing::Suspected)
            && let Some(ago_ms) = self.served_ago_ms(now_ms, &key)
        {
            self.send_to_leader(SessionUp::ServedBefore { key, ago_ms });
        }
        if self.standings().apply(now_ms, standing) {
            self.return_trial(key, "no request waits for it");
        }
    }

    /// Returns a trial without an outcome to the leader, which would otherwise wait for one; `reason`
    /// is logged.
    pub(super) fn return_trial(&self, key: FeatureKey, reason: &str) {
        info!(event = "trial_without_outcome", key = %key, reason);
        self.send_to_leader(SessionUp::TrialReturned(key));
    }

    /// Forgets all standings except those of `keys`.
    pub(super) fn retain_standings(&self, keys: &HashSet<FeatureKey>) {
        self.standings().keep_only(keys);
    }

    /// Records a response that an endpoint broke off. Returns false if it is no evidence about the request.
    pub(super) fn note_broken_run(
        &self,
        now_ms: u64,
        check: LivenessCheck,
        run: BrokenRun,
    ) -> bool {
        let mut records = self.records();
        // A request sent to an endpoint that had already ended cannot have caused the end.
        if records.first_broken_ms(&check.id).is_some_and(|at_ms| at_ms <= run.sent_at_ms) {
            return false;
        }
        if let Some(broken) = records.broken.get_mut(&check.id) {
            broken.is_replaced |= check.endpoint.is_none();
            broken.add(run);
            return true;
        }
        let mut broken = Broken::new(now_ms);
        broken.add(run);
        records.broken.insert(check.id.clone(), broken);
        // The receiver lives as long as the process.
        let _ = self.liveness_checks.send(check);
        true
    }

    /// Records a request that an endpoint has not answered, in case it is replaced soon.
    pub(super) fn note_unanswered_run(&self, now_ms: u64, endpoint: &Arc<str>, run: BrokenRun) {
        let mut records = self.records();
        records.forget_old(now_ms);
        let broken = records.unconfirmed.entry(endpoint.clone());
        broken.or_insert_with(|| Broken::new(now_ms)).add(run);
    }

    /// Queues a liveness check of an endpoint that has been silent for long, unless one was queued
    /// less than [`SILENT_PROBE_INTERVAL_MS`] ago.
    pub(super) fn probe_silent(&self, now_ms: u64, endpoint: RegisteredEndpoint) {
        let mut records = self.records();
        records.silent_probed_at_ms.retain(|_, at_ms| now_ms < *at_ms + SILENT_PROBE_INTERVAL_MS);
        if records.silent_probed_at_ms.contains_key(&endpoint.id) {
            return;
        }
        records.silent_probed_at_ms.insert(endpoint.id.clone(), now_ms);
        let (id, service) = (endpoint.id.clone(), endpoint.service.clone());
        let check = LivenessCheck { id, service, endpoint: Some(endpoint), is_silent: true };
        // The receiver lives as long as the process.
        let _ = self.liveness_checks.send(check);
    }

    /// Handles a new incarnation in the endpoint's place: the responses that broke off shortly
    /// before count as a crash, although the address answered the probe.
    pub(super) fn note_replaced(&self, now_ms: u64, endpoint: &RegisteredEndpoint) {
        let mut records = self.records();
        if let Some(broken) = records.broken.get_mut(&endpoint.id) {
            broken.is_replaced |= !endpoint.leaving;
        }
        let Some(broken) = records.unconfirmed.remove(&endpoint.id) else { return };
        if endpoint.leaving || broken.since_ms + UNCONFIRMED_MS <= now_ms {
            return;
        }
        let crash = records.add_crash(now_ms, broken, &endpoint.id, &endpoint.service);
        drop(records);
        self.send_to_leader(SessionUp::Crashes(vec![crash]));
    }

    /// Records that an endpoint answered the probe or could not be reached.
    pub(super) fn note_alive(&self, now_ms: u64, endpoint: &Arc<str>) {
        let mut records = self.records();
        let Some(broken) = records.broken.remove(endpoint) else { return };
        records.forget_old(now_ms);
        let tried = broken.tried.clone();
        let (runs, features) = (broken.runs, broken.features.len());
        info!(event = "broken_runs_unconfirmed", endpoint = %endpoint, runs, features);
        records.unconfirmed.insert(endpoint.clone(), broken);
        drop(records);
        for key in tried {
            if self.standings().has_used_trial(&key) {
                self.return_trial(key, "the endpoint seems alive");
            }
        }
    }

    /// Records that an endpoint has ended, and reports the crash to the leader.
    pub(super) fn note_ended(&self, now_ms: u64, endpoint: &Arc<str>, service: &Arc<str>) {
        let mut records = self.records();
        let Some(broken) = records.broken.remove(endpoint) else { return };
        let crash = records.add_crash(now_ms, broken, endpoint, service);
        drop(records);
        self.send_to_leader(SessionUp::Crashes(vec![crash]));
    }

    /// True if another incarnation has taken the place of an endpoint that broke off responses.
    pub(super) fn is_replaced(&self, endpoint: &str) -> bool {
        self.records().broken.get(endpoint).is_some_and(|broken| broken.is_replaced)
    }

    /// The number of broken responses of an endpoint that has not been probed yet.
    pub(super) fn count_broken(&self, endpoint: &str) -> usize {
        self.records().broken.get(endpoint).map_or(0, |broken| broken.runs)
    }

    /// Queues a message for the leader; it is sent with the next session if there is none now.
    pub(super) fn send_to_leader(&self, up: SessionUp) {
        // The receiver lives as long as the process.
        let _ = self.outgoing.send(up);
    }

    /// The recent crashes, for a leader that may not know them.
    pub(super) fn recent_crashes(&self, now_ms: u64) -> Vec<EndpointCrash> {
        let mut recent = Vec::new();
        let mut records = self.records();
        records.forget_old(now_ms);
        for (at_ms, crash) in &records.crashes {
            let ago_ms = u32::try_from(now_ms - at_ms).unwrap_or(u32::MAX);
            recent.push(EndpointCrash { ago_ms, ..crash.clone() });
        }
        recent
    }
}

impl CrashRecords {
    /// When `endpoint` first broke off a response, if it has ended or is about to be probed.
    fn first_broken_ms(&self, endpoint: &str) -> Option<u64> {
        if let Some(broken) = self.broken.get(endpoint) {
            return Some(broken.since_ms);
        }
        let ended = self.crashes.iter().find(|(_, crash)| &*crash.endpoint == endpoint);
        ended.map(|(at_ms, _)| *at_ms)
    }

    /// Records a crash, to be reported now and resent to new leaders.
    fn add_crash(
        &mut self,
        now_ms: u64,
        broken: Broken,
        endpoint: &Arc<str>,
        service: &Arc<str>,
    ) -> EndpointCrash {
        let since_ms = broken.since_ms;
        let runs = broken.runs;
        let features = broken.into_features();
        info!(event = "crash_confirmed", endpoint = %endpoint, runs, features = features.len());
        let ago_ms = u32::try_from(now_ms - since_ms).unwrap_or(u32::MAX);
        let (endpoint, service) = (endpoint.clone(), service.clone());
        let crash = EndpointCrash { endpoint, service, ago_ms, features };
        self.crashes.push_back((since_ms, crash.clone()));
        self.forget_old(now_ms);
        crash
    }

    fn forget_old(&mut self, now_ms: u64) {
        self.unconfirmed.retain(|_, broken| broken.since_ms + UNCONFIRMED_MS > now_ms);
        let is_old = |(at_ms, _): &(u64, EndpointCrash)| at_ms + RESEND_MS <= now_ms;
        while self.crashes.len() > RESEND_MAX || self.crashes.front().is_some_and(is_old) {
            self.crashes.pop_front();
        }
    }
}
