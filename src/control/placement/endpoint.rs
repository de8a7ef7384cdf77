//! What one endpoint holds and which order it is carrying out.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;

use super::demand::Demand;
use super::holders::{OrderHolder, OrdersArrive};
use super::{KEEP_USED_MS, SILENT_MS, USE_FORGOTTEN_MS};
use crate::message::{
    Holding, Load, OrderKind, Placed, RegisteredEndpoint, WeightsName, WeightsUse,
};
use crate::routing::EngineSpec;

/// Adapters that an endpoint is taken to have copies of, the latest ones; engines drop the copies
/// that were unused for longest.
pub const COPIES_MAX: usize = 90;
/// How soon a load is looked at first; a load from an engine's own copy takes about this long.
pub(super) const FIRST_CHECK_MS: u64 = 26;
/// How often an unload that waits for its runs is looked at.
const UNLOAD_CHECK_MS: u64 = 60;
/// A load from the store is looked at this much sooner than one takes: if none were, a store that has
/// become faster would never be noticed.
const EARLY_LOOK: f64 = 0.85;
/// An order that has no answer for this long is taken for lost; answers take a few milliseconds, or
/// as many as a link across the region delays them.
const OVERDUE_MS: u64 = 60;
/// The share of an endpoint's slots beyond which further adapters go elsewhere first.
const CROWDED: f64 = 0.65;
/// Reading beyond which an endpoint counts as crowded: a good share of the shortest objectives.
const CROWDED_MS: u32 = 150;
/// How long an endpoint that a gateway cannot reach counts as no home; gateways try it again within
/// this time.
const FAILING_MS: u64 = 1_500;
/// A report shows an endpoint as it was some time ago; after this pause it shows the last order.
pub(super) const REPORT_LAG_MS: u64 = 260;
/// A heartbeat may have been sent this long before it arrives; younger knowledge goes before it.
pub(super) const HEARTBEAT_LATE_MS: u64 = 3_000;

/// The state of a place.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlaceState {
    /// Ordered and not seen yet.
    Loading {
        /// When to look.
        check_at_ms: u64,
        /// The pause before the look after that.
        pause_ms: u64,
    },
    /// Requests may use it.
    Ready,
    /// Ordered away.
    Unloading,
}

/// Weights at an endpoint.
#[derive(Debug, Clone)]
pub struct Place {
    /// The version.
    pub version: u64,
    /// The state.
    pub state: PlaceState,
    /// True while it comes from the weight store, not from the endpoint's own copies.
    pub from_store: bool,
    /// How many loads from the store were on their way when this one was ordered, itself included.
    pub(super) beside_at_start: usize,
    /// True once an order for it got no answer: it may have begun at any time since.
    pub(super) unanswered: bool,
    /// True once the endpoint said that it takes the order to load them.
    pub(super) accepted: bool,
    pub(super) changed_at_ms: u64,
    used_at_ms: u64,
    /// The gateways that have requests under way with it, and when they said so last.
    users: BTreeMap<Arc<str>, u64>,
}

impl Place {
    /// True while requests use it, or may be on their way to it.
    fn is_in_use(&self, now_ms: u64) -> bool {
        self.used_at_ms + KEEP_USED_MS > now_ms
            || self.users.values().any(|told_at_ms| told_at_ms + USE_FORGOTTEN_MS > now_ms)
    }

    /// True for a load that was ordered a while ago and not accepted: the answer is lost, and the
    /// order may be carried out late or never.
    pub fn is_overdue(&self, now_ms: u64) -> bool {
        !self.accepted && self.changed_at_ms + OVERDUE_MS <= now_ms
    }
}

/// What is expected of a load from the weight store.
#[derive(Debug, Clone, Copy, Default)]
pub struct StoreLoad {
    /// How long it takes when nothing slows it.
    pub expected_ms: u64,
    /// How many loads are on their way with it, itself included.
    pub beside: usize,
}

#[derive(Debug, Clone)]
pub(super) struct Pending {
    pub(super) number: u64,
    pub(super) kind: OrderKind,
    pub(super) given_at_ms: u64,
    /// True for a load that is ordered once more to see whether it is done; engines take it for
    /// the same order.
    pub(super) repeats: bool,
}

/// One endpoint.
#[derive(Debug, Clone)]
pub struct EndpointPlaces {
    /// Its registration.
    pub endpoint: RegisteredEndpoint,
    /// When its last heartbeat came.
    pub heard_at_ms: u64,
    /// Base models and adapters.
    pub places: BTreeMap<WeightsName, Place>,
    /// What all gateways together have under way there.
    pub load: Load,
    /// Orders it has taken; none until a report told.
    pub sequence: Option<u64>,
    /// Weights of which it has copies, with when they were ordered last.
    pub copies: HashMap<WeightsName, u64>,
    /// Through whom it can be ordered now.
    pub(super) holder: Option<OrderHolder>,
    pub(super) orders_arrive: OrdersArrive,
    hash: u64,
    pub(super) pending: Option<Pending>,
    pub(super) report_from_ms: u64,
    pub(super) again_from_ms: u64,
    failing_until_ms: u64,
    pub(super) dropped_at_ms: BTreeMap<WeightsName, u64>,
}

