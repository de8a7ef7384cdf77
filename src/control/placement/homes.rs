//! Chooses endpoints for weights that are in demand, for new versions, and for empty endpoints.

use std::collections::HashMap;
use std::sync::Arc;

use tracing::info;

use super::endpoint::{EndpointState, WeightsState};
use super::{OpenWants, Placement, PlacementRequest, Wanted};
use crate::message::{OrderKind, WeightsName, WeightsUse};
use crate::routing::EngineSpec;

/// The share of an endpoint's slots that requests of one adapter may fill before the adapter gets
/// an additional home.
const HOME_SLOT_SHARE: f64 = 0.4;
/// Prompt reading per home, in milliseconds per second. Above this share of an engine's time, an
/// adapter gets an additional home, so that a long prompt at one home does not block all requests.
/// An additional home costs memory and a load, which many later requests amortize.
const HOME_READING_MS_PER_S: f64 = 300.0;
/// The approximate duration of a response; converts request rates to concurrent requests, and the
/// slowdown of an endpoint to the delay of a response there.
const ANSWER_DURATION_S: f64 = 0.7;
/// A placement request expires when it is not repeated within this time; clients retry sooner.
const REQUEST_TIMEOUT_MS: u64 = 1_500;
/// The maximum number of placement requests handled in one pass, those in highest demand first; the
/// weight store starts fewer loads between two passes.
const REQUESTS_PER_PASS: usize = 64;
/// How often a request is checked again whose homes are being loaded, or for which no adapter can be
/// evicted; loads take several times as long.
const CHECK_AGAIN_INTERVAL_MS: u64 = 40;
/// How long a request for which an adapter is being evicted is checked in every pass; after that, another
/// request has probably got the room.
const EVICTION_WAIT_MS: u64 = 200;
/// The maximum number of endpoints scanned for placement requests in one pass, which bounds the time
/// that they take to a few milliseconds.
const ENDPOINT_SCANS_PER_PASS: usize = 20_000;
/// The maximum number of adapters that an engine loads concurrently; an engine answers further
/// loads with a conflict (see "Model placement" in the engine protocol).
const CONCURRENT_LOADS_MAX: usize = 4;
/// How long weights wait for an endpoint that has a local copy but accepts no order; about the
/// duration of a load from the weight store.
const COPY_WAIT_MS: u64 = 300;
/// The delay that each adapter being loaded adds at its endpoint, for the requests that wait for
/// the adapter.
const LOADING_COST_MS: u64 = 150;
/// The extra cost of a load from the store: an endpoint with a local copy is preferred unless
/// another endpoint answers this much sooner.
const STORE_COST_MS: u64 = 300;
/// The extra cost of traffic between availability zones.
const CROSS_ZONE_COST_MS: u64 = 20;
/// Costs are compared in steps of this size, so that affinity decides between endpoints with
/// similar costs.
const COST_STEP_MS: u64 = 60;
/// A loaded model is evicted only for one in this many times higher demand; loading a model takes
/// seconds and much of the store's capacity.
const MODEL_DEMAND_RATIO: f64 = 2.0;

/// How suitable an endpoint is as an additional home; ordered by the fields, in this order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Fit {
    /// True when slots are free for requests of another adapter.
    has_room: bool,
    /// The estimated delay of a request: waiting prompts, loading and distance, in steps.
    delay_steps: std::cmp::Reverse<u64>,
    /// The hash affinity, so that an adapter returns to the endpoint that has a local copy.
    affinity: u64,
}

/// The endpoints of a service, classified by what they hold of some weights.
#[derive(Default)]
struct Survey {
    homes: usize,
    crowded_homes: usize,
    on_their_way: usize,
    /// The homes as a number of homes at endpoints of usual speed.
    home_capacity: f64,
    /// The same, with those on their way.
    future_capacity: f64,
    /// Endpoints that could become a home, with their suitability.
    candidates: Vec<(Fit, Arc<str>)>,
    /// Endpoints that hold an older version.
    older: Vec<Arc<str>>,
}

impl Survey {
    fn note_home(&mut self, slowdown: f64) {
        self.homes += 1;
        self.home_capacity += 1.0 / slowdown;
        self.future_capacity += 1.0 / slowdown;
    }

    fn note_on_its_way(&mut self, slowdown: f64) {
        self.on_their_way += 1;
        self.future_capacity += 1.0 / slowdown;
    }

    /// The homes in whole homes of usual speed. The first home always counts as one: an adapter in
    /// little demand needs no second load because its home is slow.
    fn effective_homes(&self) -> usize {
        whole_homes(self.home_capacity, self.homes)
    }

    /// The same, with the homes on their way.
    fn effective_future_homes(&self) -> usize {
        whole_homes(self.future_capacity, self.homes + self.on_their_way)
    }
}

