//! The leader's exchange with follower gateways and distributors: their messages, orders, loads,
//! placements and the group.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use tracing::{info, warn};

use super::sessions::Renewal;
use super::{Replica, Waiter};
use crate::control::outbox::Outgoing;
use crate::control::placement::UsageSource;
use crate::control::session::Session;
use crate::message::{
    EngineOrder, Forwarded, Group, SessionDown, SessionHello, SessionRole, SessionServer, SessionUp,
};
use crate::policy::counts;

/// How long after it began to lead a leader knows all gateways.
const GATEWAYS_KNOWN_MS: u64 = 2_500;

impl Replica {
    pub(super) fn send_order(&mut self, now_ms: u64, order: EngineOrder) {
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
        self.send_to_gateway(to, &SessionDown::Peers { gateway: to.gateway.clone(), peers });
    }

    /// Sends a message to a gateway, on its own session or through its distributor.
    pub(super) fn send_to_gateway(&self, to: &UsageSource, message: &SessionDown) {
        let is_own = |session: &&Session| {
            session.hello.role == SessionRole::Follower && session.hello.name == to.gateway
        };
        if let Some(session) = self.sessions.values().find(is_own) {
            session.send(message.clone());
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
        // A new leader learns of the gateways one by one; until then the list of the previous one holds.
        if self.registered.leading_since_ms + GATEWAYS_KNOWN_MS <= now_ms {
            self.registered.coordinators =
                self.registered.peers.coordinators(now_ms, |name| connected.contains_key(name));
        }
        self.registered.placement.set_gateways(now_ms, connected);
    }

    /// Sends a new follower the committed state, the placements and the group.
    pub(super) fn welcome_follower(&mut self, id: u64) {
        let placed = self.registered.placement.all_placed();
        // Sends the group as the others last received it. Had the leader recomputed it for each of
        // many sessions opened at once, it would not know in the meantime which gateways belong to
        // a distributor.
        let group = self.registered.group_sent.clone();
        if !self.welcome(id, 0, self.applied) {
            return;
        }
        let mut messages = vec![Outgoing::new(SessionDown::Placed { reset: true, placed })];
        if group != Group::default() {
            messages.push(Outgoing::new(SessionDown::Group(group)));
        }
        if let Some(session) = self.sessions.get(&id)
            && !session.send_initial(&messages)
        {
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
            SessionUp::StreamsBegun(begun) => {
                for begun in &begun {
                    self.registered.origins.record(now_ms, begun);
                }
            }
            SessionUp::AskOrigin(ask) => self.ask_origin(from, ask),
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
            self.send_to_followers(SessionDown::Placed { reset: false, placed });
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
        group.coordinators.clone_from(&self.registered.coordinators);
        if !group.has_significant_change_from(&self.registered.group_sent) {
            return;
        }
        self.registered.group_sent = group.clone();
        self.send_to_followers(SessionDown::Group(group));
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

    fn send_to_followers(&mut self, message: SessionDown) {
        let message = Outgoing::new(message);
        self.sessions.retain(|_, session| {
            if session.hello.role == SessionRole::Owner || session.epoch.is_none() {
                return true;
            }
            let sent = session.send_shared(&message);
            if let Err(reason) = &sent {
                warn!(event = "session_dropped", gateway = %session.hello.name, ?reason);
            }
            sent.is_ok()
        });
    }
}
