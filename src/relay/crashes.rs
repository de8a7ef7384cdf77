//! Endpoints that end under requests: seen here, told to the leader.
//!
//! An answer that breaks off tells little by itself: a connection may be reset while its endpoint goes on. So
//! the endpoint is asked whether it is still there, once for all answers that broke off together.

use std::collections::{HashMap, HashSet, VecDeque};
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::timeout;
use tracing::info;

use super::exchange::Exchange;
use super::orders::EngineClient;
use super::refusal::NotSent;
use super::shared::Relay;
use super::standings::{Permission, Standings};
use crate::message::{
    BrokenRun, EndpointCrash, RegisteredEndpoint, RequestKey, RequestStanding, SessionUp, Standing,
};
use crate::metrics::Counter;

/// How long answers that break off with an endpoint are gathered before it is asked: they come within
/// some milliseconds, and a process that ends closes its listener with them.
const GATHER_MS: u64 = 30;
/// A request that had not begun counts as if it had been there this long: one that is sent while its
/// endpoint ends would look as if it had ended it at once.
const NOT_BEGUN_MIN_MS: u64 = 200;
/// How long answers that broke off are remembered for the case that their endpoint had ended after all:
/// one that is back at once answers when it is asked, and registers within this time.
const DOUBTFUL_MS: u64 = 5_000;
/// A connection that comes up at all does so within a round trip.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// How long ends are told again to new leaders.
const TOLD_AGAIN_MS: u64 = 60_000;
/// Ends that are told again.
const TOLD_AGAIN_MAX: usize = 256;
/// How long a request waits for the leader to allow a trial.
const TRIAL_ANSWER_MS: u64 = 300;
/// When a client comes again that got no answer on a trial.
const TRIAL_AGAIN_MS: u64 = 1_000;

/// What a gateway sees of ends and knows of standings.
#[derive(Debug)]
pub(super) struct CrashWatch {
    standings: Mutex<Standings>,
    seen: Mutex<Seen>,
    suspects: mpsc::UnboundedSender<Suspect>,
    up: mpsc::UnboundedSender<SessionUp>,
}

#[derive(Debug, Default)]
struct Seen {
    /// Answers that broke off and whose endpoints have not been asked yet.
    broken: HashMap<Arc<str>, Broken>,
    /// Answers that broke off at endpoints which answered when they were asked, or could not be reached.
    doubtful: HashMap<Arc<str>, Broken>,
    /// Ends that were seen, by when.
    crashes: VecDeque<(u64, EndpointCrash)>,
}

/// An endpoint that may have ended.
#[derive(Debug)]
pub(super) struct Suspect {
    id: Arc<str>,
    service: Arc<str>,
    /// Whom to ask; none when it has ended for certain.
    endpoint: Option<RegisteredEndpoint>,
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
        Self { standings, seen: Mutex::default(), suspects, up }
    }

    fn standings(&self) -> MutexGuard<'_, Standings> {
        self.standings.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn seen(&self) -> MutexGuard<'_, Seen> {
        self.seen.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes over how requests are treated.
    pub(super) fn told(&self, now_ms: u64, standing: RequestStanding) {
        if standing.standing == Standing::Cleared {
            for (_, crash) in &mut self.seen().crashes {
                crash.runs.retain(|run| run.key != standing.key);
            }
        }
        self.standings().told(now_ms, standing);
    }

    /// Forgets all standings but those of `keys`.
    pub(super) fn keep_only(&self, keys: &HashSet<RequestKey>) {
        self.standings().keep_only(keys);
    }

    /// Notes an answer that an endpoint broke off to a request that was sent there at `sent_at_ms`.
    fn broken_off(&self, now_ms: u64, suspect: Suspect, sent_at_ms: u64, run: BrokenRun) {
        let mut seen = self.seen();
        // What was sent to an endpoint that had ended tells nothing of the request.
        if seen.first_broken_ms(&suspect.id).is_some_and(|at_ms| at_ms <= sent_at_ms) {
            return;
        }
        if let Some(broken) = seen.broken.get_mut(&suspect.id) {
            broken.runs.push(run);
            return;
        }
        seen.broken.insert(suspect.id.clone(), Broken { since_ms: now_ms, runs: vec![run] });
        // The receiver lives as long as the process.
        let _ = self.suspects.send(suspect);
    }

    /// Another incarnation has taken the endpoint's place: what it broke off just before, it broke off
    /// when it ended, although something answered at its address.
    pub(super) fn replaced(&self, now_ms: u64, endpoint: &RegisteredEndpoint) {
        let mut seen = self.seen();
        let Some(Broken { since_ms, runs }) = seen.doubtful.remove(&endpoint.id) else { return };
        if endpoint.leaving || since_ms + DOUBTFUL_MS <= now_ms {
            return;
        }
        let crash = seen.ended(now_ms, since_ms, &endpoint.id, &endpoint.service, runs);
        drop(seen);
        self.tell(crash);
    }

    fn tell(&self, crash: EndpointCrash) {
        // Without a session it waits, and is told twice to the next leader, who counts it once.
        let _ = self.up.send(SessionUp::Crashes(vec![crash]));
    }

    /// The ends seen lately, for a leader that may not know them.
    pub(super) fn recent(&self, now_ms: u64) -> Vec<EndpointCrash> {
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
    fn ended(
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
        self.doubtful.retain(|_, broken| broken.since_ms + DOUBTFUL_MS > now_ms);
        let is_old = |(at_ms, _): &(u64, EndpointCrash)| at_ms + TOLD_AGAIN_MS <= now_ms;
        while self.crashes.len() > TOLD_AGAIN_MAX || self.crashes.front().is_some_and(is_old) {
            self.crashes.pop_front();
        }
    }
}

