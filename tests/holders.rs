//! Tests that one gateway at a time sends orders to an endpoint, and that holders never overlap
//! within the engines' order lease.

mod common;

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;

use common::engines::configuration;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use winchvane::control::placement::{
    HolderChoice, OrderHolder, OrderHolders, Placement, PlacementSettings,
};
use winchvane::message::{EngineOrder, OrderOutcome, OrderResult, RegisteredEndpoint};
use winchvane::relay::{ORDER_WRITE_MS, SEND_LEASE_MS};

/// `WINCHVANE_SEEDS=20000 cargo test --release --test holders` runs more seeds.
const DEFAULT_SEEDS: u64 = 40;
const LEASE_MS: u64 = 3_000;
/// How long a new leader waits for gateways to connect before it chooses holders.
const CONNECT_WAIT_MS: u64 = 500;

fn endpoint(number: u16, zone: &str) -> RegisteredEndpoint {
    RegisteredEndpoint {
        id: format!("e{number}").into(),
        name: format!("e{number}").into(),
        born_ms: 0,
        service: "quotes".into(),
        address: ([127, 0, 0, 1], 7_000 + number).into(),
        zone: zone.into(),
        slots: 8,
        leaving: false,
        software_version: "v1".into(),
    }
}

fn leader(now_ms: u64, endpoints: &[RegisteredEndpoint]) -> Placement {
    let settings = PlacementSettings { order_lease_ms: LEASE_MS, ..PlacementSettings::default() };
    let mut placement = Placement::new(now_ms, settings);
    placement.configure(now_ms, &configuration(4));
    for endpoint in endpoints {
        placement.register(now_ms, endpoint);
    }
    placement
}

/// A leader with two gateways, of which `g1` holds the first endpoint.
fn held_by_g1(endpoints: &[RegisteredEndpoint]) -> (Placement, OrderHolders) {
    let mut holders = OrderHolders::new();
    holders.insert(endpoints[0].address, OrderHolder { gateway: "g1".into(), token: 9 });
    let mut placement = leader(0, endpoints);
    placement.set_gateways(0, gateways(&[("g1", "a"), ("g2", "a")]));
    (placement, holders)
}

fn gateways(named: &[(&str, &str)]) -> BTreeMap<Arc<str>, Arc<str>> {
    named.iter().map(|(name, zone)| ((*name).into(), (*zone).into())).collect()
}

fn record(holders: &mut OrderHolders, token: u64, choices: Vec<HolderChoice>) {
    for HolderChoice { address, gateway } in choices {
        holders.insert(address, OrderHolder { gateway, token });
    }
}

fn send_heartbeats(placement: &mut Placement, now_ms: u64, endpoints: &[RegisteredEndpoint]) {
    for endpoint in endpoints {
        placement.observe(
            now_ms,
            &winchvane::message::Heartbeat {
                endpoint: endpoint.clone(),
                sequence: now_ms,
                holds: None,
            },
        );
    }
}

#[test]
fn endpoints_are_divided_among_gateways_of_their_zone() {
    let endpoints = [endpoint(1, "a"), endpoint(2, "a"), endpoint(3, "b"), endpoint(4, "c")];
    let mut placement = leader(0, &endpoints);
    placement.set_gateways(0, gateways(&[("g1", "a"), ("g2", "a"), ("g3", "b")]));
    let holders = OrderHolders::new();
    placement.advance(CONNECT_WAIT_MS - 1, &holders);
    assert!(placement.take_choices().is_empty(), "other gateways may still connect");
    placement.advance(CONNECT_WAIT_MS + 5, &holders);
    let mut chosen = BTreeMap::new();
    for choice in placement.take_choices() {
        *chosen.entry(choice.gateway.to_string()).or_insert(0) += 1;
    }
    let expected = [("g1".to_owned(), 2), ("g2".to_owned(), 1), ("g3".to_owned(), 1)];
    assert_eq!(chosen, BTreeMap::from(expected), "the fourth endpoint has no gateway in its zone");
    placement.advance(CONNECT_WAIT_MS + 50, &holders);
    assert!(placement.take_choices().is_empty(), "each choice is proposed once");
    assert!(placement.take_orders().is_empty(), "no order is sent before the holder is recorded");
}

