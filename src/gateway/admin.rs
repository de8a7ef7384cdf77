//! HTTP handler of the gateway's admin listener: declarations, status, metrics, state dump and log
//! level.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use http::{Method, Request, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::json;
use tracing::info;

use crate::admin::{metrics_text, problem, set_log_level};
use crate::document::{Document, DocumentKind, validate};
use crate::error::Error;
use crate::gateway::owner::OwnerMessage;
use crate::gateway::shared::Shared;
use crate::http::{Answer, BodyFault, HttpHandler, NO_ROOM, RequestBody, json_answer};
use crate::message::{ApplyReply, ControlReply, ControlRequest, Verdict};
use crate::wire::{BoxFuture, traffic};

const APPLY_TIMEOUT_MS: u64 = 20_000;
const READ_TIMEOUT_MS: u64 = 5_000;
const DUMP_TIMEOUT_MS: u64 = 2_000;
const BODY_MAX_BYTES: usize = 64 << 20;
const BODY_TIMEOUT_MS: u64 = 30_000;

/// The body of `POST /config`.
#[derive(Debug, Serialize, Deserialize)]
pub struct ApplyBody {
    /// Declarations to apply.
    pub documents: Vec<Document>,
    /// Checks the declarations without applying them.
    #[serde(default)]
    pub dry_run: bool,
}

/// Serves operators' requests on the admin listener.
pub struct AdminHandler {
    shared: Arc<Shared>,
}

impl AdminHandler {
    /// Creates a handler for the gateway with this shared state.
    pub fn new(shared: Arc<Shared>) -> Self {
        Self { shared }
    }
}

impl HttpHandler for AdminHandler {
    fn handle(&self, request: Request<RequestBody>) -> BoxFuture<'static, Answer> {
        let shared = self.shared.clone();
        Box::pin(async move { serve(&shared, request).await })
    }
}

async fn serve(shared: &Arc<Shared>, request: Request<RequestBody>) -> Answer {
    match (request.method(), request.uri().path()) {
        (&Method::GET, "/health") => json_answer(StatusCode::OK, &json!({"status": "ok"})),
        (&Method::GET, "/metrics") => metrics_text(&shared.metrics),
        (&Method::GET, "/dump") => json_answer(StatusCode::OK, &dump(shared).await),
        (&Method::GET, "/status") => status(shared).await,
        (&Method::PUT, "/log-level") => set_log_level(request).await,
        (&Method::POST, "/config") => apply(shared, request).await,
        (&Method::GET, "/config") => get(shared, request.uri().query().unwrap_or("")).await,
        (_, "/health" | "/dump" | "/status" | "/log-level" | "/config") => {
            problem(StatusCode::METHOD_NOT_ALLOWED, "this path has another method")
        }
        (_, path) => problem(StatusCode::NOT_FOUND, &format!("no path {path} here")),
    }
}

async fn apply(shared: &Shared, request: Request<RequestBody>) -> Answer {
    let body = match request.into_body().read(BODY_MAX_BYTES, BODY_TIMEOUT_MS).await {
        Ok(body) => body,
        Err(BodyFault::TooLarge) => {
            return problem(StatusCode::PAYLOAD_TOO_LARGE, "the declarations are too large");
        }
        Err(BodyFault::NoRoom) => return problem(StatusCode::SERVICE_UNAVAILABLE, NO_ROOM),
        Err(BodyFault::TooSlow | BodyFault::Broken) => {
            return problem(StatusCode::BAD_REQUEST, "the body did not arrive whole");
        }
    };
    let body: ApplyBody = match serde_json::from_slice(&body) {
        Ok(body) => body,
        Err(error) => return problem(StatusCode::BAD_REQUEST, &error.to_string()),
    };
    let mut problems = Vec::new();
    for document in &body.documents {
        problems.extend(validate(document));
    }
    if !problems.is_empty() {
        return problem(StatusCode::UNPROCESSABLE_ENTITY, &problems.join("; "));
    }
    let ApplyBody { documents, dry_run } = body;
    let request = ControlRequest::Apply { documents, dry_run };
    match shared.control.call(&request, APPLY_TIMEOUT_MS).await {
        Ok(ControlReply::Applied(reply)) => {
            info!(
                event = "applied",
                accepted = reply.accepted,
                index = reply.index,
                dry_run = dry_run
            );
            json_answer(apply_status(&reply), &json!(reply))
        }
        Ok(ControlReply::Invalid(detail)) => problem(StatusCode::PAYLOAD_TOO_LARGE, &detail),
        Ok(_) => problem(StatusCode::BAD_GATEWAY, "control gave another kind of answer"),
        Err(error) => control_unavailable(&error),
    }
}

