//! A leader that creates orders for inference endpoints.

use std::collections::BTreeMap;

use super::engines::configuration;
use winchvane::control::placement::{
    OrderHolder, OrderHolders, Placement, PlacementSettings, UsageSource,
};
use winchvane::message::{
    AdapterNeed, EngineOrder, EngineReport, Heartbeat, OrderKind, OrderOutcome, OrderResult,
    RegisteredEndpoint, Weights, WeightsName, WeightsUse,
};

pub fn adapter(number: usize) -> WeightsName {
    WeightsName::new("base", Some(&format!("a{number}")))
}

pub fn registered(id: &str, port: u16) -> RegisteredEndpoint {
    RegisteredEndpoint {
        id: id.into(),
        name: id.into(),
        born_ms: 0,
        service: "quotes".into(),
        address: ([127, 0, 0, 1], port).into(),
        zone: "a".into(),
        slots: 8,
        leaving: false,
        software_version: "v1".into(),
    }
}

pub fn load_of(number: usize) -> OrderKind {
    OrderKind::Load { name: adapter(number), version: None }
}

/// A leader with one gateway as order holder and one endpoint that holds only the base model.
pub struct Leader {
    pub placement: Placement,
    pub holders: OrderHolders,
    pub now_ms: u64,
}

impl Leader {
    pub fn new(adapter_places: usize) -> Self {
        let mut placement = Placement::new(0, PlacementSettings::default());
        placement.configure(0, &configuration(adapter_places));
        placement.set_gateways(0, BTreeMap::from([("g1".into(), "a".into())]));
        let holders = OrderHolders::new();
        let mut leader = Self { placement, holders, now_ms: 3_000 };
        leader.add_endpoint("e1");
        leader
    }

    /// Registers an endpoint that holds only the default base model.
    pub fn add_endpoint(&mut self, id: &str) {
        self.add_endpoint_with(id, &adapter(0).base());
    }

    /// Registers an endpoint that holds only `model`.
    pub fn add_endpoint_with(&mut self, id: &str, model: &WeightsName) {
        let port = 7_000 + u16::from(id.as_bytes()[1]);
        let holder = OrderHolder { gateway: "g1".into(), token: 7 };
        self.holders.insert(([127, 0, 0, 1], port).into(), holder);
        self.placement.register(self.now_ms, &registered(id, port));
        let report = self.next_order();
        assert_eq!(report.kind, OrderKind::Report, "the first order has to be a report");
        let held = Weights { name: model.clone(), version: 1 };
        let outcome = EngineReport { sequence: 5, holds: vec![held], coming: Vec::new() };
        self.answer(&report, OrderOutcome::Report(outcome));
    }

    pub fn heartbeat(&mut self, id: &str) {
        let endpoint = registered(id, 7_000 + u16::from(id.as_bytes()[1]));
        let heartbeat = Heartbeat { endpoint, sequence: 1, holds: None };
        self.placement.observe(self.now_ms, &heartbeat);
    }

    pub fn need(&mut self, number: usize) {
        let need = AdapterNeed {
            service: "quotes".into(),
            weights: adapter(number),
            requests: 1,
            more: false,
            software_version: None,
        };
        self.placement.note_needs(self.now_ms, &"a".into(), vec![need]);
    }

    /// Reports requests for an adapter: how many were sent and how many are in progress.
    pub fn report_use(&mut self, endpoint: &str, number: usize, requests: u32, under_way: u32) {
        let from = UsageSource { gateway: "g1".into(), zone: "a".into() };
        let name = adapter(number);
        let reading_ms = requests * 100;
        let used = WeightsUse { endpoint: endpoint.into(), name, requests, reading_ms, under_way };
        self.placement.used(self.now_ms, &from, vec![used]);
    }

    pub fn pass(&mut self, passed_ms: u64) -> Vec<EngineOrder> {
        self.now_ms += passed_ms;
        self.placement.advance(self.now_ms, &self.holders);
        self.placement.take_orders()
    }

    pub fn next_order(&mut self) -> EngineOrder {
        for _ in 0..1_000 {
            if let Some(order) = self.pass(10).pop() {
                return order;
            }
        }
        panic!("no order within ten seconds");
    }

    pub fn answer(&mut self, order: &EngineOrder, outcome: OrderOutcome) {
        self.now_ms += 1;
        let result = OrderResult {
            number: order.number,
            endpoint: order.endpoint.clone(),
            kind: order.kind.clone(),
            outcome,
        };
        self.placement.ordered(self.now_ms, result);
    }

    /// Loads an adapter to completion.
    pub fn load(&mut self, number: usize) {
        self.need(number);
        let order = self.next_order();
        assert_eq!(order.kind, OrderKind::Load { name: adapter(number), version: None });
        self.answer(&order, OrderOutcome::UnderWay);
        let repeat = self.next_order();
        assert_eq!(repeat.kind, order.kind);
        self.answer(&repeat, OrderOutcome::Done);
    }
}
