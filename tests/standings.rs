//! The standings of requests under which endpoints ended: their effect on a gateway, and their
//! storage in control.

use std::collections::HashSet;

use winchvane::control::state::{Command, Operation, State};
use winchvane::message::{
    Change, FeatureKey, FeatureStanding, RequestContent, Standing, WeightsName,
};
use winchvane::relay::{Permission, Standings};

fn content(body: &[u8]) -> RequestContent<'_> {
    RequestContent { method: "POST", host: "h", target: "/a?b=c", weights: None, body }
}

fn key() -> FeatureKey {
    FeatureKey::of_content(content(b"body"))
}

fn told(standing: Standing) -> FeatureStanding {
    FeatureStanding { key: key(), weights: None, standing }
}

fn held(for_ms: u64) -> Standing {
    Standing::Held { for_ms, times: 0 }
}

fn on_trial(gateway: &str) -> Standing {
    Standing::OnTrial { gateway: gateway.into(), times: 0 }
}

#[test]
fn requests_are_the_same_when_all_that_endpoints_run_is_the_same() {
    let weights = WeightsName::new("base", Some("shop"));
    assert_eq!(key(), FeatureKey::of_content(content(b"body")));
    let others = [
        content(b"bodx"),
        RequestContent { method: "PUT", ..content(b"body") },
        RequestContent { host: "g", ..content(b"body") },
        RequestContent { target: "/a?b=d", ..content(b"body") },
        RequestContent { weights: Some(&weights), ..content(b"body") },
        // The same bytes, split elsewhere between target and body.
        RequestContent { target: "/a?b=cb", ..content(b"ody") },
    ];
    for other in others {
        assert_ne!(key(), FeatureKey::of_content(other), "{other:?}");
    }
}

#[test]
fn a_held_request_is_refused_until_its_time_has_passed() {
    let mut standings = Standings::new("g1".into());
    assert_eq!(standings.permission(0, key()), Permission::Unrestricted);
    standings.apply(1_000, told(held(10_000)));
    assert_eq!(standings.permission(1_000, key()), Permission::Refused { after_ms: 10_000 });
    assert_eq!(standings.permission(7_000, key()), Permission::Refused { after_ms: 4_000 });
    assert_eq!(standings.permission(10_999, key()), Permission::Refused { after_ms: 1_000 });
    assert_eq!(standings.permission(11_000, key()), Permission::AskLeader);
    standings.apply(12_000, told(Standing::Cleared));
    assert_eq!(standings.permission(12_000, key()), Permission::Unrestricted);
    assert!(standings.is_empty());
}

#[test]
fn watched_requests_are_sent_and_suspected_ones_one_at_a_time() {
    let mut standings = Standings::new("g1".into());
    standings.apply(0, told(Standing::Watched));
    assert_eq!(standings.permission(0, key()), Permission::Unrestricted);
    assert!(standings.is_watched(&key()));
    standings.apply(0, told(Standing::Suspected));
    assert_eq!(standings.permission(0, key()), Permission::AskLeader);
    standings.apply(0, told(Standing::Running { gateway: "g2".into() }));
    assert!(matches!(standings.permission(0, key()), Permission::Refused { .. }));
    assert!(!standings.take_trial(&key()), "another gateway's");
    standings.begin_wait(key());
    assert!(!standings.apply(0, told(Standing::Running { gateway: "g1".into() })));
    assert!(standings.take_trial(&key()));
    assert!(!standings.take_trial(&key()), "it was used");
    assert!(matches!(standings.permission(0, key()), Permission::Refused { .. }));
}

#[test]
fn requests_with_a_suspected_prompt_part_are_sent_once_each() {
    let part = FeatureKey::of_prompt_part(7);
    let mut standings = Standings::new("g1".into());
    let standing = Standing::Suspected;
    standings.apply(0, FeatureStanding { key: part, weights: None, standing });
    assert_eq!(standings.permission(0, part), Permission::Once);
}

