//! Endpoints that end under requests: seen here, told to the leader.
//!
//! An answer that breaks off tells little by itself: a connection may be reset while its endpoint goes on. So
//! the endpoint is asked whether it is still there, once for all answers that broke off together.

use std::collections::{HashMap, HashSet, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::mpsc;
use tracing::info;

use super::served::ServedLately;
use super::standings::Standings;
use crate::message::{
    BrokenRun, EndpointCrash, RegisteredEndpoint, RequestKey, RequestStanding, SessionUp, Standing,
};

/// How long answers that broke off are remembered for the case that their endpoint had ended after all:
/// one that is back at once answers when it is asked, and registers within this time.
const UNCONFIRMED_MS: u64 = 5_000;
/// How often a silent endpoint is asked, at most.
const ASK_SILENT_EVERY_MS: u64 = 3_000;
/// How long ends are told again to new leaders.
const RESENT_MS: u64 = 60_000;
/// Ends that are told again.
const RESENT_MAX: usize = 256;

/// What a gateway sees of ends and knows of standings.
#[derive(Debug)]
pub(super) struct CrashWatch {
    standings: Mutex<Standings>,
    seen: Mutex<Seen>,
    served: Mutex<ServedLately>,
    suspects: mpsc::UnboundedSender<Suspect>,
    up: mpsc::UnboundedSender<SessionUp>,
}

#[derive(Debug, Default)]
struct Seen {
    /// Answers that broke off and whose endpoints have not been asked yet.
    broken: HashMap<Arc<str>, Broken>,
    /// Answers that broke off at endpoints which answered when they were asked, or could not be reached.
    unconfirmed: HashMap<Arc<str>, Broken>,
    /// Ends that were seen, by when.
    crashes: VecDeque<(u64, EndpointCrash)>,
    /// When silent endpoints were asked last.
    asked_silent_at_ms: HashMap<Arc<str>, u64>,
}

/// An endpoint that may have ended.
#[derive(Debug)]
pub(super) struct Suspect {
    /// Its incarnation.
    pub(super) id: Arc<str>,
    pub(super) service: Arc<str>,
    /// Whom to ask; none when it has ended for certain.
    pub(super) endpoint: Option<RegisteredEndpoint>,
    /// True when it broke nothing off, but has been silent for long.
    pub(super) is_silent: bool,
}

/// Answers that an endpoint broke off.
#[derive(Debug, Default)]
struct Broken {
    since_ms: u64,
    runs: Vec<BrokenRun>,
}

impl CrashWatch {
    /// Nothing seen yet; endpoints to ask go to `suspects`, what the leader should know to `up`.
    pub(super) fn new(
        gateway: Arc<str>,
        suspects: mpsc::UnboundedSender<Suspect>,
        up: mpsc::UnboundedSender<SessionUp>,
    ) -> Self {
        let standings = Mutex::new(Standings::new(gateway));
        Self { standings, seen: Mutex::default(), served: Mutex::default(), suspects, up }
    }

    pub(super) fn standings(&self) -> MutexGuard<'_, Standings> {
        self.standings.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn seen(&self) -> MutexGuard<'_, Seen> {
        self.seen.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn served(&self) -> MutexGuard<'_, ServedLately> {
        self.served.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes that a request with the content `key` was served.
    pub(super) fn note_served(&self, now_ms: u64, key: RequestKey) {
        self.served().note(now_ms, key);
    }

    /// How long ago this gateway served the content `key`, if it was lately.
    pub(super) fn served_ago_ms(&self, now_ms: u64, key: &RequestKey) -> Option<u32> {
        self.served().ago_ms(now_ms, key)
    }

    /// Takes over how requests are treated.
    pub(super) fn apply_standing(&self, now_ms: u64, standing: RequestStanding) {
        if standing.standing == Standing::Cleared {
            for (_, crash) in &mut self.seen().crashes {
                crash.runs.retain(|run| run.key != standing.key);
            }
        }
        let key = standing.key;
        if matches!(standing.standing, Standing::Watched | Standing::Suspected)
            && let Some(ago_ms) = self.served_ago_ms(now_ms, &key)
        {
            self.report(SessionUp::ServedBefore { key, ago_ms });
        }
        if self.standings().apply(now_ms, standing) {
            self.return_trial(key);
        }
    }

    /// Returns a trial without an outcome to the leader, so that it need not wait for one.
    pub(super) fn return_trial(&self, key: RequestKey) {
        info!(event = "trial_without_outcome", key = %key);
        self.report(SessionUp::TrialReturned(key));
    }

    /// Forgets all standings but those of `keys`.
    pub(super) fn retain_standings(&self, keys: &HashSet<RequestKey>) {
        self.standings().keep_only(keys);
    }

    /// Notes an answer that an endpoint broke off to a request that was sent there at `sent_at_ms`; false
    /// when it tells nothing of the request.
    pub(super) fn note_broken_run(
        &self,
        now_ms: u64,
        suspect: Suspect,
        sent_at_ms: u64,
        run: BrokenRun,
    ) -> bool {
        let mut seen = self.seen();
        // What was sent to an endpoint that had ended tells nothing of the request.
        if seen.first_broken_ms(&suspect.id).is_some_and(|at_ms| at_ms <= sent_at_ms) {
            return false;
        }
        if let Some(broken) = seen.broken.get_mut(&suspect.id) {
            broken.runs.push(run);
            return true;
        }
        seen.broken.insert(suspect.id.clone(), Broken { since_ms: now_ms, runs: vec![run] });
        // The receiver lives as long as the process.
        let _ = self.suspects.send(suspect);
        true
    }

    /// Has an endpoint asked that has been silent for long, unless it was asked a short time ago.
    pub(super) fn ask_silent(&self, now_ms: u64, endpoint: RegisteredEndpoint) {
        let mut seen = self.seen();
        seen.asked_silent_at_ms.retain(|_, at_ms| now_ms < *at_ms + ASK_SILENT_EVERY_MS);
        if seen.asked_silent_at_ms.contains_key(&endpoint.id) {
            return;
        }
        seen.asked_silent_at_ms.insert(endpoint.id.clone(), now_ms);
        let (id, service) = (endpoint.id.clone(), endpoint.service.clone());
        let suspect = Suspect { id, service, endpoint: Some(endpoint), is_silent: true };
        // The receiver lives as long as the process.
        let _ = self.suspects.send(suspect);
    }

    /// Another incarnation has taken the endpoint's place: what it broke off just before, it broke off
    /// when it ended, although something answered at its address.
    pub(super) fn note_replaced(&self, now_ms: u64, endpoint: &RegisteredEndpoint) {
        let mut seen = self.seen();
        let Some(Broken { since_ms, runs }) = seen.unconfirmed.remove(&endpoint.id) else { return };
        if endpoint.leaving || since_ms + UNCONFIRMED_MS <= now_ms {
            return;
        }
        let crash = seen.add_crash(now_ms, since_ms, &endpoint.id, &endpoint.service, runs);
        drop(seen);
        self.report(SessionUp::Crashes(vec![crash]));
    }

    /// Notes that a suspect answered when it was asked, or could not be reached.
    pub(super) fn note_alive(&self, now_ms: u64, endpoint: &Arc<str>) {
        let mut seen = self.seen();
        let Some(broken) = seen.broken.remove(endpoint) else { return };
        seen.forget_old(now_ms);
        let keys: Vec<RequestKey> = broken.runs.iter().map(|run| run.key).collect();
        seen.unconfirmed.insert(endpoint.clone(), broken);
        drop(seen);
        for key in keys {
            if self.standings().has_used_trial(&key) {
                self.return_trial(key);
            }
        }
    }

    /// Notes that a suspect has ended, and tells the leader.
    pub(super) fn note_ended(&self, now_ms: u64, endpoint: &Arc<str>, service: &Arc<str>) {
        let mut seen = self.seen();
        let Some(Broken { since_ms, runs }) = seen.broken.remove(endpoint) else { return };
        let crash = seen.add_crash(now_ms, since_ms, endpoint, service, runs);
        drop(seen);
        self.report(SessionUp::Crashes(vec![crash]));
    }

    /// How many answers an endpoint has broken off that was not asked yet.
    pub(super) fn broken_by(&self, endpoint: &str) -> usize {
        self.seen().broken.get(endpoint).map_or(0, |broken| broken.runs.len())
    }

    /// Tells the leader; without a session it waits for the next one.
    pub(super) fn report(&self, up: SessionUp) {
        // The receiver lives as long as the process.
        let _ = self.up.send(up);
    }

    /// The ends seen lately, for a leader that may not know them.
    pub(super) fn recent_crashes(&self, now_ms: u64) -> Vec<EndpointCrash> {
        let mut recent = Vec::new();
        let mut seen = self.seen();
        seen.forget_old(now_ms);
        for (at_ms, crash) in &seen.crashes {
            let ago_ms = u32::try_from(now_ms - at_ms).unwrap_or(u32::MAX);
            recent.push(EndpointCrash { ago_ms, ..crash.clone() });
        }
        recent
    }
}

impl Seen {
    /// When `endpoint` broke an answer off first, if it has ended or may have.
    fn first_broken_ms(&self, endpoint: &str) -> Option<u64> {
        if let Some(broken) = self.broken.get(endpoint) {
            return Some(broken.since_ms);
        }
        let ended = self.crashes.iter().find(|(_, crash)| &*crash.endpoint == endpoint);
        ended.map(|(at_ms, _)| *at_ms)
    }

    /// Notes an end, to be told now and again to new leaders.
    fn add_crash(
        &mut self,
        now_ms: u64,
        since_ms: u64,
        endpoint: &Arc<str>,
        service: &Arc<str>,
        runs: Vec<BrokenRun>,
    ) -> EndpointCrash {
        let ago_ms = u32::try_from(now_ms - since_ms).unwrap_or(u32::MAX);
        let (endpoint, service) = (endpoint.clone(), service.clone());
        let crash = EndpointCrash { endpoint, service, ago_ms, runs };
        self.crashes.push_back((since_ms, crash.clone()));
        self.forget_old(now_ms);
        crash
    }

    fn forget_old(&mut self, now_ms: u64) {
        self.unconfirmed.retain(|_, broken| broken.since_ms + UNCONFIRMED_MS > now_ms);
        let is_old = |(at_ms, _): &(u64, EndpointCrash)| at_ms + RESENT_MS <= now_ms;
        while self.crashes.len() > RESENT_MAX || self.crashes.front().is_some_and(is_old) {
            self.crashes.pop_front();
        }
    }
}
