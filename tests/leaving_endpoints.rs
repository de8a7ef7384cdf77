//! Endpoint selection with endpoints that announce in answers that they are leaving.

use std::sync::Arc;

use winchvane::message::{Holding, Placed, RegisteredEndpoint, WeightsName};
use winchvane::relay::{Fleet, Picked, PromptChain, Wanted};

const SERVICE: &str = "quotes";

fn endpoint(id: &str, born_ms: u64) -> RegisteredEndpoint {
    RegisteredEndpoint {
        id: RegisteredEndpoint::incarnation_id(id, born_ms),
        name: id.into(),
        born_ms,
        service: SERVICE.into(),
        address: ([127, 0, 0, 1], 7_000 + u16::from(id.as_bytes()[0])).into(),
        zone: "near".into(),
        slots: 64,
        leaving: false,
    }
}

fn fleet(ids: &[&str]) -> Fleet {
    let mut fleet = Fleet::new("near".into(), 1);
    for id in ids {
        fleet.register(endpoint(id, 0));
    }
    fleet
}

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
    // A registration that is not leaving does not override the answer.
    fleet.register(endpoint("a", 0));
    assert!(is_picked(&mut fleet, 60_000, "b"));
    fleet.deregister("b");
    assert_eq!(fleet.pick(60_000, SERVICE, None, &[]), Picked::NoEndpoint);
}

#[test]
fn a_leaving_endpoint_is_reported_as_failing_until_deregistered() {
    let mut fleet = fleet(&["a", "b"]);
    let name = WeightsName::new("base", Some("shop"));
    let placed = Placed { endpoint: "a".into(), name: name.clone(), holding: Holding::Ready(1) };
    fleet.place(false, vec![placed]);
    fleet.mark_leaving(0, &"a".into());
    let wanted = Wanted {
        weights: name,
        priority: 0,
        left_ms: 1_000.0,
        prompt_tokens: 0,
        prompt: PromptChain::default(),
        memory_tokens: 100_000,
    };
    assert_eq!(fleet.pick(0, SERVICE, Some(&wanted), &[]), Picked::NoHome);
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
