//! A control group in memory, with messages, time, disks and failures in the test's hand.
//!
//! After each step the group checks what must always hold: one leader in a term, committed entries
//! that never change, versions that never go back, and at most one grant of a key that has not been
//! declared not run.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use winchvane::control::fleet::Registration;
use winchvane::control::ledger::{Claim, ClaimOutcome, KeyDigest, Settlement, body_digest};
use winchvane::control::raft::{
    Entry, Envelope, HardState, Member, Members, NodeId, Payload, Raft, Recovered, Snapshot, Timing,
};
use winchvane::control::state::{Command, Operation, Outcome, State};
use winchvane::document::{Document, Template};

pub const STEP_MS: u64 = 20;
const LATENCY_MS: u64 = 1;

/// What survives a crash.
#[derive(Debug, Clone, Default)]
pub struct Disk {
    hard: HardState,
    snapshot: Option<Snapshot>,
    entries: Vec<Entry>,
}

pub struct Node {
    pub id: NodeId,
    pub name: Arc<str>,
    founders: Members,
    disk: Disk,
    pub raft: Option<Raft>,
    pub state: State,
    pub applied: u64,
    pub frozen: bool,
    pub sync_fails: bool,
    pub snapshot_entries: u64,
    waiting: BTreeMap<u64, (u64, String)>,
    reads: BTreeMap<u64, String>,
    was_leader_in: u64,
    newly_applied: Vec<Entry>,
}

pub struct Group {
    pub now_ms: u64,
    pub nodes: BTreeMap<Arc<str>, Node>,
    messages: VecDeque<(u64, Envelope)>,
    held: VecDeque<Envelope>,
    cuts: BTreeSet<(Arc<str>, Arc<str>)>,
    pub events: Vec<String>,
    next_id: NodeId,
    next_token: u64,
    leaders: BTreeMap<u64, NodeId>,
    committed: BTreeMap<u64, Entry>,
    grants: BTreeMap<KeyDigest, BTreeSet<u128>>,
    not_run: BTreeSet<(KeyDigest, u128)>,
    seed: u64,
    /// Messages are dropped, delayed and doubled by chance.
    pub disturbed: bool,
    /// Whether disturbed messages may also come seconds later, at incarnations started meanwhile.
    pub comes_very_late: bool,
    rng: SmallRng,
}

fn address(id: NodeId) -> std::net::SocketAddr {
    ([127, 0, 0, 1], 1_000 + (id % 60_000) as u16).into()
}

impl Group {
    pub fn new(size: u64, seed: u64) -> Self {
        let mut founders = Members::default();
        for id in 1..=size {
            let name = format!("n{id}").into();
            founders.0.insert(id, Member { name, address: address(id), voter: true });
        }
        let mut group = Self {
            now_ms: 0,
            nodes: BTreeMap::new(),
            messages: VecDeque::new(),
            held: VecDeque::new(),
            cuts: BTreeSet::new(),
            events: Vec::new(),
            next_id: 100,
            next_token: 0,
            leaders: BTreeMap::new(),
            committed: BTreeMap::new(),
            grants: BTreeMap::new(),
            not_run: BTreeSet::new(),
            seed,
            disturbed: false,
            comes_very_late: false,
            rng: SmallRng::seed_from_u64(seed),
        };
        for id in 1..=size {
            let name: Arc<str> = format!("n{id}").into();
            let mut node = Node::new(id, name.clone(), founders.clone());
            node.start(seed, 0);
            group.nodes.insert(name, node);
        }
        group
    }

    /// Lets time pass in small steps.
    pub fn run(&mut self, duration_ms: u64) {
        let end_ms = self.now_ms + duration_ms;
        while self.now_ms < end_ms {
            self.now_ms += STEP_MS;
            for node in self.nodes.values_mut() {
                if node.frozen {
                    continue;
                }
                if let Some(raft) = &mut node.raft {
                    raft.tick(self.now_ms);
                }
            }
            self.maintain_members();
            self.settle();
        }
    }

