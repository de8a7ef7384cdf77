//! What a relay knows of endpoints, and which one gets a request.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use tokio::sync::watch;

use super::choice::{self, Candidate};
use super::known::{Expected, Known, Wanted};
use super::replaced::begin_within_ms;
use super::uses::Uses;
use super::waiting::{Prompt, ReadingPace, UnreadMs};
use crate::message::{
    EndpointLoad, Holding, Load, Placed, RegisteredEndpoint, WeightsName, WeightsUse,
};
use crate::policy::versions::{SENT_PERCENT, Versions};

/// The first pause after an endpoint failed; doubled with each further failure in a row.
const DOWN_MS: u64 = 400;
/// The longest pause: an endpoint that came back under the same incarnation is missed this long.
const DOWN_MAX_MS: u64 = 5_000;
/// Failures in a row after which an endpoint that can be reached is left alone for a while.
const FAILURES_TO_DOWN: u32 = 3;
/// Endpoints that are compared for a request, at least.
const COMPARED_MIN: usize = 8;
/// So few gateways compare all endpoints and take the cheapest; more of them compare a share.
const ALL_COMPARED_BY: usize = 8;
/// An endpoint that said it is full gets nothing for this long.
const FULL_MS: u64 = 60;
/// How long after a version was replaced requests may begin on it, unless settings say otherwise.
const VERSION_WITHIN_MS: u64 = 5_000;
/// How much longer a request may wait in the own zone and still go there: a link between zones takes
/// a few milliseconds, and its bytes cost.
const ZONE_PREFERENCE_MS: f64 = 15.0;

/// Registered endpoints with what this gateway knows of their load and weights.
#[derive(Debug)]
pub struct Fleet {
    zone: Arc<str>,
    pub(super) endpoints: HashMap<Arc<str>, Known>,
    by_service: HashMap<Arc<str>, Vec<Arc<str>>>,
    pub(super) homes: HashMap<WeightsName, BTreeMap<Arc<str>, Holding>>,
    pub(super) versions: Versions,
    /// For how long a request that was sent to a version may still begin on it once that is due.
    pub(super) begin_within_ms: u64,
    loads_changed: HashSet<Arc<str>>,
    uses: Uses,
    failing: HashSet<Arc<str>>,
    random: SmallRng,
    gateways: usize,
    pace: ReadingPace,
    sends: u64,
}

/// What goes through a gateway, as it tells the leader.
#[derive(Debug, Clone, Default)]
pub struct Traffic {
    /// What is under way, where it changed.
    pub loads: Vec<EndpointLoad>,
    /// Weights that were used.
    pub used: Vec<WeightsUse>,
    /// Endpoints that could not be reached, or failed again and again.
    pub failing: Vec<Arc<str>>,
}

/// Where a request may go.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Picked {
    /// To this endpoint.
    Endpoint {
        /// Its incarnation.
        id: Arc<str>,
        /// Its name.
        name: Arc<str>,
        /// Its address.
        address: SocketAddr,
        /// The version that its weights must have, where that matters.
        weights_version: Option<u64>,
        /// The version that its weights are known to have.
        held_version: Option<u64>,
        /// The rank in its queue, where it has weights.
        rank: Option<u8>,
        /// What the request is expected to wait there.
        expected_ms: u64,
    },
    /// The endpoints that could take it are full.
    Full,
    /// No endpoint holds its weights, but they are on their way to one.
    Coming,
    /// No endpoint holds its weights.
    NoHome,
    /// No endpoint of the service is known to be up.
    NoEndpoint,
}

impl Fleet {
    /// No endpoints yet, for a gateway in `zone`; `seed` decides which endpoints are compared.
    pub fn new(zone: Arc<str>, seed: u64) -> Self {
        Self {
            zone,
            endpoints: HashMap::new(),
            by_service: HashMap::new(),
            homes: HashMap::new(),
            versions: Versions::new(VERSION_WITHIN_MS * SENT_PERCENT / 100),
            begin_within_ms: begin_within_ms(VERSION_WITHIN_MS),
            loads_changed: HashSet::new(),
            uses: Uses::default(),
            failing: HashSet::new(),
            random: SmallRng::seed_from_u64(seed),
            gateways: 1,
            pace: ReadingPace::new(),
            sends: 0,
        }
    }

    /// Notes how many gateways there are.
    pub fn set_gateways(&mut self, gateways: u32) {
        self.gateways = gateways as usize;
    }

