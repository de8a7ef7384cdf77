//! Tests of what a distributor relays to its gateways, when it confirms renewals, and where it
//! redirects gateways.

mod common;
#[path = "common/routes.rs"]
mod routes;

use std::sync::Arc;

use common::engines::configuration;
use common::zone::{
    BATCHED_MS, UNLINKED_MAX_MS, Zone, address, endpoint, is_renewed, placed, running, weights,
};
use tokio::sync::mpsc;
use winchvane::message::{
    AdapterNeed, Change, EndpointCrash, EngineOrder, FeatureKey, FeatureStanding, FollowedRouting,
    Forwarded, Group, Heartbeat, Holding, NewestVersion, OrderKind, OrderOutcome, OrderResult,
    RequestContent, SessionDown, SessionServer, SessionUp, Standing, WeightsUse,
};

#[test]
fn gateway_gets_the_full_state_after_majority_confirmation() {
    let mut zone = Zone::linked();
    zone.open(1, "g1", "a");
    zone.advance(BATCHED_MS);
    assert!(zone.received(1).is_empty(), "the leader may have been replaced");
    zone.confirm();
    let received = zone.received(1);
    let [SessionDown::Welcome { .. }, changes, all_placed, SessionDown::Group(_)] = &received[..]
    else {
        panic!("{received:?}");
    };
    let SessionDown::Changes { reset: true, complete: true, changes, .. } = changes else {
        panic!("{changes:?}");
    };
    assert_eq!(changes.len(), 4, "{changes:?}");
    let SessionDown::Placed { reset: true, placed } = all_placed else { panic!("{all_placed:?}") };
    assert_eq!(placed.len(), 1);
}

#[test]
fn renewal_is_answered_only_after_a_later_one_is_confirmed() {
    let mut zone = Zone::linked();
    zone.welcome(1, "g1");
    zone.advance(200);
    let sent_before = zone.sent_to_leader();
    zone.distributor.handle_session_message(
        0,
        1,
        SessionUp::Renew { sent_at_ms: 77, summaries: Vec::new() },
    );
    for up in sent_before {
        let SessionUp::RenewFor { number, .. } = up else { continue };
        zone.down(SessionDown::RenewedFor { number });
    }
    assert!(!is_renewed(&zone.received(1), 77), "the confirmed renewal was sent earlier");
    zone.advance(BATCHED_MS);
    assert_eq!(zone.confirm(), [Arc::from("g1")]);
    assert!(is_renewed(&zone.received(1), 77));
}

#[test]
fn confirmations_of_a_former_leader_are_ignored() {
    let mut zone = Zone::linked();
    zone.welcome(1, "g1");
    zone.distributor.handle_session_message(
        0,
        1,
        SessionUp::Renew { sent_at_ms: 78, summaries: Vec::new() },
    );
    zone.advance(BATCHED_MS);
    let before = zone.sent_to_leader();
    zone.distributor.unlinked(zone.now_ms);
    zone.link();
    for up in before {
        let SessionUp::RenewFor { number, .. } = up else { continue };
        zone.down(SessionDown::RenewedFor { number });
    }
    assert!(!is_renewed(&zone.received(1), 78));
}

#[test]
fn gateways_stay_during_a_leader_change_and_are_welcomed_again() {
    let mut zone = Zone::linked();
    zone.welcome(1, "g1");
    zone.distributor.unlinked(zone.now_ms);
    zone.advance(UNLINKED_MAX_MS - 100);
    zone.distributor.handle_session_message(
        0,
        1,
        SessionUp::Renew { sent_at_ms: 79, summaries: Vec::new() },
    );
    assert!(zone.received(1).is_empty(), "there is no leader");
    zone.link();
    zone.advance(BATCHED_MS);
    zone.confirm();
    let received = zone.received(1);
    assert!(matches!(received.first(), Some(SessionDown::Welcome { .. })), "{received:?}");
}

