//! The replicated log: elections, replication, commit, snapshots and membership.
//!
//! [`Raft`] is a state machine without clock or input and output. Each call takes the present time;
//! what has to be stored, sent and applied is collected and fetched with
//! [`Raft::take_output`]. The rules are those of Raft with pre-vote, a leader that steps down when
//! it hears from no majority, reads confirmed by a majority round, and one membership change at a
//! time.

mod types;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

pub use types::{
    Entry, Envelope, HardState, Member, Members, Message, NodeId, Output, Payload, Recovered,
    Snapshot, Timing,
};

const MAX_ENTRIES_PER_APPEND: usize = 1_024;
const MAX_BYTES_PER_APPEND: usize = 4 << 20;
const SNAPSHOT_RESEND_MS: u64 = 5_000;
/// A learner this close to the commit index is made a voter.
const PROMOTION_GAP: u64 = 256;

#[derive(Debug)]
struct Progress {
    matched: u64,
    next: u64,
    acked_at_ms: u64,
    acked_round: u64,
    snapshot_sent_at_ms: Option<u64>,
}

#[derive(Debug)]
struct Leading {
    progress: BTreeMap<NodeId, Progress>,
    first_index: u64,
    round: u64,
    reads: VecDeque<PendingRead>,
    heartbeat_due_ms: u64,
    broadcast: bool,
    transfer_to: Option<NodeId>,
}

#[derive(Debug)]
struct PendingRead {
    token: u64,
    round: u64,
    index: u64,
}

#[derive(Debug)]
enum Role {
    Follower,
    PreCandidate(BTreeSet<NodeId>),
    Candidate(BTreeSet<NodeId>),
    Leader(Box<Leading>),
}

/// One replica's part of the protocol.
#[derive(Debug)]
pub struct Raft {
    id: NodeId,
    timing: Timing,
    rng: SmallRng,
    hard: HardState,
    hard_changed: bool,
    snapshot_index: u64,
    snapshot_term: u64,
    snapshot_members: Members,
    entries: VecDeque<Entry>,
    stable: u64,
    members: Members,
    members_index: u64,
    commit: u64,
    delivered: u64,
    role: Role,
    leader: Option<NodeId>,
    heard_at_ms: Option<u64>,
    election_due_ms: u64,
    output: Output,
}

