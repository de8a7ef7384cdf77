//! Permits: the weight store's budget is never exceeded, even when leaders change and gateways die.

use winchvane::control::permit::{PermitOutcome, Permits, StoreBudget};

const BUDGET: StoreBudget =
    StoreBudget { loads_per_s: 9.0, concurrent_loads: 4, load_timeout_ms: 10_000 };

fn granted(outcomes: &[(u64, PermitOutcome)]) -> Vec<(u64, u64)> {
    let mut granted = Vec::new();
    for (token, outcome) in outcomes {
        if let PermitOutcome::Granted(id) = outcome {
            granted.push((*token, *id));
        }
    }
    granted
}

#[test]
fn rate_and_concurrency_are_bounded_and_the_most_urgent_request_goes_first() {
    let mut permits = Permits::new(BUDGET, 0);
    for token in 0..40 {
        permits.request(0, token, "g".into(), token as f32, 60_000);
    }
    let mut held: Vec<(u64, u64)> = Vec::new();
    let mut started = Vec::new();
    for now_ms in (0..=4_000).step_by(10) {
        held.retain(|(since_ms, id)| {
            let ended = now_ms >= since_ms + 440;
            if ended {
                permits.return_permit("g", *id);
            }
            !ended
        });
        for (token, id) in granted(&permits.poll(now_ms)) {
            held.push((now_ms, id));
            started.push(token);
        }
        assert!(held.len() <= 4, "at {now_ms} ms");
    }
    // Nine loads a second for four seconds, and at most a full bucket of four more.
    assert!((33..=40).contains(&started.len()), "{}", started.len());
    assert!(started.is_sorted_by(|one, other| one > other), "{started:?}");
}

#[test]
fn the_permit_of_a_dead_gateway_expires() {
    let mut permits = Permits::new(BUDGET, 0);
    for token in 0..5 {
        permits.request(0, token, "dead".into(), 1.0, 60_000);
    }
    for now_ms in (0..1_000).step_by(10) {
        permits.poll(now_ms);
    }
    assert_eq!(permits.in_use(), 4);
    assert!(granted(&permits.poll(9_000)).is_empty());
    assert_eq!(granted(&permits.poll(11_000)).len(), 1);
    // A gateway cannot return the permit of another one.
    let (_, id) = granted(&{
        permits.request(11_200, 9, "mine".into(), 1.0, 1_000);
        permits.poll(11_200)
    })[0];
    permits.return_permit("other", id);
    assert_eq!(permits.in_use(), 2);
}

#[test]
fn a_new_leader_waits_until_the_permits_of_the_previous_one_have_expired() {
    let mut permits = Permits::new(BUDGET, 0);
    permits.take_over(5_000, 2, false);
    permits.request(5_000, 1, "g".into(), 1.0, 1_000);
    assert!(granted(&permits.poll(5_500)).is_empty());
    let denied = permits.poll(6_000);
    assert!(matches!(denied[..], [(1, PermitOutcome::Denied(retry_ms))] if retry_ms >= 8_000));
    permits.request(15_001, 2, "g".into(), 1.0, 1_000);
    assert_eq!(granted(&permits.poll(15_001)).len(), 1);
}

#[test]
fn the_first_leader_of_a_group_does_not_wait() {
    let mut permits = Permits::new(BUDGET, 0);
    permits.take_over(0, 1, true);
    permits.request(0, 1, "g".into(), 1.0, 1_000);
    assert_eq!(granted(&permits.poll(0)).len(), 1);
}
