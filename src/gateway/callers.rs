//! HTTP handler of the gateway's client listener: checks requests, resolves the service that they
//! name, and turns results and failures into responses.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http::{HeaderMap, Method, Request, StatusCode};
use serde_json::json;
use tracing::info;
use uuid::Uuid;

use crate::endpoint::{IDEMPOTENCY_KEY_HEADER, REQUEST_ID_HEADER};
use crate::gateway::answers::{StreamingBody, replayed_answer, stream_answer, whole_answer};
use crate::gateway::claims::{self, ClaimedCallOutcome};
use crate::gateway::exchange::{self, Exchange, Reply};
use crate::gateway::openai::{CompletionKind, CompletionRequest};
use crate::gateway::problem::Problem;
use crate::gateway::shared::{InProgress, Shared};
use crate::http::{
    Answer, BodyFault, HttpHandler, NO_ROOM, RequestBody, header, json_answer, no_room_retry_ms,
};
use crate::message::{AdapterKey, Call, Priority, RunState, Service};
use crate::metrics::{Counter, Timer};
use crate::wire::BoxFuture;

/// Request header: priority of the request.
pub const PRIORITY_HEADER: &str = "winchvane-priority";
/// Request header: longest time that the client waits, in milliseconds.
pub const DEADLINE_HEADER: &str = "winchvane-deadline-ms";

const MAX_IDEMPOTENCY_KEY_BYTES: usize = 255;
const MAX_REQUEST_ID_BYTES: usize = 128;
const BUSY_RETRY_AFTER_MS: u32 = 1_000;
/// Interval at which a waiting request checks whether control has confirmed the configuration.
const CONFIRMATION_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Serves clients' requests.
pub struct ClientHandler {
    shared: Arc<Shared>,
}

impl ClientHandler {
    /// Creates a handler for the gateway with this shared state.
    pub fn new(shared: Arc<Shared>) -> Self {
        Self { shared }
    }
}

impl HttpHandler for ClientHandler {
    fn handle(&self, request: Request<RequestBody>) -> BoxFuture<'static, Answer> {
        let shared = self.shared.clone();
        Box::pin(async move {
            let request_id = request_id(request.headers());
            let mut answer = serve(&shared, request, &request_id).await;
            if let Ok(value) = request_id.parse() {
                answer.headers_mut().insert(REQUEST_ID_HEADER, value);
            }
            answer
        })
    }
}

fn request_id(headers: &HeaderMap) -> Arc<str> {
    match header(headers, REQUEST_ID_HEADER) {
        Some(id) if !id.is_empty() && id.len() <= MAX_REQUEST_ID_BYTES => id.into(),
        _ => Uuid::now_v7().to_string().into(),
    }
}

async fn serve(
    shared: &Arc<Shared>,
    request: Request<RequestBody>,
    request_id: &Arc<str>,
) -> Answer {
    match (request.method(), request.uri().path()) {
        (&Method::GET, "/health") => return json_answer(StatusCode::OK, &json!({"status": "ok"})),
        (&Method::GET, "/ready") => return ready(shared),
        _ => {}
    }
    shared.metrics.count(Counter::RequestsReceived);
    let (in_progress, before) = InProgress::new(shared);
    let result = if before >= shared.settings.limits.concurrent_requests {
        let message = "this gateway has too many requests in progress";
        Err(Problem::busy("too_many_requests", message, BUSY_RETRY_AFTER_MS))
    } else {
        route(shared, request, request_id, in_progress).await
    };
    result.unwrap_or_else(|problem| problem.into_answer(shared, request_id))
}

fn ready(shared: &Shared) -> Answer {
    if shared.is_ready() {
        return json_answer(StatusCode::OK, &json!({"status": "ready"}));
    }
    let reason = if shared.is_stopping() { "stopping" } else { "configuration not confirmed" };
    json_answer(StatusCode::SERVICE_UNAVAILABLE, &json!({"status": reason}))
}

async fn route(
    shared: &Arc<Shared>,
    request: Request<RequestBody>,
    request_id: &Arc<str>,
    in_progress: InProgress,
) -> Result<Answer, Problem> {
    let path = request.uri().path();
    let completion = match path {
        "/v1/completions" => Some(CompletionKind::Text),
        "/v1/chat/completions" => Some(CompletionKind::Chat),
        _ => None,
    };
    if let Some(kind) = completion {
        if request.method() != Method::POST {
            return Err(wrong_method("POST"));
        }
        return serve_completion(shared, request, request_id, kind, in_progress).await;
    }
    if path.starts_with("/services/") {
        return serve_service_call(shared, request, request_id).await;
    }
    if path == "/v1/models" || path.starts_with("/v1/models/") {
        if request.method() != Method::GET {
            return Err(wrong_method("GET"));
        }
        wait_until_fresh(shared, None).await?;
        return models(shared, path);
    }
    Err(Problem::invalid(StatusCode::NOT_FOUND, "unknown_path", format!("no path {path} here")))
}

