//! The time that the leader needs for the crashes of many endpoints, as many gateways report them.

use std::sync::Arc;
use std::time::Duration;

use nix::time::{ClockId, clock_gettime};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use winchvane::message::{EndpointCrash, FeatureKey, InterruptedFeature, RequestContent};
use winchvane::policy::crashes::Crashes;
use yare::parameterized;

const TICK_MS: u64 = 20;
/// The requests that a crash interrupts, each at another gateway.
const INTERRUPTED: usize = 12;
/// The parts that begin prompts, and those that follow.
const FIRST_PARTS: u64 = 3;
const SECOND_PARTS: u64 = 80;
/// A leader that does nothing else for this long is taken for lost.
const TICK_MAX: Duration = Duration::from_millis(200);
/// Callers of control give a replica up that does not answer within this time.
const ALL_MAX: Duration = Duration::from_secs(1);

/// The processor time of this thread: other processes may run meanwhile.
fn cpu_time() -> Duration {
    clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID).expect("Linux provides the clock").into()
}

fn content(number: usize) -> FeatureKey {
    FeatureKey::of_content(RequestContent {
        method: "POST",
        host: "h",
        target: "/x",
        weights: None,
        body: format!("body {number}").as_bytes(),
    })
}

/// The features of a request that a crash interrupted; `is_served` if its gateway has just served
/// others with the same parts.
fn features(rng: &mut SmallRng, number: usize, is_served: bool) -> Vec<InterruptedFeature> {
    let first = FeatureKey::of_prompt_part(rng.random_range(0..FIRST_PARTS));
    let second = FeatureKey::of_prompt_part(100 + rng.random_range(0..SECOND_PARTS));
    let ran_ms = rng.random_range(1..500);
    let mut features = Vec::new();
    for (key, served_ago_ms) in [(content(number), None), (first, Some(40)), (second, Some(400))] {
        let served_ago_ms = served_ago_ms.filter(|_| is_served);
        features.push(InterruptedFeature { key, weights: None, ran_ms, served_ago_ms });
    }
    features
}

/// Reports `crashes` of endpoints within `within_ms`, in the order of the gateways that observed
/// them if they are `resent` to a new leader; returns the longest tick and the time of all.
fn report(crashes: usize, within_ms: u64, is_served: bool, resent: bool) -> (Duration, Duration) {
    let mut rng = SmallRng::seed_from_u64(crashes as u64);
    let mut reports = Vec::new();
    for number in 0..crashes {
        let at_ms = 10_000 + number as u64 * within_ms / crashes as u64;
        for request in 0..INTERRUPTED {
            let gateway = (number * 7 + request * 5) % 74;
            let features = features(&mut rng, number * INTERRUPTED + request, is_served);
            let order = if resent { (gateway, at_ms) } else { (0, at_ms) };
            reports.push((order, at_ms, format!("e{number}"), features));
        }
    }
    reports.sort_by_key(|(order, ..)| *order);
    let until_ms = 10_000 + within_ms;
    let mut detector = Crashes::new(0, Vec::new());
    let (mut longest, mut all) = (Duration::ZERO, Duration::ZERO);
    let mut reports = reports.into_iter().peekable();
    for now_ms in (if resent { until_ms } else { 0 }..until_ms + 2_000).step_by(TICK_MS as usize) {
        let started = cpu_time();
        while let Some((_, at_ms, endpoint, features)) =
            reports.next_if(|(_, at_ms, ..)| *at_ms <= now_ms)
        {
            let (endpoint, service): (Arc<str>, Arc<str>) = (endpoint.into(), "engine".into());
            let ago_ms = (now_ms - at_ms) as u32;
            let crash = EndpointCrash { endpoint, service, ago_ms, features };
            detector.record_crash(now_ms, crash, 90);
        }
        detector.advance(now_ms);
        let _ = detector.take_decided();
        let took = cpu_time().saturating_sub(started);
        longest = longest.max(took);
        all += took;
    }
    (longest, all)
}

#[parameterized(
    as_they_happen = { 200, 40_000, true, false },
    as_they_happen_with_unserved_parts = { 200, 40_000, false, false },
    all_at_once = { 200, 2_000, true, false },
    resent_to_a_new_leader = { 200, 40_000, true, true },
    resent_with_unserved_parts = { 200, 40_000, false, true },
)]
fn crashes_of_many_endpoints_hold_the_leader_up_for_a_moment_only(
    crashes: usize,
    within_ms: u64,
    is_served: bool,
    resent: bool,
) {
    let (longest, all) = report(crashes, within_ms, is_served, resent);
    println!("{crashes} crashes: the longest tick {longest:?}, all {all:?}");
    assert!(longest <= TICK_MAX, "a tick took {longest:?}, {TICK_MAX:?} allowed");
    if resent {
        assert!(all <= ALL_MAX, "all took {all:?}, {ALL_MAX:?} allowed");
    }
}
