//! Routing configuration: routes by host and path, the services behind them, and workspaces.
//!
//! One version covers the whole [`RoutingConfiguration`]. The highest version is in force; a lower
//! or equal one changes nothing. Each service is a set of endpoints that register themselves; the
//! configuration of an engine service contains the capacity of its endpoints.

mod size;
mod table;
mod update;
mod workspace;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

pub use table::{KeyRefusal, RouteMatch, RouteTable};
pub use update::RoutingUpdate;
pub use workspace::{ApiKey, Credential, Quota, QuotaUnit, Workspace};

pub(crate) use size::string_bytes;

use crate::message::WeightsName;

/// The maximum time in a route, 34 years: sums with the current time and products with percentages
/// stay far within a `u64`.
const TIME_MAX_MS: u64 = 1 << 40;

/// The maximum rate or burst of a quota: integers up to it, and their sums, are exact in an `f64`.
const UNITS_MAX: f64 = 1e15;

/// A complete configuration under one version.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct RoutingConfiguration {
    /// The version; the highest one is in force.
    pub version: u64,
    /// The routes.
    pub routes: Vec<Arc<Route>>,
    /// The services that routes name.
    pub services: Vec<ServiceSpec>,
    /// Limits on client requests.
    pub limits: RequestLimits,
    /// The workspaces whose requests are served; if there are none, all requests are served.
    pub workspaces: Vec<Workspace>,
}

/// What may be repeated when a request fails.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Repeat {
    /// The request may run any number of times.
    Any,
    /// The request runs at most once.
    Once,
    /// The request is a stream that runs at most once but may be resumed at another endpoint after
    /// its last event.
    Resume,
}

/// A route.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// The operator's name for the route.
    pub name: Arc<str>,
    /// The host that requests name.
    pub host: Arc<str>,
    /// The prefix of the path; starts and ends with a slash.
    pub path_prefix: Arc<str>,
    /// What may be repeated when a request fails.
    pub repeat: Repeat,
    /// True if responses are event streams.
    pub streams: bool,
    /// True if requests name a model and contain the parts of their prompt.
    pub generates: bool,
    /// The maximum time that a request may take.
    pub timeout_ms: u64,
    /// The latency objective for a response, or for the first event of a stream.
    pub latency_objective_ms: u64,
    /// The latency objective for the pause between two events of a stream.
    pub gap_objective_ms: u64,
    /// The priority; 0 goes first.
    pub priority: u8,
    /// The maximum number of endpoints that one request is sent to.
    pub attempts: u32,
    /// The services that share the route's requests.
    pub targets: Vec<Target>,
    /// True if requests need no API key.
    pub is_public: bool,
}

/// A service's share of a route.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Target {
    /// The name of the service.
    pub service: Arc<str>,
    /// The weight among the route's targets.
    pub weight: u32,
}

/// A set of endpoints.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceSpec {
    /// The name.
    pub name: Arc<str>,
    /// The maximum number of connections of all gateways together to one endpoint.
    pub connections_max: u32,
    /// The capacity of each endpoint, if the endpoints are engines.
    pub engine: Option<EngineSpec>,
}

/// The capacity of the engines of a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EngineSpec {
    /// The number of requests that run at once.
    pub slots: u32,
    /// The number of tokens that fit in an engine's memory.
    pub memory_tokens: u64,
    /// The number of adapters that fit at once.
    pub adapter_places: usize,
    /// The memory for weights and adapters together.
    pub weights_mb: f64,
    /// The rate of loads from the weight store that all endpoints together may start.
    pub store_loads_per_s: f64,
    /// The base models.
    pub models: Vec<ModelSpec>,
}

/// A base model.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ModelSpec {
    /// The name.
    pub name: Arc<str>,
    /// The size of its weights.
    pub weights_mb: f64,
    /// The size of one of its adapters.
    pub adapter_mb: f64,
    /// The time to load its weights from the store.
    pub load_ms: u64,
}

/// Limits on client requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestLimits {
    /// The maximum size of all headers together.
    pub header_max_bytes: usize,
    /// The maximum size of the body.
    pub body_max_bytes: usize,
    /// The maximum time for the headers to arrive.
    pub header_timeout_ms: u64,
    /// The maximum time that a connection may be idle.
    pub idle_timeout_ms: u64,
}

impl Default for RequestLimits {
    // These limits apply until the first configuration arrives.
    fn default() -> Self {
        Self {
            header_max_bytes: 16 << 10,
            body_max_bytes: 4 << 20,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}

impl EngineSpec {
    /// The memory that `name` needs; 0 for weights that the service does not declare.
    pub fn size_mb(&self, name: &WeightsName) -> f64 {
        let model = self.models.iter().find(|model| model.name == name.model);
        model.map_or(0.0, |model| match name.adapter {
            Some(_) => model.adapter_mb,
            None => model.weights_mb,
        })
    }
}

impl RoutingConfiguration {
    /// The faults for which this configuration is rejected, in the order of its routes.
    pub fn faults(&self) -> Vec<String> {
        let mut faults = Vec::new();
        let mut services = BTreeSet::new();
        for service in &self.services {
            if !services.insert(&service.name) {
                faults.push(format!("service {} stands twice", service.name));
            }
        }
        let mut places = BTreeSet::new();
        for route in &self.routes {
            let Route { name, host, path_prefix, .. } = &**route;
            if !path_prefix.starts_with('/') || !path_prefix.ends_with('/') {
                faults.push(format!("route {name}: prefix {path_prefix} needs slashes around it"));
            }
            if !places.insert((host, path_prefix)) {
                faults.push(format!("route {name}: {host}{path_prefix} has a route already"));
            }
            if route.timeout_ms == 0 {
                faults.push(format!("route {name}: the timeout is 0"));
            }
            let times_ms = [route.timeout_ms, route.latency_objective_ms, route.gap_objective_ms];
            if times_ms.iter().any(|time_ms| *time_ms > TIME_MAX_MS) {
                faults.push(format!("route {name}: a time is above {TIME_MAX_MS} ms"));
            }
            if route.targets.iter().map(|target| u64::from(target.weight)).sum::<u64>() == 0 {
                faults.push(format!("route {name}: the weights add up to 0"));
            }
            for target in &route.targets {
                if !services.contains(&target.service) {
                    faults.push(format!("route {name}: there is no service {}", target.service));
                }
            }
        }
        self.add_workspace_faults(&mut faults);
        faults
    }

    fn add_workspace_faults(&self, faults: &mut Vec<String>) {
        let mut names = BTreeSet::new();
        let mut holders = BTreeMap::new();
        for workspace in &self.workspaces {
            let name = &workspace.name;
            if !names.insert(name) {
                faults.push(format!("workspace {name} stands twice"));
            }
            if name.is_empty() || !name.bytes().all(|byte| byte.is_ascii_graphic()) {
                faults.push(format!("workspace {name:?}: a name is of visible ASCII characters"));
            }
            for key in &workspace.keys {
                let holder = holders.insert(*key, name);
                if let Some(holder) = holder.filter(|holder| *holder != name) {
                    faults.push(format!("workspaces {holder} and {name} share a key"));
                }
            }
            let Some(quota) = workspace.quota else { continue };
            for amount in [quota.rate_per_s, quota.burst] {
                if !(0.0..=UNITS_MAX).contains(&amount) {
                    faults.push(format!("workspace {name}: {amount} is no rate and no burst"));
                }
            }
        }
    }

    /// The service called `name`.
    pub fn service(&self, name: &str) -> Option<&ServiceSpec> {
        self.services.iter().find(|service| &*service.name == name)
    }
}
