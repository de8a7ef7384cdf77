//! Streams of length-prefixed `bincode` messages between processes of the system, over HTTP/2.

use std::collections::HashMap;
use std::future::poll_fn;
use std::marker::PhantomData;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bincode::config::standard;
use bytes::{Buf, Bytes, BytesMut};
use h2::client::{ResponseFuture, SendRequest};
use h2::{RecvStream, SendStream};
use http::{Method, Request, Response, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Mutex;
use tokio::time::timeout;
use tracing::{debug, warn};

use crate::binary;
use crate::error::{Error, Result};
use crate::metrics::{Counter, Metrics};

/// The version of the message format; a process refuses streams of any other version.
pub const WIRE_VERSION: &str = "3";

const VERSION_HEADER: &str = "winchvane-wire";
const LENGTH_BYTES: usize = 4;
const MAX_MESSAGE_BYTES: usize = 256 << 20;
const STREAM_WINDOW_BYTES: u32 = 1 << 20;
const CONNECTION_WINDOW_BYTES: u32 = 16 << 20;
const MAX_STREAMS: u32 = 100_000;
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(5);

static SENT_BYTES: AtomicU64 = AtomicU64::new(0);
static RECEIVED_BYTES: AtomicU64 = AtomicU64::new(0);
static SENT_MESSAGES: AtomicU64 = AtomicU64::new(0);
static RECEIVED_MESSAGES: AtomicU64 = AtomicU64::new(0);

/// The number and bytes of messages that this process has exchanged with its peers, without the
/// overhead of HTTP/2, TCP and IP.
pub fn traffic() -> serde_json::Value {
    serde_json::json!({
        "sent_messages": SENT_MESSAGES.load(Ordering::Relaxed),
        "sent_bytes": SENT_BYTES.load(Ordering::Relaxed),
        "received_messages": RECEIVED_MESSAGES.load(Ordering::Relaxed),
        "received_bytes": RECEIVED_BYTES.load(Ordering::Relaxed),
    })
}

/// A boxed future, as returned by methods of trait objects.
pub type BoxFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// The purpose of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Channel {
    /// Messages between replicas of control.
    Raft,
    /// A session of a gateway or distributor with control.
    Session,
    /// A single call to control.
    Control,
    /// A request to the owner of an endpoint.
    Forward,
    /// A request of a relay to another one.
    Peer,
    /// The slots that a relay claims from another one.
    Slots,
}

impl Channel {
    const ALL: [Self; 6] =
        [Self::Raft, Self::Session, Self::Control, Self::Forward, Self::Peer, Self::Slots];

    fn path(self) -> &'static str {
        match self {
            Self::Raft => "/raft",
            Self::Session => "/session",
            Self::Control => "/control",
            Self::Forward => "/forward",
            Self::Peer => "/peer",
            Self::Slots => "/slots",
        }
    }

    fn parse(path: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|channel| channel.path() == path)
    }
}

/// The sending half of a stream.
pub struct Sender<T> {
    stream: SendStream<Bytes>,
    peer: Arc<str>,
    message: PhantomData<fn(T)>,
}

impl<T: Serialize> Sender<T> {
    fn new(stream: SendStream<Bytes>, peer: Arc<str>) -> Self {
        Self { stream, peer, message: PhantomData }
    }

    /// Sends one message, waiting for flow-control capacity, and returns its size in bytes.
    ///
    /// # Errors
    /// The message cannot be encoded, or the stream or connection is closed.
    pub async fn send(&mut self, message: &T) -> Result<usize> {
        let mut data = encode(message)?;
        let size_bytes = data.len();
        SENT_MESSAGES.fetch_add(1, Ordering::Relaxed);
        SENT_BYTES.fetch_add(size_bytes as u64, Ordering::Relaxed);
        while !data.is_empty() {
            self.stream.reserve_capacity(data.len());
            let mut capacity = self.stream.capacity();
            if capacity == 0 {
                capacity = match poll_fn(|context| self.stream.poll_capacity(context)).await {
                    Some(Ok(capacity)) => capacity,
                    Some(Err(error)) => return Err(self.send_error(error)),
                    None => return Err(self.send_error("the stream is closed")),
                };
            }
            let chunk = data.split_to(capacity.min(data.len()));
            self.stream.send_data(chunk, false).map_err(|error| self.send_error(error))?;
        }
        Ok(size_bytes)
    }

    /// Ends the stream.
    pub fn finish(mut self) {
        // Fails if the peer has reset the stream already, which ends it too.
        let _ = self.stream.send_data(Bytes::new(), true);
    }

    /// Waits until the peer resets the stream or the connection fails.
    pub async fn closed(&mut self) {
        let _ = poll_fn(|context| self.stream.poll_reset(context)).await;
    }

    fn send_error(&self, error: impl ToString) -> Error {
        Error::failed("send", self.peer.clone(), error)
    }
}

