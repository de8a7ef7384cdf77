//! Clients and the operator.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Method, Request};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::timeout;

use crate::endpoint::{EVENTS, FORGED};
use crate::engine::{BASE, CRASHING, CRASHING_PART};
use crate::record::{End, Kind, Record};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const DEADLINE_MS: u64 = 3_000;
/// A request for an adapter may wait this long at an engine that stands still.
const ENGINE_DEADLINE_MS: u64 = 10_000;
const PAUSE: Duration = Duration::from_millis(20);
/// The pause after a request that ends its engine.
const CRASHING_PAUSE: Duration = Duration::from_millis(900);
/// Every so many requests a client sends headers that only gateways may set.
const FORGES_EVERY: u64 = 5;
const FORGED_HEADERS: [&str; 6] =
    ["expect-instance", "expect-version", "request-priority", "hold", "pin-ms", "kv-resume"];
/// The host of all routes.
pub(crate) const HOST: &str = "soak.example";
/// The header with the gateway to which a client sent its request; gateways forward it unchanged.
pub const SENT_TO: &str = "x-sent-to";

/// The parts of a usual prompt.
pub(crate) const PROMPT: &str = "1:200,2:100";

/// The adapters that clients ask for.
pub const ADAPTERS: [&str; 4] = ["a1", "a2", "a3", "a4"];

static NEXT: AtomicU64 = AtomicU64::new(1);

/// Starts clients; each keeps its connection as long as it can.
pub fn start(gateways: Vec<SocketAddr>, clients: u32, record: Arc<Record>) -> Vec<JoinHandle<()>> {
    let mut started = Vec::new();
    for client in 0..clients {
        started.push(tokio::spawn(work(gateways.clone(), client, record.clone())));
    }
    started
}

/// Starts clients that ask for adapters only.
pub fn start_for_adapters(
    gateways: Vec<SocketAddr>,
    clients: u32,
    record: Arc<Record>,
) -> Vec<JoinHandle<()>> {
    let mut started = Vec::new();
    for client in 0..clients {
        started.push(tokio::spawn(work_on(
            vec![Kind::Adapter],
            gateways.clone(),
            client,
            record.clone(),
        )));
    }
    started
}

/// One try of a client that sends its request again and again.
#[derive(Debug, Clone)]
pub struct Try {
    /// The client's number.
    pub client: u32,
    /// The gateway.
    pub gateway: SocketAddr,
    /// When it was sent.
    pub sent_at: Instant,
    /// How it ended.
    pub end: End,
}

/// Starts clients that send one request each, again and again, to one gateway after the other; `note` is
/// told of each try.
pub fn start_repeating(
    gateways: &[SocketAddr],
    clients: u32,
    period: Duration,
    record: &Arc<Record>,
    note: &Arc<dyn Fn(Try) + Send + Sync>,
) -> Vec<JoinHandle<()>> {
    let mut started = Vec::new();
    for client in 0..clients {
        let (gateways, record, note) = (gateways.to_vec(), record.clone(), note.clone());
        started.push(tokio::spawn(async move {
            let body = format!("request of client {client}");
            for turn in client as usize.. {
                let sent_at = Instant::now();
                let address = gateways[turn % gateways.len()];
                let (_, end) = ask_for_adapter(address, ADAPTERS[0], body.clone(), &record).await;
                note(Try { client, gateway: address, sent_at, end });
                tokio::time::sleep(period).await;
            }
        }));
    }
    started
}

/// What the requests of a client have that crashes engines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashingFeature {
    /// The whole content: all requests are the same.
    Content,
    /// A part of their prompts: no two requests are alike.
    PromptPart,
}

