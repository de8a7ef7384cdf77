//! Counts the endpoints that may have run a request.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

/// The number of sends of a request that an endpoint may have run, shared by its open answer and the
/// continuations beside it.
///
/// A send counts before it is made, so that one which is cancelled remains counted.
#[derive(Debug, Clone, Default)]
pub(super) struct RunCount(Arc<AtomicU32>);

impl RunCount {
    pub(super) fn get(&self) -> u32 {
        self.0.load(Ordering::Relaxed)
    }

    /// Counts `runs` more.
    pub(super) fn add(&self, runs: u32) {
        self.0.fetch_add(runs, Ordering::Relaxed);
    }

    /// Takes back one send that certainly was not run.
    pub(super) fn take_back(&self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
