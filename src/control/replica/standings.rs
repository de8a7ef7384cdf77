//! Endpoint crashes and the standings of requests that may have caused them.

use tracing::{info, warn};

use super::registration::Registered;
use super::{Replica, Waiter};
use crate::control::state::Operation;
use crate::message::{EndpointCrash, FeatureStanding, Standing};
use crate::policy::crashes::{Evidence, Used};

impl Replica {
    /// Records endpoint crashes that `gateway` observed.
    pub(super) fn record_crashes(
        &mut self,
        now_ms: u64,
        wall_ms: u64,
        gateway: &str,
        crashes: Vec<EndpointCrash>,
    ) {
        for crash in crashes {
            // Dozens of gateways report the same crash, and the loss of an availability zone ends
            // hundreds of endpoints, so the endpoints in use are counted only for the first report.
            let is_new = !self.registered.crashes.has_ended(&crash.endpoint);
            let used =
                if is_new { self.count_endpoints_used(now_ms, &crash) } else { Used::from(0) };
            if is_new {
                info!(
                    event = "endpoint_crashed",
                    endpoint = %crash.endpoint,
                    service = %crash.service,
                    gateway,
                    features = crash.features.len(),
                    ago_ms = crash.ago_ms,
                    used = used.within_period,
                    used_at_crash = used.at_crash
                );
            } else {
                info!(
                    event = "crash_reported_again",
                    endpoint = %crash.endpoint,
                    gateway,
                    features = crash.features.len(),
                    ago_ms = crash.ago_ms
                );
            }
            self.registered.crashes.record_crash(now_ms, crash, used);
        }
        self.propose_standings(wall_ms);
    }

    /// Counts the endpoints of the service that were in use until this one crashed, including it.
    fn count_endpoints_used(&mut self, now_ms: u64, crash: &EndpointCrash) -> Used {
        let Registered { crashes, placement, exposure, .. } = &mut self.registered;
        let endpoints = self.state.registry.endpoints();
        let address = endpoints.get(&crash.endpoint).map(|endpoint| endpoint.address);
        let in_use = endpoints.values().filter(|endpoint| {
            endpoint.service == crash.service
                && placement.is_in_use(&endpoint.id)
                && !crashes.has_ended(&endpoint.id)
        });
        let in_use = in_use.map(|endpoint| endpoint.address);
        exposure.count_used(now_ms, &crash.service, address, in_use)
    }

    /// Advances the crash records and proposes the standings decided since the last call.
    pub(super) fn advance_standings(&mut self, now_ms: u64, wall_ms: u64) {
        self.registered.crashes.advance(now_ms);
        self.propose_standings(wall_ms);
    }

    /// Logs the crashes for which a feature is to be held.
    fn log_evidence(&self, decided: &FeatureStanding) {
        let FeatureStanding { key, standing: Standing::Held { times, .. }, .. } = decided else {
            return;
        };
        let crashes = &self.registered.crashes;
        let endpoints = crashes.crashed_endpoints(*key);
        warn!(
            event = "hold_decided",
            key = %key,
            times,
            e_value = crashes.e_value(*key),
            crashes = endpoints.len(),
            endpoints = endpoints.join(",")
        );
    }

    /// Logs what the evaluated crashes say about the features that they interrupted.
    fn log_weighed(&mut self) {
        for weighed in self.registered.crashes.take_weighed() {
            let Evidence { crashes, e_value, prime_crashes, trial_crashes, has_likelier_cause } =
                weighed.evidence;
            info!(
                event = "crash_weighed",
                key = %weighed.key,
                endpoint = %weighed.endpoint,
                ran_ms = weighed.ran_ms,
                used = weighed.used.within_period,
                used_at_crash = weighed.used.at_crash,
                interrupted = weighed.interrupted,
                crash_e_value = weighed.crash_e_value,
                e_value,
                crashes,
                prime_crashes,
                trial_crashes,
                has_likelier_cause
            );
        }
    }

    /// Proposes decided standings. They are sent out only after the commit, since the next leader
    /// and gateways that start later must know them.
    pub(super) fn propose_standings(&mut self, wall_ms: u64) {
        self.log_weighed();
        let decided = self.registered.crashes.take_decided();
        for standing in &decided {
            self.log_evidence(standing);
        }
        if !decided.is_empty() {
            self.propose(wall_ms, Operation::SetStandings(decided), Waiter::NoReply);
        }
    }
}

/// Logs the new standing of a request.
pub(super) fn log_standing(decided: &FeatureStanding) {
    let FeatureStanding { key, standing, .. } = decided;
    match standing {
        Standing::Held { for_ms, times } => {
            warn!(event = "request_held", key = %key, for_ms, times);
        }
        Standing::OnTrial { gateway, times } => {
            info!(event = "request_on_trial", key = %key, gateway = %gateway, times);
        }
        Standing::Watched => info!(event = "request_watched", key = %key),
        Standing::Suspected => info!(event = "request_suspected", key = %key),
        Standing::Running { gateway } => {
            info!(event = "suspected_request_runs", key = %key, gateway = %gateway);
        }
        Standing::Cleared => info!(event = "request_cleared", key = %key),
    }
}