/// Asks endpoints that broke answers off whether they are still there, as long as the process runs.
pub(super) async fn watch(
    relay: Arc<Relay>,
    engines: Arc<dyn EngineClient>,
    mut suspects: mpsc::UnboundedReceiver<Suspect>,
) {
    while let Some(endpoint) = suspects.recv().await {
        tokio::spawn(ask_endpoint(relay.clone(), engines.clone(), endpoint));
    }
}

async fn ask_endpoint(relay: Arc<Relay>, engines: Arc<dyn EngineClient>, suspect: Suspect) {
    tokio::time::sleep(Duration::from_millis(GATHER_MS)).await;
    let Suspect { id, service, endpoint } = suspect;
    let liveness = match &endpoint {
        Some(endpoint) => {
            let is_engine = relay.table().is_engine(&service);
            ask_liveness(engines.as_ref(), endpoint, is_engine).await
        }
        None => Liveness::Ended,
    };
    let now_ms = relay.now_ms();
    let mut seen = relay.crashes.seen();
    let broken = seen.broken.remove(&id).unwrap_or_default();
    info!(event = "endpoint_asked", endpoint = %id, liveness = ?liveness, broken = broken.runs.len());
    if liveness != Liveness::Ended {
        seen.forget_old(now_ms);
        seen.doubtful.insert(id, broken);
        return;
    }
    let crash = seen.ended(now_ms, broken.since_ms, &id, &service, broken.runs);
    drop(seen);
    relay.metrics.count(Counter::EndpointsEnded);
    relay.fleet().ended(now_ms, &id);
    if let Some(endpoint) = endpoint {
        relay.pool.forget(endpoint.address);
    }
    relay.crashes.tell(crash);
}

/// Whether an endpoint that broke answers off is still there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Liveness {
    /// It answers, or at least takes connections.
    Up,
    /// Nothing answers at its address.
    Ended,
    /// It cannot be reached, which may be the network's fault.
    Unknown,
}

async fn ask_liveness(
    engines: &dyn EngineClient,
    endpoint: &RegisteredEndpoint,
    is_engine: bool,
) -> Liveness {
    match timeout(CONNECT_TIMEOUT, TcpStream::connect(endpoint.address)).await {
        // Nobody listens there; any other fault may be the network's, or this process's own.
        Ok(Err(error)) if is_refusal(&error) => return Liveness::Ended,
        Err(_) | Ok(Err(_)) => return Liveness::Unknown,
        Ok(Ok(_)) => {}
    }
    // A plain service has nothing to ask that takes no place from requests. An engine that takes
    // connections and answers nothing runs nothing either.
    if !is_engine || engines.answers(endpoint).await { Liveness::Up } else { Liveness::Ended }
}

fn is_refusal(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::ConnectionRefused | io::ErrorKind::ConnectionReset)
}

