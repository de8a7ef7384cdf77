//! Second sends of one gateway that sees a few requests a second, compared with always resending on
//! the same random draws.
//!
//! Guards against second sends that cannot help using up the retry budget, against withholding
//! those that do, and against not noticing that one has become the other.
//! `cargo test --test resend -- --nocapture` prints the figures.

use std::sync::Arc;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use winchvane::policy::resend::{FailureCause, FailureKind, ResendDecision, ResendOutcomes};
use winchvane::relay::RetryBudget;
use yare::parameterized;

const SEEDS: u64 = 40;
const MINUTE_MS: u64 = 60_000;
const ENDPOINTS: usize = 7;
/// As in a deployment with 59 gateways.
const GATEWAYS: u32 = 59;
const SLACK: f64 = 54.0;

/// How the endpoints of a service fail.
#[derive(Debug, Clone, Copy)]
enum Faults {
    /// 14 in 100 requests get an error, and 97 in 100 of these get it again.
    Requests,
    /// One endpoint fails 45 in 100 requests.
    OneEndpoint,
    /// All endpoints fail this share of all sends.
    AllAlike(f64),
    /// Those of requests, and those of one endpoint.
    RequestsAndOneEndpoint,
}

/// The draws of one request, made before any decision, so that both policies see the same.
struct Draws {
    is_failing: bool,
    is_failing_again: bool,
    endpoints: [usize; 2],
    sends: [f64; 2],
}

impl Draws {
    fn new(rng: &mut SmallRng) -> Self {
        let first = rng.random_range(0..ENDPOINTS);
        Self {
            is_failing: rng.random_bool(0.14),
            is_failing_again: rng.random_bool(0.97),
            endpoints: [first, (first + rng.random_range(1..ENDPOINTS)) % ENDPOINTS],
            sends: [rng.random(), rng.random()],
        }
    }

    fn fails(&self, faults: Faults, send: usize) -> bool {
        let by_request = self.is_failing && (send == 0 || self.is_failing_again);
        let by_endpoint = self.endpoints[send] == 0 && self.sends[send] < 0.45;
        match faults {
            Faults::Requests => by_request,
            Faults::OneEndpoint => by_endpoint,
            Faults::AllAlike(share) => self.sends[send] < share,
            Faults::RequestsAndOneEndpoint => by_request || by_endpoint,
        }
    }
}

#[derive(Debug, Clone, Copy, Default)]
struct Totals {
    requests: u32,
    served: u32,
    useful: u32,
    useless: u32,
}

impl Totals {
    fn served_share(&self) -> f64 {
        f64::from(self.served) / f64::from(self.requests)
    }
}

/// One gateway with its faults, each until a time.
struct Simulation<'a> {
    phases: &'a [(u64, Faults)],
    per_s: f64,
    kind: FailureKind,
    restart_at_ms: u64,
    /// Requests before this time are not counted.
    count_from_ms: u64,
}

impl<'a> Simulation<'a> {
    fn new(phases: &'a [(u64, Faults)], per_s: f64) -> Self {
        Self {
            phases,
            per_s,
            kind: FailureKind::Answered,
            restart_at_ms: u64::MAX,
            count_from_ms: 0,
        }
    }

    /// Returns the totals with decisions by outcomes, and with all failures resent.
    fn compare(&self) -> (Totals, Totals) {
        let (mut decided, mut always) = (Totals::default(), Totals::default());
        for seed in 0..SEEDS {
            self.run(seed, true, &mut decided);
            self.run(seed, false, &mut always);
        }
        println!("{:?}, {} a second", self.phases, self.per_s);
        for (name, totals) in [("by outcomes", decided), ("always", always)] {
            let share = totals.served_share();
            let Totals { requests, useful, useless, .. } = totals;
            println!(
                "  {name}: {requests} requests, served {share:.4}, {useful} useful second sends, {useless} useless"
            );
        }
        (decided, always)
    }

