//! The leaving of an endpoint: announced, acknowledged by control, and over.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use tokio::sync::Notify;

/// How long after the acknowledgement requests may still arrive, as the platform allows.
const DRAIN: Duration = Duration::from_millis(2_500);

/// Whether an endpoint leaves, and since when control knows it.
#[derive(Debug, Default)]
pub struct Leaving {
    state: Mutex<State>,
    /// Notified when the endpoint begins or ceases to leave.
    pub changed: Notify,
}

#[derive(Debug, Default)]
struct State {
    has_begun: bool,
    acknowledged_at: Option<Instant>,
}

impl Leaving {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The endpoint leaves from now on.
    pub fn begin(&self) {
        self.state().has_begun = true;
        self.changed.notify_one();
    }

    /// The endpoint no longer leaves; returns true if it did.
    pub fn end(&self) -> bool {
        let before = std::mem::take(&mut *self.state());
        self.changed.notify_one();
        before.has_begun
    }

    /// True while the endpoint leaves.
    pub fn has_begun(&self) -> bool {
        self.state().has_begun
    }

    /// Control has acknowledged a heartbeat that announces the leaving.
    pub fn note_acknowledged(&self, now: Instant) {
        let mut state = self.state();
        if state.has_begun {
            state.acknowledged_at.get_or_insert(now);
        }
    }

    /// The time since the acknowledgement of a request that arrives too late; `None` in time.
    pub fn lateness(&self, now: Instant) -> Option<Duration> {
        let late = now.duration_since(self.state().acknowledged_at?);
        (late > DRAIN).then_some(late)
    }
}
