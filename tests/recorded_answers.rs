//! Guards against recorded answers that are bounded by the number of their keys while one of them can be
//! large.

mod common;
#[path = "common/fuzz.rs"]
mod fuzz;

use std::sync::Arc;

use common::group::{claim, registration};
use common::replica::{alone_with, limits};
use fuzz::check;
use proptest::collection::vec;
use proptest::prelude::any;
use proptest::{prop_assert, prop_assert_eq};
use ractor::concurrency::{OneshotReceiver, oneshot};
use winchvane::control::ledger::{
    ClaimOutcome, KeyDigest, LedgerLimits, RecordedAnswer, Settlement,
};
use winchvane::control::raft::Timing;
use winchvane::control::replica::Replica;
use winchvane::control::state::{Command, Operation, Outcome, State};
use winchvane::message::{ControlReply, ControlRequest};

const ANSWER_BYTES: usize = 256 << 10;
const KEYS: usize = 100;

fn key(number: usize) -> String {
    format!("key-{number}")
}

fn settlement(size_bytes: usize) -> Settlement {
    Settlement::Finished(Some(Arc::new(RecordedAnswer {
        status: 200,
        content_type: "text/plain".into(),
        adapter: None,
        body: vec![7; size_bytes],
    })))
}

fn apply(state: &mut State, now_ms: u64, operation: Operation) -> Outcome {
    state.apply(1, Command { now_ms, operation }).0
}

/// A state in which a gateway has claimed keys.
fn claimed(keys: usize) -> State {
    let mut state = State::new();
    let registered = apply(&mut state, 0, Operation::Register(registration("g", 1)));
    assert_eq!(registered, Outcome::Registered(1));
    for number in 0..keys {
        let outcome = claim_again(&mut state, 0, number);
        assert_eq!(outcome, Outcome::Claimed(ClaimOutcome::Granted));
    }
    state
}

fn claim_again(state: &mut State, now_ms: u64, number: usize) -> Outcome {
    apply(state, now_ms, Operation::Claim(claim(&key(number), number as u128, "g", 1, "body")))
}

fn settle(state: &mut State, now_ms: u64, number: usize, settlement: Settlement) {
    let key = KeyDigest::new("workspace", "service", &key(number));
    apply(state, now_ms, Operation::Settle { key, claim_id: number as u128, settlement });
}

fn call(
    replica: &mut Replica,
    now_ms: u64,
    request: ControlRequest,
) -> OneshotReceiver<ControlReply> {
    let (reply, answered) = oneshot();
    replica.call(now_ms, now_ms, request, ractor::RpcReplyPort::from(reply).into());
    advance(replica, now_ms);
    answered
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

#[tokio::test]
async fn the_oldest_answers_are_dropped_once_all_take_a_share_of_the_memory() {
    let mut replica = alone_with(claimed(KEYS), ([127, 0, 0, 1], 9).into(), Timing::default(), 0);
    let mut now_ms = 0;
    while !replica.is_leading() {
        now_ms += 20;
        advance(&mut replica, now_ms);
    }
    for number in 0..KEYS {
        let key = KeyDigest::new("workspace", "service", &key(number));
        let (claim_id, settlement) = (number as u128, settlement(ANSWER_BYTES));
        let settle = ControlRequest::Settle { key, claim_id, settlement };
        let settled = call(&mut replica, now_ms, settle).await;
        assert!(matches!(settled, Ok(ControlReply::Settled)), "{settled:?}");
    }
    let mut kept = Vec::new();
    for number in 0..KEYS {
        let again = claim(&key(number), number as u128, "g", 1, "body");
        match call(&mut replica, now_ms, ControlRequest::Claim(again)).await {
            Ok(ControlReply::Claimed(ClaimOutcome::Finished(_))) => kept.push(number),
            Ok(ControlReply::Claimed(ClaimOutcome::FinishedWithoutAnswer)) => {}
            other => panic!("key {number} may not run again: {other:?}"),
        }
    }
    let kept_bytes = (kept.len() * ANSWER_BYTES) as u64;
    assert!(kept_bytes <= limits().answers_max_bytes, "{kept_bytes} bytes");
    assert!(kept_bytes * 10 >= limits().answers_max_bytes * 8, "only {kept_bytes} bytes");
    assert_eq!(kept, (KEYS - kept.len()..KEYS).collect::<Vec<_>>(), "the newest are kept");
}

/// Replicas that have taken the state over from a snapshot keep the same answers.
#[test]
fn a_snapshot_changes_nothing_about_which_answers_are_kept() {
    let steps = vec((0..20_usize, 0..400_usize, any::<bool>(), 0..700_u64), 1..60);
    check((steps, 0..60_usize, 0..3_000_u64), |(steps, snapshot_at, max_bytes)| {
        let mut state = claimed(20);
        let limits = LedgerLimits { retention_ms: 5_000, max_keys: 1_000 };
        apply(&mut state, 0, Operation::SetLimits(limits));
        let (mut restored, mut now_ms) = (None, 0);
        for (step, (number, size_bytes, keeps, later_ms)) in steps.into_iter().enumerate() {
            if step == snapshot_at {
                restored = Some(State::decode(&state.encode()).expect("it is a state"));
            }
            now_ms += later_ms;
            for state in [Some(&mut state), restored.as_mut()].into_iter().flatten() {
                settle(state, now_ms, number, settlement(size_bytes));
                if keeps {
                    apply(state, now_ms, Operation::KeepAnswers { max_bytes });
                    prop_assert!(state.ledger.answers_bytes() <= max_bytes);
                }
            }
        }
        let Some(mut restored) = restored else { return Ok(()) };
        prop_assert_eq!(state.ledger.answers_bytes(), restored.ledger.answers_bytes());
        for number in 0..20 {
            let outcome = claim_again(&mut state, now_ms, number);
            prop_assert_eq!(outcome, claim_again(&mut restored, now_ms, number));
        }
        prop_assert_eq!(state.encode(), restored.encode());
        Ok(())
    });
}
