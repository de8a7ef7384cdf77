//! Request rates of adapters, from counts with exponential decay.

use std::collections::HashMap;

use crate::message::AdapterKey;

const ADAPTERS_MAX: usize = 16_384;
const NEGLIGIBLE_COUNT: f64 = 0.01;

/// Request counts that decay exponentially.
#[derive(Debug)]
pub struct Popularity {
    half_life_ms: f64,
    counts: HashMap<AdapterKey, DecayingCount>,
}

#[derive(Debug, Clone, Copy)]
struct DecayingCount {
    value: f64,
    at_ms: u64,
}

impl Popularity {
    /// Creates counts that halve every `half_life_ms`.
    pub fn new(half_life_ms: u64) -> Self {
        Self { half_life_ms: half_life_ms as f64, counts: HashMap::new() }
    }

    /// Counts one request.
    pub fn note(&mut self, now_ms: u64, adapter: &AdapterKey) {
        let half_life_ms = self.half_life_ms;
        if let Some(count) = self.counts.get_mut(adapter) {
            *count =
                DecayingCount { value: count.value_at(now_ms, half_life_ms) + 1.0, at_ms: now_ms };
            return;
        }
        if self.counts.len() >= ADAPTERS_MAX {
            self.counts.retain(|_, count| count.value_at(now_ms, half_life_ms) > NEGLIGIBLE_COUNT);
        }
        if self.counts.len() < ADAPTERS_MAX {
            self.counts.insert(adapter.clone(), DecayingCount { value: 1.0, at_ms: now_ms });
        }
    }

    /// The estimated rate of requests per second.
    pub fn rate_per_s(&self, now_ms: u64, adapter: &AdapterKey) -> f64 {
        let Some(count) = self.counts.get(adapter) else { return 0.0 };
        // At a steady rate r, the count converges to r * half_life / ln 2.
        count.value_at(now_ms, self.half_life_ms) * std::f64::consts::LN_2 * 1_000.0
            / self.half_life_ms
    }
}

impl DecayingCount {
    fn value_at(self, now_ms: u64, half_life_ms: f64) -> f64 {
        let passed_ms = now_ms.saturating_sub(self.at_ms) as f64;
        self.value * (-passed_ms / half_life_ms).exp2()
    }
}
