//! The credit that a gateway holds.

use std::collections::HashMap;
use std::sync::Arc;

use super::{ASK_BELOW, ASK_EVERY_MS, CreditAsk, CreditGrant, HORIZON_MS, KEEP_MS};

/// Over how long the units that are asked for are averaged.
const AVERAGED_MS: f64 = 4_000.0;
/// A workspace that asked for nothing for so long is forgotten.
const IDLE_MS: u64 = 60_000;
/// An ask that is not answered within this time will not be soon: some round trips to the leader.
const ANSWER_MAX_MS: u64 = 400;
/// When a client may come again that a gateway without a leader could not let in.
const CUT_OFF_AGAIN_MS: u64 = 300;

/// What becomes of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// It is admitted, and its units are used up.
    Granted,
    /// It waits until more credit comes.
    Wait,
    /// Its workspace asked for more than its quota.
    Over {
        /// When it may come again.
        after_ms: u64,
    },
    /// There is no credit left and nobody to ask for more.
    CutOff {
        /// When it may come again.
        after_ms: u64,
    },
}

/// The credit of one workspace.
#[derive(Debug, Default)]
struct Credit {
    units: u64,
    /// Until when the units may be used.
    valid_until_ms: u64,
    /// Units that requests wait for.
    waiting: u64,
    /// Units that were asked for since the average was taken.
    asked_for: u64,
    averaged_at_ms: u64,
    /// Units a second that are asked for.
    rate_per_s: f64,
    /// The share of the average that has been seen: a new one has no past.
    seen: f64,
    /// When the ask was sent that is not answered yet.
    asked_at_ms: Option<u64>,
    last_asked_at_ms: u64,
    dry_until_ms: u64,
    used_at_ms: u64,
}

impl Credit {
    fn advance(&mut self, now_ms: u64) {
        if now_ms >= self.valid_until_ms {
            self.units = 0;
        }
        let passed_ms = now_ms.saturating_sub(self.averaged_at_ms);
        if passed_ms < ASK_EVERY_MS {
            return;
        }
        self.averaged_at_ms = now_ms;
        let keep = (-(passed_ms as f64) / AVERAGED_MS).exp();
        let rate_per_s = self.asked_for as f64 * 1_000.0 / passed_ms as f64;
        self.asked_for = 0;
        self.rate_per_s = self.rate_per_s * keep + rate_per_s * (1.0 - keep);
        self.seen = self.seen * keep + (1.0 - keep);
    }

    fn target(&self) -> u64 {
        if self.seen == 0.0 {
            return 0;
        }
        (self.rate_per_s / self.seen * HORIZON_MS as f64 / 1_000.0) as u64
    }

    fn wants(&self, now_ms: u64) -> bool {
        if self.asked_at_ms.is_some() {
            return false;
        }
        if self.waiting > self.units {
            return now_ms >= self.dry_until_ms;
        }
        let since_ms = now_ms.saturating_sub(self.last_asked_at_ms);
        let is_low = (self.units as f64) < self.target() as f64 * ASK_BELOW;
        is_low && since_ms >= ASK_EVERY_MS || self.units > 0 && since_ms >= KEEP_MS
    }
}

/// The credit that a gateway holds, by workspace.
#[derive(Debug, Default)]
pub struct Credits {
    by_workspace: HashMap<Arc<str>, Credit>,
    is_linked: bool,
}

impl Credits {
    /// No credit yet, and nobody to ask.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes that a request of `workspace` came that costs so many units, and admits it if it can.
    pub fn admit(&mut self, now_ms: u64, workspace: &Arc<str>, cost: u64) -> Admission {
        if !self.by_workspace.contains_key(workspace) {
            let credit = Credit { averaged_at_ms: now_ms.saturating_sub(1), ..Credit::default() };
            self.by_workspace.insert(workspace.clone(), credit);
        }
        if let Some(credit) = self.by_workspace.get_mut(workspace) {
            credit.asked_for += cost;
            credit.used_at_ms = now_ms;
        }
        self.take(now_ms, workspace, cost)
    }

    /// The same for a request that has waited.
    pub fn take(&mut self, now_ms: u64, workspace: &Arc<str>, cost: u64) -> Admission {
        let Some(credit) = self.by_workspace.get_mut(workspace) else {
            return Admission::CutOff { after_ms: CUT_OFF_AGAIN_MS };
        };
        credit.advance(now_ms);
        if credit.units >= cost {
            credit.units -= cost;
            return Admission::Granted;
        }
        if now_ms < credit.dry_until_ms {
            return Admission::Over { after_ms: credit.dry_until_ms - now_ms };
        }
        let is_unanswered = credit.asked_at_ms.is_some_and(|at_ms| at_ms + ANSWER_MAX_MS <= now_ms);
        if !self.is_linked || is_unanswered {
            return Admission::CutOff { after_ms: CUT_OFF_AGAIN_MS };
        }
        Admission::Wait
    }

    /// Notes that a request waits for so many units.
    pub fn begin_wait(&mut self, workspace: &str, cost: u64) {
        if let Some(credit) = self.by_workspace.get_mut(workspace) {
            credit.waiting += cost;
        }
    }

    /// Notes that it waits no longer.
    pub fn end_wait(&mut self, workspace: &str, cost: u64) {
        if let Some(credit) = self.by_workspace.get_mut(workspace) {
            credit.waiting = credit.waiting.saturating_sub(cost);
        }
    }

    /// Gives back the units of a request that did not run.
    pub fn give_back(&mut self, now_ms: u64, workspace: &str, cost: u64) {
        if let Some(credit) = self.by_workspace.get_mut(workspace)
            && now_ms < credit.valid_until_ms
        {
            credit.units += cost;
        }
    }

    /// Notes that there is somebody to ask from now on, who knows nothing yet.
    pub fn linked(&mut self) {
        self.is_linked = true;
        for credit in self.by_workspace.values_mut() {
            credit.asked_at_ms = None;
            credit.last_asked_at_ms = 0;
        }
    }

    /// Notes that there is nobody to ask: what was asked for does not come.
    pub fn unlinked(&mut self) {
        self.is_linked = false;
        for credit in self.by_workspace.values_mut() {
            credit.asked_at_ms = None;
        }
    }

    /// What to ask for now.
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
            if !credit.wants(now_ms) {
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

    /// Takes over what was granted.
    pub fn granted(&mut self, now_ms: u64, grants: Vec<CreditGrant>) {
        for CreditGrant { workspace, units, dry_ms, valid_ms } in grants {
            let Some(credit) = self.by_workspace.get_mut(&workspace) else { continue };
            let Some(asked_at_ms) = credit.asked_at_ms.take() else { continue };
            credit.advance(now_ms);
            credit.units += units;
            credit.valid_until_ms = asked_at_ms + u64::from(valid_ms);
            if dry_ms > 0 {
                credit.dry_until_ms = now_ms + u64::from(dry_ms);
            }
        }
    }

    /// True when requests wait for what nobody was asked for.
    pub fn has_urgent_ask(&self, now_ms: u64) -> bool {
        let mut credits = self.by_workspace.values();
        self.is_linked
            && credits.any(|credit| credit.waiting > credit.units && credit.wants(now_ms))
    }

    /// The units that are held for `workspace`.
    pub fn held(&self, workspace: &str) -> u64 {
        self.by_workspace.get(workspace).map_or(0, |credit| credit.units)
    }
}
