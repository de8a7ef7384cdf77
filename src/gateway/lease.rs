//! The gateway's lease and the freshness of its configuration.

use std::sync::atomic::{AtomicU64, Ordering};

use crate::settings::LeaseSettings;

/// How long requests wait for a confirmation from when it was first missed: a gateway that stood still
/// had the next one 0.11 s after it woke, beside 32 loops on 8 cores. One that is cut off refuses at once
/// afterwards.
const CONFIRMATION_WAIT_MS: u64 = 500;

/// Until when this gateway may send work and orders, and until when it may admit requests.
///
/// All times are of the gateway's own monotonic clock. The lease counts from the sending of the
/// renewal that control confirmed, so that it ends here before it ends there.
#[derive(Debug)]
pub struct Lease {
    settings: LeaseSettings,
    epoch: AtomicU64,
    valid_until_ms: AtomicU64,
    fresh_until_ms: AtomicU64,
    /// When a confirmation was first missed; 0 while none is.
    missed_at_ms: AtomicU64,
}

impl Lease {
    /// A lease that has not been granted yet.
    pub fn new(settings: LeaseSettings) -> Self {
        Self {
            settings,
            epoch: AtomicU64::new(0),
            valid_until_ms: AtomicU64::new(0),
            fresh_until_ms: AtomicU64::new(0),
            missed_at_ms: AtomicU64::new(0),
        }
    }

    /// The epoch of the registration.
    pub fn epoch(&self) -> u64 {
        self.epoch.load(Ordering::Acquire)
    }

    /// Notes a new registration; the lease starts with its first renewal.
    pub fn register(&self, epoch: u64) {
        if self.epoch.swap(epoch, Ordering::AcqRel) != epoch {
            self.valid_until_ms.store(0, Ordering::Release);
        }
    }

    /// Notes that the renewal sent at `sent_at_ms` was confirmed.
    pub fn renewed(&self, sent_at_ms: u64) {
        let lasts_ms = self.settings.lease_ms - self.settings.margin_ms;
        self.valid_until_ms.fetch_max(sent_at_ms + lasts_ms, Ordering::AcqRel);
    }

    /// Notes that everything accepted before `sent_at_ms` is in force here.
    pub fn confirmed(&self, sent_at_ms: u64) {
        let until_ms = sent_at_ms + self.settings.freshness_ms;
        self.fresh_until_ms.fetch_max(until_ms, Ordering::AcqRel);
        self.missed_at_ms.store(0, Ordering::Release);
    }

    /// Notes that control holds the lease for ended.
    pub fn expired(&self) {
        self.valid_until_ms.store(0, Ordering::Release);
    }

    /// True while work and orders may be sent.
    pub fn is_valid(&self, now_ms: u64) -> bool {
        now_ms < self.valid_until_ms.load(Ordering::Acquire)
    }

    /// True while requests may be admitted.
    pub fn is_fresh(&self, now_ms: u64) -> bool {
        now_ms < self.fresh_until_ms.load(Ordering::Acquire)
    }

    /// Notes that a confirmation is missing at `now_ms`; tells until when it is worth waiting for, from when
    /// it was first missed: one that is missing for longer will hardly come in time.
    pub fn note_missing(&self, now_ms: u64) -> u64 {
        let now_ms = now_ms.max(1);
        let first =
            self.missed_at_ms.compare_exchange(0, now_ms, Ordering::AcqRel, Ordering::Acquire);
        let missed_at_ms = match first {
            Ok(_) => now_ms,
            Err(earlier_ms) => earlier_ms,
        };
        missed_at_ms + CONFIRMATION_WAIT_MS
    }

    /// Until when requests may be admitted.
    pub fn fresh_until_ms(&self) -> u64 {
        self.fresh_until_ms.load(Ordering::Acquire)
    }
}
