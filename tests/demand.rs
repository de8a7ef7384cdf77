//! The record of demand stays bounded whatever names clients choose.

use winchvane::control::placement::Demand;
use winchvane::message::WeightsName;

const TRACKED_MAX: usize = 100_000;

fn name(number: usize) -> WeightsName {
    WeightsName::new("m", Some(&number.to_string()))
}

#[test]
fn names_that_come_all_at_once_are_tracked_up_to_the_limit() {
    let mut demand = Demand::new();
    demand.add(0, &name(0), 1.0);
    for number in 0..TRACKED_MAX + 1_000 {
        demand.add(1, &name(number), 1.0);
    }
    assert_eq!(demand.tracked(), TRACKED_MAX);
    // Known names are counted on, others are not.
    assert!(demand.recent(1, &name(0)) > 1.5);
    assert!(demand.recent(1, &name(TRACKED_MAX + 1)) < 0.1);
}

#[test]
fn names_that_nobody_asks_for_any_more_make_room() {
    let mut demand = Demand::new();
    for number in 0..TRACKED_MAX {
        demand.add(0, &name(number), 1.0);
    }
    let later_ms = 60_000;
    demand.add(later_ms, &name(TRACKED_MAX), 1.0);
    assert_eq!(demand.tracked(), 1);
    assert!(demand.recent(later_ms, &name(TRACKED_MAX)) > 0.9);
}