fn wrong_method(expected: &str) -> Problem {
    let message = format!("expected the method {expected}");
    Problem::invalid(StatusCode::METHOD_NOT_ALLOWED, "wrong_method", message)
}

fn models(shared: &Shared, path: &str) -> Result<Answer, Problem> {
    let directory = shared.directory();
    if let Some(name) = path.strip_prefix("/v1/models/") {
        let service = directory.service(name).ok_or_else(|| unknown_model(name))?;
        return Ok(json_answer(StatusCode::OK, &model_object(&service)));
    }
    let mut services: Vec<&Arc<Service>> = directory.services().collect();
    services.sort_by(|one, other| one.name.cmp(&other.name));
    let mut data = Vec::with_capacity(services.len());
    for service in services {
        if service.adapter.is_some() {
            data.push(model_object(service));
        }
    }
    Ok(json_answer(StatusCode::OK, &json!({"object": "list", "data": data})))
}

fn model_object(service: &Service) -> serde_json::Value {
    json!({
        "id": service.name,
        "object": "model",
        "created": 0,
        "owned_by": service.workspace,
        "adapter": service.adapter.as_ref().map(ToString::to_string),
    })
}

fn unknown_model(name: &str) -> Problem {
    let message = format!("no service and no adapter@version in force is named \"{name}\"");
    let mut problem = Problem::invalid(StatusCode::NOT_FOUND, "model_not_found", message);
    problem.param = Some("model");
    problem
}

/// Waits until control has confirmed that this gateway has every accepted change, and returns an
/// error when no confirmation comes in time.
///
/// A gateway process that was suspended reads waiting requests before it can have received the next
/// confirmation. Requests therefore wait for it for a short time, within the client's deadline.
async fn wait_until_fresh(shared: &Shared, deadline_ms: Option<u32>) -> Result<(), Problem> {
    let arrived_ms = shared.now_ms();
    let deadline_ms = arrived_ms + deadline_ms.map_or(u64::MAX / 2, u64::from);
    loop {
        let now_ms = shared.now_ms();
        if shared.lease.is_fresh(now_ms) {
            return Ok(());
        }
        if now_ms >= shared.lease.note_missing_confirmation(now_ms).min(deadline_ms) {
            break;
        }
        tokio::time::sleep(CONFIRMATION_POLL_INTERVAL).await;
    }
    shared.metrics.count(Counter::NotFresh);
    let message = "this gateway cannot confirm its configuration";
    Err(Problem::busy("configuration_not_confirmed", message, BUSY_RETRY_AFTER_MS))
}

struct ClientOptions {
    priority: Option<Priority>,
    deadline_ms: Option<u32>,
    idempotency_key: Option<Arc<str>>,
}

fn parse_client_options(headers: &HeaderMap) -> Result<ClientOptions, Problem> {
    let invalid_header =
        |message: String| Problem::invalid(StatusCode::BAD_REQUEST, "invalid_header", message);
    let priority = match header(headers, PRIORITY_HEADER) {
        None => None,
        Some(text) => Some(Priority::parse(text).ok_or_else(|| {
            invalid_header(format!("{PRIORITY_HEADER}: expected interactive, standard or batch"))
        })?),
    };
    let deadline_ms = match header(headers, DEADLINE_HEADER) {
        None => None,
        Some(text) => Some(text.parse().ok().filter(|value| *value > 0).ok_or_else(|| {
            invalid_header(format!("{DEADLINE_HEADER}: expected a positive number of milliseconds"))
        })?),
    };
    let idempotency_key = match headers.get(IDEMPOTENCY_KEY_HEADER) {
        None => None,
        Some(value) => match value.to_str() {
            Ok(key) if !key.is_empty() && key.len() <= MAX_IDEMPOTENCY_KEY_BYTES => {
                Some(key.into())
            }
            _ => {
                let expected =
                    format!("expected 1 to {MAX_IDEMPOTENCY_KEY_BYTES} printable characters");
                return Err(invalid_header(format!("Idempotency-Key: {expected}")));
            }
        },
    };
    Ok(ClientOptions { priority, deadline_ms, idempotency_key })
}

