//! Quotas of workspaces across all gateways, which hold even if gateways are disconnected.
//!
//! The leader keeps a *pool* of credit for each workspace: a token bucket that fills at the quota's
//! rate up to its burst. A gateway admits a request only against credit that it holds
//! ([`Credits`]); it asks for credit in advance, according to its recent demand, so that hardly any
//! request waits. Distributors hold credit for the gateways of their availability zone and ask on
//! behalf of all of them.
//!
//! The units used in any window do not exceed the units granted in it plus the units that were
//! outstanding, that is granted and unused, when it began. The pool limits the granted units to the
//! rate times the window, plus the burst. The outstanding units are limited by what the operator
//! allows above that ([`QuotaBounds`]): the leader knows what its holders have, and counts what a
//! previous leader may have granted as outstanding until it has expired. Credit expires
//! [`CREDIT_VALID_MS`] after its holder last asked the leader, so that the credit of a gateway that
//! is disconnected or gone does not stay outstanding.

mod credits;
mod distributor_pool;
mod holders;
mod pool;

pub use credits::{Admission, Credits};
pub use distributor_pool::DistributorPools;
pub use holders::HolderGrant;
pub use pool::CreditPools;

pub(crate) use crate::message::{CreditAsk, CreditGrant};
use crate::routing::Quota;

/// How long a gateway should be able to continue without the leader: an election takes one to two
/// seconds.
const AUTONOMY_MS: u64 = 2_000;
/// A holder asks again this long after its last ask, so that its credit does not expire.
const RENEWAL_INTERVAL_MS: u64 = 1_500;
/// The fraction of its target below which a holder asks in advance.
const ASK_BELOW_FRACTION: f64 = 0.7;
/// The minimum interval between asks in advance.
const ASK_INTERVAL_MS: u64 = 100;

/// How long credit is valid after its holder last asked the leader; as long as a gateway on the
/// users' platform may be without confirmations.
pub const CREDIT_VALID_MS: u64 = 5_000;
/// How much longer the leader counts credit as outstanding: covers the delay of an answer and
/// differences in clock rates.
pub(crate) const EXPIRY_MARGIN_MS: u64 = 500;

/// What the operator allows above a quota.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaBounds {
    /// The window in which the units of a workspace are counted.
    pub window_ms: u64,
    /// The fraction by which the units of a window may exceed the quota.
    pub overrun: f64,
    /// Units by which they may exceed the quota in addition.
    pub slack: f64,
}

impl Default for QuotaBounds {
    fn default() -> Self {
        Self { window_ms: 8_000, overrun: 0.1, slack: 0.0 }
    }
}

/// The fraction of the allowance that is used: the rest covers requests that are counted in another
/// window than they were sent in.
const ALLOWANCE_FRACTION: f64 = 0.9;
/// The fraction of the burst that may be outstanding where the allowance is small.
const OUTSTANDING_BURST_FRACTION: f64 = 0.5;

/// The fraction of the burst that a new leader may grant at once, limited to this fraction of the
/// allowance: after an election, many asks arrive at the same time.
const INITIAL_BURST_FRACTION: f64 = 0.5;

/// How the units of a quota are divided.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Shares {
    /// Units that may be granted per second.
    pub(crate) rate_per_s: f64,
    /// Units that may be granted at once.
    pub(crate) burst: f64,
    /// Units that may be outstanding.
    pub(crate) outstanding: f64,
    /// Units that a new leader may grant at once, in addition to those of previous leaders.
    pub(crate) initial: f64,
}

impl Shares {
    pub(crate) fn new(quota: Quota, bounds: QuotaBounds) -> Self {
        let window_s = bounds.window_ms as f64 / 1_000.0;
        let allowed = quota.rate_per_s * window_s + quota.burst;
        let allowance = (bounds.overrun * allowed + bounds.slack) * ALLOWANCE_FRACTION;
        let initial =
            (quota.burst * INITIAL_BURST_FRACTION).min(allowance * INITIAL_BURST_FRACTION);
        // With no allowance at all, nothing could be asked for in advance.
        let outstanding = (allowance - initial).max(quota.burst * OUTSTANDING_BURST_FRACTION);
        let excess = (outstanding + initial - allowance).max(0.0);
        Self { rate_per_s: quota.rate_per_s, burst: quota.burst - excess, outstanding, initial }
    }
}
