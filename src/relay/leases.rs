//! The slots of brittle endpoints that this gateway has leased, and those that it leases to others.

use std::sync::Arc;

use super::choice::{self, COST_SCALE_MS, Candidate};
use super::fleet::Fleet;
use crate::message::{PeerGateway, SlotClaims, SlotGrants};
use crate::policy::slot_grants::CoordinatedEndpoints;

/// The load of an endpoint as a gateway knows it.
#[derive(Debug, Clone, Copy)]
pub(super) struct KnownLoad {
    /// The requests of this gateway that run there.
    pub(super) own_running: u32,
    /// Those of the others, as last reported.
    pub(super) others_running: u32,
    /// The slots that this gateway has leased.
    pub(super) leased: u32,
}

impl Fleet {
    /// Sets the gateways that lease slots. A list without any comes from a leader that does not know
    /// them yet.
    pub fn set_coordinators(&mut self, now_ms: u64, gateways: Vec<PeerGateway>) {
        if !gateways.is_empty() {
            self.coordinators.set(now_ms, gateways);
        }
    }

    /// True if a request to `service` needs a leased slot.
    pub(super) fn needs_lease(&self, now_ms: u64, service: &str) -> bool {
        self.is_brittle(now_ms, service) && self.coordinators.is_known()
    }

    /// The endpoints of `unleased` at which a request wants a slot: first one, and another one after
    /// a while.
    pub(super) fn wanted_slots(
        &self,
        now_ms: u64,
        unleased: &[Candidate<'_>],
        draw: f64,
    ) -> Vec<Arc<str>> {
        let (mut wanted, mut others) = (Vec::new(), Vec::new());
        for candidate in unleased {
            let id = &candidate.state.endpoint.id;
            if self.slot_leases.is_wanted(now_ms, id) {
                wanted.push(id.clone());
            } else {
                others.push(*candidate);
            }
        }
        if !self.slot_leases.wants_next(now_ms, wanted.iter().map(|id| &**id)) {
            return wanted;
        }
        if others.iter().any(|candidate| candidate.state.has_free_slot()) {
            others.retain(|candidate| candidate.state.has_free_slot());
        }
        let next = choice::draw_weighted(&others, COST_SCALE_MS, draw);
        wanted.extend(next.map(|candidate| candidate.state.endpoint.id.clone()));
        wanted
    }

    /// What this gateway knows of the load of an endpoint, for logs.
    pub(super) fn known_load(&self, endpoint: &str) -> KnownLoad {
        let state = self.endpoints.get(endpoint);
        KnownLoad {
            own_running: state.map_or(0, |state| state.own_running),
            others_running: state.map_or(0, |state| state.others_running),
            leased: self.slot_leases.granted(endpoint),
        }
    }

    /// The claims of slots to send now, by coordinator.
    pub fn take_claims(&mut self, now_ms: u64) -> Vec<(PeerGateway, SlotClaims)> {
        let (endpoints, coordinators) = (&self.endpoints, &self.coordinators);
        self.slot_leases.take_claims(
            now_ms,
            |id| endpoints.get(id).map_or(0, |state| state.own_running),
            |id| coordinators.of(id).cloned(),
        )
    }

    /// Applies the grants of a coordinator; returns the endpoints at which more slots may be used.
    pub fn apply_grants(&mut self, coordinator: &str, grants: SlotGrants) -> Vec<Arc<str>> {
        self.slot_leases.apply(coordinator, grants)
    }
}

/// The endpoints whose slots a gateway leases, as it knows them at one time.
pub struct LeasedEndpoints<'a> {
    fleet: &'a Fleet,
    gateway: &'a str,
    now_ms: u64,
}

impl<'a> LeasedEndpoints<'a> {
    /// What `fleet` knows at `now_ms` for the gateway of this name.
    pub fn new(fleet: &'a Fleet, gateway: &'a str, now_ms: u64) -> Self {
        Self { fleet, gateway, now_ms }
    }
}

impl CoordinatedEndpoints for LeasedEndpoints<'_> {
    fn is_known(&self, endpoint: &str) -> bool {
        self.fleet.endpoints.contains_key(endpoint)
    }

    fn is_coordinated(&self, endpoint: &str) -> bool {
        self.fleet.coordinators.of(endpoint).is_some_and(|it| &*it.name == self.gateway)
    }

    fn leasable_slots(&self, endpoint: &str) -> Option<u32> {
        let state = self.fleet.endpoints.get(endpoint)?;
        let is_settled = self.fleet.coordinators.is_settled(self.now_ms, self.gateway, endpoint);
        is_settled.then_some(state.endpoint.slots)
    }
}