    fn run(&self, seed: u64, by_outcomes: bool, totals: &mut Totals) {
        let mut ignored = Totals::default();
        let mut rng = SmallRng::seed_from_u64(seed);
        let new_budget = || RetryBudget::new(0.2, SLACK, 10_000);
        let (mut outcomes, mut budget) = (ResendOutcomes::new(), new_budget());
        let (mut now_ms, mut has_restarted) = (0, false);
        let (service, route): (Arc<str>, Arc<str>) = ("quotes".into(), "plain".into());
        let names: Vec<Arc<str>> = (0..ENDPOINTS).map(|id| id.to_string().into()).collect();
        for &(until_ms, faults) in self.phases {
            while now_ms < until_ms {
                let gap: f64 = rng.random();
                now_ms += (-gap.max(1e-9).ln() * 1_000.0 / self.per_s) as u64;
                if now_ms >= self.restart_at_ms && !has_restarted {
                    (outcomes, budget, has_restarted) = (ResendOutcomes::new(), new_budget(), true);
                }
                let draws = Draws::new(&mut rng);
                let is_counted = now_ms >= self.count_from_ms;
                let totals = if is_counted { &mut *totals } else { &mut ignored };
                let first = &names[draws.endpoints[0]];
                budget.note_request(now_ms);
                totals.requests += 1;
                let is_failed = draws.fails(faults, 0);
                let failure = is_failed.then_some(self.kind);
                outcomes.note_first(now_ms, &service, &route, first, failure);
                if !is_failed {
                    totals.served += 1;
                    continue;
                }
                let decision = outcomes.decide(now_ms, &service, &route, first, self.kind);
                if by_outcomes && !decision.resend || !budget.take(now_ms, GATEWAYS) {
                    continue;
                }
                let is_served = !draws.fails(faults, 1);
                outcomes.note_second(now_ms, &service, &route, decision.cause, is_served);
                totals.served += u32::from(is_served);
                totals.useful += u32::from(is_served);
                totals.useless += u32::from(!is_served);
            }
        }
    }
}

/// Second sends that fail nearly always are withheld, at the cost of the few that would succeed.
#[parameterized(
    two_a_second = { 2.0, FailureKind::Answered },
    four_a_second = { 4.0, FailureKind::Answered },
    broken = { 4.0, FailureKind::Broken },
    ten_a_second = { 10.0, FailureKind::Answered },
)]
fn nine_tenths_of_useless_second_sends_are_avoided(per_s: f64, kind: FailureKind) {
    let phases = [(10 * MINUTE_MS, Faults::Requests)];
    let (decided, always) = Simulation { kind, ..Simulation::new(&phases, per_s) }.compare();
    assert!(always.useless > 1_000, "always resending sends in vain");
    assert!(decided.useless * 10 <= always.useless, "{decided:?} {always:?}");
    assert!(decided.served_share() >= always.served_share() - 0.01, "{decided:?} {always:?}");
}

/// Guards against withholding second sends that serve requests, or giving tokens to those that do not.
#[parameterized(
    one_endpoint = { Faults::OneEndpoint },
    two_in_ten_alike = { Faults::AllAlike(0.2) },
    four_in_ten_alike = { Faults::AllAlike(0.4) },
    six_in_ten_alike = { Faults::AllAlike(0.6) },
    requests_and_one_endpoint = { Faults::RequestsAndOneEndpoint },
)]
fn where_second_sends_help_no_fewer_are_served(faults: Faults) {
    for per_s in [2.0, 4.0, 10.0] {
        let phases = [(10 * MINUTE_MS, faults)];
        let (decided, always) = Simulation::new(&phases, per_s).compare();
        assert!(decided.served_share() >= always.served_share() - 0.01, "{decided:?} {always:?}");
    }
}

/// Guards against withholding second sends for long after they have begun to help. Only requests
/// after the change are counted.
#[parameterized(
    one_endpoint = { Faults::OneEndpoint },
    alike = { Faults::AllAlike(0.4) },
)]
fn a_change_is_noticed(faults: Faults) {
    for per_s in [2.0, 4.0] {
        let count_from_ms = 5 * MINUTE_MS;
        for (before, after) in [(Faults::Requests, faults), (faults, Faults::Requests)] {
            let phases = [(count_from_ms, before), (2 * count_from_ms, after)];
            let simulation = Simulation { count_from_ms, ..Simulation::new(&phases, per_s) };
            let (decided, always) = simulation.compare();
            let least = always.served_share() - 0.01;
            assert!(decided.served_share() >= least, "{decided:?} {always:?}");
        }
    }
}

