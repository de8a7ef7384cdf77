//! Random operations and failures on the log, the ledger and the configuration; the group checks
//! its invariants after each step. `WINCHVANE_SEEDS=1000 cargo test --release --test random` runs
//! more seeds.

mod common;

use std::sync::Arc;

use common::group::{Group, claim, registration, template};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use winchvane::control::ledger::{KeyDigest, Settlement};
use winchvane::control::raft::Raft;
use winchvane::control::state::Operation;

const DEFAULT_SEEDS: u64 = 24;
const STEPS: usize = 250;
const NAMES: [&str; 3] = ["n1", "n2", "n3"];

#[test]
fn invariants_hold_under_random_failures() {
    for seed in 0..seeds() {
        println!("seed {seed}");
        Simulation::new(seed).run();
    }
}

/// The same with messages that arrive up to 8 s late or twice, so that they reach restarted
/// processes, leaders of former terms and replicas with another disk.
#[test]
fn invariants_hold_with_messages_of_ended_incarnations() {
    for seed in 0..seeds() {
        println!("seed {seed}");
        let mut simulation = Simulation::new(seed);
        simulation.group.comes_very_late = true;
        simulation.group.disturbed = true;
        simulation.run();
    }
}

fn seeds() -> u64 {
    let seeds = std::env::var("WINCHVANE_SEEDS").ok().and_then(|text| text.parse().ok());
    seeds.unwrap_or(DEFAULT_SEEDS)
}

struct Simulation {
    group: Group,
    rng: SmallRng,
    next_claim: u128,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let mut group = Group::new(3, seed);
        let rng = SmallRng::seed_from_u64(seed);
        for node in group.nodes.values_mut() {
            node.snapshot_entries = 40;
        }
        group.run(3_000);
        Self { group, rng, next_claim: 1 }
    }

    fn run(mut self) {
        for _ in 0..STEPS {
            self.step();
        }
        self.group.heal();
        self.group.disturbed = false;
        for name in NAMES {
            self.group.thaw(name);
            if self.group.node(name).raft.is_none() {
                self.group.restart(name);
            }
        }
        self.group.run(30_000);
        self.group.check_history();
        let leader = self.group.leader().expect("a healed group has a leader");
        let label = "last".to_owned();
        assert!(self.group.propose(&leader, label, apply("last", 1)), "the leader takes changes");
        self.group.run(1_000);
        let applied: Vec<u64> = self.group.nodes.values().map(|node| node.applied).collect();
        assert!(applied.iter().all(|index| *index == applied[0]), "replicas differ: {applied:?}");
        self.group.check_history();
    }

    fn step(&mut self) {
        let name = NAMES[self.rng.random_range(0..NAMES.len())];
        match self.rng.random_range(0..100) {
            0..30 => self.propose_operation(),
            30..60 => {
                let duration_ms = self.rng.random_range(20..400);
                self.group.run(duration_ms);
            }
            60..66 => self.group.crash(name),
            66..76 => {
                if self.group.node(name).raft.is_none() {
                    self.group.restart(name);
                }
            }
            76..78 => self.lose_disk(name),
            78..81 => self.group.freeze(name),
            81..86 => self.group.thaw(name),
            86..90 => {
                let other = NAMES[self.rng.random_range(0..NAMES.len())];
                self.group.cut(name, other);
            }
            90..94 => self.group.heal(),
            _ => self.group.disturbed = !self.group.disturbed,
        }
    }

    fn propose_operation(&mut self) {
        let Some(leader) = self.group.leader() else { return };
        let key = format!("k{}", self.rng.random_range(0..6));
        let gateway = format!("g{}", self.rng.random_range(0..3));
        let epoch = self.group.node(&leader).state.fleet.gateway_epoch(&gateway).unwrap_or(1);
        let operation = match self.rng.random_range(0..10) {
            0..3 => apply(&key, self.rng.random_range(1..30)),
            3..6 => {
                // One claim in three is a resend, as after a lost answer.
                if self.rng.random_range(0..3) > 0 {
                    self.next_claim += 1;
                }
                Operation::Claim(claim(&key, self.next_claim, &gateway, epoch, "a"))
            }
            6..8 => Operation::Settle {
                key: KeyDigest::new("workspace", "service", &key),
                claim_id: self.rng.random_range(1..=self.next_claim),
                settlement: match self.rng.random_range(0..3) {
                    0 => Settlement::NotRun,
                    1 => Settlement::Unknown,
                    _ => Settlement::Finished(None),
                },
            },
            8 => {
                let boot_id = self.rng.random_range(0..4);
                Operation::Register(registration(&gateway, boot_id))
            }
            _ => Operation::Expire { gateway: gateway.into(), epoch },
        };
        self.group.propose(&leader, String::new(), operation);
    }

    /// Loses a disk only while the other two replicas hold the whole log: three replicas do not
    /// survive the loss of two disks.
    fn lose_disk(&mut self, name: &str) {
        let mut voters = 0;
        let mut behind = false;
        let leader = self.group.leader();
        let Some(commit) =
            leader.and_then(|leader| self.group.node(&leader).raft.as_ref().map(Raft::commit))
        else {
            return;
        };
        for node in self.group.nodes.values() {
            let Some(raft) = &node.raft else { return };
            behind |= node.frozen || raft.commit() < commit || raft.last_index() != commit;
            voters = raft.members().0.len();
        }
        if behind || voters != 3 {
            return;
        }
        self.group.wipe(name);
        let name: Arc<str> = name.into();
        self.group.restart(&name);
    }
}

fn apply(name: &str, version: u64) -> Operation {
    let content = if version.is_multiple_of(3) { "a" } else { "b" };
    Operation::Apply { documents: vec![template(name, version, content)] }
}