    /// Delivers what is due until nothing more moves at this time.
    pub fn settle(&mut self) {
        for _ in 0..1_000 {
            let mut moved = self.flush_all();
            let due_ms = self.now_ms + LATENCY_MS;
            let mut later = VecDeque::new();
            for (at_ms, envelope) in std::mem::take(&mut self.messages) {
                if at_ms > due_ms {
                    later.push_back((at_ms, envelope));
                    continue;
                }
                moved = true;
                if self.disturbed && self.disturb(&envelope) {
                    continue;
                }
                self.deliver(envelope);
            }
            later.append(&mut self.messages);
            self.messages = later;
            if !moved {
                break;
            }
        }
        self.check();
    }

    fn maintain_members(&mut self) {
        for node in self.nodes.values_mut() {
            if node.frozen {
                continue;
            }
            let Some(raft) = &mut node.raft else { continue };
            if let Some(members) = raft.next_members(self.now_ms) {
                raft.propose_members(members);
            }
        }
        let mut joining = Vec::new();
        for node in self.nodes.values() {
            if node.founders.0.is_empty() && node.raft.is_some() && !node.frozen {
                joining.push((node.id, node.name.clone()));
            }
        }
        for (id, name) in joining {
            let Some(leader) = self.leader() else { return };
            if self.is_cut(&name, &leader) || self.is_cut(&leader, &name) {
                continue;
            }
            let node = self.nodes.get_mut(&leader).expect("the leader is a node");
            let Some(raft) = &mut node.raft else { continue };
            if raft.members().0.contains_key(&id) {
                continue;
            }
            let mut members = raft.members().clone();
            members.0.retain(|_, known| known.voter || known.name != name);
            members.0.insert(id, Member { name, address: address(id), voter: false });
            raft.propose_members(members);
        }
    }

    fn flush_all(&mut self) -> bool {
        let mut moved = false;
        for node in self.nodes.values_mut() {
            if node.frozen {
                continue;
            }
            let (sent, events) = node.flush(self.now_ms);
            moved |= !sent.is_empty() || !events.is_empty();
            for envelope in sent {
                self.messages.push_back((self.now_ms + LATENCY_MS, envelope));
            }
            for event in events {
                self.events.push(format!("{}: {event}", node.name));
            }
        }
        moved
    }

    fn deliver(&mut self, envelope: Envelope) {
        let (Some(from), Some(to)) = (self.name_of(envelope.from), self.name_of(envelope.to))
        else {
            return;
        };
        if self.is_cut(&from, &to) {
            return;
        }
        let node = self.nodes.get_mut(&to).expect("the receiver is a node");
        if node.frozen {
            self.held.push_back(envelope);
            return;
        }
        let now_ms = self.now_ms;
        if let Some(raft) = &mut node.raft {
            raft.receive(now_ms, envelope);
        }
    }

    fn name_of(&self, id: NodeId) -> Option<Arc<str>> {
        self.nodes.values().find(|node| node.id == id).map(|node| node.name.clone())
    }

    fn is_cut(&self, from: &Arc<str>, to: &Arc<str>) -> bool {
        self.cuts.contains(&(from.clone(), to.clone()))
    }

    /// The node that leads in the highest term, if any node leads.
    pub fn leader(&self) -> Option<Arc<str>> {
        let mut best: Option<(u64, Arc<str>)> = None;
        for node in self.nodes.values() {
            let Some(raft) = &node.raft else { continue };
            if !raft.is_settled_leader() || node.frozen {
                continue;
            }
            if best.as_ref().is_none_or(|(term, _)| raft.term() > *term) {
                best = Some((raft.term(), node.name.clone()));
            }
        }
        best.map(|(_, name)| name)
    }

    pub fn node(&mut self, name: &str) -> &mut Node {
        self.nodes.get_mut(name).unwrap_or_else(|| panic!("no node {name}"))
    }

    pub fn crash(&mut self, name: &str) {
        let node = self.node(name);
        node.raft = None;
        node.frozen = false;
        node.waiting.clear();
        node.reads.clear();
    }

    pub fn restart(&mut self, name: &str) {
        let (now_ms, seed) = (self.now_ms, self.seed);
        self.node(name).start(seed, now_ms);
    }

