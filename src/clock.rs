//! The process's clocks; only the outermost layer reads them.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// A monotonic clock that starts at zero.
#[derive(Debug, Clone, Copy)]
pub struct Clock(Instant);

impl Clock {
    /// A clock that starts now.
    pub fn new() -> Self {
        Self(Instant::now())
    }

    /// Milliseconds since the start.
    pub fn now_ms(&self) -> u64 {
        self.0.elapsed().as_millis() as u64
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}

/// Milliseconds of wall time since 1970.
pub fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |passed| passed.as_millis() as u64)
}
