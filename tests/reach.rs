//! Endpoints that cannot be reached from one gateway: what the evidence says, what is selected, and
//! which other gateways are used.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use winchvane::control::peers::Peers;
use winchvane::message::{Holding, PeerGateway, Placed, RegisteredEndpoint, WeightsName};
use winchvane::policy::peers::PeerGateways;
use winchvane::policy::reach::{BrokenSends, Reach, ReachEvidence, combine_views};
use winchvane::relay::{Fleet, Picked, PromptChain, Wanted};
use yare::parameterized;

fn endpoint(id: &str, service: &str) -> RegisteredEndpoint {
    RegisteredEndpoint {
        id: id.into(),
        name: id.into(),
        born_ms: 0,
        service: service.into(),
        address: ([127, 0, 0, 1], 7_000 + u16::from(id.as_bytes()[0])).into(),
        zone: "near".into(),
        slots: 4,
        leaving: false,
        software_version: "v1".into(),
    }
}

fn fleet(ids: &[&str]) -> Fleet {
    let mut fleet = Fleet::new("near".into(), 1);
    for id in ids {
        fleet.register(endpoint(id, "quotes"));
    }
    fleet
}

fn adapter() -> WeightsName {
    WeightsName::new("base", Some("shop"))
}

fn wanted() -> Wanted {
    Wanted {
        weights: adapter(),
        priority: 0,
        left_ms: 1_000.0,
        prompt_tokens: 100,
        prompt: PromptChain::default(),
        memory_tokens: 100_000,
    }
}

fn gateway(name: &str, zone: &str) -> PeerGateway {
    let address = SocketAddr::from(([127, 0, 0, 1], 9_000));
    PeerGateway { name: name.into(), zone: zone.into(), address }
}

#[parameterized(
    reached = { true, None, None, Reach::InReach },
    reached_although_a_peer_fails = { true, Some(false), Some(false), Reach::InReach },
    a_peer_reaches_it = { false, Some(true), Some(true), Reach::OutOfReach },
    a_peer_reaches_it_and_nothing_else_is = { false, Some(true), Some(false), Reach::OutOfReach },
    a_peer_fails_too = { false, Some(false), Some(true), Reach::Down },
    all_of_a_service_fail_for_a_peer_too = { false, Some(false), Some(false), Reach::Down },
    no_peer_and_others_are_reached = { false, None, Some(true), Reach::Down },
    no_peer_and_nothing_is_reached = { false, None, Some(false), Reach::Unknown },
    no_peer_and_no_other_endpoint = { false, None, None, Reach::Unknown },
)]
fn evidence_is_judged(own: bool, peer: Option<bool>, others: Option<bool>, expected: Reach) {
    let evidence =
        ReachEvidence { is_reached: own, is_reached_by_peer: peer, are_others_reached: others };
    assert_eq!(evidence.judge(), expected);
}

#[test]
fn broken_sends_of_a_single_endpoint_make_nothing_suspect() {
    let mut broken = BrokenSends::default();
    let (a, b): (Arc<str>, Arc<str>) = ("a".into(), "b".into());
    assert!(broken.note(0, &a).is_empty());
    assert!(broken.note(500, &a).is_empty());
    assert_eq!(broken.note(900, &b), [a.clone(), b.clone()]);
    assert!(broken.note(2_500, &b).is_empty(), "the others broke off long ago");
}

#[test]
fn endpoints_out_of_reach_are_not_picked_while_others_are_in_reach() {
    let mut fleet = fleet(&["a", "b"]);
    assert!(fleet.mark_out_of_reach(&"a".into()).is_some());
    assert!(fleet.mark_out_of_reach(&"a".into()).is_none(), "it is marked already");
    for turn in 0..20 {
        let picked = fleet.pick(turn, "quotes", None, &[]);
        assert!(matches!(picked, Picked::Endpoint { id, .. } if &*id == "b"));
    }
    assert!(!fleet.is_cut_off(0));
}