impl Placement {
    /// Requests an additional home for weights in higher demand than their homes should serve.
    pub(super) fn request_additional_home(
        &mut self,
        now_ms: u64,
        zone: &Arc<str>,
        weights: &WeightsUse,
    ) {
        let name = &weights.name;
        let rate = self.rate(now_ms, name);
        let Some(slots) = self.engines.values().map(|engine| engine.slots).min() else { return };
        if name.adapter.is_none()
            || wanted_homes(rate, self.prompt_reading.rate(now_ms, name), slots) < 2
        {
            return;
        }
        let mut service = None;
        for endpoint in self.endpoints.values() {
            if endpoint.places.contains_key(name) {
                service = Some(endpoint.endpoint.service.clone());
                break;
            }
        }
        let Some(service) = service else { return };
        let request = PlacementRequest::additional(now_ms, name, zone.clone());
        self.wanted.entry(Wanted::new(service, name.clone())).or_insert(request);
    }

    /// Loads the base model with the fewest homes for its demand at each empty endpoint.
    pub(super) fn fill_empty_endpoints(&mut self, now_ms: u64) {
        // Found once for each service, since it takes a scan of all endpoints.
        let mut scarcest = HashMap::new();
        let mut due = Vec::new();
        for (id, endpoint) in &self.endpoints {
            let service = &endpoint.endpoint.service;
            let Some(engine) = self.engines.get(service) else { continue };
            let is_due = endpoint.is_free_for_orders(now_ms)
                && endpoint.accepts_weights(now_ms)
                && endpoint.places.is_empty();
            if !is_due {
                continue;
            }
            let model = scarcest
                .entry(service.clone())
                .or_insert_with(|| self.scarcest_model(now_ms, engine));
            let Some(model) = model else { continue };
            due.push((id.clone(), service.clone(), model.clone()));
        }
        for (id, service, name) in due {
            self.load_if_store_allows(now_ms, &service, &id, &name);
        }
    }

    fn scarcest_model(&self, now_ms: u64, engine: &EngineSpec) -> Option<WeightsName> {
        let mut scarcest: Option<(f64, WeightsName)> = None;
        for model in &engine.models {
            let name = WeightsName::new(model.name.clone(), None);
            let holds = |endpoint: &&EndpointState| endpoint.places.contains_key(&name);
            let homes = self.endpoints.values().filter(holds).count();
            let shortage = (self.demand.rate(now_ms, &name) + 1.0) / (homes + 1) as f64;
            if scarcest.as_ref().is_none_or(|(known, _)| shortage > *known) {
                scarcest = Some((shortage, name));
            }
        }
        scarcest.map(|(_, name)| name)
    }

    /// Handles the placement requests of gateways, those in highest demand first.
    pub(super) fn load_wanted(&mut self, now_ms: u64) {
        self.wanted.retain(|_, request| request.asked_at_ms + REQUEST_TIMEOUT_MS > now_ms);
        let mut wanted = Vec::with_capacity(self.wanted.len());
        let mut open = OpenWants::default();
        for (key, request) in &self.wanted {
            if now_ms < request.check_again_at_ms {
                open.put_off += 1;
                continue;
            }
            wanted.push((self.rate(now_ms, &key.weights), key.clone(), request.clone()));
        }
        // First homes go before additional ones: without any home, every client request is refused.
        wanted.sort_unstable_by(|one, other| {
            one.2.is_additional.cmp(&other.2.is_additional).then(other.0.total_cmp(&one.0))
        });
        if self.logged_at_ms + 1_000 <= now_ms && !wanted.is_empty() {
            self.logged_at_ms = now_ms;
            info!(
                event = "weights_wanted",
                wanted = self.wanted.len(),
                open = ?self.open,
                store_bears = self.store_limit.concurrent_max()
            );
        }
        self.open = open;
        let is_store_full = self.is_store_full(now_ms);
        let requests_max =
            (ENDPOINT_SCANS_PER_PASS / self.endpoints.len().max(1)).clamp(1, REQUESTS_PER_PASS);
        let mut handled = 0;
        for (rate, key, request) in wanted {
            let is_adapter = key.weights.adapter.is_some();
            if is_store_full && is_adapter && !self.copied.contains(&key.weights) {
                self.open.store_busy += 1;
                continue;
            }
            handled += 1;
            if handled > requests_max {
                break;
            }
            if self.add_home(now_ms, &key, &request, rate) {
                self.wanted.remove(&key);
            }
        }
    }

