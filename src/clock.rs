//! The process's clocks; only the outermost layer reads them.

use std::fmt::Debug;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use nix::time::{ClockId, clock_gettime};
use tokio::time::timeout;

/// How often a wait looks at the clock: timers of the runtime stand still while the machine is suspended.
const LOOK_MS: u64 = 500;

/// Where a clock reads the time.
pub trait TimeSource: Debug + Send + Sync {
    /// Milliseconds since some moment before the process began; never less than before.
    fn now_ms(&self) -> u64;
}

/// The time since the machine was started, which goes on while it is suspended.
///
/// The steady clock does not: leases, confirmations and deadlines would look younger than they are by as
/// long as the machine was suspended.
#[derive(Debug, Clone, Copy)]
pub struct SinceBoot;

impl TimeSource for SinceBoot {
    fn now_ms(&self) -> u64 {
        let now = clock_gettime(ClockId::CLOCK_BOOTTIME)
            .expect("each Linux that runs this has the clock");
        Duration::from(now).as_millis() as u64
    }
}

/// A clock that starts at zero.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    source: &'static dyn TimeSource,
    started_ms: u64,
}

impl Clock {
    /// A clock that starts now and goes on while the machine is suspended.
    pub fn new() -> Self {
        Self::with_source(&SinceBoot)
    }

    /// A clock that starts now and reads `source`.
    pub fn with_source(source: &'static dyn TimeSource) -> Self {
        Self { source, started_ms: source.now_ms() }
    }

    /// Milliseconds since the start.
    pub fn now_ms(&self) -> u64 {
        self.source.now_ms().saturating_sub(self.started_ms)
    }

    /// Waits for `future` until `at_ms`; none when it has not ended by then.
    ///
    /// After the machine was suspended a wait whose time has passed ends within half a second.
    pub async fn timeout_at<T>(&self, at_ms: u64, future: impl Future<Output = T>) -> Option<T> {
        tokio::pin!(future);
        loop {
            let left_ms = at_ms.saturating_sub(self.now_ms());
            let look = Duration::from_millis(left_ms.min(LOOK_MS));
            if let Ok(ended) = timeout(look, future.as_mut()).await {
                return Some(ended);
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

/// Milliseconds of wall time since 1970.
pub fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |passed| passed.as_millis() as u64)
}