#[test]
fn a_service_that_is_out_of_reach_is_told_from_one_that_is_full() {
    let mut fleet = fleet(&["a", "b"]);
    fleet.register(endpoint("c", "orders"));
    for id in ["a", "b"] {
        fleet.mark_out_of_reach(&id.into());
    }
    assert_eq!(fleet.pick(0, "quotes", None, &[]), Picked::OutOfReach);
    assert_eq!(fleet.pick(0, "quotes", Some(&wanted()), &[]), Picked::OutOfReach);
    assert!(matches!(fleet.pick(0, "orders", None, &[]), Picked::Endpoint { .. }));
    assert!(fleet.is_cut_off(0));
    assert!(fleet.mark_in_reach(0, "b"));
    assert!(matches!(fleet.pick(0, "quotes", None, &[]), Picked::Endpoint { .. }));
}

#[test]
fn weights_held_only_out_of_reach_are_not_asked_for_again() {
    let mut fleet = fleet(&["a", "b"]);
    let placed = Placed { endpoint: "a".into(), name: adapter(), holding: Holding::Ready(1) };
    fleet.place(false, vec![placed]);
    fleet.mark_out_of_reach(&"a".into());
    assert_eq!(fleet.pick(0, "quotes", Some(&wanted()), &[]), Picked::OutOfReach);
}

#[test]
fn an_endpoint_in_reach_again_is_used_at_once() {
    let mut fleet = fleet(&["a"]);
    let id: Arc<str> = "a".into();
    for _ in 0..5 {
        fleet.mark_unreachable(1_000, &id);
    }
    fleet.mark_out_of_reach(&id);
    assert!(fleet.mark_in_reach(1_100, &id));
    assert!(!fleet.mark_in_reach(1_100, &id));
    assert!(matches!(fleet.pick(1_100, "quotes", None, &[]), Picked::Endpoint { .. }));
}

#[test]
fn a_deregistered_endpoint_is_no_longer_out_of_reach() {
    let mut fleet = fleet(&["a"]);
    fleet.mark_out_of_reach(&"a".into());
    fleet.deregister("a");
    assert!(!fleet.has_out_of_reach());
    fleet.register(endpoint("a", "quotes"));
    assert!(matches!(fleet.pick(0, "quotes", None, &[]), Picked::Endpoint { .. }));
}

#[test]
fn an_unreachable_endpoint_is_not_reported_before_it_was_judged() {
    let mut fleet = fleet(&["a"]);
    let id: Arc<str> = "a".into();
    fleet.mark_unreachable(0, &id);
    for _ in 0..3 {
        fleet.failed(0, &id);
    }
    fleet.mark_ended(0, &id);
    assert_eq!(fleet.take_traffic(0).failing, []);
    fleet.mark_failing(&id);
    assert_eq!(fleet.take_traffic(0).failing, [id]);
}

#[test]
fn requests_are_spread_over_peers_and_the_own_zone_comes_first() {
    let mut peers = PeerGateways::new("own".into(), "near".into());
    peers.set(vec![gateway("own", "near"), gateway("n", "near"), gateway("f", "far")]);
    assert_eq!(peers.len(), 2, "a gateway is no peer of itself");
    let mut sent: BTreeMap<Arc<str>, u32> = BTreeMap::new();
    for _ in 0..20 {
        let peer = peers.choose(0, &[], 0.5).expect("peers are known");
        peers.start(&peer.name);
        *sent.entry(peer.name).or_default() += 1;
    }
    assert_eq!(sent["n"], 12);
    assert_eq!(sent["f"], 8);
    for _ in 0..12 {
        peers.finish("n");
    }
    assert_eq!(peers.choose(0, &[], 0.5).map(|peer| peer.name), Some("n".into()));
}

#[test]
fn a_peer_that_refused_or_was_lost_is_left_out_for_a_while() {
    let mut peers = PeerGateways::new("own".into(), "near".into());
    peers.set(vec![gateway("n", "near"), gateway("f", "far")]);
    peers.note_lost(0, "n");
    assert_eq!(peers.choose(100, &[], 0.0).map(|peer| peer.name), Some("f".into()));
    peers.note_refused(100, "f");
    assert_eq!(peers.choose(200, &[], 0.0), None);
    assert_eq!(peers.choose(500, &[], 0.0).map(|peer| peer.name), Some("f".into()));
    // A new list does not bring a lost gateway back.
    peers.set(vec![gateway("n", "near"), gateway("f", "far")]);
    assert_eq!(peers.choose(500, &["f".into()], 0.0), None);
    assert_eq!(peers.choose(2_000, &["f".into()], 0.0).map(|peer| peer.name), Some("n".into()));
}

