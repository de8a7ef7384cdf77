//! The standing rate of a holder: a lease on a part of a quota's rate.

/// A lease on a part of a quota's rate, which refills units without the leader until it expires.
#[derive(Debug, Default)]
pub(super) struct StandingRate {
    rate_per_s: u32,
    /// The units up to which the rate refills, not counting units that requests wait for.
    refill_max: u64,
    valid_until_ms: u64,
    refilled_at_ms: u64,
    /// The fraction of a unit that was not refilled yet, in thousandths.
    remainder: u64,
}

impl StandingRate {
    /// Replaces the rate. The units of the earlier one must have been taken with
    /// [`refill`](Self::refill).
    pub(super) fn set(
        &mut self,
        now_ms: u64,
        rate_per_s: u32,
        refill_max: u64,
        valid_until_ms: u64,
    ) {
        *self =
            Self { rate_per_s, refill_max, valid_until_ms, refilled_at_ms: now_ms, remainder: 0 };
    }

    /// Returns the units since the last refill, for a holder that has `held` units while requests
    /// wait for `waiting` units.
    pub(super) fn refill(&mut self, now_ms: u64, held: u64, waiting: u64) -> u64 {
        let until_ms = now_ms.min(self.valid_until_ms);
        let passed_ms = until_ms.saturating_sub(self.refilled_at_ms);
        self.refilled_at_ms = self.refilled_at_ms.max(until_ms);
        let thousandths = passed_ms * u64::from(self.rate_per_s) + self.remainder;
        self.remainder = thousandths % 1_000;
        (thousandths / 1_000).min(self.limit(waiting).saturating_sub(held))
    }

    /// The units that the holder may have while requests wait for `waiting` units.
    pub(super) fn limit(&self, waiting: u64) -> u64 {
        self.refill_max + waiting
    }

    /// The rate in force; 0 once it has expired.
    pub(super) fn rate_per_s(&self, now_ms: u64) -> u32 {
        if now_ms < self.valid_until_ms { self.rate_per_s } else { 0 }
    }

    /// The units up to which the rate in force refills; 0 once it has expired.
    pub(super) fn refill_max(&self, now_ms: u64) -> u64 {
        if self.rate_per_s(now_ms) == 0 { 0 } else { self.refill_max }
    }
}