#[test]
fn gateways_get_only_the_differences_after_a_leader_change() {
    let mut zone = Zone::linked();
    zone.welcome(1, "g1");
    zone.distributor.unlinked(zone.now_ms);
    let (up, link) = mpsc::channel(1_000);
    zone.link = link;
    zone.distributor.linked(zone.now_ms, up);
    let changes = vec![
        Change::Routing(Arc::new(configuration(4))),
        Change::Registered(endpoint(2)),
        Change::Registered(endpoint(3)),
        Change::Version(NewestVersion { name: weights("a1"), version: 4 }),
    ];
    zone.down(SessionDown::Changes { index: 9, reset: true, complete: true, changes });
    let holds = vec![placed("e2", "a7", Holding::Ready(1))];
    zone.down(SessionDown::Placed { reset: true, placed: holds.clone() });
    let received = zone.received(1);
    let [SessionDown::Welcome { .. }, changes, moved] = &received[..] else {
        panic!("{received:?}")
    };
    let SessionDown::Changes { reset: false, complete: true, changes, .. } = changes else {
        panic!("{changes:?}");
    };
    let expected = ["Version", "Registered", "Deregistered"];
    let kinds: Vec<String> = changes.iter().map(|change| format!("{change:?}")).collect();
    assert_eq!(kinds.len(), expected.len(), "{kinds:?}");
    for (kind, expected) in kinds.iter().zip(expected) {
        assert!(kind.starts_with(expected), "{kinds:?}");
    }
    let SessionDown::Placed { reset: false, placed: moved } = moved else { panic!("{moved:?}") };
    assert_eq!(*moved, [holds[0].clone(), placed("e1", "a1", Holding::Gone)]);
}

#[test]
fn gateways_are_redirected_when_the_link_stays_lost() {
    let mut zone = Zone::linked();
    zone.welcome(1, "g1");
    zone.distributor.unlinked(zone.now_ms);
    zone.advance(UNLINKED_MAX_MS + 20);
    let received = zone.received(1);
    assert!(matches!(received[..], [SessionDown::NotLeader { leader: None }]), "{received:?}");
    zone.open(2, "g2", "a");
    let received = zone.received(2);
    assert!(matches!(received[..], [SessionDown::NotLeader { leader: Some(_) }]), "{received:?}");
}

#[test]
fn gateways_of_other_zones_are_redirected_to_their_own_server() {
    let mut zone = Zone::linked();
    let servers = vec![SessionServer { zone: "b".into(), address: address(2) }];
    zone.down(SessionDown::Group(Group { servers, ..Group::default() }));
    zone.open(1, "g1", "b");
    zone.open(2, "g2", "c");
    let named = |received: Vec<SessionDown>| match received[..] {
        [SessionDown::NotLeader { leader }] => leader,
        _ => panic!("{received:?}"),
    };
    assert_eq!(named(zone.received(1)), Some(address(2)));
    assert_eq!(
        named(zone.received(2)),
        Some(address(1)),
        "the leader serves zones without a distributor"
    );
}

#[test]
fn changes_and_placements_are_relayed_immediately() {
    let mut zone = Zone::linked();
    zone.welcome(1, "g1");
    let changes = vec![Change::Deregistered("e2".into())];
    zone.down(SessionDown::Changes { index: 6, reset: false, complete: true, changes });
    let moved = vec![placed("e1", "a1", Holding::Gone), placed("e1", "a2", Holding::Coming)];
    zone.down(SessionDown::Placed { reset: false, placed: moved.clone() });
    let received = zone.received(1);
    let [SessionDown::Changes { reset: false, .. }, SessionDown::Placed { reset: false, placed }] =
        &received[..]
    else {
        panic!("{received:?}");
    };
    assert_eq!(*placed, moved);
    // A gateway that connects later gets the resulting state.
    zone.open(2, "g2", "a");
    zone.advance(BATCHED_MS);
    zone.confirm();
    let received = zone.received(2);
    let SessionDown::Changes { changes, .. } = &received[1] else { panic!("{received:?}") };
    assert_eq!(changes.len(), 3, "one endpoint was deregistered: {changes:?}");
    let SessionDown::Placed { placed, .. } = &received[2] else { panic!("{received:?}") };
    assert_eq!(placed.len(), 1);
    assert_eq!(placed[0].name, weights("a2"));
}

