//! Sends the requests of other gateways to endpoints, and tells them which endpoints this gateway
//! reaches.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use futures_util::future::join_all;
use http::header::HOST;
use http::{Method, Uri};
use http_body_util::BodyExt;
use tokio::time::{MissedTickBehavior, interval};
use tracing::{debug, info};

use super::read_headers;
use crate::error::{Error, Result};
use crate::http::{Answer, header};
use crate::message::{DetourRefusal, DetourRequest, PeerEvent, PeerRequest};
use crate::metrics::Counter;
use crate::relay::access::Access;
use crate::relay::admission::Admitted;
use crate::relay::exchange::Exchange;
use crate::relay::liveness::{Liveness, reach_endpoint};
use crate::relay::orders::EngineClient;
use crate::relay::refusal::{Failure, NotSent, retry_after_ms};
use crate::relay::shared::Relay;
use crate::relay::slots;
use crate::relay::stream;
use crate::wire::{BoxFuture, Channel, Handler, Incoming, Receiver, Sender};

/// How often a gateway is informed that its request is still in progress.
const ALIVE_INTERVAL: Duration = Duration::from_millis(250);
/// The number of requests of other gateways that are served at once. Clients of this gateway come
/// first: it has at most 3,000 connections.
const SERVED_MAX: u32 = 200;
/// The maximum size of their bodies together.
const SERVED_MAX_BYTES: usize = 8 << 20;
/// The number of endpoints that another gateway may ask for at once.
const REACH_MAX: usize = 64;
/// The number of other endpoints that are probed to find out whether this gateway is cut off.
const COMPARED_MAX: usize = 4;
/// `Retry-After` of a request whose key this gateway does not accept; the other one will learn why.
const KEY_RETRY_MS: u64 = 300;

/// Serves the streams that other gateways open.
pub(in crate::relay) struct PeerHandler {
    relay: Arc<Relay>,
    engines: Arc<dyn EngineClient>,
}

impl PeerHandler {
    /// Creates a handler.
    pub(in crate::relay) fn new(relay: Arc<Relay>, engines: Arc<dyn EngineClient>) -> Self {
        Self { relay, engines }
    }
}

impl Handler for PeerHandler {
    fn handle(&self, incoming: Incoming) -> BoxFuture<'static, Result<()>> {
        let (relay, engines) = (self.relay.clone(), self.engines.clone());
        Box::pin(async move {
            if incoming.channel == Channel::Slots {
                return slots::serve(&relay, incoming).await;
            }
            if incoming.channel != Channel::Peer {
                return Err(Error::refused("serve", "relay", "this stream is not served here"));
            }
            let (mut receiver, mut sender) = incoming.accept::<PeerRequest, PeerEvent>()?;
            match receiver.next().await? {
                None => return Ok(()),
                Some(PeerRequest::Reach(ids)) => {
                    let event = tell_reach(&relay, engines.as_ref(), ids).await;
                    sender.send(&event).await?;
                }
                Some(PeerRequest::Detour(request)) => {
                    serve(&relay, *request, &mut sender).await?;
                }
            }
            sender.finish();
            wait_for_close(&mut receiver).await;
            Ok(())
        })
    }
}

/// Waits until the other gateway has received the last event and closes the stream, which would
/// otherwise be cut off.
async fn wait_for_close(receiver: &mut Receiver<PeerRequest>) {
    if let Err(error) = receiver.next().await {
        debug!(event = "peer_stream_ended", detail = %error);
    }
}

/// Tells which of the endpoints answer this gateway.
async fn tell_reach(relay: &Relay, engines: &dyn EngineClient, ids: Vec<Arc<str>>) -> PeerEvent {
    // A gateway that is cut off itself cannot tell.
    if relay.fleet().is_cut_off(relay.now_ms()) || ids.len() > REACH_MAX {
        return PeerEvent::Refused(DetourRefusal::OutOfReach);
    }
    let started_ms = relay.now_ms();
    let mut probes = Vec::new();
    for id in &ids {
        let endpoint = relay.fleet().endpoint(id);
        probes.push(async move {
            let endpoint = endpoint?;
            let is_engine = relay.table().is_engine(&endpoint.service);
            let liveness = reach_endpoint(engines, &endpoint, is_engine).await;
            if liveness != Liveness::Up {
                info!(event = "reach_told", endpoint = %endpoint.id, liveness = ?liveness);
            }
            Some(liveness == Liveness::Up)
        });
    }
    let reached = join_all(probes).await;
    // A gateway that reaches nothing may have been cut off just now.
    if !reached.contains(&Some(true)) && !reaches_any(relay, engines, started_ms, &ids).await {
        return PeerEvent::Refused(DetourRefusal::OutOfReach);
    }
    PeerEvent::Reached(reached)
}

