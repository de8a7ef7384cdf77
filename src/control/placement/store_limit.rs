//! How many loads the weight store bears at once, learnt from how long they take.
//!
//! Beyond some number of loads the store gives each one less, so that all take longer and none comes
//! sooner: the places that wait for them are lost to others meanwhile. Below that number it idles.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use crate::message::WeightsName;

/// What a load is taken to last until one was seen: less than any, so that it is looked at early.
const FIRST_LOAD_MS: u64 = 100;
/// Loads that every store bears at once: eight for each that its declaration names (the users' third
/// letter).
const AT_ONCE_MIN: f64 = 8.0;
/// A load that took this much longer than one alone was slowed by others. Looking whether a load is
/// done comes up to a sixth late, and orders take a few milliseconds.
const SLOWED: f64 = 1.25;
/// How far one slowed load moves the limit towards what it tells.
const FALL: f64 = 0.25;
/// By how much a load that was not slowed raises the limit, if the limit was reached.
const RISE: f64 = 0.5;
/// The latest loads whose median tells whether the store is slowed.
const SLOWDOWNS: usize = 9;
/// The latest loads that tell how long one alone takes.
const RECENT_MAX: usize = 16;
/// So many of them are taken even if others were on their way.
const RECENT_MIN: usize = 5;
/// Loads beside a load, as a share of the limit, that are too few to have slowed it.
const UNCROWDED_SHARE: f64 = 0.6;
/// Which share of them was faster than one alone is taken to be.
const ALONE_QUANTILE: f64 = 0.5;
/// Below this share of the usual time a load came from a copy that the leader does not know of, as
/// after a change of leader. Copies load ten times as fast as the store.
const COPY_SHARE: f64 = 0.4;

/// The limit for one weight store.
#[derive(Debug)]
pub struct StoreLimit {
    at_once: f64,
    /// For each base model, how long loads took lately.
    recent: HashMap<Arc<str>, RecentLoads>,
    /// How much longer than one alone the latest loads took.
    slowdowns: VecDeque<f64>,
}

/// How long loads took lately.
#[derive(Debug, Default)]
struct RecentLoads {
    took_ms: VecDeque<u64>,
    /// Loads in a row that were too fast to have come from the store.
    fast_in_a_row: usize,
    alone_ms: Option<u64>,
}

impl RecentLoads {
    /// Takes one load in; true when it came from the store. One that others `crowded` tells nothing of
    /// how long one alone takes.
    fn push(&mut self, took_ms: u64, crowded: bool) -> bool {
        let is_fast =
            self.alone_ms.is_some_and(|alone_ms| (took_ms as f64) < alone_ms as f64 * COPY_SHARE);
        if is_fast && self.fast_in_a_row < RECENT_MAX {
            self.fast_in_a_row += 1;
            return false;
        }
        if is_fast {
            // All of them are fast now: the store itself is.
            self.took_ms.clear();
        }
        self.fast_in_a_row = 0;
        if crowded && self.took_ms.len() >= RECENT_MIN {
            return true;
        }
        self.took_ms.push_back(took_ms.max(1));
        if self.took_ms.len() > RECENT_MAX {
            self.took_ms.pop_front();
        }
        let mut sorted: Vec<u64> = self.took_ms.iter().copied().collect();
        sorted.sort_unstable();
        self.alone_ms = Some(sorted[(sorted.len() as f64 * ALONE_QUANTILE) as usize]);
        true
    }
}

impl StoreLimit {
    /// The limit before any load told anything.
    pub fn new() -> Self {
        Self { at_once: AT_ONCE_MIN, recent: HashMap::new(), slowdowns: VecDeque::new() }
    }

    /// Raises the limit to `at_once` as long as no load has told anything.
    pub fn start_from(&mut self, at_once: usize) {
        if self.recent.is_empty() {
            self.at_once = self.at_once.max(at_once as f64);
        }
    }

    /// How many loads may be on their way at once.
    pub fn at_once(&self) -> usize {
        self.at_once as usize
    }

    /// How long a load of `name` takes when nothing slows it.
    pub fn alone_ms(&self, name: &WeightsName) -> u64 {
        self.recent.get(&name.model).and_then(|recent| recent.alone_ms).unwrap_or(FIRST_LOAD_MS)
    }

    /// Takes in that a load of `name` lasted `took_ms` while up to `beside` were on their way.
    pub fn note(&mut self, name: &WeightsName, took_ms: u64, beside: usize) {
        let beside = beside as f64;
        let is_crowded = beside > self.at_once * UNCROWDED_SHARE;
        if !self.recent.entry(name.model.clone()).or_default().push(took_ms, is_crowded) {
            return;
        }
        let slowed = took_ms as f64 / self.alone_ms(name) as f64;
        if slowed <= SLOWED && beside + 1.0 >= self.at_once {
            self.at_once += RISE;
        }
        self.slowdowns.push_back(slowed);
        if self.slowdowns.len() > SLOWDOWNS {
            self.slowdowns.pop_front();
        }
        let usual = self.usual_slowdown();
        if self.slowdowns.len() == SLOWDOWNS && slowed > SLOWED && usual > SLOWED {
            // Slowed loads share what the store gives, so this many would not have been slowed.
            let borne = (beside / usual).max(AT_ONCE_MIN);
            self.at_once += (borne - self.at_once).min(0.0) * FALL;
        }
    }

    /// The median of the latest loads: single ones are slow for other reasons, as when an engine
    /// carries an order out late.
    fn usual_slowdown(&self) -> f64 {
        let mut sorted: Vec<f64> = self.slowdowns.iter().copied().collect();
        sorted.sort_unstable_by(f64::total_cmp);
        sorted.get(sorted.len() / 2).copied().unwrap_or(1.0)
    }
}

impl Default for StoreLimit {
    fn default() -> Self {
        Self::new()
    }
}
