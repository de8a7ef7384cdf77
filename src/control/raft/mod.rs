//! Raft consensus for the replicated log: elections, replication, commit, snapshots and membership.
//!
//! [`Raft`] does no I/O and reads no clock. Each call takes the current time; what has to be
//! stored, sent and applied is collected and returned by [`Raft::take_output`]. The protocol is
//! Raft with pre-vote, a leader that steps down when it hears from no quorum, reads that a quorum
//! confirms, and one membership change at a time.

mod election;
mod leading;
mod log;
mod types;

use std::collections::BTreeSet;

use rand::SeedableRng;
use rand::rngs::SmallRng;

use leading::{LeaderState, Progress};
use log::Log;
pub use types::{
    Entry, Envelope, HardState, Member, Members, Message, NodeId, Output, Payload, Recovered,
    Snapshot, Timing,
};

/// The bytes of entries on the way to one replica, unless they are set.
const IN_FLIGHT_MAX_BYTES: u64 = 4 << 20;

#[derive(Debug)]
enum Role {
    Follower,
    PreCandidate(BTreeSet<NodeId>),
    Candidate(BTreeSet<NodeId>),
    Leader(Box<LeaderState>),
}

/// Protocol state of one replica.
#[derive(Debug)]
pub struct Raft {
    id: NodeId,
    timing: Timing,
    rng: SmallRng,
    hard_state: HardState,
    hard_state_changed: bool,
    log: Log,
    snapshot_members: Members,
    /// Index of the last entry on disk.
    stable_index: u64,
    members: Members,
    /// Index of the entry that holds `members`.
    members_index: u64,
    commit: u64,
    /// Index of the last entry returned by [`Raft::take_output`] for applying.
    delivered_index: u64,
    role: Role,
    leader: Option<NodeId>,
    leader_heard_at_ms: Option<u64>,
    election_due_ms: u64,
    target_voters: Option<usize>,
    /// The bytes of entries that are sent to a replica before it has confirmed them.
    in_flight_max_bytes: u64,
    output: Output,
}

impl Raft {
    /// Creates a replica from its stored state; `founders` are the members if no snapshot is
    /// stored.
    pub fn new(
        id: NodeId,
        founders: Members,
        recovered: Recovered,
        timing: Timing,
        seed: u64,
        now_ms: u64,
    ) -> Self {
        let (snapshot_index, snapshot_term, snapshot_members) =
            recovered.snapshot.unwrap_or((0, 0, founders));
        let stable_index = recovered.entries.last().map_or(snapshot_index, |entry| entry.index);
        let mut raft = Self {
            id,
            timing,
            rng: SmallRng::seed_from_u64(seed ^ id),
            hard_state: recovered.hard_state,
            hard_state_changed: false,
            members: snapshot_members.clone(),
            members_index: snapshot_index,
            snapshot_members,
            log: Log::new(snapshot_index, snapshot_term, recovered.entries),
            stable_index,
            commit: snapshot_index,
            delivered_index: snapshot_index,
            role: Role::Follower,
            leader: None,
            leader_heard_at_ms: None,
            election_due_ms: 0,
            target_voters: None,
            in_flight_max_bytes: IN_FLIGHT_MAX_BYTES,
            output: Output::default(),
        };
        raft.reload_members();
        raft.reset_election_timeout(now_ms);
        if raft.hard_state.term > 0 {
            raft.shorten_election_timeout(now_ms);
        }
        raft
    }

    /// Sets the target number of voters; learners beyond it wait until a voter falls silent.
    #[must_use]
    pub fn with_target_voters(mut self, voters: usize) -> Self {
        self.target_voters = Some(voters);
        self
    }

    /// Sets the bytes of entries that are sent to a replica before it has confirmed them.
    #[must_use]
    pub fn with_in_flight_max_bytes(mut self, max_bytes: u64) -> Self {
        self.in_flight_max_bytes = max_bytes;
        self
    }