/// Guards against a change of one route that is passed on as the whole configuration.
#[test]
fn a_change_of_the_configuration_is_relayed_as_what_differs() {
    let mut zone = Zone::linked();
    let relay = |zone: &mut Zone, version, changed| {
        let timeout_ms = |number| if number == changed { 2_000 } else { 1_000 };
        let settings = (0..500).map(|number| (number, timeout_ms(number)));
        let next = Arc::new(routes::configuration(version, settings));
        let (index, reset) = (version, false);
        let changes = vec![Change::Routing(next.clone())];
        zone.down(SessionDown::Changes { index, reset, complete: false, changes });
        zone.down(SessionDown::Changes { index, reset, complete: true, changes: Vec::new() });
        next
    };
    relay(&mut zone, 5, 0);
    zone.open(1, "g1", "a");
    zone.advance(BATCHED_MS);
    zone.confirm();
    let mut routing = FollowedRouting::new();
    for down in zone.received(1) {
        let SessionDown::Changes { mut changes, .. } = down else { continue };
        routing.resolve(&mut changes).expect("a new gateway gets the whole configuration");
    }
    for version in 6..20 {
        let next = relay(&mut zone, version, version);
        let received = zone.received(1);
        let SessionDown::Changes { changes, .. } = &received[0] else { panic!("{received:?}") };
        let mut changes = changes.clone();
        assert!(matches!(changes[..], [Change::RoutingUpdate(_)]), "{changes:?}");
        routing.resolve(&mut changes).expect("it fits");
        let [Change::Routing(known)] = &changes[..] else { panic!("{changes:?}") };
        assert_eq!(*known, next);
    }
}

#[test]
fn order_reaches_its_holder_or_is_reported_as_not_sent() {
    let mut zone = Zone::linked();
    zone.welcome(1, "g1");
    zone.welcome(2, "g2");
    zone.sent_to_leader();
    let order = |number, holder: &str| EngineOrder {
        number,
        endpoint: "e1".into(),
        endpoint_name: "e1".into(),
        address: endpoint(1).address,
        kind: OrderKind::Report,
        expected_sequence: None,
        holder: holder.into(),
        token: 1,
    };
    zone.down(SessionDown::Order(order(7, "g2")));
    assert!(zone.received(1).is_empty());
    assert!(matches!(zone.received(2)[..], [SessionDown::Order(_)]));
    zone.down(SessionDown::Order(order(8, "g3")));
    let sent = zone.sent_to_leader();
    let [SessionUp::Forwarded(forwarded)] = &sent[..] else { panic!("{sent:?}") };
    let [Forwarded { up: SessionUp::Ordered(result), .. }] = &forwarded[..] else {
        panic!("{forwarded:?}");
    };
    assert_eq!(result.number, 8);
    assert!(matches!(result.outcome, OrderOutcome::NotSent));
}

#[test]
fn needs_and_outcomes_are_forwarded_at_once_with_the_gateway_name() {
    let mut zone = Zone::linked();
    zone.welcome(1, "g1");
    zone.sent_to_leader();
    let need = AdapterNeed {
        service: "quotes".into(),
        weights: weights("a9"),
        requests: 1,
        more: false,
        software_version: None,
    };
    zone.distributor.handle_session_message(0, 1, SessionUp::Needs(vec![need]));
    let result = OrderResult {
        number: 3,
        endpoint: "e1".into(),
        kind: OrderKind::Report,
        outcome: OrderOutcome::Refused,
    };
    zone.distributor.handle_session_message(0, 1, SessionUp::Ordered(result));
    let mut kinds = Vec::new();
    for up in zone.sent_to_leader() {
        let SessionUp::Forwarded(forwarded) = up else { panic!("{up:?}") };
        for Forwarded { gateway, up } in forwarded {
            assert_eq!(&*gateway, "g1");
            kinds.push(up.kind());
        }
    }
    assert_eq!(kinds, ["session_needs", "session_ordered"]);
}

#[test]
fn needs_are_kept_for_the_next_leader() {
    let mut zone = Zone::linked();
    zone.welcome(1, "g1");
    zone.distributor.unlinked(zone.now_ms);
    let need = AdapterNeed {
        service: "quotes".into(),
        weights: weights("a9"),
        requests: 1,
        more: false,
        software_version: None,
    };
    zone.distributor.handle_session_message(0, 1, SessionUp::Needs(vec![need]));
    zone.advance(200);
    zone.link();
    zone.advance(200);
    let sent = zone.sent_to_leader();
    let is_forwarded = sent.iter().any(|up| match up {
        SessionUp::Forwarded(forwarded) => {
            forwarded.iter().any(|sent| matches!(sent.up, SessionUp::Needs(_)))
        }
        _ => false,
    });
    assert!(is_forwarded, "{sent:?}");
}

