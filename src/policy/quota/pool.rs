//! The leader's pools of credit.

use std::collections::HashMap;
use std::sync::Arc;

use super::holders::Holders;
use super::{CREDIT_VALID_MS, CreditAsk, CreditGrant, LAPSE_MARGIN_MS, QuotaBounds, Shares};
use crate::routing::{Quota, RoutingConfiguration};

/// The part of what may be out that is granted in advance; the rest is for requests that wait.
const IN_ADVANCE: f64 = 0.75;
/// The part of the burst that is kept for requests that wait.
const KEPT_BURST: f64 = 0.25;
/// The part of what may be out that a new leader grants while what an earlier one granted may still be out.
const AFTER_ELECTION: f64 = 0.2;
/// The longest time for which a holder is sent away: demand may end sooner than it looks.
const DRY_MAX_MS: f64 = 500.0;

/// The pool of one workspace.
#[derive(Debug)]
struct Pool {
    quota: Quota,
    shares: Shares,
    level: f64,
    filled_at_ms: u64,
    /// Until when those who were sent away have been promised what comes in.
    promised_until_ms: f64,
    holders: Holders,
    /// What holders had from an earlier leader when they asked this one first.
    adopted: f64,
}

impl Pool {
    fn new(now_ms: u64, quota: Quota, shares: Shares, level: f64) -> Self {
        Self {
            quota,
            shares,
            level,
            filled_at_ms: now_ms,
            promised_until_ms: 0.0,
            holders: Holders::default(),
            adopted: 0.0,
        }
    }

    fn fill(&mut self, now_ms: u64) {
        let passed_ms = now_ms.saturating_sub(self.filled_at_ms);
        self.filled_at_ms = self.filled_at_ms.max(now_ms);
        let comes_in = self.shares.rate_per_s * passed_ms as f64 / 1_000.0;
        self.level = (self.level + comes_in).min(self.shares.burst);
    }

    /// Answers a holder; while `follows` another leader, what that one granted may be out beside.
    fn ask(&mut self, now_ms: u64, holder: &Arc<str>, ask: &CreditAsk, follows: bool) -> u64 {
        self.fill(now_ms);
        self.holders.advance(now_ms);
        let is_new = self.holders.asked(now_ms, holder, ask);
        let out_max = self.out_max(follows, if is_new { ask.held } else { 0 });
        let out = self.holders.held() as f64;
        let room = (out_max - out).max(0.0);
        let urgent = (ask.urgent as f64).min(self.level).min(room);
        let in_advance_max = out_max * IN_ADVANCE;
        let scale = (in_advance_max / (self.holders.targets() as f64).max(1.0)).min(1.0);
        let wanted = ask.target as f64 * scale - ask.held as f64;
        let spare = self.level - self.shares.burst * KEPT_BURST;
        let in_advance = wanted.min(spare).min(in_advance_max - out);
        let units = urgent.max(in_advance).max(0.0).floor();
        self.level -= units;
        self.holders.granted(holder, units as u64);
        units as u64
    }

    /// The units that may be out with the holders that are known.
    fn out_max(&mut self, follows: bool, brought: u64) -> f64 {
        let earlier_max = self.shares.out * (1.0 - AFTER_ELECTION);
        if !follows {
            return earlier_max;
        }
        self.adopted = (self.adopted + brought as f64).min(earlier_max);
        self.adopted + self.shares.out * AFTER_ELECTION
    }

    /// When `missing` units that a holder was not granted will have come in, after those before it.
    fn dry_ms(&mut self, now_ms: u64, missing: u64) -> u32 {
        if missing == 0 {
            return 0;
        }
        let now_ms = now_ms as f64;
        let comes_in_ms = missing as f64 * 1_000.0 / self.shares.rate_per_s;
        let until_ms = self.promised_until_ms.max(now_ms) + comes_in_ms;
        self.promised_until_ms = until_ms.min(now_ms + DRY_MAX_MS);
        (self.promised_until_ms - now_ms).ceil().max(1.0) as u32
    }
}

/// The pools of all workspaces that have a quota.
#[derive(Debug)]
pub struct Pools {
    bounds: QuotaBounds,
    /// Until when credit may be out that an earlier leader granted.
    earlier_until_ms: u64,
    by_workspace: HashMap<Arc<str>, Pool>,
}

impl Pools {
    /// No pools yet; a leader that takes over fills them from nothing.
    pub fn new(bounds: QuotaBounds) -> Self {
        Self { bounds, earlier_until_ms: 0, by_workspace: HashMap::new() }
    }

    /// The pools of a leader that follows another one: what that one granted may be out.
    #[must_use]
    pub fn with_earlier_leader(
        mut self,
        now_ms: u64,
        configuration: &RoutingConfiguration,
    ) -> Self {
        self.configure(now_ms, configuration);
        for pool in self.by_workspace.values_mut() {
            pool.level = 0.0;
        }
        if !self.by_workspace.is_empty() {
            self.earlier_until_ms = now_ms + CREDIT_VALID_MS + LAPSE_MARGIN_MS;
        }
        self
    }

    /// Takes a configuration over. A pool whose quota is new begins full, one whose quota changed goes on
    /// with what it has.
    pub fn configure(&mut self, now_ms: u64, configuration: &RoutingConfiguration) {
        let mut before = std::mem::take(&mut self.by_workspace);
        for workspace in &configuration.workspaces {
            let Some(quota) = workspace.quota else { continue };
            let shares = Shares::new(quota, self.bounds);
            let mut pool = match before.remove(&workspace.name) {
                Some(pool) if pool.quota.unit == quota.unit => pool,
                _ => Pool::new(now_ms, quota, shares, shares.burst),
            };
            pool.fill(now_ms);
            pool.quota = quota;
            pool.shares = shares;
            pool.level = pool.level.min(shares.burst);
            self.by_workspace.insert(workspace.name.clone(), pool);
        }
    }

    /// Answers what a holder has and wants.
    ///
    /// A workspace without a quota is answered with what was asked for: the holder follows another version.
    pub fn ask(&mut self, now_ms: u64, holder: &Arc<str>, ask: &CreditAsk) -> CreditGrant {
        let workspace = ask.workspace.clone();
        let follows = now_ms < self.earlier_until_ms;
        let valid_ms = CREDIT_VALID_MS as u32;
        let Some(pool) = self.by_workspace.get_mut(&workspace) else {
            return CreditGrant { workspace, units: ask.urgent, dry_ms: 0, valid_ms };
        };
        let units = pool.ask(now_ms, holder, ask, follows);
        let dry_ms = pool.dry_ms(now_ms, ask.urgent.saturating_sub(units));
        CreditGrant { workspace, units, dry_ms, valid_ms }
    }
}
