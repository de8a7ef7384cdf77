//! The operator, and calls to control.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use serde_json::{Value, json};
use tokio::task::JoinHandle;
use tokio::time::timeout;

use crate::client::{ADAPTERS, HOST, connect};
use crate::engine::{ADAPTERS_MAX, BASE, SERVICE, SLOTS};
use crate::keyed;
use crate::record::Record;

const CALL_TIMEOUT: Duration = Duration::from_secs(1);
const CHANGE_EVERY: Duration = Duration::from_millis(900);
/// The operator names a newer version of an adapter at each such change.
const RENEWED_EVERY: usize = 2;
/// How often a renewal is sent until it is acknowledged; one that is not binds nobody.
const RENEW_TRIES: usize = 8;
/// The configuration under `version`.
pub fn configuration(version: u64) -> Value {
    let route = |name: &str, kind: &str, resumable: bool| {
        json!({
            "name": name, "host": HOST, "path_prefix": format!("/{name}/"), "kind": kind,
            "timeout_ms": 3_000, "target_latency_ms": 500, "priority": 0, "service": "plain",
            "retry_attempts": 3, "resumable": resumable, "gap_aim_ms": 400, "public": true,
        })
    };
    let mut for_keys = route(keyed::ROUTE, "unsafe", false);
    for_keys["public"] = json!(false);
    let mut for_streams = route("stream", "streaming", true);
    for_streams["timeout_ms"] = json!(12_000);
    let mut for_adapters = route("engine", "streaming", true);
    for_adapters["service"] = json!(SERVICE);
    for_adapters["timeout_ms"] = json!(12_000);
    let engine = json!({
        "slots": SLOTS, "kv_capacity_tokens": 200_000, "adapter_slots": ADAPTERS_MAX,
        "weights_mb": 61_000.0, "loads_per_s": 4.4,
        "models": [{"name": BASE, "weights_mb": 60_000.0, "load_s": 0.4, "adapters": 100,
            "adapter_mb": 12.0}],
    });
    json!({
        "version": version,
        "routes": [
            route("once", "unsafe", false), route("any", "safe", false),
            for_streams, for_adapters, for_keys,
        ],
        "tenants": keyed::workspaces(version),
        "services": [
            {"name": "plain", "health_path": "/health", "max_connections": 200},
            {"name": SERVICE, "health_path": "/health", "max_connections": 200, "engine": engine},
        ],
        "limits": {"max_header_bytes": 16_384, "max_body_bytes": 4_194_304,
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
            if turn % RENEWED_EVERY == 0 {
                let adapter = ADAPTERS[turn / RENEWED_EVERY % ADAPTERS.len()];
                renew(&control, turn, adapter, &record).await;
            }
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
        record.keys.acknowledged(version);
    }
    taken
}

/// Names the next version of `adapter`; true when it was acknowledged.
pub async fn renew(control: &[SocketAddr], turn: usize, adapter: &str, record: &Record) -> bool {
    let version = record.name_next(adapter);
    let body = json!({"model": BASE, "adapter": adapter, "version": version}).to_string();
    for again in 0..RENEW_TRIES {
        let path = "/winchvane/version-put";
        let called = call_control(control, turn + again, Method::POST, path, body.clone());
        if matches!(called.await, Some((StatusCode::OK, _))) {
            record.renewed(adapter, version);
            return true;
        }
        tokio::time::sleep(CALL_TIMEOUT / 4).await;
    }
    false
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
