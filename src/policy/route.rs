//! Where a request goes: the endpoint whose wait, load and batch cost least.
//!
//! A gateway knows the endpoints of its region from their owners' summaries, which are up to a
//! second old, and from what it routed itself since.

use std::collections::HashMap;
use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64;

use crate::message::{AdapterKey, Summary};
use crate::settings::PolicySettings;

/// The most endpoints that are weighed for an adapter that is loaded nowhere, in the order of their
/// hash with the adapter: all gateways look at the same few, so that they rarely load it twice.
pub const MAX_HOMES: usize = 32;
/// How many more are ranked than wanted.
const SPARE_HOMES: usize = 4;
/// What each later one of these endpoints costs more, as a share of a load.
const HOME_ORDER_COST: f64 = 0.05;
/// The time within which an evicted adapter is expected to be missed.
const EVICTION_HORIZON_S: f64 = 10.0;
/// How much slower a full batch is than one request alone, as a share of the service time.
const FULL_BATCH_COST: f64 = 0.35;
/// What an empty batch costs per unit of batch weight, as a share of the service time.
const EMPTY_BATCH_COST: f64 = 0.6;
/// How long an endpoint is left out after it was seen not to answer.
const AVOID_MS: u64 = 500;

/// One endpoint as this gateway knows it.
#[derive(Debug)]
pub struct Place {
    /// Its name.
    pub name: Arc<str>,
    /// Its pool.
    pub pool: Arc<str>,
    /// The gateway that owns it.
    pub owner: Option<Arc<str>>,
    /// The epoch of the ownership.
    pub epoch: u64,
    /// True when it is about to leave.
    pub leaving: bool,
    healthy: bool,
    avoided_until_ms: u64,
    running: u32,
    queued: u32,
    /// Requests that this gateway itself has under way there.
    own: u32,
    places: u32,
    sequence: u64,
    coldest_rate: f32,
    adapters: Vec<AdapterKey>,
}

impl Place {
    fn load(&self) -> f64 {
        f64::from((self.running + self.queued).max(self.own))
    }

    fn takes_work(&self, now_ms: u64) -> bool {
        self.healthy && !self.leaving && self.owner.is_some() && now_ms >= self.avoided_until_ms
    }
}

/// An endpoint in its pool, with its hash at hand: ranking a pool must not touch every place.
#[derive(Debug, Clone, Copy)]
struct Member {
    position: usize,
    hash: u64,
}

/// The endpoints of the region and the rule that picks one of them.
#[derive(Debug)]
pub struct Router {
    settings: PolicySettings,
    places: Vec<Option<Place>>,
    by_name: HashMap<Arc<str>, usize>,
    pools: HashMap<Arc<str>, Vec<Member>>,
    holders: HashMap<AdapterKey, Vec<usize>>,
    load_ms: f64,
    service_ms: f64,
}

impl Router {
    /// A router that knows no endpoint yet.
    pub fn new(settings: PolicySettings) -> Self {
        Self {
            load_ms: settings.load_estimate_ms as f64,
            service_ms: settings.service_estimate_ms as f64,
            settings,
            places: Vec::new(),
            by_name: HashMap::new(),
            pools: HashMap::new(),
            holders: HashMap::new(),
        }
    }

    /// Adds an endpoint, or notes its new owner.
    ///
    /// `default_places` is what a plain service takes at once; an engine tells it in its summary.
    pub fn put(
        &mut self,
        name: &Arc<str>,
        pool: &Arc<str>,
        owner: Option<Arc<str>>,
        epoch: u64,
        leaving: bool,
        default_places: u32,
    ) {
        if let Some(position) = self.by_name.get(name).copied() {
            let Some(place) = &mut self.places[position] else { return };
            if epoch > place.epoch {
                // What runs and waits is unknown until the new owner tells; what is loaded stays.
                place.sequence = 0;
                place.running = 0;
                place.queued = 0;
                place.healthy = true;
                place.avoided_until_ms = 0;
            }
            place.owner = owner;
            place.epoch = epoch;
            place.leaving = leaving;
            return;
        }
        let position = self.places.len();
        self.places.push(Some(Place {
            name: name.clone(),
            pool: pool.clone(),
            owner,
            epoch,
            leaving,
            healthy: true,
            avoided_until_ms: 0,
            running: 0,
            queued: 0,
            own: 0,
            places: default_places.max(1),
            sequence: 0,
            coldest_rate: 0.0,
            adapters: Vec::new(),
        }));
        self.by_name.insert(name.clone(), position);
        let member = Member { position, hash: xxh3_64(name.as_bytes()) };
        self.pools.entry(pool.clone()).or_default().push(member);
    }

