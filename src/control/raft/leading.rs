//! Leader duties: replication, commit, reads, membership changes and leadership transfer.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use super::types::{Envelope, Member, Members, Message, NodeId};
use super::{Raft, Role};

const MAX_ENTRIES_PER_APPEND: usize = 1_024;
const MAX_BYTES_PER_APPEND: u64 = 4 << 20;
const SNAPSHOT_RESEND_MS: u64 = 5_000;
/// A learner at most this many entries behind the commit index may become a voter.
const MAX_PROMOTION_LAG: u64 = 256;
/// Rounds whose send times are kept for the leader lease; a reply to an older round does not extend
/// it.
const MAX_TRACKED_ROUNDS: usize = 256;
/// A voter that has not replied for this long may be replaced by a learner that has caught up.
const VOTER_SILENCE_MS: u64 = 1_500;

/// What the leader knows of the log of another replica.
#[derive(Debug)]
pub(super) struct Progress {
    /// Index up to which its log is known to match.
    pub(super) match_index: u64,
    /// Index of the next entry to send.
    pub(super) next_index: u64,
    pub(super) acked_at_ms: u64,
    pub(super) acked_round: u64,
    /// The snapshot that it was sent and has not confirmed.
    pub(super) snapshot_sent: Option<SentSnapshot>,
}

/// A snapshot that was sent to a replica.
#[derive(Debug, Clone, Copy)]
pub(super) struct SentSnapshot {
    pub(super) at_ms: u64,
    pub(super) index: u64,
}

/// State that a replica keeps only while it leads.
#[derive(Debug)]
pub(super) struct LeaderState {
    pub(super) progress: BTreeMap<NodeId, Progress>,
    /// Index of the first entry of this leader's term.
    pub(super) term_start_index: u64,
    /// Number of the next round of messages to all replicas.
    pub(super) next_round: u64,
    /// Recent rounds with their send times, oldest first, for the leader lease.
    pub(super) round_send_times: VecDeque<(u64, u64)>,
    /// Send time of the latest round that a quorum has answered.
    pub(super) quorum_sent_at_ms: Option<u64>,
    pub(super) reads: VecDeque<PendingRead>,
    pub(super) heartbeat_due_ms: u64,
    pub(super) broadcast_due: bool,
    pub(super) transfer_target: Option<NodeId>,
}

/// A read at `index` that waits until a quorum has answered `round`.
#[derive(Debug)]
pub(super) struct PendingRead {
    pub(super) token: u64,
    pub(super) round: u64,
    pub(super) index: u64,
}

