//! The credit that a distributor holds for the gateways of its availability zone.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use super::holders::{HolderGrant, Holders};
use super::{ASK_BELOW, ASK_EVERY_MS, CREDIT_VALID_MS, CreditAsk, CreditGrant, KEEP_MS};

/// What a distributor would like to hold itself, as a part of what its gateways would: large requests are more
/// than what a gateway holds, and come to any of them.
const BESIDE: f64 = 0.5;
/// The credit of one workspace.
#[derive(Debug, Default)]
struct Stock {
    units: u64,
    holders: Holders,
    /// Gateways with requests that wait for the leader's answer, and what they asked.
    waiting: VecDeque<(Arc<str>, CreditAsk)>,
    asked_at_ms: Option<u64>,
    last_asked_at_ms: u64,
    dry_until_ms: u64,
    valid_until_ms: u64,
}

impl Stock {
    fn advance(&mut self, now_ms: u64) {
        self.holders.advance(now_ms);
        if now_ms >= self.valid_until_ms {
            self.units = 0;
        }
    }

    fn target(&self) -> u64 {
        (self.holders.targets() as f64 * (1.0 + BESIDE)) as u64
    }

    fn waiting_units(&self) -> u64 {
        self.waiting.iter().map(|(_, ask)| ask.urgent).sum()
    }

    fn urgent(&self) -> u64 {
        self.waiting_units().saturating_sub(self.units)
    }

    fn wants(&self, now_ms: u64) -> bool {
        if self.asked_at_ms.is_some() {
            return false;
        }
        if !self.waiting.is_empty() {
            return true;
        }
        let since_ms = now_ms.saturating_sub(self.last_asked_at_ms);
        let held = self.units + self.holders.held();
        let is_low = (held as f64) < self.target() as f64 * ASK_BELOW;
        is_low && since_ms >= ASK_EVERY_MS || held > 0 && since_ms >= KEEP_MS
    }

    /// The answer to `holder`, with `dry_ms` where it does not get all that is urgent.
    fn grant(&mut self, now_ms: u64, holder: &str, ask: &CreditAsk, dry_ms: u32) -> CreditGrant {
        let wanted = ask.urgent.max(ask.target.saturating_sub(ask.held));
        let units = wanted.min(self.units);
        self.units -= units;
        self.holders.granted(holder, units.saturating_sub(ask.urgent));
        let valid_ms = self.valid_until_ms.saturating_sub(now_ms).min(CREDIT_VALID_MS) as u32;
        let dry_ms = if units < ask.urgent { dry_ms.max(1) } else { 0 };
        CreditGrant { workspace: ask.workspace.clone(), units, dry_ms, valid_ms }
    }
}

/// The credit that a distributor holds, by workspace.
#[derive(Debug, Default)]
pub struct DistributorPools {
    by_workspace: HashMap<Arc<str>, Stock>,
    is_linked: bool,
}

impl DistributorPools {
    /// No credit yet, and nobody to ask.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes in what a gateway has and wants; answered at once unless the leader has to be asked first.
    pub fn ask(&mut self, now_ms: u64, holder: &Arc<str>, ask: CreditAsk) -> Option<CreditGrant> {
        let stock = self.by_workspace.entry(ask.workspace.clone()).or_default();
        stock.advance(now_ms);
        stock.holders.asked(now_ms, holder, &ask);
        if stock.units >= ask.urgent {
            return Some(stock.grant(now_ms, holder, &ask, 0));
        }
        if now_ms < stock.dry_until_ms {
            let dry_ms = (stock.dry_until_ms - now_ms) as u32;
            return Some(stock.grant(now_ms, holder, &ask, dry_ms));
        }
        // Without a link it waits for the next leader, as long as its requests do.
        stock.waiting.retain(|(waiting, _)| waiting != holder);
        stock.waiting.push_back((holder.clone(), ask));
        None
    }

    /// What to ask the leader for now.
    pub fn take_asks(&mut self, now_ms: u64) -> Vec<CreditAsk> {
        let mut asks = Vec::new();
        if !self.is_linked {
            return asks;
        }
        for (workspace, stock) in &mut self.by_workspace {
            if !stock.wants(now_ms) {
                continue;
            }
            stock.advance(now_ms);
            stock.asked_at_ms = Some(now_ms);
            stock.last_asked_at_ms = now_ms;
            asks.push(CreditAsk {
                workspace: workspace.clone(),
                held: stock.units.saturating_sub(stock.waiting_units()) + stock.holders.held(),
                target: stock.target(),
                urgent: stock.urgent(),
            });
        }
        asks
    }

    /// Takes over what the leader granted; gives the answers to gateways that waited for it.
    pub fn granted(&mut self, now_ms: u64, grants: Vec<CreditGrant>) -> Vec<HolderGrant> {
        let mut answers = Vec::new();
        for CreditGrant { workspace, units, dry_ms, valid_ms } in grants {
            let Some(stock) = self.by_workspace.get_mut(&workspace) else { continue };
            let Some(asked_at_ms) = stock.asked_at_ms.take() else { continue };
            stock.advance(now_ms);
            stock.units += units;
            stock.valid_until_ms = asked_at_ms + u64::from(valid_ms);
            if dry_ms > 0 {
                stock.dry_until_ms = now_ms + u64::from(dry_ms);
            }
            for (holder, ask) in std::mem::take(&mut stock.waiting) {
                if dry_ms == 0 && stock.units < ask.urgent {
                    // It came after the leader was asked.
                    stock.waiting.push_back((holder, ask));
                    continue;
                }
                // What others wait for goes before what this one wants in advance.
                let ask = CreditAsk { target: 0, ..ask };
                let grant = stock.grant(now_ms, &holder, &ask, dry_ms);
                answers.push(HolderGrant { holder, grant });
            }
        }
        answers
    }

    /// Notes that there is a leader to ask from now on, who knows nothing yet.
    pub fn linked(&mut self) {
        self.is_linked = true;
        for stock in self.by_workspace.values_mut() {
            stock.asked_at_ms = None;
            stock.last_asked_at_ms = 0;
        }
    }

    /// Notes that there is nobody to ask.
    pub fn unlinked(&mut self) {
        self.is_linked = false;
        for stock in self.by_workspace.values_mut() {
            stock.asked_at_ms = None;
        }
    }

    /// Notes that a gateway's session has ended; what it holds is out until it lapses.
    pub fn closed(&mut self, holder: &str) {
        for stock in self.by_workspace.values_mut() {
            stock.waiting.retain(|(waiting, _)| &**waiting != holder);
        }
    }
}
