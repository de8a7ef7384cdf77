//! Logs and counts the events of a request.

use std::sync::Arc;

use tracing::{info, warn};

use super::border::{AnswerMeta, Backoff, RateLimit};
use super::exchange::Exchange;
use super::limits::LimitChange;
use super::shared::Relay;
use super::source::StartedResponse;
use crate::message::WeightsName;
use crate::metrics::{Counter, Timer};
use crate::policy::resend::ResendDecision;
use crate::policy::versions::KnownVersion;

impl Relay {
    /// Applies and logs the rate limit, the backoff and the announced shutdown in the response to a
    /// request that was sent at `sent_at_ms`.
    pub(super) fn note_endpoint_state(
        &self,
        endpoint: &Arc<str>,
        sent_at_ms: u64,
        head: &AnswerMeta,
    ) {
        // The response came from another incarnation or another service at the same address.
        if head.misdirected {
            return;
        }
        if head.rate_limit == RateLimit::Unreadable {
            info!(event = "endpoint_limit_unreadable", endpoint = %endpoint);
        }
        let now_ms = self.now_ms();
        if head.leaving && self.fleet().mark_leaving(now_ms, endpoint) {
            info!(event = "endpoint_end_announced", endpoint = %endpoint);
        }
        self.note_backoff(now_ms, endpoint, head.backoff);
        let brittle = self.fleet().note_brittle(now_ms, endpoint, sent_at_ms, head.rejection_limit);
        if let Some(brittle) = brittle {
            info!(event = "endpoint_brittle", endpoint = %endpoint, brittle, limit = ?head.rejection_limit);
        }
        let change = self.fleet().note_limit(now_ms, endpoint, sent_at_ms, head.rate_limit);
        match change {
            Some(LimitChange::Set { per_s }) => {
                info!(event = "endpoint_limit_named", endpoint = %endpoint, per_s);
            }
            Some(LimitChange::Ended) => info!(event = "endpoint_limit_ended", endpoint = %endpoint),
            None => {}
        }
    }

    fn note_backoff(&self, now_ms: u64, endpoint: &Arc<str>, backoff: Backoff) {
        match backoff {
            Backoff::Millis(backoff_ms) => {
                if self.fleet().start_backoff(now_ms, endpoint, backoff_ms) {
                    info!(event = "endpoint_backoff_started", endpoint = %endpoint, backoff_ms);
                }
            }
            Backoff::Unreadable => {
                info!(event = "endpoint_backoff_unreadable", endpoint = %endpoint);
            }
            Backoff::None => {}
        }
    }
}

impl Exchange {
    /// Logs and counts that an endpoint has started its response.
    pub(super) fn note_answered(&self, started: &StartedResponse) {
        let now_ms = self.relay.now_ms();
        let after_ms = now_ms - self.started_ms;
        let software = self.relay.fleet().software_version(started.source.endpoint());
        info!(
            event = "answered",
            request = %self.meta.id,
            route = %self.chosen.route.name,
            weights = %self.meta.weights.as_ref().map_or_else(String::new, ToString::to_string),
            endpoint = %started.source.endpoint(),
            peer = started.source.peer(),
            status = started.response.status().as_u16(),
            version = self.relay.table().version(),
            tried = self.tried.len(),
            software = %software,
            last_event = self.meta.last_event.unwrap_or(0),
            resumes = self.meta.resumed_attempt.as_deref().unwrap_or(""),
            prompt_tokens = self.meta.prompt_tokens,
            rank = self.rank,
            expected_ms = self.expected_ms,
            sent_after_ms = self.sent_at_ms.saturating_sub(self.started_ms),
            waited_for = self.waited_for,
            known_age_ms = self.known_age_ms,
            objective_ms = self.chosen.route.latency_objective_ms,
            held_version = self.held_version.unwrap_or(0),
            not_resent = self.not_resent,
            after_ms
        );
        if self.chosen.service.engine.is_none() && started.source.is_direct() {
            let is_success = started.response.status().is_success();
            let endpoint = started.source.endpoint();
            self.relay.fleet().note_plain_response(now_ms, endpoint, self.sent_at_ms, is_success);
        }
        self.relay.metrics.count(Counter::RequestsAnswered);
        self.relay.metrics.time(Timer::FirstByte, after_ms);
        if let (Some(weights), Some(version)) = (&self.meta.weights, self.held_version) {
            self.note_version(now_ms, started.source.endpoint(), weights, version);
        }
    }

    /// Logs and counts that the request is not resent although it could be.
    pub(super) fn note_not_resent(&self, endpoint: &str, decision: &ResendDecision) {
        info!(
            event = "not_resent",
            request = %self.meta.id,
            service = %self.chosen.service.name,
            route = %self.chosen.route.name,
            endpoint,
            failure = decision.cause.kind.as_str(),
            at_outlier = decision.cause.at_outlier,
            outcomes = format_args!("{:.1}", decision.outcomes),
            expected_share = format_args!("{:.2}", decision.expected_share)
        );
        self.relay.metrics.count(Counter::RetriesNotWorthwhile);
    }

    /// Logs a response from an older version. Endpoints state only the version of the base model,
    /// so the check uses the version that they are known to hold.
    fn note_version(&self, now_ms: u64, endpoint: &str, weights: &WeightsName, version: u64) {
        let Some(known) = self.relay.fleet().known_version(now_ms, weights) else { return };
        let KnownVersion { newest, known_for_ms, due } = known;
        if version >= newest {
            return;
        }
        info!(
            event = "older_version_used",
            request = %self.meta.id,
            endpoint = %endpoint,
            weights = %weights,
            version,
            newest,
            known_for_ms,
            due,
            waited_ms = now_ms.saturating_sub(self.sent_at_ms)
        );
        if version < due {
            warn!(event = "outdated_weights", request = %self.meta.id, weights = %weights, version, due);
            self.relay.metrics.count(Counter::OutdatedWeights);
        }
    }

    /// Logs and counts that the request was withdrawn from `endpoint`, where it had not started.
    pub(super) fn note_taken_back(&self, endpoint: &str) {
        let now_ms = self.relay.now_ms();
        let Some(weights) = &self.meta.weights else { return };
        let newest = self.relay.fleet().known_version(now_ms, weights).map_or(0, |it| it.newest);
        info!(
            event = "taken_back",
            request = %self.meta.id,
            endpoint,
            weights = %weights,
            version = self.held_version.unwrap_or(0),
            newest,
            waited_ms = now_ms.saturating_sub(self.sent_at_ms),
            silent = self.relay.fleet().is_silent_since(self.sent_at_ms, endpoint)
        );
        self.relay.metrics.count(Counter::RequestsTakenBack);
    }
}
