//! Decides which weights (base models and adapters) each inference endpoint loads and unloads.
//!
//! The elected leader decides; the gateway that holds an endpoint (its order holder) sends it the
//! leader's orders, one at a time. The leader learns what endpoints hold from their heartbeats,
//! their reports and the outcomes of orders, so a new leader needs no state from the previous one.
//!
//! An endpoint that holds weights is a *home* of these weights. An adapter prefers the endpoint
//! that ranks first by a hash of both, so that each endpoint serves few adapters and reloads them
//! from its local copies instead of the weight store.

mod demand;
mod endpoint;
mod holders;
mod homes;
mod observed;
mod outcome;
mod pacing;
mod renewal;
mod store_limit;
mod wanted;

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use tracing::info;

pub use demand::{Demand, StoreRateLimit};
pub use endpoint::{COPIES_MAX, EndpointState, PlacedWeights, StoreLoad, WeightsState};
pub use holders::{HolderChoice, OrderHolder, OrderHolders};
pub use outcome::CompletedStoreLoad;
pub use pacing::PassPacing;
pub use store_limit::StoreConcurrencyLimit;

use crate::message::{
    AdapterNeed, EngineOrder, Heartbeat, Holding, Load, OrderKind, OrderResult, Placed,
    RegisteredEndpoint, WeightsName, WeightsUse,
};
use crate::policy::endpoint_speed::ServiceWork;
use crate::policy::versions::{HELD_PERCENT, Versions};
use crate::routing::{EngineSpec, RoutingConfiguration};
use holders::GatewayTracker;
use wanted::{PlacementRequest, Wanted};

/// Endpoints without a heartbeat for this long get no new weights: two heartbeat periods plus one
/// second for a late one.
const HEARTBEAT_TIMEOUT_MS: u64 = 4_000;
/// Weights used this recently are not evicted: a request that is on its way to the endpoint is
/// reported within this time.
const USE_GRACE_MS: u64 = 250;
/// The half-life of a request's contribution to the demand that decides on additional homes, if the
/// demand over a longer time is lower: demand can move to another adapter within a second.
const SURGE_HALF_LIFE_MS: f64 = 700.0;
/// A use that its gateway did not repeat within this time ended with the gateway; gateways repeat
/// every use once a second.
const USE_TIMEOUT_MS: u64 = 2_500;

/// A new local copy of weights at an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NewCopy {
    /// The endpoint's ID.
    pub endpoint: Arc<str>,
    /// The copied weights.
    pub weights: WeightsName,
}

/// The gateway that reported a use of weights.
#[derive(Debug, Clone)]
pub struct UsageSource {
    /// The gateway's name.
    pub gateway: Arc<str>,
    /// The gateway's availability zone.
    pub zone: Arc<str>,
}

/// Limits on the orders that the leader gives.
#[derive(Debug, Clone, Copy)]
pub struct PlacementSettings {
    /// The engines' order lease: how long orders of one gateway may take effect after it sent them.
    pub order_lease_ms: u64,
    /// How long after a version of weights was replaced requests may begin on it.
    pub version_within_ms: u64,
    /// The share of the weight store's load rate that the leader uses.
    pub store_share: f64,
    /// The recent requests that weights need before they are loaded from the weight store.
    pub store_load_min_requests: f64,
}

impl Default for PlacementSettings {
    fn default() -> Self {
        Self {
            order_lease_ms: 3_000,
            version_within_ms: 5_000,
            store_share: 0.85,
            store_load_min_requests: 0.0,
        }
    }
}

/// Counts, by reason, of placement requests that a pass left open.
#[derive(Debug, Clone, Copy, Default)]
struct OpenWants {
    /// Not handled in this pass, since nothing could be done for them shortly before.
    put_off: usize,
    on_their_way: usize,
    endpoint_busy: usize,
    store_busy: usize,
    ordered: usize,
    no_victim: usize,
}

