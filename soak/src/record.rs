//! What clients, endpoints and the operator have seen, and which promises it breaks.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use crate::engine::CRASHING_PART;
use crate::keyed::KeyRecord;

/// How long after an acknowledgement a read may still wait for it to be in force.
const READ_SLACK: Duration = Duration::from_secs(2);
/// The share of requests that must be answered well once faults are over.
const SERVED_AFTER_RECOVERY: f64 = 0.95;

/// Resumed streams from which on at least half must go on.
const RESUMED_MIN: u32 = 12;
/// How long after a newer version was acknowledged requests may begin on an older one.
const VERSION_WITHIN: Duration = Duration::from_secs(5);
/// How long after a fault of our own processes, or of what connects them, that time begins anew.
const UNDISTURBED: Duration = Duration::from_secs(3);

/// The crashes after which a part of prompts has to be known, and how many requests with it may reach
/// engines later than this after the last of them.
const PART_CRASHES: usize = 5;
const PART_KNOWN_WITHIN: Duration = Duration::from_secs(3);
const PART_LATER_MAX: usize = 3;

/// What kind of request a client sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// It may run once at most.
    Once,
    /// It may run any number of times.
    Any,
    /// A stream that may be taken up elsewhere.
    Stream,
    /// The same from an adapter of an engine.
    Adapter,
    /// One that carries a key, and may run once.
    Keyed,
}

/// How a request ended at its client.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum End {
    /// A whole and right answer.
    Served,
    /// A status that promises that it did not and will not run.
    NotRun(u16),
    /// Anything that promises nothing.
    Unknown(String),
}

/// Whether the system's own processes and connections are undisturbed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DisturbanceState {
    /// True if no disturbance is in progress or ended within the last `UNDISTURBED`.
    pub is_undisturbed: bool,
    /// The number of disturbances that have begun during the run.
    pub disturbances_begun: u32,
}

struct Seen {
    kind: Kind,
    runs: u32,
    end: Option<End>,
    calm: bool,
}

/// A version of an adapter that was acknowledged.
struct Renewed {
    adapter: String,
    version: u64,
    at: Instant,
}

#[derive(Default)]
struct Inner {
    named: HashMap<String, u64>,
    renewed: Vec<Renewed>,
    begun: u32,
    begun_older: u32,
    begun_late: u32,
    latest: Duration,
    disturbances: u32,
    disturbances_begun: u32,
    disturbed_until: Option<Instant>,
    requests: HashMap<String, Seen>,
    acknowledged: Vec<(u64, Instant)>,
    offered: Vec<u64>,
    faults: Vec<String>,
    breaches: Vec<String>,
    calm: bool,
    read_back: Option<u64>,
    crashing: Vec<CrashingRun>,
    /// Streams that clients resumed while the system was undisturbed, and those of them that went on.
    resumed: (u32, u32),
}

/// A request that crashes the engine which began it.
#[derive(Debug)]
struct CrashingRun {
    at: Instant,
    cause: Vec<u8>,
    incarnation: String,
}

/// Everything seen in one run.
#[derive(Default)]
pub struct Record {
    inner: Mutex<Inner>,
    /// Requests with keys.
    pub keys: KeyRecord,
}

