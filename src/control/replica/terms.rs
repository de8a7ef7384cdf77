//! When the leaders' terms began, as far as this replica has followed the log.

/// The first entries of terms, by when this replica applied them.
///
/// A replica that lags or has just started applies them late, so that a term never seems older than it is.
#[derive(Debug, Default)]
pub(super) struct Terms {
    /// The term of the last applied entry.
    applied: u64,
    /// Terms that were applied and whose time has not been noted.
    fresh: u32,
    began_at_ms: Option<u64>,
    earlier_began_at_ms: Option<u64>,
}

impl Terms {
    /// Notes that an entry of `term` was applied.
    pub(super) fn applied(&mut self, term: u64) {
        if term > self.applied {
            self.applied = term;
            self.fresh += 1;
        }
    }

    /// Notes when the terms began whose entries were applied since the last call.
    pub(super) fn note(&mut self, now_ms: u64) {
        for _ in 0..std::mem::take(&mut self.fresh) {
            self.earlier_began_at_ms = self.began_at_ms.replace(now_ms);
        }
    }

    /// How long ago the term before the present one began; none if this replica has not seen it begin.
    pub(super) fn earlier_began_ago_ms(&self, now_ms: u64) -> Option<u64> {
        Some(now_ms.saturating_sub(self.earlier_began_at_ms?))
    }
}
