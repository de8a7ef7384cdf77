//! Endpoint selection with endpoints that refuse requests and ask for backoff.

mod common;

use std::sync::Arc;

use common::fleet::{SERVICE, endpoint, fleet, place_adapter, wanted};
use winchvane::policy::endpoint_backoff::EndpointBackoff;
use winchvane::relay::{Fleet, Picked, RateLimit};
use yare::parameterized;

const TEN_DAYS_MS: u64 = 10 * 24 * 3_600 * 1_000;

fn picked(fleet: &mut Fleet, now_ms: u64) -> Option<String> {
    match fleet.pick(now_ms, SERVICE, None, &[]) {
        Picked::Endpoint { id, .. } => Some(id.to_string()),
        _ => None,
    }
}

#[test]
fn an_endpoint_receives_no_requests_during_its_backoff() {
    let mut fleet = fleet(&["a", "b"]);
    assert!(fleet.start_backoff(0, "a", 3_000));
    for now_ms in (0..3_000).step_by(10) {
        assert_eq!(picked(&mut fleet, now_ms).as_deref(), Some("b"));
    }
    let id: Arc<str> = "a".into();
    let number = fleet.start(3_000, &id, None, false);
    fleet.answered(3_100, &id, number);
    fleet.finish(3_200, &id, None, number);
    let mut to_a = 0;
    for now_ms in (3_200..4_200).step_by(10) {
        to_a += usize::from(picked(&mut fleet, now_ms).as_deref() == Some("a"));
    }
    assert!(to_a > 20, "{to_a} of 100 requests after the backoff");
}

#[test]
fn single_probes_are_sent_after_the_backoff_until_one_is_accepted() {
    let mut backoff = EndpointBackoff::default();
    assert_eq!(backoff.wait_ms(0), 0);
    assert!(backoff.start(0, 1_000));
    assert!(!backoff.start(100, 500), "the backoff has already started");
    assert_eq!(backoff.wait_ms(100), 900, "a shorter backoff does not replace a longer one");
    assert!(!backoff.note_accepted(500), "the request was sent before the backoff");
    assert_eq!(backoff.wait_ms(1_000), 0);
    backoff.note_sent(1_000);
    assert_eq!(backoff.wait_ms(1_000), 500, "the next probe is sent after an interval");
    assert!(backoff.note_accepted(1_100));
    assert_eq!(backoff.wait_ms(1_100), 0);
}

#[test]
fn a_pick_with_only_endpoints_in_backoff_returns_the_retry_delay() {
    let mut fleet = fleet(&["a", "b"]);
    fleet.start_backoff(0, "a", 3_000);
    fleet.start_backoff(0, "b", 2_000);
    assert_eq!(fleet.pick(0, SERVICE, None, &[]), Picked::BackingOff { after_ms: 2_000 });
    fleet.note_limit(500, &"b".into(), 500, RateLimit::PerSecond(0.1));
    let picked = fleet.pick(500, SERVICE, None, &[]);
    assert_eq!(
        picked,
        Picked::BackingOff { after_ms: 2_500 },
        "the limit of b delays it beyond the backoff of a"
    );
}

#[test]
fn an_adapter_whose_only_home_asked_for_backoff_is_requested_elsewhere() {
    let mut fleet = fleet(&["a", "b"]);
    place_adapter(&mut fleet, "a");
    fleet.start_backoff(0, "a", 3_000);
    assert_eq!(fleet.pick(0, SERVICE, Some(&wanted()), &[]), Picked::NoHome);
    let failing: Vec<Arc<str>> = vec!["a".into()];
    assert_eq!(fleet.take_traffic(0).failing, failing);
}

#[test]
fn a_new_incarnation_starts_without_a_backoff() {
    let mut fleet = Fleet::new("near".into(), 1);
    let (first, second) = (endpoint("a", 1), endpoint("a", 2));
    fleet.register(first.clone());
    fleet.start_backoff(0, &first.id, TEN_DAYS_MS);
    fleet.register(second.clone());
    fleet.deregister(&first.id);
    assert_eq!(picked(&mut fleet, 0).as_deref(), Some(&*second.id));
    assert!(!fleet.start_backoff(0, &first.id, 1_000), "it is deregistered");
}

#[parameterized(
    none = { 0, 0 },
    three_seconds = { 3_000, 3_000 },
    ten_days = { TEN_DAYS_MS, 600_000 },
    max = { u64::MAX, 600_000 },
)]
fn an_extreme_backoff_does_not_disable_an_endpoint(asked_ms: u64, expected_ms: u64) {
    let mut backoff = EndpointBackoff::default();
    backoff.start(0, asked_ms);
    assert_eq!(backoff.wait_ms(0), expected_ms);
}
