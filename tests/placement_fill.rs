//! The cost of a placement pass while most endpoints are empty, as after a cold start.

mod common;

use std::collections::BTreeMap;
use std::time::Duration;

use common::engines::configuration;
use nix::time::{ClockId, clock_gettime};
use winchvane::control::placement::{OrderHolder, OrderHolders, Placement, PlacementSettings};
use winchvane::message::{
    EngineOrder, EngineReport, OrderKind, OrderOutcome, OrderResult, RegisteredEndpoint,
};

const ENDPOINTS: u16 = 3_000;
/// Far above the time that a pass takes with a scan for each service, far below that with a scan for
/// each endpoint.
const PASS_MAX: Duration = Duration::from_millis(500);

/// The processor time of this thread: other processes may run meanwhile.
fn cpu_time() -> Duration {
    clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID).expect("Linux provides the clock").into()
}

fn registered(number: u16) -> RegisteredEndpoint {
    let id = format!("e{number}");
    RegisteredEndpoint {
        id: id.as_str().into(),
        name: id.as_str().into(),
        born_ms: 0,
        service: "quotes".into(),
        address: ([127, 0, 0, 1], 2_000 + number).into(),
        zone: "a".into(),
        slots: 8,
        leaving: false,
        software_version: "v1".into(),
    }
}

fn reported_empty(order: &EngineOrder) -> OrderResult {
    let report = EngineReport { sequence: 5, holds: Vec::new(), coming: Vec::new() };
    OrderResult {
        number: order.number,
        endpoint: order.endpoint.clone(),
        kind: order.kind.clone(),
        outcome: OrderOutcome::Report(report),
    }
}

/// Guards against passes that scan all endpoints once for each empty one: the leader then handles
/// nothing else while a fleet or a zone starts.
#[test]
fn a_pass_over_many_empty_endpoints_is_short() {
    let mut placement = Placement::new(0, PlacementSettings::default());
    placement.configure(0, &configuration(4));
    placement.set_gateways(0, BTreeMap::from([("g1".into(), "a".into())]));
    let mut holders = OrderHolders::new();
    for number in 0..ENDPOINTS {
        let endpoint = registered(number);
        holders.insert(endpoint.address, OrderHolder { gateway: "g1".into(), token: 7 });
        placement.register(3_000, &endpoint);
    }
    placement.advance(3_000, &holders);
    for order in placement.take_orders() {
        assert_eq!(order.kind, OrderKind::Report, "the first order has to be a report");
        placement.ordered(3_001, reported_empty(&order));
    }
    placement.end_pass(3_001);
    let began = cpu_time();
    placement.advance(4_000, &holders);
    let took = cpu_time().saturating_sub(began);
    let orders = placement.take_orders();
    assert!(orders.iter().any(|order| matches!(order.kind, OrderKind::Load { .. })), "a load");
    assert!(took < PASS_MAX, "{} ms", took.as_millis());
}
