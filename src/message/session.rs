//! Messages on the sessions of gateways and distributors with the leader of control.

use std::cell::Cell;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::de::Error as _;
use serde::{Deserialize, Deserializer, Serialize};

use super::control::Change;
use crate::message::{
    AdapterNeed, BegunStreams, CreditAsk, CreditGrant, EndpointCrash, EndpointLoad, EngineOrder,
    FeatureKey, Heartbeat, OrderResult, OriginAsk, PeerGateway, Placed, StreamKey, StreamOrigin,
    Summary, WeightsUse, WorkspaceUse,
};

/// The number of running requests at an endpoint that the platform measured some time ago.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The endpoint.
    pub endpoint: Arc<str>,
    /// The number of requests, including those of this system.
    pub running: u32,
}

/// A message from a gateway or distributor to the server of its session.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum SessionUp {
    /// The first message.
    Hello(SessionHello),
    /// Renews the lease and asks which changes have been accepted.
    Renew {
        /// The send time on the gateway's clock, from which the lease counts.
        sent_at_ms: u64,
        /// The summaries that changed.
        summaries: Vec<Summary>,
    },
    /// Removes the gateway from the set that may own endpoints.
    Leave,
    /// Hands over an endpoint to its next owner.
    Release {
        /// The endpoint.
        endpoint: Arc<str>,
        /// The epoch under which it was owned.
        epoch: u64,
    },
    /// Adapters that no endpoint known to the gateway holds, or too few of them.
    Needs(Vec<AdapterNeed>),
    /// The outcome of an order.
    Ordered(OrderResult),
    /// The traffic of the gateway since its last report.
    Traffic {
        /// The load on each endpoint where it changed.
        loads: Vec<EndpointLoad>,
        /// The weights that were used.
        used: Vec<WeightsUse>,
        /// Endpoints that were repeatedly unreachable.
        failing: Vec<Arc<str>>,
    },
    /// A distributor's renewal on behalf of gateways.
    RenewFor {
        /// Assigned by the distributor and returned in the answer.
        number: u64,
        /// Gateways whose renewals the distributor received before it sent this one.
        gateways: Vec<Arc<str>>,
    },
    /// Messages of gateways, relayed by their distributor.
    Forwarded(Vec<Forwarded>),
    /// Heartbeats that a distributor received.
    Heartbeats(Vec<Heartbeat>),
    /// Endpoints that crashed while they ran requests; reported again to each new leader.
    Crashes(Vec<EndpointCrash>),
    /// A request that is watched or held was served.
    Served(FeatureKey),
    /// Asks for permission to send a held request once, as a trial.
    AskForTrial(FeatureKey),
    /// Asks for credit of workspaces; answered by one grant per ask, in one or more messages.
    CreditAsks(Vec<CreditAsk>),
    /// Returns the permission for a trial that ended without an outcome.
    TrialReturned(FeatureKey),
    /// A watched request was served before the gateway learned that it is watched.
    ServedBefore {
        /// The request.
        key: FeatureKey,
        /// The time since the request was served.
        ago_ms: u32,
    },
    /// The use of services by workspaces where it changed, while requests wait for capacity.
    WorkspaceUse(Vec<WorkspaceUse>),
    /// Offers to send requests of other gateways to endpoints, and asks which gateways offer the
    /// same.
    OfferDetours {
        /// The address at which other gateways reach this one.
        address: SocketAddr,
        /// The services of which this gateway reaches no endpoint.
        out_of_reach: Vec<Arc<str>>,
    },
    /// Streams of which clients received the first event, or that were continued.
    StreamsBegun(Vec<BegunStreams>),
    /// Asks where a stream began; answered by [`SessionDown::Origin`].
    AskOrigin(OriginAsk),
}

impl SessionUp {
    /// The message kind, as named in statistics.
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
            Self::WorkspaceUse(_) => "session_workspace_use",
            Self::OfferDetours { .. } => "session_offer_detours",
            Self::StreamsBegun(_) => "session_streams_begun",
            Self::AskOrigin(_) => "session_ask_origin",
        }
    }
}

/// The identity of a gateway or distributor, and the last change that it has applied.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct SessionHello {
    /// Its name.
    pub name: Arc<str>,
    /// A random number generated at each start.
    pub boot_id: u64,
    /// The availability zone.
    pub zone: Arc<str>,
    /// The address at which other processes reach it.
    pub address: SocketAddr,
    /// The index of the last change that it has applied; 0 for none.
    pub applied_index: u64,
    /// The purpose of the session.
    pub role: SessionRole,
    /// True if the replica that serves the zone has failed for this gateway, which then accepts any
    /// other replica.
    pub zone_server_failed: bool,
}

/// The purpose of a session with control.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum SessionRole {
    /// A gateway that may own endpoints; its registration is replicated through the log.
    Owner,
    /// A gateway that only receives changes and reports traffic.
    Follower,
    /// A replica that relays messages to and from the gateways of its availability zone.
    Distributor,
}

/// A message of a gateway, relayed by its distributor.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Forwarded {
    /// The gateway.
    pub gateway: Arc<str>,
    /// The message.
    #[serde(deserialize_with = "read_unnested")]
    pub up: SessionUp,
}