/// True if any endpoint other than `ids` has answered since `since_ms`, or answers a probe.
async fn reaches_any(
    relay: &Relay,
    engines: &dyn EngineClient,
    since_ms: u64,
    ids: &[Arc<str>],
) -> bool {
    if relay.fleet().has_any_answered_since(since_ms) {
        return true;
    }
    let others = relay.fleet().sample_except(ids, COMPARED_MAX);
    let probes = others.iter().map(|endpoint| {
        let is_engine = relay.table().is_engine(&endpoint.service);
        reach_endpoint(engines, endpoint, is_engine)
    });
    join_all(probes).await.contains(&Liveness::Up)
}

/// Counts a request of another gateway until it has ended.
struct Served {
    relay: Arc<Relay>,
    size_bytes: usize,
}

impl Served {
    /// Returns `None` if too many are in progress.
    fn begin(relay: &Arc<Relay>, size_bytes: usize) -> Option<Self> {
        let before = relay.detours.fetch_add(1, Ordering::Relaxed);
        // A graceful shutdown waits for it.
        relay.in_progress.fetch_add(1, Ordering::Relaxed);
        let before_bytes = relay.detour_bytes.fetch_add(size_bytes, Ordering::Relaxed);
        let served = Self { relay: relay.clone(), size_bytes };
        let has_room = before < SERVED_MAX && before_bytes + size_bytes <= SERVED_MAX_BYTES;
        has_room.then_some(served)
    }
}

impl Drop for Served {
    fn drop(&mut self) {
        self.relay.detours.fetch_sub(1, Ordering::Relaxed);
        self.relay.in_progress.fetch_sub(1, Ordering::Relaxed);
        self.relay.detour_bytes.fetch_sub(self.size_bytes, Ordering::Relaxed);
    }
}

/// Serves one request; returns early, which cancels it, when the other gateway closes the stream.
async fn serve(
    relay: &Arc<Relay>,
    request: DetourRequest,
    sender: &mut Sender<PeerEvent>,
) -> Result<()> {
    let gateway = request.gateway.clone();
    let served = Served::begin(relay, request.body.len());
    let admitted = match &served {
        None => Err(DetourRefusal::Busy),
        Some(_) => admit(relay, request),
    };
    let mut exchange = match admitted {
        Ok(exchange) => exchange,
        Err(refusal) => return sender.send(&PeerEvent::Refused(refusal)).await.map(drop),
    };
    relay.metrics.count(Counter::DetoursServed);
    let id = exchange.meta.id.clone();
    info!(event = "detour_served", request = %id, gateway = %gateway);
    let last_event = exchange.meta.last_event;
    let (started, mut exchange) = {
        let starting = async {
            let started = exchange.start(last_event).await;
            (started, exchange)
        };
        tokio::pin!(starting);
        match while_open(sender, starting).await? {
            Some(started) => started,
            None => return Ok(()),
        }
    };
    let started = match started {
        Ok(started) => started,
        Err(failure) => {
            exchange.end_guard.note_logged();
            let event = to_event(&exchange, failure);
            info!(event = "detour_failed", request = %id, gateway = %gateway, reason = ?event);
            return sender.send(&event).await.map(drop);
        }
    };
    let answering = Answering {
        endpoint: started.source.endpoint().clone(),
        software_version: started.source.software_version().clone(),
        runs: exchange.possible_runs.get(),
    };
    let answer = stream::answer(exchange, started);
    send_answer(sender, answer, answering).await
}

/// Awaits `work`, sends signs of life meanwhile, and returns `None` if the other gateway closes the
/// stream.
async fn while_open<T>(
    sender: &mut Sender<PeerEvent>,
    mut work: impl Future<Output = T> + Unpin,
) -> Result<Option<T>> {
    let mut alive = interval(ALIVE_INTERVAL);
    alive.set_missed_tick_behavior(MissedTickBehavior::Delay);
    alive.reset();
    loop {
        tokio::select! {
            biased;
            done = &mut work => return Ok(Some(done)),
            () = sender.closed() => return Ok(None),
            _ = alive.tick() => {}
        }
        sender.send(&PeerEvent::Alive).await?;
    }
}

