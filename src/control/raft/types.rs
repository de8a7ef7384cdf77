//! Log entries, messages between replicas, and the input and output of [`Raft`](super::Raft).

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Identifies a replica; drawn anew when its data folder was lost.
pub type NodeId = u64;

/// One entry of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The log index, starting at 1.
    pub index: u64,
    /// The term in which it was proposed.
    pub term: u64,
    /// The content.
    pub payload: Payload,
}

/// The content of a log entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// No content; the first entry of a leader's term.
    Noop,
    /// An encoded command of the state machine.
    Command(Arc<[u8]>),
    /// The members of the group from this entry on.
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
    /// The name, which stays the same when the data folder is lost.
    pub name: Arc<str>,
    /// The address for messages from other replicas.
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

/// The term and vote, stored before any message that depends on them is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct HardState {
    /// The latest term seen.
    pub term: u64,
    /// The replica voted for in that term.
    pub vote: Option<NodeId>,
}

/// The replicated state at a log index.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The index of the last entry included.
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
    /// The sender's term; for a pre-vote, the term of the election it would start.
    pub term: u64,
    /// The message.
    pub message: Message,
}

/// Messages between replicas.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks whether the receiver would vote for the sender.
    PreVote {
        /// The last index of the sender's log.
        last_index: u64,
        /// The term of that entry.
        last_term: u64,
    },
    /// Reply to a pre-vote.
    PreVoteReply {
        /// Whether the vote would be given.
        granted: bool,
    },
    /// Requests a vote.
    Vote {
        /// The last index of the sender's log.
        last_index: u64,
        /// The term of that entry.
        last_term: u64,
        /// True if the leader requested this election to transfer leadership.
        transfer: bool,
    },
    /// Reply to a vote request.
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
        /// The round of the leader's messages, repeated in the reply to confirm reads and the
        /// lease.
        round: u64,
    },
    /// Reply to an append or a snapshot.
    AppendReply {
        /// True if the receiver's log has the preceding entry.
        matched: bool,
        /// The index up to which the logs agree, or the preceding index to try next.
        index: u64,
        /// The round of the append.
        round: u64,
    },
    /// A snapshot, for a replica that needs entries which the log no longer has.
    Install(Snapshot),
    /// Requests that the receiver starts an election at once.
    TimeoutNow,
}

impl Message {
    /// The bytes of the entries or the snapshot in the message; 0 for other messages.
    pub fn content_bytes(&self) -> u64 {
        match self {
            Self::Append { entries, .. } => {
                entries.iter().map(|entry| entry.payload.size_bytes() as u64).sum()
            }
            Self::Install(snapshot) => snapshot.data.len() as u64,
            Self::PreVote { .. }
            | Self::PreVoteReply { .. }
            | Self::Vote { .. }
            | Self::VoteReply { .. }
            | Self::AppendReply { .. }
            | Self::TimeoutNow => 0,
        }
    }
}

/// Work collected for the caller.
#[derive(Debug, Default)]
pub struct Output {
    /// The term and vote to store, if changed.
    pub hard_state: Option<HardState>,
    /// Stored entries from this index on are to be removed.
    pub truncate_from: Option<u64>,
    /// Entries to store.
    pub append: Vec<Entry>,
    /// A received snapshot to store, which replaces the log and the state.
    pub install: Option<Snapshot>,
    /// Messages that may be sent before the above is stored.
    pub early: Vec<Envelope>,
    /// Messages that must be sent only after the above is stored.
    pub late: Vec<Envelope>,
    /// Entries to apply.
    pub committed: Vec<Entry>,
    /// Tokens of confirmed reads, each with the index that the state must have reached.
    pub reads: Vec<(u64, u64)>,
    /// Tokens of reads that failed because leadership was lost.
    pub failed_reads: Vec<u64>,
    /// Replicas that need a snapshot; send one with `Raft::send_snapshot`.
    pub need_snapshot: Vec<NodeId>,
}

impl Output {
    /// True if something has to be stored.
    pub fn must_store(&self) -> bool {
        self.hard_state.is_some()
            || self.truncate_from.is_some()
            || !self.append.is_empty()
            || self.install.is_some()
    }
}

/// Time periods of the protocol.
#[derive(Debug, Clone, Copy)]
pub struct Timing {
    /// The interval between heartbeats.
    pub heartbeat_ms: u64,
    /// The shortest election timeout; the longest is twice as long.
    pub election_ms: u64,
}

impl Default for Timing {
    fn default() -> Self {
        Self { heartbeat_ms: 100, election_ms: 600 }
    }
}

/// The stored state that a replica starts with.
#[derive(Debug, Clone, Default)]
pub struct Recovered {
    /// The term and vote.
    pub hard_state: HardState,
    /// Index, term and members of the snapshot.
    pub snapshot: Option<(u64, u64, Members)>,
    /// The entries after the snapshot.
    pub entries: Vec<Entry>,
}
