//! A retry budget that bounds the retries of all gateways together, even when gateway processes
//! restart.
//!
//! Nobody counts the retries of all gateways, and a process loses its own count when it ends, while
//! the window in which the retries count continues. So no allowance is granted in advance: each
//! process starts with no tokens and earns them from the requests that it reads.
//!
//! The retries in any window come from two sources. The first is the tokens that processes had
//! saved when the window began, at most the cap of each. Together the caps are [`SLACK_SHARE`] of
//! the slack, divided as in `gateway_count`, plus [`SAVED_SHARE`] of the ratio times the requests
//! of the previous window. The second is the tokens earned within the window: [`EARNED_SHARE`] of
//! the ratio times its requests. A starting process adds no tokens and an ending one only removes
//! some, so the bound holds for any number of restarts. Both shares of the ratio sum to 0.95. The
//! remaining twentieth of the ratio and fifth of the slack cover requests that are read later than
//! they were sent.

use std::collections::VecDeque;

/// The share of the ratio that each request earns. A smaller share fails more requests while
/// endpoints refuse for long; a larger one leaves too little to save up.
const EARNED_SHARE: f64 = 0.75;
/// The share of the ratio, per request of a window, that may be saved up. At most [`EARNED_SHARE`],
/// since the cap is applied only when a retry is requested.
const SAVED_SHARE: f64 = 0.2;
/// The share of the common slack that all gateways together may use.
const SLACK_SHARE: f64 = 0.8;
/// The number of tokens that only requests that may still be answered in time can take.
const LAST_TOKENS: f64 = 2.0;

/// One gateway's retry budget for one service: a token bucket that requests fill.
///
/// The cap bounds the saved tokens. The slack, which is divided by the number of gateways, only
/// raises the cap.
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
    /// Allows `ratio` retries per request plus `slack` in any `window_ms`, over all gateways.
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

    /// Counts a request and earns its share of a retry.
    pub fn note_request(&mut self, now_ms: u64) {
        self.tokens += self.ratio * EARNED_SHARE;
        self.requests.push_back(now_ms);
        self.forget_old(now_ms);
    }

    /// Takes one retry token; returns false if none is left while `gateways` share the slack.
    pub fn take(&mut self, now_ms: u64, gateways: u32) -> bool {
        self.take_above(now_ms, gateways, 0.0)
    }

    /// Takes one retry token for a request that can only be answered late.
    ///
    /// Returns false if only the last tokens are left, unless the bucket is full: with many
    /// gateways the cap is hardly above `LAST_TOKENS`, and a full bucket gains nothing by waiting.
    pub fn take_late(&mut self, now_ms: u64, gateways: u32) -> bool {
        self.take_above(now_ms, gateways, LAST_TOKENS)
    }

    /// True if [`take_late`](Self::take_late) would take a token.
    pub fn allows_late(&mut self, now_ms: u64, gateways: u32) -> bool {
        self.allows_above(now_ms, gateways, LAST_TOKENS)
    }

    fn take_above(&mut self, now_ms: u64, gateways: u32, reserved: f64) -> bool {
        let is_allowed = self.allows_above(now_ms, gateways, reserved);
        if is_allowed {
            self.tokens -= 1.0;
            self.retries.push_back(now_ms);
        }
        is_allowed
    }

    fn allows_above(&mut self, now_ms: u64, gateways: u32, reserved: f64) -> bool {
        self.forget_old(now_ms);
        let slack = self.slack * SLACK_SHARE / f64::from(gateways.max(1));
        self.cap = slack + self.requests.len() as f64 * self.ratio * SAVED_SHARE;
        self.tokens = self.tokens.min(self.cap);
        self.tokens >= (1.0 + reserved).min(self.cap).max(1.0)
    }

    /// The counts of the window and the tokens left, as of the last call.
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

/// One gateway's counts for the current window, and its remaining tokens.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WindowUse {
    /// Requests that were read.
    pub requests: usize,
    /// Retries: sends after the first one of a request.
    pub retries: usize,
    /// Retry tokens left.
    pub tokens: f64,
    /// The maximum number of tokens when a retry was last requested.
    pub cap: f64,
}

fn forget_before(times_ms: &mut VecDeque<u64>, from_ms: u64) {
    while times_ms.front().is_some_and(|at_ms| *at_ms < from_ms) {
        times_ms.pop_front();
    }
}
