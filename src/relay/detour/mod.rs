//! Sends requests through another gateway while endpoints are out of reach of this one.
//!
//! The gateway that read a request admits it, counts it and answers its client; the other one only
//! selects an endpoint and sends the request there. A request that came through another gateway is
//! never sent through a third one.

mod serve;
mod signs;
mod upstream;
mod views;

use std::pin::pin;
use std::sync::Arc;
use std::sync::MutexGuard;
use std::time::Duration;

use http::HeaderMap;
use http::header::HeaderValue;
use rand::RngExt;
use tokio::time::timeout;
use tracing::info;

pub(super) use serve::PeerHandler;
pub(super) use signs::PeerSigns;
pub(super) use upstream::PeerFlight;

use super::exchange::Exchange;
use super::refusal::{Failure, NotSent};
use super::shared::Relay;
use super::source::StartedResponse;
use crate::error::{Error, Result};
use crate::message::{DetourRefusal, DetourRequest, PeerEvent, PeerGateway, PeerRequest};
use crate::metrics::Counter;
use crate::policy::peers::PeerGateways;
use crate::routing::Repeat;
use crate::wire::{Channel, Receiver, Sender};
use upstream::{PeerHead, PeerStream};

/// A connection to another gateway is made within one round trip, if at all.
const OPEN_TIMEOUT: Duration = Duration::from_millis(250);
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

/// The result of sending a request through one gateway.
enum Sent {
    Started(Box<StartedResponse>),
    /// It was not sent to any endpoint; another gateway may take it.
    Refused,
    /// It may have run, and may be sent again.
    Unknown,
}

impl Exchange {
    /// Sends the request through another gateway, of which `signs` of life are recorded, until an
    /// endpoint starts a response; `None` if it may be sent again after an unknown outcome.
    pub(super) async fn detour(
        &self,
        last_event: Option<u64>,
        signs: &PeerSigns,
    ) -> std::result::Result<Option<StartedResponse>, Failure> {
        if self.is_detour {
            return Err(Failure::NotSent(NotSent::OutOfReach));
        }
        let mut tried = Vec::new();
        while let Some(peer) = self.relay.choose_peer(&mut tried) {
            match self.send_through(&peer, last_event, signs).await? {
                Sent::Started(started) => return Ok(Some(*started)),
                Sent::Unknown => return Ok(None),
                Sent::Refused => {}
            }
        }
        self.relay.peers_wanted.notify_one();
        Err(Failure::NotSent(NotSent::NoPeer { after_ms: NO_PEER_RETRY_MS }))
    }

    async fn send_through(
        &self,
        peer: &PeerGateway,
        last_event: Option<u64>,
        signs: &PeerSigns,
    ) -> std::result::Result<Sent, Failure> {
        let relay = self.relay.clone();
        let now_ms = relay.now_ms();
        if now_ms >= self.ends_at_ms {
            return Err(Failure::NotSent(NotSent::Late));
        }
        signs.note();
        let request = PeerRequest::Detour(Box::new(self.to_detour(now_ms, last_event)));
        self.possible_runs.add(1);
        let streams = match relay.open_peer(peer, &request).await {
            Ok(streams) => streams,
            Err(error) => {
                relay.note_peer_lost(peer, &error).await;
                if error.is_not_run() {
                    self.possible_runs.take_back();
                    return Ok(Sent::Refused);
                }
                return self.note_unknown(1, error.to_string());
            }
        };
        relay.metrics.count(Counter::DetoursSent);
        info!(event = "detour", request = %self.meta.id, peer = %peer.name, zone = %peer.zone);
        let is_repeatable = self.chosen.route.repeat != Repeat::Once;
        let mut stream =
            PeerStream::new(relay.clone(), peer.clone(), streams, signs.clone(), is_repeatable);
        let first = self.first_event(peer, &mut stream, signs);
        match relay.clock.timeout_at(self.ends_at_ms, first).await {
            Some(Ok(PeerEvent::Refused(refusal))) => self.note_detour_refused(peer, refusal),
            Some(Ok(PeerEvent::Head { endpoint, software_version, runs, status, headers })) => {
                let head = PeerHead { endpoint, software_version, status, headers };
                match stream.into_response(self, head) {
                    Ok(started) => {
                        self.count_further_runs(runs);
                        Ok(Sent::Started(Box::new(started)))
                    }
                    Err(error) => self.note_unknown(runs, error.to_string()),
                }
            }
            Some(Ok(PeerEvent::Failed { runs, detail })) => self.note_unknown(runs, detail),
            Some(Ok(event)) => self.note_unknown(1, format!("an unexpected event: {event:?}")),
            Some(Err(error)) => {
                relay.note_peer_lost(peer, &error).await;
                self.note_unknown(1, error.to_string())
            }
            None => self.note_unknown(1, format!("no answer through {} in time", peer.name)),
        }
    }

    /// The first event of an answer through `peer`, which is left out for other requests if it gives no
    /// sign of life meanwhile.
    async fn first_event(
        &self,
        peer: &PeerGateway,
        stream: &mut PeerStream,
        signs: &PeerSigns,
    ) -> Result<PeerEvent> {
        let mut next = pin!(stream.next());
        tokio::select! {
            biased;
            event = &mut next => return event,
            () = signs.silence() => {}
        }
        info!(event = "peer_silent", request = %self.meta.id, peer = %peer.name);
        self.relay.peers().note_lost(self.relay.now_ms(), &peer.name);
        self.relay.peers_wanted.notify_one();
        next.await
    }

    fn note_detour_refused(
        &self,
        peer: &PeerGateway,
        refusal: DetourRefusal,
    ) -> std::result::Result<Sent, Failure> {
        self.possible_runs.take_back();
        info!(event = "detour_refused", request = %self.meta.id, peer = %peer.name, refusal = ?refusal);
        self.relay.metrics.count(Counter::DetoursRefused);
        if let DetourRefusal::NotServed { after_ms } = refusal {
            return Err(Failure::NotSent(NotSent::ByPeer { after_ms }));
        }
        self.relay.peers().note_refused(self.relay.now_ms(), &peer.name);
        Ok(Sent::Refused)
    }

    /// Records that up to `runs` endpoints, at least one, may have run the request.
    fn note_unknown(&self, runs: u32, detail: String) -> std::result::Result<Sent, Failure> {
        self.count_further_runs(runs);
        self.handle_unknown_outcome(detail)?;
        Ok(Sent::Unknown)
    }

    /// Counts the runs of a detour beyond the one that was counted when it was sent.
    fn count_further_runs(&self, runs: u32) {
        self.possible_runs.add(runs.saturating_sub(1));
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
            attempts: self.attempts().saturating_sub(self.possible_runs.get()).max(1),
            tried: self.tried.clone(),
            last_event: last_event.or(self.meta.last_event),
            origin: self.origin.clone(),
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
