//! Probes endpoints that broke off responses, or have been silent for long, to find out whether
//! they still run.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::timeout;
use tracing::info;

use super::crashes::LivenessCheck;
use super::known::IncarnationEnd;
use super::orders::EngineClient;
use super::reach::{Suspicion, judge};
use super::shared::Relay;
use crate::message::RegisteredEndpoint;
use crate::metrics::Counter;
use crate::policy::reach::Reach;

/// How long responses that break off are collected before their endpoint is probed. All of them
/// arrive within milliseconds of a crash, and a process that ends closes its listener at the same
/// time.
const COLLECT_MS: u64 = 30;
/// Consecutive refused connections after which a silent endpoint counts as ended.
const REFUSALS_MIN: u32 = 2;
/// How long a silent endpoint that refuses no connection is probed before it counts as ended:
/// engines may hang for two seconds and recover.
const UNRESPONSIVE_MS: u64 = 2_300;
/// The pause between two probes of a silent endpoint.
const PROBE_PAUSE: Duration = Duration::from_millis(100);
/// A connection is established within one round trip, if at all.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Runs the liveness checks that are received, for as long as the process runs.
pub(super) async fn watch(
    relay: Arc<Relay>,
    engines: Arc<dyn EngineClient>,
    mut liveness_checks: mpsc::UnboundedReceiver<LivenessCheck>,
) {
    while let Some(check) = liveness_checks.recv().await {
        tokio::spawn(run_check(relay.clone(), engines.clone(), check));
    }
}

async fn run_check(relay: Arc<Relay>, engines: Arc<dyn EngineClient>, check: LivenessCheck) {
    if check.is_silent {
        probe_silent(&relay, engines.as_ref(), check).await;
        return;
    }
    tokio::time::sleep(Duration::from_millis(COLLECT_MS)).await;
    let LivenessCheck { id, service, endpoint, .. } = check;
    let liveness = match &endpoint {
        Some(endpoint) => {
            let is_engine = relay.table().is_engine(&service);
            reach_endpoint(engines.as_ref(), endpoint, is_engine).await
        }
        None => Liveness::Refusing,
    };
    let broken = relay.crashes.count_broken(&id);
    info!(event = "endpoint_asked", endpoint = %id, liveness = ?liveness, broken);
    let seems_ended = matches!(liveness, Liveness::Refusing | Liveness::Ignoring)
        && is_down(&relay, engines.as_ref(), &service, endpoint.as_ref()).await;
    // The next incarnation answers at the same address.
    let has_ended = seems_ended || relay.crashes.is_replaced(&id);
    let now_ms = relay.now_ms();
    if !has_ended {
        relay.crashes.note_alive(now_ms, &id);
        return;
    }
    relay.metrics.count(Counter::EndpointsEnded);
    relay.fleet().mark_ended(now_ms, &id);
    relay.fleet().mark_failing(&id);
    if let Some(endpoint) = endpoint {
        relay.pool.forget(endpoint.address);
    }
    relay.crashes.note_ended(now_ms, &id, &service);
}

/// True if an endpoint that seems to have ended does not answer other gateways either; one that is
/// certain to have ended is not probed.
async fn is_down(
    relay: &Relay,
    engines: &dyn EngineClient,
    service: &Arc<str>,
    endpoint: Option<&RegisteredEndpoint>,
) -> bool {
    let Some(endpoint) = endpoint else { return true };
    let judged = judge(relay, engines, service, vec![endpoint.clone()]).await;
    judged.iter().any(|(_, reach)| *reach == Reach::Down)
}

/// Probes a silent endpoint until it answers, or has refused or ignored enough probes to count as
/// ended.
async fn probe_silent(relay: &Relay, engines: &dyn EngineClient, check: LivenessCheck) {
    let LivenessCheck { id, service, endpoint: Some(endpoint), .. } = check else { return };
    let is_engine = relay.table().is_engine(&service);
    let asked_at_ms = relay.now_ms();
    let mut refusals = 0;
    let mut end = IncarnationEnd::Unreachable;
    let mut reach = None;
    while refusals < REFUSALS_MIN && relay.now_ms() < asked_at_ms + UNRESPONSIVE_MS {
        if relay.fleet().is_out_of_reach(&id) {
            relay.fleet().notify_possible_end(&id, IncarnationEnd::Unreachable);
            return;
        }
        match reach_endpoint(engines, &endpoint, is_engine).await {
            Liveness::Up => {
                relay.pool.note_reached(endpoint.address);
                return;
            }
            Liveness::Refusing => refusals += 1,
            Liveness::Ignoring => end = IncarnationEnd::Unresponsive,
            Liveness::Unknown => end = IncarnationEnd::Unreachable,
        }
        if matches!(reach, None | Some(Reach::Unknown)) {
            let judged = judge(relay, engines, &service, vec![endpoint.clone()]).await;
            reach = judged.first().map(|(_, reach)| *reach);
            continue;
        }
        tokio::time::sleep(PROBE_PAUSE).await;
    }
    if refusals >= REFUSALS_MIN {
        end = IncarnationEnd::Unresponsive;
    }
    info!(event = "endpoint_silent", endpoint = %id, refusals, end = ?end);
    let now_ms = relay.now_ms();
    relay.pool.forget(endpoint.address);
    let mut fleet = relay.fleet();
    fleet.mark_ended(now_ms, &id);
    if reach == Some(Reach::Down) {
        fleet.mark_failing(&id);
    }
    fleet.notify_possible_end(&id, end);
    drop(fleet);
    relay.suspect(&id, Suspicion::Unreachable);
}

/// The result of a probe.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Liveness {
    /// The endpoint answers.
    Up,
    /// Nothing listens at the endpoint's address.
    Refusing,
    /// The endpoint accepts connections but does not answer.
    Ignoring,
    /// The endpoint cannot be reached, which may be a network fault.
    Unknown,
}

/// Probes an endpoint with a request that it answers at once, whatever it serves.
///
/// An accepted connection proves nothing: a proxy, or the supervisor of a crashed process, accepts
/// connections in its place.
pub(super) async fn reach_endpoint(
    engines: &dyn EngineClient,
    endpoint: &RegisteredEndpoint,
    is_engine: bool,
) -> Liveness {
    match timeout(CONNECT_TIMEOUT, TcpStream::connect(endpoint.address)).await {
        Ok(Ok(_)) => {}
        Ok(Err(error)) if is_refusal(&error) => return Liveness::Refusing,
        // Any other error may be a fault of the network or of this process.
        Err(_) | Ok(Err(_)) => return Liveness::Unknown,
    }
    let has_answered =
        if is_engine { engines.probe(endpoint).await } else { engines.probe_plain(endpoint).await };
    if has_answered { Liveness::Up } else { Liveness::Ignoring }
}

fn is_refusal(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::ConnectionRefused | io::ErrorKind::ConnectionReset)
}
