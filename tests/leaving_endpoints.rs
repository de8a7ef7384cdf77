//! Endpoint selection with endpoints that announce in responses that they are leaving.

mod common;

use std::sync::Arc;

use common::fleet::{SERVICE, endpoint, fleet, place_adapter, wanted};
use winchvane::relay::{Fleet, Picked};

fn is_picked(fleet: &mut Fleet, now_ms: u64, id: &str) -> bool {
    matches!(fleet.pick(now_ms, SERVICE, None, &[]), Picked::Endpoint { id: to, .. } if *to == *id)
}

#[test]
fn an_endpoint_that_announced_that_it_is_leaving_is_not_picked() {
    let mut fleet = fleet(&["a", "b"]);
    assert!(fleet.mark_leaving(0, &"a".into()));
    assert!(!fleet.mark_leaving(10, &"a".into()), "already leaving");
    for now_ms in (0..60_000).step_by(100) {
        assert!(is_picked(&mut fleet, now_ms, "b"));
    }
    // A registration that is not leaving does not override the response.
    fleet.register(endpoint("a", 0));
    assert!(is_picked(&mut fleet, 60_000, "b"));
    fleet.deregister("b");
    assert_eq!(fleet.pick(60_000, SERVICE, None, &[]), Picked::NoEndpoint);
}

#[test]
fn a_leaving_endpoint_is_reported_as_failing_until_deregistered() {
    let mut fleet = fleet(&["a", "b"]);
    place_adapter(&mut fleet, "a");
    fleet.mark_leaving(0, &"a".into());
    assert_eq!(fleet.pick(0, SERVICE, Some(&wanted()), &[]), Picked::NoHome);
    let failing: Vec<Arc<str>> = vec!["a".into()];
    assert_eq!(fleet.take_traffic(0).failing, failing);
    assert_eq!(fleet.take_traffic(500).failing, []);
    assert_eq!(fleet.take_traffic(1_000).failing, failing, "repeated while registered");
    fleet.deregister("a");
    assert_eq!(fleet.take_traffic(2_000).failing, []);
}

#[test]
fn a_new_incarnation_is_not_leaving() {
    let mut fleet = Fleet::new("near".into(), 1);
    let (first, second) = (endpoint("a", 1), endpoint("a", 2));
    fleet.register(first.clone());
    fleet.mark_leaving(0, &first.id);
    fleet.register(second.clone());
    assert!(is_picked(&mut fleet, 0, &second.id));
    fleet.deregister(&first.id);
    assert!(!fleet.mark_leaving(0, &first.id), "no longer registered");
}

#[test]
fn a_leaving_endpoint_is_picked_again_after_ten_minutes() {
    let mut fleet = fleet(&["a"]);
    fleet.mark_leaving(0, &"a".into());
    assert!(!is_picked(&mut fleet, 599_999, "a"));
    assert!(is_picked(&mut fleet, 600_000, "a"));
}