thread_local! {
    /// True while a [`Forwarded`] message is being deserialized.
    static IN_FORWARDED: Cell<bool> = const { Cell::new(false) };
}

/// Deserializes the message of a gateway and rejects a nested [`Forwarded`] message: otherwise the
/// sender could choose the nesting depth and overflow the receiver's stack.
fn read_unnested<'de, D: Deserializer<'de>>(deserializer: D) -> Result<SessionUp, D::Error> {
    if IN_FORWARDED.replace(true) {
        return Err(D::Error::custom("gateways forward nothing"));
    }
    let message = SessionUp::deserialize(deserializer);
    IN_FORWARDED.set(false);
    message
}

/// The replicas of control and the number of gateways that are connected to it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Group {
    /// The addresses at which the replicas serve gateways.
    pub replicas: Vec<SocketAddr>,
    /// The number of connected gateways in all availability zones.
    pub gateways: u32,
    /// The period at which endpoint loads are reported on this session, in both directions.
    pub counts_every_ms: u32,
    /// The leader and the distributors.
    pub servers: Vec<SessionServer>,
    /// The gateways that lease the slots of brittle endpoints.
    pub coordinators: Vec<PeerGateway>,
}

/// A new number of gateways is sent once it differs from the one sent before by the latter divided
/// by this divisor: the number is used only to divide budgets, and gateways connect and disconnect
/// all the time.
const GATEWAY_CHANGE_DIVISOR: u32 = 16;

impl Group {
    /// True if this group should be sent to gateways that last received `sent`.
    pub fn has_significant_change_from(&self, sent: &Self) -> bool {
        let same_but_gateways = Self { gateways: sent.gateways, ..self.clone() };
        let step = (sent.gateways / GATEWAY_CHANGE_DIVISOR).max(1);
        same_but_gateways != *sent || self.gateways.abs_diff(sent.gateways) >= step
    }

    /// The address of the replica that serves the gateways and endpoints of `zone`, if any.
    pub fn server_of(&self, zone: &str) -> Option<SocketAddr> {
        let server = self.servers.iter().find(|server| &*server.zone == zone)?;
        Some(server.address)
    }
}

/// The replica that serves the gateways of an availability zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SessionServer {
    /// The availability zone.
    pub zone: Arc<str>,
    /// The address at which the replica serves gateways.
    pub address: SocketAddr,
}

/// A message from the leader or a distributor on a session.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum SessionDown {
    /// The gateway is registered under this epoch.
    Welcome {
        /// The epoch of this incarnation of the gateway.
        epoch: u64,
    },
    /// Accepted changes, in order.
    Changes {
        /// The index up to which the gateway has received all changes.
        index: u64,
        /// True if the receiver has to discard its state before it applies the changes.
        reset: bool,
        /// False if more messages with changes of the same set follow.
        complete: bool,
        /// The changes.
        changes: Vec<Change>,
    },
    /// Confirms a renewal after a majority of replicas has confirmed the leader in a round that
    /// began after the renewal was sent.
    Renewed {
        /// The `sent_at_ms` of the renewal.
        sent_at_ms: u64,
        /// Every change accepted before the renewal has this index or a lower one.
        index: u64,
        /// Changed summaries of endpoints that other gateways own.
        summaries: Vec<Summary>,
        /// Changed reports on the endpoints that this gateway owns.
        load_reports: Vec<LoadReport>,
    },
    /// This replica is not the leader, or no longer.
    NotLeader {
        /// The address of the leader, if this replica knows it; it may be outdated.
        leader: Option<SocketAddr>,
    },
    /// The gateway's lease has expired; the gateway has to start a new session under a new epoch.
    Expired,
    /// The weights that endpoints hold, where they changed.
    Placed {
        /// True if `placed` is the whole state and replaces all earlier state.
        reset: bool,
        /// The changes.
        placed: Vec<Placed>,
    },
    /// The load of all other gateways together on each endpoint where it changed.
    Loads(Vec<EndpointLoad>),
    /// An order that the gateway has to send to an engine.
    Order(EngineOrder),
    /// The replicas of control and the number of gateways that are connected to it.
    Group(Group),
    /// Confirms a distributor's renewal after a majority of replicas has confirmed the leader in a
    /// round that began after the renewal was sent; every change accepted before the renewal has
    /// been sent on this session.
    RenewedFor {
        /// The number of the renewal.
        number: u64,
    },
    /// Grants of credit in answer to asks.
    Credit(Vec<CreditGrant>),
    /// The use of services by workspaces at all other gateways together where it changed.
    WorkspaceUse(Vec<WorkspaceUse>),
    /// The gateways through which a gateway may send requests.
    Peers {
        /// The gateway that asked.
        gateway: Arc<str>,
        /// The gateways that it may use.
        peers: Vec<PeerGateway>,
    },
    /// Where a stream began.
    Origin {
        /// The gateway that asked.
        gateway: Arc<str>,
        /// The stream.
        stream: StreamKey,
        /// Where it began; `None` if that is not known.
        origin: Option<StreamOrigin>,
    },
}

impl SessionDown {
    /// The message kind, as named in statistics.
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
            Self::WorkspaceUse(_) => "session_workspace_use",
            Self::Peers { .. } => "session_peers",
            Self::Origin { .. } => "session_origin",
        }
    }
}