#[test]
fn gateways_that_are_cut_off_or_gone_are_not_offered() {
    let mut peers = Peers::new();
    let address = SocketAddr::from(([127, 0, 0, 1], 9_000));
    for (name, at_ms, out_of_reach) in
        [("a", 0, vec![]), ("b", 20_000, vec!["quotes".into()]), ("c", 20_000, vec![])]
    {
        peers.announce(at_ms, &name.into(), &"near".into(), address, out_of_reach);
    }
    let mut offered: Vec<_> =
        peers.offered_to(26_000, "d", "near").into_iter().map(|peer| peer.name).collect();
    offered.sort();
    assert_eq!(offered, ["c".into()]);
    let expected = (Arc::from("b"), Arc::from("quotes"));
    assert_eq!(peers.cut_off(26_000).into_iter().collect::<Vec<_>>(), [expected]);
    peers.announce(26_000, &"b".into(), &"near".into(), address, vec![]);
    assert!(peers.cut_off(26_000).is_empty());
}

#[test]
fn views_are_asked_of_other_zones_first() {
    let mut peers = PeerGateways::new("own".into(), "near".into());
    peers.set(vec![gateway("n", "near"), gateway("o", "near"), gateway("f", "far")]);
    let names = |asked: Vec<PeerGateway>| asked.into_iter().map(|peer| peer.name.to_string());
    assert_eq!(names(peers.to_ask(0, 2, || 0.0)).collect::<Vec<_>>(), ["f", "n"]);
    assert_eq!(names(peers.to_ask(0, 9, || 0.99)).collect::<Vec<_>>(), ["f", "o", "n"]);
    peers.note_lost(0, "f");
    assert_eq!(names(peers.to_ask(0, 1, || 0.0)).collect::<Vec<_>>(), ["n"]);
}

/// A neighbour that lost the same connections must not outvote a gateway that reaches the endpoint.
#[test]
fn an_endpoint_runs_if_any_gateway_reaches_it() {
    let views = [vec![Some(false), None, Some(false)], vec![Some(true), None, Some(false)]];
    assert_eq!(combine_views(3, &views), [Some(true), None, Some(false)]);
    assert_eq!(combine_views(2, &[]), [None, None]);
    assert_eq!(combine_views(2, &[vec![Some(true)]]), [Some(true), None], "a short answer");
}

/// Half of 85 gateways are cut off at once: none of the others may get a multiple of the mean.
#[test]
fn many_gateways_that_are_cut_off_at_once_are_spread_over_all_others() {
    let mut peers = Peers::new();
    let address = SocketAddr::from(([127, 0, 0, 1], 9_000));
    let zones: [Arc<str>; 3] = ["a".into(), "b".into(), "c".into()];
    let name = |number: usize| -> Arc<str> { format!("gateway-{number}").into() };
    for number in 0..85 {
        let out_of_reach = if number < 40 { vec!["quotes".into()] } else { vec![] };
        peers.announce(0, &name(number), &zones[number % 3], address, out_of_reach);
    }
    let mut offers: BTreeMap<Arc<str>, u32> = BTreeMap::new();
    for number in 0..40 {
        let offered = peers.offered_to(0, &name(number), &zones[number % 3]);
        assert_eq!(offered.len(), 12);
        for peer in offered {
            *offers.entry(peer.name).or_default() += 1;
        }
    }
    assert_eq!(offers.len(), 45, "every gateway that is not cut off is offered");
    let most = offers.values().max().copied().unwrap_or_default();
    assert!(f64::from(most) <= 2.5 * 40.0 * 12.0 / 45.0, "one gateway is offered {most} times");
}