impl Raft {
    /// A replica with what it found on its disk; `founders` are the members when it found nothing.
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
        let stable = recovered.entries.last().map_or(snapshot_index, |entry| entry.index);
        let mut raft = Self {
            id,
            timing,
            rng: SmallRng::seed_from_u64(seed ^ id),
            hard: recovered.hard_state,
            hard_changed: false,
            snapshot_index,
            snapshot_term,
            members: snapshot_members.clone(),
            members_index: snapshot_index,
            snapshot_members,
            entries: recovered.entries.into(),
            stable,
            commit: snapshot_index,
            delivered: snapshot_index,
            role: Role::Follower,
            leader: None,
            heard_at_ms: None,
            election_due_ms: 0,
            output: Output::default(),
        };
        raft.find_members();
        raft.reset_election(now_ms);
        raft
    }

    /// This replica's identity.
    pub fn id(&self) -> NodeId {
        self.id
    }

    /// The current term.
    pub fn term(&self) -> u64 {
        self.hard.term
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
        matches!(&self.role, Role::Leader(leading) if self.commit >= leading.first_index)
    }

    /// The commit index.
    pub fn commit(&self) -> u64 {
        self.commit
    }

    /// The last index of the log.
    pub fn last_index(&self) -> u64 {
        self.entries.back().map_or(self.snapshot_index, |entry| entry.index)
    }

    /// The index that the snapshot covers.
    pub fn snapshot_index(&self) -> u64 {
        self.snapshot_index
    }

    /// The members now in force.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// The term of the entry at `index`, if it is in the log.
    pub fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.snapshot_index {
            return Some(self.snapshot_term);
        }
        self.entry(index).map(|entry| entry.term)
    }

    /// The entry at `index`, if the log still has it.
    pub fn entry(&self, index: u64) -> Option<&Entry> {
        let position = index.checked_sub(self.snapshot_index + 1)?;
        self.entries.get(usize::try_from(position).ok()?)
    }

    /// Proposes `payload`; the index and term it got, or nothing when this replica does not lead.
    pub fn propose(&mut self, payload: Payload) -> Option<(u64, u64)> {
        let Role::Leader(leading) = &mut self.role else { return None };
        if leading.transfer_to.is_some() {
            return None;
        }
        leading.broadcast = true;
        let index = self.last_index() + 1;
        let term = self.hard.term;
        self.append_entry(Entry { index, term, payload });
        Some((index, term))
    }

    /// Proposes other members; refused while an earlier change is not committed.
    pub fn propose_members(&mut self, members: Members) -> Option<(u64, u64)> {
        if !self.is_settled_leader() || self.members_index > self.commit {
            return None;
        }
        self.propose(Payload::Members(members))
    }

    /// The next step of replacing a lost replica, if one is due: a learner that holds the log
    /// becomes a voter, then the replica that had its name before is removed.
    pub fn next_members(&self) -> Option<Members> {
        let Role::Leader(leading) = &self.role else { return None };
        if !self.is_settled_leader() || self.members_index > self.commit {
            return None;
        }
        for (id, member) in &self.members.0 {
            if member.voter {
                continue;
            }
            let Some(progress) = leading.progress.get(id) else { continue };
            if progress.matched + PROMOTION_GAP < self.commit {
                continue;
            }
            let mut members = self.members.clone();
            members.0.insert(*id, Member { voter: true, ..member.clone() });
            return Some(members);
        }
        self.replaced_member().map(|id| {
            let mut members = self.members.clone();
            members.0.remove(&id);
            members
        })
    }

    /// A voter whose name a later voter has taken over: the one that was heard from less recently.
    fn replaced_member(&self) -> Option<NodeId> {
        let Role::Leader(leading) = &self.role else { return None };
        let heard = |id: NodeId| {
            if id == self.id {
                return u64::MAX;
            }
            leading.progress.get(&id).map_or(0, |progress| progress.acked_at_ms)
        };
        for (id, member) in &self.members.0 {
            for (other_id, other) in &self.members.0 {
                if other_id == id || other.name != member.name || !other.voter {
                    continue;
                }
                return Some(if heard(*id) < heard(*other_id) { *id } else { *other_id });
            }
        }
        None
    }

    /// Asks for a read under `token`; confirmed in [`Output::reads`] after a majority round.
    ///
    /// False when this replica does not lead or has not yet committed in its term.
    pub fn request_read(&mut self, token: u64) -> bool {
        if !self.is_settled_leader() {
            return false;
        }
        let index = self.commit;
        let Role::Leader(leading) = &mut self.role else { return false };
        leading.broadcast = true;
        let round = leading.round;
        leading.reads.push_back(PendingRead { token, round, index });
        true
    }

    /// Hands leadership to the replica that holds most of the log, before a planned stop.
    pub fn transfer_leadership(&mut self) {
        let Role::Leader(leading) = &mut self.role else { return };
        let mut best = None;
        for (id, progress) in &leading.progress {
            if self.members.is_voter(*id)
                && best.is_none_or(|(_, matched)| progress.matched > matched)
            {
                best = Some((*id, progress.matched));
            }
        }
        leading.transfer_to = best.map(|(id, _)| id);
        leading.broadcast = true;
        self.try_transfer();
    }

    fn try_transfer(&mut self) {
        let Role::Leader(leading) = &self.role else { return };
        let Some(to) = leading.transfer_to else { return };
        let matched = leading.progress.get(&to).map_or(0, |progress| progress.matched);
        if matched == self.last_index() {
            self.send_late(to, Message::TimeoutNow);
        }
    }

    /// Lets time pass.
    pub fn tick(&mut self, now_ms: u64) {
        match &mut self.role {
            Role::Leader(leading) => {
                if now_ms >= leading.heartbeat_due_ms {
                    leading.heartbeat_due_ms = now_ms + self.timing.heartbeat_ms;
                    leading.broadcast = true;
                }
                self.check_quorum(now_ms);
            }
            _ if now_ms >= self.election_due_ms && self.members.is_voter(self.id) => {
                self.start_pre_vote(now_ms);
            }
            _ => {}
        }
    }

    fn check_quorum(&mut self, now_ms: u64) {
        let Role::Leader(leading) = &self.role else { return };
        let mut heard = BTreeSet::from([self.id]);
        for (id, progress) in &leading.progress {
            if progress.acked_at_ms + self.timing.election_ms > now_ms {
                heard.insert(*id);
            }
        }
        if !self.members.has_quorum(&heard) {
            self.become_follower(now_ms, self.hard.term, None);
        }
    }

    /// Takes a message in.
    pub fn receive(&mut self, now_ms: u64, envelope: Envelope) {
        let Envelope { from, term, message, .. } = envelope;
        match message {
            Message::PreVote { last_index, last_term } => {
                let granted = term > self.hard.term
                    && !self.hears_leader(now_ms)
                    && self.is_up_to_date(last_index, last_term);
                // The answer carries the term asked for when granted, so that a candidate with an
                // old term is not pushed up by answers to its own question.
                let reply_term = if granted { term } else { self.hard.term };
                self.send_late_in(reply_term, from, Message::PreVoteReply { granted });
                return;
            }
            Message::PreVoteReply { granted } => {
                self.on_pre_vote_reply(now_ms, from, term, granted);
                return;
            }
            Message::Vote { transfer, .. } if !transfer && self.hears_leader(now_ms) => return,
            _ => {}
        }
        if term < self.hard.term {
            self.reject_old_term(from, &message);
            return;
        }
        if term > self.hard.term {
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

    fn reject_old_term(&mut self, from: NodeId, message: &Message) {
        match message {
            Message::Append { round, .. } => {
                let (index, round) = (self.last_index(), *round);
                self.send_late(from, Message::AppendReply { matched: false, index, round });
            }
            Message::Install(_) => {
                let index = self.last_index();
                self.send_late(from, Message::AppendReply { matched: false, index, round: 0 });
            }
            Message::Vote { .. } => self.send_late(from, Message::VoteReply { granted: false }),
            _ => {}
        }
    }

    fn hears_leader(&self, now_ms: u64) -> bool {
        if self.is_leader() {
            return true;
        }
        self.leader.is_some()
            && self.heard_at_ms.is_some_and(|heard| heard + self.timing.election_ms > now_ms)
    }

    fn is_up_to_date(&self, last_index: u64, last_term: u64) -> bool {
        let own = (self.term_at(self.last_index()).unwrap_or(0), self.last_index());
        (last_term, last_index) >= own
    }

    fn start_pre_vote(&mut self, now_ms: u64) {
        self.reset_election(now_ms);
        self.leader = None;
        let votes = BTreeSet::from([self.id]);
        if self.members.has_quorum(&votes) {
            self.start_vote(now_ms, false);
            return;
        }
        self.role = Role::PreCandidate(votes);
        let last_index = self.last_index();
        let last_term = self.term_at(last_index).unwrap_or(0);
        let term = self.hard.term + 1;
        for to in self.other_voters() {
            self.send_late_in(term, to, Message::PreVote { last_index, last_term });
        }
    }

    fn on_pre_vote_reply(&mut self, now_ms: u64, from: NodeId, term: u64, granted: bool) {
        if !granted {
            if term > self.hard.term {
                self.become_follower(now_ms, term, None);
            }
            return;
        }
        let wanted = self.hard.term + 1;
        let Role::PreCandidate(votes) = &mut self.role else { return };
        if term != wanted {
            return;
        }
        votes.insert(from);
        if self.members.has_quorum(votes) {
            self.start_vote(now_ms, false);
        }
    }

    fn start_vote(&mut self, now_ms: u64, transfer: bool) {
        if !self.members.is_voter(self.id) {
            return;
        }
        self.reset_election(now_ms);
        self.leader = None;
        self.hard = HardState { term: self.hard.term + 1, vote: Some(self.id) };
        self.hard_changed = true;
        let votes = BTreeSet::from([self.id]);
        let wins = self.members.has_quorum(&votes);
        self.role = Role::Candidate(votes);
        if wins {
            self.become_leader(now_ms);
            return;
        }
        let last_index = self.last_index();
        let last_term = self.term_at(last_index).unwrap_or(0);
        for to in self.other_voters() {
            self.send_late(to, Message::Vote { last_index, last_term, transfer });
        }
    }

    fn on_vote(&mut self, now_ms: u64, from: NodeId, last_index: u64, last_term: u64) {
        let free = self.hard.vote.is_none_or(|vote| vote == from);
        let granted = free
            && matches!(self.role, Role::Follower | Role::PreCandidate(_))
            && self.is_up_to_date(last_index, last_term);
        if granted {
            if self.hard.vote.is_none() {
                self.hard.vote = Some(from);
                self.hard_changed = true;
            }
            self.reset_election(now_ms);
        }
        self.send_late(from, Message::VoteReply { granted });
    }

    fn on_vote_reply(&mut self, now_ms: u64, from: NodeId, granted: bool) {
        let Role::Candidate(votes) = &mut self.role else { return };
        if !granted {
            return;
        }
        votes.insert(from);
        if self.members.has_quorum(votes) {
            self.become_leader(now_ms);
        }
    }

    fn become_leader(&mut self, now_ms: u64) {
        let next = self.last_index() + 1;
        let mut progress = BTreeMap::new();
        for id in self.members.0.keys() {
            if *id != self.id {
                progress.insert(*id, Progress::new(next, now_ms));
            }
        }
        self.leader = Some(self.id);
        self.role = Role::Leader(Box::new(Leading {
            progress,
            first_index: next,
            round: 1,
            reads: VecDeque::new(),
            heartbeat_due_ms: now_ms + self.timing.heartbeat_ms,
            broadcast: true,
            transfer_to: None,
        }));
        self.propose(Payload::Noop);
    }

    fn become_follower(&mut self, now_ms: u64, term: u64, leader: Option<NodeId>) {
        if term > self.hard.term {
            self.hard = HardState { term, vote: None };
            self.hard_changed = true;
        }
        self.drop_reads();
        self.role = Role::Follower;
        self.leader = leader;
        self.reset_election(now_ms);
    }

    fn drop_reads(&mut self) {
        let Role::Leader(leading) = &mut self.role else { return };
        for read in leading.reads.drain(..) {
            self.output.lost_reads.push(read.token);
        }
    }

    fn follow(&mut self, now_ms: u64, leader: NodeId) {
        if !matches!(self.role, Role::Follower) {
            self.become_follower(now_ms, self.hard.term, Some(leader));
        }
        self.leader = Some(leader);
        self.heard_at_ms = Some(now_ms);
        self.reset_election(now_ms);
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
        if prev_index < self.snapshot_index {
            // The snapshot holds only committed entries, which never differ.
            entries.retain(|entry| entry.index > self.snapshot_index);
            prev_index = self.snapshot_index;
            prev_term = self.snapshot_term;
        }
        if self.term_at(prev_index) != Some(prev_term) {
            let index = self.conflict_hint(prev_index);
            self.send_late(from, Message::AppendReply { matched: false, index, round });
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
        let index = end.max(self.snapshot_index);
        self.commit = self.commit.max(commit.min(index));
        self.send_late(from, Message::AppendReply { matched: true, index, round });
    }

    /// The last index at which the logs may agree: before the term that differs.
    fn conflict_hint(&self, prev_index: u64) -> u64 {
        let last = self.last_index();
        if prev_index > last {
            return last;
        }
        let conflicting = self.term_at(prev_index);
        let mut index = prev_index;
        while index > self.snapshot_index + 1 && self.term_at(index - 1) == conflicting {
            index -= 1;
        }
        index.saturating_sub(1).max(self.snapshot_index)
    }

    fn truncate_from(&mut self, index: u64) {
        assert!(index > self.commit, "a committed entry would change: index={index}");
        let keep = usize::try_from(index - self.snapshot_index - 1).unwrap_or(usize::MAX);
        self.entries.truncate(keep);
        self.output.append.retain(|entry| entry.index < index);
        if index <= self.stable {
            let earlier = self.output.truncate_from.unwrap_or(u64::MAX);
            self.output.truncate_from = Some(index.min(earlier));
            self.stable = index - 1;
        }
        self.find_members();
    }

    fn append_entry(&mut self, entry: Entry) {
        if let Payload::Members(members) = &entry.payload {
            let members = members.clone();
            self.members_index = entry.index;
            self.set_members(members);
        }
        self.output.append.push(entry.clone());
        self.entries.push_back(entry);
    }

    fn find_members(&mut self) {
        for entry in self.entries.iter().rev() {
            if let Payload::Members(members) = &entry.payload {
                self.members_index = entry.index;
                self.members = members.clone();
                return;
            }
        }
        self.members_index = self.snapshot_index;
        self.members = self.snapshot_members.clone();
    }

    fn set_members(&mut self, members: Members) {
        if let Role::Leader(leading) = &mut self.role {
            let next = self.entries.back().map_or(self.snapshot_index, |entry| entry.index) + 1;
            leading.progress.retain(|id, _| members.0.contains_key(id));
            for id in members.0.keys() {
                if *id != self.id && !leading.progress.contains_key(id) {
                    leading.progress.insert(*id, Progress::new(next, 0));
                }
            }
        }
        self.members = members;
    }

    fn on_append_reply(
        &mut self,
        now_ms: u64,
        from: NodeId,
        matched: bool,
        index: u64,
        round: u64,
    ) {
        let last = self.last_index();
        let Role::Leader(leading) = &mut self.role else { return };
        let Some(progress) = leading.progress.get_mut(&from) else { return };
        progress.acked_at_ms = now_ms;
        progress.acked_round = progress.acked_round.max(round);
        if matched {
            progress.matched = progress.matched.max(index);
            progress.next = progress.next.max(progress.matched + 1);
            if progress.matched >= self.snapshot_index {
                progress.snapshot_sent_at_ms = None;
            }
            if progress.next <= last {
                leading.broadcast = true;
            }
        } else {
            progress.next = (index + 1).min(progress.next).max(progress.matched + 1);
            leading.broadcast = true;
        }
        self.advance_commit();
        self.confirm_reads();
        self.try_transfer();
    }

    fn advance_commit(&mut self) {
        let Role::Leader(leading) = &self.role else { return };
        let mut indexes = Vec::new();
        for id in self.members.voters() {
            if id == self.id {
                indexes.push(self.stable);
                continue;
            }
            indexes.push(leading.progress.get(&id).map_or(0, |progress| progress.matched));
        }
        indexes.sort_unstable_by(|one, other| other.cmp(one));
        let Some(index) = indexes.get(self.members.quorum() - 1).copied() else { return };
        // Only entries of the own term are committed by counting replicas.
        if index <= self.commit || self.term_at(index) != Some(self.hard.term) {
            return;
        }
        self.commit = index;
        if !self.members.is_voter(self.id) && self.members_index <= self.commit {
            self.drop_reads();
            self.role = Role::Follower;
            self.leader = None;
        } else if let Role::Leader(leading) = &mut self.role {
            leading.broadcast = true;
        }
    }

    fn confirm_reads(&mut self) {
        let Role::Leader(leading) = &mut self.role else { return };
        while let Some(read) = leading.reads.front() {
            let mut confirmed = BTreeSet::from([self.id]);
            for (id, progress) in &leading.progress {
                if progress.acked_round >= read.round {
                    confirmed.insert(*id);
                }
            }
            if !self.members.has_quorum(&confirmed) {
                return;
            }
            self.output.reads.push((read.token, read.index));
            leading.reads.pop_front();
        }
    }

    fn on_install(&mut self, from: NodeId, snapshot: Snapshot) {
        if snapshot.index <= self.commit {
            let index = self.commit;
            self.send_late(from, Message::AppendReply { matched: true, index, round: 0 });
            return;
        }
        self.entries.clear();
        self.output.append.clear();
        self.output.truncate_from = None;
        self.output.committed.clear();
        self.snapshot_index = snapshot.index;
        self.snapshot_term = snapshot.term;
        self.snapshot_members = snapshot.members.clone();
        self.stable = snapshot.index;
        self.commit = snapshot.index;
        self.delivered = snapshot.index;
        self.find_members();
        let index = snapshot.index;
        self.output.install = Some(snapshot);
        self.send_late(from, Message::AppendReply { matched: true, index, round: 0 });
    }

    /// Sends a stored snapshot to a replica named in [`Output::need_snapshot`].
    pub fn send_snapshot(&mut self, to: NodeId, snapshot: Snapshot) {
        self.send_late(to, Message::Install(snapshot));
    }

    /// Drops the log up to `index`, which a stored snapshot now covers.
    pub fn compact(&mut self, index: u64) {
        let Some(term) = self.term_at(index) else { return };
        if index <= self.snapshot_index || index > self.delivered {
            return;
        }
        self.snapshot_members = self.members_at(index);
        while self.entries.front().is_some_and(|entry| entry.index <= index) {
            self.entries.pop_front();
        }
        self.snapshot_index = index;
        self.snapshot_term = term;
        self.find_members();
    }

    /// The members as of `index`.
    pub fn members_at(&self, index: u64) -> Members {
        for entry in self.entries.iter().rev() {
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
        self.entries.iter()
    }

    /// Term and vote as they must be stored.
    pub fn hard_state(&self) -> HardState {
        self.hard
    }

    /// Tells that everything up to `index` is stored.
    pub fn persisted(&mut self, index: u64) {
        self.stable = self.stable.max(index.min(self.last_index()));
        self.advance_commit();
        self.confirm_reads();
    }

    /// Fetches what has to be done.
    pub fn take_output(&mut self, now_ms: u64) -> Output {
        self.broadcast(now_ms);
        while self.delivered < self.commit {
            let Some(entry) = self.entry(self.delivered + 1).cloned() else { break };
            self.delivered += 1;
            self.output.committed.push(entry);
        }
        if self.hard_changed {
            self.hard_changed = false;
            self.output.hard_state = Some(self.hard);
        }
        std::mem::take(&mut self.output)
    }

    fn broadcast(&mut self, now_ms: u64) {
        let Role::Leader(leading) = &mut self.role else { return };
        if !leading.broadcast {
            return;
        }
        leading.broadcast = false;
        // A read asked for from now on needs a round that has not been sent yet.
        let round = leading.round;
        leading.round += 1;
        let peers: Vec<NodeId> = leading.progress.keys().copied().collect();
        for to in peers {
            self.send_append(now_ms, to, round);
        }
        self.confirm_reads();
    }

    fn send_append(&mut self, now_ms: u64, to: NodeId, round: u64) {
        let snapshot_index = self.snapshot_index;
        let Role::Leader(leading) = &mut self.role else { return };
        let Some(progress) = leading.progress.get_mut(&to) else { return };
        if progress.next <= snapshot_index {
            let due =
                progress.snapshot_sent_at_ms.is_none_or(|sent| sent + SNAPSHOT_RESEND_MS <= now_ms);
            if due {
                progress.snapshot_sent_at_ms = Some(now_ms);
                self.output.need_snapshot.push(to);
            }
            progress.next = snapshot_index + 1;
        }
        let prev_index = progress.next - 1;
        let mut entries = Vec::new();
        let mut size_bytes = 0;
        let skip = usize::try_from(prev_index - snapshot_index).unwrap_or(usize::MAX);
        for entry in self.entries.iter().skip(skip).take(MAX_ENTRIES_PER_APPEND) {
            size_bytes += entry.payload.size_bytes();
            if size_bytes > MAX_BYTES_PER_APPEND && !entries.is_empty() {
                break;
            }
            entries.push(entry.clone());
        }
        progress.next += entries.len() as u64;
        let prev_term = self.term_at(prev_index).unwrap_or(0);
        let commit = self.commit;
        let message = Message::Append { prev_index, prev_term, entries, commit, round };
        let envelope = Envelope { from: self.id, to, term: self.hard.term, message };
        // A leader's own entries may be under way to others before they are on its own disk: it
        // counts itself only once they are.
        if self.hard_changed { &mut self.output.late } else { &mut self.output.early }
            .push(envelope);
    }

    fn other_voters(&self) -> Vec<NodeId> {
        self.members.voters().filter(|id| *id != self.id).collect()
    }

    fn send_late(&mut self, to: NodeId, message: Message) {
        self.send_late_in(self.hard.term, to, message);
    }

    fn send_late_in(&mut self, term: u64, to: NodeId, message: Message) {
        self.output.late.push(Envelope { from: self.id, to, term, message });
    }

    fn reset_election(&mut self, now_ms: u64) {
        let spread_ms = self.rng.random_range(0..=self.timing.election_ms);
        self.election_due_ms = now_ms + self.timing.election_ms + spread_ms;
    }
}

impl Progress {
    fn new(next: u64, now_ms: u64) -> Self {
        Self { matched: 0, next, acked_at_ms: now_ms, acked_round: 0, snapshot_sent_at_ms: None }
    }
}
