//! Decides when a connection between two processes is checked, and when it is given up.
//!
//! A connection may stop passing data on without being reset, so that neither side is informed.

use crate::policy::running_time::RunningTimer;

/// How often a connection is observed.
pub const OBSERVE_INTERVAL_MS: u64 = 200;
/// How long a connection that is in use may bring nothing before the other side is asked for a sign
/// of life. Sessions are renewed more often, so their connections need no pings.
const PING_AFTER_MS: u64 = 400;
/// How long a connection may bring nothing before it is doubted and gets no further streams: a ping
/// should have been answered by then, and a connection without streams is not pinged.
const DOUBTED_AFTER_MS: u64 = 600;
/// How long a connection that is in use may bring nothing before it is closed: longer than a busy or
/// paused process may stall without losing what is under way, and well below the time within which
/// service has to be restored. Until then, doubted connections get no further streams.
pub const SILENT_MAX_MS: u64 = 5_000;
/// How long a connection without streams is kept open for further ones.
pub const UNUSED_MAX_MS: u64 = 10_000;
/// The longest time between two observations that counts: after a stall of this process, what the
/// other side has sent may still wait to be read.
const STEP_MAX_MS: u64 = 2 * OBSERVE_INTERVAL_MS;

/// What to do about a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SilenceAction {
    /// Nothing.
    Wait,
    /// Ask the other side for a sign of life.
    Ping,
    /// Close the connection, which has been silent for this long despite a ping.
    CloseSilent {
        /// The time since the last data, without stalls of this process.
        silent_ms: u64,
    },
    /// Close the connection, which has had no streams for long.
    CloseUnused,
}

/// Observes one connection.
#[derive(Debug)]
pub struct SilenceObserver {
    /// The number of bytes received up to the last observation.
    received_bytes: u64,
    silence: RunningTimer,
    is_doubted: bool,
    /// Runs while the connection has no streams.
    unused: Option<RunningTimer>,
}

impl SilenceObserver {
    /// Observes a connection that is made at `now_ms`.
    pub fn new(now_ms: u64) -> Self {
        Self {
            received_bytes: 0,
            silence: RunningTimer::new(now_ms, STEP_MAX_MS),
            is_doubted: false,
            unused: None,
        }
    }

    /// Returns what to do, given the bytes received so far and whether any stream is open.
    ///
    /// Any data is a sign of life, not only the answer to a ping: on a congested link that answer may
    /// wait behind megabytes of other data.
    pub fn observe(&mut self, now_ms: u64, received_bytes: u64, is_in_use: bool) -> SilenceAction {
        if !is_in_use {
            return self.observe_unused(now_ms, received_bytes);
        }
        if self.received_bytes != received_bytes || self.unused.take().is_some() {
            self.received_bytes = received_bytes;
            self.silence = RunningTimer::new(now_ms, STEP_MAX_MS);
            self.is_doubted = false;
            return SilenceAction::Wait;
        }
        let silent_ms = self.silence.observe(now_ms);
        // While the other side has not answered at all, another connection would not be better.
        self.is_doubted = self.received_bytes > 0 && silent_ms >= DOUBTED_AFTER_MS;
        if silent_ms >= SILENT_MAX_MS {
            return SilenceAction::CloseSilent { silent_ms };
        }
        if silent_ms >= PING_AFTER_MS {
            return SilenceAction::Ping;
        }
        SilenceAction::Wait
    }

    /// Streams that begin and end between two observations are seen by what they bring.
    fn observe_unused(&mut self, now_ms: u64, received_bytes: u64) -> SilenceAction {
        if self.received_bytes != received_bytes {
            self.received_bytes = received_bytes;
            self.unused = None;
        }
        let unused = self.unused.get_or_insert_with(|| RunningTimer::new(now_ms, STEP_MAX_MS));
        let unused_ms = unused.observe(now_ms);
        self.is_doubted = unused_ms >= DOUBTED_AFTER_MS;
        if unused_ms >= UNUSED_MAX_MS {
            return SilenceAction::CloseUnused;
        }
        SilenceAction::Wait
    }

    /// True if further streams should use another connection, as of the last observation.
    pub fn is_doubted(&self) -> bool {
        self.is_doubted
    }
}
