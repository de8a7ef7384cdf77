//! Calls of gateways, operators and replicas to control, their answers, and the changes that
//! control publishes.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::control::fleet::{EndpointRecord, GatewayRecord};
use crate::control::ledger::{Claim, ClaimOutcome, KeyDigest, Settlement};
use crate::control::raft::{Envelope, NodeId};
use crate::document::{Document, DocumentKind};
use crate::message::{
    EndpointEnd, FeatureStanding, Heartbeat, NewestVersion, RegisteredEndpoint, Service,
};
use crate::routing::{RoutingConfiguration, RoutingUpdate};

/// A change that control publishes to gateways.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Change {
    /// A service was added or changed.
    Service(Service),
    /// A service was retired.
    ServiceRetired(Arc<str>),
    /// An endpoint was added or changed, or its owner changed.
    Endpoint(EndpointRecord),
    /// An endpoint was removed.
    EndpointRemoved(Arc<str>),
    /// A gateway joined, or is leaving.
    Gateway(GatewayRecord),
    /// A gateway was removed.
    GatewayRemoved(Arc<str>),
    /// Another routing configuration is in force.
    Routing(Arc<RoutingConfiguration>),
    /// An endpoint registered itself or updated its registration.
    Registered(RegisteredEndpoint),
    /// A registered endpoint was deregistered.
    Deregistered(Arc<str>),
    /// A newer version of weights has just been announced.
    Version(NewestVersion),
    /// The newest version of weights, announced at an unknown time: the change is part of the whole
    /// state, or was delivered late.
    VersionOfUnknownAge(NewestVersion),
    /// The standing of requests that have a feature changed.
    Standing(FeatureStanding),
    /// Another routing configuration is in force; what turns the one that was sent before into it.
    RoutingUpdate(RoutingUpdate),
}

/// A single call to control.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum ControlRequest {
    /// Asks whether the group has been founded; sent by a replica with an empty data folder.
    Probe,
    /// Asks to be added to the group as a learner.
    Join {
        /// The id of the new replica.
        id: NodeId,
        /// Its name, which may be the name of the replica that it replaces.
        name: Arc<str>,
        /// The address at which peers reach it.
        address: SocketAddr,
    },
    /// Submits declarations.
    Apply {
        /// The declarations.
        documents: Vec<Document>,
        /// True to only validate them.
        dry_run: bool,
    },
    /// Reads declarations.
    Get {
        /// Returns only this kind.
        kind: Option<DocumentKind>,
        /// Returns only this name.
        name: Option<Arc<str>>,
    },
    /// Claims the idempotency key of a call that must not be repeated.
    Claim(Claim),
    /// Records the outcome of a claimed call.
    Settle {
        /// The claimed key.
        key: KeyDigest,
        /// The id of the claim.
        claim_id: u128,
        /// The outcome.
        settlement: Settlement,
    },
    /// Asks for a permit to load weights, which counts against the budget of the weight store.
    Permit(PermitRequest),
    /// Returns a permit.
    PermitDone {
        /// The gateway that holds it.
        gateway: Arc<str>,
        /// The permit.
        permit_id: u64,
    },
    /// Reads the status of the group.
    Status,
    /// Replaces the routing configuration if the version is higher than that in force.
    PutRouting {
        /// The configuration.
        configuration: Arc<RoutingConfiguration>,
        /// The operator's original document, which reads return.
        document: Arc<str>,
    },
    /// Reads the routing configuration.
    GetRouting,
    /// Announces the newest version of weights.
    PutVersion(NewestVersion),
    /// An endpoint's heartbeat.
    Heartbeat(Heartbeat),
    /// Announces that an endpoint is about to shut down.
    Deregister(EndpointEnd),
}

/// A request for a permit to load weights once from the weight store.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PermitRequest {
    /// The gateway that asks.
    pub gateway: Arc<str>,
    /// The epoch of its registration.
    pub gateway_epoch: u64,
    /// The demand that waits for the load; the request with the highest urgency is served first.
    pub urgency: f32,
    /// The maximum time that the gateway waits for a permit.
    pub wait_ms: u32,
}