#[test]
fn loads_are_summed_for_the_leader_and_exclude_the_receiving_gateways_own() {
    let mut zone = Zone::linked();
    zone.welcome(1, "g1");
    zone.welcome(2, "g2");
    zone.advance(200);
    zone.sent_to_leader();
    let traffic = |loads| SessionUp::Traffic { loads, used: Vec::new(), failing: Vec::new() };
    zone.distributor.handle_session_message(0, 1, traffic(vec![running("e1", 3)]));
    zone.distributor.handle_session_message(0, 2, traffic(vec![running("e1", 4)]));
    zone.down(SessionDown::Loads(vec![running("e1", 10), running("e2", 2)]));
    zone.advance(200);
    let mut summed = Vec::new();
    for up in zone.sent_to_leader() {
        if let SessionUp::Traffic { loads, .. } = up {
            summed.extend(loads);
        }
    }
    assert_eq!(summed, [running("e1", 7)]);
    let received = zone.received(1);
    let Some(SessionDown::Loads(loads)) = received.last() else { panic!("{received:?}") };
    assert_eq!(*loads, [running("e1", 14), running("e2", 2)]);
    // A closed session no longer counts.
    zone.distributor.close(2);
    zone.advance(200);
    let sent = zone.sent_to_leader();
    let summed = sent.iter().find_map(|up| match up {
        SessionUp::Traffic { loads, .. } if !loads.is_empty() => Some(loads.clone()),
        _ => None,
    });
    assert_eq!(summed, Some(vec![running("e1", 3)]));
}

#[test]
fn uses_are_batched() {
    let mut zone = Zone::linked();
    zone.welcome(1, "g1");
    zone.welcome(2, "g2");
    zone.advance(200);
    zone.sent_to_leader();
    for id in [1, 2, 1] {
        let used = vec![WeightsUse {
            endpoint: "e1".into(),
            name: weights("a1"),
            requests: 1,
            reading_ms: 5,
            under_way: 1,
        }];
        let up = SessionUp::Traffic { loads: Vec::new(), used, failing: Vec::new() };
        zone.distributor.handle_session_message(0, id, up);
    }
    assert!(zone.sent_to_leader().is_empty());
    zone.advance(200);
    let sent = zone.sent_to_leader();
    let forwarded: Vec<&SessionUp> =
        sent.iter().filter(|up| matches!(up, SessionUp::Forwarded(_))).collect();
    let [SessionUp::Forwarded(forwarded)] = forwarded[..] else { panic!("{sent:?}") };
    assert_eq!(forwarded.len(), 3);
}

#[test]
fn known_heartbeat_is_accepted_and_forwarded_once_per_period() {
    let mut zone = Zone::linked();
    let beat = |sequence| Heartbeat { endpoint: endpoint(1), sequence, holds: None };
    assert!(zone.distributor.heartbeat(beat(4)));
    assert!(zone.distributor.heartbeat(beat(5)));
    zone.advance(200);
    let mut received = Vec::new();
    for up in zone.sent_to_leader() {
        if let SessionUp::Heartbeats(heartbeats) = up {
            received.extend(heartbeats);
        }
    }
    assert_eq!(received, [beat(5)]);
}

#[test]
fn heartbeats_from_before_a_lost_link_are_dropped() {
    let mut zone = Zone::linked();
    zone.welcome(1, "g1");
    let heartbeat = Heartbeat { endpoint: endpoint(1), sequence: 4, holds: None };
    assert!(zone.distributor.heartbeat(heartbeat));
    zone.distributor.unlinked(zone.now_ms);
    zone.advance(6_000);
    zone.link();
    zone.advance(200);
    let sent = zone.sent_to_leader();
    assert!(!sent.iter().any(|up| matches!(up, SessionUp::Heartbeats(_))), "{sent:?}");
}

#[test]
fn heartbeat_of_a_changed_endpoint_or_without_a_leader_is_not_accepted() {
    let mut zone = Zone::linked();
    let mut leaving = endpoint(1);
    leaving.leaving = true;
    for news in [endpoint(9), leaving] {
        let heartbeat = Heartbeat { endpoint: news, sequence: 4, holds: None };
        assert!(!zone.distributor.heartbeat(heartbeat));
    }
    zone.distributor.unlinked(zone.now_ms);
    let known = Heartbeat { endpoint: endpoint(1), sequence: 5, holds: None };
    assert!(!zone.distributor.heartbeat(known), "there is no leader to forward the heartbeat to");
}

