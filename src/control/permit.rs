//! Permits for loads from the weight store, which share its budget among all gateways.
//!
//! Only the leader grants permits, and it keeps them in memory. A new leader does not know the
//! permits of the previous one, so it grants none until the longest of them has expired.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Load limits of the weight store.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct StoreBudget {
    /// Most loads that may start in a second.
    pub loads_per_s: f64,
    /// Most loads that may run at once.
    pub concurrent_loads: usize,
    /// The longest duration of a load; a permit that is not returned expires after it.
    pub load_timeout_ms: u64,
}

#[derive(Debug)]
struct Granted {
    gateway: Arc<str>,
    expires_at_ms: u64,
}

#[derive(Debug)]
struct Waiting {
    token: u64,
    gateway: Arc<str>,
    urgency: f32,
    until_ms: u64,
}

/// The outcome of a request for a permit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PermitOutcome {
    /// A permit with this id.
    Granted(u64),
    /// No permit in time; retry after this many milliseconds.
    Denied(u64),
}

/// Grants permits within the budget, to the most urgent request first.
#[derive(Debug)]
pub struct Permits {
    budget: StoreBudget,
    next_id: u64,
    granted: BTreeMap<u64, Granted>,
    waiting: Vec<Waiting>,
    tokens: f64,
    refilled_at_ms: u64,
    paused_until_ms: u64,
}

impl Permits {
    /// Creates an empty set of permits that grants from the start.
    pub fn new(budget: StoreBudget, now_ms: u64) -> Self {
        Self {
            budget,
            next_id: 1,
            granted: BTreeMap::new(),
            waiting: Vec::new(),
            tokens: 1.0,
            refilled_at_ms: now_ms,
            paused_until_ms: 0,
        }
    }

    /// Drops all permits and requests, and grants none until the permits of the previous leader
    /// have expired.
    ///
    /// `epoch` keeps permit ids distinct from those of other leaders.
    pub fn take_over(&mut self, now_ms: u64, epoch: u64, first_leader: bool) {
        self.granted.clear();
        self.waiting.clear();
        self.tokens = 1.0;
        self.refilled_at_ms = now_ms;
        self.next_id = epoch << 32;
        self.paused_until_ms = if first_leader { 0 } else { now_ms + self.budget.load_timeout_ms };
    }

    /// Adds a request; [`poll`](Self::poll) returns its outcome under `token`.
    pub fn request(
        &mut self,
        now_ms: u64,
        token: u64,
        gateway: Arc<str>,
        urgency: f32,
        wait_ms: u64,
    ) {
        self.waiting.push(Waiting { token, gateway, urgency, until_ms: now_ms + wait_ms });
    }

    /// Returns a permit that `gateway` holds.
    pub fn return_permit(&mut self, gateway: &str, id: u64) {
        if self.granted.get(&id).is_some_and(|granted| &*granted.gateway == gateway) {
            self.granted.remove(&id);
        }
    }

    /// Revokes a permit whose gateway no longer waits for the answer.
    pub fn revoke(&mut self, id: u64) {
        self.granted.remove(&id);
    }

    /// Grants and denies what is due; returns the outcomes by token.
    pub fn poll(&mut self, now_ms: u64) -> Vec<(u64, PermitOutcome)> {
        self.refill(now_ms);
        self.granted.retain(|_, granted| granted.expires_at_ms > now_ms);
        let mut outcomes = Vec::new();
        while now_ms >= self.paused_until_ms
            && self.tokens >= 1.0
            && self.granted.len() < self.budget.concurrent_loads
        {
            let Some(position) = self.most_urgent() else { break };
            let waiting = self.waiting.swap_remove(position);
            let id = self.next_id;
            self.next_id += 1;
            self.tokens -= 1.0;
            let expires_at_ms = now_ms + self.budget.load_timeout_ms;
            self.granted.insert(id, Granted { gateway: waiting.gateway, expires_at_ms });
            outcomes.push((waiting.token, PermitOutcome::Granted(id)));
        }
        let retry_after_ms = self.retry_after_ms(now_ms);
        self.waiting.retain(|waiting| {
            let keep = waiting.until_ms > now_ms;
            if !keep {
                outcomes.push((waiting.token, PermitOutcome::Denied(retry_after_ms)));
            }
            keep
        });
        outcomes
    }

    /// The number of permits in use.
    pub fn in_use(&self) -> usize {
        self.granted.len()
    }

    /// The number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    fn most_urgent(&self) -> Option<usize> {
        let mut best: Option<usize> = None;
        for (position, waiting) in self.waiting.iter().enumerate() {
            if best.is_none_or(|best| waiting.urgency > self.waiting[best].urgency) {
                best = Some(position);
            }
        }
        best
    }

    fn refill(&mut self, now_ms: u64) {
        let passed_ms = now_ms.saturating_sub(self.refilled_at_ms);
        self.refilled_at_ms = now_ms;
        let gained = passed_ms as f64 / 1_000.0 * self.budget.loads_per_s;
        self.tokens = (self.tokens + gained).min(self.budget.concurrent_loads as f64);
    }

    fn retry_after_ms(&self, now_ms: u64) -> u64 {
        let paused_ms = self.paused_until_ms.saturating_sub(now_ms);
        let queue_ms = self.waiting.len() as f64 / self.budget.loads_per_s * 1_000.0;
        paused_ms.max(queue_ms as u64).max(100)
    }
}
