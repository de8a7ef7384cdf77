//! The replicated registry: routing configuration, registered endpoints, weight versions and
//! request standings.

use std::collections::{BTreeMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::ops::Bound;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::control::legacy::LegacyRegistry;
use crate::control::placement::{COPIES_MAX, HolderChoice, NewCopy, OrderHolder, OrderHolders};
use crate::control::software::{ServiceSoftware, SoftwareVersions};
use crate::message::{
    Change, EndpointEnd, FeatureKey, FeatureStanding, NewestVersion, RegisteredEndpoint, Standing,
    WeightsName,
};
use crate::routing::RoutingConfiguration;

/// Most ended incarnations kept so that a late heartbeat does not register them again. At 4,800
/// restarts a day this covers half a day, and heartbeats are late by seconds.
const ENDED_IDS_MAX: usize = 2_400;

/// Most order holders kept for addresses without an endpoint; restarts take seconds, and 4,800 a
/// day are expected.
const UNUSED_HOLDERS_MAX: usize = 2_400;

/// Routing, registered endpoints, the newest weight versions and request standings.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Registry {
    routing: Option<StoredRouting>,
    endpoints: BTreeMap<Arc<str>, RegisteredEndpoint>,
    ended_ids: VecDeque<Arc<str>>,
    versions: BTreeMap<WeightsName, u64>,
    order_holders: OrderHolders,
    copies: BTreeMap<Arc<str>, VecDeque<WeightsName>>,
    standings: BTreeMap<FeatureKey, FeatureStanding>,
    software: SoftwareVersions,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) struct StoredRouting {
    configuration: Arc<RoutingConfiguration>,
    document: Arc<str>,
}

impl Registry {
    /// The registry of an older snapshot.
    pub(super) fn from_legacy(mut legacy: LegacyRegistry) -> Self {
        let endpoints = legacy.take_endpoints();
        let mut software = SoftwareVersions::new();
        for endpoint in endpoints.values() {
            let versions = software.entry(endpoint.service.clone()).or_default();
            versions.insert(endpoint.software_version.clone());
        }
        Self {
            routing: legacy.routing,
            endpoints,
            ended_ids: legacy.ended_ids,
            versions: legacy.versions,
            order_holders: legacy.order_holders,
            copies: legacy.copies,
            standings: legacy.standings,
            software,
        }
    }

    /// The software versions, by service, that may have begun a stream which a client still resumes.
    pub fn software(&self) -> &SoftwareVersions {
        &self.software
    }

    /// The software version of `service` if no other one can have begun a stream which a client
    /// still resumes.
    pub fn sole_software(&self, service: &str) -> Option<&Arc<str>> {
        let versions = self.software.get(service)?;
        versions.first().filter(|_| versions.len() == 1)
    }

    /// Forgets software versions without endpoints.
    pub fn forget_software(&mut self, forgotten: Vec<ServiceSoftware>) {
        for (service, version) in forgotten {
            let is_used = self.endpoints.values().any(|endpoint| {
                endpoint.service == service && endpoint.software_version == version
            });
            if is_used {
                continue;
            }
            let Some(versions) = self.software.get_mut(&service) else { continue };
            versions.remove(&version);
            if versions.is_empty() {
                self.software.remove(&service);
            }
        }
    }

    /// The configuration in force.
    pub fn routing(&self) -> Option<&Arc<RoutingConfiguration>> {
        self.routing.as_ref().map(|stored| &stored.configuration)
    }

    /// The operator's document of the configuration in force.
    pub fn routing_document(&self) -> Option<&Arc<str>> {
        self.routing.as_ref().map(|stored| &stored.document)
    }

    /// The version in force; 0 before the first configuration.
    pub fn routing_version(&self) -> u64 {
        self.routing().map_or(0, |configuration| configuration.version)
    }

    /// The registered endpoints by id.
    pub fn endpoints(&self) -> &BTreeMap<Arc<str>, RegisteredEndpoint> {
        &self.endpoints
    }

    /// True if the incarnation `id` has ended and is still remembered.
    pub fn has_departed(&self, id: &str) -> bool {
        self.ended_ids.iter().any(|ended_id| &**ended_id == id)
    }

