//! Lookup of the route of a request and of the workspace of an API key.

use std::collections::HashMap;
use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64;

use super::{ApiKey, Credential, Route, RoutingConfiguration, ServiceSpec, Workspace};

/// A configuration indexed for lookups.
#[derive(Debug, Default)]
pub struct RouteTable {
    version: u64,
    by_host: HashMap<Arc<str>, HashMap<Arc<str>, Arc<Route>>>,
    services: HashMap<Arc<str>, Arc<ServiceSpec>>,
    workspaces: HashMap<ApiKey, Arc<Workspace>>,
    configuration: Arc<RoutingConfiguration>,
}

/// Why the API key of a request is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyRefusal {
    /// The request has no key.
    Missing,
    /// The request has several keys or one that cannot be parsed.
    Unreadable,
    /// No workspace has the key.
    Unknown,
}

/// The result of a route lookup.
#[derive(Debug, Clone)]
pub struct RouteMatch {
    /// The route of the request.
    pub route: Arc<Route>,
    /// The service selected among the route's targets.
    pub service: Arc<ServiceSpec>,
}

impl RouteTable {
    /// Creates the table of `configuration`.
    pub fn new(configuration: Arc<RoutingConfiguration>) -> Self {
        let mut by_host: HashMap<Arc<str>, HashMap<Arc<str>, Arc<Route>>> = HashMap::new();
        for route in &configuration.routes {
            let prefixes = by_host.entry(lowercase(&route.host)).or_default();
            prefixes.insert(route.path_prefix.clone(), route.clone());
        }
        let mut services = HashMap::new();
        for service in &configuration.services {
            services.insert(service.name.clone(), Arc::new(service.clone()));
        }
        let mut workspaces = HashMap::new();
        for workspace in &configuration.workspaces {
            let shared = Arc::new(workspace.clone());
            for key in &workspace.keys {
                workspaces.insert(*key, shared.clone());
            }
        }
        Self { version: configuration.version, by_host, services, workspaces, configuration }
    }

    /// The version in force; 0 if there is none.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The configuration of this table.
    pub fn configuration(&self) -> &Arc<RoutingConfiguration> {
        &self.configuration
    }

    /// Returns true if the endpoints of `service` are engines.
    pub fn is_engine(&self, service: &str) -> bool {
        let services = &self.configuration.services;
        services.iter().any(|spec| &*spec.name == service && spec.engine.is_some())
    }

    /// Returns true if requests on `route` need an API key.
    pub fn needs_key(&self, route: &Route) -> bool {
        !route.is_public && !self.configuration.workspaces.is_empty()
    }

    /// Returns true if there are routes and all of them need an API key.
    pub fn needs_key_everywhere(&self) -> bool {
        let routes = &self.configuration.routes;
        !routes.is_empty() && routes.iter().all(|route| self.needs_key(route))
    }

    /// The workspace of the API key of a request on `route`; `None` if the route needs no key.
    ///
    /// # Errors
    /// The key is missing or invalid.
    pub fn authenticate(
        &self,
        route: &Route,
        credential: Credential,
    ) -> Result<Option<Arc<Workspace>>, KeyRefusal> {
        if !self.needs_key(route) {
            return Ok(None);
        }
        match credential {
            Credential::Missing => Err(KeyRefusal::Missing),
            Credential::Unreadable => Err(KeyRefusal::Unreadable),
            Credential::Key(key) => {
                let workspace = self.workspaces.get(&key).ok_or(KeyRefusal::Unknown)?;
                Ok(Some(workspace.clone()))
            }
        }
    }

    /// The route with the longest prefix of `path`, and the service for the request with
    /// `request_id`.
    ///
    /// The service is selected by a hash of the id, so that all gateways send a request to the same
    /// service.
    pub fn find(&self, host: &str, path: &str, request_id: &str) -> Option<RouteMatch> {
        let route = self.find_route(host, path)?;
        let service = select_target(&route, request_id)?;
        let service = self.services.get(service)?.clone();
        Some(RouteMatch { route, service })
    }

    /// The service `name` if it is a target of `route`.
    pub fn target(&self, route: &Route, name: &str) -> Option<Arc<ServiceSpec>> {
        let target = route.targets.iter().find(|target| &*target.service == name)?;
        self.services.get(&target.service).cloned()
    }

    fn find_route(&self, host: &str, path: &str) -> Option<Arc<Route>> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name).to_ascii_lowercase();
        let prefixes = self.by_host.get(host.as_str())?;
        for (position, byte) in path.bytes().enumerate().rev() {
            if byte != b'/' {
                continue;
            }
            if let Some(route) = prefixes.get(&path[..=position]) {
                return Some(route.clone());
            }
        }
        None
    }
}

fn lowercase(host: &Arc<str>) -> Arc<str> {
    if host.bytes().any(|byte| byte.is_ascii_uppercase()) {
        return host.to_ascii_lowercase().into();
    }
    host.clone()
}

fn select_target<'a>(route: &'a Route, request_id: &str) -> Option<&'a Arc<str>> {
    if let [only] = route.targets.as_slice() {
        return Some(&only.service);
    }
    let total: u64 = route.targets.iter().map(|target| u64::from(target.weight)).sum();
    let mut point = xxh3_64(request_id.as_bytes()) % total.max(1);
    for target in &route.targets {
        let weight = u64::from(target.weight);
        if point < weight {
            return Some(&target.service);
        }
        point -= weight;
    }
    None
}
