//! What is replicated of routes, registered endpoints and versions of weights.

use std::collections::{BTreeMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::ops::Bound;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::control::placement::{COPIES_MAX, HolderChoice, NewCopy, OrderHolder, OrderHolders};
use crate::message::{
    Change, EndpointEnd, NewestVersion, RegisteredEndpoint, RequestKey, RequestStanding, Standing,
    WeightsName,
};
use crate::routing::RoutingConfiguration;

/// Incarnations that ended and must not come back with a late heartbeat; at 4,800 restarts a day
/// this covers half a day, and heartbeats are late by seconds.
const DEPARTED_MAX: usize = 2_400;

/// Holders that are remembered for addresses where no endpoint is; restarts take seconds, and 4,800 a
/// day are expected.
const UNUSED_HOLDERS_MAX: usize = 2_400;

/// Routes, registered endpoints and the newest versions of weights.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Registry {
    routing: Option<StoredRouting>,
    endpoints: BTreeMap<Arc<str>, RegisteredEndpoint>,
    departed: VecDeque<Arc<str>>,
    versions: BTreeMap<WeightsName, u64>,
    order_holders: OrderHolders,
    copies: BTreeMap<Arc<str>, VecDeque<WeightsName>>,
    standings: BTreeMap<RequestKey, RequestStanding>,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
struct StoredRouting {
    configuration: Arc<RoutingConfiguration>,
    document: Arc<str>,
}

impl Registry {
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

    /// True when the incarnation `id` has ended.
    pub fn has_departed(&self, id: &str) -> bool {
        self.departed.iter().any(|departed| &**departed == id)
    }

    /// True when another incarnation of the endpoint's name has ended, as far back as that is kept.
    pub fn has_former_incarnation(&self, endpoint: &RegisteredEndpoint) -> bool {
        let is_of_name = |id: &str| {
            let rest = id.strip_prefix(&*endpoint.name);
            rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('@'))
        };
        self.departed.iter().any(|id| *id != endpoint.id && is_of_name(id))
    }

    /// The newest version of `name`; 1 when none was ever named.
    pub fn version(&self, name: &WeightsName) -> u64 {
        self.versions.get(name).copied().unwrap_or(1)
    }

    /// The versions that were named.
    pub fn versions(&self) -> &BTreeMap<WeightsName, u64> {
        &self.versions
    }

    /// Which gateways give endpoints their orders.
    pub fn order_holders(&self) -> &OrderHolders {
        &self.order_holders
    }

    /// Records under `token` which gateways give endpoints their orders from now on.
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

    /// Weights that endpoints have copies of, the latest last; endpoints do not tell it themselves.
    pub fn copies(&self) -> &BTreeMap<Arc<str>, VecDeque<WeightsName>> {
        &self.copies
    }

    /// Records which endpoints got copies of weights.
    pub fn note_copies(&mut self, copies: Vec<NewCopy>) {
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

    /// How requests are treated under which endpoints ended; all others are treated alike.
    pub fn standings(&self) -> impl Iterator<Item = &RequestStanding> {
        self.standings.values()
    }

    /// Records how requests are treated from now on.
    pub fn set_standings(&mut self, standings: Vec<RequestStanding>) -> Vec<Change> {
        let mut changes = Vec::new();
        for standing in standings {
            if standing.standing == Standing::Cleared {
                self.standings.remove(&standing.key);
            } else {
                self.standings.insert(standing.key, standing.clone());
            }
            changes.push(Change::Request(standing));
        }
        changes
    }

    /// Takes a configuration in when its version is above the one in force.
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

    /// Registers an endpoint, or takes over what it tells anew.
    ///
    /// An earlier incarnation of the same name, or at the same address, has ended: each has one holder.
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
            if endpoint.is_other_life_of(&other) {
                self.keep_holder(other.address, endpoint.address);
            }
            changes.extend(self.deregister(&other.id));
        }
        self.endpoints.insert(endpoint.id.clone(), endpoint.clone());
        changes.push(Change::Registered(endpoint));
        changes
    }

    /// True for an endpoint of a service that nobody configured, which would end one that serves.
    pub fn refuses(&self, endpoint: &RegisteredEndpoint) -> bool {
        if self.is_configured(&endpoint.service) {
            return false;
        }
        let known = self.endpoints.get(&endpoint.id).cloned();
        let mut ended = self.replaced_by(endpoint).into_iter().chain(known);
        ended.any(|other| self.is_configured(&other.service))
    }

    /// Endpoints that end when `endpoint` registers.
    fn replaced_by(&self, endpoint: &RegisteredEndpoint) -> Vec<RegisteredEndpoint> {
        let mut replaced = Vec::new();
        for other in self.endpoints.values() {
            let shares_address = other.address == endpoint.address && other.id != endpoint.id;
            if shares_address || endpoint.is_other_life_of(other) {
                replaced.push(other.clone());
            }
        }
        replaced
    }

    /// True when the configuration names the service, or there is none yet.
    fn is_configured(&self, service: &str) -> bool {
        let Some(configuration) = self.routing() else { return true };
        configuration.services.iter().any(|spec| &*spec.name == service)
    }

    /// Lets the gateway that ordered an endpoint at `before` order its next incarnation at `now`: another
    /// one would have to wait until no order of the former counts, 4.3 s.
    fn keep_holder(&mut self, before: SocketAddr, now: SocketAddr) {
        if before == now {
            return;
        }
        if let Some(holder) = self.order_holders.get(&before).cloned() {
            self.order_holders.insert(now, holder);
        }
    }

    /// Ends the incarnation that `end` names, or the one that is registered.
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
        // The ids of a name's incarnations begin alike: 12,000 endpoints that register are not looked
        // through for each of them.
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

    /// Ends the incarnation `id`, whether it is known or not.
    pub fn deregister(&mut self, id: &Arc<str>) -> Vec<Change> {
        if !self.has_departed(id) {
            self.departed.push_back(id.clone());
            if self.departed.len() > DEPARTED_MAX {
                self.departed.pop_front();
            }
        }
        self.copies.remove(id);
        if self.endpoints.remove(id).is_none() {
            return Vec::new();
        }
        vec![Change::Deregistered(id.clone())]
    }

    /// Takes over a newer version.
    pub fn put_version(&mut self, newest: NewestVersion) -> Vec<Change> {
        if newest.version <= self.version(&newest.name) {
            return Vec::new();
        }
        // Copies of the version before save no load of this one.
        for copies in self.copies.values_mut() {
            copies.retain(|name| *name != newest.name);
        }
        self.versions.insert(newest.name.clone(), newest.version);
        vec![Change::Version(newest)]
    }

    /// Everything that a gateway follows, as if it had just been added.
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
            changes.push(Change::Request(standing.clone()));
        }
        changes
    }
}
