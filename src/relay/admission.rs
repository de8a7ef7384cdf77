//! Admits client requests: reads headers and body, finds the route, checks key and quota.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONTENT_LENGTH, HOST};
use http::{HeaderMap, Method, Request, StatusCode, Uri};
use tokio::time::timeout;
use tracing::info;

use super::access::Access;
use super::border::RequestMeta;
use super::quota::UsedCredit;
use super::refusal::{NotSent, own_answer, refuse, refuse_unavailable};
use super::shared::Relay;
use crate::http::{
    Answer, BodyFault, NO_ROOM, RequestBody, header, no_room_retry_ms, remove_connection_headers,
};
use crate::metrics::Counter;
use crate::resources::ConnectionGuard;
use crate::routing::{RouteMatch, RouteTable};

/// The time limit for reading a client's request body.
const BODY_TIMEOUT_MS: u64 = 3_000;
/// The longest names of weights that are looked for. The names of all requests are kept for a while, by
/// the leader too.
const WEIGHTS_NAME_MAX_BYTES: usize = 512;
/// How long a request waits on a gateway that has no routes yet: the time a gateway needs to find a
/// newly elected leader. It is shorter than the time clients allow for reading a request.
const FIRST_ROUTES_WAIT_MS: u64 = 400;

/// The longest wait of a request for recent routes.
const KNOWLEDGE_WAIT_MAX_MS: u64 = 2_000;
/// `Retry-After` of a request whose route is not known for certain: a renewal of the session.
const UNCERTAIN_ROUTES_RETRY_MS: u64 = 300;

/// A request that was read completely and may be sent.
pub(super) struct Admitted {
    pub(super) meta: RequestMeta,
    pub(super) chosen: RouteMatch,
    pub(super) access: Access,
    pub(super) used_credit: Option<UsedCredit>,
    pub(super) method: Method,
    pub(super) target: Uri,
    /// The headers to forward to an endpoint.
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    /// The client's connection; `None` if another gateway read the request.
    pub(super) client: Option<ConnectionGuard>,
}

/// Reads a request completely and finds its route.
///
/// # Errors
/// The response that refuses the request.
pub(super) async fn admit(
    relay: &Arc<Relay>,
    started_ms: u64,
    request: Request<RequestBody>,
) -> Result<Admitted, Answer> {
    let (head, body) = request.into_parts();
    let meta = relay.platform_headers.read_request(&head.headers).map_err(|detail| {
        info!(event = "request_invalid", detail = %detail);
        own_answer(StatusCode::BAD_REQUEST, &detail)
    })?;
    for field in &meta.unread {
        info!(event = "request_unclear", request = %meta.id, field);
    }
    await_knowledge(relay, started_ms, &meta).await?;
    let table = await_table(relay, started_ms).await;
    let host = header(&head.headers, HOST.as_str()).unwrap_or_default();
    let Some(chosen) = table.find(host, head.uri.path(), &meta.id) else {
        return Err(no_route(relay, &table, &meta));
    };
    if let Some(size_bytes) = long_weights_name(&meta, &chosen) {
        info!(
            event = "request_refused",
            request = %meta.id,
            reason = "WeightsNameTooLong",
            size_bytes
        );
        let detail = format!("the names of weights have at most {WEIGHTS_NAME_MAX_BYTES} bytes");
        return Err(own_answer(StatusCode::BAD_REQUEST, &detail));
    }
    let refused = |reason: NotSent| refuse_unsent(relay, started_ms, &meta, &chosen, reason);
    // Checked at the time the request was read: a later confirmation by the leader must not change
    // the result.
    let access = Access::authenticate(relay, started_ms, &table, &chosen.route, meta.credential)
        .map_err(&refused)?;
    let limits = table.configuration().limits;
    let client = body.connection();
    let body = tokio::select! {
        biased;
        body = body.read(limits.body_max_bytes, BODY_TIMEOUT_MS) => body,
        () = relay.until_too_late_for(&chosen.route) => return Err(refused(NotSent::Stopping)),
    };
    let body = body.map_err(|fault| {
        info!(event = "request_refused", request = %meta.id, reason = ?fault);
        match fault {
            BodyFault::TooLarge => own_answer(StatusCode::PAYLOAD_TOO_LARGE, "too large"),
            BodyFault::NoRoom => refuse_unavailable(NO_ROOM, no_room_retry_ms()),
            BodyFault::TooSlow | BodyFault::Broken => {
                own_answer(StatusCode::REQUEST_TIMEOUT, "the body did not arrive")
            }
        }
    })?;
    let used_credit = match access.quota() {
        Some((workspace, quota)) => {
            let used = UsedCredit::take(relay, workspace, quota, meta.tokens()).await;
            Some(used.map_err(&refused)?)
        }
        None => None,
    };
    relay.budget(&chosen.service.name, |budget| budget.note_request(started_ms));
    let mut headers = head.headers;
    remove_connection_headers(&mut headers);
    headers.remove(CONTENT_LENGTH);
    relay.platform_headers.remove_reserved(&mut headers);
    Ok(Admitted {
        meta,
        chosen,
        access,
        used_credit,
        method: head.method,
        target: head.uri,
        headers,
        body,
        client: Some(client),
    })
}

