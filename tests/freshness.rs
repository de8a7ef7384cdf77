//! The age of what a gateway knows, and the wait for a newer confirmation.

use winchvane::policy::freshness::{Freshness, Knowledge};
use winchvane::policy::running_time::RunningTimer;

const CHANGES_WITHIN_MS: u64 = 2_000;
/// The time for which a request polls.
const POLL_MS: u64 = 50;

fn confirmed_at(sent_at_ms: u64) -> Freshness {
    let mut freshness = Freshness::new(CHANGES_WITHIN_MS);
    freshness.confirm(sent_at_ms);
    freshness
}

#[test]
fn knowledge_is_fresh_for_less_than_the_time_within_which_changes_take_effect() {
    let mut freshness = confirmed_at(1_000);
    assert_eq!(freshness.check(2_599), Knowledge::Fresh);
    assert_eq!(freshness.check(2_600), Knowledge::Awaited);
    freshness.confirm(2_500);
    assert_eq!(freshness.check(2_600), Knowledge::Fresh);
    assert_eq!(freshness.age_ms(2_600), Some(100));
}

#[test]
fn a_late_confirmation_of_an_earlier_renewal_changes_nothing() {
    let mut freshness = confirmed_at(1_000);
    freshness.confirm(500);
    assert_eq!(freshness.age_ms(1_100), Some(100));
}

#[test]
fn a_gateway_that_resumes_waits_however_long_it_stalled() {
    let mut freshness = confirmed_at(1_000);
    assert_eq!(freshness.check(1_200), Knowledge::Fresh);
    let mut now_ms = 60_000;
    assert_eq!(freshness.check(now_ms), Knowledge::Awaited);
    // It stalls again and again while it waits.
    for _ in 0..9 {
        now_ms += 3_000;
        assert_eq!(freshness.check(now_ms), Knowledge::Awaited);
    }
}

#[test]
fn a_gateway_that_runs_without_confirmations_is_disconnected_until_the_next_one() {
    let mut freshness = confirmed_at(1_000);
    let mut now_ms = 2_600;
    while freshness.check(now_ms) == Knowledge::Awaited {
        now_ms += POLL_MS;
    }
    assert_eq!(now_ms, 3_100);
    assert_eq!(freshness.check(60_000), Knowledge::Disconnected);
    freshness.confirm(59_900);
    assert_eq!(freshness.check(60_000), Knowledge::Fresh);
    assert_eq!(freshness.check(61_500), Knowledge::Awaited, "the wait begins anew");
}

#[test]
fn a_gateway_that_has_just_started_does_not_wait_for_a_confirmation() {
    assert_eq!(Freshness::new(CHANGES_WITHIN_MS).check(60_000), Knowledge::Fresh);
}

#[test]
fn a_stall_counts_as_one_step_of_running_time() {
    let mut timer = RunningTimer::new(1_000, 100);
    assert_eq!(timer.observe(1_060), 60);
    assert_eq!(timer.observe(9_000), 160);
    assert_eq!(timer.observe(8_000), 160, "the clock never runs backwards");
    assert_eq!(timer.observe(9_010), 170);
}
