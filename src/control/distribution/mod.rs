//! Relays messages between the leader and the gateways of one availability zone.
//!
//! A replica that does not lead acts as a distributor: it keeps one session with the leader, the
//! *link*, and serves sessions of the gateways in its zone. Each message of the leader thus crosses
//! the zone boundary once, and messages of gateways are sent to the leader summed or batched.
//!
//! The distributor confirms nothing by itself: it answers a gateway's renewal only after a majority
//! of replicas has confirmed a renewal that the distributor sent later. By then all earlier
//! messages of the leader have been relayed. The distributor's disk is not involved.

mod from_leader;
mod link;
mod renewals;
mod to_leader;
mod view;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use tokio::sync::mpsc;
use tracing::{info, warn};

pub use link::{DistributorHandle, HeartbeatResult, hello, spawn};

use crate::control::counts::Counts;
use crate::control::outbox::{OutboxSender, Outgoing};
use crate::control::session::Session;
use crate::control::workspace_use::WorkspaceUses;
use crate::message::{
    BegunStreams, Forwarded, Group, Heartbeat, Load, SessionDown, SessionHello, SessionRole,
    SessionUp,
};
use crate::policy::counts;
use crate::policy::quota::DistributorPools;
use crate::policy::stream_origins::merge_by_origin;
use renewals::{AwaitedReply, LinkRenewals};
use view::View;

/// How long gateways are kept without a link: the next leader is elected and linked within one and
/// a half election timeouts. After that gateways look for a leader themselves, since this replica
/// may be disconnected from the leader.
const UNLINKED_MAX_MS: u64 = 1_000;

/// The gateway sessions of one availability zone and the link to the leader.
///
/// Does no I/O except through channels that never block.
#[derive(Debug)]
pub struct Distributor {
    zone: Arc<str>,
    view: View,
    /// The state sent by a new leader so far, until it is complete.
    incoming: Option<View>,
    sessions: BTreeMap<u64, Session>,
    link: Option<mpsc::Sender<SessionUp>>,
    unlinked_at_ms: Option<u64>,
    renewals: LinkRenewals,
    counts_due_ms: u64,
    /// The loads last reported to the leader, by endpoint.
    reported_loads: BTreeMap<Arc<str>, Load>,
    counts: Counts,
    /// Messages of gateways that were not yet sent to the leader.
    forwarded: Vec<Forwarded>,
    /// Streams that began at the gateways here and that were not reported to the leader yet.
    begun: Vec<BegunStreams>,
    /// The latest heartbeat of each endpoint that was not yet sent to the leader.
    heartbeats: BTreeMap<Arc<str>, Heartbeat>,
    /// Quota credit of workspaces for the gateways of the zone.
    credit: DistributorPools,
    workspace_uses: WorkspaceUses,
}

impl Distributor {
    /// Creates a distributor for `zone`, without sessions or a link.
    pub fn new(zone: Arc<str>) -> Self {
        Self {
            zone,
            view: View::default(),
            incoming: None,
            sessions: BTreeMap::new(),
            link: None,
            unlinked_at_ms: None,
            renewals: LinkRenewals::new(),
            counts_due_ms: 0,
            reported_loads: BTreeMap::new(),
            counts: Counts::new(),
            forwarded: Vec::new(),
            begun: Vec::new(),
            heartbeats: BTreeMap::new(),
            credit: DistributorPools::new(),
            workspace_uses: WorkspaceUses::new(),
        }
    }

    /// Opens a gateway's session, or redirects the gateway to a nearer server or the `leader` if
    /// known.
    pub fn open(
        &mut self,
        now_ms: u64,
        id: u64,
        hello: SessionHello,
        down: OutboxSender,
        leader: Option<SocketAddr>,
    ) {
        let session = Session::new(now_ms, hello, down);
        let is_near = session.hello.zone == self.zone;
        let serves = self.link.is_some() || self.unlinked_at_ms.is_some();
        if !is_near || !serves || session.hello.role != SessionRole::Follower {
            let nearer =
                if is_near { None } else { self.view.group.server_of(&session.hello.zone) };
            session.send(SessionDown::NotLeader { leader: nearer.or(leader) });
            return;
        }
        info!(event = "session_opened", gateway = %session.hello.name, session = id);
        self.sessions.insert(id, session);
        self.renewals.await_next(AwaitedReply::Welcome { session: id });
    }

    /// Removes a session whose stream has ended.
    pub fn close(&mut self, id: u64) {
        if let Some(session) = self.sessions.remove(&id) {
            info!(event = "session_closed", gateway = %session.hello.name);
            self.counts.mark_session_ended(&session);
            self.credit.closed(&session.hello.name);
        }
    }

