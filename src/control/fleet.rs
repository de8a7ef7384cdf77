//! Gateways, listed endpoints, and the ownership of endpoints by gateways.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::message::Change;

/// A registered gateway.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GatewayRecord {
    /// The unique name.
    pub name: Arc<str>,
    /// A random number drawn at each start.
    pub boot_id: u64,
    /// The availability zone.
    pub zone: Arc<str>,
    /// The address for other gateways.
    pub address: SocketAddr,
    /// The log index of its registration.
    pub epoch: u64,
    /// True if it is stopping and must not own further endpoints.
    pub leaving: bool,
}

/// The kind of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum EndpointKind {
    /// A model engine that loads adapters.
    Engine,
    /// A plain HTTP service.
    Plain,
}

/// An endpoint as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedEndpoint {
    /// The unique name.
    pub name: Arc<str>,
    /// The HTTP address.
    pub address: SocketAddr,
    /// The availability zone.
    pub zone: Arc<str>,
    /// The pool.
    pub pool: Arc<str>,
    /// Engine or plain service.
    pub kind: EndpointKind,
    /// True if it refuses orders with an epoch below the highest it has seen.
    pub checks_epoch: bool,
    /// How many requests a plain service takes at once; engines report this themselves.
    pub places: u32,
    /// True if the platform is about to stop it.
    pub leaving: bool,
}

/// An endpoint and its owner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointRecord {
    /// The endpoint as listed.
    pub listed: ListedEndpoint,
    /// The only gateway that may send requests and orders to it.
    pub owner: Option<Arc<str>>,
    /// Rises with each change of owner; the fencing token of orders.
    pub epoch: u64,
    /// The gateway that becomes the owner once the current owner has released it.
    pub successor: Option<Arc<str>>,
}

impl EndpointRecord {
    /// The endpoint's name.
    pub fn name(&self) -> &Arc<str> {
        &self.listed.name
    }
}

/// The data with which a gateway registers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Registration {
    /// The unique name.
    pub name: Arc<str>,
    /// A random number drawn at each start.
    pub boot_id: u64,
    /// The availability zone.
    pub zone: Arc<str>,
    /// The address for other gateways.
    pub address: SocketAddr,
}

/// The gateways and listed endpoints of the region.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Fleet {
    gateways: BTreeMap<Arc<str>, GatewayRecord>,
    endpoints: BTreeMap<Arc<str>, EndpointRecord>,
}

impl Fleet {
    /// The registered gateways by name.
    pub fn gateways(&self) -> &BTreeMap<Arc<str>, GatewayRecord> {
        &self.gateways
    }

    /// The endpoints by name.
    pub fn endpoints(&self) -> &BTreeMap<Arc<str>, EndpointRecord> {
        &self.endpoints
    }

    /// The epoch of a gateway's registration.
    pub fn gateway_epoch(&self, name: &str) -> Option<u64> {
        self.gateways.get(name).map(|gateway| gateway.epoch)
    }

    /// Registers a gateway under the epoch `index`; its previous incarnation loses its endpoints.
    pub fn register(&mut self, index: u64, registration: Registration) -> Vec<Change> {
        let mut changes = Vec::new();
        if let Some(known) = self.gateways.get(&registration.name)
            && known.boot_id == registration.boot_id
        {
            return changes;
        }
        self.remove_owner(&registration.name, index, &mut changes);
        let Registration { name, boot_id, zone, address } = registration;
        let record = GatewayRecord {
            name: name.clone(),
            boot_id,
            zone,
            address,
            epoch: index,
            leaving: false,
        };
        self.gateways.insert(name, record.clone());
        changes.push(Change::Gateway(record));
        self.rebalance(index, &mut changes);
        changes
    }

    /// Ends the registration of a gateway whose lease has expired.
    pub fn expire(&mut self, index: u64, name: &str, epoch: u64) -> Vec<Change> {
        let mut changes = Vec::new();
        if self.gateway_epoch(name) != Some(epoch) {
            return changes;
        }
        let Some((name, _)) = self.gateways.remove_entry(name) else { return changes };
        changes.push(Change::GatewayRemoved(name.clone()));
        self.remove_owner(&name, index, &mut changes);
        self.rebalance(index, &mut changes);
        changes
    }

    /// Takes a gateway out of the set that may own endpoints.
    pub fn leave(&mut self, index: u64, name: &str, epoch: u64) -> Vec<Change> {
        let mut changes = Vec::new();
        let Some(gateway) = self.gateways.get_mut(name) else { return changes };
        if gateway.epoch != epoch || gateway.leaving {
            return changes;
        }
        gateway.leaving = true;
        changes.push(Change::Gateway(gateway.clone()));
        self.rebalance(index, &mut changes);
        changes
    }