#[test]
fn new_leader_sends_orders_through_the_recorded_holder_at_once() {
    let endpoints = [endpoint(1, "a")];
    let mut holders = OrderHolders::new();
    holders.insert(endpoints[0].address, OrderHolder { gateway: "g1".into(), token: 9 });
    let mut placement = leader(1_000, &endpoints);
    placement.advance(1_010, &holders);
    assert!(placement.take_orders().is_empty(), "the holder is not connected yet");
    placement.set_gateways(1_020, gateways(&[("g1", "a"), ("g2", "a")]));
    placement.advance(1_030, &holders);
    let orders = placement.take_orders();
    assert_eq!((orders.len(), &*orders[0].holder, orders[0].token), (1, "g1", 9));
}

/// Guards against orders that wait for a holder which cannot send them.
#[test]
fn a_holder_that_reaches_no_engine_gives_its_endpoints_up() {
    let endpoints = [endpoint(1, "a")];
    let (mut placement, mut holders) = held_by_g1(&endpoints);
    send_heartbeats(&mut placement, 9_900, &endpoints);
    placement.advance(9_950, &holders);
    for order in placement.take_orders() {
        placement.ordered(9_960, answered(&order));
    }
    placement.set_cut_off(10_000, [("g1".into(), "quotes".into())].into());
    let free_ms = 10_000 + SEND_LEASE_MS + ORDER_WRITE_MS + LEASE_MS;
    for now_ms in [10_010, free_ms - LEASE_MS] {
        send_heartbeats(&mut placement, now_ms, &endpoints);
        placement.advance(now_ms, &holders);
        assert!(placement.take_orders().is_empty(), "the holder could not send them");
        assert!(placement.take_choices().is_empty(), "an earlier order may still arrive");
    }
    send_heartbeats(&mut placement, free_ms + 10, &endpoints);
    placement.advance(free_ms + 10, &holders);
    let choices = placement.take_choices();
    assert_eq!(choices.iter().map(|choice| &*choice.gateway).collect::<Vec<_>>(), ["g2"]);
    record(&mut holders, 10, choices);
    placement.set_cut_off(free_ms + 20, [].into());
    placement.advance(free_ms + 30, &holders);
    assert!(placement.take_choices().is_empty(), "the endpoint has a holder");
}

#[test]
fn holder_changes_only_once_no_order_of_the_former_one_can_take_effect() {
    let endpoints = [endpoint(1, "a")];
    let (mut placement, mut holders) = held_by_g1(&endpoints);
    send_heartbeats(&mut placement, 9_900, &endpoints);
    placement.advance(9_990, &holders);
    assert_eq!(
        placement.take_orders().len(),
        1,
        "an order is pending when the gateway disconnects"
    );
    placement.set_gateways(10_000, gateways(&[("g2", "a")]));
    let expired_ms = 10_000 + SEND_LEASE_MS + ORDER_WRITE_MS + LEASE_MS;
    placement.advance(11_100, &holders);
    assert!(placement.take_choices().is_empty(), "the lost order may still arrive");
    placement.advance(expired_ms - 1, &holders);
    assert!(placement.take_choices().is_empty());
    placement.advance(expired_ms + 5, &holders);
    let choices = placement.take_choices();
    assert_eq!(choices.len(), 1);
    placement.set_gateways(expired_ms + 10, gateways(&[("g1", "a"), ("g2", "a")]));
    send_heartbeats(&mut placement, expired_ms, &endpoints);
    placement.advance(expired_ms + 20, &holders);
    assert!(placement.take_orders().is_empty(), "the choice may be recorded at any moment");
    record(&mut holders, 12, choices);
    placement.advance(expired_ms + 30, &holders);
    let orders = placement.take_orders();
    assert_eq!((&*orders[0].holder, orders[0].token), ("g2", 12));
}