impl Raft {
    /// Returns the next membership change, if one is due.
    ///
    /// A lost replica is replaced in two steps: a learner that has caught up becomes a voter, then
    /// the earlier member of the same name is removed. With a target number of voters, a surplus
    /// learner waits until a voter falls silent and takes its place.
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
            if progress.match_index + MAX_PROMOTION_LAG < self.commit
                || !self.can_promote(now_ms, member)
            {
                continue;
            }
            let mut members = self.members.clone();
            members.0.insert(*id, Member { voter: true, ..member.clone() });
            return Some(members);
        }
        self.duplicate_member().or_else(|| self.surplus_voter(now_ms)).map(|id| {
            let mut members = self.members.clone();
            members.0.remove(&id);
            members
        })
    }

    fn can_promote(&self, now_ms: u64, learner: &Member) -> bool {
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
        progress.acked_at_ms + VOTER_SILENCE_MS <= now_ms
    }

    /// A silent voter to remove while there are more voters than the target.
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

    /// End of the leader lease, before which no other replica can be elected; 0 without a lease.
    ///
    /// The lease starts when a round that a quorum has answered was sent, so that replies which are
    /// read late, after a pause of the process, do not extend it.
    pub fn lease_until_ms(&self) -> u64 {
        let Role::Leader(leading) = &self.role else { return 0 };
        if leading.transfer_target.is_some() || !self.is_settled_leader() {
            return 0;
        }
        leading.quorum_sent_at_ms.map_or(0, |sent_at_ms| sent_at_ms + self.timing.election_ms)
    }

    fn update_lease(&mut self) {
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
            None => leading.next_round,
            Some(position) => rounds.get(position).copied().unwrap_or(0),
        };
        while let Some((round, sent_at_ms)) = leading.round_send_times.front().copied() {
            if round > confirmed {
                break;
            }
            leading.quorum_sent_at_ms = Some(sent_at_ms);
            leading.round_send_times.pop_front();
        }
    }

    /// The member to remove when a voter shares its name with another member: the one that replied
    /// less recently.
    pub(super) fn duplicate_member(&self) -> Option<NodeId> {
        let Role::Leader(leading) = &self.role else { return None };
        let last_reply_ms = |id: NodeId| {
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
                return Some(if last_reply_ms(*id) < last_reply_ms(*other_id) {
                    *id
                } else {
                    *other_id
                });
            }
        }
        None
    }

    /// Requests a linearizable read. `Output::reads` reports `token` once a quorum has answered a
    /// round sent after this call.
    ///
    /// Returns false if this replica does not lead or has not yet committed an entry of its term.
    pub fn request_read(&mut self, token: u64) -> bool {
        if !self.is_settled_leader() {
            return false;
        }
        let index = self.commit;
        let Role::Leader(leading) = &mut self.role else { return false };
        leading.broadcast_due = true;
        let round = leading.next_round;
        leading.reads.push_back(PendingRead { token, round, index });
        true
    }

    /// Transfers leadership to the voter with the longest matching log, before a graceful shutdown.
    pub fn transfer_leadership(&mut self) {
        let Role::Leader(leading) = &mut self.role else { return };
        let mut best = None;
        for (id, progress) in &leading.progress {
            if self.members.is_voter(*id)
                && best.is_none_or(|(_, matched)| progress.match_index > matched)
            {
                best = Some((*id, progress.match_index));
            }
        }
        leading.transfer_target = best.map(|(id, _)| id);
        leading.broadcast_due = true;
        self.continue_transfer();
    }

    pub(super) fn continue_transfer(&mut self) {
        let Role::Leader(leading) = &self.role else { return };
        let Some(to) = leading.transfer_target else { return };
        let matched = leading.progress.get(&to).map_or(0, |progress| progress.match_index);
        if matched == self.last_index() {
            self.send_after_store(to, Message::TimeoutNow);
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
            self.become_follower(now_ms, self.hard_state.term, None);
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
            progress.match_index = progress.match_index.max(index);
            progress.next_index = progress.next_index.max(progress.match_index + 1);
            // It may need a newer one by now, which is then sent at once.
            if progress.snapshot_sent.is_some_and(|sent| progress.match_index >= sent.index) {
                progress.snapshot_sent = None;
            }
            if progress.next_index <= last {
                leading.broadcast_due = true;
            }
        } else {
            progress.next_index =
                (index + 1).min(progress.next_index).max(progress.match_index + 1);
            // One that waits for a snapshot can't do with anything else.
            leading.broadcast_due |= progress.snapshot_sent.is_none();
        }
        self.advance_commit();
        self.confirm_reads();
        self.update_lease();
        self.continue_transfer();
    }

    pub(super) fn advance_commit(&mut self) {
        let Role::Leader(leading) = &self.role else { return };
        let mut indexes = Vec::new();
        for id in self.members.voters() {
            if id == self.id {
                indexes.push(self.stable_index);
                continue;
            }
            indexes.push(leading.progress.get(&id).map_or(0, |progress| progress.match_index));
        }
        indexes.sort_unstable_by(|one, other| other.cmp(one));
        let Some(index) = indexes.get(self.members.quorum() - 1).copied() else { return };
        // Raft commits only entries of the current term by counting replicas.
        if index <= self.commit || self.term_at(index) != Some(self.hard_state.term) {
            return;
        }
        self.commit = index;
        if !self.members.is_voter(self.id) && self.members_index <= self.commit {
            self.fail_reads();
            self.role = Role::Follower;
            self.leader = None;
        } else if let Role::Leader(leading) = &mut self.role {
            leading.broadcast_due = true;
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
        if !leading.broadcast_due {
            return;
        }
        leading.broadcast_due = false;
        // Reads requested from now on must wait for a round that has not been sent yet.
        let round = leading.next_round;
        leading.next_round += 1;
        leading.round_send_times.push_back((round, now_ms));
        if leading.round_send_times.len() > MAX_TRACKED_ROUNDS {
            leading.round_send_times.pop_front();
        }
        let peers: Vec<NodeId> = leading.progress.keys().copied().collect();
        for to in peers {
            self.send_append(now_ms, to, round);
        }
        self.confirm_reads();
    }

    pub(super) fn send_append(&mut self, now_ms: u64, to: NodeId, round: u64) {
        let snapshot_index = self.snapshot_index();
        let Role::Leader(leading) = &mut self.role else { return };
        let Some(progress) = leading.progress.get_mut(&to) else { return };
        if progress.next_index <= snapshot_index {
            let is_due =
                progress.snapshot_sent.is_none_or(|sent| sent.at_ms + SNAPSHOT_RESEND_MS <= now_ms);
            if is_due {
                progress.snapshot_sent =
                    Some(SentSnapshot { at_ms: now_ms, index: snapshot_index });
                self.output.need_snapshot.push(to);
            }
            progress.next_index = snapshot_index + 1;
        }
        let prev_index = progress.next_index - 1;
        let mut entries = Vec::new();
        let room_bytes = if progress.snapshot_sent.is_some() {
            // Entries are of no use to the replica before it has the snapshot.
            0
        } else {
            let in_flight_bytes = self.log.bytes_between(progress.match_index, prev_index);
            self.in_flight_max_bytes.saturating_sub(in_flight_bytes)
        };
        let mut size_bytes = 0;
        for entry in self.log.after(prev_index).take(MAX_ENTRIES_PER_APPEND) {
            // An entry that is larger than the bound goes alone.
            if size_bytes >= room_bytes.min(MAX_BYTES_PER_APPEND) {
                break;
            }
            size_bytes += entry.payload.size_bytes() as u64;
            entries.push(entry.clone());
        }
        progress.next_index += entries.len() as u64;
        let prev_term = self.term_at(prev_index).unwrap_or(0);
        let commit = self.commit;
        let message = Message::Append { prev_index, prev_term, entries, commit, round };
        let envelope = Envelope { from: self.id, to, term: self.hard_state.term, message };
        // Entries may be sent before they are on the leader's own disk; the leader counts itself
        // towards the quorum only once they are.
        if self.hard_state_changed { &mut self.output.late } else { &mut self.output.early }
            .push(envelope);
    }

    pub(super) fn fail_reads(&mut self) {
        let Role::Leader(leading) = &mut self.role else { return };
        for read in leading.reads.drain(..) {
            self.output.failed_reads.push(read.token);
        }
    }
}

impl Progress {
    pub(super) fn new(next_index: u64, now_ms: u64) -> Self {
        Self {
            match_index: 0,
            next_index,
            acked_at_ms: now_ms,
            acked_round: 0,
            snapshot_sent: None,
        }
    }
}