    /// Drops an endpoint.
    pub fn remove(&mut self, name: &str) {
        let Some(position) = self.by_name.remove(name) else { return };
        self.set_adapters(position, Vec::new());
        let Some(place) = self.places[position].take() else { return };
        if let Some(pool) = self.pools.get_mut(&place.pool) {
            pool.retain(|member| member.position != position);
        }
    }

    /// Drops every endpoint.
    pub fn clear(&mut self) {
        self.places.clear();
        self.by_name.clear();
        self.pools.clear();
        self.holders.clear();
    }

    /// The endpoint of this name.
    pub fn place(&self, name: &str) -> Option<&Place> {
        self.places[*self.by_name.get(name)?].as_ref()
    }

    /// Takes an owner's summary in, unless a later one is known.
    pub fn observe(&mut self, summary: Summary) {
        let Some(position) = self.by_name.get(&summary.endpoint).copied() else { return };
        let Some(place) = &mut self.places[position] else { return };
        let is_old = (summary.epoch, summary.sequence) <= (place.epoch, place.sequence);
        if summary.epoch < place.epoch || is_old {
            return;
        }
        place.sequence = summary.sequence;
        place.healthy = summary.healthy;
        place.running = summary.running;
        place.queued = summary.queued;
        place.places = summary.places.max(1);
        place.coldest_rate = summary.coldest_rate;
        if let Some(adapters) = summary.adapters {
            self.set_adapters(position, adapters);
        }
    }

    fn set_adapters(&mut self, position: usize, adapters: Vec<AdapterKey>) {
        let Some(place) = &mut self.places[position] else { return };
        let before = std::mem::replace(&mut place.adapters, adapters);
        for adapter in before {
            if let Some(holders) = self.holders.get_mut(&adapter) {
                holders.retain(|holder| *holder != position);
                if holders.is_empty() {
                    self.holders.remove(&adapter);
                }
            }
        }
        let Some(place) = &self.places[position] else { return };
        for adapter in place.adapters.clone() {
            self.holders.entry(adapter).or_default().push(position);
        }
    }

    /// True when the pool has any endpoint, usable or not.
    pub fn has_pool(&self, pool: &str) -> bool {
        self.pools.get(pool).is_some_and(|members| !members.is_empty())
    }

    /// True when the pool has an endpoint beside `endpoints` that is not about to leave, usable now or not.
    pub fn has_other(&self, pool: &str, endpoints: &[Arc<str>]) -> bool {
        let Some(members) = self.pools.get(pool) else { return false };
        members.iter().any(|member| {
            let place = self.places[member.position].as_ref();
            place.is_some_and(|place| !place.leaving && !endpoints.contains(&place.name))
        })
    }

    /// Notes that a request was sent to an endpoint; [`note_ended`](Self::note_ended) follows.
    pub fn note_sent(&mut self, name: &str, adapter: Option<&AdapterKey>) {
        let Some(position) = self.by_name.get(name).copied() else { return };
        let Some(place) = &mut self.places[position] else { return };
        place.own += 1;
        let Some(adapter) = adapter else { return };
        if place.adapters.contains(adapter) {
            return;
        }
        // Later requests for the adapter follow this one and share its load.
        place.adapters.push(adapter.clone());
        self.holders.entry(adapter.clone()).or_default().push(position);
    }

    /// Notes that a request sent to an endpoint has ended.
    pub fn note_ended(&mut self, name: &str) {
        let Some(position) = self.by_name.get(name).copied() else { return };
        if let Some(place) = &mut self.places[position] {
            place.own = place.own.saturating_sub(1);
        }
    }

    /// Notes that an endpoint does not answer, before its owner's summary says so.
    pub fn note_down(&mut self, now_ms: u64, name: &str) {
        let Some(position) = self.by_name.get(name).copied() else { return };
        if let Some(place) = &mut self.places[position] {
            place.avoided_until_ms = now_ms + AVOID_MS;
        }
    }

    /// Notes that a gateway does not answer: what it owns is avoided for a while.
    pub fn note_owner_down(&mut self, now_ms: u64, owner: &str) {
        for place in self.places.iter_mut().flatten() {
            if place.owner.as_deref() == Some(owner) {
                place.avoided_until_ms = now_ms + AVOID_MS;
            }
        }
    }

