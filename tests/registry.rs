//! What is replicated of routes, registered endpoints and versions.

use std::sync::Arc;

use winchvane::control::placement::NewCopy;
use winchvane::control::registry::Registry;
use winchvane::message::{Change, NewestVersion, RegisteredEndpoint, WeightsName};
use winchvane::routing::RoutingConfiguration;

fn configuration(version: u64) -> Arc<RoutingConfiguration> {
    Arc::new(RoutingConfiguration { version, ..RoutingConfiguration::default() })
}

fn endpoint(id: &str, port: u16) -> RegisteredEndpoint {
    RegisteredEndpoint {
        id: id.into(),
        service: "quotes".into(),
        address: ([127, 0, 0, 1], port).into(),
        zone: "a".into(),
        slots: 4,
        leaving: false,
    }
}

#[test]
fn the_highest_version_holds_and_others_change_nothing() {
    let mut registry = Registry::default();
    assert_eq!(registry.put_routing(configuration(5), "five".into()).len(), 1);
    assert!(registry.put_routing(configuration(5), "another five".into()).is_empty());
    assert!(registry.put_routing(configuration(4), "four".into()).is_empty());
    assert_eq!(registry.routing_document().map(|document| &**document), Some("five"));
    assert_eq!(registry.put_routing(configuration(9), "nine".into()).len(), 1);
    assert_eq!(registry.routing_version(), 9);
}

#[test]
fn an_incarnation_that_ended_does_not_come_back() {
    let mut registry = Registry::default();
    registry.register(endpoint("one", 7_001));
    assert_eq!(registry.deregister(&"one".into()).len(), 1);
    assert!(registry.register(endpoint("one", 7_001)).is_empty(), "a late heartbeat");
    assert!(registry.endpoints().is_empty());
}

#[test]
fn an_incarnation_that_ended_before_it_was_known_stays_away() {
    let mut registry = Registry::default();
    assert!(registry.deregister(&"one".into()).is_empty());
    assert!(registry.register(endpoint("one", 7_001)).is_empty());
}

#[test]
fn an_address_has_one_holder() {
    let mut registry = Registry::default();
    registry.register(endpoint("one", 7_001));
    let changes = registry.register(endpoint("two", 7_001));
    assert!(matches!(&changes[..], [Change::Deregistered(gone), Change::Registered(new)]
        if &**gone == "one" && &*new.id == "two"));
}

#[test]
fn versions_only_rise() {
    let mut registry = Registry::default();
    let name = WeightsName::new("base", Some("shop"));
    let newest = |version| NewestVersion { name: name.clone(), version };
    assert_eq!(registry.put_version(newest(3)).len(), 1);
    assert!(registry.put_version(newest(2)).is_empty());
    assert_eq!(registry.version(&name), 3);
}

#[test]
fn a_gateway_that_comes_later_is_told_that_a_versions_age_is_not_known() {
    let mut registry = Registry::default();
    let newest = NewestVersion { name: WeightsName::new("base", Some("shop")), version: 3 };
    let named = registry.put_version(newest);
    assert!(matches!(named[..], [Change::Version(_)]), "{named:?}");
    let all = registry.all_changes();
    assert!(matches!(all[..], [Change::VersionOfUnknownAge(_)]), "{all:?}");
}

#[test]
fn copies_of_a_replaced_version_are_forgotten() {
    let mut registry = Registry::default();
    registry.register(endpoint("one", 7_001));
    let name = |adapter| WeightsName::new("base", Some(adapter));
    let copy = |adapter| NewCopy { endpoint: "one".into(), weights: name(adapter) };
    registry.note_copies(vec![copy("shop"), copy("mill")]);
    registry.put_version(NewestVersion { name: name("shop"), version: 2 });
    assert_eq!(registry.copies()["one"], [name("mill")]);
    registry.note_copies(vec![copy("shop")]);
    registry.put_version(NewestVersion { name: name("shop"), version: 2 });
    assert_eq!(registry.copies()["one"].len(), 2, "named again, nothing is replaced");
}
