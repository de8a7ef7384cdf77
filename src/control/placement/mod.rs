//! Which endpoints hold which weights: what the leader of control knows, wants and orders.
//!
//! The leader decides; the gateway that holds an endpoint gives it its orders, one at a time. What
//! endpoints hold is learnt from their heartbeats, their reports and the outcome of orders, so a new
//! leader needs nothing of the earlier one. An adapter has its home at the endpoint that a hash of
//! both puts first, so that each endpoint meets few adapters and finds them in its own copies.

mod demand;
mod endpoint;
mod holders;
mod homes;
mod observed;
mod outcome;
mod renewal;
mod store_limit;

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use tracing::info;

pub use demand::{Demand, StoreAllowance};
pub use endpoint::{COPIES_MAX, EndpointPlaces, Place, PlaceState, StoreLoad};
pub use holders::{HolderChoice, OrderHolder, OrderHolders};
pub use outcome::StoreLoadDone;
pub use store_limit::StoreLimit;

use crate::message::{
    AdapterNeed, EngineOrder, Heartbeat, Holding, Load, OrderKind, OrderResult, Placed,
    RegisteredEndpoint, WeightsName, WeightsUse,
};
use crate::policy::versions::{HELD_PERCENT, Versions};
use crate::routing::{EngineSpec, RoutingConfiguration};
use holders::HolderWatch;

/// An endpoint that said nothing for this long gets no new adapters: twice the usual period of
/// heartbeats and a second for one that is late.
const SILENT_MS: u64 = 4_000;
/// The shortest time between two passes.
const PASS_MS: u64 = 5;
/// Endpoints for each millisecond between two passes: a pass looks at all of them.
const ENDPOINTS_PER_PASS_MS: u64 = 75;
/// A place that was used this recently is not given to another adapter: a request that is being sent
/// there is told of within this time.
const KEEP_USED_MS: u64 = 250;
/// A use that its gateway did not mention again in this time has ended with the gateway; it mentions
/// everything once a second.
const USE_FORGOTTEN_MS: u64 = 2_500;

/// An endpoint that got a copy of weights.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NewCopy {
    /// The endpoint's id.
    pub endpoint: Arc<str>,
    /// The weights.
    pub weights: WeightsName,
}

/// The gateway that tells of a use.
#[derive(Debug, Clone)]
pub struct UseFrom {
    /// Its name.
    pub gateway: Arc<str>,
    /// Its availability zone.
    pub zone: Arc<str>,
}

