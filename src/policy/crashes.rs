//! Which requests end the endpoints that run them.
//!
//! An endpoint that ends takes everything with it that it runs, so that most requests which are broken off
//! are there by chance. What tells the one that ends its endpoints from these is how soon it happens, again
//! and again: a request is broken off by chance within a time in which endpoints end anyhow.
//!
//! For each end, the chance is reckoned that an endpoint ends within the time for which the request had run
//! there, at the rate at which endpoints of the service end without it. Chances are turned into factors
//! whose mean is one for requests that are there by chance (`FACTOR_POWER`), and the factors of a request
//! are multiplied until one of its tries is served, which shows that it ends nothing. By Ville's inequality
//! such a product passes `HELD_FACTOR` by chance in about one of as many series. Where several requests were
//! there each time, only the one that had run for the shortest time is held.
//!
//! Each end has one cause, and a content that was served lately is an unlikely one. Of the other contents at an
//! end, the one with the most ends is its *prime suspect*. The prime suspect of several ends is held on weaker
//! evidence (`HELD_PRIME_FACTOR`), and its ends count as explained for all others that were there.
//!
//! This is the leader's; it knows of ends what gateways tell, each of which sees its own requests only.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::sync::Arc;

use crate::message::{
    BrokenRun, EndpointCrash, RequestKey, RequestStanding, Standing, WeightsName,
};

/// The power of the factor for a chance `p`, `FACTOR_POWER * p.powf(FACTOR_POWER - 1)`.
const FACTOR_POWER: f64 = 0.5;
/// Endpoints that must have ended under a request before it is held.
const HELD_CRASHES: usize = 3;
/// The product of factors from which a request is held.
const HELD_FACTOR: f64 = 3_000.0;
/// The same for the prime suspect of as many ends as a request needs to be held.
const HELD_PRIME_FACTOR: f64 = 200.0;
/// Ends of which a request must be the prime suspect to explain them for the others that were there.
const EXPLAINING_CRASHES: usize = 2;
/// How long gateways are given to report that they served a content, from when they are told of its standing.
const SERVED_REPORTED_MS: u64 = 100;
/// How long a content that was served is an unlikely cause of an endpoint's end.
const TRUSTED_MS: u64 = 60_000;
/// Contents whose last time of being served is remembered.
const SERVED_MAX: usize = 4_096;
/// The product of factors from which a try goes to one endpoint only.
const SUSPECTED_FACTOR: f64 = 30.0;
/// Endpoints that must have ended under a request before gateways tell that it was served.
const WATCHED_CRASHES: usize = 2;
/// The shortest time over which the rate of ends is taken: the first of a series is not yet a rate.
const RATE_MIN_MS: u64 = 2_000;
/// The longest time over which the rate of ends is taken.
const RATE_MAX_MS: u64 = 60_000;
/// Ends this long after another one count for its rate too: many that end at once are told one by one.
const TOGETHER_MS: u64 = 250;
/// How long the gateways' reports of an end are gathered before it is judged: each sees its own requests, and
/// one that began long ago may be another gateway's.
const GATHERED_MS: u64 = 150;
/// How long a request is held at first; six times as long after each trial that ends its endpoint.
const HELD_MS: u64 = 10_000;
const HELD_AGAIN_TIMES: u64 = 6;
/// The longest time for which a request is held.
const HELD_MAX_MS: u64 = 3_600_000;
/// The share of the time, in percent, that is served when its weights are renewed: newer ones may cure it.
const RENEWED_PERCENT: u64 = 50;
/// How long a trial may take; after that another gateway may try.
const TRIAL_MS: u64 = 15_000;
/// How long a request is held again whose trial had no outcome.
const TRIAL_AGAIN_MS: u64 = 1_000;
/// How long ends are remembered for requests that come seldom.
const KEPT_MS: u64 = 3_600_000;
/// Ends that are remembered.
const CRASHES_MAX: usize = 1_000;
/// Requests whose standing is remembered.
const STANDINGS_MAX: usize = 1_024;

/// A request that was broken off with an endpoint.
#[derive(Debug)]
struct Run {
    /// The longest time for which its content had run there: one that ends its endpoint soon after it
    /// begins does not run there a second time.
    ran_ms: u32,
    weights: Option<WeightsName>,
    is_judged: bool,
}

