//! What gateways, operators and replicas say to control, and its answers.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::control::fleet::{EndpointRecord, GatewayRecord};
use crate::control::ledger::{Claim, ClaimOutcome, KeyDigest, Settlement};
use crate::control::raft::{Envelope, NodeId};
use crate::document::{Document, DocumentKind};
use crate::message::{
    EndpointEnd, Heartbeat, NewestVersion, RegisteredEndpoint, RequestStanding, Service,
};
use crate::routing::RoutingConfiguration;

/// A change that gateways follow.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Change {
    /// A service was added or changed.
    Service(Service),
    /// A service was retired.
    ServiceRetired(Arc<str>),
    /// An endpoint was added, changed or got another owner.
    Endpoint(EndpointRecord),
    /// An endpoint is gone.
    EndpointRemoved(Arc<str>),
    /// A gateway joined, or is leaving.
    Gateway(GatewayRecord),
    /// A gateway is gone.
    GatewayRemoved(Arc<str>),
    /// Another routing configuration is in force.
    Routing(Arc<RoutingConfiguration>),
    /// An endpoint registered itself, or told something new of itself.
    Registered(RegisteredEndpoint),
    /// A registered endpoint is gone.
    Deregistered(Arc<str>),
    /// Weights have just got a newer version.
    Version(NewestVersion),
    /// Weights have had this version for a time that is not known: told with everything else, or late.
    VersionOfUnknownAge(NewestVersion),
    /// Requests with some content are treated otherwise from now on.
    Request(RequestStanding),
}

/// A single call to control.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum ControlRequest {
    /// Which log this replica holds; asked by a replica with an empty data folder.
    Probe,
    /// Asks to be taken into the group as a learner.
    Join {
        /// The new replica's identity.
        id: NodeId,
        /// Its name, which a replaced replica may have had before.
        name: Arc<str>,
        /// Where peers reach it.
        address: SocketAddr,
    },
    /// Submits declarations.
    Apply {
        /// The declarations.
        documents: Vec<Document>,
        /// True to only check them.
        dry_run: bool,
    },
    /// Reads declarations.
    Get {
        /// Only this kind.
        kind: Option<DocumentKind>,
        /// Only this name.
        name: Option<Arc<str>>,
    },
    /// Claims a call that may not be repeated.
    Claim(Claim),
    /// Records what became of a claim.
    Settle {
        /// The claimed key.
        key: KeyDigest,
        /// The claim's own id.
        claim_id: u128,
        /// What became of it.
        settlement: Settlement,
    },
    /// Asks for a share of the weight store's budget.
    Permit(PermitRequest),
    /// Gives a permit back.
    PermitDone {
        /// The gateway that holds it.
        gateway: Arc<str>,
        /// The permit.
        permit_id: u64,
    },
    /// A view of the group.
    Status,
    /// Takes a whole routing configuration in, unless its version is not above the one held.
    PutRouting {
        /// The configuration.
        configuration: Arc<RoutingConfiguration>,
        /// The operator's own document, given back on reads.
        document: Arc<str>,
    },
    /// Reads the routing configuration.
    GetRouting,
    /// Names the newest version of weights.
    PutVersion(NewestVersion),
    /// An endpoint's heartbeat.
    Heartbeat(Heartbeat),
    /// An endpoint is about to end.
    Deregister(EndpointEnd),
}

/// A request for one load from the weight store.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PermitRequest {
    /// The gateway that asks.
    pub gateway: Arc<str>,
    /// The epoch of its registration.
    pub gateway_epoch: u64,
    /// How much waits for this load; the greatest is served first.
    pub urgency: f32,
    /// How long the gateway waits for a permit.
    pub wait_ms: u32,
}

/// The answer to a [`ControlRequest`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum ControlReply {
    /// This replica does not lead; the call had no effect.
    NotLeader {
        /// Where the leader may be.
        leader: Option<SocketAddr>,
    },
    /// Leadership was lost while the call was under way; it may have taken effect.
    Lost,
    /// The answer to `Probe`.
    Probe(ProbeReply),
    /// The replica is known to the group, or being taken in.
    Joining,
    /// The answer to `Apply`.
    Applied(ApplyReply),
    /// The answer to `Get`.
    Documents(Vec<Document>),
    /// The answer to `Claim`.
    Claimed(ClaimOutcome),
    /// The settlement is recorded, or one was before.
    Settled,
    /// A permit.
    Permit {
        /// Its number.
        permit_id: u64,
        /// How long it holds.
        valid_ms: u32,
    },
    /// No permit could be had in time.
    NoPermit {
        /// When to ask again.
        retry_after_ms: u32,
    },
    /// The permit is given back.
    PermitReturned,
    /// The answer to `Status`.
    Status(GroupStatus),
    /// The call is not valid.
    Invalid(String),
    /// What was asked for is committed, or was so before.
    Accepted,
    /// A heartbeat was taken in.
    Heard {
        /// The replica that takes the endpoint's next heartbeats best.
        server: Option<SocketAddr>,
    },
    /// The group is not ready for it yet; the caller may come again.
    NotReady,
    /// The operator's document of the newest routing configuration; none before the first.
    Routing(Option<Arc<str>>),
}

/// What a replica tells one that has an empty data folder.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProbeReply {
    /// The data folder is empty and no identity is written.
    Empty,
    /// A founding identity is written; nothing has been decided yet.
    Founding,
    /// The group exists.
    Established,
}

/// How the group looks from one replica.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct GroupStatus {
    /// The replica asked.
    pub id: NodeId,
    /// The current term.
    pub term: u64,
    /// The leader, if one is known.
    pub leader: Option<NodeId>,
    /// The commit index.
    pub commit: u64,
    /// The index up to which the state is applied.
    pub applied: u64,
    /// The members, as name, identity, address and whether they vote.
    pub members: Vec<(Arc<str>, NodeId, SocketAddr, bool)>,
    /// The registered gateways.
    pub gateways: Vec<GatewayRecord>,
    /// The endpoints with their owners.
    pub endpoints: Vec<EndpointRecord>,
    /// The number of services in force.
    pub services: usize,
    /// The number of keys in the run ledger.
    pub ledger_keys: usize,
}

/// What became of submitted declarations.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ApplyReply {
    /// True when every document is in force now or would be without `dry_run`.
    pub accepted: bool,
    /// The index at which the change was accepted.
    pub index: u64,
    /// One verdict for each document, in the order submitted.
    pub verdicts: Vec<DocumentVerdict>,
}

/// What became of one declaration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentVerdict {
    /// The kind of document.
    pub kind: DocumentKind,
    /// Its name.
    pub name: Arc<str>,
    /// The version submitted.
    pub version: u64,
    /// What became of it.
    pub verdict: Verdict,
}

/// The possible fates of a declaration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// It is new.
    Created,
    /// It replaces a lower version.
    Updated,
    /// The same content with the same version was accepted before.
    Unchanged,
    /// A higher version, or other content with the same version, was accepted before.
    Conflict {
        /// The version in force.
        stored_version: u64,
        /// True when the versions are equal and the contents differ.
        same_version: bool,
    },
    /// It does not fit its template, or breaks services made from it.
    Invalid {
        /// What is wrong.
        problems: Vec<String>,
    },
}

/// A message between replicas of control.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PeerMessage {
    /// Where the sender is reached; a replica that joins does not know its peers yet.
    pub address: SocketAddr,
    /// The message itself.
    pub envelope: Envelope,
}
