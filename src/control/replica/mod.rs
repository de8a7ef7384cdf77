//! A replica of control: the Raft log, the replicated state, and the sessions that the leader
//! serves.
//!
//! [`Replica`] does no I/O other than sending on channels without blocking. The actor in
//! [`crate::control::server`] stores its output and sends it to peers.

mod applying;
mod calls;
mod credit;
mod followers;
mod incarnations;
mod origins;
mod reads;
mod registration;
mod sessions;
mod standings;
mod terms;

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Weak};

use serde_json::json;
use tracing::{info, warn};

use crate::control::fleet::ListedEndpoint;
use crate::control::history::{LatestChanges, RecentChanges};
use crate::control::limits::ControlLimits;
use crate::control::outbox::{self, Outgoing};
use crate::control::permit::{Permits, StoreBudget};
use crate::control::placement::{Placement, PlacementSettings};
use crate::control::raft::{Payload, Raft};
use crate::control::replica::reads::Read;
use crate::control::replica::registration::Registered;
use crate::control::replica::sessions::Renewal;
use crate::control::replica::terms::Terms;
use crate::control::reply::Reply;
use crate::control::session::{Session, Summaries};
use crate::control::state::{Command, Operation, State};
use crate::message::{ControlReply, GroupStatus, LoadReport, SessionDown};
use crate::metrics::{Counter, Gauge, Metrics};
use crate::policy::quota::QuotaBounds;
use crate::routing::RoutingConfiguration;

/// Consecutive polls of the platform's list that must agree before most of the endpoints are
/// removed.
const MASS_REMOVAL_POLLS: u32 = 5;

/// Settings of a replica.
#[derive(Debug, Clone)]
pub struct ReplicaSettings {
    /// The instance, named by its address for peers, which stays the same when the replica's disk
    /// is lost.
    pub instance: Arc<str>,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// Duration of a gateway's lease.
    pub lease_ms: u64,
    /// Applied entries after which a snapshot is due.
    pub snapshot_entries: u64,
    /// Bounds of what grows with changes.
    pub limits: ControlLimits,
    /// Bounds of the run ledger.
    pub ledger: crate::control::ledger::LedgerLimits,
    /// Load limits of the weight store.
    pub store: StoreBudget,
    /// Limits on orders to engines.
    pub placement: PlacementSettings,
    /// How far workspaces may exceed their quotas.
    pub quota: QuotaBounds,
    /// How long a new group waits for its target number of voters before it accepts a routing
    /// configuration.
    pub founding_wait_ms: u64,
}

/// Receiver of the outcome of a proposed entry.
enum Waiter {
    Call(Reply),
    Register { session: u64 },
    NoReply,
}

/// The log, the state and the sessions of one replica.
pub struct Replica {
    /// The replicated log.
    pub raft: Raft,
    state: State,
    applied: u64,
    settings: ReplicaSettings,
    metrics: Metrics,
    leading: bool,
    /// Waiters by log index, each with the term of the proposal.
    waiters: BTreeMap<u64, (u64, Waiter)>,
    renewals: Vec<Renewal>,
    renewal_round_due_ms: u64,
    reads: HashMap<u64, Read>,
    next_token: u64,
    sessions: BTreeMap<u64, Session>,
    recent: RecentChanges,
    /// Changes not sent to sessions yet.
    unpublished: LatestChanges,
    /// The configuration that all follower sessions have been sent, if there is one.
    published_routing: Option<Arc<RoutingConfiguration>>,
    /// The messages with the whole state, as long as some session has not sent them all.
    whole_state: Vec<Weak<Outgoing>>,
    summaries: Summaries,
    permits: Permits,
    permit_waiters: HashMap<u64, Reply>,
    /// When each gateway last renewed its lease.
    renewed_at_ms: HashMap<Arc<str>, u64>,
    load_reports: HashMap<Arc<str>, u32>,
    /// Consecutive polls that lacked most of the known endpoints.
    mass_removal_polls: u32,
    registered: Registered,
    terms: Terms,
}

