//! A gateway's backoff from an endpoint that asked for it when it refused a request.
//!
//! After the backoff, single requests probe the endpoint until it accepts one.

/// The maximum backoff: a longer one would disable the endpoint for too long.
const BACKOFF_MAX_MS: u64 = 600_000;
/// The interval between probes. Without it, all waiting requests would be sent when the backoff
/// ends, and an endpoint that is still overloaded would refuse them all.
const PROBE_INTERVAL_MS: u64 = 500;

/// One gateway's backoff from one endpoint.
#[derive(Debug, Clone, Copy, Default)]
pub struct EndpointBackoff {
    /// The end of the backoff; kept until the endpoint accepts a probe.
    until_ms: Option<u64>,
    next_probe_ms: u64,
}

impl EndpointBackoff {
    /// Starts a backoff of `backoff_ms` or extends the current one; returns true if it was started.
    pub fn start(&mut self, now_ms: u64, backoff_ms: u64) -> bool {
        let until_ms = now_ms + backoff_ms.min(BACKOFF_MAX_MS);
        let starts = self.until_ms.is_none();
        self.until_ms = Some(self.until_ms.map_or(until_ms, |before_ms| before_ms.max(until_ms)));
        starts
    }

    /// The time until the next request may be sent; 0 if it may be sent now.
    pub fn wait_ms(&self, now_ms: u64) -> u64 {
        let Some(until_ms) = self.until_ms else { return 0 };
        until_ms.max(self.next_probe_ms).saturating_sub(now_ms)
    }

    /// Records that a request is sent; after the backoff, it is a probe.
    pub fn note_sent(&mut self, now_ms: u64) {
        if self.until_ms.is_some() {
            self.next_probe_ms = now_ms + PROBE_INTERVAL_MS;
        }
    }

    /// Records that the endpoint accepted a request; returns true if that ends the backoff.
    pub fn note_accepted(&mut self, now_ms: u64) -> bool {
        // A response received during the backoff belongs to a request sent before it.
        if self.until_ms.is_none_or(|until_ms| now_ms < until_ms) {
            return false;
        }
        *self = Self::default();
        true
    }
}