impl Exchange {
    /// Notes that `endpoint` broke the answer off.
    pub(super) fn note_broken_off(&self, endpoint: &str) {
        let now_ms = self.relay.now_ms();
        let key = self.key();
        let ran_ms = now_ms.saturating_sub(self.begun_at_ms.unwrap_or(self.sent_at_ms));
        info!(
            event = "run_broken_off",
            request = %self.meta.id,
            endpoint,
            key = %key,
            begun = self.begun_at_ms.is_some(),
            ran_ms
        );
        let Some(known) = self.relay.fleet().endpoint(endpoint) else { return };
        // One that leaves ends when it has said so.
        if known.leaving {
            return;
        }
        let least_ms = if self.begun_at_ms.is_some() { 0 } else { NOT_BEGUN_MIN_MS };
        let suspect =
            Suspect { id: known.id.clone(), service: known.service.clone(), endpoint: Some(known) };
        self.suspect(now_ms, suspect, ran_ms.max(least_ms));
    }

    /// Notes that another incarnation has taken the place of `endpoint`, which closed no connection.
    ///
    /// When it ended is not known; what it answered last, it answered before.
    pub(super) fn note_ended(&self, endpoint: &Arc<str>) {
        let now_ms = self.relay.now_ms();
        info!(event = "run_ended", request = %self.meta.id, endpoint = %endpoint, key = %self.key());
        let Some(begun_at_ms) = self.begun_at_ms else { return };
        let service = self.chosen.service.name.clone();
        let suspect = Suspect { id: endpoint.clone(), service, endpoint: None };
        self.suspect(now_ms, suspect, self.heard_at_ms.saturating_sub(begun_at_ms));
    }

    fn suspect(&self, now_ms: u64, suspect: Suspect, ran_ms: u64) {
        let ran_ms = u32::try_from(ran_ms).unwrap_or(u32::MAX);
        let run = BrokenRun { key: self.key(), weights: self.meta.weights.clone(), ran_ms };
        self.relay.crashes.broken_off(now_ms, suspect, self.sent_at_ms, run);
    }

    /// Tells the leader that the request was served, if it wants to know.
    pub(super) fn note_served(&self) {
        let crashes = &self.relay.crashes;
        if crashes.standings().is_empty() {
            return;
        }
        let key = self.key();
        if crashes.standings().is_watched(&key) {
            info!(event = "watched_request_served", request = %self.meta.id, key = %key);
            // The receiver lives as long as the process.
            let _ = crashes.up.send(SessionUp::Served(key));
        }
    }

    /// Waits until the request may be sent, if it was held and the leader has to be asked.
    ///
    /// # Errors
    /// It is held: endpoints ended under requests like it.
    pub(super) async fn may_be_sent(&mut self) -> Result<Permission, NotSent> {
        if self.relay.crashes.standings().is_empty() {
            return Ok(Permission::Free);
        }
        if self.is_trial && self.may_give_again() {
            return Ok(Permission::Once);
        }
        let key = self.key();
        let permission = self.relay.crashes.standings().permission(self.relay.now_ms(), key);
        match permission {
            Permission::Free | Permission::Once => Ok(permission),
            Permission::Refused { after_ms } => Err(NotSent::Held { after_ms }),
            Permission::Ask => {
                self.ask_for_trial(key).await?;
                self.is_trial = true;
                Ok(Permission::Once)
            }
        }
    }

    /// Looks again after a wait: what other tries did meanwhile may have had it held.
    ///
    /// # Errors
    /// It is held by now.
    pub(super) fn is_sent_still(&self) -> Result<(), NotSent> {
        if self.relay.crashes.standings().is_empty() {
            return Ok(());
        }
        let held_for_ms =
            self.relay.crashes.standings().held_for_ms(self.relay.now_ms(), &self.key());
        held_for_ms.map_or(Ok(()), |after_ms| Err(NotSent::Held { after_ms }))
    }

    async fn ask_for_trial(&self, key: RequestKey) -> Result<(), NotSent> {
        let relay = &self.relay;
        let refused = NotSent::Held { after_ms: TRIAL_AGAIN_MS };
        if !relay.is_confirmed(relay.now_ms()) {
            return Err(refused);
        }
        // The receiver lives as long as the process.
        let _ = relay.crashes.up.send(SessionUp::AskForTrial(key));
        let until_ms = (relay.now_ms() + TRIAL_ANSWER_MS).min(self.ends_at_ms);
        loop {
            let changed = relay.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            let now_ms = relay.now_ms();
            if relay.crashes.standings().take_trial(&key) {
                return Ok(());
            }
            if now_ms >= until_ms {
                return Err(refused);
            }
            // Woken by a change, or to give up.
            let _ = timeout(Duration::from_millis(until_ms - now_ms), changed).await;
        }
    }
}
