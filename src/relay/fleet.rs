//! Tracks what a gateway knows of the endpoints: load, failures and the weights that each one
//! holds.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use tracing::info;

use super::known::{EndpointState, Wanted};
use super::limits::EndpointLimits;
use super::replaced::begin_within_ms;
use super::uses::WeightsUses;
use super::waiting::{Prompt, ReadingPace, UnreadMs};
use crate::message::{
    EndpointLoad, Holding, Load, Placed, RegisteredEndpoint, WeightsName, WeightsUse,
};
use crate::policy::brittle::Brittleness;
use crate::policy::endpoint_speed::{Work, is_normal};
use crate::policy::slot_coordinators::SlotCoordinators;
use crate::policy::slot_leases::SlotLeases;
use crate::policy::versions::{SENT_PERCENT, Versions};

/// How long after a weights version was replaced requests may start on it, unless the settings
/// differ.
const VERSION_WITHIN_MS: u64 = 5_000;

/// The registered endpoints with their load and weights as this gateway knows them.
#[derive(Debug)]
pub struct Fleet {
    pub(super) zone: Arc<str>,
    pub(super) endpoints: HashMap<Arc<str>, EndpointState>,
    pub(super) by_service: HashMap<Arc<str>, Vec<Arc<str>>>,
    pub(super) homes: HashMap<WeightsName, BTreeMap<Arc<str>, Holding>>,
    pub(super) versions: Versions,
    /// How long a request that was sent to a version may take to start there once a newer version
    /// is due.
    pub(super) begin_within_ms: u64,
    pub(super) loads_changed: HashSet<Arc<str>>,
    uses: WeightsUses,
    pub(super) failing: HashSet<Arc<str>>,
    /// Endpoints that run but cannot be reached from this gateway.
    pub(super) out_of_reach: HashSet<Arc<str>>,
    pub(super) random: SmallRng,
    pub(super) gateways: usize,
    pub(super) pace: ReadingPace,
    sends: u64,
    pub(super) limits: EndpointLimits,
    /// When each throttled or leaving endpoint was last reported as failing.
    pub(super) failing_reported_at_ms: HashMap<Arc<str>, u64>,
    /// Endpoints that announced in a response that they are leaving.
    pub(super) leaving: HashSet<Arc<str>>,
    /// The mean time of a unit of work, by service, where it is known.
    pub(super) unit_ms: HashMap<Arc<str>, f64>,
    /// The services with endpoints that differ in speed.
    pub(super) uneven_services: HashSet<Arc<str>>,
    /// When the slowdowns of endpoints are computed again.
    pub(super) slowdowns_due_ms: u64,
    /// The services of which a response, or another gateway, has said that they are brittle.
    pub(super) brittle: HashMap<Arc<str>, Brittleness>,
    pub(super) slot_leases: SlotLeases,
    pub(super) coordinators: SlotCoordinators,
}

/// A gateway's periodic traffic report to the leader.
#[derive(Debug, Clone, Default)]
pub struct Traffic {
    /// Endpoints whose load changed.
    pub loads: Vec<EndpointLoad>,
    /// Weights that were used.
    pub used: Vec<WeightsUse>,
    /// Endpoints that could not be reached, failed repeatedly, or are throttled or leaving.
    pub failing: Vec<Arc<str>>,
}

impl Fleet {
    /// Creates a fleet without endpoints for a gateway in `zone`; `seed` decides which endpoints
    /// are compared.
    pub fn new(zone: Arc<str>, seed: u64) -> Self {
        Self {
            zone,
            endpoints: HashMap::new(),
            by_service: HashMap::new(),
            homes: HashMap::new(),
            versions: Versions::new(VERSION_WITHIN_MS * SENT_PERCENT / 100),
            begin_within_ms: begin_within_ms(VERSION_WITHIN_MS),
            loads_changed: HashSet::new(),
            uses: WeightsUses::default(),
            failing: HashSet::new(),
            out_of_reach: HashSet::new(),
            random: SmallRng::seed_from_u64(seed),
            gateways: 1,
            pace: ReadingPace::new(),
            sends: 0,
            limits: EndpointLimits::new(),
            failing_reported_at_ms: HashMap::new(),
            leaving: HashSet::new(),
            unit_ms: HashMap::new(),
            uneven_services: HashSet::new(),
            slowdowns_due_ms: 0,
            brittle: HashMap::new(),
            slot_leases: SlotLeases::new("".into(), 0),
            coordinators: SlotCoordinators::new(),
        }
    }

