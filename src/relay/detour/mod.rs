//! Sends requests through another gateway while endpoints are out of reach of this one.
//!
//! The gateway that read a request admits it, counts it and answers its client; the other one only
//! selects an endpoint and sends the request there. A request that came through another gateway is
//! never sent through a third one.

mod serve;
mod upstream;

use std::sync::Arc;
use std::sync::MutexGuard;
use std::time::Duration;

use futures_util::future::join_all;
use http::HeaderMap;
use http::header::HeaderValue;
use rand::RngExt;
use tokio::time::timeout;
use tracing::{debug, info};

pub(super) use serve::PeerHandler;
pub(super) use upstream::PeerFlight;

use super::exchange::Exchange;
use super::refusal::{Failure, NotSent};
use super::shared::Relay;
use super::source::StartedResponse;
use crate::error::{Error, Result};
use crate::message::{DetourRefusal, DetourRequest, PeerEvent, PeerGateway, PeerRequest};
use crate::metrics::Counter;
use crate::policy::peers::PeerGateways;
use crate::policy::reach::combine_views;
use crate::routing::Repeat;
use crate::wire::{Channel, Receiver, Sender};
use upstream::PeerStream;

/// A connection to another gateway is made within one round trip, if at all.
const OPEN_TIMEOUT: Duration = Duration::from_millis(250);
/// How long another gateway may take to tell which endpoints it reaches. One that reaches an endpoint
/// tells so within a few round trips.
const REACH_TIMEOUT: Duration = Duration::from_millis(300);
/// The number of gateways that are asked which endpoints they reach.
const ASKED_MAX: usize = 3;
/// The number of gateways that a request is sent through, one after the other, as long as they
/// refuse it.
const PEERS_MAX: usize = 4;
/// `Retry-After` of a request that no gateway could send: endpoints are probed again within this
/// time.
const NO_PEER_RETRY_MS: u64 = 500;

type PeerStreams = (Sender<PeerRequest>, Receiver<PeerEvent>);

impl Relay {
    pub(super) fn peers(&self) -> MutexGuard<'_, PeerGateways> {
        self.peers.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Asks other gateways which endpoints they reach; `None` for an endpoint of which none tells.
    pub(super) async fn ask_peers_for_reach(&self, ids: &[Arc<str>]) -> Vec<Option<bool>> {
        let peers = self.peers().to_ask(self.now_ms(), ASKED_MAX, || rand::rng().random());
        let views = join_all(peers.iter().map(|peer| self.view_of(peer, ids))).await;
        if views.iter().all(Vec::is_empty) {
            self.peers_wanted.notify_one();
        }
        combine_views(ids.len(), &views)
    }

    /// What `peer` tells of the endpoints; empty if it cannot tell.
    async fn view_of(&self, peer: &PeerGateway, ids: &[Arc<str>]) -> Vec<Option<bool>> {
        // A gateway that is late with its view may well send requests, and others tell meanwhile.
        let asked = timeout(REACH_TIMEOUT, self.ask_for_reach(peer, ids)).await;
        let Ok(answer) = asked else {
            debug!(event = "reach_not_told", peer = %peer.name, answer = "none in time");
            return Vec::new();
        };
        match answer {
            Ok(PeerEvent::Reached(reached)) => reached,
            Ok(answer) => {
                debug!(event = "reach_not_told", peer = %peer.name, answer = ?answer);
                self.peers().note_refused(self.now_ms(), &peer.name);
                Vec::new()
            }
            Err(error) => {
                self.note_peer_lost(peer, &error).await;
                Vec::new()
            }
        }
    }

    async fn ask_for_reach(&self, peer: &PeerGateway, ids: &[Arc<str>]) -> Result<PeerEvent> {
        let (_sender, mut receiver) =
            self.open_peer(peer, &PeerRequest::Reach(ids.to_vec())).await?;
        let answer = receiver.next().await?;
        answer.ok_or_else(|| Error::failed("ask for reach", peer.name.clone(), "no answer"))
    }

    /// Chooses a gateway other than those of `tried`, and adds it to them.
    fn choose_peer(&self, tried: &mut Vec<Arc<str>>) -> Option<PeerGateway> {
        if tried.len() >= PEERS_MAX {
            return None;
        }
        let peer = self.peers().choose(self.now_ms(), tried, rand::rng().random())?;
        tried.push(peer.name.clone());
        Some(peer)
    }

    /// Opens a stream to another gateway and sends `request` on it.
    ///
    /// # Errors
    /// "Not run" if the request cannot have arrived.
    async fn open_peer(&self, peer: &PeerGateway, request: &PeerRequest) -> Result<PeerStreams> {
        let connection = self.peer_connections.get(peer.address);
        let opened = timeout(OPEN_TIMEOUT, connection.open(Channel::Peer)).await;
        let limit_ms = OPEN_TIMEOUT.as_millis() as u64;
        let (mut sender, receiver) = opened
            .map_err(|_| Error::refused("open stream", peer.name.clone(), format!("{limit_ms} ms")))
            .flatten()?;
        sender.send(request).await?;
        Ok((sender, receiver))
    }

