//! Routing configurations, endpoints that register themselves, and the gateways that follow.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;

use ractor::RpcReplyPort;
use tracing::{info, warn};

use super::incarnations::MaybeEnded;
use super::standings::log_standing;
use super::{Renewal, Replica, Waiter};
use crate::control::counts::Counts;
use crate::control::placement::{Placement, UseFrom};
use crate::control::session::Session;
use crate::control::state::Operation;
use crate::message::{
    Change, ControlReply, EngineOrder, Forwarded, Group, Heartbeat, NewestVersion, Placed,
    SessionDown, SessionHello, SessionRole, SessionServer, SessionUp,
};
use crate::policy::counts;
use crate::policy::crashes::Crashes;
use crate::policy::quota::{Pools, QuotaBounds};
use crate::routing::RoutingConfiguration;

/// How often new copies are recorded: a synced entry each time, and what is lost costs a load.
const COPIES_NOTED_EVERY_MS: u64 = 1_000;

/// Orders that one leader may give, as a power of two: more than a year's at the size expected.
const ORDERS_PER_TERM_BITS: u32 = 32;

/// What the leader knows of registered endpoints beside what is replicated.
pub(super) struct Registered {
    pub(super) placement: Placement,
    sequences: HashMap<Arc<str>, u64>,
    /// When endpoints, by name, were last heard to have restarted.
    pub(super) restarted_at_ms: HashMap<Arc<str>, u64>,
    pub(super) maybe_ended: MaybeEnded,
    pub(super) leading_since_ms: u64,
    ticked_at_ms: u64,
    loads_due_ms: u64,
    group_told: Group,
    copies_due_ms: u64,
    pub(super) counts: Counts,
    pub(super) crashes: Crashes,
    /// Credit of workspaces.
    pub(super) credit: Pools,
}

impl Registered {
    pub(super) fn new(placement: Placement, quota: QuotaBounds) -> Self {
        Self {
            placement,
            sequences: HashMap::new(),
            restarted_at_ms: HashMap::new(),
            maybe_ended: MaybeEnded::default(),
            leading_since_ms: 0,
            ticked_at_ms: 0,
            loads_due_ms: 0,
            group_told: Group::default(),
            copies_due_ms: 0,
            counts: Counts::new(),
            crashes: Crashes::default(),
            credit: Pools::new(quota),
        }
    }
}

impl Registered {
    /// The time of the last tick.
    pub(super) fn ticked_at_ms(&self) -> u64 {
        self.ticked_at_ms
    }

    /// What the latest heartbeat of an incarnation counted.
    pub(super) fn sequence_heard(&self, id: &str) -> Option<u64> {
        self.sequences.get(id).copied()
    }
}

impl Replica {
    /// Starts knowing endpoints anew, from what is replicated.
    pub(super) fn lead_registered(&mut self, now_ms: u64) {
        let earlier_began_ago_ms = self.terms.earlier_began_ago_ms(now_ms);
        let registered = &mut self.registered;
        registered.sequences.clear();
        registered.restarted_at_ms.clear();
        registered.maybe_ended.clear();
        registered.leading_since_ms = now_ms;
        registered.ticked_at_ms = now_ms;
        registered.group_told = Group::default();
        registered.counts = Counts::new();
        registered.credit = Pools::new(self.settings.quota);
        if let Some(configuration) = self.state.registry.routing() {
            registered.credit = Pools::new(self.settings.quota)
                .with_earlier_leader(now_ms, configuration)
                .with_earlier_term_age(earlier_began_ago_ms.unwrap_or(0));
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
        let zone = heartbeat.endpoint.zone.clone();
        let waiter = Waiter::Call(reply);
        let Some(waiter) = self.take_heartbeat(now_ms, wall_ms, heartbeat, waiter) else { return };
        if let Waiter::Call(reply) = waiter {
            let server = self.registered.group_told.server_of(&zone);
            let _ = reply.send(ControlReply::Heard { server });
        }
    }

    /// Takes a heartbeat in; gives `waiter` back when there is nothing to wait for.
    fn take_heartbeat(
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
            || self.is_of_earlier_life(now_ms, &heartbeat.endpoint)
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
            // One that said it leaves does not come back.
            self.registered.maybe_ended.leaves(id);
        }
        let is_new = if was_leaving { self.goes_on(&heartbeat) } else { differs };
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
        self.note_restart(now_ms, &heartbeat.endpoint);
        let operation = Operation::RegisterEndpoint(heartbeat.endpoint);
        self.propose(wall_ms, operation, waiter);
        None
    }

