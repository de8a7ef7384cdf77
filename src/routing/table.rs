//! Finding the route of a request.

use std::collections::HashMap;
use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64;

use super::{ApiKey, Credential, Route, RoutingConfiguration, ServiceSpec, Workspace};

/// A configuration arranged for lookups.
#[derive(Debug, Default)]
pub struct RouteTable {
    version: u64,
    by_host: HashMap<Arc<str>, HashMap<Arc<str>, Arc<Route>>>,
    services: HashMap<Arc<str>, Arc<ServiceSpec>>,
    workspaces: HashMap<ApiKey, Arc<Workspace>>,
    configuration: Arc<RoutingConfiguration>,
}

/// Why a request's key does not let it in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyRefusal {
    /// It carries none.
    Missing,
    /// What it carries cannot be read as one key.
    Unreadable,
    /// No workspace has it.
    Unknown,
}

/// Where a request goes.
#[derive(Debug, Clone)]
pub struct RouteMatch {
    /// Its route.
    pub route: Arc<Route>,
    /// The service among the route's targets.
    pub service: Arc<ServiceSpec>,
}

impl RouteTable {
    /// The table of `configuration`.
    pub fn new(configuration: Arc<RoutingConfiguration>) -> Self {
        let mut by_host: HashMap<Arc<str>, HashMap<Arc<str>, Arc<Route>>> = HashMap::new();
        for route in &configuration.routes {
            let host: Arc<str> = route.host.to_ascii_lowercase().into();
            let prefixes = by_host.entry(host).or_default();
            prefixes.insert(route.path_prefix.clone(), Arc::new(route.clone()));
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

    /// The version in force; 0 while there is none.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The configuration that the table was made of.
    pub fn configuration(&self) -> &Arc<RoutingConfiguration> {
        &self.configuration
    }

    /// True when the endpoints of `service` are engines.
    pub fn is_engine(&self, service: &str) -> bool {
        let services = &self.configuration.services;
        services.iter().any(|spec| &*spec.name == service && spec.engine.is_some())
    }

    /// True when requests on `route` need a key.
    pub fn needs_key(&self, route: &Route) -> bool {
        !route.is_public && !self.configuration.workspaces.is_empty()
    }

    /// True when there are routes and every one of them needs a key.
    pub fn needs_key_everywhere(&self) -> bool {
        let routes = &self.configuration.routes;
        !routes.is_empty() && routes.iter().all(|route| self.needs_key(route))
    }

    /// The workspace whose key a request on `route` carries; none where it needs no key.
    ///
    /// # Errors
    /// The key does not let it in.
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

    /// The route whose prefix is the longest one that begins `path`, and the service that serves
    /// the request with `request_id`.
    ///
    /// The service is drawn by a hash of the id, so that the same request goes to the same service
    /// at every gateway.
    pub fn find(&self, host: &str, path: &str, request_id: &str) -> Option<RouteMatch> {
        let route = self.find_route(host, path)?;
        let service = pick_target(&route, request_id)?;
        let service = self.services.get(service)?.clone();
        Some(RouteMatch { route, service })
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

fn pick_target<'a>(route: &'a Route, request_id: &str) -> Option<&'a Arc<str>> {
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
