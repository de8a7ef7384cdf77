//! Measures for how long a process has run, without the times for which it stalled.

/// A timer whose reading grows by at most `step_max_ms` from one observation to the next.
///
/// A process that stalls (too little CPU time, a suspension, a long computation) finds all its
/// timeouts expired when it resumes, although it had no chance to read what they wait for. With
/// this timer, a stall counts as one step.
#[derive(Debug, Clone, Copy)]
pub struct RunningTimer {
    step_max_ms: u64,
    observed_at_ms: u64,
    ran_ms: u64,
}

impl RunningTimer {
    /// Starts a timer at `now_ms`.
    pub fn new(now_ms: u64, step_max_ms: u64) -> Self {
        Self { step_max_ms, observed_at_ms: now_ms, ran_ms: 0 }
    }

    /// Returns for how long the process has run since the start, as far as it was observed.
    pub fn observe(&mut self, now_ms: u64) -> u64 {
        self.ran_ms += now_ms.saturating_sub(self.observed_at_ms).min(self.step_max_ms);
        self.observed_at_ms = now_ms.max(self.observed_at_ms);
        self.ran_ms
    }
}
