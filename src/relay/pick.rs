//! Selects the endpoint for a request.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;

use rand::RngExt;

use super::choice::{self, COST_SCALE_MS, Candidate, SPEED_SCALE_MS};
use super::fleet::Fleet;
use super::found::{Found, SearchTotals, ThrottledEndpoint};
use super::known::{CostEstimate, EndpointState, RoomWanted, Wanted};
use super::limits::EndpointLimits;
use super::waiting::ReadingPace;
use crate::message::Holding;
use crate::policy::slot_leases::SlotLeases;

/// The minimum number of endpoints that are compared for a request.
const COMPARED_MIN: usize = 8;
/// The largest number of gateways that compare all endpoints and select the cheapest one; with more
/// gateways each one compares a share of the endpoints.
pub(super) const ALL_COMPARED_MAX_GATEWAYS: usize = 8;
/// How much longer a request may wait for an endpoint in the gateway's own zone: a link between
/// zones adds a few milliseconds, and its traffic is charged.
const ZONE_PREFERENCE_MS: f64 = 15.0;
/// The interval at which a throttled or leaving endpoint is reported as failing; after a report,
/// the leader places no weights there for longer than this.
const FAILING_REPORT_INTERVAL_MS: u64 = 1_000;

/// A request that needs an endpoint.
#[derive(Debug, Clone, Copy)]
pub struct PickRequest<'a> {
    /// The service.
    pub service: &'a str,
    /// What the request needs of an engine; `None` for a plain service.
    pub wanted: Option<&'a Wanted>,
    /// The endpoints that were tried before. They come last: one that failed once may well serve
    /// the next request, and if no other one holds the weights, it is the only choice.
    pub tried: &'a [Arc<str>],
    /// The time left until the latency objective; 0 once it has passed.
    pub objective_left_ms: u64,
    /// True if the request may take only free slots, not a place in the queue of a plain endpoint.
    pub free_slots_only: bool,
    /// True if the request leaves some slots of an engine to requests of workspaces within their
    /// share.
    pub leaves_reserve: bool,
    /// True for a request that already counts towards the demand because it was waiting.
    pub is_repeated: bool,
    /// True if others wait behind it, for which slots remain wanted.
    pub others_wait: bool,
    /// The software version that the endpoint must have; `None` if any will do.
    pub software_version: Option<&'a str>,
}

impl<'a> PickRequest<'a> {
    /// A new request for `service` without a latency objective.
    pub fn new(service: &'a str, wanted: Option<&'a Wanted>, tried: &'a [Arc<str>]) -> Self {
        Self {
            service,
            wanted,
            tried,
            objective_left_ms: u64::MAX,
            free_slots_only: false,
            leaves_reserve: false,
            is_repeated: false,
            others_wait: false,
            software_version: None,
        }
    }
}

/// The result of selecting an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Picked {
    /// Send the request to this endpoint.
    Endpoint {
        /// The endpoint's incarnation.
        id: Arc<str>,
        /// The endpoint's name.
        name: Arc<str>,
        /// The endpoint's address.
        address: SocketAddr,
        /// The endpoint's software version.
        software_version: Arc<str>,
        /// The version that its weights must have, if only one will do.
        weights_version: Option<u64>,
        /// The version that its weights are known to have.
        held_version: Option<u64>,
        /// The request's rank in the endpoint's queue, if it needs weights.
        rank: Option<u8>,
        /// The expected cost of the endpoint, mainly the wait there.
        expected_ms: u64,
    },
    /// The endpoints that could take the request are full or paused.
    Full,
    /// A brittle endpoint may take the request as soon as this gateway has leased one of its slots.
    AwaitingSlot,
    /// This gateway's share of the rate limits of the endpoints that could take the request is used
    /// up.
    Limited {
        /// The time until one of them may take the next request.
        after_ms: u64,
    },
    /// The endpoints that could take the request are in backoff or limited; the next available one
    /// is in backoff.
    BackingOff {
        /// The time until one of them may take the next request.
        after_ms: u64,
    },
    /// No endpoint holds the weights, but one is loading them.
    Coming,
    /// No endpoint holds the weights.
    NoHome,
    /// The endpoints that could take the request cannot be reached from this gateway.
    OutOfReach,
    /// No endpoint of the service is known to be up.
    NoEndpoint,
    /// No endpoint of the service with the software version is known to be up.
    NoVersion,
}

