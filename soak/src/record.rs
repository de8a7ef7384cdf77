//! What clients, endpoints and the operator have seen, and which promises it breaks.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// How long after an acknowledgement a read may still wait for it to be in force.
const READ_SLACK: Duration = Duration::from_secs(2);
/// The share of requests that must be answered well once faults are over.
const SERVED_AFTER_RECOVERY: f64 = 0.95;

/// What kind of request a client sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// It may run once at most.
    Once,
    /// It may run any number of times.
    Any,
    /// A stream that may be taken up elsewhere.
    Stream,
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

struct Seen {
    kind: Kind,
    runs: u32,
    end: Option<End>,
    calm: bool,
}

#[derive(Default)]
struct Inner {
    requests: HashMap<String, Seen>,
    acknowledged: Vec<(u64, Instant)>,
    offered: Vec<u64>,
    faults: Vec<String>,
    breaches: Vec<String>,
    calm: bool,
    read_back: Option<u64>,
}

/// Everything seen in one run.
#[derive(Default)]
pub struct Record(Mutex<Inner>);

impl Record {
    /// Nothing seen yet.
    pub fn new() -> Self {
        Self::default()
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A client is about to send a request.
    pub fn sent(&self, id: &str, kind: Kind) {
        let mut inner = self.inner();
        let calm = inner.calm;
        inner.requests.insert(id.to_owned(), Seen { kind, runs: 0, end: None, calm });
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
        if kind == Kind::Once && runs > 1 {
            inner.breaches.push(format!("request {id} may run once and ran {runs} times"));
        }
        if let Some(End::NotRun(status)) = end {
            inner.breaches.push(format!("request {id} ran after its client had got {status}"));
        }
        runs
    }

    /// A client has got its answer.
    pub fn ended(&self, id: &str, end: End) {
        let mut inner = self.inner();
        let Some(seen) = inner.requests.get_mut(id) else { return };
        seen.end = Some(end.clone());
        let (runs, kind) = (seen.runs, seen.kind);
        if let End::NotRun(status) = end
            && kind == Kind::Once
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
        format!(
            "{} requests, {served} served, {} faults, {} changes acknowledged",
            inner.requests.len(),
            inner.faults.len(),
            inner.acknowledged.len()
        )
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
            if !seen.calm || seen.end.is_none() {
                continue;
            }
            calm += 1;
            served += u32::from(seen.end == Some(End::Served));
        }
        if f64::from(served) < f64::from(calm) * SERVED_AFTER_RECOVERY || calm == 0 {
            breaches.push(format!("after recovery only {served} of {calm} requests were served"));
        }
        let newest = inner.acknowledged.iter().map(|(version, _)| *version).max().unwrap_or(0);
        if inner.read_back.is_none_or(|version| version < newest) {
            breaches.push(format!("{newest} was acknowledged, read back: {:?}", inner.read_back));
        }
        breaches
    }
}
