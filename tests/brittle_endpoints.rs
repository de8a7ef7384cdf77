//! Endpoints that end when they reject too many requests: rejections over all gateways, with counts
//! that arrive late.

use std::collections::VecDeque;
use std::sync::Arc;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use winchvane::message::{
    EndpointLoad, Load, PeerGateway, RegisteredEndpoint, SlotClaims, SlotGrants,
};
use winchvane::policy::brittle::Brittleness;
use winchvane::policy::slot_grants::SlotGrantor;
use winchvane::relay::{Fleet, LeasedEndpoints, PickRequest, Picked, RateLimit};
use yare::parameterized;

const SLOTS: u32 = 6;
const WORK_MS: u64 = 30;
const ENDPOINTS: usize = 3;
/// How many requests a brittle endpoint lets wait once gateways know it, and before.
const QUEUED_MAX: usize = 2;
const QUEUED_BEFORE: usize = 24;
const LENGTH_MS: u64 = 20_000;
/// More gateways than this are simulated for half as long, with one seed.
const MANY: u32 = 100;
/// Endpoints are brittle for gateways that know it.
const KNOWN_MS: u64 = 3_000;
/// How long a message between gateways takes.
const MESSAGE_MS: u64 = 3;
/// How often gateways send claims.
const CLAIMS_EVERY_MS: u64 = 3;
/// How often a waiting request tries to be sent.
const RETRY_EVERY_MS: u64 = 4;
/// How long a request waits to be sent.
const WAITS_MS: u64 = 1_000;
/// The part of what endpoints bear, or of what is asked, that is served: handing a slot to another
/// gateway takes two messages, a fifth of the time for which a request runs here.
const SERVED_MIN: f64 = 0.7;

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
    let mut fleet =
        Fleet::new("near".into(), gateway.into()).with_gateway(gateway_name(gateway as usize));
    fleet.set_gateways(0, gateways);
    let mut coordinators = Vec::new();
    for number in 0..gateways as usize {
        let address = ([127, 0, (number / 250) as u8, (number % 250) as u8], 7_500).into();
        coordinators.push(PeerGateway { name: gateway_name(number), zone: "near".into(), address });
    }
    fleet.set_coordinators(0, coordinators);
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

/// A message between gateways, with the time of its arrival.
type Sent<T> = VecDeque<(u64, usize, T)>;

/// The gateways' leases of slots, exchanged with a delay.
struct Leasing {
    delay_ms: u64,
    grantors: Vec<SlotGrantor>,
    claims: Sent<SlotClaims>,
    grants: Sent<(Arc<str>, SlotGrants)>,
}

impl Leasing {
    fn new(gateways: u32, delay_ms: u64) -> Self {
        let mut grantors = Vec::new();
        grantors.resize_with(gateways as usize, SlotGrantor::new);
        Self { delay_ms, grantors, claims: VecDeque::new(), grants: VecDeque::new() }
    }

    /// Sends the claims that are due, and delivers what has arrived.
    fn advance(&mut self, now_ms: u64, fleets: &mut [Fleet]) {
        for fleet in fleets.iter_mut().filter(|_| now_ms.is_multiple_of(CLAIMS_EVERY_MS)) {
            for (to, claims) in fleet.take_claims(now_ms) {
                self.claims.push_back((now_ms + self.delay_ms, number_of(&to.name), claims));
            }
        }
        while self.claims.front().is_some_and(|(at_ms, ..)| *at_ms <= now_ms) {
            let Some((_, to, claims)) = self.claims.pop_front() else { break };
            let name = gateway_name(to);
            let endpoints = LeasedEndpoints::new(&fleets[to], &name, now_ms);
            let granted = self.grantors[to].claim(now_ms, claims, &endpoints);
            self.send(now_ms, &name, granted.expect("no holder is silent"));
        }
        if now_ms.is_multiple_of(25) {
            for (to, fleet) in fleets.iter().enumerate() {
                let name = gateway_name(to);
                let endpoints = LeasedEndpoints::new(fleet, &name, now_ms);
                let granted = self.grantors[to].advance(now_ms, &endpoints);
                self.send(now_ms, &name, granted);
            }
        }
        while self.grants.front().is_some_and(|(at_ms, ..)| *at_ms <= now_ms) {
            let Some((_, to, (coordinator, grants))) = self.grants.pop_front() else { break };
            fleets[to].apply_grants(&coordinator, grants);
        }
    }