impl Replica {
    /// Creates a replica with the state of its snapshot; entries of the log are applied as they
    /// commit.
    pub fn new(raft: Raft, state: State, settings: ReplicaSettings, metrics: Metrics) -> Self {
        let placement = Placement::new(0, settings.placement);
        let permits = Permits::new(settings.store, 0);
        let registered = Registered::new(placement, settings.quota);
        let applied = raft.snapshot_index();
        let recent = RecentChanges::new(applied, settings.limits.history_max_bytes);
        let published_routing = state.registry.routing().cloned();
        Self {
            raft,
            state,
            applied,
            settings,
            metrics,
            leading: false,
            waiters: BTreeMap::new(),
            renewals: Vec::new(),
            renewal_round_due_ms: 0,
            reads: HashMap::new(),
            next_token: 0,
            sessions: BTreeMap::new(),
            recent,
            unpublished: LatestChanges::new(),
            published_routing,
            whole_state: Vec::new(),
            summaries: Summaries::new(),
            permits,
            permit_waiters: HashMap::new(),
            renewed_at_ms: HashMap::new(),
            load_reports: HashMap::new(),
            mass_removal_polls: 0,
            registered,
            terms: Terms::default(),
        }
    }

    /// The state as applied so far.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// The index of the last applied entry.
    pub fn applied(&self) -> u64 {
        self.applied
    }

    /// True if this replica leads and has committed an entry of its term.
    pub fn is_leading(&self) -> bool {
        self.leading
    }

    /// Advances the Raft timers and, on the leader, all periodic work.
    pub fn tick(&mut self, now_ms: u64, wall_ms: u64) {
        self.raft.tick(now_ms);
        if !self.leading {
            return;
        }
        self.start_renewal_round(now_ms);
        self.poll_permits(now_ms);
        self.expire_gateways(now_ms, wall_ms);
        self.advance_placement(now_ms, wall_ms);
        self.advance_standings(now_ms, wall_ms);
        self.send_due_grants(now_ms);
        self.update_followers(now_ms);
        if let Some(members) = self.raft.next_members(now_ms) {
            info!(event = "members_proposed", members = members.0.len());
            self.raft.propose_members(members);
        }
    }

    fn expire_gateways(&mut self, now_ms: u64, wall_ms: u64) {
        let mut expired = Vec::new();
        for gateway in self.state.fleet.gateways().values() {
            let renewed_at_ms = *self.renewed_at_ms.entry(gateway.name.clone()).or_insert(now_ms);
            if renewed_at_ms + self.settings.lease_ms <= now_ms {
                expired.push((gateway.name.clone(), gateway.epoch));
            }
        }
        for (gateway, epoch) in expired {
            // If this proposal is not committed, it is repeated after another lease time.
            self.renewed_at_ms.insert(gateway.clone(), now_ms);
            self.metrics.count(Counter::GatewaysExpired);
            warn!(event = "gateway_expired", gateway = %gateway, epoch = epoch);
            self.propose(wall_ms, Operation::Expire { gateway, epoch }, Waiter::NoReply);
        }
    }

    /// Starts or stops leading after a change of Raft leadership; called after each batch of
    /// output.
    pub fn check_leadership(&mut self, now_ms: u64, wall_ms: u64) {
        self.terms.record_starts(now_ms);
        let leads = self.raft.is_settled_leader();
        if leads == self.leading {
            return;
        }
        self.leading = leads;
        if leads {
            self.start_leading(now_ms, wall_ms);
        } else {
            self.stop_leading();
        }
    }

    fn start_leading(&mut self, now_ms: u64, wall_ms: u64) {
        let term = self.raft.term();
        info!(event = "leading", term = term, commit = self.raft.commit());
        self.metrics.count(Counter::ElectionsWon);
        self.permits.take_over(now_ms, term, self.state.clock_ms() == 0);
        // The new leader does not know when each gateway last renewed, so every gateway gets a full
        // lease.
        self.renewed_at_ms.clear();
        for name in self.state.fleet.gateways().keys() {
            self.renewed_at_ms.insert(name.clone(), now_ms);
        }
        self.rebuild_registered(now_ms);
        self.propose(wall_ms, Operation::SetLimits(self.settings.ledger), Waiter::NoReply);
    }

    fn stop_leading(&mut self) {
        info!(event = "not_leading", term = self.raft.term());
        for (_, (_, waiter)) in std::mem::take(&mut self.waiters) {
            if let Waiter::Call(reply) = waiter {
                reply.send(ControlReply::Lost);
            }
        }
        self.renewals.clear();
        let not_leader = self.not_leader();
        for (_, reply) in self.permit_waiters.drain() {
            reply.send(not_leader.clone());
        }
        let leader = self.leader_address();
        for session in std::mem::take(&mut self.sessions).into_values() {
            session.send(SessionDown::NotLeader { leader });
        }
    }

