//! Weighted max-min shares of a service that cannot serve all workspaces at once.
//!
//! Each gateway counts the units that workspaces ask for and that it sends, and learns the sums of
//! all other gateways. The counts of any set of gateways are consistent with each other, so shares
//! computed from incomplete sums are fair among the gateways known so far.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use super::workspace_use::{OtherUses, REPORT_INTERVAL_MS, UseMap, set_use, take_changes};
use crate::message::{UseCounts, WorkspaceUse};

/// The period over which units are counted: long enough for several requests of each workspace,
/// short enough to follow a change of demand within a few seconds.
const WINDOW_MS: u64 = 2_000;
const BUCKETS: usize = 8;
const BUCKET_MS: u64 = WINDOW_MS / BUCKETS as u64;
/// How long after the last wait of a request shares apply and counts are exchanged.
const CONTENTION_HOLD_MS: u64 = 5_000;
/// How often shares are computed anew: they change with the counts, of which most arrive every
/// `REPORT_INTERVAL_MS`.
const SHARES_PERIOD_MS: u64 = 50;
/// The part of the capacity that is divided into shares. If all of it were, the requests within
/// shares would wait as long as at a service that is exactly fully loaded; with this part, those of
/// workspaces below their shares hardly wait. Requests over their shares get the rest.
const SHARED_CAPACITY: f64 = 0.97;
/// The time constant of the measured capacity. The sum of one window varies by a few percent, and
/// shares that vary as much let queues build up.
const CAPACITY_SMOOTHING_MS: f64 = 2_000.0;
/// A change of the admitted fraction by this much is logged.
const LOGGED_STEP: f64 = 0.25;

/// Whether a request is within the share of its workspace; requests within go first.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShareClass {
    /// The workspace uses no more than its share, or no share applies.
    #[default]
    Within,
    /// The workspace has used its share.
    Over,
}

/// What a workspace asks of a service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WorkspaceDemand {
    /// The units asked for per second.
    pub asked_per_s: f64,
    /// The weight of the workspace relative to the others.
    pub weight: f64,
}

/// Divides a capacity: a workspace that asks for no more than its weighted share gets all of that,
/// and the rest is divided among the others by weight. Returns the shares in the order of
/// `demands`.
pub fn max_min_shares(capacity_per_s: f64, demands: &[WorkspaceDemand]) -> Vec<f64> {
    let relative = |demand: &WorkspaceDemand| demand.asked_per_s / demand.weight;
    let mut order: Vec<usize> = (0..demands.len()).collect();
    order.sort_by(|one, other| relative(&demands[*one]).total_cmp(&relative(&demands[*other])));
    let mut left_per_s = capacity_per_s;
    let mut left_weight: f64 = demands.iter().map(|demand| demand.weight).sum();
    let mut shares = vec![0.0; demands.len()];
    for position in order {
        let WorkspaceDemand { asked_per_s, weight } = demands[position];
        let fair_per_s = if left_weight > 0.0 { left_per_s * weight / left_weight } else { 0.0 };
        shares[position] = asked_per_s.min(fair_per_s);
        left_per_s -= shares[position];
        left_weight -= weight;
    }
    shares
}

/// A sum over the last `WINDOW_MS`.
#[derive(Debug, Clone, Copy, Default)]
struct WindowSum {
    buckets: [u64; BUCKETS],
    /// The number of the newest bucket since time 0.
    newest: u64,
}

impl WindowSum {
    fn advance(&mut self, now_ms: u64) {
        let number = now_ms / BUCKET_MS;
        while self.newest < number {
            if number - self.newest > BUCKETS as u64 {
                self.newest = number - BUCKETS as u64;
            }
            self.newest += 1;
            self.buckets[self.newest as usize % BUCKETS] = 0;
        }
    }

    fn add(&mut self, now_ms: u64, units: u64) {
        self.advance(now_ms);
        self.buckets[self.newest as usize % BUCKETS] += units;
    }

    fn get(&mut self, now_ms: u64) -> u32 {
        self.advance(now_ms);
        u32::try_from(self.buckets.iter().sum::<u64>()).unwrap_or(u32::MAX)
    }
}

/// The requests of one workspace for one service at this gateway.
#[derive(Debug)]
struct WorkspaceCounts {
    asked: WindowSum,
    sent: WindowSum,
    waiting: u32,
    /// The largest number that waited at a time since the last report.
    waiting_max: u32,
    /// Accumulates the fraction of each request that is within the share.
    credit: f64,
}

