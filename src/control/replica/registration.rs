//! Routing configurations, endpoints that register themselves, and the sessions of follower
//! gateways and distributors.

use std::collections::HashMap;
use std::sync::Arc;

use tracing::info;

use super::incarnations::UncertainEnds;
use super::standings::log_standing;
use super::{Replica, Waiter};
use crate::control::counts::Counts;
use crate::control::peers::Peers;
use crate::control::placement::Placement;
use crate::control::reply::Reply;
use crate::control::software::UnusedSoftware;
use crate::control::state::Operation;
use crate::control::workspace_use::WorkspaceUses;
use crate::message::{Change, ControlReply, Group, Heartbeat, NewestVersion, PeerGateway, Placed};
use crate::metrics::Timer;
use crate::policy::crashes::{Crashes, Exposure};
use crate::policy::quota::{CreditPools, QuotaBounds};
use crate::policy::stream_origins::StreamOrigins;
use crate::routing::RoutingConfiguration;

/// Interval between records of new copies of weights: each record costs a synced log entry, each
/// copy that a new leader does not know of costs a load.
const COPIES_RECORD_PERIOD_MS: u64 = 1_000;

/// Bits of an order's number that count the orders of one term: enough for more than a year at the
/// expected size.
const ORDERS_PER_TERM_BITS: u32 = 32;

/// The leader's state of registered endpoints that is not replicated.
pub(super) struct Registered {
    pub(super) placement: Placement,
    /// Sequence number of the latest heartbeat, by endpoint id.
    sequences: HashMap<Arc<str>, u64>,
    /// When a restart was last noticed, by endpoint name.
    pub(super) restarted_at_ms: HashMap<Arc<str>, u64>,
    pub(super) uncertain_ends: UncertainEnds,
    pub(super) leading_since_ms: u64,
    ticked_at_ms: u64,
    pub(super) loads_due_ms: u64,
    pub(super) group_sent: Group,
    /// The gateways that lease the slots of brittle endpoints.
    pub(super) coordinators: Vec<PeerGateway>,
    copies_due_ms: u64,
    pub(super) counts: Counts,
    pub(super) crashes: Crashes,
    pub(super) exposure: Exposure,
    /// Quota credit of workspaces.
    pub(super) credit: CreditPools,
    pub(super) workspace_uses: WorkspaceUses,
    /// The gateways that send requests for others.
    pub(super) peers: Peers,
    /// Where streams began. It outlives the leadership of this replica.
    pub(super) origins: StreamOrigins,
    unused_software: UnusedSoftware,
}

impl Registered {
    pub(super) fn new(placement: Placement, quota: QuotaBounds) -> Self {
        Self {
            placement,
            sequences: HashMap::new(),
            restarted_at_ms: HashMap::new(),
            uncertain_ends: UncertainEnds::default(),
            leading_since_ms: 0,
            ticked_at_ms: 0,
            loads_due_ms: 0,
            group_sent: Group::default(),
            coordinators: Vec::new(),
            copies_due_ms: 0,
            counts: Counts::new(),
            crashes: Crashes::default(),
            exposure: Exposure::new(),
            credit: CreditPools::new(quota),
            workspace_uses: WorkspaceUses::new(),
            peers: Peers::new(),
            origins: StreamOrigins::new(),
            unused_software: UnusedSoftware::new(),
        }
    }
}

impl Registered {
    /// The time of the last tick.
    pub(super) fn ticked_at_ms(&self) -> u64 {
        self.ticked_at_ms
    }

    /// The sequence number of the latest heartbeat of an incarnation.
    pub(super) fn latest_sequence(&self, id: &str) -> Option<u64> {
        self.sequences.get(id).copied()
    }
}

