//! The share of the leader's time that placement passes take.

use winchvane::control::placement::PassPacing;
use yare::parameterized;

const ENDPOINTS: usize = 92;
const END_MS: u64 = 10_000;
/// The share of the time that passes may take: renewals and heartbeats need the rest.
const SHARE_MAX: f64 = 0.3;
/// The longest time that a need of a gateway waits for a pass; loads take several times as long.
const WAIT_MAX_MS: u64 = 150;

/// Guards against passes that follow each other without a pause where the processor is slow, so that
/// the leader handles nothing else: renewals wait, sessions end, and their gateways ask again.
#[parameterized(
    usual = { 2 },
    as_long_as_the_interval = { 5 },
    slow = { 8 },
    very_slow = { 30 },
)]
fn passes_leave_most_of_the_time_to_other_messages(took_ms: u64) {
    let mut pacing = PassPacing::default();
    let (mut now_ms, mut passing_ms, mut last_ended_ms) = (1_000, 0, 1_000);
    while now_ms < END_MS {
        // A message that asks for weights waits at any time.
        if pacing.begin(now_ms, ENDPOINTS) {
            assert!(now_ms - last_ended_ms <= WAIT_MAX_MS, "{} ms", now_ms - last_ended_ms);
            now_ms += took_ms;
            passing_ms += took_ms;
            last_ended_ms = now_ms;
        } else {
            now_ms += 1;
        }
        pacing.end(now_ms);
    }
    let share = passing_ms as f64 / (END_MS - 1_000) as f64;
    assert!(share <= SHARE_MAX, "{share:.2}");
}

/// A leader that stood still during a pass runs the next one soon.
#[test]
fn a_stall_does_not_put_off_passes() {
    let mut pacing = PassPacing::default();
    assert!(pacing.begin(1_000, ENDPOINTS));
    assert_eq!(pacing.end(4_000), Some(3_000));
    assert!(pacing.begin(4_000 + WAIT_MAX_MS, ENDPOINTS));
}

/// Guards against a bound of the pause that long passes outgrow, as with 12,000 endpoints: each pass of
/// 200 ms was followed by 100 ms for everything else.
#[parameterized(
    long = { 60 },
    very_long = { 200 },
)]
fn long_passes_leave_most_of_the_time_to_other_messages(took_ms: u64) {
    let mut pacing = PassPacing::default();
    let (mut now_ms, mut passing_ms) = (1_000, 0);
    while now_ms < END_MS {
        if pacing.begin(now_ms, 12_000) {
            now_ms += took_ms;
            passing_ms += took_ms;
        } else {
            now_ms += 1;
        }
        pacing.end(now_ms);
    }
    let share = passing_ms as f64 / (END_MS - 1_000) as f64;
    assert!(share <= SHARE_MAX, "{share:.2}");
}
