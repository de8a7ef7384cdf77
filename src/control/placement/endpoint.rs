//! The weights at one endpoint and the order that the endpoint is carrying out.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;

use super::demand::Demand;
use super::holders::{OrderArrival, OrderHolder};
use super::{HEARTBEAT_TIMEOUT_MS, USE_GRACE_MS, USE_TIMEOUT_MS};
use crate::message::{
    Holding, Load, OrderKind, Placed, RegisteredEndpoint, WeightsName, WeightsUse,
};
use crate::policy::endpoint_speed::Work;
use crate::routing::EngineSpec;

/// How many local copies an endpoint is assumed to keep. Engines drop the least recently used
/// copies first.
pub const COPIES_MAX: usize = 90;
/// The delay before a load is first checked; a load from a local copy takes about this long.
pub(super) const FIRST_CHECK_MS: u64 = 26;
/// How often an unload that waits for running requests is checked.
const UNLOAD_CHECK_MS: u64 = 60;
/// The first check of a load from the store comes after this share of its expected duration. With
/// later checks only, a store that became faster would go unnoticed.
const FIRST_CHECK_SHARE: f64 = 0.85;
/// An order that is not accepted for this long counts as lost; answers take a few milliseconds,
/// plus the latency of a link across the region.
const ACCEPT_TIMEOUT_MS: u64 = 60;
/// The share of busy slots from which an endpoint counts as crowded and further adapters prefer
/// other endpoints.
const CROWDED_SHARE: f64 = 0.65;
/// The waiting prompt time from which an endpoint counts as crowded: a large share of the shortest
/// latency objectives.
const CROWDED_READING_MS: u32 = 150;
/// How long an endpoint that a gateway reported as failing gets no new weights and does not count
/// as a home; gateways retry the endpoint within this time.
const FAILING_MS: u64 = 1_500;
/// The maximum age of the state in a report; a report requested this long after an order reflects
/// the order.
pub(super) const REPORT_LAG_MS: u64 = 260;
/// The maximum age of a heartbeat on arrival; changes more recent than this override the heartbeat.
pub(super) const HEARTBEAT_MAX_AGE_MS: u64 = 3_000;

/// The state of weights at an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WeightsState {
    /// Ordered to load, not yet confirmed as loaded.
    Loading {
        /// When to check the load next.
        check_at_ms: u64,
        /// The pause between that check and the following one.
        pause_ms: u64,
    },
    /// Loaded; requests may use the weights.
    Ready,
    /// Ordered to unload.
    Unloading,
}

/// A base model or adapter at an endpoint, from the order to load until the end of the unload.
#[derive(Debug, Clone)]
pub struct PlacedWeights {
    /// The version of the weights.
    pub version: u64,
    /// The current state.
    pub state: WeightsState,
    /// True when loaded from the weight store rather than from a local copy.
    pub from_store: bool,
    /// Concurrent loads from the store when this one was ordered, including itself.
    pub(super) concurrent_at_start: usize,
    /// True once an order for these weights got no answer: the load may have started at any time
    /// since.
    pub(super) unanswered: bool,
    /// True once the endpoint accepted the order to load or unload.
    pub(super) accepted: bool,
    pub(super) changed_at_ms: u64,
    used_at_ms: u64,
    /// Gateways with running requests for the weights, and when each last reported them.
    users: BTreeMap<Arc<str>, u64>,
}

impl PlacedWeights {
    /// True while requests use the weights or may be on their way to them.
    fn is_in_use(&self, now_ms: u64) -> bool {
        self.used_at_ms + USE_GRACE_MS > now_ms
            || self.users.values().any(|reported_at_ms| reported_at_ms + USE_TIMEOUT_MS > now_ms)
    }

    /// True for a load that was ordered a while ago and not accepted: the answer is lost, and the
    /// order may be carried out late or never.
    pub fn is_overdue(&self, now_ms: u64) -> bool {
        !self.accepted && self.changed_at_ms + ACCEPT_TIMEOUT_MS <= now_ms
    }
}

/// The expected conditions of a load from the weight store.
#[derive(Debug, Clone, Copy, Default)]
pub struct StoreLoad {
    /// The duration of a load without contention.
    pub expected_ms: u64,
    /// Concurrent loads from the store, including this one.
    pub concurrent: usize,
}

#[derive(Debug, Clone)]
pub(super) struct PendingOrder {
    pub(super) number: u64,
    pub(super) kind: OrderKind,
    pub(super) issued_at_ms: u64,
    /// True for a load or unload order that is sent again to check for completion; engines treat
    /// the repeat as the same order.
    pub(super) is_repeat: bool,
}