/// Bounds of orders.
#[derive(Debug, Clone, Copy)]
pub struct PlacementSettings {
    /// How long the orders of a gateway may still count after it gave them.
    pub order_lease_ms: u64,
    /// How long after a version of weights was replaced requests may begin on it.
    pub version_within_ms: u64,
    /// The share of the weight store's rate that is used.
    pub store_share: f64,
    /// Requests within a short time that justify a load from the weight store.
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

/// Weights that gateways asked for.
#[derive(Debug, Clone)]
struct Want {
    /// When they were last asked for.
    asked_at_ms: u64,
    /// Since when they are asked for.
    since_ms: u64,
    /// The hash that finds their home among endpoints.
    hash: u64,
    /// True when the endpoints that hold them are full.
    more: bool,
    /// True when some endpoint holds them already.
    is_further: bool,
    /// The availability zone of the gateway that asked last.
    zone: Arc<str>,
}

impl Want {
    /// A further home for `name`, asked for in `zone`.
    fn further(now_ms: u64, name: &WeightsName, zone: Arc<str>) -> Self {
        Self {
            asked_at_ms: now_ms,
            since_ms: now_ms,
            hash: crate::hash::stable(&name.to_string()),
            more: false,
            is_further: true,
            zone,
        }
    }
}

/// Why wants of a pass are still open.
#[derive(Debug, Clone, Copy, Default)]
struct OpenWants {
    on_their_way: usize,
    endpoint_busy: usize,
    store_busy: usize,
    ordered: usize,
    no_victim: usize,
}

/// What the leader knows and wants of the weights on endpoints.
pub struct Placement {
    settings: PlacementSettings,
    holder_watch: HolderWatch,
    endpoints: BTreeMap<Arc<str>, EndpointPlaces>,
    engines: HashMap<Arc<str>, EngineSpec>,
    versions: Versions,
    /// Where the next look for older versions begins.
    looked_until: Option<Arc<str>>,
    looked_at_ms: u64,
    /// Endpoints at which the last look found replaced versions.
    outdated: BTreeSet<Arc<str>>,
    /// Weights of which some endpoint may hold a version older than the newest.
    renewed: HashSet<WeightsName>,
    /// Requests.
    demand: Demand,
    /// Milliseconds that endpoints spend on reading prompts.
    reading: Demand,
    wanted: HashMap<(Arc<str>, WeightsName), Want>,
    advanced_at_ms: u64,
    open: OpenWants,
    told_at_ms: u64,
    store: HashMap<Arc<str>, StoreAllowance>,
    orders: Vec<EngineOrder>,
    placed: Vec<Placed>,
    next_order: u64,
    /// How many adapters may be on their way from the weight store.
    store_limit: StoreLimit,
    /// Weights of which some endpoint has a copy.
    copied: HashSet<WeightsName>,
    /// Copies that were made since they were last taken.
    new_copies: Vec<NewCopy>,
}

impl Placement {
    /// Knows nothing yet, at the start of a leader's time.
    pub fn new(now_ms: u64, settings: PlacementSettings) -> Self {
        Self {
            settings,
            holder_watch: HolderWatch::new(now_ms),
            endpoints: BTreeMap::new(),
            engines: HashMap::new(),
            versions: Versions::new(settings.version_within_ms * HELD_PERCENT / 100),
            looked_until: None,
            looked_at_ms: now_ms,
            outdated: BTreeSet::new(),
            renewed: HashSet::new(),
            demand: Demand::new(),
            reading: Demand::new(),
            wanted: HashMap::new(),
            advanced_at_ms: 0,
            open: OpenWants::default(),
            told_at_ms: 0,
            store: HashMap::new(),
            orders: Vec::new(),
            placed: Vec::new(),
            next_order: 0,
            store_limit: StoreLimit::new(),
            copied: HashSet::new(),
            new_copies: Vec::new(),
        }
    }

    /// Numbers orders above `first`, so that an outcome of an earlier leader's order is not taken for
    /// that of another one.
    #[must_use]
    pub fn with_orders_after(mut self, first: u64) -> Self {
        self.next_order = first;
        self
    }

    /// Takes the configuration's engines over.
    pub fn configure(&mut self, now_ms: u64, configuration: &RoutingConfiguration) {
        self.engines.clear();
        for service in &configuration.services {
            let Some(engine) = &service.engine else { continue };
            self.engines.insert(service.name.clone(), engine.clone());
            let rate = engine.store_loads_per_s * self.settings.store_share;
            self.store
                .entry(service.name.clone())
                .or_insert_with(|| StoreAllowance::new(now_ms))
                .set_rate(rate);
        }
    }

    /// Notes an endpoint's registration.
    pub fn register(&mut self, now_ms: u64, endpoint: &RegisteredEndpoint) {
        let known = self
            .endpoints
            .entry(endpoint.id.clone())
            .or_insert_with(|| EndpointPlaces::new(now_ms, endpoint.clone()));
        known.endpoint = endpoint.clone();
        // One load for each endpoint, until loads tell what the store bears.
        self.store_limit.start_from(self.endpoints.len());
    }

    /// Forgets an endpoint that is gone.
    pub fn deregister(&mut self, id: &str) {
        self.endpoints.remove(id);
    }

    /// Notes a version of weights that has just been named as the newest.
    pub fn set_version(&mut self, now_ms: u64, name: WeightsName, version: u64) {
        if version > self.versions.newest(&name).unwrap_or(1) {
            self.forget_copies(&name);
        }
        self.renewed.insert(name.clone());
        self.versions.record(now_ms, name, version);
    }

    /// Forgets copies of a version that was replaced: a load of the newer one comes from the store.
    fn forget_copies(&mut self, name: &WeightsName) {
        self.copied.remove(name);
        self.new_copies.retain(|copy| copy.weights != *name);
        for endpoint in self.endpoints.values_mut() {
            endpoint.copies.remove(name);
        }
    }

    /// Notes a version of weights that was named as the newest under an earlier leader.
    pub fn learn_version(&mut self, now_ms: u64, name: WeightsName, version: u64) {
        self.versions.record_with_unknown_age(now_ms, name, version);
    }