    /// Takes a registration over.
    pub fn register(&mut self, endpoint: RegisteredEndpoint) {
        if let Some(known) = self.endpoints.get_mut(&endpoint.id) {
            known.endpoint = endpoint;
            return;
        }
        let ids = self.by_service.entry(endpoint.service.clone()).or_default();
        ids.push(endpoint.id.clone());
        self.endpoints.insert(endpoint.id.clone(), Known::new(endpoint));
    }

    /// Forgets an endpoint that is gone; its address is returned.
    pub fn deregister(&mut self, id: &str) -> Option<SocketAddr> {
        let known = self.endpoints.remove(id)?;
        if let Some(ids) = self.by_service.get_mut(&known.endpoint.service) {
            ids.retain(|known| &**known != id);
        }
        for homes in self.homes.values_mut() {
            homes.remove(id);
        }
        Some(known.endpoint.address)
    }

    /// Forgets the endpoints that `ids` does not name.
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

    /// Takes over what endpoints hold.
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

    /// Notes that an endpoint turned out not to hold `name` in the `version` that was known.
    ///
    /// What was told of another version since, or of one on its way, stays: nobody tells it again.
    pub fn not_held(&mut self, endpoint: &str, name: &WeightsName, version: Option<u64>) {
        let Some(homes) = self.homes.get_mut(name) else { return };
        if homes.get(endpoint).copied() == version.map(Holding::Ready) {
            homes.remove(endpoint);
        }
    }

    /// Takes over what the other gateways have under way.
    pub fn note_loads(&mut self, loads: Vec<EndpointLoad>) {
        for load in loads {
            if let Some(known) = self.endpoints.get_mut(&load.endpoint) {
                known.others_running = load.load.running;
                let Load { waiting_ms, late_ms, .. } = load.load;
                let others = UnreadMs { in_time: waiting_ms.into(), late: late_ms.into() };
                known.waiting.set_others(others);
            }
        }
    }

    /// Forgets what the other gateways have under way; without a leader nobody tells when it ends.
    pub fn forget_loads(&mut self) {
        for known in self.endpoints.values_mut() {
            known.others_running = 0;
            known.waiting.set_others(UnreadMs::default());
        }
    }

    /// Picks an endpoint of `service`, one that holds the weights if a model is `wanted`.
    ///
    /// Those in `tried` come last: an endpoint that failed once may well serve the next request, and
    /// where no other one holds the weights, it is the only one that can.
    pub fn pick(
        &mut self,
        now_ms: u64,
        service: &str,
        wanted: Option<&Wanted>,
        tried: &[Arc<str>],
    ) -> Picked {
        let weights = wanted.map(|wanted| &wanted.weights);
        let Some(ids) = self.by_service.get(service) else { return Picked::NoEndpoint };
        let homes = weights.map(|name| self.homes.get(name));
        let due = weights.map_or(0, |name| self.version_due(now_ms, name));
        // Few endpoints hold an adapter, so that the others need not be looked at.
        let ids: Vec<&Arc<str>> = match homes {
            Some(homes) => homes.into_iter().flatten().map(|(id, _)| id).collect(),
            None => ids.iter().collect(),
        };
        let mut candidates: Vec<Candidate<'_>> = Vec::new();
        let mut best_tried: Option<Candidate<'_>> = None;
        let compared_max = (ids.len() * ALL_COMPARED_BY / self.gateways.max(1)).max(COMPARED_MIN);
        let start = self.random.random_range(0..ids.len().max(1));
        let (mut up, mut holding, mut coming) = (0, 0, 0);
        for step in 0..ids.len() {
            // Starting elsewhere each time spreads requests among endpoints that are alike.
            let id = ids[(step + start) % ids.len()];
            let Some(known) = self.endpoints.get(id) else { continue };
            if known.endpoint.leaving || &*known.endpoint.service != service {
                continue;
            }
            up += 1;
            if let Some(Some(homes)) = homes {
                match homes.get(id) {
                    Some(Holding::Ready(version)) if *version >= due => {}
                    Some(Holding::Coming) => {
                        coming += 1;
                        continue;
                    }
                    _ => continue,
                }
            }
            holding += 1;
            if known.closed_until_ms > now_ms || known.is_full(weights.is_some()) {
                continue;
            }
            let Expected { mut cost_ms, rank } = known.expect(now_ms, wanted, self.pace);
            if known.endpoint.zone == self.zone {
                cost_ms -= ZONE_PREFERENCE_MS;
            }
            let candidate = Candidate { cost_ms, rank, known };
            if tried.contains(id) {
                if best_tried.is_none_or(|best| cost_ms < best.cost_ms) {
                    best_tried = Some(candidate);
                }
                continue;
            }
            candidates.push(candidate);
            if candidates.len() == compared_max {
                break;
            }
        }
        choice::prefer_common(&mut candidates, wanted, self.pace);
        let draw: f64 = self.random.random();
        let best = if self.gateways > ALL_COMPARED_BY {
            choice::draw_cheap(&candidates, draw)
        } else {
            choice::cheapest(&candidates)
        };
        let chosen = best.or(best_tried);
        let held =
            chosen.and_then(|chosen| held_version(homes.flatten(), &chosen.known.endpoint.id));
        match chosen {
            Some(Candidate { known, rank, cost_ms }) => Picked::Endpoint {
                id: known.endpoint.id.clone(),
                name: known.endpoint.name.clone(),
                address: known.endpoint.address,
                // The endpoint refuses if it has another one than is known here.
                weights_version: held.filter(|_| due > 0),
                held_version: held,
                rank,
                expected_ms: cost_ms.max(0.0) as u64,
            },
            None if up == 0 && !self.has_endpoint(service) => Picked::NoEndpoint,
            None if holding == 0 && coming > 0 => Picked::Coming,
            None if holding == 0 => Picked::NoHome,
            None => Picked::Full,
        }
    }

