//! Tests of balancing by speed: 85 gateways with late counts before three plain endpoints.

use std::collections::VecDeque;
use std::sync::Arc;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use winchvane::control::counts::Counts;
use winchvane::control::distribution::hello;
use winchvane::control::outbox::{OutboxReceiver, outbox};
use winchvane::control::session::Session;
use winchvane::message::{EndpointLoad, Load, RegisteredEndpoint, SessionDown};
use winchvane::policy::counts::period_ms;
use winchvane::policy::endpoint_speed::{
    RecentWork, ServiceWork, Work, is_normal, is_worth_reporting, plain_limit, plain_work,
};
use winchvane::relay::{EventTimes, Fleet, PickRequest, Picked};

const GATEWAYS: usize = 85;
const SLOTS: u32 = 6;
const QUEUE_MAX: usize = 24;
const WORK_MS: f64 = 30.0;
const OBJECTIVE_MS: u64 = 150;
/// The time that the messages from a gateway to the leader and on to another gateway take.
const MESSAGES_MS: u64 = 80;
const SPEEDS: [f64; 3] = [0.55, 1.2, 1.2];

/// True for an endpoint that takes 2.5 times as long at that time.
type SlowAt = fn(usize, u64) -> bool;

/// A request at an endpoint.
#[derive(Debug, Clone, Copy)]
struct Request {
    gateway: usize,
    arrived_ms: u64,
    sent_ms: u64,
    number: u64,
}

#[derive(Default)]
struct Endpoint {
    /// The running requests, and when each one ends.
    running: Vec<(u64, Request)>,
    queue: VecDeque<Request>,
    taken: u32,
}

/// What clients got, and the share of the requests that each endpoint took.
#[derive(Debug, PartialEq)]
struct Served {
    late_per_mille: u64,
    shares: Vec<f64>,
}

/// Gateways, the leader and the endpoints, with the time in the test's hand.
struct Site {
    random: SmallRng,
    speeds: Vec<f64>,
    slow_at: SlowAt,
    learns: bool,
    now_ms: u64,
    fleets: Vec<Fleet>,
    waiting: Vec<(u64, usize)>,
    endpoints: Vec<Endpoint>,
    sessions: Vec<Session>,
    inboxes: Vec<OutboxReceiver>,
    counts: Counts,
    work: ServiceWork,
    messages: VecDeque<(u64, usize, Vec<EndpointLoad>)>,
    sent_down: usize,
    /// The requests that were answered in time, and the others.
    answers: [u64; 2],
}

fn id(endpoint: usize) -> Arc<str> {
    format!("e{endpoint}").into()
}

fn registered(endpoint: usize) -> RegisteredEndpoint {
    RegisteredEndpoint {
        id: id(endpoint),
        name: id(endpoint),
        born_ms: 0,
        service: "quotes".into(),
        address: ([127, 0, 0, 1], 7_000 + endpoint as u16).into(),
        zone: "a".into(),
        slots: SLOTS,
        leaving: false,
        software_version: "v1".into(),
    }
}

impl Site {
    fn new(speeds: &[f64], gateways: usize, seed: u64) -> Self {
        let (mut fleets, mut sessions, mut inboxes) = (Vec::new(), Vec::new(), Vec::new());
        for gateway in 0..gateways {
            let mut fleet = Fleet::new("a".into(), seed * 1_000 + gateway as u64);
            fleet.set_gateways(0, gateways as u32);
            for endpoint in 0..speeds.len() {
                fleet.register(registered(endpoint));
            }
            fleets.push(fleet);
            let (sender, inbox) = outbox(u64::MAX);
            let address = ([127, 0, 0, 1], 9).into();
            sessions.push(Session::new(0, hello("g".into(), 1, "a".into(), address), sender));
            inboxes.push(inbox);
        }
        Self {
            random: SmallRng::seed_from_u64(seed),
            speeds: speeds.to_vec(),
            slow_at: |_, _| false,
            learns: true,
            now_ms: 0,
            fleets,
            waiting: Vec::new(),
            endpoints: speeds.iter().map(|_| Endpoint::default()).collect(),
            sessions,
            inboxes,
            counts: Counts::new(),
            work: ServiceWork::default(),
            messages: VecDeque::new(),
            sent_down: 0,
            answers: [0; 2],
        }
    }

