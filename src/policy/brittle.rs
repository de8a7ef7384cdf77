//! Endpoints that end when they have to reject too many requests in a second.
//!
//! An endpoint names how many rejections a second it bears from all gateways together. Each gateway
//! leaves it alone after a rejection for so long that all of them together stay below that number,
//! even if every request were rejected.

/// How long an endpoint counts as brittle after the last response that said so.
const EXPIRY_MS: u64 = 10_000;
/// The share of the rejections that gateways use, as a divisor: their number is not exact.
const SAFETY: f64 = 3.0;
/// The longest pause: with many gateways and a low number, the endpoint would hardly be used.
const PAUSE_MAX_MS: f64 = 30_000.0;
/// The lowest number of rejections a second that is used: at 0, one rejection would end all use.
const REJECTIONS_MIN_PER_S: f64 = 0.5;
/// The range of the random factor of a pause, so that gateways do not return at the same time.
const JITTER_MIN: f64 = 0.6;
const JITTER_MAX: f64 = 2.0;

/// What one gateway knows of an endpoint's tolerance for rejections.
#[derive(Debug, Clone, Copy, Default)]
pub struct Brittleness {
    /// The rejections a second that the endpoint bears; `None` if it has named no number.
    rejections_per_s: Option<f64>,
    named_at_ms: u64,
}

impl Brittleness {
    /// Applies a response to a request that was sent at `sent_at_ms`; returns true if the endpoint
    /// has become brittle, or is no longer.
    pub fn note(&mut self, now_ms: u64, sent_at_ms: u64, rejections_per_s: Option<f64>) -> bool {
        let was_brittle = self.is_brittle(now_ms);
        match rejections_per_s {
            Some(per_s) => {
                self.rejections_per_s = Some(per_s.max(REJECTIONS_MIN_PER_S));
                self.named_at_ms = now_ms;
            }
            // A response may have been overtaken by a later one.
            None if sent_at_ms >= self.named_at_ms => self.rejections_per_s = None,
            None => {}
        }
        was_brittle != self.is_brittle(now_ms)
    }

    /// True while the endpoint counts as brittle.
    pub fn is_brittle(&self, now_ms: u64) -> bool {
        self.rejections_per_s.is_some() && now_ms < self.named_at_ms + EXPIRY_MS
    }

    /// How long one of `gateways` leaves the endpoint alone after a rejection; `None` if it is not
    /// brittle. `draw` is random, from 0 to 1.
    pub fn pause_ms(&self, now_ms: u64, gateways: usize, draw: f64) -> Option<u64> {
        let per_s = self.rejections_per_s.filter(|_| self.is_brittle(now_ms))?;
        let pause_ms = (SAFETY * 1_000.0 * gateways.max(1) as f64 / per_s).min(PAUSE_MAX_MS);
        Some((pause_ms * (JITTER_MIN + draw * (JITTER_MAX - JITTER_MIN))) as u64)
    }
}