    /// True if the group has the target number of voters and its latest membership is committed.
    pub fn has_target_voters(&self) -> bool {
        let wanted = self.target_voters.unwrap_or(1);
        self.members.voters().count() >= wanted && self.members_index <= self.commit
    }

    /// This replica's id.
    pub fn id(&self) -> NodeId {
        self.id
    }

    /// Shortest time without messages from a leader after which replicas start an election.
    pub fn election_ms(&self) -> u64 {
        self.timing.election_ms
    }

    /// The current term.
    pub fn term(&self) -> u64 {
        self.hard_state.term
    }

    /// The leader of the current term, if known.
    pub fn leader(&self) -> Option<NodeId> {
        self.leader
    }

    /// True when this replica leads.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// True when this replica leads and has committed an entry of its own term.
    pub fn is_settled_leader(&self) -> bool {
        matches!(&self.role, Role::Leader(leading) if self.commit >= leading.term_start_index)
    }

    /// The commit index.
    pub fn commit(&self) -> u64 {
        self.commit
    }

    /// The last index of the log.
    pub fn last_index(&self) -> u64 {
        self.log.last_index()
    }

    /// The index that the snapshot covers.
    pub fn snapshot_index(&self) -> u64 {
        self.log.snapshot_index()
    }

    /// The latest members in the log, which apply before they are committed.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// The term of the entry at `index`, if it is in the log.
    pub fn term_at(&self, index: u64) -> Option<u64> {
        self.log.term_at(index)
    }

    /// The entry at `index`, if the log still has it.
    pub fn entry(&self, index: u64) -> Option<&Entry> {
        self.log.get(index)
    }

    /// Proposes `payload` and returns its index and term, or `None` if this replica does not lead
    /// or is transferring leadership.
    pub fn propose(&mut self, payload: Payload) -> Option<(u64, u64)> {
        let Role::Leader(leading) = &mut self.role else { return None };
        if leading.transfer_target.is_some() {
            return None;
        }
        leading.broadcast_due = true;
        let index = self.last_index() + 1;
        let term = self.hard_state.term;
        self.append_entry(Entry { index, term, payload });
        Some((index, term))
    }

    /// Proposes new members; refused while an earlier membership change is not committed.
    pub fn propose_members(&mut self, members: Members) -> Option<(u64, u64)> {
        if !self.is_settled_leader() || self.members_index > self.commit {
            return None;
        }
        self.propose(Payload::Members(members))
    }

    /// Sends heartbeats and checks the quorum on a leader; starts a due election otherwise.
    pub fn tick(&mut self, now_ms: u64) {
        match &mut self.role {
            Role::Leader(leading) => {
                if now_ms >= leading.heartbeat_due_ms {
                    leading.heartbeat_due_ms = now_ms + self.timing.heartbeat_ms;
                    leading.broadcast_due = true;
                }
                self.check_quorum(now_ms);
            }
            _ if now_ms >= self.election_due_ms && self.members.is_voter(self.id) => {
                self.start_pre_vote(now_ms);
            }
            _ => {}
        }
    }

    /// Processes a message from another replica.
    pub fn receive(&mut self, now_ms: u64, envelope: Envelope) {
        let Envelope { from, term, message, .. } = envelope;
        match message {
            Message::PreVote { last_index, last_term } => {
                let granted = term > self.hard_state.term
                    && !self.has_active_leader(now_ms)
                    && self.is_log_up_to_date(last_index, last_term);
                // A granted reply carries the requested term, so that replies to its own pre-vote
                // do not raise the term of a candidate whose term is old.
                let reply_term = if granted { term } else { self.hard_state.term };
                self.send_after_store_in(reply_term, from, Message::PreVoteReply { granted });
                return;
            }
            Message::PreVoteReply { granted } => {
                self.on_pre_vote_reply(now_ms, from, term, granted);
                return;
            }
            Message::Vote { transfer, .. } if !transfer && self.has_active_leader(now_ms) => return,
            _ => {}
        }
        if term < self.hard_state.term {
            self.reject_stale_message(from, &message);
            return;
        }
        if term > self.hard_state.term {
            let leader = matches!(message, Message::Append { .. } | Message::Install(_));
            self.become_follower(now_ms, term, leader.then_some(from));
        }
        match message {
            Message::Vote { last_index, last_term, .. } => {
                self.on_vote(now_ms, from, last_index, last_term);
            }
            Message::VoteReply { granted } => self.on_vote_reply(now_ms, from, granted),
            Message::Append { prev_index, prev_term, entries, commit, round } => {
                self.follow(now_ms, from);
                self.on_append(from, prev_index, prev_term, entries, commit, round);
            }
            Message::AppendReply { matched, index, round } => {
                self.on_append_reply(now_ms, from, matched, index, round);
            }
            Message::Install(snapshot) => {
                self.follow(now_ms, from);
                self.on_install(from, snapshot);
            }
            Message::TimeoutNow => self.start_vote(now_ms, true),
            Message::PreVote { .. } | Message::PreVoteReply { .. } => {}
        }
    }

