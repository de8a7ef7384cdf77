//! The leader's sessions with gateways: leases, changes and summaries that they follow.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;

use tokio::sync::mpsc;

use crate::control::state::State;
use crate::message::{Change, Load, LoadReport, SessionDown, SessionHello, Summary};

const MAX_KEPT_CHANGES: usize = 20_000;
const CHANGES_PER_MESSAGE: usize = 1_000;
/// A gateway whose last renewal is older than this gets no orders: two renewals are missing, and its
/// own lease is about to end.
const SILENT_MS: u64 = 750;

/// The changes of recent entries, for followers that are not far behind.
#[derive(Debug, Default)]
pub struct RecentChanges {
    floor: u64,
    kept: usize,
    entries: VecDeque<(u64, Arc<[Change]>)>,
}

impl RecentChanges {
    /// Nothing kept; followers behind `floor` need everything.
    pub fn new(floor: u64) -> Self {
        Self { floor, ..Self::default() }
    }

    /// Adds the changes of the entry at `index`.
    pub fn push(&mut self, index: u64, changes: Arc<[Change]>) {
        self.kept += changes.len();
        self.entries.push_back((index, changes));
        while self.kept > MAX_KEPT_CHANGES {
            let Some((index, changes)) = self.entries.pop_front() else { return };
            self.kept -= changes.len();
            self.floor = index;
        }
    }

    /// The changes after `index`, or nothing when some of them are no longer kept.
    pub fn since(&self, index: u64) -> Option<Vec<Change>> {
        if index < self.floor {
            return None;
        }
        let mut changes = Vec::new();
        for (entry_index, entry_changes) in &self.entries {
            if *entry_index > index {
                changes.extend(entry_changes.iter().cloned());
            }
        }
        Some(changes)
    }
}

/// One gateway's session.
#[derive(Debug)]
pub struct Session {
    /// Who the gateway is.
    pub hello: SessionHello,
    /// The epoch of its registration, once it is registered.
    pub epoch: Option<u64>,
    down: mpsc::Sender<SessionDown>,
    summaries_seen: u64,
    reports_sent: HashMap<Arc<str>, u32>,
    /// When its last renewal was confirmed.
    pub renewed_at_ms: Option<u64>,
    /// What it has under way, by endpoint.
    pub loads: HashMap<Arc<str>, Load>,
    /// What it was told last of the other gateways' loads, by endpoint.
    pub loads_told: HashMap<Arc<str>, Load>,
}

impl Session {
    /// A session that sends to `down`.
    pub fn new(hello: SessionHello, down: mpsc::Sender<SessionDown>) -> Self {
        Self {
            hello,
            epoch: None,
            down,
            summaries_seen: 0,
            reports_sent: HashMap::new(),
            renewed_at_ms: None,
            loads: HashMap::new(),
            loads_told: HashMap::new(),
        }
    }

    /// True when it follows and can give orders to engines now.
    pub fn gives_orders(&self, now_ms: u64) -> bool {
        let is_confirmed = self.renewed_at_ms.is_some_and(|at_ms| at_ms + SILENT_MS > now_ms);
        is_confirmed && !self.hello.owns_endpoints
    }

    /// Sends without waiting; false when the gateway does not keep up or has gone.
    pub fn send(&self, message: SessionDown) -> bool {
        self.down.try_send(message).is_ok()
    }

    /// Registers the gateway under `epoch` and brings it up to `index`.
    pub fn welcome(
        &mut self,
        epoch: u64,
        index: u64,
        recent: &RecentChanges,
        state: &State,
    ) -> bool {
        self.epoch = Some(epoch);
        if !self.send(SessionDown::Welcome { epoch }) {
            return false;
        }
        if self.hello.applied_index > 0
            && let Some(changes) = recent.since(self.hello.applied_index)
        {
            return self.send_changes(index, false, &changes);
        }
        self.send_changes(index, true, &state.all_changes())
    }

    fn send_changes(&self, index: u64, reset: bool, changes: &[Change]) -> bool {
        let chunks: Vec<&[Change]> = if changes.is_empty() {
            vec![&[]]
        } else {
            changes.chunks(CHANGES_PER_MESSAGE).collect()
        };
        let last = chunks.len() - 1;
        for (position, chunk) in chunks.into_iter().enumerate() {
            let message = SessionDown::Changes {
                index,
                reset: reset && position == 0,
                complete: position == last,
                changes: chunk.to_vec(),
            };
            if !self.send(message) {
                return false;
            }
        }
        true
    }

    /// The reports on the gateway's own endpoints that differ from those sent last.
    pub fn unseen_reports(
        &mut self,
        reports: &HashMap<Arc<str>, u32>,
        state: &State,
    ) -> Vec<LoadReport> {
        let mut unseen = Vec::new();
        for (endpoint, running) in reports {
            let record = state.fleet.endpoints().get(endpoint);
            let owner = record.and_then(|record| record.owner.as_ref());
            if owner != Some(&self.hello.name) || self.reports_sent.get(endpoint) == Some(running) {
                continue;
            }
            self.reports_sent.insert(endpoint.clone(), *running);
            unseen.push(LoadReport { endpoint: endpoint.clone(), running: *running });
        }
        unseen
    }

    /// Sends the changes of one entry.
    pub fn follow(&self, index: u64, changes: &[Change]) -> bool {
        self.epoch.is_none() || self.send_changes(index, false, changes)
    }
}

/// The latest summary of every endpoint, and which of them each session has seen.
#[derive(Debug, Default)]
pub struct Summaries {
    version: u64,
    by_endpoint: BTreeMap<Arc<str>, Known>,
    by_version: BTreeMap<u64, Arc<str>>,
}

#[derive(Debug)]
struct Known {
    version: u64,
    summary: Summary,
}

impl Summaries {
    /// No summaries yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes a summary in; one without adapters keeps those known for the same epoch.
    pub fn put(&mut self, mut summary: Summary) {
        let endpoint = summary.endpoint.clone();
        if let Some(known) = self.by_endpoint.get(&endpoint) {
            let same_epoch = known.summary.epoch == summary.epoch;
            let is_old =
                (summary.epoch, summary.sequence) <= (known.summary.epoch, known.summary.sequence);
            if is_old {
                return;
            }
            if summary.adapters.is_none() && same_epoch {
                summary.adapters.clone_from(&known.summary.adapters);
            }
            self.by_version.remove(&known.version);
        }
        self.version += 1;
        self.by_version.insert(self.version, endpoint.clone());
        self.by_endpoint.insert(endpoint, Known { version: self.version, summary });
    }

    /// Drops the summary of an endpoint that is gone.
    pub fn remove(&mut self, endpoint: &str) {
        if let Some(known) = self.by_endpoint.remove(endpoint) {
            self.by_version.remove(&known.version);
        }
    }

    /// The summaries that `session` has not seen and that are not of its own endpoints.
    pub fn unseen(&self, session: &mut Session, state: &State) -> Vec<Summary> {
        let mut unseen = Vec::new();
        for endpoint in self.by_version.range(session.summaries_seen + 1..).map(|(_, name)| name) {
            let owner =
                state.fleet.endpoints().get(endpoint).and_then(|found| found.owner.as_ref());
            if owner == Some(&session.hello.name) {
                continue;
            }
            let Some(known) = self.by_endpoint.get(endpoint) else { continue };
            unseen.push(known.summary.clone());
        }
        session.summaries_seen = self.version;
        unseen
    }
}
