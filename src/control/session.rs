//! Sessions with gateways and distributors: their state, and the changes, load reports and
//! summaries sent to them.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use crate::control::outbox::{NotQueued, OutboxSender, Outgoing};
use crate::control::state::State;
use crate::message::{
    Change, EndpointLoad, Load, LoadReport, SessionDown, SessionHello, SessionRole, Summary,
};
use crate::policy::counts;
use crate::policy::endpoint_speed::ServiceWork;
use crate::routing::RoutingConfiguration;

const CHANGES_PER_MESSAGE: usize = 1_000;
/// Age of a gateway's last renewal from which it gets no orders: two renewals are missing, and its
/// lease is about to end.
const MAX_RENEWAL_AGE_MS: u64 = 750;

/// Silence of a distributor from which its messages count as delayed by the link: it sends eight
/// messages in this time, and heartbeats that it forwarded earlier must not be taken for current
/// ones.
const MAX_DISTRIBUTOR_SILENCE_MS: u64 = 1_200;

/// A session with a gateway or a distributor.
#[derive(Debug)]
pub struct Session {
    /// The first message, which names the gateway.
    pub hello: SessionHello,
    /// The epoch of its registration, once registered; 0 for followers and distributors.
    pub epoch: Option<u64>,
    down: OutboxSender,
    summaries_seen: u64,
    reports_sent: HashMap<Arc<str>, u32>,
    /// When its last renewal was confirmed.
    pub renewed_at_ms: Option<u64>,
    /// The gateways of a distributor, with the time at which the last renewal of each was
    /// confirmed.
    members: BTreeMap<Arc<str>, u64>,
    last_message_at_ms: u64,
    /// The load that it reports, by endpoint.
    pub loads: HashMap<Arc<str>, Load>,
    /// The load of all other gateways that it was last sent, by endpoint.
    pub loads_sent: HashMap<Arc<str>, Load>,
}

impl Session {
    /// Creates a session that sends to `down`.
    pub fn new(now_ms: u64, hello: SessionHello, down: OutboxSender) -> Self {
        Self {
            last_message_at_ms: now_ms,
            hello,
            epoch: None,
            down,
            summaries_seen: 0,
            reports_sent: HashMap::new(),
            renewed_at_ms: None,
            members: BTreeMap::new(),
            loads: HashMap::new(),
            loads_sent: HashMap::new(),
        }
    }

    /// Records the arrival of a message; returns false if it and those after it were delayed on the
    /// way.
    ///
    /// Only distributors are checked: they are never silent for long, and their reports on
    /// endpoints are wrong when old.
    pub fn record_message(&mut self, now_ms: u64) -> bool {
        let is_silent = self.is_silent(now_ms);
        self.last_message_at_ms = now_ms;
        !is_silent
    }

    /// True for a distributor that has been silent for too long.
    pub fn is_silent(&self, now_ms: u64) -> bool {
        let silent_ms = now_ms.saturating_sub(self.last_message_at_ms);
        self.hello.role == SessionRole::Distributor && silent_ms >= MAX_DISTRIBUTOR_SILENCE_MS
    }

    /// Records that the renewals of a distributor's `gateways` were confirmed.
    pub fn record_renewals(&mut self, now_ms: u64, gateways: Vec<Arc<str>>) {
        for gateway in gateways {
            self.members.insert(gateway, now_ms);
        }
        self.members.retain(|_, renewed_at_ms| is_fresh(*renewed_at_ms, now_ms));
    }

    /// True if the session leads to `gateway` and that gateway can send orders to engines now.
    pub fn can_reach(&self, now_ms: u64, gateway: &str) -> bool {
        match self.hello.role {
            SessionRole::Owner => false,
            SessionRole::Follower => &*self.hello.name == gateway && self.is_confirmed(now_ms),
            SessionRole::Distributor => {
                let renewed_at_ms = self.members.get(gateway);
                renewed_at_ms.is_some_and(|renewed_at_ms| is_fresh(*renewed_at_ms, now_ms))
            }
        }
    }

    /// The gateways that the session leads to and that can send orders to engines now.
    pub fn gateways(&self, now_ms: u64) -> Vec<Arc<str>> {
        let mut gateways = Vec::new();
        match self.hello.role {
            SessionRole::Owner => {}
            SessionRole::Follower => {
                if self.is_confirmed(now_ms) {
                    gateways.push(self.hello.name.clone());
                }
            }
            SessionRole::Distributor => {
                for (gateway, renewed_at_ms) in &self.members {
                    if is_fresh(*renewed_at_ms, now_ms) {
                        gateways.push(gateway.clone());
                    }
                }
            }
        }
        gateways
    }

    /// The number of gateways that the session leads to.
    pub fn gateway_count(&self) -> usize {
        match self.hello.role {
            SessionRole::Owner | SessionRole::Follower => 1,
            SessionRole::Distributor => self.members.len(),
        }
    }

    fn is_confirmed(&self, now_ms: u64) -> bool {
        self.renewed_at_ms.is_some_and(|renewed_at_ms| is_fresh(renewed_at_ms, now_ms))
    }

    /// Sends without waiting; returns false if the receiver does not keep up or has gone.
    pub fn send(&self, message: SessionDown) -> bool {
        self.send_shared(&Outgoing::new(message)).is_ok()
    }

