//! The leader's pools of credit.

use std::collections::{HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

use super::holders::{HolderGrant, HolderKind, Holders};
use super::{
    CREDIT_VALID_MS, CreditAsk, CreditGrant, EXPIRY_MARGIN_MS, QuotaBounds, STANDING_FRACTION,
    Shares,
};
use crate::routing::{Quota, RoutingConfiguration};

/// The fraction of the outstanding limit that is granted in advance; reports of holders are
/// delayed.
const ADVANCE_FRACTION: f64 = 0.95;
/// The fraction of the burst that is reserved for waiting requests.
const RESERVED_BURST_FRACTION: f64 = 0.5;
/// The fraction of the outstanding limit that a new leader grants while credit of previous ones
/// may still be outstanding.
const AFTER_ELECTION_FRACTION: f64 = 0.2;
/// The fraction of its units in advance that a holder with a standing rate is granted; the standing
/// rate refills the rest, so that less of it is lost because the holder has all of its units.
const ADVANCE_TO_FRACTION: f64 = 0.7;
/// The units up to which a standing rate refills, as a multiple of the holder's target, where the
/// outstanding limit allows: one large request may cost more than the target.
const REFILL_PER_TARGET: f64 = 4.0;
/// The fraction of the units up to which its standing rate refills from which a holder does not use
/// the rate.
const FULL_FRACTION: f64 = 0.9;
/// The fraction of an unused standing rate that a holder keeps while the pool is short of units,
/// because demand has moved to other holders.
const UNUSED_RATE_KEPT: f64 = 0.25;
/// The maximum time that an ask waits for units to be refilled; an ask that would wait longer is
/// answered at once.
const QUEUE_WAIT_MAX_MS: f64 = 150.0;
/// The maximum time for which a holder is told that units are exhausted: demand may end sooner than
/// estimated.
const DRY_MAX_MS: f64 = 500.0;

/// What previous leaders may have granted.
#[derive(Debug, Clone, Copy)]
struct Election {
    /// Units granted by previous leaders may be outstanding.
    is_recent: bool,
    /// Standing rates that no holder has stated yet may be in force.
    has_unknown_rates: bool,
}

/// A holder that asks.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Holder {
    name: Arc<str>,
    kind: HolderKind,
}

