//! Shares of free places among many gateways that see them late, without a network.

use std::collections::VecDeque;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use winchvane::policy::place_share::{PlaceShare, ServicePlaces};

/// An endpoint that many gateways send to.
#[derive(Debug, Clone)]
struct Shape {
    slots: u32,
    /// The load at which gateways count it as full.
    full: u32,
    /// The load above which gateways count requests as too many.
    busy: u32,
    /// The load at which it rejects requests.
    most: u32,
    work_ms: std::ops::Range<u64>,
}

const ENGINE: Shape = Shape { slots: 12, full: 12, busy: 12, most: 48, work_ms: 300..900 };
const PLAIN: Shape = Shape { slots: 6, full: 18, busy: 12, most: 30, work_ms: 20..40 };
const GATEWAYS: usize = 85;
/// The age of the loads that gateways see, and the time between two of them.
const DELAY_MS: usize = 100;
/// How long a gateway sends nothing to an endpoint that rejected a request.
const PAUSE_MS: u64 = 60;

/// One endpoint and many gateways that see its load late.
struct Crowd {
    shape: Shape,
    /// Without shares, each gateway sends into all free places that it sees.
    has_shares: bool,
    random: SmallRng,
    /// The end of each request in a slot, and its gateway.
    running: Vec<(u64, usize)>,
    /// Gateways of the requests that the endpoint queues.
    queued: VecDeque<usize>,
    own: Vec<u32>,
    waiting: Vec<u32>,
    shares: Vec<PlaceShare>,
    seen: Vec<u32>,
    paused_until_ms: Vec<u64>,
    /// The number of requests at the endpoint in the last milliseconds.
    past: VecDeque<u32>,
    sent: u64,
    rejected: u64,
    idle_ms: u64,
}

impl Crowd {
    /// Begins with an endpoint that is full of requests; each one ends at a time of `ends_ms`.
    fn new(seed: u64, shape: &Shape, has_shares: bool, waiting: Vec<u32>, ends_ms: &[u64]) -> Self {
        let random = SmallRng::seed_from_u64(seed);
        let (mut running, mut queued) = (Vec::new(), VecDeque::new());
        let mut own = vec![0; GATEWAYS];
        for ends_ms in ends_ms {
            let gateway = GATEWAYS - 1;
            own[gateway] += 1;
            if running.len() < shape.slots as usize {
                running.push((*ends_ms, gateway));
            } else {
                queued.push_back(gateway);
            }
        }
        let load = ends_ms.len() as u32;
        let share = PlaceShare::new(0, GATEWAYS, ServicePlaces::default(), 0.0);
        Self {
            shape: shape.clone(),
            has_shares,
            random,
            running,
            queued,
            seen: own.iter().map(|own| load - own).collect(),
            own,
            waiting,
            shares: vec![share; GATEWAYS],
            paused_until_ms: vec![0; GATEWAYS],
            past: VecDeque::from(vec![load; DELAY_MS]),
            sent: 0,
            rejected: 0,
            idle_ms: 0,
        }
    }

    fn places(&self, gateway: usize) -> ServicePlaces {
        let load = self.own[gateway] + self.seen[gateway];
        let Shape { full, busy, .. } = self.shape;
        ServicePlaces {
            total: full,
            free: full.saturating_sub(load),
            excess: load.saturating_sub(busy),
        }
    }

    fn may_send(&self, now_ms: u64, gateway: usize) -> bool {
        self.waiting[gateway] > 0
            && self.paused_until_ms[gateway] <= now_ms
            && self.places(gateway).free > 0
            && (self.shares[gateway].may_send() || !self.has_shares)
    }

    fn send(&mut self, now_ms: u64, gateway: usize) {
        self.sent += 1;
        self.shares[gateway].note_sent();
        if self.running.len() + self.queued.len() >= self.shape.most as usize {
            self.rejected += 1;
            self.shares[gateway].note_rejected();
            self.paused_until_ms[gateway] = now_ms + PAUSE_MS;
            return;
        }
        self.waiting[gateway] -= 1;
        self.own[gateway] += 1;
        self.queued.push_back(gateway);
    }