    /// Keeps the placement in step with what was committed.
    pub(super) fn note_registered(&mut self, changes: &[Change]) {
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
                    self.registered.maybe_ended.forget(id);
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
        // A gateway that has just left its distributor may still count there.
        let mut sessions: Vec<&Session> = self.sessions.values().collect();
        sessions.sort_by_key(|session| session.hello.role == SessionRole::Distributor);
        for session in sessions {
            if !session.reaches(now_ms, &order.holder) {
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

    /// Tells the placement which gateways can give orders.
    fn note_gateways(&mut self, now_ms: u64) {
        let mut connected = BTreeMap::new();
        for session in self.sessions.values() {
            for gateway in session.gateways(now_ms) {
                connected.insert(gateway, session.hello.zone.clone());
            }
        }
        self.registered.placement.set_gateways(now_ms, connected);
    }

    /// Brings a follower up to what is committed.
    pub(super) fn welcome_follower(&mut self, id: u64) {
        let index = self.applied;
        let Some(session) = self.sessions.get_mut(&id) else { return };
        let placed = self.registered.placement.all_placed();
        // What the others were told: in a storm of sessions a leader that told all anew would not know
        // meanwhile which gateways belong to a distributor.
        let group = self.registered.group_told.clone();
        let keeps_up = session.welcome(0, index, &self.recent, &self.state)
            && session.send(SessionDown::Placed { reset: true, placed })
            && (group == Group::default() || session.send(SessionDown::Group(group)));
        if !keeps_up {
            self.sessions.remove(&id);
        }
        self.registered.counts.tell_all();
    }

    /// The distributor that serves a gateway better than this leader does, if there is one.
    pub(super) fn nearer_server(&self, hello: &SessionHello) -> Option<SocketAddr> {
        if hello.role != SessionRole::Follower || hello.near_fails {
            return None;
        }
        let own = self.own_address();
        let near = self.registered.group_told.server_of(&hello.zone);
        near.filter(|address| Some(*address) != own)
    }

    fn own_address(&self) -> Option<SocketAddr> {
        self.raft.members().0.get(&self.raft.id()).map(|member| member.address)
    }

    /// Takes a message of a gateway that only follows, or of a distributor.
    pub(super) fn follower_message(&mut self, now_ms: u64, wall_ms: u64, id: u64, up: SessionUp) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        let from =
            UseFrom { gateway: session.hello.name.clone(), zone: session.hello.zone.clone() };
        match up {
            SessionUp::Renew { sent_at_ms, .. } => {
                self.renew(Renewal::Own { session: id, sent_at_ms });
            }
            SessionUp::RenewFor { number, gateways } => {
                self.renew(Renewal::Behind { session: id, number, gateways });
            }
            SessionUp::Forwarded(forwarded) => {
                for Forwarded { gateway, up } in forwarded {
                    let from = UseFrom { gateway, zone: from.zone.clone() };
                    self.gateway_message(now_ms, wall_ms, &from, up);
                }
            }
            SessionUp::Traffic { loads, used, failing } => {
                self.registered.counts.take(session, loads);
                let up = SessionUp::Traffic { loads: Vec::new(), used, failing };
                self.gateway_message(now_ms, wall_ms, &from, up);
            }
            SessionUp::CreditAsks(asks) => self.answer_credit(now_ms, id, &from.gateway, &asks),
            SessionUp::Heartbeats(heartbeats) => {
                for heartbeat in heartbeats {
                    self.take_heartbeat(now_ms, wall_ms, heartbeat, Waiter::Nobody);
                }
            }
            up => self.gateway_message(now_ms, wall_ms, &from, up),
        }
    }

    /// Takes what a gateway tells of adapters, on its own session or through a distributor.
    fn gateway_message(&mut self, now_ms: u64, wall_ms: u64, from: &UseFrom, up: SessionUp) {
        match up {
            SessionUp::Needs(needs) => {
                self.registered.placement.need(now_ms, &from.zone, needs);
                self.advance_placement(now_ms, wall_ms);
            }
            SessionUp::Ordered(result) => {
                self.registered.placement.ordered(now_ms, result);
                self.advance_placement(now_ms, wall_ms);
            }
            SessionUp::Traffic { used, failing, .. } => {
                self.registered.placement.used(now_ms, from, used);
                self.registered.placement.failing(now_ms, &failing);
            }
            SessionUp::Crashes(crashes) => self.take_crashes(now_ms, wall_ms, crashes),
            SessionUp::Served(key) => {
                self.registered.crashes.note_served(key, now_ms);
                self.registered.crashes.served(key);
                self.propose_standings(wall_ms);
            }
            SessionUp::AskForTrial(key) => {
                self.registered.crashes.request_trial(now_ms, key, &from.gateway);
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

    /// Tells followers what changed of placements, loads and the group.
    pub(super) fn tell_followers(&mut self, now_ms: u64) {
        self.tell_placed();
        if now_ms < self.registered.loads_due_ms {
            return;
        }
        let period_ms = counts::period_ms(self.sessions.len());
        self.registered.loads_due_ms = now_ms + period_ms;
        self.end_silent_links(now_ms);
        self.note_gateways(now_ms);
        self.tell_group(period_ms);
        self.tell_loads(now_ms);
    }

    /// Ends links of distributors that say nothing, so that gateways are not sent to them.
    fn end_silent_links(&mut self, now_ms: u64) {
        let mut silent = Vec::new();
        for (id, session) in &self.sessions {
            if session.is_silent(now_ms) {
                warn!(event = "link_silent", distributor = %session.hello.name);
                silent.push(*id);
            }
        }
        for id in silent {
            self.send_elsewhere(id);
        }
    }

    fn tell_placed(&mut self) {
        let placed = self.registered.placement.take_placed();
        if !placed.is_empty() {
            self.send_followers(|| SessionDown::Placed { reset: false, placed: placed.clone() });
        }
    }

    fn tell_group(&mut self, period_ms: u64) {
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
        if !group.differs_enough(&self.registered.group_told) {
            return;
        }
        self.registered.group_told = group.clone();
        self.send_followers(|| SessionDown::Group(group.clone()));
    }

    fn tell_loads(&mut self, now_ms: u64) {
        let totals =
            self.registered.counts.totals(now_ms, self.sessions.values(), std::iter::empty());
        for (endpoint, load) in &totals {
            self.registered.placement.note_load(endpoint, *load);
        }
        for session in self.sessions.values_mut() {
            session.tell_loads(&totals);
        }
    }

    fn send_followers(&mut self, message: impl Fn() -> SessionDown) {
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

    /// What endpoints hold, as far as this leader knows.
    pub fn all_placed(&self) -> Vec<Placed> {
        self.registered.placement.all_placed()
    }
}
