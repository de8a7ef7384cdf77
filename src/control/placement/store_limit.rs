//! Adapts the limit on concurrent loads from the weight store to their measured durations.
//!
//! Above some number of concurrent loads the store only slows each of them down, and the memory
//! reserved for them is unavailable to other weights meanwhile. Below that number the store has
//! unused capacity.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use crate::message::WeightsName;

/// The duration that a load is expected to take until one has ended; short, so that the first
/// checks are early.
const INITIAL_BASELINE_MS: u64 = 100;
/// The lower bound of the limit: every store supports eight concurrent loads for each one that its
/// declaration names, a requirement of the users.
const CONCURRENT_MIN: f64 = 8.0;
/// A load that took this many times as long as one without contention was slowed down. Checks for
/// completion are up to a sixth late, and orders add a few milliseconds.
const SLOWDOWN_THRESHOLD: f64 = 1.25;
/// The share by which a slowed load moves the limit towards the sustainable number.
const DECREASE_FACTOR: f64 = 0.25;
/// The increase of the limit after a load at the limit that was not slowed down.
const INCREASE_STEP: f64 = 0.5;
/// The number of latest loads whose median slowdown is considered.
const SLOWDOWN_WINDOW: usize = 9;
/// The number of latest loads from which the duration without contention is derived.
const RECENT_WINDOW: usize = 16;
/// Until this many loads are recorded, loads under contention count for that duration too.
const RECENT_MIN: usize = 5;
/// The share of the limit up to which concurrent loads do not slow each other down.
const UNCROWDED_SHARE: f64 = 0.6;
/// The quantile of recorded durations that is taken as the duration without contention.
const BASELINE_QUANTILE: f64 = 0.5;
/// A load shorter than this share of the usual duration came from a local copy unknown to the
/// leader, as after a change of leader. Copies load ten times as fast as the store.
const COPY_SHARE: f64 = 0.4;

/// The limit on concurrent loads from one weight store.
#[derive(Debug)]
pub struct StoreConcurrencyLimit {
    concurrent_max: f64,
    /// Recent loads, by base model.
    recent: HashMap<Arc<str>, RecentLoads>,
    /// The latest durations, as multiples of the duration without contention.
    slowdowns: VecDeque<f64>,
}

/// The durations of recent loads of one base model.
#[derive(Debug, Default)]
struct RecentLoads {
    took_ms: VecDeque<u64>,
    /// The number of consecutive loads that were too fast to have come from the store.
    consecutive_fast: usize,
    baseline_ms: Option<u64>,
}

impl RecentLoads {
    /// Records a load; true when the load came from the store. The duration of a `crowded` load,
    /// one under contention, is not used for the baseline.
    fn push(&mut self, took_ms: u64, crowded: bool) -> bool {
        let is_fast = self
            .baseline_ms
            .is_some_and(|baseline_ms| (took_ms as f64) < baseline_ms as f64 * COPY_SHARE);
        if is_fast && self.consecutive_fast < RECENT_WINDOW {
            self.consecutive_fast += 1;
            return false;
        }
        if is_fast {
            // All recent loads were fast, so the store itself has become faster.
            self.took_ms.clear();
        }
        self.consecutive_fast = 0;
        if crowded && self.took_ms.len() >= RECENT_MIN {
            return true;
        }
        self.took_ms.push_back(took_ms.max(1));
        if self.took_ms.len() > RECENT_WINDOW {
            self.took_ms.pop_front();
        }
        let mut sorted: Vec<u64> = self.took_ms.iter().copied().collect();
        sorted.sort_unstable();
        self.baseline_ms = Some(sorted[(sorted.len() as f64 * BASELINE_QUANTILE) as usize]);
        true
    }
}

impl StoreConcurrencyLimit {
    /// Creates the initial limit, without any measurements.
    pub fn new() -> Self {
        Self { concurrent_max: CONCURRENT_MIN, recent: HashMap::new(), slowdowns: VecDeque::new() }
    }

    /// Raises the limit to `concurrent_max` unless loads have been measured.
    pub fn raise_initial_limit(&mut self, concurrent_max: usize) {
        if self.recent.is_empty() {
            self.concurrent_max = self.concurrent_max.max(concurrent_max as f64);
        }
    }

    /// The maximum number of concurrent loads.
    pub fn concurrent_max(&self) -> usize {
        self.concurrent_max as usize
    }

    /// The duration of a load of `name` without contention.
    pub fn baseline_ms(&self, name: &WeightsName) -> u64 {
        self.recent
            .get(&name.model)
            .and_then(|recent| recent.baseline_ms)
            .unwrap_or(INITIAL_BASELINE_MS)
    }

    /// Records that a load of `name` took `took_ms` with up to `concurrent` loads in progress.
    pub fn record_load(&mut self, name: &WeightsName, took_ms: u64, concurrent: usize) {
        let concurrent = concurrent as f64;
        let is_crowded = concurrent > self.concurrent_max * UNCROWDED_SHARE;
        if !self.recent.entry(name.model.clone()).or_default().push(took_ms, is_crowded) {
            return;
        }
        let slowdown = took_ms as f64 / self.baseline_ms(name) as f64;
        if slowdown <= SLOWDOWN_THRESHOLD && concurrent + 1.0 >= self.concurrent_max {
            self.concurrent_max += INCREASE_STEP;
        }
        self.slowdowns.push_back(slowdown);
        if self.slowdowns.len() > SLOWDOWN_WINDOW {
            self.slowdowns.pop_front();
        }
        let median = self.median_slowdown();
        if self.slowdowns.len() == SLOWDOWN_WINDOW
            && slowdown > SLOWDOWN_THRESHOLD
            && median > SLOWDOWN_THRESHOLD
        {
            // Slowed loads share the store's capacity, so this many would not have been slowed
            // down.
            let sustainable = (concurrent / median).max(CONCURRENT_MIN);
            self.concurrent_max += (sustainable - self.concurrent_max).min(0.0) * DECREASE_FACTOR;
        }
    }

    /// The median slowdown of the latest loads. Single loads may be slow for other reasons, such as
    /// an engine that carries out an order late.
    fn median_slowdown(&self) -> f64 {
        let mut sorted: Vec<f64> = self.slowdowns.iter().copied().collect();
        sorted.sort_unstable_by(f64::total_cmp);
        sorted.get(sorted.len() / 2).copied().unwrap_or(1.0)
    }
}

impl Default for StoreConcurrencyLimit {
    fn default() -> Self {
        Self::new()
    }
}