/// An endpoint's end.
#[derive(Debug)]
struct Crash {
    at_ms: u64,
    service: Arc<str>,
    /// Endpoints of the service that ran something, this one among them: nobody sees the end of another.
    used: usize,
    runs: BTreeMap<RequestKey, Run>,
    /// The request that is held and was among them.
    explained_by: Option<RequestKey>,
}

/// The standing of a request, as it was committed.
#[derive(Debug)]
struct Known {
    weights: Option<WeightsName>,
    standing: Standing,
    since_ms: u64,
    /// When gateways were first told of the request.
    told_since_ms: u64,
    /// True when it is held for less time already, since its weights were renewed.
    is_shortened: bool,
}

/// Ends of endpoints, and what they tell of requests.
#[derive(Debug, Default)]
pub struct Crashes {
    /// By incarnation, so that what is told again, or by several gateways, counts once.
    by_endpoint: HashMap<Arc<str>, Crash>,
    /// Incarnations, the earliest told first.
    order: VecDeque<Arc<str>>,
    /// The ends under each request since it was last served.
    by_request: HashMap<RequestKey, Vec<Arc<str>>>,
    /// Ends with something that is not judged yet, and when it will be.
    fresh: VecDeque<(u64, Arc<str>)>,
    known: BTreeMap<RequestKey, Known>,
    /// Standings that were decided and nobody has proposed yet.
    decided: Vec<RequestStanding>,
    /// What was decided last of each request and is not committed yet.
    undecided: BTreeMap<RequestKey, Standing>,
    /// Requests that are likely to have ended what ended under them, by their ends so far.
    suspects: BTreeSet<RequestKey>,
    /// When contents that were at an end were last served.
    served_at_ms: HashMap<RequestKey, u64>,
}

impl Crashes {
    /// Nothing known but `standings`, which are as old as this leader.
    pub fn new(now_ms: u64, standings: impl IntoIterator<Item = RequestStanding>) -> Self {
        let mut crashes = Self::default();
        for standing in standings {
            crashes.apply_committed(now_ms, &standing);
        }
        crashes
    }

    /// True when the endpoint's incarnation is known to have ended.
    pub fn has_ended(&self, endpoint: &str) -> bool {
        self.by_endpoint.contains_key(endpoint)
    }

