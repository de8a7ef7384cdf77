//! Single cases of the detection of requests that crash their endpoints: what is held, suspected, tried and
//! cleared.

use std::sync::Arc;

use winchvane::message::{
    EndpointCrash, FeatureKey, InterruptedFeature, RequestContent, Standing, WeightsName,
};
use winchvane::policy::crashes::Crashes;

fn key(number: usize) -> FeatureKey {
    let body = format!("body {number}");
    let (method, host, target, weights) = ("POST", "h", "/x", None);
    FeatureKey::of_content(RequestContent { method, host, target, weights, body: body.as_bytes() })
}

/// Reports that `endpoint` crashed after the request `number` had run there for `ran_ms`.
fn report_crash(crashes: &mut Crashes, now_ms: u64, endpoint: &str, number: usize, ran_ms: u32) {
    report_earlier_crash(crashes, now_ms, 0, endpoint, number, ran_ms);
}

/// The same for a crash that the gateway observed `ago_ms` ago.
fn report_earlier_crash(
    crashes: &mut Crashes,
    now_ms: u64,
    ago_ms: u32,
    endpoint: &str,
    number: usize,
    ran_ms: u32,
) {
    let run = InterruptedFeature {
        key: key(number),
        weights: Some(adapter()),
        ran_ms,
        served_ago_ms: None,
    };
    let crash = EndpointCrash {
        endpoint: endpoint.into(),
        service: "s".into(),
        ago_ms,
        features: vec![run],
    };
    crashes.record_crash(now_ms, crash, 10);
}

fn adapter() -> WeightsName {
    WeightsName::new("base", Some("shop"))
}

/// Evaluates all reports and commits the decisions; returns the last one.
fn commit(crashes: &mut Crashes, now_ms: u64) -> Option<Standing> {
    crashes.advance(now_ms + GATHERED_MS);
    let mut last = None;
    for decided in crashes.take_decided() {
        crashes.apply_committed(now_ms, &decided);
        last = Some(decided.standing);
    }
    last
}

/// A detector with a request that is held since `HELD_AT_MS`.
fn held() -> Crashes {
    let mut crashes = Crashes::default();
    let mut last = None;
    for number in 0..6 {
        report_crash(&mut crashes, 1_000 + number * 500, &format!("e{number}"), 9, 40);
        last = commit(&mut crashes, HELD_AT_MS).or(last);
    }
    assert_eq!(last, Some(Standing::Held { for_ms: 10_000, times: 0 }));
    crashes
}

const HELD_AT_MS: u64 = 4_000;
/// An upper bound on the time for which reports of a crash are collected.
const GATHERED_MS: u64 = 1_000;

#[test]
fn a_crash_that_is_reported_repeatedly_counts_once() {
    let mut crashes = Crashes::default();
    for _ in 0..9 {
        report_crash(&mut crashes, 1_000, "e1", 9, 1);
    }
    assert_eq!(commit(&mut crashes, 1_000), None);
}

#[test]
fn a_request_with_a_long_running_copy_is_not_held() {
    let mut crashes = Crashes::default();
    for number in 0..9 {
        let (now_ms, endpoint) = (1_000 + number * 500, format!("e{number}"));
        // Two clients sent the same request: one a while ago, the other just now.
        report_crash(&mut crashes, now_ms, &endpoint, 9, 2_500);
        report_crash(&mut crashes, now_ms, &endpoint, 9, 3);
    }
    assert_eq!(commit(&mut crashes, 6_000), Some(Standing::Watched));
}

/// Reports the crash of `endpoint` with one report for each request.
fn report_crash_with(crashes: &mut Crashes, now_ms: u64, endpoint: &str, ran_ms: &[(usize, u32)]) {
    for (number, ran_ms) in ran_ms {
        report_crash(crashes, now_ms, endpoint, *number, *ran_ms);
    }
}

#[test]
fn crashes_are_evaluated_after_all_gateways_could_report() {
    let mut crashes = Crashes::default();
    for number in 0..9 {
        let (now_ms, endpoint) = (1_000 + number * 500, format!("e{number}"));
        report_crash(&mut crashes, now_ms, &endpoint, 9, 3);
        crashes.advance(now_ms + 20);
        // Another gateway's attempt with the same content had run there for long.
        report_crash(&mut crashes, now_ms + 60, &endpoint, 9, 2_500);
        crashes.advance(now_ms + 400);
        for decided in crashes.take_decided() {
            assert_eq!(decided.standing, Standing::Watched);
            crashes.apply_committed(now_ms, &decided);
        }
    }
}

