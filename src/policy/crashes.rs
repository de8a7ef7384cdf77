//! Detection of requests that crash the endpoints that run them.
//!
//! A crash interrupts all requests that run at the endpoint, most of them by coincidence. A request
//! that causes crashes differs in how soon they happen, again and again: by coincidence, a request
//! is interrupted within the time in which endpoints crash anyway. Requests with the same content
//! count as one request; a request that is *held* is refused for some time.
//!
//! For each crash, the p-value of a request is the probability that an endpoint crashes within the
//! time for which the request had run there, at the rate at which endpoints of the service crash
//! without it. P-values are converted to e-values, whose mean is one for requests that are
//! interrupted by coincidence (`CALIBRATOR_POWER`), and the e-values of a request are multiplied
//! until one of its attempts is served, which shows that it causes no crashes. By Ville's
//! inequality, such a product exceeds `HELD_E_VALUE` by coincidence in about one of `HELD_E_VALUE`
//! series. If several requests were interrupted by each of the crashes, only the one that had run
//! for the shortest time is held.
//!
//! Each crash has one cause, and a request that was served recently is an unlikely one. Of the
//! other requests interrupted by a crash, the one with the most crashes is its *prime suspect*. The
//! prime suspect of several crashes is held on weaker evidence (`HELD_PRIME_E_VALUE`), and its
//! crashes count as explained for all other requests that they interrupted.
//!
//! The detection runs in the leader, on reports of gateways, each of which knows only its own
//! requests.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::sync::Arc;

use crate::message::{
    EndpointCrash, FeatureKey, FeatureStanding, InterruptedFeature, Standing, WeightsName,
};

/// A p-value `p` becomes the e-value `CALIBRATOR_POWER * p.powf(CALIBRATOR_POWER - 1)`.
const CALIBRATOR_POWER: f64 = 0.5;
/// The number of crashes from which a request may be held.
const HELD_CRASHES: usize = 3;
/// The e-value from which a request is held.
const HELD_E_VALUE: f64 = 3_000.0;
/// The e-value from which the prime suspect of at least `HELD_CRASHES` crashes is held.
const HELD_PRIME_E_VALUE: f64 = 200.0;
/// The number of crashes from which their prime suspect explains them for the other interrupted
/// requests.
const EXPLAINING_CRASHES: usize = 2;
/// How long gateways have, from when they are told of a request's standing, to report that they
/// served the request.
const SERVED_REPORT_MS: u64 = 100;
/// How long a request that was served is an unlikely cause of crashes.
const RECENTLY_SERVED_MS: u64 = 60_000;
/// The maximum number of requests whose last time of being served is stored.
const SERVED_MAX: usize = 4_096;
/// The e-value from which each attempt of a request goes to one endpoint only.
const SUSPECTED_E_VALUE: f64 = 30.0;
/// The number of crashes from which gateways report when a request is served.
const WATCHED_CRASHES: usize = 2;
/// The minimum time over which the crash rate is measured: the first crash of a series gives no
/// rate.
const RATE_PERIOD_MIN_MS: u64 = 2_000;
/// The maximum time over which the crash rate is measured.
const RATE_PERIOD_MAX_MS: u64 = 60_000;
/// Crashes up to this long after another one count for its rate too: simultaneous crashes are
/// reported one by one.
const SIMULTANEOUS_MS: u64 = 250;
/// How long reports of a crash are collected before it is evaluated: each gateway knows only its
/// own requests, and the longest run of a request may be another gateway's.
const COLLECTION_MS: u64 = 150;
/// How long a request is held at first; each trial that crashes its endpoint multiplies the time by
/// `HELD_BACKOFF_FACTOR`.
const HELD_MS: u64 = 10_000;
const HELD_BACKOFF_FACTOR: u64 = 6;
/// The maximum time for which a request is held.
const HELD_MAX_MS: u64 = 3_600_000;
/// The part of the holding time, in percent, after which a request is no longer held if its weights
/// are updated: the newer version may fix it.
const UPDATED_WEIGHTS_PERCENT: u64 = 50;
/// The timeout of a trial; after that, another gateway may try.
const TRIAL_TIMEOUT_MS: u64 = 15_000;
/// How long a request is held again after a trial without an outcome.
const TRIAL_RETRY_MS: u64 = 1_000;
/// How long crashes are stored, for the sake of rare requests.
const RETENTION_MS: u64 = 3_600_000;
/// The maximum number of stored crashes.
const CRASHES_MAX: usize = 1_000;
/// The maximum number of requests whose standing is stored.
const STANDINGS_MAX: usize = 1_024;

