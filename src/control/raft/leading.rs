//! What a leader does: replication, commit, reads, membership, handing leadership over.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use super::types::{Envelope, Member, Members, Message, NodeId};
use super::{Raft, Role};

const MAX_ENTRIES_PER_APPEND: usize = 1_024;
const MAX_BYTES_PER_APPEND: usize = 4 << 20;
const SNAPSHOT_RESEND_MS: u64 = 5_000;
/// A learner this close to the commit index is made a voter.
const PROMOTION_GAP: u64 = 256;
/// Rounds whose sending time is remembered; older ones are no longer awaited.
const ROUNDS_REMEMBERED: usize = 256;
/// A voter that said nothing for this long gives its place to a learner that holds the log.
const REPLACED_AFTER_MS: u64 = 1_500;

#[derive(Debug)]
pub(super) struct Progress {
    pub(super) matched: u64,
    pub(super) next: u64,
    pub(super) acked_at_ms: u64,
    pub(super) acked_round: u64,
    pub(super) snapshot_sent_at_ms: Option<u64>,
}

#[derive(Debug)]
pub(super) struct Leading {
    pub(super) progress: BTreeMap<NodeId, Progress>,
    pub(super) first_index: u64,
    pub(super) round: u64,
    /// When each recent round was sent, for the leader's lease.
    pub(super) rounds_sent: VecDeque<(u64, u64)>,
    /// When the latest round was sent that a majority has answered.
    pub(super) confirmed_at_ms: Option<u64>,
    pub(super) reads: VecDeque<PendingRead>,
    pub(super) heartbeat_due_ms: u64,
    pub(super) broadcast: bool,
    pub(super) transfer_to: Option<NodeId>,
}

#[derive(Debug)]
pub(super) struct PendingRead {
    pub(super) token: u64,
    pub(super) round: u64,
    pub(super) index: u64,
}

impl Raft {
    /// The next step of replacing a lost replica, if one is due: a learner that holds the log
    /// becomes a voter, then the replica that had its name before is removed.
    ///
    /// Where a number of voters is wanted, a learner beyond it waits until a voter falls silent,
    /// and takes its place.
    pub fn next_members(&self, now_ms: u64) -> Option<Members> {
        let Role::Leader(leading) = &self.role else { return None };
        if !self.is_settled_leader() || self.members_index > self.commit {
            return None;
        }
        for (id, member) in &self.members.0 {
            if member.voter {
                continue;
            }
            let Some(progress) = leading.progress.get(id) else { continue };
            if progress.matched + PROMOTION_GAP < self.commit || !self.has_room_for(now_ms, member)
            {
                continue;
            }
            let mut members = self.members.clone();
            members.0.insert(*id, Member { voter: true, ..member.clone() });
            return Some(members);
        }
        self.replaced_member().or_else(|| self.surplus_voter(now_ms)).map(|id| {
            let mut members = self.members.clone();
            members.0.remove(&id);
            members
        })
    }

    fn has_room_for(&self, now_ms: u64, learner: &Member) -> bool {
        let Some(wanted) = self.target_voters else { return true };
        let mut voters = 0;
        for (id, member) in &self.members.0 {
            if !member.voter {
                continue;
            }
            voters += 1;
            if member.name == learner.name || self.is_silent(now_ms, *id) {
                return true;
            }
        }
        voters < wanted
    }

    fn is_silent(&self, now_ms: u64, id: NodeId) -> bool {
        let Role::Leader(leading) = &self.role else { return false };
        let Some(progress) = leading.progress.get(&id) else { return false };
        progress.acked_at_ms + REPLACED_AFTER_MS <= now_ms
    }

    /// A silent voter that is one too many, or a learner that fell silent.
    fn surplus_voter(&self, now_ms: u64) -> Option<NodeId> {
        let wanted = self.target_voters?;
        let is_surplus = self.members.voters().count() > wanted;
        for (id, member) in &self.members.0 {
            if member.voter && is_surplus && self.is_silent(now_ms, *id) {
                return Some(*id);
            }
        }
        None
    }

    /// Until when this leader may act alone: no other one can be elected before.
    ///
    /// It counts from when a round was sent that a majority has answered, so that answers which
    /// were read late, after a pause of the process, prolong nothing.
    pub fn lease_until_ms(&self) -> u64 {
        let Role::Leader(leading) = &self.role else { return 0 };
        if leading.transfer_to.is_some() || !self.is_settled_leader() {
            return 0;
        }
        leading.confirmed_at_ms.map_or(0, |sent_at_ms| sent_at_ms + self.timing.election_ms)
    }

    fn note_confirmed_round(&mut self) {
        let quorum = self.members.quorum();
        let is_voter = self.members.is_voter(self.id);
        let voters: Vec<NodeId> = self.members.voters().collect();
        let Role::Leader(leading) = &mut self.role else { return };
        let mut rounds = Vec::new();
        for (id, progress) in &leading.progress {
            if voters.contains(id) {
                rounds.push(progress.acked_round);
            }
        }
        rounds.sort_unstable_by(|one, other| other.cmp(one));
        let others_needed = quorum - usize::from(is_voter);
        let confirmed = match others_needed.checked_sub(1) {
            None => leading.round,
            Some(position) => rounds.get(position).copied().unwrap_or(0),
        };
        while let Some((round, sent_at_ms)) = leading.rounds_sent.front().copied() {
            if round > confirmed {
                break;
            }
            leading.confirmed_at_ms = Some(sent_at_ms);
            leading.rounds_sent.pop_front();
        }
    }

    /// A voter whose name a later voter has taken over: the one that was heard from less recently.
    pub(super) fn replaced_member(&self) -> Option<NodeId> {
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

    /// Asks for a read under `token`; confirmed in `Output::reads` after a majority round.
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

    pub(super) fn try_transfer(&mut self) {
        let Role::Leader(leading) = &self.role else { return };
        let Some(to) = leading.transfer_to else { return };
        let matched = leading.progress.get(&to).map_or(0, |progress| progress.matched);
        if matched == self.last_index() {
            self.send_late(to, Message::TimeoutNow);
        }
    }

    pub(super) fn check_quorum(&mut self, now_ms: u64) {
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

    pub(super) fn on_append_reply(
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
        self.note_confirmed_round();
        self.try_transfer();
    }

    pub(super) fn advance_commit(&mut self) {
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

    pub(super) fn confirm_reads(&mut self) {
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

    pub(super) fn broadcast(&mut self, now_ms: u64) {
        let Role::Leader(leading) = &mut self.role else { return };
        if !leading.broadcast {
            return;
        }
        leading.broadcast = false;
        // A read asked for from now on needs a round that has not been sent yet.
        let round = leading.round;
        leading.round += 1;
        leading.rounds_sent.push_back((round, now_ms));
        if leading.rounds_sent.len() > ROUNDS_REMEMBERED {
            leading.rounds_sent.pop_front();
        }
        let peers: Vec<NodeId> = leading.progress.keys().copied().collect();
        for to in peers {
            self.send_append(now_ms, to, round);
        }
        self.confirm_reads();
    }

    pub(super) fn send_append(&mut self, now_ms: u64, to: NodeId, round: u64) {
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

    pub(super) fn drop_reads(&mut self) {
        let Role::Leader(leading) = &mut self.role else { return };
        for read in leading.reads.drain(..) {
            self.output.failed_reads.push(read.token);
        }
    }
}

impl Progress {
    pub(super) fn new(next: u64, now_ms: u64) -> Self {
        Self { matched: 0, next, acked_at_ms: now_ms, acked_round: 0, snapshot_sent_at_ms: None }
    }
}
