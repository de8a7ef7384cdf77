//! Reports the outcome of requests whose features may crash endpoints, and decides whether such a
//! request may be sent.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::timeout;
use tracing::info;

use super::crashes::{BrokenRun, LivenessCheck};
use super::exchange::Exchange;
use super::known::IncarnationEnd;
use super::refusal::NotSent;
use super::standings::Permission;
use super::trial::{Trial, TrialWait};
use crate::message::{FeatureKey, InterruptedFeature, SessionUp};

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
        let ran_ms = now_ms.saturating_sub(self.response_started_at_ms.unwrap_or(self.sent_at_ms));
        info!(
            event = "run_broken_off",
            request = %self.meta.id,
            endpoint,
            key = %self.content_key(),
            parts = %listed(self.prompt_features()),
            begun = self.response_started_at_ms.is_some(),
            ran_ms,
            standing = %self.described_standing(now_ms),
            on_trial = !self.trials.is_empty()
        );
        let Some(known) = self.relay.fleet().endpoint(endpoint) else {
            info!(event = "broken_run_not_reported", request = %self.meta.id, reason = "replaced");
            return;
        };
        // An endpoint that announced its shutdown did not crash.
        if known.leaving {
            info!(event = "broken_run_not_reported", request = %self.meta.id, reason = "leaving");
            return;
        }
        let check = LivenessCheck {
            id: known.id.clone(),
            service: known.service.clone(),
            endpoint: Some(known),
            is_silent: false,
        };
        self.report_run(now_ms, check, ran_ms);
    }

    /// Records that `endpoint` was found to have ended without closing its connections.
    ///
    /// The time of its end is unknown; only the time until the last received data counts as run time,
    /// or until the endpoint's last answer to any request if the response has not started.
    pub(super) fn note_ended(&self, endpoint: &Arc<str>, end: IncarnationEnd) {
        let now_ms = self.relay.now_ms();
        info!(event = "run_ended", request = %self.meta.id, endpoint = %endpoint, key = %self.content_key(), parts = %listed(self.prompt_features()), end = ?end);
        let ran_ms = match self.response_started_at_ms {
            Some(started_at_ms) => self.last_data_at_ms.saturating_sub(started_at_ms),
            None => self.relay.fleet().answered_at_ms(endpoint).saturating_sub(self.sent_at_ms),
        };
        let service = self.chosen.service.name.clone();
        // An unreachable endpoint is probed again and counts as ended only once it is replaced.
        let is_unreachable = end == IncarnationEnd::Unreachable;
        let known = self.relay.fleet().endpoint(endpoint).filter(|_| is_unreachable);
        let check =
            LivenessCheck { id: endpoint.clone(), service, endpoint: known, is_silent: false };
        self.report_run(now_ms, check, ran_ms);
    }

    /// Records that `endpoint` has answered nothing since it got the request: if another incarnation takes
    /// its place soon, it has ended without closing its connections.
    pub(super) fn note_unanswered(&self, endpoint: &Arc<str>) {
        let now_ms = self.relay.now_ms();
        let is_silent = self.relay.fleet().is_silent_since(self.sent_at_ms, endpoint);
        if !is_silent || self.relay.fleet().is_out_of_reach(endpoint) {
            return;
        }
        info!(event = "run_unanswered", request = %self.meta.id, endpoint = %endpoint, key = %self.content_key());
        let run = self.broken_run(now_ms, 0);
        self.relay.crashes.note_unanswered_run(now_ms, endpoint, run);
    }

    /// The standing of the request's content as this gateway knows it, and its age, for logs.
    fn described_standing(&self, now_ms: u64) -> String {
        match self.relay.crashes.standings().known(now_ms, &self.content_key()) {
            Some((standing, age_ms)) => format!("{standing:?} for {age_ms} ms"),
            None => "none".to_owned(),
        }
    }

    fn report_run(&self, now_ms: u64, check: LivenessCheck, ran_ms: u64) {
        let run = self.broken_run(now_ms, ran_ms);
        let endpoint = check.id.clone();
        if !self.relay.crashes.note_broken_run(now_ms, check, run) {
            info!(event = "run_sent_after_end", request = %self.meta.id, endpoint = %endpoint);
            return;
        }
        for trial in &self.trials {
            trial.mark_outcome_known();
        }
    }

    /// The request, which had run for `ran_ms` when it was broken off.
    fn broken_run(&self, now_ms: u64, ran_ms: u64) -> BrokenRun {
        let ran_ms = u32::try_from(ran_ms).unwrap_or(u32::MAX);
        let mut features = Vec::new();
        for key in self.features() {
            let is_content = key == self.content_key();
            let weights = self.meta.weights.clone().filter(|_| is_content);
            let served_ago_ms = self.relay.crashes.served_ago_ms(now_ms, &key);
            features.push(InterruptedFeature { key, weights, ran_ms, served_ago_ms });
        }
        let tried = self.trials.iter().map(Trial::key).collect();
        BrokenRun { sent_at_ms: self.sent_at_ms, features, tried }
    }

    /// Waits until the leader has evaluated the end of an endpoint that closed no connection.
    ///
    /// Without this wait a request that crashes its endpoints would reach the next one: all
    /// requests that waited at the ended endpoint are resent at the same moment, before the leader
    /// can know which of them caused the end.
    pub(super) async fn wait_for_evaluation(&self, endpoint: &str) {
        let relay = &self.relay;
        // An endpoint that is out of reach has not ended, and nothing is reported to the leader.
        if relay.fleet().is_out_of_reach(endpoint) {
            return;
        }
        let until_ms = (relay.now_ms() + EVALUATION_MS).min(self.ends_at_ms);
        relay.clock.sleep_until(until_ms).await;
    }

    /// Records that the request was served, and reports it to the leader for watched features.
    pub(super) fn note_served(&self) {
        let crashes = &self.relay.crashes;
        let now_ms = self.relay.now_ms();
        let is_large = self.body.len() > SERVED_BODY_MAX_BYTES;
        if !is_large || !crashes.standings().is_empty() {
            crashes.note_served(now_ms, self.content_key());
        }
        for key in self.prompt_features() {
            crashes.note_served(now_ms, *key);
        }
        for trial in &self.trials {
            trial.mark_outcome_known();
        }
    }

    /// Returns whether the request may be sent; asks the leader for a trial if features of it are
    /// suspected or were held for long enough.
    ///
    /// # Errors
    /// A feature of the request is held, because endpoints crashed while they ran requests with it.
    pub(super) async fn obtain_permission(&mut self) -> Result<Permission, NotSent> {
        if self.relay.crashes.standings().is_empty() {
            return Ok(Permission::Unrestricted);
        }
        if !self.trials.is_empty() && self.can_send_again() {
            return Ok(Permission::Once);
        }
        let now_ms = self.relay.now_ms();
        let mut strictest = Permission::Unrestricted;
        let mut to_try = Vec::new();
        for key in self.features() {
            let permission = self.relay.crashes.standings().permission(now_ms, key);
            match permission {
                Permission::Unrestricted => continue,
                Permission::Once => {}
                Permission::Refused { after_ms } => return Err(self.refuse_held(key, after_ms)),
                // A request with a trial is sent to one endpoint only.
                Permission::AskLeader if self.possible_runs.get() > 0 => {}
                Permission::AskLeader => to_try.push(key),
            }
            strictest = Permission::Once;
        }
        for key in to_try {
            if let Some(trial) = self.ask_for_trial(key).await? {
                self.trials.push(trial);
            }
        }
        Ok(strictest)
    }

    /// Checks after a wait that no feature of the request is held because of other attempts in the
    /// meantime.
    ///
    /// # Errors
    /// A feature is held.
    pub(super) fn check_not_held(&self) -> Result<(), NotSent> {
        if self.relay.crashes.standings().is_empty() {
            return Ok(());
        }
        let now_ms = self.relay.now_ms();
        for key in self.features() {
            let held_for_ms = self.relay.crashes.standings().held_for_ms(now_ms, &key);
            if let Some(after_ms) = held_for_ms {
                return Err(self.refuse_held(key, after_ms));
            }
        }
        Ok(())
    }

    /// True if a feature of the request has become suspected, or is tried elsewhere, since the request
    /// was permitted.
    pub(super) fn lacks_trial(&self) -> bool {
        if !self.trials.is_empty() || self.relay.crashes.standings().is_empty() {
            return false;
        }
        let now_ms = self.relay.now_ms();
        let is_sendable = |key| {
            let permission = self.relay.crashes.standings().permission(now_ms, key);
            matches!(permission, Permission::Unrestricted | Permission::Once)
        };
        !self.features().all(is_sendable)
    }

    fn refuse_held(&self, key: FeatureKey, after_ms: u64) -> NotSent {
        let now_ms = self.relay.now_ms();
        let standing = self.described_standing(now_ms);
        info!(event = "feature_held", request = %self.meta.id, key = %key, after_ms, standing);
        NotSent::Held { after_ms }
    }

    /// Waits for a trial; `None` if the request has been cleared and needs none.
    async fn ask_for_trial(&self, key: FeatureKey) -> Result<Option<Trial>, NotSent> {
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
                return Ok(Some(Trial::new(relay.clone(), key)));
            }
            if relay.crashes.standings().permission(now_ms, key) == Permission::Unrestricted {
                return Ok(None);
            }
            if now_ms >= until_ms {
                return Err(refused);
            }
            let _ = timeout(Duration::from_millis(until_ms - now_ms), changed).await;
        }
    }
}

/// The keys of features, for logs.
fn listed(features: &[FeatureKey]) -> String {
    let keys: Vec<String> = features.iter().map(ToString::to_string).collect();
    keys.join(",")
}
