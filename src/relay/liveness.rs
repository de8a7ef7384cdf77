//! Asking endpoints that broke answers off whether they are still there.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::timeout;
use tracing::info;

use super::crashes::Suspect;
use super::orders::EngineClient;
use super::shared::Relay;
use crate::message::RegisteredEndpoint;
use crate::metrics::Counter;

/// How long answers that break off with an endpoint are gathered before it is asked: they come within
/// some milliseconds, and a process that ends closes its listener with them.
const GATHER_MS: u64 = 30;
/// A connection that comes up at all does so within a round trip.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Asks endpoints that broke answers off whether they are still there, as long as the process runs.
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
    tokio::time::sleep(Duration::from_millis(GATHER_MS)).await;
    let Suspect { id, service, endpoint } = suspect;
    let liveness = match &endpoint {
        Some(endpoint) => {
            let is_engine = relay.table().is_engine(&service);
            ask_liveness(engines.as_ref(), endpoint, is_engine).await
        }
        None => Liveness::Ended,
    };
    let (now_ms, broken) = (relay.now_ms(), relay.crashes.broken_by(&id));
    info!(event = "endpoint_asked", endpoint = %id, liveness = ?liveness, broken);
    if liveness != Liveness::Ended {
        relay.crashes.goes_on(now_ms, &id);
        return;
    }
    relay.metrics.count(Counter::EndpointsEnded);
    relay.fleet().ended(now_ms, &id);
    if let Some(endpoint) = endpoint {
        relay.pool.forget(endpoint.address);
    }
    relay.crashes.ended(now_ms, &id, &service);
}

/// Whether an endpoint that broke answers off is still there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Liveness {
    /// It answers, or at least takes connections.
    Up,
    /// Nothing answers at its address.
    Ended,
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
        Ok(Err(error)) if is_refusal(&error) => return Liveness::Ended,
        Err(_) | Ok(Err(_)) => return Liveness::Unknown,
        Ok(Ok(_)) => {}
    }
    // A plain service has nothing to ask that takes no place from requests. An engine that takes
    // connections and answers nothing runs nothing either.
    if !is_engine || engines.answers(endpoint).await { Liveness::Up } else { Liveness::Ended }
}

fn is_refusal(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::ConnectionRefused | io::ErrorKind::ConnectionReset)
}