#[test]
fn of_two_requests_interrupted_by_each_crash_the_one_that_started_later_is_held() {
    let mut crashes = Crashes::default();
    let mut held = Vec::new();
    for number in 0..9 {
        let (now_ms, endpoint) = (1_000 + number * 500, format!("e{number}"));
        report_crash_with(&mut crashes, now_ms, &endpoint, &[(8, 45), (9, 30)]);
        crashes.advance(now_ms + 400);
        for decided in crashes.take_decided() {
            if decided.standing.is_refused() {
                held.push(decided.key);
            }
            crashes.apply_committed(now_ms, &decided);
        }
    }
    assert_eq!(held, [key(9)]);
}

/// Guards against holding an ordinary request that was interrupted three times at one gateway
/// within a second while other gateways served it.
#[yare::parameterized(
    served_at_another_gateway = { Some(1_150), false },
    served_by_nobody = { None, true },
)]
fn gateways_can_report_what_they_served_before_a_prime_suspect_is_held(
    served_at_ms: Option<u64>,
    is_held: bool,
) {
    let mut crashes = Crashes::default();
    crashes.note_served(key(1), 900);
    for number in 0..3 {
        report_crash(&mut crashes, 1_000 + number * 100, &format!("e{number}"), 9, 40);
    }
    let mut standings = Vec::new();
    for now_ms in [1_400, 1_450, 1_550] {
        crashes.advance(now_ms);
        for decided in crashes.take_decided() {
            crashes.apply_committed(now_ms, &decided);
            standings.push(decided.standing);
        }
        if let (1_400, Some(at_ms)) = (now_ms, served_at_ms) {
            crashes.note_served(key(9), at_ms);
        }
    }
    assert_eq!(standings[0], Standing::Suspected);
    let was_held = standings.iter().any(Standing::is_refused);
    assert_eq!(was_held, is_held, "{standings:?}");
}

#[test]
fn crashes_of_a_held_request_count_against_the_others_once_it_is_served() {
    let mut crashes = Crashes::default();
    for number in 0..5 {
        let (now_ms, endpoint) = (1_000 + number * 500, format!("e{number}"));
        report_crash_with(&mut crashes, now_ms, &endpoint, &[(8, 30), (9, 45)]);
        commit(&mut crashes, now_ms);
    }
    crashes.served(key(8));
    crashes.advance(9_000);
    let mut held = Vec::new();
    for decided in crashes.take_decided() {
        if decided.standing.is_refused() {
            held.push(decided.key);
        }
    }
    assert_eq!(held, [key(9)]);
}

#[test]
fn crashes_of_a_held_request_are_no_evidence_against_the_others() {
    let mut crashes = held();
    for number in 0..6 {
        let endpoint = format!("f{number}");
        report_crash(&mut crashes, 5_000 + number * 500, &endpoint, 9, 40);
        report_crash(&mut crashes, 5_000 + number * 500, &endpoint, 8, 40);
    }
    assert_eq!(commit(&mut crashes, 8_000), None);
}

#[test]
fn a_served_request_starts_without_crashes() {
    let mut crashes = Crashes::default();
    report_crash(&mut crashes, 1_000, "e1", 9, 40);
    report_crash(&mut crashes, 1_500, "e2", 9, 40);
    assert!(commit(&mut crashes, 1_500).is_some());
    crashes.served(key(9));
    assert_eq!(commit(&mut crashes, 1_600), Some(Standing::Cleared));
    report_crash(&mut crashes, 2_000, "e3", 9, 40);
    assert_eq!(commit(&mut crashes, 2_000), None);
}