    /// Sets the gateway's name, under which it claims slots.
    #[must_use]
    pub fn with_gateway(mut self, name: Arc<str>) -> Self {
        self.slot_leases = SlotLeases::new(name, self.random.random());
        self
    }

    /// Sets the number of gateways.
    pub fn set_gateways(&mut self, now_ms: u64, gateways: u32) {
        self.gateways = gateways as usize;
        self.limits.set_gateways(now_ms, gateways);
    }

    /// Records that the leader confirmed a renewal that this gateway sent at `sent_at_ms`.
    pub fn note_confirmed(&mut self, sent_at_ms: u64) {
        self.limits.note_confirmed(sent_at_ms);
    }

    /// Adds or updates a registered endpoint.
    pub fn register(&mut self, endpoint: RegisteredEndpoint) {
        if let Some(state) = self.endpoints.get_mut(&endpoint.id) {
            state.endpoint = endpoint;
            return;
        }
        let ids = self.by_service.entry(endpoint.service.clone()).or_default();
        ids.push(endpoint.id.clone());
        self.endpoints.insert(endpoint.id.clone(), EndpointState::new(endpoint));
    }

    /// Removes an endpoint; returns its address.
    pub fn deregister(&mut self, id: &str) -> Option<SocketAddr> {
        let state = self.endpoints.remove(id)?;
        self.limits.remove(id);
        self.failing_reported_at_ms.remove(id);
        self.leaving.remove(id);
        self.out_of_reach.remove(id);
        self.slot_leases.remove(id);
        if let Some(brittleness) = self.brittle.get_mut(&state.endpoint.service) {
            brittleness.note_others(&state.endpoint.id, false);
        }
        if let Some(ids) = self.by_service.get_mut(&state.endpoint.service) {
            ids.retain(|other| &**other != id);
        }
        for homes in self.homes.values_mut() {
            homes.remove(id);
        }
        Some(state.endpoint.address)
    }

    /// Removes all endpoints except `ids`.
    pub fn keep_only(&mut self, ids: &[Arc<str>]) {
        let kept: HashSet<&Arc<str>> = ids.iter().collect();
        let mut gone = Vec::new();
        for id in self.endpoints.keys() {
            if !kept.contains(id) {
                gone.push(id.clone());
            }
        }
        for id in gone {
            self.deregister(&id);
        }
    }

    /// Applies which weights endpoints hold; `reset` replaces everything known before.
    pub fn place(&mut self, reset: bool, placed: Vec<Placed>) {
        if reset {
            self.homes.clear();
        }
        for Placed { endpoint, name, holding } in placed {
            let homes = self.homes.entry(name).or_default();
            match holding {
                Holding::Gone => homes.remove(&endpoint),
                holding => homes.insert(endpoint, holding),
            };
        }
    }

    /// Records that an endpoint turned out not to hold `name` in the `version` that was known.
    ///
    /// A different version, or a load in progress, that was reported since stays recorded, because
    /// it is not reported again.
    pub fn not_held(&mut self, endpoint: &str, name: &WeightsName, version: Option<u64>) {
        let Some(homes) = self.homes.get_mut(name) else { return };
        if homes.get(endpoint).copied() == version.map(Holding::Ready) {
            homes.remove(endpoint);
        }
    }

