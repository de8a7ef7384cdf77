//! Start times of leader terms as this replica observed them while applying the log.

/// Times at which this replica applied the first entries of the latest two terms.
///
/// A replica that lags or has just started applies them late, so a term is never taken for older
/// than it is.
#[derive(Debug, Default)]
pub(super) struct Terms {
    /// The term of the last applied entry.
    applied: u64,
    /// Number of terms whose first entry was applied since start times were last recorded.
    unrecorded_starts: u32,
    started_at_ms: Option<u64>,
    previous_started_at_ms: Option<u64>,
}

impl Terms {
    /// Records that an entry of `term` was applied.
    pub(super) fn applied(&mut self, term: u64) {
        if term > self.applied {
            self.applied = term;
            self.unrecorded_starts += 1;
        }
    }

    /// Records `now_ms` as the start time of terms whose first entry was applied since the last
    /// call.
    pub(super) fn record_starts(&mut self, now_ms: u64) {
        for _ in 0..std::mem::take(&mut self.unrecorded_starts) {
            self.previous_started_at_ms = self.started_at_ms.replace(now_ms);
        }
    }

    /// How long ago the previous term began, or `None` if this replica did not see it begin.
    pub(super) fn previous_term_age_ms(&self, now_ms: u64) -> Option<u64> {
        Some(now_ms.saturating_sub(self.previous_started_at_ms?))
    }
}
