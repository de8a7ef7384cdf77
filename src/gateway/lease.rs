//! Tracks until when the gateway holds its lease from control and until when its configuration counts
//! as confirmed.

use std::sync::atomic::{AtomicU64, Ordering};

use crate::settings::LeaseSettings;

/// Longest wait of requests for a missing confirmation, counted from the first request that missed
/// it. A gateway process that had been suspended received the next confirmation 0.11 s after it
/// resumed, beside 32 busy loops on 8 cores. After this time a gateway that is disconnected from
/// control refuses requests at once.
const CONFIRMATION_WAIT_MS: u64 = 500;

/// Time limits for sending work and orders to endpoints (validity) and for admitting requests
/// (freshness).
///
/// All times are of the gateway's own monotonic clock. The lease counts from when the renewal that
/// control confirmed was sent, so that it ends at the gateway before it ends at control.
#[derive(Debug)]
pub struct Lease {
    settings: LeaseSettings,
    epoch: AtomicU64,
    valid_until_ms: AtomicU64,
    fresh_until_ms: AtomicU64,
    /// When a request first missed the next confirmation; 0 while none is missing.
    missed_at_ms: AtomicU64,
}

impl Lease {
    /// Creates a lease that has not been granted yet.
    pub fn new(settings: LeaseSettings) -> Self {
        Self {
            settings,
            epoch: AtomicU64::new(0),
            valid_until_ms: AtomicU64::new(0),
            fresh_until_ms: AtomicU64::new(0),
            missed_at_ms: AtomicU64::new(0),
        }
    }

    /// Epoch of the gateway's registration.
    pub fn epoch(&self) -> u64 {
        self.epoch.load(Ordering::Acquire)
    }

    /// Sets the epoch of the registration. A new epoch ends the lease until its first renewal.
    pub fn register(&self, epoch: u64) {
        if self.epoch.swap(epoch, Ordering::AcqRel) != epoch {
            self.valid_until_ms.store(0, Ordering::Release);
        }
    }

    /// Extends the lease after control confirmed the renewal that was sent at `sent_at_ms`.
    pub fn renew(&self, sent_at_ms: u64) {
        let duration_ms = self.settings.lease_ms - self.settings.margin_ms;
        self.valid_until_ms.fetch_max(sent_at_ms + duration_ms, Ordering::AcqRel);
    }

    /// Extends freshness: all changes accepted before `sent_at_ms` are applied here.
    pub fn confirm(&self, sent_at_ms: u64) {
        let until_ms = sent_at_ms + self.settings.freshness_ms;
        self.fresh_until_ms.fetch_max(until_ms, Ordering::AcqRel);
        self.missed_at_ms.store(0, Ordering::Release);
    }

    /// Ends the lease, since control counts it as expired.
    pub fn expire(&self) {
        self.valid_until_ms.store(0, Ordering::Release);
    }

    /// True while work and orders may be sent to endpoints.
    pub fn is_valid(&self, now_ms: u64) -> bool {
        now_ms < self.valid_until_ms.load(Ordering::Acquire)
    }

    /// True while requests may be admitted.
    pub fn is_fresh(&self, now_ms: u64) -> bool {
        now_ms < self.fresh_until_ms.load(Ordering::Acquire)
    }

    /// Records that a confirmation is missing at `now_ms` and returns until when requests wait for it.
    ///
    /// The wait counts from when the confirmation was first missed, since one that is missing for longer
    /// will hardly come in time.
    pub fn note_missing_confirmation(&self, now_ms: u64) -> u64 {
        let now_ms = now_ms.max(1);
        let exchanged =
            self.missed_at_ms.compare_exchange(0, now_ms, Ordering::AcqRel, Ordering::Acquire);
        let missed_at_ms = match exchanged {
            Ok(_) => now_ms,
            Err(earlier_ms) => earlier_ms,
        };
        missed_at_ms + CONFIRMATION_WAIT_MS
    }

    /// Time until which requests may be admitted.
    pub fn fresh_until_ms(&self) -> u64 {
        self.fresh_until_ms.load(Ordering::Acquire)
    }
}
