//! The credit that a gateway holds.

use std::collections::HashMap;
use std::sync::Arc;

use super::{
    ASK_BELOW_FRACTION, ASK_INTERVAL_MS, AUTONOMY_MS, CreditAsk, CreditGrant, RENEWAL_INTERVAL_MS,
};

/// The time constant of the moving average of demand.
const DEMAND_TIME_CONSTANT_MS: f64 = 4_000.0;
/// A workspace without requests for this long is forgotten.
const IDLE_MS: u64 = 60_000;
/// An ask without an answer for this long, a few round trips to the leader, will not be answered
/// soon.
const ANSWER_TIMEOUT_MS: u64 = 400;
/// The time after which a client may retry at a gateway without a leader.
const CUT_OFF_RETRY_MS: u64 = 300;

/// The decision on a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The request is admitted and its units are used.
    Granted,
    /// The request waits for more credit.
    Wait,
    /// The workspace has exceeded its quota.
    Over {
        /// The time after which the client may retry.
        after_ms: u64,
    },
    /// No credit is left, and no answer to an ask for more is expected.
    CutOff {
        /// The time after which the client may retry.
        after_ms: u64,
    },
}

/// The credit of one workspace.
#[derive(Debug, Default)]
struct Credit {
    units: u64,
    /// The time until which the units may be used.
    valid_until_ms: u64,
    /// Units that requests wait for.
    waiting: u64,
    /// Units that requests needed since the last update of the average.
    requested: u64,
    averaged_at_ms: u64,
    /// The moving average of the demand, in units per second; starts at 0.
    rate_per_s: f64,
    /// The total weight of the samples in the average; corrects for its start at 0.
    average_weight: f64,
    /// When the ask that is not answered yet was sent.
    asked_at_ms: Option<u64>,
    last_asked_at_ms: u64,
    exhausted_until_ms: u64,
    used_at_ms: u64,
}

impl Credit {
    fn advance(&mut self, now_ms: u64) {
        if now_ms >= self.valid_until_ms {
            self.units = 0;
        }
        let passed_ms = now_ms.saturating_sub(self.averaged_at_ms);
        if passed_ms < ASK_INTERVAL_MS {
            return;
        }
        self.averaged_at_ms = now_ms;
        let keep = (-(passed_ms as f64) / DEMAND_TIME_CONSTANT_MS).exp();
        let rate_per_s = self.requested as f64 * 1_000.0 / passed_ms as f64;
        self.requested = 0;
        self.rate_per_s = self.rate_per_s * keep + rate_per_s * (1.0 - keep);
        self.average_weight = self.average_weight * keep + (1.0 - keep);
    }

    fn target(&self) -> u64 {
        if self.average_weight == 0.0 {
            return 0;
        }
        (self.rate_per_s / self.average_weight * AUTONOMY_MS as f64 / 1_000.0) as u64
    }

    fn is_ask_due(&self, now_ms: u64) -> bool {
        if self.asked_at_ms.is_some() {
            return false;
        }
        if self.waiting > self.units {
            return now_ms >= self.exhausted_until_ms;
        }
        let since_ms = now_ms.saturating_sub(self.last_asked_at_ms);
        let is_low = (self.units as f64) < self.target() as f64 * ASK_BELOW_FRACTION;
        is_low && since_ms >= ASK_INTERVAL_MS || self.units > 0 && since_ms >= RENEWAL_INTERVAL_MS
    }
}

/// The credit that a gateway holds, by workspace.
#[derive(Debug, Default)]
pub struct Credits {
    by_workspace: HashMap<Arc<str>, Credit>,
    is_linked: bool,
}

impl Credits {
    /// Creates empty credits without a connection.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts a request of `workspace` that costs `cost` units and admits it if the credit allows.
    pub fn admit(&mut self, now_ms: u64, workspace: &Arc<str>, cost: u64) -> Admission {
        if !self.by_workspace.contains_key(workspace) {
            let credit = Credit { averaged_at_ms: now_ms.saturating_sub(1), ..Credit::default() };
            self.by_workspace.insert(workspace.clone(), credit);
        }
        if let Some(credit) = self.by_workspace.get_mut(workspace) {
            credit.requested += cost;
            credit.used_at_ms = now_ms;
        }
        self.take(now_ms, workspace, cost)
    }

