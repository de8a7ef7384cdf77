//! Runs the process of a relay gateway from its start to a graceful shutdown.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http::{Method, Request, StatusCode};
use rand::RngExt;
use serde_json::json;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{mpsc, watch};
use tracing::{info, warn};

use super::border::PlatformHeaders;
use super::crashes::CrashWatch;
use super::detour::PeerHandler;
use super::handler::{RelayHandler, ready_status};
use super::liveness;
use super::orders::EngineClient;
use super::reach;
use super::session;
use super::shared::Relay;
use super::slots;
use crate::admin::{metrics_text, problem, run_metrics_upkeep, set_log_level};
use crate::error::{Error, Result};
use crate::http::{Answer, HttpHandler, RequestBody, ServerLimits, answer, json_answer, serve};
use crate::metrics::Metrics;
use crate::policy::resource_limiter::ListenerClass;
use crate::process::listen;
use crate::resources::{Resources, descriptors_allowed};
use crate::settings::RelaySettings;
use crate::wire::{self, BoxFuture};

/// How often a graceful shutdown checks whether all requests have ended.
const STOP_POLL: Duration = Duration::from_millis(50);
/// How often expired idle connections are dropped.
const PRUNE_INTERVAL: Duration = Duration::from_secs(2);
/// How long a client connection may be idle. It is independent of the routing configuration,
/// because a connection accepted under a longer limit must keep that limit.
const CLIENT_IDLE_MS: u64 = 90_000;

/// Runs a relay until it receives the signal to stop.
///
/// # Errors
/// A listener cannot be opened, or the metrics or the signal handler cannot be set up.
pub async fn run(
    settings: RelaySettings,
    platform_headers: Arc<dyn PlatformHeaders>,
    engines: Arc<dyn EngineClient>,
) -> Result<()> {
    let metrics = Metrics::new(&settings.metrics_prefix, settings.metrics_address)?;
    let clients = listen("listen for clients", settings.listen_clients).await?;
    let ready = listen("listen for health checks", settings.listen_ready).await?;
    let admin = listen("listen for operators", settings.listen_admin).await?;
    let peers = match settings.listen_peers {
        Some(address) => Some(listen("listen for gateways", address).await?),
        None => None,
    };
    let limits = settings.resources.limits(descriptors_allowed());
    info!(event = "resource_limits", limits = ?limits);
    let resources = Resources::new(limits, metrics.clone());
    let mut terminate = signal(SignalKind::terminate())
        .map_err(|error| Error::io("watch signals", "process", error))?;
    let (needs, wanted) = mpsc::unbounded_channel();
    let (up, outgoing) = mpsc::unbounded_channel();
    let (liveness_checks, queued_checks) = mpsc::unbounded_channel();
    let crashes = CrashWatch::new(settings.name.clone(), liveness_checks, up);
    let (suspects, queued_suspects) = mpsc::unbounded_channel();
    let relay =
        Relay::new(settings.clone(), platform_headers, metrics.clone(), needs, crashes, suspects);
    let relay = Arc::new(relay);
    tokio::spawn(liveness::watch(relay.clone(), engines.clone(), queued_checks));
    tokio::spawn(reach::watch(relay.clone(), engines.clone(), queued_suspects));
    tokio::spawn(slots::run(relay.clone()));
    if let Some(peers) = peers {
        let handler = Arc::new(PeerHandler::new(relay.clone(), engines.clone()));
        tokio::spawn(wire::serve(peers, handler, resources.clone()));
    }
    let queues = session::Queues { needs: wanted, outgoing };
    tokio::spawn(session::run(relay.clone(), rand::rng().random(), queues, engines));
    tokio::spawn(prune(relay.clone()));
    tokio::spawn(run_metrics_upkeep(metrics));
    let (stop, stopped) = watch::channel(false);
    let ready_handler = Arc::new(ReadyHandler { relay: relay.clone() });
    let limits = ServerLimits::new(ListenerClass::Operators);
    tokio::spawn(serve(ready, ready_handler, limits, resources.clone(), stopped.clone()));
    let admin_handler = Arc::new(RelayAdmin { relay: relay.clone() });
    tokio::spawn(serve(admin, admin_handler, limits, resources.clone(), stopped.clone()));
    let limits = ServerLimits {
        class: ListenerClass::Clients,
        header_max_bytes: settings.header_max_bytes,
        header_timeout_ms: CLIENT_IDLE_MS,
        half_close: false,
    };
    let handler = Arc::new(RelayHandler::new(relay.clone()));
    let server = tokio::spawn(serve(clients, handler, limits, resources, stopped));
    info!(event = "started", name = %settings.name, clients = %settings.listen_clients);
    terminate.recv().await;
    shut_down_gracefully(&relay, &stop, server).await;
    Ok(())
}

