//! Endpoints that end when they reject too many requests: rejections over all gateways, with counts
//! that arrive late.

use std::collections::VecDeque;
use std::sync::Arc;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use winchvane::message::{EndpointLoad, Load, RegisteredEndpoint};
use winchvane::policy::brittle::Brittleness;
use winchvane::relay::{Fleet, PickRequest, Picked, RateLimit};
use yare::parameterized;

const SLOTS: u32 = 6;
const WORK_MS: u64 = 30;
const ENDPOINTS: usize = 3;
/// How many requests a brittle endpoint lets wait once gateways know it, and before.
const QUEUED_MAX: usize = 2;
const QUEUED_BEFORE: usize = 24;
const LENGTH_MS: u64 = 20_000;
/// Endpoints are brittle for gateways that know it.
const KNOWN_MS: u64 = 3_000;

struct Server {
    /// When each request that was let in ends.
    ends_ms: Vec<u64>,
    rejected_ms: VecDeque<u64>,
    most_rejected: usize,
}

impl Server {
    /// Lets a request in; returns when it ends, or `None` if it is rejected.
    fn admit(&mut self, now_ms: u64) -> Option<u64> {
        self.ends_ms.retain(|ends_ms| *ends_ms > now_ms);
        let slots = SLOTS as usize;
        let queued_max = if now_ms < KNOWN_MS { QUEUED_BEFORE } else { QUEUED_MAX };
        if self.ends_ms.len() >= slots + queued_max {
            self.rejected_ms.push_back(now_ms);
            self.rejected_ms.retain(|at_ms| at_ms + 1_000 > now_ms);
            if now_ms >= KNOWN_MS {
                self.most_rejected = self.most_rejected.max(self.rejected_ms.len());
            }
            return None;
        }
        self.ends_ms.sort_unstable();
        let begins_ms = match self.ends_ms.len().checked_sub(slots) {
            Some(before) => self.ends_ms[before],
            None => now_ms,
        };
        let ends_ms = begins_ms + WORK_MS;
        self.ends_ms.push(ends_ms);
        Some(ends_ms)
    }
}

fn id(number: usize) -> Arc<str> {
    format!("e{number}").into()
}

fn fleet(gateway: u32, gateways: u32) -> Fleet {
    let mut fleet = Fleet::new("near".into(), gateway.into());
    fleet.set_gateways(0, gateways);
    for number in 0..ENDPOINTS {
        fleet.register(RegisteredEndpoint {
            id: id(number),
            name: id(number),
            born_ms: 0,
            service: "orders".into(),
            address: ([127, 0, 0, 1], 7_000 + number as u16).into(),
            zone: "near".into(),
            slots: SLOTS,
            leaving: false,
            software_version: "v1".into(),
        });
    }
    fleet
}

/// Sends `load` times what the endpoints bear through all gateways; returns the most rejections of
/// an endpoint within a second, and the share of requests that were served.
fn most_rejected(gateways: u32, delay_ms: u64, load: f64, per_s: f64, seed: u64) -> (usize, f64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut fleets: Vec<Fleet> = (0..gateways).map(|gateway| fleet(gateway, gateways)).collect();
    let mut servers = Vec::new();
    servers.resize_with(ENDPOINTS, || Server {
        ends_ms: Vec::new(),
        rejected_ms: VecDeque::new(),
        most_rejected: 0,
    });
    let mut running: Vec<(u64, usize, usize, u64, u64)> = Vec::new();
    let mut counts: VecDeque<(u64, Vec<Vec<u32>>)> = VecDeque::new();
    let bears_per_ms = ENDPOINTS as f64 * f64::from(SLOTS) / WORK_MS as f64;
    let (mut due, mut asked, mut served) = (0.0, 0, 0);
    for now_ms in 0..LENGTH_MS {
        running.retain(|(ends_ms, gateway, endpoint, number, sent_ms)| {
            if *ends_ms <= now_ms {
                let (fleet, id) = (&mut fleets[*gateway], id(*endpoint));
                fleet.answered(now_ms, &id, *number);
                fleet.note_plain_response(now_ms, &id, *sent_ms, true);
                fleet.note_brittle(now_ms, &id, *sent_ms, RateLimit::PerSecond(per_s));
                fleet.note_limit(now_ms, &id, *sent_ms, RateLimit::None);
                fleet.finish(now_ms, &id, None, *number);
            }
            *ends_ms > now_ms
        });
        if now_ms % 40 == 0 {
            let mut own = vec![vec![0; ENDPOINTS]; gateways as usize];
            for (_, gateway, endpoint, ..) in &running {
                own[*gateway][*endpoint] += 1;
            }
            counts.push_back((now_ms + delay_ms, own));
        }
        while counts.front().is_some_and(|(at_ms, _)| *at_ms <= now_ms) {
            let Some((_, own)) = counts.pop_front() else { break };
            for (gateway, fleet) in fleets.iter_mut().enumerate() {
                let mut loads = Vec::new();
                for endpoint in 0..ENDPOINTS {
                    let all: u32 = own.iter().map(|own| own[endpoint]).sum();
                    let load = Load { running: all - own[gateway][endpoint], ..Load::default() };
                    loads.push(EndpointLoad { endpoint: id(endpoint), load });
                }
                fleet.note_loads(now_ms, loads);
            }
        }
        due += load * bears_per_ms;
        while due >= 1.0 {
            due -= 1.0;
            asked += 1;
            let gateway = rng.random_range(0..gateways as usize);
            let fleet = &mut fleets[gateway];
            let request = PickRequest::new("orders", None, &[]);
            let Picked::Endpoint { id: picked, .. } = fleet.pick_for(now_ms, &request) else {
                continue;
            };
            let endpoint: usize = picked[1..].parse().expect("the id has a number");
            let number = fleet.start(now_ms, &picked, None, false);
            if let Some(ends_ms) = servers[endpoint].admit(now_ms) {
                served += 1;
                running.push((ends_ms, gateway, endpoint, number, now_ms));
                continue;
            }
            fleet.note_brittle(now_ms, &picked, now_ms, RateLimit::PerSecond(per_s));
            fleet.refused(now_ms, &picked);
            fleet.finish(now_ms, &picked, None, number);
        }
    }
    let most = servers.iter().map(|server| server.most_rejected).max().unwrap_or_default();
    (most, f64::from(served) / f64::from(asked))
}

