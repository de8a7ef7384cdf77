//! What gateways, distributors and the leader of control say on sessions.

use std::cell::Cell;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::de::Error as _;
use serde::{Deserialize, Deserializer, Serialize};

use super::control::Change;
use crate::message::{
    AdapterNeed, CreditAsk, CreditGrant, EndpointCrash, EndpointLoad, EngineOrder, Heartbeat,
    OrderResult, Placed, RequestKey, Summary, WeightsUse,
};

/// How many requests the platform saw running at an endpoint, some time ago.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The endpoint.
    pub endpoint: Arc<str>,
    /// The requests, those of this system among them.
    pub running: u32,
}

/// What a gateway sends on its session with the leader.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum SessionUp {
    /// The first message.
    Hello(SessionHello),
    /// Renews the lease and asks which changes have been accepted.
    Renew {
        /// The gateway's own clock when it sent this; the lease counts from here.
        sent_at_ms: u64,
        /// Endpoints whose summary changed.
        summaries: Vec<Summary>,
    },
    /// Takes the gateway out of the set that may own endpoints.
    Leave,
    /// Gives an endpoint up to its successor.
    Release {
        /// The endpoint.
        endpoint: Arc<str>,
        /// The epoch under which it was owned.
        epoch: u64,
    },
    /// Adapters that no endpoint known to the gateway holds, or too few.
    Needs(Vec<AdapterNeed>),
    /// What became of an order.
    Ordered(OrderResult),
    /// What went through the gateway since its last report.
    Traffic {
        /// What is under way, for each endpoint where it changed.
        loads: Vec<EndpointLoad>,
        /// Weights that were used.
        used: Vec<WeightsUse>,
        /// Endpoints that could not be reached again and again.
        failing: Vec<Arc<str>>,
    },
    /// A distributor's renewal on behalf of gateways.
    RenewFor {
        /// The distributor's own number for it, given back in the answer.
        number: u64,
        /// Gateways whose renewals came before this was sent.
        gateways: Vec<Arc<str>>,
    },
    /// What gateways told their distributor.
    Forwarded(Vec<Forwarded>),
    /// Heartbeats that a distributor took in.
    Heartbeats(Vec<Heartbeat>),
    /// Endpoints that ended under requests; told again to each leader.
    Crashes(Vec<EndpointCrash>),
    /// A request that is watched, or held, was served after all.
    Served(RequestKey),
    /// Asks whether a request that was held may be sent once.
    AskForTrial(RequestKey),
    /// Asks for credit of workspaces; answered by as many grants, in one message or more.
    CreditAsks(Vec<CreditAsk>),
    /// Returns a trial that had no outcome.
    TrialReturned(RequestKey),
    /// A request that is watched was served some time before that.
    ServedBefore {
        /// The request.
        key: RequestKey,
        /// How long ago.
        ago_ms: u32,
    },
}

impl SessionUp {
    /// Its kind, as the figures name it.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Hello(_) => "session_hello",
            Self::Renew { .. } => "session_renew",
            Self::Leave => "session_leave",
            Self::Release { .. } => "session_release",
            Self::Needs(_) => "session_needs",
            Self::Ordered(_) => "session_ordered",
            Self::Traffic { .. } => "session_traffic",
            Self::RenewFor { .. } => "session_renew_for",
            Self::Forwarded { .. } => "session_forwarded",
            Self::Heartbeats(_) => "session_heartbeats",
            Self::Crashes(_) => "session_crashes",
            Self::Served(_) => "session_served",
            Self::AskForTrial(_) => "session_ask_for_trial",
            Self::CreditAsks(_) => "session_credit_asks",
            Self::TrialReturned(_) => "session_trial_returned",
            Self::ServedBefore { .. } => "session_served_before",
        }
    }
}

/// Who a gateway is and up to where it has followed the changes.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct SessionHello {
    /// The gateway's name.
    pub name: Arc<str>,
    /// A number drawn at each start.
    pub boot_id: u64,
    /// The availability zone.
    pub zone: Arc<str>,
    /// Where other gateways reach it.
    pub address: SocketAddr,
    /// The index of the last change that it holds; 0 for none.
    pub applied_index: u64,
    /// What the session is for.
    pub role: SessionRole,
    /// True when the replica that serves its zone fails it, so that any other one will do.
    pub zone_server_failed: bool,
}

/// What a session with control is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum SessionRole {
    /// A gateway that may own endpoints; it is entered in the log.
    Owner,
    /// A gateway that only follows.
    Follower,
    /// A replica that passes everything on to the gateways of its availability zone.
    Distributor,
}

