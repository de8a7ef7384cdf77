//! The credit that a distributor holds for the gateways of its availability zone.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use super::holders::{HolderGrant, Holders};
use super::{
    ASK_BELOW_FRACTION, ASK_INTERVAL_MS, CREDIT_VALID_MS, CreditAsk, CreditGrant,
    RENEWAL_INTERVAL_MS,
};

/// The distributor's own target, as a fraction of the targets of its gateways: large requests cost
/// more than a gateway holds and arrive at any of them.
const RESERVE_FRACTION: f64 = 0.5;
/// The credit of one workspace.
#[derive(Debug, Default)]
struct ZoneCredit {
    units: u64,
    holders: Holders,
    /// Gateways with requests that wait for the leader's answer, with their asks.
    waiting: VecDeque<(Arc<str>, CreditAsk)>,
    asked_at_ms: Option<u64>,
    last_asked_at_ms: u64,
    exhausted_until_ms: u64,
    valid_until_ms: u64,
}

impl ZoneCredit {
    fn advance(&mut self, now_ms: u64) {
        self.holders.remove_expired(now_ms);
        if now_ms >= self.valid_until_ms {
            self.units = 0;
        }
    }

    fn target(&self) -> u64 {
        (self.holders.targets() as f64 * (1.0 + RESERVE_FRACTION)) as u64
    }

    fn waiting_units(&self) -> u64 {
        self.waiting.iter().map(|(_, ask)| ask.urgent).sum()
    }

    fn urgent(&self) -> u64 {
        self.waiting_units().saturating_sub(self.units)
    }

    fn is_ask_due(&self, now_ms: u64) -> bool {
        if self.asked_at_ms.is_some() {
            return false;
        }
        if !self.waiting.is_empty() {
            return true;
        }
        let since_ms = now_ms.saturating_sub(self.last_asked_at_ms);
        let held = self.units + self.holders.held();
        let is_low = (held as f64) < self.target() as f64 * ASK_BELOW_FRACTION;
        is_low && since_ms >= ASK_INTERVAL_MS || held > 0 && since_ms >= RENEWAL_INTERVAL_MS
    }

    /// Grants credit to `holder`; `dry_ms` applies if the grant is less than what its requests wait
    /// for.
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
    by_workspace: HashMap<Arc<str>, ZoneCredit>,
    is_linked: bool,
}

impl DistributorPools {
    /// Creates empty pools without a connection.
    pub fn new() -> Self {
        Self::default()
    }

    /// Answers a gateway's ask, or returns `None` if the leader must be asked first.
    pub fn ask(&mut self, now_ms: u64, holder: &Arc<str>, ask: CreditAsk) -> Option<CreditGrant> {
        let credit = self.by_workspace.entry(ask.workspace.clone()).or_default();
        credit.advance(now_ms);
        credit.holders.record_ask(now_ms, holder, &ask);
        if credit.units >= ask.urgent {
            return Some(credit.grant(now_ms, holder, &ask, 0));
        }
        if now_ms < credit.exhausted_until_ms {
            let dry_ms = (credit.exhausted_until_ms - now_ms) as u32;
            return Some(credit.grant(now_ms, holder, &ask, dry_ms));
        }
        // Without a connection, the ask waits for the next leader for as long as its requests do.
        credit.waiting.retain(|(waiting, _)| waiting != holder);
        credit.waiting.push_back((holder.clone(), ask));
        None
    }

    /// Takes the asks to send to the leader now.
    pub fn take_asks(&mut self, now_ms: u64) -> Vec<CreditAsk> {
        let mut asks = Vec::new();
        if !self.is_linked {
            return asks;
        }
        for (workspace, credit) in &mut self.by_workspace {
            if !credit.is_ask_due(now_ms) {
                continue;
            }
            credit.advance(now_ms);
            credit.asked_at_ms = Some(now_ms);
            credit.last_asked_at_ms = now_ms;
            asks.push(CreditAsk {
                workspace: workspace.clone(),
                held: credit.units.saturating_sub(credit.waiting_units()) + credit.holders.held(),
                target: credit.target(),
                urgent: credit.urgent(),
            });
        }
        asks
    }

    /// Adds credit granted by the leader; returns the answers to gateways that waited for it.
    pub fn granted(&mut self, now_ms: u64, grants: Vec<CreditGrant>) -> Vec<HolderGrant> {
        let mut answers = Vec::new();
        for CreditGrant { workspace, units, dry_ms, valid_ms } in grants {
            let Some(credit) = self.by_workspace.get_mut(&workspace) else { continue };
            let Some(asked_at_ms) = credit.asked_at_ms.take() else { continue };
            credit.advance(now_ms);
            credit.units += units;
            credit.valid_until_ms = asked_at_ms + u64::from(valid_ms);
            if dry_ms > 0 {
                credit.exhausted_until_ms = now_ms + u64::from(dry_ms);
            }
            for (holder, ask) in std::mem::take(&mut credit.waiting) {
                if dry_ms == 0 && credit.units < ask.urgent {
                    // The ask arrived after the leader was asked.
                    credit.waiting.push_back((holder, ask));
                    continue;
                }
                // Units that other gateways' requests wait for have precedence over units in
                // advance.
                let ask = CreditAsk { target: 0, ..ask };
                let grant = credit.grant(now_ms, &holder, &ask, dry_ms);
                answers.push(HolderGrant { holder, grant });
            }
        }
        answers
    }

    /// Records a new connection to a leader, which knows of no ask yet.
    pub fn linked(&mut self) {
        self.is_linked = true;
        for credit in self.by_workspace.values_mut() {
            credit.asked_at_ms = None;
            credit.last_asked_at_ms = 0;
        }
    }

    /// Records that the connection to the leader is lost.
    pub fn unlinked(&mut self) {
        self.is_linked = false;
        for credit in self.by_workspace.values_mut() {
            credit.asked_at_ms = None;
        }
    }

    /// Records that a gateway's session has ended; its credit stays outstanding until it expires.
    pub fn closed(&mut self, holder: &str) {
        for credit in self.by_workspace.values_mut() {
            credit.waiting.retain(|(waiting, _)| &**waiting != holder);
        }
    }
}
