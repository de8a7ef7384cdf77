//! Connections to other processes of the system.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use h2::client::SendRequest;
use http::{Method, Request};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpStream;
use tokio::sync::Mutex;
use tokio::time::timeout;
use tracing::debug;

use super::liveness::{Activity, Side, watch};
use super::stream::{Body, Receiver, Sender};
use super::{
    CONNECTION_WINDOW_BYTES, Channel, MAX_STREAMS, STREAM_WINDOW_BYTES, VERSION_HEADER,
    WIRE_VERSION,
};
use crate::error::{Error, Result};
use crate::metrics::Metrics;
use crate::observed_stream::ObservedStream;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Another process of the system, with a connection that is kept open between uses.
pub struct Peer {
    address: SocketAddr,
    name: Arc<str>,
    metrics: Option<Metrics>,
    connection: Mutex<Option<Connection>>,
}

/// An open connection.
#[derive(Clone)]
struct Connection {
    sender: SendRequest<Bytes>,
    activity: Arc<Activity>,
}

impl Peer {
    /// Creates the peer at `address` without connecting to it.
    pub fn new(address: SocketAddr) -> Self {
        let name = address.to_string().into();
        Self { address, name, metrics: None, connection: Mutex::new(None) }
    }

    /// Counts connections that fall silent in `metrics`.
    #[must_use]
    pub fn with_metrics(self, metrics: Metrics) -> Self {
        Self { metrics: Some(metrics), ..self }
    }

    /// Opens a stream, connecting first if necessary.
    ///
    /// # Errors
    /// The connection failed or cannot take another stream; nothing was sent.
    pub async fn open<Up: Serialize, Down: DeserializeOwned>(
        &self,
        channel: Channel,
    ) -> Result<(Sender<Up>, Receiver<Down>)> {
        let Connection { mut sender, activity } = self.ready().await?;
        let guard = activity.open(channel);
        let request = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{}{}", self.address, channel.path()))
            .header(VERSION_HEADER, WIRE_VERSION)
            .body(())
            .expect("the parts of the request are valid");
        let (response, stream) = sender
            .send_request(request, false)
            .map_err(|error| Error::refused("open stream", self.name.clone(), error))?;
        let sender = Sender::new(stream, self.name.clone(), guard.clone());
        Ok((sender, Receiver::new(Body::Pending(response), self.name.clone(), guard)))
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
    async fn ready(&self) -> Result<Connection> {
        let mut slot = self.connection.lock().await;
        if let Some(Connection { sender, activity }) = slot.take()
            && !activity.is_doubted()
            && let Ok(sender) = sender.ready().await
        {
            let connection = Connection { sender, activity };
            *slot = Some(connection.clone());
            return Ok(connection);
        }
        let connection = self.connect().await?;
        *slot = Some(connection.clone());
        Ok(connection)
    }

    async fn connect(&self) -> Result<Connection> {
        let connect = TcpStream::connect(self.address);
        let stream = timeout(CONNECT_TIMEOUT, connect)
            .await
            .map_err(|_| Error::refused("connect", self.name.clone(), "no answer in time"))?
            .map_err(|error| Error::refused("connect", self.name.clone(), error))?;
        let _ = stream.set_nodelay(true);
        let activity = Arc::<Activity>::default();
        let handshake = h2::client::Builder::new()
            .initial_window_size(STREAM_WINDOW_BYTES)
            .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
            .initial_max_send_streams(MAX_STREAMS as usize)
            .handshake(ObservedStream::new(stream, activity.clone()));
        let (sender, mut connection) = timeout(CONNECT_TIMEOUT, handshake)
            .await
            .map_err(|_| Error::refused("handshake", self.name.clone(), "no answer in time"))?
            .map_err(|error| Error::refused("handshake", self.name.clone(), error))?;
        let silence = watch(activity.clone(), connection.ping_pong());
        let (peer, metrics, watched) = (self.name.clone(), self.metrics.clone(), activity.clone());
        tokio::spawn(async move {
            tokio::select! {
                ended = connection => if let Err(error) = ended {
                    debug!(event = "peer_connection_ended", peer = %peer, error = %error);
                },
                end = silence => end.note(&peer, Side::Opened, &watched, metrics.as_ref()),
            }
        });
        let sender = sender
            .ready()
            .await
            .map_err(|error| Error::refused("handshake", self.name.clone(), error))?;
        Ok(Connection { sender, activity })
    }
}

/// The peers of this process, by address.
#[derive(Default)]
pub struct Peers {
    metrics: Option<Metrics>,
    by_address: std::sync::Mutex<HashMap<SocketAddr, Arc<Peer>>>,
}

impl Peers {
    /// An empty set of peers.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts connections that fall silent in `metrics`.
    #[must_use]
    pub fn with_metrics(self, metrics: Metrics) -> Self {
        Self { metrics: Some(metrics), ..self }
    }

    /// The peer at `address`, created on first use.
    pub fn get(&self, address: SocketAddr) -> Arc<Peer> {
        let mut peers = self.by_address.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        let known = peers.entry(address).or_insert_with(|| {
            Arc::new(Peer { metrics: self.metrics.clone(), ..Peer::new(address) })
        });
        known.clone()
    }
}
