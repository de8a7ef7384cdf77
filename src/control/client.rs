//! Client for calls to the control leader.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use tracing::debug;

use crate::clock::Clock;
use crate::error::{Error, Result};
use crate::message::{ControlReply, ControlRequest};
use crate::wire::{Channel, Peers};

const ATTEMPT_TIMEOUT_MS: u64 = 2_000;
const RETRY_PAUSE: Duration = Duration::from_millis(30);

/// Finds the leader and sends calls to it.
///
/// A call may be sent more than once: declarations carry versions, claims and settlements carry the
/// claim's id, and an unused permit expires.
pub struct ControlClient {
    addresses: Vec<SocketAddr>,
    leader: Mutex<SocketAddr>,
    peers: Peers,
}

impl ControlClient {
    /// Creates a client of the replicas at `addresses`, which must not be empty.
    pub fn new(addresses: Vec<SocketAddr>) -> Self {
        let leader = Mutex::new(addresses[0]);
        Self { addresses, leader, peers: Peers::new() }
    }

    /// The presumed leader.
    pub fn leader(&self) -> SocketAddr {
        *self.leader.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Records the leader's address or, if that is not known, that the replica at `tried` does not
    /// lead.
    pub fn redirect(&self, tried: SocketAddr, leader: Option<SocketAddr>) {
        let mut known = self.leader.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        if let Some(leader) = leader.filter(|leader| *leader != tried) {
            *known = leader;
            return;
        }
        if *known != tried {
            return;
        }
        let position = self.addresses.iter().position(|address| *address == tried);
        let next = position.map_or(0, |position| (position + 1) % self.addresses.len());
        *known = self.addresses[next];
    }

    /// Sends `request` until a leader answers it or `timeout_ms` has passed.
    ///
    /// # Errors
    /// No leader answered in time; the call may still have taken effect.
    pub async fn call(&self, request: &ControlRequest, timeout_ms: u64) -> Result<ControlReply> {
        let clock = Clock::new();
        let mut may_have_run = false;
        loop {
            let left_ms = timeout_ms.saturating_sub(clock.now_ms());
            if left_ms == 0 {
                return Err(unanswered_error(may_have_run, timeout_ms));
            }
            let address = self.leader();
            let attempt_ms = left_ms.min(ATTEMPT_TIMEOUT_MS.max(min_attempt_ms(request)));
            let reply = self.peers.get(address).call(Channel::Control, request, attempt_ms).await;
            match reply {
                Ok(ControlReply::NotLeader { leader }) => self.redirect(address, leader),
                Ok(ControlReply::Lost) => {
                    may_have_run = true;
                    self.redirect(address, None);
                }
                Ok(ControlReply::Busy { retry_after_ms }) => {
                    let pause_ms = u64::from(retry_after_ms).min(left_ms);
                    tokio::time::sleep(Duration::from_millis(pause_ms)).await;
                    continue;
                }
                Ok(reply) => return Ok(reply),
                Err(error) if !error.is_retryable() => return Err(error),
                Err(error) => {
                    debug!(event = "control_call_failed", peer = %address, error = %error);
                    may_have_run |= !error.is_not_run();
                    self.redirect(address, None);
                }
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }
}

fn min_attempt_ms(request: &ControlRequest) -> u64 {
    match request {
        ControlRequest::Permit(permit) => u64::from(permit.wait_ms) + 500,
        ControlRequest::Apply { .. } => 10_000,
        _ => 0,
    }
}

fn unanswered_error(may_have_run: bool, timeout_ms: u64) -> Error {
    if may_have_run {
        return Error::timeout("call control", "leader", timeout_ms);
    }
    Error::no_leader("call control")
}
