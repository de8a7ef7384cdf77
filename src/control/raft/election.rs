//! Leader election: pre-votes, votes and the role changes that follow from them.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use rand::RngExt;

use super::leading::{LeaderState, Progress};
use super::types::{HardState, Message, NodeId, Payload};
use super::{Raft, Role};

impl Raft {
    pub(super) fn has_active_leader(&self, now_ms: u64) -> bool {
        if self.is_leader() {
            return true;
        }
        self.leader.is_some()
            && self.leader_heard_at_ms.is_some_and(|heard| heard + self.timing.election_ms > now_ms)
    }

    pub(super) fn is_log_up_to_date(&self, last_index: u64, last_term: u64) -> bool {
        let own = (self.term_at(self.last_index()).unwrap_or(0), self.last_index());
        (last_term, last_index) >= own
    }

    pub(super) fn start_pre_vote(&mut self, now_ms: u64) {
        self.reset_election_timeout(now_ms);
        self.leader = None;
        let votes = BTreeSet::from([self.id]);
        if self.members.has_quorum(&votes) {
            self.start_vote(now_ms, false);
            return;
        }
        self.role = Role::PreCandidate(votes);
        let last_index = self.last_index();
        let last_term = self.term_at(last_index).unwrap_or(0);
        let term = self.hard_state.term + 1;
        for to in self.other_voters() {
            self.send_after_store_in(term, to, Message::PreVote { last_index, last_term });
        }
    }

    pub(super) fn on_pre_vote_reply(
        &mut self,
        now_ms: u64,
        from: NodeId,
        term: u64,
        granted: bool,
    ) {
        if !granted {
            if term > self.hard_state.term {
                self.become_follower(now_ms, term, None);
            }
            return;
        }
        let wanted = self.hard_state.term + 1;
        let Role::PreCandidate(votes) = &mut self.role else { return };
        if term != wanted {
            return;
        }
        votes.insert(from);
        if self.members.has_quorum(votes) {
            self.start_vote(now_ms, false);
        }
    }

    pub(super) fn start_vote(&mut self, now_ms: u64, transfer: bool) {
        if !self.members.is_voter(self.id) {
            return;
        }
        self.reset_election_timeout(now_ms);
        self.leader = None;
        self.hard_state = HardState { term: self.hard_state.term + 1, vote: Some(self.id) };
        self.hard_state_changed = true;
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
            self.send_after_store(to, Message::Vote { last_index, last_term, transfer });
        }
    }

    pub(super) fn on_vote(&mut self, now_ms: u64, from: NodeId, last_index: u64, last_term: u64) {
        let can_vote = self.hard_state.vote.is_none_or(|vote| vote == from);
        let granted = can_vote
            && matches!(self.role, Role::Follower | Role::PreCandidate(_))
            && self.is_log_up_to_date(last_index, last_term);
        if granted {
            if self.hard_state.vote.is_none() {
                self.hard_state.vote = Some(from);
                self.hard_state_changed = true;
            }
            self.reset_election_timeout(now_ms);
        }
        self.send_after_store(from, Message::VoteReply { granted });
    }

    pub(super) fn on_vote_reply(&mut self, now_ms: u64, from: NodeId, granted: bool) {
        let Role::Candidate(votes) = &mut self.role else { return };
        if !granted {
            return;
        }
        votes.insert(from);
        if self.members.has_quorum(votes) {
            self.become_leader(now_ms);
        }
    }

    pub(super) fn become_leader(&mut self, now_ms: u64) {
        let next_index = self.last_index() + 1;
        let mut progress = BTreeMap::new();
        for id in self.members.0.keys() {
            if *id != self.id {
                progress.insert(*id, Progress::new(next_index, now_ms));
            }
        }
        self.leader = Some(self.id);
        self.role = Role::Leader(Box::new(LeaderState {
            progress,
            term_start_index: next_index,
            next_round: 1,
            round_send_times: VecDeque::new(),
            quorum_sent_at_ms: None,
            reads: VecDeque::new(),
            heartbeat_due_ms: now_ms + self.timing.heartbeat_ms,
            broadcast_due: true,
            transfer_target: None,
        }));
        self.propose(Payload::Noop);
    }

    pub(super) fn become_follower(&mut self, now_ms: u64, term: u64, leader: Option<NodeId>) {
        if term > self.hard_state.term {
            self.hard_state = HardState { term, vote: None };
            self.hard_state_changed = true;
        }
        self.fail_reads();
        self.role = Role::Follower;
        self.leader = leader;
        self.reset_election_timeout(now_ms);
    }

    pub(super) fn follow(&mut self, now_ms: u64, leader: NodeId) {
        if !matches!(self.role, Role::Follower) {
            self.become_follower(now_ms, self.hard_state.term, Some(leader));
        }
        self.leader = Some(leader);
        self.leader_heard_at_ms = Some(now_ms);
        self.reset_election_timeout(now_ms);
    }

    pub(super) fn other_voters(&self) -> Vec<NodeId> {
        self.members.voters().filter(|id| *id != self.id).collect()
    }

    /// Shortens the first election timeout after a restart to between 1/8 and 1/2 of the election
    /// time.
    ///
    /// Replicas that hear a leader refuse the pre-vote, so a running group is not disturbed. If the
    /// whole group was stopped, the region is without a leader for a shorter time.
    pub(super) fn shorten_election_timeout(&mut self, now_ms: u64) {
        let (min_ms, max_ms) = (self.timing.election_ms / 8, self.timing.election_ms / 2);
        self.election_due_ms = now_ms + self.rng.random_range(min_ms..=max_ms);
    }

    pub(super) fn reset_election_timeout(&mut self, now_ms: u64) {
        // A replica that voted for itself in its last term, usually the last leader, uses a shorter
        // timeout: when the whole group was stopped, the same replica leads again and leader-only
        // work resumes without a pause.
        let range = if self.hard_state.vote == Some(self.id) {
            0..=self.timing.election_ms / 8
        } else {
            self.timing.election_ms / 4..=self.timing.election_ms
        };
        let jitter_ms = self.rng.random_range(range);
        self.election_due_ms = now_ms + self.timing.election_ms + jitter_ms;
    }
}