/// The leader's record of the weights on all endpoints, and the orders it derives from that record.
pub struct Placement {
    settings: PlacementSettings,
    gateway_tracker: GatewayTracker,
    endpoints: BTreeMap<Arc<str>, EndpointState>,
    engines: HashMap<Arc<str>, EngineSpec>,
    versions: Versions,
    /// The endpoint after which the next scan for replaced versions continues.
    scan_cursor: Option<Arc<str>>,
    scanned_at_ms: u64,
    /// Endpoints where the latest scan found replaced versions.
    holding_replaced: BTreeSet<Arc<str>>,
    /// Weights of which some endpoint may hold a version older than the newest.
    updated_weights: HashSet<WeightsName>,
    /// The demand in requests, by weights.
    demand: Demand,
    /// The same over a shorter time, for weights whose demand rises suddenly.
    surge: Demand,
    /// The demand in milliseconds that endpoints spend on reading prompts, by weights.
    prompt_reading: Demand,
    wanted: HashMap<Wanted, PlacementRequest>,
    pacing: PassPacing,
    open: OpenWants,
    logged_at_ms: u64,
    store: HashMap<Arc<str>, StoreRateLimit>,
    orders: Vec<EngineOrder>,
    placed: Vec<Placed>,
    last_order_number: u64,
    /// The limit on concurrent adapter loads from the weight store.
    store_limit: StoreConcurrencyLimit,
    /// Weights of which some endpoint has a local copy.
    copied: HashSet<WeightsName>,
    /// Copies made since the last `take_new_copies`.
    new_copies: Vec<NewCopy>,
    /// The work that endpoints did for all gateways.
    work: ServiceWork,
}

impl Placement {
    /// Creates the empty record of a new leader.
    pub fn new(now_ms: u64, settings: PlacementSettings) -> Self {
        Self {
            settings,
            gateway_tracker: GatewayTracker::new(now_ms),
            endpoints: BTreeMap::new(),
            engines: HashMap::new(),
            versions: Versions::new(settings.version_within_ms * HELD_PERCENT / 100),
            scan_cursor: None,
            scanned_at_ms: now_ms,
            holding_replaced: BTreeSet::new(),
            updated_weights: HashSet::new(),
            demand: Demand::new(),
            surge: Demand::new().with_half_life_ms(SURGE_HALF_LIFE_MS),
            prompt_reading: Demand::new(),
            wanted: HashMap::new(),
            pacing: PassPacing::default(),
            open: OpenWants::default(),
            logged_at_ms: 0,
            store: HashMap::new(),
            orders: Vec::new(),
            placed: Vec::new(),
            last_order_number: 0,
            store_limit: StoreConcurrencyLimit::new(),
            copied: HashSet::new(),
            new_copies: Vec::new(),
            work: ServiceWork::default(),
        }
    }

    /// Numbers orders above `first`, so that a late outcome of a previous leader's order matches no
    /// order of this leader.
    #[must_use]
    pub fn with_orders_after(mut self, first: u64) -> Self {
        self.last_order_number = first;
        self
    }

    /// Applies the engines of a new routing configuration.
    pub fn configure(&mut self, now_ms: u64, configuration: &RoutingConfiguration) {
        self.engines.clear();
        for service in &configuration.services {
            let Some(engine) = &service.engine else { continue };
            self.engines.insert(service.name.clone(), engine.clone());
            let rate = engine.store_loads_per_s * self.settings.store_share;
            self.store
                .entry(service.name.clone())
                .or_insert_with(|| StoreRateLimit::new(now_ms))
                .set_rate(rate);
        }
    }

    /// Adds or updates a registered endpoint.
    pub fn register(&mut self, now_ms: u64, endpoint: &RegisteredEndpoint) {
        let known = self
            .endpoints
            .entry(endpoint.id.clone())
            .or_insert_with(|| EndpointState::new(now_ms, endpoint.clone()));
        known.endpoint = endpoint.clone();
        // Allows one load per endpoint until measured loads show the store's capacity.
        self.store_limit.raise_initial_limit(self.endpoints.len());
    }

    /// Removes an endpoint.
    pub fn deregister(&mut self, id: &str) {
        self.endpoints.remove(id);
        self.work.remove(id);
    }

    /// Records a version of weights that was published just now.
    pub fn set_version(&mut self, now_ms: u64, name: WeightsName, version: u64) {
        if version > self.versions.newest(&name).unwrap_or(1) {
            self.forget_copies(&name);
        }
        self.updated_weights.insert(name.clone());
        self.versions.record(now_ms, name, version);
    }