/// The answer to a [`ControlRequest`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum ControlReply {
    /// This replica is not the leader; the call had no effect.
    NotLeader {
        /// The address of the leader, if this replica knows it; it may be outdated.
        leader: Option<SocketAddr>,
    },
    /// The replica lost leadership during the call, which may have taken effect.
    Lost,
    /// The answer to `Probe`.
    Probe(ProbeReply),
    /// The replica is a member of the group or is being added.
    Joining,
    /// The answer to `Apply`.
    Applied(ApplyReply),
    /// The answer to `Get`.
    Documents(Vec<Document>),
    /// The answer to `Claim`.
    Claimed(ClaimOutcome),
    /// The settlement is recorded, or the claim was settled before.
    Settled,
    /// A permit.
    Permit {
        /// The id of the permit.
        permit_id: u64,
        /// The time for which the permit is valid.
        valid_ms: u32,
    },
    /// No permit became available in time.
    NoPermit {
        /// The time after which to ask again.
        retry_after_ms: u32,
    },
    /// The permit is returned.
    PermitReturned,
    /// The answer to `Status`.
    Status(GroupStatus),
    /// The call is not valid, with the reason.
    Invalid(String),
    /// The requested change is committed, or was committed before.
    Accepted,
    /// A heartbeat was accepted.
    Heard {
        /// The replica to which the endpoint should send its next heartbeats.
        server: Option<SocketAddr>,
    },
    /// The group is not ready for the call yet; the caller may retry.
    NotReady,
    /// The operator's document of the newest routing configuration; `None` before the first one.
    Routing(Option<Arc<str>>),
    /// The call was not taken on, since others are being processed; it had no effect.
    Busy {
        /// The time after which to call again.
        retry_after_ms: u32,
    },
}

/// The answer to [`ControlRequest::Probe`]: how far the replica is in founding the group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProbeReply {
    /// The data folder is empty and holds no identity.
    Empty,
    /// The identity of a founding member is written; nothing has been committed yet.
    Founding,
    /// The group exists.
    Established,
}

/// The status of the group as seen by one replica.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct GroupStatus {
    /// The replica that answers.
    pub id: NodeId,
    /// The current term.
    pub term: u64,
    /// The leader, if one is known.
    pub leader: Option<NodeId>,
    /// The commit index.
    pub commit: u64,
    /// The index up to which the state is applied.
    pub applied: u64,
    /// The members, each with its name, id and address, and whether it votes.
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

/// The result of submitted declarations.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ApplyReply {
    /// True if every document is in force, or would be without `dry_run`.
    pub accepted: bool,
    /// The index at which the change was accepted.
    pub index: u64,
    /// One verdict for each document, in the order submitted.
    pub verdicts: Vec<DocumentVerdict>,
}

/// The result of one submitted declaration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentVerdict {
    /// The kind of document.
    pub kind: DocumentKind,
    /// The name of the document.
    pub name: Arc<str>,
    /// The submitted version.
    pub version: u64,
    /// The result.
    pub verdict: Verdict,
}

/// The possible results of submitting a declaration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// The declaration is new.
    Created,
    /// The declaration replaces a lower version.
    Updated,
    /// The same content with the same version was accepted before.
    Unchanged,
    /// A higher version, or other content with the same version, was accepted before.
    Conflict {
        /// The version in force.
        stored_version: u64,
        /// True if the versions are equal and the contents differ.
        same_version: bool,
    },
    /// The declaration does not match its template, or is a template that services made from it
    /// would no longer match.
    Invalid {
        /// The problems found.
        problems: Vec<String>,
    },
}

/// A message between replicas of control.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PeerMessage {
    /// The address of the sender, since a replica that joins does not know its peers yet.
    pub address: SocketAddr,
    /// The message.
    pub envelope: Envelope,
}