    /// Handles a message of a gateway.
    pub fn handle_session_message(&mut self, now_ms: u64, id: u64, up: SessionUp) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        let gateway = session.hello.name.clone();
        match up {
            SessionUp::Renew { sent_at_ms, .. } => {
                self.renewals.await_next(AwaitedReply::Renewal { session: id, sent_at_ms });
            }
            SessionUp::Traffic { loads, used, failing } => {
                self.counts.update(session, loads);
                if !used.is_empty() || !failing.is_empty() {
                    let up = SessionUp::Traffic { loads: Vec::new(), used, failing };
                    self.forwarded.push(Forwarded { gateway, up });
                }
            }
            SessionUp::Needs(_)
            | SessionUp::Ordered(_)
            | SessionUp::Crashes(_)
            | SessionUp::Served(_)
            | SessionUp::AskForTrial(_)
            | SessionUp::TrialReturned(_)
            | SessionUp::ServedBefore { .. }
            | SessionUp::OfferDetours { .. }
            | SessionUp::AskOrigin(_) => {
                self.forwarded.push(Forwarded { gateway, up });
                self.forward();
            }
            SessionUp::StreamsBegun(begun) => self.begun.extend(begun),
            SessionUp::CreditAsks(asks) => self.answer_credit_asks(now_ms, id, &gateway, asks),
            SessionUp::WorkspaceUse(uses) => self.workspace_uses.update(id, uses),
            SessionUp::Hello(_)
            | SessionUp::Leave
            | SessionUp::Release { .. }
            | SessionUp::RenewFor { .. }
            | SessionUp::Forwarded(_)
            | SessionUp::Heartbeats(_) => {
                let message = up.kind();
                warn!(event = "message_ignored", gateway = %gateway, message);
            }
        }
    }

    /// Accepts an endpoint's heartbeat; false when its registration differs from the known one,
    /// which only the leader handles.
    pub fn heartbeat(&mut self, heartbeat: Heartbeat) -> bool {
        if self.link.is_none() || !self.view.has_registration(&heartbeat.endpoint) {
            return false;
        }
        self.heartbeats.insert(heartbeat.endpoint.id.clone(), heartbeat);
        true
    }

    /// The replica that should receive heartbeats of endpoints in `zone`.
    pub fn server_of(&self, zone: &str) -> Option<SocketAddr> {
        self.view.group.server_of(zone)
    }

    /// Handles a link `up` that was welcomed by a leader, whose full state follows.
    pub fn linked(&mut self, now_ms: u64, up: mpsc::Sender<SessionUp>) {
        info!(event = "link_opened", sessions = self.sessions.len());
        self.link = Some(up);
        self.unlinked_at_ms = None;
        self.incoming = Some(View::with_group(self.view.group.clone()));
        self.reported_loads.clear();
        self.counts.mark_all_changed();
        self.renewals.linked(now_ms);
        self.credit.linked();
        self.workspace_uses.linked(now_ms);
        self.ask_for_credit(now_ms);
        // The new leader has no record of the weights in use, so gateways report them again.
        self.broadcast(SessionDown::Welcome { epoch: 0 });
    }

    /// Handles the end of the link.
    pub fn unlinked(&mut self, now_ms: u64) {
        if self.link.take().is_some() {
            warn!(event = "link_lost", sessions = self.sessions.len());
            self.unlinked_at_ms = Some(now_ms);
            self.credit.unlinked();
            self.workspace_uses.unlinked(now_ms);
            // Endpoints send heartbeats again; these may be stale by the time of the next link.
            self.heartbeats.clear();
            // Gateways tell the next leader of all their streams.
            self.begun.clear();
            self.renewals.unlinked();
        }
    }

    /// Runs the periodic work that is due.
    pub fn tick(&mut self, now_ms: u64) {
        if self.unlinked_at_ms.is_some_and(|at_ms| at_ms + UNLINKED_MAX_MS <= now_ms) {
            self.unlinked_at_ms = None;
            self.end_sessions(None);
        }
        self.renew(now_ms);
        if self.link.is_some() && !self.begun.is_empty() {
            let begun = merge_by_origin(std::mem::take(&mut self.begun));
            self.send_up(SessionUp::StreamsBegun(begun));
        }
        let uses = self.workspace_uses.advance(now_ms, &self.sessions);
        if !uses.is_empty() {
            self.send_up(SessionUp::WorkspaceUse(uses));
        }
        if now_ms < self.counts_due_ms {
            return;
        }
        self.counts_due_ms = now_ms + counts::period_ms(self.sessions.len());
        self.broadcast_loads(now_ms);
        self.forward();
        self.forward_heartbeats();
        self.ask_for_credit(now_ms);
    }

    /// Closes all sessions and redirects their gateways to `leader`, if known.
    pub fn end_sessions(&mut self, leader: Option<SocketAddr>) {
        self.renewals.clear();
        self.forwarded.clear();
        if self.sessions.is_empty() {
            return;
        }
        warn!(event = "sessions_ended", sessions = self.sessions.len());
        for session in std::mem::take(&mut self.sessions).into_values() {
            session.send(SessionDown::NotLeader { leader });
        }
    }

    /// The group with the reporting period for the gateways here.
    fn local_group(&self) -> Group {
        let period_ms = counts::period_ms(self.sessions.len());
        Group { counts_every_ms: period_ms as u32, ..self.view.group.clone() }
    }

    fn broadcast(&mut self, message: SessionDown) {
        self.broadcast_shared(&Outgoing::new(message));
    }

    fn broadcast_shared(&mut self, message: &Arc<Outgoing>) {
        self.sessions.retain(|_, session| {
            let sent = session.follow(std::slice::from_ref(message));
            if let Err(reason) = &sent {
                warn!(event = "session_dropped", gateway = %session.hello.name, ?reason);
            }
            sent.is_ok()
        });
    }

    /// Returns the state dump.
    pub fn dump(&self) -> serde_json::Value {
        let mut gateways = Vec::new();
        for session in self.sessions.values() {
            gateways.push(session.hello.name.clone());
        }
        serde_json::json!({
            "zone": self.zone,
            "linked": self.link.is_some(),
            "gateways": gateways,
            "waiting": self.renewals.waiting(),
        })
    }
}