    /// Like [`send`](Self::send), for a message to several sessions.
    ///
    /// # Errors
    /// The receiver does not keep up, or has gone.
    pub fn send_shared(&self, message: &Arc<Outgoing>) -> Result<(), NotQueued> {
        self.down.send(message.clone())
    }

    /// Sets the epoch and sends messages that bring the receiver up to date, however large they are;
    /// returns false if it has gone.
    pub fn welcome(&mut self, epoch: u64, messages: &[Arc<Outgoing>]) -> bool {
        self.epoch = Some(epoch);
        let welcome = Outgoing::new(SessionDown::Welcome { epoch });
        self.send_initial(&[welcome]) && self.send_initial(messages)
    }

    /// Sends messages that the receiver cannot do without, however large they are; returns false if it
    /// has gone.
    pub fn send_initial(&self, messages: &[Arc<Outgoing>]) -> bool {
        messages.iter().all(|message| self.down.send_initial(message.clone()).is_ok())
    }

    /// The load reports on the gateway's own endpoints that differ from those sent last.
    pub fn changed_reports(
        &mut self,
        reports: &HashMap<Arc<str>, u32>,
        state: &State,
    ) -> Vec<LoadReport> {
        let mut changed = Vec::new();
        for (endpoint, running) in reports {
            let record = state.fleet.endpoints().get(endpoint);
            let owner = record.and_then(|record| record.owner.as_ref());
            if owner != Some(&self.hello.name) || self.reports_sent.get(endpoint) == Some(running) {
                continue;
            }
            self.reports_sent.insert(endpoint.clone(), *running);
            changed.push(LoadReport { endpoint: endpoint.clone(), running: *running });
        }
        changed
    }

    /// Sends the load of all other gateways at each endpoint where it changed enough to affect
    /// routing; `work` has the work of the endpoints' services.
    pub fn send_loads(&mut self, totals: &BTreeMap<Arc<str>, Load>, work: &ServiceWork) {
        let mut changed = Vec::new();
        for (endpoint, total) in totals {
            let own = self.loads.get(endpoint).copied().unwrap_or_default();
            let load = total.saturating_sub(own);
            let sent = self.loads_sent.get(endpoint).copied().unwrap_or_default();
            let service = work.of_service_with(endpoint);
            if !counts::is_worth_reporting_at(sent, load, service) {
                continue;
            }
            self.loads_sent.insert(endpoint.clone(), load);
            changed.push(EndpointLoad { endpoint: endpoint.clone(), load });
        }
        if !changed.is_empty() {
            self.send(SessionDown::Loads(changed));
        }
    }

    /// Sends messages to all sessions unless the session is not registered yet.
    ///
    /// # Errors
    /// The receiver does not keep up, or has gone.
    pub fn follow(&self, messages: &[Arc<Outgoing>]) -> Result<(), NotQueued> {
        if self.epoch.is_none() {
            return Ok(());
        }
        messages.iter().try_for_each(|message| self.send_shared(message))
    }
}

/// The changes up to `index` in as many messages as they need; with `reset`, they are the whole state.
pub fn change_messages(index: u64, reset: bool, changes: &[Change]) -> Vec<Arc<Outgoing>> {
    let chunks: Vec<&[Change]> =
        if changes.is_empty() { vec![&[]] } else { changes.chunks(CHANGES_PER_MESSAGE).collect() };
    let last = chunks.len() - 1;
    let mut messages = Vec::with_capacity(chunks.len());
    for (position, chunk) in chunks.into_iter().enumerate() {
        messages.push(Outgoing::new(SessionDown::Changes {
            index,
            reset: reset && position == 0,
            complete: position == last,
            changes: chunk.to_vec(),
        }));
    }
    messages
}

/// Like [`change_messages`] for new changes, with a routing configuration in a message of its own, which a
/// newer one can replace while it waits.
///
/// All receivers have the configuration `known`, if there is one, and get what differs from it.
pub fn new_change_messages(
    index: u64,
    changes: Vec<Change>,
    known: Option<&Arc<RoutingConfiguration>>,
) -> Vec<Arc<Outgoing>> {
    let mut messages = Vec::new();
    let mut others = Vec::new();
    for change in changes {
        match change {
            Change::Routing(next) => messages.push(Outgoing::routing(index, known, next)),
            change => others.push(change),
        }
    }
    messages.extend(change_messages(index, false, &others));
    messages
}

fn is_fresh(renewed_at_ms: u64, now_ms: u64) -> bool {
    renewed_at_ms + MAX_RENEWAL_AGE_MS > now_ms
}

/// The latest summary of every endpoint, numbered so that each session is sent only new ones.
#[derive(Debug, Default)]
pub struct Summaries {
    version: u64,
    by_endpoint: BTreeMap<Arc<str>, StoredSummary>,
    by_version: BTreeMap<u64, Arc<str>>,
}

#[derive(Debug)]
struct StoredSummary {
    version: u64,
    summary: Summary,
}

impl Summaries {
    /// No summaries yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Stores a newer summary; one without adapters keeps those known for the same epoch.
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
        self.by_endpoint.insert(endpoint, StoredSummary { version: self.version, summary });
    }

    /// Removes the summary of an endpoint.
    pub fn remove(&mut self, endpoint: &str) {
        if let Some(known) = self.by_endpoint.remove(endpoint) {
            self.by_version.remove(&known.version);
        }
    }

    /// The summaries new to `session`, except those of its own endpoints.
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