    fn send(&mut self, now_ms: u64, from: &Arc<str>, granted: Vec<(Arc<str>, SlotGrants)>) {
        for (to, grants) in granted {
            let sent = (now_ms + self.delay_ms, number_of(&to), (from.clone(), grants));
            self.grants.push_back(sent);
        }
    }
}

fn gateway_name(number: usize) -> Arc<str> {
    format!("g{number}").into()
}

fn number_of(gateway: &str) -> usize {
    gateway[1..].parse().expect("the name has a number")
}

/// A request that no endpoint has taken yet, and the time at which it gives up.
struct Waiting {
    gateway: usize,
    until_ms: u64,
}

/// Sends `load` times what the endpoints bear through all gateways; returns the most rejections of
/// an endpoint within a second, and the share of what the endpoints bear, or was asked if that is
/// less, that was served.
fn most_rejected(gateways: u32, delay_ms: u64, load: f64, per_s: f64, seed: u64) -> (usize, f64) {
    let length_ms = if gateways > MANY { LENGTH_MS / 2 } else { LENGTH_MS };
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut fleets: Vec<Fleet> = (0..gateways).map(|gateway| fleet(gateway, gateways)).collect();
    let mut leasing = Leasing::new(gateways, MESSAGE_MS);
    let mut servers = Vec::new();
    servers.resize_with(ENDPOINTS, || Server {
        ends_ms: Vec::new(),
        rejected_ms: VecDeque::new(),
        most_rejected: 0,
    });
    let mut running: Vec<(u64, usize, usize, u64, u64)> = Vec::new();
    let mut counts: VecDeque<(u64, Vec<Vec<u32>>)> = VecDeque::new();
    let mut waiting: Vec<Waiting> = Vec::new();
    let bears_per_ms = ENDPOINTS as f64 * f64::from(SLOTS) / WORK_MS as f64;
    let (mut due, mut served) = (0.0, 0);
    for now_ms in 0..length_ms {
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
        leasing.advance(now_ms, &mut fleets);
        due += load * bears_per_ms;
        while due >= 1.0 {
            due -= 1.0;
            let gateway = rng.random_range(0..gateways as usize);
            waiting.push(Waiting { gateway, until_ms: now_ms + WAITS_MS });
        }
        // The first request of each gateway tries to be sent, the others wait for it.
        let mut has_waiting = vec![false; gateways as usize];
        waiting.retain(|request| {
            if now_ms >= request.until_ms {
                return false;
            }
            let is_due = (now_ms + request.gateway as u64).is_multiple_of(RETRY_EVERY_MS);
            if std::mem::replace(&mut has_waiting[request.gateway], true) || !is_due {
                return true;
            }
            let fleet = &mut fleets[request.gateway];
            let picked = fleet.pick_for(now_ms, &PickRequest::new("orders", None, &[]));
            let Picked::Endpoint { id: picked, .. } = picked else { return true };
            has_waiting[request.gateway] = false;
            let endpoint: usize = picked[1..].parse().expect("the id has a number");
            let number = fleet.start(now_ms, &picked, None, false);
            if let Some(ends_ms) = servers[endpoint].admit(now_ms) {
                served += 1;
                running.push((ends_ms, request.gateway, endpoint, number, now_ms));
                return false;
            }
            fleet.note_brittle(now_ms, &picked, now_ms, RateLimit::PerSecond(per_s));
            fleet.refused(now_ms, &picked);
            fleet.finish(now_ms, &picked, None, number);
            false
        });
    }
    let most = servers.iter().map(|server| server.most_rejected).max().unwrap_or_default();
    let bears = bears_per_ms * length_ms as f64 * load.min(1.0);
    (most, f64::from(served) / bears)
}