#[test]
fn group_differs_when_many_gateways_connect_or_disconnect() {
    let group = |gateways| Group { gateways, ..Group::default() };
    assert!(group(7).has_significant_change_from(&group(6)), "one more than six is significant");
    assert!(!group(205).has_significant_change_from(&group(200)));
    assert!(group(180).has_significant_change_from(&group(200)));
    let servers = vec![SessionServer { zone: "a".into(), address: address(3) }];
    assert!(Group { servers, ..group(200) }.has_significant_change_from(&group(200)));
}

/// Returns the version changes among messages to a gateway.
fn version_changes(received: &[SessionDown]) -> Vec<&Change> {
    let mut versions = Vec::new();
    for down in received {
        let SessionDown::Changes { changes, .. } = down else { continue };
        for change in changes {
            if matches!(change, Change::Version(_) | Change::VersionOfUnknownAge(_)) {
                versions.push(change);
            }
        }
    }
    versions
}

#[test]
fn version_age_is_known_only_to_gateways_connected_when_it_was_published() {
    let newest = |version| NewestVersion { name: weights("a1"), version };
    let mut zone = Zone::linked();
    zone.open(1, "g1", "a");
    zone.advance(BATCHED_MS);
    zone.confirm();
    let received = zone.received(1);
    assert!(
        matches!(version_changes(&received)[..], [Change::VersionOfUnknownAge(_)]),
        "{received:?}"
    );
    let named = Change::Version(newest(4));
    zone.down(SessionDown::Changes {
        index: 6,
        reset: false,
        complete: true,
        changes: vec![named],
    });
    let received = zone.received(1);
    assert!(matches!(version_changes(&received)[..], [Change::Version(_)]), "{received:?}");
    // The next leader reports a version that was published in between, at an unknown time.
    zone.distributor.unlinked(zone.now_ms);
    let (up, link) = mpsc::channel(1_000);
    zone.link = link;
    zone.distributor.linked(zone.now_ms, up);
    let named = Change::Version(newest(5));
    zone.down(SessionDown::Changes { index: 7, reset: true, complete: true, changes: vec![named] });
    zone.down(SessionDown::Placed { reset: true, placed: Vec::new() });
    let received = zone.received(1);
    assert!(
        matches!(version_changes(&received)[..], [Change::VersionOfUnknownAge(_)]),
        "{received:?}"
    );
}

fn held() -> FeatureStanding {
    let content =
        RequestContent { method: "POST", host: "h", target: "/", weights: None, body: b"body" };
    let standing = Standing::Held { for_ms: 10_000, times: 0 };
    FeatureStanding { key: FeatureKey::of_content(content), weights: None, standing }
}

/// Returns the standings among messages to a gateway.
fn standings(received: &[SessionDown]) -> Vec<Standing> {
    let mut standings = Vec::new();
    for down in received {
        let SessionDown::Changes { changes, .. } = down else { continue };
        for change in changes {
            let Change::Standing(received) = change else { continue };
            standings.push(received.standing.clone());
        }
    }
    standings
}

#[test]
fn crash_reports_are_forwarded_at_once() {
    let mut zone = Zone::linked();
    zone.welcome(1, "g1");
    zone.sent_to_leader();
    let (endpoint, service) = ("e1".into(), "quotes".into());
    let crash = EndpointCrash { endpoint, service, ago_ms: 30, features: Vec::new() };
    for up in [
        SessionUp::Crashes(vec![crash]),
        SessionUp::Served(held().key),
        SessionUp::AskForTrial(held().key),
    ] {
        let kind = up.kind();
        zone.distributor.handle_session_message(0, 1, up);
        let sent = zone.sent_to_leader();
        let [SessionUp::Forwarded(forwarded)] = &sent[..] else { panic!("{sent:?}") };
        assert_eq!((&*forwarded[0].gateway, forwarded[0].up.kind()), ("g1", kind));
    }
}

#[test]
fn gateways_get_request_standings_on_connect_and_on_change() {
    let mut zone = Zone::linked();
    zone.welcome(1, "g1");
    let changes = vec![Change::Standing(held())];
    zone.down(SessionDown::Changes { index: 6, reset: false, complete: true, changes });
    assert_eq!(standings(&zone.received(1)), [held().standing]);
    zone.open(2, "g2", "a");
    zone.advance(BATCHED_MS);
    zone.confirm();
    assert_eq!(standings(&zone.received(2)), [held().standing]);
    // The next leader knows of no held request.
    zone.distributor.unlinked(zone.now_ms);
    zone.link();
    assert_eq!(standings(&zone.received(1)), [Standing::Cleared]);
}