    /// Admits a request that has been counted before, if the credit allows.
    pub fn take(&mut self, now_ms: u64, workspace: &Arc<str>, cost: u64) -> Admission {
        let Some(credit) = self.by_workspace.get_mut(workspace) else {
            return Admission::CutOff { after_ms: CUT_OFF_RETRY_MS };
        };
        credit.advance(now_ms);
        if credit.units >= cost {
            credit.units -= cost;
            return Admission::Granted;
        }
        if now_ms < credit.exhausted_until_ms {
            return Admission::Over { after_ms: credit.exhausted_until_ms - now_ms };
        }
        let is_ask_overdue =
            credit.asked_at_ms.is_some_and(|at_ms| at_ms + ANSWER_TIMEOUT_MS <= now_ms);
        if !self.is_linked || is_ask_overdue {
            return Admission::CutOff { after_ms: CUT_OFF_RETRY_MS };
        }
        Admission::Wait
    }

    /// Records that a request waits for `cost` units.
    pub fn begin_wait(&mut self, workspace: &str, cost: u64) {
        if let Some(credit) = self.by_workspace.get_mut(workspace) {
            credit.waiting += cost;
        }
    }

    /// Records that a request no longer waits for `cost` units.
    pub fn end_wait(&mut self, workspace: &str, cost: u64) {
        if let Some(credit) = self.by_workspace.get_mut(workspace) {
            credit.waiting = credit.waiting.saturating_sub(cost);
        }
    }

    /// Returns the units of a request that did not run.
    pub fn give_back(&mut self, now_ms: u64, workspace: &str, cost: u64) {
        if let Some(credit) = self.by_workspace.get_mut(workspace)
            && now_ms < credit.valid_until_ms
        {
            credit.units += cost;
        }
    }

    /// Records a new connection to a leader or distributor, which knows of no ask yet.
    pub fn linked(&mut self) {
        self.is_linked = true;
        for credit in self.by_workspace.values_mut() {
            credit.asked_at_ms = None;
            credit.last_asked_at_ms = 0;
        }
    }

    /// Records that the connection is lost: pending asks will not be answered.
    pub fn unlinked(&mut self) {
        self.is_linked = false;
        for credit in self.by_workspace.values_mut() {
            credit.asked_at_ms = None;
        }
    }

    /// Takes the asks to send now.
    pub fn take_asks(&mut self, now_ms: u64) -> Vec<CreditAsk> {
        let mut asks = Vec::new();
        if !self.is_linked {
            return asks;
        }
        self.by_workspace.retain(|_, credit| {
            credit.advance(now_ms);
            credit.waiting > 0 || credit.used_at_ms + IDLE_MS > now_ms
        });
        for (workspace, credit) in &mut self.by_workspace {
            if !credit.is_ask_due(now_ms) {
                continue;
            }
            credit.asked_at_ms = Some(now_ms);
            credit.last_asked_at_ms = now_ms;
            asks.push(CreditAsk {
                workspace: workspace.clone(),
                held: credit.units.saturating_sub(credit.waiting),
                target: credit.target(),
                urgent: credit.waiting.saturating_sub(credit.units),
            });
        }
        asks
    }

    /// Adds granted credit.
    pub fn granted(&mut self, now_ms: u64, grants: Vec<CreditGrant>) {
        for CreditGrant { workspace, units, dry_ms, valid_ms } in grants {
            let Some(credit) = self.by_workspace.get_mut(&workspace) else { continue };
            let Some(asked_at_ms) = credit.asked_at_ms.take() else { continue };
            credit.advance(now_ms);
            credit.units += units;
            credit.valid_until_ms = asked_at_ms + u64::from(valid_ms);
            if dry_ms > 0 {
                credit.exhausted_until_ms = now_ms + u64::from(dry_ms);
            }
        }
    }

    /// Returns true if requests wait for units that have not been asked for.
    pub fn has_urgent_ask(&self, now_ms: u64) -> bool {
        let mut credits = self.by_workspace.values();
        self.is_linked
            && credits.any(|credit| credit.waiting > credit.units && credit.is_ask_due(now_ms))
    }

    /// The units held for `workspace`.
    pub fn held(&self, workspace: &str) -> u64 {
        self.by_workspace.get(workspace).map_or(0, |credit| credit.units)
    }
}
