//! Endpoint selection with endpoints that advertise rate limits.

mod common;

use std::sync::Arc;

use common::fleet::{SERVICE, endpoint, fleet, place_adapter, wanted};
use winchvane::relay::{Fleet, LimitChange, Picked, RateLimit};
use yare::parameterized;

fn note_limit(
    fleet: &mut Fleet,
    now_ms: u64,
    id: &str,
    rate_limit: RateLimit,
) -> Option<LimitChange> {
    fleet.note_limit(now_ms, &id.into(), now_ms, rate_limit)
}

/// Sends a request every 10 ms from `from_ms` to `until_ms`; returns how many go to `id`.
fn count_picked(fleet: &mut Fleet, id: &str, from_ms: u64, until_ms: u64) -> usize {
    let mut picked = 0;
    for now_ms in (from_ms..until_ms).step_by(10) {
        let to = fleet.pick(now_ms, SERVICE, None, &[]);
        picked += usize::from(matches!(to, Picked::Endpoint { id: to, .. } if *to == *id));
    }
    picked
}

#[test]
fn an_endpoint_gets_no_more_than_its_limit_and_the_others_the_rest() {
    let mut fleet = fleet(&["a", "b"]);
    assert!(count_picked(&mut fleet, "a", 0, 4_000) > 100);
    let change = note_limit(&mut fleet, 4_000, "a", RateLimit::PerSecond(2.0));
    assert_eq!(change, Some(LimitChange::Set { per_s: 2.0 }));
    let to_a = count_picked(&mut fleet, "a", 4_000, 8_000);
    assert!((6..=12).contains(&to_a), "{to_a} requests in 4 s");
    let to_b = count_picked(&mut fleet, "b", 8_000, 9_000);
    assert!((97..=99).contains(&to_b), "{to_b} of 100 requests");
}

#[test]
fn a_pick_with_only_limited_endpoints_returns_the_retry_delay() {
    let mut fleet = fleet(&["a"]);
    note_limit(&mut fleet, 0, "a", RateLimit::PerSecond(2.0));
    assert_eq!(fleet.pick(0, SERVICE, None, &[]), Picked::Limited { after_ms: 500 });
    assert_eq!(fleet.pick_again(200, SERVICE, None, &[]), Picked::Limited { after_ms: 300 });
    assert!(matches!(fleet.pick_again(500, SERVICE, None, &[]), Picked::Endpoint { .. }));
    assert!(matches!(fleet.pick(501, SERVICE, None, &[]), Picked::Limited { .. }));
}

#[test]
fn an_adapter_whose_only_home_is_limited_is_requested_elsewhere() {
    let mut fleet = fleet(&["a", "b"]);
    place_adapter(&mut fleet, "a");
    note_limit(&mut fleet, 0, "a", RateLimit::PerSecond(2.0));
    assert_eq!(fleet.pick(0, SERVICE, Some(&wanted()), &[]), Picked::NoHome);
    let failing: Vec<Arc<str>> = vec!["a".into()];
    assert_eq!(
        fleet.take_traffic(0).failing,
        failing,
        "the leader must place the adapter elsewhere"
    );
    fleet.pick(300, SERVICE, Some(&wanted()), &[]);
    assert_eq!(fleet.take_traffic(300).failing, [], "it was reported less than a second ago");
    fleet.deregister("b");
    let picked = fleet.pick(400, SERVICE, Some(&wanted()), &[]);
    assert!(matches!(picked, Picked::Limited { .. }), "no other endpoint can load it: {picked:?}");
}

#[test]
fn a_new_incarnation_starts_without_a_limit() {
    let mut fleet = Fleet::new("near".into(), 1);
    let (first, second) = (endpoint("a", 1), endpoint("a", 2));
    fleet.register(first.clone());
    note_limit(&mut fleet, 0, &first.id, RateLimit::PerSecond(0.0));
    fleet.register(second.clone());
    fleet.deregister(&first.id);
    assert_eq!(count_picked(&mut fleet, &second.id, 0, 100), 10);
    assert_eq!(
        note_limit(&mut fleet, 100, &first.id, RateLimit::PerSecond(1.0)),
        None,
        "it is deregistered"
    );
}

#[test]
fn a_limit_ends_with_the_first_answer_without_one_to_a_later_request() {
    let mut fleet = fleet(&["a"]);
    let id: Arc<str> = "a".into();
    fleet.note_limit(1_000, &id, 900, RateLimit::PerSecond(2.0));
    assert_eq!(
        fleet.note_limit(1_010, &id, 950, RateLimit::None),
        None,
        "sent before the limit was advertised"
    );
    assert_eq!(fleet.note_limit(1_100, &id, 1_000, RateLimit::None), Some(LimitChange::Ended));
    assert_eq!(count_picked(&mut fleet, "a", 1_100, 1_200), 10);
}

#[parameterized(
    zero = { RateLimit::PerSecond(0.0), 1..=3 },
    tiny = { RateLimit::PerSecond(1e-300), 1..=3 },
    huge = { RateLimit::PerSecond(1e308), 1_990..=2_000 },
    unreadable = { RateLimit::Unreadable, 2_000..=2_000 },
)]
fn an_extreme_limit_does_not_disable_an_endpoint(
    rate_limit: RateLimit,
    expected: std::ops::RangeInclusive<usize>,
) {
    let mut fleet = fleet(&["a"]);
    note_limit(&mut fleet, 0, "a", rate_limit);
    let to_a = count_picked(&mut fleet, "a", 0, 20_000);
    assert!(expected.contains(&to_a), "{to_a} requests in 20 s");
}

#[test]
fn gateways_report_their_demand_while_an_endpoint_is_limited() {
    let mut fleet = fleet(&["a", "b"]);
    count_picked(&mut fleet, "a", 0, 1_000);
    let demand = |fleet: &mut Fleet, now_ms| {
        let loads = fleet.take_traffic(now_ms).loads;
        loads.iter().find(|load| &*load.endpoint == "a").map(|load| load.load.demand_per_min)
    };
    assert_eq!(demand(&mut fleet, 1_000), None);
    note_limit(&mut fleet, 1_000, "a", RateLimit::PerSecond(2.0));
    count_picked(&mut fleet, "a", 1_000, 9_000);
    let reported = demand(&mut fleet, 9_000).expect("the demand has changed");
    assert!((5_000..=7_000).contains(&reported), "{reported} per minute at 100 per second");
    note_limit(&mut fleet, 9_000, "a", RateLimit::None);
    assert_eq!(demand(&mut fleet, 9_000), Some(0), "the limit has ended");
}
