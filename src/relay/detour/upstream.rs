//! The answer to a request that was sent through another gateway.

use std::future::pending;
use std::sync::Arc;

use bytes::Bytes;
use futures_util::stream;
use http::Response;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;

use super::signs::{PeerSigns, SILENT_MAX_MS};
use super::{PeerStreams, read_headers};
use crate::error::{Error, Result};
use crate::http::{Framing, WholeBody, final_status};
use crate::message::{PeerEvent, PeerGateway, PeerRequest};
use crate::relay::doubt::Doubt;
use crate::relay::exchange::Exchange;
use crate::relay::shared::Relay;
use crate::relay::source::{Source, StartedResponse};
use crate::wire::{Receiver, Sender};

/// Counts a request as in progress at another gateway until its answer has ended.
pub(in crate::relay) struct PeerFlight {
    relay: Arc<Relay>,
    /// The other gateway.
    pub(in crate::relay) peer: Arc<str>,
    /// The endpoint that answers.
    pub(in crate::relay) endpoint: Arc<str>,
    /// The endpoint's software version.
    pub(in crate::relay) software_version: Arc<str>,
    signs: PeerSigns,
    /// True if the request may be sent once more beside the open answer.
    is_repeatable: bool,
}

/// The head of a response that comes through another gateway.
pub(super) struct PeerHead {
    pub(super) endpoint: Arc<str>,
    pub(super) software_version: Arc<str>,
    pub(super) status: u16,
    pub(super) headers: Vec<(Box<str>, Vec<u8>)>,
}

impl PeerFlight {
    /// Returns once the response is doubted, or never: the other gateway gives no sign of life, or the
    /// response has brought nothing for `after_ms` and for long enough that the other gateway would
    /// have found out by itself that its connection has ended.
    pub(in crate::relay) async fn doubt(&self, after_ms: u64) -> Doubt {
        if !self.is_repeatable {
            pending::<()>().await;
        }
        let clock = self.relay.clock;
        let quiet_at_ms = clock.now_ms() + after_ms.max(SILENT_MAX_MS);
        tokio::select! {
            () = clock.sleep_until(quiet_at_ms) => {}
            () = self.signs.silence() => self.relay.peers().note_lost(clock.now_ms(), &self.peer),
        }
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
    peer: PeerGateway,
    receiver: Receiver<PeerEvent>,
    /// Held because dropping it cancels the request.
    sender: Sender<PeerRequest>,
    flight: PeerFlight,
}

impl PeerStream {
    /// A request that was sent to `peer`, of which `signs` of life are recorded.
    pub(super) fn new(
        relay: Arc<Relay>,
        peer: PeerGateway,
        (sender, receiver): PeerStreams,
        signs: PeerSigns,
        is_repeatable: bool,
    ) -> Self {
        relay.peers().start(&peer.name);
        let flight = PeerFlight {
            relay: relay.clone(),
            peer: peer.name.clone(),
            endpoint: "".into(),
            software_version: "".into(),
            signs,
            is_repeatable,
        };
        Self { peer, receiver, sender, flight }
    }

    /// The next event other than a sign of life.
    ///
    /// # Errors
    /// The gateway was lost.
    pub(super) async fn next(&mut self) -> Result<PeerEvent> {
        next_event(&self.peer.name, &mut self.receiver, &self.flight.signs).await
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
        let Self { peer, receiver, sender, mut flight } = self;
        let status = final_status(status).map_err(|error| Error::invalid(error.to_string()))?;
        let (mut head, ()) = Response::new(()).into_parts();
        head.status = status;
        head.headers = read_headers(&headers)?;
        let is_events = exchange.is_event_stream(&head);
        let name = peer.name.clone();
        let signs = flight.signs.clone();
        let body = PeerBody { peer: peer.name, receiver, signs, _sender: sender };
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
    peer: Arc<str>,
    receiver: Receiver<PeerEvent>,
    signs: PeerSigns,
    _sender: Sender<PeerRequest>,
}

type FrameResult = Result<Frame<Bytes>>;

async fn next_frame(body: Option<PeerBody>) -> Option<(FrameResult, Option<PeerBody>)> {
    let mut body = body?;
    let PeerBody { peer, receiver, signs, .. } = &mut body;
    let failed = |detail: String| Err(Error::failed("read answer", peer.clone(), detail));
    let frame = match next_event(peer, receiver, signs).await {
        Ok(PeerEvent::Data(data)) => return Some((Ok(Frame::data(data.into())), Some(body))),
        Ok(PeerEvent::End) => return None,
        Ok(PeerEvent::Failed { detail, .. }) => failed(detail),
        Ok(event) => failed(format!("an unexpected event: {event:?}")),
        Err(error) => Err(error),
    };
    Some((frame, None))
}

async fn next_event(
    peer: &Arc<str>,
    receiver: &mut Receiver<PeerEvent>,
    signs: &PeerSigns,
) -> Result<PeerEvent> {
    loop {
        let event = receiver.next().await?;
        signs.note();
        match event {
            Some(PeerEvent::Alive) => {}
            Some(event) => return Ok(event),
            None => return Err(Error::failed("read answer", peer.clone(), "the stream ended")),
        }
    }
}