impl WorkspaceCounts {
    fn counts(&mut self, now_ms: u64) -> UseCounts {
        UseCounts {
            asked: self.asked.get(now_ms),
            sent: self.sent.get(now_ms),
            waiting: self.waiting_max.max(self.waiting),
        }
    }
}

/// The share of one workspace in a service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Share {
    /// The units that the workspace may use per second before others.
    pub share_per_s: f64,
    /// The units that it asks for per second.
    pub asked_per_s: f64,
}

impl Share {
    /// The fraction of its requests that are within the share.
    fn within(&self) -> f64 {
        if self.asked_per_s > 0.0 { self.share_per_s / self.asked_per_s } else { 1.0 }
    }
}

/// A notable change of a workspace's share, or its end.
#[derive(Debug, Clone, PartialEq)]
pub struct ShareChange {
    /// The service.
    pub service: Arc<str>,
    /// The workspace.
    pub workspace: Arc<str>,
    /// The new share.
    pub share: Share,
}

#[derive(Debug, Default)]
struct ServiceShares {
    /// When a request last waited, here or elsewhere.
    waited_at_ms: Option<u64>,
    /// The units that all gateways send in a window while requests wait, smoothed.
    capacity: f64,
    measured_at_ms: u64,
    due_ms: u64,
    shares: BTreeMap<Arc<str>, Share>,
    /// The fraction of requests within the share that was last logged, if not 1.
    logged: BTreeMap<Arc<str>, f64>,
}

impl ServiceShares {
    /// True while shares apply.
    fn is_contended(&self, now_ms: u64) -> bool {
        self.waited_at_ms.is_some_and(|at_ms| now_ms < at_ms + CONTENTION_HOLD_MS)
    }

    /// Records the units that all gateways sent in the last window.
    fn note_sent_sum(&mut self, now_ms: u64, sent: f64, is_waiting: bool) {
        let passed_ms = now_ms.saturating_sub(self.measured_at_ms) as f64;
        self.measured_at_ms = now_ms;
        if !is_waiting || self.capacity == 0.0 {
            // With free capacity, what is sent shows the demand only.
            self.capacity = self.capacity.max(sent);
            return;
        }
        let part = 1.0 - (-passed_ms / CAPACITY_SMOOTHING_MS).exp();
        self.capacity += (sent - self.capacity) * part;
    }

    /// Returns the workspaces whose share changed notably since it was last logged.
    fn take_notable(&mut self, service: &Arc<str>) -> Vec<ShareChange> {
        let mut notable = Vec::new();
        for (workspace, share) in &self.shares {
            let within = share.within();
            let logged = self.logged.get(workspace).copied().unwrap_or(1.0);
            let is_step = (within - logged).abs() >= LOGGED_STEP;
            let is_end = within >= 1.0 && logged < 1.0;
            if !is_step && !is_end {
                continue;
            }
            if within < 1.0 {
                self.logged.insert(workspace.clone(), within);
            } else {
                self.logged.remove(workspace);
            }
            let (service, workspace) = (service.clone(), workspace.clone());
            notable.push(ShareChange { service, workspace, share: *share });
        }
        notable
    }
}

/// The counts of one gateway and the shares computed from them and the sums of the others.
#[derive(Debug, Default)]
pub struct FairShares {
    seed: f64,
    weights: HashMap<Arc<str>, f64>,
    own: BTreeMap<(Arc<str>, Arc<str>), WorkspaceCounts>,
    services: BTreeMap<Arc<str>, ServiceShares>,
    others: OtherUses,
    reported: UseMap,
    report_due_ms: u64,
    changes: Vec<ShareChange>,
}

impl FairShares {
    /// Creates shares without counts. `seed`, from 0 to 1, differs between gateways, so that not
    /// all of them class the first request of a workspace alike.
    pub fn new(seed: f64) -> Self {
        Self { seed, ..Self::default() }
    }