#[test]
fn one_gateway_at_a_time_gets_a_trial_after_the_time_is_over() {
    let mut crashes = held();
    let (one, other): (Arc<str>, Arc<str>) = ("g1".into(), "g2".into());
    crashes.grant_trial(HELD_AT_MS + 9_999, key(9), &one);
    assert_eq!(commit(&mut crashes, 13_999), None, "too early");
    crashes.grant_trial(14_000, key(9), &one);
    crashes.grant_trial(14_000, key(9), &other);
    let on_trial = Standing::OnTrial { gateway: one, times: 0 };
    assert_eq!(commit(&mut crashes, 14_000), Some(on_trial));
    crashes.grant_trial(15_000, key(9), &other);
    assert_eq!(commit(&mut crashes, 15_000), None, "another gateway is on trial");
    report_crash(&mut crashes, 16_000, "e9", 9, 40);
    let again = Standing::Held { for_ms: 60_000, times: 1 };
    assert_eq!(commit(&mut crashes, 16_000), Some(again), "another endpoint crashed");
}

#[test]
fn a_coincidental_crash_during_a_trial_does_not_lengthen_the_time() {
    let mut crashes = held();
    crashes.grant_trial(14_000, key(9), &"g1".into());
    assert!(commit(&mut crashes, 14_000).is_some());
    report_crash(&mut crashes, 24_000, "e9", 9, 10_000);
    let again = Standing::Held { for_ms: 10_000, times: 0 };
    assert_eq!(commit(&mut crashes, 24_000), Some(again));
}

#[test]
fn a_trial_without_an_outcome_is_followed_by_another() {
    let mut crashes = held();
    let (one, other): (Arc<str>, Arc<str>) = ("g1".into(), "g2".into());
    crashes.grant_trial(14_000, key(9), &one);
    assert!(commit(&mut crashes, 14_000).is_some());
    crashes.grant_trial(29_000, key(9), &other);
    let on_trial = Standing::OnTrial { gateway: other, times: 0 };
    assert_eq!(commit(&mut crashes, 29_000), Some(on_trial));
    crashes.served(key(9));
    assert_eq!(commit(&mut crashes, 29_100), Some(Standing::Cleared));
}

/// Guards against refusing a request for as long as its lost trial could have taken.
#[test]
fn a_returned_trial_is_given_again_after_a_second() {
    let mut crashes = held();
    let (one, other): (Arc<str>, Arc<str>) = ("g1".into(), "g2".into());
    crashes.grant_trial(14_000, key(9), &one);
    assert!(commit(&mut crashes, 14_000).is_some());
    crashes.return_trial(key(9), &other);
    assert_eq!(commit(&mut crashes, 14_100), None, "another gateway has the trial");
    crashes.return_trial(key(9), &one);
    let again = Standing::Held { for_ms: 1_000, times: 0 };
    assert_eq!(commit(&mut crashes, 14_100), Some(again));
    crashes.grant_trial(15_100, key(9), &other);
    assert!(matches!(commit(&mut crashes, 15_100), Some(Standing::OnTrial { .. })));
}

/// Guards against holding a request for a minute because its trial was interrupted by a crash that
/// a held request caused.
#[test]
fn a_crash_that_another_request_explains_is_no_outcome_of_a_trial() {
    let mut crashes = held();
    let mut last = None;
    for number in 0..6 {
        report_crash(&mut crashes, 5_000 + number * 500, &format!("f{number}"), 8, 40);
        last = commit(&mut crashes, 8_000).or(last);
    }
    assert_eq!(
        last,
        Some(Standing::Held { for_ms: 10_000, times: 0 }),
        "the second request is held too"
    );
    crashes.grant_trial(18_100, key(9), &"g1".into());
    assert!(commit(&mut crashes, 18_100).is_some());
    // The request on trial is reported first.
    report_crash_with(&mut crashes, 18_200, "g", &[(9, 30), (8, 40)]);
    let again = Standing::Held { for_ms: 10_000, times: 0 };
    assert_eq!(commit(&mut crashes, 18_200), Some(again));
}

#[test]
fn a_crash_before_a_trial_is_not_its_outcome() {
    let mut crashes = held();
    crashes.grant_trial(14_000, key(9), &"g1".into());
    assert!(commit(&mut crashes, 14_000).is_some());
    let run = InterruptedFeature { key: key(9), weights: None, ran_ms: 40, served_ago_ms: None };
    let (endpoint, service) = ("e-early".into(), "s".into());
    let early = EndpointCrash { endpoint, service, ago_ms: 3_000, features: vec![run] };
    crashes.record_crash(14_500, early, 10);
    assert_eq!(commit(&mut crashes, 14_500), None);
}

