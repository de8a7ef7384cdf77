//! Decides which changes control takes on: as many as it can hold and answer in time.
//!
//! A change takes memory from its arrival until it is applied. One that can't be held is refused at once.
//! So is one whose turn would come after its sender has given up. Senders that are refused are told to
//! come back one after another, at the rate at which changes are done.

/// A change that would wait for longer is refused: senders wait for a second, and its own turn takes time
/// too.
const WAIT_MAX_MS: f64 = 500.0;
/// The time that a megabyte of changes is expected to take before the first change has ended.
const FIRST_MS_PER_MB: f64 = 30.0;
/// The weight of the latest change in the measured time.
const LATEST_WEIGHT: f64 = 0.25;
/// The bounds of the time after which a sender may come back.
const RETRY_MIN_MS: u64 = 100;
const RETRY_MAX_MS: u64 = 5_000;
const BYTES_PER_MB: f64 = 1_000_000.0;

/// Why a change was not taken on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChangeRefusal {
    /// It can never be held.
    TooLarge {
        /// The largest change that can.
        max_bytes: u64,
    },
    /// Others are being processed.
    Busy {
        /// When its sender may come back.
        retry_after_ms: u64,
    },
}

/// The changes that are being processed or wait for their turn.
#[derive(Debug)]
pub struct ChangeBudget {
    /// The largest change.
    change_max_bytes: u64,
    /// The most bytes of all changes together.
    max_bytes: u64,
    held_bytes: u64,
    ms_per_mb: f64,
    /// When the latest change ended, or the first one began after a pause.
    measured_from_ms: u64,
    /// When the sender that was refused last may come back.
    returns_at_ms: u64,
}

impl ChangeBudget {
    /// Creates a budget for changes of `max_bytes` together, each of at most `change_max_bytes`.
    pub fn new(change_max_bytes: u64, max_bytes: u64) -> Self {
        Self {
            change_max_bytes,
            max_bytes,
            held_bytes: 0,
            ms_per_mb: FIRST_MS_PER_MB,
            measured_from_ms: 0,
            returns_at_ms: 0,
        }
    }

    /// The bytes of all changes that were taken on and have not ended.
    pub fn held_bytes(&self) -> u64 {
        self.held_bytes
    }

    /// Returns whether a change of `size_bytes` would be taken on now, for one that has yet to arrive.
    ///
    /// # Errors
    /// It is too large, or there are too many others.
    pub fn check(&mut self, now_ms: u64, size_bytes: u64) -> Result<(), ChangeRefusal> {
        if size_bytes > self.change_max_bytes {
            return Err(ChangeRefusal::TooLarge { max_bytes: self.change_max_bytes });
        }
        let wait_ms = self.expected_ms(self.held_bytes);
        let has_room = self.held_bytes + size_bytes <= self.max_bytes && wait_ms <= WAIT_MAX_MS;
        if self.held_bytes > 0 && !has_room {
            return Err(ChangeRefusal::Busy {
                retry_after_ms: self.retry_after_ms(now_ms, size_bytes),
            });
        }
        Ok(())
    }

    /// Takes a change of `size_bytes` on.
    ///
    /// # Errors
    /// It is too large, or there are too many others.
    pub fn admit(&mut self, now_ms: u64, size_bytes: u64) -> Result<(), ChangeRefusal> {
        self.check(now_ms, size_bytes)?;
        if self.held_bytes == 0 {
            self.measured_from_ms = now_ms;
        }
        self.held_bytes += size_bytes;
        Ok(())
    }

    /// Records that a change of `size_bytes` was applied or given up.
    pub fn end(&mut self, now_ms: u64, size_bytes: u64) {
        self.held_bytes = self.held_bytes.saturating_sub(size_bytes);
        let took_ms = now_ms.saturating_sub(self.measured_from_ms) as f64;
        self.measured_from_ms = now_ms;
        let ms_per_mb = took_ms * BYTES_PER_MB / size_bytes.max(1) as f64;
        self.ms_per_mb += (ms_per_mb - self.ms_per_mb) * LATEST_WEIGHT;
    }

    fn expected_ms(&self, size_bytes: u64) -> f64 {
        size_bytes as f64 / BYTES_PER_MB * self.ms_per_mb
    }

    /// The time until what is held is done, and those that were refused before have come back.
    fn retry_after_ms(&mut self, now_ms: u64, size_bytes: u64) -> u64 {
        let done_at_ms = now_ms + self.expected_ms(self.held_bytes) as u64;
        let after_others_ms = self.returns_at_ms + self.expected_ms(size_bytes) as u64;
        let earliest_ms = done_at_ms.max(after_others_ms);
        self.returns_at_ms = earliest_ms.clamp(now_ms + RETRY_MIN_MS, now_ms + RETRY_MAX_MS);
        self.returns_at_ms - now_ms
    }
}