/// The state of one endpoint, as known to the leader.
#[derive(Debug, Clone)]
pub struct EndpointState {
    /// The registration.
    pub endpoint: RegisteredEndpoint,
    /// When the last heartbeat arrived.
    pub heartbeat_at_ms: u64,
    /// The base models and adapters, by name.
    pub places: BTreeMap<WeightsName, PlacedWeights>,
    /// The load of all gateways together.
    pub load: Load,
    /// The number of orders that the endpoint has accepted; `None` while only a report can tell.
    pub sequence: Option<u64>,
    /// Weights with a local copy at the endpoint, and when each was last ordered.
    pub copies: HashMap<WeightsName, u64>,
    /// The gateway that may send orders now.
    pub(super) holder: Option<OrderHolder>,
    pub(super) order_arrival: OrderArrival,
    hash: u64,
    pub(super) pending: Option<PendingOrder>,
    pub(super) report_due_ms: u64,
    pub(super) orders_from_ms: u64,
    failing_until_ms: u64,
    pub(super) unloaded_at_ms: BTreeMap<WeightsName, u64>,
}

impl EndpointState {
    /// Creates the state of an endpoint of which only the registration is known.
    pub fn new(now_ms: u64, endpoint: RegisteredEndpoint) -> Self {
        let hash = crate::hash::stable(&endpoint.address.to_string());
        Self {
            endpoint,
            hash,
            heartbeat_at_ms: now_ms,
            places: BTreeMap::new(),
            load: Load::default(),
            sequence: None,
            copies: HashMap::new(),
            holder: None,
            order_arrival: OrderArrival::new(now_ms),
            pending: None,
            report_due_ms: 0,
            orders_from_ms: 0,
            failing_until_ms: 0,
            unloaded_at_ms: BTreeMap::new(),
        }
    }

    /// The affinity to weights with the given hash. Depends on the address only, so that a
    /// restarted endpoint gets the weights of which it has copies.
    pub fn affinity(&self, hash: u64) -> u64 {
        crate::hash::affinity(self.hash, hash)
    }

    /// True while heartbeats arrive.
    pub fn is_live(&self, now_ms: u64) -> bool {
        self.heartbeat_at_ms + HEARTBEAT_TIMEOUT_MS > now_ms
    }

    /// True when the endpoint may be given further weights.
    pub fn accepts_weights(&self, now_ms: u64) -> bool {
        self.is_live(now_ms) && !self.endpoint.leaving && self.failing_until_ms <= now_ms
    }

    /// The slowdown relative to the other endpoints of the service, which together did the work of
    /// `service`.
    pub fn slowdown(&self, service: Work) -> f64 {
        Work::from_load(&self.load).slowdown(service)
    }

    /// True when running or waiting requests leave too little capacity for another adapter.
    pub fn is_crowded(&self) -> bool {
        f64::from(self.load.running) >= f64::from(self.endpoint.slots) * CROWDED_SHARE
            || self.load.waiting_ms >= CROWDED_READING_MS
    }

    /// True when all slots are taken.
    pub fn is_full(&self) -> bool {
        self.load.running >= self.endpoint.slots
    }

    /// True while the outcome of an order is pending.
    pub(super) fn has_pending_order(&self) -> bool {
        self.pending.is_some()
    }

    /// True when an order may be sent now.
    pub fn is_free_for_orders(&self, now_ms: u64) -> bool {
        self.pending.is_none()
            && self.holder.is_some()
            && self.sequence.is_some()
            && self.orders_from_ms <= now_ms
    }

    /// True when the endpoint must report its weights before it gets other orders.
    pub fn needs_report(&self, now_ms: u64) -> bool {
        self.pending.is_none()
            && self.holder.is_some()
            && self.is_live(now_ms)
            && now_ms >= self.report_due_ms
            && self.sequence.is_none()
    }

    /// True when the base model of `name` is loaded.
    pub fn holds_base(&self, name: &WeightsName) -> bool {
        self.places.get(&name.base()).is_some_and(|place| place.state == WeightsState::Ready)
    }

    /// Records copies of `weights` at the endpoint, oldest first.
    pub(super) fn remember_copies(&mut self, now_ms: u64, weights: &VecDeque<WeightsName>) {
        for name in weights {
            self.record_copy(now_ms, name);
        }
    }

