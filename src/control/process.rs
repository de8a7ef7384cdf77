//! The process of a control replica, from its start to a graceful shutdown.

use std::sync::atomic::AtomicBool;
use std::sync::{Arc, PoisonError, RwLock};
use std::time::Duration;

use http::{Method, Request, StatusCode};
use rand::RngExt;
use serde_json::json;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tracing::info;

use crate::admin::{metrics_text, problem, run_metrics_upkeep, set_log_level};
use crate::clock::Clock;
use crate::control::admission::Admissions;
use crate::control::api::ControlApi;
use crate::control::boot::{self, Booted};
use crate::control::server::{ReplicaArguments, ReplicaHandle, ReplicaMessage};
use crate::control::serving::{ControlHandler, Running, Stage};
use crate::control::{distribution, listing};
use crate::error::{Error, Result};
use crate::http::{Answer, HttpHandler, RequestBody, ServerLimits, json_answer, serve};
use crate::metrics::Metrics;
use crate::policy::resource_limiter::ListenerClass;
use crate::process::listen;
use crate::resources::{Resources, descriptors_allowed};
use crate::settings::ControlSettings;
use crate::wire::{self, BoxFuture};

const DUMP_TIMEOUT_MS: u64 = 2_000;
const JOIN_PAUSE: Duration = Duration::from_millis(500);
const TRANSFER_PAUSE: Duration = Duration::from_millis(200);

/// A platform's interface to control for endpoints and operators.
pub struct ControlBorder {
    /// Creates the handler that serves the interface.
    pub serve_api: Box<dyn FnOnce(ControlApi) -> Arc<dyn HttpHandler> + Send>,
}

/// Runs a replica until the process receives SIGTERM.
///
/// # Errors
/// A listener that cannot be opened, or a data folder that cannot be used.
pub async fn run(settings: ControlSettings) -> Result<()> {
    run_with(settings, None).await
}

/// Runs a replica with a platform's interface until the process receives SIGTERM.
///
/// # Errors
/// A listener that cannot be opened, or a data folder that cannot be used.
pub async fn run_with(settings: ControlSettings, border: Option<ControlBorder>) -> Result<()> {
    let common = &settings.common;
    let metrics = Metrics::new(&common.metrics_prefix, common.metrics_address)?;
    let peers = listen("listen for peers", common.listen_peers).await?;
    let admin = listen("listen for operators", common.listen_admin).await?;
    let limits = settings.resources.limits(descriptors_allowed());
    info!(event = "resource_limits", limits = ?limits);
    let resources = Resources::new(limits, metrics.clone());
    let mut terminate = signal(SignalKind::terminate())
        .map_err(|error| Error::io("watch signals", "process", error))?;
    let clock = Clock::new();
    let stage = Arc::new(RwLock::new(Stage::Empty));
    let handler = Arc::new(ControlHandler::new(stage.clone(), settings.control_limits()));
    tokio::spawn(wire::serve(peers, handler, resources.clone()));
    tokio::spawn(run_metrics_upkeep(metrics.clone()));
    let (stop, stopped) = watch::channel(false);
    let admin_handler = Arc::new(AdminHandler { stage: stage.clone(), metrics: metrics.clone() });
    let limits = ServerLimits::new(ListenerClass::Operators);
    tokio::spawn(serve(admin, admin_handler, limits, resources.clone(), stopped.clone()));
    if let (Some(border), Some(address)) = (border, settings.listen_api) {
        let listener = listen("listen for the platform", address).await?;
        let handler = (border.serve_api)(ControlApi::new(stage.clone()));
        let limits = ServerLimits::new(ListenerClass::Clients);
        tokio::spawn(serve(listener, handler, limits, resources, stopped));
    }
    let booted = tokio::select! {
        booted = boot::boot(&settings, &stage, clock, &metrics) => booted?,
        _ = terminate.recv() => return Ok(()),
    };
    // Boxed because the replica is large, and the future would hold it several times on its way to
    // the actor.
    let running = Box::pin(start(&settings, booted, clock, metrics)).await?;
    let actor = running.replica.clone();
    *stage.write().unwrap_or_else(PoisonError::into_inner) = Stage::Running(running);
    info!(event = "started", name = %common.name, peers = %common.listen_peers);
    terminate.recv().await;
    info!(event = "stopping");
    let _ = actor.call(ReplicaMessage::Stop, DUMP_TIMEOUT_MS).await;
    tokio::time::sleep(TRANSFER_PAUSE).await;
    let _ = stop.send(true);
    info!(event = "stopped");
    Ok(())
}

