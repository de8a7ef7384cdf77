//! Signs of life of another gateway that a request was sent through.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use crate::clock::Clock;

/// How long the other gateway may send nothing before its answer is doubted; it sends a sign of life
/// four times in that time.
pub(super) const SILENT_MAX_MS: u64 = 1_000;

/// When anything last came from another gateway.
#[derive(Debug, Clone)]
pub(in crate::relay) struct PeerSigns {
    clock: Clock,
    heard_at_ms: Arc<AtomicU64>,
}

impl PeerSigns {
    /// Signs of life of a gateway that a request is sent to now.
    pub(in crate::relay) fn new(clock: Clock) -> Self {
        Self { clock, heard_at_ms: Arc::new(AtomicU64::new(clock.now_ms())) }
    }

    /// Records that something came, or that a request is sent to another gateway.
    pub(super) fn note(&self) {
        self.heard_at_ms.store(self.clock.now_ms(), Ordering::Relaxed);
    }

    /// Returns once nothing has come for [`SILENT_MAX_MS`].
    pub(in crate::relay) async fn silence(&self) {
        loop {
            let silent_at_ms = self.heard_at_ms.load(Ordering::Relaxed) + SILENT_MAX_MS;
            if self.clock.now_ms() >= silent_at_ms {
                return;
            }
            self.clock.sleep_until(silent_at_ms).await;
        }
    }
}
