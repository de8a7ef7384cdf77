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
    /// The standing rate that the holder has, in units per second.
    pub rate_per_s: u32,
    /// The standing rate that the holder would use, in units per second.
    pub wanted_per_s: u32,
    /// The number of units up to which the standing rate refills those that the holder has.
    pub refill_max: u64,
}

impl CreditAsk {
    /// The units that the holder may have before the answer arrives.
    pub(crate) fn held_max(&self) -> u64 {
        if self.rate_per_s == 0 { self.held } else { self.held.max(self.refill_max) }
    }
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
    /// The standing rate for the same time, in units per second, instead of the earlier one.
    pub rate_per_s: u32,
    /// The number of units up to which the standing rate refills those that the holder has.
    pub refill_max: u64,
    /// The number of units above which the holder gets none in advance, if that is below its target.
    pub advance_max: Option<u64>,
}
