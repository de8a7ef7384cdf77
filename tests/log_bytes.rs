//! Guards against a log and links that are bounded by numbers of entries while one entry is large.

mod common;

use std::sync::Arc;

use common::replica::{alone, limits};
use winchvane::control::raft::{
    Envelope, Member, Members, Message, NodeId, Payload, Raft, Recovered, Timing,
};
use winchvane::control::replica::Replica;
use winchvane::message::ControlRequest;
use winchvane::routing::RoutingConfiguration;

const ENTRY_BYTES: usize = 1_700_000;
const IN_FLIGHT_MAX_BYTES: u64 = 5_000_000;

fn member(number: NodeId) -> Member {
    let address = ([127, 0, 0, 1], number as u16).into();
    Member { name: format!("n{number}").into(), address, voter: true }
}

/// A leader of three replicas that were all heard.
fn leader() -> Raft {
    let members = Members((1..=3).map(|number| (number, member(number))).collect());
    let mut raft = Raft::new(1, members, Recovered::default(), Timing::default(), 1, 0)
        .with_in_flight_max_bytes(IN_FLIGHT_MAX_BYTES);
    let mut now_ms = 0;
    while !raft.is_leader() {
        now_ms += 20;
        raft.tick(now_ms);
        answer_votes(&mut raft, now_ms);
    }
    confirm(&mut raft, now_ms, &[2, 3]);
    raft
}

fn answer_votes(raft: &mut Raft, now_ms: u64) {
    let output = raft.take_output(now_ms);
    for Envelope { to, term, message, .. } in output.early.into_iter().chain(output.late) {
        let message = match message {
            Message::PreVote { .. } => Message::PreVoteReply { granted: true },
            Message::Vote { .. } => Message::VoteReply { granted: true },
            _ => continue,
        };
        raft.receive(now_ms, Envelope { from: to, to: 1, term, message });
    }
}

/// Stores what the leader has to store, and confirms what it sends to `replicas`; returns the bytes of
/// the entries that it sent to each of the others.
fn confirm(raft: &mut Raft, now_ms: u64, replicas: &[NodeId]) -> u64 {
    let mut others_bytes = 0;
    for _ in 0..100 {
        let output = raft.take_output(now_ms);
        let last_index = raft.last_index();
        raft.mark_persisted(last_index);
        let mut is_idle = true;
        for Envelope { to, term, message, .. } in output.early.into_iter().chain(output.late) {
            let content_bytes = message.content_bytes();
            let Message::Append { prev_index, entries, round, .. } = message else { continue };
            if !replicas.contains(&to) {
                others_bytes += content_bytes;
                continue;
            }
            is_idle &= entries.is_empty();
            let index = prev_index + entries.len() as u64;
            let message = Message::AppendReply { matched: true, index, round };
            raft.receive(now_ms, Envelope { from: to, to: 1, term, message });
        }
        if is_idle {
            break;
        }
    }
    others_bytes
}

fn large_payload() -> Payload {
    Payload::Command(vec![7; ENTRY_BYTES].into())
}

#[test]
fn a_replica_that_confirms_nothing_is_sent_a_few_large_entries_only() {
    let (mut raft, mut sent_bytes) = (leader(), 0);
    for number in 0..100 {
        raft.propose(large_payload()).expect("it leads");
        sent_bytes += confirm(&mut raft, 2_000 + number, &[2]);
    }
    assert!(raft.commit() >= 100, "the others go on");
    let max_bytes = IN_FLIGHT_MAX_BYTES + ENTRY_BYTES as u64;
    assert!((1..=max_bytes).contains(&sent_bytes), "{sent_bytes} bytes");
}

#[test]
fn a_replica_that_goes_on_gets_all_it_missed() {
    let mut raft = leader();
    for number in 0..20 {
        raft.propose(large_payload()).expect("it leads");
        confirm(&mut raft, 2_000 + number, &[2]);
    }
    // What was on the way is lost: the replica has none of it.
    let (term, round) = (raft.term(), u64::MAX);
    let message = Message::AppendReply { matched: false, index: 1, round };
    raft.receive(3_000, Envelope { from: 3, to: 1, term, message });
    confirm(&mut raft, 3_000, &[2, 3]);
    raft.propose(large_payload()).expect("it leads");
    let sent_bytes = confirm(&mut raft, 3_100, &[2]);
    assert!(sent_bytes > 0, "it gets the next entry too, so that it has all before");
}

#[test]
fn a_replica_that_needs_a_snapshot_gets_no_entries_before_it_and_a_newer_one_at_once() {
    let mut raft = leader();
    for number in 0..10 {
        raft.propose(large_payload()).expect("it leads");
        confirm(&mut raft, 2_000 + number, &[2]);
    }
    raft.compact(raft.commit());
    let first_index = raft.snapshot_index();
    let term = raft.term();
    let reply = |matched, index| Envelope {
        from: 3,
        to: 1,
        term,
        message: Message::AppendReply { matched, index, round: 0 },
    };
    raft.receive(3_000, reply(false, 1));
    assert_eq!(raft.take_output(3_000).need_snapshot, [3]);
    let mut sent_bytes = 0;
    for number in 0..10 {
        raft.propose(large_payload()).expect("it leads");
        sent_bytes += confirm(&mut raft, 3_001 + number, &[2]);
        raft.receive(3_001 + number, reply(false, 1));
    }
    assert_eq!(sent_bytes, 0, "bytes of entries that it could not use");
    raft.compact(raft.commit());
    // It has the first snapshot, which is too old by now.
    raft.receive(3_100, reply(true, first_index));
    assert_eq!(raft.take_output(3_100).need_snapshot, [3]);
}

fn put(replica: &mut Replica, now_ms: u64, version: u64) {
    let (reply, _answered) = ractor::concurrency::oneshot();
    let document: Arc<str> = "x".repeat(ENTRY_BYTES).into();
    let configuration =
        Arc::new(RoutingConfiguration { version, ..RoutingConfiguration::default() });
    let request = ControlRequest::PutRouting { configuration, document };
    replica.call(now_ms, now_ms, request, ractor::RpcReplyPort::from(reply).into());
    advance(replica, now_ms);
}

fn advance(replica: &mut Replica, now_ms: u64) {
    replica.tick(now_ms, now_ms);
    loop {
        let mut output = replica.raft.take_output(now_ms);
        let is_idle = !output.must_store() && output.committed.is_empty();
        replica.raft.mark_persisted(replica.raft.last_index());
        replica.apply(&mut output).expect("entries are readable");
        replica.check_leadership(now_ms, now_ms);
        if is_idle {
            return;
        }
    }
}

#[test]
fn a_snapshot_is_due_before_large_entries_take_a_tenth_of_the_memory() {
    let mut replica = alone(([127, 0, 0, 1], 9).into(), Timing::default(), 0);
    let mut now_ms = 0;
    while !replica.is_leading() {
        now_ms += 20;
        advance(&mut replica, now_ms);
    }
    let mut peak_bytes = 0;
    for version in 1..=100 {
        put(&mut replica, now_ms, version);
        peak_bytes = peak_bytes.max(replica.raft.log_bytes());
        if let Some(snapshot) = replica.snapshot_due() {
            replica.raft.compact(snapshot.index);
        }
    }
    assert!(peak_bytes >= limits().log_max_bytes, "no snapshot before it is due");
    assert!(peak_bytes < 25_600_000, "{peak_bytes} bytes of 256 MB");
}
