//! Who holds credit of one workspace, as far as that was told.

use std::collections::HashMap;
use std::sync::Arc;

use super::{CREDIT_VALID_MS, CreditAsk, CreditGrant, LAPSE_MARGIN_MS};

/// An answer for a holder.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HolderGrant {
    /// The holder.
    pub holder: Arc<str>,
    /// The answer.
    pub grant: CreditGrant,
}

/// What one holder has.
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
    lapses_looked_at_ms: u64,
}

/// How often holders that were silent for too long are looked for.
const LAPSES_EVERY_MS: u64 = 200;

impl Holders {
    /// Takes in what a holder has and wants; true when it was not known.
    pub(super) fn asked(&mut self, now_ms: u64, holder: &Arc<str>, ask: &CreditAsk) -> bool {
        let is_new = !self.forget(holder);
        self.held += ask.held;
        self.targets += ask.target;
        let holding = Holding { held: ask.held, target: ask.target, asked_at_ms: now_ms };
        self.by_name.insert(holder.clone(), holding);
        is_new
    }

    /// Takes in that a holder got more than its requests waited for.
    pub(super) fn granted(&mut self, holder: &str, units: u64) {
        if let Some(holding) = self.by_name.get_mut(holder) {
            holding.held += units;
            self.held += units;
        }
    }

    /// What is out with all of them.
    pub(super) fn held(&self) -> u64 {
        self.held
    }

    /// What all of them would like to hold.
    pub(super) fn targets(&self) -> u64 {
        self.targets
    }

    /// Forgets holders whose credit has lapsed.
    pub(super) fn advance(&mut self, now_ms: u64) {
        if now_ms < self.lapses_looked_at_ms + LAPSES_EVERY_MS {
            return;
        }
        self.lapses_looked_at_ms = now_ms;
        let mut lapsed = Vec::new();
        for (name, holding) in &self.by_name {
            if holding.asked_at_ms + CREDIT_VALID_MS + LAPSE_MARGIN_MS <= now_ms {
                lapsed.push(name.clone());
            }
        }
        for name in lapsed {
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