    /// True if an ended incarnation of the endpoint's name is still remembered.
    pub fn has_previous_incarnation(&self, endpoint: &RegisteredEndpoint) -> bool {
        let is_of_name = |id: &str| {
            let suffix = id.strip_prefix(&*endpoint.name);
            suffix.is_some_and(|suffix| suffix.is_empty() || suffix.starts_with('@'))
        };
        self.ended_ids.iter().any(|id| *id != endpoint.id && is_of_name(id))
    }

    /// The newest version of `name`; 1 if none was set.
    pub fn version(&self, name: &WeightsName) -> u64 {
        self.versions.get(name).copied().unwrap_or(1)
    }

    /// The newest versions that were set.
    pub fn versions(&self) -> &BTreeMap<WeightsName, u64> {
        &self.versions
    }

    /// The gateways that send orders to endpoints, by address.
    pub fn order_holders(&self) -> &OrderHolders {
        &self.order_holders
    }

    /// Records under the fencing token `token` which gateways send orders to endpoints from now on.
    pub fn choose_holders(&mut self, token: u64, choices: Vec<HolderChoice>) {
        for HolderChoice { address, gateway } in choices {
            self.order_holders.insert(address, OrderHolder { gateway, token });
        }
        if self.order_holders.len() <= self.endpoints.len() + UNUSED_HOLDERS_MAX {
            return;
        }
        let used: HashSet<_> = self.endpoints.values().map(|endpoint| endpoint.address).collect();
        self.order_holders.retain(|address, _| used.contains(address));
    }

    /// Weights of which endpoints have copies, the latest last; endpoints do not report them.
    pub fn copies(&self) -> &BTreeMap<Arc<str>, VecDeque<WeightsName>> {
        &self.copies
    }

    /// Records which endpoints got copies of weights.
    pub fn record_copies(&mut self, copies: Vec<NewCopy>) {
        for NewCopy { endpoint, weights } in copies {
            if !self.endpoints.contains_key(&endpoint) {
                continue;
            }
            let known = self.copies.entry(endpoint).or_default();
            known.retain(|other| *other != weights);
            known.push_back(weights);
            if known.len() > COPIES_MAX {
                known.pop_front();
            }
        }
    }

    /// The standings of requests that may have caused endpoint crashes; other requests have none.
    pub fn standings(&self) -> impl Iterator<Item = &FeatureStanding> {
        self.standings.values()
    }

    /// Sets standings; a cleared one is removed.
    pub fn set_standings(&mut self, standings: Vec<FeatureStanding>) -> Vec<Change> {
        let mut changes = Vec::new();
        for standing in standings {
            if standing.standing == Standing::Cleared {
                self.standings.remove(&standing.key);
            } else {
                self.standings.insert(standing.key, standing.clone());
            }
            changes.push(Change::Standing(standing));
        }
        changes
    }

    /// Sets the routing configuration if its version is higher than the current one.
    pub fn put_routing(
        &mut self,
        configuration: Arc<RoutingConfiguration>,
        document: Arc<str>,
    ) -> Vec<Change> {
        if self.routing.is_some() && configuration.version <= self.routing_version() {
            return Vec::new();
        }
        self.routing = Some(StoredRouting { configuration: configuration.clone(), document });
        vec![Change::Routing(configuration)]
    }

    /// Registers an endpoint or updates its registration.
    ///
    /// This ends the previous incarnation of the same name and any other endpoint at the same
    /// address: a name and an address each belong to one endpoint.
    pub fn register(&mut self, endpoint: RegisteredEndpoint) -> Vec<Change> {
        let known = self.endpoints.get(&endpoint.id);
        if known == Some(&endpoint) || self.has_departed(&endpoint.id) {
            return Vec::new();
        }
        if self.refuses(&endpoint) {
            return Vec::new();
        }
        let replaced = self.replaced_by(&endpoint);
        let mut changes = Vec::new();
        for other in replaced {
            if endpoint.is_other_incarnation_of(&other) {
                self.keep_holder(other.address, endpoint.address);
            }
            changes.extend(self.deregister(&other.id));
        }
        let versions = self.software.entry(endpoint.service.clone()).or_default();
        versions.insert(endpoint.software_version.clone());
        self.endpoints.insert(endpoint.id.clone(), endpoint.clone());
        changes.push(Change::Registered(endpoint));
        changes
    }

