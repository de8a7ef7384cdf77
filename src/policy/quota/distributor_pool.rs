//! The credit that a distributor holds for the gateways of its availability zone.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use super::holders::{HolderGrant, Holders};
use super::standing::StandingRate;
use super::{
    ASK_BELOW_FRACTION, ASK_INTERVAL_MS, AUTONOMY_MS, CREDIT_VALID_MS, CreditAsk, CreditGrant,
    RENEWAL_INTERVAL_MS, STANDING_PER_DEMAND,
};

/// The distributor's own target, as a fraction of the targets of its gateways: large requests cost
/// more than a gateway holds and arrive at any of them.
const RESERVE_FRACTION: f64 = 0.5;
/// The same with a standing rate, as a fraction of the units of the zone: without a leader, units in
/// advance at one gateway do not serve requests at others. With 0.33 instead, 10% instead of 1% of
/// the units were refused without a leader at a quarter of the quota.
const STANDING_RESERVE_FRACTION: f64 = 0.7;
/// The fraction of its target that a gateway gets in advance if there is a standing rate.
const STANDING_ADVANCE_FRACTION: f64 = 0.5;
/// How long an ask may wait for units of the standing rate; a gateway's request waits for 400 ms.
const REFILL_WAIT_MAX_MS: u64 = 300;
/// The time constant of the moving average of the zone's demand: at a few requests per second, the
/// demand of the last four seconds varies by a quarter.
const DEMAND_TIME_CONSTANT_MS: f64 = 10_000.0;
/// The least weight of the samples that the demand is extrapolated from.
const DEMAND_WEIGHT_MIN: f64 = 0.2;

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
    standing: StandingRate,
    /// The leader can grant the difference to others once it knows that the lower rate has arrived.
    has_lower_rate: bool,
    /// The units that no request waited for in the last ask, and those that requests waited for.
    asked_held: u64,
    asked_urgent: u64,
    /// Units granted to gateways since the last update of the average.
    granted: u64,
    averaged_at_ms: u64,
    /// The moving average of the units granted to gateways per second; starts at 0.
    granted_per_s: f64,
    /// The total weight of the samples in the average; corrects for its start at 0.
    average_weight: f64,
}

impl ZoneCredit {
    fn advance(&mut self, now_ms: u64) {
        self.holders.remove_expired(now_ms);
        let held = self.units + self.holders.held();
        self.units += self.standing.refill(now_ms, held, self.waiting_units());
        if now_ms >= self.valid_until_ms {
            self.units = 0;
        }
        let passed_ms = now_ms.saturating_sub(self.averaged_at_ms);
        if passed_ms >= ASK_INTERVAL_MS {
            self.averaged_at_ms = now_ms;
            let keep = (-(passed_ms as f64) / DEMAND_TIME_CONSTANT_MS).exp();
            let granted = std::mem::take(&mut self.granted);
            let granted_per_s = granted as f64 * 1_000.0 / passed_ms as f64;
            self.granted_per_s = self.granted_per_s * keep + granted_per_s * (1.0 - keep);
            self.average_weight = self.average_weight * keep + (1.0 - keep);
        }
    }

    /// The demand of the gateways, which use what they are granted.
    fn demand_per_s(&self) -> f64 {
        self.granted_per_s / self.average_weight.max(DEMAND_WEIGHT_MIN)
    }

    fn wanted_per_s(&self) -> u32 {
        (self.demand_per_s() * STANDING_PER_DEMAND) as u32
    }

    /// True if the standing rate refills `urgent` units soon, in addition to those that requests
    /// wait for.
    fn is_refilled_soon(&self, now_ms: u64, urgent: u64) -> bool {
        let rate_per_s = u64::from(self.standing.rate_per_s(now_ms));
        let missing = (self.waiting_units() + urgent).saturating_sub(self.units);
        rate_per_s > 0 && missing * 1_000 <= rate_per_s * REFILL_WAIT_MAX_MS
    }

