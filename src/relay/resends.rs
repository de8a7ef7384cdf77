//! Decides for one request whether it is resent after a failure, and records the outcomes of its
//! sends as evidence for others.

use std::sync::Arc;

use super::exchange::Exchange;
use crate::policy::rank::LATE_RANK;
use crate::policy::resend::FailureKind;
use crate::routing::Repeat;

impl Exchange {
    /// Records whether a send failed, as evidence for whether to resend other requests. Only
    /// requests that may be repeated count, since only these are resent after a failure.
    pub(super) fn note_outcome(&mut self, endpoint: &Arc<str>, failure: Option<FailureKind>) {
        if self.chosen.route.repeat != Repeat::Any {
            return;
        }
        let (now_ms, cause) = (self.relay.now_ms(), self.failure_cause.take());
        let (service, route) = (&self.chosen.service.name, &self.chosen.route.name);
        let mut resends = self.relay.resends();
        match cause {
            None => resends.note_first(now_ms, service, route, endpoint, failure),
            Some(cause) => resends.note_second(now_ms, service, route, cause, failure.is_none()),
        }
    }

    /// Records that a second send brought no response before the deadline. A first send without
    /// one is no evidence, since it cannot be resent.
    pub(super) fn note_overdue(&mut self) {
        let Some(cause) = self.failure_cause.take() else { return };
        let (service, route) = (&self.chosen.service.name, &self.chosen.route.name);
        self.relay.resends().note_second(self.relay.now_ms(), service, route, cause, false);
    }

    /// Decides whether a request that failed at `endpoint`, and may be repeated, is resent.
    pub(super) fn is_resend_worthwhile(&mut self, endpoint: &Arc<str>, kind: FailureKind) -> bool {
        let (service, route) = (&self.chosen.service.name, &self.chosen.route.name);
        let now_ms = self.relay.now_ms();
        let decision = self.relay.resends().decide(now_ms, service, route, endpoint, kind);
        if decision.resend {
            self.failure_cause = Some(decision.cause);
        } else {
            self.not_resent = true;
            self.note_not_resent(endpoint, &decision);
        }
        decision.resend
    }

    /// Takes a token from the retry budget; returns false if none is left for this request.
    pub(super) fn take_retry(&self, now_ms: u64) -> bool {
        let route = &self.chosen.route;
        // The objective is for the start of a stream, so a resumed one may be in time at any age.
        // Only requests for an engine's weights are ranked; the rank of others is their priority.
        let is_ranked = self.chosen.service.engine.is_some() && self.meta.weights.is_some();
        let is_late = now_ms >= self.started_ms + route.latency_objective_ms
            || (is_ranked && self.rank >= LATE_RANK);
        // A doubted answer may still come, so that the last retries go to answers that are lost.
        let in_time = !self.is_continuation && (!is_late || (route.streams && self.has_answered));
        self.relay.take_retry(now_ms, &self.meta.id, &self.chosen.service.name, in_time)
    }
}