/// The parameters of a search for an endpoint.
struct Search<'a> {
    now_ms: u64,
    service: &'a str,
    wanted: Option<&'a Wanted>,
    tried: &'a [Arc<str>],
    zone: &'a str,
    pace: ReadingPace,
    endpoints: &'a HashMap<Arc<str>, EndpointState>,
    out_of_reach: &'a HashSet<Arc<str>>,
    /// The endpoints that hold or load the weights; `None` if the request needs no weights or no
    /// endpoint is known to have them.
    homes: Option<&'a BTreeMap<Arc<str>, Holding>>,
    /// The oldest acceptable version.
    due: u64,
    /// The room that the request needs at an endpoint.
    room: RoomWanted,
    /// False for a request that already counts towards the demand.
    counts_demand: bool,
    /// The software version that the endpoint must have; `None` if any will do.
    software_version: Option<&'a str>,
    /// The leased slots, if endpoints of the service are brittle.
    leases: Option<&'a SlotLeases>,
}

impl<'a> Search<'a> {
    /// Evaluates the endpoint `id` and adds it to `found`; `draw` is random, from 0 to 1.
    fn consider(
        &self,
        id: &'a Arc<str>,
        limits: &mut EndpointLimits,
        draw: f64,
        found: &mut Found<'a>,
    ) {
        let Some(state) = self.endpoints.get(id) else { return };
        if state.is_leaving(self.now_ms)
            || &*state.endpoint.service != self.service
            || !state.has_software(self.software_version)
        {
            return;
        }
        found.up += 1;
        if let Some(homes) = self.homes {
            match homes.get(id) {
                Some(Holding::Ready(version)) if *version >= self.due => {}
                Some(Holding::Coming) => {
                    found.coming += 1;
                    return;
                }
                _ => return,
            }
        }
        found.holding += 1;
        if self.out_of_reach.contains(id) {
            found.out_of_reach += 1;
            return;
        }
        if self.counts_demand {
            limits.note_request(self.now_ms, id);
        }
        if state.paused_until_ms > self.now_ms || self.is_full(state) {
            return;
        }
        let backoff_ms = state.backoff.wait_ms(self.now_ms);
        let wait_ms = backoff_ms.max(limits.wait_ms(self.now_ms, id, draw));
        if wait_ms > 0 {
            let (id, in_backoff) = (id.clone(), backoff_ms > 0);
            found.throttled.push(ThrottledEndpoint { id, wait_ms, in_backoff });
            return;
        }
        self.add_candidate(id, state, found);
    }

    /// A lease is better evidence of a free slot than counts that arrive late.
    fn is_full(&self, state: &EndpointState) -> bool {
        let counts = self.leases.is_none() || matches!(self.room, RoomWanted::SlotBesideReserve);
        counts && state.is_full(self.room)
    }

    fn add_candidate(&self, id: &Arc<str>, state: &'a EndpointState, found: &mut Found<'a>) {
        let CostEstimate { mut cost_ms, rank } =
            state.estimate(self.now_ms, self.wanted, self.pace);
        if *state.endpoint.zone == *self.zone {
            cost_ms -= ZONE_PREFERENCE_MS;
        }
        let candidate = Candidate { cost_ms, rank, state };
        if let Some(leases) = self.leases
            && !leases.may_use(self.now_ms, id, state.own_running)
        {
            found.unleased.push(candidate);
            return;
        }
        if !self.tried.contains(id) {
            found.candidates.push(candidate);
            return;
        }
        if found.best_tried.is_none_or(|best| cost_ms < best.cost_ms) {
            found.best_tried = Some(candidate);
        }
    }
}

impl Fleet {
    /// Picks an endpoint of `service`, one that holds the weights if a model is `wanted`.
    pub fn pick(
        &mut self,
        now_ms: u64,
        service: &str,
        wanted: Option<&Wanted>,
        tried: &[Arc<str>],
    ) -> Picked {
        self.pick_for(now_ms, &PickRequest::new(service, wanted, tried))
    }

    /// Like [`Fleet::pick`], for a waiting request that already counts towards the demand.
    pub fn pick_again(
        &mut self,
        now_ms: u64,
        service: &str,
        wanted: Option<&Wanted>,
        tried: &[Arc<str>],
    ) -> Picked {
        let request = PickRequest { is_repeated: true, ..PickRequest::new(service, wanted, tried) };
        self.pick_for(now_ms, &request)
    }

