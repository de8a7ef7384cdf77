//! The leader's pools of credit.

use std::collections::{HashMap, HashSet, VecDeque};
use std::sync::Arc;

use super::holders::{HolderGrant, Holders};
use super::{CREDIT_VALID_MS, CreditAsk, CreditGrant, EXPIRY_MARGIN_MS, QuotaBounds, Shares};
use crate::routing::{Quota, RoutingConfiguration};

/// The fraction of the outstanding limit that is granted in advance; reports of holders are
/// delayed.
const ADVANCE_FRACTION: f64 = 0.95;
/// The fraction of the burst that is reserved for waiting requests.
const RESERVED_BURST_FRACTION: f64 = 0.5;
/// The fraction of the outstanding limit that a new leader grants while credit of previous ones
/// may still be outstanding.
const AFTER_ELECTION_FRACTION: f64 = 0.2;
/// The maximum time that an ask waits for units to be refilled; an ask that would wait longer is
/// answered at once.
const QUEUE_WAIT_MAX_MS: f64 = 150.0;
/// The maximum time for which a holder is informed that units are exhausted: demand may end sooner than
/// estimated.
const DRY_MAX_MS: f64 = 500.0;

/// The pool of one workspace.
#[derive(Debug)]
struct CreditPool {
    quota: Quota,
    shares: Shares,
    level: f64,
    refilled_at_ms: u64,
    /// Asks that wait for units to be refilled, oldest first.
    queue: VecDeque<(Arc<str>, CreditAsk)>,
    holders: Holders,
    /// Units that holders had from previous leaders when they first asked this one.
    adopted: f64,
}

impl CreditPool {
    fn new(now_ms: u64, quota: Quota, shares: Shares, level: f64) -> Self {
        Self {
            quota,
            shares,
            level,
            refilled_at_ms: now_ms,
            queue: VecDeque::new(),
            holders: Holders::default(),
            adopted: 0.0,
        }
    }

    fn refill(&mut self, now_ms: u64) {
        let passed_ms = now_ms.saturating_sub(self.refilled_at_ms);
        self.refilled_at_ms = self.refilled_at_ms.max(now_ms);
        let refilled = self.shares.rate_per_s * passed_ms as f64 / 1_000.0;
        self.level = (self.level + refilled).min(self.shares.burst);
    }

    /// Answers an ask, unless it waits for units to be refilled. While `is_after_election`
    /// is true, units granted by previous leaders may be outstanding too.
    fn ask(
        &mut self,
        now_ms: u64,
        holder: &Arc<str>,
        ask: &CreditAsk,
        is_after_election: bool,
    ) -> Option<CreditGrant> {
        self.refill(now_ms);
        self.holders.remove_expired(now_ms);
        self.queue.retain(|(waiting, _)| waiting != holder);
        let is_new = self.holders.record_ask(now_ms, holder, ask);
        if is_after_election && is_new {
            self.adopted = (self.adopted + ask.held as f64).min(self.previous_outstanding_max());
        }
        let outstanding_max = self.outstanding_max(is_after_election);
        // Units that requests wait for are used at once, so they do not count as outstanding.
        let (urgent, available) = (ask.urgent as f64, self.level.max(0.0));
        let queued: f64 = self.queue.iter().map(|(_, ask)| ask.urgent as f64).sum();
        let wait_ms = self.wait_ms(queued + urgent);
        if wait_ms <= 0.0 || urgent == 0.0 {
            let advance_units =
                if queued > 0.0 { 0.0 } else { self.advance_units(ask, outstanding_max) };
            return Some(self.grant(holder, ask, urgent.max(advance_units), 0.0));
        }
        if wait_ms <= QUEUE_WAIT_MAX_MS {
            self.queue.push_back((holder.clone(), ask.clone()));
            return None;
        }
        let remaining = (available - queued).max(0.0);
        Some(self.grant(holder, ask, remaining, wait_ms.min(DRY_MAX_MS)))
    }

    /// Answers waiting asks that can be answered now.
    fn advance(&mut self, now_ms: u64) -> Vec<HolderGrant> {
        let mut answers = Vec::new();
        if self.queue.is_empty() {
            return answers;
        }
        self.refill(now_ms);
        while let Some((_, ask)) = self.queue.front() {
            let wait_ms = self.wait_ms(ask.urgent as f64);
            if wait_ms > 0.0 && wait_ms <= QUEUE_WAIT_MAX_MS {
                break;
            }
            let Some((holder, ask)) = self.queue.pop_front() else { break };
            // The quota may have been lowered since the ask arrived.
            let units = (ask.urgent as f64).min(self.level.max(0.0));
            let grant = self.grant(&holder, &ask, units, wait_ms.clamp(0.0, DRY_MAX_MS));
            answers.push(HolderGrant { holder, grant });
        }
        answers
    }

    /// The time until the pool holds `units`; infinite if they exceed its capacity.
    fn wait_ms(&self, units: f64) -> f64 {
        if units > self.shares.burst {
            return f64::INFINITY;
        }
        (units - self.level) * 1_000.0 / self.shares.rate_per_s
    }