#[test]
fn a_newer_version_of_its_weights_shortens_the_time_once() {
    let mut crashes = held();
    crashes.note_weights_updated(HELD_AT_MS + 1_000, &adapter());
    let shorter = Standing::Held { for_ms: 4_000, times: 0 };
    assert_eq!(commit(&mut crashes, 5_000), Some(shorter));
    crashes.note_weights_updated(6_000, &adapter());
    assert_eq!(commit(&mut crashes, 6_000), None);
}

#[test]
fn the_next_leader_knows_held_requests() {
    let mut crashes = Crashes::default();
    let mut standings = Vec::new();
    for number in 0..6 {
        report_crash(&mut crashes, 1_000 + number * 500, &format!("e{number}"), 9, 40);
        crashes.advance(2_000 + number * 500);
        for decided in crashes.take_decided() {
            crashes.apply_committed(4_000, &decided);
            standings = vec![decided];
        }
    }
    let mut next = Crashes::new(100, standings);
    next.grant_trial(10_099, key(9), &"g1".into());
    assert_eq!(commit(&mut next, 10_099), None);
    next.grant_trial(10_100, key(9), &"g1".into());
    assert!(matches!(commit(&mut next, 10_100), Some(Standing::OnTrial { .. })));
}

/// A request that is suspected after two crashes.
fn suspected() -> Crashes {
    let mut crashes = Crashes::default();
    for (number, at_ms) in [1_000, 2_000].into_iter().enumerate() {
        report_crash(&mut crashes, at_ms, &format!("e{number}"), 1, 30);
        commit(&mut crashes, at_ms + 500);
    }
    crashes
}

#[test]
fn a_suspected_request_runs_at_one_gateway_at_a_time() {
    let mut crashes = suspected();
    let running = |gateway: &str| Some(Standing::Running { gateway: gateway.into() });
    crashes.grant_trial(3_000, key(1), &"g1".into());
    assert_eq!(commit(&mut crashes, 3_000), running("g1"));
    crashes.grant_trial(3_100, key(1), &"g2".into());
    assert_eq!(commit(&mut crashes, 3_100), None, "it runs at the other gateway");
    crashes.return_trial(key(1), &"g2".into());
    assert_eq!(commit(&mut crashes, 3_200), None, "it is not the trial of this gateway");
    crashes.return_trial(key(1), &"g1".into());
    assert_eq!(commit(&mut crashes, 3_300), Some(Standing::Suspected));
    crashes.grant_trial(3_400, key(1), &"g2".into());
    assert_eq!(commit(&mut crashes, 3_400), running("g2"));
    crashes.grant_trial(18_399, key(1), &"g1".into());
    assert_eq!(commit(&mut crashes, 18_399), None);
    crashes.grant_trial(18_400, key(1), &"g1".into());
    assert_eq!(commit(&mut crashes, 18_400), running("g1"), "the other gateway was lost");
    crashes.served(key(1));
    assert_eq!(commit(&mut crashes, 18_500), Some(Standing::Cleared));
}

#[test]
fn a_crash_ends_the_run_of_a_suspected_request() {
    let mut crashes = suspected();
    crashes.grant_trial(3_000, key(1), &"g1".into());
    commit(&mut crashes, 3_000);
    // A copy that was sent before, and ran for so long that it is hardly evidence.
    report_earlier_crash(&mut crashes, 3_100, 200, "e8", 1, 5_000);
    assert_eq!(commit(&mut crashes, 3_500), None);
    report_crash(&mut crashes, 4_000, "e9", 1, 5_000);
    assert_eq!(commit(&mut crashes, 4_500), Some(Standing::Suspected));
}

/// Guards against refusing a suspected request until its trial times out: the gateway had not heard that the
/// endpoint had crashed, and the crash had been evaluated.
#[yare::parameterized(
    of_the_same_request = { 1 },
    of_another_request = { 2 },
)]
fn a_trial_that_was_sent_to_a_crashed_endpoint_is_followed_by_another(interrupted: usize) {
    let mut crashes = suspected();
    report_crash(&mut crashes, 2_600, "e8", interrupted, 5_000);
    commit(&mut crashes, 2_900);
    crashes.grant_trial(3_000, key(1), &"g1".into());
    assert!(matches!(commit(&mut crashes, 3_000), Some(Standing::Running { .. })));
    report_crash(&mut crashes, 3_050, "e8", 1, 2);
    assert_eq!(commit(&mut crashes, 3_100), Some(Standing::Suspected));
}
