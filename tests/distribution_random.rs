//! Tests distributors under random schedules: changes of the leader, late confirmations for ended
//! links, and gateways that connect and disconnect. `WINCHVANE_SEEDS=20000 cargo test --release
//! --test distribution_random` runs more seeds.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use tokio::sync::mpsc;
use winchvane::control::distribution::{Distributor, hello};
use winchvane::control::outbox::{OutboxReceiver, outbox};
use winchvane::message::{
    Change, Holding, NewestVersion, Placed, RegisteredEndpoint, SessionDown, SessionHello,
    SessionRole, SessionUp, WeightsName,
};

const DEFAULT_SEEDS: u64 = 60;
const STEPS: usize = 200;
const TICK_MS: u64 = 20;

fn address(last: u8) -> SocketAddr {
    ([127, 0, 0, last], 7_380).into()
}

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

/// The state of the leader, or the state that a gateway has received.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
struct Knowledge {
    versions: BTreeMap<WeightsName, u64>,
    endpoints: BTreeMap<Arc<str>, RegisteredEndpoint>,
    placed: BTreeMap<(Arc<str>, WeightsName), Holding>,
}

impl Knowledge {
    fn change(&mut self, change: Change) {
        match change {
            Change::Version(newest) | Change::VersionOfUnknownAge(newest) => {
                self.versions.insert(newest.name, newest.version);
            }
            Change::Registered(endpoint) => {
                self.endpoints.insert(endpoint.id.clone(), endpoint);
            }
            Change::Deregistered(id) => {
                self.endpoints.remove(&id);
                self.placed.retain(|(endpoint, _), _| *endpoint != id);
            }
            _ => {}
        }
    }

    fn place(&mut self, placed: Placed) {
        let key = (placed.endpoint, placed.name);
        match placed.holding {
            Holding::Gone => self.placed.remove(&key),
            holding => self.placed.insert(key, holding),
        };
    }

    fn changes(&self) -> Vec<Change> {
        let mut changes = Vec::new();
        for endpoint in self.endpoints.values() {
            changes.push(Change::Registered(endpoint.clone()));
        }
        for (name, version) in &self.versions {
            let newest = NewestVersion { name: name.clone(), version: *version };
            changes.push(Change::Version(newest));
        }
        changes
    }

    fn all_placed(&self) -> Vec<Placed> {
        let mut placed = Vec::new();
        for ((endpoint, name), holding) in &self.placed {
            let (endpoint, name, holding) = (endpoint.clone(), name.clone(), *holding);
            placed.push(Placed { endpoint, name, holding });
        }
        placed
    }
}

/// A simulated gateway of the zone.
struct Gateway {
    queue: OutboxReceiver,
    known: Knowledge,
    /// Renewals that were sent and not confirmed yet.
    renewed_at_ms: BTreeSet<u64>,
    is_welcomed: bool,
    is_redirected: bool,
}

