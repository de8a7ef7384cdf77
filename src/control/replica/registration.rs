//! Routing configurations, endpoints that register themselves, and the sessions of follower
//! gateways and distributors.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;

use ractor::RpcReplyPort;
use tracing::{info, warn};

use super::incarnations::UncertainEnds;
use super::standings::log_standing;
use super::{Renewal, Replica, Waiter};
use crate::control::counts::Counts;
use crate::control::peers::Peers;
use crate::control::placement::{Placement, UsageSource};
use crate::control::session::Session;
use crate::control::state::Operation;
use crate::control::workspace_use::WorkspaceUses;
use crate::message::{
    Change, ControlReply, EngineOrder, Forwarded, Group, Heartbeat, NewestVersion, Placed,
    SessionDown, SessionHello, SessionRole, SessionServer, SessionUp,
};
use crate::policy::counts;
use crate::policy::crashes::Crashes;
use crate::policy::quota::{CreditPools, QuotaBounds};
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
    loads_due_ms: u64,
    group_sent: Group,
    copies_due_ms: u64,
    pub(super) counts: Counts,
    pub(super) crashes: Crashes,
    /// Quota credit of workspaces.
    pub(super) credit: CreditPools,
    workspace_uses: WorkspaceUses,
    /// The gateways that send requests for others.
    peers: Peers,
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
            copies_due_ms: 0,
            counts: Counts::new(),
            crashes: Crashes::default(),
            credit: CreditPools::new(quota),
            workspace_uses: WorkspaceUses::new(),
            peers: Peers::new(),
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
        reply: RpcReplyPort<ControlReply>,
    ) {
        let is_founding =
            now_ms < self.registered.leading_since_ms + self.settings.founding_wait_ms;
        if is_founding && self.state.registry.routing().is_none() && !self.raft.has_target_voters()
        {
            info!(event = "routing_put_off", reason = "voters are missing");
            let _ = reply.send(ControlReply::NotReady);
            return;
        }
        let version = configuration.version;
        info!(event = "routing_put", version, held = self.state.registry.routing_version());
        let operation = Operation::PutRouting { configuration, document };
        self.propose(wall_ms, operation, Waiter::Call(reply));
    }

    /// Proposes the newest version of weights and replies after the commit.
    pub(super) fn put_version(
        &mut self,
        wall_ms: u64,
        newest: NewestVersion,
        reply: RpcReplyPort<ControlReply>,
    ) {
        info!(event = "version_put", weights = %newest.name, version = newest.version);
        self.propose(wall_ms, Operation::PutVersion(newest), Waiter::Call(reply));
    }

    /// Handles a heartbeat: one that changes nothing is answered at once, others after the commit.
    pub(super) fn heartbeat(
        &mut self,
        now_ms: u64,
        wall_ms: u64,
        heartbeat: Heartbeat,
        reply: RpcReplyPort<ControlReply>,
    ) {
        let zone = heartbeat.endpoint.zone.clone();
        let waiter = Waiter::Call(reply);
        let Some(waiter) = self.process_heartbeat(now_ms, wall_ms, heartbeat, waiter) else {
            return;
        };
        if let Waiter::Call(reply) = waiter {
            let server = self.registered.group_sent.server_of(&zone);
            let _ = reply.send(ControlReply::Heard { server });
        }
    }

    /// Processes a heartbeat and returns `waiter` if there is no commit to wait for.
    fn process_heartbeat(
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
                Change::Request(standing) => {
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

    fn send_order(&mut self, now_ms: u64, order: EngineOrder) {
        // Direct sessions come first: a distributor may still list a gateway that has just left it.
        let mut sessions: Vec<&Session> = self.sessions.values().collect();
        sessions.sort_by_key(|session| session.hello.role == SessionRole::Distributor);
        for session in sessions {
            if !session.can_reach(now_ms, &order.holder) {
                continue;
            }
            if session.send(SessionDown::Order(order.clone())) {
                return;
            }
            warn!(event = "order_not_passed", endpoint = %order.endpoint, number = order.number);
            break;
        }
        self.registered.placement.ordered(now_ms, order.not_sent());
    }

    /// Tells a gateway through which others it may send requests.
    fn send_peers(&self, now_ms: u64, to: &UsageSource) {
        let peers = self.registered.peers.offered_to(now_ms, &to.gateway, &to.zone);
        let message = SessionDown::Peers { gateway: to.gateway.clone(), peers };
        let is_own = |session: &&Session| {
            session.hello.role == SessionRole::Follower && session.hello.name == to.gateway
        };
        if let Some(session) = self.sessions.values().find(is_own) {
            session.send(message);
            return;
        }
        // A distributor passes the message on if the gateway is connected to it.
        for session in self.sessions.values() {
            let SessionHello { role, zone, .. } = &session.hello;
            if *role == SessionRole::Distributor && *zone == to.zone {
                session.send(message.clone());
            }
        }
    }

    /// Updates the placement's set of gateways that can send orders.
    fn update_gateways(&mut self, now_ms: u64) {
        let mut connected = BTreeMap::new();
        for session in self.sessions.values() {
            for gateway in session.gateways(now_ms) {
                connected.insert(gateway, session.hello.zone.clone());
            }
        }
        self.registered.placement.set_gateways(now_ms, connected);
    }

    /// Sends a new follower the committed state, the placements and the group.
    pub(super) fn welcome_follower(&mut self, id: u64) {
        let index = self.applied;
        let Some(session) = self.sessions.get_mut(&id) else { return };
        let placed = self.registered.placement.all_placed();
        // Sends the group as the others last received it. Had the leader recomputed it for each of
        // many sessions opened at once, it would not know in the meantime which gateways belong to
        // a distributor.
        let group = self.registered.group_sent.clone();
        let keeps_up = session.welcome(0, index, &self.recent, &self.state)
            && session.send(SessionDown::Placed { reset: true, placed })
            && (group == Group::default() || session.send(SessionDown::Group(group)));
        if !keeps_up {
            self.sessions.remove(&id);
        }
        self.registered.counts.mark_all_changed();
    }

    /// The distributor in the gateway's availability zone, if it should serve the gateway instead
    /// of this leader.
    pub(super) fn nearer_server(&self, hello: &SessionHello) -> Option<SocketAddr> {
        if hello.role != SessionRole::Follower || hello.zone_server_failed {
            return None;
        }
        let own = self.own_address();
        let distributor = self.registered.group_sent.server_of(&hello.zone);
        distributor.filter(|address| Some(*address) != own)
    }

    fn own_address(&self) -> Option<SocketAddr> {
        self.raft.members().0.get(&self.raft.id()).map(|member| member.address)
    }

    /// Handles a message of a follower gateway or a distributor.
    pub(super) fn handle_follower_message(
        &mut self,
        now_ms: u64,
        wall_ms: u64,
        id: u64,
        up: SessionUp,
    ) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        let from =
            UsageSource { gateway: session.hello.name.clone(), zone: session.hello.zone.clone() };
        match up {
            SessionUp::Renew { sent_at_ms, .. } => {
                self.queue_renewal(Renewal::Direct { session: id, sent_at_ms });
            }
            SessionUp::RenewFor { number, gateways } => {
                self.queue_renewal(Renewal::ViaDistributor { session: id, number, gateways });
            }
            SessionUp::Forwarded(forwarded) => {
                for Forwarded { gateway, up } in forwarded {
                    let from = UsageSource { gateway, zone: from.zone.clone() };
                    self.handle_gateway_message(now_ms, wall_ms, &from, up);
                }
            }
            SessionUp::Traffic { loads, used, failing } => {
                self.registered.counts.update(session, loads);
                let up = SessionUp::Traffic { loads: Vec::new(), used, failing };
                self.handle_gateway_message(now_ms, wall_ms, &from, up);
            }
            SessionUp::CreditAsks(asks) => {
                self.answer_credit_asks(now_ms, id, &from.gateway, &asks);
            }
            SessionUp::WorkspaceUse(uses) => self.registered.workspace_uses.update(id, uses),
            SessionUp::Heartbeats(heartbeats) => {
                for heartbeat in heartbeats {
                    self.process_heartbeat(now_ms, wall_ms, heartbeat, Waiter::NoReply);
                }
            }
            up => self.handle_gateway_message(now_ms, wall_ms, &from, up),
        }
    }

    /// Handles a gateway's message that came on its own session or through a distributor.
    fn handle_gateway_message(
        &mut self,
        now_ms: u64,
        wall_ms: u64,
        from: &UsageSource,
        up: SessionUp,
    ) {
        match up {
            SessionUp::Needs(needs) => {
                self.registered.placement.note_needs(now_ms, &from.zone, needs);
                self.advance_placement(now_ms, wall_ms);
            }
            SessionUp::Ordered(result) => {
                self.registered.placement.ordered(now_ms, result);
                self.advance_placement(now_ms, wall_ms);
            }
            SessionUp::Traffic { used, failing, .. } => {
                self.registered.placement.used(now_ms, from, used);
                self.registered.placement.mark_endpoints_failing(now_ms, &from.gateway, &failing);
            }
            SessionUp::OfferDetours { address, out_of_reach } => {
                let peers = &mut self.registered.peers;
                peers.announce(now_ms, &from.gateway, &from.zone, address, out_of_reach);
                let cut_off = peers.cut_off(now_ms);
                self.registered.placement.set_cut_off(now_ms, cut_off);
                self.send_peers(now_ms, from);
            }
            SessionUp::Crashes(crashes) => {
                self.record_crashes(now_ms, wall_ms, &from.gateway, crashes);
            }
            SessionUp::Served(key) => {
                self.registered.crashes.note_served(key, now_ms);
                self.registered.crashes.served(key);
                self.propose_standings(wall_ms);
            }
            SessionUp::AskForTrial(key) => {
                self.registered.crashes.grant_trial(now_ms, key, &from.gateway);
                self.propose_standings(wall_ms);
            }
            SessionUp::ServedBefore { key, ago_ms } => {
                let at_ms = now_ms.saturating_sub(ago_ms.into());
                self.registered.crashes.note_served(key, at_ms);
            }
            SessionUp::TrialReturned(key) => {
                info!(event = "trial_returned", key = %key, gateway = %from.gateway);
                self.registered.crashes.return_trial(key, &from.gateway);
                self.propose_standings(wall_ms);
            }
            up => {
                let message = up.kind();
                warn!(event = "message_ignored", gateway = %from.gateway, message);
            }
        }
    }

    /// Sends followers the changed placements and, periodically, the group and the loads.
    pub(super) fn update_followers(&mut self, now_ms: u64) {
        self.send_placed();
        self.registered.workspace_uses.advance(now_ms, &self.sessions);
        if now_ms < self.registered.loads_due_ms {
            return;
        }
        let period_ms = counts::period_ms(self.sessions.len());
        self.registered.loads_due_ms = now_ms + period_ms;
        self.end_silent_sessions(now_ms);
        self.update_gateways(now_ms);
        self.send_group(period_ms);
        self.send_loads(now_ms);
    }

    /// Ends sessions of silent distributors, so that gateways are not redirected to them.
    fn end_silent_sessions(&mut self, now_ms: u64) {
        let mut silent = Vec::new();
        for (id, session) in &self.sessions {
            if session.is_silent(now_ms) {
                warn!(event = "link_silent", distributor = %session.hello.name);
                silent.push(*id);
            }
        }
        for id in silent {
            self.redirect_session(id);
        }
    }

    fn send_placed(&mut self) {
        let placed = self.registered.placement.take_placed();
        if !placed.is_empty() {
            self.send_to_followers(|| SessionDown::Placed { reset: false, placed: placed.clone() });
        }
    }

    fn send_group(&mut self, period_ms: u64) {
        let mut group =
            Group { gateways: 0, counts_every_ms: period_ms as u32, ..Group::default() };
        for member in self.raft.members().0.values() {
            group.replicas.push(member.address);
        }
        if let Some(address) = self.own_address() {
            group.servers.push(SessionServer { zone: self.settings.zone.clone(), address });
        }
        for session in self.sessions.values() {
            group.gateways += session.gateway_count() as u32;
            if session.hello.role == SessionRole::Distributor && session.epoch.is_some() {
                let SessionHello { zone, address, .. } = session.hello.clone();
                group.servers.push(SessionServer { zone, address });
            }
        }
        if !group.has_significant_change_from(&self.registered.group_sent) {
            return;
        }
        self.registered.group_sent = group.clone();
        self.send_to_followers(|| SessionDown::Group(group.clone()));
    }

    fn send_loads(&mut self, now_ms: u64) {
        let totals =
            self.registered.counts.totals(now_ms, self.sessions.values(), std::iter::empty());
        for (endpoint, load) in &totals {
            self.registered.placement.note_load(endpoint, *load);
        }
        for session in self.sessions.values_mut() {
            session.send_loads(&totals, self.registered.placement.work());
        }
    }

    fn send_to_followers(&mut self, message: impl Fn() -> SessionDown) {
        self.sessions.retain(|_, session| {
            if session.hello.role == SessionRole::Owner || session.epoch.is_none() {
                return true;
            }
            let keeps_up = session.send(message());
            if !keeps_up {
                warn!(event = "session_dropped", gateway = %session.hello.name);
            }
            keeps_up
        });
    }

    /// The weights that endpoints hold, as far as this leader knows.
    pub fn all_placed(&self) -> Vec<Placed> {
        self.registered.placement.all_placed()
    }
}
