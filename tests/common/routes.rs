//! Routing configurations for tests of how they are kept and sent.

use std::sync::Arc;

use winchvane::routing::{Repeat, Route, RoutingConfiguration, Target};

/// A route with a place of its own.
pub fn route(number: u64, timeout_ms: u64) -> Arc<Route> {
    Arc::new(Route {
        name: format!("route-{number}").into(),
        host: "example".into(),
        path_prefix: format!("/{number}/").into(),
        repeat: Repeat::Any,
        streams: false,
        generates: false,
        timeout_ms,
        latency_objective_ms: 100,
        gap_objective_ms: 0,
        priority: 0,
        attempts: 2,
        targets: vec![Target { service: "quotes".into(), weight: 1 }],
        is_public: false,
    })
}

/// A configuration with routes of these numbers and timeouts.
pub fn configuration(
    version: u64,
    routes: impl IntoIterator<Item = (u64, u64)>,
) -> RoutingConfiguration {
    let routes = routes.into_iter().map(|(number, timeout_ms)| route(number, timeout_ms)).collect();
    RoutingConfiguration { version, routes, ..RoutingConfiguration::default() }
}
