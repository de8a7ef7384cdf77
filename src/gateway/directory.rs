//! What a gateway has followed: services, gateways and endpoints.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;

use crate::control::fleet::{EndpointRecord, GatewayRecord};
use crate::message::{AdapterKey, Change, Service};

/// The accepted configuration and the fleet, as far as this gateway has followed them.
#[derive(Debug, Default)]
pub struct Directory {
    index: u64,
    services: HashMap<Arc<str>, Arc<Service>>,
    by_adapter: HashMap<AdapterKey, Vec<Arc<Service>>>,
    gateways: HashMap<Arc<str>, GatewayRecord>,
    endpoints: HashMap<Arc<str>, EndpointRecord>,
    names: HashSet<Arc<str>>,
}

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

    /// Drops everything.
    pub fn clear(&mut self) {
        *self = Self::default();
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
        }
    }

    fn put_service(&mut self, mut service: Service) {
        self.remove_service(&service.name.clone());
        // Tens of thousands of services share a few pools and workspaces.
        service.pool = self.intern(service.pool);
        service.workspace = self.intern(service.workspace);
        let service = Arc::new(service);
        if let Some(adapter) = &service.adapter {
            self.by_adapter.entry(adapter.clone()).or_default().push(service.clone());
        }
        self.services.insert(service.name.clone(), service);
    }

    fn remove_service(&mut self, name: &str) {
        let Some(service) = self.services.remove(name) else { return };
        let Some(adapter) = &service.adapter else { return };
        let Some(holders) = self.by_adapter.get_mut(adapter) else { return };
        holders.retain(|holder| holder.name != service.name);
        if holders.is_empty() {
            self.by_adapter.remove(adapter);
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
        self.services.get(name).cloned()
    }

    /// A service with this adapter and version.
    pub fn service_of(&self, adapter: &AdapterKey) -> Option<Arc<Service>> {
        self.by_adapter.get(adapter)?.first().cloned()
    }

    /// Every service.
    pub fn services(&self) -> impl ExactSizeIterator<Item = &Arc<Service>> {
        self.services.values()
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