    /// Drops copies of a replaced version: the newer one has to be loaded from the store.
    fn forget_copies(&mut self, name: &WeightsName) {
        self.copied.remove(name);
        self.new_copies.retain(|copy| copy.weights != *name);
        for endpoint in self.endpoints.values_mut() {
            endpoint.copies.remove(name);
        }
    }

    /// Records the newest version of weights that was published under a previous leader.
    pub fn learn_version(&mut self, now_ms: u64, name: WeightsName, version: u64) {
        self.versions.record_with_unknown_age(now_ms, name, version);
    }

    /// Applies a heartbeat.
    pub fn observe(&mut self, now_ms: u64, heartbeat: &Heartbeat) {
        let Some(endpoint) = self.endpoints.get_mut(&heartbeat.endpoint.id) else { return };
        endpoint.heartbeat_at_ms = now_ms;
        if let Some(holds) = &heartbeat.holds {
            endpoint.observe(now_ms, holds, &mut self.placed);
        }
    }

    /// Records the weights that a gateway in `zone` needs.
    pub fn note_needs(&mut self, now_ms: u64, zone: &Arc<str>, needs: Vec<AdapterNeed>) {
        for need in needs {
            self.demand.add(now_ms, &need.weights, f64::from(need.requests));
            self.surge.add(now_ms, &need.weights, f64::from(need.requests));
            let mut request = PlacementRequest::additional(now_ms, &need.weights, zone.clone());
            request.homes_are_full = need.more;
            request.is_additional = need.more;
            let key = Wanted::new(need.service, need.weights).with_software(need.software_version);
            if let Some(known) = self.wanted.get(&key) {
                request.first_asked_at_ms = known.first_asked_at_ms;
                request.check_again_at_ms = known.check_again_at_ms;
                request.evicting_until_ms = known.evicting_until_ms;
            }
            self.wanted.insert(key, request);
        }
    }

    /// Records the weights that a gateway used.
    pub fn used(&mut self, now_ms: u64, from: &UsageSource, used: Vec<WeightsUse>) {
        for weights in used {
            if weights.requests > 0 {
                self.demand.add(now_ms, &weights.name, f64::from(weights.requests));
                self.surge.add(now_ms, &weights.name, f64::from(weights.requests));
                self.prompt_reading.add(now_ms, &weights.name, f64::from(weights.reading_ms));
                self.request_additional_home(now_ms, &from.zone, &weights);
                if weights.name.adapter.is_some() {
                    let requests = f64::from(weights.requests);
                    self.demand.add(now_ms, &weights.name.base(), requests);
                }
            }
            let newest = self.required_version(&weights.name);
            let Some(endpoint) = self.endpoints.get_mut(&weights.endpoint) else { continue };
            endpoint.note_use(now_ms, &from.gateway, &weights, newest);
        }
    }

