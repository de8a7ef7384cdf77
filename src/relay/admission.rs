//! Taking a request in: its headers, its route, its body.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONTENT_LENGTH, HOST};
use http::{HeaderMap, Method, Request, StatusCode, Uri};
use hyper::body::Incoming;
use tokio::time::timeout;
use tracing::info;

use super::border::RequestMeta;
use super::exchange::remove_connection_headers;
use super::refusal::{come_back, own_answer};
use super::shared::Relay;
use crate::http::{Answer, BodyFault, header, read_body};
use crate::routing::{Chosen, RouteTable};

/// How long a client's body may take.
const BODY_TIMEOUT_MS: u64 = 3_000;
/// How long a request waits at a gateway that knows no routes yet: what a gateway needs to find a
/// leader that has just been elected. Less than clients give a gateway to read a request.
const FIRST_ROUTES_WAIT_MS: u64 = 400;

/// A request that was read whole.
pub(super) struct Admitted {
    pub(super) meta: RequestMeta,
    pub(super) chosen: Chosen,
    pub(super) method: Method,
    pub(super) target: Uri,
    /// What passes on to an endpoint.
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
}

/// Reads a request whole and finds its route.
///
/// # Errors
/// The answer that refuses it.
pub(super) async fn admit(
    relay: &Arc<Relay>,
    started_ms: u64,
    request: Request<Incoming>,
) -> Result<Admitted, Answer> {
    let (head, body) = request.into_parts();
    let meta = relay.border.read_request(&head.headers).map_err(|detail| {
        info!(event = "request_invalid", detail = %detail);
        own_answer(StatusCode::BAD_REQUEST, &detail)
    })?;
    for field in &meta.unread {
        info!(event = "request_unclear", request = %meta.id, field);
    }
    let table = known_table(relay, started_ms).await;
    let host = header(&head.headers, HOST.as_str()).unwrap_or_default();
    let Some(chosen) = table.find(host, head.uri.path(), &meta.id) else {
        return Err(no_route(relay, &table, &meta));
    };
    let limits = table.configuration().limits;
    let body = read_body(body, limits.body_max_bytes, BODY_TIMEOUT_MS).await.map_err(|fault| {
        info!(event = "request_refused", request = %meta.id, reason = ?fault);
        match fault {
            BodyFault::TooLarge => own_answer(StatusCode::PAYLOAD_TOO_LARGE, "too large"),
            BodyFault::TooSlow | BodyFault::Broken => {
                own_answer(StatusCode::REQUEST_TIMEOUT, "the body did not arrive")
            }
        }
    })?;
    relay.budget(&chosen.service.name, |budget| budget.note_request(started_ms));
    let mut headers = head.headers;
    remove_connection_headers(&mut headers);
    headers.remove(CONTENT_LENGTH);
    relay.border.remove_reserved(&mut headers);
    Ok(Admitted { meta, chosen, method: head.method, target: head.uri, headers, body })
}

/// The routes; a gateway that has just started waits a little until the leader tells them.
async fn known_table(relay: &Relay, started_ms: u64) -> Arc<RouteTable> {
    let until_ms = started_ms + FIRST_ROUTES_WAIT_MS;
    loop {
        let changed = relay.changed.notified();
        let table = relay.table();
        let now_ms = relay.now_ms();
        if table.version() > 0 || now_ms >= until_ms {
            return table;
        }
        let _ = timeout(Duration::from_millis(until_ms - now_ms), changed).await;
    }
}

fn no_route(relay: &Relay, table: &RouteTable, meta: &RequestMeta) -> Answer {
    let is_certain = table.version() > 0 && relay.is_confirmed(relay.now_ms());
    info!(event = "no_route", request = %meta.id, version = table.version(), certain = is_certain);
    if is_certain {
        return own_answer(StatusCode::NOT_FOUND, "no route");
    }
    come_back("the routes are not known for certain", 300)
}