    /// Applies the load of the other gateways.
    pub fn note_loads(&mut self, now_ms: u64, loads: Vec<EndpointLoad>) {
        for load in loads {
            self.limits.set_others(now_ms, &load.endpoint, load.load.demand_per_min);
            if let Some(state) = self.endpoints.get_mut(&load.endpoint) {
                state.others_running = load.load.running;
                state.others_work = Work::from_load(&load.load);
                let Load { waiting_ms, late_ms, .. } = load.load;
                let others = UnreadMs { in_time: waiting_ms.into(), late: late_ms.into() };
                state.waiting.set_others(others);
                let (service, is_brittle) = (&state.endpoint.service, load.load.brittle > 0);
                if is_brittle || self.brittle.contains_key(service) {
                    let brittleness = self.brittle.entry(service.clone()).or_default();
                    brittleness.note_others(&load.endpoint, is_brittle);
                }
            }
        }
    }

    /// Clears the load of the other gateways, which is not updated without a leader.
    pub fn forget_loads(&mut self, now_ms: u64) {
        self.limits.forget_others(now_ms);
        self.brittle.values_mut().for_each(Brittleness::forget_others);
        for state in self.endpoints.values_mut() {
            state.others_running = 0;
            state.others_work = Work::default();
            state.waiting.set_others(UnreadMs::default());
        }
    }

    /// True if `id` has started no response since `at_ms`.
    pub fn is_silent_since(&self, at_ms: u64, id: &str) -> bool {
        self.endpoints.get(id).is_none_or(|state| state.waiting.is_silent_since(at_ms))
    }

    /// When `id` last answered a request of this gateway; 0 if it is not known or has answered none.
    pub fn answered_at_ms(&self, id: &str) -> u64 {
        self.endpoints.get(id).map_or(0, |state| state.waiting.answered_at_ms())
    }

    /// Records a request that is sent to `id`; returns the number that identifies it.
    pub fn start(
        &mut self,
        now_ms: u64,
        id: &Arc<str>,
        wanted: Option<&Wanted>,
        is_late: bool,
    ) -> u64 {
        self.sends += 1;
        let mut reading_ms = 0.0;
        if let Some(state) = self.endpoints.get_mut(id) {
            if wanted.is_none() {
                state.is_plain = true;
                let running = state.own_running + state.others_running;
                state.plain_samples.start(now_ms, self.sends, running);
            }
            state.own_running += 1;
            self.slot_leases.note_use(now_ms, id);
            let tokens = wanted.map_or(0, |wanted| state.unread_tokens(wanted));
            reading_ms = state.pace(self.pace).reading_ms(tokens);
            if let Some(wanted) = wanted {
                state
                    .prefix_cache
                    .note(&wanted.prompt, wanted.memory_tokens / self.gateways.max(1) as u64);
            }
            state.waiting.send(now_ms, self.sends, Prompt { tokens, reading_ms, is_late });
            self.loads_changed.insert(id.clone());
        }
        if let Some(wanted) = wanted {
            self.uses.start(id, &wanted.weights, reading_ms);
        }
        self.sends
    }

    /// Records that the request sent to `id` under `number` has ended.
    pub fn finish(
        &mut self,
        now_ms: u64,
        id: &Arc<str>,
        weights: Option<&WeightsName>,
        number: u64,
    ) {
        if let Some(name) = weights {
            self.uses.finish(id, name);
        }
        if let Some(state) = self.endpoints.get_mut(id) {
            state.own_running = state.own_running.saturating_sub(1);
            self.slot_leases.note_use(now_ms, id);
            state.waiting.end(now_ms, number);
            state.plain_samples.end(number);
            self.loads_changed.insert(id.clone());
        }
    }

    /// Records that `id` started its response to the request sent under `number`.
    pub fn answered(&mut self, now_ms: u64, id: &Arc<str>, number: u64) {
        let Some(state) = self.endpoints.get_mut(id) else { return };
        state.failures = 0;
        if state.backoff.note_accepted(now_ms) {
            info!(event = "endpoint_backoff_ended", endpoint = %id);
        }
        state.waiting.answered(now_ms);
        state.plain_samples.answered(now_ms, number);
        if let Some((tokens, took_ms)) = state.waiting.end(now_ms, number) {
            self.pace.note(tokens, took_ms);
            if state.pace.samples() == 0 {
                state.pace = ReadingPace::with_start(self.pace);
            }
            state.pace.note(tokens, took_ms);
            self.loads_changed.insert(id.clone());
        }
    }

