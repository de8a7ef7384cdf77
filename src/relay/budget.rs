//! Sends beyond the first of each request, bounded for all gateways together.

use std::collections::VecDeque;

/// The share of the allowed ratio that is used; the rest covers requests that arrive late.
const RATIO_SHARE: f64 = 0.8;
/// The share of the common slack that all gateways together use.
const SLACK_SHARE: f64 = 0.8;

/// The retries of one gateway towards one service.
///
/// The ratio counts against this gateway's own requests, so the sum over gateways keeps it; the
/// slack is divided by the number of gateways.
#[derive(Debug)]
pub struct RetryBudget {
    ratio: f64,
    slack: f64,
    window_ms: u64,
    requests: VecDeque<u64>,
    retries: VecDeque<u64>,
}

impl RetryBudget {
    /// Allows `ratio` retries a request and `slack` more over any `window_ms`, over all gateways.
    pub fn new(ratio: f64, slack: f64, window_ms: u64) -> Self {
        Self { ratio, slack, window_ms, requests: VecDeque::new(), retries: VecDeque::new() }
    }

    /// Counts a request.
    pub fn note_request(&mut self, now_ms: u64) {
        self.requests.push_back(now_ms);
        forget_before(&mut self.requests, now_ms.saturating_sub(self.window_ms));
    }

    /// Takes one retry; false when none is allowed while `gateways` share the slack.
    pub fn take(&mut self, now_ms: u64, gateways: u32) -> bool {
        let from_ms = now_ms.saturating_sub(self.window_ms);
        forget_before(&mut self.requests, from_ms);
        forget_before(&mut self.retries, from_ms);
        let own = self.requests.len() as f64 * self.ratio * RATIO_SHARE;
        let slack = self.slack * SLACK_SHARE / f64::from(gateways.max(1));
        if (self.retries.len() + 1) as f64 > own + slack {
            return false;
        }
        self.retries.push_back(now_ms);
        true
    }

    /// What was counted in the window, as of the last call.
    pub fn in_window(&self) -> WindowUse {
        WindowUse { requests: self.requests.len(), retries: self.retries.len() }
    }
}

/// What one gateway did in the window that ends now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WindowUse {
    /// Requests that it read.
    pub requests: usize,
    /// Sends beyond the first of each.
    pub retries: usize,
}

fn forget_before(times_ms: &mut VecDeque<u64>, from_ms: u64) {
    while times_ms.front().is_some_and(|at_ms| *at_ms < from_ms) {
        times_ms.pop_front();
    }
}
