//! Enforces workspace quotas: admits requests against the credit granted to this gateway, and lets
//! them wait for more credit.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::Notify;
use tracing::info;

use super::refusal::NotSent;
use super::shared::Relay;
use crate::clock::Clock;
use crate::message::{CreditAsk, CreditGrant};
use crate::policy::quota::{Admission, Credits};
use crate::routing::{Quota, Workspace};

/// `Retry-After` of a request that costs more than its workspace can ever have at once; only a
/// larger quota helps.
const TOO_LARGE_RETRY_MS: u64 = 10_000;
/// How long a request waits for credit at most: a few round trips to the leader.
const CREDIT_WAIT_MS: u64 = 400;

/// The credit of all workspaces, and the requests that wait for credit.
#[derive(Debug)]
pub(super) struct QuotaGate {
    credits: Mutex<Credits>,
    /// Notified when credit was granted or cannot be asked for any more.
    answered: Notify,
    /// Notified when requests wait for credit that has not been asked for yet.
    pub(super) wanted: Notify,
    clock: Clock,
}

impl QuotaGate {
    pub(super) fn new(clock: Clock) -> Self {
        Self {
            credits: Mutex::new(Credits::new()),
            answered: Notify::new(),
            wanted: Notify::new(),
            clock,
        }
    }

    fn credits(&self) -> MutexGuard<'_, Credits> {
        self.credits.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that credit can be asked for: from the distributor of the zone or from the leader.
    pub(super) fn linked(&self) {
        self.credits().linked();
    }

    /// Records that credit cannot be asked for.
    pub(super) fn unlinked(&self) {
        self.credits().unlinked();
        self.answered.notify_waiters();
    }

    /// Returns the asks to send now.
    pub(super) fn take_asks(&self) -> Vec<CreditAsk> {
        self.credits().take_asks(self.clock.now_ms())
    }

    /// Adds granted credit.
    pub(super) fn granted(&self, grants: Vec<CreditGrant>) {
        for CreditGrant { workspace, units, dry_ms, .. } in &grants {
            if *dry_ms > 0 {
                info!(event = "quota_used_up", workspace = %workspace, granted = units, dry_ms);
            }
        }
        let has_urgent_ask = {
            let mut credits = self.credits();
            credits.granted(self.clock.now_ms(), grants);
            credits.has_urgent_ask(self.clock.now_ms())
        };
        self.answered.notify_waiters();
        if has_urgent_ask {
            self.wanted.notify_one();
        }
    }

    /// Admits a request that costs `cost` units, at once or when credit for it was granted.
    async fn admit(&self, workspace: &Arc<str>, cost: u64) -> Result<(), NotSent> {
        let now_ms = self.clock.now_ms();
        let admission = self.credits().admit(now_ms, workspace, cost);
        if admission != Admission::Wait {
            return outcome(admission);
        }
        let _waiting = CreditWait::new(self, workspace, cost);
        self.wanted.notify_one();
        let until_ms = now_ms + CREDIT_WAIT_MS;
        loop {
            let answered = self.answered.notified();
            tokio::pin!(answered);
            answered.as_mut().enable();
            let admission = self.credits().take(self.clock.now_ms(), workspace, cost);
            if admission != Admission::Wait {
                return outcome(admission);
            }
            if self.clock.timeout_at(until_ms, answered).await.is_none() {
                return Err(NotSent::QuotaUnknown { after_ms: CREDIT_WAIT_MS });
            }
        }
    }
}

fn outcome(admission: Admission) -> Result<(), NotSent> {
    match admission {
        Admission::Granted | Admission::Wait => Ok(()),
        Admission::Over { after_ms } => Err(NotSent::OverQuota { after_ms }),
        Admission::CutOff { after_ms } => Err(NotSent::QuotaUnknown { after_ms }),
    }
}

/// A request that waits for credit, until it is dropped.
struct CreditWait<'a> {
    gate: &'a QuotaGate,
    workspace: &'a Arc<str>,
    cost: u64,
}

impl<'a> CreditWait<'a> {
    fn new(gate: &'a QuotaGate, workspace: &'a Arc<str>, cost: u64) -> Self {
        gate.credits().begin_wait(workspace, cost);
        Self { gate, workspace, cost }
    }
}

impl Drop for CreditWait<'_> {
    fn drop(&mut self) {
        self.gate.credits().end_wait(self.workspace, self.cost);
    }
}

/// The units that a request used; returned if it was not sent.
pub(super) struct UsedCredit {
    relay: Arc<Relay>,
    workspace: Arc<str>,
    cost: u64,
}

impl UsedCredit {
    /// Admits a request of `workspace` that names `tokens` tokens.
    ///
    /// # Errors
    /// The request exceeds the quota, or the remaining quota is unknown.
    pub(super) async fn take(
        relay: &Arc<Relay>,
        workspace: &Workspace,
        quota: Quota,
        tokens: Option<u64>,
    ) -> Result<Self, NotSent> {
        let cost = quota.cost(tokens);
        if cost as f64 > quota.cost_max() {
            return Err(NotSent::OverQuota { after_ms: TOO_LARGE_RETRY_MS });
        }
        relay.quota.admit(&workspace.name, cost).await?;
        Ok(Self { relay: relay.clone(), workspace: workspace.name.clone(), cost })
    }

    /// Returns the units because the request did not run and will not.
    pub(super) fn give_back(&self) {
        let gate = &self.relay.quota;
        gate.credits().give_back(gate.clock.now_ms(), &self.workspace, self.cost);
    }
}