/// Starts clients whose requests crash engines; each request goes to another gateway than the one
/// before.
pub fn start_crashing(
    gateways: &[SocketAddr],
    clients: u32,
    feature: CrashingFeature,
    record: &Arc<Record>,
) -> Vec<JoinHandle<()>> {
    let mut started = Vec::new();
    for client in 0..clients {
        let (gateways, record) = (gateways.to_vec(), record.clone());
        started.push(tokio::spawn(async move {
            for turn in client as usize.. {
                let address = gateways[turn % gateways.len()];
                if feature == CrashingFeature::Content {
                    ask_for_adapter(address, ADAPTERS[0], CRASHING, &record).await;
                } else {
                    let prompt = format!("1:200,{CRASHING_PART}:80,{client:x}{turn:05x}:40");
                    ask_with_prompt(address, &prompt, &record).await;
                }
                tokio::time::sleep(CRASHING_PAUSE).await;
            }
        }));
    }
    started
}

/// Sends one request for `adapter` on a connection of its own; its id, and how it ended.
pub async fn ask_for_adapter(
    address: SocketAddr,
    adapter: &str,
    body: impl Into<Bytes>,
    record: &Record,
) -> (String, End) {
    ask_once(address, Kind::Adapter, Some(adapter), body.into(), record).await
}

/// Sends one request with a `prompt` of these parts, for the first adapter, on a new connection; returns
/// its id and how it ended. No two have the same body.
pub async fn ask_with_prompt(address: SocketAddr, prompt: &str, record: &Record) -> (String, End) {
    let id = next_id();
    let body = Bytes::from(id.clone());
    let ask = Ask { adapter: Some(ADAPTERS[0]), prompt, ..Ask::new(address, &id, Kind::Adapter) };
    let end = ask_on_new_connection(ask, body, record).await;
    (id, end)
}

/// Sends one request of a `kind` on a new connection; returns its id and how it ended.
pub(crate) async fn ask_once(
    address: SocketAddr,
    kind: Kind,
    adapter: Option<&str>,
    body: Bytes,
    record: &Record,
) -> (String, End) {
    let id = next_id();
    let ask = Ask { adapter, ..Ask::new(address, &id, kind) };
    let end = ask_on_new_connection(ask, body, record).await;
    (id, end)
}

/// Like [`ask_once`], for a request that waits for its answer no longer than `deadline_ms`; returns how
/// it ended.
pub(crate) async fn ask_within(
    address: SocketAddr,
    kind: Kind,
    adapter: Option<&str>,
    body: Bytes,
    deadline_ms: u64,
    record: &Record,
) -> End {
    let id = next_id();
    let ask = Ask { adapter, deadline_ms, ..Ask::new(address, &id, kind) };
    ask_on_new_connection(ask, body, record).await
}

/// Sends one request of a `kind` for this `path` of the plain service on a new connection; returns its
/// id and how it ended.
pub async fn ask_for_path(
    address: SocketAddr,
    kind: Kind,
    path: &str,
    record: &Record,
) -> (String, End) {
    let id = next_id();
    let ask = Ask { path: Some(path), ..Ask::new(address, &id, kind) };
    let end = ask_on_new_connection(ask, Bytes::new(), record).await;
    (id, end)
}

/// Sends one request for a stream of the plain service on a new connection; returns how it ended.
pub async fn ask_for_stream(address: SocketAddr, deadline: Duration, record: &Record) -> End {
    let body = Bytes::from_static(b"work");
    ask_within(address, Kind::Stream, None, body, deadline.as_millis() as u64, record).await
}

async fn ask_on_new_connection(ask: Ask<'_>, body: Bytes, record: &Record) -> End {
    let Ask { gateway, id, kind, .. } = ask;
    record.sent(id, kind);
    let Some(mut open) = connect(gateway).await else {
        return End::Unknown("no connection".to_owned());
    };
    let limit = Duration::from_millis(ask.deadline_ms + 500);
    let answered = answer_to(&mut open, ask.request(body), id, kind, record);
    let end = match timeout(limit, answered).await {
        Ok(end) => end,
        Err(_) => End::Unknown("no answer within the deadline".to_owned()),
    };
    record.ended(id, end.clone());
    end
}

