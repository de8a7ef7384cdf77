//! A service of engines, as the tests of placement and of order holders configure it.

use winchvane::routing::{EngineSpec, ModelSpec, RequestLimits, RoutingConfiguration, ServiceSpec};

/// One service `quotes` whose engines hold the model `base` and `adapter_places` adapters.
pub fn configuration(adapter_places: usize) -> RoutingConfiguration {
    let model =
        ModelSpec { name: "base".into(), weights_mb: 60_000.0, adapter_mb: 10.0, load_ms: 600 };
    let engine = EngineSpec {
        slots: 8,
        memory_tokens: 100_000,
        adapter_places,
        weights_mb: 66_000.0,
        store_loads_per_s: 10.0,
        models: vec![model],
    };
    let service = ServiceSpec { name: "quotes".into(), connections_max: 100, engine: Some(engine) };
    RoutingConfiguration {
        version: 1,
        routes: Vec::new(),
        services: vec![service],
        limits: RequestLimits::default(),
        workspaces: Vec::new(),
    }
}
