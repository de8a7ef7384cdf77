//! In which order an engine should read prompts.
//!
//! Engines read one prompt after the other, the lowest rank first. A request that cannot meet its
//! latency objective any more loses little by waiting longer, and must not make others late.

/// Bounds between the sizes of prompts, by how long each takes to be read: a short one holds up
/// others little, and a long one does not feel a short one before it.
const SIZE_BOUNDS_MS: [f64; 3] = [60.0, 200.0, 400.0];
/// The lowest priority that is told from others, so that every request in time goes before late ones.
const PRIORITY_MAX: u8 = 3;
/// The rank of a request that is late whatever comes first.
pub const LATE_RANK: u8 = 8;

/// What decides a request's rank at an engine.
#[derive(Debug, Clone, Copy)]
pub struct Urgency {
    /// The priority of its route; 0 goes first.
    pub priority: u8,
    /// What is left of its latency objective; nothing once it has passed.
    pub left_ms: f64,
    /// How long its prompt takes to be read.
    pub reading_ms: f64,
}

impl Urgency {
    /// True when the request is late even if only `wait_ms` pass before it is read.
    pub fn is_late_after(&self, wait_ms: f64) -> bool {
        wait_ms + self.reading_ms > self.left_ms
    }

    /// The rank at an engine that reads for `wait_ms` before it.
    pub fn rank_after(&self, wait_ms: f64) -> u8 {
        let mut size = 0;
        for bound_ms in SIZE_BOUNDS_MS {
            size += u8::from(self.reading_ms > bound_ms);
        }
        // A short one never waits for others: it would gain them next to nothing.
        if size > 0 && self.is_late_after(wait_ms) {
            return LATE_RANK;
        }
        self.priority.min(PRIORITY_MAX) + size
    }
}