    /// Leaves out a gateway that could not be reached or fell silent.
    async fn note_peer_lost(&self, peer: &PeerGateway, error: &Error) {
        info!(event = "peer_lost", peer = %peer.name, error = %error);
        self.peers().note_lost(self.now_ms(), &peer.name);
        self.peer_connections.get(peer.address).drop_connection().await;
        self.peers_wanted.notify_one();
    }
}

impl Exchange {
    /// Sends the request through another gateway, until an endpoint starts a response; `None` if it
    /// may be sent again after an unknown outcome.
    pub(super) async fn detour(
        &mut self,
        last_event: Option<u64>,
    ) -> std::result::Result<Option<StartedResponse>, Failure> {
        let relay = self.relay.clone();
        if self.is_detour {
            return Err(Failure::NotSent(NotSent::OutOfReach));
        }
        let mut tried = Vec::new();
        while let Some(peer) = relay.choose_peer(&mut tried) {
            let now_ms = relay.now_ms();
            if now_ms >= self.ends_at_ms {
                return Err(Failure::NotSent(NotSent::Late));
            }
            self.sent_at_ms = now_ms;
            let request = PeerRequest::Detour(Box::new(self.to_detour(now_ms, last_event)));
            let streams = match relay.open_peer(&peer, &request).await {
                Ok(streams) => streams,
                Err(error) if error.is_not_run() => {
                    relay.note_peer_lost(&peer, &error).await;
                    continue;
                }
                Err(error) => {
                    relay.note_peer_lost(&peer, &error).await;
                    self.possible_runs += 1;
                    self.handle_unknown_outcome(error.to_string())?;
                    return Ok(None);
                }
            };
            relay.metrics.count(Counter::DetoursSent);
            info!(event = "detour", request = %self.meta.id, peer = %peer.name, zone = %peer.zone);
            let gives_up_when_silent = self.chosen.route.repeat != Repeat::Once;
            let mut stream =
                PeerStream::new(relay.clone(), peer.clone(), streams, gives_up_when_silent);
            let left_ms = self.left_ms(relay.now_ms());
            let event = relay.clock.timeout_at(self.ends_at_ms, stream.next()).await;
            match event {
                Some(Ok(PeerEvent::Refused(refusal))) => {
                    info!(event = "detour_refused", request = %self.meta.id, peer = %peer.name, refusal = ?refusal);
                    relay.metrics.count(Counter::DetoursRefused);
                    if let DetourRefusal::NotServed { after_ms } = refusal {
                        return Err(Failure::NotSent(NotSent::ByPeer { after_ms }));
                    }
                    relay.peers().note_refused(relay.now_ms(), &peer.name);
                }
                Some(Ok(PeerEvent::Head { endpoint, runs, status, headers })) => {
                    self.possible_runs += runs;
                    self.tried.push(endpoint.clone());
                    match stream.into_response(endpoint, status, &headers) {
                        Ok(started) => return Ok(Some(started)),
                        Err(error) => {
                            self.handle_unknown_outcome(error.to_string())?;
                            return Ok(None);
                        }
                    }
                }
                Some(Ok(PeerEvent::Failed { runs, detail })) => {
                    self.possible_runs += runs.max(1);
                    self.handle_unknown_outcome(detail)?;
                    return Ok(None);
                }
                Some(Ok(event)) => {
                    self.possible_runs += 1;
                    self.handle_unknown_outcome(format!("an unexpected event: {event:?}"))?;
                    return Ok(None);
                }
                Some(Err(error)) => {
                    relay.note_peer_lost(&peer, &error).await;
                    self.possible_runs += 1;
                    self.handle_unknown_outcome(error.to_string())?;
                    return Ok(None);
                }
                None => {
                    self.possible_runs += 1;
                    let detail = format!("no answer through {} in {left_ms} ms", peer.name);
                    self.handle_unknown_outcome(detail)?;
                    return Ok(None);
                }
            }
        }
        relay.peers_wanted.notify_one();
        Err(Failure::NotSent(NotSent::NoPeer { after_ms: NO_PEER_RETRY_MS }))
    }

    fn to_detour(&self, now_ms: u64, last_event: Option<u64>) -> DetourRequest {
        let mut headers = Vec::with_capacity(self.headers.len());
        for (name, value) in &self.headers {
            headers.push((name.as_str().into(), value.as_bytes().to_vec()));
        }
        DetourRequest {
            gateway: self.relay.settings.name.clone(),
            routing_version: self.relay.table().version(),
            method: self.method.as_str().into(),
            target: self.target.to_string().into(),
            headers,
            credential: self.meta.credential,
            age_ms: now_ms.saturating_sub(self.started_ms),
            left_ms: self.left_ms(now_ms),
            attempts: self.attempts().saturating_sub(self.possible_runs).max(1),
            tried: self.tried.clone(),
            last_event: last_event.or(self.meta.last_event),
            body: self.body.to_vec(),
        }
    }
}

/// The headers of a message between gateways; a header that is not valid is an error.
fn read_headers(headers: &[(Box<str>, Vec<u8>)]) -> Result<HeaderMap> {
    let mut read = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let name: http::HeaderName =
            name.parse().map_err(|error| Error::invalid(format!("header {name}: {error}")))?;
        let value = HeaderValue::from_bytes(value)
            .map_err(|error| Error::invalid(format!("header {name}: {error}")))?;
        read.append(name, value);
    }
    Ok(read)
}
