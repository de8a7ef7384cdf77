//! Endpoint selection: the endpoint whose wait, load and batch cost least.
//!
//! A gateway knows the endpoints of its region from the summaries of their owners, which are up to
//! a second old, and from the requests that it has sent since.

use std::collections::HashMap;
use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64;

use crate::message::{AdapterKey, Summary};
use crate::settings::PolicySettings;

/// The maximum of the setting `homes`, the number of candidates for an adapter. Candidates are the
/// endpoints considered for an adapter that is loaded nowhere, in the order of their hash with the
/// adapter: all gateways consider the same few, so that they rarely load it twice.
pub const MAX_HOMES: usize = 32;
/// The number of endpoints ranked in addition to the wanted candidates.
const SPARE_CANDIDATES: usize = 4;
/// The additional cost of each later candidate, as a fraction of the time of a load.
const LATER_CANDIDATE_COST: f64 = 0.05;
/// The time over which requests for an evicted adapter count as a cost of its eviction.
const EVICTION_HORIZON_S: f64 = 10.0;
/// The slowdown of a request in a full batch compared with a request alone, as a fraction of the
/// service time.
const FULL_BATCH_COST: f64 = 0.35;
/// The cost of an empty batch per unit of batch weight, as a fraction of the service time.
const EMPTY_BATCH_COST: f64 = 0.6;
/// How long an endpoint is paused after it failed to answer.
const PAUSE_MS: u64 = 500;

/// An endpoint as known to this gateway.
#[derive(Debug)]
pub struct EndpointState {
    /// The name of the endpoint.
    pub name: Arc<str>,
    /// The pool of the endpoint.
    pub pool: Arc<str>,
    /// The gateway that owns the endpoint.
    pub owner: Option<Arc<str>>,
    /// The epoch of the ownership.
    pub epoch: u64,
    /// True if the endpoint is about to shut down.
    pub leaving: bool,
    healthy: bool,
    paused_until_ms: u64,
    running: u32,
    queued: u32,
    /// Requests of this gateway that run or wait at the endpoint.
    own_requests: u32,
    places: u32,
    sequence: u64,
    coldest_rate: f32,
    adapters: Vec<AdapterKey>,
}

impl EndpointState {
    fn load(&self) -> f64 {
        f64::from((self.running + self.queued).max(self.own_requests))
    }

    fn can_take_work(&self, now_ms: u64) -> bool {
        self.healthy && !self.leaving && self.owner.is_some() && now_ms >= self.paused_until_ms
    }
}

/// The index of an endpoint and the hash of its name, so that ranking a pool does not access every
/// `EndpointState`.
#[derive(Debug, Clone, Copy)]
struct Member {
    position: usize,
    hash: u64,
}

/// The endpoints of the region and the rule that selects one of them.
#[derive(Debug)]
pub struct Router {
    settings: PolicySettings,
    places: Vec<Option<EndpointState>>,
    by_name: HashMap<Arc<str>, usize>,
    pools: HashMap<Arc<str>, Vec<Member>>,
    holders: HashMap<AdapterKey, Vec<usize>>,
    load_ms: f64,
    service_ms: f64,
}

impl Router {
    /// Creates a router without endpoints.
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

