//! Calls that may not be repeated: claimed before they run, settled after.

use std::sync::Arc;
use std::time::Duration;

use tracing::{info, warn};
use uuid::Uuid;

use crate::control::ledger::{
    Claim, ClaimOutcome, KeyDigest, RecordedAnswer, Settlement, body_digest,
};
use crate::gateway::exchange::{self, Exchange, GivenUp, Reply, Whole};
use crate::gateway::shared::Shared;
use crate::message::{ControlReply, ControlRequest, RunState};

const CLAIM_TIMEOUT_MS: u64 = 5_000;
const SETTLE_TIMEOUT_MS: u64 = 2_000;
const IN_PROGRESS_POLL: Duration = Duration::from_millis(50);
const SETTLE_PAUSE: Duration = Duration::from_millis(500);

/// What came of a call that may not be repeated.
pub enum Claimed {
    /// It ran now, and this is the answer.
    Answered(Whole),
    /// It ran before; this was the answer.
    Replayed(Arc<RecordedAnswer>),
    /// It ran before; the answer is not kept any more.
    AnswerGone,
    /// Another call with this key is under way.
    InProgress,
    /// Whether an earlier call with this key ran is not known.
    Unknown,
    /// The key was used for another call.
    OtherBody,
    /// The key is older than the ledger remembers.
    TooOld,
    /// The ledger takes no more keys.
    Full,
    /// The claim could not be made; nothing ran.
    NotClaimed(String),
    /// It was claimed and given up.
    GivenUp(GivenUp),
}

/// Claims and runs a call. Runs to its end even if the caller goes away.
pub async fn run(shared: Arc<Shared>, exchange: Exchange, key: Arc<str>) -> Claimed {
    let task = tokio::spawn(async move { claim_and_run(&shared, &exchange, &key).await });
    match task.await {
        Ok(claimed) => claimed,
        Err(error) => Claimed::GivenUp(GivenUp {
            run: RunState::Unknown,
            refusal: None,
            retry_after_ms: 1_000,
            detail: format!("the call's task ended: {error}"),
        }),
    }
}

async fn claim_and_run(shared: &Arc<Shared>, exchange: &Exchange, key: &str) -> Claimed {
    let call = &exchange.call;
    let claim = Claim {
        key: KeyDigest::new(&exchange.service.workspace, &exchange.service.name, key),
        body: body_digest(&call.method, &call.path, &call.body),
        claim_id: Uuid::new_v4().as_u128(),
        gateway: shared.settings.common.name.clone(),
        gateway_epoch: shared.lease.epoch(),
        issued_at_ms: issued_at_ms(key),
    };
    let wait_ms = shared.settings.limits.in_progress_wait_ms;
    let wait_until_ms = (shared.now_ms() + wait_ms).min(exchange.deadline_ms);
    loop {
        let request = ControlRequest::Claim(claim.clone());
        let outcome = match shared.control.call(&request, CLAIM_TIMEOUT_MS).await {
            Ok(ControlReply::Claimed(outcome)) => outcome,
            Ok(_) => {
                return Claimed::NotClaimed("control gave another kind of answer".to_owned());
            }
            Err(error) => {
                if !error.is_not_run() {
                    tokio::spawn(withdraw(shared.clone(), claim));
                }
                return Claimed::NotClaimed(error.to_string());
            }
        };
        return match outcome {
            ClaimOutcome::Granted => run_claimed(shared, exchange, &claim).await,
            ClaimOutcome::InProgress if shared.now_ms() < wait_until_ms => {
                tokio::time::sleep(IN_PROGRESS_POLL).await;
                continue;
            }
            ClaimOutcome::InProgress => Claimed::InProgress,
            ClaimOutcome::Finished(answer) => Claimed::Replayed(answer),
            ClaimOutcome::FinishedWithoutAnswer => Claimed::AnswerGone,
            ClaimOutcome::Unknown => Claimed::Unknown,
            ClaimOutcome::OtherBody => Claimed::OtherBody,
            ClaimOutcome::TooOld => Claimed::TooOld,
            ClaimOutcome::Full => Claimed::Full,
            ClaimOutcome::StaleGateway => {
                Claimed::NotClaimed("this gateway's registration has ended".to_owned())
            }
        };
    }
}

async fn run_claimed(shared: &Arc<Shared>, exchange: &Exchange, claim: &Claim) -> Claimed {
    let result = exchange::run(shared, exchange).await;
    let (settlement, claimed) = match result {
        Ok(Reply::Whole(whole)) => (finished(shared, exchange, &whole), Claimed::Answered(whole)),
        Ok(Reply::Stream(_)) => {
            // The exchange was asked for a whole answer.
            let given_up = GivenUp {
                run: RunState::Unknown,
                refusal: None,
                retry_after_ms: 1_000,
                detail: "the answer was a stream".to_owned(),
            };
            (Settlement::Unknown, Claimed::GivenUp(given_up))
        }
        Err(given_up) => {
            let settlement = match given_up.run {
                RunState::NotRun => Settlement::NotRun,
                RunState::Unknown => Settlement::Unknown,
            };
            (settlement, Claimed::GivenUp(given_up))
        }
    };
    settle(shared, claim, settlement).await;
    claimed
}

fn finished(shared: &Shared, exchange: &Exchange, whole: &Whole) -> Settlement {
    if whole.body.len() > shared.settings.limits.recorded_answer_max_bytes {
        return Settlement::Finished(None);
    }
    Settlement::Finished(Some(Arc::new(RecordedAnswer {
        status: whole.status,
        content_type: whole.content_type.clone(),
        adapter: exchange.adapter.clone(),
        body: whole.body.clone(),
    })))
}

/// Records the outcome; what cannot be recorded at once is tried again in the background, and if
/// this process ends before, the outcome counts as unknown, which is never run again either.
async fn settle(shared: &Arc<Shared>, claim: &Claim, settlement: Settlement) {
    let request = ControlRequest::Settle { key: claim.key, claim_id: claim.claim_id, settlement };
    let Err(error) = shared.control.call(&request, SETTLE_TIMEOUT_MS).await else { return };
    warn!(event = "settlement_delayed", error = %error);
    let shared = shared.clone();
    tokio::spawn(async move {
        while shared.control.call(&request, SETTLE_TIMEOUT_MS).await.is_err() {
            tokio::time::sleep(SETTLE_PAUSE).await;
        }
    });
}

/// Finds out what became of a claim whose answer was lost, and settles it as not run.
async fn withdraw(shared: Arc<Shared>, claim: Claim) {
    let request = ControlRequest::Claim(claim.clone());
    let outcome = loop {
        match shared.control.call(&request, CLAIM_TIMEOUT_MS).await {
            Ok(ControlReply::Claimed(outcome)) => break outcome,
            _ => tokio::time::sleep(SETTLE_PAUSE).await,
        }
    };
    if outcome == ClaimOutcome::Granted {
        info!(event = "claim_withdrawn");
        settle(&shared, &claim, Settlement::NotRun).await;
    }
}

/// The time in a key that is a version 7 UUID.
fn issued_at_ms(key: &str) -> Option<u64> {
    let timestamp = Uuid::try_parse(key).ok()?.get_timestamp()?;
    let (seconds, nanoseconds) = timestamp.to_unix();
    Some(seconds * 1_000 + u64::from(nanoseconds) / 1_000_000)
}