    /// Sets the weights of workspaces to the rates of their quotas. A workspace without a quota has
    /// the mean weight, and all have the same one if none has a quota.
    pub fn set_quotas(&mut self, quotas: impl IntoIterator<Item = (Arc<str>, Option<f64>)>) {
        let quotas: Vec<_> = quotas.into_iter().collect();
        let rates: Vec<f64> = quotas.iter().filter_map(|(_, rate_per_s)| *rate_per_s).collect();
        let mean =
            if rates.is_empty() { 1.0 } else { rates.iter().sum::<f64>() / rates.len() as f64 };
        self.weights.clear();
        for (workspace, rate_per_s) in quotas {
            self.weights.insert(workspace, rate_per_s.unwrap_or(mean));
        }
    }

    /// Records a new request and returns its class.
    pub fn classify(
        &mut self,
        now_ms: u64,
        service: &Arc<str>,
        workspace: &Arc<str>,
        units: u64,
    ) -> ShareClass {
        self.own(service, workspace).asked.add(now_ms, units);
        self.compute(now_ms, service);
        let shares = self.services.get(service).map(|known| &known.shares);
        let within = shares.and_then(|shares| shares.get(workspace)).map_or(1.0, Share::within);
        let own = self.own(service, workspace);
        if within >= 1.0 {
            return ShareClass::Within;
        }
        own.credit += within;
        if own.credit < 1.0 {
            return ShareClass::Over;
        }
        own.credit -= 1.0;
        ShareClass::Within
    }

    /// Records that a request was sent to an endpoint that runs it.
    pub fn note_sent(&mut self, now_ms: u64, service: &Arc<str>, workspace: &Arc<str>, units: u64) {
        self.own(service, workspace).sent.add(now_ms, units);
    }

    /// Records that a request begins to wait for capacity.
    pub fn begin_wait(&mut self, now_ms: u64, service: &Arc<str>, workspace: &Arc<str>) {
        let own = self.own(service, workspace);
        own.waiting += 1;
        own.waiting_max = own.waiting_max.max(own.waiting);
        self.services.entry(service.clone()).or_default().waited_at_ms = Some(now_ms);
    }

    /// Records that a request no longer waits.
    pub fn end_wait(&mut self, now_ms: u64, service: &Arc<str>, workspace: &Arc<str>) {
        let own = self.own(service, workspace);
        own.waiting = own.waiting.saturating_sub(1);
        self.services.entry(service.clone()).or_default().waited_at_ms = Some(now_ms);
    }

    /// Records a session with a server of control.
    pub fn linked(&mut self, now_ms: u64) {
        self.others.linked(now_ms);
    }

    /// Records the end of the session, if there is one.
    pub fn unlinked(&mut self, now_ms: u64) {
        self.others.unlinked(now_ms);
        self.reported.clear();
    }

    /// Applies changes of the sums of all other gateways.
    pub fn note_others(&mut self, now_ms: u64, uses: Vec<WorkspaceUse>) {
        for WorkspaceUse { service, counts, .. } in &uses {
            if counts.waiting > 0 {
                self.services.entry(service.clone()).or_default().waited_at_ms = Some(now_ms);
            }
        }
        self.others.update(uses);
    }

    /// Returns the counts to report now, if any: those of services for which a request waited
    /// recently, and 0 once for all others.
    pub fn take_report(&mut self, now_ms: u64) -> Vec<WorkspaceUse> {
        if now_ms < self.report_due_ms || self.own.is_empty() {
            return Vec::new();
        }
        self.refresh_waits(now_ms);
        let mut current = UseMap::new();
        self.own.retain(|key, own| {
            let counts = own.counts(now_ms);
            let service = self.services.get(&key.0);
            if service.is_some_and(|service| service.is_contended(now_ms)) {
                set_use(&mut current, key.clone(), counts);
            }
            counts != UseCounts::default()
        });
        let own = &self.own;
        self.services.retain(|name, service| {
            service.is_contended(now_ms) || own.keys().any(|(of, _)| of == name)
        });
        let report = take_changes(&mut self.reported, &current);
        if !report.is_empty() {
            self.report_due_ms = now_ms + REPORT_INTERVAL_MS;
        }
        for own in self.own.values_mut() {
            own.waiting_max = own.waiting;
        }
        report
    }

    /// Returns the notable changes of shares since the last call.
    pub fn take_changes(&mut self) -> Vec<ShareChange> {
        std::mem::take(&mut self.changes)
    }

