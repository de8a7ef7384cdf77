//! Sends beyond the first of each request, bounded for all gateways together, whatever becomes of
//! their processes.
//!
//! Nobody counts the retries of all gateways, and what a process has used is forgotten when it ends,
//! while the window in which it counts goes on. So nothing is granted in advance: each process
//! saves tokens up from the requests that it reads and starts with none.
//!
//! In any window retries come out of two sources. What processes had saved when it began is at most
//! the cap of each: together [`SLACK_SHARE`] of the slack, as `gateway_count` shares it out, and
//! [`SAVED_SHARE`] of the ratio times the requests of the window before. All else was earned within it:
//! [`EARNED_SHARE`] of the ratio times its requests. A process that starts brings nothing and one that
//! ends only takes away, so the sum holds for any number of lives. Both shares of the ratio make 0.95: a
//! twentieth of the ratio and a fifth of the slack are left for requests that are read later than
//! they were sent.

use std::collections::VecDeque;

/// The share of the ratio that each request earns: less costs requests while endpoints refuse
/// for long, and more leaves too little to save up.
const EARNED_SHARE: f64 = 0.75;
/// The share of the ratio that may be saved up, for the requests of a window. Not above
/// [`EARNED_SHARE`], since the cap is looked at only when a retry is asked for.
const SAVED_SHARE: f64 = 0.2;
/// The share of the common slack that all gateways together use.
const SLACK_SHARE: f64 = 0.8;

/// The retries of one gateway towards one service.
///
/// Requests earn them and the cap bounds what is saved up. The common slack only widens the cap, and is
/// divided by the number of gateways.
#[derive(Debug)]
pub struct RetryBudget {
    ratio: f64,
    slack: f64,
    window_ms: u64,
    tokens: f64,
    cap: f64,
    requests: VecDeque<u64>,
    retries: VecDeque<u64>,
}

impl RetryBudget {
    /// Allows `ratio` retries a request and `slack` more over any `window_ms`, over all gateways.
    pub fn new(ratio: f64, slack: f64, window_ms: u64) -> Self {
        Self {
            ratio,
            slack,
            window_ms,
            tokens: 0.0,
            cap: 0.0,
            requests: VecDeque::new(),
            retries: VecDeque::new(),
        }
    }

    /// Counts a request.
    pub fn note_request(&mut self, now_ms: u64) {
        self.tokens += self.ratio * EARNED_SHARE;
        self.requests.push_back(now_ms);
        self.forget_old(now_ms);
    }

    /// Takes one retry; false when none is allowed while `gateways` share the slack.
    pub fn take(&mut self, now_ms: u64, gateways: u32) -> bool {
        self.forget_old(now_ms);
        let slack = self.slack * SLACK_SHARE / f64::from(gateways.max(1));
        self.cap = slack + self.requests.len() as f64 * self.ratio * SAVED_SHARE;
        self.tokens = self.tokens.min(self.cap);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        self.retries.push_back(now_ms);
        true
    }

    /// What was counted in the window and what is left, as of the last call.
    pub fn in_window(&self) -> WindowUse {
        WindowUse {
            requests: self.requests.len(),
            retries: self.retries.len(),
            tokens: self.tokens,
            cap: self.cap,
        }
    }

    fn forget_old(&mut self, now_ms: u64) {
        let from_ms = now_ms.saturating_sub(self.window_ms);
        forget_before(&mut self.requests, from_ms);
        forget_before(&mut self.retries, from_ms);
    }
}

/// What one gateway did in the window that ends now, and what it may still do.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WindowUse {
    /// Requests that it read.
    pub requests: usize,
    /// Sends beyond the first of each.
    pub retries: usize,
    /// Retries that are left.
    pub tokens: f64,
    /// The most that could be saved up when one was last asked for.
    pub cap: f64,
}

fn forget_before(times_ms: &mut VecDeque<u64>, from_ms: u64) {
    while times_ms.front().is_some_and(|at_ms| *at_ms < from_ms) {
        times_ms.pop_front();
    }
}
