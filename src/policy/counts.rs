//! How often gateways and the leader exchange the load of endpoints, and which changes of load are
//! reported.

use super::endpoint_speed::{self, Work};
use crate::message::Load;

/// The shortest interval: each message wakes both sides, and reading a prompt takes longer.
const PERIOD_MIN_MS: u64 = 40;
/// The longest interval: counts that arrive later describe requests that have already ended.
const PERIOD_MAX_MS: u64 = 200;
/// The interval per gateway; limits the leader to about 700 messages per second in total.
const PERIOD_PER_GATEWAY_US: u64 = 1_400;

/// The smallest reported change in reading time. A smaller one affects few choices: gateways choose
/// endpoints at random, and an endpoint that is 50 ms cheaper is chosen 2.7 times as often.
const READING_STEP_MS: u32 = 15;
/// The smallest reported change in running requests; in a batch of twelve, one request slows the
/// others by a few milliseconds.
const RUNNING_STEP: u32 = 2;

/// Changes in demand are reported when they exceed the larger value divided by this: a relative
/// step keeps shares of an endpoint's limit equally precise at low and high rates.
const DEMAND_STEP_DIVISOR: u32 = 16;

/// Returns true if a gateway that knows the load `reported` would choose differently if it knew
/// `current`.
pub fn is_worth_reporting(reported: Load, current: Load) -> bool {
    reported.running.abs_diff(current.running) >= RUNNING_STEP
        || reported.waiting_ms.abs_diff(current.waiting_ms) >= READING_STEP_MS
        || reported.late_ms.abs_diff(current.late_ms) >= READING_STEP_MS
        || differs_in_demand(reported, current)
        || (reported.brittle > 0) != (current.brittle > 0)
}

/// Like [`is_worth_reporting`], for an endpoint of a service whose endpoints together did the work
/// of `service`. A change of speed alone is reported only where it affects the choice.
pub fn is_worth_reporting_at(reported: Load, current: Load, service: Work) -> bool {
    is_worth_reporting(reported, current)
        || endpoint_speed::is_worth_reporting(&reported, &current, service)
}

fn differs_in_demand(reported: Load, current: Load) -> bool {
    let larger = reported.demand_per_min.max(current.demand_per_min);
    reported.demand_per_min.abs_diff(current.demand_per_min) > larger / DEMAND_STEP_DIVISOR
}

/// The interval between reports of load while there are `gateways`.
pub fn period_ms(gateways: usize) -> u64 {
    (gateways as u64 * PERIOD_PER_GATEWAY_US / 1_000).clamp(PERIOD_MIN_MS, PERIOD_MAX_MS)
}