/// A request that was interrupted by a crash.
#[derive(Debug)]
struct Run {
    /// The longest time for which a request with this content had run there: if it crashed
    /// endpoints soon after its start, this endpoint would have crashed earlier.
    ran_ms: u32,
    weights: Option<WeightsName>,
    is_evaluated: bool,
}

/// The crash of an endpoint.
#[derive(Debug)]
struct Crash {
    at_ms: u64,
    service: Arc<str>,
    /// The number of endpoints of the service that ran requests, including this one: crashes of
    /// idle endpoints are not observed.
    used: usize,
    runs: BTreeMap<FeatureKey, Run>,
    /// The held request among the interrupted ones.
    explained_by: Option<FeatureKey>,
}

/// The committed standing of a request.
#[derive(Debug)]
struct KnownStanding {
    weights: Option<WeightsName>,
    standing: Standing,
    since_ms: u64,
    /// When gateways were first told of the request.
    announced_at_ms: u64,
    /// True if the holding time was already shortened because the weights were updated.
    is_shortened: bool,
}

/// Recorded crashes and the evidence from them against requests.
#[derive(Debug, Default)]
pub struct Crashes {
    /// Keyed by incarnation, so that a crash reported repeatedly or by several gateways counts
    /// once.
    by_endpoint: HashMap<Arc<str>, Crash>,
    /// Incarnations, in the order of their first reports.
    order: VecDeque<Arc<str>>,
    /// The crashes that interrupted each request since it was last served.
    by_request: HashMap<FeatureKey, Vec<Arc<str>>>,
    /// Crashes with interrupted requests to evaluate, and the time of the evaluation.
    pending: VecDeque<(u64, Arc<str>)>,
    known: BTreeMap<FeatureKey, KnownStanding>,
    /// Decided standings that are not proposed yet.
    decided: Vec<FeatureStanding>,
    /// The last decided standing of each request whose commit is pending.
    uncommitted: BTreeMap<FeatureKey, Standing>,
    /// Requests that are likely causes of the crashes that interrupted them, as of their last
    /// evaluation.
    suspects: BTreeSet<FeatureKey>,
    /// When requests that a crash interrupted were last served.
    served_at_ms: HashMap<FeatureKey, u64>,
}

impl Crashes {
    /// Creates a detector that knows only `standings`, all of which count as committed at `now_ms`.
    pub fn new(now_ms: u64, standings: impl IntoIterator<Item = FeatureStanding>) -> Self {
        let mut crashes = Self::default();
        for standing in standings {
            crashes.apply_committed(now_ms, &standing);
        }
        crashes
    }

    /// Returns true if the endpoint's incarnation is known to have crashed.
    pub fn has_ended(&self, endpoint: &str) -> bool {
        self.by_endpoint.contains_key(endpoint)
    }

    /// Records a crash; `used` endpoints of its service ran requests, including this one.
    pub fn record_crash(&mut self, now_ms: u64, crash: EndpointCrash, used: usize) {
        let EndpointCrash { endpoint, service, ago_ms, features } = crash;
        let at_ms = now_ms.saturating_sub(u64::from(ago_ms));
        if !self.by_endpoint.contains_key(&endpoint) {
            self.remove_expired(now_ms);
            self.order.push_back(endpoint.clone());
            let crash = Crash {
                at_ms,
                service,
                used: used.max(1),
                runs: BTreeMap::new(),
                explained_by: None,
            };
            self.by_endpoint.insert(endpoint.clone(), crash);
        }
        let mut is_new = false;
        for feature in features {
            is_new |= self.add_run(&endpoint, feature);
        }
        if is_new {
            self.pending.push_back((now_ms + COLLECTION_MS, endpoint));
        }
    }

