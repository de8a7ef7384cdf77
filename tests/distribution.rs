//! Distributors: what gateways of a zone are told, by whom it was confirmed, and where they go.

mod common;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use common::engines::configuration;
use tokio::sync::mpsc;
use winchvane::control::distribution::{Distributor, hello};
use winchvane::message::{
    AdapterNeed, Change, EndpointCrash, EndpointLoad, EngineOrder, Forwarded, Group, Heartbeat,
    Holding, Load, NewestVersion, OrderKind, OrderOutcome, OrderResult, Placed, RegisteredEndpoint,
    RequestContent, RequestKey, RequestStanding, SessionDown, SessionHello, SessionRole,
    SessionServer, SessionUp, Standing, WeightsName, WeightsUse,
};

/// Renewals of gateways are gathered at most this long.
const GATHERED_MS: u64 = 60;
/// Gateways are kept this long without a link.
const UNLINKED_MAX_MS: u64 = 1_000;

fn address(last: u8) -> SocketAddr {
    ([127, 0, 0, last], 7_380).into()
}

fn gateway_hello(name: &str, zone: &str) -> SessionHello {
    SessionHello { role: SessionRole::Follower, ..hello(name.into(), 1, zone.into(), address(90)) }
}

fn endpoint(number: u16) -> RegisteredEndpoint {
    RegisteredEndpoint {
        id: format!("e{number}").into(),
        name: format!("e{number}").into(),
        born_ms: 0,
        service: "quotes".into(),
        address: ([127, 0, 0, 1], 7_000 + number).into(),
        zone: "a".into(),
        slots: 8,
        leaving: false,
    }
}

fn weights(adapter: &str) -> WeightsName {
    WeightsName::new("m", Some(adapter))
}

fn running(endpoint: &str, running: u32) -> EndpointLoad {
    EndpointLoad { endpoint: endpoint.into(), load: Load { running, ..Load::default() } }
}

/// A distributor of zone `a` with the other ends of its channels.
struct Zone {
    distributor: Distributor,
    now_ms: u64,
    link: mpsc::Receiver<SessionUp>,
    gateways: BTreeMap<u64, mpsc::Receiver<SessionDown>>,
}

impl Zone {
    /// Linked to a leader that told one route's configuration and two endpoints.
    fn linked() -> Self {
        let (_, link) = mpsc::channel(1);
        let distributor = Distributor::new("a".into());
        let mut zone = Self { distributor, now_ms: 0, link, gateways: BTreeMap::new() };
        zone.link();
        zone
    }

    fn link(&mut self) {
        let (up, link) = mpsc::channel(1_000);
        self.link = link;
        self.distributor.linked(self.now_ms, up);
        self.down(SessionDown::Changes {
            index: 5,
            reset: true,
            complete: true,
            changes: vec![
                Change::Routing(Arc::new(configuration(4))),
                Change::Registered(endpoint(1)),
                Change::Registered(endpoint(2)),
                Change::Version(NewestVersion { name: weights("a1"), version: 3 }),
            ],
        });
        let placed = vec![placed("e1", "a1", Holding::Ready(2))];
        self.down(SessionDown::Placed { reset: true, placed });
    }

    fn down(&mut self, down: SessionDown) {
        self.distributor.down(self.now_ms, down);
    }

    fn open(&mut self, id: u64, name: &str, zone: &str) {
        let (down, queue) = mpsc::channel(1_000);
        self.gateways.insert(id, queue);
        self.distributor.open(self.now_ms, id, gateway_hello(name, zone), down, Some(address(1)));
    }

    fn advance(&mut self, by_ms: u64) {
        for _ in 0..by_ms / 20 {
            self.now_ms += 20;
            self.distributor.tick(self.now_ms);
        }
    }

    /// What was sent to the leader.
    fn told_leader(&mut self) -> Vec<SessionUp> {
        let mut told = Vec::new();
        while let Ok(up) = self.link.try_recv() {
            told.push(up);
        }
        told
    }

    /// What the gateway of session `id` was told.
    fn told(&mut self, id: u64) -> Vec<SessionDown> {
        let queue = self.gateways.get_mut(&id).expect("it was opened");
        let mut told = Vec::new();
        while let Ok(down) = queue.try_recv() {
            told.push(down);
        }
        told
    }

    /// Lets the leader confirm all renewals that were sent so far; returns the gateways in them.
    fn confirm(&mut self) -> Vec<Arc<str>> {
        let mut renewed = Vec::new();
        for up in self.told_leader() {
            let SessionUp::RenewFor { number, gateways } = up else { continue };
            renewed.extend(gateways);
            self.down(SessionDown::RenewedFor { number });
        }
        renewed
    }

