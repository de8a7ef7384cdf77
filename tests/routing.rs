//! Routes by host and longest path prefix, and what makes a configuration invalid.

use std::sync::Arc;

use winchvane::routing::{
    Repeat, RequestLimits, Route, RouteTable, RoutingConfiguration, ServiceSpec, Target,
};

fn route(name: &str, prefix: &str, targets: &[(&str, u32)]) -> Route {
    let mut shares = Vec::new();
    for (service, weight) in targets {
        shares.push(Target { service: (*service).into(), weight: *weight });
    }
    Route {
        name: name.into(),
        host: "Quotes.example".into(),
        path_prefix: prefix.into(),
        repeat: Repeat::Once,
        streams: false,
        generates: false,
        timeout_ms: 1_000,
        latency_objective_ms: 200,
        gap_objective_ms: 0,
        priority: 0,
        attempts: 1,
        targets: shares,
        is_public: false,
    }
}

fn configuration(routes: Vec<Route>) -> RoutingConfiguration {
    let mut services = Vec::new();
    for name in ["parts", "stock"] {
        services.push(ServiceSpec { name: name.into(), connections_max: 10, engine: None });
    }
    RoutingConfiguration {
        version: 3,
        routes,
        services,
        limits: RequestLimits::default(),
        workspaces: Vec::new(),
    }
}

fn name_found(table: &RouteTable, host: &str, path: &str) -> Option<Arc<str>> {
    table.find(host, path, "request-1").map(|chosen| chosen.route.name.clone())
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let routes = vec![route("all", "/", &[("parts", 1)]), route("one", "/a/b/", &[("stock", 1)])];
    let table = RouteTable::new(Arc::new(configuration(routes)));
    assert_eq!(name_found(&table, "quotes.example", "/a/b/c").as_deref(), Some("one"));
    assert_eq!(name_found(&table, "QUOTES.example:80", "/a/b/").as_deref(), Some("one"));
    assert_eq!(name_found(&table, "quotes.example", "/a/bc/d").as_deref(), Some("all"));
    assert_eq!(name_found(&table, "other.example", "/a/b/c"), None);
}

#[test]
fn shares_of_a_route_follow_its_weights() {
    let routes = vec![route("split", "/", &[("parts", 90), ("stock", 10)])];
    let table = RouteTable::new(Arc::new(configuration(routes)));
    let mut to_stock = 0;
    for number in 0..10_000 {
        let chosen = table.find("quotes.example", "/x", &format!("r{number}")).expect("a route");
        to_stock += u32::from(&*chosen.service.name == "stock");
    }
    assert!((800..1_200).contains(&to_stock), "{to_stock} of 10000 for a share of a tenth");
}

#[test]
fn what_is_invalid_is_told() {
    let valid = configuration(vec![route("a", "/a/", &[("parts", 1)])]);
    assert!(valid.faults().is_empty());
    let mut no_timeout = valid.clone();
    no_timeout.routes[0].timeout_ms = 0;
    let cases = [
        (no_timeout, "timeout"),
        (configuration(vec![route("a", "/a/", &[("nobody", 1)])]), "no service nobody"),
        (configuration(vec![route("a", "/a/", &[("parts", 0)])]), "weights"),
        (configuration(vec![route("a", "/a/", &[])]), "weights"),
        (configuration(vec![route("a", "a", &[("parts", 1)])]), "slashes"),
        (
            configuration(vec![
                route("a", "/a/", &[("parts", 1)]),
                route("b", "/a/", &[("stock", 1)]),
            ]),
            "has a route already",
        ),
    ];
    for (configuration, expected) in cases {
        let faults = configuration.faults();
        assert!(faults.iter().any(|fault| fault.contains(expected)), "{expected}: {faults:?}");
    }
}