impl EndpointPlaces {
    /// An endpoint of which nothing is known but its registration.
    pub fn new(now_ms: u64, endpoint: RegisteredEndpoint) -> Self {
        let hash = crate::hash::stable(&endpoint.address.to_string());
        Self {
            endpoint,
            hash,
            heard_at_ms: now_ms,
            places: BTreeMap::new(),
            load: Load::default(),
            sequence: None,
            copies: HashMap::new(),
            holder: None,
            orders_arrive: OrdersArrive::new(now_ms),
            pending: None,
            report_from_ms: 0,
            again_from_ms: 0,
            failing_until_ms: 0,
            dropped_at_ms: BTreeMap::new(),
        }
    }

    /// How well it fits weights with this hash; by address, so that an endpoint that restarted
    /// finds its own copies.
    pub fn affinity(&self, hash: u64) -> u64 {
        crate::hash::affinity(self.hash, hash)
    }

    /// True when its heartbeats come.
    pub fn is_live(&self, now_ms: u64) -> bool {
        self.heard_at_ms + SILENT_MS > now_ms
    }

    /// True when it may hold further weights.
    pub fn takes_weights(&self, now_ms: u64) -> bool {
        self.is_live(now_ms) && !self.endpoint.leaving && self.failing_until_ms <= now_ms
    }

    /// True when too much runs or waits for another adapter's requests.
    pub fn is_crowded(&self) -> bool {
        f64::from(self.load.running) >= f64::from(self.endpoint.slots) * CROWDED
            || self.load.waiting_ms >= CROWDED_MS
    }

    /// True when every slot is taken.
    pub fn is_full(&self) -> bool {
        self.load.running >= self.endpoint.slots
    }

    /// True while the outcome of an order is awaited.
    pub(super) fn has_order_under_way(&self) -> bool {
        self.pending.is_some()
    }

    /// True when an order may be given now.
    pub fn is_free_for_orders(&self, now_ms: u64) -> bool {
        self.pending.is_none()
            && self.holder.is_some()
            && self.sequence.is_some()
            && self.again_from_ms <= now_ms
    }

    /// True when a report has to tell what the endpoint holds.
    pub fn needs_report(&self, now_ms: u64) -> bool {
        self.pending.is_none()
            && self.holder.is_some()
            && self.is_live(now_ms)
            && now_ms >= self.report_from_ms
            && self.sequence.is_none()
    }

    /// True when the base model of `name` is ready here.
    pub fn holds_base(&self, name: &WeightsName) -> bool {
        self.places.get(&name.base()).is_some_and(|place| place.state == PlaceState::Ready)
    }

    /// Takes over that the endpoint has copies of `weights`, the latest last.
    pub(super) fn remember_copies(&mut self, now_ms: u64, weights: &VecDeque<WeightsName>) {
        for name in weights {
            self.note_copy(now_ms, name);
        }
    }

    /// True when the endpoint has a copy of `name` at hand.
    pub fn has_copy(&self, name: &WeightsName) -> bool {
        self.copies.contains_key(name)
    }

    /// How many adapters are here, those on their way and those not gone yet included.
    pub fn adapters(&self) -> usize {
        self.places.keys().filter(|name| name.adapter.is_some()).count()
    }

    /// How many adapters are on their way from the weight store.
    pub fn coming_from_store(&self, now_ms: u64) -> usize {
        let mut coming = 0;
        for place in self.places.values() {
            let is_loading = matches!(place.state, PlaceState::Loading { .. });
            coming += usize::from(place.from_store && is_loading && !place.is_overdue(now_ms));
        }
        coming
    }

    /// True while anything is on its way here.
    pub fn is_loading_any(&self) -> bool {
        self.places.values().any(|place| matches!(place.state, PlaceState::Loading { .. }))
    }

    /// How many adapters are on their way here.
    pub fn coming(&self) -> usize {
        let mut coming = 0;
        for (name, place) in &self.places {
            coming += usize::from(
                name.adapter.is_some() && matches!(place.state, PlaceState::Loading { .. }),
            );
        }
        coming
    }

    /// Notes what a gateway uses here; an old version is on its way out and no longer counts.
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

    /// The room that weights take here, those on their way and those not gone yet included.
    pub fn used_mb(&self, engine: &EngineSpec) -> f64 {
        let mut used_mb = 0.0;
        for name in self.places.keys() {
            used_mb += engine.size_mb(name);
        }
        used_mb
    }

    /// The base model that is asked for least among those that nobody used just now.
    pub fn coldest_model(&self, now_ms: u64, demand: &Demand) -> Option<(WeightsName, f64)> {
        let mut coldest: Option<(WeightsName, f64)> = None;
        for (name, place) in &self.places {
            let is_idle = name.adapter.is_none() && place.state == PlaceState::Ready;
            if !is_idle || self.is_model_used(now_ms, name) {
                continue;
            }
            let own = demand.rate(now_ms, name);
            if coldest.as_ref().is_none_or(|(_, known)| own < *known) {
                coldest = Some((name.clone(), own));
            }
        }
        coldest
    }