/// A leader with a stalled disk makes no passes meanwhile. When it continues, an order from before
/// the stall is still pending, and the order's gateway disconnected long ago.
#[test]
fn pending_order_delays_the_next_holder() {
    let endpoints = [endpoint(1, "a")];
    let (mut placement, holders) = held_by_g1(&endpoints);
    send_heartbeats(&mut placement, 9_900, &endpoints);
    placement.advance(9_990, &holders);
    assert_eq!(placement.take_orders().len(), 1);
    placement.set_gateways(10_000, gateways(&[("g2", "a")]));
    placement.advance(10_000 + SEND_LEASE_MS + ORDER_WRITE_MS + LEASE_MS - 1, &holders);
    assert!(placement.take_choices().is_empty());
}

/// Guards against a needless wait after an order holder was killed: first requests for adapters
/// waited for at least 4.3 s (1.0 + 0.3 + 3.0 s) or were refused. The wait for the order lease
/// began when the holder could no longer write orders, even if its last order was already answered.
#[test]
fn holder_changes_when_the_lease_of_the_last_answered_order_expires() {
    let endpoints = [endpoint(1, "a")];
    let gone_ms = 20_000;
    for (answered_ms, expired_ms) in [
        // The lease of an order answered this early expires before the gateway can no longer write
        // orders.
        (10_000, gone_ms + SEND_LEASE_MS + ORDER_WRITE_MS),
        (gone_ms - 500, gone_ms - 500 + LEASE_MS),
    ] {
        let (mut placement, holders) = held_by_g1(&endpoints);
        send_heartbeats(&mut placement, answered_ms, &endpoints);
        placement.advance(answered_ms, &holders);
        let orders = placement.take_orders();
        assert_eq!(orders.len(), 1);
        placement.ordered(answered_ms, answered(&orders[0]));
        placement.set_gateways(gone_ms, gateways(&[("g2", "a")]));
        placement.advance(expired_ms - 1, &holders);
        assert!(placement.take_choices().is_empty(), "answered at {answered_ms}");
        placement.advance(expired_ms + 5, &holders);
        assert_eq!(placement.take_choices().len(), 1, "answered at {answered_ms}");
    }
}

/// A conflict: the endpoint answered and had carried out another order.
fn answered(order: &EngineOrder) -> OrderResult {
    OrderResult {
        number: order.number,
        endpoint: order.endpoint.clone(),
        kind: order.kind.clone(),
        outcome: OrderOutcome::Conflict,
    }
}

/// A simulated gateway, which writes orders only while its session is confirmed.
#[derive(Default)]
struct Gateway {
    follows_term: Option<u64>,
    lease_until_ms: u64,
    /// Orders and the time each is written; some are delayed by a link or the scheduler.
    orders: Vec<(u64, EngineOrder)>,
}

/// The last order that each endpoint received: time, holder and token.
type LastOrders = HashMap<SocketAddr, (u64, Arc<str>, u64)>;

/// Writes the orders that are due and returns those that their endpoints accepted.
fn write_orders(
    now_ms: u64,
    gateway: &mut Gateway,
    last_orders: &mut LastOrders,
    changes: &mut u32,
) -> Vec<EngineOrder> {
    let mut taken = Vec::new();
    let (due, later) = gateway.orders.drain(..).partition(|(at_ms, _)| *at_ms <= now_ms);
    gateway.orders = later;
    let due: Vec<(u64, EngineOrder)> = due;
    for (_, order) in due {
        // The lease is checked before the connection is made, so an order may be written a little
        // later.
        if now_ms >= gateway.lease_until_ms + ORDER_WRITE_MS {
            continue;
        }
        if let Some((at_ms, holder, token)) = last_orders.get(&order.address) {
            if *holder != order.holder {
                assert!(at_ms + LEASE_MS <= now_ms, "{holder} and {} overlap", order.holder);
                assert!(*token < order.token, "the token has to increase");
                *changes += 1;
            }
            assert!(*token <= order.token, "an older token after a newer one");
        }
        last_orders.insert(order.address, (now_ms, order.holder.clone(), order.token));
        taken.push(order);
    }
    taken
}

