//! Leases of slots under random demand, lost streams, silent gateways and changes of coordinators: over
//! all gateways, no more requests are sent to an endpoint under leases than it has slots.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use winchvane::message::{PeerGateway, SlotClaims, SlotGrants, SlotStream};
use winchvane::policy::slot_coordinators::SlotCoordinators;
use winchvane::policy::slot_grants::{CoordinatedEndpoints, SlotGrantor};
use winchvane::policy::slot_leases::SlotLeases;
use yare::parameterized;

const ENDPOINTS: usize = 4;
const SLOTS: u32 = 3;
const LENGTH_MS: u64 = 20_000;
const STEP_MS: u64 = 5;
/// How long a message takes at most.
const MESSAGE_MAX_MS: u64 = 20;
/// How long a request runs at most.
const RUN_MAX_MS: u64 = 400;

fn gateway_name(number: usize) -> Arc<str> {
    format!("g{number}").into()
}

fn endpoint_id(number: usize) -> Arc<str> {
    format!("e{number}").into()
}

fn number_of(name: &str) -> usize {
    name[1..].parse().expect("the name has a number")
}

fn listed(numbers: impl Iterator<Item = usize>) -> Vec<PeerGateway> {
    let mut gateways = Vec::new();
    for number in numbers {
        let address = ([127, 0, 0, 1], 7_000 + number as u16).into();
        gateways.push(PeerGateway { name: gateway_name(number), zone: "near".into(), address });
    }
    gateways
}

/// What one gateway knows as a coordinator.
struct Known<'a> {
    coordinators: &'a SlotCoordinators,
    name: &'a str,
    now_ms: u64,
}

impl CoordinatedEndpoints for Known<'_> {
    fn is_known(&self, _: &str) -> bool {
        true
    }

    fn is_coordinated(&self, endpoint: &str) -> bool {
        self.coordinators.of(endpoint).is_some_and(|it| &*it.name == self.name)
    }

    fn leasable_slots(&self, endpoint: &str) -> Option<u32> {
        self.coordinators.is_settled(self.now_ms, self.name, endpoint).then_some(SLOTS)
    }
}

struct Gateway {
    leases: SlotLeases,
    grantor: SlotGrantor,
    coordinators: SlotCoordinators,
    /// Its latest stream to each coordinator.
    streams: BTreeMap<usize, SlotStream>,
    /// When each of its requests ends, by endpoint.
    running: BTreeMap<Arc<str>, Vec<u64>>,
    /// Until when it does nothing.
    stalled_until_ms: u64,
    /// The next list of coordinators, and when it arrives.
    next_list: Option<(u64, Vec<PeerGateway>)>,
}

impl Gateway {
    fn in_use(&self, endpoint: &str) -> u32 {
        self.running.get(endpoint).map_or(0, |runs| runs.len() as u32)
    }
}

/// A message with the time of its arrival, its sender and its receiver.
type Sent<T> = VecDeque<(u64, usize, usize, T)>;

/// What disturbs the gateways.
#[derive(Clone, Copy)]
struct Faults {
    /// Streams are lost and gateways stall.
    streams: bool,
    /// The list of coordinators changes every three seconds.
    lists: bool,
}

struct Simulation {
    gateways: Vec<Gateway>,
    claims: Sent<SlotClaims>,
    grants: Sent<SlotGrants>,
    rng: SmallRng,
    /// The requests sent under leases, and the most that ran at one endpoint.
    sent: u64,
    most_running: u32,
}

impl Simulation {
    fn new(gateways: usize, seed: u64) -> Self {
        let mut all = Vec::new();
        for number in 0..gateways {
            let mut coordinators = SlotCoordinators::new();
            coordinators.set(0, listed(0..gateways));
            all.push(Gateway {
                leases: SlotLeases::new(gateway_name(number), number as u64),
                next_list: None,
                grantor: SlotGrantor::new(),
                coordinators,
                streams: BTreeMap::new(),
                running: BTreeMap::new(),
                stalled_until_ms: 0,
            });
        }
        let rng = SmallRng::seed_from_u64(seed);
        let (claims, grants) = (VecDeque::new(), VecDeque::new());
        Self { gateways: all, claims, grants, rng, sent: 0, most_running: 0 }
    }