    /// Loses the disk; the node comes back under a new identity.
    pub fn wipe(&mut self, name: &str) {
        self.crash(name);
        let id = self.next_id;
        self.next_id += 1;
        let name: Arc<str> = name.into();
        self.nodes.insert(name.clone(), Node::new(id, name, Members::default()));
    }

    pub fn freeze(&mut self, name: &str) {
        self.node(name).frozen = true;
    }

    /// Wakes a frozen node; what was sent to it meanwhile comes all at once.
    pub fn thaw(&mut self, name: &str) {
        self.node(name).frozen = false;
        let id = self.node(name).id;
        let (mine, others) = self.held.drain(..).partition(|envelope| envelope.to == id);
        self.held = others;
        let mine: VecDeque<Envelope> = mine;
        for envelope in mine {
            self.messages.push_back((self.now_ms, envelope));
        }
    }

    pub fn cut(&mut self, from: &str, to: &str) {
        self.cuts.insert((from.into(), to.into()));
    }

    pub fn heal(&mut self) {
        self.cuts.clear();
    }

    /// Drops, delays or doubles a message by chance; true when it is not to be delivered now.
    fn disturb(&mut self, envelope: &Envelope) -> bool {
        if self.comes_very_late && self.rng.random_range(0..12) == 0 {
            let at_ms = self.now_ms + self.rng.random_range(1_000..8_000);
            self.messages.push_back((at_ms, envelope.clone()));
            return self.rng.random();
        }
        match self.rng.random_range(0..20) {
            0 => true,
            1 | 2 => {
                let at_ms = self.now_ms + self.rng.random_range(20..600);
                self.messages.push_back((at_ms, envelope.clone()));
                true
            }
            3 => {
                let at_ms = self.now_ms + self.rng.random_range(20..600);
                self.messages.push_back((at_ms, envelope.clone()));
                false
            }
            _ => false,
        }
    }

    pub fn propose(&mut self, name: &str, label: String, operation: Operation) -> bool {
        let command = Command { now_ms: self.now_ms, operation };
        let node = self.node(name);
        let Some(raft) = &mut node.raft else { return false };
        if !raft.is_settled_leader() {
            return false;
        }
        let Some((index, term)) = raft.propose(Payload::Command(command.encode())) else {
            return false;
        };
        node.waiting.insert(index, (term, label));
        true
    }

    pub fn read(&mut self, name: &str, label: String) -> bool {
        self.next_token += 1;
        let token = self.next_token;
        let node = self.node(name);
        let Some(raft) = &mut node.raft else { return false };
        if !raft.request_read(token) {
            return false;
        }
        node.reads.insert(token, label);
        true
    }

    /// Checks what must always hold, and takes the events since the last call.
    pub fn take_events(&mut self) -> Vec<String> {
        std::mem::take(&mut self.events)
    }

    fn check(&mut self) {
        for node in self.nodes.values() {
            let Some(raft) = &node.raft else { continue };
            if raft.is_leader() {
                let leader = *self.leaders.entry(raft.term()).or_insert(node.id);
                assert_eq!(leader, node.id, "two leaders in term {}", raft.term());
            }
        }
        for node in self.nodes.values_mut() {
            for entry in node.newly_applied.drain(..) {
                let known = self.committed.entry(entry.index).or_insert_with(|| entry.clone());
                assert_eq!(*known, entry, "two entries were committed at one index");
            }
        }
    }

