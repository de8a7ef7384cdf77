//! Endpoints that end under requests, and how requests are treated that end them.

use tracing::{info, warn};

use super::{Replica, Waiter};
use crate::control::state::Operation;
use crate::message::{EndpointCrash, RequestStanding, Standing};

impl Replica {
    /// Takes in which endpoints ended, as a gateway saw it.
    pub(super) fn take_crashes(&mut self, now_ms: u64, wall_ms: u64, crashes: Vec<EndpointCrash>) {
        for crash in crashes {
            // Some dozens of gateways tell of the same end, and when an availability zone is lost some
            // hundreds of endpoints end: only the first counts all of them.
            let is_new = !self.registered.crashes.has_ended(&crash.endpoint);
            let used = if is_new { self.endpoints_used(&crash) } else { 0 };
            if is_new {
                info!(
                    event = "endpoint_crashed",
                    endpoint = %crash.endpoint,
                    service = %crash.service,
                    runs = crash.runs.len(),
                    ago_ms = crash.ago_ms,
                    used
                );
            }
            self.registered.crashes.record_crash(now_ms, crash, used);
        }
        self.propose_standings(wall_ms);
    }

    /// How many endpoints of the service ran something until this one ended, itself among them.
    fn endpoints_used(&self, crash: &EndpointCrash) -> usize {
        let mut used = 1;
        for endpoint in self.state.registry.endpoints().values() {
            let serves = endpoint.service == crash.service && endpoint.id != crash.endpoint;
            let has_ended = self.registered.crashes.has_ended(&endpoint.id);
            if serves && !has_ended && self.registered.placement.is_used(&endpoint.id) {
                used += 1;
            }
        }
        used
    }

    /// Lets time pass for standings, and has those committed that were decided since.
    pub(super) fn advance_standings(&mut self, now_ms: u64, wall_ms: u64) {
        self.registered.crashes.advance(now_ms);
        self.propose_standings(wall_ms);
    }

    /// Standings are committed before anybody is told: the next leader, and gateways that start anew,
    /// have to know them.
    pub(super) fn propose_standings(&mut self, wall_ms: u64) {
        let decided = self.registered.crashes.take_decided();
        if !decided.is_empty() {
            self.propose(wall_ms, Operation::SetStandings(decided), Waiter::Nobody);
        }
    }
}

/// Logs how a request is treated from now on.
pub(super) fn log_standing(decided: &RequestStanding) {
    let RequestStanding { key, standing, .. } = decided;
    match standing {
        Standing::Held { for_ms, times } => {
            warn!(event = "request_held", key = %key, for_ms, times);
        }
        Standing::OnTrial { gateway, times } => {
            info!(event = "request_on_trial", key = %key, gateway = %gateway, times);
        }
        Standing::Watched => info!(event = "request_watched", key = %key),
        Standing::Suspected => info!(event = "request_suspected", key = %key),
        Standing::Cleared => info!(event = "request_cleared", key = %key),
    }
}