struct Simulation {
    distributor: Distributor,
    rng: SmallRng,
    now_ms: u64,
    index: u64,
    leader: Knowledge,
    link: Option<mpsc::Receiver<SessionUp>>,
    /// Numbers of unconfirmed renewals, first of the current link, then of ended links.
    unconfirmed: Vec<u64>,
    ended: Vec<u64>,
    gateways: BTreeMap<u64, Gateway>,
    next_gateway: u64,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let mut simulation = Self {
            distributor: Distributor::new("a".into()),
            rng: SmallRng::seed_from_u64(seed),
            now_ms: 0,
            index: 1,
            leader: Knowledge::default(),
            link: None,
            unconfirmed: Vec::new(),
            ended: Vec::new(),
            gateways: BTreeMap::new(),
            next_gateway: 0,
        };
        simulation.link();
        simulation
    }

    fn run(mut self) {
        for _ in 0..STEPS {
            self.step();
            self.read_gateways();
        }
        if self.link.is_none() {
            self.link();
        }
        for _ in 0..10 {
            self.advance(100);
            self.confirm();
            self.read_gateways();
        }
        let mut compared = 0;
        for (id, gateway) in &self.gateways {
            if gateway.is_welcomed && !gateway.is_redirected {
                assert_eq!(gateway.known, self.leader, "gateway {id} differs from the leader");
                compared += 1;
            }
        }
        let stays = |gateway: &&Gateway| !gateway.is_redirected;
        assert_eq!(
            compared,
            self.gateways.values().filter(stays).count(),
            "not all gateways were welcomed"
        );
    }

    fn step(&mut self) {
        match self.rng.random_range(0..20) {
            0..6 => self.change_leader_state(),
            6..11 => {
                let duration_ms = self.rng.random_range(20..300);
                self.advance(duration_ms);
            }
            11..14 => self.confirm(),
            14 => self.confirm_for_an_ended_link(),
            15 if self.link.is_some() => self.unlink(),
            15 | 16 if self.link.is_none() => self.link(),
            16 | 17 => self.renew(),
            18 => self.open(),
            _ => self.close(),
        }
    }

    /// Changes the leader's state randomly; the change is sent while the link is open.
    fn change_leader_state(&mut self) {
        let adapter = format!("a{}", self.rng.random_range(0..4));
        let name = WeightsName::new("m", Some(&adapter));
        let number = self.rng.random_range(0..5);
        let id: Arc<str> = format!("e{number}").into();
        self.index += 1;
        let change = match self.rng.random_range(0..8) {
            0 | 1 => {
                let version = self.leader.versions.get(&name).map_or(1, |version| version + 1);
                Change::Version(NewestVersion { name, version })
            }
            2 | 3 => {
                let zone = if self.rng.random() { "a" } else { "b" };
                Change::Registered(endpoint(number, zone))
            }
            4 if self.leader.endpoints.contains_key(&id) => Change::Deregistered(id),
            _ if self.leader.endpoints.contains_key(&id) => {
                let holding =
                    if self.rng.random() { Holding::Gone } else { Holding::Ready(self.index) };
                let placed = Placed { endpoint: id, name, holding };
                self.leader.place(placed.clone());
                self.send_to_distributor(SessionDown::Placed {
                    reset: false,
                    placed: vec![placed],
                });
                return;
            }
            _ => return,
        };
        self.leader.change(change.clone());
        let (index, changes) = (self.index, vec![change]);
        self.send_to_distributor(SessionDown::Changes {
            index,
            reset: false,
            complete: true,
            changes,
        });
    }

    fn send_to_distributor(&mut self, down: SessionDown) {
        if self.link.is_some() {
            self.distributor.handle_leader_message(self.now_ms, down);
        }
    }

    fn link(&mut self) {
        let (up, link) = mpsc::channel(10_000);
        self.link = Some(link);
        self.distributor.linked(self.now_ms, up);
        let (index, changes) = (self.index, self.leader.changes());
        self.send_to_distributor(SessionDown::Changes {
            index,
            reset: true,
            complete: true,
            changes,
        });
        let placed = self.leader.all_placed();
        self.send_to_distributor(SessionDown::Placed { reset: true, placed });
    }

    fn unlink(&mut self) {
        self.take_renewals();
        self.ended.append(&mut self.unconfirmed);
        self.link = None;
        self.distributor.unlinked(self.now_ms);
    }

    fn take_renewals(&mut self) {
        let Some(link) = &mut self.link else { return };
        while let Ok(up) = link.try_recv() {
            if let SessionUp::RenewFor { number, .. } = up {
                self.unconfirmed.push(number);
            }
        }
    }

    /// Confirms all renewals sent so far, as after a majority round.
    fn confirm(&mut self) {
        self.take_renewals();
        for number in std::mem::take(&mut self.unconfirmed) {
            self.send_to_distributor(SessionDown::RenewedFor { number });
        }
    }

    fn confirm_for_an_ended_link(&mut self) {
        let Some(number) = self.ended.pop() else { return };
        let before = self.renewals_answered();
        self.send_to_distributor(SessionDown::RenewedFor { number });
        assert_eq!(self.renewals_answered(), before, "an ended link confirms nothing");
    }

    fn renewals_answered(&mut self) -> usize {
        self.read_gateways();
        self.gateways.values().map(|gateway| gateway.renewed_at_ms.len()).sum()
    }

    fn renew(&mut self) {
        self.now_ms += 1;
        let Some(id) = self.any_gateway() else { return };
        let up = SessionUp::Renew { sent_at_ms: self.now_ms, summaries: Vec::new() };
        self.distributor.handle_session_message(0, id, up);
        let gateway = self.gateways.get_mut(&id).expect("the gateway exists");
        gateway.renewed_at_ms.insert(self.now_ms);
    }

    fn any_gateway(&mut self) -> Option<u64> {
        let ids: Vec<u64> = self.gateways.keys().copied().collect();
        (!ids.is_empty()).then(|| ids[self.rng.random_range(0..ids.len())])
    }

    fn open(&mut self) {
        self.next_gateway += 1;
        let id = self.next_gateway;
        let (down, queue) = outbox(u64::MAX);
        let name = format!("g{id}").into();
        let hello =
            SessionHello { role: SessionRole::Follower, ..hello(name, 1, "a".into(), address(90)) };
        self.distributor.open(self.now_ms, id, hello, down, Some(address(1)));
        self.gateways.insert(
            id,
            Gateway {
                queue,
                known: Knowledge::default(),
                renewed_at_ms: BTreeSet::new(),
                is_welcomed: false,
                is_redirected: false,
            },
        );
    }

    fn close(&mut self) {
        let Some(id) = self.any_gateway() else { return };
        self.gateways.remove(&id);
        self.distributor.close(id);
    }

    fn advance(&mut self, by_ms: u64) {
        for _ in 0..by_ms.div_ceil(TICK_MS) {
            self.now_ms += TICK_MS;
            self.distributor.tick(self.now_ms);
        }
    }

    fn read_gateways(&mut self) {
        for gateway in self.gateways.values_mut() {
            while let Some(down) = gateway.queue.try_next() {
                gateway.take(down, &self.leader);
            }
        }
    }
}

impl Gateway {
    fn take(&mut self, down: SessionDown, leader: &Knowledge) {
        match down {
            SessionDown::Welcome { .. } => self.is_welcomed = true,
            SessionDown::Changes { reset, changes, .. } => {
                if reset {
                    self.known.versions.clear();
                    self.known.endpoints.clear();
                }
                for change in changes {
                    self.known.change(change);
                }
                for (name, version) in &self.known.versions {
                    let newest = leader.versions.get(name).copied().unwrap_or(0);
                    assert!(*version <= newest, "version {version} of {name} was never published");
                }
            }
            SessionDown::Placed { reset, placed } => {
                if reset {
                    self.known.placed.clear();
                }
                for placed in placed {
                    self.known.place(placed);
                }
            }
            SessionDown::Renewed { sent_at_ms, .. } => {
                self.renewed_at_ms.remove(&sent_at_ms);
            }
            SessionDown::NotLeader { .. } | SessionDown::Expired => self.is_redirected = true,
            _ => {}
        }
    }
}

#[test]
fn gateways_converge_to_the_leaders_state() {
    let seeds = std::env::var("WINCHVANE_SEEDS").ok().and_then(|text| text.parse().ok());
    for seed in 0..seeds.unwrap_or(DEFAULT_SEEDS) {
        println!("seed {seed}");
        Simulation::new(seed).run();
    }
}