    /// Plays `for_ms` with requests up to `load` of what the endpoints bear at their usual speeds.
    fn play(&mut self, for_ms: u64, load: f64) -> Served {
        (self.answers, self.sent_down) = ([0; 2], 0);
        for endpoint in &mut self.endpoints {
            endpoint.taken = 0;
        }
        let per_ms = self.speeds.iter().sum::<f64>() * f64::from(SLOTS) / WORK_MS * load;
        for _ in 0..for_ms {
            self.now_ms += 1;
            for _ in 0..8 {
                if self.random.random::<f64>() < per_ms / 8.0 {
                    let gateway = self.random.random_range(0..self.fleets.len());
                    self.waiting.push((self.now_ms, gateway));
                }
            }
            for (arrived_ms, gateway) in std::mem::take(&mut self.waiting) {
                // A request that found no place tries again every 20 ms.
                if (self.now_ms - arrived_ms).is_multiple_of(20) {
                    self.try_send(arrived_ms, gateway);
                } else {
                    self.waiting.push((arrived_ms, gateway));
                }
            }
            for endpoint in 0..self.endpoints.len() {
                self.advance(endpoint);
            }
            self.exchange_loads();
        }
        let taken: u32 = self.endpoints.iter().map(|endpoint| endpoint.taken).sum();
        let share = |endpoint: &Endpoint| f64::from(endpoint.taken) / f64::from(taken);
        Served {
            late_per_mille: self.answers[1] * 1_000 / self.answers.iter().sum::<u64>().max(1),
            shares: self.endpoints.iter().map(share).collect(),
        }
    }

    fn try_send(&mut self, arrived_ms: u64, gateway: usize) {
        let now_ms = self.now_ms;
        let left_ms = (arrived_ms + OBJECTIVE_MS).saturating_sub(now_ms);
        if left_ms < 20 {
            self.answers[1] += 1;
            return;
        }
        let fleet = &mut self.fleets[gateway];
        let request =
            PickRequest { objective_left_ms: left_ms, ..PickRequest::new("quotes", None, &[]) };
        let Picked::Endpoint { id, .. } = fleet.pick_for(now_ms, &request) else {
            self.waiting.push((arrived_ms, gateway));
            return;
        };
        let endpoint = &mut self.endpoints[id[1..].parse::<usize>().expect("e and an index")];
        let number = fleet.start(now_ms, &id, None, false);
        if endpoint.queue.len() >= QUEUE_MAX {
            fleet.refused(now_ms, &id);
            fleet.finish(now_ms, &id, None, number);
            self.waiting.push((arrived_ms, gateway));
            return;
        }
        endpoint.taken += 1;
        endpoint.queue.push_back(Request { gateway, arrived_ms, sent_ms: now_ms, number });
    }

    fn advance(&mut self, index: usize) {
        let now_ms = self.now_ms;
        let endpoint = &mut self.endpoints[index];
        for (_, request) in endpoint.running.extract_if(.., |(ends_ms, _)| *ends_ms <= now_ms) {
            let fleet = &mut self.fleets[request.gateway];
            fleet.answered(now_ms, &id(index), request.number);
            fleet.note_plain_response(now_ms, &id(index), request.sent_ms, self.learns);
            fleet.finish(now_ms, &id(index), None, request.number);
            self.answers[usize::from(now_ms > request.arrived_ms + OBJECTIVE_MS)] += 1;
        }
        let slower = if (self.slow_at)(index, now_ms) { 2.5 } else { 1.0 };
        while endpoint.running.len() < SLOTS as usize {
            let Some(request) = endpoint.queue.pop_front() else { return };
            let scatter = self.random.random_range(0.9..1.1);
            let took_ms = (WORK_MS / self.speeds[index] * slower * scatter).round() as u64;
            endpoint.running.push((now_ms + took_ms, request));
        }
    }

    fn exchange_loads(&mut self) {
        let (now_ms, period_ms) = (self.now_ms, period_ms(self.fleets.len()));
        for (gateway, session) in self.sessions.iter_mut().enumerate() {
            if (now_ms + gateway as u64).is_multiple_of(period_ms) {
                let loads = self.fleets[gateway].take_traffic(now_ms).loads;
                self.counts.update(session, loads);
            }
        }
        if now_ms.is_multiple_of(period_ms) {
            let none: [Arc<str>; 0] = [];
            let totals = self.counts.totals(now_ms, self.sessions.iter(), none.iter());
            for (endpoint, load) in &totals {
                self.work.set(endpoint, &"quotes".into(), load);
            }
            for (gateway, session) in self.sessions.iter_mut().enumerate() {
                session.send_loads(&totals, &self.work);
                while let Some(SessionDown::Loads(loads)) = self.inboxes[gateway].try_next() {
                    self.sent_down += loads.len();
                    self.messages.push_back((now_ms + MESSAGES_MS, gateway, loads));
                }
            }
        }
        while let Some((_, gateway, loads)) =
            self.messages.pop_front_if(|(at_ms, ..)| *at_ms <= now_ms)
        {
            self.fleets[gateway].note_loads(now_ms, loads);
        }
    }

