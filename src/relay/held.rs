//! Reports the outcome of a request whose content may crash endpoints, and decides whether such a
//! request may be sent.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::timeout;
use tracing::info;

use super::crashes::LivenessCheck;
use super::exchange::Exchange;
use super::known::IncarnationEnd;
use super::refusal::NotSent;
use super::standings::Permission;
use super::trial::{Trial, TrialWait};
use crate::message::{FeatureKey, InterruptedFeature, SessionUp};

/// The run time that is reported at least for a request whose response had not started. Otherwise a
/// request sent while its endpoint was already ending would look as if it had crashed it at once.
const NOT_STARTED_RUN_MS: u64 = 200;
/// The largest body that is hashed for the record of served contents while no request has a
/// standing; the hash of a larger one costs too much CPU time.
const SERVED_BODY_MAX_BYTES: usize = 64 << 10;
/// How long the leader takes to evaluate a crash: it collects the gateways' reports, commits its
/// decision and distributes it.
const EVALUATION_MS: u64 = 350;
/// How long a request waits for the leader to allow a trial.
const TRIAL_WAIT_MS: u64 = 300;
/// `Retry-After` of a request that was allowed no trial in time.
const TRIAL_RETRY_MS: u64 = 1_000;

impl Exchange {
    /// Records that `endpoint` broke off the response.
    pub(super) fn note_broken_off(&self, endpoint: &str) {
        let now_ms = self.relay.now_ms();
        let key = self.key();
        let ran_ms = now_ms.saturating_sub(self.response_started_at_ms.unwrap_or(self.sent_at_ms));
        info!(
            event = "run_broken_off",
            request = %self.meta.id,
            endpoint,
            key = %key,
            begun = self.response_started_at_ms.is_some(),
            ran_ms
        );
        let Some(known) = self.relay.fleet().endpoint(endpoint) else { return };
        // An endpoint that announced its shutdown did not crash.
        if known.leaving {
            return;
        }
        let least_ms = if self.response_started_at_ms.is_some() { 0 } else { NOT_STARTED_RUN_MS };
        let check = LivenessCheck {
            id: known.id.clone(),
            service: known.service.clone(),
            endpoint: Some(known),
            is_silent: false,
        };
        self.report_run(now_ms, check, ran_ms.max(least_ms));
    }

    /// Records that `endpoint` was found to have ended without closing its connections.
    ///
    /// The time of its end is unknown; only the time until the last received data counts as run
    /// time.
    pub(super) fn note_ended(&self, endpoint: &Arc<str>, end: IncarnationEnd) {
        let now_ms = self.relay.now_ms();
        info!(event = "run_ended", request = %self.meta.id, endpoint = %endpoint, key = %self.key(), end = ?end);
        let Some(response_started_at_ms) = self.response_started_at_ms else { return };
        let service = self.chosen.service.name.clone();
        // An unreachable endpoint is probed again and counts as ended only once it is replaced.
        let is_unreachable = end == IncarnationEnd::Unreachable;
        let known = self.relay.fleet().endpoint(endpoint).filter(|_| is_unreachable);
        let check =
            LivenessCheck { id: endpoint.clone(), service, endpoint: known, is_silent: false };
        self.report_run(now_ms, check, self.last_data_at_ms.saturating_sub(response_started_at_ms));
    }

    fn report_run(&self, now_ms: u64, check: LivenessCheck, ran_ms: u64) {
        let ran_ms = u32::try_from(ran_ms).unwrap_or(u32::MAX);
        let key = self.key();
        let served_ago_ms = self.relay.crashes.served_ago_ms(now_ms, &key);
        let run =
            InterruptedFeature { key, weights: self.meta.weights.clone(), ran_ms, served_ago_ms };
        let is_evidence = self.relay.crashes.note_broken_run(now_ms, check, self.sent_at_ms, run);
        if let (true, Some(trial)) = (is_evidence, &self.trial) {
            trial.mark_outcome_known();
        }
    }

    /// Waits until the leader has evaluated the end of an endpoint that closed no connection.
    ///
    /// Without this wait a request that crashes its endpoints would reach the next one: all
    /// requests that waited at the ended endpoint are resent at the same moment, before the leader
    /// can know which of them caused the end.
    pub(super) async fn wait_for_evaluation(&self, endpoint: &str) {
        let relay = &self.relay;
        // An endpoint that is out of reach has not ended, and the leader is told nothing.
        if relay.fleet().is_out_of_reach(endpoint) {
            return;
        }
        let until_ms = (relay.now_ms() + EVALUATION_MS).min(self.ends_at_ms);
        relay.clock.sleep_until(until_ms).await;
    }

    /// Records that the request was served, and tells the leader if it watches the request.
    pub(super) fn note_served(&self) {
        let crashes = &self.relay.crashes;
        if crashes.standings().is_empty() && self.body.len() > SERVED_BODY_MAX_BYTES {
            return;
        }
        let key = self.key();
        crashes.note_served(self.relay.now_ms(), key);
        if crashes.standings().is_watched(&key) {
            info!(event = "watched_request_served", request = %self.meta.id, key = %key);
            crashes.send_to_leader(SessionUp::Served(key));
        }
        if let Some(trial) = &self.trial {
            trial.mark_outcome_known();
        }
    }

    /// Returns whether the request may be sent; asks the leader for a trial if the request was held
    /// long enough.
    ///
    /// # Errors
    /// The request is held, because endpoints ended while they ran requests with the same
    /// content.
    pub(super) async fn obtain_permission(&mut self) -> Result<Permission, NotSent> {
        if self.relay.crashes.standings().is_empty() {
            return Ok(Permission::Unrestricted);
        }
        if self.trial.is_some() && self.can_send_again() {
            return Ok(Permission::Once);
        }
        let key = self.key();
        let permission = self.relay.crashes.standings().permission(self.relay.now_ms(), key);
        match permission {
            Permission::Unrestricted | Permission::Once => Ok(permission),
            Permission::Refused { after_ms } => Err(NotSent::Held { after_ms }),
            Permission::AskLeader => {
                self.trial = Some(self.ask_for_trial(key).await?);
                Ok(Permission::Once)
            }
        }
    }

    /// Checks after a wait that the request is not held because of other attempts in the meantime.
    ///
    /// # Errors
    /// The request is held.
    pub(super) fn check_not_held(&self) -> Result<(), NotSent> {
        if self.relay.crashes.standings().is_empty() {
            return Ok(());
        }
        let held_for_ms =
            self.relay.crashes.standings().held_for_ms(self.relay.now_ms(), &self.key());
        held_for_ms.map_or(Ok(()), |after_ms| Err(NotSent::Held { after_ms }))
    }

    async fn ask_for_trial(&self, key: FeatureKey) -> Result<Trial, NotSent> {
        let relay = &self.relay;
        let refused = NotSent::Held { after_ms: TRIAL_RETRY_MS };
        if !relay.is_up_to_date(relay.now_ms()) {
            return Err(refused);
        }
        let _wait = TrialWait::new(relay, key);
        relay.crashes.send_to_leader(SessionUp::AskForTrial(key));
        let until_ms = (relay.now_ms() + TRIAL_WAIT_MS).min(self.ends_at_ms);
        loop {
            let changed = relay.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            let now_ms = relay.now_ms();
            if relay.crashes.standings().take_trial(&key) {
                info!(event = "trial_taken", request = %self.meta.id, key = %key);
                return Ok(Trial::new(relay.clone(), key));
            }
            if now_ms >= until_ms {
                return Err(refused);
            }
            let _ = timeout(Duration::from_millis(until_ms - now_ms), changed).await;
        }
    }
}
