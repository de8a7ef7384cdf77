//! How gateways share the slots of brittle endpoints: each endpoint has a coordinator among the
//! gateways, which leases the endpoint's slots to all of them.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Identifies a stream of claims.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotStream {
    /// Drawn at random by each process of a gateway.
    pub process: u64,
    /// Counts the streams of the process in the order in which it opened them.
    pub number: u64,
}

impl SlotStream {
    /// True if the same process has opened this stream before `other`.
    pub fn is_before(&self, other: &Self) -> bool {
        self.process == other.process && self.number < other.number
    }
}

/// The slots that a gateway wants at one endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotClaim {
    /// The endpoint's incarnation.
    pub endpoint: Arc<str>,
    /// The slots that it uses and would use.
    pub wanted: u32,
    /// The slots that it uses.
    pub in_use: u32,
    /// The requests that the endpoint has rejected since the last claim.
    pub rejected: u32,
}

/// A gateway's claims to a coordinator; those for other endpoints stay as they were.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotClaims {
    /// The gateway.
    pub gateway: Arc<str>,
    /// The stream on which it sends them.
    pub stream: SlotStream,
    /// Increases with each message of a stream. The first one, with number 1, holds all claims of the
    /// gateway and replaces those of earlier streams.
    pub number: u64,
    /// The claims; none if the gateway only keeps its leases.
    pub claims: Vec<SlotClaim>,
}

/// The slots that a gateway may use at one endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotGrant {
    /// The endpoint's incarnation.
    pub endpoint: Arc<str>,
    /// The slots.
    pub slots: u32,
    /// True while other gateways wait for slots there; unused ones should be returned at once.
    pub is_contended: bool,
}

/// What a coordinator grants; grants for other endpoints stay as they were.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotGrants {
    /// The stream of the claims.
    pub stream: SlotStream,
    /// The number of the latest claims that the coordinator has received.
    pub number: u64,
    /// The grants.
    pub grants: Vec<SlotGrant>,
}