    /// The registration of an endpoint.
    pub fn endpoint(&self, id: &str) -> Option<RegisteredEndpoint> {
        self.endpoints.get(id).map(|state| state.endpoint.clone())
    }

    /// The software version of an endpoint; empty if the endpoint is not known.
    pub(super) fn software_version(&self, id: &str) -> Arc<str> {
        let state = self.endpoints.get(id);
        state.map_or_else(|| "".into(), |state| state.endpoint.software_version.clone())
    }

    /// The software versions of a service's endpoints that are not leaving, for logs.
    pub(super) fn software_versions(&self, service: &str) -> String {
        let mut versions = BTreeSet::new();
        for id in self.by_service.get(service).into_iter().flatten() {
            let Some(state) = self.endpoints.get(id) else { continue };
            if !state.endpoint.leaving {
                versions.insert(&*state.endpoint.software_version);
            }
        }
        versions.into_iter().collect::<Vec<_>>().join(",")
    }

    /// Returns the changes since the last call.
    pub fn take_traffic(&mut self, now_ms: u64) -> Traffic {
        let mut loads = Vec::new();
        self.loads_changed.extend(self.limits.changed_demands(now_ms));
        self.refresh_slowdowns(now_ms);
        self.note_decayed_work(now_ms);
        for endpoint in self.loads_changed.drain() {
            let demand_per_min = self.limits.demand_per_min(&endpoint);
            let mut load = Load::default();
            if let Some(state) = self.endpoints.get_mut(&endpoint) {
                let brittleness = self.brittle.get(&state.endpoint.service);
                let is_brittle = brittleness.is_some_and(|it| it.is_heard(now_ms));
                load = state.load(now_ms, demand_per_min, is_brittle);
                state.reported_units = load.work_units;
            }
            loads.push(EndpointLoad { endpoint, load });
        }
        self.report_leaving(now_ms);
        let used = self.uses.take(now_ms);
        let failing = self.failing.drain().collect();
        Traffic { loads, used, failing }
    }

    /// Marks endpoints that differ in speed and whose evidence has decayed since the last report, so
    /// that an endpoint without requests counts as normal again at all gateways.
    fn note_decayed_work(&mut self, now_ms: u64) {
        for (id, state) in &self.endpoints {
            let is_reported = !is_normal(state.slowdown) && state.reported_units > 0;
            let (units, _) = state.own_work.get(now_ms).to_reported();
            if is_reported && units <= state.reported_units / 2 {
                self.loads_changed.insert(id.clone());
            }
        }
    }

    /// Reports endpoints that announced in a response that they are leaving as failing, so that the
    /// leader places weights elsewhere even if no heartbeat announces it.
    fn report_leaving(&mut self, now_ms: u64) {
        let endpoints = &self.endpoints;
        self.leaving.retain(|id| endpoints.get(id).is_some_and(|state| state.is_leaving(now_ms)));
        let leaving: Vec<Arc<str>> = self.leaving.iter().cloned().collect();
        self.report_failing(now_ms, leaving);
    }

    /// Makes the next report include all weights in use, for a leader that knows none of them.
    pub fn request_full_uses(&mut self) {
        self.uses.force_full_report();
    }

    /// This gateway's load on all endpoints, for a leader that does not know it.
    pub fn all_loads(&self, now_ms: u64) -> Vec<EndpointLoad> {
        let mut loads = Vec::new();
        for (id, state) in &self.endpoints {
            let brittleness = self.brittle.get(&state.endpoint.service);
            let is_brittle = brittleness.is_some_and(|it| it.is_heard(now_ms));
            let load = state.load(now_ms, self.limits.demand_per_min(id), is_brittle);
            if load != Load::default() {
                loads.push(EndpointLoad { endpoint: id.clone(), load });
            }
        }
        loads
    }

    /// The number of known endpoints.
    pub fn len(&self) -> usize {
        self.endpoints.len()
    }

    /// True if no endpoint is known.
    pub fn is_empty(&self) -> bool {
        self.endpoints.is_empty()
    }
}