    /// Replays everything committed from the start: grants at most one run for each key, and no
    /// document's version ever falls.
    pub fn check_history(&mut self) {
        let mut state = State::new();
        let mut versions = BTreeMap::new();
        for (index, entry) in &self.committed {
            let Payload::Command(bytes) = &entry.payload else { continue };
            let command = Command::decode(bytes).expect("a committed command can be read");
            let claim = match &command.operation {
                Operation::Claim(claim) => Some(claim.clone()),
                _ => None,
            };
            if let Operation::Settle { key, claim_id, settlement: Settlement::NotRun } =
                &command.operation
            {
                self.not_run.insert((*key, *claim_id));
            }
            let (outcome, _) = state.apply(*index, command);
            if let (Some(claim), Outcome::Claimed(ClaimOutcome::Granted)) = (claim, outcome) {
                let grants = self.grants.entry(claim.key).or_default();
                grants.insert(claim.claim_id);
                let may_have_run =
                    grants.iter().filter(|id| !self.not_run.contains(&(claim.key, **id))).count();
                assert!(may_have_run <= 1, "a key was granted twice: {:?}", claim.key);
            }
            for document in state.config.documents(None, None) {
                let key = (document.kind(), document.name().clone());
                let earlier = versions.insert(key.clone(), document.version()).unwrap_or(0);
                assert!(document.version() >= earlier, "{key:?} went back at {index}");
            }
        }
        self.grants.clear();
        let last = self.committed.keys().next_back().copied().unwrap_or(0);
        for node in self.nodes.values() {
            if node.raft.is_none() || node.applied != last {
                continue;
            }
            let same = node.state.encode() == state.encode();
            assert!(same, "replica {} differs from its log", node.name);
        }
    }
}

impl Node {
    fn new(id: NodeId, name: Arc<str>, founders: Members) -> Self {
        Self {
            id,
            name,
            founders,
            disk: Disk::default(),
            raft: None,
            state: State::new(),
            applied: 0,
            frozen: false,
            sync_fails: false,
            snapshot_entries: u64::MAX,
            waiting: BTreeMap::new(),
            reads: BTreeMap::new(),
            was_leader_in: 0,
            newly_applied: Vec::new(),
        }
    }

    pub fn start(&mut self, seed: u64, now_ms: u64) {
        let snapshot = self.disk.snapshot.clone();
        self.state = match &snapshot {
            Some(snapshot) => State::decode(&snapshot.data).expect("a snapshot can be read"),
            None => State::new(),
        };
        let recovered = Recovered {
            hard_state: self.disk.hard,
            snapshot: snapshot.map(|found| (found.index, found.term, found.members)),
            entries: self.disk.entries.clone(),
        };
        let raft =
            Raft::new(self.id, self.founders.clone(), recovered, Timing::default(), seed, now_ms);
        self.applied = raft.snapshot_index();
        self.raft = Some(raft);
        self.frozen = false;
    }

    /// Stores, sends and applies; a failed sync ends the node, as it ends the process.
    fn flush(&mut self, now_ms: u64) -> (Vec<Envelope>, Vec<String>) {
        let mut sent = Vec::new();
        let mut events = Vec::new();
        loop {
            let Some(raft) = &mut self.raft else { return (sent, events) };
            let mut output = raft.take_output(now_ms);
            let idle = !output.must_store()
                && output.committed.is_empty()
                && output.early.is_empty()
                && output.late.is_empty();
            sent.append(&mut output.early);
            if output.must_store() {
                if self.sync_fails {
                    self.raft = None;
                    events.push("stopped: sync failed".to_owned());
                    return (sent, events);
                }
                if let Some(snapshot) = output.install.take() {
                    events.push(format!("installed snapshot {}", snapshot.index));
                    self.state = State::decode(&snapshot.data).expect("a snapshot can be read");
                    self.applied = snapshot.index;
                    self.disk.hard = raft.hard_state();
                    self.disk.entries = raft.entries().cloned().collect();
                    self.disk.snapshot = Some(snapshot);
                    raft.mark_persisted(raft.last_index());
                } else {
                    self.disk.save(&output.hard_state, output.truncate_from, &output.append);
                    if let Some(entry) = output.append.last() {
                        raft.mark_persisted(entry.index);
                    }
                }
            }
            sent.append(&mut output.late);
            for to in &output.need_snapshot {
                if let Some(snapshot) = &self.disk.snapshot {
                    raft.send_snapshot(*to, snapshot.clone());
                }
            }
            if raft.is_settled_leader() && self.was_leader_in < raft.term() {
                self.was_leader_in = raft.term();
                events.push(format!("leads in term {}", raft.term()));
            }
            for entry in std::mem::take(&mut output.committed) {
                self.apply(entry, &mut events);
            }
            for (token, index) in std::mem::take(&mut output.reads) {
                if let Some(label) = self.reads.remove(&token) {
                    events.push(format!("{label}: confirmed up to {index}"));
                }
            }
            for token in std::mem::take(&mut output.failed_reads) {
                if let Some(label) = self.reads.remove(&token) {
                    events.push(format!("{label}: lost"));
                }
            }
            self.compact();
            if idle {
                return (sent, events);
            }
        }
    }

