//! Asks for and grants of credit, the units of a workspace's quota that a gateway or distributor
//! holds in advance.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// The credit that a holder (a gateway or distributor) has and requests for one workspace.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CreditAsk {
    /// The workspace.
    pub workspace: Arc<str>,
    /// The units that the holder has and no request waits for.
    pub held: u64,
    /// The units that the holder aims to have.
    pub target: u64,
    /// The units that requests wait for beyond those that the holder has; used as soon as granted.
    pub urgent: u64,
}

/// The answer to a [`CreditAsk`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CreditGrant {
    /// The workspace.
    pub workspace: Arc<str>,
    /// The granted units, in addition to those that the holder has.
    pub units: u64,
    /// The time until urgent units that are not granted may become available; 0 if all are granted.
    pub dry_ms: u32,
    /// The time, counted from the ask, for which the holder may use all of its units.
    pub valid_ms: u32,
}
