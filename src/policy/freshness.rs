//! Bounds the age of what a gateway knows of routes and endpoints when it decides on a request.
//!
//! The leader confirms a renewal after it has sent all changes that it accepted before the renewal,
//! so a gateway knows every change that is older than its last confirmed renewal. A gateway without
//! a recent confirmation waits for it, since a stall of its own process or a delay on the way ends
//! soon. A gateway that runs and still gets none is disconnected from control, and continues to serve
//! with what it knows.

use super::running_time::RunningTimer;

/// The maximum age, in percent of the time within which accepted changes must take effect. The rest
/// is for connecting to an endpoint and writing the request.
const MAX_AGE_PERCENT: u64 = 80;
/// How long requests wait for a confirmation. Only time counts for which the process runs: a gateway
/// that resumes after a stall has a confirmation after two messages each way.
const WAIT_MS: u64 = 500;
/// The longest interval between two observations that counts as running.
const STEP_MAX_MS: u64 = 50;

/// Whether a gateway may decide with what it knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Knowledge {
    /// It knows every change that is older than the maximum age.
    Fresh,
    /// It may lack changes, but a confirmation is expected soon.
    Awaited,
    /// It is disconnected from control.
    Disconnected,
}

/// The age of what a gateway knows.
#[derive(Debug)]
pub struct Freshness {
    max_age_ms: u64,
    /// The send time of the last confirmed renewal; `None` before the first one.
    confirmed_at_ms: Option<u64>,
    /// The wait for a confirmation since the maximum age was first found exceeded.
    wait: Option<RunningTimer>,
}

impl Freshness {
    /// Creates the state of a gateway that knows nothing; changes must take effect within
    /// `changes_within_ms`.
    pub fn new(changes_within_ms: u64) -> Self {
        let max_age_ms = changes_within_ms * MAX_AGE_PERCENT / 100;
        Self { max_age_ms, confirmed_at_ms: None, wait: None }
    }

    /// Records that the leader confirmed a renewal that this gateway sent at `sent_at_ms`.
    pub fn confirm(&mut self, sent_at_ms: u64) {
        self.confirmed_at_ms = self.confirmed_at_ms.max(Some(sent_at_ms));
    }

    /// The time since the last confirmed renewal was sent; `None` before the first confirmation.
    pub fn age_ms(&self, now_ms: u64) -> Option<u64> {
        Some(now_ms.saturating_sub(self.confirmed_at_ms?))
    }

    /// Whether the gateway may decide at `now_ms` with what it knows.
    ///
    /// A gateway that has never been confirmed has no routes and waits for these instead.
    pub fn check(&mut self, now_ms: u64) -> Knowledge {
        if self.age_ms(now_ms).is_none_or(|age_ms| age_ms < self.max_age_ms) {
            self.wait = None;
            return Knowledge::Fresh;
        }
        let wait = self.wait.get_or_insert_with(|| RunningTimer::new(now_ms, STEP_MAX_MS));
        if wait.observe(now_ms) < WAIT_MS { Knowledge::Awaited } else { Knowledge::Disconnected }
    }
}