/// The pool of one workspace.
#[derive(Debug)]
struct CreditPool {
    quota: Quota,
    shares: Shares,
    level: f64,
    refilled_at_ms: u64,
    /// Asks that wait for units to be refilled, oldest first.
    queue: VecDeque<(Holder, CreditAsk)>,
    holders: Holders,
    /// Units that holders had from previous leaders when they first asked this one.
    adopted: f64,
    /// The sum of the standing rates that holders had from previous leaders when they first asked
    /// this one.
    adopted_per_s: f64,
    /// The part of the quota's rate that the holders known and unknown may use since the last
    /// refill.
    standing_per_s: f64,
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
            adopted_per_s: 0.0,
            standing_per_s: 0.0,
        }
    }

    fn refill(&mut self, now_ms: u64) {
        let passed_ms = now_ms.saturating_sub(self.refilled_at_ms);
        self.refilled_at_ms = self.refilled_at_ms.max(now_ms);
        let refilled = self.refilled_per_s() * passed_ms as f64 / 1_000.0;
        self.level = (self.level + refilled).min(self.shares.burst);
    }

    fn refilled_per_s(&self) -> f64 {
        (self.shares.rate_per_s - self.standing_per_s).max(0.0)
    }

    /// The sum that standing rates may have.
    fn standing_max_per_s(&self) -> f64 {
        self.shares.rate_per_s * STANDING_FRACTION
    }

    /// The sum of the standing rates of holders that have not asked this leader yet.
    fn unknown_per_s(&self, election: Election) -> f64 {
        if !election.has_unknown_rates {
            return 0.0;
        }
        (self.standing_max_per_s() - self.adopted_per_s).max(0.0)
    }

    /// Updates the part of the quota's rate that is not refilled here.
    fn update_standing(&mut self, election: Election) {
        self.standing_per_s = self.holders.rates_per_s() as f64 + self.unknown_per_s(election);
    }

    /// Answers an ask, unless it waits for units to be refilled.
    fn ask(
        &mut self,
        now_ms: u64,
        holder: &Holder,
        ask: &CreditAsk,
        election: Election,
    ) -> Option<CreditGrant> {
        self.refill(now_ms);
        self.holders.remove_expired(now_ms);
        self.queue.retain(|(waiting, _)| waiting.name != holder.name);
        let is_new = self.holders.record_ask(now_ms, &holder.name, ask);
        if election.is_recent && is_new {
            let adopted = self.adopted + ask.held_max() as f64;
            self.adopted = adopted.min(self.previous_outstanding_max());
            self.adopted_per_s += f64::from(ask.rate_per_s);
        }
        self.update_standing(election);
        // Units that requests wait for are used at once, so they do not count as outstanding.
        let (urgent, available) = (ask.urgent as f64, self.level.max(0.0));
        let queued: f64 = self.queue.iter().map(|(_, ask)| ask.urgent as f64).sum();
        let wait_ms = self.wait_ms(queued + urgent, ask);
        if wait_ms <= 0.0 || urgent == 0.0 {
            let advance_units =
                if queued > 0.0 { 0.0 } else { self.advance_units(holder, ask, election) };
            let units = urgent.max(advance_units);
            return Some(self.grant(holder, ask, units, 0.0, election));
        }
        if wait_ms <= QUEUE_WAIT_MAX_MS {
            self.queue.push_back((holder.clone(), ask.clone()));
            return None;
        }
        let remaining = (available - queued).max(0.0);
        Some(self.grant(holder, ask, remaining, wait_ms.min(DRY_MAX_MS), election))
    }

    /// Answers waiting asks that can be answered now.
    fn advance(&mut self, now_ms: u64, election: Election) -> Vec<HolderGrant> {
        let mut answers = Vec::new();
        if self.queue.is_empty() {
            return answers;
        }
        self.refill(now_ms);
        while let Some((_, ask)) = self.queue.front() {
            let wait_ms = self.wait_ms(ask.urgent as f64, ask);
            if wait_ms > 0.0 && wait_ms <= QUEUE_WAIT_MAX_MS {
                break;
            }
            let Some((holder, ask)) = self.queue.pop_front() else { break };
            // The quota may have been lowered since the ask arrived.
            let units = (ask.urgent as f64).min(self.level.max(0.0));
            let dry_ms = wait_ms.clamp(0.0, DRY_MAX_MS);
            let grant = self.grant(&holder, &ask, units, dry_ms, election);
            answers.push(HolderGrant { holder: holder.name, grant });
        }
        answers
    }

    /// The time until the pool and the standing rate of the asking holder have added up to `units`;
    /// infinite if they exceed the capacity of the pool.
    fn wait_ms(&self, units: f64, ask: &CreditAsk) -> f64 {
        if units > self.shares.burst {
            return f64::INFINITY;
        }
        if units <= self.level {
            return 0.0;
        }
        let rate_per_s = self.refilled_per_s() + f64::from(ask.rate_per_s);
        (units - self.level) * 1_000.0 / rate_per_s
    }

    fn grant(
        &mut self,
        holder: &Holder,
        ask: &CreditAsk,
        units: f64,
        dry_ms: f64,
        election: Election,
    ) -> CreditGrant {
        let units = units.floor();
        self.level -= units;
        let units = units as u64;
        let rate_per_s = self.standing_rate_per_s(holder, ask, election);
        let refill_max = match rate_per_s {
            0 => 0,
            _ => self.refill_max(holder, ask, election) as u64,
        };
        let held = ask.held + units.saturating_sub(ask.urgent);
        self.holders.granted(&holder.name, held.max(refill_max), rate_per_s);
        self.update_standing(election);
        CreditGrant {
            workspace: ask.workspace.clone(),
            units,
            dry_ms: dry_ms.ceil() as u32,
            valid_ms: CREDIT_VALID_MS as u32,
            rate_per_s,
            refill_max,
            advance_max: None,
        }
    }

    /// The units that can be granted in advance.
    fn advance_units(&self, holder: &Holder, ask: &CreditAsk, election: Election) -> f64 {
        let wanted = self.held_max(holder, ask, election) - ask.held as f64;
        let wanted = match ask.rate_per_s {
            0 => wanted,
            // The standing rate refills the rest.
            _ => wanted - self.held_max(holder, ask, election) * (1.0 - ADVANCE_TO_FRACTION),
        };
        let spare = self.level - self.shares.burst * RESERVED_BURST_FRACTION;
        wanted.min(spare).max(0.0)
    }

    /// The units that `holder` may have in advance.
    fn held_max(&self, holder: &Holder, ask: &CreditAsk, election: Election) -> f64 {
        let advance_max = self.outstanding_max(election) * ADVANCE_FRACTION;
        let scale = (advance_max / (self.holders.targets() as f64).max(1.0)).min(1.0);
        let left = advance_max - self.holders.held_by_others(&holder.name) as f64;
        (ask.target as f64 * scale).min(left).max(0.0)
    }

    /// The units up to which the standing rate of `holder` refills.
    fn refill_max(&self, holder: &Holder, ask: &CreditAsk, election: Election) -> f64 {
        let advance_max = self.outstanding_max(election) * ADVANCE_FRACTION;
        let scale = (advance_max / (self.holders.targets() as f64).max(1.0)).min(REFILL_PER_TARGET);
        let left = advance_max - self.holders.held_by_others(&holder.name) as f64;
        let mut wanted = ask.target as f64 * scale;
        if election.is_recent {
            // The other holders and their targets may not be known yet.
            wanted = wanted.min(ask.refill_max.max(ask.target) as f64);
        }
        wanted.min(left).max(0.0)
    }

    /// The standing rate that `holder` can have.
    fn standing_rate_per_s(&self, holder: &Holder, ask: &CreditAsk, election: Election) -> u32 {
        if holder.kind == HolderKind::Gateway {
            return 0;
        }
        let max_per_s = self.standing_max_per_s();
        let scale = (max_per_s / (self.holders.wanted_per_s() as f64).max(1.0)).min(1.0);
        let others_per_s = self.holders.rates_of_others_per_s(&holder.name) as f64;
        let left_per_s = max_per_s - self.unknown_per_s(election) - others_per_s;
        let mut wanted_per_s = f64::from(ask.wanted_per_s) * scale;
        let is_short = self.level < self.shares.burst * RESERVED_BURST_FRACTION;
        let is_full = ask.held as f64 >= ask.refill_max as f64 * FULL_FRACTION;
        if is_short && is_full && ask.rate_per_s > 0 && !election.is_recent {
            wanted_per_s = wanted_per_s.min(f64::from(ask.rate_per_s) * UNUSED_RATE_KEPT);
        }
        wanted_per_s.min(left_per_s).max(0.0) as u32
    }

    /// The maximum number of units of previous leaders that may be outstanding.
    fn previous_outstanding_max(&self) -> f64 {
        self.shares.outstanding * (1.0 - AFTER_ELECTION_FRACTION)
    }

    /// The maximum number of units that may be outstanding with known holders.
    fn outstanding_max(&self, election: Election) -> f64 {
        if election.is_recent {
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
    /// The holders that may have standing rates of previous leaders which they have not stated yet;
    /// `None` if any holder may.
    previous_holders: Option<HashSet<SocketAddr>>,
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
            previous_holders: None,
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
            pool.update_standing(Election { is_recent: true, has_unknown_rates: true });
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

    /// Limits the holders that may have standing rates of previous leaders to the distributors at
    /// `addresses`. Once all of them have stated theirs, no unknown rates are in force.
    #[must_use]
    pub fn with_previous_holders(mut self, addresses: HashSet<SocketAddr>) -> Self {
        self.previous_holders = Some(addresses);
        self
    }

    /// Records that the holder at `address` has stated all of its standing rates in its asks.
    pub fn record_stated(&mut self, address: SocketAddr) {
        if let Some(holders) = &mut self.previous_holders {
            holders.remove(&address);
        }
    }

    fn election(&self, now_ms: u64) -> Election {
        let is_recent = now_ms < self.previous_credit_until_ms;
        let all_stated = self.previous_holders.as_ref().is_some_and(HashSet::is_empty);
        Election { is_recent, has_unknown_rates: is_recent && !all_stated }
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
    pub fn ask(
        &mut self,
        now_ms: u64,
        holder: &Arc<str>,
        kind: HolderKind,
        ask: &CreditAsk,
    ) -> Option<CreditGrant> {
        let election = self.election(now_ms);
        let Some(pool) = self.by_workspace.get_mut(&ask.workspace) else {
            return Some(CreditGrant {
                workspace: ask.workspace.clone(),
                units: ask.urgent,
                dry_ms: 0,
                valid_ms: CREDIT_VALID_MS as u32,
                rate_per_s: 0,
                refill_max: 0,
                advance_max: None,
            });
        };
        let holder = Holder { name: holder.clone(), kind };
        let answer = pool.ask(now_ms, &holder, ask, election);
        if answer.is_none() {
            self.queued.insert(ask.workspace.clone());
        }
        answer
    }

    /// Returns the state dump.
    pub fn dump(&self) -> serde_json::Value {
        let mut pools = Vec::new();
        for (workspace, pool) in &self.by_workspace {
            pools.push(serde_json::json!({
                "workspace": workspace, "level": pool.level, "outstanding": pool.holders.held(),
                "standing_per_s": pool.standing_per_s,
            }));
        }
        pools.into()
    }

    /// Answers waiting asks that can be answered now.
    pub fn advance(&mut self, now_ms: u64) -> Vec<HolderGrant> {
        let election = self.election(now_ms);
        let mut answers = Vec::new();
        self.queued.retain(|workspace| {
            let Some(pool) = self.by_workspace.get_mut(workspace) else { return false };
            answers.extend(pool.advance(now_ms, election));
            !pool.queue.is_empty()
        });
        answers
    }
}
