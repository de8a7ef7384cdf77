//! Starts the gateway process and shuts it down gracefully on SIGTERM.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rand::RngExt;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{mpsc, watch};
use tracing::{info, warn};

use crate::admin::run_metrics_upkeep;
use crate::error::{Error, Result};
use crate::gateway::admin::AdminHandler;
use crate::gateway::callers::ClientHandler;
use crate::gateway::forward::ForwardHandler;
use crate::gateway::session;
use crate::gateway::shared::Shared;
use crate::http::{self, ServerLimits};
use crate::message::SessionUp;
use crate::metrics::Metrics;
use crate::policy::resource_limiter::ListenerClass;
use crate::process::listen;
use crate::resources::{Resources, descriptors_allowed};
use crate::settings::GatewaySettings;
use crate::wire;

const STOP_POLL_INTERVAL: Duration = Duration::from_millis(20);
const HAND_OVER_TIMEOUT: Duration = Duration::from_secs(5);

/// Runs a gateway until SIGTERM, then shuts it down gracefully.
///
/// # Errors
/// A listener or the metrics socket cannot be opened, or the signal handler cannot be installed.
pub async fn run(settings: GatewaySettings) -> Result<()> {
    let common = &settings.common;
    let metrics = Metrics::new(&common.metrics_prefix, common.metrics_address)?;
    let callers = listen("listen for clients", settings.listen_callers).await?;
    let peers = listen("listen for peers", common.listen_peers).await?;
    let admin = listen("listen for operators", common.listen_admin).await?;
    let limits = settings.resources.limits(descriptors_allowed());
    let limits = limits.with_clients_max(settings.limits.connections);
    info!(event = "resource_limits", limits = ?limits);
    let resources = Resources::new(limits, metrics.clone());
    let mut terminate = signal(SignalKind::terminate())
        .map_err(|error| Error::io("watch signals", "process", error))?;
    let (session, queue) = mpsc::unbounded_channel();
    let shared = Arc::new(Shared::new(settings.clone(), metrics.clone(), session));
    let boot_id = rand::rng().random();
    let handler = Arc::new(ForwardHandler::new(shared.clone()));
    tokio::spawn(wire::serve(peers, handler, resources.clone()));
    tokio::spawn(session::run(shared.clone(), boot_id, queue));
    tokio::spawn(run_metrics_upkeep(metrics));
    let (stop, stopped) = watch::channel(false);
    let limits = ServerLimits {
        class: ListenerClass::Clients,
        header_max_bytes: settings.limits.header_max_bytes,
        header_timeout_ms: settings.limits.header_timeout_ms,
        half_close: true,
    };
    let admin_handler = Arc::new(AdminHandler::new(shared.clone()));
    let admin_server = http::serve(
        admin,
        admin_handler,
        ServerLimits::new(ListenerClass::Operators),
        resources.clone(),
        stopped.clone(),
    );
    tokio::spawn(admin_server);
    let client_handler = Arc::new(ClientHandler::new(shared.clone()));
    let client_server =
        tokio::spawn(http::serve(callers, client_handler, limits, resources, stopped));
    info!(
        event = "started",
        name = %common.name,
        callers = %settings.listen_callers,
        peers = %common.listen_peers,
        admin = %common.listen_admin
    );
    terminate.recv().await;
    shut_down_gracefully(&shared, &stop, client_server).await;
    Ok(())
}

/// Lets `/ready` fail, hands over every owned endpoint, and waits until running requests have ended,
/// all within time limits.
async fn shut_down_gracefully(
    shared: &Arc<Shared>,
    stop: &watch::Sender<bool>,
    client_server: tokio::task::JoinHandle<()>,
) {
    info!(event = "stopping", in_progress = shared.in_progress.load(Ordering::Relaxed));
    shared.stopping.store(true, Ordering::Relaxed);
    let _ = shared.session.send(SessionUp::Leave);
    // Requests are served until the load balancer has had time to see that `/ready` fails.
    tokio::time::sleep(Duration::from_millis(shared.settings.stop_grace_ms)).await;
    let handed_over = async {
        while !shared.owned().is_empty() {
            tokio::time::sleep(STOP_POLL_INTERVAL).await;
        }
    };
    if tokio::time::timeout(HAND_OVER_TIMEOUT, handed_over).await.is_err() {
        warn!(event = "not_handed_over", endpoints = shared.owned().len());
    }
    let _ = stop.send(true);
    let finished = async {
        let _ = client_server.await;
        // Forwarded requests have ended once the gateway that sent them has the whole response.
        while shared.running.load(Ordering::Relaxed) + shared.serving.load(Ordering::Relaxed) > 0 {
            tokio::time::sleep(STOP_POLL_INTERVAL).await;
        }
    };
    let limit = Duration::from_millis(shared.settings.stop_timeout_ms);
    if tokio::time::timeout(limit, finished).await.is_err() {
        warn!(
            event = "stopped_with_requests",
            running = shared.running.load(Ordering::Relaxed),
            serving = shared.serving.load(Ordering::Relaxed)
        );
        return;
    }
    info!(event = "stopped");
}