    /// Tries to add a home for `wanted`; true when the placement request is settled.
    fn add_home(
        &mut self,
        now_ms: u64,
        wanted: &Wanted,
        request: &PlacementRequest,
        rate: f64,
    ) -> bool {
        let Wanted { service, weights: name, .. } = wanted;
        let Some(engine) = self.engines.get(service).cloned() else { return true };
        let mut survey = self.survey(now_ms, wanted, request);
        let reading_ms_per_s = self.prompt_reading.rate(now_ms, name);
        let mut homes_wanted = wanted_homes(rate, reading_ms_per_s, engine.slots);
        // The rate is that of all versions together, and few streams are resumed.
        if wanted.software_version.is_some() {
            homes_wanted = 1;
        }
        if request.homes_are_full && survey.homes == survey.crowded_homes {
            homes_wanted = homes_wanted.max(survey.effective_homes() + 1);
        }
        if survey.effective_homes() >= homes_wanted {
            return true;
        }
        if survey.effective_future_homes() >= homes_wanted {
            self.open.on_their_way += 1;
            self.check_again_later(now_ms, wanted);
            return false;
        }
        survey.candidates.sort_unstable_by_key(|candidate| std::cmp::Reverse(candidate.0));
        if name.adapter.is_none() {
            return self.load_model(now_ms, service, &engine, name, rate, &survey);
        }
        if survey.candidates.is_empty() && survey.homes + survey.on_their_way == 0 {
            return self.load_without_candidates(now_ms, wanted, rate, request, &survey);
        }
        self.load_adapter(now_ms, wanted, &engine, request, &survey)
    }

    /// Leaves a request for which nothing can be done now out of the next passes, so that it takes none
    /// of the pass's limited number of requests from those that still need a load.
    fn check_again_later(&mut self, now_ms: u64, wanted: &Wanted) {
        if let Some(request) = self.wanted.get_mut(wanted) {
            request.check_again_at_ms = now_ms + CHECK_AGAIN_INTERVAL_MS;
        }
    }

    /// The requests per second for `name`, of the last seconds or of the last second if that is
    /// more.
    fn rate(&self, now_ms: u64, name: &WeightsName) -> f64 {
        self.demand.rate(now_ms, name).max(self.surge.rate(now_ms, name))
    }

    fn survey(&self, now_ms: u64, wanted: &Wanted, request: &PlacementRequest) -> Survey {
        let Wanted { service, weights: name, .. } = wanted;
        let newest = self.required_version(name);
        let service_work = self.work.of_service(service);
        let mut survey = Survey::default();
        for (id, endpoint) in &self.endpoints {
            if !wanted.allows(&endpoint.endpoint) || !endpoint.accepts_weights(now_ms) {
                continue;
            }
            let slowdown = endpoint.slowdown(service_work);
            let Some(place) = endpoint.places.get(name) else {
                if name.adapter.is_none() || endpoint.holds_base(name) {
                    let is_same_zone = endpoint.endpoint.zone == request.zone;
                    let mut expected_delay_ms = u64::from(endpoint.load.waiting_ms)
                        + endpoint.coming() as u64 * LOADING_COST_MS;
                    if !endpoint.has_copy(name) {
                        expected_delay_ms += self.store_limit.baseline_ms(name) + STORE_COST_MS;
                    }
                    if !is_same_zone {
                        expected_delay_ms += CROSS_ZONE_COST_MS;
                    }
                    let slower_ms = (slowdown - 1.0) * ANSWER_DURATION_S * 1_000.0;
                    expected_delay_ms = expected_delay_ms.saturating_add_signed(slower_ms as i64);
                    let fit = Fit {
                        has_room: !endpoint.is_full(),
                        delay_steps: std::cmp::Reverse(expected_delay_ms / COST_STEP_MS),
                        affinity: endpoint.affinity(request.hash),
                    };
                    survey.candidates.push((fit, id.clone()));
                }
                continue;
            };
            match place.state {
                WeightsState::Ready if place.version < newest => survey.older.push(id.clone()),
                WeightsState::Ready => {
                    survey.note_home(slowdown);
                    survey.crowded_homes += usize::from(endpoint.is_crowded());
                }
                WeightsState::Loading { .. } if !place.is_overdue(now_ms) => {
                    survey.note_on_its_way(slowdown);
                }
                WeightsState::Loading { .. } | WeightsState::Unloading => {}
            }
        }
        survey
    }

