//! A retry budget, which keeps retries from amplifying an overload.

/// A token bucket that each first attempt fills by `ratio` of a retry, up to `burst`.
#[derive(Debug)]
pub struct RetryBudget {
    ratio: f64,
    burst: f64,
    tokens: f64,
}

impl RetryBudget {
    /// Creates a full budget.
    pub fn new(ratio: f64, burst: f64) -> Self {
        Self { ratio, burst, tokens: burst }
    }

    /// Counts a first attempt.
    pub fn note_request(&mut self) {
        self.tokens = (self.tokens + self.ratio).min(self.burst);
    }

    /// Takes one retry from the budget; returns false if the budget is exhausted.
    pub fn take(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
