//! The endpoints that count as in use when one of them crashes, and the runs that count as evidence.

use std::net::SocketAddr;
use std::sync::Arc;

use winchvane::message::{EndpointCrash, FeatureKey, InterruptedFeature, RequestContent};
use winchvane::policy::crashes::{Crashes, Exposure, Used};

fn address(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 80))
}

fn service() -> Arc<str> {
    "s".into()
}

/// Guards against weighing the crash of the last endpoint as if the others had never been in use.
#[test]
fn endpoints_that_have_just_crashed_count_as_used() {
    let mut exposure = Exposure::new();
    let mut count = |now_ms, crashed, in_use: &[u8]| {
        let in_use = in_use.iter().copied().map(address);
        let used = exposure.count_used(now_ms, &service(), Some(address(crashed)), in_use);
        (used.within_period, used.at_crash)
    };
    assert_eq!(count(1_000, 1, &[1, 2, 3]), (3, 3));
    assert_eq!(count(1_100, 2, &[2, 3]), (3, 2));
    assert_eq!(count(1_200, 3, &[3]), (3, 1));
    assert_eq!(count(1_900, 1, &[1, 2]), (3, 2), "a place with a new incarnation counts once");
    assert_eq!(count(9_000, 1, &[1]), (1, 1), "the crashes were long ago");
}

#[test]
fn crashes_of_other_services_do_not_count() {
    let mut exposure = Exposure::new();
    let other: Arc<str> = "other".into();
    assert_eq!(exposure.count_used(1_000, &other, Some(address(9)), []), Used::from(1));
    assert_eq!(exposure.count_used(1_100, &service(), Some(address(1)), []), Used::from(1));
}

#[test]
fn an_endpoint_that_is_no_longer_registered_counts_itself() {
    let mut exposure = Exposure::new();
    assert_eq!(exposure.count_used(1_000, &service(), None, [address(2)]), Used::from(2));
}

fn key(body: &str) -> FeatureKey {
    let (method, host, target, weights) = ("GET", "h", "/x", None);
    FeatureKey::of_content(RequestContent { method, host, target, weights, body: body.as_bytes() })
}

/// Reports the crash of `endpoint`, seen by a gateway whose request with `body` ran for `ran_ms`.
fn report(crashes: &mut Crashes, seen_at_ms: u64, endpoint: &str, body: &str, ran_ms: u32) {
    let features =
        vec![InterruptedFeature { key: key(body), weights: None, ran_ms, served_ago_ms: None }];
    let endpoint = endpoint.into();
    let crash = EndpointCrash { endpoint, service: service(), ago_ms: 0, features };
    crashes.record_crash(seen_at_ms, crash, 3);
}

/// A port that accepts connections in the place of a crashed endpoint closes them at once.
#[test]
fn a_request_sent_after_the_crash_counts_less_than_one_that_ran() {
    let mut crashes = Crashes::default();
    report(&mut crashes, 1_000, "e1", "ran", 30);
    report(&mut crashes, 1_060, "e1", "sent after it", 30);
    let mut reversed = Crashes::default();
    report(&mut reversed, 1_060, "e1", "sent after it", 30);
    report(&mut reversed, 1_000, "e1", "ran", 30);
    for crashes in [crashes, reversed] {
        let (ran, sent_after_it) =
            (crashes.e_value(key("ran")), crashes.e_value(key("sent after it")));
        assert!(sent_after_it * 2.0 < ran, "{sent_after_it} is not much less than {ran}");
    }
}

/// Three crashes after 25 ms at a service with three endpoints are evidence enough for a prime suspect.
#[test]
fn short_runs_are_strong_evidence_at_small_services() {
    let mut crashes = Crashes::default();
    for (number, at_ms) in [1_000, 1_300, 1_600].into_iter().enumerate() {
        report(&mut crashes, at_ms, &format!("e{number}"), "x", 25);
    }
    assert!(crashes.e_value(key("x")) > 200.0);
}

/// Endpoints that crash together take what is resent from one to the next within milliseconds.
#[test]
fn a_request_that_broke_off_at_once_counts_less_than_one_that_ran() {
    let mut crashes = Crashes::default();
    report(&mut crashes, 1_000, "e1", "ran", 30);
    report(&mut crashes, 1_000, "e2", "broke off at once", 1);
    let (ran, at_once) = (crashes.e_value(key("ran")), crashes.e_value(key("broke off at once")));
    assert!(at_once * 2.0 < ran, "{at_once} is not much less than {ran}");
}