    /// Advances by a millisecond.
    fn step(&mut self, now_ms: u64) {
        let mut left = Vec::new();
        self.running.retain(|(ends_ms, gateway)| {
            if *ends_ms <= now_ms {
                left.push(*gateway);
            }
            *ends_ms > now_ms
        });
        for gateway in left {
            self.own[gateway] -= 1;
            self.shares[gateway].note_ended();
        }
        self.past.push_back(self.own.iter().sum());
        let past = self.past.pop_front().expect("a load");
        for gateway in 0..GATEWAYS {
            if now_ms % DELAY_MS as u64 == gateway as u64 {
                self.seen[gateway] = past.saturating_sub(self.own[gateway]);
                let (places, draw) = (self.places(gateway), self.random.random());
                self.shares[gateway].note_counts(now_ms, GATEWAYS, places, draw);
            }
            while self.may_send(now_ms, gateway) {
                self.send(now_ms, gateway);
            }
        }
        while self.running.len() < self.shape.slots as usize {
            let Some(gateway) = self.queued.pop_front() else { break };
            let ends_ms = now_ms + self.random.random_range(self.shape.work_ms.clone());
            self.running.push((ends_ms, gateway));
        }
        if self.waiting.iter().any(|waiting| *waiting > 0) {
            self.idle_ms += u64::from(self.shape.slots) - self.running.len() as u64;
        }
    }

    fn play(mut self, until_ms: u64) -> Self {
        for now_ms in 0..until_ms {
            self.step(now_ms);
        }
        self
    }
}

/// The sends, the rejected ones and the share of idle slots, over ten seeds.
fn play_crowd(shape: &Shape, has_shares: bool, waiting: &[u32]) -> (u64, u64, f64) {
    let full: Vec<u64> = (0..u64::from(shape.full)).map(|place| place * 25).collect();
    let (mut sent, mut rejected, mut idle_ms) = (0, 0, 0);
    for seed in 0..10 {
        let crowd = Crowd::new(seed, shape, has_shares, waiting.to_vec(), &full).play(10_000);
        sent += crowd.sent;
        rejected += crowd.rejected;
        idle_ms += crowd.idle_ms;
    }
    (sent, rejected, idle_ms as f64 / (100_000.0 * f64::from(shape.slots)))
}

/// Guards against gateways that flood an endpoint because all of them see its free places, and
/// against places that stay idle because each gateway leaves them to the others.
#[test]
fn many_gateways_neither_flood_an_endpoint_nor_leave_it_idle() {
    let mut two = vec![0; GATEWAYS];
    two[3] = 10_000;
    two[40] = 10_000;
    for (name, shape) in [("engine", ENGINE), ("plain", PLAIN)] {
        for (who, waiting) in [("all", &vec![10_000; GATEWAYS]), ("two", &two)] {
            let (sent, rejected, idle) = play_crowd(&shape, true, waiting);
            println!("{name}, {who} wait: sent {sent}, rejected {rejected}, idle {idle:.3}");
            let alone = play_crowd(&shape, false, waiting);
            println!("without shares: sent {}, rejected {}, idle {:.3}", alone.0, alone.1, alone.2);
            assert!(rejected * 100 <= sent, "{name}, {who}: {rejected} of {sent} rejected");
            assert!(idle <= 0.15, "{name}, {who}: {idle:.3} of the slots idle");
        }
    }
}

/// Guards against a flood of the one place that becomes free while all gateways wait.
#[test]
fn one_free_place_that_all_gateways_see_is_not_flooded() {
    let mut ends_ms = vec![100_000; ENGINE.slots as usize];
    ends_ms[0] = 50;
    // The request that leaves the place belongs to a gateway that has no other one.
    let mut waiting = vec![1; GATEWAYS];
    waiting[GATEWAYS - 1] = 0;
    let (mut most, mut idle_ms) = (0, 0);
    for seed in 0..100 {
        let crowd = Crowd::new(seed, &ENGINE, true, waiting.clone(), &ends_ms).play(1_000);
        assert_eq!(crowd.rejected, 0, "seed {seed}");
        most = most.max(crowd.sent);
        idle_ms += crowd.idle_ms;
    }
    println!("one free place: at most {most} sends, idle for {} ms", idle_ms / 100);
    assert!(most <= 36, "{most} sends to one place; the engine queues 36");
    assert!(idle_ms / 100 <= 200, "idle for {} ms, the age of the counts is 100", idle_ms / 100);
}

/// Guards against gateways that stop sending when no counts arrive.
#[test]
fn without_counts_a_gateway_continues_with_what_it_knows() {
    let places = ServicePlaces { total: 12, free: 1, excess: 0 };
    let mut share = PlaceShare::new(0, GATEWAYS, places, 0.0);
    assert!(!share.may_send(), "the place is left to others");
    share.note_ended();
    assert!(share.may_send(), "its own place can be used at once");
    share.note_sent();
    let mut waited_ms = 0;
    while !share.may_send() {
        waited_ms += 25;
        if share.is_overdue(waited_ms) {
            share.note_counts(waited_ms, GATEWAYS, places, 0.0);
        }
    }
    assert!(waited_ms <= 800, "{waited_ms} ms");
}
