//! Detection of what crashes the endpoints that run it.
//!
//! A crash interrupts all requests that run at the endpoint, most of them by coincidence. What
//! requests share is a *feature*: their whole content, or a part of their prompts. A feature that
//! causes crashes differs in how soon they happen, again and again: by coincidence, a request is
//! interrupted within the time in which endpoints crash anyway. Requests with a feature that is
//! *held* are refused for some time.
//!
//! For each crash, the p-value of a feature is the probability that an endpoint crashes within the
//! time for which requests with the feature had run there, at the rate at which endpoints of the
//! service crash without it. P-values are converted to e-values, whose mean is one for features that
//! are interrupted by coincidence, and the e-values of a feature are multiplied until a request with
//! it is served, which shows that it causes no crashes. By Ville's inequality, such a product exceeds
//! the threshold by coincidence in about one of as many series. If several features were interrupted
//! by each of the crashes, only the one that had run for the shortest time is held.
//!
//! Each crash has one cause, and a feature that was served recently is an unlikely one: the crash is no
//! evidence against it if any other interrupted feature was not served recently. So a part of prompts
//! that many requests share is not held for the crashes that another part causes. Of the features not
//! served recently, the one with the most crashes is the crash's *prime suspect*. The prime suspect of
//! several crashes is held on weaker evidence, and its crashes count as explained for all other
//! features that they interrupted.
//!
//! A content is *suspected* on weaker evidence than it is held on. Requests with a suspected content run
//! one at a time: copies beside each other would all be sent before the outcome of the first is known.
//! One that is served clears the content. Such a run is a trial, sent on purpose: a crash of its endpoint
//! counts as a likelihood ratio, `1 / p`, since a trial of the cause always crashes its endpoint.
//!
//! Rates are related to the endpoints in use, among them those that have crashed within the time over
//! which the rate is measured. A run that broke off as soon as the crash was known may have been sent
//! after it, and is weak evidence.
//!
//! The detection runs in the leader, on reports of gateways, each of which knows only its own
//! requests.

mod evidence;
mod exposure;
mod records;
mod verdicts;

use std::collections::VecDeque;
use std::sync::Arc;

use self::evidence::Assessment;
pub use self::evidence::Evidence;
pub use self::exposure::{Exposure, Used};
use self::records::{CrashNumber, CrashRecords};
use self::verdicts::{Verdicts, held};
use crate::message::{EndpointCrash, FeatureKey, FeatureStanding, Standing, WeightsName};

/// How long reports of a crash are collected before it is evaluated: each gateway knows only its
/// own requests, and the longest run of a request may be another gateway's.
const COLLECTION_MS: u64 = 150;
/// The comparisons after which the evaluation of further crashes is left to the next call: the leader
/// does nothing else meanwhile.
const COST_PER_ADVANCE: usize = 40_000;
/// How long gateways have, from when they are informed of a feature's standing, to report that they
/// served the feature.
const SERVED_REPORT_MS: u64 = 100;

/// The maximum number of evaluations that are kept for the log.
const WEIGHED_MAX: usize = 64;

/// The evaluation of one feature that a crash interrupted, for the log.
#[derive(Debug, Clone, PartialEq)]
pub struct WeighedFeature {
    /// The feature.
    pub key: FeatureKey,
    /// The incarnation that crashed.
    pub endpoint: Arc<str>,
    /// The time for which the feature had run there.
    pub ran_ms: u32,
    /// The endpoints of the service that were in use.
    pub used: Used,
    /// The number of features that the crash interrupted.
    pub interrupted: usize,
    /// The evidence of this crash alone, as an e-value.
    pub crash_e_value: f64,
    /// The evidence of all crashes of the feature.
    pub evidence: Evidence,
}

/// Recorded crashes, the evidence from them, and the standings that follow.
#[derive(Debug, Default)]
pub struct Crashes {
    records: CrashRecords,
    verdicts: Verdicts,
    /// Crashes with features to evaluate, and the time of the evaluation.
    pending: VecDeque<(u64, CrashNumber)>,
    /// Evaluations since the last call of [`Crashes::take_weighed`].
    weighed: Vec<WeighedFeature>,
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

