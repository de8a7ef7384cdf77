//! Whether a workspace may ask for more: credit that this gateway holds, or that it waits for.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::Notify;
use tracing::info;

use super::refusal::NotSent;
use super::shared::Relay;
use crate::clock::Clock;
use crate::message::{CreditAsk, CreditGrant};
use crate::policy::quota::{Admission, Credits};
use crate::routing::{Quota, Workspace};

/// When a request may come again that costs more than its workspace ever has at once: only another quota helps.
const TOO_LARGE_AGAIN_MS: u64 = 10_000;
/// How long a request waits for credit at most: some round trips to the leader.
const WAIT_MS: u64 = 400;

/// The credit of all workspaces, and who waits for it.
#[derive(Debug)]
pub(super) struct QuotaGate {
    credits: Mutex<Credits>,
    /// Credit came, or will not come.
    answered: Notify,
    /// Requests wait for credit that nobody was asked for yet.
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

    /// Notes that a server of the zone, or the leader, can be asked from now on.
    pub(super) fn linked(&self) {
        self.credits().linked();
    }

    /// Notes that nobody can be asked.
    pub(super) fn unlinked(&self) {
        self.credits().unlinked();
        self.answered.notify_waiters();
    }

    /// What to ask for now.
    pub(super) fn take_asks(&self) -> Vec<CreditAsk> {
        self.credits().take_asks(self.clock.now_ms())
    }

    /// Takes over what was granted.
    pub(super) fn granted(&self, grants: Vec<CreditGrant>) {
        for CreditGrant { workspace, units, dry_ms, .. } in &grants {
            if *dry_ms > 0 {
                info!(event = "quota_used_up", workspace = %workspace, granted = units, dry_ms);
            }
        }
        let has_wanting = {
            let mut credits = self.credits();
            credits.granted(self.clock.now_ms(), grants);
            credits.has_urgent_ask(self.clock.now_ms())
        };
        self.answered.notify_waiters();
        if has_wanting {
            self.wanted.notify_one();
        }
    }

    /// Admits a request that costs so many units, at once or when credit for it has come.
    async fn admit(&self, workspace: &Arc<str>, cost: u64) -> Result<(), NotSent> {
        let now_ms = self.clock.now_ms();
        let admission = self.credits().admit(now_ms, workspace, cost);
        if admission != Admission::Wait {
            return outcome(admission);
        }
        let _waiting = Waiting::new(self, workspace, cost);
        self.wanted.notify_one();
        let until_ms = now_ms + WAIT_MS;
        loop {
            let answered = self.answered.notified();
            tokio::pin!(answered);
            answered.as_mut().enable();
            let admission = self.credits().take(self.clock.now_ms(), workspace, cost);
            if admission != Admission::Wait {
                return outcome(admission);
            }
            if self.clock.timeout_at(until_ms, answered).await.is_none() {
                return Err(NotSent::QuotaUnknown { after_ms: WAIT_MS });
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

/// A request that waits for credit; it waits no longer when this is dropped.
struct Waiting<'a> {
    gate: &'a QuotaGate,
    workspace: &'a Arc<str>,
    cost: u64,
}

impl<'a> Waiting<'a> {
    fn new(gate: &'a QuotaGate, workspace: &'a Arc<str>, cost: u64) -> Self {
        gate.credits().begin_wait(workspace, cost);
        Self { gate, workspace, cost }
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.gate.credits().end_wait(self.workspace, self.cost);
    }
}

/// The units that a request used up; given back unless it was sent.
pub(super) struct UsedCredit {
    relay: Arc<Relay>,
    workspace: Arc<str>,
    cost: u64,
}

impl UsedCredit {
    /// Admits a request of `workspace` that names so many tokens, where it has a quota.
    ///
    /// # Errors
    /// It asked for more than its quota, or what it has left cannot be known.
    pub(super) async fn take(
        relay: &Arc<Relay>,
        workspace: &Workspace,
        quota: Quota,
        tokens: Option<u64>,
    ) -> Result<Self, NotSent> {
        let cost = quota.cost(tokens);
        if cost as f64 > quota.cost_max() {
            return Err(NotSent::OverQuota { after_ms: TOO_LARGE_AGAIN_MS });
        }
        relay.quota.admit(&workspace.name, cost).await?;
        Ok(Self { relay: relay.clone(), workspace: workspace.name.clone(), cost })
    }

    /// The request did not run and will not.
    pub(super) fn give_back(&self) {
        let gate = &self.relay.quota;
        gate.credits().give_back(gate.clock.now_ms(), &self.workspace, self.cost);
    }
}