#[parameterized(
    few_gateways = { 7, 60, 0.9, 10.0 },
    few_gateways_overloaded = { 7, 60, 2.0, 10.0 },
    few_gateways_late_counts = { 7, 200, 1.2, 10.0 },
    many_gateways = { 85, 200, 0.9, 10.0 },
    many_gateways_overloaded = { 85, 200, 2.0, 10.0 },
)]
fn rejections_stay_below_the_number_that_a_brittle_endpoint_names(
    gateways: u32,
    delay_ms: u64,
    load: f64,
    per_s: f64,
) {
    for seed in 1..=3 {
        let (most, served) = most_rejected(gateways, delay_ms, load, per_s, seed);
        println!(
            "{gateways} gateways, load {load}, seed {seed}: {most} rejections, {served:.2} served"
        );
        assert!(most as f64 <= per_s, "{most} rejections in a second, {per_s} are borne");
    }
}

#[test]
fn a_brittle_endpoint_is_used_up_to_its_slots_only() {
    let mut fleet = fleet(1, 1);
    let load = Load { running: SLOTS, ..Load::default() };
    for number in 0..ENDPOINTS {
        fleet.note_loads(0, vec![EndpointLoad { endpoint: id(number), load }]);
    }
    let request = PickRequest::new("orders", None, &[]);
    assert!(matches!(fleet.pick_for(0, &request), Picked::Endpoint { .. }), "it may wait there");
    for number in 0..ENDPOINTS {
        let changed = fleet.note_brittle(0, &id(number), 0, RateLimit::PerSecond(5.0));
        assert_eq!(changed, Some(true));
    }
    assert_eq!(fleet.pick_for(0, &request), Picked::Full);
    assert_eq!(fleet.note_brittle(10, "e0", 5, RateLimit::None), Some(false));
    assert!(matches!(fleet.pick_for(10, &request), Picked::Endpoint { id, .. } if &*id == "e0"));
}

#[test]
fn a_response_that_was_overtaken_does_not_end_brittleness() {
    let mut brittleness = Brittleness::default();
    assert!(brittleness.note(1_000, 900, Some(5.0)));
    assert!(!brittleness.note(1_010, 950, None), "it was sent before the number was named");
    assert!(brittleness.is_brittle(1_010));
    assert!(!brittleness.is_brittle(11_000), "nothing has confirmed it for long");
    assert!(brittleness.note(1_020, 1_005, None));
}

#[test]
fn a_pause_keeps_all_gateways_together_below_the_number() {
    let mut brittleness = Brittleness::default();
    assert_eq!(brittleness.pause_ms(0, 7, 0.0), None);
    brittleness.note(0, 0, Some(10.0));
    let shortest_ms = brittleness.pause_ms(0, 7, 0.0).expect("it is brittle");
    assert!(7_000 / shortest_ms <= 10, "{shortest_ms} ms");
    assert_eq!(brittleness.pause_ms(0, 700, 1.0), Some(60_000), "the longest pause");
}
