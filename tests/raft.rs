//! Rules of the log that need no group: one replica, its messages and its disk.

use winchvane::control::raft::{
    Envelope, HardState, Member, Members, Message, Raft, Recovered, Timing,
};

fn founders() -> Members {
    let mut members = Members::default();
    for id in 1..=3 {
        let address = ([127, 0, 0, 1], 7_000 + id as u16).into();
        members.0.insert(id, Member { name: format!("n{id}").into(), address, voter: true });
    }
    members
}

fn replica(hard_state: HardState) -> Raft {
    let recovered = Recovered { hard_state, ..Recovered::default() };
    Raft::new(1, founders(), recovered, Timing::default(), 1, 0)
}

/// Asks for a vote; whether it was given, and what the replica stored with it.
fn ask(raft: &mut Raft, from: u64, term: u64) -> (bool, Option<HardState>) {
    let message = Message::Vote { last_index: 0, last_term: 0, transfer: false };
    raft.receive(10, Envelope { from, to: 1, term, message });
    let output = raft.take_output(10);
    let granted = output.late.iter().any(|envelope| {
        envelope.to == from && envelope.message == Message::VoteReply { granted: true }
    });
    (granted, output.hard_state)
}

#[test]
fn a_replica_votes_once_in_a_term_also_across_a_restart() {
    // The term is known already, so that only the vote itself makes the state worth storing.
    let mut raft = replica(HardState { term: 5, vote: None });
    let (granted, stored) = ask(&mut raft, 2, 5);
    assert!(granted);
    let stored = stored.expect("a vote is stored before it is told");
    let mut restarted = replica(stored);
    assert!(!ask(&mut restarted, 3, 5).0, "a second vote in one term");
    assert!(ask(&mut restarted, 2, 5).0, "the same vote may be told again");
    assert!(ask(&mut restarted, 3, 6).0, "another term is another vote");
}

#[test]
fn a_replica_that_hears_a_leader_does_not_vote() {
    let mut raft = replica(HardState { term: 5, vote: None });
    let append =
        Message::Append { prev_index: 0, prev_term: 0, entries: Vec::new(), commit: 0, round: 1 };
    raft.receive(5, Envelope { from: 2, to: 1, term: 5, message: append });
    raft.take_output(5);
    assert!(!ask(&mut raft, 3, 6).0);
    assert_eq!(raft.term(), 5, "nor does it leave the leader's term");
}

#[test]
fn a_leader_counts_itself_only_once_its_disk_holds_the_entry() {
    let mut raft = replica(HardState::default());
    raft.tick(5_000);
    raft.take_output(5_000);
    for message in [Message::PreVoteReply { granted: true }, Message::VoteReply { granted: true }] {
        raft.receive(5_010, Envelope { from: 2, to: 1, term: 1, message });
        raft.take_output(5_010);
    }
    assert!(raft.is_leader());
    let message = Message::AppendReply { matched: true, index: 1, round: 1 };
    raft.receive(5_020, Envelope { from: 2, to: 1, term: 1, message });
    assert_eq!(raft.commit(), 0, "one stored copy of three is no majority");
    raft.persisted(1);
    assert_eq!(raft.commit(), 1);
}