/// What a gateway told its distributor.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Forwarded {
    /// The gateway.
    pub gateway: Arc<str>,
    /// What it told.
    #[serde(deserialize_with = "read_told")]
    pub up: SessionUp,
}

thread_local! {
    /// True while something forwarded is read.
    static IN_FORWARDED: Cell<bool> = const { Cell::new(false) };
}

/// Reads what a gateway told, in which nothing is forwarded again: the depth of a message would
/// otherwise be the sender's to choose, and with it the reader's stack.
fn read_told<'de, D: Deserializer<'de>>(deserializer: D) -> Result<SessionUp, D::Error> {
    if IN_FORWARDED.replace(true) {
        return Err(D::Error::custom("gateways forward nothing"));
    }
    let told = SessionUp::deserialize(deserializer);
    IN_FORWARDED.set(false);
    told
}

/// The replicas of control and the gateways that follow it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Group {
    /// Where the replicas serve gateways.
    pub replicas: Vec<SocketAddr>,
    /// Gateways that follow, in all availability zones.
    pub gateways: u32,
    /// How often counts of what is under way are told on this session, in both directions.
    pub counts_every_ms: u32,
    /// The leader and the distributors.
    pub servers: Vec<SessionServer>,
}

/// The share of all gateways by which their number must change to be told anew: it only shares out
/// budgets, and gateways come and go all the time.
const GATEWAYS_STEP: u32 = 16;

impl Group {
    /// True when those who were `told` another group should know.
    pub fn has_significant_change_from(&self, told: &Self) -> bool {
        let same_but_gateways = Self { gateways: told.gateways, ..self.clone() };
        let step = (told.gateways / GATEWAYS_STEP).max(1);
        same_but_gateways != *told || self.gateways.abs_diff(told.gateways) >= step
    }

    /// Where gateways and endpoints of `zone` are served best, if anywhere near.
    pub fn server_of(&self, zone: &str) -> Option<SocketAddr> {
        let server = self.servers.iter().find(|server| &*server.zone == zone)?;
        Some(server.address)
    }
}

/// Where gateways of an availability zone are served best.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SessionServer {
    /// The availability zone.
    pub zone: Arc<str>,
    /// Where the replica serves gateways.
    pub address: SocketAddr,
}

/// What the leader sends on a session.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum SessionDown {
    /// The gateway is registered under this epoch.
    Welcome {
        /// The epoch of this incarnation of the gateway.
        epoch: u64,
    },
    /// Accepted changes, in order.
    Changes {
        /// The index up to which the gateway is now complete.
        index: u64,
        /// True when everything known before is to be dropped first.
        reset: bool,
        /// False when more of the same set follows.
        complete: bool,
        /// The changes.
        changes: Vec<Change>,
    },
    /// Confirms a renewal after a majority round that began later than it was sent.
    Renewed {
        /// The value of the renewal.
        sent_at_ms: u64,
        /// Every change accepted before the renewal has this index or a lower one.
        index: u64,
        /// Summaries of other gateways' endpoints that changed.
        summaries: Vec<Summary>,
        /// Reports on the gateway's own endpoints that changed.
        load_reports: Vec<LoadReport>,
    },
    /// This replica does not lead, or no longer.
    NotLeader {
        /// Where the leader may be.
        leader: Option<SocketAddr>,
    },
    /// The gateway's lease has run out; it has to start a new session under a new epoch.
    Expired,
    /// What endpoints hold, where it changed.
    Placed {
        /// True when all that is known follows and everything else is to be dropped.
        reset: bool,
        /// The changes.
        placed: Vec<Placed>,
    },
    /// Requests under way at all gateways, for each endpoint where their number changed.
    Loads(Vec<EndpointLoad>),
    /// An order that the gateway has to give to an engine.
    Order(EngineOrder),
    /// The replicas of control and the gateways that follow it.
    Group(Group),
    /// The answer to a distributor's renewal, after a majority round that began later than it was
    /// sent; every change accepted before it has been told on this session.
    RenewedFor {
        /// The number of the renewal.
        number: u64,
    },
    /// Credit of workspaces, as it was asked for.
    Credit(Vec<CreditGrant>),
}

impl SessionDown {
    /// Its kind, as the figures name it.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Welcome { .. } => "session_welcome",
            Self::Changes { .. } => "session_changes",
            Self::Renewed { .. } => "session_renewed",
            Self::NotLeader { .. } => "session_not_leader",
            Self::Expired => "session_expired",
            Self::Placed { .. } => "session_placed",
            Self::Loads(_) => "session_loads",
            Self::Order(_) => "session_order",
            Self::Group(_) => "session_group",
            Self::RenewedFor { .. } => "session_renewed_for",
            Self::Credit(_) => "session_credit",
        }
    }
}