    /// Records the load of all gateways together at an endpoint.
    pub fn note_load(&mut self, id: &str, load: Load) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.load = load;
            self.work.set(&endpoint.endpoint.id, &endpoint.endpoint.service, &load);
        }
    }

    /// The work that endpoints did, by service.
    pub fn work(&self) -> &ServiceWork {
        &self.work
    }

    /// True when any gateway has requests running at the endpoint, or had some in the last seconds.
    ///
    /// Requests that run for milliseconds are seldom running when loads are reported.
    pub fn is_in_use(&self, id: &str) -> bool {
        let is_in_use = |load: &Load| load.running > 0 || load.work_units > 0;
        self.endpoints.get(id).is_some_and(|endpoint| is_in_use(&endpoint.load))
    }

    /// Marks endpoints that `gateway` reported as failing.
    pub fn mark_endpoints_failing(&mut self, now_ms: u64, gateway: &str, endpoints: &[Arc<str>]) {
        for id in endpoints {
            let Some(endpoint) = self.endpoints.get_mut(id) else { continue };
            info!(event = "endpoint_failing", endpoint = %id, gateway);
            endpoint.mark_failing(now_ms);
        }
    }

    /// Returns what all endpoints hold, for a gateway that has just connected.
    pub fn all_placed(&self) -> Vec<Placed> {
        let mut placed = Vec::new();
        for (id, endpoint) in &self.endpoints {
            for (name, place) in &endpoint.places {
                let holding = match place.state {
                    WeightsState::Ready => Holding::Ready(place.version),
                    WeightsState::Loading { .. } => Holding::Coming,
                    WeightsState::Unloading => continue,
                };
                placed.push(Placed { endpoint: id.clone(), name: name.clone(), holding });
            }
        }
        placed
    }

    /// Returns the changes for gateways since the last call.
    pub fn take_placed(&mut self) -> Vec<Placed> {
        std::mem::take(&mut self.placed)
    }

    /// Returns the orders to send.
    pub fn take_orders(&mut self) -> Vec<EngineOrder> {
        std::mem::take(&mut self.orders)
    }

    /// Records that an endpoint has copies of `weights`, oldest first.
    pub fn remember_copies(&mut self, now_ms: u64, id: &str, weights: &VecDeque<WeightsName>) {
        let Some(endpoint) = self.endpoints.get_mut(id) else { return };
        endpoint.remember_copies(now_ms, weights);
        self.copied.extend(weights.iter().cloned());
    }

    /// Returns the copies made since the last call, to be recorded for later leaders.
    pub fn take_new_copies(&mut self) -> Vec<NewCopy> {
        std::mem::take(&mut self.new_copies)
    }

    /// Applies the outcome of an order.
    pub fn ordered(&mut self, now_ms: u64, result: OrderResult) {
        let Some(endpoint) = self.endpoints.get_mut(&result.endpoint) else { return };
        if let OrderKind::Load { name, .. } = &result.kind {
            let any = Wanted::new(endpoint.endpoint.service.clone(), name.clone());
            let version = endpoint.endpoint.software_version.clone();
            for key in [any.clone(), any.with_software(Some(version))] {
                let Some(request) = self.wanted.get_mut(&key) else { continue };
                request.check_again_at_ms = now_ms;
            }
        }
        let Some(load) = endpoint.ordered(now_ms, &result, &mut self.placed) else { return };
        self.new_copies.push(NewCopy { endpoint: result.endpoint, weights: load.name.clone() });
        let Some(took_ms) = load.took_ms else { return };
        // The completed load was in progress until now, so it counts as well.
        let concurrent = load.concurrent_at_start.max(self.loading_from_store(now_ms) + 1);
        self.store_limit.record_load(&load.name, took_ms, concurrent);
    }

    /// Runs a placement pass if one is due: creates orders for the gateways recorded in `holders`.
    pub fn advance(&mut self, now_ms: u64, holders: &OrderHolders) {
        if !self.pacing.begin(now_ms, self.endpoints.len()) {
            return;
        }
        self.update_holders(now_ms, holders);
        self.fail_lost_orders(now_ms);
        self.order_reports(now_ms);
        self.check_loads(now_ms);
        self.repeat_unloads(now_ms);
        self.unload_replaced_versions(now_ms);
        self.request_newest_versions(now_ms);
        self.fill_empty_endpoints(now_ms);
        self.load_wanted(now_ms);
    }

    /// Records that a pass which has begun has ended by now; returns its duration in milliseconds.
    pub fn end_pass(&mut self, now_ms: u64) -> Option<u64> {
        self.pacing.end(now_ms)
    }

    fn fail_lost_orders(&mut self, now_ms: u64) {
        let mut lost = Vec::new();
        for endpoint in self.endpoints.values() {
            lost.extend(endpoint.lost_order(now_ms));
        }
        for result in lost {
            info!(event = "order_lost", endpoint = %result.endpoint, number = result.number);
            self.ordered(now_ms, result);
        }
    }

    fn order_reports(&mut self, now_ms: u64) {
        let mut due = Vec::new();
        for (id, endpoint) in &self.endpoints {
            if self.engines.contains_key(&endpoint.endpoint.service)
                && endpoint.needs_report(now_ms)
            {
                due.push(id.clone());
            }
        }
        for id in due {
            self.order(now_ms, &id, OrderKind::Report);
        }
    }

    fn check_loads(&mut self, now_ms: u64) {
        let mut due = Vec::new();
        for (id, endpoint) in &self.endpoints {
            let Some(name) = endpoint.load_to_check(now_ms) else { continue };
            due.push((id.clone(), name));
        }
        for (id, name) in due {
            let version = self.newest_version(&name);
            self.order(now_ms, &id, OrderKind::Load { name, version });
        }
    }

    fn repeat_unloads(&mut self, now_ms: u64) {
        let mut due = Vec::new();
        for (id, endpoint) in &self.endpoints {
            let Some(name) = endpoint.unload_to_repeat(now_ms) else { continue };
            due.push((id.clone(), name));
        }
        for (id, name) in due {
            self.order(now_ms, &id, OrderKind::Unload { name });
        }
    }

    fn load_if_store_allows(
        &mut self,
        now_ms: u64,
        service: &Arc<str>,
        id: &Arc<str>,
        name: &WeightsName,
    ) {
        let Some(endpoint) = self.endpoints.get(id) else { return };
        if !endpoint.has_copy(name) && name.adapter.is_some() && self.is_store_full(now_ms) {
            self.open.store_busy += 1;
            return;
        }
        // The weight store limits only the rate of base model loads.
        if !endpoint.has_copy(name) && name.adapter.is_none() {
            let Some(store) = self.store.get_mut(service) else { return };
            if !store.take(now_ms) {
                return;
            }
        }
        self.copied.insert(name.clone());
        let version = self.newest_version(name);
        self.order(now_ms, id, OrderKind::Load { name: name.clone(), version });
    }

    /// True while adapter loads from the store are at their limit.
    fn is_store_full(&self, now_ms: u64) -> bool {
        self.loading_from_store(now_ms) >= self.store_limit.concurrent_max()
    }

    fn loading_from_store(&self, now_ms: u64) -> usize {
        self.endpoints.values().map(|endpoint| endpoint.loading_from_store(now_ms)).sum()
    }

    /// The minimum version of `name` that counts as a home. The minimum is 0 if no version was
    /// published, and for base models, which serve requests in whatever version is loaded.
    fn required_version(&self, name: &WeightsName) -> u64 {
        if name.adapter.is_none() { 0 } else { self.versions.newest(name).unwrap_or(0) }
    }

    fn newest_version(&self, name: &WeightsName) -> Option<u64> {
        self.versions.newest(name)
    }

    fn order(&mut self, now_ms: u64, id: &Arc<str>, kind: OrderKind) {
        // Counts concurrent loads for load orders only: the count scans all endpoints, and most
        // orders are reports.
        let concurrent = match &kind {
            OrderKind::Load { .. } => self.loading_from_store(now_ms) + 1,
            OrderKind::Unload { .. } | OrderKind::Report => 0,
        };
        let Some(endpoint) = self.endpoints.get_mut(id) else { return };
        let Some(OrderHolder { gateway, token }) = endpoint.holder().cloned() else { return };
        self.last_order_number += 1;
        let store = match &kind {
            OrderKind::Load { name, .. } => {
                StoreLoad { expected_ms: self.store_limit.baseline_ms(name), concurrent }
            }
            _ => StoreLoad::default(),
        };
        endpoint.start_order(now_ms, self.last_order_number, &kind, store, &mut self.placed);
        self.orders.push(EngineOrder {
            number: self.last_order_number,
            endpoint: id.clone(),
            endpoint_name: endpoint.endpoint.name.clone(),
            address: endpoint.endpoint.address,
            kind,
            expected_sequence: endpoint.sequence,
            holder: gateway,
            token,
        });
    }

    /// Returns the state dump.
    pub fn dump(&self) -> serde_json::Value {
        let mut endpoints = Vec::new();
        for (id, endpoint) in &self.endpoints {
            endpoints.push(serde_json::json!({
                "id": id, "adapters": endpoint.adapters(), "sequence": endpoint.sequence,
                "copies": endpoint.copies.len(),
            }));
        }
        serde_json::json!({ "endpoints": endpoints, "wanted": self.wanted.len() })
    }

    /// True while the endpoint's heartbeats arrive.
    pub fn is_endpoint_live(&self, now_ms: u64, id: &str) -> bool {
        self.endpoints.get(id).is_some_and(|endpoint| endpoint.is_live(now_ms))
    }

    /// Returns the IDs of registered endpoints whose heartbeats stopped.
    pub fn silent(&self, now_ms: u64) -> HashSet<Arc<str>> {
        let mut silent = HashSet::new();
        for (id, endpoint) in &self.endpoints {
            if !endpoint.is_live(now_ms) {
                silent.insert(id.clone());
            }
        }
        silent
    }
}
