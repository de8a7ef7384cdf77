//! A graceful shutdown: what can still be answered before the process ends.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use tokio::sync::Notify;

use super::shared::Relay;
use crate::policy::recent_max::RecentMax;
use crate::routing::Route;

/// How long the time that an answer took counts.
const ANSWER_TIME_WINDOW_MS: u64 = 30_000;
/// The end of a process that is not stopping.
const NEVER: u64 = u64::MAX;

/// When this gateway ends, and how long answers take.
#[derive(Debug)]
pub(super) struct Stopping {
    /// The time until which answers must have ended.
    ends_at_ms: AtomicU64,
    begun: Notify,
    /// The longest recent time from a send to the end of the answer, by route.
    answer_times_ms: Mutex<HashMap<Arc<str>, RecentMax>>,
}

impl Default for Stopping {
    fn default() -> Self {
        Self {
            ends_at_ms: AtomicU64::new(NEVER),
            begun: Notify::new(),
            answer_times_ms: Mutex::default(),
        }
    }
}

impl Stopping {
    /// Starts a graceful shutdown that waits for answers until `ends_at_ms`.
    pub(super) fn begin(&self, ends_at_ms: u64) {
        self.ends_at_ms.store(ends_at_ms, Ordering::Relaxed);
        self.begun.notify_waiters();
    }

    /// The time until which answers must have ended; `None` before a graceful shutdown.
    pub(super) fn ends_at_ms(&self) -> Option<u64> {
        let ends_at_ms = self.ends_at_ms.load(Ordering::Relaxed);
        (ends_at_ms != NEVER).then_some(ends_at_ms)
    }

    /// Records that an answer of `route` ended `after_ms` after its request was sent.
    pub(super) fn note_answer_time(&self, now_ms: u64, route: &Arc<str>, after_ms: u64) {
        let mut times_ms = self.answer_times_ms.lock().unwrap_or_else(PoisonError::into_inner);
        let after_ms = u32::try_from(after_ms).unwrap_or(u32::MAX);
        if let Some(known) = times_ms.get_mut(route) {
            known.set(now_ms, after_ms);
            return;
        }
        let mut known = RecentMax::new(ANSWER_TIME_WINDOW_MS);
        known.set(now_ms, after_ms);
        times_ms.insert(route.clone(), known);
    }

    /// How long an answer of `route` is expected to take: as long as the slowest recent one, or as its
    /// latency objective if there was none.
    fn expected_ms(&self, now_ms: u64, route: &Route) -> u64 {
        let mut times_ms = self.answer_times_ms.lock().unwrap_or_else(PoisonError::into_inner);
        let known_ms = times_ms.get_mut(&route.name).and_then(|known| known.get(now_ms));
        known_ms.map_or(route.latency_objective_ms, u64::from)
    }
}

impl Relay {
    /// True if an answer of `route` cannot be expected to end before the process does, when its
    /// request is sent now.
    pub(super) fn is_too_late_for(&self, now_ms: u64, route: &Route) -> bool {
        let Some(ends_at_ms) = self.stopping.ends_at_ms() else { return false };
        now_ms + self.stopping.expected_ms(now_ms, route) >= ends_at_ms
    }

    /// Returns once a request of `route` would be sent too late in a graceful shutdown.
    pub(super) async fn until_too_late_for(&self, route: &Route) {
        loop {
            let begun = self.stopping.begun.notified();
            let Some(ends_at_ms) = self.stopping.ends_at_ms() else {
                begun.await;
                continue;
            };
            let now_ms = self.now_ms();
            let latest_ms = ends_at_ms.saturating_sub(self.stopping.expected_ms(now_ms, route));
            if latest_ms <= now_ms {
                return;
            }
            self.clock.sleep_until(latest_ms).await;
        }
    }
}
