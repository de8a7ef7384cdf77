//! The leader's sessions: opening, messages, lease renewals and the publication of changes.

use std::sync::{Arc, Weak};

use tracing::{debug, info, warn};

use super::reads::Read;
use super::{Replica, Waiter};
use crate::control::fleet::Registration;
use crate::control::outbox::{OutboxSender, Outgoing};
use crate::control::session::{Session, change_messages, new_change_messages};
use crate::control::state::Operation;
use crate::message::{SessionDown, SessionHello, SessionRole, SessionUp};

/// Time in which renewals are collected for one quorum round, which costs a message to each replica
/// and a reply; each gateway renews some three times a second.
const RENEWAL_BATCH_MS: u64 = 40;

/// A lease renewal that waits for a quorum round.
pub(super) enum Renewal {
    /// Sent on the gateway's own session.
    Direct { session: u64, sent_at_ms: u64 },
    /// Sent by a distributor for its gateways.
    ViaDistributor { session: u64, number: u64, gateways: Vec<Arc<str>> },
}

impl Replica {
    pub(super) fn redirect_session(&mut self, session: u64) {
        if let Some(session) = self.sessions.remove(&session) {
            session.send(SessionDown::NotLeader { leader: self.leader_address() });
        }
    }

    /// Queues a renewal for the next quorum round.
    pub(super) fn queue_renewal(&mut self, renewal: Renewal) {
        self.renewals.push(renewal);
    }

    pub(super) fn start_renewal_round(&mut self, now_ms: u64) {
        if self.renewals.is_empty() || now_ms < self.renewal_round_due_ms {
            return;
        }
        self.renewal_round_due_ms = now_ms + RENEWAL_BATCH_MS;
        let renewals = std::mem::take(&mut self.renewals);
        self.read(Read::Renewals(renewals));
    }

    /// Opens a gateway's session.
    pub fn open(
        &mut self,
        now_ms: u64,
        wall_ms: u64,
        session: u64,
        hello: SessionHello,
        down: OutboxSender,
    ) {
        let opened = Session::new(now_ms, hello, down);
        if !self.leading {
            opened.send(SessionDown::NotLeader { leader: self.leader_address() });
            return;
        }
        if let Some(distributor) = self.nearer_server(&opened.hello) {
            opened.send(SessionDown::NotLeader { leader: Some(distributor) });
            return;
        }
        let SessionHello { name, boot_id, zone, address, .. } = opened.hello.clone();
        info!(event = "session_opened", gateway = %name, session = session);
        self.renewed_at_ms.insert(name.clone(), now_ms);
        let role = opened.hello.role;
        self.sessions.insert(session, opened);
        if role != SessionRole::Owner {
            self.read(Read::Welcome { session });
            return;
        }
        let operation = Operation::Register(Registration { name, boot_id, zone, address });
        self.propose(wall_ms, operation, Waiter::Register { session });
    }

    /// Handles a message of a session.
    pub fn handle_session_message(
        &mut self,
        now_ms: u64,
        wall_ms: u64,
        session: u64,
        up: SessionUp,
    ) {
        let Some(found) = self.sessions.get_mut(&session) else { return };
        if !found.record_message(now_ms) {
            warn!(event = "session_held_up", gateway = %found.hello.name);
            self.redirect_session(session);
            return;
        }
        let Some(epoch) = found.epoch else { return };
        let gateway = found.hello.name.clone();
        if found.hello.role != SessionRole::Owner {
            self.handle_follower_message(now_ms, wall_ms, session, up);
            return;
        }
        if self.state.fleet.gateway_epoch(&gateway) != Some(epoch) {
            found.send(SessionDown::Expired);
            self.sessions.remove(&session);
            return;
        }
        match up {
            SessionUp::Hello(_) => {}
            SessionUp::Renew { sent_at_ms, summaries } => {
                self.renewed_at_ms.insert(gateway, now_ms);
                for summary in summaries {
                    self.summaries.put(summary);
                }
                self.queue_renewal(Renewal::Direct { session, sent_at_ms });
            }
            SessionUp::Leave => {
                self.propose(wall_ms, Operation::Leave { gateway, epoch }, Waiter::NoReply);
            }
            SessionUp::Release { endpoint, epoch } => {
                self.propose(wall_ms, Operation::Release { endpoint, epoch }, Waiter::NoReply);
            }
            SessionUp::Needs(_)
            | SessionUp::Traffic { .. }
            | SessionUp::Ordered(_)
            | SessionUp::RenewFor { .. }
            | SessionUp::Forwarded(_)
            | SessionUp::Heartbeats(_)
            | SessionUp::Crashes(_)
            | SessionUp::Served(_)
            | SessionUp::AskForTrial(_)
            | SessionUp::TrialReturned(_)
            | SessionUp::ServedBefore { .. }
            | SessionUp::CreditAsks(_)
            | SessionUp::OfferDetours { .. }
            | SessionUp::StreamsBegun(_)
            | SessionUp::AskOrigin(_)
            | SessionUp::WorkspaceUse(_) => {
                let message = up.kind();
                debug!(event = "message_ignored", gateway = %gateway, message);
            }
        }
    }

