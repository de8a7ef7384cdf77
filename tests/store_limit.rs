//! Tests of how many loads from the weight store the leader orders.

mod common;

use common::leader::{Leader, adapter, load_of, registered};
use winchvane::control::placement::{
    EndpointState, StoreConcurrencyLimit, StoreLoad, StoreRateLimit,
};
use winchvane::message::{OrderOutcome, OrderResult};

#[test]
fn store_rate_limit_holds_in_any_window_and_across_leaders() {
    let window_ms = 5_000;
    let mut taken: Vec<u64> = Vec::new();
    let mut rate_limit = StoreRateLimit::new(0);
    for now_ms in 0..30_000 {
        if now_ms % 7_000 == 0 {
            rate_limit = StoreRateLimit::new(now_ms);
        }
        rate_limit.set_rate(10.0);
        if rate_limit.take(now_ms) {
            taken.push(now_ms);
        }
    }
    for start_ms in (0..25_000).step_by(100) {
        let within = |at_ms: &&u64| **at_ms >= start_ms && **at_ms < start_ms + window_ms;
        assert!(
            taken.iter().filter(within).count() <= 53,
            "more than 10 loads per second plus a burst of three"
        );
    }
}

#[test]
fn store_limit_converges_to_the_capacity_of_the_store() {
    for (capacity, start) in [(8, 12), (32, 18), (24, 24), (88, 90)] {
        let mut limit = StoreConcurrencyLimit::new();
        limit.raise_initial_limit(start);
        let name = adapter(1);
        for took_ms in [250, 262, 290, 270, 255, 251] {
            limit.record_load(&name, took_ms, 3);
        }
        for _ in 0..60 {
            let concurrent_max = limit.concurrent_max();
            let took_ms = 250 * concurrent_max.max(capacity) as u64 / capacity as u64;
            // Checks for completion are up to a sixth late.
            for late_ms in [0, 21, 41] {
                limit.record_load(&name, took_ms + late_ms, concurrent_max);
            }
        }
        let settled = limit.concurrent_max();
        assert!((capacity..=capacity * 13 / 10 + 1).contains(&settled), "{capacity}: {settled}");
    }
}

#[test]
fn store_limit_does_not_rise_at_low_concurrency() {
    let mut limit = StoreConcurrencyLimit::new();
    limit.raise_initial_limit(24);
    let name = adapter(1);
    for _ in 0..40 {
        limit.record_load(&name, 260, 3);
    }
    assert_eq!(
        limit.concurrent_max(),
        24,
        "three concurrent loads are no evidence for a higher limit"
    );
}

#[test]
fn loads_from_unknown_copies_do_not_lower_the_store_limit() {
    let mut limit = StoreConcurrencyLimit::new();
    limit.raise_initial_limit(24);
    let name = adapter(1);
    // After a change of leader, some loads attributed to the store come from unknown copies.
    for turn in 0..200 {
        let took_ms = if turn % 3 == 0 && turn < 60 { 38 } else { 265 };
        // Concurrency varies with demand.
        let concurrent = if turn % 4 == 0 { 3 } else { limit.concurrent_max() };
        limit.record_load(&name, took_ms, concurrent);
    }
    assert!(limit.concurrent_max() >= 24, "{}", limit.concurrent_max());
    assert!(limit.baseline_ms(&name) > 200);
}

#[test]
fn faster_store_is_detected() {
    let mut leader = Leader::new(64);
    let mut done_after_ms = Vec::new();
    for number in 0..40 {
        // The first loads are slow, all later ones take 250 ms.
        let duration_ms = if number < 6 { 400 } else { 250 };
        leader.heartbeat("e1");
        leader.need(number);
        let mut order = leader.next_order();
        let started_ms = leader.now_ms;
        leader.answer(&order, OrderOutcome::UnderWay);
        loop {
            order = leader.next_order();
            if leader.now_ms >= started_ms + duration_ms {
                break;
            }
            leader.answer(&order, OrderOutcome::UnderWay);
        }
        done_after_ms.push(leader.now_ms - started_ms);
        leader.answer(&order, OrderOutcome::Done);
    }
    let last_ms = done_after_ms[39];
    assert!(last_ms <= 290, "completion was detected late: {done_after_ms:?}");
}

#[test]
fn orders_carried_out_late_do_not_lower_the_store_limit() {
    let mut limit = StoreConcurrencyLimit::new();
    limit.raise_initial_limit(90);
    let name = adapter(1);
    for turn in 0..300 {
        // Engines carry out a third of the orders seconds late.
        let took_ms = if turn % 3 == 2 { 4_000 } else { 260 };
        limit.record_load(&name, took_ms, 40);
    }
    assert_eq!(limit.concurrent_max(), 90, "the store slowed down no load");
}

#[test]
fn load_with_an_unanswered_order_is_not_measured() {
    for (first, is_measured) in [(OrderOutcome::UnderWay, true), (OrderOutcome::Unknown, false)] {
        let mut endpoint = EndpointState::new(0, registered("e1", 7_000));
        let mut placed = Vec::new();
        let mut done = None;
        for (number, outcome) in
            [first, OrderOutcome::UnderWay, OrderOutcome::Done].into_iter().enumerate()
        {
            let (number, now_ms) = (number as u64, number as u64 * 100);
            let store = StoreLoad { expected_ms: 250, concurrent: 1 };
            endpoint.start_order(now_ms, number, &load_of(1), store, &mut placed);
            let result = OrderResult { number, endpoint: "e1".into(), kind: load_of(1), outcome };
            done = endpoint.ordered(now_ms + 50, &result, &mut placed);
        }
        let done = done.expect("the load is completed");
        assert_eq!(
            done.took_ms.is_some(),
            is_measured,
            "the load may have begun long after the order"
        );
    }
}
