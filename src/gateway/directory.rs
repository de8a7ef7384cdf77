//! What a gateway has followed: services, gateways and endpoints.

use std::borrow::Borrow;
use std::collections::{HashMap, HashSet};
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;
use std::sync::Arc;

use crate::control::fleet::{EndpointRecord, GatewayRecord};
use crate::message::{AdapterKey, Change, Service};

/// The accepted configuration and the fleet, as far as this gateway has followed them.
#[derive(Debug, Default)]
pub struct Directory {
    index: u64,
    services: HashSet<ByName>,
    by_adapter: HashSet<ByAdapter>,
    /// Further services with an adapter that stands in `by_adapter` already.
    more_holders: HashMap<AdapterKey, Vec<Arc<Service>>>,
    gateways: HashMap<Arc<str>, GatewayRecord>,
    endpoints: HashMap<Arc<str>, EndpointRecord>,
    names: HashSet<Arc<str>>,
    /// Everything anew, until it is complete and takes the place of the rest.
    staged: Option<Box<Directory>>,
}

/// A service in a set by its name: the set holds one pointer and no copy of the name.
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

/// A service in a set by its adapter; only services that have one are put there.
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
    /// An empty directory.
    pub fn new() -> Self {
        Self::default()
    }

    /// The index up to which changes are complete.
    pub fn index(&self) -> u64 {
        self.index
    }

    /// Sets the index up to which changes are complete.
    pub fn set_index(&mut self, index: u64) {
        self.index = self.index.max(index);
    }

    /// Drops what a session has sent of a whole new directory before it ended.
    pub fn drop_staged(&mut self) {
        self.staged = None;
    }

    /// Follows changes up to `index` and returns the endpoints that they touch.
    ///
    /// With `reset`, everything is sent anew in several parts. What was known stays in force until the
    /// last part has come: a service must not be unknown in between.
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
        let mut touched = HashSet::new();
        if let Some(mut staged) = self.staged.take() {
            staged.apply_all(changes, &mut touched);
            if !complete {
                self.staged = Some(staged);
                return HashSet::new();
            }
            touched.extend(self.endpoints.keys().cloned());
            touched.extend(staged.endpoints.keys().cloned());
            *self = *staged;
        } else {
            self.apply_all(changes, &mut touched);
        }
        if complete {
            self.set_index(index);
        }
        touched
    }

    fn apply_all(&mut self, changes: Vec<Change>, touched: &mut HashSet<Arc<str>>) {
        for change in changes {
            match &change {
                Change::Endpoint(record) => {
                    touched.insert(record.name().clone());
                }
                Change::EndpointRemoved(name) => {
                    touched.insert(name.clone());
                }
                _ => {}
            }
            self.apply(change);
        }
    }

    /// Applies one change.
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
            // Routes and endpoints that register themselves are served by the relay.
            Change::Routing(_)
            | Change::Registered(_)
            | Change::Deregistered(_)
            | Change::Version(_)
            | Change::VersionOfUnknownAge(_)
            | Change::Request(_) => {}
        }
    }

    fn put_service(&mut self, mut service: Service) {
        self.remove_service(&service.name.clone());
        // Tens of thousands of services share a few pools and workspaces.
        service.pool = self.intern(service.pool);
        service.workspace = self.intern(service.workspace);
        let service = Arc::new(service);
        if service.adapter.is_some() {
            self.put_holder(service.clone());
        }
        self.services.insert(ByName(service));
    }

    fn put_holder(&mut self, service: Arc<Service>) {
        let key = ByAdapter(service.clone());
        if self.by_adapter.contains(&key) {
            let Some(adapter) = service.adapter.clone() else { return };
            self.more_holders.entry(adapter).or_default().push(service);
        } else {
            self.by_adapter.insert(key);
        }
    }

    fn remove_service(&mut self, name: &str) {
        let Some(ByName(service)) = self.services.take(name) else { return };
        let Some(adapter) = &service.adapter else { return };
        let holds_first =
            self.by_adapter.get(adapter).is_some_and(|first| first.0.name == service.name);
        let mut rest = self.more_holders.remove(adapter).unwrap_or_default();
        if holds_first {
            self.by_adapter.remove(adapter);
        } else {
            rest.retain(|holder| holder.name != service.name);
        }
        for holder in rest {
            self.put_holder(holder);
        }
    }

    fn intern(&mut self, name: Arc<str>) -> Arc<str> {
        if let Some(known) = self.names.get(&name) {
            return known.clone();
        }
        self.names.insert(name.clone());
        name
    }

    /// The service of this name.
    pub fn service(&self, name: &str) -> Option<Arc<Service>> {
        self.services.get(name).map(|found| found.0.clone())
    }

    /// A service with this adapter and version.
    pub fn service_of(&self, adapter: &AdapterKey) -> Option<Arc<Service>> {
        self.by_adapter.get(adapter).map(|found| found.0.clone())
    }

    /// Every service.
    pub fn services(&self) -> impl ExactSizeIterator<Item = &Arc<Service>> {
        self.services.iter().map(|found| &found.0)
    }

    /// Every endpoint.
    pub fn endpoints(&self) -> impl ExactSizeIterator<Item = &EndpointRecord> {
        self.endpoints.values()
    }

    /// Every gateway.
    pub fn gateways(&self) -> impl ExactSizeIterator<Item = &GatewayRecord> {
        self.gateways.values()
    }

    /// Where a gateway is reached.
    pub fn gateway_address(&self, name: &str) -> Option<SocketAddr> {
        self.gateways.get(name).map(|gateway| gateway.address)
    }

    /// The epoch of a gateway's registration.
    pub fn gateway_epoch(&self, name: &str) -> Option<u64> {
        self.gateways.get(name).map(|gateway| gateway.epoch)
    }

    /// The endpoint of this name.
    pub fn endpoint(&self, name: &str) -> Option<&EndpointRecord> {
        self.endpoints.get(name)
    }
}