    /// True when `id` began no answer since `at_ms`.
    pub fn is_silent_since(&self, at_ms: u64, id: &str) -> bool {
        self.endpoints.get(id).is_none_or(|known| known.waiting.is_silent_since(at_ms))
    }

    /// True when an endpoint of the service is up and stays.
    fn has_endpoint(&self, service: &str) -> bool {
        let Some(ids) = self.by_service.get(service) else { return false };
        ids.iter().any(|id| self.endpoints.get(id).is_some_and(|known| !known.endpoint.leaving))
    }

    /// Counts a request that is sent to `id`, late or not; returns its number.
    pub fn start(
        &mut self,
        now_ms: u64,
        id: &Arc<str>,
        wanted: Option<&Wanted>,
        is_late: bool,
    ) -> u64 {
        self.sends += 1;
        let mut reading_ms = 0.0;
        if let Some(known) = self.endpoints.get_mut(id) {
            known.own_running += 1;
            let tokens = wanted.map_or(0, |wanted| known.unread_tokens(wanted));
            reading_ms = known.pace(self.pace).reading_ms(tokens);
            if let Some(wanted) = wanted {
                known.kept.note(&wanted.prompt, wanted.memory_tokens / self.gateways.max(1) as u64);
            }
            known.waiting.send(now_ms, self.sends, Prompt { tokens, reading_ms, is_late });
            self.loads_changed.insert(id.clone());
        }
        if let Some(wanted) = wanted {
            self.uses.start(id, &wanted.weights, reading_ms);
        }
        self.sends
    }

