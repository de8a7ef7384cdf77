//! How many gateways share what is allowed to all of them.
//!
//! A gateway that is cut off or frozen keeps what it has saved up, so the others must not divide by
//! fewer at once: the largest number of the last window counts. Whoever was not in touch through
//! all of that window takes no share: a process that has just started does not know who else still
//! has one, and a gateway that was cut off for as long must expect that the others now divide by fewer.
//!
//! Gateways that are cut off in turn, and so never counted together, divide by fewer than there are; the
//! fifth of the slack that the budget leaves unused is for that too.
//!
//! A new leader learns of gateways one by one and may tell a few of them only; the number told before
//! outlasts that. A gateway that moves between servers may be counted twice for a moment, which
//! only makes shares smaller.

use crate::policy::recent_max::RecentMax;

/// Stands for so many gateways that a share is nothing.
pub const NO_SHARE: u32 = u32::MAX;

/// The numbers of gateways that were told lately.
#[derive(Debug)]
pub struct GatewayCount {
    window_ms: u64,
    told: RecentMax,
    /// When the first and the latest renewal were sent that the leader confirmed, without a window
    /// between two of them in which it confirmed none.
    in_touch_ms: Option<(u64, u64)>,
}

impl GatewayCount {
    /// No number was told; those of the last `window_ms` will count.
    pub fn new(window_ms: u64) -> Self {
        Self { window_ms, told: RecentMax::new(window_ms), in_touch_ms: None }
    }

    /// Takes in the number of gateways that are connected now.
    pub fn told(&mut self, now_ms: u64, gateways: u32) {
        self.told.set(now_ms, gateways);
    }

    /// Takes in that the leader counted this gateway at `sent_at_ms` or later.
    pub fn confirmed(&mut self, sent_at_ms: u64) {
        let (first_ms, latest_ms) = self.in_touch_ms.unwrap_or((sent_at_ms, sent_at_ms));
        let is_back = latest_ms + self.window_ms < sent_at_ms;
        let first_ms = if is_back { sent_at_ms } else { first_ms };
        self.in_touch_ms = Some((first_ms, latest_ms.max(sent_at_ms)));
    }

    /// The largest number of the last window; [`NO_SHARE`] unless this gateway was in touch through
    /// all of it; nothing until a number is told.
    pub fn most(&mut self, now_ms: u64) -> Option<u32> {
        let most = self.largest(now_ms)?;
        Some(if self.is_in_touch(now_ms) { most } else { NO_SHARE })
    }

    /// The largest number of the last window, even if this gateway was out of touch; `None` until a
    /// number is told.
    pub fn largest(&mut self, now_ms: u64) -> Option<u32> {
        self.told.get(now_ms)
    }

    /// True when this gateway was in touch through all of the last window.
    pub fn is_in_touch(&self, now_ms: u64) -> bool {
        let from_ms = now_ms.saturating_sub(self.window_ms);
        let (first_ms, latest_ms) = self.in_touch_ms.unwrap_or((now_ms, now_ms));
        first_ms + self.window_ms <= now_ms && latest_ms >= from_ms
    }
}