    /// The address of the leader, if known.
    pub fn leader_address(&self) -> Option<std::net::SocketAddr> {
        let leader = self.raft.leader()?;
        if leader == self.raft.id() && !self.leading {
            return None;
        }
        self.raft.members().0.get(&leader).map(|member| member.address)
    }

    fn not_leader(&self) -> ControlReply {
        ControlReply::NotLeader { leader: self.leader_address() }
    }

    fn propose(&mut self, wall_ms: u64, operation: Operation, waiter: Waiter) {
        let command = Command { now_ms: wall_ms, operation };
        match self.raft.propose(Payload::Command(command.encode())) {
            Some((index, term)) => {
                self.waiters.insert(index, (term, waiter));
            }
            None => {
                if let Waiter::Call(reply) = waiter {
                    reply.send(self.not_leader());
                }
            }
        }
    }

    /// Proposes what changed in the platform's list of endpoints.
    pub fn listed(&mut self, wall_ms: u64, listed: Vec<ListedEndpoint>) {
        if !self.leading {
            return;
        }
        let known = self.state.fleet.endpoints();
        let mut changed = Vec::new();
        let mut names = std::collections::BTreeSet::new();
        for endpoint in listed {
            names.insert(endpoint.name.clone());
            if known.get(&endpoint.name).is_none_or(|record| record.listed != endpoint) {
                changed.push(endpoint);
            }
        }
        let mut removed = Vec::new();
        for name in known.keys() {
            if !names.contains(name) {
                removed.push(name.clone());
            }
        }
        // A list that lost most of its entries is more likely faulty than correct.
        if removed.len() * 2 > known.len() && known.len() > 2 {
            self.mass_removal_polls += 1;
            if self.mass_removal_polls < MASS_REMOVAL_POLLS {
                warn!(event = "mass_removal_held_back", removed = removed.len());
                removed.clear();
            }
        } else {
            self.mass_removal_polls = 0;
        }
        if changed.is_empty() && removed.is_empty() {
            return;
        }
        let operation = Operation::List { listed: changed, removed };
        self.propose(wall_ms, operation, Waiter::NoReply);
    }

    /// Replaces the platform's load reports, which are hints and not kept in the log.
    pub fn set_load_reports(&mut self, reports: Vec<LoadReport>) {
        self.load_reports.clear();
        for report in reports {
            self.load_reports.insert(report.endpoint, report.running);
        }
    }

    /// Publishes how much memory each part takes that grows with changes.
    pub fn publish_held_bytes(&self) {
        self.metrics.gauge(Gauge::HistoryBytesHeld, self.recent.size_bytes() as u64);
        self.metrics.gauge(Gauge::AnswerBytesRecorded, self.state.ledger.answers_bytes());
        self.metrics.gauge(Gauge::LogBytesHeld, self.raft.log_bytes());
        self.metrics.gauge(Gauge::SessionBytesWaiting, outbox::waiting_bytes());
    }

    /// The status of the group as this replica knows it.
    pub fn status(&self) -> GroupStatus {
        let mut members = Vec::new();
        for (id, member) in &self.raft.members().0 {
            members.push((member.name.clone(), *id, member.address, member.voter));
        }
        GroupStatus {
            id: self.raft.id(),
            term: self.raft.term(),
            leader: self.raft.leader(),
            commit: self.raft.commit(),
            applied: self.applied,
            members,
            gateways: self.state.fleet.gateways().values().cloned().collect(),
            endpoints: self.state.fleet.endpoints().values().cloned().collect(),
            services: self.state.config.services().len(),
            ledger_keys: self.state.ledger.len(),
        }
    }

    /// The state dump.
    pub fn dump(&self) -> serde_json::Value {
        let mut sessions = Vec::new();
        for session in self.sessions.values() {
            sessions.push(json!({"gateway": session.hello.name, "epoch": session.epoch}));
        }
        json!({
            "role": if self.leading { "leader" } else { "follower" },
            "group": self.status(),
            "last_index": self.raft.last_index(),
            "snapshot_index": self.raft.snapshot_index(),
            "sessions": sessions,
            "placement": self.registered.placement.dump(),
            "permits_in_use": self.permits.in_use(),
            "permits_waiting": self.permits.waiting(),
            "peer_traffic": crate::wire::traffic(),
            "counters": self.metrics.totals(),
        })
    }
}
