//! Counts the gateways that share a common allowance, such as the slack of the retry budget.
//!
//! A gateway that is disconnected or frozen keeps the tokens that it has saved up, so the others
//! must not divide by a smaller number at once: the largest number reported in the last window
//! counts. A gateway that was disconnected from the leader at any time in that window takes no
//! share. If it has just started, it does not know which other gateways still hold one; if it was
//! disconnected for a whole window, the others may now divide by a smaller number.
//!
//! Gateways that are disconnected in turn are never counted together, so they divide by too small a
//! number; the fifth of the slack that the retry budget leaves unused also covers that.
//!
//! A new leader learns of the gateways one by one and may report only a few of them at first; the
//! numbers reported before remain in the window. A gateway that moves between distributors may be
//! counted twice for a moment, which only makes the shares smaller.

use crate::policy::recent_max::RecentMax;

/// A number of gateways so large that a share is practically zero.
pub const NO_SHARE: u32 = u32::MAX;

/// The numbers of gateways that the leader reported recently.
#[derive(Debug)]
pub struct GatewayCount {
    window_ms: u64,
    reported: RecentMax,
    /// The send times of the first and the latest confirmed renewal, since the last gap of more
    /// than a window without a confirmation.
    in_touch_ms: Option<(u64, u64)>,
}

impl GatewayCount {
    /// Creates a count without reports, for the given window.
    pub fn new(window_ms: u64) -> Self {
        Self { window_ms, reported: RecentMax::new(window_ms), in_touch_ms: None }
    }

    /// Records the number of connected gateways that the leader reported.
    pub fn set_reported(&mut self, now_ms: u64, gateways: u32) {
        self.reported.set(now_ms, gateways);
    }

    /// Records that the leader confirmed a renewal sent at `sent_at_ms`, and so counted this
    /// gateway then or later.
    pub fn note_confirmed(&mut self, sent_at_ms: u64) {
        let (first_ms, latest_ms) = self.in_touch_ms.unwrap_or((sent_at_ms, sent_at_ms));
        let is_back = latest_ms + self.window_ms < sent_at_ms;
        let first_ms = if is_back { sent_at_ms } else { first_ms };
        self.in_touch_ms = Some((first_ms, latest_ms.max(sent_at_ms)));
    }

    /// The number of gateways to divide by: the largest of the last window, or [`NO_SHARE`] unless
    /// this gateway was in touch with the leader throughout the window. `None` until a number was
    /// reported.
    pub fn divisor(&mut self, now_ms: u64) -> Option<u32> {
        let most = self.largest(now_ms)?;
        Some(if self.is_in_touch(now_ms) { most } else { NO_SHARE })
    }

    /// The largest number of the last window, even if this gateway was disconnected; `None` until a
    /// number was reported.
    pub fn largest(&mut self, now_ms: u64) -> Option<u32> {
        self.reported.get(now_ms)
    }

    /// True if this gateway was in touch with the leader throughout the last window.
    pub fn is_in_touch(&self, now_ms: u64) -> bool {
        let from_ms = now_ms.saturating_sub(self.window_ms);
        let (first_ms, latest_ms) = self.in_touch_ms.unwrap_or((now_ms, now_ms));
        first_ms + self.window_ms <= now_ms && latest_ms >= from_ms
    }
}
