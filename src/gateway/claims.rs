//! Runs calls that must run at most once: claims the idempotency key in control's run ledger before
//! the call, and records the outcome there after it.

use std::sync::Arc;
use std::time::Duration;

use tracing::{info, warn};
use uuid::Uuid;

use crate::control::ledger::{
    Claim, ClaimOutcome, KeyDigest, RecordedAnswer, Settlement, body_digest,
};
use crate::gateway::exchange::{self, Exchange, GivenUp, Reply, WholeAnswer};
use crate::gateway::shared::Shared;
use crate::message::{ControlReply, ControlRequest, RunState};

const CLAIM_TIMEOUT_MS: u64 = 5_000;
const SETTLE_TIMEOUT_MS: u64 = 2_000;
const IN_PROGRESS_POLL_INTERVAL: Duration = Duration::from_millis(50);
const SETTLE_RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Outcome of a call that must run at most once.
pub enum ClaimedCallOutcome {
    /// The call ran now and gave this response.
    Answered(WholeAnswer),
    /// The call ran earlier; this is its recorded response.
    Replayed(Arc<RecordedAnswer>),
    /// The call ran earlier, and its response is no longer recorded.
    AnswerGone,
    /// Another call with this key is in progress.
    InProgress,
    /// Whether an earlier call with this key ran is unknown.
    Unknown,
    /// The key was used with another request.
    OtherBody,
    /// The key is older than the ledger's retention time.
    TooOld,
    /// The ledger accepts no more keys.
    Full,
    /// The key could not be claimed, and the call did not run.
    NotClaimed(String),
    /// The key was claimed, and the call failed.
    GivenUp(GivenUp),
}

/// Claims the key of a call and runs the call. It runs to its end even if the client disconnects.
pub async fn run(shared: Arc<Shared>, exchange: Exchange, key: Arc<str>) -> ClaimedCallOutcome {
    let task = tokio::spawn(async move { claim_and_run(&shared, &exchange, &key).await });
    match task.await {
        Ok(call_outcome) => call_outcome,
        Err(error) => ClaimedCallOutcome::GivenUp(GivenUp {
            run: RunState::Unknown,
            refusal: None,
            retry_after_ms: 1_000,
            detail: format!("the call's task ended: {error}"),
        }),
    }
}

async fn claim_and_run(shared: &Arc<Shared>, exchange: &Exchange, key: &str) -> ClaimedCallOutcome {
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
                return ClaimedCallOutcome::NotClaimed(
                    "control gave another kind of answer".to_owned(),
                );
            }
            Err(error) => {
                if !error.is_not_run() {
                    tokio::spawn(withdraw(shared.clone(), claim));
                }
                return ClaimedCallOutcome::NotClaimed(error.to_string());
            }
        };
        return match outcome {
            ClaimOutcome::Granted => run_claimed(shared, exchange, &claim).await,
            ClaimOutcome::InProgress if shared.now_ms() < wait_until_ms => {
                tokio::time::sleep(IN_PROGRESS_POLL_INTERVAL).await;
                continue;
            }
            ClaimOutcome::InProgress => ClaimedCallOutcome::InProgress,
            ClaimOutcome::Finished(answer) => ClaimedCallOutcome::Replayed(answer),
            ClaimOutcome::FinishedWithoutAnswer => ClaimedCallOutcome::AnswerGone,
            ClaimOutcome::Unknown => ClaimedCallOutcome::Unknown,
            ClaimOutcome::OtherBody => ClaimedCallOutcome::OtherBody,
            ClaimOutcome::TooOld => ClaimedCallOutcome::TooOld,
            ClaimOutcome::Full => ClaimedCallOutcome::Full,
            ClaimOutcome::StaleGateway => {
                ClaimedCallOutcome::NotClaimed("this gateway's registration has ended".to_owned())
            }
        };
    }
}

async fn run_claimed(
    shared: &Arc<Shared>,
    exchange: &Exchange,
    claim: &Claim,
) -> ClaimedCallOutcome {
    let result = exchange::run(shared, exchange).await;
    let (settlement, call_outcome) = match result {
        Ok(Reply::Whole(whole)) => {
            (finished(shared, exchange, &whole), ClaimedCallOutcome::Answered(whole))
        }
        Ok(Reply::Stream(_)) => {
            // Not expected: such calls are sent with `streams` set to false.
            let given_up = GivenUp {
                run: RunState::Unknown,
                refusal: None,
                retry_after_ms: 1_000,
                detail: "the answer was a stream".to_owned(),
            };
            (Settlement::Unknown, ClaimedCallOutcome::GivenUp(given_up))
        }
        Err(given_up) => {
            let settlement = match given_up.run {
                RunState::NotRun => Settlement::NotRun,
                RunState::Unknown => Settlement::Unknown,
            };
            (settlement, ClaimedCallOutcome::GivenUp(given_up))
        }
    };
    settle(shared, claim, settlement).await;
    call_outcome
}

/// The settlement for a response, which is recorded unless its body is too large.
fn finished(shared: &Shared, exchange: &Exchange, whole: &WholeAnswer) -> Settlement {
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

/// Records the outcome of a claimed call. If that fails, it is retried in the background. If this
/// process ends first, the outcome counts as unknown, and the call is not run again either.
async fn settle(shared: &Arc<Shared>, claim: &Claim, settlement: Settlement) {
    let request = ControlRequest::Settle { key: claim.key, claim_id: claim.claim_id, settlement };
    let Err(error) = shared.control.call(&request, SETTLE_TIMEOUT_MS).await else { return };
    warn!(event = "settlement_delayed", error = %error);
    let shared = shared.clone();
    tokio::spawn(async move {
        while shared.control.call(&request, SETTLE_TIMEOUT_MS).await.is_err() {
            tokio::time::sleep(SETTLE_RETRY_INTERVAL).await;
        }
    });
}

/// Repeats a claim whose reply was lost until control replies; if it was granted, records that the
/// call did not run.
async fn withdraw(shared: Arc<Shared>, claim: Claim) {
    let request = ControlRequest::Claim(claim.clone());
    let outcome = loop {
        match shared.control.call(&request, CLAIM_TIMEOUT_MS).await {
            Ok(ControlReply::Claimed(outcome)) => break outcome,
            _ => tokio::time::sleep(SETTLE_RETRY_INTERVAL).await,
        }
    };
    if outcome == ClaimOutcome::Granted {
        info!(event = "claim_withdrawn");
        settle(&shared, &claim, Settlement::NotRun).await;
    }
}

/// The creation time of a key that is a version 7 UUID.
fn issued_at_ms(key: &str) -> Option<u64> {
    let timestamp = Uuid::try_parse(key).ok()?.get_timestamp()?;
    let (seconds, nanoseconds) = timestamp.to_unix();
    Some(seconds * 1_000 + u64::from(nanoseconds) / 1_000_000)
}
