//! What the log holds, what replicas tell each other, and what the protocol asks to be done.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Identifies a replica; drawn anew when its data folder was lost.
pub type NodeId = u64;

/// One entry of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Its place, counted from 1.
    pub index: u64,
    /// The term in which it was proposed.
    pub term: u64,
    /// What it holds.
    pub payload: Payload,
}

/// What an entry holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// Nothing; opens a leader's term.
    Noop,
    /// An encoded command of the state machine.
    Command(Arc<[u8]>),
    /// The members from here on.
    Members(Members),
}

impl Payload {
    pub(super) fn size_bytes(&self) -> usize {
        match self {
            Self::Noop => 0,
            Self::Command(bytes) => bytes.len(),
            Self::Members(members) => members.0.len() * 64,
        }
    }
}

/// The replicas of a group.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Members(pub BTreeMap<NodeId, Member>);

/// One replica of a group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The name, which outlives a lost data folder.
    pub name: Arc<str>,
    /// Where its peers reach it.
    pub address: SocketAddr,
    /// False for a learner, which receives the log and does not vote.
    pub voter: bool,
}

impl Members {
    pub(super) fn is_voter(&self, id: NodeId) -> bool {
        self.0.get(&id).is_some_and(|member| member.voter)
    }

    pub(super) fn voters(&self) -> impl Iterator<Item = NodeId> + '_ {
        self.0.iter().filter(|(_, member)| member.voter).map(|(id, _)| *id)
    }

    pub(super) fn quorum(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    pub(super) fn has_quorum(&self, ids: &BTreeSet<NodeId>) -> bool {
        self.voters().filter(|id| ids.contains(id)).count() >= self.quorum()
    }
}

/// What a replica must remember beside the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct HardState {
    /// The latest term seen.
    pub term: u64,
    /// The replica voted for in that term.
    pub vote: Option<NodeId>,
}

/// The state up to an index.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The last index that it covers.
    pub index: u64,
    /// The term of that entry.
    pub term: u64,
    /// The members at that index.
    pub members: Members,
    /// The encoded state.
    pub data: Arc<[u8]>,
}

/// A message with its sender and term.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// The sender.
    pub from: NodeId,
    /// The receiver.
    pub to: NodeId,
    /// The sender's term; for a pre-vote the term it would campaign in.
    pub term: u64,
    /// The message.
    pub message: Message,
}

/// What replicas tell each other.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Would you vote for me?
    PreVote {
        /// The last index of the sender's log.
        last_index: u64,
        /// The term of that entry.
        last_term: u64,
    },
    /// The answer to a pre-vote.
    PreVoteReply {
        /// Whether the vote would be given.
        granted: bool,
    },
    /// Vote for me.
    Vote {
        /// The last index of the sender's log.
        last_index: u64,
        /// The term of that entry.
        last_term: u64,
        /// True when the leader itself asked for this election.
        transfer: bool,
    },
    /// The answer to a vote.
    VoteReply {
        /// Whether the vote is given.
        granted: bool,
    },
    /// Entries, or a heartbeat when there are none.
    Append {
        /// The index before the first entry.
        prev_index: u64,
        /// The term of that entry.
        prev_term: u64,
        /// The entries.
        entries: Vec<Entry>,
        /// The leader's commit index.
        commit: u64,
        /// The majority round that an answer confirms.
        round: u64,
    },
    /// The answer to an append.
    AppendReply {
        /// True when the entry before the first was there.
        matched: bool,
        /// Up to where the logs agree, or where to try next.
        index: u64,
        /// The round of the append.
        round: u64,
    },
    /// The whole state, for a replica that is too far behind.
    Install(Snapshot),
    /// Campaign at once.
    TimeoutNow,
}

/// What has to be done after a call.
#[derive(Debug, Default)]
pub struct Output {
    /// To be stored, if changed.
    pub hard_state: Option<HardState>,
    /// Entries from this index on are void.
    pub truncate_from: Option<u64>,
    /// Entries to be stored.
    pub append: Vec<Entry>,
    /// A snapshot to be stored that replaces log and state.
    pub install: Option<Snapshot>,
    /// Messages that may go before the above is stored.
    pub early: Vec<Envelope>,
    /// Messages that must wait until the above is stored.
    pub late: Vec<Envelope>,
    /// Entries to be applied.
    pub committed: Vec<Entry>,
    /// Reads that a majority round has confirmed, with the index they have to see.
    pub reads: Vec<(u64, u64)>,
    /// Reads that failed because leadership was lost.
    pub failed_reads: Vec<u64>,
    /// Replicas that need a snapshot; answer with `Raft::send_snapshot`.
    pub need_snapshot: Vec<NodeId>,
}

impl Output {
    /// True when something has to reach the disk.
    pub fn must_store(&self) -> bool {
        self.hard_state.is_some()
            || self.truncate_from.is_some()
            || !self.append.is_empty()
            || self.install.is_some()
    }
}

/// Periods of the protocol.
#[derive(Debug, Clone, Copy)]
pub struct Timing {
    /// Between two heartbeats.
    pub heartbeat_ms: u64,
    /// The shortest time without a leader before an election; the longest is twice that.
    pub election_ms: u64,
}

impl Default for Timing {
    fn default() -> Self {
        Self { heartbeat_ms: 100, election_ms: 600 }
    }
}

/// What a replica found on its disk.
#[derive(Debug, Clone, Default)]
pub struct Recovered {
    /// Term and vote.
    pub hard_state: HardState,
    /// Index, term and members of the snapshot.
    pub snapshot: Option<(u64, u64, Members)>,
    /// The entries after the snapshot.
    pub entries: Vec<Entry>,
}
