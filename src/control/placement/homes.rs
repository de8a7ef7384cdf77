//! Where weights should be: homes for what is asked for, for new versions and for empty endpoints.

use std::sync::Arc;

use tracing::info;

use super::endpoint::{EndpointPlaces, PlaceState};
use super::{OpenWants, Placement, Want};
use crate::message::{OrderKind, WeightsName, WeightsUse};
use crate::routing::EngineSpec;

/// The share of an engine's slots that the requests of one adapter may fill before it gets a further
/// home.
const HOME_FILL: f64 = 0.4;
/// Reading for each home, in milliseconds a second: with this share of an engine's time, requests of
/// one adapter should have a choice, so that a long prompt at one home does not hold up all. A
/// further home costs a place and a load, which each of many later requests pays back.
const HOME_READING_MS_PER_S: f64 = 300.0;
/// How long a generated answer takes, about; only used to turn rates into requests under way.
const ANSWER_S: f64 = 0.7;
/// Weights that nobody asked for again in this time are no longer wanted: clients come back sooner.
const WANTED_MS: u64 = 1_500;
/// How many wants are looked at in one pass, the most asked for first; the weight store takes fewer
/// in the time between two passes.
const WANTED_PER_PASS: usize = 64;
/// How many endpoints are looked at for wants in one pass: some milliseconds of the leader's time.
const LOOKS_PER_PASS: usize = 20_000;
/// Adapters that an engine takes on their way to it at once; it answers a further one with a conflict
/// (the users' protocol, "Model placement").
const COMING_MAX: usize = 4;
/// How long weights wait for an endpoint that has a copy of them while it takes no order: about what a
/// load from the weight store would take.
const COPY_WAIT_MS: u64 = 300;
/// What an adapter on its way adds to the reading at its endpoint: requests wait for it.
const COMING_READING_MS: u64 = 150;
/// By how much sooner an answer must come to be worth a load from the store where there is a copy.
const STORE_COST_MS: u64 = 300;
/// By how much sooner an answer must come to be worth a way between availability zones.
const FAR_COST_MS: u64 = 20;
/// Endpoints that answer as soon as this from one another count as alike, so that the hash decides.
const FIT_STEP_MS: u64 = 60;
/// A model goes before one that is loaded only when it is asked for this much more often; loads of
/// models take seconds and much of the store.
const MODEL_GAIN: f64 = 2.0;

/// How well an endpoint fits as a further home; the fields are compared in their order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Fit {
    /// Its slots leave room for another adapter's requests.
    has_room: bool,
    /// How soon a request could be answered there: the load, and what is read before.
    answers_in_ms: std::cmp::Reverse<u64>,
    /// The hash of both, so that an adapter finds the endpoint again that has its copy.
    affinity: u64,
}

/// What endpoints of a service hold of some weights.
#[derive(Default)]
struct Survey {
    homes: usize,
    crowded_homes: usize,
    on_their_way: usize,
    /// Endpoints that could become a home, with how well they fit.
    candidates: Vec<(Fit, Arc<str>)>,
    /// Homes of an older version.
    outdated: Vec<Arc<str>>,
}

impl Placement {
    /// Wants a further home for what is used more often than its homes should bear.
    pub(super) fn want_further_home(&mut self, now_ms: u64, zone: &Arc<str>, weights: &WeightsUse) {
        let name = &weights.name;
        let rate = self.demand.rate(now_ms, name);
        let Some(slots) = self.engines.values().map(|engine| engine.slots).min() else { return };
        if name.adapter.is_none() || wanted_homes(rate, self.reading.rate(now_ms, name), slots) < 2
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
        let want = Want::further(now_ms, name, zone.clone());
        self.wanted.entry((service, name.clone())).or_insert(want);
    }

    /// Gives endpoints that hold nothing the model that lacks homes most.
    pub(super) fn fill_empty_endpoints(&mut self, now_ms: u64) {
        let mut due = Vec::new();
        for (id, endpoint) in &self.endpoints {
            let Some(engine) = self.engines.get(&endpoint.endpoint.service) else { continue };
            let is_due = endpoint.is_free_for_orders(now_ms)
                && endpoint.takes_weights(now_ms)
                && endpoint.places.is_empty();
            let Some(model) = is_due.then(|| self.scarcest_model(now_ms, engine)).flatten() else {
                continue;
            };
            due.push((id.clone(), endpoint.endpoint.service.clone(), model));
        }
        for (id, service, name) in due {
            self.load_with_allowance(now_ms, &service, &id, &name);
        }
    }