async fn prune(relay: Arc<Relay>) {
    loop {
        tokio::time::sleep(PRUNE_INTERVAL).await;
        relay.pool.prune();
    }
}

/// The share of the grace period, in percent, for which open connections accept further requests.
/// Later requests would not have time to finish, and the load balancer stops sending requests here
/// after two seconds.
const SERVE_PERCENT: u64 = 28;
/// The part of the grace period that is left for the process to exit.
const EXIT_MARGIN_MS: u64 = 500;

/// Reports not ready at once, serves requests on open connections for a while, then closes these
/// when they are idle.
async fn shut_down_gracefully(
    relay: &Arc<Relay>,
    stop: &watch::Sender<bool>,
    server: tokio::task::JoinHandle<()>,
) {
    info!(event = "stopping", in_progress = relay.in_progress());
    let grace_ms = relay.settings.stop_grace_ms;
    relay.stop(relay.now_ms() + grace_ms.saturating_sub(EXIT_MARGIN_MS));
    let serve_ms = grace_ms * SERVE_PERCENT / 100;
    tokio::time::sleep(Duration::from_millis(serve_ms)).await;
    let _ = stop.send(true);
    let left_ms = grace_ms.saturating_sub(serve_ms + EXIT_MARGIN_MS);
    let finished = async {
        while relay.in_progress() > 0 {
            tokio::time::sleep(STOP_POLL).await;
        }
        let _ = server.await;
    };
    if tokio::time::timeout(Duration::from_millis(left_ms), finished).await.is_err() {
        warn!(event = "stopped_with_requests", in_progress = relay.in_progress());
        return;
    }
    info!(event = "stopped");
}

struct ReadyHandler {
    relay: Arc<Relay>,
}

impl HttpHandler for ReadyHandler {
    fn handle(&self, request: Request<RequestBody>) -> BoxFuture<'static, Answer> {
        let status = if self.relay.platform_headers.is_ready_path(request.uri().path()) {
            ready_status(&self.relay)
        } else {
            StatusCode::NOT_FOUND
        };
        Box::pin(async move { answer(status, "text/plain", Vec::new()) })
    }
}

struct RelayAdmin {
    relay: Arc<Relay>,
}

impl HttpHandler for RelayAdmin {
    fn handle(&self, request: Request<RequestBody>) -> BoxFuture<'static, Answer> {
        let relay = self.relay.clone();
        Box::pin(async move {
            match (request.method(), request.uri().path()) {
                (&Method::GET, "/dump") => json_answer(StatusCode::OK, &dump(&relay)),
                (&Method::GET, "/metrics") => metrics_text(&relay.metrics),
                (&Method::PUT, "/log-level") => set_log_level(request).await,
                (_, path) => problem(StatusCode::NOT_FOUND, &format!("no path {path} here")),
            }
        })
    }
}

fn dump(relay: &Relay) -> serde_json::Value {
    let mut queues = Vec::new();
    for queue in relay.queue.status(relay.now_ms()) {
        queues.push(json!({
            "service": &*queue.key.service,
            "weights": queue.key.weights.as_ref().map(ToString::to_string),
            "length": queue.length,
            "oldest_ms": queue.oldest_ms,
            "sent_per_s": queue.sent_per_s,
        }));
    }
    let slowdowns = relay.fleet().slowdowns();
    json!({
        "role": "relay",
        "ready": relay.is_ready(),
        "routing_version": relay.table().version(),
        "endpoints": relay.fleet().len(),
        "out_of_reach": out_of_reach(relay),
        "peers": relay.peers().len(),
        "detours": relay.detours.load(Ordering::Relaxed),
        "in_progress": relay.in_progress(),
        "queues": queues,
        "slowdowns": slowdowns,
        "shares": relay.shares.dump(),
        "second_sends": second_sends(relay),
        "counters": relay.metrics.totals(),
    })
}

/// The number of endpoints out of reach, by service.
fn out_of_reach(relay: &Relay) -> BTreeMap<Arc<str>, usize> {
    let mut counts = BTreeMap::new();
    for (service, endpoints) in relay.fleet().out_of_reach() {
        counts.insert(service, endpoints.len());
    }
    counts
}

fn second_sends(relay: &Relay) -> Vec<serde_json::Value> {
    let mut summaries = Vec::new();
    for known in relay.resends().summaries(relay.now_ms()) {
        summaries.push(json!({
            "service": &*known.service,
            "route": &*known.route,
            "failure": known.cause.kind.as_str(),
            "at_outlier": known.cause.at_outlier,
            "outcomes": known.outcomes,
            "succeeded": known.succeeded,
            "worthwhile": known.worthwhile,
        }));
    }
    summaries
}