    /// True if the endpoint's incarnation is known to have crashed.
    pub fn has_ended(&self, endpoint: &str) -> bool {
        self.records.number_of(endpoint).is_some()
    }

    /// Records a crash; `used` endpoints of its service ran requests, including this one.
    pub fn record_crash(&mut self, now_ms: u64, crash: EndpointCrash, used: impl Into<Used>) {
        let EndpointCrash { endpoint, service, ago_ms, features } = crash;
        let seen_at_ms = now_ms.saturating_sub(u64::from(ago_ms));
        let number = self.records.add_crash(now_ms, seen_at_ms, &endpoint, service, used.into());
        let at_ms = self.records.get(number).map_or(seen_at_ms, |crash| crash.at_ms);
        let mut is_new = false;
        for feature in features {
            // A crash during a trial may have been caused by something else, so a feature on trial
            // does not count as held.
            if let Some(ago_ms) = feature.served_ago_ms {
                self.note_served(feature.key, at_ms.saturating_sub(ago_ms.into()));
            }
            let began_at_ms = seen_at_ms.saturating_sub(feature.ran_ms.into());
            let mut known = self.verdicts.known_feature(feature.key);
            // A trial that was sent to an endpoint which had already crashed tells nothing.
            if self.verdicts.is_trial_between(feature.key, at_ms, began_at_ms) {
                self.verdicts.end_trial(feature.key);
                known.on_trial_since_ms = None;
            }
            is_new |= self.records.add_feature(number, seen_at_ms, feature, known);
        }
        if is_new && self.records.mark_for_evaluation(number) {
            self.pending.push_back((now_ms + COLLECTION_MS, number));
        }
    }

    /// Evaluates crashes whose reports have been collected.
    fn evaluate_due(&mut self, now_ms: u64) {
        let mut cost = 0;
        while let Some((due_ms, number)) = self.pending.front().copied() {
            if due_ms > now_ms || cost >= COST_PER_ADVANCE {
                return;
            }
            self.pending.pop_front();
            cost += self.records.evaluation_cost(number);
            let Some(crash) = self.records.get_mut(number) else { continue };
            crash.awaits_evaluation = false;
            let at_ms = crash.at_ms;
            self.records.update_suspects(number);
            for (key, weights) in self.records.take_unevaluated(number) {
                self.evaluate(now_ms, at_ms, number, key, weights);
            }
        }
    }

    /// Decides the standing of a feature that was interrupted by a crash at `at_ms`.
    fn evaluate(
        &mut self,
        now_ms: u64,
        at_ms: u64,
        number: CrashNumber,
        key: FeatureKey,
        weights: Option<WeightsName>,
    ) {
        let known = self.verdicts.get(key).map(|known| (known.standing.clone(), known.since_ms));
        let standing = match known {
            // The attempt was already running when the feature was held.
            Some((Standing::Held { .. }, _)) => return,
            Some((Standing::OnTrial { .. }, since_ms)) if at_ms < since_ms => return,
            Some((Standing::OnTrial { times, .. }, _)) => {
                // During a trial, endpoints also crash by coincidence or for other reasons.
                let is_cause = self.records.is_possible_cause(number, key);
                held(if is_cause { times + 1 } else { times })
            }
            Some((Standing::Running { .. }, since_ms)) => match self.assess(now_ms, number, key) {
                Some(standing) if standing.is_refused() => standing,
                _ if since_ms <= at_ms => Standing::Suspected,
                // A copy that was sent before this one.
                _ => return,
            },
            Some((Standing::Watched | Standing::Suspected | Standing::Cleared, _)) | None => {
                match self.assess(now_ms, number, key) {
                    Some(standing) => standing,
                    None => return,
                }
            }
        };
        if standing.is_refused() {
            // Of features that were always interrupted together, one is held.
            self.records.explain(key);
        }
        self.verdicts.decide(key, weights, standing);
    }

    /// The standing that the crashes of a feature amount to; `None` for too few crashes.
    fn assess(&mut self, now_ms: u64, number: CrashNumber, key: FeatureKey) -> Option<Standing> {
        let evidence = self.records.evidence(key)?;
        self.note_weighed(number, key, evidence);
        match evidence.assess() {
            Assessment::Watch => Some(Standing::Watched),
            Assessment::Suspect => Some(Standing::Suspected),
            Assessment::Hold if self.is_served_report_due(now_ms, key) => Some(held(0)),
            Assessment::Hold => {
                self.records.reset_evaluation(number, key);
                if self.records.mark_for_evaluation(number) {
                    self.pending.push_back((now_ms + SERVED_REPORT_MS, number));
                }
                Some(Standing::Suspected)
            }
        }
    }

