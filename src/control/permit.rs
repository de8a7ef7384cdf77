//! The weight store's budget, shared among all gateways.
//!
//! Only the leader grants permits, and keeps them in memory. A new leader does not know what the
//! one before it granted, so it grants nothing until the longest permit has run out.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// What the weight store allows.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct StoreBudget {
    /// Loads that may start in a second.
    pub loads_per_s: f64,
    /// Loads that may run at once.
    pub concurrent_loads: usize,
    /// The longest time that a load takes; a permit that is not given back ends then.
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

/// What a request for a permit came to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PermitOutcome {
    /// A permit with this number.
    Granted(u64),
    /// None in time; ask again after so many milliseconds.
    Denied(u64),
}

/// Grants permits within the budget, the most urgent request first.
#[derive(Debug)]
pub struct Permits {
    budget: StoreBudget,
    next_id: u64,
    granted: BTreeMap<u64, Granted>,
    waiting: Vec<Waiting>,
    tokens: f64,
    refilled_at_ms: u64,
    closed_until_ms: u64,
}

impl Permits {
    /// An empty set of permits that grants from the start.
    pub fn new(budget: StoreBudget, now_ms: u64) -> Self {
        Self {
            budget,
            next_id: 1,
            granted: BTreeMap::new(),
            waiting: Vec::new(),
            tokens: 1.0,
            refilled_at_ms: now_ms,
            closed_until_ms: 0,
        }
    }

    /// Forgets everything and grants nothing until what another leader granted has run out.
    ///
    /// `epoch` keeps the numbers of permits apart from those of other leaders.
    pub fn take_over(&mut self, now_ms: u64, epoch: u64, first_leader: bool) {
        self.granted.clear();
        self.waiting.clear();
        self.tokens = 1.0;
        self.refilled_at_ms = now_ms;
        self.next_id = epoch << 32;
        self.closed_until_ms = if first_leader { 0 } else { now_ms + self.budget.load_timeout_ms };
    }

    /// Takes a request in; its outcome comes from [`poll`](Self::poll) under `token`.
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

    /// Takes a permit back.
    pub fn give_back(&mut self, gateway: &str, id: u64) {
        if self.granted.get(&id).is_some_and(|granted| &*granted.gateway == gateway) {
            self.granted.remove(&id);
        }
    }

    /// Takes back a permit whose asker has gone.
    pub fn revoke(&mut self, id: u64) {
        self.granted.remove(&id);
    }

    /// The outcomes that are due, by token.
    pub fn poll(&mut self, now_ms: u64) -> Vec<(u64, PermitOutcome)> {
        self.refill(now_ms);
        self.granted.retain(|_, granted| granted.expires_at_ms > now_ms);
        let mut outcomes = Vec::new();
        while now_ms >= self.closed_until_ms
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

    /// The number of loads that hold a permit.
    pub fn in_use(&self) -> usize {
        self.granted.len()
    }

    /// The number of requests that wait.
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
        let closed_ms = self.closed_until_ms.saturating_sub(now_ms);
        let queue_ms = self.waiting.len() as f64 / self.budget.loads_per_s * 1_000.0;
        closed_ms.max(queue_ms as u64).max(100)
    }
}
