//! The replicated registry: routing configuration, registered endpoints and weight versions.

use std::sync::Arc;

use winchvane::control::placement::{HolderChoice, NewCopy};
use winchvane::control::registry::Registry;
use winchvane::message::{Change, EndpointEnd, NewestVersion, RegisteredEndpoint, WeightsName};
use winchvane::routing::{RoutingConfiguration, ServiceSpec};

fn configuration(version: u64) -> Arc<RoutingConfiguration> {
    Arc::new(RoutingConfiguration { version, ..RoutingConfiguration::default() })
}

fn endpoint(id: &str, port: u16) -> RegisteredEndpoint {
    RegisteredEndpoint {
        id: id.into(),
        name: id.into(),
        born_ms: 0,
        service: "quotes".into(),
        address: ([127, 0, 0, 1], port).into(),
        zone: "a".into(),
        slots: 4,
        leaving: false,
        software_version: "v1".into(),
    }
}

/// The incarnation of `name` with this birth time.
fn incarnation(name: &str, born_ms: u64, port: u16) -> RegisteredEndpoint {
    let id = RegisteredEndpoint::incarnation_id(name, born_ms);
    RegisteredEndpoint { id, born_ms, ..endpoint(name, port) }
}

fn end(name: &str, born_ms: Option<u64>) -> EndpointEnd {
    EndpointEnd { name: name.into(), born_ms }
}

#[test]
fn only_a_higher_routing_version_is_accepted() {
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
    assert_eq!(registry.end(&end("one", None)).len(), 1);
    assert!(registry.register(endpoint("one", 7_001)).is_empty(), "a late heartbeat");
    assert!(registry.endpoints().is_empty());
}

#[test]
fn an_incarnation_that_ended_before_it_was_registered_is_refused() {
    let mut registry = Registry::default();
    assert!(registry.end(&end("one", None)).is_empty());
    assert!(registry.register(endpoint("one", 7_001)).is_empty());
}

#[test]
fn an_address_belongs_to_one_endpoint() {
    let mut registry = Registry::default();
    registry.register(endpoint("one", 7_001));
    let changes = registry.register(endpoint("two", 7_001));
    assert!(matches!(&changes[..], [Change::Deregistered(gone), Change::Registered(new)]
        if &**gone == "one" && &*new.id == "two"));
}

#[test]
fn weight_versions_only_rise() {
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
    registry.record_copies(vec![copy("shop"), copy("mill")]);
    registry.put_version(NewestVersion { name: name("shop"), version: 2 });
    assert_eq!(registry.copies()["one"], [name("mill")]);
    registry.record_copies(vec![copy("shop")]);
    registry.put_version(NewestVersion { name: name("shop"), version: 2 });
    assert_eq!(registry.copies()["one"].len(), 2, "the same version replaces no copies");
}

/// Guards against an endpoint that restarts under its name at another address and is never served
/// again.
#[test]
fn a_restarted_endpoint_replaces_its_former_incarnation() {
    let mut registry = Registry::default();
    registry.register(incarnation("one", 100, 7_001));
    let changes = registry.register(incarnation("one", 200, 7_002));
    assert!(
        matches!(&changes[..], [Change::Deregistered(gone), Change::Registered(new)]
        if &**gone == "one@100" && &*new.id == "one@200"),
        "{changes:?}"
    );
    assert!(registry.register(incarnation("one", 100, 7_001)).is_empty(), "a late heartbeat");
    assert_eq!(registry.named("one"), Some(&incarnation("one", 200, 7_002)));
}

#[test]
fn an_endpoint_that_left_comes_back_as_another_incarnation() {
    let mut registry = Registry::default();
    registry.register(incarnation("one", 100, 7_001));
    assert_eq!(registry.end(&end("one", Some(100))).len(), 1);
    assert!(registry.register(incarnation("one", 100, 7_001)).is_empty(), "a late heartbeat");
    assert_eq!(registry.register(incarnation("one", 200, 7_001)).len(), 1);
    assert!(
        registry.end(&end("one", Some(100))).is_empty(),
        "a late end of the previous incarnation"
    );
    assert_eq!(registry.named("one"), Some(&incarnation("one", 200, 7_001)));
    assert_eq!(registry.end(&end("one", None)).len(), 1, "the registered incarnation");
}

#[test]
fn a_restarted_endpoint_keeps_the_gateway_that_orders_it() {
    let mut registry = Registry::default();
    registry.register(incarnation("one", 100, 7_001));
    let address = incarnation("one", 100, 7_001).address;
    registry.choose_holders(9, vec![HolderChoice { address, gateway: "g-1".into() }]);
    registry.register(incarnation("one", 200, 7_002));
    let holder = registry.order_holders().get(&incarnation("one", 200, 7_002).address);
    assert_eq!(holder.map(|holder| (&*holder.gateway, holder.token)), Some(("g-1", 9)));
}

/// Other writers may register endpoints of services that are not configured, possibly at an address
/// that is in use.
#[test]
fn an_endpoint_of_an_unknown_service_ends_no_configured_one() {
    let mut registry = Registry::default();
    let service = ServiceSpec { name: "quotes".into(), connections_max: 9, engine: None };
    let configuration =
        RoutingConfiguration { version: 1, services: vec![service], ..Default::default() };
    registry.put_routing(Arc::new(configuration), "one".into());
    registry.register(incarnation("one", 100, 7_001));
    for foreign in [
        incarnation("two", 300, 7_001),
        incarnation("one", 300, 7_009),
        incarnation("one", 100, 7_001),
    ] {
        let foreign = RegisteredEndpoint { service: "unheard-of".into(), ..foreign };
        assert!(registry.register(foreign).is_empty());
    }
    assert_eq!(registry.named("one"), Some(&incarnation("one", 100, 7_001)));
}

#[test]
fn an_endpoint_is_found_by_its_name_whatever_others_are_called() {
    let mut registry = Registry::default();
    for (number, name) in ["one", "one-1", "one1", "on", "two", "one@"].iter().enumerate() {
        registry.register(incarnation(name, 1_700_000_000_000, 7_001 + number as u16));
    }
    registry.register(incarnation("none", 0, 7_100));
    registry.register(incarnation("one@1", 0, 7_101));
    for name in ["one", "one-1", "one1", "on", "two", "one@", "none"] {
        assert_eq!(registry.named(name).map(|endpoint| &*endpoint.name), Some(name));
    }
    assert_eq!(registry.named("three"), None);
    assert_eq!(registry.named("o"), None);
}
