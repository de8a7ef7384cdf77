//! The gateway's copy of the accepted services and of the fleet's gateways and endpoints, kept up to
//! date from the changes that control sends.

use std::borrow::Borrow;
use std::collections::{HashMap, HashSet};
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;
use std::sync::Arc;

use crate::control::fleet::{EndpointRecord, GatewayRecord};
use crate::message::{AdapterKey, Change, Service};

/// Services, gateways and endpoints up to the last change that this gateway has applied.
#[derive(Debug, Default)]
pub struct Directory {
    index: u64,
    services: HashSet<ByName>,
    by_adapter: HashSet<ByAdapter>,
    /// Other services that have the same adapter as a service in `by_adapter`.
    more_by_adapter: HashMap<AdapterKey, Vec<Arc<Service>>>,
    gateways: HashMap<Arc<str>, GatewayRecord>,
    endpoints: HashMap<Arc<str>, EndpointRecord>,
    interned: HashSet<Arc<str>>,
    /// A full replacement while it arrives in parts; it takes effect once it is complete.
    staged: Option<Box<Directory>>,
}

/// Set entry keyed by the service's name, so that the set needs no copy of the name.
#[derive(Debug)]
struct ByName(Arc<Service>);

impl Borrow<str> for ByName {
    fn borrow(&self) -> &str {
        &self.0.name
    }
}

impl Hash for ByName {
    fn hash<H: Hasher>(&self, state: &mut H) {
        (*self.0.name).hash(state);
    }
}

impl PartialEq for ByName {
    fn eq(&self, other: &Self) -> bool {
        self.0.name == other.0.name
    }
}

impl Eq for ByName {}

/// Set entry keyed by the service's adapter; services without an adapter are not inserted.
#[derive(Debug)]
struct ByAdapter(Arc<Service>);

impl ByAdapter {
    fn adapter(&self) -> &AdapterKey {
        self.0.adapter.as_ref().expect("only services with an adapter are put in this set")
    }
}

impl Borrow<AdapterKey> for ByAdapter {
    fn borrow(&self) -> &AdapterKey {
        self.adapter()
    }
}

impl Hash for ByAdapter {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.adapter().hash(state);
    }
}

impl PartialEq for ByAdapter {
    fn eq(&self, other: &Self) -> bool {
        self.adapter() == other.adapter()
    }
}

impl Eq for ByAdapter {}

impl Directory {
    /// Creates an empty directory.
    pub fn new() -> Self {
        Self::default()
    }

    /// Index up to which all changes are applied.
    pub fn index(&self) -> u64 {
        self.index
    }

    /// Raises the index up to which all changes are applied.
    pub fn set_index(&mut self, index: u64) {
        self.index = self.index.max(index);
    }

    /// Discards a full replacement that was incomplete when its session ended.
    pub fn drop_staged(&mut self) {
        self.staged = None;
    }

    /// Applies changes up to `index` and returns the names of the endpoints that they affect.
    ///
    /// `reset` starts a full replacement, which arrives in several parts; `complete` marks the last part.
    /// The old content stays in force until then, so that no service is unknown in between.
    pub fn follow(
        &mut self,
        index: u64,
        reset: bool,
        complete: bool,
        changes: Vec<Change>,
    ) -> HashSet<Arc<str>> {
        if reset {
            self.staged = Some(Box::default());
        }
        let mut affected = HashSet::new();
        if let Some(mut staged) = self.staged.take() {
            staged.apply_all(changes, &mut affected);
            if !complete {
                self.staged = Some(staged);
                return HashSet::new();
            }
            affected.extend(self.endpoints.keys().cloned());
            affected.extend(staged.endpoints.keys().cloned());
            *self = *staged;
        } else {
            self.apply_all(changes, &mut affected);
        }
        if complete {
            self.set_index(index);
        }
        affected
    }

    fn apply_all(&mut self, changes: Vec<Change>, affected: &mut HashSet<Arc<str>>) {
        for change in changes {
            match &change {
                Change::Endpoint(record) => {
                    affected.insert(record.name().clone());
                }
                Change::EndpointRemoved(name) => {
                    affected.insert(name.clone());
                }
                _ => {}
            }
            self.apply(change);
        }
    }