async fn start(
    settings: &ControlSettings,
    booted: Booted,
    clock: Clock,
    metrics: Metrics,
) -> Result<Running> {
    let id = booted.replica.raft.id();
    let admissions = Admissions::new(settings.control_limits(), metrics.clone());
    let leads = Arc::new(AtomicBool::new(false));
    let (leader, leader_updates) = watch::channel(None);
    let arguments = ReplicaArguments {
        replica: booted.replica,
        storage: booted.storage,
        address: settings.common.peers_address(),
        clock,
        metrics,
        leads: leads.clone(),
        leader,
    };
    let actor = ReplicaHandle::spawn(arguments).await?;
    if let Some(address) = settings.platform_address {
        tokio::spawn(listing::poll(settings.clone(), address, leads.clone(), actor.clone()));
    }
    if booted.joins || settings.seeds.is_some() {
        let settings = settings.clone();
        let member = actor.clone();
        tokio::spawn(async move {
            loop {
                if needs_to_join(&member, id).await {
                    boot::ask_to_join(&settings, id).await;
                } else if settings.seeds.is_none() {
                    return;
                }
                tokio::time::sleep(JOIN_PAUSE).await;
            }
        });
    }
    let common = &settings.common;
    let (name, zone) = (common.name.clone(), common.zone.clone());
    let hello = distribution::hello(name, rand::rng().random(), zone, common.peers_address());
    let distributor = distribution::spawn(hello, clock, leader_updates.clone());
    Ok(Running { replica: actor, distributor, leads, leader: leader_updates, admissions })
}

/// True if the replica is not a member, or knows no leader and may have been replaced.
async fn needs_to_join(actor: &ReplicaHandle, id: u64) -> bool {
    let Ok(dump) = actor.call(ReplicaMessage::Dump, DUMP_TIMEOUT_MS).await else {
        return true;
    };
    let members = dump["group"]["members"].as_array().cloned().unwrap_or_default();
    let is_member = members.iter().any(|member| member[1].as_u64() == Some(id));
    !is_member || dump["group"]["leader"].is_null()
}

struct AdminHandler {
    stage: Arc<RwLock<Stage>>,
    metrics: Metrics,
}

impl HttpHandler for AdminHandler {
    fn handle(&self, request: Request<RequestBody>) -> BoxFuture<'static, Answer> {
        let running = match &*self.stage.read().unwrap_or_else(PoisonError::into_inner) {
            Stage::Running(running) => Some(running.clone()),
            Stage::Empty | Stage::Founding => None,
        };
        Box::pin(serve_admin(running, self.metrics.clone(), request))
    }
}

async fn serve_admin(
    running: Option<Running>,
    metrics: Metrics,
    request: Request<RequestBody>,
) -> Answer {
    match (request.method(), request.uri().path()) {
        (&Method::GET, "/health") => json_answer(StatusCode::OK, &json!({"status": "ok"})),
        (&Method::GET, "/metrics") => metrics_text(&metrics),
        (&Method::PUT, "/log-level") => set_log_level(request).await,
        (&Method::GET, "/dump") => {
            let Some(running) = running else {
                return json_answer(StatusCode::OK, &json!({"role": "starting"}));
            };
            match running.replica.call(ReplicaMessage::Dump, DUMP_TIMEOUT_MS).await {
                Ok(mut dump) => {
                    dump["distributor"] = running.distributor.dump().await.into();
                    json_answer(StatusCode::OK, &dump)
                }
                Err(error) => problem(StatusCode::SERVICE_UNAVAILABLE, &error.to_string()),
            }
        }
        (_, path) => problem(StatusCode::NOT_FOUND, &format!("no path {path} here")),
    }
}