/// The endpoint whose answer is sent.
struct Answering {
    endpoint: Arc<str>,
    software_version: Arc<str>,
    /// The number of endpoints that may have run the request.
    runs: u32,
}

async fn send_answer(
    sender: &mut Sender<PeerEvent>,
    answer: Answer,
    answering: Answering,
) -> Result<()> {
    let Answering { endpoint, software_version, runs } = answering;
    let (head, mut body) = answer.into_parts();
    let mut headers = Vec::with_capacity(head.headers.len());
    for (name, value) in &head.headers {
        headers.push((name.as_str().into(), value.as_bytes().to_vec()));
    }
    let status = head.status.as_u16();
    let head = PeerEvent::Head { endpoint, software_version, runs, status, headers };
    sender.send(&head).await?;
    loop {
        let Some(frame) = while_open(sender, body.frame()).await? else { return Ok(()) };
        let event = match frame {
            None => PeerEvent::End,
            Some(Err(error)) => PeerEvent::Failed { runs: 0, detail: error.to_string() },
            Some(Ok(frame)) => match frame.into_data() {
                Ok(data) => PeerEvent::Data(data.to_vec()),
                // Trailers are not forwarded.
                Err(_) => continue,
            },
        };
        sender.send(&event).await?;
        if !matches!(event, PeerEvent::Data(_)) {
            return Ok(());
        }
    }
}

/// Checks whether this gateway may send the request, which the other one has admitted.
///
/// # Errors
/// The refusal that is sent to the other gateway.
fn admit(
    relay: &Arc<Relay>,
    request: DetourRequest,
) -> std::result::Result<Exchange, DetourRefusal> {
    if relay.is_stopping() {
        return Err(DetourRefusal::Stopping);
    }
    let table = relay.table();
    if table.version() < request.routing_version {
        return Err(DetourRefusal::OtherRoutes);
    }
    let now_ms = relay.now_ms();
    let started_ms = now_ms.saturating_sub(request.age_ms);
    let refused = |detail: String| {
        info!(event = "detour_invalid", gateway = %request.gateway, detail);
        DetourRefusal::OtherRoutes
    };
    let headers = read_headers(&request.headers).map_err(|error| refused(error.to_string()))?;
    let mut meta = relay.platform_headers.read_request(&headers).map_err(refused)?;
    meta.credential = request.credential;
    meta.last_event = request.last_event;
    let method: Method =
        request.method.parse().map_err(|_| refused("the method is not valid".to_owned()))?;
    let target: Uri =
        request.target.parse().map_err(|_| refused("the target is not valid".to_owned()))?;
    let host = header(&headers, HOST.as_str()).unwrap_or_default();
    let mut chosen = table.find(host, target.path(), &meta.id).ok_or(DetourRefusal::OtherRoutes)?;
    if let Some(origin) = &request.origin {
        let service = table.target(&chosen.route, &origin.service);
        chosen.service = service.ok_or(DetourRefusal::OtherRoutes)?;
    }
    let service = &chosen.service.name;
    if relay.fleet().is_service_out_of_reach(now_ms, service) {
        return Err(DetourRefusal::OutOfReach);
    }
    let access = Access::authenticate(relay, now_ms, &table, &chosen.route, meta.credential)
        .map_err(|_| DetourRefusal::NotServed { after_ms: KEY_RETRY_MS })?;
    let admitted = Admitted {
        meta,
        chosen,
        access,
        used_credit: None,
        method,
        target,
        headers,
        body: request.body.into(),
        client: None,
    };
    let exchange = Exchange::new(relay, started_ms, admitted);
    let exchange = exchange.with_origin(request.origin);
    Ok(exchange.with_detour(now_ms + request.left_ms, request.attempts, request.tried))
}

fn to_event(exchange: &Exchange, failure: Failure) -> PeerEvent {
    let runs = exchange.possible_runs.get();
    match failure {
        Failure::NotSent(NotSent::OutOfReach) if runs == 0 => {
            PeerEvent::Refused(DetourRefusal::OutOfReach)
        }
        Failure::NotSent(reason) if runs == 0 => {
            PeerEvent::Refused(DetourRefusal::NotServed { after_ms: retry_after_ms(reason) })
        }
        Failure::NotSent(reason) => PeerEvent::Failed { runs, detail: format!("{reason:?}") },
        Failure::Unknown(detail) => PeerEvent::Failed { runs, detail },
    }
}