#[test]
fn holders_never_overlap_within_the_lease() {
    let endpoints = [endpoint(1, "a"), endpoint(2, "a"), endpoint(3, "b")];
    let names = ["g1", "g2", "g3"];
    let mut changes = 0;
    let seeds = std::env::var("WINCHVANE_SEEDS").ok().and_then(|text| text.parse().ok());
    for seed in 0..seeds.unwrap_or(DEFAULT_SEEDS) {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut holders = OrderHolders::new();
        let mut fleet: BTreeMap<&str, Gateway> = BTreeMap::new();
        for name in names {
            fleet.insert(name, Gateway::default());
        }
        let mut last_orders = LastOrders::new();
        let (mut term, mut index) = (1, 1);
        let mut placement = leader(0, &endpoints);
        for now_ms in (0..120_000).step_by(20) {
            // The leader changes; orders of the previous one are still on their way.
            if random.random_bool(0.002) {
                term += 1;
                placement = leader(now_ms, &endpoints);
            }
            for gateway in fleet.values_mut() {
                if random.random_bool(0.004) {
                    gateway.follows_term = None;
                } else if gateway.follows_term != Some(term) && random.random_bool(0.01) {
                    gateway.follows_term = Some(term);
                }
                // Only the current term's leader can confirm a renewal.
                if gateway.follows_term == Some(term) && now_ms % 300 == 0 {
                    gateway.lease_until_ms = now_ms + SEND_LEASE_MS;
                }
            }
            let mut connected = BTreeMap::new();
            for (name, gateway) in &fleet {
                if gateway.follows_term == Some(term) {
                    connected.insert(Arc::from(*name), Arc::from("a"));
                }
            }
            placement.set_gateways(now_ms, connected);
            send_heartbeats(&mut placement, now_ms, &endpoints);
            placement.advance(now_ms, &holders);
            let choices = placement.take_choices();
            if !choices.is_empty() {
                index += 1;
                record(&mut holders, index, choices);
            }
            for order in placement.take_orders() {
                let at_ms = now_ms + random.random_range(0..800);
                if random.random_bool(0.5) {
                    // The outcome is lost, so the next pass may repeat the order.
                    let lost = OrderResult { outcome: OrderOutcome::Unknown, ..answered(&order) };
                    placement.ordered(now_ms, lost);
                }
                let gateway =
                    fleet.get_mut(&*order.holder).expect("the holder is one of the three gateways");
                gateway.orders.push((at_ms, order));
            }
            for gateway in fleet.values_mut() {
                let taken = write_orders(now_ms, gateway, &mut last_orders, &mut changes);
                // The current leader learns outcomes only from gateways that follow its term.
                let is_followed = gateway.follows_term == Some(term);
                for order in taken.iter().filter(|_| is_followed) {
                    placement.ordered(now_ms, answered(order));
                }
            }
        }
    }
    assert!(changes > 20, "holders changed only {changes} times");
}

#[test]
fn order_lost_with_its_gateway_is_repeated() {
    let endpoints = [endpoint(1, "a")];
    let mut holders = OrderHolders::new();
    holders.insert(endpoints[0].address, OrderHolder { gateway: "g1".into(), token: 9 });
    let mut placement = leader(0, &endpoints);
    placement.set_gateways(0, gateways(&[("g1", "a")]));
    placement.advance(10, &holders);
    let first = placement.take_orders();
    assert_eq!(first.len(), 1);
    placement.advance(900, &holders);
    assert!(placement.take_orders().is_empty(), "the outcome may still arrive");
    for now_ms in [1_010, 1_400, 1_800] {
        placement.advance(now_ms, &holders);
    }
    let again = placement.take_orders();
    assert_eq!(again.len(), 1);
    assert!(again[0].number > first[0].number);
}
