//! The maximum of a changing value over a sliding window.

use std::collections::VecDeque;

/// A value and the larger ones that it replaced within the window.
#[derive(Debug, Clone)]
pub struct RecentMax {
    window_ms: u64,
    current: Option<u32>,
    /// Larger previous values, largest first, with the time at which each was replaced.
    replaced: VecDeque<(u64, u32)>,
}

impl RecentMax {
    /// A maximum over the last `window_ms`, without a value yet.
    pub fn new(window_ms: u64) -> Self {
        Self { window_ms, current: None, replaced: VecDeque::new() }
    }

    /// Sets the value as of `now_ms`.
    pub fn set(&mut self, now_ms: u64, value: u32) {
        if let Some(previous) = self.current.replace(value) {
            self.replaced.push_back((now_ms, previous));
        }
        while self.replaced.back().is_some_and(|(_, previous)| *previous <= value) {
            self.replaced.pop_back();
        }
    }

    /// The largest value within the window; `None` until one is set.
    pub fn get(&mut self, now_ms: u64) -> Option<u32> {
        let from_ms = now_ms.saturating_sub(self.window_ms);
        while self.replaced.front().is_some_and(|(until_ms, _)| *until_ms < from_ms) {
            self.replaced.pop_front();
        }
        let current = self.current?;
        Some(self.replaced.front().map_or(current, |(_, previous)| *previous))
    }
}