    /// True when the endpoint has a local copy of `name`.
    pub fn has_copy(&self, name: &WeightsName) -> bool {
        self.copies.contains_key(name)
    }

    /// The number of adapters, including those being loaded or unloaded.
    pub fn adapters(&self) -> usize {
        self.places.keys().filter(|name| name.adapter.is_some()).count()
    }

    /// The number of weights being loaded from the weight store; overdue orders are not counted.
    pub fn loading_from_store(&self, now_ms: u64) -> usize {
        let mut coming = 0;
        for place in self.places.values() {
            let is_loading = matches!(place.state, WeightsState::Loading { .. });
            coming += usize::from(place.from_store && is_loading && !place.is_overdue(now_ms));
        }
        coming
    }

    /// True while any weights are being loaded.
    pub fn is_loading_any(&self) -> bool {
        self.places.values().any(|place| matches!(place.state, WeightsState::Loading { .. }))
    }

    /// The number of adapters being loaded.
    pub fn coming(&self) -> usize {
        let mut coming = 0;
        for (name, place) in &self.places {
            coming += usize::from(
                name.adapter.is_some() && matches!(place.state, WeightsState::Loading { .. }),
            );
        }
        coming
    }

    /// Records a use reported by a gateway. Uses of replaced versions are ignored, since these are
    /// about to be unloaded.
    pub fn note_use(&mut self, now_ms: u64, gateway: &Arc<str>, weights: &WeightsUse, newest: u64) {
        let Some(place) = self.places.get_mut(&weights.name) else { return };
        if place.version < newest {
            return;
        }
        place.used_at_ms = now_ms;
        if weights.under_way > 0 {
            place.users.insert(gateway.clone(), now_ms);
        } else {
            place.users.remove(gateway);
        }
    }

    /// The memory taken by all weights, including those being loaded or unloaded.
    pub fn used_mb(&self, engine: &EngineSpec) -> f64 {
        let mut used_mb = 0.0;
        for name in self.places.keys() {
            used_mb += engine.size_mb(name);
        }
        used_mb
    }

    /// The base model with the lowest demand among those not in use.
    pub fn least_demanded_model(&self, now_ms: u64, demand: &Demand) -> Option<(WeightsName, f64)> {
        let mut least_demanded: Option<(WeightsName, f64)> = None;
        for (name, place) in &self.places {
            let is_idle = name.adapter.is_none() && place.state == WeightsState::Ready;
            if !is_idle || self.is_model_used(now_ms, name) {
                continue;
            }
            let demand_rate = demand.rate(now_ms, name);
            if least_demanded.as_ref().is_none_or(|(_, known)| demand_rate < *known) {
                least_demanded = Some((name.clone(), demand_rate));
            }
        }
        least_demanded
    }

    fn is_model_used(&self, now_ms: u64, model: &WeightsName) -> bool {
        self.places.iter().any(|(name, place)| name.model == model.model && place.is_in_use(now_ms))
    }

    /// The adapter with the lowest demand among those not in use.
    ///
    /// If the adapter is requested again soon, the endpoint reloads it from its local copy, which
    /// takes less time than clients wait.
    pub fn least_demanded_adapter(&self, now_ms: u64, demand: &Demand) -> Option<WeightsName> {
        let mut least_demanded: Option<(f64, &WeightsName)> = None;
        for (name, place) in &self.places {
            let is_idle = place.state == WeightsState::Ready
                && !place.is_in_use(now_ms)
                && name.adapter.is_some();
            if !is_idle {
                continue;
            }
            let demand_rate = demand.rate(now_ms, name);
            if least_demanded.is_none_or(|(known, _)| demand_rate < known) {
                least_demanded = Some((demand_rate, name));
            }
        }
        least_demanded.map(|(_, name)| name.clone())
    }

    /// An unload whose completion is due to be checked.
    pub fn unload_to_repeat(&self, now_ms: u64) -> Option<WeightsName> {
        if !self.is_free_for_orders(now_ms) {
            return None;
        }
        let unloading = self.places.iter().find(|(_, place)| {
            place.state == WeightsState::Unloading
                && place.changed_at_ms + UNLOAD_CHECK_MS <= now_ms
        });
        unloading.map(|(name, _)| name.clone())
    }

    /// Records that a gateway reported the endpoint as failing or could not send it an order.
    pub fn mark_failing(&mut self, now_ms: u64) {
        self.failing_until_ms = now_ms + FAILING_MS;
    }