    /// Picks an endpoint for `request`.
    pub fn pick_for(&mut self, now_ms: u64, request: &PickRequest<'_>) -> Picked {
        let PickRequest { service, wanted, tried, is_repeated, .. } = *request;
        self.refresh_slowdowns(now_ms);
        let room = self.room_wanted(now_ms, request);
        let weights = wanted.map(|wanted| &wanted.weights);
        if self.is_service_out_of_reach(now_ms, service) {
            return Picked::OutOfReach;
        }
        let Some(ids) = self.by_service.get(service) else { return Picked::NoEndpoint };
        if request.software_version.is_some()
            && !self.has_endpoint_except(now_ms, service, request.software_version, &[])
        {
            return Picked::NoVersion;
        }
        let due = weights.map_or(0, |name| self.version_due(now_ms, name));
        let search = Search {
            now_ms,
            service,
            wanted,
            tried,
            zone: &self.zone,
            pace: self.pace,
            endpoints: &self.endpoints,
            out_of_reach: &self.out_of_reach,
            homes: weights.and_then(|name| self.homes.get(name)),
            due,
            room,
            counts_demand: !is_repeated,
            software_version: request.software_version,
            leases: self.needs_lease(now_ms, service).then_some(&self.slot_leases),
        };
        // Few endpoints hold a given adapter, so only these are considered.
        let ids: Vec<&Arc<str>> = match weights {
            Some(_) => search.homes.into_iter().flatten().map(|(id, _)| id).collect(),
            None => ids.iter().collect(),
        };
        let mut found = Found::default();
        let compared_max =
            (ids.len() * ALL_COMPARED_MAX_GATEWAYS / self.gateways.max(1)).max(COMPARED_MIN);
        let start = self.random.random_range(0..ids.len().max(1));
        for step in 0..ids.len() {
            // A random start spreads requests over endpoints of equal cost.
            let id = ids[(step + start) % ids.len()];
            search.consider(id, &mut self.limits, self.random.random(), &mut found);
            if found.candidates.len() == compared_max {
                break;
            }
        }
        choice::discount_preferred(&mut found.candidates, wanted, self.pace);
        let draw: f64 = self.random.random();
        let scale_ms = if self.is_drawn_by_speed(request) { SPEED_SCALE_MS } else { COST_SCALE_MS };
        let best = if self.gateways > ALL_COMPARED_MAX_GATEWAYS {
            choice::draw_weighted(&found.candidates, scale_ms, draw)
        } else {
            choice::cheapest(&found.candidates)
        };
        let unleased: Vec<Arc<str>> =
            found.unleased.iter().map(|candidate| candidate.state.endpoint.id.clone()).collect();
        if let Some(chosen) = best.or(found.best_tried) {
            let id = chosen.state.endpoint.id.clone();
            let picked = picked_endpoint(chosen, search.homes, due);
            self.note_picked(now_ms, &id);
            self.slot_leases.unwant(&id);
            if !request.others_wait {
                for id in &unleased {
                    self.slot_leases.unwant(id);
                }
            }
            return picked;
        }
        if !unleased.is_empty() {
            let has_free = found.unleased.iter().any(|candidate| candidate.state.has_free_slot());
            for id in self.wanted_slots(now_ms, &found.unleased, draw) {
                self.slot_leases.want(now_ms, &id);
            }
            return if has_free { Picked::AwaitingSlot } else { Picked::Full };
        }
        let totals = SearchTotals::new(found);
        self.unavailable(now_ms, request, totals)
    }

    /// True if many gateways draw plain endpoints that differ in speed.
    fn is_drawn_by_speed(&self, request: &PickRequest<'_>) -> bool {
        request.wanted.is_none()
            && self.gateways > ALL_COMPARED_MAX_GATEWAYS
            && self.uneven_services.contains(request.service)
    }

    fn room_wanted(&self, now_ms: u64, request: &PickRequest<'_>) -> RoomWanted {
        if request.wanted.is_some() && request.leaves_reserve {
            return RoomWanted::SlotBesideReserve;
        }
        if request.wanted.is_some()
            || request.free_slots_only
            || self.is_brittle(now_ms, request.service)
        {
            return RoomWanted::Slot;
        }
        let unit_ms = self.unit_ms.get(request.service).copied().unwrap_or(0.0);
        let has_late_counts = self.is_drawn_by_speed(request);
        RoomWanted::Queue { left_ms: request.objective_left_ms, unit_ms, has_late_counts }
    }

