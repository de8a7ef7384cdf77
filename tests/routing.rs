//! Route lookup by host and longest path prefix, API keys, and the faults of invalid
//! configurations.

use std::sync::Arc;

use winchvane::routing::{
    ApiKey, Credential, KeyRefusal, Quota, QuotaUnit, Repeat, RequestLimits, Route, RouteTable,
    RoutingConfiguration, ServiceSpec, Target, Workspace,
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
        routes: routes.into_iter().map(Arc::new).collect(),
        services,
        limits: RequestLimits::default(),
        workspaces: Vec::new(),
    }
}

fn workspace(name: &str, keys: &[&str]) -> Workspace {
    let keys = keys.iter().map(|key| ApiKey::new(key.as_bytes())).collect();
    Workspace { name: name.into(), keys, priority: None, quota: None }
}

fn with_workspaces(workspaces: Vec<Workspace>) -> RoutingConfiguration {
    let mut configuration = configuration(vec![route("a", "/a/", &[("parts", 1)])]);
    configuration.workspaces = workspaces;
    configuration
}

fn key(text: &str) -> Credential {
    Credential::Key(ApiKey::new(text.as_bytes()))
}

#[test]
fn a_key_belongs_to_one_workspace() {
    let valid =
        with_workspaces(vec![workspace("one", &["k1", "k2", "k2"]), workspace("two", &["k3"])]);
    assert_eq!(valid.faults(), Vec::<String>::new());
    let table = RouteTable::new(Arc::new(valid));
    let route = table.find("quotes.example", "/a/x", "r").expect("a route").route;
    let found = |credential| {
        let found = table.authenticate(&route, credential);
        found.map(|workspace| workspace.expect("a key is needed").name.clone())
    };
    assert_eq!(found(key("k2")).as_deref(), Ok("one"));
    assert_eq!(found(key("k3")).as_deref(), Ok("two"));
    assert_eq!(found(key("k")), Err(KeyRefusal::Unknown));
    assert_eq!(found(Credential::Missing), Err(KeyRefusal::Missing));
    assert_eq!(found(Credential::Unreadable), Err(KeyRefusal::Unreadable));
    assert!(!format!("{:?}", key("k2")).contains("k2"), "a key is not printed");
}

#[test]
fn without_workspaces_and_on_public_routes_no_key_is_needed() {
    let table = RouteTable::new(Arc::new(with_workspaces(Vec::new())));
    let mut route = route("a", "/a/", &[("parts", 1)]);
    assert_eq!(table.authenticate(&route, Credential::Missing), Ok(None));
    assert!(!table.needs_key_everywhere());
    let table = RouteTable::new(Arc::new(with_workspaces(vec![workspace("one", &["k1"])])));
    assert!(table.needs_key_everywhere());
    route.is_public = true;
    assert_eq!(table.authenticate(&route, key("unknown")), Ok(None));
}

#[yare::parameterized(
    shared_key = { vec![workspace("one", &["k1"]), workspace("two", &["k1"])], "share a key" },
    same_name = { vec![workspace("one", &["k1"]), workspace("one", &["k2"])], "stands twice" },
    no_name = { vec![workspace("", &["k1"])], "visible ASCII" },
    name_with_a_line_end = { vec![workspace("a\r\nx: y", &["k1"])], "visible ASCII" },
    absurd_rate = { vec![limited(f64::INFINITY)], "no rate" },
)]
fn faults_of_workspaces_are_reported(workspaces: Vec<Workspace>, expected: &str) {
    let faults = with_workspaces(workspaces).faults();
    assert!(faults.iter().any(|fault| fault.contains(expected)), "{faults:?}");
    assert!(faults.iter().all(|fault| !fault.contains("k1")), "a key is printed: {faults:?}");
}

fn limited(rate_per_s: f64) -> Workspace {
    let quota = Some(Quota { unit: QuotaUnit::Requests, rate_per_s, burst: 1.0 });
    Workspace { quota, ..workspace("one", &["k2"]) }
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
fn invalid_configurations_are_reported() {
    let valid = configuration(vec![route("a", "/a/", &[("parts", 1)])]);
    assert!(valid.faults().is_empty());
    let mut no_timeout = valid.clone();
    Arc::make_mut(&mut no_timeout.routes[0]).timeout_ms = 0;
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