    fn load_adapter(
        &mut self,
        now_ms: u64,
        wanted: &Wanted,
        engine: &EngineSpec,
        request: &PlacementRequest,
        survey: &Survey,
    ) -> bool {
        let Wanted { service, weights: name, .. } = wanted;
        let mut is_any_busy = false;
        for (fit, id) in &survey.candidates {
            let Some(endpoint) = self.endpoints.get(id) else { continue };
            if !endpoint.is_free_for_orders(now_ms) || endpoint.coming() >= CONCURRENT_LOADS_MAX {
                is_any_busy = true;
                // A local copy is worth a short wait; without a copy, any other endpoint is as
                // good.
                if fit.has_room
                    && endpoint.has_copy(name)
                    && request.first_asked_at_ms + COPY_WAIT_MS > now_ms
                {
                    self.open.endpoint_busy += 1;
                    return false;
                }
                continue;
            }
            let has_enough_demand = endpoint.has_copy(name)
                || self.demand.recent(now_ms, name) >= self.settings.store_load_min_requests;
            if !has_enough_demand {
                return true;
            }
            let needed_mb = endpoint.used_mb(engine) + engine.size_mb(name);
            if endpoint.adapters() < engine.adapter_places && needed_mb <= engine.weights_mb {
                self.load_if_store_allows(now_ms, service, id, name);
                return false;
            }
            if let Some(victim) = endpoint.least_demanded_adapter(now_ms, &self.demand) {
                self.open.ordered += 1;
                self.order(now_ms, id, OrderKind::Unload { name: victim });
                if let Some(request) = self.wanted.get_mut(wanted) {
                    request.evicting_until_ms = now_ms + EVICTION_WAIT_MS;
                }
                return false;
            }
        }
        self.open.no_victim += 1;
        // A request for which an adapter is being evicted is loaded as soon as that is done.
        if request.evicting_until_ms <= now_ms {
            self.check_again_later(now_ms, wanted);
        }
        let has_home = survey.homes + survey.on_their_way > 0;
        if !request.is_additional && !has_home && !is_any_busy {
            self.unload_older_version(now_ms, name, survey);
        }
        false
    }

    /// Unloads an older version to free its memory: gateways that request a first home no longer
    /// use that version.
    fn unload_older_version(&mut self, now_ms: u64, name: &WeightsName, survey: &Survey) {
        for id in &survey.older {
            let Some(endpoint) = self.endpoints.get(id) else { continue };
            if endpoint.is_free_for_orders(now_ms) {
                self.order(now_ms, id, OrderKind::Unload { name: name.clone() });
                return;
            }
        }
    }

    /// Handles an adapter that no endpoint can take: its base model needs a home first, or every
    /// endpoint holds an older version, one of which is replaced.
    fn load_without_candidates(
        &mut self,
        now_ms: u64,
        wanted: &Wanted,
        rate: f64,
        request: &PlacementRequest,
        survey: &Survey,
    ) -> bool {
        let name = &wanted.weights;
        let Some(id) = survey.older.first() else {
            let base = Wanted { weights: name.base(), ..wanted.clone() };
            self.add_home(now_ms, &base, request, rate);
            return false;
        };
        let is_free =
            self.endpoints.get(id).is_some_and(|endpoint| endpoint.is_free_for_orders(now_ms));
        if is_free {
            let version = self.newest_version(name);
            self.order(now_ms, id, OrderKind::Load { name: name.clone(), version });
        }
        false
    }

    fn load_model(
        &mut self,
        now_ms: u64,
        service: &Arc<str>,
        engine: &EngineSpec,
        name: &WeightsName,
        rate: f64,
        survey: &Survey,
    ) -> bool {
        let has_home = survey.homes > 0;
        for (_, id) in &survey.candidates {
            let Some(endpoint) = self.endpoints.get(id) else { continue };
            if !endpoint.is_free_for_orders(now_ms) || endpoint.is_loading_any() {
                continue;
            }
            if endpoint.used_mb(engine) + engine.size_mb(name) <= engine.weights_mb {
                self.load_if_store_allows(now_ms, service, id, name);
                return false;
            }
            let Some((victim, victim_rate)) = endpoint.least_demanded_model(now_ms, &self.demand)
            else {
                continue;
            };
            let homes_of_victim = self.homes_of(&victim);
            let should_evict = if has_home {
                rate > victim_rate * MODEL_DEMAND_RATIO && homes_of_victim > 1
            } else {
                homes_of_victim > 1 || rate > victim_rate * MODEL_DEMAND_RATIO
            };
            if should_evict {
                info!(event = "model_gives_way", endpoint = %id, model = %victim, to = %name);
                self.order(now_ms, id, OrderKind::Unload { name: victim });
                return false;
            }
        }
        self.open.no_victim += 1;
        false
    }

    fn homes_of(&self, name: &WeightsName) -> usize {
        self.endpoints.values().filter(|endpoint| endpoint.holds_base(name)).count()
    }
}

/// The number of homes needed for a rate of requests per second and a rate of prompt reading.
fn wanted_homes(rate: f64, reading_ms_per_s: f64, slots: u32) -> usize {
    let requests_in_progress = rate * ANSWER_DURATION_S;
    let by_slots = requests_in_progress / (f64::from(slots.max(1)) * HOME_SLOT_SHARE);
    1 + by_slots.max(reading_ms_per_s / HOME_READING_MS_PER_S) as usize
}

/// `capacity` in whole homes, and at least one if there are `homes`.
fn whole_homes(capacity: f64, homes: usize) -> usize {
    (capacity.round() as usize).max(homes.min(1))
}