    fn reject_stale_message(&mut self, from: NodeId, message: &Message) {
        match message {
            Message::Append { round, .. } => {
                let (index, round) = (self.last_index(), *round);
                self.send_after_store(from, Message::AppendReply { matched: false, index, round });
            }
            Message::Install(_) => {
                let index = self.last_index();
                self.send_after_store(
                    from,
                    Message::AppendReply { matched: false, index, round: 0 },
                );
            }
            Message::Vote { .. } => {
                self.send_after_store(from, Message::VoteReply { granted: false });
            }
            _ => {}
        }
    }

    fn on_append(
        &mut self,
        from: NodeId,
        mut prev_index: u64,
        mut prev_term: u64,
        mut entries: Vec<Entry>,
        commit: u64,
        round: u64,
    ) {
        let end = prev_index + entries.len() as u64;
        let snapshot_index = self.snapshot_index();
        if prev_index < snapshot_index {
            // The snapshot holds only committed entries, which never differ.
            entries.retain(|entry| entry.index > snapshot_index);
            prev_index = snapshot_index;
            prev_term = self.term_at(snapshot_index).unwrap_or(prev_term);
        }
        if self.term_at(prev_index) != Some(prev_term) {
            let index = self.conflict_hint(prev_index);
            self.send_after_store(from, Message::AppendReply { matched: false, index, round });
            return;
        }
        for entry in entries {
            match self.term_at(entry.index) {
                Some(term) if term == entry.term => continue,
                Some(_) => self.truncate_from(entry.index),
                None => {}
            }
            self.append_entry(entry);
        }
        let index = end.max(snapshot_index);
        self.commit = self.commit.max(commit.min(index));
        self.send_after_store(from, Message::AppendReply { matched: true, index, round });
    }

    /// The last index at which the logs may agree: the one before the conflicting term.
    fn conflict_hint(&self, prev_index: u64) -> u64 {
        let last = self.last_index();
        if prev_index > last {
            return last;
        }
        let conflicting = self.term_at(prev_index);
        let mut index = prev_index;
        while index > self.snapshot_index() + 1 && self.term_at(index - 1) == conflicting {
            index -= 1;
        }
        index.saturating_sub(1).max(self.snapshot_index())
    }

    fn truncate_from(&mut self, index: u64) {
        assert!(
            index > self.commit,
            "log truncation from index {index} would remove committed entries"
        );
        self.log.truncate_from(index);
        self.output.append.retain(|entry| entry.index < index);
        if index <= self.stable_index {
            let earlier = self.output.truncate_from.unwrap_or(u64::MAX);
            self.output.truncate_from = Some(index.min(earlier));
            self.stable_index = index - 1;
        }
        self.reload_members();
    }

    fn append_entry(&mut self, entry: Entry) {
        if let Payload::Members(members) = &entry.payload {
            let members = members.clone();
            self.members_index = entry.index;
            self.set_members(members);
        }
        self.output.append.push(entry.clone());
        self.log.push(entry);
    }