    /// The slowdown of the first endpoint as the first gateway knows it.
    fn slowdown(&self) -> f64 {
        self.fleets[0].slowdowns().get("e0").copied().unwrap_or(1.0)
    }
}

/// Plays `load` of what the endpoints bear, at their usual speeds, after five seconds of learning.
fn played(site: &mut Site, load: f64) -> Served {
    site.play(5_000, load);
    site.play(15_000, load)
}

/// Guards against endpoints that are flooded, and others that starve, because 85 gateways follow
/// the same late counts, and against slow intervals that make many requests late.
#[test]
fn requests_follow_the_speed_of_endpoints_despite_late_counts() {
    for seed in 1..4 {
        let mut site = Site::new(&SPEEDS, GATEWAYS, seed);
        let learned = played(&mut site, 0.85);
        assert!(learned.late_per_mille <= 30, "seed {seed}: {learned:?}");
        let speeds: f64 = SPEEDS.iter().sum();
        for (share, speed) in learned.shares.iter().zip(SPEEDS) {
            let due = speed / speeds;
            assert!((due * 0.5..due * 1.5).contains(share), "seed {seed}: {learned:?}");
        }
        // 15 of 100 intervals are slow, at a load that the endpoints bear all the same.
        let mut site = Site::new(&SPEEDS, GATEWAYS, seed);
        site.slow_at = |endpoint, now_ms| {
            winchvane::hash::stable(&format!("{endpoint}/{}", now_ms / 600)) % 100 < 15
        };
        let slowed = played(&mut site, 0.6);
        assert!(slowed.late_per_mille <= 100, "seed {seed}: {slowed:?}");
        let mut site = Site::new(&SPEEDS, GATEWAYS, seed);
        site.learns = false;
        let by_counts = played(&mut site, 0.85);
        println!("seed {seed}: {learned:?}, slowed {slowed:?}, counts alone {by_counts:?}");
        assert!(by_counts.late_per_mille > learned.late_per_mille, "seed {seed}: {by_counts:?}");
    }
}

/// Guards against an endpoint that is avoided for good after a slow time, or not avoided in it.
#[test]
fn an_endpoint_is_learned_as_slow_and_as_fast_again() {
    let mut site = Site::new(&[1.0; 3], GATEWAYS, 5);
    site.play(5_000, 0.5);
    assert!(is_normal(site.slowdown()));
    site.slow_at = |endpoint, now_ms| endpoint == 0 && (5_000..15_000).contains(&now_ms);
    let slow = site.play(10_000, 0.5);
    assert!(site.slowdown() > 1.4, "{}", site.slowdown());
    assert!((0.1..0.25).contains(&slow.shares[0]), "{slow:?}");
    site.play(15_000, 0.5);
    assert!(is_normal(site.slowdown()), "it is fast again");
    let even = site.play(5_000, 0.5);
    assert!(even.shares.iter().all(|share| (0.28..0.39).contains(share)), "{even:?}");
}

/// Guards against other decisions or more messages where endpoints are equally fast.
#[test]
fn endpoints_of_the_same_speed_are_used_as_without_samples() {
    for load in [0.05, 0.5, 0.85] {
        let mut sites = [Site::new(&[1.0; 3], GATEWAYS, 4), Site::new(&[1.0; 3], GATEWAYS, 4)];
        sites[1].learns = false;
        let [with, without] =
            sites.each_mut().map(|site| (site.play(10_000, load), site.sent_down));
        println!("alike at {load}: {with:?}, without samples {without:?}");
        assert!(with.0.late_per_mille <= without.0.late_per_mille, "at {load}");
        // Above that, late counts make the queues of equal endpoints differ for seconds.
        if load <= 0.5 {
            assert_eq!(with, without);
        }
    }
}

/// Guards against evidence that outlives its gateway, its endpoint's incarnation or the leader.
#[test]
fn evidence_ends_with_the_gateway_the_incarnation_and_the_leader() {
    let mut site = Site::new(&SPEEDS, GATEWAYS, 7);
    site.play(5_000, 0.6);
    assert!(site.slowdown() > 1.3);
    let units = site.work.of_service("quotes").units;
    for session in site.sessions.split_off(GATEWAYS / 2) {
        site.counts.mark_session_ended(&session);
    }
    site.play(200, 0.6);
    let kept = site.work.of_service("quotes").units;
    assert!(kept < units * 0.7, "{kept} of {units} units");
    let fleet = &mut site.fleets[0];
    fleet.deregister("e0");
    fleet.register(RegisteredEndpoint { born_ms: 1, ..registered(0) });
    fleet.take_traffic(site.now_ms + 1_000);
    assert_eq!(fleet.slowdowns().get("e0"), None, "the next incarnation has no evidence");
    site.fleets[1].forget_loads(site.now_ms);
    site.fleets[1].take_traffic(site.now_ms + 10_000);
    assert!(site.fleets[1].slowdowns().is_empty(), "its own samples are too few");
}

