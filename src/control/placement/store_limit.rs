//! How many loads the weight store bears at once, learnt from how long they take.
//!
//! Beyond some number of loads the store gives each one less, so that all take longer and none comes
//! sooner: the places that wait for them are lost to others meanwhile. Below that number it idles.

use std::collections::HashMap;
use std::sync::Arc;

use crate::message::WeightsName;

/// What a load is taken to last until one was seen: less than any, so that it is looked at early.
const FIRST_LOAD_MS: u64 = 100;
/// Loads at once until loads tell more; every store of the users bears these so far.
const FIRST_AT_ONCE: f64 = 8.0;
/// A load that took this much longer than one alone was slowed by others. Looking whether a load is
/// done comes up to a sixth late, and orders take a few milliseconds.
const SLOWED: f64 = 1.25;
/// How far one slowed load moves the limit towards what it tells.
const FALL: f64 = 0.25;
/// By how much a load that was not slowed raises the limit, if the limit was reached.
const RISE: f64 = 0.5;

/// The limit for one weight store.
#[derive(Debug)]
pub struct StoreLimit {
    at_once: f64,
    /// How long a load takes when nothing slows it, for each base model.
    alone_ms: HashMap<Arc<str>, u64>,
}

impl StoreLimit {
    /// The limit before any load told anything.
    pub fn new() -> Self {
        Self { at_once: FIRST_AT_ONCE, alone_ms: HashMap::new() }
    }

    /// Raises the limit to `at_once` as long as no load has told anything.
    pub fn start_from(&mut self, at_once: usize) {
        if self.alone_ms.is_empty() {
            self.at_once = self.at_once.max(at_once as f64);
        }
    }

    /// How many loads may be on their way at once.
    pub fn at_once(&self) -> usize {
        self.at_once as usize
    }

    /// How long a load of `name` takes when nothing slows it.
    pub fn alone_ms(&self, name: &WeightsName) -> u64 {
        self.alone_ms.get(&name.model).copied().unwrap_or(FIRST_LOAD_MS)
    }

    /// Takes in that a load of `name` lasted `took_ms` while up to `beside` were on their way.
    pub fn note(&mut self, name: &WeightsName, took_ms: u64, beside: usize) {
        let alone_ms = self.alone_ms.entry(name.model.clone()).or_insert(took_ms);
        *alone_ms = took_ms.min(*alone_ms).max(1);
        let slowed = took_ms as f64 / *alone_ms as f64;
        let beside = beside as f64;
        if slowed > SLOWED {
            // Slowed loads share what the store gives, so this many would not have been slowed. A
            // load that began before others and ended after them tells less than it seems.
            let borne = (beside / slowed).max(1.0);
            if borne < self.at_once {
                self.at_once += (borne - self.at_once) * FALL;
            }
        } else if beside + 1.0 >= self.at_once {
            self.at_once += RISE;
        }
    }
}

impl Default for StoreLimit {
    fn default() -> Self {
        Self::new()
    }
}