    fn scarcest_model(&self, now_ms: u64, engine: &EngineSpec) -> Option<WeightsName> {
        let mut scarcest: Option<(f64, WeightsName)> = None;
        for model in &engine.models {
            let name = WeightsName::new(model.name.clone(), None);
            let holds = |endpoint: &&EndpointPlaces| endpoint.places.contains_key(&name);
            let homes = self.endpoints.values().filter(holds).count();
            let lack = (self.demand.rate(now_ms, &name) + 1.0) / (homes + 1) as f64;
            if scarcest.as_ref().is_none_or(|(known, _)| lack > *known) {
                scarcest = Some((lack, name));
            }
        }
        scarcest.map(|(_, name)| name)
    }

    /// Tries to get homes for what gateways asked for, the most asked for first.
    pub(super) fn load_wanted(&mut self, now_ms: u64) {
        self.wanted.retain(|_, want| want.asked_at_ms + WANTED_MS > now_ms);
        let mut wanted = Vec::with_capacity(self.wanted.len());
        for (key, want) in &self.wanted {
            wanted.push((self.demand.rate(now_ms, &key.1), key.clone(), want.clone()));
        }
        // First homes go before further ones: without one, every request is refused.
        wanted.sort_unstable_by(|one, other| {
            one.2.is_further.cmp(&other.2.is_further).then(other.0.total_cmp(&one.0))
        });
        if self.told_at_ms + 1_000 <= now_ms && !wanted.is_empty() {
            self.told_at_ms = now_ms;
            info!(
                event = "weights_wanted",
                wanted = wanted.len(),
                open = ?self.open,
                store_bears = self.store_limit.at_once()
            );
        }
        self.open = OpenWants::default();
        let is_store_full = self.is_store_full(now_ms);
        let wants_max = (LOOKS_PER_PASS / self.endpoints.len().max(1)).clamp(1, WANTED_PER_PASS);
        let mut looked_at = 0;
        for (rate, (service, name), want) in wanted {
            if is_store_full && name.adapter.is_some() && !self.copied.contains(&name) {
                self.open.store_busy += 1;
                continue;
            }
            looked_at += 1;
            if looked_at > wants_max {
                break;
            }
            if self.load_one(now_ms, &service, &name, &want, rate) {
                self.wanted.remove(&(service, name));
            }
        }
    }

    /// Tries to get `name` one more home; true when nothing more is to be done for it.
    fn load_one(
        &mut self,
        now_ms: u64,
        service: &Arc<str>,
        name: &WeightsName,
        want: &Want,
        rate: f64,
    ) -> bool {
        let Some(engine) = self.engines.get(service).cloned() else { return true };
        let mut survey = self.survey(now_ms, service, name, want);
        let reading_ms_per_s = self.reading.rate(now_ms, name);
        let mut homes_wanted = wanted_homes(rate, reading_ms_per_s, engine.slots);
        if want.more && survey.homes == survey.crowded_homes {
            homes_wanted = homes_wanted.max(survey.homes + 1);
        }
        if survey.homes >= homes_wanted {
            return true;
        }
        if survey.homes + survey.on_their_way >= homes_wanted {
            self.open.on_their_way += 1;
            return false;
        }
        survey.candidates.sort_unstable_by_key(|candidate| std::cmp::Reverse(candidate.0));
        if name.adapter.is_none() {
            return self.load_model(now_ms, service, &engine, name, rate, &survey);
        }
        if survey.candidates.is_empty() && survey.homes + survey.on_their_way == 0 {
            return self.load_without_candidates(now_ms, service, name, rate, want, &survey);
        }
        self.load_adapter(now_ms, service, &engine, name, want, &survey)
    }

    fn survey(&self, now_ms: u64, service: &str, name: &WeightsName, want: &Want) -> Survey {
        let newest = self.version_wanted(name);
        let mut survey = Survey::default();
        for (id, endpoint) in &self.endpoints {
            if &*endpoint.endpoint.service != service || !endpoint.takes_weights(now_ms) {
                continue;
            }
            let Some(place) = endpoint.places.get(name) else {
                if name.adapter.is_none() || endpoint.holds_base(name) {
                    let is_near = endpoint.endpoint.zone == want.zone;
                    let mut answers_in_ms = u64::from(endpoint.load.waiting_ms)
                        + endpoint.coming() as u64 * COMING_READING_MS;
                    if !endpoint.has_copy(name) {
                        answers_in_ms += self.store_limit.alone_ms(name) + STORE_COST_MS;
                    }
                    if !is_near {
                        answers_in_ms += FAR_COST_MS;
                    }
                    let fit = Fit {
                        has_room: !endpoint.is_full(),
                        answers_in_ms: std::cmp::Reverse(answers_in_ms / FIT_STEP_MS),
                        affinity: endpoint.affinity(want.hash),
                    };
                    survey.candidates.push((fit, id.clone()));
                }
                continue;
            };
            match place.state {
                PlaceState::Ready if place.version < newest => survey.outdated.push(id.clone()),
                PlaceState::Ready => {
                    survey.homes += 1;
                    survey.crowded_homes += usize::from(endpoint.is_crowded());
                }
                PlaceState::Loading { .. } => {
                    survey.on_their_way += usize::from(!place.is_overdue(now_ms));
                }
                PlaceState::Unloading => {}
            }
        }
        survey
    }