/// The receiving half of a stream.
pub struct Receiver<T> {
    body: Body,
    buffer: BytesMut,
    peer: Arc<str>,
    message: PhantomData<fn() -> T>,
}

enum Body {
    Pending(ResponseFuture),
    Open(RecvStream),
}

impl<T: DeserializeOwned> Receiver<T> {
    fn new(body: Body, peer: Arc<str>) -> Self {
        Self { body, buffer: BytesMut::new(), peer, message: PhantomData }
    }

    /// Receives the next message; `None` once the peer has ended the stream.
    ///
    /// # Errors
    /// The stream was reset or ended within a message, the peer has another wire version, or the
    /// bytes are not a valid message.
    pub async fn next(&mut self) -> Result<Option<T>> {
        loop {
            if let Some(message) = self.decode_buffered()? {
                return Ok(Some(message));
            }
            let stream = self.open().await?;
            let Some(chunk) = stream.data().await else {
                if self.buffer.is_empty() {
                    return Ok(None);
                }
                return Err(self.receive_error("the stream ends within a message"));
            };
            let chunk = chunk.map_err(|error| self.receive_error(error))?;
            let size = chunk.len();
            self.buffer.extend_from_slice(&chunk);
            if let Body::Open(stream) = &mut self.body {
                let _ = stream.flow_control().release_capacity(size);
            }
        }
    }

    /// The body of the stream; waits for the peer's response first if it has not arrived yet.
    async fn open(&mut self) -> Result<&mut RecvStream> {
        if let Body::Pending(response) = &mut self.body {
            let response = response
                .await
                .map_err(|error| Error::failed("open stream", self.peer.clone(), error))?;
            if response.status() != StatusCode::OK {
                let detail = format!("the peer answered {}", response.status());
                return Err(Error::refused("open stream", self.peer.clone(), detail));
            }
            self.body = Body::Open(response.into_body());
        }
        match &mut self.body {
            Body::Open(stream) => Ok(stream),
            Body::Pending(_) => unreachable!("the response was taken above"),
        }
    }

    /// Decodes and removes the first buffered message; `None` while it is incomplete.
    fn decode_buffered(&mut self) -> Result<Option<T>> {
        let Some(header) = self.buffer.get(..LENGTH_BYTES) else { return Ok(None) };
        let length = u32::from_le_bytes([header[0], header[1], header[2], header[3]]) as usize;
        if length > MAX_MESSAGE_BYTES {
            return Err(self.receive_error(format!("a message of {length} bytes is too long")));
        }
        if self.buffer.len() < LENGTH_BYTES + length {
            return Ok(None);
        }
        self.buffer.advance(LENGTH_BYTES);
        let body = self.buffer.split_to(length);
        RECEIVED_MESSAGES.fetch_add(1, Ordering::Relaxed);
        RECEIVED_BYTES.fetch_add((LENGTH_BYTES + length) as u64, Ordering::Relaxed);
        binary::decode(&body).map(Some).map_err(|error| self.receive_error(error))
    }

    fn receive_error(&self, error: impl ToString) -> Error {
        Error::failed("receive", self.peer.clone(), error)
    }
}

fn encode<T: Serialize>(message: &T) -> Result<Bytes> {
    let mut bytes = vec![0; LENGTH_BYTES];
    bincode::serde::encode_into_std_write(message, &mut bytes, standard())
        .map_err(|error| Error::invalid(format!("a message cannot be encoded: {error}")))?;
    let length = (bytes.len() - LENGTH_BYTES) as u32;
    bytes[..LENGTH_BYTES].copy_from_slice(&length.to_le_bytes());
    Ok(bytes.into())
}

/// Another process of the system, with a connection that is kept open between uses.
pub struct Peer {
    address: SocketAddr,
    name: Arc<str>,
    connection: Mutex<Option<SendRequest<Bytes>>>,
}

impl Peer {
    /// Creates the peer at `address` without connecting to it.
    pub fn new(address: SocketAddr) -> Self {
        Self { address, name: address.to_string().into(), connection: Mutex::new(None) }
    }

    /// Opens a stream, connecting first if necessary.
    ///
    /// # Errors
    /// The connection failed or cannot take another stream; nothing was sent.
    pub async fn open<Up: Serialize, Down: DeserializeOwned>(
        &self,
        channel: Channel,
    ) -> Result<(Sender<Up>, Receiver<Down>)> {
        let mut sender = self.ready().await?;
        let request = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{}{}", self.address, channel.path()))
            .header(VERSION_HEADER, WIRE_VERSION)
            .body(())
            .expect("the parts of the request are valid");
        let (response, stream) = sender
            .send_request(request, false)
            .map_err(|error| Error::refused("open stream", self.name.clone(), error))?;
        let sender = Sender::new(stream, self.name.clone());
        Ok((sender, Receiver::new(Body::Pending(response), self.name.clone())))
    }

