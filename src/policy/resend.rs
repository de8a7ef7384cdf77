//! Decides whether a failed request is worth a second send.
//!
//! Some errors depend on the request and come again at every endpoint: a second send then only adds
//! load. Others depend on the endpoint, and a second send elsewhere is answered. The outcomes of
//! this gateway's own second sends tell them apart. They are kept by service, route and
//! [`FailureCause`]: errors that endpoints answered and connections that broke have different
//! causes, and so have failures at one endpoint that fails more often than the others.
//!
//! A gateway sees a few failures of a service in a second at most, so the evidence is counted in
//! outcomes rather than in seconds: the latest outcomes outweigh earlier ones, and time alone
//! halves the evidence only after minutes. Second sends are presumed to help
//! (`PRESUMED_SUCCESSES`) until the outcomes outweigh that.

use std::collections::HashMap;
use std::sync::Arc;

/// The share of second sends that must succeed. Below it, a retry token serves less than a quarter
/// of a request.
const WORTHWHILE_SHARE: f64 = 0.25;
/// Successes that are presumed before the first outcome: without any success, 4 outcomes are needed
/// to stop second sends. More would add useless sends at each start of a process or fault.
const PRESUMED_SUCCESSES: f64 = 1.0;
/// Each outcome reduces the weight of the earlier ones by one part in this many. With 20, five
/// successes in a row outweigh any number of failures before them.
const OUTCOME_MEMORY: f64 = 20.0;
/// The time in which outcomes lose half of their weight. At 2 requests a second of which 14% fail,
/// probes supply 1 outcome in 114 s. With a half-life below about 240 s they could not maintain the 3
/// outcomes that keep second sends stopped.
const OUTCOMES_HALF_LIFE_MS: f64 = 400_000.0;
/// One in this many failures is resent while second sends are not worthwhile. With 16, 13% of the
/// useless second sends of a gateway with 2 requests a second remained.
const PROBE_INTERVAL: u32 = 32;
/// The time in which the first sends to an endpoint lose half of their weight.
const SENDS_HALF_LIFE_MS: f64 = 30_000.0;
/// The failures from which an endpoint may fail more often than the others; fewer can be chance.
const OUTLIER_FAILURES_MIN: f64 = 2.5;
/// The first sends to all other endpoints that are needed for a comparison with them;
/// fewer can be chance.
const OTHER_SENDS_MIN: f64 = 8.0;
/// The number of standard deviations by which failures must exceed the number that a usual share
/// predicts, to have another cause. With 4, one endpoint that fails 45 in 100 requests beside errors
/// that depend on requests was found so late that fewer were served than by always resending.
const EXCESS_DEVIATIONS: f64 = 3.0;
/// The smallest share of failures that is assumed to be usual.
const USUAL_SHARE_MIN: f64 = 0.02;
/// Endpoints whose first sends weigh less than this are dropped first.
const NEGLIGIBLE_SENDS: f64 = 0.05;
/// Bounds on the memory; the entry that was used least recently is evicted.
const ROUTES_MAX: usize = 256;
const ENDPOINTS_MAX: usize = 128;

/// How a send failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FailureKind {
    /// The endpoint answered with an error status.
    Answered,
    /// The connection broke, or the endpoint ended.
    Broken,
}

impl FailureKind {
    /// The name in log lines and in the state dump.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Broken => "broken",
        }
    }
}

/// What a failure is attributed to. Second sends after failures of one cause are expected to have
/// similar outcomes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FailureCause {
    /// How the send failed.
    pub kind: FailureKind,
    /// True if the endpoint fails more often than the others.
    pub at_outlier: bool,
}

impl FailureCause {
    const ALL: [Self; 4] = [
        Self { kind: FailureKind::Answered, at_outlier: false },
        Self { kind: FailureKind::Answered, at_outlier: true },
        Self { kind: FailureKind::Broken, at_outlier: false },
        Self { kind: FailureKind::Broken, at_outlier: true },
    ];

    fn index(self) -> usize {
        self.kind as usize * 2 + usize::from(self.at_outlier)
    }
}

/// Whether a failed request is resent, with the evidence.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ResendDecision {
    /// True if the request is resent.
    pub resend: bool,
    /// True if it is resent only to notice a change.
    pub is_probe: bool,
    /// The cause, under which the outcome of the second send is noted.
    pub cause: FailureCause,
    /// The weight of the known outcomes.
    pub outcomes: f64,
    /// The expected share of second sends that succeed.
    pub expected_share: f64,
}