    /// Hands a released endpoint over to its successor.
    pub fn release(&mut self, index: u64, endpoint: &str, epoch: u64) -> Vec<Change> {
        let mut changes = Vec::new();
        let Some(record) = self.endpoints.get_mut(endpoint) else { return changes };
        if record.epoch != epoch || record.owner.is_none() {
            return changes;
        }
        record.owner = record.successor.take();
        record.epoch = index;
        changes.push(Change::Endpoint(record.clone()));
        self.rebalance(index, &mut changes);
        changes
    }

    /// Applies changes in the platform's list.
    pub fn list(
        &mut self,
        index: u64,
        listed: Vec<ListedEndpoint>,
        removed: Vec<Arc<str>>,
    ) -> Vec<Change> {
        let mut changes = Vec::new();
        for listed in listed {
            let known = self.endpoints.get_mut(&listed.name);
            let Some(record) = known else {
                let record = EndpointRecord { listed, owner: None, epoch: index, successor: None };
                self.endpoints.insert(record.name().clone(), record.clone());
                changes.push(Change::Endpoint(record));
                continue;
            };
            if record.listed != listed {
                record.listed = listed;
                changes.push(Change::Endpoint(record.clone()));
            }
        }
        for name in removed {
            if self.endpoints.remove(&name).is_some() {
                changes.push(Change::EndpointRemoved(name));
            }
        }
        self.rebalance(index, &mut changes);
        changes
    }

    /// Takes all endpoints from `gateway`: each goes to its successor, if it has one.
    fn remove_owner(&mut self, gateway: &str, index: u64, changes: &mut Vec<Change>) {
        for record in self.endpoints.values_mut() {
            if record.successor.as_deref() == Some(gateway) {
                record.successor = None;
                changes.push(Change::Endpoint(record.clone()));
            }
            if record.owner.as_deref() == Some(gateway) {
                record.owner = record.successor.take();
                record.epoch = index;
                changes.push(Change::Endpoint(record.clone()));
            }
        }
    }

    /// Assigns an owner to every endpoint and evens out the number of endpoints per gateway.
    ///
    /// Endpoints without an owner are assigned at once; the others get a successor, which becomes
    /// the owner when the current one releases them.
    fn rebalance(&mut self, index: u64, changes: &mut Vec<Change>) {
        let mut loads = self.loads();
        if loads.is_empty() {
            return;
        }
        for record in self.endpoints.values_mut() {
            if record.owner.is_some() {
                continue;
            }
            let owner = least_loaded(&loads, &record.listed.zone, &self.gateways);
            loads.entry(owner.clone()).and_modify(|load| *load += 1);
            record.owner = Some(owner);
            record.epoch = index;
            changes.push(Change::Endpoint(record.clone()));
        }
        for record in self.endpoints.values_mut() {
            if record.successor.is_some() {
                continue;
            }
            let Some(owner) = &record.owner else { continue };
            let owner_load = loads.get(owner).copied();
            let successor = least_loaded(&loads, &record.listed.zone, &self.gateways);
            let successor_load = loads.get(&successor).copied().unwrap_or(0);
            // The successor must not end up with more endpoints than the owner, or the endpoint
            // would move back.
            if owner_load.is_some_and(|load| load < successor_load + 2) {
                continue;
            }
            if let Some(load) = loads.get_mut(owner) {
                *load -= 1;
            }
            loads.entry(successor.clone()).and_modify(|load| *load += 1);
            record.successor = Some(successor);
            changes.push(Change::Endpoint(record.clone()));
        }
    }

    /// The number of endpoints that each gateway owns or is to own, for gateways that are not
    /// leaving.
    fn loads(&self) -> BTreeMap<Arc<str>, usize> {
        let mut loads = BTreeMap::new();
        for gateway in self.gateways.values() {
            if !gateway.leaving {
                loads.insert(gateway.name.clone(), 0);
            }
        }
        for record in self.endpoints.values() {
            let Some(holder) = record.successor.as_ref().or(record.owner.as_ref()) else {
                continue;
            };
            if let Some(load) = loads.get_mut(holder) {
                *load += 1;
            }
        }
        loads
    }
}

/// The gateway with the fewest endpoints; among equals one in `zone`, then the first by name.
fn least_loaded(
    loads: &BTreeMap<Arc<str>, usize>,
    zone: &str,
    gateways: &BTreeMap<Arc<str>, GatewayRecord>,
) -> Arc<str> {
    let mut best: Option<(usize, bool, &Arc<str>)> = None;
    for (name, load) in loads {
        let is_other_zone = gateways.get(name).is_none_or(|gateway| &*gateway.zone != zone);
        let candidate = (*load, is_other_zone, name);
        if best.is_none_or(|best| candidate < best) {
            best = Some(candidate);
        }
    }
    best.map(|(_, _, name)| name.clone()).expect("at least one gateway may own endpoints")
}
