//! How often each adapter is asked for, with old requests counting less.

use std::collections::HashMap;

use crate::message::AdapterKey;

const MAX_KNOWN: usize = 16_384;
const NEGLIGIBLE: f64 = 0.01;

/// Request counts that halve with time.
#[derive(Debug)]
pub struct Popularity {
    half_life_ms: f64,
    known: HashMap<AdapterKey, Decayed>,
}

#[derive(Debug, Clone, Copy)]
struct Decayed {
    value: f64,
    at_ms: u64,
}

impl Popularity {
    /// Counts that halve every `half_life_ms`.
    pub fn new(half_life_ms: u64) -> Self {
        Self { half_life_ms: half_life_ms as f64, known: HashMap::new() }
    }

    /// Counts one request.
    pub fn note(&mut self, now_ms: u64, adapter: &AdapterKey) {
        let half_life_ms = self.half_life_ms;
        if let Some(known) = self.known.get_mut(adapter) {
            *known = Decayed { value: known.value_at(now_ms, half_life_ms) + 1.0, at_ms: now_ms };
            return;
        }
        if self.known.len() >= MAX_KNOWN {
            self.known.retain(|_, known| known.value_at(now_ms, half_life_ms) > NEGLIGIBLE);
        }
        if self.known.len() < MAX_KNOWN {
            self.known.insert(adapter.clone(), Decayed { value: 1.0, at_ms: now_ms });
        }
    }

    /// Requests per second, as recent ones suggest.
    pub fn rate_per_s(&self, now_ms: u64, adapter: &AdapterKey) -> f64 {
        let Some(known) = self.known.get(adapter) else { return 0.0 };
        // A steady rate r settles at a count of r * half_life / ln 2.
        known.value_at(now_ms, self.half_life_ms) * std::f64::consts::LN_2 * 1_000.0
            / self.half_life_ms
    }
}

impl Decayed {
    fn value_at(self, now_ms: u64, half_life_ms: f64) -> f64 {
        let passed_ms = now_ms.saturating_sub(self.at_ms) as f64;
        self.value * (-passed_ms / half_life_ms).exp2()
    }
}