    /// Counts a request that has ended at `id`, under the number that it was sent with.
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
        if let Some(known) = self.endpoints.get_mut(id) {
            known.own_running = known.own_running.saturating_sub(1);
            known.waiting.end(now_ms, number);
            self.loads_changed.insert(id.clone());
        }
    }

    /// Notes that `id` began to answer the request sent under `number`.
    pub fn answered(&mut self, now_ms: u64, id: &Arc<str>, number: u64) {
        let Some(known) = self.endpoints.get_mut(id) else { return };
        known.failures = 0;
        known.waiting.answered(now_ms);
        if let Some((tokens, took_ms)) = known.waiting.end(now_ms, number) {
            self.pace.note(tokens, took_ms);
            if known.pace.noted() == 0 {
                known.pace = ReadingPace::with_start(self.pace);
            }
            known.pace.note(tokens, took_ms);
            self.loads_changed.insert(id.clone());
        }
    }

    /// Notes that `id` is full.
    pub fn refused(&mut self, now_ms: u64, id: &str) {
        if let Some(known) = self.endpoints.get_mut(id) {
            known.closed_until_ms = known.closed_until_ms.max(now_ms + FULL_MS);
        }
    }

    /// Notes that `id` could not be reached.
    pub fn unreachable(&mut self, now_ms: u64, id: &Arc<str>) {
        if let Some(known) = self.endpoints.get_mut(id) {
            let pause_ms = (DOWN_MS << known.failures.min(8)).min(DOWN_MAX_MS);
            known.failures += 1;
            known.closed_until_ms = now_ms + pause_ms;
            self.failing.insert(id.clone());
        }
    }

    /// Notes that `id` broke off or answered wrongly; once may be chance.
    pub fn failed(&mut self, now_ms: u64, id: &Arc<str>) {
        let Some(known) = self.endpoints.get_mut(id) else { return };
        known.failures += 1;
        if known.failures < FAILURES_TO_DOWN {
            return;
        }
        known.closed_until_ms = now_ms + (DOWN_MS << known.failures.min(8)).min(DOWN_MAX_MS);
        self.failing.insert(id.clone());
    }

    /// Notes that `id` has ended: it comes back as another incarnation, if at all.
    pub fn ended(&mut self, now_ms: u64, id: &Arc<str>) {
        let Some(known) = self.endpoints.get_mut(id) else { return };
        known.failures += FAILURES_TO_DOWN;
        known.closed_until_ms = now_ms + DOWN_MAX_MS;
        self.failing.insert(id.clone());
    }

    /// Tells when another incarnation has taken the place of `id`.
    pub fn watch_end(&mut self, id: &str) -> Option<watch::Receiver<bool>> {
        let known = self.endpoints.get_mut(id)?;
        Some(known.ended.get_or_insert_with(|| watch::Sender::new(false)).subscribe())
    }

    /// The known endpoints that have ended, since `registered` have their names or addresses; whoever waits
    /// for their answers is told.
    pub fn replaced_by(&mut self, registered: &[&RegisteredEndpoint]) -> Vec<RegisteredEndpoint> {
        let is_new = |endpoint: &&&RegisteredEndpoint| !self.endpoints.contains_key(&endpoint.id);
        let new: Vec<_> = registered.iter().filter(is_new).collect();
        if new.is_empty() {
            return Vec::new();
        }
        let names: HashSet<&str> = new.iter().map(|endpoint| &*endpoint.name).collect();
        let addresses: HashSet<SocketAddr> = new.iter().map(|endpoint| endpoint.address).collect();
        let mut replaced = Vec::new();
        for Known { endpoint, ended, .. } in self.endpoints.values() {
            if !names.contains(&*endpoint.name) && !addresses.contains(&endpoint.address) {
                continue;
            }
            if let Some(ended) = ended {
                ended.send_replace(true);
            }
            replaced.push(endpoint.clone());
        }
        replaced
    }

    /// An endpoint as it registered.
    pub fn endpoint(&self, id: &str) -> Option<RegisteredEndpoint> {
        self.endpoints.get(id).map(|known| known.endpoint.clone())
    }

    /// What changed since the last call.
    pub fn take_traffic(&mut self, now_ms: u64) -> Traffic {
        let mut loads = Vec::new();
        for endpoint in self.loads_changed.drain() {
            let load = self.endpoints.get(&endpoint).map(Known::load).unwrap_or_default();
            loads.push(EndpointLoad { endpoint, load });
        }
        let used = self.uses.take(now_ms);
        let failing = self.failing.drain().collect();
        Traffic { loads, used, failing }
    }

    /// Tells all uses the next time, to a leader that knows nothing.
    pub fn forget_uses_told(&mut self) {
        self.uses.forget_told();
    }

    /// What this gateway has under way everywhere, for a leader that does not know it.
    pub fn all_loads(&self) -> Vec<EndpointLoad> {
        let mut loads = Vec::new();
        for (id, known) in &self.endpoints {
            let load = known.load();
            if load != Load::default() {
                loads.push(EndpointLoad { endpoint: id.clone(), load });
            }
        }
        loads
    }

    /// How many endpoints are known.
    pub fn len(&self) -> usize {
        self.endpoints.len()
    }

    /// True when no endpoint is known.
    pub fn is_empty(&self) -> bool {
        self.endpoints.is_empty()
    }
}

fn held_version(homes: Option<&BTreeMap<Arc<str>, Holding>>, id: &str) -> Option<u64> {
    match homes?.get(id) {
        Some(Holding::Ready(version)) => Some(*version),
        _ => None,
    }
}
