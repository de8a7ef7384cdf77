//! One request and the endpoints that ended under others like it: what it tells of them, and whether it may be sent.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::timeout;
use tracing::info;

use super::crashes::Suspect;
use super::exchange::Exchange;
use super::known::IncarnationEnd;
use super::refusal::NotSent;
use super::standings::Permission;
use super::trial::{Trial, TrialWait};
use crate::message::{BrokenRun, RequestKey, SessionUp};

/// A request that had not begun counts as if it had been there this long: one that is sent while its
/// endpoint ends would look as if it had ended it at once.
const NOT_BEGUN_MIN_MS: u64 = 200;
/// The largest body whose digest is worth its processor time while no endpoint has ended.
const SERVED_BODY_MAX_BYTES: usize = 64 << 10;
/// How long the leader's judgement of an end takes: the gateways' reports are gathered, and it is committed
/// and told.
const VERDICT_MS: u64 = 350;
/// How long a request waits for the leader to allow a trial.
const TRIAL_ANSWER_MS: u64 = 300;
/// When a client comes again that got no answer on a trial.
const TRIAL_AGAIN_MS: u64 = 1_000;

impl Exchange {
    /// Notes that `endpoint` broke the answer off.
    pub(super) fn note_broken_off(&self, endpoint: &str) {
        let now_ms = self.relay.now_ms();
        let key = self.key();
        let ran_ms = now_ms.saturating_sub(self.begun_at_ms.unwrap_or(self.sent_at_ms));
        info!(
            event = "run_broken_off",
            request = %self.meta.id,
            endpoint,
            key = %key,
            begun = self.begun_at_ms.is_some(),
            ran_ms
        );
        let Some(known) = self.relay.fleet().endpoint(endpoint) else { return };
        // One that leaves ends when it has said so.
        if known.leaving {
            return;
        }
        let least_ms = if self.begun_at_ms.is_some() { 0 } else { NOT_BEGUN_MIN_MS };
        let suspect = Suspect {
            id: known.id.clone(),
            service: known.service.clone(),
            endpoint: Some(known),
            is_silent: false,
        };
        self.report_run(now_ms, suspect, ran_ms.max(least_ms));
    }

    /// Notes that `endpoint` was found to have ended, which closed no connection.
    ///
    /// When it ended is not known; what it answered last, it answered before.
    pub(super) fn note_ended(&self, endpoint: &Arc<str>, end: IncarnationEnd) {
        let now_ms = self.relay.now_ms();
        info!(event = "run_ended", request = %self.meta.id, endpoint = %endpoint, key = %self.key(), end = ?end);
        let Some(begun_at_ms) = self.begun_at_ms else { return };
        let service = self.chosen.service.name.clone();
        // One that cannot be reached is asked again: it counts as ended once it is replaced.
        let is_unreachable = end == IncarnationEnd::Unreachable;
        let known = self.relay.fleet().endpoint(endpoint).filter(|_| is_unreachable);
        let suspect = Suspect { id: endpoint.clone(), service, endpoint: known, is_silent: false };
        self.report_run(now_ms, suspect, self.heard_at_ms.saturating_sub(begun_at_ms));
    }

    fn report_run(&self, now_ms: u64, suspect: Suspect, ran_ms: u64) {
        let ran_ms = u32::try_from(ran_ms).unwrap_or(u32::MAX);
        let key = self.key();
        let served_ago_ms = self.relay.crashes.served_ago_ms(now_ms, &key);
        let run = BrokenRun { key, weights: self.meta.weights.clone(), ran_ms, served_ago_ms };
        let is_evidence = self.relay.crashes.note_broken_run(now_ms, suspect, self.sent_at_ms, run);
        if let (true, Some(trial)) = (is_evidence, &self.trial) {
            trial.had_outcome();
        }
    }

    /// Waits until the leader has judged the end of an endpoint that closed no connection.
    ///
    /// Guards against sending a request that ends its endpoints on to the next one: everything that waited
    /// there is sent on at the same moment, before the leader can know which request was the cause.
    pub(super) async fn wait_for_verdict(&self) {
        let relay = &self.relay;
        let until_ms = (relay.now_ms() + VERDICT_MS).min(self.ends_at_ms);
        relay.clock.sleep_until(until_ms).await;
    }

    /// Notes that the request was served, and tells the leader if it wants to know.
    pub(super) fn note_served(&self) {
        let crashes = &self.relay.crashes;
        if crashes.standings().is_empty() && self.body.len() > SERVED_BODY_MAX_BYTES {
            return;
        }
        let key = self.key();
        crashes.note_served(self.relay.now_ms(), key);
        if crashes.standings().is_watched(&key) {
            info!(event = "watched_request_served", request = %self.meta.id, key = %key);
            crashes.report(SessionUp::Served(key));
        }
        if let Some(trial) = &self.trial {
            trial.had_outcome();
        }
    }

    /// Waits until the request may be sent, if it was held and the leader has to be asked.
    ///
    /// # Errors
    /// It is held: endpoints ended under requests like it.
    pub(super) async fn may_be_sent(&mut self) -> Result<Permission, NotSent> {
        if self.relay.crashes.standings().is_empty() {
            return Ok(Permission::Free);
        }
        if self.trial.is_some() && self.may_give_again() {
            return Ok(Permission::Once);
        }
        let key = self.key();
        let permission = self.relay.crashes.standings().permission(self.relay.now_ms(), key);
        match permission {
            Permission::Free | Permission::Once => Ok(permission),
            Permission::Refused { after_ms } => Err(NotSent::Held { after_ms }),
            Permission::Ask => {
                self.trial = Some(self.ask_for_trial(key).await?);
                Ok(Permission::Once)
            }
        }
    }

    /// Looks again after a wait: what other tries did meanwhile may have had it held.
    ///
    /// # Errors
    /// It is held by now.
    pub(super) fn check_not_held(&self) -> Result<(), NotSent> {
        if self.relay.crashes.standings().is_empty() {
            return Ok(());
        }
        let held_for_ms =
            self.relay.crashes.standings().held_for_ms(self.relay.now_ms(), &self.key());
        held_for_ms.map_or(Ok(()), |after_ms| Err(NotSent::Held { after_ms }))
    }

    async fn ask_for_trial(&self, key: RequestKey) -> Result<Trial, NotSent> {
        let relay = &self.relay;
        let refused = NotSent::Held { after_ms: TRIAL_AGAIN_MS };
        if !relay.is_confirmed(relay.now_ms()) {
            return Err(refused);
        }
        let _wait = TrialWait::new(relay, key);
        relay.crashes.report(SessionUp::AskForTrial(key));
        let until_ms = (relay.now_ms() + TRIAL_ANSWER_MS).min(self.ends_at_ms);
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
            // Woken by a change, or to give up.
            let _ = timeout(Duration::from_millis(until_ms - now_ms), changed).await;
        }
    }
}
