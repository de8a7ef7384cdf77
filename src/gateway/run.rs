//! Runs one dispatched request: sends it to its endpoint, checks the response and forwards it as
//! events.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use tokio::sync::{mpsc, watch};
use tokio::time::timeout;
use tracing::{debug, warn};

use crate::endpoint::{Endpoint, EndpointAnswer, EndpointCall, EngineRefusal, SendOutcome};
use crate::gateway::shared::Shared;
use crate::gateway::stream::{AnswerFault, EventChecker, check_json};
use crate::message::{AdapterKey, ForwardEvent, ForwardRequest, Refusal, RunState};
use crate::metrics::Counter;

const ANSWER_MAX_BYTES: usize = 64 << 20;
const RETRY_AFTER_MS: u32 = 100;

/// A request that the owner's policy has dispatched to the endpoint.
pub struct DispatchedRequest {
    /// The gateway's shared state.
    pub shared: Arc<Shared>,
    /// The endpoint to send the request to.
    pub endpoint: Arc<dyn Endpoint>,
    /// Epoch of this gateway's ownership of the endpoint.
    pub epoch: u64,
    /// The request.
    pub request: Arc<ForwardRequest>,
    /// Receives the request's events.
    pub events: mpsc::Sender<ForwardEvent>,
    /// Time that the request waited for its adapter to load.
    pub load_wait_ms: u32,
    /// True while the endpoint counts as down.
    pub down: watch::Receiver<bool>,
}

impl DispatchedRequest {
    /// Runs the request and forwards its response. Returns the engine's refusal when the engine did
    /// not start the request and no event was sent.
    pub async fn run(self) -> Option<EngineRefusal> {
        // The last check of the lease before the request is written. The lease's margin covers the
        // time between this check and the write.
        if !self.shared.lease.is_valid(self.shared.now_ms()) {
            self.refuse(Refusal::LeaseLost).await;
            return None;
        }
        if self.events.is_closed() {
            return None;
        }
        let order = EndpointCall {
            epoch: self.epoch,
            request_id: self.request.request_id.clone(),
            priority: self.request.priority,
            call: self.request.call.clone(),
        };
        let sent = tokio::select! {
            sent = self.endpoint.send(order) => sent,
            () = until_endpoint_down(self.down.clone(), &self.request) => {
                self.fail("the endpoint does not answer any more").await;
                return None;
            }
        };
        match sent {
            Ok(SendOutcome::Answer(answer)) => self.forward_answer(answer).await,
            Ok(SendOutcome::Refused(EngineRefusal::StaleEpoch)) => {
                self.refuse(Refusal::NotOwner).await;
            }
            Ok(SendOutcome::Refused(refusal)) => return Some(refusal),
            Err(error) if error.is_not_run() => {
                debug!(event = "endpoint_unreachable", request = %self.request.request_id, error = %error);
                self.refuse(Refusal::EndpointDown).await;
            }
            Err(error) => self.fail(&error.to_string()).await,
        }
        None
    }

    /// Counts a client that disconnected, detected by its closed channel or by a failed send.
    fn count_client_gone(&self) {
        self.shared.metrics.count(Counter::CallersGone);
    }

    async fn refuse(&self, refusal: Refusal) {
        let retry_after_ms = RETRY_AFTER_MS;
        let refused = ForwardEvent::Refused { refusal, retry_after_ms, summary: None };
        let _ = self.events.send(refused).await;
    }

    async fn fail(&self, detail: &str) {
        warn!(event = "answer_failed", request = %self.request.request_id, detail = detail);
        let detail = detail.to_owned();
        let _ = self.events.send(ForwardEvent::Failed { run: RunState::Unknown, detail }).await;
    }

    async fn forward_answer(&self, answer: EndpointAnswer) {
        let head = ForwardEvent::Head {
            status: answer.status,
            content_type: answer.content_type.clone(),
            load_wait_ms: self.load_wait_ms,
        };
        let is_success = (200..300).contains(&answer.status);
        let is_stream = answer.content_type.starts_with("text/event-stream");
        match &self.request.adapter {
            Some(adapter) if is_success && is_stream => {
                let checker = EventChecker::new(adapter.clone());
                self.forward_stream(head, answer, checker).await;
            }
            Some(adapter) if is_success => self.forward_whole(head, answer, Some(adapter)).await,
            _ => self.forward_whole(head, answer, None).await,
        }
    }