    /// Sends one message and waits for the answer.
    ///
    /// # Errors
    /// The connection failed, no answer arrived within `timeout_ms`, or the answer is not valid.
    pub async fn call<Up: Serialize, Down: DeserializeOwned>(
        &self,
        channel: Channel,
        message: &Up,
        timeout_ms: u64,
    ) -> Result<Down> {
        let exchange = async {
            let (mut sender, mut receiver) = self.open(channel).await?;
            sender.send(message).await?;
            sender.finish();
            receiver
                .next()
                .await?
                .ok_or_else(|| Error::failed("call", self.name.clone(), "no answer"))
        };
        let Ok(result) = timeout(Duration::from_millis(timeout_ms), exchange).await else {
            self.drop_connection().await;
            return Err(Error::timeout("call", self.name.clone(), timeout_ms));
        };
        result
    }

    /// Drops the connection, which may be broken without a reported error; the next use opens a
    /// new one.
    pub async fn drop_connection(&self) {
        *self.connection.lock().await = None;
    }

    /// The open connection once it can take another stream, or a new one.
    async fn ready(&self) -> Result<SendRequest<Bytes>> {
        let mut slot = self.connection.lock().await;
        if let Some(sender) = slot.take()
            && let Ok(sender) = sender.ready().await
        {
            *slot = Some(sender.clone());
            return Ok(sender);
        }
        let sender = self.connect().await?;
        *slot = Some(sender.clone());
        Ok(sender)
    }

    async fn connect(&self) -> Result<SendRequest<Bytes>> {
        let connect = TcpStream::connect(self.address);
        let stream = timeout(CONNECT_TIMEOUT, connect)
            .await
            .map_err(|_| Error::refused("connect", self.name.clone(), "no answer in time"))?
            .map_err(|error| Error::refused("connect", self.name.clone(), error))?;
        let _ = stream.set_nodelay(true);
        let handshake = h2::client::Builder::new()
            .initial_window_size(STREAM_WINDOW_BYTES)
            .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
            .initial_max_send_streams(MAX_STREAMS as usize)
            .handshake(stream);
        let (sender, connection) = timeout(CONNECT_TIMEOUT, handshake)
            .await
            .map_err(|_| Error::refused("handshake", self.name.clone(), "no answer in time"))?
            .map_err(|error| Error::refused("handshake", self.name.clone(), error))?;
        let peer = self.name.clone();
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                debug!(event = "peer_connection_ended", peer = %peer, error = %error);
            }
        });
        sender.ready().await.map_err(|error| Error::refused("handshake", self.name.clone(), error))
    }
}

/// The peers of this process, by address.
#[derive(Default)]
pub struct Peers(std::sync::Mutex<HashMap<SocketAddr, Arc<Peer>>>);

impl Peers {
    /// An empty set of peers.
    pub fn new() -> Self {
        Self::default()
    }

    /// The peer at `address`, created on first use.
    pub fn get(&self, address: SocketAddr) -> Arc<Peer> {
        let mut peers = self.0.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        peers.entry(address).or_insert_with(|| Arc::new(Peer::new(address))).clone()
    }
}

/// A stream that a peer has opened.
pub struct Incoming {
    /// The purpose of the stream.
    pub channel: Channel,
    peer: Arc<str>,
    body: RecvStream,
    respond: h2::server::SendResponse<Bytes>,
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
        let receiver = Receiver::new(Body::Open(self.body), self.peer.clone());
        Ok((receiver, Sender::new(stream, self.peer)))
    }
}

/// Handles the streams that peers open.
pub trait Handler: Send + Sync + 'static {
    /// Serves one stream until it ends.
    fn handle(&self, incoming: Incoming) -> BoxFuture<'static, Result<()>>;
}

/// Accepts connections of peers until the future is dropped.
pub async fn serve(listener: TcpListener, handler: Arc<dyn Handler>, metrics: Metrics) {
    loop {
        match listener.accept().await {
            Ok((stream, address)) => {
                let _ = stream.set_nodelay(true);
                let connection =
                    serve_connection(stream, address, handler.clone(), metrics.clone());
                tokio::spawn(connection);
            }
            Err(error) => {
                warn!(event = "accept_failed", listener = "peers", error = %error);
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

async fn serve_connection(
    stream: TcpStream,
    address: SocketAddr,
    handler: Arc<dyn Handler>,
    metrics: Metrics,
) {
    let peer: Arc<str> = address.to_string().into();
    let handshake = h2::server::Builder::new()
        .initial_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
        .max_concurrent_streams(MAX_STREAMS)
        .handshake::<_, Bytes>(stream);
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
    while let Some(accepted) = connection.accept().await {
        let (request, respond) = match accepted {
            Ok(accepted) => accepted,
            Err(error) => {
                debug!(event = "peer_connection_ended", peer = %peer, error = %error);
                return;
            }
        };
        let Some(incoming) = check_stream(request, respond, &peer, &metrics) else { continue };
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
) -> Option<Incoming> {
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
    Some(Incoming { channel, peer: peer.clone(), body: request.into_body(), respond })
}
