//! Passing on what the leader says to the gateways of one availability zone.
//!
//! A replica that does not lead keeps one session with the leader, the *link*, and serves sessions of
//! the gateways in its zone. What the leader tells crosses the zone's border once, and what the
//! gateways tell goes up summed or gathered. The distributor confirms nothing by itself: a gateway's
//! renewal is answered only when a renewal that the distributor sent later was confirmed by a
//! majority, and what the leader told before that has then been passed on. Its disk is not involved.

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
use crate::message::{
    Change, CreditAsk, CreditGrant, EndpointLoad, EngineOrder, Forwarded, Group, Heartbeat, Load,
    Placed, SessionDown, SessionHello, SessionRole, SessionUp,
};
use crate::policy::counts;
use crate::policy::quota::{DistributorPools, HolderGrant};
use view::View;

/// Renewals of gateways are gathered this long; a gateway renews every 300 ms and may order for a
/// second after a confirmed renewal.
const RENEW_GATHER_MS: u64 = 40;
/// The leader is asked at least this often whether it is still there.
const RENEW_MS: u64 = 150;
/// Gateways are kept this long without a link: a leader that stops is followed by the next one within
/// an election time and a half. Then they look for a leader themselves, who may be cut off from here.
const UNLINKED_MAX_MS: u64 = 1_000;

/// What a gateway waits for until the leader has confirmed a renewal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Waiting {
    /// To be told everything.
    Welcome { session: u64 },
    /// For its own renewal.
    Renewal { session: u64, sent_at_ms: u64 },
}

/// The gateways of one availability zone and the link to the leader.
///
/// It has no input or output but channels that never block.
#[derive(Debug)]
pub struct Distributor {
    zone: Arc<str>,
    view: View,
    /// What a new leader has told so far, until it is everything.
    incoming: Option<View>,
    sessions: BTreeMap<u64, Session>,
    link: Option<mpsc::Sender<SessionUp>>,
    unlinked_at_ms: Option<u64>,
    /// What waits for the next renewal of the link.
    waiting: Vec<Waiting>,
    /// What waits for renewals that were sent, by their number.
    sent: BTreeMap<u64, Vec<Waiting>>,
    /// Renewals sent so far: the number of the last one.
    renewals: u64,
    renewed_at_ms: u64,
    counts_due_ms: u64,
    /// What the leader was told last of the requests under way here, by endpoint.
    loads_told: BTreeMap<Arc<str>, Load>,
    counts: Counts,
    /// What gateways told and the leader was not yet.
    forwarded: Vec<Forwarded>,
    /// Heartbeats that the leader was not told of yet, the latest of each endpoint.
    heartbeats: BTreeMap<Arc<str>, Heartbeat>,
    /// Credit of workspaces, for the gateways here.
    credit: DistributorPools,
}

