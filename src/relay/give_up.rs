//! Answers clients whose requests were refused or failed.

use http::StatusCode;
use tracing::info;

use super::exchange::{Exchange, RESPONSE_MARGIN_MS};
use super::refusal::{Failure, NotSent, own_answer, refuse};
use crate::http::Answer;
use crate::metrics::Counter;

impl Exchange {
    /// Answers the client of a request that got no response, and logs why.
    pub(super) fn give_up(&mut self, failure: Failure) -> Answer {
        self.end_guard.note_logged();
        let after_ms = self.relay.now_ms() - self.started_ms;
        let request = &self.meta.id;
        let may_have_run = self.possible_runs.get() > 0;
        match failure {
            Failure::NotSent(reason) if !may_have_run => {
                self.relay.metrics.count(Counter::RequestsRefused);
                match reason {
                    NotSent::Held { .. } => self.relay.metrics.count(Counter::RequestsHeld),
                    NotSent::Limited { .. } => self.relay.metrics.count(Counter::RequestsLimited),
                    NotSent::BackingOff { .. } => {
                        self.relay.metrics.count(Counter::RequestsBackingOff);
                    }
                    NotSent::QueueFull { .. } => {
                        self.relay.metrics.count(Counter::RequestsRefusedQueueFull);
                    }
                    NotSent::DeadlineUnreachable { .. } => {
                        self.relay.metrics.count(Counter::RequestsRefusedDeadline);
                    }
                    _ => {}
                }
                if let Some(used) = &self.used_credit {
                    used.give_back();
                }
                info!(
                    event = "refused",
                    request = %request,
                    route = %self.chosen.route.name,
                    weights = %self.meta.weights.as_ref().map_or_else(String::new, ToString::to_string),
                    reason = ?reason,
                    after_ms
                );
                refuse(reason)
            }
            Failure::NotSent(reason) => {
                self.relay.metrics.count(Counter::RequestsUnknown);
                let route = &self.chosen.route.name;
                info!(event = "failed", request = %request, route = %route, reason = ?reason, answered = self.has_answered, after_ms);
                own_answer(StatusCode::BAD_GATEWAY, "the endpoint failed")
            }
            Failure::Unknown(detail) => {
                self.relay.metrics.count(Counter::RequestsUnknown);
                let route = &self.chosen.route.name;
                info!(event = "failed", request = %request, route = %route, reason = %detail, answered = self.has_answered, not_resent = self.not_resent, after_ms);
                if self.relay.now_ms() + RESPONSE_MARGIN_MS >= self.ends_at_ms {
                    return own_answer(StatusCode::GATEWAY_TIMEOUT, "no answer in time");
                }
                own_answer(StatusCode::BAD_GATEWAY, "the endpoint failed")
            }
        }
    }
}
