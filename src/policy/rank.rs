//! The order in which an engine reads prompts.
//!
//! Engines read one prompt after another, the lowest rank first. A request that can no longer meet
//! its latency objective loses little by waiting longer and must not make others late.

/// Bounds between the size classes of prompts, by reading time: a short prompt delays others
/// little, and a long prompt is delayed little by a short one.
const SIZE_BOUNDS_MS: [f64; 3] = [60.0, 200.0, 400.0];
/// The lowest priority that affects the rank; keeps the ranks of all requests in time below
/// `LATE_RANK`.
const PRIORITY_MAX: u8 = 3;
/// The rank of a request that will miss its latency objective in any case.
pub const LATE_RANK: u8 = 8;

/// What determines the rank of a request at an engine.
#[derive(Debug, Clone, Copy)]
pub struct Urgency {
    /// The priority of the route; 0 goes first.
    pub priority: u8,
    /// The rest of the latency objective; 0 once it has passed.
    pub left_ms: f64,
    /// The time to read the prompt.
    pub reading_ms: f64,
}

impl Urgency {
    /// Returns true if the request misses its objective after a wait of only `wait_ms`.
    pub fn is_late_after(&self, wait_ms: f64) -> bool {
        wait_ms + self.reading_ms > self.left_ms
    }

    /// The rank at an engine that reads other prompts for `wait_ms` first.
    pub fn rank_after(&self, wait_ms: f64) -> u8 {
        let mut size_class = 0;
        for bound_ms in SIZE_BOUNDS_MS {
            size_class += u8::from(self.reading_ms > bound_ms);
        }
        // Prompts in the smallest class never get the rank of late ones: the other requests would
        // gain next to nothing.
        if size_class > 0 && self.is_late_after(wait_ms) {
            return LATE_RANK;
        }
        self.priority.min(PRIORITY_MAX) + size_class
    }
}