    /// Sets the members from the log's latest membership entry, or from the snapshot.
    fn reload_members(&mut self) {
        for entry in self.log.iter().rev() {
            if let Payload::Members(members) = &entry.payload {
                self.members_index = entry.index;
                self.members = members.clone();
                return;
            }
        }
        self.members_index = self.snapshot_index();
        self.members = self.snapshot_members.clone();
    }

    fn set_members(&mut self, members: Members) {
        if let Role::Leader(leading) = &mut self.role {
            let next_index = self.log.last_index() + 1;
            leading.progress.retain(|id, _| members.0.contains_key(id));
            for id in members.0.keys() {
                if *id != self.id && !leading.progress.contains_key(id) {
                    leading.progress.insert(*id, Progress::new(next_index, 0));
                }
            }
        }
        self.members = members;
    }

    fn on_install(&mut self, from: NodeId, snapshot: Snapshot) {
        if snapshot.index <= self.commit {
            let index = self.commit;
            self.send_after_store(from, Message::AppendReply { matched: true, index, round: 0 });
            return;
        }
        self.output.append.clear();
        self.output.truncate_from = None;
        self.output.committed.clear();
        self.log.reset(snapshot.index, snapshot.term);
        self.snapshot_members = snapshot.members.clone();
        self.stable_index = snapshot.index;
        self.commit = snapshot.index;
        self.delivered_index = snapshot.index;
        self.reload_members();
        let index = snapshot.index;
        self.output.install = Some(snapshot);
        self.send_after_store(from, Message::AppendReply { matched: true, index, round: 0 });
    }

    /// Sends a stored snapshot to a replica named in [`Output::need_snapshot`].
    pub fn send_snapshot(&mut self, to: NodeId, snapshot: Snapshot) {
        self.send_after_store(to, Message::Install(snapshot));
    }

    /// Drops the log up to `index`, which a stored snapshot covers.
    pub fn compact(&mut self, index: u64) {
        let Some(term) = self.term_at(index) else { return };
        if index <= self.snapshot_index() || index > self.delivered_index {
            return;
        }
        self.snapshot_members = self.members_at(index);
        self.log.compact(index, term);
        self.reload_members();
    }

    /// The members as of `index`.
    pub fn members_at(&self, index: u64) -> Members {
        for entry in self.log.iter().rev() {
            if entry.index > index {
                continue;
            }
            if let Payload::Members(members) = &entry.payload {
                return members.clone();
            }
        }
        self.snapshot_members.clone()
    }

    /// The entries that the log holds after the snapshot.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.log.iter()
    }

    /// The bytes of the entries that the log holds after the snapshot.
    pub fn log_bytes(&self) -> u64 {
        self.log.size_bytes()
    }

    /// The bytes of the entries after the snapshot up to `index`.
    pub fn log_bytes_up_to(&self, index: u64) -> u64 {
        self.log.bytes_between(self.snapshot_index(), index)
    }

    /// The term and vote to be stored.
    pub fn hard_state(&self) -> HardState {
        self.hard_state
    }

    /// Records that all entries up to `index` are on disk.
    pub fn mark_persisted(&mut self, index: u64) {
        self.stable_index = self.stable_index.max(index.min(self.last_index()));
        self.advance_commit();
        self.confirm_reads();
    }

    /// Returns what has to be stored, sent and applied since the last call.
    pub fn take_output(&mut self, now_ms: u64) -> Output {
        self.broadcast(now_ms);
        while self.delivered_index < self.commit {
            let Some(entry) = self.entry(self.delivered_index + 1).cloned() else { break };
            self.delivered_index += 1;
            self.output.committed.push(entry);
        }
        if self.hard_state_changed {
            self.hard_state_changed = false;
            self.output.hard_state = Some(self.hard_state);
        }
        std::mem::take(&mut self.output)
    }

    fn send_after_store(&mut self, to: NodeId, message: Message) {
        self.send_after_store_in(self.hard_state.term, to, message);
    }

    fn send_after_store_in(&mut self, term: u64, to: NodeId, message: Message) {
        self.output.late.push(Envelope { from: self.id, to, term, message });
    }
}