/// Guards against a gateway that learns nothing while no leader sums samples.
#[test]
fn a_gateway_without_a_leader_uses_its_own_samples() {
    let mut site = Site::new(&SPEEDS, 3, 8);
    site.sessions.clear();
    let result = played(&mut site, 0.6);
    println!("without a leader: {result:?}");
    assert!(site.slowdown() > 1.3);
    assert!(result.late_per_mille <= 30, "{result:?}");
}

/// Guards against an endpoint that is avoided because of one slow response, or chosen because it
/// answers errors at once.
#[test]
fn a_single_slow_response_and_errors_change_little() {
    let mut work = RecentWork::default();
    for _ in 0..32 {
        work.add(0, plain_work(30, 0, SLOTS), Some(30.0));
    }
    work.add(0, plain_work(5_000, 0, SLOTS), Some(30.0));
    let service = Work { units: 100.0, ms: 3_000.0 };
    assert!(is_normal(work.get(0).slowdown(service)));
    let mut fleet = Fleet::new("a".into(), 1);
    fleet.register(registered(0));
    fleet.register(registered(1));
    for turn in 0..100 {
        for (endpoint, took_ms) in [(0, 1), (1, 30)] {
            let at_ms = turn * 40 + took_ms;
            let number = fleet.start(turn * 40, &id(endpoint), None, false);
            fleet.answered(at_ms, &id(endpoint), number);
            fleet.note_plain_response(at_ms, &id(endpoint), turn * 40, endpoint == 1);
            fleet.finish(at_ms, &id(endpoint), None, number);
        }
    }
    fleet.take_traffic(4_000);
    assert!(fleet.slowdowns().is_empty(), "{:?}", fleet.slowdowns());
}

/// Guards against messages about noise, and against evidence that is never taken back.
#[test]
fn only_a_changed_slowdown_is_reported() {
    let load = |work_units, work_ms| Load { work_units, work_ms, ..Load::default() };
    let service = Work { units: 400.0, ms: 12_000.0 };
    assert!(!is_worth_reporting(&load(100, 3_000), &load(120, 3_900), service), "alike");
    assert!(is_worth_reporting(&load(100, 3_000), &load(100, 4_000), service));
    assert!(!is_worth_reporting(&load(100, 6_000), &load(90, 5_500), service));
    assert!(is_worth_reporting(&load(100, 6_000), &load(7, 420), service), "too little is left");
}

/// Guards against a queue that makes requests late, and against idle slots.
#[test]
fn a_plain_endpoint_takes_what_completes_in_time() {
    assert_eq!(plain_limit(6, 18, 150, 30.0), 18, "as before where requests are short");
    assert_eq!(plain_limit(6, 18, 150, 75.0), 12);
    assert_eq!(plain_limit(6, 18, 0, 30.0), 6, "never below the slots");
    assert_eq!(plain_limit(6, 18, 150, 0.0), 18, "as before while nothing is known");
    let mut fleet = Fleet::new("a".into(), 1);
    fleet.register(registered(0));
    let running = Load { running: SLOTS, ..Load::default() };
    fleet.note_loads(0, vec![EndpointLoad { endpoint: id(0), load: running }]);
    let request = PickRequest::new("quotes", None, &[]);
    assert!(matches!(fleet.pick_for(0, &request), Picked::Endpoint { .. }));
    let within_slots = PickRequest { free_slots_only: true, ..request };
    assert_eq!(fleet.pick_for(0, &within_slots), Picked::Full);
}

/// Guards against a slow client that makes its engine look slow.
#[test]
fn events_are_timed_unless_the_client_reads_slowly() {
    let mut times = EventTimes::default();
    for (at_ms, data) in [(100, "data: a\n"), (110, "\ndata: b\r\n\r\n"), (150, "data: c\n\n")] {
        times.note_read(at_ms - 5);
        times.note_data(at_ms, data.as_bytes());
    }
    assert_eq!(times.work(), Some(Work { units: 2.0, ms: 40.0 }));
    times.note_read(400);
    assert_eq!(times.work(), None);
}
