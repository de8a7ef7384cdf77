//! Relays messages between the leader and the gateways of one availability zone.
//!
//! A replica that does not lead acts as a distributor: it keeps one session with the leader, the
//! *link*, and serves sessions of the gateways in its zone. Each message of the leader thus crosses
//! the zone boundary once, and messages of gateways are sent to the leader summed or batched.
//!
//! The distributor confirms nothing by itself: it answers a gateway's renewal only after a majority
//! of replicas has confirmed a renewal that the distributor sent later. By then all earlier
//! messages of the leader have been relayed. The distributor's disk is not involved.

mod link;
mod view;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use tokio::sync::mpsc;
use tracing::{info, warn};

pub use link::{DistributorHandle, HeartbeatResult, hello, spawn};

use crate::control::counts::Counts;
use crate::control::session::Session;
use crate::control::workspace_use::WorkspaceUses;
use crate::message::{
    BegunStreams, Change, CreditAsk, CreditGrant, EndpointLoad, EngineOrder, Forwarded, Group,
    Heartbeat, Load, Placed, SessionDown, SessionHello, SessionRole, SessionUp,
};
use crate::policy::counts;
use crate::policy::endpoint_speed;
use crate::policy::quota::{DistributorPools, HolderGrant};
use crate::policy::stream_origins::merge_by_origin;
use view::View;

/// How long renewals of gateways are batched; a gateway renews every 300 ms and may send orders for
/// one second after a confirmed renewal.
const RENEW_BATCH_MS: u64 = 40;
/// The maximum time between two renewals of the link, which detect a lost leader.
const RENEW_INTERVAL_MAX_MS: u64 = 150;
/// How long gateways are kept without a link: the next leader is elected and linked within one and
/// a half election timeouts. After that gateways look for a leader themselves, since this replica
/// may be disconnected from the leader.
const UNLINKED_MAX_MS: u64 = 1_000;

