//! HTTP/1 connections to endpoints: each carries one request at a time and is kept for reuse.

use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tracing::debug;

use super::idle::IdleConnections;
use crate::clock::Clock;
use crate::error::{Error, Result};

/// A connection is established within one round trip, if at all; a lost packet adds a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// How long sent data may stay unacknowledged before the connection is closed.
const UNACKNOWLEDGED_MAX: Duration = Duration::from_secs(2);

/// A connection without a request in progress.
pub type Connection = SendRequest<Full<Bytes>>;

/// A request that got no response.
pub enum SendFailure {
    /// Nothing was written.
    NotSent(Error),
    /// The request may have reached the endpoint.
    Unknown(Error),
}

/// Connections to all endpoints.
pub struct ConnectionPool {
    clock: Clock,
    idle: Mutex<IdleConnections<Connection>>,
}

impl ConnectionPool {
    pub fn new(clock: Clock) -> Self {
        Self { clock, idle: Mutex::new(IdleConnections::new()) }
    }

    /// Returns an idle connection to `address`, or a new one.
    ///
    /// # Errors
    /// A refusal: no connection could be made, so the request did not run.
    pub async fn connection(&self, address: SocketAddr) -> Result<Connection> {
        if let Some(connection) =
            self.idle().take(self.clock.now_ms(), address, SendRequest::is_ready)
        {
            return Ok(connection);
        }
        open(address).await
    }

    /// Opens a connection for a later request.
    ///
    /// # Errors
    /// No connection could be made.
    pub async fn open_ahead(&self, address: SocketAddr) -> Result<()> {
        let connection = open(address).await?;
        self.idle().put(self.clock.now_ms(), address, connection, None);
        Ok(())
    }

    /// Keeps a connection whose response was read completely.
    pub fn keep(&self, address: SocketAddr, connection: Connection, headers: &HeaderMap) {
        if connection.is_closed() {
            return;
        }
        let kept_ms = keep_alive_ms(headers);
        self.idle().put(self.clock.now_ms(), address, connection, kept_ms);
    }

    /// Drops the idle connections to `address`.
    pub fn forget(&self, address: SocketAddr) {
        self.idle().forget(address);
    }

    /// Drops expired connections.
    pub fn prune(&self) {
        self.idle().prune(self.clock.now_ms());
    }

    fn idle(&self) -> std::sync::MutexGuard<'_, IdleConnections<Connection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn open(address: SocketAddr) -> Result<Connection> {
    let peer = address.to_string();
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
        .await
        .map_err(|_| Error::refused("connect", peer.clone(), "no answer in time"))?
        .map_err(|error| Error::refused("connect", peer.clone(), error))?;
    let options = SockRef::from(&stream);
    options
        .set_tcp_nodelay(true)
        .and_then(|()| options.set_tcp_user_timeout(Some(UNACKNOWLEDGED_MAX)))
        .map_err(|error| Error::refused("set socket options", peer.clone(), error))?;
    let (connection, driver) = handshake(TokioIo::new(stream))
        .await
        .map_err(|error| Error::refused("handshake", peer.clone(), error))?;
    tokio::spawn(async move {
        if let Err(error) = driver.await {
            debug!(event = "endpoint_connection_ended", peer = %peer, error = %error);
        }
    });
    Ok(connection)
}

/// Sends `request` and waits for the response head.
///
/// # Errors
/// The request got no response; the variant tells whether any of it was written.
pub async fn send(
    connection: &mut Connection,
    peer: &str,
    request: Request<Full<Bytes>>,
) -> std::result::Result<Response<Incoming>, SendFailure> {
    connection.try_send_request(request).await.map_err(|mut failure| {
        let is_unsent = failure.take_message().is_some();
        let error = failure.into_error();
        if is_unsent {
            return SendFailure::NotSent(Error::refused("send request", peer, error));
        }
        SendFailure::Unknown(Error::failed("send request", peer, error))
    })
}

/// The keep-alive time that the endpoint promises in `Keep-Alive: timeout=SECONDS`.
fn keep_alive_ms(headers: &HeaderMap) -> Option<u64> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    for part in value.split(',') {
        let Some(seconds) = part.trim().strip_prefix("timeout=") else { continue };
        return seconds.trim().parse::<u64>().ok().map(|seconds| seconds * 1_000);
    }
    None
}