    /// Takes a heartbeat in.
    pub fn observe(&mut self, now_ms: u64, heartbeat: &Heartbeat) {
        let Some(endpoint) = self.endpoints.get_mut(&heartbeat.endpoint.id) else { return };
        endpoint.heard_at_ms = now_ms;
        if let Some(holds) = &heartbeat.holds {
            endpoint.observe(now_ms, holds, &mut self.placed);
        }
    }

    /// Takes what a gateway in `zone` lacks.
    pub fn need(&mut self, now_ms: u64, zone: &Arc<str>, needs: Vec<AdapterNeed>) {
        for need in needs {
            self.demand.add(now_ms, &need.weights, f64::from(need.requests));
            let mut want = Want::further(now_ms, &need.weights, zone.clone());
            want.more = need.more;
            want.is_further = need.more;
            let key = (need.service, need.weights);
            if let Some(known) = self.wanted.get(&key) {
                want.since_ms = known.since_ms;
            }
            self.wanted.insert(key, want);
        }
    }

    /// Takes what a gateway used.
    pub fn used(&mut self, now_ms: u64, from: &UseFrom, used: Vec<WeightsUse>) {
        for weights in used {
            if weights.requests > 0 {
                self.demand.add(now_ms, &weights.name, f64::from(weights.requests));
                self.reading.add(now_ms, &weights.name, f64::from(weights.reading_ms));
                self.want_further_home(now_ms, &from.zone, &weights);
                if weights.name.adapter.is_some() {
                    let requests = f64::from(weights.requests);
                    self.demand.add(now_ms, &weights.name.base(), requests);
                }
            }
            let newest = self.version_wanted(&weights.name);
            let Some(endpoint) = self.endpoints.get_mut(&weights.endpoint) else { continue };
            endpoint.note_use(now_ms, &from.gateway, &weights, newest);
        }
    }

