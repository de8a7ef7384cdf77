//! Raft rules that need no group: a single replica, its messages and its stored state.

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

/// Requests a vote; returns whether it was granted and the term and vote to store.
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
    // The term is already stored, so only the vote changes what has to be stored.
    let mut raft = replica(HardState { term: 5, vote: None });
    let (granted, stored) = ask(&mut raft, 2, 5);
    assert!(granted);
    let stored = stored.expect("a granted vote has to be stored");
    let mut restarted = replica(stored);
    assert!(!ask(&mut restarted, 3, 5).0, "a second vote in one term is granted");
    assert!(ask(&mut restarted, 2, 5).0, "the same vote may be granted again");
    assert!(ask(&mut restarted, 3, 6).0, "a vote in a later term is granted");
}

#[test]
fn a_replica_that_hears_a_leader_does_not_vote() {
    let mut raft = replica(HardState { term: 5, vote: None });
    let append =
        Message::Append { prev_index: 0, prev_term: 0, entries: Vec::new(), commit: 0, round: 1 };
    raft.receive(5, Envelope { from: 2, to: 1, term: 5, message: append });
    raft.take_output(5);
    assert!(!ask(&mut raft, 3, 6).0);
    assert_eq!(raft.term(), 5, "the replica leaves the leader's term");
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
    assert_eq!(raft.commit(), 0, "one stored copy of three is no quorum");
    raft.mark_persisted(1);
    assert_eq!(raft.commit(), 1);
}

/// A leader of three voters and a learner that has the whole log.
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

/// Delivers replies of `replicas` to the round that was sent last.
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
fn the_leader_lease_starts_when_a_round_that_a_quorum_answered_was_sent() {
    let mut raft = leader_with_learner(3);
    let lease_until_ms = raft.lease_until_ms();
    assert!(lease_until_ms <= 5_020 + Timing::default().election_ms);
    // A reply that is read late, for example after the process stood still, does not extend the
    // lease.
    let message = Message::AppendReply { matched: true, index: 1, round: 1 };
    raft.receive(60_000, Envelope { from: 3, to: 1, term: 1, message });
    assert!(raft.lease_until_ms() <= 5_020 + Timing::default().election_ms);
}

#[test]
fn a_restarted_replica_starts_an_election_within_half_the_election_time() {
    let recovered =
        || Recovered { hard_state: HardState { term: 3, vote: None }, ..Recovered::default() };
    let election_ms = Timing::default().election_ms;
    for seed in 0..50 {
        let mut restarted = Raft::new(1, founders(), recovered(), Timing::default(), seed, 0);
        restarted.tick(election_ms / 2 + 1);
        let messages = restarted.take_output(election_ms / 2 + 1).late;
        assert!(!messages.is_empty(), "the restarted replica starts no election in time");
        let mut new = Raft::new(1, founders(), Recovered::default(), Timing::default(), seed, 0);
        new.tick(election_ms - 1);
        assert!(
            new.take_output(election_ms - 1).late.is_empty(),
            "a founder starts an election too soon"
        );
    }
}
