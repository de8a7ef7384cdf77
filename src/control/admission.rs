//! Takes changes on that control can hold, and lets them have their turns.
//!
//! A change is parsed, encoded, stored and sent, which takes several times its bytes. Only some are
//! processed at once; of the others that were taken on, the received bytes are all that is held.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tracing::warn;

use crate::clock::Clock;
use crate::control::limits::ControlLimits;
use crate::metrics::{Counter, Gauge, Metrics};
use crate::policy::change_budget::{ChangeBudget, ChangeRefusal};

/// Turns are counted in units of this size.
const UNIT_BYTES: u64 = 1 << 10;
/// The interval of log lines on refusals; those between them are counted.
const LOG_INTERVAL_MS: u64 = 1_000;

/// The changes that a process takes on. Clones share them.
#[derive(Clone)]
pub struct Admissions(Arc<Inner>);

struct Inner {
    state: Mutex<State>,
    turns: Arc<Semaphore>,
    units: u32,
    clock: Clock,
    metrics: Metrics,
}

struct State {
    budget: ChangeBudget,
    logged_at_ms: Option<u64>,
    /// Refusals since the last log line.
    refused: u64,
}

/// A change that was taken on, until it is dropped.
pub struct Admitted {
    _turn: OwnedSemaphorePermit,
    _held: Held,
}

/// The bytes of a change that count until it has ended.
struct Held {
    admissions: Admissions,
    size_bytes: u64,
}

impl Admissions {
    /// Creates admissions within `limits`.
    pub fn new(limits: ControlLimits, metrics: Metrics) -> Self {
        let ControlLimits { changes_max_bytes, waiting_max_bytes, .. } = limits;
        let budget = ChangeBudget::new(changes_max_bytes, waiting_max_bytes);
        let units = (changes_max_bytes / UNIT_BYTES).max(1) as u32;
        Self(Arc::new(Inner {
            state: Mutex::new(State { budget, logged_at_ms: None, refused: 0 }),
            turns: Arc::new(Semaphore::new(units as usize)),
            units,
            clock: Clock::new(),
            metrics,
        }))
    }

    /// Returns whether a change of `size_bytes` would be taken on now; its sender need not send it if not.
    ///
    /// # Errors
    /// The change can't be held, or would wait for too long.
    pub fn check(&self, size_bytes: u64) -> Result<(), ChangeRefusal> {
        let now_ms = self.0.clock.now_ms();
        let checked = self.state().budget.check(now_ms, size_bytes);
        checked.inspect_err(|refusal| self.note_refusal(now_ms, size_bytes, *refusal))
    }

    /// Takes a change of `size_bytes` on and waits for its turn; changes have their turns in the order in
    /// which they come.
    ///
    /// # Errors
    /// The change can't be held, or would wait for too long.
    pub async fn admit(&self, size_bytes: u64) -> Result<Admitted, ChangeRefusal> {
        let now_ms = self.0.clock.now_ms();
        let admitted = self.state().budget.admit(now_ms, size_bytes);
        admitted.inspect_err(|refusal| self.note_refusal(now_ms, size_bytes, *refusal))?;
        let held = Held { admissions: self.clone(), size_bytes };
        self.publish();
        let units = size_bytes.div_ceil(UNIT_BYTES).min(u64::from(self.0.units)) as u32;
        let turn = self.0.turns.clone().acquire_many_owned(units).await;
        let turn = turn.expect("the turns are never closed");
        Ok(Admitted { _turn: turn, _held: held })
    }

    fn note_refusal(&self, now_ms: u64, size_bytes: u64, refusal: ChangeRefusal) {
        self.0.metrics.count(Counter::ChangesRefused);
        let mut state = self.state();
        state.refused += 1;
        if state.logged_at_ms.is_some_and(|at_ms| now_ms < at_ms + LOG_INTERVAL_MS) {
            return;
        }
        state.logged_at_ms = Some(now_ms);
        let (held_bytes, refused) = (state.budget.held_bytes(), std::mem::take(&mut state.refused));
        drop(state);
        warn!(event = "change_refused", size_bytes, held_bytes, refused, reason = ?refusal);
    }

    fn publish(&self) {
        let held_bytes = self.state().budget.held_bytes();
        self.0.metrics.gauge(Gauge::ChangeBytesHeld, held_bytes);
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        let now_ms = self.admissions.0.clock.now_ms();
        self.admissions.state().budget.end(now_ms, self.size_bytes);
        self.admissions.publish();
    }
}
