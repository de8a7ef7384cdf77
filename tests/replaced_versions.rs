//! Tests of the orders after weights were renewed.

mod common;

use std::collections::BTreeMap;

use common::engines::configuration;
use common::leader::{Leader, adapter, load_of, registered};
use winchvane::control::placement::{
    OrderHolder, OrderHolders, Placement, PlacementSettings, UsageSource,
};
use winchvane::message::{
    EngineOrder, EngineReport, Heartbeat, Holding, OrderKind, OrderOutcome, OrderResult, Weights,
    WeightsName, WeightsUse,
};
use winchvane::routing::ModelSpec;

#[test]
fn newer_version_replaces_the_older_one() {
    let mut leader = Leader::new(4);
    leader.load(1);
    leader.placement.set_version(leader.now_ms, adapter(1), 2);
    let order = leader.next_order();
    assert_eq!(order.kind, OrderKind::Load { name: adapter(1), version: Some(2) });
}

/// A leader with adapter 1 at version 1 on one endpoint and at version 2 on another.
fn renewed() -> Leader {
    let mut leader = Leader::new(4);
    leader.add_endpoint("e2");
    leader.load(1);
    leader.need(1);
    leader.placement.set_version(leader.now_ms, adapter(1), 2);
    let order = leader.next_order();
    assert_eq!(order.kind, OrderKind::Load { name: adapter(1), version: Some(2) });
    leader.answer(&order, OrderOutcome::UnderWay);
    let again = leader.next_order();
    leader.answer(&again, OrderOutcome::Done);
    leader
}

#[test]
fn load_checked_after_a_renewal_yields_the_requested_version() {
    let mut leader = Leader::new(4);
    leader.need(1);
    let order = leader.next_order();
    leader.answer(&order, OrderOutcome::UnderWay);
    leader.placement.set_version(leader.now_ms, adapter(1), 2);
    let again = leader.next_order();
    assert_eq!(again.kind, OrderKind::Load { name: adapter(1), version: Some(2) });
    leader.answer(&again, OrderOutcome::Done);
    let told = leader.placement.take_placed();
    let ready = told.iter().rev().find(|placed| placed.name == adapter(1));
    assert_eq!(ready.map(|placed| placed.holding), Some(Holding::Ready(2)), "{told:?}");
}

/// Returns the first unload of adapter 1, and when it was ordered, while all endpoints use the
/// adapter.
fn first_unload(leader: &mut Leader, within_ms: u64) -> Option<(u64, EngineOrder)> {
    let from_ms = leader.now_ms;
    while leader.now_ms < from_ms + within_ms {
        for id in ["e1", "e2"] {
            leader.heartbeat(id);
            leader.report_use(id, 1, 1, 3);
        }
        for order in leader.pass(20) {
            if order.kind == (OrderKind::Unload { name: adapter(1) }) {
                return Some((leader.now_ms - from_ms, order));
            }
            leader.answer(&order, OrderOutcome::UnderWay);
        }
    }
    None
}

#[test]
fn replaced_version_is_unloaded_in_time_despite_waiting_requests() {
    let mut leader = renewed();
    let (after_ms, order) =
        first_unload(&mut leader, 10_000).expect("the replaced version is unloaded");
    assert!((3_000..4_000).contains(&after_ms), "after {after_ms} ms of 5,000");
    leader.answer(&order, OrderOutcome::Done);
    assert!(first_unload(&mut leader, 10_000).is_none(), "the newest version stays");
}

#[test]
fn new_leader_unloads_replaced_versions_at_once() {
    let mut leader = Leader::new(4);
    leader.load(1);
    leader.placement.learn_version(leader.now_ms, adapter(1), 2);
    let (after_ms, _) = first_unload(&mut leader, 1_000)
        .expect("the version is unloaded, since its age is unknown");
    assert!(after_ms < 300, "after {after_ms} ms");
}

#[test]
fn copy_of_a_replaced_version_attracts_no_load() {
    let mut chosen = std::collections::BTreeSet::new();
    for number in 1..=8 {
        let mut leader = Leader::new(1);
        leader.load(number);
        leader.now_ms += 1_000;
        leader.need(9);
        let unload = leader.next_order();
        leader.answer(&unload, OrderOutcome::Done);
        leader.load(9);
        leader.add_endpoint("e2");
        leader.now_ms += 1_000;
        leader.placement.set_version(leader.now_ms, adapter(number), 2);
        leader.need(number);
        chosen.insert(leader.next_order().endpoint);
    }
    assert_eq!(chosen.len(), 2, "both endpoints have to load from the store: {chosen:?}");
}