    /// Records a request that was interrupted by the crash of `endpoint`; returns false if it was
    /// known.
    fn add_run(&mut self, endpoint: &Arc<str>, run: InterruptedFeature) -> bool {
        let InterruptedFeature { key, weights, ran_ms, served_ago_ms } = run;
        // A crash during a trial may have been caused by another request, so `OnTrial` does not
        // count as held.
        let standing = self.known.get(&key).map(|known| &known.standing);
        let is_held = matches!(standing, Some(Standing::Held { .. }));
        let Some(at_ms) = self.by_endpoint.get(endpoint).map(|crash| crash.at_ms) else {
            return false;
        };
        if let Some(ago_ms) = served_ago_ms {
            self.note_served(key, at_ms.saturating_sub(ago_ms.into()));
        }
        let Some(crash) = self.by_endpoint.get_mut(endpoint) else { return false };
        if is_held {
            crash.explained_by.get_or_insert(key);
        }
        if let Some(known) = crash.runs.get_mut(&key) {
            known.ran_ms = ran_ms.max(known.ran_ms);
            return false;
        }
        crash.runs.insert(key, Run { ran_ms, weights, is_evaluated: false });
        self.by_request.entry(key).or_default().push(endpoint.clone());
        true
    }

    /// Evaluates the crashes whose reports have been collected.
    fn evaluate_due(&mut self, now_ms: u64) {
        while let Some((due_ms, endpoint)) = self.pending.front().cloned() {
            if due_ms > now_ms {
                return;
            }
            self.pending.pop_front();
            self.update_suspects(&endpoint);
            let Some(crash) = self.by_endpoint.get_mut(&endpoint) else { continue };
            let at_ms = crash.at_ms;
            let mut runs = Vec::new();
            for (key, run) in &mut crash.runs {
                if !run.is_evaluated {
                    run.is_evaluated = true;
                    runs.push((*key, run.weights.clone()));
                }
            }
            for (key, weights) in runs {
                self.evaluate(now_ms, at_ms, &endpoint, key, weights);
            }
        }
    }

    /// Updates which of the requests interrupted by the crash of `endpoint` are suspects.
    fn update_suspects(&mut self, endpoint: &str) {
        let Some(crash) = self.by_endpoint.get(endpoint) else { return };
        for key in crash.runs.keys().copied().collect::<Vec<_>>() {
            let is_likely_cause = self.unexplained_count(key) >= HELD_CRASHES
                && self.e_value(key) >= SUSPECTED_E_VALUE
                && !self.has_likelier_cause(key);
            if is_likely_cause || self.prime_crashes(key) >= EXPLAINING_CRASHES {
                self.suspects.insert(key);
            } else {
                self.suspects.remove(&key);
            }
        }
    }

    /// Returns true if a request other than `key` is likely to have caused the crash.
    fn is_explained_without(&self, key: FeatureKey, crash: &Crash) -> bool {
        if let Some(explained_by) = crash.explained_by {
            return explained_by != key;
        }
        !self.suspects.is_empty()
            && crash.runs.keys().any(|other| *other != key && self.suspects.contains(other))
    }

    /// Returns true if a request was served so shortly before the crash that it is an unlikely
    /// cause.
    fn is_recently_served(&self, key: FeatureKey, crash: &Crash) -> bool {
        self.served_at_ms.get(&key).is_some_and(|at_ms| crash.at_ms < at_ms + RECENTLY_SERVED_MS)
    }

    /// The most likely cause of a crash: among the requests not served recently, the one with the
    /// most crashes; `None` if two have as many, or if no gateway reports which requests it served.
    fn prime_suspect(&self, crash: &Crash) -> Option<FeatureKey> {
        if self.served_at_ms.is_empty() {
            return None;
        }
        let mut suspect = None;
        let mut most_crashes = 0;
        for key in crash.runs.keys() {
            let crashes = self.by_request.get(key).map_or(0, Vec::len);
            if crashes < most_crashes || self.is_recently_served(*key, crash) {
                continue;
            }
            suspect = (crashes > most_crashes).then_some(*key);
            most_crashes = crashes;
        }
        suspect
    }

