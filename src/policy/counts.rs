//! How often gateways and the leader tell each other what is under way at endpoints.

/// The shortest period: each message wakes both sides, and a prompt takes longer to be read.
const PERIOD_MIN_MS: u64 = 40;
/// The longest period: later counts are of requests that have ended.
const PERIOD_MAX_MS: u64 = 200;
/// The period for each gateway, so that the leader tells all of them some 700 times a second at most.
const PERIOD_PER_GATEWAY_US: u64 = 1_400;

/// The period in which counts are told while there are `gateways`.
pub fn period_ms(gateways: usize) -> u64 {
    (gateways as u64 * PERIOD_PER_GATEWAY_US / 1_000).clamp(PERIOD_MIN_MS, PERIOD_MAX_MS)
}
