//! A budget for retries, so that they cannot multiply an overload.

/// Allows a share of retries for each first attempt, and a burst.
#[derive(Debug)]
pub struct RetryBudget {
    ratio: f64,
    burst: f64,
    tokens: f64,
}

impl RetryBudget {
    /// A budget that starts full.
    pub fn new(ratio: f64, burst: f64) -> Self {
        Self { ratio, burst, tokens: burst }
    }

    /// Notes a first attempt.
    pub fn note_request(&mut self) {
        self.tokens = (self.tokens + self.ratio).min(self.burst);
    }

    /// Takes one retry out of the budget; false when it is spent.
    pub fn take(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
