//! How often gateways and the leader tell each other what is under way at endpoints, and what of it.

use crate::message::Load;

/// The shortest period: each message wakes both sides, and a prompt takes longer to be read.
const PERIOD_MIN_MS: u64 = 40;
/// The longest period: later counts are of requests that have ended.
const PERIOD_MAX_MS: u64 = 200;
/// The period for each gateway, so that the leader tells all of them some 700 times a second at most.
const PERIOD_PER_GATEWAY_US: u64 = 1_400;

/// A difference in reading time that changes few choices: gateways draw among endpoints, and one that
/// is 50 ms cheaper is taken 2.7 times as often.
const READING_STEP_MS: u32 = 15;
/// The same in requests; one in a batch of twelve slows the others by a few milliseconds.
const RUNNING_STEP: u32 = 2;

/// Changes in demand are reported when they exceed the larger value divided by this: a relative step
/// keeps shares of an endpoint's limit equally precise at low and high rates.
const DEMAND_STEP_DIVISOR: u32 = 16;

/// True when a gateway that was `told` one count would choose otherwise if it knew it to be `now`.
pub fn is_worth_reporting(told: Load, now: Load) -> bool {
    told.running.abs_diff(now.running) >= RUNNING_STEP
        || told.waiting_ms.abs_diff(now.waiting_ms) >= READING_STEP_MS
        || told.late_ms.abs_diff(now.late_ms) >= READING_STEP_MS
        || differs_in_demand(told, now)
}

fn differs_in_demand(told: Load, now: Load) -> bool {
    let larger = told.demand_per_min.max(now.demand_per_min);
    told.demand_per_min.abs_diff(now.demand_per_min) > larger / DEMAND_STEP_DIVISOR
}

/// The period in which counts are told while there are `gateways`.
pub fn period_ms(gateways: usize) -> u64 {
    (gateways as u64 * PERIOD_PER_GATEWAY_US / 1_000).clamp(PERIOD_MIN_MS, PERIOD_MAX_MS)
}
