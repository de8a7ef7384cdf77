//! Receives client requests and health checks.

use std::sync::Arc;

use bytes::Bytes;
use http::header::CONNECTION;
use http::{Request, Response, StatusCode};

use super::admission::admit;
use super::exchange::Exchange;
use super::in_progress::InProgress;
use super::shared::Relay;
use crate::http::{Answer, HttpHandler, RequestBody, answer};
use crate::metrics::Counter;
use crate::wire::BoxFuture;

/// Handles client requests.
pub struct RelayHandler {
    relay: Arc<Relay>,
}

impl RelayHandler {
    /// Creates a handler for the clients of `relay`.
    pub fn new(relay: Arc<Relay>) -> Self {
        Self { relay }
    }
}

impl HttpHandler for RelayHandler {
    fn handle(&self, request: Request<RequestBody>) -> BoxFuture<'static, Answer> {
        let relay = self.relay.clone();
        Box::pin(async move {
            let counted = InProgress::new(relay.clone());
            let mut answer = serve(&relay, request).await;
            if relay.is_stopping() {
                answer.headers_mut().insert(CONNECTION, http::HeaderValue::from_static("close"));
            }
            let (head, body) = answer.into_parts();
            Response::from_parts(head, counted.until_end_of(body))
        })
    }
}

async fn serve(relay: &Arc<Relay>, request: Request<RequestBody>) -> Answer {
    let started_ms = relay.now_ms();
    if relay.platform_headers.is_ready_path(request.uri().path()) {
        let status = ready_status(relay);
        return answer(status, "text/plain", Bytes::new());
    }
    relay.metrics.count(Counter::RequestsReceived);
    match admit(relay, started_ms, request).await {
        Ok(admitted) => Exchange::new(relay, started_ms, admitted).run().await,
        Err(refusal) => {
            relay.metrics.count(Counter::RequestsRefused);
            refusal
        }
    }
}

/// The readiness status that load balancers see.
pub(super) fn ready_status(relay: &Relay) -> StatusCode {
    if relay.is_ready() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE }
}
