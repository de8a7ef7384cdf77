//! What follows from the outcome of a send: a response, another send, or a failure.

use std::net::SocketAddr;
use std::sync::Arc;

use tracing::{info, warn};

use super::attempt::Attempt;
use super::exchange::{ENDPOINT_ENDED, Exchange, REFUSED_SENDS_MAX};
use super::known::IncarnationEnd;
use super::refusal::{Failure, NotSent};
use super::source::StartedResponse;
use crate::policy::resend::FailureKind;
use crate::routing::Repeat;

impl Exchange {
    /// Returns the response to use; `None` if the request is to be sent again.
    pub(super) async fn handle_outcome(
        &mut self,
        outcome: Attempt,
        id: &Arc<str>,
        address: SocketAddr,
    ) -> Result<Option<StartedResponse>, Failure> {
        match outcome {
            Attempt::Started(started) => return Ok(self.check_started(*started, id)),
            // No endpoint has seen the request, so this is no retry.
            Attempt::NotSent(reason) => {
                self.possible_runs.take_back();
                self.unsent += 1;
                info!(event = "send_refused", request = %self.meta.id, endpoint = %id, reason);
                self.tried.push(id.clone());
                if self.unsent > self.refused_sends_max() {
                    return Err(Failure::NotSent(NotSent::NoPlace(reason)));
                }
            }
            Attempt::Outdated => {
                self.possible_runs.take_back();
                info!(event = "send_outdated", request = %self.meta.id, endpoint = %id);
            }
            outcome @ (Attempt::NotRun(_) | Attempt::Full) => {
                let reason = match outcome {
                    Attempt::NotRun(reason) => reason,
                    _ => "the endpoint refused",
                };
                self.possible_runs.take_back();
                self.was_rejected = matches!(outcome, Attempt::Full);
                self.refused += 1;
                self.log_rejection(id, reason);
                self.tried.push(id.clone());
                if self.refused > self.refused_sends_max() {
                    return Err(Failure::NotSent(NotSent::NoPlace(reason)));
                }
            }
            // Not counted towards `REFUSED_SENDS_MAX`: during its backoff the endpoint is not
            // picked again, so each endpoint causes one such refusal per backoff.
            Attempt::RefusedWithBackoff => {
                self.possible_runs.take_back();
                self.refused_with_backoff += 1;
                let reason = "the endpoint asked for backoff";
                info!(event = "send_refused", request = %self.meta.id, endpoint = %id, reason);
                self.tried.push(id.clone());
            }
            Attempt::TakenBack => {
                self.note_taken_back(id);
                self.tried.push(id.clone());
                self.handle_unknown_outcome(
                    "its weights were replaced while it waited".to_owned(),
                )?;
            }
            Attempt::Foreign => {
                warn!(event = "foreign_answer", request = %self.meta.id, endpoint = %id);
                self.tried.push(id.clone());
                self.handle_unknown_outcome("the answer belongs to another request".to_owned())?;
            }
            // The endpoint runs, so this is no crash.
            Attempt::Invalid(detail) => {
                warn!(event = "invalid_answer", request = %self.meta.id, endpoint = %id, detail = %detail);
                self.note_failed(id, address);
                self.note_outcome(id, Some(FailureKind::Broken));
                self.handle_broken(id, detail)?;
            }
            Attempt::Overdue => {
                self.note_overdue();
                self.note_unanswered(id);
                self.note_failed(id, address);
                self.handle_unknown_outcome("no answer before the deadline".to_owned())?;
            }
            Attempt::Ended => {
                self.note_ended(id, IncarnationEnd::Replaced);
                self.note_failed(id, address);
                self.note_outcome(id, Some(FailureKind::Broken));
                self.handle_broken(id, ENDPOINT_ENDED.to_owned())?;
                self.wait_for_evaluation(id).await;
            }
            Attempt::Unknown(detail) => {
                self.relay.note_broken_send(id);
                self.note_broken_off(id);
                self.note_failed(id, address);
                self.note_outcome(id, Some(FailureKind::Broken));
                self.handle_broken(id, detail)?;
            }
        }
        Ok(None)
    }

    /// The number of refused sends that are followed by another one. Each takes a retry, so that a
    /// continuation whose first send is refused is over.
    fn refused_sends_max(&self) -> u32 {
        if self.is_continuation { 0 } else { REFUSED_SENDS_MAX }
    }

    /// Returns the response unless it is an error after which the request is sent again.
    fn check_started(
        &mut self,
        started: StartedResponse,
        id: &Arc<str>,
    ) -> Option<StartedResponse> {
        self.last_data_at_ms = self.relay.now_ms();
        self.response_started_at_ms = Some(self.last_data_at_ms);
        let status = started.response.status();
        self.tried.push(id.clone());
        if status.is_server_error() {
            self.note_outcome(id, Some(FailureKind::Answered));
        } else if self.chosen.route.streams && status.is_success() {
            self.note_outcome(id, None);
        }
        if status.is_server_error()
            && self.chosen.route.repeat == Repeat::Any
            && self.can_send_again()
            && self.is_resend_worthwhile(id, FailureKind::Answered)
        {
            info!(
                event = "sent_again",
                request = %self.meta.id,
                endpoint = %id,
                reason = status.as_u16()
            );
            return None;
        }
        Some(started)
    }

    /// Logs a rejection with what the gateway knew of the endpoint when it sent the request.
    fn log_rejection(&self, endpoint: &str, reason: &str) {
        let known = self.relay.fleet().known_load(endpoint);
        info!(
            event = "send_refused",
            request = %self.meta.id,
            endpoint,
            reason,
            own_running = known.own_running,
            others_running = known.others_running,
            leased = known.leased,
            known_age_ms = self.known_age_ms
        );
    }

    fn note_failed(&mut self, endpoint: &Arc<str>, address: SocketAddr) {
        self.relay.note_failure(endpoint);
        self.relay.pool.forget(address);
        self.tried.push(endpoint.clone());
    }

    /// Handles a connection that broke, or an endpoint that ended, before the response was whole.
    pub(super) fn handle_broken(
        &mut self,
        endpoint: &Arc<str>,
        detail: String,
    ) -> Result<(), Failure> {
        if self.chosen.route.repeat == Repeat::Any
            && self.can_send_again()
            && !self.is_resend_worthwhile(endpoint, FailureKind::Broken)
        {
            return Err(Failure::Unknown(detail));
        }
        self.handle_unknown_outcome(detail)
    }

    pub(super) fn handle_unknown_outcome(&self, detail: String) -> Result<(), Failure> {
        info!(event = "send_failed", request = %self.meta.id, tried = self.tried.len(), detail = %detail);
        if self.chosen.route.repeat == Repeat::Once || !self.can_send_again() {
            return Err(Failure::Unknown(detail));
        }
        Ok(())
    }
}
