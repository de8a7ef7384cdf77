//! Guards against kept changes that take more memory with each change: a replica kept each version of a
//! large configuration for followers that are behind.

#[path = "common/routes.rs"]
mod routes;

use std::sync::Arc;

use routes::configuration;
use winchvane::control::history::RecentChanges;
use winchvane::message::{Change, NewestVersion, WeightsName};

const HISTORY_MAX_BYTES: u64 = 8_000_000;
const ROUTES: u64 = 5_600;

fn routing(version: u64, routes: u64) -> Change {
    let routes = (0..routes).map(|number| (number, 1_000 + version));
    Change::Routing(Arc::new(configuration(version, routes)))
}

fn version(adapter: &str, version: u64) -> Change {
    Change::Version(NewestVersion { name: WeightsName::new("m", Some(adapter)), version })
}

/// The versions of the configuration and of weights in changes, in order.
fn versions(changes: Option<Vec<Change>>) -> Vec<u64> {
    let mut versions = Vec::new();
    for change in changes.expect("the changes are kept") {
        match change {
            Change::Routing(configuration) => versions.push(configuration.version),
            Change::Version(newest) => versions.push(newest.version),
            change => panic!("unexpected {change:?}"),
        }
    }
    versions
}

#[test]
fn many_versions_of_a_large_configuration_take_no_more_memory_than_one() {
    let mut history = RecentChanges::new(0, HISTORY_MAX_BYTES);
    history.push(1, vec![routing(1, ROUTES)]);
    let one_bytes = history.size_bytes();
    for index in 2..=100 {
        history.push(index, vec![routing(index, ROUTES)]);
    }
    assert!(history.size_bytes() <= one_bytes * 11 / 10, "{} bytes", history.size_bytes());
}

#[test]
fn a_follower_a_little_behind_gets_what_it_misses_and_the_newest_configuration_once() {
    let mut history = RecentChanges::new(10, HISTORY_MAX_BYTES);
    for index in 11..=20 {
        history.push(index, vec![routing(100 + index, 5)]);
    }
    history.push(21, vec![version("a", 3)]);
    history.push(22, vec![version("b", 4)]);
    history.push(23, vec![version("a", 5)]);
    assert_eq!(versions(history.since(10)), [120, 4, 5]);
    assert_eq!(versions(history.since(19)), [120, 4, 5]);
    assert_eq!(versions(history.since(20)), [4, 5]);
    assert_eq!(versions(history.since(22)), [5]);
    assert!(versions(history.since(23)).is_empty());
    assert!(history.since(9).is_none(), "what came before is not known");
}

#[test]
fn a_removal_takes_the_place_of_what_it_removes() {
    let mut history = RecentChanges::new(0, HISTORY_MAX_BYTES);
    history.push(1, vec![Change::ServiceRetired("s".into())]);
    let one_bytes = history.size_bytes();
    for index in 2..=100 {
        history.push(index, vec![Change::ServiceRetired("s".into())]);
    }
    assert_eq!(history.size_bytes(), one_bytes);
    assert_eq!(history.since(0).map(|changes| changes.len()), Some(1));
}

#[test]
fn items_beyond_the_bound_are_forgotten_from_the_oldest_on() {
    let mut history = RecentChanges::new(0, 10_000);
    for index in 1..=1_000 {
        history.push(index, vec![version(&format!("adapter-{index}"), index)]);
        assert!(history.size_bytes() <= 10_000);
    }
    assert!(history.since(500).is_none());
    assert_eq!(versions(history.since(998)), [999, 1_000]);
}

#[test]
fn a_change_larger_than_the_bound_is_not_kept() {
    let mut history = RecentChanges::new(0, 10_000);
    history.push(1, vec![version("a", 1)]);
    history.push(2, vec![routing(1, ROUTES)]);
    assert_eq!(history.size_bytes(), 0);
    assert!(history.since(1).is_none(), "followers get the whole state");
    assert!(versions(history.since(2)).is_empty());
}