    fn note_weighed(&mut self, number: CrashNumber, key: FeatureKey, evidence: Evidence) {
        if self.weighed.len() >= WEIGHED_MAX {
            return;
        }
        let Some((crash, ran_ms, crash_e_value)) = self.records.weigh(number, key) else { return };
        let endpoint = crash.endpoint.clone();
        let (used, interrupted) = (crash.used, crash.features.len());
        self.weighed.push(WeighedFeature {
            key,
            endpoint,
            ran_ms,
            used,
            interrupted,
            crash_e_value,
            evidence,
        });
    }

    /// Takes the evaluations since the last call, of which a bounded number is kept.
    pub fn take_weighed(&mut self) -> Vec<WeighedFeature> {
        std::mem::take(&mut self.weighed)
    }

    /// The endpoints whose crashes are evidence against the feature.
    pub fn crashed_endpoints(&self, key: FeatureKey) -> Vec<Arc<str>> {
        self.records.crashed_endpoints(key)
    }

    /// True if gateways have had time to report whether they served the feature.
    fn is_served_report_due(&self, now_ms: u64, key: FeatureKey) -> bool {
        let announced_at_ms = self.verdicts.get(key).map(|known| known.announced_at_ms);
        self.records.served_at_ms.is_empty()
            || announced_at_ms.is_some_and(|at_ms| at_ms + SERVED_REPORT_MS <= now_ms)
    }

    /// The evidence that the feature causes its crashes rather than being interrupted by
    /// coincidence, as an e-value.
    pub fn e_value(&self, key: FeatureKey) -> f64 {
        self.records.e_value(key)
    }

    /// Records that a request with the feature was served at `at_ms`.
    pub fn note_served(&mut self, key: FeatureKey, at_ms: u64) {
        let unexplained = self.records.note_served(key, at_ms);
        self.evaluate_again(unexplained);
    }

    /// Clears a feature of a request that was served: it causes no crashes.
    pub fn served(&mut self, key: FeatureKey) {
        let unexplained = self.records.clear(key);
        self.evaluate_again(unexplained);
        self.verdicts.clear(key);
    }

    fn evaluate_again(&mut self, numbers: Vec<CrashNumber>) {
        for number in numbers {
            if self.records.mark_for_evaluation(number) {
                self.pending.push_front((0, number));
            }
        }
    }

    /// Lets `gateway` send a request with a feature that is suspected, or whose holding time is over,
    /// unless another gateway already does.
    pub fn grant_trial(&mut self, now_ms: u64, key: FeatureKey, gateway: &Arc<str>) {
        self.verdicts.grant_trial(now_ms, key, gateway);
    }

    /// Takes back a trial that `gateway` could not use or that had no outcome; another one may
    /// follow soon.
    pub fn return_trial(&mut self, key: FeatureKey, gateway: &Arc<str>) {
        self.verdicts.return_trial(key, gateway);
    }

    /// Shortens the time for which contents for `name` are held, since `name` has just got a newer
    /// version.
    pub fn note_weights_updated(&mut self, now_ms: u64, name: &WeightsName) {
        self.verdicts.note_weights_updated(now_ms, name);
    }

    /// Takes the standings decided since the last call, to be committed.
    pub fn take_decided(&mut self) -> Vec<FeatureStanding> {
        self.verdicts.take_decided()
    }

    /// Applies a committed standing.
    pub fn apply_committed(&mut self, now_ms: u64, committed: &FeatureStanding) {
        self.verdicts.apply_committed(now_ms, committed);
        if committed.standing.is_refused() {
            self.records.explain(committed.key);
        }
    }

    /// Evaluates the crashes that are due, and clears standings that have not changed for long.
    pub fn advance(&mut self, now_ms: u64) {
        self.evaluate_due(now_ms);
        self.verdicts.clear_expired(now_ms);
    }
}