    /// The number of crashes soon after the start of the request that have it as their prime
    /// suspect; 0 unless, for one of them, it was the only interrupted request that was not served
    /// recently.
    ///
    /// This avoids holding a request that was interrupted together with several others: one of
    /// these is always among the interrupted ones too.
    fn prime_crashes(&self, key: FeatureKey) -> usize {
        let mut crashes = 0;
        let mut was_only_candidate = false;
        for crash in self.unexplained_crashes(key) {
            if self.crash_e_value(key, crash) < 1.0 || self.prime_suspect(crash) != Some(key) {
                continue;
            }
            crashes += 1;
            let mut others = crash.runs.keys().filter(|other| **other != key);
            was_only_candidate |= others.all(|other| self.is_recently_served(*other, crash));
        }
        if was_only_candidate { crashes } else { 0 }
    }

    /// Decides the standing of a request that was interrupted by the crash of `endpoint` at
    /// `at_ms`.
    fn evaluate(
        &mut self,
        now_ms: u64,
        at_ms: u64,
        endpoint: &Arc<str>,
        key: FeatureKey,
        weights: Option<WeightsName>,
    ) {
        let known = self.known.get(&key);
        let standing = match known.map(|known| (&known.standing, known.since_ms)) {
            // The attempt was already running when the request was held.
            Some((Standing::Held { .. }, _)) => return,
            Some((Standing::OnTrial { .. }, since_ms)) if at_ms < since_ms => return,
            Some((Standing::OnTrial { times, .. }, _)) => {
                // During a trial, endpoints also crash by coincidence or because of other requests.
                let is_cause = self.by_endpoint.get(endpoint).is_some_and(|crash| {
                    self.crash_e_value(key, crash) >= 1.0 && !self.is_explained_without(key, crash)
                });
                held(if is_cause { times + 1 } else { *times })
            }
            Some((Standing::Watched | Standing::Suspected | Standing::Cleared, _)) | None => {
                let Some(standing) = self.assess(key) else { return };
                if standing.is_refused() && !self.is_served_report_due(now_ms, key) {
                    self.schedule_evaluation(now_ms, endpoint, key);
                    Standing::Suspected
                } else {
                    standing
                }
            }
        };
        self.decide(key, weights, standing);
    }

    /// Returns true if gateways have had time to report whether they served the request.
    fn is_served_report_due(&self, now_ms: u64, key: FeatureKey) -> bool {
        let Some(known) = self.known.get(&key) else { return self.served_at_ms.is_empty() };
        self.served_at_ms.is_empty() || known.announced_at_ms + SERVED_REPORT_MS <= now_ms
    }

    /// Schedules another evaluation of a request for when gateways have had time to report.
    fn schedule_evaluation(&mut self, now_ms: u64, endpoint: &Arc<str>, key: FeatureKey) {
        let Some(crash) = self.by_endpoint.get_mut(endpoint) else { return };
        if let Some(run) = crash.runs.get_mut(&key) {
            run.is_evaluated = false;
        }
        self.pending.push_back((now_ms + SERVED_REPORT_MS, endpoint.clone()));
    }

    /// The standing that follows from the crashes of a request; `None` for too few crashes.
    fn assess(&self, key: FeatureKey) -> Option<Standing> {
        let crashes = self.unexplained_count(key);
        if crashes < WATCHED_CRASHES {
            return None;
        }
        let e_value = self.e_value(key);
        if crashes >= HELD_CRASHES && e_value >= HELD_E_VALUE && !self.has_likelier_cause(key) {
            return Some(held(0));
        }
        let prime_crashes = self.prime_crashes(key);
        if prime_crashes >= HELD_CRASHES && e_value >= HELD_PRIME_E_VALUE {
            return Some(held(0));
        }
        let is_suspect = e_value >= SUSPECTED_E_VALUE || prime_crashes >= EXPLAINING_CRASHES;
        Some(if is_suspect { Standing::Suspected } else { Standing::Watched })
    }

    /// The number of crashes of a request that no other request explains.
    fn unexplained_count(&self, key: FeatureKey) -> usize {
        self.unexplained_crashes(key).count()
    }

    /// The evidence that the request causes its crashes rather than being interrupted by
    /// coincidence, as an e-value.
    pub fn e_value(&self, key: FeatureKey) -> f64 {
        let mut e_value = 1.0;
        for crash in self.unexplained_crashes(key) {
            e_value *= self.crash_e_value(key, crash);
        }
        e_value
    }