#[test]
fn a_trial_is_for_one_try_of_one_gateway() {
    let mut standings = Standings::new("g1".into());
    standings.apply(0, told(on_trial("g2")));
    assert!(!standings.take_trial(&key()));
    assert!(matches!(standings.permission(0, key()), Permission::Refused { .. }));
    standings.apply(0, told(on_trial("g1")));
    assert!(standings.take_trial(&key()));
    assert!(!standings.take_trial(&key()), "the trial was used");
    assert!(matches!(standings.permission(0, key()), Permission::Refused { .. }));
    assert_eq!(
        standings.permission(2_000, key()),
        Permission::AskLeader,
        "the trial had no outcome"
    );
}

#[test]
fn a_watched_feature_that_many_requests_share_is_reported_four_times_a_second_at_most() {
    let mut standings = Standings::new("g1".into());
    assert!(!standings.note_served(0, &key()), "nobody watches it");
    standings.apply(0, told(Standing::Watched));
    let mut reports = 0;
    for now_ms in 0..1_000 {
        reports += u32::from(standings.note_served(now_ms, &key()));
    }
    assert_eq!(reports, 4);
}

/// Guards against a trial that no request uses: all other attempts are refused until it has an
/// outcome.
#[test]
fn a_trial_that_no_request_waits_for_is_returned() {
    let mut standings = Standings::new("g1".into());
    assert!(standings.apply(0, told(on_trial("g1"))), "no request waits");
    assert!(!standings.apply(0, told(on_trial("g2"))), "another gateway's trial");
    assert!(!standings.apply(0, told(held(1_000))), "not a trial");
    standings.begin_wait(key());
    standings.begin_wait(key());
    standings.end_wait(&key());
    assert!(!standings.apply(0, told(on_trial("g1"))), "one request still waits");
    assert!(!standings.has_used_trial(&key()));
    assert!(standings.take_trial(&key()));
    assert!(standings.has_used_trial(&key()));
    standings.end_wait(&key());
    assert!(standings.apply(0, told(on_trial("g1"))), "no request waits any more");
}

/// Guards against requests that wait for a trial while another gateway has it.
#[test]
fn during_another_gateways_trial_requests_are_refused_at_once() {
    let mut standings = Standings::new("g1".into());
    standings.apply(0, told(on_trial("g2")));
    for now_ms in [0, 2_000, 14_999] {
        let permission = standings.permission(now_ms, key());
        assert!(matches!(permission, Permission::Refused { .. }), "{permission:?} at {now_ms}");
    }
    assert_eq!(standings.permission(15_000, key()), Permission::AskLeader);
}

#[test]
fn what_the_leader_no_longer_tells_is_forgotten() {
    let mut standings = Standings::new("g1".into());
    standings.apply(0, told(held(10_000)));
    standings.keep_only(&HashSet::from([key()]));
    assert!(!standings.is_empty());
    standings.keep_only(&HashSet::new());
    assert!(standings.is_empty());
}

fn set(state: &mut State, index: u64, standing: Standing) -> Vec<Change> {
    let operation = Operation::SetStandings(vec![told(standing)]);
    state.apply(index, Command { now_ms: 0, operation }).1
}

#[test]
fn standings_are_replicated_until_they_are_cleared() {
    let mut state = State::new();
    let changes = set(&mut state, 1, held(10_000));
    assert!(matches!(&changes[..], [Change::Standing(_)]));
    let state_read = State::decode(&state.encode()).expect("the state decodes");
    assert_eq!(state_read.registry.standings().count(), 1);
    assert!(state_read.all_changes().iter().any(|change| matches!(change, Change::Standing(_))));
    set(&mut state, 2, Standing::Cleared);
    assert_eq!(state.registry.standings().count(), 0);
}

#[test]
fn a_snapshot_without_standings_is_read() {
    let encoded = State::new().encode();
    let (last, before) = encoded.split_last().expect("the encoding is not empty");
    assert_eq!(*last, 0, "no standings, which come last");
    let state = State::decode(before).expect("the state decodes");
    assert_eq!(state.registry.standings().count(), 0);
}
