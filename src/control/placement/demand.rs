//! Tracks the demand for weights and limits the rate of loads from the weight store.

use std::collections::HashMap;

use crate::message::WeightsName;

/// The usual half-life of a request's contribution to demand; a popular adapter is requested many
/// times in this period.
const HALF_LIFE_MS: f64 = 4_000.0;
/// The most weights with a record; the largest required deployment has 63,000 adapters.
const TRACKED_MAX: usize = 100_000;
/// Entries whose decayed sum is at most this are dropped when the limit is reached.
const FORGET_BELOW: f64 = 0.05;
/// The pause between two searches for such entries.
const FORGET_INTERVAL_MS: u64 = 500;

/// Exponentially decaying sums, by weights.
#[derive(Debug)]
pub struct Demand {
    half_life_ms: f64,
    counts: HashMap<WeightsName, DecayedSum>,
    forget_at_ms: u64,
}

#[derive(Debug, Clone, Copy)]
struct DecayedSum {
    sum: f64,
    at_ms: u64,
}

impl DecayedSum {
    fn at(self, now_ms: u64, half_life_ms: f64) -> f64 {
        let passed_ms = now_ms.saturating_sub(self.at_ms) as f64;
        self.sum * (-passed_ms / half_life_ms).exp2()
    }
}

impl Default for Demand {
    fn default() -> Self {
        Self { half_life_ms: HALF_LIFE_MS, counts: HashMap::new(), forget_at_ms: 0 }
    }
}

impl Demand {
    /// Creates an empty record.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the half-life of contributions.
    #[must_use]
    pub fn with_half_life_ms(mut self, half_life_ms: f64) -> Self {
        self.half_life_ms = half_life_ms;
        self
    }

    /// Adds an amount for `name`, such as requests or their duration, unless there is no room for
    /// another name.
    pub fn add(&mut self, now_ms: u64, name: &WeightsName, amount: f64) {
        let half_life_ms = self.half_life_ms;
        if let Some(count) = self.counts.get_mut(name) {
            *count = DecayedSum { sum: count.at(now_ms, half_life_ms) + amount, at_ms: now_ms };
            return;
        }
        if self.counts.len() >= TRACKED_MAX {
            self.forget(now_ms);
        }
        if self.counts.len() < TRACKED_MAX {
            self.counts.insert(name.clone(), DecayedSum { sum: amount, at_ms: now_ms });
        }
    }

    /// The number of weights with a record.
    pub fn tracked(&self) -> usize {
        self.counts.len()
    }

    /// Drops entries with low demand, unless that was tried a moment ago.
    fn forget(&mut self, now_ms: u64) {
        if now_ms < self.forget_at_ms {
            return;
        }
        self.forget_at_ms = now_ms + FORGET_INTERVAL_MS;
        let half_life_ms = self.half_life_ms;
        self.counts.retain(|_, count| count.at(now_ms, half_life_ms) > FORGET_BELOW);
    }

    /// Returns the decayed sum of recent amounts.
    pub fn recent(&self, now_ms: u64, name: &WeightsName) -> f64 {
        self.counts.get(name).map_or(0.0, |count| count.at(now_ms, self.half_life_ms))
    }

    /// Returns the recent amount per second.
    pub fn rate(&self, now_ms: u64, name: &WeightsName) -> f64 {
        // The mean lifetime of a contribution converts the decayed sum to a rate.
        let mean_life_s = self.half_life_ms / 1_000.0 / std::f64::consts::LN_2;
        self.recent(now_ms, name) / mean_life_s
    }
}

/// A token bucket that limits the rate of loads from the weight store.
///
/// The bucket starts empty, so that a change of leader does not exceed the rate.
#[derive(Debug, Clone, Copy)]
pub struct StoreRateLimit {
    rate_per_s: f64,
    tokens: f64,
    at_ms: u64,
}

/// The bucket's capacity, in loads; the store itself tolerates a burst of three.
const BURST_MAX: f64 = 2.0;

impl StoreRateLimit {
    /// Creates an empty bucket without a rate.
    pub fn new(now_ms: u64) -> Self {
        Self { rate_per_s: 0.0, tokens: 0.0, at_ms: now_ms }
    }

    /// Sets the rate, in loads per second.
    pub fn set_rate(&mut self, rate_per_s: f64) {
        self.rate_per_s = rate_per_s;
    }

    /// Takes a token for one load; false when none is available.
    pub fn take(&mut self, now_ms: u64) -> bool {
        let passed_s = now_ms.saturating_sub(self.at_ms) as f64 / 1_000.0;
        self.tokens = (self.tokens + passed_s * self.rate_per_s).min(BURST_MAX);
        self.at_ms = now_ms;
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