    /// Applies one change at once, without staging.
    pub fn apply(&mut self, change: Change) {
        match change {
            Change::Service(service) => self.put_service(service),
            Change::ServiceRetired(name) => self.remove_service(&name),
            Change::Endpoint(record) => {
                self.endpoints.insert(record.name().clone(), record);
            }
            Change::EndpointRemoved(name) => {
                self.endpoints.remove(&name);
            }
            Change::Gateway(record) => {
                self.gateways.insert(record.name.clone(), record);
            }
            Change::GatewayRemoved(name) => {
                self.gateways.remove(&name);
            }
            // Routes and endpoints that register themselves are handled by the relay.
            Change::Routing(_)
            | Change::RoutingUpdate(_)
            | Change::Registered(_)
            | Change::Deregistered(_)
            | Change::Version(_)
            | Change::VersionOfUnknownAge(_)
            | Change::Standing(_) => {}
        }
    }

    fn put_service(&mut self, mut service: Service) {
        self.remove_service(&service.name.clone());
        // Interned, since tens of thousands of services share a few pools and workspaces.
        service.pool = self.intern(service.pool);
        service.workspace = self.intern(service.workspace);
        let service = Arc::new(service);
        if service.adapter.is_some() {
            self.index_by_adapter(service.clone());
        }
        self.services.insert(ByName(service));
    }

    fn index_by_adapter(&mut self, service: Arc<Service>) {
        let key = ByAdapter(service.clone());
        if self.by_adapter.contains(&key) {
            let Some(adapter) = service.adapter.clone() else { return };
            self.more_by_adapter.entry(adapter).or_default().push(service);
        } else {
            self.by_adapter.insert(key);
        }
    }

    fn remove_service(&mut self, name: &str) {
        let Some(ByName(service)) = self.services.take(name) else { return };
        let Some(adapter) = &service.adapter else { return };
        let is_indexed =
            self.by_adapter.get(adapter).is_some_and(|indexed| indexed.0.name == service.name);
        let mut rest = self.more_by_adapter.remove(adapter).unwrap_or_default();
        if is_indexed {
            self.by_adapter.remove(adapter);
        } else {
            rest.retain(|holder| holder.name != service.name);
        }
        for holder in rest {
            self.index_by_adapter(holder);
        }
    }

    fn intern(&mut self, name: Arc<str>) -> Arc<str> {
        if let Some(known) = self.interned.get(&name) {
            return known.clone();
        }
        self.interned.insert(name.clone());
        name
    }

    /// The service with this name.
    pub fn service(&self, name: &str) -> Option<Arc<Service>> {
        self.services.get(name).map(|found| found.0.clone())
    }

    /// One of the services with this adapter and version.
    pub fn service_of(&self, adapter: &AdapterKey) -> Option<Arc<Service>> {
        self.by_adapter.get(adapter).map(|found| found.0.clone())
    }

    /// All services.
    pub fn services(&self) -> impl ExactSizeIterator<Item = &Arc<Service>> {
        self.services.iter().map(|found| &found.0)
    }

    /// All endpoints.
    pub fn endpoints(&self) -> impl ExactSizeIterator<Item = &EndpointRecord> {
        self.endpoints.values()
    }

    /// All gateways.
    pub fn gateways(&self) -> impl ExactSizeIterator<Item = &GatewayRecord> {
        self.gateways.values()
    }

    /// Address at which other gateways reach this gateway.
    pub fn gateway_address(&self, name: &str) -> Option<SocketAddr> {
        self.gateways.get(name).map(|gateway| gateway.address)
    }

    /// The epoch of a gateway's registration.
    pub fn gateway_epoch(&self, name: &str) -> Option<u64> {
        self.gateways.get(name).map(|gateway| gateway.epoch)
    }

    /// The endpoint with this name.
    pub fn endpoint(&self, name: &str) -> Option<&EndpointRecord> {
        self.endpoints.get(name)
    }
}
