//! Tests of how a process decides that a connection has fallen silent.

use winchvane::policy::silence::{
    OBSERVE_INTERVAL_MS, SILENT_MAX_MS, SilenceAction, SilenceObserver, UNUSED_MAX_MS,
};

/// Observes a connection until it is closed, at most until `until_ms`; returns when it was closed, and
/// all actions.
fn observe(
    until_ms: u64,
    received_bytes: impl Fn(u64) -> u64,
    is_in_use: impl Fn(u64) -> bool,
) -> (Option<u64>, Vec<SilenceAction>) {
    let mut observer = SilenceObserver::new(0);
    let mut actions = Vec::new();
    let mut now_ms = 0;
    while now_ms < until_ms {
        now_ms += OBSERVE_INTERVAL_MS;
        let action = observer.observe(now_ms, received_bytes(now_ms), is_in_use(now_ms));
        actions.push(action);
        if matches!(action, SilenceAction::CloseSilent { .. } | SilenceAction::CloseUnused) {
            return (Some(now_ms), actions);
        }
    }
    (None, actions)
}

/// Connections are observed in steps.
fn assert_within_a_step(closed_at_ms: Option<u64>, expected_ms: u64) {
    let closed_at_ms = closed_at_ms.expect("the connection is closed");
    let expected_ms = expected_ms..=expected_ms + OBSERVE_INTERVAL_MS;
    assert!(expected_ms.contains(&closed_at_ms), "{closed_at_ms}, expected {expected_ms:?}");
}

#[test]
fn a_silent_connection_is_pinged_and_then_closed() {
    let (closed_at_ms, actions) = observe(60_000, |_| 0, |_| true);
    assert_within_a_step(closed_at_ms, SILENT_MAX_MS);
    assert!(actions.contains(&SilenceAction::Ping), "{actions:?}");
}

#[test]
fn a_connection_that_brings_a_byte_now_and_then_is_kept() {
    let (closed_at_ms, _) = observe(60_000, |now_ms| now_ms / 800, |_| true);
    assert_eq!(closed_at_ms, None);
}

#[test]
fn a_connection_without_streams_is_not_pinged_and_closed_later() {
    let (closed_at_ms, actions) = observe(60_000, |_| 0, |_| false);
    assert_within_a_step(closed_at_ms, UNUSED_MAX_MS);
    assert!(!actions.contains(&SilenceAction::Ping), "{actions:?}");
}

/// Guards against the end of a connection under its streams: each of them was over within the time
/// between two observations, so that the connection seemed to be unused.
#[test]
fn a_connection_with_short_streams_is_kept_and_not_doubted() {
    let mut observer = SilenceObserver::new(0);
    for step in 1..=300 {
        let action = observer.observe(step * OBSERVE_INTERVAL_MS, step, false);
        assert_eq!(action, SilenceAction::Wait, "step {step}");
        assert!(!observer.is_doubted(), "step {step}");
    }
}

#[test]
fn a_connection_that_is_used_again_has_the_whole_time_to_answer() {
    let used_from_ms = 5_000;
    let (closed_at_ms, _) = observe(60_000, |_| 0, |now_ms| now_ms >= used_from_ms);
    assert_within_a_step(closed_at_ms, used_from_ms + SILENT_MAX_MS);
}

#[test]
fn a_connection_of_which_nothing_is_known_gets_no_further_streams() {
    for is_in_use in [true, false] {
        let mut observer = SilenceObserver::new(0);
        for step in 0..5 {
            observer.observe(step * OBSERVE_INTERVAL_MS, 1, is_in_use);
        }
        assert!(observer.is_doubted(), "in use: {is_in_use}");
        observer.observe(5 * OBSERVE_INTERVAL_MS, 2, true);
        assert!(!observer.is_doubted(), "in use: {is_in_use}");
    }
}

/// A process that stalls finds what the other side has sent only after it has observed the connection.
#[test]
fn a_stall_of_this_process_does_not_count_as_silence() {
    let mut observer = SilenceObserver::new(0);
    assert_eq!(observer.observe(200, 1, true), SilenceAction::Wait);
    let action = observer.observe(200 + 2_000, 1, true);
    assert_eq!(action, SilenceAction::Ping);
    assert_eq!(observer.observe(2_400, 2, true), SilenceAction::Wait);
}