/// The outcomes of second sends for one service, route and cause.
#[derive(Debug, Clone, PartialEq)]
pub struct OutcomeSummary {
    /// The service.
    pub service: Arc<str>,
    /// The route.
    pub route: Arc<str>,
    /// The cause of the first failure.
    pub cause: FailureCause,
    /// The weight of the outcomes.
    pub outcomes: f64,
    /// The weight of those that succeeded.
    pub succeeded: f64,
    /// False if only probes are resent.
    pub worthwhile: bool,
}

#[derive(Debug, Clone, Copy, Default)]
struct Outcomes {
    total: f64,
    succeeded: f64,
    at_ms: u64,
    /// The share of first sends that failed while these outcomes were observed.
    first_failed_share: f64,
    /// The failures since the last one that was resent.
    skipped: u32,
}

impl Outcomes {
    fn decay(&mut self, now_ms: u64) {
        let weight = decay(now_ms, self.at_ms, OUTCOMES_HALF_LIFE_MS);
        self.total *= weight;
        self.succeeded *= weight;
        self.at_ms = self.at_ms.max(now_ms);
    }

    fn note(&mut self, now_ms: u64, succeeded: bool, first_sends: Share) {
        self.decay(now_ms);
        let kept = 1.0 - 1.0 / OUTCOME_MEMORY;
        let before = self.total * kept;
        let share = first_sends.failed / first_sends.total.max(1.0);
        self.first_failed_share = (self.first_failed_share * before + share) / (before + 1.0);
        self.total = self.total * kept + 1.0;
        self.succeeded = self.succeeded * kept + f64::from(u8::from(succeeded));
    }

    fn expected_share(&self) -> f64 {
        (self.succeeded + PRESUMED_SUCCESSES) / (self.total + PRESUMED_SUCCESSES)
    }

    fn is_worthwhile(&self) -> bool {
        self.expected_share() >= WORTHWHILE_SHARE
    }
}

/// The weights of some first sends and of those that failed.
#[derive(Debug, Clone, Copy, Default)]
struct Share {
    total: f64,
    failed: f64,
}

impl Share {
    /// Returns true if significantly more sends failed than `usual_share` predicts.
    fn exceeds(&self, usual_share: f64) -> bool {
        let usual_share = usual_share.clamp(USUAL_SHARE_MIN, 1.0);
        let predicted = self.total * usual_share;
        let deviation = (predicted * (1.0 - usual_share)).sqrt();
        self.failed - predicted > EXCESS_DEVIATIONS * deviation
    }
}

/// The first sends to one endpoint.
#[derive(Debug, Clone, Copy, Default)]
struct FirstSends {
    total: f64,
    failed: [f64; 2],
    at_ms: u64,
}

impl FirstSends {
    fn at(&self, now_ms: u64) -> Self {
        let weight = decay(now_ms, self.at_ms, SENDS_HALF_LIFE_MS);
        Self {
            total: self.total * weight,
            failed: self.failed.map(|failed| failed * weight),
            at_ms: self.at_ms.max(now_ms),
        }
    }
}

#[derive(Debug, Default)]
struct RouteOutcomes {
    by_cause: [Outcomes; 4],
    by_endpoint: HashMap<Arc<str>, FirstSends>,
    used_at_ms: u64,
}

impl RouteOutcomes {
    fn note_first(&mut self, now_ms: u64, endpoint: &Arc<str>, failure: Option<FailureKind>) {
        if self.by_endpoint.len() >= ENDPOINTS_MAX && !self.by_endpoint.contains_key(endpoint) {
            self.by_endpoint.retain(|_, sends| sends.at(now_ms).total > NEGLIGIBLE_SENDS);
            if self.by_endpoint.len() >= ENDPOINTS_MAX {
                remove_oldest(&mut self.by_endpoint, |sends| sends.at_ms);
            }
        }
        let sends = self.by_endpoint.entry(endpoint.clone()).or_default();
        *sends = sends.at(now_ms);
        sends.total += 1.0;
        if let Some(kind) = failure {
            sends.failed[kind as usize] += 1.0;
        }
    }

    /// The first sends to all endpoints.
    fn first_sends(&self, now_ms: u64, kind: FailureKind) -> Share {
        let mut all = Share::default();
        for sends in self.by_endpoint.values() {
            let sends = sends.at(now_ms);
            all.total += sends.total;
            all.failed += sends.failed[kind as usize];
        }
        all
    }

    /// Returns true if `endpoint` fails significantly more often than all others together.
    fn is_outlier(&self, now_ms: u64, endpoint: &Arc<str>, kind: FailureKind, all: Share) -> bool {
        let Some(sends) = self.by_endpoint.get(endpoint).map(|sends| sends.at(now_ms)) else {
            return false;
        };
        let own = Share { total: sends.total, failed: sends.failed[kind as usize] };
        let others_total = all.total - own.total;
        own.failed >= OUTLIER_FAILURES_MIN
            && others_total >= OTHER_SENDS_MIN
            && own.exceeds((all.failed - own.failed) / others_total)
    }
}