/// A reply that a gateway gets once the leader has confirmed a renewal of the link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AwaitedReply {
    /// The welcome of a new session.
    Welcome { session: u64 },
    /// The answer to a renewal of a gateway.
    Renewal { session: u64, sent_at_ms: u64 },
}

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
    /// Replies that wait for the next renewal of the link.
    waiting: Vec<AwaitedReply>,
    /// Replies that wait for renewals already sent, by renewal number.
    sent: BTreeMap<u64, Vec<AwaitedReply>>,
    /// The number of the last renewal sent.
    renewals: u64,
    renewed_at_ms: u64,
    counts_due_ms: u64,
    /// The loads last reported to the leader, by endpoint.
    reported_loads: BTreeMap<Arc<str>, Load>,
    counts: Counts,
    /// Messages of gateways that were not yet sent to the leader.
    forwarded: Vec<Forwarded>,
    /// Streams that began at the gateways here and that the leader was not told of yet.
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
            waiting: Vec::new(),
            sent: BTreeMap::new(),
            renewals: 0,
            renewed_at_ms: 0,
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
        down: mpsc::Sender<SessionDown>,
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
        self.waiting.push(AwaitedReply::Welcome { session: id });
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
                self.waiting.push(AwaitedReply::Renewal { session: id, sent_at_ms });
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
        self.renewed_at_ms = now_ms;
        self.credit.linked();
        self.workspace_uses.linked(now_ms);
        self.ask_for_credit(now_ms);
        // The new leader has no record of the weights in use, so gateways report them again.
        self.broadcast(|| SessionDown::Welcome { epoch: 0 });
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
            // The next leader confirms renewals that were not confirmed yet.
            for waiting in std::mem::take(&mut self.sent).into_values() {
                self.waiting.extend(waiting);
            }
        }
    }

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
                self.broadcast(|| SessionDown::Group(group.clone()));
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
        self.waiting.clear();
        self.sent.clear();
        self.forwarded.clear();
        if self.sessions.is_empty() {
            return;
        }
        warn!(event = "sessions_ended", sessions = self.sessions.len());
        for session in std::mem::take(&mut self.sessions).into_values() {
            session.send(SessionDown::NotLeader { leader });
        }
    }

    fn renew(&mut self, now_ms: u64) {
        let interval_ms =
            if self.waiting.is_empty() { RENEW_INTERVAL_MAX_MS } else { RENEW_BATCH_MS };
        if self.link.is_none() || now_ms < self.renewed_at_ms + interval_ms {
            return;
        }
        self.renewed_at_ms = now_ms;
        self.renewals += 1;
        let waiting = std::mem::take(&mut self.waiting);
        let mut gateways = Vec::new();
        for wait in &waiting {
            let AwaitedReply::Renewal { session, .. } = wait else { continue };
            let Some(session) = self.sessions.get(session) else { continue };
            gateways.push(session.hello.name.clone());
        }
        self.sent.insert(self.renewals, waiting);
        self.send_up(SessionUp::RenewFor { number: self.renewals, gateways });
    }

    fn confirm_renewal(&mut self, number: u64) {
        let Some(waiting) = self.sent.remove(&number) else { return };
        for wait in waiting {
            match wait {
                AwaitedReply::Welcome { session } => self.welcome(session),
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
    }

    fn welcome(&mut self, id: u64) {
        let changes = self.view.all_changes();
        let placed = self.view.all_placed();
        let group = self.local_group();
        let Some(session) = self.sessions.get_mut(&id) else { return };
        session.epoch = Some(0);
        self.counts.mark_all_changed();
        let keeps_up = session.send(SessionDown::Welcome { epoch: 0 })
            && session.send_changes(0, true, &changes)
            && session.send(SessionDown::Placed { reset: true, placed })
            && session.send(SessionDown::Group(group));
        if !keeps_up {
            self.sessions.remove(&id);
        }
    }

    fn apply_changes(&mut self, index: u64, complete: bool, changes: Vec<Change>) {
        if let Some(incoming) = &mut self.incoming {
            incoming.apply_changes(&changes);
            return;
        }
        self.view.apply_changes(&changes);
        let reset = false;
        self.broadcast(|| SessionDown::Changes {
            index,
            reset,
            complete,
            changes: changes.clone(),
        });
    }

    fn place(&mut self, placed: Vec<Placed>) {
        let Some(mut incoming) = self.incoming.take() else {
            self.view.place(&placed);
            self.broadcast(|| SessionDown::Placed { reset: false, placed: placed.clone() });
            return;
        };
        // Placements complete a new leader's initial state. Gateways that know the previous
        // leader's state get only the differences.
        incoming.place(&placed);
        let changes = self.view.changes_to(&incoming);
        let placed = self.view.placed_to(&incoming);
        self.view = incoming;
        self.sessions.retain(|_, session| {
            session.epoch.is_none()
                || session.send_changes(0, false, &changes)
                    && session.send(SessionDown::Placed { reset: false, placed: placed.clone() })
        });
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

    /// Answers a gateway's asks for credit where the leader need not be asked first.
    fn answer_credit_asks(
        &mut self,
        now_ms: u64,
        id: u64,
        gateway: &Arc<str>,
        asks: Vec<CreditAsk>,
    ) {
        let mut grants = Vec::new();
        for ask in asks {
            grants.extend(self.credit.ask(now_ms, gateway, ask));
        }
        if let Some(session) = self.sessions.get(&id)
            && !grants.is_empty()
        {
            session.send(SessionDown::Credit(grants));
        }
        self.ask_for_credit(now_ms);
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

    fn ask_for_credit(&mut self, now_ms: u64) {
        let asks = self.credit.take_asks(now_ms);
        if !asks.is_empty() {
            self.send_up(SessionUp::CreditAsks(asks));
        }
    }

    fn broadcast_loads(&mut self, now_ms: u64) {
        let own = self.counts.totals(now_ms, self.sessions.values(), self.view.remote_endpoints());
        let mut totals = own.clone();
        for (endpoint, total) in &mut totals {
            *total = total.saturating_add(self.view.remote_load(endpoint));
            self.view.note_total(endpoint, total);
        }
        for session in self.sessions.values_mut() {
            if session.epoch.is_some() {
                session.send_loads(&totals, self.view.work());
            }
        }
        self.report_own_loads(own);
    }

    /// Reports the summed loads of the gateways here to the leader, where they changed.
    fn report_own_loads(&mut self, own: BTreeMap<Arc<str>, Load>) {
        let mut loads = Vec::new();
        for (endpoint, load) in own {
            let reported = self.reported_loads.get(&endpoint).copied().unwrap_or_default();
            // New samples alone are reported only where they show a different speed.
            let service = self.view.work().of_service_with(&endpoint);
            if load.without_work() == reported.without_work()
                && !endpoint_speed::is_worth_reporting(&reported, &load, service)
            {
                continue;
            }
            self.reported_loads.insert(endpoint.clone(), load);
            loads.push(EndpointLoad { endpoint, load });
        }
        if !loads.is_empty() {
            let (used, failing) = (Vec::new(), Vec::new());
            self.send_up(SessionUp::Traffic { loads, used, failing });
        }
    }

    fn forward(&mut self) {
        // Without a link, messages are kept for the next leader; gateways are redirected before
        // many accumulate.
        if self.link.is_some() && !self.forwarded.is_empty() {
            let forwarded = std::mem::take(&mut self.forwarded);
            self.send_up(SessionUp::Forwarded(forwarded));
        }
    }

    fn forward_heartbeats(&mut self) {
        if self.link.is_some() && !self.heartbeats.is_empty() {
            let heartbeats = std::mem::take(&mut self.heartbeats).into_values().collect();
            self.send_up(SessionUp::Heartbeats(heartbeats));
        }
    }

    /// Sends a message to the leader. Messages are dropped while the queue is full; a leader that
    /// stops answering loses the link.
    fn send_up(&mut self, up: SessionUp) {
        let Some(link) = &self.link else { return };
        if let Err(error) = link.try_send(up) {
            warn!(event = "link_full", error = %error);
        }
    }

    /// The group with the reporting period for the gateways here.
    fn local_group(&self) -> Group {
        let period_ms = counts::period_ms(self.sessions.len());
        Group { counts_every_ms: period_ms as u32, ..self.view.group.clone() }
    }

    fn broadcast(&mut self, message: impl Fn() -> SessionDown) {
        self.sessions.retain(|_, session| {
            let keeps_up = session.epoch.is_none() || session.send(message());
            if !keeps_up {
                warn!(event = "session_dropped", gateway = %session.hello.name);
            }
            keeps_up
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
            "waiting": self.waiting.len(),
        })
    }
}
