//! Which feature is held of several that crashes interrupt together.

use std::sync::Arc;

use winchvane::message::{EndpointCrash, FeatureKey, InterruptedFeature, RequestContent, Standing};
use winchvane::policy::crashes::Crashes;

const PERIOD_MS: u64 = 250;
const RAN_MS: u32 = 40;

fn part(id: u64) -> FeatureKey {
    FeatureKey::of_prompt_part(id)
}

fn content(number: u64) -> FeatureKey {
    let body = number.to_le_bytes();
    let (method, host, target, weights) = ("POST", "h", "/x", None);
    FeatureKey::of_content(RequestContent { method, host, target, weights, body: &body })
}

/// A feature that no gateway has served.
fn unserved(key: FeatureKey) -> InterruptedFeature {
    InterruptedFeature { key, weights: None, ran_ms: RAN_MS, served_ago_ms: None }
}

fn served(key: FeatureKey, ago_ms: u32) -> InterruptedFeature {
    InterruptedFeature { served_ago_ms: Some(ago_ms), ..unserved(key) }
}

/// A series of crashes, one each `PERIOD_MS`, and the features that are held.
#[derive(Default)]
struct Series {
    crashes: Crashes,
    number: u64,
    held: Vec<FeatureKey>,
}

impl Series {
    fn crash(&mut self, features: Vec<InterruptedFeature>) {
        self.number += 1;
        let now_ms = 10_000 + self.number * PERIOD_MS;
        let endpoint: Arc<str> = format!("e{}", self.number).into();
        let crash = EndpointCrash { endpoint, service: "s".into(), ago_ms: 0, features };
        self.crashes.record_crash(now_ms, crash, 10);
        for now_ms in [now_ms + 160, now_ms + 240] {
            self.crashes.advance(now_ms);
            for decided in self.crashes.take_decided() {
                if matches!(decided.standing, Standing::Held { .. }) {
                    self.held.push(decided.key);
                }
                self.crashes.apply_committed(now_ms, &decided);
            }
        }
    }
}

#[test]
fn a_part_that_all_requests_share_is_not_held_for_another_parts_crashes() {
    let mut series = Series::default();
    for number in 0..8 {
        // No request has been served since the series began.
        let ago_ms = (1 + number * PERIOD_MS) as u32;
        let own = unserved(content(number));
        series.crash(vec![served(part(1), ago_ms), unserved(part(0xdead)), own]);
    }
    assert_eq!(series.held, [part(0xdead)]);
}

#[test]
fn two_parts_that_crash_endpoints_by_turns_are_held_and_the_part_before_them_is_not() {
    let mut series = Series::default();
    for number in 0..24 {
        let ago_ms = (1 + number * PERIOD_MS) as u32;
        let crashing = unserved(part(0xdead + number % 2));
        series.crash(vec![served(part(1), ago_ms), crashing, unserved(content(number))]);
    }
    series.held.sort();
    assert_eq!(series.held, [part(0xdead), part(0xdead + 1)]);
}

#[test]
fn of_two_parts_that_are_always_together_one_is_held() {
    let mut series = Series::default();
    for number in 0..8 {
        let parts = [unserved(part(7)), unserved(part(8)), unserved(content(number))];
        series.crash(parts.to_vec());
    }
    assert_eq!(series.held.len(), 1, "{:?}", series.held);
}

#[test]
fn the_part_with_the_most_crashes_is_held_of_those_before_it() {
    let mut series = Series::default();
    for number in 0..8 {
        // Every other request has a part of its own beside the one that crashes endpoints.
        let mut features = vec![unserved(part(0xdead)), unserved(content(number))];
        if number % 2 == 0 {
            features.push(unserved(part(3)));
        }
        series.crash(features);
    }
    assert_eq!(series.held, [part(0xdead)]);
}

#[test]
fn a_content_is_held_rather_than_a_part_that_only_it_has() {
    let mut series = Series::default();
    for _ in 0..8 {
        series.crash(vec![unserved(content(1)), unserved(part(2))]);
    }
    assert_eq!(series.held, [content(1)]);
}

#[test]
fn a_part_is_named_by_its_id_in_logs() {
    assert_eq!(part(0x5c1e_07a2).to_string(), "part:5c1e07a2");
    assert_eq!(part(0x5c1e_07a2).prompt_part(), Some(0x5c1e_07a2));
    assert_eq!(content(1).prompt_part(), None);
}