/// The size of the names of the weights if they are too long, unless the service ignores them.
fn long_weights_name(meta: &RequestMeta, chosen: &RouteMatch) -> Option<usize> {
    chosen.service.engine.as_ref()?;
    let size_bytes = meta.weights.as_ref()?.size_bytes();
    (size_bytes > WEIGHTS_NAME_MAX_BYTES).then_some(size_bytes)
}

/// Waits for a confirmation that the known routes are recent, if that is expected.
///
/// # Errors
/// None came before the client's deadline.
async fn await_knowledge(relay: &Relay, started_ms: u64, meta: &RequestMeta) -> Result<(), Answer> {
    let wait_max_ms = meta.deadline_ms.unwrap_or(KNOWLEDGE_WAIT_MAX_MS).min(KNOWLEDGE_WAIT_MAX_MS);
    let until_ms = started_ms + wait_max_ms;
    if relay.await_knowledge(until_ms).await {
        return Ok(());
    }
    let known_age_ms = relay.known_age_ms(relay.now_ms()).unwrap_or(0);
    info!(event = "refused", request = %meta.id, reason = "KnowledgeTooOld", known_age_ms);
    Err(refuse_unavailable("the routes are not known for certain", UNCERTAIN_ROUTES_RETRY_MS))
}

/// Returns the routing table. A gateway that has just started first waits up to
/// [`FIRST_ROUTES_WAIT_MS`] until the leader has sent a table and confirmed that it is the newest;
/// without that it could accept no key.
async fn await_table(relay: &Relay, started_ms: u64) -> Arc<RouteTable> {
    let until_ms = started_ms + FIRST_ROUTES_WAIT_MS;
    loop {
        let changed = relay.changed.notified();
        let confirmed = relay.confirmed.notified();
        let table = relay.table();
        let now_ms = relay.now_ms();
        let is_known = table.version() > 0 && relay.has_been_confirmed();
        if is_known || now_ms >= until_ms {
            return table;
        }
        let either = async {
            tokio::select! { () = changed => {}, () = confirmed => {} }
        };
        let _ = timeout(Duration::from_millis(until_ms - now_ms), either).await;
    }
}

/// Refuses a request after its route was found and before an endpoint is selected.
fn refuse_unsent(
    relay: &Relay,
    started_ms: u64,
    meta: &RequestMeta,
    chosen: &RouteMatch,
    reason: NotSent,
) -> Answer {
    let counter = match reason {
        NotSent::OverQuota { .. } => Counter::RequestsOverQuota,
        NotSent::Unauthorized(_) => Counter::RequestsUnauthorized,
        _ => Counter::RequestsNotAdmitted,
    };
    relay.metrics.count(counter);
    info!(
        event = "refused",
        request = %meta.id,
        route = %chosen.route.name,
        weights = %meta.weights.as_ref().map_or_else(String::new, ToString::to_string),
        version = relay.table().version(),
        reason = ?reason,
        after_ms = relay.now_ms() - started_ms
    );
    refuse(reason)
}

fn no_route(relay: &Relay, table: &RouteTable, meta: &RequestMeta) -> Answer {
    let is_certain = table.version() > 0 && relay.is_up_to_date(relay.now_ms());
    info!(event = "no_route", request = %meta.id, version = table.version(), certain = is_certain);
    if is_certain {
        return own_answer(StatusCode::NOT_FOUND, "no route");
    }
    refuse_unavailable("the routes are not known for certain", UNCERTAIN_ROUTES_RETRY_MS)
}