    /// Adds an endpoint or updates its owner.
    ///
    /// `default_places` is the number of requests that a plain service runs at once; an engine
    /// reports its own in its summary.
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
                // The running and waiting requests are unknown until the new owner reports them;
                // the loaded adapters stay loaded.
                place.sequence = 0;
                place.running = 0;
                place.queued = 0;
                place.healthy = true;
                place.paused_until_ms = 0;
            }
            place.owner = owner;
            place.epoch = epoch;
            place.leaving = leaving;
            return;
        }
        let position = self.places.len();
        self.places.push(Some(EndpointState {
            name: name.clone(),
            pool: pool.clone(),
            owner,
            epoch,
            leaving,
            healthy: true,
            paused_until_ms: 0,
            running: 0,
            queued: 0,
            own_requests: 0,
            places: default_places.max(1),
            sequence: 0,
            coldest_rate: 0.0,
            adapters: Vec::new(),
        }));
        self.by_name.insert(name.clone(), position);
        let member = Member { position, hash: xxh3_64(name.as_bytes()) };
        self.pools.entry(pool.clone()).or_default().push(member);
    }

    /// Removes an endpoint.
    pub fn remove(&mut self, name: &str) {
        let Some(position) = self.by_name.remove(name) else { return };
        self.set_adapters(position, Vec::new());
        let Some(place) = self.places[position].take() else { return };
        if let Some(pool) = self.pools.get_mut(&place.pool) {
            pool.retain(|member| member.position != position);
        }
    }

    /// Removes all endpoints.
    pub fn clear(&mut self) {
        self.places.clear();
        self.by_name.clear();
        self.pools.clear();
        self.holders.clear();
    }

    /// The endpoint called `name`.
    pub fn place(&self, name: &str) -> Option<&EndpointState> {
        self.places[*self.by_name.get(name)?].as_ref()
    }

    /// Applies an owner's summary unless a later one is known.
    pub fn observe(&mut self, summary: Summary) {
        let Some(position) = self.by_name.get(&summary.endpoint).copied() else { return };
        let Some(place) = &mut self.places[position] else { return };
        let is_stale = (summary.epoch, summary.sequence) <= (place.epoch, place.sequence);
        if summary.epoch < place.epoch || is_stale {
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

    /// Returns true if the pool has an endpoint, usable or not.
    pub fn has_pool(&self, pool: &str) -> bool {
        self.pools.get(pool).is_some_and(|members| !members.is_empty())
    }

    /// Returns true if the pool has an endpoint, usable or not, that is not in `endpoints` and not
    /// about to shut down.
    pub fn has_other(&self, pool: &str, endpoints: &[Arc<str>]) -> bool {
        let Some(members) = self.pools.get(pool) else { return false };
        members.iter().any(|member| {
            let place = self.places[member.position].as_ref();
            place.is_some_and(|place| !place.leaving && !endpoints.contains(&place.name))
        })
    }

    /// Records that a request was sent to an endpoint; [`note_ended`](Self::note_ended) must
    /// follow.
    pub fn note_sent(&mut self, name: &str, adapter: Option<&AdapterKey>) {
        let Some(position) = self.by_name.get(name).copied() else { return };
        let Some(place) = &mut self.places[position] else { return };
        place.own_requests += 1;
        let Some(adapter) = adapter else { return };
        if place.adapters.contains(adapter) {
            return;
        }
        // Later requests for the adapter go to the same endpoint and share its load.
        place.adapters.push(adapter.clone());
        self.holders.entry(adapter.clone()).or_default().push(position);
    }

    /// Records that a request sent to an endpoint has ended.
    pub fn note_ended(&mut self, name: &str) {
        let Some(position) = self.by_name.get(name).copied() else { return };
        if let Some(place) = &mut self.places[position] {
            place.own_requests = place.own_requests.saturating_sub(1);
        }
    }

    /// Records that an endpoint does not answer, before its owner's summary says so.
    pub fn note_down(&mut self, now_ms: u64, name: &str) {
        let Some(position) = self.by_name.get(name).copied() else { return };
        if let Some(place) = &mut self.places[position] {
            place.paused_until_ms = now_ms + PAUSE_MS;
        }
    }

    /// Records that a gateway does not answer; pauses the endpoints that it owns for `PAUSE_MS`.
    pub fn note_owner_down(&mut self, now_ms: u64, owner: &str) {
        for place in self.places.iter_mut().flatten() {
            if place.owner.as_deref() == Some(owner) {
                place.paused_until_ms = now_ms + PAUSE_MS;
            }
        }
    }

    /// Selects an endpoint of `pool` for a request; leaves out those in `tried`.
    pub fn choose<'a>(
        &'a self,
        now_ms: u64,
        pool: &str,
        adapter: Option<&AdapterKey>,
        tried: &[Arc<str>],
    ) -> Option<&'a EndpointState> {
        let members = self.pools.get(pool)?;
        let filter = Filter { now_ms, pool, tried };
        let mut best = Best::default();
        let Some(adapter) = adapter else {
            for member in members {
                let Some(place) = self.admitted(member.position, &filter) else { continue };
                best.consider(self.wait_and_batch_cost(place), place);
            }
            return best.place;
        };
        let holders = self.holders.get(adapter).map_or(&[][..], Vec::as_slice);
        for position in holders {
            let Some(place) = self.admitted(*position, &filter) else { continue };
            best.consider(self.wait_and_batch_cost(place), place);
        }
        // A second endpoint pays off only once the wait at the first outweighs a load. The state of
        // the batches must not affect this, or adapters would be loaded at the fullest engine.
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
            let later_candidate_ms = order as f64 * LATER_CANDIDATE_COST * self.load_ms;
            let miss_ms = self.miss_cost(f64::from(place.coldest_rate));
            best.consider(self.wait_and_batch_cost(place) + miss_ms + later_candidate_ms, place);
        }
        best.place
    }

    fn admitted(&self, position: usize, filter: &Filter<'_>) -> Option<&EndpointState> {
        self.places[position].as_ref().filter(|place| filter.admits(place))
    }

    /// The cost of the wait and of the batch at an endpoint, in milliseconds of a request's time.
    fn wait_and_batch_cost(&self, place: &EndpointState) -> f64 {
        let wait_ms = self.wait_ms(place);
        let fill = (place.load() / f64::from(place.places)).min(1.0);
        let full_batch_ms =
            self.settings.load_stall_weight * fill * FULL_BATCH_COST * self.service_ms;
        let empty_batch_ms = self.settings.batch_efficiency_weight
            * (1.0 - fill)
            * EMPTY_BATCH_COST
            * self.service_ms;
        wait_ms + full_batch_ms + empty_batch_ms
    }

    /// The expected wait for a free place.
    fn wait_ms(&self, place: &EndpointState) -> f64 {
        let places = f64::from(place.places);
        (place.load() + 1.0 - places).max(0.0) / places * self.service_ms
    }

    /// The cost of a load for this request and, later, for requests that need the evicted adapter.
    fn miss_cost(&self, coldest_rate: f64) -> f64 {
        let missed_requests = (coldest_rate * EVICTION_HORIZON_S).min(4.0);
        self.settings.load_stall_weight * self.load_ms * (1.0 + missed_requests)
    }

    /// The first endpoints of a pool that can take work, in the order of their hash with the
    /// adapter.
    fn homes(
        &self,
        adapter: &AdapterKey,
        members: &[Member],
        filter: &Filter<'_>,
    ) -> Vec<&EndpointState> {
        let seed = xxh3_64(adapter.name.as_bytes()) ^ u64::from(adapter.version);
        let wanted = self.settings.homes;
        // Ranks a few more than wanted, in case some of them cannot take work; ranks all if none of
        // them can.
        for ranked in [(wanted + SPARE_CANDIDATES).min(MAX_HOMES), members.len()] {
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
    fn admits(&self, place: &EndpointState) -> bool {
        place.can_take_work(self.now_ms)
            && &*place.pool == self.pool
            && !self.tried.contains(&place.name)
    }
}

struct Best<'a> {
    cost: f64,
    place: Option<&'a EndpointState>,
}

impl Default for Best<'_> {
    fn default() -> Self {
        Self { cost: f64::INFINITY, place: None }
    }
}

impl<'a> Best<'a> {
    fn consider(&mut self, cost: f64, place: &'a EndpointState) {
        if self.place.is_none() || cost < self.cost {
            *self = Self { cost, place: Some(place) };
        }
    }
}

/// Mixes the bits of a combined hash (the finalizer of SplitMix64).
fn mix(value: u64) -> u64 {
    let mut bits = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}