    fn run(&mut self, faults: Faults) {
        for now_ms in (0..LENGTH_MS).step_by(STEP_MS as usize) {
            if faults.streams && self.rng.random_range(0..40) == 0 {
                self.strike(now_ms);
            }
            if faults.lists && now_ms.is_multiple_of(3_000) {
                self.change_list(now_ms);
            }
            for number in 0..self.gateways.len() {
                self.work(now_ms, number);
            }
            self.deliver(now_ms);
            self.count();
        }
    }

    /// Loses the stream between two gateways, or stalls one.
    fn strike(&mut self, now_ms: u64) {
        let number = self.rng.random_range(0..self.gateways.len());
        if self.rng.random() {
            let for_ms = self.rng.random_range(100..4_000);
            self.gateways[number].stalled_until_ms = now_ms + for_ms;
            return;
        }
        let to = self.rng.random_range(0..self.gateways.len());
        if let Some(stream) = self.gateways[number].streams.get(&to).copied() {
            self.lose(number, to, stream);
        }
    }

    /// Ends a stream; half of the time, what is on its way still arrives.
    fn lose(&mut self, holder: usize, coordinator: usize, stream: SlotStream) {
        if self.rng.random() {
            self.claims.retain(|(_, from, to, _)| (*from, *to) != (holder, coordinator));
            self.grants.retain(|(_, from, to, _)| (*from, *to) != (coordinator, holder));
        }
        self.gateways[holder].leases.lose(&gateway_name(coordinator), stream);
    }

    /// Leaves one gateway out of the list of coordinators; all learn of it within 100 ms.
    fn change_list(&mut self, now_ms: u64) {
        let left_out = self.rng.random_range(0..self.gateways.len());
        for number in 0..self.gateways.len() {
            let known_ms = now_ms + self.rng.random_range(0..100);
            let list = listed((0..self.gateways.len()).filter(|other| *other != left_out));
            self.gateways[number].next_list = Some((known_ms, list));
        }
    }

    /// Ends and sends requests, and sends the claims that are due.
    fn work(&mut self, now_ms: u64, number: usize) {
        let gateway = &mut self.gateways[number];
        for runs in gateway.running.values_mut() {
            runs.retain(|ends_ms| *ends_ms > now_ms);
        }
        if gateway.stalled_until_ms > now_ms {
            return;
        }
        if let Some((_, list)) = gateway.next_list.take_if(|(at_ms, _)| *at_ms <= now_ms) {
            gateway.coordinators.set(now_ms, list);
        }
        let endpoint = endpoint_id(self.rng.random_range(0..ENDPOINTS));
        let in_use = gateway.in_use(&endpoint);
        if gateway.leases.may_use(now_ms, &endpoint, in_use) {
            let ends_ms = now_ms + self.rng.random_range(1..RUN_MAX_MS);
            gateway.running.entry(endpoint.clone()).or_default().push(ends_ms);
            gateway.leases.unwant(&endpoint);
            gateway.leases.note_use(now_ms, &endpoint);
            self.sent += 1;
        } else {
            gateway.leases.want(now_ms, &endpoint);
        }
        let (running, coordinators) = (&gateway.running, &gateway.coordinators);
        let due = gateway.leases.take_claims(
            now_ms,
            |id| running.get(id).map_or(0, |runs| runs.len() as u32),
            |id| coordinators.of(id).cloned(),
        );
        let silent = gateway.leases.silent(now_ms);
        for (to, claims) in due {
            let to = number_of(&to.name);
            self.gateways[number].streams.insert(to, claims.stream);
            self.send_claims(now_ms, number, to, claims);
        }
        for (coordinator, stream) in silent {
            self.lose(number, number_of(&coordinator), stream);
        }
    }

    /// Messages of one stream arrive in order.
    fn send_claims(&mut self, now_ms: u64, from: usize, to: usize, claims: SlotClaims) {
        let drawn_ms = now_ms + self.rng.random_range(1..MESSAGE_MAX_MS);
        let is_same = |sent: &&(u64, usize, usize, SlotClaims)| (sent.1, sent.2) == (from, to);
        let last_ms = self.claims.iter().filter(is_same).map(|sent| sent.0).max();
        self.claims.push_back((drawn_ms.max(last_ms.unwrap_or(0)), from, to, claims));
    }