    fn is_model_used(&self, now_ms: u64, model: &WeightsName) -> bool {
        self.places.iter().any(|(name, place)| name.model == model.model && place.is_in_use(now_ms))
    }

    /// The adapter that is asked for least among those that nobody used just now.
    ///
    /// One that is asked for again soon comes back from the endpoint's own copy, which takes less
    /// time than a client waits.
    pub fn coldest(&self, now_ms: u64, demand: &Demand) -> Option<WeightsName> {
        let mut coldest: Option<(f64, &WeightsName)> = None;
        for (name, place) in &self.places {
            let is_idle = place.state == PlaceState::Ready
                && !place.is_in_use(now_ms)
                && name.adapter.is_some();
            if !is_idle {
                continue;
            }
            let own = demand.rate(now_ms, name);
            if coldest.is_none_or(|(known, _)| own < known) {
                coldest = Some((own, name));
            }
        }
        coldest.map(|(_, name)| name.clone())
    }

    /// An unload whose outcome is not known.
    pub fn unload_to_repeat(&self, now_ms: u64) -> Option<WeightsName> {
        if !self.is_free_for_orders(now_ms) {
            return None;
        }
        let unloading = self.places.iter().find(|(_, place)| {
            place.state == PlaceState::Unloading && place.changed_at_ms + UNLOAD_CHECK_MS <= now_ms
        });
        unloading.map(|(name, _)| name.clone())
    }

    /// Notes that a gateway cannot reach the endpoint.
    pub fn note_failing(&mut self, now_ms: u64) {
        self.failing_until_ms = now_ms + FAILING_MS;
    }

    /// A load that should be looked at now.
    pub fn load_to_check(&self, now_ms: u64) -> Option<WeightsName> {
        if !self.is_free_for_orders(now_ms) {
            return None;
        }
        for (name, place) in &self.places {
            if let PlaceState::Loading { check_at_ms, .. } = place.state
                && check_at_ms <= now_ms
            {
                return Some(name.clone());
            }
        }
        None
    }

    /// Notes an order that is about to be sent.
    pub fn start_order(
        &mut self,
        now_ms: u64,
        number: u64,
        kind: &OrderKind,
        store: StoreLoad,
        placed: &mut Vec<Placed>,
    ) {
        let (is_known, repeats) = match kind {
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
        self.pending = Some(Pending { number, kind: kind.clone(), given_at_ms: now_ms, repeats });
        match kind {
            OrderKind::Report => {}
            OrderKind::Load { name, version } => {
                let version = version.unwrap_or(1);
                if is_known {
                    // A look after a renewal asks for the newer version, which is then what is held.
                    if let Some(place) = self.places.get_mut(name) {
                        place.version = place.version.max(version);
                    }
                    return;
                }
                placed.push(self.tell(name, Holding::Coming));
                let from_store = !self.has_copy(name);
                self.note_copy(now_ms, name);
                let early_ms = (store.expected_ms as f64 * EARLY_LOOK) as u64;
                let expected_ms = if from_store { early_ms } else { 0 };
                let pause_ms = FIRST_CHECK_MS.max(expected_ms);
                let state = PlaceState::Loading { check_at_ms: u64::MAX, pause_ms };
                self.put(now_ms, name, version, state);
                if let Some(place) = self.places.get_mut(name) {
                    place.from_store = from_store;
                    place.beside_at_start = store.beside;
                }
            }
            OrderKind::Unload { name } => {
                if is_known {
                    return;
                }
                let version = self.places.get(name).map_or(1, |place| place.version);
                for gone in self.with_adapters(name) {
                    placed.push(self.tell(&gone, Holding::Gone));
                }
                self.put(now_ms, name, version, PlaceState::Unloading);
            }
        }
    }

    pub(super) fn put(&mut self, now_ms: u64, name: &WeightsName, version: u64, state: PlaceState) {
        let used_at_ms = now_ms;
        let place = Place {
            version,
            state,
            from_store: false,
            beside_at_start: 0,
            unanswered: false,
            accepted: false,
            changed_at_ms: now_ms,
            used_at_ms,
            users: BTreeMap::new(),
        };
        self.places.insert(name.clone(), place);
    }

    pub(super) fn note_copy(&mut self, now_ms: u64, name: &WeightsName) {
        self.copies.insert(name.clone(), now_ms);
        if self.copies.len() <= COPIES_MAX {
            return;
        }
        let oldest = self.copies.iter().min_by_key(|(_, at_ms)| **at_ms);
        if let Some(oldest) = oldest.map(|(name, _)| name.clone()) {
            self.copies.remove(&oldest);
        }
    }

    /// The weights that go with `name`: a base model's adapters go with it.
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
        self.places.get(name).is_some_and(|place| place.state == PlaceState::Unloading)
    }

    fn is_loading(&self, name: &WeightsName) -> bool {
        self.places.get(name).is_some_and(|place| matches!(place.state, PlaceState::Loading { .. }))
    }

    pub(super) fn tell(&self, name: &WeightsName, holding: Holding) -> Placed {
        Placed { endpoint: self.endpoint.id.clone(), name: name.clone(), holding }
    }
}
