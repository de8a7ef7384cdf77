//! The holders of one workspace's credit, as known from their asks.

use std::collections::HashMap;
use std::sync::Arc;

use super::{CREDIT_VALID_MS, CreditAsk, CreditGrant, EXPIRY_MARGIN_MS};

/// The answer to a holder.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HolderGrant {
    /// The holder.
    pub holder: Arc<str>,
    /// The answer.
    pub grant: CreditGrant,
}

/// The credit of one holder.
#[derive(Debug)]
struct Holding {
    held: u64,
    target: u64,
    asked_at_ms: u64,
}

/// The holders of one workspace's credit.
#[derive(Debug, Default)]
pub(super) struct Holders {
    by_name: HashMap<Arc<str>, Holding>,
    held: u64,
    targets: u64,
    expiry_checked_at_ms: u64,
}

/// The interval between checks for expired credit.
const EXPIRY_CHECK_INTERVAL_MS: u64 = 200;

impl Holders {
    /// Records an ask; returns true if the holder was unknown.
    pub(super) fn record_ask(&mut self, now_ms: u64, holder: &Arc<str>, ask: &CreditAsk) -> bool {
        let is_new = !self.forget(holder);
        self.held += ask.held;
        self.targets += ask.target;
        let holding = Holding { held: ask.held, target: ask.target, asked_at_ms: now_ms };
        self.by_name.insert(holder.clone(), holding);
        is_new
    }

    /// Records units granted in addition to those that requests waited for.
    pub(super) fn granted(&mut self, holder: &str, units: u64) {
        if let Some(holding) = self.by_name.get_mut(holder) {
            holding.held += units;
            self.held += units;
        }
    }

    /// The outstanding units of all holders.
    pub(super) fn held(&self) -> u64 {
        self.held
    }

    /// The sum of the targets of all holders.
    pub(super) fn targets(&self) -> u64 {
        self.targets
    }

    /// Forgets holders whose credit has expired.
    pub(super) fn remove_expired(&mut self, now_ms: u64) {
        if now_ms < self.expiry_checked_at_ms + EXPIRY_CHECK_INTERVAL_MS {
            return;
        }
        self.expiry_checked_at_ms = now_ms;
        let mut expired = Vec::new();
        for (name, holding) in &self.by_name {
            if holding.asked_at_ms + CREDIT_VALID_MS + EXPIRY_MARGIN_MS <= now_ms {
                expired.push(name.clone());
            }
        }
        for name in expired {
            self.forget(&name);
        }
    }

    fn forget(&mut self, holder: &str) -> bool {
        let Some(before) = self.by_name.remove(holder) else { return false };
        self.held -= before.held;
        self.targets -= before.target;
        true
    }
}