/// Guards against outcomes that survive a restart, and against a second learning phase that costs
/// more than the first.
#[test]
fn a_restarted_gateway_resends_as_before_until_it_knows() {
    let phases = [(10 * MINUTE_MS, Faults::Requests)];
    let whole = Simulation::new(&phases, 4.0);
    let (through, _) = whole.compare();
    let (restarted, _) = Simulation { restart_at_ms: 5 * MINUTE_MS, ..whole }.compare();
    let per_restart =
        f64::from(restarted.useless) / SEEDS as f64 - f64::from(through.useless) / SEEDS as f64;
    assert!(per_restart <= 8.0, "{per_restart} more useless second sends");
    let decision = decide(&mut ResendOutcomes::new(), 0, "a", FailureKind::Answered);
    assert!(decision.resend && !decision.is_probe, "{decision:?}");
}

fn decide(
    outcomes: &mut ResendOutcomes,
    now_ms: u64,
    route: &str,
    kind: FailureKind,
) -> ResendDecision {
    outcomes.decide(now_ms, &"s".into(), &route.into(), &"i-1".into(), kind)
}

fn cause(kind: FailureKind) -> FailureCause {
    FailureCause { kind, at_outlier: false }
}

/// Guards against one kind of failure, or one route, withholding the second sends of another.
#[test]
fn outcomes_count_for_their_kind_and_route_only() {
    let mut outcomes = ResendOutcomes::new();
    for _ in 0..8 {
        outcomes.note_second(0, &"s".into(), &"a".into(), cause(FailureKind::Answered), false);
    }
    assert!(!decide(&mut outcomes, 0, "a", FailureKind::Answered).resend);
    assert!(decide(&mut outcomes, 0, "a", FailureKind::Broken).resend);
    assert!(decide(&mut outcomes, 0, "b", FailureKind::Answered).resend);
    let summaries = outcomes.summaries(0);
    assert_eq!(summaries.len(), 1, "{summaries:?}");
    assert!(!summaries[0].worthwhile && summaries[0].outcomes > 6.0, "{summaries:?}");
}

/// Without failures nothing is probed, so old outcomes must not decide about new failures.
#[test]
fn outcomes_are_forgotten_when_no_others_follow() {
    let mut outcomes = ResendOutcomes::new();
    for _ in 0..100 {
        outcomes.note_second(0, &"s".into(), &"a".into(), cause(FailureKind::Broken), false);
    }
    assert!(!decide(&mut outcomes, MINUTE_MS, "a", FailureKind::Broken).resend);
    assert!(decide(&mut outcomes, 20 * MINUTE_MS, "a", FailureKind::Broken).resend);
}

/// Guards against memory that grows with the names that a gateway has ever seen.
#[test]
fn memory_is_bounded() {
    let mut outcomes = ResendOutcomes::new();
    for number in 0..1_000_u64 {
        let name: Arc<str> = number.to_string().into();
        outcomes.note_second(number, &name, &name, cause(FailureKind::Broken), false);
        let failure = Some(FailureKind::Broken);
        outcomes.note_first(number, &"s".into(), &"a".into(), &name, failure);
    }
    assert!(outcomes.summaries(1_000).len() <= 256);
    assert_eq!(outcomes.summaries(1_000).last().map(|last| &*last.service), Some("999"));
}

/// Guards against late requests taking the tokens that requests in time need, and against a budget
/// that late requests can never use where its cap is below three tokens.
#[test]
fn the_last_tokens_are_left_to_requests_in_time() {
    let mut budget = RetryBudget::new(0.2, 40.0, 10_000);
    for now_ms in 0..40 {
        budget.note_request(now_ms);
    }
    let late = (0..40).filter(|_| budget.take_late(40, 1)).count();
    let in_time = (0..40).filter(|_| budget.take(40, 1)).count();
    assert_eq!((late, in_time), (4, 2), "40 requests earn 6 tokens");
    let mut small = RetryBudget::new(0.2, SLACK, 10_000);
    for now_ms in 0..20 {
        small.note_request(now_ms);
    }
    assert!(small.take_late(20, GATEWAYS), "full: {:?}", small.in_window());
    for now_ms in 20..24 {
        small.note_request(now_ms);
    }
    assert!(!small.take_late(24, GATEWAYS), "not full: {:?}", small.in_window());
    assert!(small.take(24, GATEWAYS));
}