impl Replica {
    /// Rebuilds the state of registered endpoints from the replicated state when this replica
    /// becomes leader.
    pub(super) fn rebuild_registered(&mut self, now_ms: u64) {
        let previous_term_age_ms = self.terms.previous_term_age_ms(now_ms);
        let registered = &mut self.registered;
        registered.sequences.clear();
        registered.restarted_at_ms.clear();
        registered.uncertain_ends.clear();
        registered.leading_since_ms = now_ms;
        registered.ticked_at_ms = now_ms;
        registered.group_sent = Group::default();
        registered.unused_software = UnusedSoftware::new();
        registered.counts = Counts::new();
        registered.workspace_uses = WorkspaceUses::new();
        registered.credit = CreditPools::new(self.settings.quota);
        if let Some(configuration) = self.state.registry.routing() {
            registered.credit = CreditPools::new(self.settings.quota)
                .with_previous_leader(now_ms, configuration)
                .with_previous_term_age(previous_term_age_ms.unwrap_or(0));
        }
        let standings = self.state.registry.standings().cloned();
        registered.crashes = Crashes::new(now_ms, standings);
        let first_order = self.raft.term() << ORDERS_PER_TERM_BITS;
        registered.placement =
            Placement::new(now_ms, self.settings.placement).with_orders_after(first_order);
        if let Some(configuration) = self.state.registry.routing() {
            registered.placement.configure(now_ms, configuration);
        }
        for endpoint in self.state.registry.endpoints().values() {
            registered.placement.register(now_ms, endpoint);
        }
        for (id, weights) in self.state.registry.copies() {
            registered.placement.remember_copies(now_ms, id, weights);
        }
        for (name, version) in self.state.registry.versions() {
            registered.placement.learn_version(now_ms, name.clone(), *version);
        }
    }

    /// Proposes a routing configuration and replies after the commit.
    pub(super) fn put_routing(
        &mut self,
        now_ms: u64,
        wall_ms: u64,
        configuration: Arc<RoutingConfiguration>,
        document: Arc<str>,
        reply: Reply,
    ) {
        let is_founding =
            now_ms < self.registered.leading_since_ms + self.settings.founding_wait_ms;
        if is_founding && self.state.registry.routing().is_none() && !self.raft.has_target_voters()
        {
            info!(event = "routing_put_off", reason = "voters are missing");
            reply.send(ControlReply::NotReady);
            return;
        }
        let (version, held) = (configuration.version, self.state.registry.routing_version());
        info!(event = "routing_put", version, held);
        if version <= held {
            // It is committed, or a newer one is, and changes nothing.
            reply.send(ControlReply::Accepted);
            return;
        }
        let operation = Operation::PutRouting { configuration, document };
        self.propose(wall_ms, operation, Waiter::Call(reply));
    }

    /// Proposes the newest version of weights and replies after the commit.
    pub(super) fn put_version(&mut self, wall_ms: u64, newest: NewestVersion, reply: Reply) {
        info!(event = "version_put", weights = %newest.name, version = newest.version);
        self.propose(wall_ms, Operation::PutVersion(newest), Waiter::Call(reply));
    }

    /// Handles a heartbeat: one that changes nothing is answered at once, others after the commit.
    pub(super) fn heartbeat(
        &mut self,
        now_ms: u64,
        wall_ms: u64,
        heartbeat: Heartbeat,
        reply: Reply,
    ) {
        let zone = heartbeat.endpoint.zone.clone();
        let waiter = Waiter::Call(reply);
        let Some(waiter) = self.process_heartbeat(now_ms, wall_ms, heartbeat, waiter) else {
            return;
        };
        if let Waiter::Call(reply) = waiter {
            let server = self.registered.group_sent.server_of(&zone);
            reply.send(ControlReply::Heard { server });
        }
    }

    /// Processes a heartbeat and returns `waiter` if there is no commit to wait for.
    pub(super) fn process_heartbeat(
        &mut self,
        now_ms: u64,
        wall_ms: u64,
        heartbeat: Heartbeat,
        waiter: Waiter,
    ) -> Option<Waiter> {
        let id = &heartbeat.endpoint.id;
        let latest = self.registered.sequences.get(id).copied().unwrap_or(0);
        let is_late = heartbeat.sequence <= latest && latest > 0;
        let has_departed = self.state.registry.has_departed(id);
        let is_refused = self.state.registry.refuses(&heartbeat.endpoint);
        if is_late
            || has_departed
            || is_refused
            || self.is_from_earlier_incarnation(now_ms, &heartbeat.endpoint)
        {
            let sequence = heartbeat.sequence;
            info!(
                event = "heartbeat_ignored",
                endpoint = %id,
                sequence,
                latest,
                has_departed,
                is_refused
            );
            return Some(waiter);
        }
        let known = self.state.registry.endpoints().get(id);
        let differs = known != Some(&heartbeat.endpoint);
        let was_leaving = known.is_some_and(|known| known.leaving);
        if heartbeat.endpoint.leaving {
            // An endpoint that announced its shutdown is not used again.
            self.registered.uncertain_ends.record_leaving(id);
        }
        let is_new = if was_leaving { self.confirm_running(&heartbeat) } else { differs };
        self.registered.sequences.insert(id.clone(), heartbeat.sequence);
        self.registered.placement.observe(now_ms, &heartbeat);
        if !is_new {
            return Some(waiter);
        }
        info!(
            event = "endpoint_registers",
            endpoint = %id,
            service = %heartbeat.endpoint.service,
            address = %heartbeat.endpoint.address,
            software = %heartbeat.endpoint.software_version,
            leaving = heartbeat.endpoint.leaving,
            sequence = heartbeat.sequence
        );
        self.record_restart(now_ms, &heartbeat.endpoint);
        let operation = Operation::RegisterEndpoint(heartbeat.endpoint);
        self.propose(wall_ms, operation, waiter);
        None
    }