    fn crash_e_value(&self, key: FeatureKey, crash: &Crash) -> f64 {
        let ran_ms = crash.runs.get(&key).map_or(u32::MAX, |run| run.ran_ms);
        let expected_crashes = self.background_rate_per_ms(key, crash) * f64::from(ran_ms.max(1));
        let p_value = 1.0 - (-expected_crashes).exp();
        CALIBRATOR_POWER * p_value.powf(CALIBRATOR_POWER - 1.0)
    }

    fn crashes_with(&self, key: FeatureKey) -> impl Iterator<Item = &Crash> {
        let endpoints = self.by_request.get(&key).into_iter().flatten();
        endpoints.filter_map(|endpoint| self.by_endpoint.get(endpoint))
    }

    fn unexplained_crashes(&self, key: FeatureKey) -> impl Iterator<Item = &Crash> {
        self.crashes_with(key).filter(move |crash| match crash.explained_by {
            Some(explained_by) => explained_by == key,
            // Avoids holding requests that were repeatedly interrupted together with a suspect.
            None => !(self.is_recently_served(key, crash) && self.is_explained_without(key, crash)),
        })
    }

    /// Returns true if another request was interrupted by all crashes of this one, or all but one,
    /// after a shorter time: the other request caused them, and this one was interrupted by
    /// coincidence each time.
    fn has_likelier_cause(&self, key: FeatureKey) -> bool {
        let mut candidates: BTreeMap<FeatureKey, (usize, f64)> = BTreeMap::new();
        let mut crashes = 0;
        for crash in self.unexplained_crashes(key) {
            crashes += 1;
            let own_e_value = self.crash_e_value(key, crash);
            for other in crash.runs.keys() {
                if *other == key || self.is_recently_served(*other, crash) {
                    continue;
                }
                let (shared, e_value_ratio) = candidates.entry(*other).or_insert((0, 1.0));
                *shared += 1;
                *e_value_ratio *= self.crash_e_value(*other, crash) / own_e_value;
            }
        }
        candidates
            .values()
            .any(|(shared, e_value_ratio)| shared + 1 >= crashes && *e_value_ratio > 1.0)
    }

    /// The crash rate per endpoint of the service, without the other crashes that interrupted the
    /// request: the highest rate over all periods that end with this crash, since crashes come in
    /// series.
    fn background_rate_per_ms(&self, key: FeatureKey, crash: &Crash) -> f64 {
        let from_ms = crash.at_ms.saturating_sub(RATE_PERIOD_MAX_MS);
        let until_ms = crash.at_ms + SIMULTANEOUS_MS;
        let mut ages_ms = Vec::new();
        for other in self.by_endpoint.values() {
            if other.service != crash.service || !(from_ms..=until_ms).contains(&other.at_ms) {
                continue;
            }
            let is_same_crash = std::ptr::eq(other, crash);
            if !is_same_crash && other.runs.contains_key(&key) {
                continue;
            }
            // Several requests that crash endpoints in turn would otherwise count as each other's
            // background rate.
            if !is_same_crash && self.is_explained_without(key, other) {
                continue;
            }
            ages_ms.push(crash.at_ms.saturating_sub(other.at_ms));
        }
        ages_ms.sort_unstable();
        let mut highest: f64 = 0.0;
        for (position, age_ms) in ages_ms.iter().enumerate() {
            let rate = (position + 1) as f64 / (age_ms + RATE_PERIOD_MIN_MS) as f64;
            highest = highest.max(rate);
        }
        highest / crash.used as f64
    }

    /// Records that a request was served at `at_ms`.
    pub fn note_served(&mut self, key: FeatureKey, at_ms: u64) {
        if self.served_at_ms.len() >= SERVED_MAX && !self.served_at_ms.contains_key(&key) {
            let earliest = self.served_at_ms.iter().min_by_key(|(_, at_ms)| **at_ms);
            let Some((earliest, _)) = earliest else { return };
            let earliest = *earliest;
            self.served_at_ms.remove(&earliest);
        }
        let known_ms = self.served_at_ms.entry(key).or_insert(at_ms);
        *known_ms = at_ms.max(*known_ms);
        self.remove_from_crashes_before(key, at_ms);
    }