async fn read_client_body(shared: &Shared, body: RequestBody) -> Result<Bytes, Problem> {
    let limits = &shared.settings.limits;
    let body = body.read(limits.body_max_bytes, limits.body_timeout_ms).await;
    body.map_err(|fault| match fault {
        BodyFault::TooLarge => Problem::invalid(
            StatusCode::PAYLOAD_TOO_LARGE,
            "body_too_large",
            format!("the body is larger than {} bytes", limits.body_max_bytes),
        ),
        BodyFault::NoRoom => Problem::busy("no_room", NO_ROOM, no_room_retry_ms() as u32),
        BodyFault::TooSlow => Problem::invalid(
            StatusCode::REQUEST_TIMEOUT,
            "body_too_slow",
            format!("the body did not arrive within {} ms", limits.body_timeout_ms),
        ),
        BodyFault::Broken => Problem::invalid(
            StatusCode::BAD_REQUEST,
            "body_broken",
            "the connection broke off within the body",
        ),
    })
}

async fn serve_completion(
    shared: &Arc<Shared>,
    request: Request<RequestBody>,
    request_id: &Arc<str>,
    kind: CompletionKind,
    in_progress: InProgress,
) -> Result<Answer, Problem> {
    let arrived_ms = shared.now_ms();
    let (parts, body) = request.into_parts();
    let options = parse_client_options(&parts.headers)?;
    wait_until_fresh(shared, options.deadline_ms).await?;
    let content_type = header(&parts.headers, CONTENT_TYPE.as_str()).unwrap_or("");
    if !content_type.starts_with("application/json") {
        let message = "expected the content type application/json";
        let status = StatusCode::UNSUPPORTED_MEDIA_TYPE;
        return Err(Problem::invalid(status, "wrong_content_type", message));
    }
    let body = read_client_body(shared, body).await?;
    let completion = CompletionRequest::parse(kind, &body)?;
    let (service, adapter) = resolve_model(shared, &completion.model)?;
    let stream = completion.stream;
    let priority = options.priority.unwrap_or(service.priority);
    let call = Call {
        method: "POST".into(),
        path: kind.path().into(),
        content_type: Some("application/json".into()),
        idempotency_key: options.idempotency_key.clone(),
        stream,
        body: completion.into_engine_body(&service, &adapter, priority)?,
    };
    let repeatable = !service.not_repeatable.covers("POST", kind.path());
    let exchange = Exchange {
        request_id: request_id.clone(),
        deadline_ms: arrived_ms + u64::from(deadline_ms(&options, &service)),
        service,
        adapter: Some(adapter),
        priority,
        call,
        repeatable,
        streams: stream && repeatable,
    };
    run(shared, exchange, options.idempotency_key, arrived_ms, Some(in_progress)).await
}

fn deadline_ms(options: &ClientOptions, service: &Service) -> u32 {
    options.deadline_ms.map_or(service.deadline_ms, |deadline| deadline.min(service.deadline_ms))
}

/// Resolves `model`, which is the name of a service or an adapter and version (`name@version`).
fn resolve_model(shared: &Shared, model: &str) -> Result<(Arc<Service>, AdapterKey), Problem> {
    let directory = shared.directory();
    if let Some(service) = directory.service(model) {
        let adapter = service.adapter.clone().ok_or_else(|| {
            let message = format!("service \"{model}\" is a plain service; call it at /services/");
            Problem::invalid(StatusCode::BAD_REQUEST, "not_a_model", message)
        })?;
        return Ok((service, adapter));
    }
    let adapter = AdapterKey::parse(model).ok_or_else(|| unknown_model(model))?;
    let service = directory.service_of(&adapter).ok_or_else(|| unknown_model(model))?;
    Ok((service, adapter))
}

async fn serve_service_call(
    shared: &Arc<Shared>,
    request: Request<RequestBody>,
    request_id: &Arc<str>,
) -> Result<Answer, Problem> {
    let arrived_ms = shared.now_ms();
    let (parts, body) = request.into_parts();
    let options = parse_client_options(&parts.headers)?;
    wait_until_fresh(shared, options.deadline_ms).await?;
    let target = parts.uri.path_and_query().map_or("", |path| path.as_str());
    let rest = target.strip_prefix("/services/").unwrap_or("");
    let name_end = rest.find(['/', '?']).unwrap_or(rest.len());
    let (name, path) = rest.split_at(name_end);
    let path = if path.starts_with('/') { path.to_owned() } else { format!("/{path}") };
    let service = shared.directory().service(name).ok_or_else(|| {
        let message = format!("no service in force is named \"{name}\"");
        Problem::invalid(StatusCode::NOT_FOUND, "service_not_found", message)
    })?;
    if service.adapter.is_some() {
        let message = format!("service \"{name}\" is a model; call it at /v1/completions");
        return Err(Problem::invalid(StatusCode::BAD_REQUEST, "not_a_plain_service", message));
    }
    let body = read_client_body(shared, body).await?;
    let call = Call {
        method: parts.method.as_str().into(),
        path: path.as_str().into(),
        content_type: header(&parts.headers, CONTENT_TYPE.as_str()).map(Into::into),
        idempotency_key: options.idempotency_key.clone(),
        stream: false,
        body: body.to_vec(),
    };
    let exchange = Exchange {
        request_id: request_id.clone(),
        deadline_ms: arrived_ms + u64::from(deadline_ms(&options, &service)),
        repeatable: !service.not_repeatable.covers(parts.method.as_str(), &path),
        priority: options.priority.unwrap_or(service.priority),
        service,
        adapter: None,
        call,
        streams: false,
    };
    run(shared, exchange, options.idempotency_key, arrived_ms, None).await
}

