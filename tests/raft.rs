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
    raft.mark_persisted(1);
    assert_eq!(raft.commit(), 1);
}

/// A leader of three voters with one learner that holds the log.
fn leader_with_learner(target_voters: usize) -> Raft {
    let mut members = founders();
    let learner =
        Member { name: "n9".into(), address: ([127, 0, 0, 1], 7_009).into(), voter: false };
    members.0.insert(9, learner);
    let mut raft = Raft::new(1, members, Recovered::default(), Timing::default(), 1, 0)
        .with_target_voters(target_voters);
    raft.tick(5_000);
    raft.take_output(5_000);
    for message in [Message::PreVoteReply { granted: true }, Message::VoteReply { granted: true }] {
        raft.receive(5_010, Envelope { from: 2, to: 1, term: 1, message });
        raft.take_output(5_010);
    }
    raft.mark_persisted(1);
    answer(&mut raft, &[2, 3, 9], 5_020, 1);
    raft
}

/// Lets replicas answer the round that was sent last.
fn answer(raft: &mut Raft, replicas: &[u64], now_ms: u64, round: u64) {
    raft.take_output(now_ms);
    for from in replicas {
        let message = Message::AppendReply { matched: true, index: 1, round };
        raft.receive(now_ms, Envelope { from: *from, to: 1, term: 1, message });
    }
}

#[test]
fn a_learner_waits_while_all_voters_answer() {
    let raft = leader_with_learner(3);
    assert_eq!(raft.next_members(5_030), None);
}

#[test]
fn a_learner_is_made_a_voter_while_voters_are_missing() {
    let raft = leader_with_learner(5);
    let members = raft.next_members(5_030).expect("five voters are wanted");
    assert!(members.0[&9].voter);
}

#[test]
fn a_learner_takes_the_place_of_a_voter_that_fell_silent() {
    let mut raft = leader_with_learner(3);
    answer(&mut raft, &[2, 9], 7_000, 2);
    let members = raft.next_members(7_000).expect("voter 3 is silent");
    assert!(members.0[&9].voter && members.0.len() == 4);
}

#[test]
fn a_leader_may_act_alone_only_for_a_time_after_it_sent_what_a_majority_answered() {
    let mut raft = leader_with_learner(3);
    let sent_by_ms = raft.lease_until_ms();
    assert!(sent_by_ms <= 5_020 + Timing::default().election_ms);
    // An answer that is read late, say after the process stood still, prolongs nothing.
    let message = Message::AppendReply { matched: true, index: 1, round: 1 };
    raft.receive(60_000, Envelope { from: 3, to: 1, term: 1, message });
    assert!(raft.lease_until_ms() <= 5_020 + Timing::default().election_ms);
}

#[test]
fn a_replica_that_restarted_stands_before_a_whole_election_time() {
    let recovered =
        || Recovered { hard_state: HardState { term: 3, vote: None }, ..Recovered::default() };
    let election_ms = Timing::default().election_ms;
    for seed in 0..50 {
        let mut restarted = Raft::new(1, founders(), recovered(), Timing::default(), seed, 0);
        restarted.tick(election_ms / 2 + 1);
        let stands = restarted.take_output(election_ms / 2 + 1).late;
        assert!(!stands.is_empty(), "nobody else may lead");
        let mut new = Raft::new(1, founders(), Recovered::default(), Timing::default(), seed, 0);
        new.tick(election_ms - 1);
        assert!(new.take_output(election_ms - 1).late.is_empty(), "founders wait for each other");
    }
}
