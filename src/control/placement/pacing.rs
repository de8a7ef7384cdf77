//! When placement passes run.
//!
//! Every message of a gateway that asks for weights, and every outcome of an order, makes a pass worth
//! running. Passes leave most of the leader's time to its other messages, even where the processor is
//! slow and a pass takes long: renewals that wait behind passes end sessions, and gateways that open
//! new ones ask for weights again.

/// The minimum time between the beginnings of two passes.
const INTERVAL_MIN_MS: u64 = 5;
/// The number of endpoints for which passes have to be 1 ms apart: a pass scans all endpoints.
const ENDPOINTS_PER_MS: u64 = 75;
/// The pause after a pass, as a multiple of its duration: passes take a quarter of the time at most.
const PAUSE_TIMES: u64 = 3;
/// The longest pause after a single long pass, which may have been held up by something else.
const PAUSE_MAX_MS: u64 = 100;
/// The longest pause after two long passes in a row: that is what a pass costs now.
const PAUSE_AFTER_TWO_MAX_MS: u64 = 1_000;

/// Decides when the next pass may begin.
#[derive(Debug, Default)]
pub struct PassPacing {
    began_at_ms: u64,
    /// True from the beginning of a pass until its end is known.
    is_running: bool,
    /// The duration of the last pass.
    last_took_ms: u64,
    /// No pass begins before this time.
    paused_until_ms: u64,
}

impl PassPacing {
    /// Begins a pass over so many endpoints if one is due; returns false otherwise.
    pub fn begin(&mut self, now_ms: u64, endpoints: usize) -> bool {
        let interval_ms = INTERVAL_MIN_MS.max(endpoints as u64 / ENDPOINTS_PER_MS);
        if now_ms < (self.began_at_ms + interval_ms).max(self.paused_until_ms) {
            return false;
        }
        self.began_at_ms = now_ms;
        self.is_running = true;
        true
    }

    /// Records that whatever began before has ended; returns the duration of a pass if one did.
    pub fn end(&mut self, now_ms: u64) -> Option<u64> {
        if !std::mem::take(&mut self.is_running) {
            return None;
        }
        let took_ms = now_ms.saturating_sub(self.began_at_ms);
        let after_one_ms = (took_ms * PAUSE_TIMES).min(PAUSE_MAX_MS);
        let both_took_ms = took_ms.min(std::mem::replace(&mut self.last_took_ms, took_ms));
        let after_two_ms = (both_took_ms * PAUSE_TIMES).min(PAUSE_AFTER_TWO_MAX_MS);
        self.paused_until_ms = now_ms + after_one_ms.max(after_two_ms);
        Some(took_ms)
    }
}