    fn target(&self) -> u64 {
        let demand = self.demand_per_s() * AUTONOMY_MS as f64 / 1_000.0;
        ((self.holders.targets() as f64).max(demand) * (1.0 + RESERVE_FRACTION)) as u64
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
            return now_ms >= self.exhausted_until_ms;
        }
        let since_ms = now_ms.saturating_sub(self.last_asked_at_ms);
        let held = self.units + self.holders.held();
        let is_low = (held as f64) < self.target() as f64 * ASK_BELOW_FRACTION;
        let has_credit = held > 0 || self.standing.rate_per_s(now_ms) > 0;
        // All standing rates are stated at once on a new connection.
        (is_low || self.has_lower_rate) && since_ms >= ASK_INTERVAL_MS
            || has_credit && (since_ms >= RENEWAL_INTERVAL_MS || self.last_asked_at_ms == 0)
    }

    /// Grants credit to `holder`; `dry_ms` applies if the grant is less than what its requests wait
    /// for.
    fn grant(&mut self, now_ms: u64, holder: &str, ask: &CreditAsk, dry_ms: u32) -> CreditGrant {
        let advance_max = self.advance_max(now_ms, ask);
        let advance_units = advance_max.unwrap_or(ask.target).saturating_sub(ask.held);
        let units = ask.urgent.max(advance_units).min(self.units);
        self.units -= units;
        self.granted += units;
        self.holders.granted(holder, ask.held + units.saturating_sub(ask.urgent), 0);
        let valid_ms = self.valid_until_ms.saturating_sub(now_ms).min(CREDIT_VALID_MS) as u32;
        let dry_ms = if units < ask.urgent { dry_ms.max(1) } else { 0 };
        let workspace = ask.workspace.clone();
        CreditGrant {
            workspace,
            units,
            dry_ms,
            valid_ms,
            rate_per_s: 0,
            refill_max: 0,
            advance_max,
        }
    }

    /// The units up to which a gateway gets units in advance if there is a standing rate, which also
    /// serves requests without the leader.
    fn advance_max(&self, now_ms: u64, ask: &CreditAsk) -> Option<u64> {
        if self.standing.rate_per_s(now_ms) == 0 {
            return None;
        }
        let refill_max = self.standing.refill_max(now_ms) as f64;
        let scale = (refill_max / (self.target() as f64).max(1.0)).min(1.0);
        let reserve = refill_max * STANDING_RESERVE_FRACTION;
        let wanted = ask.target as f64 * STANDING_ADVANCE_FRACTION * scale;
        let spare = self.units.saturating_sub(reserve as u64);
        Some((wanted as u64).min(ask.held + spare))
    }

    /// Answers the waiting asks, oldest first, for which there are units now.
    fn answer_waiting(&mut self, now_ms: u64, answers: &mut Vec<HolderGrant>) {
        self.advance(now_ms);
        while let Some((_, ask)) = self.waiting.front() {
            if self.units < ask.urgent {
                return;
            }
            let Some((holder, ask)) = self.waiting.pop_front() else { return };
            let ask = CreditAsk { target: 0, ..ask };
            let grant = self.grant(now_ms, &holder, &ask, 0);
            answers.push(HolderGrant { holder, grant });
        }
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
        credit.waiting.retain(|(waiting, _)| waiting != holder);
        if now_ms < credit.exhausted_until_ms && !credit.is_refilled_soon(now_ms, ask.urgent) {
            let dry_ms = (credit.exhausted_until_ms - now_ms) as u32;
            return Some(credit.grant(now_ms, holder, &ask, dry_ms));
        }
        // Without a connection, the ask waits for the standing rate or the next leader for as long as
        // its requests do.
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
            credit.advance(now_ms);
            if !credit.is_ask_due(now_ms) {
                continue;
            }
            credit.asked_at_ms = Some(now_ms);
            credit.has_lower_rate = false;
            credit.last_asked_at_ms = now_ms;
            credit.asked_held =
                credit.units.saturating_sub(credit.waiting_units()) + credit.holders.held();
            credit.asked_urgent = credit.urgent();
            asks.push(CreditAsk {
                workspace: workspace.clone(),
                held: credit.asked_held,
                target: credit.target(),
                urgent: credit.asked_urgent,
                rate_per_s: credit.standing.rate_per_s(now_ms),
                wanted_per_s: credit.wanted_per_s(),
                refill_max: credit.standing.refill_max(now_ms),
            });
        }
        asks
    }

    /// Adds credit granted by the leader; returns the answers to gateways that waited for it.
    pub fn granted(&mut self, now_ms: u64, grants: Vec<CreditGrant>) -> Vec<HolderGrant> {
        let mut answers = Vec::new();
        for grant in grants {
            let CreditGrant { workspace, units, dry_ms, valid_ms, rate_per_s, refill_max, .. } =
                grant;
            let Some(credit) = self.by_workspace.get_mut(&workspace) else { continue };
            let Some(asked_at_ms) = credit.asked_at_ms.take() else { continue };
            credit.advance(now_ms);
            let earlier_per_s = credit.standing.rate_per_s(now_ms);
            credit.has_lower_rate = rate_per_s < earlier_per_s / 4 * 3;
            credit.units += units;
            credit.valid_until_ms = asked_at_ms + u64::from(valid_ms);
            credit.standing.set(now_ms, rate_per_s, refill_max, credit.valid_until_ms);
            if earlier_per_s > 0 {
                // The units that the standing rate refilled meanwhile were not counted by the
                // leader.
                let in_advance = credit.asked_held + units.saturating_sub(credit.asked_urgent);
                let limit = in_advance.max(refill_max) + credit.waiting_units();
                credit.units = credit.units.min(limit.saturating_sub(credit.holders.held()));
            }
            if dry_ms > 0 {
                credit.exhausted_until_ms = now_ms + u64::from(dry_ms);
            }
            for (holder, ask) in std::mem::take(&mut credit.waiting) {
                let is_short = credit.units < ask.urgent;
                if is_short && (dry_ms == 0 || credit.is_refilled_soon(now_ms, ask.urgent)) {
                    // The ask arrived after the leader was asked, or the standing rate refills the
                    // units soon.
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

    /// Answers gateways whose requests waited until the standing rate refilled enough units.
    pub fn advance(&mut self, now_ms: u64) -> Vec<HolderGrant> {
        let mut answers = Vec::new();
        for credit in self.by_workspace.values_mut() {
            if !credit.waiting.is_empty() {
                credit.answer_waiting(now_ms, &mut answers);
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

    /// The workspaces with a standing rate, each with its rate and the units here.
    pub fn standing(&self, now_ms: u64) -> Vec<(Arc<str>, u32, u64)> {
        let mut standing = Vec::new();
        for (workspace, credit) in &self.by_workspace {
            let rate_per_s = credit.standing.rate_per_s(now_ms);
            if rate_per_s > 0 {
                standing.push((workspace.clone(), rate_per_s, credit.units));
            }
        }
        standing
    }

    /// Gives up all standing rates, because this replica leads and serves gateways itself.
    pub fn release_standing(&mut self) {
        for credit in self.by_workspace.values_mut() {
            credit.standing = StandingRate::default();
        }
    }

    /// Records that a gateway's session has ended; its credit stays outstanding until it expires.
    pub fn closed(&mut self, holder: &str) {
        for credit in self.by_workspace.values_mut() {
            credit.waiting.retain(|(waiting, _)| &**waiting != holder);
        }
    }
}