    /// Removes a request from the crashes before it was served.
    fn remove_from_crashes_before(&mut self, key: FeatureKey, served_at_ms: u64) {
        let Some(endpoints) = self.by_request.get_mut(&key) else { return };
        let by_endpoint = &self.by_endpoint;
        let is_before = |endpoint: &mut Arc<str>| {
            by_endpoint.get(endpoint).is_none_or(|crash| crash.at_ms < served_at_ms)
        };
        let before: Vec<Arc<str>> = endpoints.extract_if(.., is_before).collect();
        for endpoint in before {
            self.remove_from_crash(key, &endpoint);
        }
    }

    /// Clears a request that was served: it causes no crashes.
    pub fn served(&mut self, key: FeatureKey) {
        self.suspects.remove(&key);
        for endpoint in self.by_request.remove(&key).unwrap_or_default() {
            self.remove_from_crash(key, &endpoint);
        }
        let Some(known) = self.known.get(&key) else { return };
        if known.standing != Standing::Cleared {
            let weights = known.weights.clone();
            self.decide(key, weights, Standing::Cleared);
        }
    }

    /// Removes a request from a crash; if the request explained the crash, the others are evaluated
    /// again.
    fn remove_from_crash(&mut self, key: FeatureKey, endpoint: &Arc<str>) {
        let Some(crash) = self.by_endpoint.get_mut(endpoint) else { return };
        crash.runs.remove(&key);
        if crash.explained_by != Some(key) {
            return;
        }
        crash.explained_by = None;
        for run in crash.runs.values_mut() {
            run.is_evaluated = false;
        }
        self.pending.push_front((0, endpoint.clone()));
    }

    /// Lets `gateway` send a request whose holding time is over, unless another gateway already
    /// does.
    pub fn grant_trial(&mut self, now_ms: u64, key: FeatureKey, gateway: &Arc<str>) {
        let Some(known) = self.known.get(&key) else { return };
        let (held_ms, times) = match known.standing {
            Standing::Held { for_ms, times } => (for_ms, times),
            Standing::OnTrial { times, .. } => (TRIAL_TIMEOUT_MS, times),
            Standing::Watched | Standing::Suspected | Standing::Cleared => return,
        };
        if known.since_ms + held_ms > now_ms || self.uncommitted.contains_key(&key) {
            return;
        }
        let weights = known.weights.clone();
        self.decide(key, weights, Standing::OnTrial { gateway: gateway.clone(), times });
    }

    /// Takes back a trial that `gateway` could not use or that had no outcome; another one may
    /// follow soon.
    pub fn return_trial(&mut self, key: FeatureKey, gateway: &Arc<str>) {
        let Some(known) = self.known.get(&key) else { return };
        let Standing::OnTrial { gateway: trying, times } = &known.standing else { return };
        if trying != gateway || self.uncommitted.contains_key(&key) {
            return;
        }
        let standing = Standing::Held { for_ms: TRIAL_RETRY_MS, times: *times };
        self.decide(key, known.weights.clone(), standing);
    }

    /// Shortens the time for which requests to `name` are held, since `name` has just got a newer
    /// version.
    pub fn note_weights_updated(&mut self, now_ms: u64, name: &WeightsName) {
        let mut shortened = Vec::new();
        for (key, known) in &mut self.known {
            let Some(weights) = &known.weights else { continue };
            let Standing::Held { for_ms, times } = known.standing else { continue };
            if known.is_shortened || (weights != name && weights.base() != *name) {
                continue;
            }
            known.is_shortened = true;
            let until_ms = known.since_ms + for_ms * UPDATED_WEIGHTS_PERCENT / 100;
            let standing = Standing::Held { for_ms: until_ms.saturating_sub(now_ms), times };
            shortened.push((*key, known.weights.clone(), standing));
        }
        for (key, weights, standing) in shortened {
            self.decide(key, weights, standing);
        }
    }

    /// Takes the standings decided since the last call, to be committed.
    pub fn take_decided(&mut self) -> Vec<FeatureStanding> {
        std::mem::take(&mut self.decided)
    }

