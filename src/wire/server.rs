//! Accepts connections of other processes of the system.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use h2::RecvStream;
use http::{HeaderValue, Request, Response, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::yield_now;
use tokio::time::timeout;
use tracing::{debug, warn};

use super::liveness::{Activity, Side, StreamGuard, watch};
use super::memory::StreamMemory;
use super::stream::{Body, Receiver, Sender};
use super::{
    BoxFuture, CONNECTION_WINDOW_BYTES, Channel, MAX_STREAMS, REFUSAL_HEADER, STREAM_WINDOW_BYTES,
    VERSION_HEADER, WIRE_VERSION,
};
use crate::error::{Error, Result};
use crate::metrics::{Counter, Metrics};
use crate::observed_stream::ObservedStream;
use crate::policy::resource_limiter::{ListenerClass, Stage};
use crate::resources::{ConnectionGuard, Resources};

const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(5);
/// The largest head of a stream: its path and the version.
const HEAD_MAX_BYTES: u32 = 8 << 10;
/// Why a stream is refused while others use the memory.
const NO_MEMORY: &str = "there is no memory for another stream";
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// A stream that a peer has opened.
pub struct Incoming {
    /// The purpose of the stream.
    pub channel: Channel,
    peer: Arc<str>,
    body: RecvStream,
    respond: h2::server::SendResponse<Bytes>,
    guard: StreamGuard,
    memory: StreamMemory,
}

impl Incoming {
    /// Accepts the stream.
    ///
    /// # Errors
    /// The peer has reset the stream, or the connection failed.
    pub fn accept<Up: DeserializeOwned, Down: Serialize>(
        mut self,
    ) -> Result<(Receiver<Up>, Sender<Down>)> {
        let stream = self
            .respond
            .send_response(Response::new(()), false)
            .map_err(|error| Error::failed("accept stream", self.peer.clone(), error))?;
        let body = Body::Open(self.body);
        let receiver =
            Receiver::new(body, self.peer.clone(), self.guard.clone()).with_memory(self.memory);
        Ok((receiver, Sender::new(stream, self.peer, self.guard)))
    }

    /// Refuses the stream and tells the peer the `reason`, which a reset could not.
    pub fn refuse(mut self, reason: &'static str) {
        refuse(&mut self.respond, reason);
    }
}

fn refuse(respond: &mut h2::server::SendResponse<Bytes>, reason: &'static str) {
    let mut response = Response::new(());
    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    response.headers_mut().insert(REFUSAL_HEADER, HeaderValue::from_static(reason));
    // Fails if the peer has given the stream up, and then needs no reason.
    let _ = respond.send_response(response, true);
}

/// Handles the streams that peers open.
pub trait Handler: Send + Sync + 'static {
    /// Serves one stream until it ends.
    fn handle(&self, incoming: Incoming) -> BoxFuture<'static, Result<()>>;
}

/// Accepts connections of peers until the future is dropped.
pub async fn serve(listener: TcpListener, handler: Arc<dyn Handler>, resources: Resources) {
    loop {
        let (stream, address) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                debug!(event = "accept_failed", listener = "peers", error = %error);
                resources.free_descriptor();
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let Ok(connected) = resources.connect(ListenerClass::Peers) else { continue };
        let _ = stream.set_nodelay(true);
        let (handler, guard) = (handler.clone(), connected.guard);
        tokio::spawn(async move {
            let metrics = guard.resources().metrics();
            tokio::select! {
                () = serve_connection(stream, address, handler, &guard, metrics) => {}
                () = guard.closing() => {}
            }
        });
        if connected.has_closed {
            yield_now().await;
        }
    }
}

async fn serve_connection(
    stream: TcpStream,
    address: SocketAddr,
    handler: Arc<dyn Handler>,
    guard: &ConnectionGuard,
    metrics: &Metrics,
) {
    let peer: Arc<str> = address.to_string().into();
    let activity = Arc::<Activity>::default();
    let handshake = h2::server::Builder::new()
        .initial_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
        .max_concurrent_streams(MAX_STREAMS)
        .max_header_list_size(HEAD_MAX_BYTES)
        .handshake::<_, Bytes>(ObservedStream::new(stream, activity.clone()));
    let mut connection = match timeout(HANDSHAKE_TIMEOUT, handshake).await {
        Ok(Ok(connection)) => connection,
        Ok(Err(error)) => {
            metrics.count(Counter::PeerHandshakeFailed);
            warn!(event = "peer_handshake_failed", peer = %peer, error = %error);
            return;
        }
        Err(_) => {
            metrics.count(Counter::PeerHandshakeFailed);
            warn!(event = "peer_handshake_failed", peer = %peer, error = "no preface in time");
            return;
        }
    };
    let silence = watch(activity.clone(), connection.ping_pong());
    tokio::pin!(silence);
    loop {
        let accepted = tokio::select! {
            accepted = connection.accept() => accepted,
            end = &mut silence => {
                end.note(&peer, Side::Accepted, &activity, Some(metrics));
                return;
            }
        };
        let (request, respond) = match accepted {
            Some(Ok(accepted)) => accepted,
            Some(Err(error)) => {
                debug!(event = "peer_connection_ended", peer = %peer, error = %error);
                return;
            }
            None => return,
        };
        let checked = check_stream(request, respond, &peer, metrics);
        let Some((channel, body, mut respond)) = checked else { continue };
        let Ok(memory) = StreamMemory::new(guard) else {
            refuse(&mut respond, NO_MEMORY);
            continue;
        };
        // Until then it may be closed for another one.
        guard.set_stage(Stage::Running);
        let stream_guard = activity.open(channel);
        let peer_name = peer.clone();
        let incoming =
            Incoming { channel, peer: peer_name, body, respond, guard: stream_guard, memory };
        let future = handler.handle(incoming);
        let peer = peer.clone();
        tokio::spawn(async move {
            if let Err(error) = future.await {
                debug!(event = "peer_stream_failed", peer = %peer, error = %error);
            }
        });
    }
}

/// Refuses a stream of another wire version or with an unknown path.
fn check_stream(
    request: Request<RecvStream>,
    mut respond: h2::server::SendResponse<Bytes>,
    peer: &Arc<str>,
    metrics: &Metrics,
) -> Option<(Channel, RecvStream, h2::server::SendResponse<Bytes>)> {
    let version = request.headers().get(VERSION_HEADER).and_then(|value| value.to_str().ok());
    let channel = Channel::parse(request.uri().path());
    let (Some(WIRE_VERSION), Some(channel)) = (version, channel) else {
        metrics.count(Counter::PeerRefused);
        warn!(
            event = "peer_stream_refused",
            peer = %peer,
            path = request.uri().path(),
            wire_version = version.unwrap_or("none"),
            expected_wire_version = WIRE_VERSION
        );
        let mut response = Response::new(());
        *response.status_mut() = StatusCode::NOT_IMPLEMENTED;
        let _ = respond.send_response(response, true);
        return None;
    };
    Some((channel, request.into_body(), respond))
}
