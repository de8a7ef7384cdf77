//! The leader's pools of credit.

use std::collections::{HashMap, HashSet, VecDeque};
use std::sync::Arc;

use super::holders::{HolderGrant, Holders};
use super::{CREDIT_VALID_MS, CreditAsk, CreditGrant, LAPSE_MARGIN_MS, QuotaBounds, Shares};
use crate::routing::{Quota, RoutingConfiguration};

/// The part of what may be out that is granted in advance; what holders report lags behind.
const IN_ADVANCE: f64 = 0.95;
/// The part of the burst that is kept for requests that wait.
const KEPT_BURST: f64 = 0.5;
/// The part of what may be out that a new leader grants while what an earlier one granted may still be out.
const AFTER_ELECTION: f64 = 0.2;
/// How long an ask waits for credit to come in; one that would wait longer is answered at once.
const QUEUED_MAX_MS: f64 = 150.0;
/// The longest time for which a holder is sent away: demand may end sooner than it looks.
const DRY_MAX_MS: f64 = 500.0;

/// The pool of one workspace.
#[derive(Debug)]
struct Pool {
    quota: Quota,
    shares: Shares,
    level: f64,
    filled_at_ms: u64,
    /// Asks that wait for credit to come in, the earliest first.
    queue: VecDeque<(Arc<str>, CreditAsk)>,
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
            queue: VecDeque::new(),
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

    /// Answers a holder, unless its ask waits for credit to come in; while the leader `follows` another one,
    /// what that one granted may be out beside.
    fn ask(
        &mut self,
        now_ms: u64,
        holder: &Arc<str>,
        ask: &CreditAsk,
        follows: bool,
    ) -> Option<CreditGrant> {
        self.fill(now_ms);
        self.holders.advance(now_ms);
        self.queue.retain(|(waiting, _)| waiting != holder);
        let is_new = self.holders.asked(now_ms, holder, ask);
        if follows && is_new {
            self.adopted = (self.adopted + ask.held as f64).min(self.earlier_out_max());
        }
        let out_max = self.out_max(follows);
        // What requests wait for is used up as it comes, so that it does not count for what is out.
        let (urgent, available) = (ask.urgent as f64, self.level.max(0.0));
        let queued: f64 = self.queue.iter().map(|(_, ask)| ask.urgent as f64).sum();
        let wait_ms = self.wait_ms(queued + urgent);
        if wait_ms <= 0.0 || urgent == 0.0 {
            let in_advance = if queued > 0.0 { 0.0 } else { self.in_advance(ask, out_max) };
            return Some(self.grant(holder, ask, urgent.max(in_advance), 0.0));
        }
        if wait_ms <= QUEUED_MAX_MS {
            self.queue.push_back((holder.clone(), ask.clone()));
            return None;
        }
        let left = (available - queued).max(0.0);
        Some(self.grant(holder, ask, left, wait_ms.min(DRY_MAX_MS)))
    }

    /// Answers asks that waited and can be granted now.
    fn advance(&mut self, now_ms: u64) -> Vec<HolderGrant> {
        let mut answers = Vec::new();
        if self.queue.is_empty() {
            return answers;
        }
        self.fill(now_ms);
        while let Some((_, ask)) = self.queue.front() {
            let wait_ms = self.wait_ms(ask.urgent as f64);
            if wait_ms > 0.0 && wait_ms <= QUEUED_MAX_MS {
                break;
            }
            let Some((holder, ask)) = self.queue.pop_front() else { break };
            // The quota may have been lowered since it was asked.
            let units = (ask.urgent as f64).min(self.level.max(0.0));
            let grant = self.grant(&holder, &ask, units, wait_ms.clamp(0.0, DRY_MAX_MS));
            answers.push(HolderGrant { holder, grant });
        }
        answers
    }

    /// When the pool will hold so many units; never if they are more than it holds at most.
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

    /// What can be granted in advance.
    fn in_advance(&self, ask: &CreditAsk, out_max: f64) -> f64 {
        let in_advance_max = out_max * IN_ADVANCE;
        let scale = (in_advance_max / (self.holders.targets() as f64).max(1.0)).min(1.0);
        let wanted = ask.target as f64 * scale - ask.held as f64;
        let spare = self.level - self.shares.burst * KEPT_BURST;
        wanted.min(spare).min(in_advance_max - self.holders.held() as f64).max(0.0)
    }

    /// The units that an earlier leader may have let out.
    fn earlier_out_max(&self) -> f64 {
        self.shares.out * (1.0 - AFTER_ELECTION)
    }

    /// The units that may be out with the holders that are known.
    fn out_max(&self, follows: bool) -> f64 {
        if follows {
            self.adopted + self.shares.out * AFTER_ELECTION
        } else {
            self.earlier_out_max()
        }
    }
}

/// The pools of all workspaces that have a quota.
#[derive(Debug)]
pub struct Pools {
    bounds: QuotaBounds,
    /// Until when credit may be out that an earlier leader granted.
    earlier_until_ms: u64,
    by_workspace: HashMap<Arc<str>, Pool>,
    /// Workspaces with asks that wait.
    queued: HashSet<Arc<str>>,
}

impl Pools {
    /// No pools yet; a leader that takes over fills them from nothing.
    pub fn new(bounds: QuotaBounds) -> Self {
        Self { bounds, earlier_until_ms: 0, by_workspace: HashMap::new(), queued: HashSet::new() }
    }

    /// The pools of a leader that follows another one: what that one granted may be out.
    ///
    /// They begin empty, so that leaders in a row grant no more than the quota's rate between them.
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

    /// Lets the pools of a leader that follows another one begin with a part of their burst, if the earlier
    /// leader's term began a whole window ago: at most one leader in a window does so.
    #[must_use]
    pub fn with_earlier_term_age(mut self, ago_ms: u64) -> Self {
        if ago_ms < self.bounds.window_ms {
            return self;
        }
        for pool in self.by_workspace.values_mut() {
            pool.level = pool.shares.first.min(pool.shares.burst);
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

    /// Answers what a holder has and wants, unless it waits for credit to come in.
    ///
    /// A workspace without a quota is answered with what was asked for: the holder follows another version.
    pub fn ask(&mut self, now_ms: u64, holder: &Arc<str>, ask: &CreditAsk) -> Option<CreditGrant> {
        let follows = now_ms < self.earlier_until_ms;
        let Some(pool) = self.by_workspace.get_mut(&ask.workspace) else {
            let (workspace, valid_ms) = (ask.workspace.clone(), CREDIT_VALID_MS as u32);
            return Some(CreditGrant { workspace, units: ask.urgent, dry_ms: 0, valid_ms });
        };
        let answer = pool.ask(now_ms, holder, ask, follows);
        if answer.is_none() {
            self.queued.insert(ask.workspace.clone());
        }
        answer
    }

    /// Lets time pass; gives the answers to asks that waited.
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
