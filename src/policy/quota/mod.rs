//! How much workspaces may ask for, over all gateways together, whoever is cut off.
//!
//! The leader keeps a *pool* of credit for each workspace, which fills at the quota's rate up to its burst. A gateway
//! admits a request only against credit that it holds ([`Credits`]); it asks for more in advance, by what it was
//! asked for lately, so that hardly any request waits. Distributors hold credit for the gateways of their
//! availability zone and ask for all of them together.
//!
//! In any window no more is used than was granted in it and what was out when it began. What is granted is
//! the pool's to bound: rate times window, and the burst. What is out at one time is bounded by what the
//! operator allows above that ([`QuotaBounds`]): a leader knows what its holders have, and takes for out
//! what an earlier leader may have granted until that has lapsed. Credit lapses [`CREDIT_VALID_MS`] after its
//! holder last heard from the leader, so that what a gateway holds that is cut off or gone is not out for ever.

mod credits;
mod distributor_pool;
mod holders;
mod pool;

pub use credits::{Admission, Credits};
pub use distributor_pool::DistributorPools;
pub use holders::HolderGrant;
pub use pool::Pools;

pub(crate) use crate::message::{CreditAsk, CreditGrant};
use crate::routing::Quota;

/// For how long a gateway would like to be able to go on alone: an election takes a second or two.
const HORIZON_MS: u64 = 2_000;
/// A holder asks again this long after its last ask, so that what it holds does not lapse.
const KEEP_MS: u64 = 1_500;
/// The part of its target below which a holder asks in advance.
const ASK_BELOW: f64 = 0.7;
/// How often a holder asks in advance, at most.
const ASK_EVERY_MS: u64 = 100;

/// How long credit holds after its holder asked the leader last; as long as a gateway may be without
/// confirmations on the users' platform.
pub const CREDIT_VALID_MS: u64 = 5_000;
/// How much longer the leader counts it: the way of an answer, and clocks that run at different rates.
pub(crate) const LAPSE_MARGIN_MS: u64 = 500;

/// What the operator allows above a quota.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaBounds {
    /// The window in which a workspace's requests are counted.
    pub window_ms: u64,
    /// The share by which their sum may be above the quota.
    pub overrun: f64,
    /// Units that it may be above that.
    pub slack: f64,
}

impl Default for QuotaBounds {
    fn default() -> Self {
        Self { window_ms: 8_000, overrun: 0.1, slack: 0.0 }
    }
}

/// The part of what is allowed above a quota that is used: the rest covers requests that are read in
/// another window than they were sent in.
const ALLOWANCE_USED: f64 = 0.9;
/// The part of the burst that is out with holders where little is allowed above the quota.
const BURST_OUT: f64 = 0.5;

/// The part of the burst that a new leader may grant at once, if so much is allowed above the quota: after an
/// election many come at the same time.
const BURST_FIRST: f64 = 0.5;

/// How a quota is shared out.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Shares {
    /// Units a second that may be granted.
    pub(crate) rate_per_s: f64,
    /// Units that may be granted at once.
    pub(crate) burst: f64,
    /// Units that may be out with holders.
    pub(crate) out: f64,
    /// Units that a new leader may grant at once, beside what an earlier one granted.
    pub(crate) first: f64,
}

impl Shares {
    pub(crate) fn new(quota: Quota, bounds: QuotaBounds) -> Self {
        let window_s = bounds.window_ms as f64 / 1_000.0;
        let allowed = quota.rate_per_s * window_s + quota.burst;
        let allowance = (bounds.overrun * allowed + bounds.slack) * ALLOWANCE_USED;
        let first = (quota.burst * BURST_FIRST).min(allowance * BURST_FIRST);
        // Nothing could be asked for in advance if nothing at all may be above the quota.
        let out = (allowance - first).max(quota.burst * BURST_OUT);
        let beyond = (out + first - allowance).max(0.0);
        Self { rate_per_s: quota.rate_per_s, burst: quota.burst - beyond, out, first }
    }
}
