//! Routing configurations, endpoints that register themselves, and the gateways that follow.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;

use ractor::RpcReplyPort;
use tracing::{info, warn};

use super::{Read, Replica, Waiter};
use crate::control::placement::{Placement, UseFrom};
use crate::control::state::Operation;
use crate::message::{
    Change, ControlReply, EndpointLoad, EngineOrder, Heartbeat, Load, NewestVersion, OrderOutcome,
    OrderResult, Placed, SessionDown, SessionUp,
};
use crate::policy::counts;
use crate::routing::RoutingConfiguration;

/// How often new copies are recorded: a synced entry each time, and what is lost costs a load.
const COPIES_NOTED_EVERY_MS: u64 = 1_000;

/// What the leader knows of registered endpoints beside what is replicated.
pub(super) struct Registered {
    pub(super) placement: Placement,
    sequences: HashMap<Arc<str>, u64>,
    leading_since_ms: u64,
    ticked_at_ms: u64,
    loads_due_ms: u64,
    group_told: (Vec<SocketAddr>, u32),
    copies_due_ms: u64,
}

impl Registered {
    pub(super) fn new(placement: Placement) -> Self {
        Self {
            placement,
            sequences: HashMap::new(),
            leading_since_ms: 0,
            ticked_at_ms: 0,
            loads_due_ms: 0,
            group_told: (Vec::new(), 0),
            copies_due_ms: 0,
        }
    }
}

impl Registered {
    /// The time of the last tick.
    pub(super) fn ticked_at_ms(&self) -> u64 {
        self.ticked_at_ms
    }
}