fn apply_status(reply: &ApplyReply) -> StatusCode {
    if reply.accepted {
        return StatusCode::OK;
    }
    let conflicts =
        reply.verdicts.iter().any(|found| matches!(found.verdict, Verdict::Conflict { .. }));
    if conflicts { StatusCode::CONFLICT } else { StatusCode::UNPROCESSABLE_ENTITY }
}

fn control_unavailable(error: &Error) -> Answer {
    let message = format!("{error}; applying the same declarations again is harmless");
    problem(StatusCode::SERVICE_UNAVAILABLE, &message)
}

async fn get(shared: &Shared, query: &str) -> Answer {
    let mut kind = None;
    let mut name = None;
    for pair in query.split('&') {
        match pair.split_once('=') {
            Some(("kind", "template")) => kind = Some(DocumentKind::Template),
            Some(("kind", "service")) => kind = Some(DocumentKind::Service),
            Some(("name", value)) => name = Some(value.into()),
            _ if pair.is_empty() => {}
            _ => {
                let expected = "expected kind=template, kind=service or name=NAME";
                return problem(StatusCode::BAD_REQUEST, expected);
            }
        }
    }
    match shared.control.call(&ControlRequest::Get { kind, name }, READ_TIMEOUT_MS).await {
        Ok(ControlReply::Documents(documents)) => {
            json_answer(StatusCode::OK, &json!({"documents": documents}))
        }
        Ok(_) => problem(StatusCode::BAD_GATEWAY, "control gave another kind of answer"),
        Err(error) => control_unavailable(&error),
    }
}

async fn status(shared: &Shared) -> Answer {
    match shared.control.call(&ControlRequest::Status, READ_TIMEOUT_MS).await {
        Ok(ControlReply::Status(status)) => json_answer(StatusCode::OK, &json!(status)),
        Ok(_) => problem(StatusCode::BAD_GATEWAY, "control gave another kind of answer"),
        Err(error) => control_unavailable(&error),
    }
}

async fn dump(shared: &Arc<Shared>) -> serde_json::Value {
    let owned: Vec<_> = shared.owned().values().cloned().collect();
    let mut endpoints = Vec::with_capacity(owned.len());
    for owned in owned {
        if let Ok(dump) = ractor::call_t!(owned.actor, OwnerMessage::Dump, DUMP_TIMEOUT_MS) {
            endpoints.push(dump);
        }
    }
    let now_ms = shared.now_ms();
    let directory = shared.directory();
    let gateways: Vec<_> = directory.gateways().map(|gateway| gateway.name.clone()).collect();
    json!({
        "name": shared.settings.common.name,
        "now_ms": now_ms,
        "ready": shared.is_ready(),
        "stopping": shared.is_stopping(),
        "lease": {
            "epoch": shared.lease.epoch(),
            "valid": shared.lease.is_valid(now_ms),
            "fresh_until_ms": shared.lease.fresh_until_ms(),
        },
        "control_leader": shared.control.leader().to_string(),
        "config_index": directory.index(),
        "services": directory.services().len(),
        "gateways": gateways,
        "endpoints_known": directory.endpoints().len(),
        "endpoints_owned": endpoints,
        "requests_in_progress": shared.in_progress.load(Ordering::Relaxed),
        "requests_running": shared.running.load(Ordering::Relaxed),
        "requests_served_to_gateways": shared.serving.load(Ordering::Relaxed),
        "peer_traffic": traffic(),
        "counters": shared.metrics.totals(),
    })
}