/// Sends one request with `key` on a connection of its own; its id, which `note` is told before, and how it ended.
pub async fn ask_keyed(
    address: SocketAddr,
    path: &str,
    key: &str,
    record: &Record,
    note: impl FnOnce(&str),
) -> (String, End) {
    let id = next_id();
    record.sent(&id, Kind::Keyed);
    note(&id);
    let Some(mut open) = connect(address).await else {
        return (id, End::Unknown("no connection".to_owned()));
    };
    let request = Request::builder()
        .method(Method::POST)
        .uri(path)
        .header("host", HOST)
        .header("request-id", &id)
        .header("deadline-ms", DEADLINE_MS)
        .header("authorization", format!("Bearer {key}"))
        .header(SENT_TO, address.to_string())
        .header("tenant", FORGED)
        .body(Full::new(Bytes::new()))
        .expect("the parts are valid");
    let limit = Duration::from_millis(DEADLINE_MS + 500);
    let end = match timeout(limit, answer_to(&mut open, request, &id, Kind::Keyed, record)).await {
        Ok(end) => end,
        Err(_) => End::Unknown("no answer within the deadline".to_owned()),
    };
    record.ended(&id, end.clone());
    (id, end)
}

async fn work(gateways: Vec<SocketAddr>, client: u32, record: Arc<Record>) {
    work_on(vec![Kind::Once, Kind::Any, Kind::Stream], gateways, client, record).await;
}

async fn work_on(kinds: Vec<Kind>, gateways: Vec<SocketAddr>, client: u32, record: Arc<Record>) {
    let mut turn = client as usize;
    let mut gateway = 0;
    let mut connection: Option<SendRequest<Full<Bytes>>> = None;
    loop {
        let kind = kinds[turn % kinds.len()];
        if connection.as_ref().is_none_or(SendRequest::is_closed) {
            turn += 1;
            gateway = turn % gateways.len();
            connection = connect(gateways[gateway]).await;
        }
        let Some(open) = &mut connection else {
            tokio::time::sleep(PAUSE).await;
            continue;
        };
        if open.ready().await.is_err() {
            connection = None;
            continue;
        }
        let id = next_id();
        record.sent(&id, kind);
        let limit = Duration::from_millis(deadline_ms(kind) + 500);
        let asked = ask(open, gateways[gateway], &id, kind, &record);
        let end = match timeout(limit, asked).await {
            Ok(end) => end,
            Err(_) => End::Unknown("no answer within the deadline".to_owned()),
        };
        if matches!(end, End::Unknown(_)) {
            connection = None;
        }
        record.ended(&id, end);
        turn += 1;
        tokio::time::sleep(PAUSE).await;
    }
}

fn deadline_ms(kind: Kind) -> u64 {
    if kind == Kind::Adapter { ENGINE_DEADLINE_MS } else { DEADLINE_MS }
}

pub(crate) async fn connect(address: SocketAddr) -> Option<SendRequest<Full<Bytes>>> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await.ok()?.ok()?;
    let (sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
    // A connection that breaks shows at the next request.
    tokio::spawn(async move { drop(connection.await) });
    Some(sender)
}

async fn ask(
    open: &mut SendRequest<Full<Bytes>>,
    gateway: SocketAddr,
    id: &str,
    kind: Kind,
    record: &Record,
) -> End {
    let adapter = (kind == Kind::Adapter).then(|| adapter(NEXT.fetch_add(1, Ordering::SeqCst)));
    let body = if kind == Kind::Any { Bytes::new() } else { Bytes::from_static(b"work") };
    let request = Ask { adapter: adapter.as_deref(), ..Ask::new(gateway, id, kind) }.request(body);
    answer_to(open, request, id, kind, record).await
}

/// One request of a client.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Ask<'a> {
    pub(crate) gateway: SocketAddr,
    pub(crate) id: &'a str,
    pub(crate) kind: Kind,
    pub(crate) adapter: Option<&'a str>,
    /// The parts of the prompt, if it has an adapter.
    pub(crate) prompt: &'a str,
    /// The time that the client waits for the answer.
    pub(crate) deadline_ms: u64,
    /// The path; the usual one of its kind if there is none.
    pub(crate) path: Option<&'a str>,
}