impl Replica {
    /// Starts knowing endpoints anew, from what is replicated.
    pub(super) fn lead_registered(&mut self, now_ms: u64) {
        let registered = &mut self.registered;
        registered.sequences.clear();
        registered.leading_since_ms = now_ms;
        registered.ticked_at_ms = now_ms;
        registered.group_told = (Vec::new(), 0);
        registered.placement = Placement::new(now_ms, self.settings.placement);
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
            registered.placement.set_version(name.clone(), *version);
        }
    }

    /// Takes a whole configuration in; the answer waits for the commit.
    pub(super) fn put_routing(
        &mut self,
        now_ms: u64,
        wall_ms: u64,
        configuration: Arc<RoutingConfiguration>,
        document: Arc<str>,
        reply: RpcReplyPort<ControlReply>,
    ) {
        let waits = now_ms < self.registered.leading_since_ms + self.settings.founding_wait_ms;
        if waits && self.state.registry.routing().is_none() && !self.raft.has_voters_wanted() {
            info!(event = "routing_put_off", reason = "voters are missing");
            let _ = reply.send(ControlReply::NotReady);
            return;
        }
        let version = configuration.version;
        info!(event = "routing_put", version, held = self.state.registry.routing_version());
        let operation = Operation::PutRouting { configuration, document };
        self.propose(wall_ms, operation, Waiter::Call(reply));
    }

    /// Names the newest version of weights.
    pub(super) fn put_version(
        &mut self,
        wall_ms: u64,
        newest: NewestVersion,
        reply: RpcReplyPort<ControlReply>,
    ) {
        info!(event = "version_put", weights = %newest.name, version = newest.version);
        self.propose(wall_ms, Operation::PutVersion(newest), Waiter::Call(reply));
    }

    /// Takes a heartbeat in: one that tells nothing new is answered at once, others are committed.
    pub(super) fn heartbeat(
        &mut self,
        now_ms: u64,
        wall_ms: u64,
        heartbeat: Heartbeat,
        reply: RpcReplyPort<ControlReply>,
    ) {
        let id = &heartbeat.endpoint.id;
        let latest = self.registered.sequences.get(id).copied().unwrap_or(0);
        let is_late = heartbeat.sequence <= latest && latest > 0;
        if is_late || self.state.registry.has_departed(id) {
            info!(event = "heartbeat_ignored", endpoint = %id, sequence = heartbeat.sequence, latest);
            let _ = reply.send(ControlReply::Accepted);
            return;
        }
        let known = self.state.registry.endpoints().get(id);
        // One that leaves does not come back.
        let was_leaving = known.is_some_and(|known| known.leaving);
        let is_new = known != Some(&heartbeat.endpoint) && !was_leaving;
        self.registered.sequences.insert(id.clone(), heartbeat.sequence);
        self.registered.placement.observe(now_ms, &heartbeat);
        if !is_new {
            let _ = reply.send(ControlReply::Accepted);
            return;
        }
        info!(
            event = "endpoint_registers",
            endpoint = %id,
            service = %heartbeat.endpoint.service,
            address = %heartbeat.endpoint.address,
            leaving = heartbeat.endpoint.leaving,
            sequence = heartbeat.sequence
        );
        let operation = Operation::RegisterEndpoint(heartbeat.endpoint);
        self.propose(wall_ms, operation, Waiter::Call(reply));
    }

    /// Keeps the placement in step with what was committed.
    pub(super) fn note_registered(&mut self, changes: &[Change]) {
        let now_ms = self.registered.ticked_at_ms;
        let placement = &mut self.registered.placement;
        for change in changes {
            match change {
                Change::Routing(configuration) => placement.configure(now_ms, configuration),
                Change::Registered(endpoint) => placement.register(now_ms, endpoint),
                Change::Deregistered(id) => {
                    self.registered.sequences.remove(id);
                    placement.deregister(id);
                }
                Change::Version(newest) => {
                    placement.set_version(newest.name.clone(), newest.version);
                }
                _ => {}
            }
        }
    }

    /// Lets the placement decide and passes its orders to the gateways that give them.
    pub(super) fn advance_placement(&mut self, now_ms: u64, wall_ms: u64) {
        self.registered.ticked_at_ms = now_ms;
        let holders = self.state.registry.order_holders();
        self.registered.placement.advance(now_ms, holders);
        let choices = self.registered.placement.take_choices();
        if !choices.is_empty() {
            self.propose(wall_ms, Operation::ChooseHolders(choices), Waiter::Nobody);
        }
        for order in self.registered.placement.take_orders() {
            self.pass_order(now_ms, order);
        }
        self.note_copies(now_ms, wall_ms);
    }

    /// Records new copies, so that whoever leads next knows them.
    fn note_copies(&mut self, now_ms: u64, wall_ms: u64) {
        if now_ms < self.registered.copies_due_ms {
            return;
        }
        self.registered.copies_due_ms = now_ms + COPIES_NOTED_EVERY_MS;
        let copies = self.registered.placement.take_new_copies();
        if !copies.is_empty() {
            self.propose(wall_ms, Operation::NoteCopies(copies), Waiter::Nobody);
        }
    }

    fn pass_order(&mut self, now_ms: u64, order: EngineOrder) {
        for session in self.sessions.values() {
            if session.gives_orders(now_ms) && session.hello.name == order.holder {
                let (number, endpoint) = (order.number, order.endpoint.clone());
                if session.send(SessionDown::Order(order.clone())) {
                    return;
                }
                warn!(event = "order_not_passed", endpoint = %endpoint, number);
                break;
            }
        }
        let EngineOrder { number, endpoint, kind, .. } = order;
        let result = OrderResult { number, endpoint, kind, outcome: OrderOutcome::NotSent };
        self.registered.placement.ordered(now_ms, result);
    }

    /// Tells the placement which gateways can give orders.
    fn note_gateways(&mut self, now_ms: u64) {
        let mut connected = BTreeMap::new();
        for session in self.sessions.values() {
            if session.gives_orders(now_ms) {
                connected.insert(session.hello.name.clone(), session.hello.zone.clone());
            }
        }
        self.registered.placement.set_gateways(now_ms, connected);
    }

    /// Brings a follower up to what is committed.
    pub(super) fn welcome_follower(&mut self, id: u64) {
        let index = self.applied;
        let Some(session) = self.sessions.get_mut(&id) else { return };
        let placed = self.registered.placement.all_placed();
        let keeps_up = session.welcome(0, index, &self.recent, &self.state)
            && session.send(SessionDown::Placed { reset: true, placed });
        if !keeps_up {
            self.sessions.remove(&id);
        }
        self.registered.group_told = (Vec::new(), 0);
    }

    /// Takes a message of a gateway that only follows.
    pub(super) fn follower_message(&mut self, now_ms: u64, wall_ms: u64, id: u64, up: SessionUp) {
        match up {
            SessionUp::Renew { sent_at_ms, .. } => {
                self.read(Read::Renewal { session: id, sent_at_ms });
            }
            SessionUp::Needs(needs) => {
                let Some(session) = self.sessions.get(&id) else { return };
                self.registered.placement.need(now_ms, &session.hello.zone, needs);
                self.advance_placement(now_ms, wall_ms);
            }
            SessionUp::Ordered(result) => {
                self.registered.placement.ordered(now_ms, result);
                self.advance_placement(now_ms, wall_ms);
                self.tell_placed();
            }
            SessionUp::Traffic { loads, used, failing } => {
                let Some(session) = self.sessions.get(&id) else { return };
                let from = UseFrom {
                    gateway: session.hello.name.clone(),
                    zone: session.hello.zone.clone(),
                };
                self.registered.placement.used(now_ms, &from, used);
                self.registered.placement.failing(now_ms, &failing);
                let Some(session) = self.sessions.get_mut(&id) else { return };
                for load in loads {
                    session.loads.insert(load.endpoint, load.load);
                }
            }
            SessionUp::Hello(_) | SessionUp::Leave | SessionUp::Release { .. } => {}
        }
    }

    /// Tells followers what changed of placements, loads and the group.
    pub(super) fn tell_followers(&mut self, now_ms: u64) {
        self.tell_placed();
        if now_ms < self.registered.loads_due_ms {
            return;
        }
        self.registered.loads_due_ms = now_ms + counts::period_ms(self.sessions.len());
        self.note_gateways(now_ms);
        self.tell_group();
        self.tell_loads();
    }

    fn tell_placed(&mut self) {
        let placed = self.registered.placement.take_placed();
        if !placed.is_empty() {
            self.send_followers(|| SessionDown::Placed { reset: false, placed: placed.clone() });
        }
    }

    fn tell_group(&mut self) {
        let mut replicas = Vec::new();
        for member in self.raft.members().0.values() {
            replicas.push(member.address);
        }
        let gateways = self.sessions.len() as u32;
        let group = (replicas, gateways);
        if group == self.registered.group_told {
            return;
        }
        self.registered.group_told = group.clone();
        self.send_followers(|| SessionDown::Group { replicas: group.0.clone(), gateways });
    }

    fn tell_loads(&mut self) {
        let mut totals: BTreeMap<Arc<str>, Load> = BTreeMap::new();
        for session in self.sessions.values() {
            for (endpoint, load) in &session.loads {
                let total = totals.entry(endpoint.clone()).or_default();
                *total = total.plus(*load);
            }
        }
        for (endpoint, load) in &totals {
            self.registered.placement.note_load(endpoint, *load);
        }
        for session in self.sessions.values_mut() {
            let mut changed = Vec::new();
            for (endpoint, total) in &totals {
                let own = session.loads.get(endpoint).copied().unwrap_or_default();
                let others = total.minus(own);
                if session.loads_told.get(endpoint).copied().unwrap_or_default() == others {
                    continue;
                }
                session.loads_told.insert(endpoint.clone(), others);
                changed.push(EndpointLoad { endpoint: endpoint.clone(), load: others });
            }
            if !changed.is_empty() {
                session.send(SessionDown::Loads(changed));
            }
        }
    }

    fn send_followers(&mut self, message: impl Fn() -> SessionDown) {
        self.sessions.retain(|_, session| {
            if session.hello.owns_endpoints || session.epoch.is_none() {
                return true;
            }
            let keeps_up = session.send(message());
            if !keeps_up {
                warn!(event = "session_dropped", gateway = %session.hello.name);
            }
            keeps_up
        });
    }

    /// What endpoints hold, as far as this leader knows.
    pub fn all_placed(&self) -> Vec<Placed> {
        self.registered.placement.all_placed()
    }
}
