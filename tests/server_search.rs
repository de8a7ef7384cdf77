//! The choice of the replica that a gateway tries next, and the move to one that serves its zone.

use std::net::SocketAddr;

use winchvane::following::ServerSearch;
use winchvane::message::{Group, SessionServer};

fn address(last: u8) -> SocketAddr {
    ([127, 0, 0, last], 7_380).into()
}

fn search() -> ServerSearch {
    let mut search = ServerSearch::new("a".into(), vec![address(1), address(2)]);
    let server = |zone: &str, last| SessionServer { zone: zone.into(), address: address(last) };
    search.set_group(Group {
        replicas: vec![address(1), address(2), address(3)],
        servers: vec![server("b", 1), server("a", 3)],
        ..Group::default()
    });
    search
}

#[test]
fn a_gateway_prefers_the_server_of_its_zone() {
    let mut search = search();
    assert_eq!(search.nearer_replica(0, address(1)), Some(address(3)));
    assert_eq!(search.nearer_replica(0, address(3)), None);
    assert_eq!(search.next(0), address(3));
}

#[test]
fn a_server_that_failed_is_not_preferred_for_a_time_that_doubles() {
    let mut search = search();
    assert!(search.record_failure(1_000, address(3)), "the first failure is logged");
    assert!(!search.record_failure(1_300, address(3)));
    assert_eq!(search.nearer_replica(2_000, address(1)), None);
    assert_eq!(search.nearer_replica(3_500, address(1)), None, "it failed twice in a row");
    assert_eq!(search.nearer_replica(5_300, address(1)), Some(address(3)));
    search.serves(address(3));
    search.record_failure(6_000, address(3));
    assert_eq!(search.nearer_replica(8_000, address(1)), Some(address(3)), "it served meanwhile");
}

#[test]
fn attempts_before_the_group_is_known_cause_no_backoff() {
    let mut search = ServerSearch::new("a".into(), vec![address(3)]);
    for attempt in 0..20 {
        search.record_failure(attempt * 100, address(3));
    }
    let servers = vec![SessionServer { zone: "a".into(), address: address(3) }];
    search.set_group(Group { servers, ..Group::default() });
    search.found();
    assert_eq!(search.nearer_replica(2_100, address(1)), Some(address(3)));
}

#[test]
fn a_server_that_the_leader_lists_again_is_preferred_at_once() {
    let mut search = search();
    search.record_failure(0, address(3));
    assert!(search.has_failed_server(1_000));
    let group = |servers| Group { servers, ..Group::default() };
    let server = SessionServer { zone: "a".into(), address: address(3) };
    search.set_group(group(vec![server.clone()]));
    assert_eq!(search.nearer_replica(1_000, address(1)), None, "it was listed all the time");
    search.set_group(group(Vec::new()));
    search.set_group(group(vec![server]));
    assert_eq!(search.nearer_replica(1_000, address(1)), Some(address(3)));
    assert!(!search.has_failed_server(1_000));
}

#[test]
fn a_server_that_knows_no_leader_is_not_tried_again_and_again() {
    let mut search = search();
    search.found();
    assert_eq!(search.next(0), address(3));
    search.record_redirect(0, address(3), None);
    let tried = [search.next(20), search.next(40), search.next(60)];
    assert!(tried.contains(&address(1)) && tried.contains(&address(2)), "{tried:?}");
    search.record_redirect(80, address(2), Some(address(1)));
    assert_eq!(search.next(100), address(1), "the redirect names it");
}

#[test]
fn all_known_replicas_are_tried_in_turn_while_none_is_found() {
    let mut search = search();
    search.record_failure(0, address(3));
    let mut tried = std::collections::BTreeSet::new();
    for _ in 0..5 {
        tried.insert(search.next(10));
    }
    assert_eq!(tried.len(), 3, "{tried:?}");
}

/// Guards against requests refused for 2.5 s after the leader hangs, at the gateways that it served
/// itself: a gateway gives the leader up after 0.9 s, the next replica in turn is the same one,
/// which still accepts connections without replying, and the gateway waits for another 0.9 s. In
/// one run, ten of eleven gateways lost control at 3.4 s and found the next leader, elected at 3.3
/// s, only at 4.4 s in their second attempt.
#[test]
fn a_replica_that_has_just_failed_is_tried_after_all_others() {
    for failing in 1..=3 {
        let mut search = search();
        let failing = address(failing);
        search.record_failure(0, failing);
        let mut tried = std::collections::BTreeSet::new();
        for _ in 0..2 {
            let next = search.next(100);
            assert_ne!(next, failing);
            search.record_failure(200, next);
            tried.insert(next);
        }
        assert_eq!(tried.len(), 2, "{tried:?}");
        assert!((0..3).any(|_| search.next(300) == failing), "the failed replica is tried again");
    }
}

#[test]
fn after_all_replicas_failed_all_are_tried_again() {
    let mut search = search();
    for number in 1..=3 {
        search.record_failure(0, address(number));
    }
    let mut tried = std::collections::BTreeSet::new();
    for _ in 0..8 {
        tried.insert(search.next(100));
    }
    assert_eq!(tried.len(), 3);
}