    /// A load whose completion is due to be checked.
    pub fn load_to_check(&self, now_ms: u64) -> Option<WeightsName> {
        if !self.is_free_for_orders(now_ms) {
            return None;
        }
        for (name, place) in &self.places {
            if let WeightsState::Loading { check_at_ms, .. } = place.state
                && check_at_ms <= now_ms
            {
                return Some(name.clone());
            }
        }
        None
    }

    /// Applies an order that is about to be sent.
    pub fn start_order(
        &mut self,
        now_ms: u64,
        number: u64,
        kind: &OrderKind,
        store: StoreLoad,
        placed: &mut Vec<Placed>,
    ) {
        let (is_known, is_repeat) = match kind {
            OrderKind::Load { name, .. } => {
                let is_loading = self.is_loading(name);
                (is_loading, is_loading && self.is_accepted(name))
            }
            OrderKind::Unload { name } => {
                let is_unloading = self.is_unloading(name);
                (is_unloading, is_unloading && self.is_accepted(name))
            }
            OrderKind::Report => (false, false),
        };
        self.pending =
            Some(PendingOrder { number, kind: kind.clone(), issued_at_ms: now_ms, is_repeat });
        match kind {
            OrderKind::Report => {}
            OrderKind::Load { name, version } => {
                let version = version.unwrap_or(1);
                if is_known {
                    // A check after a new version was published asks for that version, which the
                    // endpoint then holds.
                    if let Some(place) = self.places.get_mut(name) {
                        place.version = place.version.max(version);
                    }
                    return;
                }
                placed.push(self.to_placed(name, Holding::Coming));
                let from_store = !self.has_copy(name);
                self.record_copy(now_ms, name);
                let first_check_ms = (store.expected_ms as f64 * FIRST_CHECK_SHARE) as u64;
                let expected_ms = if from_store { first_check_ms } else { 0 };
                let pause_ms = FIRST_CHECK_MS.max(expected_ms);
                let state = WeightsState::Loading { check_at_ms: u64::MAX, pause_ms };
                self.set_state(now_ms, name, version, state);
                if let Some(place) = self.places.get_mut(name) {
                    place.from_store = from_store;
                    place.concurrent_at_start = store.concurrent;
                }
            }
            OrderKind::Unload { name } => {
                if is_known {
                    return;
                }
                let version = self.places.get(name).map_or(1, |place| place.version);
                for gone in self.with_adapters(name) {
                    placed.push(self.to_placed(&gone, Holding::Gone));
                }
                self.set_state(now_ms, name, version, WeightsState::Unloading);
            }
        }
    }

    pub(super) fn set_state(
        &mut self,
        now_ms: u64,
        name: &WeightsName,
        version: u64,
        state: WeightsState,
    ) {
        let used_at_ms = now_ms;
        let place = PlacedWeights {
            version,
            state,
            from_store: false,
            concurrent_at_start: 0,
            unanswered: false,
            accepted: false,
            changed_at_ms: now_ms,
            used_at_ms,
            users: BTreeMap::new(),
        };
        self.places.insert(name.clone(), place);
    }

    pub(super) fn record_copy(&mut self, now_ms: u64, name: &WeightsName) {
        self.copies.insert(name.clone(), now_ms);
        if self.copies.len() <= COPIES_MAX {
            return;
        }
        let oldest = self.copies.iter().min_by_key(|(_, at_ms)| **at_ms);
        if let Some(oldest) = oldest.map(|(name, _)| name.clone()) {
            self.copies.remove(&oldest);
        }
    }

    /// Returns `name` and, for a base model, its adapters, which are unloaded with it.
    pub(super) fn with_adapters(&self, name: &WeightsName) -> Vec<WeightsName> {
        let mut names = vec![name.clone()];
        if name.adapter.is_some() {
            return names;
        }
        for other in self.places.keys() {
            if other.model == name.model && other != name {
                names.push(other.clone());
            }
        }
        names
    }

    fn is_accepted(&self, name: &WeightsName) -> bool {
        self.places.get(name).is_some_and(|place| place.accepted)
    }

    fn is_unloading(&self, name: &WeightsName) -> bool {
        self.places.get(name).is_some_and(|place| place.state == WeightsState::Unloading)
    }

    fn is_loading(&self, name: &WeightsName) -> bool {
        self.places
            .get(name)
            .is_some_and(|place| matches!(place.state, WeightsState::Loading { .. }))
    }

    pub(super) fn to_placed(&self, name: &WeightsName, holding: Holding) -> Placed {
        Placed { endpoint: self.endpoint.id.clone(), name: name.clone(), holding }
    }
}