    fn load_adapter(
        &mut self,
        now_ms: u64,
        service: &Arc<str>,
        engine: &EngineSpec,
        name: &WeightsName,
        want: &Want,
        survey: &Survey,
    ) -> bool {
        let mut is_any_busy = false;
        for (fit, id) in &survey.candidates {
            let Some(endpoint) = self.endpoints.get(id) else { continue };
            if !endpoint.is_free_for_orders(now_ms) || endpoint.coming() >= COMING_MAX {
                is_any_busy = true;
                // Its copy is worth a short wait; without one, any other endpoint will do.
                if fit.has_room && endpoint.has_copy(name) && want.since_ms + COPY_WAIT_MS > now_ms
                {
                    self.open.endpoint_busy += 1;
                    return false;
                }
                continue;
            }
            let is_wanted_enough = endpoint.has_copy(name)
                || self.demand.recent(now_ms, name) >= self.settings.store_load_min_requests;
            if !is_wanted_enough {
                return true;
            }
            let needed_mb = endpoint.used_mb(engine) + engine.size_mb(name);
            if endpoint.adapters() < engine.adapter_places && needed_mb <= engine.weights_mb {
                self.load_with_allowance(now_ms, service, id, name);
                return false;
            }
            if let Some(victim) = endpoint.coldest(now_ms, &self.demand) {
                self.open.ordered += 1;
                self.order(now_ms, id, OrderKind::Unload { name: victim });
                return false;
            }
        }
        self.open.no_victim += 1;
        let has_home = survey.homes + survey.on_their_way > 0;
        if !want.is_further && !has_home && !is_any_busy {
            self.unload_outdated(now_ms, name, survey);
        }
        false
    }

    /// Makes a place where an older version is: a gateway that asks for a first home no longer uses it.
    fn unload_outdated(&mut self, now_ms: u64, name: &WeightsName, survey: &Survey) {
        for id in &survey.outdated {
            let Some(endpoint) = self.endpoints.get(id) else { continue };
            if endpoint.is_free_for_orders(now_ms) {
                self.order(now_ms, id, OrderKind::Unload { name: name.clone() });
                return;
            }
        }
    }

    /// No endpoint can take the adapter as it is: its base model needs a home first, or every
    /// endpoint has an older version, which one of them then replaces.
    fn load_without_candidates(
        &mut self,
        now_ms: u64,
        service: &Arc<str>,
        name: &WeightsName,
        rate: f64,
        want: &Want,
        survey: &Survey,
    ) -> bool {
        let Some(id) = survey.outdated.first() else {
            let base = name.base();
            self.load_one(now_ms, service, &base, want, rate);
            return false;
        };
        let is_free =
            self.endpoints.get(id).is_some_and(|endpoint| endpoint.is_free_for_orders(now_ms));
        if is_free {
            let version = self.version_of(name);
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
                self.load_with_allowance(now_ms, service, id, name);
                return false;
            }
            let Some((victim, victim_rate)) = endpoint.coldest_model(now_ms, &self.demand) else {
                continue;
            };
            let homes_of_victim = self.homes_of(&victim);
            let is_worth_it = if has_home {
                rate > victim_rate * MODEL_GAIN && homes_of_victim > 1
            } else {
                homes_of_victim > 1 || rate > victim_rate * MODEL_GAIN
            };
            if is_worth_it {
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

/// How many endpoints weights should be at that are asked for at `rate` requests a second and whose
/// prompts are read for so long.
fn wanted_homes(rate: f64, reading_ms_per_s: f64, slots: u32) -> usize {
    let under_way = rate * ANSWER_S;
    let by_fill = under_way / (f64::from(slots.max(1)) * HOME_FILL);
    1 + by_fill.max(reading_ms_per_s / HOME_READING_MS_PER_S) as usize
}
