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

use std::collections::VecDeque;

/// Stands for so many gateways that a share is nothing.
pub const NO_SHARE: u32 = u32::MAX;

/// The numbers of gateways that were told lately.
#[derive(Debug)]
pub struct GatewayCount {
    window_ms: u64,
    told: Option<u32>,
    /// Larger numbers that were told before, the largest first, and when each was replaced.
    earlier: VecDeque<(u64, u32)>,
    /// When the first and the latest renewal were sent that the leader confirmed, without a window
    /// between two of them in which it confirmed none.
    in_touch_ms: Option<(u64, u64)>,
}

impl GatewayCount {
    /// No number was told; those of the last `window_ms` will count.
    pub fn new(window_ms: u64) -> Self {
        Self { window_ms, told: None, earlier: VecDeque::new(), in_touch_ms: None }
    }

    /// Takes in the number of gateways that are connected now.
    pub fn told(&mut self, now_ms: u64, gateways: u32) {
        if let Some(before) = self.told.replace(gateways) {
            self.earlier.push_back((now_ms, before));
        }
        while self.earlier.back().is_some_and(|(_, before)| *before <= gateways) {
            self.earlier.pop_back();
        }
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
        let from_ms = now_ms.saturating_sub(self.window_ms);
        while self.earlier.front().is_some_and(|(until_ms, _)| *until_ms < from_ms) {
            self.earlier.pop_front();
        }
        let told = self.told?;
        let (first_ms, latest_ms) = self.in_touch_ms.unwrap_or((now_ms, now_ms));
        if first_ms + self.window_ms > now_ms || latest_ms < from_ms {
            return Some(NO_SHARE);
        }
        Some(self.earlier.front().map_or(told, |(_, before)| *before))
    }
}