    fn note_picked(&mut self, now_ms: u64, id: &str) {
        self.limits.take(id);
        if let Some(state) = self.endpoints.get_mut(id) {
            state.backoff.note_sent(now_ms);
        }
    }

    /// Returns why a search found no candidate; throttled endpoints may be reported as failing.
    fn unavailable(
        &mut self,
        now_ms: u64,
        request: &PickRequest<'_>,
        totals: SearchTotals,
    ) -> Picked {
        let PickRequest { service, wanted, software_version, .. } = *request;
        let SearchTotals { up, holding, coming, out_of_reach, throttled } = totals;
        if out_of_reach > 0 && out_of_reach == holding {
            return Picked::OutOfReach;
        }
        let holding = holding - out_of_reach;
        if throttled.len() < holding {
            return Picked::Full;
        }
        if up == 0 && !self.has_endpoint(now_ms, service) {
            return Picked::NoEndpoint;
        }
        let is_adapter = wanted.is_some_and(|wanted| wanted.weights.adapter.is_some());
        let can_load_elsewhere =
            is_adapter && self.has_endpoint_except(now_ms, service, software_version, &throttled);
        let next = throttled.iter().min_by_key(|throttled| throttled.wait_ms);
        if let Some(next) = next
            && !can_load_elsewhere
        {
            return next.to_picked();
        }
        self.report_failing(now_ms, throttled.into_iter().map(|throttled| throttled.id));
        if coming > 0 { Picked::Coming } else { Picked::NoHome }
    }

    /// True if an endpoint of the service is up and not leaving.
    fn has_endpoint(&self, now_ms: u64, service: &str) -> bool {
        self.has_endpoint_except(now_ms, service, None, &[])
    }

    /// True if an endpoint of the service that is not in `throttled` is up and not leaving, and has
    /// the software version if one is needed.
    fn has_endpoint_except(
        &self,
        now_ms: u64,
        service: &str,
        software_version: Option<&str>,
        throttled: &[ThrottledEndpoint],
    ) -> bool {
        let Some(ids) = self.by_service.get(service) else { return false };
        for id in ids {
            let is_throttled = throttled.iter().any(|throttled| throttled.id == *id);
            let Some(state) = self.endpoints.get(id) else { continue };
            let has_software = state.has_software(software_version);
            if !is_throttled && has_software && !state.is_leaving(now_ms) {
                return true;
            }
        }
        false
    }

    /// Reports endpoints as failing, each at most once per `FAILING_REPORT_INTERVAL_MS`;
    /// the leader then places their weights elsewhere.
    pub(super) fn report_failing(&mut self, now_ms: u64, ids: impl IntoIterator<Item = Arc<str>>) {
        for id in ids {
            let reported_at_ms = self.failing_reported_at_ms.get(&id);
            if reported_at_ms
                .is_some_and(|reported_at_ms| now_ms < reported_at_ms + FAILING_REPORT_INTERVAL_MS)
            {
                continue;
            }
            self.failing_reported_at_ms.insert(id.clone(), now_ms);
            self.failing.insert(id);
        }
    }
}

fn picked_endpoint(
    chosen: Candidate<'_>,
    homes: Option<&BTreeMap<Arc<str>, Holding>>,
    due: u64,
) -> Picked {
    let Candidate { state, rank, cost_ms } = chosen;
    let held = held_version(homes, &state.endpoint.id);
    Picked::Endpoint {
        id: state.endpoint.id.clone(),
        name: state.endpoint.name.clone(),
        address: state.endpoint.address,
        software_version: state.endpoint.software_version.clone(),
        // The endpoint refuses the request if it holds another version than recorded here.
        weights_version: held.filter(|_| due > 0),
        held_version: held,
        rank,
        expected_ms: cost_ms.max(0.0) as u64,
    }
}

fn held_version(homes: Option<&BTreeMap<Arc<str>, Holding>>, id: &str) -> Option<u64> {
    match homes?.get(id) {
        Some(Holding::Ready(version)) => Some(*version),
        _ => None,
    }
}
