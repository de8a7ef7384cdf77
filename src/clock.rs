//! The clocks of a process. Only its outermost layer reads them; state machines are given the time
//! as an argument.

use std::fmt::Debug;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use nix::time::{ClockId, clock_gettime};
use tokio::time::timeout;

/// How often a wait reads the clock. The runtime's timers stop while the machine is suspended, so
/// one long timer would end too late.
const POLL_INTERVAL_MS: u64 = 500;

/// A source of monotonic time.
pub trait TimeSource: Debug + Send + Sync {
    /// Milliseconds since a fixed moment before the process started; never decreases.
    fn now_ms(&self) -> u64;
}

/// The time since the machine booted, including the time for which it was suspended.
///
/// `CLOCK_MONOTONIC` stops during a suspension. With it, leases, confirmations and deadlines would
/// look younger than they are by the length of the suspension.
#[derive(Debug, Clone, Copy)]
pub struct SinceBoot;

impl TimeSource for SinceBoot {
    fn now_ms(&self) -> u64 {
        let now = clock_gettime(ClockId::CLOCK_BOOTTIME).expect("Linux provides CLOCK_BOOTTIME");
        Duration::from(now).as_millis() as u64
    }
}

/// A clock that reads zero when it is created.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    source: &'static dyn TimeSource,
    started_ms: u64,
}

impl Clock {
    /// Creates a clock that keeps running while the machine is suspended.
    pub fn new() -> Self {
        Self::with_source(&SinceBoot)
    }

    /// Creates a clock that reads `source`.
    pub fn with_source(source: &'static dyn TimeSource) -> Self {
        Self { source, started_ms: source.now_ms() }
    }

    /// Milliseconds since the clock was created.
    pub fn now_ms(&self) -> u64 {
        self.source.now_ms().saturating_sub(self.started_ms)
    }

    /// Waits for `future` until `at_ms`; returns `None` if it has not completed by then.
    ///
    /// If `at_ms` passes while the machine is suspended, the wait ends within half a second after
    /// the machine resumes.
    pub async fn timeout_at<T>(&self, at_ms: u64, future: impl Future<Output = T>) -> Option<T> {
        tokio::pin!(future);
        loop {
            let left_ms = at_ms.saturating_sub(self.now_ms());
            let pause = Duration::from_millis(left_ms.min(POLL_INTERVAL_MS));
            if let Ok(output) = timeout(pause, future.as_mut()).await {
                return Some(output);
            }
            if self.now_ms() >= at_ms {
                return None;
            }
        }
    }

    /// Waits until `at_ms`.
    pub async fn sleep_until(&self, at_ms: u64) {
        self.timeout_at(at_ms, std::future::pending::<()>()).await;
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}

/// Wall-clock time in milliseconds since the Unix epoch.
pub fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |elapsed| elapsed.as_millis() as u64)
}