    /// The shares in force, by service and workspace.
    pub fn shares(&self, now_ms: u64) -> Vec<ShareChange> {
        let mut shares = Vec::new();
        for (service, known) in &self.services {
            if !known.is_contended(now_ms) {
                continue;
            }
            for (workspace, share) in &known.shares {
                let (service, workspace) = (service.clone(), workspace.clone());
                shares.push(ShareChange { service, workspace, share: *share });
            }
        }
        shares
    }

    fn own(&mut self, service: &Arc<str>, workspace: &Arc<str>) -> &mut WorkspaceCounts {
        let seed = self.seed;
        self.own.entry((service.clone(), workspace.clone())).or_insert_with(|| WorkspaceCounts {
            asked: WindowSum::default(),
            sent: WindowSum::default(),
            waiting: 0,
            waiting_max: 0,
            credit: seed,
        })
    }

    /// Extends the contention of services for which requests still wait.
    fn refresh_waits(&mut self, now_ms: u64) {
        let own = self.own.iter().filter(|(_, own)| own.waiting > 0).map(|(key, _)| key.clone());
        let mut waiting: Vec<_> = own.collect();
        let others = self.others.sums(now_ms);
        waiting.extend(others.into_iter().filter(|(_, sum)| sum.waiting > 0).map(|(key, _)| key));
        for (service, _) in waiting {
            self.services.entry(service).or_default().waited_at_ms = Some(now_ms);
        }
    }

    /// Computes the shares of a service if they are due.
    fn compute(&mut self, now_ms: u64, service: &Arc<str>) {
        let known = self.services.entry(service.clone()).or_default();
        if now_ms < known.due_ms {
            return;
        }
        known.due_ms = now_ms + SHARES_PERIOD_MS;
        let mut uses: BTreeMap<Arc<str>, UseCounts> = BTreeMap::new();
        for ((of, workspace), counts) in self.others.sums(now_ms) {
            if of == *service {
                if counts.waiting > 0 {
                    known.waited_at_ms = Some(now_ms);
                }
                uses.insert(workspace, counts);
            }
        }
        if !known.is_contended(now_ms) {
            known.capacity = 0.0;
            known.shares.clear();
            known.logged.clear();
            return;
        }
        for ((of, workspace), own) in &mut self.own {
            if of == service {
                let sum = uses.entry(workspace.clone()).or_default();
                // The largest number since the last report would not fall without reports.
                let counts = UseCounts { waiting: own.waiting, ..own.counts(now_ms) };
                *sum = sum.saturating_add(counts);
            }
        }
        let sent: f64 = uses.values().map(|counts| f64::from(counts.sent)).sum();
        let is_waiting = uses.values().any(|counts| counts.waiting > 0);
        if is_waiting {
            known.waited_at_ms = Some(now_ms);
        }
        known.note_sent_sum(now_ms, sent, is_waiting);
        let per_s = 1_000.0 / WINDOW_MS as f64;
        let mut demands = Vec::with_capacity(uses.len());
        for (workspace, counts) in &uses {
            let weight = self.weights.get(workspace).copied().unwrap_or(1.0);
            demands.push(WorkspaceDemand { asked_per_s: f64::from(counts.asked) * per_s, weight });
        }
        let capacity_per_s = known.capacity * per_s;
        // If no more is asked for than sent, the waits are short and nothing has to be shared.
        let asked_per_s: f64 = demands.iter().map(|demand| demand.asked_per_s).sum();
        let is_short = asked_per_s * SHARED_CAPACITY > capacity_per_s;
        let mut shares: Vec<f64> = demands.iter().map(|demand| demand.asked_per_s).collect();
        if is_short {
            let full = max_min_shares(capacity_per_s, &demands);
            shares = max_min_shares(capacity_per_s * SHARED_CAPACITY, &demands);
            for (position, counts) in uses.values().enumerate() {
                if full[position] < demands[position].asked_per_s {
                    // Requests over the shares divide the rest of the capacity by chance; a
                    // workspace that gets less of it than others has more requests within its share.
                    let missing_per_s = full[position] - f64::from(counts.sent) * per_s;
                    shares[position] =
                        (shares[position] + missing_per_s).clamp(0.0, full[position]);
                }
            }
        }
        known.shares.clear();
        for ((workspace, demand), share_per_s) in uses.into_keys().zip(demands).zip(shares) {
            let asked_per_s = demand.asked_per_s;
            known.shares.insert(workspace, Share { share_per_s, asked_per_s });
        }
        let notable = known.take_notable(service);
        self.changes.extend(notable);
    }
}