    /// Forwards a whole response, after checking its adapter if `adapter` is given.
    async fn forward_whole(
        &self,
        head: ForwardEvent,
        answer: EndpointAnswer,
        adapter: Option<&AdapterKey>,
    ) {
        let idle_ms = self.shared.settings.endpoints.idle_timeout_ms;
        let body = Limited::new(answer.body, ANSWER_MAX_BYTES).collect();
        let body = tokio::select! {
            body = timeout(Duration::from_millis(idle_ms), body) => body,
            () = self.events.closed() => return self.count_client_gone(),
            () = until_endpoint_down(self.down.clone(), &self.request) => {
                return self.fail("the endpoint does not answer any more").await;
            }
        };
        let body = match body {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(error)) => return self.fail(&format!("the answer broke off: {error}")).await,
            Err(_) => return self.fail("the answer did not come in time").await,
        };
        if let Some(adapter) = adapter
            && let Err(fault) = check_json(&body, adapter)
        {
            return self.reject(&fault).await;
        }
        if self.events.send(head).await.is_err()
            || self.events.send(ForwardEvent::Data(body.to_vec())).await.is_err()
        {
            return self.count_client_gone();
        }
        let _ = self.events.send(ForwardEvent::End { summary: None }).await;
    }

    async fn forward_stream(
        &self,
        head: ForwardEvent,
        mut answer: EndpointAnswer,
        mut checker: EventChecker,
    ) {
        let mut head = Some(head);
        let idle = Duration::from_millis(self.shared.settings.endpoints.idle_timeout_ms);
        loop {
            let frame = tokio::select! {
                frame = timeout(idle, answer.body.frame()) => frame,
                // Dropping the response closes its connection, which cancels the request at the
                // engine.
                () = self.events.closed() => return self.count_client_gone(),
            };
            let chunk: Bytes = match frame {
                Ok(Some(Ok(frame))) => match frame.into_data() {
                    Ok(chunk) => chunk,
                    Err(_) => continue,
                },
                Ok(None) => break,
                Ok(Some(Err(error))) => {
                    return self.fail(&format!("the stream broke off: {error}")).await;
                }
                Err(_) => return self.fail("the stream stood still").await,
            };
            let events = match checker.push(&chunk) {
                Ok(Some(events)) => events,
                Ok(None) => continue,
                Err(fault) => return self.reject(&fault).await,
            };
            if let Some(head) = head.take()
                && self.events.send(head).await.is_err()
            {
                return self.count_client_gone();
            }
            if self.events.send(ForwardEvent::Data(events.to_vec())).await.is_err() {
                return self.count_client_gone();
            }
        }
        if checker.is_complete() {
            let _ = self.events.send(ForwardEvent::End { summary: None }).await;
        } else {
            self.fail("the stream ended before its last event").await;
        }
    }

    async fn reject(&self, fault: &AnswerFault) {
        match fault {
            AnswerFault::WrongAdapter(found) => {
                self.shared.metrics.count(Counter::WrongAdapter);
                let wanted = self.request.adapter.as_ref().map(ToString::to_string);
                warn!(
                    event = "wrong_adapter",
                    request = %self.request.request_id,
                    wanted = wanted.as_deref().unwrap_or(""),
                    found = %found
                );
                self.fail(&format!("the endpoint answered with adapter {found}")).await;
            }
            AnswerFault::Malformed(detail) => self.fail(detail).await,
        }
    }
}

/// Completes once the endpoint counts as down, if the request names an adapter. Never completes for
/// calls of plain services: their response is awaited to the end, since many of them must run at
/// most once.
async fn until_endpoint_down(mut down: watch::Receiver<bool>, request: &ForwardRequest) {
    if request.adapter.is_none() || down.wait_for(|down| *down).await.is_err() {
        std::future::pending::<()>().await;
    }
}