impl<'a> Ask<'a> {
    /// A request without an adapter.
    pub(crate) fn new(gateway: SocketAddr, id: &'a str, kind: Kind) -> Self {
        let deadline_ms = deadline_ms(kind);
        Self { gateway, id, kind, adapter: None, prompt: PROMPT, deadline_ms, path: None }
    }

    pub(crate) fn request(&self, body: Bytes) -> Request<Full<Bytes>> {
        let Self { gateway, id, kind, adapter, prompt, deadline_ms, path } = *self;
        let (method, usual_path) = match kind {
            Kind::Once => (Method::POST, "/once/x"),
            Kind::Any => (Method::GET, "/any/x"),
            Kind::Stream => (Method::POST, "/stream/x"),
            Kind::Adapter => (Method::POST, "/engine/x"),
            Kind::Keyed => (Method::POST, "/keyed/x"),
        };
        let mut request = Request::builder()
            .method(method)
            .uri(path.unwrap_or(usual_path))
            .header("host", HOST)
            .header("request-id", id)
            .header(SENT_TO, gateway.to_string())
            .header("deadline-ms", deadline_ms);
        if let Some(adapter) = adapter {
            request = request
                .header("model", format!("{BASE}/{adapter}"))
                .header("token-counts", "300,40")
                .header("prompt-prefix", prompt);
        }
        if NEXT.load(Ordering::SeqCst).is_multiple_of(FORGES_EVERY) {
            for name in FORGED_HEADERS {
                request = request.header(name, FORGED);
            }
        }
        if kind == Kind::Stream {
            request = request.header("x-stream", "1");
        }
        request.body(Full::new(body)).expect("the parts are valid")
    }
}

pub(crate) fn next_id() -> String {
    format!("r{}", NEXT.fetch_add(1, Ordering::SeqCst))
}

/// How a request ends.
async fn answer_to(
    open: &mut SendRequest<Full<Bytes>>,
    request: Request<Full<Bytes>>,
    id: &str,
    kind: Kind,
    record: &Record,
) -> End {
    let response = match open.send_request(request).await {
        Ok(response) => response,
        Err(error) => return End::Unknown(error.to_string()),
    };
    let status = response.status();
    let stamped = response.headers().contains_key("server-stamp");
    let body = match response.into_body().collect().await {
        Ok(body) => body.to_bytes(),
        Err(error) => return End::Unknown(error.to_string()),
    };
    if !status.is_success() {
        return match status.as_u16() {
            code @ (408 | 421 | 429 | 503) => End::NotRun(code),
            404 => {
                record.breach(format!("request {id} got 404 though its route always stood"));
                End::Unknown(status.to_string())
            }
            _ => End::Unknown(status.to_string()),
        };
    }
    let expected = match kind {
        Kind::Once | Kind::Any | Kind::Keyed => format!("done {id}"),
        Kind::Stream | Kind::Adapter => events(id),
    };
    if !stamped || without_comments(&body) != expected.as_bytes() {
        record.breach(format!("request {id} got a success with a wrong or partial body"));
    }
    End::Served
}

/// Engines tell their software version in comments.
fn without_comments(body: &[u8]) -> Vec<u8> {
    body.split_inclusive(|byte| *byte == b'\n')
        .filter(|line| !line.starts_with(b":"))
        .collect::<Vec<_>>()
        .concat()
}

fn events(id: &str) -> String {
    let mut events = Vec::new();
    for number in 1..=EVENTS {
        events.push(format!("id: {number}\ndata: {id}\n\n"));
    }
    events.concat()
}

/// The adapter of the client's request with this number.
fn adapter(number: u64) -> String {
    ADAPTERS[number as usize % ADAPTERS.len()].to_owned()
}