    /// True for an endpoint of an unconfigured service whose registration would end an endpoint of
    /// a configured one.
    pub fn refuses(&self, endpoint: &RegisteredEndpoint) -> bool {
        if self.is_configured(&endpoint.service) {
            return false;
        }
        let known = self.endpoints.get(&endpoint.id).cloned();
        let mut ended = self.replaced_by(endpoint).into_iter().chain(known);
        ended.any(|other| self.is_configured(&other.service))
    }

    /// Endpoints that end when `endpoint` is registered.
    fn replaced_by(&self, endpoint: &RegisteredEndpoint) -> Vec<RegisteredEndpoint> {
        let mut replaced = Vec::new();
        for other in self.endpoints.values() {
            let shares_address = other.address == endpoint.address && other.id != endpoint.id;
            if shares_address || endpoint.is_other_incarnation_of(other) {
                replaced.push(other.clone());
            }
        }
        replaced
    }

    /// True if the configuration names the service, or there is no configuration yet.
    fn is_configured(&self, service: &str) -> bool {
        let Some(configuration) = self.routing() else { return true };
        configuration.services.iter().any(|spec| &*spec.name == service)
    }

    /// Keeps the order holder of an endpoint that restarted at another address. A new holder would
    /// have to wait 4.3 s until orders of the previous one no longer count.
    fn keep_holder(&mut self, before: SocketAddr, current: SocketAddr) {
        if before == current {
            return;
        }
        if let Some(holder) = self.order_holders.get(&before).cloned() {
            self.order_holders.insert(current, holder);
        }
    }

    /// Deregisters the incarnation that `end` names, or the registered one if it names none.
    pub fn end(&mut self, end: &EndpointEnd) -> Vec<Change> {
        if let Some(born_ms) = end.born_ms {
            return self.deregister(&RegisteredEndpoint::incarnation_id(&end.name, born_ms));
        }
        match self.named(&end.name).map(|endpoint| endpoint.id.clone()) {
            Some(id) => self.deregister(&id),
            None => self.deregister(&end.name),
        }
    }

    /// The registered incarnation of the endpoint `name`.
    pub fn named(&self, name: &str) -> Option<&RegisteredEndpoint> {
        if let Some(endpoint) = self.endpoints.get(name) {
            return Some(endpoint);
        }
        // All incarnation ids of a name share a prefix, so a range scan replaces a search of all
        // 12,000 endpoints for each registration.
        let prefix: Arc<str> = format!("{name}@").into();
        let from = (Bound::Included(prefix.clone()), Bound::Unbounded);
        for (id, endpoint) in self.endpoints.range(from) {
            if !id.starts_with(&*prefix) {
                break;
            }
            if &*endpoint.name == name {
                return Some(endpoint);
            }
        }
        None
    }

    /// Records that the incarnation `id` has ended, and removes it if it is registered.
    pub fn deregister(&mut self, id: &Arc<str>) -> Vec<Change> {
        if !self.has_departed(id) {
            self.ended_ids.push_back(id.clone());
            if self.ended_ids.len() > ENDED_IDS_MAX {
                self.ended_ids.pop_front();
            }
        }
        self.copies.remove(id);
        if self.endpoints.remove(id).is_none() {
            return Vec::new();
        }
        vec![Change::Deregistered(id.clone())]
    }

    /// Sets the newest version of weights if it is higher than the current one.
    pub fn put_version(&mut self, newest: NewestVersion) -> Vec<Change> {
        if newest.version <= self.version(&newest.name) {
            return Vec::new();
        }
        // Copies of the replaced version save no load of the new one.
        for copies in self.copies.values_mut() {
            copies.retain(|name| *name != newest.name);
        }
        self.versions.insert(newest.name.clone(), newest.version);
        vec![Change::Version(newest)]
    }

    /// The changes that build up all registry state that gateways follow.
    pub fn all_changes(&self) -> Vec<Change> {
        let mut changes = Vec::new();
        if let Some(configuration) = self.routing() {
            changes.push(Change::Routing(configuration.clone()));
        }
        for endpoint in self.endpoints.values() {
            changes.push(Change::Registered(endpoint.clone()));
        }
        for (name, version) in &self.versions {
            let newest = NewestVersion { name: name.clone(), version: *version };
            changes.push(Change::VersionOfUnknownAge(newest));
        }
        for standing in self.standings.values() {
            changes.push(Change::Standing(standing.clone()));
        }
        changes
    }
}