async fn run(
    shared: &Arc<Shared>,
    exchange: Exchange,
    key: Option<Arc<str>>,
    arrived_ms: u64,
    in_progress: Option<InProgress>,
) -> Result<Answer, Problem> {
    let adapter = exchange.adapter.clone();
    let request_id = exchange.request_id.clone();
    let answered = if exchange.repeatable {
        match exchange::run(shared, &exchange).await? {
            Reply::Whole(whole) => whole_answer(whole, adapter.as_ref()),
            Reply::Stream(streaming) => {
                let body = StreamingBody {
                    shared: shared.clone(),
                    request_id: request_id.clone(),
                    _in_progress: in_progress,
                };
                stream_answer(streaming, adapter.as_ref(), body)
            }
        }
    } else {
        let key = key.ok_or_else(|| {
            let message = "this call may not be repeated and needs an Idempotency-Key";
            Problem::invalid(StatusCode::BAD_REQUEST, "idempotency_key_required", message)
        })?;
        claimed_answer(shared, claims::run(shared.clone(), exchange, key).await, adapter.as_ref())?
    };
    let first_byte_ms = shared.now_ms() - arrived_ms;
    shared.metrics.count(Counter::RequestsAnswered);
    shared.metrics.time(Timer::FirstByte, first_byte_ms);
    info!(
        event = "request_answered",
        request = %request_id,
        status = answered.status().as_u16(),
        first_byte_ms = first_byte_ms
    );
    Ok(answered)
}

fn claimed_answer(
    shared: &Shared,
    outcome: ClaimedCallOutcome,
    adapter: Option<&AdapterKey>,
) -> Result<Answer, Problem> {
    let conflict = |code, message: &str| Problem::invalid(StatusCode::CONFLICT, code, message);
    match outcome {
        ClaimedCallOutcome::Answered(whole) => Ok(whole_answer(whole, adapter)),
        ClaimedCallOutcome::Replayed(recorded) => {
            shared.metrics.count(Counter::RequestsReplayed);
            Ok(replayed_answer(&recorded))
        }
        ClaimedCallOutcome::AnswerGone => Err(Problem {
            status: StatusCode::GONE,
            run: RunState::Unknown,
            ..conflict("answer_not_kept", "this call ran before; its answer is not kept any more")
        }),
        ClaimedCallOutcome::InProgress => Err(Problem {
            run: RunState::Unknown,
            retry_after_ms: Some(BUSY_RETRY_AFTER_MS),
            ..conflict("in_progress", "a call with this Idempotency-Key is in progress")
        }),
        ClaimedCallOutcome::Unknown => Err(Problem {
            run: RunState::Unknown,
            ..conflict(
                "outcome_unknown",
                "whether the call with this Idempotency-Key ran is not known; it will not be run \
                 again",
            )
        }),
        ClaimedCallOutcome::OtherBody => Err(Problem::invalid(
            StatusCode::UNPROCESSABLE_ENTITY,
            "key_reused",
            "this Idempotency-Key was used for another call",
        )),
        ClaimedCallOutcome::TooOld => Err(Problem::invalid(
            StatusCode::UNPROCESSABLE_ENTITY,
            "key_too_old",
            "this Idempotency-Key was issued longer ago than calls are remembered",
        )),
        ClaimedCallOutcome::Full => Err(Problem::busy(
            "ledger_full",
            "the run ledger takes no more keys",
            60 * BUSY_RETRY_AFTER_MS,
        )),
        ClaimedCallOutcome::NotClaimed(detail) => {
            Err(Problem::busy("not_claimed", detail, BUSY_RETRY_AFTER_MS))
        }
        ClaimedCallOutcome::GivenUp(given_up) => Err(given_up.into()),
    }
}