    fn grant(
        &mut self,
        holder: &Arc<str>,
        ask: &CreditAsk,
        units: f64,
        dry_ms: f64,
    ) -> CreditGrant {
        let units = units.floor();
        self.level -= units;
        self.holders.granted(holder, (units as u64).saturating_sub(ask.urgent));
        let (workspace, valid_ms) = (ask.workspace.clone(), CREDIT_VALID_MS as u32);
        CreditGrant { workspace, units: units as u64, dry_ms: dry_ms.ceil() as u32, valid_ms }
    }

    /// The units that can be granted in advance.
    fn advance_units(&self, ask: &CreditAsk, outstanding_max: f64) -> f64 {
        let advance_max = outstanding_max * ADVANCE_FRACTION;
        let scale = (advance_max / (self.holders.targets() as f64).max(1.0)).min(1.0);
        let wanted = ask.target as f64 * scale - ask.held as f64;
        let spare = self.level - self.shares.burst * RESERVED_BURST_FRACTION;
        wanted.min(spare).min(advance_max - self.holders.held() as f64).max(0.0)
    }

    /// The maximum number of units of previous leaders that may be outstanding.
    fn previous_outstanding_max(&self) -> f64 {
        self.shares.outstanding * (1.0 - AFTER_ELECTION_FRACTION)
    }

    /// The maximum number of units that may be outstanding with known holders.
    fn outstanding_max(&self, is_after_election: bool) -> f64 {
        if is_after_election {
            self.adopted + self.shares.outstanding * AFTER_ELECTION_FRACTION
        } else {
            self.previous_outstanding_max()
        }
    }
}

/// The pools of all workspaces that have a quota.
#[derive(Debug)]
pub struct CreditPools {
    bounds: QuotaBounds,
    /// The time until which units of previous leaders may be outstanding.
    previous_credit_until_ms: u64,
    by_workspace: HashMap<Arc<str>, CreditPool>,
    /// Workspaces with waiting asks.
    queued: HashSet<Arc<str>>,
}

impl CreditPools {
    /// Creates a set without pools; a leader that succeeds another one also calls
    /// [`with_previous_leader`](Self::with_previous_leader).
    pub fn new(bounds: QuotaBounds) -> Self {
        Self {
            bounds,
            previous_credit_until_ms: 0,
            by_workspace: HashMap::new(),
            queued: HashSet::new(),
        }
    }

    /// Creates the pools of a leader that succeeds another one, whose units may still be
    /// outstanding.
    ///
    /// The pools start empty, so that successive leaders together grant no more than the quota's
    /// rate.
    #[must_use]
    pub fn with_previous_leader(
        mut self,
        now_ms: u64,
        configuration: &RoutingConfiguration,
    ) -> Self {
        self.configure(now_ms, configuration);
        for pool in self.by_workspace.values_mut() {
            pool.level = 0.0;
        }
        if !self.by_workspace.is_empty() {
            self.previous_credit_until_ms = now_ms + CREDIT_VALID_MS + EXPIRY_MARGIN_MS;
        }
        self
    }

    /// Fills the pools of a leader that succeeds another one with a part of their burst if the term
    /// of the previous leader began at least one window ago: at most one leader per window does so.
    #[must_use]
    pub fn with_previous_term_age(mut self, ago_ms: u64) -> Self {
        if ago_ms < self.bounds.window_ms {
            return self;
        }
        for pool in self.by_workspace.values_mut() {
            pool.level = pool.shares.initial.min(pool.shares.burst);
        }
        self
    }

    /// Applies a configuration. The pool of a new quota starts full; the pool of a changed one
    /// keeps its level.
    pub fn configure(&mut self, now_ms: u64, configuration: &RoutingConfiguration) {
        let mut before = std::mem::take(&mut self.by_workspace);
        for workspace in &configuration.workspaces {
            let Some(quota) = workspace.quota else { continue };
            let shares = Shares::new(quota, self.bounds);
            let mut pool = match before.remove(&workspace.name) {
                Some(pool) if pool.quota.unit == quota.unit => pool,
                _ => CreditPool::new(now_ms, quota, shares, shares.burst),
            };
            pool.refill(now_ms);
            pool.quota = quota;
            pool.shares = shares;
            pool.level = pool.level.min(shares.burst);
            self.by_workspace.insert(workspace.name.clone(), pool);
        }
    }

    /// Answers an ask, unless it waits for units to be refilled.
    ///
    /// For a workspace without a quota, the units that requests wait for are granted: the holder
    /// has another version of the configuration.
    pub fn ask(&mut self, now_ms: u64, holder: &Arc<str>, ask: &CreditAsk) -> Option<CreditGrant> {
        let is_after_election = now_ms < self.previous_credit_until_ms;
        let Some(pool) = self.by_workspace.get_mut(&ask.workspace) else {
            let (workspace, valid_ms) = (ask.workspace.clone(), CREDIT_VALID_MS as u32);
            return Some(CreditGrant { workspace, units: ask.urgent, dry_ms: 0, valid_ms });
        };
        let answer = pool.ask(now_ms, holder, ask, is_after_election);
        if answer.is_none() {
            self.queued.insert(ask.workspace.clone());
        }
        answer
    }

    /// Answers waiting asks that can be answered now.
    pub fn advance(&mut self, now_ms: u64) -> Vec<HolderGrant> {
        let mut answers = Vec::new();
        self.queued.retain(|workspace| {
            let Some(pool) = self.by_workspace.get_mut(workspace) else { return false };
            answers.extend(pool.advance(now_ms));
            !pool.queue.is_empty()
        });
        answers
    }
}
