//! How often weights are asked for, and what the weight store still allows.

use std::collections::HashMap;

use crate::message::WeightsName;

/// Over this time a request's weight falls to half; a popular adapter is asked for many times in it.
const HALF_LIFE_MS: f64 = 4_000.0;
/// The mean life of a request's weight, which turns the decayed sum into a rate.
const MEAN_LIFE_S: f64 = HALF_LIFE_MS / 1_000.0 / std::f64::consts::LN_2;
/// Adapters that are remembered; the letter's size is 63,000.
const REMEMBERED_MAX: usize = 100_000;
/// Below this weight an adapter is forgotten when room is needed.
const FORGOTTEN_BELOW: f64 = 0.05;

/// A decaying count for each of many weights.
#[derive(Debug, Default)]
pub struct Demand {
    counts: HashMap<WeightsName, Count>,
}

#[derive(Debug, Clone, Copy)]
struct Count {
    sum: f64,
    at_ms: u64,
}

impl Count {
    fn at(self, now_ms: u64) -> f64 {
        let passed_ms = now_ms.saturating_sub(self.at_ms) as f64;
        self.sum * (-passed_ms / HALF_LIFE_MS).exp2()
    }
}

impl Demand {
    /// Nothing was asked for.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds an amount for `name`: requests, or the time that they take.
    pub fn add(&mut self, now_ms: u64, name: &WeightsName, amount: f64) {
        if self.counts.len() >= REMEMBERED_MAX {
            self.counts.retain(|_, count| count.at(now_ms) > FORGOTTEN_BELOW);
        }
        let count = self.counts.entry(name.clone()).or_insert(Count { sum: 0.0, at_ms: now_ms });
        count.sum = count.at(now_ms) + amount;
        count.at_ms = now_ms;
    }

    /// Recent requests, older ones counting less.
    pub fn recent(&self, now_ms: u64, name: &WeightsName) -> f64 {
        self.counts.get(name).map_or(0.0, |count| count.at(now_ms))
    }

    /// The amount in a second.
    pub fn rate(&self, now_ms: u64, name: &WeightsName) -> f64 {
        self.recent(now_ms, name) / MEAN_LIFE_S
    }
}

/// What the weight store allows: over any time, the rate times that time and a few loads more.
///
/// It starts empty, so that a new leader adds nothing to what an earlier one has used.
#[derive(Debug, Clone, Copy)]
pub struct StoreAllowance {
    rate_per_s: f64,
    saved: f64,
    at_ms: u64,
}

/// Loads that may begin at once after a quiet time; the store's own slack is three.
const SAVED_MAX: f64 = 2.0;

impl StoreAllowance {
    /// Nothing is allowed yet.
    pub fn new(now_ms: u64) -> Self {
        Self { rate_per_s: 0.0, saved: 0.0, at_ms: now_ms }
    }

    /// Sets the rate.
    pub fn set_rate(&mut self, rate_per_s: f64) {
        self.rate_per_s = rate_per_s;
    }

    /// Takes one load; false when none is allowed now.
    pub fn take(&mut self, now_ms: u64) -> bool {
        let passed_s = now_ms.saturating_sub(self.at_ms) as f64 / 1_000.0;
        self.saved = (self.saved + passed_s * self.rate_per_s).min(SAVED_MAX);
        self.at_ms = now_ms;
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}