    fn send_grants(&mut self, now_ms: u64, from: usize, granted: Vec<(Arc<str>, SlotGrants)>) {
        for (gateway, grants) in granted {
            let to = number_of(&gateway);
            let drawn_ms = now_ms + self.rng.random_range(1..MESSAGE_MAX_MS);
            let is_same = |sent: &&(u64, usize, usize, SlotGrants)| (sent.1, sent.2) == (from, to);
            let last_ms = self.grants.iter().filter(is_same).map(|sent| sent.0).max();
            self.grants.push_back((drawn_ms.max(last_ms.unwrap_or(0)), from, to, grants));
        }
    }

    fn deliver(&mut self, now_ms: u64) {
        for (from, to, claims) in due(&mut self.claims, now_ms, &self.gateways) {
            let gateway = &mut self.gateways[to];
            let name = gateway_name(to);
            let known = Known { coordinators: &gateway.coordinators, name: &name, now_ms };
            let stream = claims.stream;
            match gateway.grantor.claim(now_ms, claims, &known) {
                Some(granted) => self.send_grants(now_ms, to, granted),
                None => self.lose(from, to, stream),
            }
        }
        for number in 0..self.gateways.len() {
            let gateway = &mut self.gateways[number];
            if gateway.stalled_until_ms > now_ms || !now_ms.is_multiple_of(25) {
                continue;
            }
            let name = gateway_name(number);
            let known = Known { coordinators: &gateway.coordinators, name: &name, now_ms };
            let granted = gateway.grantor.advance(now_ms, &known);
            self.send_grants(now_ms, number, granted);
        }
        for (from, to, grants) in due(&mut self.grants, now_ms, &self.gateways) {
            self.gateways[to].leases.apply(&gateway_name(from), grants);
        }
    }

    fn count(&mut self) {
        for endpoint in 0..ENDPOINTS {
            let id = endpoint_id(endpoint);
            let running = self.gateways.iter().map(|gateway| gateway.in_use(&id)).sum();
            self.most_running = self.most_running.max(running);
        }
    }
}

/// Takes the messages that have arrived at gateways which do not stall.
fn due<T>(sent: &mut Sent<T>, now_ms: u64, gateways: &[Gateway]) -> Vec<(usize, usize, T)> {
    let mut arrived = Vec::new();
    for _ in 0..sent.len() {
        let Some((at_ms, from, to, message)) = sent.pop_front() else { break };
        if at_ms <= now_ms && gateways[to].stalled_until_ms <= now_ms {
            arrived.push((from, to, message));
        } else {
            sent.push_back((at_ms, from, to, message));
        }
    }
    arrived
}

#[parameterized(
    undisturbed = { 6, false, false },
    many_gateways = { 40, false, false },
    streams_are_lost_and_gateways_stall = { 6, true, false },
    streams_are_lost_among_many_gateways = { 40, true, false },
    coordinators_change = { 6, false, true },
    coordinators_change_among_many_gateways = { 40, false, true },
    all_at_once = { 6, true, true },
    all_at_once_among_many_gateways = { 40, true, true },
)]
fn no_more_requests_are_sent_under_leases_than_there_are_slots(
    gateways: usize,
    streams: bool,
    lists: bool,
) {
    let seeds = std::env::var("WINCHVANE_SEEDS").ok().and_then(|text| text.parse().ok());
    for seed in 0..seeds.unwrap_or(4_u64) {
        let mut simulation = Simulation::new(gateways, seed);
        simulation.run(Faults { streams, lists });
        let Simulation { sent, most_running, .. } = simulation;
        let summary = format!("seed {seed}: {sent} sent, at most {most_running} at one endpoint");
        println!("{gateways} gateways, {summary}");
        assert!(sent > 100, "{summary}");
        assert!(most_running <= SLOTS, "{summary}, which has {SLOTS} slots");
    }
}