    /// Applies a committed standing.
    pub fn apply_committed(&mut self, now_ms: u64, committed: &FeatureStanding) {
        let FeatureStanding { key, weights, standing } = committed;
        self.uncommitted.remove(key);
        let before = self.known.remove(key);
        if *standing == Standing::Cleared {
            return;
        }
        if standing.is_refused() {
            self.explain(*key);
        }
        let is_still_shortened = |known: &KnownStanding| {
            let times = known.standing.times_held();
            known.is_shortened && times == standing.times_held()
        };
        let known = KnownStanding {
            weights: weights.clone(),
            standing: standing.clone(),
            since_ms: now_ms,
            announced_at_ms: before.as_ref().map_or(now_ms, |before| before.announced_at_ms),
            is_shortened: before.as_ref().is_some_and(is_still_shortened),
        };
        self.known.insert(*key, known);
    }

    /// Marks the crashes of a held request as explained by it: they are no evidence against the
    /// other requests.
    fn explain(&mut self, key: FeatureKey) {
        for endpoint in self.by_request.get(&key).into_iter().flatten() {
            if let Some(crash) = self.by_endpoint.get_mut(endpoint) {
                crash.explained_by.get_or_insert(key);
            }
        }
    }

    /// Evaluates the crashes that are due, and clears standings that have not changed for long.
    pub fn advance(&mut self, now_ms: u64) {
        self.evaluate_due(now_ms);
        let mut ended = Vec::new();
        for (key, known) in &self.known {
            if known.since_ms + RETENTION_MS + HELD_MAX_MS <= now_ms {
                ended.push((*key, known.weights.clone()));
            }
        }
        for (key, weights) in ended {
            self.decide(key, weights, Standing::Cleared);
        }
    }

    fn decide(&mut self, key: FeatureKey, weights: Option<WeightsName>, standing: Standing) {
        let known = self.known.get(&key).map(|known| &known.standing);
        if self.uncommitted.get(&key).or(known) == Some(&standing) {
            return;
        }
        if !self.known.contains_key(&key) && self.known.len() >= STANDINGS_MAX {
            self.clear_least_severe();
        }
        self.uncommitted.insert(key, standing.clone());
        self.decided.push(FeatureStanding { key, weights, standing });
    }

    /// Makes room by clearing one standing: a watched request before a suspected before a held one,
    /// and of these the one whose standing is oldest.
    fn clear_least_severe(&mut self) {
        let rank = |known: &KnownStanding| match known.standing {
            Standing::Cleared | Standing::Watched => 0,
            Standing::Suspected => 1,
            Standing::Held { .. } | Standing::OnTrial { .. } => 2,
        };
        let least = self.known.iter().min_by_key(|(_, known)| (rank(known), known.since_ms));
        let Some((key, known)) = least else { return };
        let (key, weights) = (*key, known.weights.clone());
        let standing = Standing::Cleared;
        self.uncommitted.insert(key, standing.clone());
        self.decided.push(FeatureStanding { key, weights, standing });
    }

    fn remove_expired(&mut self, now_ms: u64) {
        while let Some(endpoint) = self.order.front() {
            let at_ms = self.by_endpoint.get(endpoint).map_or(0, |crash| crash.at_ms);
            if self.order.len() < CRASHES_MAX && at_ms + RETENTION_MS > now_ms {
                return;
            }
            let endpoint = endpoint.clone();
            self.order.pop_front();
            let Some(crash) = self.by_endpoint.remove(&endpoint) else { continue };
            for key in crash.runs.keys() {
                let Some(endpoints) = self.by_request.get_mut(key) else { continue };
                endpoints.retain(|known| *known != endpoint);
                if endpoints.is_empty() {
                    self.by_request.remove(key);
                    self.suspects.remove(key);
                }
            }
        }
    }
}

fn held(times: u32) -> Standing {
    let for_ms = HELD_BACKOFF_FACTOR
        .checked_pow(times)
        .map_or(HELD_MAX_MS, |multiple| HELD_MS.saturating_mul(multiple).min(HELD_MAX_MS));
    Standing::Held { for_ms, times }
}