impl Record {
    /// Nothing seen yet.
    pub fn new() -> Self {
        Self::default()
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A client is about to send a request.
    pub fn sent(&self, id: &str, kind: Kind) {
        let mut inner = self.inner();
        let calm = inner.calm;
        inner.requests.insert(id.to_owned(), Seen { kind, runs: 0, end: None, calm });
    }

    /// A client has resumed a stream.
    pub fn resumed(&self, went_on: bool) {
        let mut inner = self.inner();
        inner.resumed.0 += 1;
        inner.resumed.1 += u32::from(went_on);
    }

    /// An endpoint begins to work on a request; the number of this run.
    pub fn run(&self, id: &str) -> u32 {
        let mut inner = self.inner();
        let Some(seen) = inner.requests.get_mut(id) else {
            inner.breaches.push(format!("request {id} was run and nobody sent it"));
            return 0;
        };
        seen.runs += 1;
        let (runs, kind, end) = (seen.runs, seen.kind, seen.end.clone());
        if matches!(kind, Kind::Once | Kind::Keyed) && runs > 1 {
            inner.breaches.push(format!("request {id} may run once and ran {runs} times"));
        }
        if let Some(End::NotRun(status)) = end {
            inner.breaches.push(format!("request {id} ran after its client had got {status}"));
        }
        runs
    }

    /// An incarnation of an engine begins a request that crashes it, because of its body or a part of
    /// its prompt.
    pub fn crashes(&self, request: &str, cause: &[u8], incarnation: String) {
        println!("  {request} ends its engine");
        let run = CrashingRun { at: Instant::now(), cause: cause.to_vec(), incarnation };
        self.inner().crashing.push(run);
    }

    /// When engines began requests that ended them, in order.
    pub fn crashing(&self) -> Vec<Instant> {
        self.inner().crashing.iter().map(|run| run.at).collect()
    }

    /// When engines began requests that ended them, in order, by cause.
    pub fn crashing_by_cause(&self) -> BTreeMap<Vec<u8>, Vec<Instant>> {
        let mut by_cause: BTreeMap<Vec<u8>, Vec<Instant>> = BTreeMap::new();
        for run in &self.inner().crashing {
            by_cause.entry(run.cause.clone()).or_default().push(run.at);
        }
        by_cause
    }

    /// Parts of prompts whose requests reached engines for longer than the users allow after the part
    /// had crashed `PART_CRASHES` of them.
    pub fn crashing_part_breaches(&self) -> Vec<String> {
        let mut breaches = Vec::new();
        for (cause, begun) in self.crashing_by_cause() {
            if !cause.starts_with(CRASHING_PART.as_bytes()) {
                continue;
            }
            let Some(known_at) = self.known_at(&cause) else { continue };
            let later = begun.iter().filter(|at| **at > known_at + PART_KNOWN_WITHIN).count();
            if later > PART_LATER_MAX {
                let part = String::from_utf8_lossy(&cause).into_owned();
                breaches.push(format!("part {part} reached {later} engines after it was known"));
            }
        }
        breaches
    }

    /// When `cause` crashed the last of `PART_CRASHES` engines. Several requests may have begun at one.
    fn known_at(&self, cause: &[u8]) -> Option<Instant> {
        let mut crashed = BTreeSet::new();
        for run in self.inner().crashing.iter().filter(|run| run.cause == cause) {
            crashed.insert(run.incarnation.clone());
            if crashed.len() == PART_CRASHES {
                return Some(run.at);
            }
        }
        None
    }

    /// The requests that were sent, the times that endpoints began one of them, and the most times that
    /// they began the same one.
    pub fn run_counts(&self) -> (usize, u32, u32) {
        let inner = self.inner();
        let runs = inner.requests.values().map(|seen| seen.runs);
        (inner.requests.len(), runs.clone().sum(), runs.max().unwrap_or(0))
    }

    /// True when an endpoint began the request.
    pub fn has_run(&self, id: &str) -> bool {
        self.inner().requests.get(id).is_some_and(|seen| seen.runs > 0)
    }

    /// The newest version of `adapter` that the store has.
    pub fn newest(&self, adapter: &str) -> u64 {
        self.inner().named.get(adapter).copied().unwrap_or(1)
    }

    /// The operator is about to name the next version of `adapter`.
    pub fn name_next(&self, adapter: &str) -> u64 {
        let mut inner = self.inner();
        let version = inner.named.entry(adapter.to_owned()).or_insert(1);
        *version += 1;
        *version
    }

    /// A version of `adapter` was acknowledged.
    pub fn renewed(&self, adapter: &str, version: u64) {
        let renewed = Renewed { adapter: adapter.to_owned(), version, at: Instant::now() };
        self.inner().renewed.push(renewed);
    }

    /// Something that excuses late versions begins: a process of ours or a connection is hurt.
    pub fn disturb(&self) {
        let mut inner = self.inner();
        inner.disturbances += 1;
        inner.disturbances_begun += 1;
    }

    /// Whether the system's own processes and connections are undisturbed now.
    pub fn disturbance_state(&self) -> DisturbanceState {
        let inner = self.inner();
        let has_recovered = inner.disturbed_until.is_none_or(|until| until < Instant::now());
        DisturbanceState {
            is_undisturbed: inner.disturbances == 0 && has_recovered,
            disturbances_begun: inner.disturbances_begun,
        }
    }

    /// It is over.
    pub fn calm_down(&self) {
        let mut inner = self.inner();
        inner.disturbances = inner.disturbances.saturating_sub(1);
        inner.disturbed_until = Some(Instant::now() + UNDISTURBED);
    }

    /// All of it is over.
    pub fn calm_down_all(&self) {
        self.inner().disturbances = 0;
        self.calm_down();
    }

    /// A request begins on `version` of `adapter` at the engine `id`.
    pub fn begun(&self, request: &str, adapter: &str, version: u64, id: &str) {
        let mut inner = self.inner();
        inner.begun += 1;
        let replaced = inner
            .renewed
            .iter()
            .filter(|renewed| renewed.adapter == adapter && renewed.version > version)
            .map(|renewed| renewed.at)
            .min();
        let Some(replaced) = replaced else { return };
        inner.begun_older += 1;
        if inner.disturbances > 0 {
            return;
        }
        let since = inner.disturbed_until.map_or(replaced, |until| until.max(replaced));
        let age = Instant::now().saturating_duration_since(since);
        inner.latest = inner.latest.max(age);
        if age > VERSION_WITHIN {
            inner.begun_late += 1;
            let age_ms = age.as_millis();
            inner.breaches.push(format!(
                "request {request} began on version {version} of {adapter} at {id}, {age_ms} ms \
                 after a newer one was acknowledged"
            ));
        }
    }

    /// Requests that began on a version replaced too long ago.
    pub fn begun_late(&self) -> u32 {
        self.inner().begun_late
    }

    /// Requests that began at engines.
    pub fn begun_at_engines(&self) -> u32 {
        self.inner().begun
    }

    /// What was seen so far that must never be.
    pub fn seen_breaches(&self) -> Vec<String> {
        self.inner().breaches.clone()
    }

    /// A client has got its answer.
    pub fn ended(&self, id: &str, end: End) {
        let mut inner = self.inner();
        let Some(seen) = inner.requests.get_mut(id) else { return };
        seen.end = Some(end.clone());
        let (runs, kind) = (seen.runs, seen.kind);
        if let End::NotRun(status) = end
            && matches!(kind, Kind::Once | Kind::Keyed)
            && runs > 0
        {
            inner.breaches.push(format!("request {id} got {status} although it ran"));
        }
    }

    /// Something that must never be seen.
    pub fn breach(&self, breach: String) {
        self.inner().breaches.push(breach);
    }

    /// A fault is injected.
    pub fn fault(&self, fault: String) {
        println!("  {fault}");
        self.inner().faults.push(fault);
    }

    /// The operator is about to send a version.
    pub fn offered(&self, version: u64) {
        self.inner().offered.push(version);
    }

    /// The operator got an acknowledgement.
    pub fn acknowledged(&self, version: u64) {
        self.inner().acknowledged.push((version, Instant::now()));
    }

    /// A read that was asked for at `asked` gave `version`.
    pub fn read(&self, asked: Instant, version: u64) {
        let mut inner = self.inner();
        let mut newest = 0;
        for (acknowledged, at) in &inner.acknowledged {
            if *at + READ_SLACK <= asked {
                newest = newest.max(*acknowledged);
            }
        }
        if version < newest {
            inner
                .breaches
                .push(format!("version {version} was read after {newest} was acknowledged"));
        }
        if !inner.offered.contains(&version) {
            inner.breaches.push(format!("version {version} was read and never sent"));
        }
        inner.read_back = Some(version);
    }

    /// Faults are over and recovery had its time.
    pub fn start_calm(&self) {
        let mut inner = self.inner();
        inner.calm = true;
        inner.read_back = None;
    }

    /// What was seen, in a line.
    pub fn summary(&self) -> String {
        let inner = self.inner();
        let served = inner.requests.values().filter(|seen| seen.end == Some(End::Served)).count();
        let is_refused = |seen: &&Seen| matches!(seen.end, Some(End::NotRun(_)));
        let refused = inner.requests.values().filter(is_refused).count();
        format!(
            "{} requests, {served} served, {refused} refused, {} faults, {} changes and {} renewals \
             acknowledged; {} begun at engines, {} on older versions, {} late, the latest after {} ms; \
             {} resumed by clients, {} went on",
            inner.requests.len(),
            inner.faults.len(),
            inner.acknowledged.len(),
            inner.renewed.len(),
            inner.begun,
            inner.begun_older,
            inner.begun_late,
            inner.latest.as_millis(),
            inner.resumed.0,
            inner.resumed.1,
        )
    }

    /// Requests without a key whose ends promise nothing.
    pub fn uncertain_ends(&self) -> Vec<String> {
        let mut uncertain = Vec::new();
        for (id, seen) in &self.inner().requests {
            let Some(End::Unknown(end)) = &seen.end else { continue };
            if seen.kind != Kind::Keyed {
                uncertain.push(format!("{id}, {:?}, {} runs: {end}", seen.kind, seen.runs));
            }
        }
        uncertain
    }

    /// The faults so far, for a kept log.
    pub fn faults(&self) -> String {
        self.inner().faults.join("\n")
    }

    /// Every promise that is broken.
    pub fn breaches(&self, exits: &[String]) -> Vec<String> {
        let inner = self.inner();
        let mut breaches = inner.breaches.clone();
        breaches.extend_from_slice(exits);
        let (mut calm, mut served) = (0_u32, 0_u32);
        for seen in inner.requests.values() {
            // Those with keys that were taken away, or beyond their quota, are refused in calm times too.
            if !seen.calm || seen.end.is_none() || seen.kind == Kind::Keyed {
                continue;
            }
            calm += 1;
            served += u32::from(seen.end == Some(End::Served));
        }
        if f64::from(served) < f64::from(calm) * SERVED_AFTER_RECOVERY || calm == 0 {
            breaches.push(format!("after recovery only {served} of {calm} requests were served"));
        }
        let (resumed, went_on) = inner.resumed;
        if resumed >= RESUMED_MIN && went_on * 2 < resumed {
            breaches.push(format!("only {went_on} of {resumed} resumed streams went on"));
        }
        let newest = inner.acknowledged.iter().map(|(version, _)| *version).max().unwrap_or(0);
        if inner.read_back.is_none_or(|version| version < newest) {
            breaches.push(format!("{newest} was acknowledged, read back: {:?}", inner.read_back));
        }
        breaches
    }
}