#[parameterized(
    few_gateways = { 7, 60, 0.9, 10.0 },
    few_gateways_overloaded = { 7, 60, 2.0, 10.0 },
    few_gateways_late_counts = { 7, 200, 1.2, 10.0 },
    many_gateways = { 85, 200, 0.9, 10.0 },
    many_gateways_overloaded = { 85, 200, 2.0, 10.0 },
    more_gateways = { 300, 200, 0.9, 10.0 },
    more_gateways_overloaded = { 300, 200, 2.0, 10.0 },
)]
fn rejections_stay_below_the_number_that_a_brittle_endpoint_names(
    gateways: u32,
    delay_ms: u64,
    load: f64,
    per_s: f64,
) {
    let seeds = if gateways > MANY { 1 } else { 3 };
    for seed in 1..=seeds {
        let (most, served) = most_rejected(gateways, delay_ms, load, per_s, seed);
        println!(
            "{gateways} gateways, load {load}, seed {seed}: {most} rejections, {served:.2} served"
        );
        assert!(most as f64 <= per_s, "{most} rejections in a second, {per_s} are borne");
        assert!(served >= SERVED_MIN, "{served:.2} served, {SERVED_MIN} expected");
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
    assert_eq!(fleet.note_brittle(0, &id(0), 0, RateLimit::PerSecond(5.0)), Some(true));
    for number in 1..ENDPOINTS {
        let changed = fleet.note_brittle(0, &id(number), 0, RateLimit::PerSecond(5.0));
        assert_eq!(changed, None, "the service is brittle already");
    }
    assert_eq!(fleet.pick_for(0, &request), Picked::Full);
    assert_eq!(fleet.note_brittle(5, "e1", 1, RateLimit::PerSecond(5.0)), None);
    assert_eq!(fleet.note_brittle(6, "e0", 4, RateLimit::None), None, "it was overtaken");
    assert_eq!(fleet.pick_for(6, &request), Picked::Full);
    assert_eq!(fleet.note_brittle(10, "e0", 5, RateLimit::None), Some(false));
    assert!(matches!(fleet.pick_for(10, &request), Picked::Endpoint { .. }));
}

#[test]
fn a_response_that_was_overtaken_does_not_end_brittleness() {
    let mut brittleness = Brittleness::default();
    brittleness.note(1_000, 900, true);
    brittleness.note(1_010, 950, false);
    assert!(brittleness.is_brittle(1_010), "the request was sent before the endpoint said so");
    assert!(!brittleness.is_brittle(11_000), "nothing has confirmed it for long");
    brittleness.note(1_020, 1_005, false);
    assert!(!brittleness.is_brittle(1_020));
}

#[test]
fn what_other_gateways_have_heard_counts_until_they_no_longer_say_so() {
    let mut brittleness = Brittleness::default();
    brittleness.note_others(&id(0), true);
    assert!(brittleness.is_brittle(0) && !brittleness.is_heard(0));
    brittleness.note_others(&id(0), false);
    assert!(!brittleness.is_brittle(0));
}

#[test]
fn a_new_incarnation_is_as_brittle_as_its_service() {
    let mut fleet = fleet(1, 1);
    fleet.note_brittle(0, &id(0), 0, RateLimit::PerSecond(5.0));
    fleet.deregister("e1");
    let known = fleet.endpoint("e0").expect("it is registered");
    fleet.register(RegisteredEndpoint { id: "e1@2".into(), name: id(1), born_ms: 2, ..known });
    assert!(fleet.is_brittle(0, "orders"));
    assert_eq!(fleet.pick_for(0, &PickRequest::new("orders", None, &[])), Picked::AwaitingSlot);
}