    /// Removes a session whose stream has ended; the gateway's lease runs on.
    pub fn close(&mut self, session: u64) {
        if let Some(session) = self.sessions.remove(&session) {
            info!(event = "session_closed", gateway = %session.hello.name);
            self.registered.counts.mark_session_ended(&session);
        }
    }

    /// Registers a session under `epoch` and sends it what it misses up to `index`, or the whole state.
    pub(super) fn welcome(&mut self, id: u64, epoch: u64, index: u64) -> bool {
        let Some(session) = self.sessions.get(&id) else { return false };
        let applied_index = session.hello.applied_index;
        let missed = if applied_index > 0 { self.recent.since(applied_index) } else { None };
        let messages = match missed {
            Some(changes) => change_messages(index, false, &changes),
            None => self.whole_state_messages(index),
        };
        let Some(session) = self.sessions.get_mut(&id) else { return false };
        let keeps_up = session.welcome(epoch, &messages);
        if !keeps_up {
            self.sessions.remove(&id);
        }
        keeps_up
    }

    /// The messages with the whole state; sessions that open at once share them.
    fn whole_state_messages(&mut self, index: u64) -> Vec<Arc<Outgoing>> {
        let known: Option<Vec<_>> = self.whole_state.iter().map(Weak::upgrade).collect();
        if let Some(messages) = known.filter(|messages| !messages.is_empty()) {
            return messages;
        }
        let messages = change_messages(index, true, &self.state.all_changes());
        self.whole_state = messages.iter().map(Arc::downgrade).collect();
        messages
    }

    /// Sends all sessions the changes since the last call.
    pub(super) fn publish(&mut self) {
        if self.unpublished.is_empty() {
            return;
        }
        let known = self.published_routing.as_ref();
        let messages = new_change_messages(self.applied, self.unpublished.take(), known);
        self.published_routing = self.state.registry.routing().cloned();
        self.sessions.retain(|_, session| {
            let followed = session.follow(&messages);
            if let Err(reason) = &followed {
                warn!(event = "session_dropped", gateway = %session.hello.name, ?reason);
            }
            followed.is_ok()
        });
    }

    pub(super) fn confirm_renewal(&mut self, renewal: Renewal) {
        match renewal {
            Renewal::Direct { session, sent_at_ms } => self.confirm_direct(session, sent_at_ms),
            Renewal::ViaDistributor { session, number, gateways } => {
                self.confirm_forwarded(session, number, gateways);
            }
        }
    }

    fn confirm_direct(&mut self, id: u64, sent_at_ms: u64) {
        let index = self.applied;
        let Some(session) = self.sessions.get_mut(&id) else { return };
        session.renewed_at_ms = Some(self.registered.ticked_at_ms());
        let current = self.state.fleet.gateway_epoch(&session.hello.name);
        if session.hello.role == SessionRole::Owner && current != session.epoch {
            session.send(SessionDown::Expired);
            self.sessions.remove(&id);
            return;
        }
        let summaries = self.summaries.unseen(session, &self.state);
        let load_reports = session.changed_reports(&self.load_reports, &self.state);
        if !session.send(SessionDown::Renewed { sent_at_ms, index, summaries, load_reports }) {
            self.sessions.remove(&id);
        }
    }

    fn confirm_forwarded(&mut self, id: u64, number: u64, gateways: Vec<Arc<str>>) {
        let now_ms = self.registered.ticked_at_ms();
        let Some(session) = self.sessions.get_mut(&id) else { return };
        session.renewed_at_ms = Some(now_ms);
        session.record_renewals(now_ms, gateways);
        if !session.send(SessionDown::RenewedFor { number }) {
            self.sessions.remove(&id);
        }
    }
}
