//! Clients and the operator.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::timeout;

use crate::endpoint::EVENTS;
use crate::record::{End, Kind, Record};

const CALL_TIMEOUT: Duration = Duration::from_secs(1);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const DEADLINE_MS: u64 = 3_000;
const PAUSE: Duration = Duration::from_millis(20);
const CHANGE_EVERY: Duration = Duration::from_millis(900);
const HOST: &str = "soak.example";

static NEXT: AtomicU64 = AtomicU64::new(1);

/// Starts clients; each keeps its connection as long as it can.
pub fn start(gateways: Vec<SocketAddr>, clients: u32, record: Arc<Record>) -> Vec<JoinHandle<()>> {
    let mut started = Vec::new();
    for client in 0..clients {
        started.push(tokio::spawn(work(gateways.clone(), client, record.clone())));
    }
    started
}

async fn work(gateways: Vec<SocketAddr>, client: u32, record: Arc<Record>) {
    let mut turn = client as usize;
    let mut connection: Option<SendRequest<Full<Bytes>>> = None;
    loop {
        let kind = [Kind::Once, Kind::Any, Kind::Stream][turn % 3];
        if connection.as_ref().is_none_or(SendRequest::is_closed) {
            turn += 1;
            connection = connect(gateways[turn % gateways.len()]).await;
        }
        let Some(open) = &mut connection else {
            tokio::time::sleep(PAUSE).await;
            continue;
        };
        if open.ready().await.is_err() {
            connection = None;
            continue;
        }
        let id = format!("r{}", NEXT.fetch_add(1, Ordering::SeqCst));
        record.sent(&id, kind);
        let limit = Duration::from_millis(DEADLINE_MS + 500);
        let end = match timeout(limit, ask(open, &id, kind, &record)).await {
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

async fn connect(address: SocketAddr) -> Option<SendRequest<Full<Bytes>>> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await.ok()?.ok()?;
    let (sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
    // A connection that breaks shows at the next request.
    tokio::spawn(async move { drop(connection.await) });
    Some(sender)
}

async fn ask(open: &mut SendRequest<Full<Bytes>>, id: &str, kind: Kind, record: &Record) -> End {
    let (method, path) = match kind {
        Kind::Once => (Method::POST, "/once/x"),
        Kind::Any => (Method::GET, "/any/x"),
        Kind::Stream => (Method::POST, "/stream/x"),
    };
    let mut request = Request::builder()
        .method(method)
        .uri(path)
        .header("host", HOST)
        .header("request-id", id)
        .header("deadline-ms", DEADLINE_MS);
    if kind == Kind::Stream {
        request = request.header("x-stream", "1");
    }
    let body = if kind == Kind::Any { Bytes::new() } else { Bytes::from_static(b"work") };
    let request = request.body(Full::new(body)).expect("the parts are valid");
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
        Kind::Once | Kind::Any => format!("done {id}"),
        Kind::Stream => events(id),
    };
    if !stamped || body != expected.as_bytes() {
        record.breach(format!("request {id} got a success with a wrong or partial body"));
    }
    End::Served
}

fn events(id: &str) -> String {
    let mut events = Vec::new();
    for number in 1..=EVENTS {
        events.push(format!("id: {number}\ndata: {id}\n\n"));
    }
    events.concat()
}

/// The configuration under `version`.
pub fn configuration(version: u64) -> Value {
    let route = |name: &str, kind: &str, resumable: bool| {
        json!({
            "name": name, "host": HOST, "path_prefix": format!("/{name}/"), "kind": kind,
            "timeout_ms": 3_000, "target_latency_ms": 500, "priority": 0, "service": "plain",
            "retry_attempts": 3, "resumable": resumable, "gap_aim_ms": 400,
        })
    };
    json!({
        "version": version,
        "routes": [
            route("once", "unsafe", false), route("any", "safe", false),
            route("stream", "streaming", true),
        ],
        "services": [{"name": "plain", "health_path": "/health", "max_connections": 200}],
        "limits": {"max_header_bytes": 16_384, "max_body_bytes": 65_536,
            "header_timeout_ms": 3_000, "idle_timeout_ms": 15_000},
    })
}

/// Starts an operator that changes the configuration and reads it.
pub fn start_operator(control: Vec<SocketAddr>, record: Arc<Record>) -> JoinHandle<()> {
    tokio::spawn(async move {
        let mut version = 2;
        let mut turn = 0;
        loop {
            tokio::time::sleep(CHANGE_EVERY).await;
            turn += 1;
            version += 1 + turn as u64 % 3;
            put(&control, turn, version, &record).await;
            read(&control, turn + 1, &record).await;
        }
    })
}

/// Sends a version; true when it was acknowledged.
pub async fn put(control: &[SocketAddr], turn: usize, version: u64, record: &Record) -> bool {
    record.offered(version);
    let body = configuration(version).to_string();
    let answered = call_control(control, turn, Method::PUT, "/winchvane/config", body).await;
    let taken = matches!(answered, Some((StatusCode::OK, _)));
    if taken {
        record.acknowledged(version);
    }
    taken
}

async fn read(control: &[SocketAddr], turn: usize, record: &Record) -> bool {
    let asked = Instant::now();
    let path = "/winchvane/config";
    let answered = call_control(control, turn, Method::GET, path, String::new()).await;
    let Some((StatusCode::OK, body)) = answered else { return false };
    let version = serde_json::from_slice::<Value>(&body).ok().and_then(|it| it["version"].as_u64());
    match version {
        Some(version) => record.read(asked, version),
        None => record.breach("a configuration was read that is none".to_owned()),
    }
    true
}

/// Reads the configuration at the end, at whichever replica answers.
pub async fn read_back(control: &[SocketAddr], record: &Record) {
    for turn in 0..control.len() * 4 {
        if read(control, turn, record).await {
            return;
        }
        tokio::time::sleep(CALL_TIMEOUT / 4).await;
    }
}

/// Calls one replica and follows it to the leader.
pub async fn call_control(
    control: &[SocketAddr],
    turn: usize,
    method: Method,
    path: &str,
    body: String,
) -> Option<(StatusCode, Bytes)> {
    let mut address = control[turn % control.len()];
    for _ in 0..3 {
        let called = call(address, method.clone(), path, body.clone());
        let (status, location, body) = timeout(CALL_TIMEOUT, called).await.ok()??;
        match location {
            Some(next) if status == StatusCode::TEMPORARY_REDIRECT => address = next,
            _ => return Some((status, body)),
        }
    }
    None
}

async fn call(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: String,
) -> Option<(StatusCode, Option<SocketAddr>, Bytes)> {
    let mut sender = connect(address).await?;
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header("host", "control")
        .body(Full::new(Bytes::from(body)))
        .ok()?;
    let response = sender.send_request(request).await.ok()?;
    let status = response.status();
    let location = response.headers().get("location").and_then(|value| value.to_str().ok());
    let next = location
        .and_then(|location| location.strip_prefix("http://"))
        .and_then(|rest| rest.split('/').next())
        .and_then(|address| address.parse().ok());
    let body = response.into_body().collect().await.ok()?.to_bytes();
    Some((status, next, body))
}