    /// Notes what all gateways together have under way at an endpoint.
    pub fn note_load(&mut self, id: &str, load: Load) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.load = load;
        }
    }

    /// True when gateways have something under way at the endpoint.
    pub fn is_used(&self, id: &str) -> bool {
        self.endpoints.get(id).is_some_and(|endpoint| endpoint.load.running > 0)
    }

    /// Notes endpoints that a gateway cannot reach.
    pub fn failing(&mut self, now_ms: u64, endpoints: &[Arc<str>]) {
        for id in endpoints {
            let Some(endpoint) = self.endpoints.get_mut(id) else { continue };
            info!(event = "endpoint_failing", endpoint = %id);
            endpoint.note_failing(now_ms);
        }
    }

    /// Everything that endpoints hold, for a gateway that has just come.
    pub fn all_placed(&self) -> Vec<Placed> {
        let mut placed = Vec::new();
        for (id, endpoint) in &self.endpoints {
            for (name, place) in &endpoint.places {
                let holding = match place.state {
                    PlaceState::Ready => Holding::Ready(place.version),
                    PlaceState::Loading { .. } => Holding::Coming,
                    PlaceState::Unloading => continue,
                };
                placed.push(Placed { endpoint: id.clone(), name: name.clone(), holding });
            }
        }
        placed
    }

    /// What changed for gateways since the last call.
    pub fn take_placed(&mut self) -> Vec<Placed> {
        std::mem::take(&mut self.placed)
    }

    /// The orders to send.
    pub fn take_orders(&mut self) -> Vec<EngineOrder> {
        std::mem::take(&mut self.orders)
    }

    /// Takes over that an endpoint has copies of `weights`, the latest last.
    pub fn remember_copies(&mut self, now_ms: u64, id: &str, weights: &VecDeque<WeightsName>) {
        let Some(endpoint) = self.endpoints.get_mut(id) else { return };
        endpoint.remember_copies(now_ms, weights);
        self.copied.extend(weights.iter().cloned());
    }

    /// The copies that endpoints got since the last call, for those who lead later.
    pub fn take_new_copies(&mut self) -> Vec<NewCopy> {
        std::mem::take(&mut self.new_copies)
    }

    /// Takes the outcome of an order in.
    pub fn ordered(&mut self, now_ms: u64, result: OrderResult) {
        let Some(endpoint) = self.endpoints.get_mut(&result.endpoint) else { return };
        let Some(load) = endpoint.ordered(now_ms, &result, &mut self.placed) else { return };
        self.new_copies.push(NewCopy { endpoint: result.endpoint, weights: load.name.clone() });
        let Some(took_ms) = load.took_ms else { return };
        // The one that is done was on its way until now.
        let beside = load.beside_at_start.max(self.coming_from_store(now_ms) + 1);
        self.store_limit.note(&load.name, took_ms, beside);
    }

    /// Decides what is to be ordered now, through the gateways that are recorded in `holders`.
    pub fn advance(&mut self, now_ms: u64, holders: &OrderHolders) {
        let pause_ms = PASS_MS.max(self.endpoints.len() as u64 / ENDPOINTS_PER_PASS_MS);
        if now_ms < self.advanced_at_ms + pause_ms {
            return;
        }
        self.advanced_at_ms = now_ms;
        self.follow_holders(now_ms, holders);
        self.give_up_lost_orders(now_ms);
        self.ask_for_reports(now_ms);
        self.check_loads(now_ms);
        self.repeat_unloads(now_ms);
        self.unload_replaced_versions(now_ms);
        self.want_newest_versions(now_ms);
        self.fill_empty_endpoints(now_ms);
        self.load_wanted(now_ms);
    }

    fn give_up_lost_orders(&mut self, now_ms: u64) {
        let mut lost = Vec::new();
        for endpoint in self.endpoints.values() {
            lost.extend(endpoint.lost_order(now_ms));
        }
        for result in lost {
            info!(event = "order_lost", endpoint = %result.endpoint, number = result.number);
            self.ordered(now_ms, result);
        }
    }

    fn ask_for_reports(&mut self, now_ms: u64) {
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
            let version = self.version_of(&name);
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

    fn load_with_allowance(
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
        // The store counts loads of base models only.
        if !endpoint.has_copy(name) && name.adapter.is_none() {
            let Some(store) = self.store.get_mut(service) else { return };
            if !store.take(now_ms) {
                return;
            }
        }
        self.copied.insert(name.clone());
        let version = self.version_of(name);
        self.order(now_ms, id, OrderKind::Load { name: name.clone(), version });
    }

    /// True while the store has as many adapters on their way as it bears.
    fn is_store_full(&self, now_ms: u64) -> bool {
        self.coming_from_store(now_ms) >= self.store_limit.at_once()
    }

    fn coming_from_store(&self, now_ms: u64) -> usize {
        self.endpoints.values().map(|endpoint| endpoint.coming_from_store(now_ms)).sum()
    }

    /// The version that counts as a home of `name`; 0 while any does, as for base models, which are
    /// served as they are held.
    fn version_wanted(&self, name: &WeightsName) -> u64 {
        if name.adapter.is_none() { 0 } else { self.versions.newest(name).unwrap_or(0) }
    }

    fn version_of(&self, name: &WeightsName) -> Option<u64> {
        self.versions.newest(name)
    }

    fn order(&mut self, now_ms: u64, id: &Arc<str>, kind: OrderKind) {
        // Only loads need the sum over all endpoints, and there are far more reports.
        let beside = match &kind {
            OrderKind::Load { .. } => self.coming_from_store(now_ms) + 1,
            OrderKind::Unload { .. } | OrderKind::Report => 0,
        };
        let Some(endpoint) = self.endpoints.get_mut(id) else { return };
        let Some(OrderHolder { gateway, token }) = endpoint.holder().cloned() else { return };
        self.next_order += 1;
        let store = match &kind {
            OrderKind::Load { name, .. } => {
                StoreLoad { expected_ms: self.store_limit.alone_ms(name), beside }
            }
            _ => StoreLoad::default(),
        };
        endpoint.start_order(now_ms, self.next_order, &kind, store, &mut self.placed);
        self.orders.push(EngineOrder {
            number: self.next_order,
            endpoint: id.clone(),
            endpoint_name: endpoint.endpoint.name.clone(),
            address: endpoint.endpoint.address,
            kind,
            expected_sequence: endpoint.sequence,
            holder: gateway,
            token,
        });
    }

    /// The state dump.
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

    /// True when heartbeats of the endpoint come.
    pub fn hears(&self, now_ms: u64, id: &str) -> bool {
        self.endpoints.get(id).is_some_and(|endpoint| endpoint.is_live(now_ms))
    }

    /// The ids of endpoints that still take work but were not heard for long.
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