/// The outcomes of a gateway's first and second sends.
#[derive(Debug, Default)]
pub struct ResendOutcomes {
    /// By service and route.
    routes: HashMap<(Arc<str>, Arc<str>), RouteOutcomes>,
}

impl ResendOutcomes {
    /// Creates an empty set: second sends are worthwhile until outcomes show otherwise.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the first send of a request to `endpoint`, and how it failed, if it did.
    pub fn note_first(
        &mut self,
        now_ms: u64,
        service: &Arc<str>,
        route: &Arc<str>,
        endpoint: &Arc<str>,
        failure: Option<FailureKind>,
    ) {
        self.route(now_ms, service, route).note_first(now_ms, endpoint, failure);
    }

    /// Records whether the send that followed a failure of `cause` was answered without error.
    pub fn note_second(
        &mut self,
        now_ms: u64,
        service: &Arc<str>,
        route: &Arc<str>,
        cause: FailureCause,
        succeeded: bool,
    ) {
        let known = self.route(now_ms, service, route);
        let first_sends = known.first_sends(now_ms, cause.kind);
        known.by_cause[cause.index()].note(now_ms, succeeded, first_sends);
    }

    /// Decides whether a request that failed at `endpoint` is resent.
    pub fn decide(
        &mut self,
        now_ms: u64,
        service: &Arc<str>,
        route: &Arc<str>,
        endpoint: &Arc<str>,
        kind: FailureKind,
    ) -> ResendDecision {
        let known = self.route(now_ms, service, route);
        let first_sends = known.first_sends(now_ms, kind);
        let at_outlier = known.is_outlier(now_ms, endpoint, kind, first_sends);
        let cause = FailureCause { kind, at_outlier };
        let outcomes = &mut known.by_cause[cause.index()];
        outcomes.decay(now_ms);
        // Many more failures than while the outcomes were observed have another cause.
        if outcomes.total > 0.0 && first_sends.exceeds(outcomes.first_failed_share) {
            *outcomes = Outcomes { at_ms: now_ms, ..Outcomes::default() };
        }
        let is_worthwhile = outcomes.is_worthwhile();
        let is_probe = !is_worthwhile && outcomes.skipped + 1 >= PROBE_INTERVAL;
        let resend = is_worthwhile || is_probe;
        outcomes.skipped = if resend { 0 } else { outcomes.skipped + 1 };
        ResendDecision {
            resend,
            is_probe,
            cause,
            outcomes: outcomes.total,
            expected_share: outcomes.expected_share(),
        }
    }

    /// The outcomes by service, route and cause, in this order.
    pub fn summaries(&self, now_ms: u64) -> Vec<OutcomeSummary> {
        let mut summaries = Vec::new();
        for ((service, route), known) in &self.routes {
            for cause in FailureCause::ALL {
                let mut outcomes = known.by_cause[cause.index()];
                if outcomes.total == 0.0 {
                    continue;
                }
                outcomes.decay(now_ms);
                summaries.push(OutcomeSummary {
                    service: service.clone(),
                    route: route.clone(),
                    cause,
                    outcomes: outcomes.total,
                    succeeded: outcomes.succeeded,
                    worthwhile: outcomes.is_worthwhile(),
                });
            }
        }
        summaries.sort_by(|one, other| {
            (&one.service, &one.route, one.cause.index()).cmp(&(
                &other.service,
                &other.route,
                other.cause.index(),
            ))
        });
        summaries
    }

    fn route(&mut self, now_ms: u64, service: &Arc<str>, route: &Arc<str>) -> &mut RouteOutcomes {
        let key = (service.clone(), route.clone());
        if self.routes.len() >= ROUTES_MAX && !self.routes.contains_key(&key) {
            remove_oldest(&mut self.routes, |known| known.used_at_ms);
        }
        let known = self.routes.entry(key).or_default();
        known.used_at_ms = known.used_at_ms.max(now_ms);
        known
    }
}

fn decay(now_ms: u64, at_ms: u64, half_life_ms: f64) -> f64 {
    (-(now_ms.saturating_sub(at_ms) as f64) / half_life_ms).exp2()
}

fn remove_oldest<K: Clone + Eq + std::hash::Hash, V>(
    entries: &mut HashMap<K, V>,
    at_ms: impl Fn(&V) -> u64,
) {
    let oldest = entries.iter().min_by_key(|(_, entry)| at_ms(entry));
    if let Some(key) = oldest.map(|(key, _)| key.clone()) {
        entries.remove(&key);
    }
}