    fn apply(&mut self, entry: Entry, events: &mut Vec<String>) {
        self.newly_applied.push(entry.clone());
        let mut outcome = Outcome::Done;
        if let Payload::Command(bytes) = &entry.payload {
            let command = Command::decode(bytes).expect("a committed command can be read");
            (outcome, _) = self.state.apply(entry.index, command);
        }
        self.applied = entry.index;
        let Some((term, label)) = self.waiting.remove(&entry.index) else { return };
        if term == entry.term {
            events.push(format!("{label}: {}", describe(&outcome)));
        } else {
            events.push(format!("{label}: lost"));
        }
    }

    fn compact(&mut self) {
        let Some(raft) = &mut self.raft else { return };
        if self.applied < raft.snapshot_index().saturating_add(self.snapshot_entries) {
            return;
        }
        let snapshot = Snapshot {
            index: self.applied,
            term: raft.term_at(self.applied).expect("the log holds what was applied"),
            members: raft.members_at(self.applied),
            data: self.state.encode(),
        };
        raft.compact(self.applied);
        self.disk.snapshot = Some(snapshot);
        self.disk.entries = raft.entries().cloned().collect();
    }

    pub fn describe(&self) -> String {
        let Some(raft) = &self.raft else { return format!("{}: down", self.name) };
        let role = match (self.frozen, raft.is_leader(), raft.members().0.get(&raft.id())) {
            (true, ..) => "frozen",
            (_, true, _) => "leader",
            (_, _, Some(member)) if member.voter => "follower",
            (_, _, Some(_)) => "learner",
            _ => "outside",
        };
        let voters = raft.members().0.values().filter(|member| member.voter).count();
        format!(
            "{}: {role} term={} last={} commit={} applied={} voters={voters}",
            self.name,
            raft.term(),
            raft.last_index(),
            raft.commit(),
            self.applied
        )
    }
}

impl Disk {
    fn save(&mut self, hard: &Option<HardState>, truncate_from: Option<u64>, append: &[Entry]) {
        if let Some(hard) = hard {
            self.hard = *hard;
        }
        if let Some(from) = truncate_from {
            self.entries.retain(|entry| entry.index < from);
        }
        self.entries.extend_from_slice(append);
    }
}

fn describe(outcome: &Outcome) -> String {
    match outcome {
        Outcome::Done => "done".to_owned(),
        Outcome::Accepted => "accepted".to_owned(),
        Outcome::Registered(epoch) => format!("registered under epoch {epoch}"),
        Outcome::Applied(reply) => {
            let verdicts: Vec<String> =
                reply.verdicts.iter().map(|found| format!("{:?}", found.verdict)).collect();
            let accepted = if reply.accepted { "accepted" } else { "refused" };
            format!("{accepted} {}", verdicts.join(", "))
        }
        Outcome::Claimed(ClaimOutcome::Finished(answer)) => {
            format!("Finished with status {}", answer.status)
        }
        Outcome::Claimed(outcome) => format!("{outcome:?}"),
    }
}

/// A template whose pool stands for its content.
pub fn template(name: &str, version: u64, content: &str) -> Document {
    Document::Template(Template {
        name: name.into(),
        version,
        pool: content.into(),
        parameters: BTreeMap::new(),
        fields: BTreeMap::new(),
    })
}

pub fn claim(key: &str, id: u128, gateway: &str, epoch: u64, body: &str) -> Claim {
    Claim {
        key: KeyDigest::new("workspace", "service", key),
        body: body_digest("POST", "/orders", body.as_bytes()),
        claim_id: id,
        gateway: gateway.into(),
        gateway_epoch: epoch,
        issued_at_ms: None,
    }
}

pub fn registration(name: &str, boot_id: u64) -> Registration {
    let address = ([127, 0, 0, 1], 9_000).into();
    Registration { name: name.into(), boot_id, zone: "zone-a".into(), address }
}