    /// Takes an end in; `used` endpoints of its service ran something, itself among them.
    pub fn record_crash(&mut self, now_ms: u64, crash: EndpointCrash, used: usize) {
        let EndpointCrash { endpoint, service, ago_ms, runs } = crash;
        let at_ms = now_ms.saturating_sub(u64::from(ago_ms));
        if !self.by_endpoint.contains_key(&endpoint) {
            self.forget_old(now_ms);
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
        let mut is_news = false;
        for run in runs {
            is_news |= self.broken_off(&endpoint, run);
        }
        if is_news {
            self.fresh.push_back((now_ms + GATHERED_MS, endpoint));
        }
    }

    /// Notes a request that was broken off with `endpoint`; false when that was known.
    fn broken_off(&mut self, endpoint: &Arc<str>, run: BrokenRun) -> bool {
        let BrokenRun { key, weights, ran_ms, served_ago_ms } = run;
        // What ends during a trial may have been ended by another request.
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
        crash.runs.insert(key, Run { ran_ms, weights, is_judged: false });
        self.by_request.entry(key).or_default().push(endpoint.clone());
        true
    }

    /// Judges the ends whose reports were gathered.
    fn judge_gathered(&mut self, now_ms: u64) {
        while let Some((due_ms, endpoint)) = self.fresh.front().cloned() {
            if due_ms > now_ms {
                return;
            }
            self.fresh.pop_front();
            self.find_suspects(&endpoint);
            let Some(crash) = self.by_endpoint.get_mut(&endpoint) else { continue };
            let at_ms = crash.at_ms;
            let mut runs = Vec::new();
            for (key, run) in &mut crash.runs {
                if !run.is_judged {
                    run.is_judged = true;
                    runs.push((*key, run.weights.clone()));
                }
            }
            for (key, weights) in runs {
                self.judge(now_ms, at_ms, &endpoint, key, weights);
            }
        }
    }

    /// Looks anew which requests at the end of `endpoint` are suspects.
    fn find_suspects(&mut self, endpoint: &str) {
        let Some(crash) = self.by_endpoint.get(endpoint) else { return };
        for key in crash.runs.keys().copied().collect::<Vec<_>>() {
            let stands_out = self.unexplained(key) >= HELD_CRASHES
                && self.factor(key) >= SUSPECTED_FACTOR
                && !self.has_rival(key);
            if stands_out || self.prime_crashes(key) >= EXPLAINING_CRASHES {
                self.suspects.insert(key);
            } else {
                self.suspects.remove(&key);
            }
        }
    }

    /// True when another request than `key` is likely to have ended the endpoint.
    fn is_explained_without(&self, key: RequestKey, crash: &Crash) -> bool {
        if let Some(explained_by) = crash.explained_by {
            return explained_by != key;
        }
        !self.suspects.is_empty()
            && crash.runs.keys().any(|other| *other != key && self.suspects.contains(other))
    }

    /// True when a content was served so short a time before the end that it is an unlikely cause.
    fn is_trusted(&self, key: RequestKey, crash: &Crash) -> bool {
        self.served_at_ms.get(&key).is_some_and(|at_ms| crash.at_ms < at_ms + TRUSTED_MS)
    }

    /// The likeliest cause of an end: of the contents that were not served lately the one with the most
    /// ends; none if two have as many, or if no gateway reports what it serves.
    fn prime_suspect(&self, crash: &Crash) -> Option<RequestKey> {
        if self.served_at_ms.is_empty() {
            return None;
        }
        let mut prime = None;
        let mut most = 0;
        for key in crash.runs.keys() {
            let crashes = self.by_request.get(key).map_or(0, Vec::len);
            if crashes < most || self.is_trusted(*key, crash) {
                continue;
            }
            prime = (crashes > most).then_some(*key);
            most = crashes;
        }
        prime
    }

    /// How many ends soon after the request had begun have it as their prime suspect; none unless it was at
    /// one of them the only content that was not served lately.
    ///
    /// Guards against holding what was broken off beside several others: one of these is always there too.
    fn prime_crashes(&self, key: RequestKey) -> usize {
        let mut crashes = 0;
        let mut was_only_one = false;
        for crash in self.unexplained_of(key) {
            if self.factor_in(key, crash) < 1.0 || self.prime_suspect(crash) != Some(key) {
                continue;
            }
            crashes += 1;
            let mut others = crash.runs.keys().filter(|other| **other != key);
            was_only_one |= others.all(|other| self.is_trusted(*other, crash));
        }
        if was_only_one { crashes } else { 0 }
    }

    /// Decides what becomes of a request under which `endpoint` ended at `at_ms`.
    fn judge(
        &mut self,
        now_ms: u64,
        at_ms: u64,
        endpoint: &Arc<str>,
        key: RequestKey,
        weights: Option<WeightsName>,
    ) {
        let known = self.known.get(&key);
        let standing = match known.map(|known| (&known.standing, known.since_ms)) {
            // A try that was under way when it was held.
            Some((Standing::Held { .. }, _)) => return,
            Some((Standing::OnTrial { .. }, since_ms)) if at_ms < since_ms => return,
            Some((Standing::OnTrial { times, .. }, _)) => {
                // Endpoints end by chance or under others during trials too.
                let is_cause = self.by_endpoint.get(endpoint).is_some_and(|crash| {
                    self.factor_in(key, crash) >= 1.0 && !self.is_explained_without(key, crash)
                });
                held(if is_cause { times + 1 } else { *times })
            }
            Some((Standing::Watched | Standing::Suspected | Standing::Cleared, _)) | None => {
                let Some(standing) = self.weigh(key) else { return };
                if standing.is_refused() && !self.is_served_reported(now_ms, key) {
                    self.judge_again(now_ms, endpoint, key);
                    Standing::Suspected
                } else {
                    standing
                }
            }
        };
        self.decide(key, weights, standing);
    }

    /// True once gateways had the time to report whether they served the content.
    fn is_served_reported(&self, now_ms: u64, key: RequestKey) -> bool {
        let Some(known) = self.known.get(&key) else { return self.served_at_ms.is_empty() };
        self.served_at_ms.is_empty() || known.told_since_ms + SERVED_REPORTED_MS <= now_ms
    }

    /// Has a request judged again once gateways had that time.
    fn judge_again(&mut self, now_ms: u64, endpoint: &Arc<str>, key: RequestKey) {
        let Some(crash) = self.by_endpoint.get_mut(endpoint) else { return };
        if let Some(run) = crash.runs.get_mut(&key) {
            run.is_judged = false;
        }
        self.fresh.push_back((now_ms + SERVED_REPORTED_MS, endpoint.clone()));
    }

    /// The standing that the ends under a request call for.
    fn weigh(&self, key: RequestKey) -> Option<Standing> {
        let crashes = self.unexplained(key);
        if crashes < WATCHED_CRASHES {
            return None;
        }
        let factor = self.factor(key);
        if crashes >= HELD_CRASHES && factor >= HELD_FACTOR && !self.has_rival(key) {
            return Some(held(0));
        }
        let prime_crashes = self.prime_crashes(key);
        if prime_crashes >= HELD_CRASHES && factor >= HELD_PRIME_FACTOR {
            return Some(held(0));
        }
        let is_suspect = factor >= SUSPECTED_FACTOR || prime_crashes >= EXPLAINING_CRASHES;
        Some(if is_suspect { Standing::Suspected } else { Standing::Watched })
    }

    /// How many ends under a request no other request explains.
    fn unexplained(&self, key: RequestKey) -> usize {
        self.unexplained_of(key).count()
    }

    /// How much more likely it is that the request ends its endpoints than that it was there by chance.
    pub fn factor(&self, key: RequestKey) -> f64 {
        let mut factor = 1.0;
        for crash in self.unexplained_of(key) {
            factor *= self.factor_in(key, crash);
        }
        factor
    }

    fn factor_in(&self, key: RequestKey, crash: &Crash) -> f64 {
        let ran_ms = crash.runs.get(&key).map_or(u32::MAX, |run| run.ran_ms);
        let ends_by_chance = self.rate_without_per_ms(key, crash) * f64::from(ran_ms.max(1));
        let chance = 1.0 - (-ends_by_chance).exp();
        FACTOR_POWER * chance.powf(FACTOR_POWER - 1.0)
    }

    fn crashes_of(&self, key: RequestKey) -> impl Iterator<Item = &Crash> {
        let endpoints = self.by_request.get(&key).into_iter().flatten();
        endpoints.filter_map(|endpoint| self.by_endpoint.get(endpoint))
    }

    fn unexplained_of(&self, key: RequestKey) -> impl Iterator<Item = &Crash> {
        self.crashes_of(key).filter(move |crash| match crash.explained_by {
            Some(explained_by) => explained_by == key,
            // Guards against holding bystanders that were broken off again and again beside a suspect.
            None => !(self.is_trusted(key, crash) && self.is_explained_without(key, crash)),
        })
    }

    /// True when another request was there at all ends under this one, or all but one, and had run for
    /// less: the other one ended them, and this one was there each time.
    fn has_rival(&self, key: RequestKey) -> bool {
        let mut rivals: BTreeMap<RequestKey, (usize, f64)> = BTreeMap::new();
        let mut crashes = 0;
        for crash in self.unexplained_of(key) {
            crashes += 1;
            let own = self.factor_in(key, crash);
            for other in crash.runs.keys() {
                if *other == key || self.is_trusted(*other, crash) {
                    continue;
                }
                let (shared, likelier) = rivals.entry(*other).or_insert((0, 1.0));
                *shared += 1;
                *likelier *= self.factor_in(*other, crash) / own;
            }
        }
        rivals.values().any(|(shared, likelier)| shared + 1 >= crashes && *likelier > 1.0)
    }

    /// How often an endpoint of the service ended around that time without the request, but for this end:
    /// the highest rate of all times up to then, since ends come in series.
    fn rate_without_per_ms(&self, key: RequestKey, crash: &Crash) -> f64 {
        let from_ms = crash.at_ms.saturating_sub(RATE_MAX_MS);
        let until_ms = crash.at_ms + TOGETHER_MS;
        let mut ages_ms = Vec::new();
        for other in self.by_endpoint.values() {
            if other.service != crash.service || !(from_ms..=until_ms).contains(&other.at_ms) {
                continue;
            }
            let is_this = std::ptr::eq(other, crash);
            if !is_this && other.runs.contains_key(&key) {
                continue;
            }
            // Several requests that end endpoints by turns would else pass for each other's chance.
            if !is_this && self.is_explained_without(key, other) {
                continue;
            }
            ages_ms.push(crash.at_ms.saturating_sub(other.at_ms));
        }
        ages_ms.sort_unstable();
        let mut highest: f64 = 0.0;
        for (position, age_ms) in ages_ms.iter().enumerate() {
            let rate = (position + 1) as f64 / (age_ms + RATE_MIN_MS) as f64;
            highest = highest.max(rate);
        }
        highest / crash.used as f64
    }

    /// Notes that the content `key` was served at `at_ms`.
    pub fn note_served(&mut self, key: RequestKey, at_ms: u64) {
        if self.served_at_ms.len() >= SERVED_MAX && !self.served_at_ms.contains_key(&key) {
            let earliest = self.served_at_ms.iter().min_by_key(|(_, at_ms)| **at_ms);
            let Some((earliest, _)) = earliest else { return };
            let earliest = *earliest;
            self.served_at_ms.remove(&earliest);
        }
        let known_ms = self.served_at_ms.entry(key).or_insert(at_ms);
        *known_ms = at_ms.max(*known_ms);
        self.drop_ends_before(key, at_ms);
    }

    /// Takes a request out of the ends before it was served.
    fn drop_ends_before(&mut self, key: RequestKey, served_at_ms: u64) {
        let Some(endpoints) = self.by_request.get_mut(&key) else { return };
        let by_endpoint = &self.by_endpoint;
        let is_before = |endpoint: &mut Arc<str>| {
            by_endpoint.get(endpoint).is_none_or(|crash| crash.at_ms < served_at_ms)
        };
        let before: Vec<Arc<str>> = endpoints.extract_if(.., is_before).collect();
        for endpoint in before {
            self.acquit(key, &endpoint);
        }
    }

    /// Notes that a request was served: it ends nothing.
    pub fn served(&mut self, key: RequestKey) {
        self.suspects.remove(&key);
        for endpoint in self.by_request.remove(&key).unwrap_or_default() {
            self.acquit(key, &endpoint);
        }
        let Some(known) = self.known.get(&key) else { return };
        if known.standing != Standing::Cleared {
            let weights = known.weights.clone();
            self.decide(key, weights, Standing::Cleared);
        }
    }

    /// Takes a request out of an end; where it was held for it, the others are judged anew.
    fn acquit(&mut self, key: RequestKey, endpoint: &Arc<str>) {
        let Some(crash) = self.by_endpoint.get_mut(endpoint) else { return };
        crash.runs.remove(&key);
        if crash.explained_by != Some(key) {
            return;
        }
        crash.explained_by = None;
        for run in crash.runs.values_mut() {
            run.is_judged = false;
        }
        self.fresh.push_front((0, endpoint.clone()));
    }

    /// Lets `gateway` send a request that was held long enough, unless another one does.
    pub fn request_trial(&mut self, now_ms: u64, key: RequestKey, gateway: &Arc<str>) {
        let Some(known) = self.known.get(&key) else { return };
        let (held_ms, times) = match known.standing {
            Standing::Held { for_ms, times } => (for_ms, times),
            Standing::OnTrial { times, .. } => (TRIAL_MS, times),
            Standing::Watched | Standing::Suspected | Standing::Cleared => return,
        };
        if known.since_ms + held_ms > now_ms || self.undecided.contains_key(&key) {
            return;
        }
        let weights = known.weights.clone();
        self.decide(key, weights, Standing::OnTrial { gateway: gateway.clone(), times });
    }

    /// Takes a trial back that `gateway` could not use, or that showed nothing: another one may follow soon.
    pub fn return_trial(&mut self, key: RequestKey, gateway: &Arc<str>) {
        let Some(known) = self.known.get(&key) else { return };
        let Standing::OnTrial { gateway: trying, times } = &known.standing else { return };
        if trying != gateway || self.undecided.contains_key(&key) {
            return;
        }
        let standing = Standing::Held { for_ms: TRIAL_AGAIN_MS, times: *times };
        self.decide(key, known.weights.clone(), standing);
    }

    /// Shortens the time for which requests to `name`, which has just got a newer version, are held.
    pub fn note_weights_updated(&mut self, now_ms: u64, name: &WeightsName) {
        let mut shortened = Vec::new();
        for (key, known) in &mut self.known {
            let Some(weights) = &known.weights else { continue };
            let Standing::Held { for_ms, times } = known.standing else { continue };
            if known.is_shortened || (weights != name && weights.base() != *name) {
                continue;
            }
            known.is_shortened = true;
            let until_ms = known.since_ms + for_ms * RENEWED_PERCENT / 100;
            let standing = Standing::Held { for_ms: until_ms.saturating_sub(now_ms), times };
            shortened.push((*key, known.weights.clone(), standing));
        }
        for (key, weights, standing) in shortened {
            self.decide(key, weights, standing);
        }
    }

    /// What was decided since the last call, to be committed.
    pub fn take_decided(&mut self) -> Vec<RequestStanding> {
        std::mem::take(&mut self.decided)
    }

    /// Takes over what was committed.
    pub fn apply_committed(&mut self, now_ms: u64, committed: &RequestStanding) {
        let RequestStanding { key, weights, standing } = committed;
        self.undecided.remove(key);
        let before = self.known.remove(key);
        if *standing == Standing::Cleared {
            return;
        }
        if standing.is_refused() {
            self.explain(*key);
        }
        let is_held_on = |known: &Known| {
            let times = known.standing.times_held();
            known.is_shortened && times == standing.times_held()
        };
        let known = Known {
            weights: weights.clone(),
            standing: standing.clone(),
            since_ms: now_ms,
            told_since_ms: before.as_ref().map_or(now_ms, |before| before.told_since_ms),
            is_shortened: before.as_ref().is_some_and(is_held_on),
        };
        self.known.insert(*key, known);
    }

    /// What ended under a request that is held was ended by it, and tells nothing of the others there.
    fn explain(&mut self, key: RequestKey) {
        for endpoint in self.by_request.get(&key).into_iter().flatten() {
            if let Some(crash) = self.by_endpoint.get_mut(endpoint) {
                crash.explained_by.get_or_insert(key);
            }
        }
    }

    /// Lets time pass: judges what was gathered, and forgets standings of which nothing was heard for long.
    pub fn advance(&mut self, now_ms: u64) {
        self.judge_gathered(now_ms);
        let mut ended = Vec::new();
        for (key, known) in &self.known {
            if known.since_ms + KEPT_MS + HELD_MAX_MS <= now_ms {
                ended.push((*key, known.weights.clone()));
            }
        }
        for (key, weights) in ended {
            self.decide(key, weights, Standing::Cleared);
        }
    }

    fn decide(&mut self, key: RequestKey, weights: Option<WeightsName>, standing: Standing) {
        let known = self.known.get(&key).map(|known| &known.standing);
        if self.undecided.get(&key).or(known) == Some(&standing) {
            return;
        }
        if !self.known.contains_key(&key) && self.known.len() >= STANDINGS_MAX {
            self.clear_least();
        }
        self.undecided.insert(key, standing.clone());
        self.decided.push(RequestStanding { key, weights, standing });
    }

    /// Makes room: of the requests that are only watched, the one watched longest goes.
    fn clear_least(&mut self) {
        let rank = |known: &Known| match known.standing {
            Standing::Cleared | Standing::Watched => 0,
            Standing::Suspected => 1,
            Standing::Held { .. } | Standing::OnTrial { .. } => 2,
        };
        let least = self.known.iter().min_by_key(|(_, known)| (rank(known), known.since_ms));
        let Some((key, known)) = least else { return };
        let (key, weights) = (*key, known.weights.clone());
        let standing = Standing::Cleared;
        self.undecided.insert(key, standing.clone());
        self.decided.push(RequestStanding { key, weights, standing });
    }

    fn forget_old(&mut self, now_ms: u64) {
        while let Some(endpoint) = self.order.front() {
            let at_ms = self.by_endpoint.get(endpoint).map_or(0, |crash| crash.at_ms);
            if self.order.len() < CRASHES_MAX && at_ms + KEPT_MS > now_ms {
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
    let for_ms = HELD_AGAIN_TIMES
        .checked_pow(times)
        .map_or(HELD_MAX_MS, |factor| HELD_MS.saturating_mul(factor).min(HELD_MAX_MS));
    Standing::Held { for_ms, times }
}
