//! A distributor's copy of the leader's state, for gateways that connect later.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use crate::message::{
    Change, EndpointLoad, FeatureKey, FeatureStanding, Group, Holding, Load, NewestVersion, Placed,
    RegisteredEndpoint, Standing, WeightsName,
};
use crate::policy::endpoint_speed::ServiceWork;
use crate::routing::RoutingConfiguration;

/// Routes, endpoints, versions, placements and loads, as received from the leader.
#[derive(Debug, Default)]
pub(super) struct View {
    routing: Option<Arc<RoutingConfiguration>>,
    endpoints: BTreeMap<Arc<str>, RegisteredEndpoint>,
    versions: BTreeMap<WeightsName, u64>,
    standings: BTreeMap<FeatureKey, FeatureStanding>,
    placed: BTreeMap<(Arc<str>, WeightsName), Holding>,
    /// The loads of gateways in other availability zones, by endpoint.
    remote_loads: HashMap<Arc<str>, Load>,
    /// The work that endpoints did for the gateways of all availability zones.
    work: ServiceWork,
    /// The replicas and gateways of the deployment.
    pub(super) group: Group,
}

impl View {
    /// Creates a view in which only the group is known.
    pub(super) fn with_group(group: Group) -> Self {
        Self { group, ..Self::default() }
    }

    /// Applies changes.
    pub(super) fn apply_changes(&mut self, changes: &[Change]) {
        for change in changes {
            match change {
                Change::Routing(routing) => self.routing = Some(routing.clone()),
                Change::Registered(endpoint) => {
                    self.endpoints.insert(endpoint.id.clone(), endpoint.clone());
                }
                Change::Deregistered(id) => {
                    self.endpoints.remove(id);
                    self.remote_loads.remove(id);
                    self.work.remove(id);
                    self.placed.retain(|(endpoint, _), _| endpoint != id);
                }
                Change::Version(newest) | Change::VersionOfUnknownAge(newest) => {
                    self.versions.insert(newest.name.clone(), newest.version);
                }
                Change::Standing(standing) => {
                    if standing.standing == Standing::Cleared {
                        self.standings.remove(&standing.key);
                    } else {
                        self.standings.insert(standing.key, standing.clone());
                    }
                }
                // The link has resolved updates; the others concern owners, which follow the leader directly.
                Change::RoutingUpdate(_)
                | Change::Service(_)
                | Change::ServiceRetired(_)
                | Change::Endpoint(_)
                | Change::EndpointRemoved(_)
                | Change::Gateway(_)
                | Change::GatewayRemoved(_) => {}
            }
        }
    }

    /// The routing configuration, if there is one.
    pub(super) fn routing(&self) -> Option<&Arc<RoutingConfiguration>> {
        self.routing.as_ref()
    }

    /// Applies changes of what endpoints hold.
    pub(super) fn place(&mut self, placed: &[Placed]) {
        for Placed { endpoint, name, holding } in placed {
            let key = (endpoint.clone(), name.clone());
            match holding {
                Holding::Gone => self.placed.remove(&key),
                holding => self.placed.insert(key, *holding),
            };
        }
    }

    /// Records the loads of gateways in other availability zones.
    pub(super) fn note_loads(&mut self, loads: Vec<EndpointLoad>) {
        for EndpointLoad { endpoint, load } in loads {
            self.remote_loads.insert(endpoint, load);
        }
    }

    /// The load of gateways in other availability zones at an endpoint.
    pub(super) fn remote_load(&self, endpoint: &str) -> Load {
        self.remote_loads.get(endpoint).copied().unwrap_or_default()
    }

    /// Records the load of the gateways of all availability zones at an endpoint.
    pub(super) fn note_total(&mut self, endpoint: &Arc<str>, load: &Load) {
        if let Some(registered) = self.endpoints.get(endpoint) {
            self.work.set(endpoint, &registered.service, load);
        }
    }

    /// The work that endpoints did, by service.
    pub(super) fn work(&self) -> &ServiceWork {
        &self.work
    }

    /// The endpoints for which gateways of other availability zones have reported a load.
    pub(super) fn remote_endpoints(&self) -> impl Iterator<Item = &Arc<str>> {
        self.remote_loads.keys()
    }

    /// Returns the changes that turn this view into `next`.
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
                changes.push(Change::Standing(standing.clone()));
            }
        }
        for (key, standing) in &self.standings {
            if !next.standings.contains_key(key) {
                let cleared = FeatureStanding { standing: Standing::Cleared, ..standing.clone() };
                changes.push(Change::Standing(cleared));
            }
        }
        if let Some(routing) = &next.routing
            && self.routing.as_ref().is_none_or(|known| known.version != routing.version)
        {
            changes.push(Change::Routing(routing.clone()));
        }
        changes
    }

    /// Returns the placement changes that turn this view into `next`.
    pub(super) fn placed_to(&self, next: &Self) -> Vec<Placed> {
        let mut placed = Vec::new();
        for (key, holding) in &next.placed {
            if self.placed.get(key) != Some(holding) {
                placed.push(to_placed(key, *holding));
            }
        }
        for key in self.placed.keys() {
            if !next.placed.contains_key(key) {
                placed.push(to_placed(key, Holding::Gone));
            }
        }
        placed
    }

    /// Returns the whole view as changes, for a gateway without any state.
    pub(super) fn all_changes(&self) -> Vec<Change> {
        Self::default().changes_to(self)
    }

    /// Returns everything that endpoints hold.
    pub(super) fn all_placed(&self) -> Vec<Placed> {
        Self::default().placed_to(self)
    }

    /// True when the endpoint is registered with exactly these attributes.
    pub(super) fn has_registration(&self, endpoint: &RegisteredEndpoint) -> bool {
        self.endpoints.get(&endpoint.id) == Some(endpoint)
    }
}

fn to_placed((endpoint, name): &(Arc<str>, WeightsName), holding: Holding) -> Placed {
    Placed { endpoint: endpoint.clone(), name: name.clone(), holding }
}