#[test]
fn renewed_base_model_evicts_no_other_model() {
    let mut leader = Leader::new(4);
    let mut configured = configuration(4);
    let engine = configured.services[0].engine.as_mut().expect("the service has an engine");
    let other = ModelSpec { name: "other".into(), ..engine.models[0].clone() };
    engine.models.push(other);
    leader.placement.configure(leader.now_ms, &configured);
    leader.add_endpoint_with("e2", &WeightsName::new("other", None));
    let base = adapter(0).base();
    leader.placement.set_version(leader.now_ms, base.clone(), 2);
    for turn in 0..500 {
        if turn % 50 == 0 {
            leader.heartbeat("e1");
            leader.heartbeat("e2");
        }
        let from = UsageSource { gateway: "g1".into(), zone: "a".into() };
        let used = WeightsUse {
            endpoint: "e1".into(),
            name: base.clone(),
            requests: 1,
            reading_ms: 10,
            under_way: 2,
        };
        leader.placement.used(leader.now_ms, &from, vec![used]);
        for order in leader.pass(20) {
            assert_eq!(order.kind, OrderKind::Report, "the loaded version is served");
        }
    }
}

/// Returns when the last of `adapters` replaced adapters at each of `endpoints` endpoints is
/// unloaded.
fn all_unloaded_after_ms(endpoints: usize, adapters: usize) -> u64 {
    let mut placement = Placement::new(0, PlacementSettings::default());
    placement.configure(0, &configuration(64));
    placement.set_gateways(0, BTreeMap::from([("g1".into(), "a".into())]));
    let mut holders = OrderHolders::new();
    let mut now_ms = 1_000;
    for index in 0..endpoints {
        let mut endpoint = registered(&format!("e{index:05}"), 7_000);
        endpoint.address = ([127, 1, (index / 250) as u8, (index % 250) as u8 + 1], 7_000).into();
        holders.insert(endpoint.address, OrderHolder { gateway: "g1".into(), token: 7 });
        placement.register(now_ms, &endpoint);
    }
    let mut holds = vec![Weights { name: adapter(0).base(), version: 1 }];
    for number in 1..=adapters {
        holds.push(Weights { name: adapter(number), version: 1 });
    }
    let published_at_ms = now_ms + 1_000;
    let mut is_published = false;
    let mut left = endpoints * adapters;
    while left > 0 && now_ms < published_at_ms + 20_000 {
        now_ms += 20;
        if now_ms >= published_at_ms && !is_published {
            is_published = true;
            for number in 1..=adapters {
                placement.set_version(now_ms, adapter(number), 2);
            }
        }
        placement.advance(now_ms, &holders);
        for order in placement.take_orders() {
            let outcome = match &order.kind {
                OrderKind::Report => OrderOutcome::Report(EngineReport {
                    sequence: 5,
                    holds: holds.clone(),
                    coming: Vec::new(),
                }),
                OrderKind::Unload { .. } => {
                    left -= 1;
                    OrderOutcome::Done
                }
                OrderKind::Load { .. } => OrderOutcome::UnderWay,
            };
            let (number, endpoint, kind) = (order.number, order.endpoint, order.kind);
            placement.ordered(now_ms, OrderResult { number, endpoint, kind, outcome });
        }
        for index in 0..endpoints {
            if now_ms % 2_000 == 0 {
                let mut endpoint = registered(&format!("e{index:05}"), 7_000);
                endpoint.address =
                    ([127, 1, (index / 250) as u8, (index % 250) as u8 + 1], 7_000).into();
                placement.observe(now_ms, &Heartbeat { endpoint, sequence: 1, holds: None });
            }
        }
    }
    assert_eq!(left, 0, "all replaced adapters are unloaded");
    now_ms - published_at_ms
}

#[test]
fn replaced_versions_are_unloaded_in_time_at_any_scale() {
    for (endpoints, adapters) in [(12, 2), (12, 18), (12_000, 2)] {
        let after_ms = all_unloaded_after_ms(endpoints, adapters);
        assert!(
            after_ms < 4_800,
            "{adapters} at {endpoints} endpoints: after {after_ms} ms of 5,000"
        );
    }
}

#[test]
fn renewed_adapter_replaces_its_old_version_when_no_other_endpoint_has_room() {
    let mut leader = Leader::new(1);
    leader.load(1);
    leader.add_endpoint("e2");
    leader.need(2);
    let order = leader.next_order();
    assert_eq!((&*order.endpoint, order.kind.clone()), ("e2", load_of(2)));
    leader.answer(&order, OrderOutcome::Done);
    leader.now_ms += 400;
    let published_at_ms = leader.now_ms;
    leader.placement.set_version(published_at_ms, adapter(1), 2);
    let load = OrderKind::Load { name: adapter(1), version: Some(2) };
    while leader.now_ms < published_at_ms + 10_000 {
        leader.heartbeat("e1");
        leader.heartbeat("e2");
        leader.report_use("e2", 2, 0, 1);
        // Gateways no longer use the replaced version, and lack the newer one.
        if leader.now_ms >= published_at_ms + 1_250 {
            leader.need(1);
        }
        for order in leader.pass(20) {
            assert_eq!(&*order.endpoint, "e1", "the other endpoint's adapter is in use");
            let is_load = order.kind == load;
            leader.answer(&order, OrderOutcome::Done);
            if is_load {
                let after_ms = leader.now_ms - published_at_ms;
                assert!(
                    after_ms < 1_500,
                    "no home until {after_ms} ms after the version was published"
                );
                return;
            }
        }
    }
    panic!("the newer version is never loaded");
}