    /// Opens a session and brings it to its welcome.
    fn welcome(&mut self, id: u64, name: &str) {
        self.open(id, name, "a");
        self.advance(GATHERED_MS);
        self.confirm();
        let told = self.told(id);
        assert!(matches!(told.first(), Some(SessionDown::Welcome { .. })), "{told:?}");
    }
}

fn placed(endpoint: &str, adapter: &str, holding: Holding) -> Placed {
    Placed { endpoint: endpoint.into(), name: weights(adapter), holding }
}

fn is_renewed(told: &[SessionDown], value_ms: u64) -> bool {
    told.iter().any(
        |down| matches!(down, SessionDown::Renewed { sent_at_ms, .. } if *sent_at_ms == value_ms),
    )
}

#[test]
fn a_gateway_is_told_everything_once_a_majority_has_confirmed() {
    let mut zone = Zone::linked();
    zone.open(1, "g1", "a");
    zone.advance(GATHERED_MS);
    assert!(zone.told(1).is_empty(), "the leader may have been replaced");
    zone.confirm();
    let told = zone.told(1);
    let [SessionDown::Welcome { .. }, changes, all_placed, SessionDown::Group(_)] = &told[..]
    else {
        panic!("{told:?}");
    };
    let SessionDown::Changes { reset: true, complete: true, changes, .. } = changes else {
        panic!("{changes:?}");
    };
    assert_eq!(changes.len(), 4, "{changes:?}");
    let SessionDown::Placed { reset: true, placed } = all_placed else { panic!("{all_placed:?}") };
    assert_eq!(placed.len(), 1);
}

#[test]
fn a_renewal_is_answered_after_one_that_was_sent_later() {
    let mut zone = Zone::linked();
    zone.welcome(1, "g1");
    zone.advance(200);
    let sent_before = zone.told_leader();
    zone.distributor.up(0, 1, SessionUp::Renew { sent_at_ms: 77, summaries: Vec::new() });
    for up in sent_before {
        let SessionUp::RenewFor { number, .. } = up else { continue };
        zone.down(SessionDown::RenewedFor { number });
    }
    assert!(!is_renewed(&zone.told(1), 77), "that one was sent before");
    zone.advance(GATHERED_MS);
    assert_eq!(zone.confirm(), [Arc::from("g1")]);
    assert!(is_renewed(&zone.told(1), 77));
}

#[test]
fn a_former_leader_confirms_nothing_after_the_next_one_is_linked() {
    let mut zone = Zone::linked();
    zone.welcome(1, "g1");
    zone.distributor.up(0, 1, SessionUp::Renew { sent_at_ms: 78, summaries: Vec::new() });
    zone.advance(GATHERED_MS);
    let before = zone.told_leader();
    zone.distributor.unlinked(zone.now_ms);
    zone.link();
    for up in before {
        let SessionUp::RenewFor { number, .. } = up else { continue };
        zone.down(SessionDown::RenewedFor { number });
    }
    assert!(!is_renewed(&zone.told(1), 78));
}

#[test]
fn gateways_are_kept_while_control_changes_its_leader_and_told_everything_anew() {
    let mut zone = Zone::linked();
    zone.welcome(1, "g1");
    zone.distributor.unlinked(zone.now_ms);
    zone.advance(UNLINKED_MAX_MS - 100);
    zone.distributor.up(0, 1, SessionUp::Renew { sent_at_ms: 79, summaries: Vec::new() });
    assert!(zone.told(1).is_empty(), "nobody leads");
    zone.link();
    zone.advance(GATHERED_MS);
    zone.confirm();
    let told = zone.told(1);
    assert!(matches!(told.first(), Some(SessionDown::Welcome { .. })), "{told:?}");
}

