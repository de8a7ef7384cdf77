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

/// What a holder of credit is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HolderKind {
    /// A gateway that asks the leader itself. Its requests are too few and too large for a
    /// standing rate to refill the units for each in time.
    Gateway,
    /// A distributor, which can have a standing rate.
    Distributor,
}

/// The credit of one holder.
#[derive(Debug)]
struct Holding {
    /// The units that the holder may have.
    held: u64,
    target: u64,
    /// The highest standing rate that the holder may have: a grant of a lower rate may not arrive.
    rate_per_s: u32,
    wanted_per_s: u32,
    asked_at_ms: u64,
}

/// The holders of one workspace's credit.
#[derive(Debug, Default)]
pub(super) struct Holders {
    by_name: HashMap<Arc<str>, Holding>,
    held: u64,
    targets: u64,
    rates_per_s: u64,
    wanted_per_s: u64,
    expiry_checked_at_ms: u64,
}

/// The interval between checks for expired credit.
const EXPIRY_CHECK_INTERVAL_MS: u64 = 200;

impl Holders {
    /// Records an ask; returns true if the holder was unknown.
    pub(super) fn record_ask(&mut self, now_ms: u64, holder: &Arc<str>, ask: &CreditAsk) -> bool {
        let is_new = !self.forget(holder);
        let holding = Holding {
            held: ask.held_max(),
            target: ask.target,
            rate_per_s: ask.rate_per_s,
            wanted_per_s: ask.wanted_per_s,
            asked_at_ms: now_ms,
        };
        self.held += holding.held;
        self.targets += holding.target;
        self.rates_per_s += u64::from(holding.rate_per_s);
        self.wanted_per_s += u64::from(holding.wanted_per_s);
        self.by_name.insert(holder.clone(), holding);
        is_new
    }

    /// Records that `holder` may have `held` units and a standing rate.
    pub(super) fn granted(&mut self, holder: &str, held: u64, rate_per_s: u32) {
        if let Some(holding) = self.by_name.get_mut(holder) {
            let (more_held, more_per_s) =
                (held.saturating_sub(holding.held), rate_per_s.saturating_sub(holding.rate_per_s));
            holding.held += more_held;
            holding.rate_per_s += more_per_s;
            self.held += more_held;
            self.rates_per_s += u64::from(more_per_s);
        }
    }

    /// The outstanding units of all holders except `holder`.
    pub(super) fn held_by_others(&self, holder: &str) -> u64 {
        self.held - self.by_name.get(holder).map_or(0, |holding| holding.held)
    }

    /// The sum of the standing rates of all holders.
    pub(super) fn rates_per_s(&self) -> u64 {
        self.rates_per_s
    }

    /// The sum of the standing rates of all holders except `holder`.
    pub(super) fn rates_of_others_per_s(&self, holder: &str) -> u64 {
        let own_per_s = self.by_name.get(holder).map_or(0, |holding| holding.rate_per_s);
        self.rates_per_s - u64::from(own_per_s)
    }

    /// The sum of the standing rates that all holders want.
    pub(super) fn wanted_per_s(&self) -> u64 {
        self.wanted_per_s
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
        self.rates_per_s -= u64::from(before.rate_per_s);
        self.wanted_per_s -= u64::from(before.wanted_per_s);
        true
    }
}
