//! What a distributor knows of what the leader told, for gateways that come later.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use crate::message::{
    Change, EndpointLoad, Group, Holding, Load, NewestVersion, Placed, RegisteredEndpoint,
    RequestKey, RequestStanding, Standing, WeightsName,
};
use crate::routing::RoutingConfiguration;

/// Routes, endpoints, versions, placements and counts, as the leader told them.
#[derive(Debug, Default)]
pub(super) struct View {
    routing: Option<Arc<RoutingConfiguration>>,
    endpoints: BTreeMap<Arc<str>, RegisteredEndpoint>,
    versions: BTreeMap<WeightsName, u64>,
    standings: BTreeMap<RequestKey, RequestStanding>,
    placed: BTreeMap<(Arc<str>, WeightsName), Holding>,
    /// What gateways of other availability zones have under way, by endpoint.
    others: HashMap<Arc<str>, Load>,
    /// The replicas and gateways.
    pub(super) group: Group,
}

impl View {
    /// Nothing but who the replicas and gateways are.
    pub(super) fn with_group(group: Group) -> Self {
        Self { group, ..Self::default() }
    }

    /// Takes changes over.
    pub(super) fn change(&mut self, changes: &[Change]) {
        for change in changes {
            match change {
                Change::Routing(routing) => self.routing = Some(routing.clone()),
                Change::Registered(endpoint) => {
                    self.endpoints.insert(endpoint.id.clone(), endpoint.clone());
                }
                Change::Deregistered(id) => {
                    self.endpoints.remove(id);
                    self.others.remove(id);
                    self.placed.retain(|(endpoint, _), _| endpoint != id);
                }
                Change::Version(newest) | Change::VersionOfUnknownAge(newest) => {
                    self.versions.insert(newest.name.clone(), newest.version);
                }
                Change::Request(standing) => {
                    if standing.standing == Standing::Cleared {
                        self.standings.remove(&standing.key);
                    } else {
                        self.standings.insert(standing.key, standing.clone());
                    }
                }
                // Owners, which these are for, follow the leader itself.
                Change::Service(_)
                | Change::ServiceRetired(_)
                | Change::Endpoint(_)
                | Change::EndpointRemoved(_)
                | Change::Gateway(_)
                | Change::GatewayRemoved(_) => {}
            }
        }
    }

    /// Takes over what endpoints hold.
    pub(super) fn place(&mut self, placed: &[Placed]) {
        for Placed { endpoint, name, holding } in placed {
            let key = (endpoint.clone(), name.clone());
            match holding {
                Holding::Gone => self.placed.remove(&key),
                holding => self.placed.insert(key, *holding),
            };
        }
    }

    /// Takes over what gateways of other availability zones have under way.
    pub(super) fn note_loads(&mut self, loads: Vec<EndpointLoad>) {
        for EndpointLoad { endpoint, load } in loads {
            self.others.insert(endpoint, load);
        }
    }

    /// What gateways of other availability zones have under way at an endpoint.
    pub(super) fn others(&self, endpoint: &str) -> Load {
        self.others.get(endpoint).copied().unwrap_or_default()
    }

    /// The endpoints at which gateways of other availability zones have, or had, something under way.
    pub(super) fn counted(&self) -> impl Iterator<Item = &Arc<str>> {
        self.others.keys()
    }

    /// What leads from here to `next`, as changes.
    pub(super) fn changes_to(&self, next: &Self) -> Vec<Change> {
        let mut changes = Vec::new();
        for (name, version) in &next.versions {
            if self.versions.get(name) != Some(version) {
                let newest = NewestVersion { name: name.clone(), version: *version };
                changes.push(Change::VersionOfUnknownAge(newest));
            }
        }
        for (id, endpoint) in &next.endpoints {
            if self.endpoints.get(id) != Some(endpoint) {
                changes.push(Change::Registered(endpoint.clone()));
            }
        }
        for id in self.endpoints.keys() {
            if !next.endpoints.contains_key(id) {
                changes.push(Change::Deregistered(id.clone()));
            }
        }
        for (key, standing) in &next.standings {
            if self.standings.get(key) != Some(standing) {
                changes.push(Change::Request(standing.clone()));
            }
        }
        for (key, standing) in &self.standings {
            if !next.standings.contains_key(key) {
                let cleared = RequestStanding { standing: Standing::Cleared, ..standing.clone() };
                changes.push(Change::Request(cleared));
            }
        }
        if let Some(routing) = &next.routing
            && self.routing.as_ref().is_none_or(|known| known.version != routing.version)
        {
            changes.push(Change::Routing(routing.clone()));
        }
        changes
    }

    /// What leads from here to what endpoints hold in `next`.
    pub(super) fn placed_to(&self, next: &Self) -> Vec<Placed> {
        let mut placed = Vec::new();
        for (key, holding) in &next.placed {
            if self.placed.get(key) != Some(holding) {
                placed.push(describe(key, *holding));
            }
        }
        for key in self.placed.keys() {
            if !next.placed.contains_key(key) {
                placed.push(describe(key, Holding::Gone));
            }
        }
        placed
    }

    /// Everything as changes, for a gateway that knows nothing.
    pub(super) fn all_changes(&self) -> Vec<Change> {
        Self::default().changes_to(self)
    }

    /// Everything that endpoints hold.
    pub(super) fn all_placed(&self) -> Vec<Placed> {
        Self::default().placed_to(self)
    }

    /// True when the endpoint is known just so.
    pub(super) fn knows(&self, endpoint: &RegisteredEndpoint) -> bool {
        self.endpoints.get(&endpoint.id) == Some(endpoint)
    }
}

fn describe((endpoint, name): &(Arc<str>, WeightsName), holding: Holding) -> Placed {
    Placed { endpoint: endpoint.clone(), name: name.clone(), holding }
}
