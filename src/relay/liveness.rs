//! Asking endpoints that broke answers off, or are silent for long, whether they are still there.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::timeout;
use tracing::info;

use super::crashes::Suspect;
use super::known::IncarnationEnd;
use super::orders::EngineClient;
use super::shared::Relay;
use crate::message::RegisteredEndpoint;
use crate::metrics::Counter;

/// How long answers that break off with an endpoint are gathered before it is asked: they come within
/// some milliseconds, and a process that ends closes its listener with them.
const GATHER_MS: u64 = 30;
/// Connections in a row that a silent endpoint refuses before it counts as ended.
const REFUSALS_MIN: u32 = 2;
/// How long a silent endpoint is asked that refuses nothing before it counts as ended: engines stand still for
/// two seconds and go on.
const UNRESPONSIVE_MS: u64 = 2_300;
/// The pause between two questions to a silent endpoint.
const ASK_AGAIN: Duration = Duration::from_millis(100);
/// A connection that comes up at all does so within a round trip.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Asks suspected endpoints whether they are still there, as long as the process runs.
pub(super) async fn watch(
    relay: Arc<Relay>,
    engines: Arc<dyn EngineClient>,
    mut suspects: mpsc::UnboundedReceiver<Suspect>,
) {
    while let Some(suspect) = suspects.recv().await {
        tokio::spawn(ask(relay.clone(), engines.clone(), suspect));
    }
}

async fn ask(relay: Arc<Relay>, engines: Arc<dyn EngineClient>, suspect: Suspect) {
    if suspect.is_silent {
        ask_silent(&relay, engines.as_ref(), suspect).await;
        return;
    }
    tokio::time::sleep(Duration::from_millis(GATHER_MS)).await;
    let Suspect { id, service, endpoint, .. } = suspect;
    let liveness = match &endpoint {
        Some(endpoint) => {
            let is_engine = relay.table().is_engine(&service);
            ask_liveness(engines.as_ref(), endpoint, is_engine).await
        }
        None => Liveness::Refusing,
    };
    let (now_ms, broken) = (relay.now_ms(), relay.crashes.broken_by(&id));
    info!(event = "endpoint_asked", endpoint = %id, liveness = ?liveness, broken);
    if !matches!(liveness, Liveness::Refusing | Liveness::Ignoring) {
        relay.crashes.note_alive(now_ms, &id);
        return;
    }
    relay.metrics.count(Counter::EndpointsEnded);
    relay.fleet().ended(now_ms, &id);
    if let Some(endpoint) = endpoint {
        relay.pool.forget(endpoint.address);
    }
    relay.crashes.note_ended(now_ms, &id, &service);
}

/// Asks a silent endpoint until it answers, or has refused or ignored enough to count as ended.
async fn ask_silent(relay: &Relay, engines: &dyn EngineClient, suspect: Suspect) {
    let Suspect { id, service, endpoint: Some(endpoint), .. } = suspect else { return };
    let is_engine = relay.table().is_engine(&service);
    let asked_at_ms = relay.now_ms();
    let mut refusals = 0;
    let mut end = IncarnationEnd::Unreachable;
    while refusals < REFUSALS_MIN && relay.now_ms() < asked_at_ms + UNRESPONSIVE_MS {
        match ask_liveness(engines, &endpoint, is_engine).await {
            Liveness::Up => return,
            Liveness::Refusing => refusals += 1,
            Liveness::Ignoring => end = IncarnationEnd::Unresponsive,
            Liveness::Unknown => end = IncarnationEnd::Unreachable,
        }
        tokio::time::sleep(ASK_AGAIN).await;
    }
    if refusals >= REFUSALS_MIN {
        end = IncarnationEnd::Unresponsive;
    }
    info!(event = "endpoint_silent", endpoint = %id, refusals, end = ?end);
    let now_ms = relay.now_ms();
    relay.pool.forget(endpoint.address);
    let mut fleet = relay.fleet();
    fleet.ended(now_ms, &id);
    fleet.may_have_ended(&id, end);
}

/// What an endpoint does that is asked whether it is still there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Liveness {
    /// It answers, or at least takes connections.
    Up,
    /// Nobody listens at its address.
    Refusing,
    /// It takes connections and answers nothing.
    Ignoring,
    /// It cannot be reached, which may be the network's fault.
    Unknown,
}

async fn ask_liveness(
    engines: &dyn EngineClient,
    endpoint: &RegisteredEndpoint,
    is_engine: bool,
) -> Liveness {
    match timeout(CONNECT_TIMEOUT, TcpStream::connect(endpoint.address)).await {
        // Nobody listens there; any other fault may be the network's, or this process's own.
        Ok(Err(error)) if is_refusal(&error) => return Liveness::Refusing,
        Err(_) | Ok(Err(_)) => return Liveness::Unknown,
        Ok(Ok(_)) => {}
    }
    // A plain service has nothing to ask that takes no place from requests. An engine that takes
    // connections and answers nothing runs nothing either.
    if !is_engine || engines.probe(endpoint).await { Liveness::Up } else { Liveness::Ignoring }
}

fn is_refusal(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::ConnectionRefused | io::ErrorKind::ConnectionReset)
}
