//! The answer to a request that was sent through another gateway.

use std::sync::Arc;

use bytes::Bytes;
use futures_util::stream;
use http::{Response, StatusCode};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;

use super::{PeerStreams, read_headers};
use crate::error::{Error, Result};
use crate::http::{Framing, WholeBody};
use crate::message::{PeerEvent, PeerGateway, PeerRequest};
use crate::relay::doubt::Doubt;
use crate::relay::exchange::Exchange;
use crate::relay::shared::Relay;
use crate::relay::source::{Source, StartedResponse};
use crate::wire::{Receiver, Sender};

/// How long the other gateway may send nothing before it counts as lost; it sends a sign of life
/// four times in that time.
const SILENT_MAX_MS: u64 = 1_000;

/// Counts a request as in progress at another gateway until its answer has ended.
pub(in crate::relay) struct PeerFlight {
    relay: Arc<Relay>,
    /// The other gateway.
    pub(in crate::relay) peer: Arc<str>,
    /// The endpoint that answers.
    pub(in crate::relay) endpoint: Arc<str>,
    /// The endpoint's software version.
    pub(in crate::relay) software_version: Arc<str>,
}

/// The head of a response that comes through another gateway.
pub(super) struct PeerHead {
    pub(super) endpoint: Arc<str>,
    pub(super) software_version: Arc<str>,
    pub(super) status: u16,
    pub(super) headers: Vec<(Box<str>, Vec<u8>)>,
}

impl PeerFlight {
    /// Returns once the response has brought nothing for `after_ms`, and for longer than the other
    /// gateway takes to find out by itself that the endpoint's connection has ended.
    pub(in crate::relay) async fn doubt(&self, after_ms: u64) -> Doubt {
        let clock = self.relay.clock;
        clock.sleep_until(clock.now_ms() + after_ms.max(SILENT_MAX_MS)).await;
        Doubt::Silent
    }
}

impl Drop for PeerFlight {
    fn drop(&mut self) {
        self.relay.peers().finish(&self.peer);
    }
}

/// The stream of a request to another gateway.
pub(super) struct PeerStream {
    relay: Arc<Relay>,
    peer: PeerGateway,
    receiver: Receiver<PeerEvent>,
    /// Held because dropping it cancels the request.
    sender: Sender<PeerRequest>,
    gives_up_when_silent: bool,
    flight: PeerFlight,
}

impl PeerStream {
    /// A request that was sent to `peer`. If it `gives_up_when_silent`, a gateway that sends no sign
    /// of life counts as lost.
    pub(super) fn new(
        relay: Arc<Relay>,
        peer: PeerGateway,
        (sender, receiver): PeerStreams,
        gives_up_when_silent: bool,
    ) -> Self {
        relay.peers().start(&peer.name);
        let flight = PeerFlight {
            relay: relay.clone(),
            peer: peer.name.clone(),
            endpoint: "".into(),
            software_version: "".into(),
        };
        Self { relay, peer, receiver, sender, gives_up_when_silent, flight }
    }

    /// The next event other than a sign of life.
    ///
    /// # Errors
    /// The gateway was lost.
    pub(super) async fn next(&mut self) -> Result<PeerEvent> {
        next_event(&self.relay, &self.peer.name, &mut self.receiver, self.gives_up_when_silent)
            .await
    }

    /// The response whose head arrived.
    ///
    /// # Errors
    /// The head is not valid.
    pub(super) fn into_response(
        self,
        exchange: &Exchange,
        received: PeerHead,
    ) -> Result<StartedResponse> {
        let PeerHead { endpoint, software_version, status, headers } = received;
        let Self { relay, peer, receiver, sender, gives_up_when_silent, mut flight } = self;
        let status = StatusCode::from_u16(status)
            .map_err(|error| Error::invalid(format!("status {status}: {error}")))?;
        let (mut head, ()) = Response::new(()).into_parts();
        head.status = status;
        head.headers = read_headers(&headers)?;
        let is_events = exchange.is_event_stream(&head);
        let name = peer.name.clone();
        let body =
            PeerBody { relay, peer: peer.name, receiver, gives_up_when_silent, _sender: sender };
        let body = StreamBody::new(Box::pin(stream::unfold(Some(body), next_frame)));
        // Like the last chunk, the last event marks the end of the body.
        let body = WholeBody::new(name, Framing::Chunked, body, is_events).boxed();
        flight.endpoint = endpoint;
        flight.software_version = software_version;
        let response = Response::from_parts(head, body);
        Ok(StartedResponse { source: Source::Peer(flight), response })
    }
}

struct PeerBody {
    relay: Arc<Relay>,
    peer: Arc<str>,
    receiver: Receiver<PeerEvent>,
    gives_up_when_silent: bool,
    _sender: Sender<PeerRequest>,
}

type FrameResult = Result<Frame<Bytes>>;

async fn next_frame(body: Option<PeerBody>) -> Option<(FrameResult, Option<PeerBody>)> {
    let mut body = body?;
    let PeerBody { relay, peer, receiver, gives_up_when_silent, .. } = &mut body;
    let failed = |detail: String| Err(Error::failed("read answer", peer.clone(), detail));
    let frame = match next_event(relay, peer, receiver, *gives_up_when_silent).await {
        Ok(PeerEvent::Data(data)) => return Some((Ok(Frame::data(data.into())), Some(body))),
        Ok(PeerEvent::End) => return None,
        Ok(PeerEvent::Failed { detail, .. }) => failed(detail),
        Ok(event) => failed(format!("an unexpected event: {event:?}")),
        Err(error) => Err(error),
    };
    Some((frame, None))
}

async fn next_event(
    relay: &Relay,
    peer: &Arc<str>,
    receiver: &mut Receiver<PeerEvent>,
    gives_up_when_silent: bool,
) -> Result<PeerEvent> {
    loop {
        let silent_at_ms =
            if gives_up_when_silent { relay.now_ms() + SILENT_MAX_MS } else { u64::MAX };
        let event = relay.clock.timeout_at(silent_at_ms, receiver.next()).await;
        let event =
            event.ok_or_else(|| Error::timeout("read answer", peer.clone(), SILENT_MAX_MS))?;
        match event? {
            Some(PeerEvent::Alive) => {}
            Some(event) => return Ok(event),
            None => return Err(Error::failed("read answer", peer.clone(), "the stream ended")),
        }
    }
}