impl Distributor {
    /// Serves nobody yet, in `zone`.
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
            loads_told: BTreeMap::new(),
            counts: Counts::new(),
            forwarded: Vec::new(),
            heartbeats: BTreeMap::new(),
            credit: DistributorPools::new(),
        }
    }

    /// Opens a gateway's session, or tells it where else to go: `leader` as far as that is known.
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
        self.waiting.push(Waiting::Welcome { session: id });
    }

    /// Forgets a session whose stream has ended.
    pub fn close(&mut self, id: u64) {
        if let Some(session) = self.sessions.remove(&id) {
            info!(event = "session_closed", gateway = %session.hello.name);
            self.counts.mark_session_ended(&session);
            self.credit.closed(&session.hello.name);
        }
    }

    /// Takes a gateway's message in.
    pub fn up(&mut self, now_ms: u64, id: u64, up: SessionUp) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        let gateway = session.hello.name.clone();
        match up {
            SessionUp::Renew { sent_at_ms, .. } => {
                self.waiting.push(Waiting::Renewal { session: id, sent_at_ms });
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
            | SessionUp::ServedBefore { .. } => {
                self.forwarded.push(Forwarded { gateway, up });
                self.forward();
            }
            SessionUp::CreditAsks(asks) => self.pass_credit(now_ms, id, &gateway, asks),
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

    /// Takes an endpoint's heartbeat in; false when it tells news, which only the leader takes.
    pub fn heartbeat(&mut self, heartbeat: Heartbeat) -> bool {
        if self.link.is_none() || !self.view.knows(&heartbeat.endpoint) {
            return false;
        }
        self.heartbeats.insert(heartbeat.endpoint.id.clone(), heartbeat);
        true
    }

    /// The replica that takes heartbeats of endpoints in `zone` best.
    pub fn server_of(&self, zone: &str) -> Option<SocketAddr> {
        self.view.group.server_of(zone)
    }

    /// A leader has welcomed the link `up`; everything that it knows follows.
    pub fn linked(&mut self, now_ms: u64, up: mpsc::Sender<SessionUp>) {
        info!(event = "link_opened", sessions = self.sessions.len());
        self.link = Some(up);
        self.unlinked_at_ms = None;
        self.incoming = Some(View::with_group(self.view.group.clone()));
        self.loads_told.clear();
        self.counts.mark_all_changed();
        self.renewed_at_ms = now_ms;
        self.credit.linked();
        self.ask_for_credit(now_ms);
        // Another leader knows nothing of what these use.
        self.tell(|| SessionDown::Welcome { epoch: 0 });
    }

    /// The link has ended.
    pub fn unlinked(&mut self, now_ms: u64) {
        if self.link.take().is_some() {
            warn!(event = "link_lost", sessions = self.sessions.len());
            self.unlinked_at_ms = Some(now_ms);
            self.credit.unlinked();
            // Endpoints tell again; by the time of the next link these may be wrong.
            self.heartbeats.clear();
            // Whoever leads next confirms what was not confirmed.
            for waiting in std::mem::take(&mut self.sent).into_values() {
                self.waiting.extend(waiting);
            }
        }
    }

    /// Takes a message of the leader in.
    pub fn down(&mut self, now_ms: u64, down: SessionDown) {
        match down {
            SessionDown::Changes { index, complete, changes, .. } => {
                self.change(index, complete, changes);
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
                let group = self.group_here();
                self.tell(|| SessionDown::Group(group.clone()));
            }
            SessionDown::RenewedFor { number } => self.renewed(number),
            SessionDown::Order(order) => self.pass_order(order),
            SessionDown::Credit(grants) => {
                let answers = self.credit.granted(now_ms, grants);
                self.tell_credit(answers);
                self.ask_for_credit(now_ms);
            }
            SessionDown::Welcome { .. }
            | SessionDown::Renewed { .. }
            | SessionDown::NotLeader { .. }
            | SessionDown::Expired => {
                let message = down.kind();
                warn!(event = "message_ignored", peer = "leader", message, now_ms);
            }
        }
    }

    /// Lets time pass.
    pub fn tick(&mut self, now_ms: u64) {
        if self.unlinked_at_ms.is_some_and(|at_ms| at_ms + UNLINKED_MAX_MS <= now_ms) {
            self.unlinked_at_ms = None;
            self.end_sessions(None);
        }
        self.renew(now_ms);
        if now_ms < self.counts_due_ms {
            return;
        }
        self.counts_due_ms = now_ms + counts::period_ms(self.sessions.len());
        self.tell_loads(now_ms);
        self.forward();
        self.forward_heartbeats();
        self.ask_for_credit(now_ms);
    }

    /// Sends all gateways elsewhere: to `leader`, or to look for one.
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
        let gather_ms = if self.waiting.is_empty() { RENEW_MS } else { RENEW_GATHER_MS };
        if self.link.is_none() || now_ms < self.renewed_at_ms + gather_ms {
            return;
        }
        self.renewed_at_ms = now_ms;
        self.renewals += 1;
        let waiting = std::mem::take(&mut self.waiting);
        let mut gateways = Vec::new();
        for wait in &waiting {
            let Waiting::Renewal { session, .. } = wait else { continue };
            let Some(session) = self.sessions.get(session) else { continue };
            gateways.push(session.hello.name.clone());
        }
        self.sent.insert(self.renewals, waiting);
        self.send_up(SessionUp::RenewFor { number: self.renewals, gateways });
    }

    fn renewed(&mut self, number: u64) {
        let Some(waiting) = self.sent.remove(&number) else { return };
        for wait in waiting {
            match wait {
                Waiting::Welcome { session } => self.welcome(session),
                Waiting::Renewal { session, sent_at_ms } => {
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
        let group = self.group_here();
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

    fn change(&mut self, index: u64, complete: bool, changes: Vec<Change>) {
        if let Some(incoming) = &mut self.incoming {
            incoming.change(&changes);
            return;
        }
        self.view.change(&changes);
        let reset = false;
        self.tell(|| SessionDown::Changes { index, reset, complete, changes: changes.clone() });
    }

    fn place(&mut self, placed: Vec<Placed>) {
        let Some(mut incoming) = self.incoming.take() else {
            self.view.place(&placed);
            self.tell(|| SessionDown::Placed { reset: false, placed: placed.clone() });
            return;
        };
        // Placements are the last of what a leader tells at first. Gateways that were told by an
        // earlier leader are told the differences.
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

    fn pass_order(&mut self, order: EngineOrder) {
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

    /// Answers a gateway's asks for credit, as far as the leader need not be asked first.
    fn pass_credit(&mut self, now_ms: u64, id: u64, gateway: &Arc<str>, asks: Vec<CreditAsk>) {
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

    /// Tells gateways what they waited for.
    fn tell_credit(&mut self, answers: Vec<HolderGrant>) {
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

    fn tell_loads(&mut self, now_ms: u64) {
        let own = self.counts.totals(now_ms, self.sessions.values(), self.view.counted());
        let mut totals = own.clone();
        for (endpoint, total) in &mut totals {
            *total = total.plus(self.view.others(endpoint));
        }
        for session in self.sessions.values_mut() {
            if session.epoch.is_some() {
                session.tell_loads(&totals);
            }
        }
        self.tell_own_loads(own);
    }

    /// Tells the leader what all gateways here have under way, where that changed.
    fn tell_own_loads(&mut self, own: BTreeMap<Arc<str>, Load>) {
        let mut loads = Vec::new();
        for (endpoint, load) in own {
            if self.loads_told.get(&endpoint).copied().unwrap_or_default() == load {
                continue;
            }
            self.loads_told.insert(endpoint.clone(), load);
            loads.push(EndpointLoad { endpoint, load });
        }
        if !loads.is_empty() {
            let (used, failing) = (Vec::new(), Vec::new());
            self.send_up(SessionUp::Traffic { loads, used, failing });
        }
    }

    fn forward(&mut self) {
        // Without a link it waits for the next leader; the gateways leave before it becomes much.
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

    /// Sends to the leader; a leader that does not keep up is given up when it stops answering.
    fn send_up(&mut self, up: SessionUp) {
        let Some(link) = &self.link else { return };
        if let Err(error) = link.try_send(up) {
            warn!(event = "link_full", error = %error);
        }
    }

    /// The group as gateways here are told of it.
    fn group_here(&self) -> Group {
        let period_ms = counts::period_ms(self.sessions.len());
        Group { counts_every_ms: period_ms as u32, ..self.view.group.clone() }
    }

    fn tell(&mut self, message: impl Fn() -> SessionDown) {
        self.sessions.retain(|_, session| {
            let keeps_up = session.epoch.is_none() || session.send(message());
            if !keeps_up {
                warn!(event = "session_dropped", gateway = %session.hello.name);
            }
            keeps_up
        });
    }

    /// The state dump.
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