#[test]
fn copy_of_a_replaced_version_does_not_count_as_a_copy_of_the_newer_one() {
    let duration_ms = 250;
    let mut leader = Leader::new(64);
    for number in 0..12 {
        leader.heartbeat("e1");
        leader.need(number);
        complete_load(&mut leader, duration_ms);
    }
    leader.placement.set_version(leader.now_ms, adapter(1), 2);
    leader.need(1);
    let orders = complete_load(&mut leader, duration_ms);
    assert!(orders <= 5, "{orders} orders for a single load from the store");
}

/// Completes the next load after `duration_ms`; returns the number of orders for the load.
fn complete_load(leader: &mut Leader, duration_ms: u64) -> usize {
    let mut order = leader.next_order();
    let started_ms = leader.now_ms;
    let mut orders = 1;
    while leader.now_ms < started_ms + duration_ms {
        leader.answer(&order, OrderOutcome::UnderWay);
        order = leader.next_order();
        orders += 1;
    }
    leader.answer(&order, OrderOutcome::Done);
    orders
}

#[test]
fn replaced_version_stays_for_the_configured_time() {
    let settings = PlacementSettings { version_within_ms: 60_000, ..PlacementSettings::default() };
    let mut placement = Placement::new(0, settings);
    placement.configure(0, &configuration(4));
    let mut leader = Leader { placement, holders: OrderHolders::new(), now_ms: 3_000 };
    leader.placement.set_gateways(0, BTreeMap::from([("g1".into(), "a".into())]));
    leader.add_endpoint("e1");
    leader.add_endpoint("e2");
    leader.load(1);
    leader.placement.set_version(leader.now_ms, adapter(1), 2);
    let (after_ms, _) =
        first_unload(&mut leader, 60_000).expect("the replaced version is unloaded");
    assert!((42_000..43_000).contains(&after_ms), "after {after_ms} ms of 60,000");
}

/// A renewed adapter on one endpoint, and another adapter, loaded or still loading, on the only
/// other endpoint. Each endpoint has room for one adapter.
fn renewed_without_room_elsewhere(is_loaded: bool) -> Leader {
    let mut leader = Leader::new(1);
    leader.load(1);
    leader.add_endpoint("e2");
    leader.need(2);
    let order = leader.next_order();
    assert_eq!((&*order.endpoint, order.kind.clone()), ("e2", load_of(2)));
    if is_loaded {
        leader.answer(&order, OrderOutcome::Done);
    }
    leader.placement.set_version(leader.now_ms, adapter(1), 2);
    leader
}

#[test]
fn replaced_version_stays_loaded_while_another_endpoint_is_busy() {
    let mut leader = renewed_without_room_elsewhere(false);
    for _ in 0..10 {
        leader.need(1);
        for order in leader.pass(20) {
            assert!(!matches!(order.kind, OrderKind::Unload { .. }), "{order:?}");
        }
    }
}

#[test]
fn replaced_version_stays_loaded_while_gateways_use_it() {
    let mut leader = renewed_without_room_elsewhere(true);
    for _ in 0..50 {
        for id in ["e1", "e2"] {
            leader.heartbeat(id);
        }
        leader.report_use("e1", 1, 0, 1);
        leader.report_use("e2", 2, 0, 1);
        for order in leader.pass(20) {
            assert!(!matches!(order.kind, OrderKind::Unload { .. }), "{order:?}");
        }
    }
}

#[test]
fn older_version_found_after_a_renewal_is_replaced() {
    let mut leader = Leader::new(4);
    leader.add_endpoint("e2");
    leader.placement.learn_version(leader.now_ms, adapter(1), 2);
    leader.pass(1_000);
    let held = |name, version| Weights { name, version };
    let holds = Some(vec![held(adapter(0).base(), 1), held(adapter(1), 1)]);
    let endpoint = registered("e1", 7_000 + u16::from(b'1'));
    leader.placement.observe(leader.now_ms, &Heartbeat { endpoint, sequence: 2, holds });
    leader.report_use("e1", 1, 3, 1);
    let load = OrderKind::Load { name: adapter(1), version: Some(2) };
    for _ in 0..50 {
        let orders = leader.pass(20);
        if orders.iter().any(|order| order.kind == load) {
            return;
        }
        for order in &orders {
            leader.answer(order, OrderOutcome::Done);
        }
    }
    panic!("no endpoint was ordered to load the newest version within a second");
}