    /// The endpoint of `pool` for a request, leaving out those in `tried`.
    pub fn choose<'a>(
        &'a self,
        now_ms: u64,
        pool: &str,
        adapter: Option<&AdapterKey>,
        tried: &[Arc<str>],
    ) -> Option<&'a Place> {
        let members = self.pools.get(pool)?;
        let filter = Filter { now_ms, pool, tried };
        let mut best = Best::default();
        let Some(adapter) = adapter else {
            for member in members {
                let Some(place) = self.admitted(member.position, &filter) else { continue };
                best.offer(self.load_cost(place), place);
            }
            return best.place;
        };
        let holders = self.holders.get(adapter).map_or(&[][..], Vec::as_slice);
        for position in holders {
            let Some(place) = self.admitted(*position, &filter) else { continue };
            best.offer(self.load_cost(place), place);
        }
        // A second place pays only once the wait at the first outweighs a load; how full the batches
        // are must not decide this, or adapters would follow the fullest engine.
        if let Some(place) = best.place {
            let wait_ms = self.wait_ms(place);
            if !self.settings.second_place || wait_ms < self.miss_cost(0.0).max(self.load_ms) {
                return best.place;
            }
        }
        for (order, place) in self.homes(adapter, members, &filter).into_iter().enumerate() {
            if place.adapters.contains(adapter) {
                continue;
            }
            let order_ms = order as f64 * HOME_ORDER_COST * self.load_ms;
            let miss_ms = self.miss_cost(f64::from(place.coldest_rate));
            best.offer(self.load_cost(place) + miss_ms + order_ms, place);
        }
        best.place
    }

    fn admitted(&self, position: usize, filter: &Filter<'_>) -> Option<&Place> {
        self.places[position].as_ref().filter(|place| filter.admits(place))
    }

    /// The wait and the batch at an endpoint, in milliseconds of a request's time.
    fn load_cost(&self, place: &Place) -> f64 {
        let wait_ms = self.wait_ms(place);
        let fill = (place.load() / f64::from(place.places)).min(1.0);
        let crowd_ms = self.settings.load_stall_weight * fill * FULL_BATCH_COST * self.service_ms;
        let empty_ms = self.settings.batch_efficiency_weight
            * (1.0 - fill)
            * EMPTY_BATCH_COST
            * self.service_ms;
        wait_ms + crowd_ms + empty_ms
    }

    /// How long a request is expected to wait for a place.
    fn wait_ms(&self, place: &Place) -> f64 {
        let places = f64::from(place.places);
        (place.load() + 1.0 - places).max(0.0) / places * self.service_ms
    }

    /// What loading costs this request and, later, those of the adapter that is evicted for it.
    fn miss_cost(&self, coldest_rate: f64) -> f64 {
        let missed = (coldest_rate * EVICTION_HORIZON_S).min(4.0);
        self.settings.load_stall_weight * self.load_ms * (1.0 + missed)
    }

    /// The first endpoints of a pool, in the order of their hash with the adapter, that take work.
    fn homes(&self, adapter: &AdapterKey, members: &[Member], filter: &Filter<'_>) -> Vec<&Place> {
        let seed = xxh3_64(adapter.name.as_bytes()) ^ u64::from(adapter.version);
        let wanted = self.settings.homes;
        // A few more are ranked, in case some of the first do not take work; all of them if need be.
        for ranked in [(wanted + SPARE_HOMES).min(MAX_HOMES), members.len()] {
            let mut homes = Vec::with_capacity(wanted);
            for position in first_by_hash(seed, members, ranked) {
                let Some(place) = self.admitted(position, filter) else { continue };
                homes.push(place);
                if homes.len() == wanted {
                    break;
                }
            }
            if !homes.is_empty() {
                return homes;
            }
        }
        Vec::new()
    }
}

/// The positions of the `count` members with the highest hash, highest first.
fn first_by_hash(seed: u64, members: &[Member], count: usize) -> Vec<usize> {
    let mut first: Vec<(u64, usize)> = Vec::with_capacity(count + 1);
    for member in members {
        let rank = mix(seed ^ member.hash);
        if first.len() == count && first.last().is_some_and(|(lowest, _)| *lowest >= rank) {
            continue;
        }
        let place = first.partition_point(|(higher, _)| *higher > rank);
        first.insert(place, (rank, member.position));
        first.truncate(count);
    }
    first.into_iter().map(|(_, position)| position).collect()
}

struct Filter<'a> {
    now_ms: u64,
    pool: &'a str,
    tried: &'a [Arc<str>],
}

impl Filter<'_> {
    fn admits(&self, place: &Place) -> bool {
        place.takes_work(self.now_ms)
            && &*place.pool == self.pool
            && !self.tried.contains(&place.name)
    }
}

struct Best<'a> {
    cost: f64,
    place: Option<&'a Place>,
}

impl Default for Best<'_> {
    fn default() -> Self {
        Self { cost: f64::INFINITY, place: None }
    }
}

impl<'a> Best<'a> {
    fn offer(&mut self, cost: f64, place: &'a Place) {
        if self.place.is_none() || cost < self.cost {
            *self = Self { cost, place: Some(place) };
        }
    }
}

/// Spreads the bits of a combined hash (the finalizer of SplitMix64).
fn mix(value: u64) -> u64 {
    let mut mixed = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
