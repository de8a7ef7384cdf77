//! What the leader sends to the gateways of a distributor.

use std::collections::BTreeMap;
use std::sync::Arc;

use tracing::warn;

use super::Distributor;
use super::renewals::AwaitedReply;
use crate::control::outbox::Outgoing;
use crate::control::session::change_messages;
use crate::message::{Change, CreditGrant, EngineOrder, Forwarded, Placed, SessionDown, SessionUp};
use crate::policy::quota::HolderGrant;

impl Distributor {
    /// Handles a message of the leader.
    pub fn handle_leader_message(&mut self, now_ms: u64, down: SessionDown) {
        match down {
            SessionDown::Changes { index, complete, changes, .. } => {
                self.apply_changes(index, complete, changes);
            }
            SessionDown::Placed { placed, .. } => self.place(placed),
            SessionDown::Loads(loads) => {
                for load in &loads {
                    self.counts.mark_changed(&load.endpoint);
                }
                self.view.note_loads(loads);
            }
            SessionDown::Group(group) => {
                self.view.group = group;
                let group = self.local_group();
                self.broadcast(SessionDown::Group(group));
            }
            SessionDown::RenewedFor { number } => self.confirm_renewal(number),
            SessionDown::Order(order) => self.forward_order(order),
            SessionDown::Peers { ref gateway, .. } | SessionDown::Origin { ref gateway, .. } => {
                let gateway = gateway.clone();
                self.forward_to(&gateway, down);
            }
            SessionDown::Credit(grants) => {
                let answers = self.credit.granted(now_ms, grants);
                self.deliver_credit(answers);
                self.ask_for_credit(now_ms);
            }
            SessionDown::WorkspaceUse(uses) => self.workspace_uses.update_remote(uses),
            SessionDown::Welcome { .. }
            | SessionDown::Renewed { .. }
            | SessionDown::NotLeader { .. }
            | SessionDown::Expired => {
                let message = down.kind();
                warn!(event = "message_ignored", peer = "leader", message, now_ms);
            }
        }
    }

    fn confirm_renewal(&mut self, number: u64) {
        let mut welcomed = Vec::new();
        for reply in self.renewals.take_confirmed(number) {
            match reply {
                AwaitedReply::Welcome { session } => welcomed.push(session),
                AwaitedReply::Renewal { session, sent_at_ms } => {
                    let Some(session) = self.sessions.get(&session) else { continue };
                    let (summaries, load_reports) = (Vec::new(), Vec::new());
                    let index = 0;
                    session.send(SessionDown::Renewed {
                        sent_at_ms,
                        index,
                        summaries,
                        load_reports,
                    });
                }
            }
        }
        if !welcomed.is_empty() {
            self.welcome(&welcomed);
        }
    }

    /// Sends the whole state to new sessions, which share the messages.
    fn welcome(&mut self, ids: &[u64]) {
        let mut messages = change_messages(0, true, &self.view.all_changes());
        let placed = self.view.all_placed();
        messages.push(Outgoing::new(SessionDown::Placed { reset: true, placed }));
        messages.push(Outgoing::new(SessionDown::Group(self.local_group())));
        for id in ids {
            let Some(session) = self.sessions.get_mut(id) else { continue };
            self.counts.mark_all_changed();
            if !session.welcome(0, &messages) {
                self.sessions.remove(id);
            }
        }
    }

    fn apply_changes(&mut self, index: u64, complete: bool, changes: Vec<Change>) {
        if let Some(incoming) = &mut self.incoming {
            incoming.apply_changes(&changes);
            return;
        }
        let known = self.view.routing().cloned();
        self.view.apply_changes(&changes);
        if let ([Change::Routing(next)], false) = (&changes[..], complete) {
            self.broadcast_shared(&Outgoing::routing(index, known.as_ref(), next.clone()));
            return;
        }
        let reset = false;
        self.broadcast(SessionDown::Changes { index, reset, complete, changes });
    }

    fn place(&mut self, placed: Vec<Placed>) {
        let Some(mut incoming) = self.incoming.take() else {
            self.view.place(&placed);
            self.broadcast(SessionDown::Placed { reset: false, placed });
            return;
        };
        // Placements complete a new leader's initial state. Gateways that know the previous
        // leader's state get only the differences.
        incoming.place(&placed);
        let mut messages = change_messages(0, false, &self.view.changes_to(&incoming));
        let placed = self.view.placed_to(&incoming);
        messages.push(Outgoing::new(SessionDown::Placed { reset: false, placed }));
        self.view = incoming;
        self.sessions
            .retain(|_, session| session.epoch.is_none() || session.send_initial(&messages));
    }

    fn forward_order(&mut self, order: EngineOrder) {
        for session in self.sessions.values() {
            if session.epoch.is_none() || session.hello.name != order.holder {
                continue;
            }
            if session.send(SessionDown::Order(order.clone())) {
                return;
            }
            break;
        }
        warn!(event = "order_not_passed", endpoint = %order.endpoint, number = order.number);
        let gateway = order.holder.clone();
        self.forwarded.push(Forwarded { gateway, up: SessionUp::Ordered(order.not_sent()) });
        self.forward();
    }

    /// Passes a message of the leader on, if its gateway is connected here.
    fn forward_to(&mut self, gateway: &Arc<str>, down: SessionDown) {
        for session in self.sessions.values() {
            if session.epoch.is_some() && session.hello.name == *gateway {
                session.send(down);
                return;
            }
        }
    }

    /// Sends granted credit to the gateways that wait for it.
    fn deliver_credit(&mut self, answers: Vec<HolderGrant>) {
        let mut by_holder: BTreeMap<Arc<str>, Vec<CreditGrant>> = BTreeMap::new();
        for HolderGrant { holder, grant } in answers {
            by_holder.entry(holder).or_default().push(grant);
        }
        if by_holder.is_empty() {
            return;
        }
        for session in self.sessions.values() {
            let Some(grants) = by_holder.remove(&session.hello.name) else { continue };
            session.send(SessionDown::Credit(grants));
        }
    }
}