#[test]
fn what_the_next_leader_tells_otherwise_is_all_that_gateways_are_told() {
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
    let told = zone.told(1);
    let [SessionDown::Welcome { .. }, changes, moved] = &told[..] else { panic!("{told:?}") };
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
fn gateways_look_for_a_leader_themselves_when_the_link_stays_lost() {
    let mut zone = Zone::linked();
    zone.welcome(1, "g1");
    zone.distributor.unlinked(zone.now_ms);
    zone.advance(UNLINKED_MAX_MS + 20);
    let told = zone.told(1);
    assert!(matches!(told[..], [SessionDown::NotLeader { leader: None }]), "{told:?}");
    zone.open(2, "g2", "a");
    let told = zone.told(2);
    assert!(matches!(told[..], [SessionDown::NotLeader { leader: Some(_) }]), "{told:?}");
}

#[test]
fn gateways_of_other_zones_are_sent_to_their_own() {
    let mut zone = Zone::linked();
    let servers = vec![SessionServer { zone: "b".into(), address: address(2) }];
    zone.down(SessionDown::Group(Group { servers, ..Group::default() }));
    zone.open(1, "g1", "b");
    zone.open(2, "g2", "c");
    let named = |told: Vec<SessionDown>| match told[..] {
        [SessionDown::NotLeader { leader }] => leader,
        _ => panic!("{told:?}"),
    };
    assert_eq!(named(zone.told(1)), Some(address(2)));
    assert_eq!(named(zone.told(2)), Some(address(1)), "the leader serves zones that have none");
}

#[test]
fn changes_and_placements_are_passed_on_as_they_come() {
    let mut zone = Zone::linked();
    zone.welcome(1, "g1");
    let changes = vec![Change::Deregistered("e2".into())];
    zone.down(SessionDown::Changes { index: 6, reset: false, complete: true, changes });
    let moved = vec![placed("e1", "a1", Holding::Gone), placed("e1", "a2", Holding::Coming)];
    zone.down(SessionDown::Placed { reset: false, placed: moved.clone() });
    let told = zone.told(1);
    let [SessionDown::Changes { reset: false, .. }, SessionDown::Placed { reset: false, placed }] =
        &told[..]
    else {
        panic!("{told:?}");
    };
    assert_eq!(*placed, moved);
    // One that comes later is told the outcome.
    zone.open(2, "g2", "a");
    zone.advance(GATHERED_MS);
    zone.confirm();
    let told = zone.told(2);
    let SessionDown::Changes { changes, .. } = &told[1] else { panic!("{told:?}") };
    assert_eq!(changes.len(), 3, "one endpoint has gone: {changes:?}");
    let SessionDown::Placed { placed, .. } = &told[2] else { panic!("{told:?}") };
    assert_eq!(placed.len(), 1);
    assert_eq!(placed[0].name, weights("a2"));
}

#[test]
fn an_order_reaches_its_holder_or_is_said_not_to_be_sent() {
    let mut zone = Zone::linked();
    zone.welcome(1, "g1");
    zone.welcome(2, "g2");
    zone.told_leader();
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
    assert!(zone.told(1).is_empty());
    assert!(matches!(zone.told(2)[..], [SessionDown::Order(_)]));
    zone.down(SessionDown::Order(order(8, "g3")));
    let told = zone.told_leader();
    let [SessionUp::Forwarded(forwarded)] = &told[..] else { panic!("{told:?}") };
    let [Forwarded { up: SessionUp::Ordered(result), .. }] = &forwarded[..] else {
        panic!("{forwarded:?}");
    };
    assert_eq!(result.number, 8);
    assert!(matches!(result.outcome, OrderOutcome::NotSent));
}

#[test]
fn needs_and_outcomes_go_up_at_once_under_the_gateways_name() {
    let mut zone = Zone::linked();
    zone.welcome(1, "g1");
    zone.told_leader();
    let need =
        AdapterNeed { service: "quotes".into(), weights: weights("a9"), requests: 1, more: false };
    zone.distributor.up(0, 1, SessionUp::Needs(vec![need]));
    let result = OrderResult {
        number: 3,
        endpoint: "e1".into(),
        kind: OrderKind::Report,
        outcome: OrderOutcome::Refused,
    };
    zone.distributor.up(0, 1, SessionUp::Ordered(result));
    let mut kinds = Vec::new();
    for up in zone.told_leader() {
        let SessionUp::Forwarded(forwarded) = up else { panic!("{up:?}") };
        for Forwarded { gateway, up } in forwarded {
            assert_eq!(&*gateway, "g1");
            kinds.push(up.kind());
        }
    }
    assert_eq!(kinds, ["session_needs", "session_ordered"]);
}

#[test]
fn needs_wait_for_the_next_leader() {
    let mut zone = Zone::linked();
    zone.welcome(1, "g1");
    zone.distributor.unlinked(zone.now_ms);
    let need =
        AdapterNeed { service: "quotes".into(), weights: weights("a9"), requests: 1, more: false };
    zone.distributor.up(0, 1, SessionUp::Needs(vec![need]));
    zone.advance(200);
    zone.link();
    zone.advance(200);
    let told = zone.told_leader();
    let is_told = told.iter().any(|up| match up {
        SessionUp::Forwarded(forwarded) => {
            forwarded.iter().any(|told| matches!(told.up, SessionUp::Needs(_)))
        }
        _ => false,
    });
    assert!(is_told, "{told:?}");
}

#[test]
fn counts_go_up_summed_and_come_down_without_the_gateways_own() {
    let mut zone = Zone::linked();
    zone.welcome(1, "g1");
    zone.welcome(2, "g2");
    zone.advance(200);
    zone.told_leader();
    let traffic = |loads| SessionUp::Traffic { loads, used: Vec::new(), failing: Vec::new() };
    zone.distributor.up(0, 1, traffic(vec![running("e1", 3)]));
    zone.distributor.up(0, 2, traffic(vec![running("e1", 4)]));
    zone.down(SessionDown::Loads(vec![running("e1", 10), running("e2", 2)]));
    zone.advance(200);
    let mut summed = Vec::new();
    for up in zone.told_leader() {
        if let SessionUp::Traffic { loads, .. } = up {
            summed.extend(loads);
        }
    }
    assert_eq!(summed, [running("e1", 7)]);
    let told = zone.told(1);
    let Some(SessionDown::Loads(loads)) = told.last() else { panic!("{told:?}") };
    assert_eq!(*loads, [running("e1", 14), running("e2", 2)]);
    // A gateway that ends has nothing under way any more.
    zone.distributor.close(2);
    zone.advance(200);
    let told = zone.told_leader();
    let summed = told.iter().find_map(|up| match up {
        SessionUp::Traffic { loads, .. } if !loads.is_empty() => Some(loads.clone()),
        _ => None,
    });
    assert_eq!(summed, Some(vec![running("e1", 3)]));
}

#[test]
fn uses_are_gathered() {
    let mut zone = Zone::linked();
    zone.welcome(1, "g1");
    zone.welcome(2, "g2");
    zone.advance(200);
    zone.told_leader();
    for id in [1, 2, 1] {
        let used = vec![WeightsUse {
            endpoint: "e1".into(),
            name: weights("a1"),
            requests: 1,
            reading_ms: 5,
            under_way: 1,
        }];
        let up = SessionUp::Traffic { loads: Vec::new(), used, failing: Vec::new() };
        zone.distributor.up(0, id, up);
    }
    assert!(zone.told_leader().is_empty());
    zone.advance(200);
    let told = zone.told_leader();
    let forwarded: Vec<&SessionUp> =
        told.iter().filter(|up| matches!(up, SessionUp::Forwarded(_))).collect();
    let [SessionUp::Forwarded(forwarded)] = forwarded[..] else { panic!("{told:?}") };
    assert_eq!(forwarded.len(), 3);
}

#[test]
fn a_heartbeat_without_news_is_taken_and_told_once_in_a_period() {
    let mut zone = Zone::linked();
    let beat = |sequence| Heartbeat { endpoint: endpoint(1), sequence, holds: None };
    assert!(zone.distributor.heartbeat(beat(4)));
    assert!(zone.distributor.heartbeat(beat(5)));
    zone.advance(200);
    let mut told = Vec::new();
    for up in zone.told_leader() {
        if let SessionUp::Heartbeats(heartbeats) = up {
            told.extend(heartbeats);
        }
    }
    assert_eq!(told, [beat(5)]);
}

#[test]
fn heartbeats_from_before_the_link_was_lost_are_not_told_to_the_next_leader() {
    let mut zone = Zone::linked();
    zone.welcome(1, "g1");
    let heartbeat = Heartbeat { endpoint: endpoint(1), sequence: 4, holds: None };
    assert!(zone.distributor.heartbeat(heartbeat));
    zone.distributor.unlinked(zone.now_ms);
    zone.advance(6_000);
    zone.link();
    zone.advance(200);
    let told = zone.told_leader();
    assert!(!told.iter().any(|up| matches!(up, SessionUp::Heartbeats(_))), "{told:?}");
}

#[test]
fn a_heartbeat_with_news_or_without_a_leader_is_not_taken() {
    let mut zone = Zone::linked();
    let mut leaving = endpoint(1);
    leaving.leaving = true;
    for news in [endpoint(9), leaving] {
        let heartbeat = Heartbeat { endpoint: news, sequence: 4, holds: None };
        assert!(!zone.distributor.heartbeat(heartbeat));
    }
    zone.distributor.unlinked(zone.now_ms);
    let known = Heartbeat { endpoint: endpoint(1), sequence: 5, holds: None };
    assert!(!zone.distributor.heartbeat(known), "nobody would be told");
}

#[test]
fn a_group_is_told_anew_when_more_than_a_few_gateways_came_or_went() {
    let group = |gateways| Group { gateways, ..Group::default() };
    assert!(group(7).differs_enough(&group(6)), "of six, each counts");
    assert!(!group(205).differs_enough(&group(200)));
    assert!(group(180).differs_enough(&group(200)));
    let servers = vec![SessionServer { zone: "a".into(), address: address(3) }];
    assert!(Group { servers, ..group(200) }.differs_enough(&group(200)));
}

/// The ages of versions that a gateway is told.
fn versions_told(told: &[SessionDown]) -> Vec<&Change> {
    let mut versions = Vec::new();
    for down in told {
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
fn a_version_is_new_only_to_gateways_that_are_told_when_it_is_named() {
    let newest = |version| NewestVersion { name: weights("a1"), version };
    let mut zone = Zone::linked();
    zone.open(1, "g1", "a");
    zone.advance(GATHERED_MS);
    zone.confirm();
    let told = zone.told(1);
    assert!(matches!(versions_told(&told)[..], [Change::VersionOfUnknownAge(_)]), "{told:?}");
    let named = Change::Version(newest(4));
    zone.down(SessionDown::Changes {
        index: 6,
        reset: false,
        complete: true,
        changes: vec![named],
    });
    let told = zone.told(1);
    assert!(matches!(versions_told(&told)[..], [Change::Version(_)]), "{told:?}");
    // The next leader tells of a version that was named meanwhile, nobody knows when.
    zone.distributor.unlinked(zone.now_ms);
    let (up, link) = mpsc::channel(1_000);
    zone.link = link;
    zone.distributor.linked(zone.now_ms, up);
    let named = Change::Version(newest(5));
    zone.down(SessionDown::Changes { index: 7, reset: true, complete: true, changes: vec![named] });
    zone.down(SessionDown::Placed { reset: true, placed: Vec::new() });
    let told = zone.told(1);
    assert!(matches!(versions_told(&told)[..], [Change::VersionOfUnknownAge(_)]), "{told:?}");
}

fn held() -> RequestStanding {
    let content =
        RequestContent { method: "POST", host: "h", target: "/", weights: None, body: b"body" };
    let standing = Standing::Held { for_ms: 10_000, times: 0 };
    RequestStanding { key: RequestKey::new(content), weights: None, standing }
}

/// The standings that a gateway was told.
fn standings(told: &[SessionDown]) -> Vec<Standing> {
    let mut standings = Vec::new();
    for down in told {
        let SessionDown::Changes { changes, .. } = down else { continue };
        for change in changes {
            let Change::Request(told) = change else { continue };
            standings.push(told.standing.clone());
        }
    }
    standings
}

#[test]
fn the_leader_is_told_at_once_of_endpoints_that_ended() {
    let mut zone = Zone::linked();
    zone.welcome(1, "g1");
    zone.told_leader();
    let (endpoint, service) = ("e1".into(), "quotes".into());
    let crash = EndpointCrash { endpoint, service, ago_ms: 30, runs: Vec::new() };
    for up in [
        SessionUp::Crashes(vec![crash]),
        SessionUp::Served(held().key),
        SessionUp::AskForTrial(held().key),
    ] {
        let kind = up.kind();
        zone.distributor.up(0, 1, up);
        let told = zone.told_leader();
        let [SessionUp::Forwarded(forwarded)] = &told[..] else { panic!("{told:?}") };
        assert_eq!((&*forwarded[0].gateway, forwarded[0].up.kind()), ("g1", kind));
    }
}

#[test]
fn gateways_are_told_which_requests_are_held_when_they_come_and_when_that_changes() {
    let mut zone = Zone::linked();
    zone.welcome(1, "g1");
    let changes = vec![Change::Request(held())];
    zone.down(SessionDown::Changes { index: 6, reset: false, complete: true, changes });
    assert_eq!(standings(&zone.told(1)), [held().standing]);
    zone.open(2, "g2", "a");
    zone.advance(GATHERED_MS);
    zone.confirm();
    assert_eq!(standings(&zone.told(2)), [held().standing]);
    // The next leader knows of none.
    zone.distributor.unlinked(zone.now_ms);
    zone.link();
    assert_eq!(standings(&zone.told(1)), [Standing::Cleared]);
}