    /// Updates the leader's state with committed changes.
    pub(super) fn apply_changes(&mut self, changes: &[Change]) {
        let now_ms = self.registered.ticked_at_ms;
        let placement = &mut self.registered.placement;
        for change in changes {
            match change {
                Change::Routing(configuration) => {
                    placement.configure(now_ms, configuration);
                    self.registered.credit.configure(now_ms, configuration);
                }
                Change::Registered(endpoint) => placement.register(now_ms, endpoint),
                Change::Deregistered(id) => {
                    self.registered.sequences.remove(id);
                    self.registered.uncertain_ends.forget(id);
                    placement.deregister(id);
                }
                Change::Version(newest) => {
                    placement.set_version(now_ms, newest.name.clone(), newest.version);
                    self.registered.crashes.note_weights_updated(now_ms, &newest.name);
                }
                Change::Standing(standing) => {
                    log_standing(standing);
                    self.registered.crashes.apply_committed(now_ms, standing);
                }
                _ => {}
            }
        }
    }

    /// Advances the placement, proposes its choices of order holders, and passes its orders to the
    /// gateways that send them to engines.
    pub(super) fn advance_placement(&mut self, now_ms: u64, wall_ms: u64) {
        self.registered.ticked_at_ms = now_ms;
        let holders = self.state.registry.order_holders();
        self.registered.placement.advance(now_ms, holders);
        let choices = self.registered.placement.take_choices();
        if !choices.is_empty() {
            self.propose(wall_ms, Operation::ChooseHolders(choices), Waiter::NoReply);
        }
        for order in self.registered.placement.take_orders() {
            self.send_order(now_ms, order);
        }
        self.propose_copies(now_ms, wall_ms);
        self.forget_software(now_ms, wall_ms);
    }

    /// Records the end of a placement pass if the message that was handled last ran one.
    pub fn end_placement_pass(&mut self, now_ms: u64) {
        if let Some(took_ms) = self.registered.placement.end_pass(now_ms) {
            self.metrics.time(Timer::PlacementPass, took_ms);
        }
    }

    /// Proposes to forget software versions that have had no endpoint for long.
    fn forget_software(&mut self, now_ms: u64, wall_ms: u64) {
        let registry = &self.state.registry;
        let forgotten = self.registered.unused_software.take(
            now_ms,
            registry.software(),
            registry.endpoints().values(),
            registry.routing().map(|routing| &**routing),
        );
        if !forgotten.is_empty() {
            self.propose(wall_ms, Operation::ForgetSoftware(forgotten), Waiter::NoReply);
        }
    }

    /// Proposes a record of new copies for the next leader.
    fn propose_copies(&mut self, now_ms: u64, wall_ms: u64) {
        if now_ms < self.registered.copies_due_ms {
            return;
        }
        self.registered.copies_due_ms = now_ms + COPIES_RECORD_PERIOD_MS;
        let copies = self.registered.placement.take_new_copies();
        if !copies.is_empty() {
            self.propose(wall_ms, Operation::NoteCopies(copies), Waiter::NoReply);
        }
    }

    /// The weights that endpoints hold, as far as this leader knows.
    pub fn all_placed(&self) -> Vec<Placed> {
        self.registered.placement.all_placed()
    }
}
