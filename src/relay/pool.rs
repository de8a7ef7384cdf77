//! HTTP/1 connections to endpoints: each carries one request at a time and is kept for reuse.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tracing::debug;

use super::connection_records::{ConnectionRecord, ConnectionRecords, OlderConnections};
use super::idle::IdleConnections;
use crate::clock::Clock;
use crate::error::{Error, Result};
use crate::http::check_final;
use crate::observed_stream::ObservedStream;

/// A connection is established within one round trip, if at all; a lost packet adds a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// How long sent data may stay unacknowledged before the connection is closed: twice as long as a sound
/// endpoint may be silent.
const UNACKNOWLEDGED_MAX: Duration = Duration::from_secs(4);

/// The most that is read of an answer before it is taken, which is also the largest head.
const BUFFER_MAX_BYTES: usize = 64 << 10;

/// A connection without a request in progress.
pub type Connection = SendRequest<Full<Bytes>>;

/// Marks an endpoint as being tried on a new connection.
pub struct ConnectionTrial<'a> {
    pool: &'a ConnectionPool,
    address: SocketAddr,
}

impl Drop for ConnectionTrial<'_> {
    fn drop(&mut self) {
        self.pool.records().end_trial(self.address);
    }
}

/// A request that got no response.
pub enum SendFailure {
    /// Nothing was written.
    NotSent(Error),
    /// The request may have reached the endpoint.
    Unknown(Error),
    /// The endpoint sent something that is no final answer.
    Invalid(Error),
}

/// Connections to all endpoints.
pub struct ConnectionPool {
    clock: Clock,
    idle: Mutex<IdleConnections<Connection>>,
    records: Mutex<ConnectionRecords>,
}

impl ConnectionPool {
    pub fn new(clock: Clock) -> Self {
        Self { clock, idle: Mutex::new(IdleConnections::new()), records: Mutex::default() }
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
        self.open(address).await
    }

    /// Opens a connection for a later request.
    ///
    /// # Errors
    /// No connection could be made.
    pub async fn open_ahead(&self, address: SocketAddr) -> Result<()> {
        let connection = self.open(address).await?;
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

    /// Opens a connection to `address`.
    ///
    /// # Errors
    /// A refusal: no connection could be made.
    pub async fn open(&self, address: SocketAddr) -> Result<Connection> {
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
        let record = Arc::new(ConnectionRecord::new(self.clock));
        self.records().add(self.clock.now_ms(), address, record.clone());
        let stream = ObservedStream::new(stream, record);
        let (connection, driver) = Builder::new()
            .max_buf_size(BUFFER_MAX_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|error| Error::refused("handshake", peer.clone(), error))?;
        tokio::spawn(async move {
            if let Err(error) = driver.await {
                debug!(event = "endpoint_connection_ended", peer = %peer, error = %error);
            }
        });
        Ok(connection)
    }

    /// Drops the idle connections to `address`.
    pub fn forget(&self, address: SocketAddr) {
        self.idle().forget(address);
    }

    /// Compares the connections to `address` that were open at `open_at_ms`, which count as quiet if
    /// they have brought nothing since `quiet_since_ms`, with newer ones.
    pub fn compare_older(
        &self,
        address: SocketAddr,
        open_at_ms: u64,
        quiet_since_ms: u64,
    ) -> OlderConnections {
        self.records().compare(address, open_at_ms, quiet_since_ms)
    }

    /// Records that the endpoint at `address` answered a probe.
    pub fn note_reached(&self, address: SocketAddr) {
        self.records().note_reached(self.clock.now_ms(), address);
    }

    /// True if the connections to `address` that were open at `open_at_ms` have brought nothing since
    /// `quiet_since_ms`, although the endpoint has answered on a newer one or a probe.
    pub fn are_silent(&self, address: SocketAddr, open_at_ms: u64, quiet_since_ms: u64) -> bool {
        let records = self.records();
        match records.compare(address, open_at_ms, quiet_since_ms) {
            OlderConnections::Active => false,
            OlderConnections::Quiet => records.was_reached_since(open_at_ms, address),
            OlderConnections::Silent => true,
        }
    }

    /// Begins to try an endpoint on a new connection; `None` if that is being done already.
    pub fn begin_trial(&self, address: SocketAddr) -> Option<ConnectionTrial<'_>> {
        let is_first = self.records().begin_trial(address);
        is_first.then(|| ConnectionTrial { pool: self, address })
    }

    /// Drops expired connections.
    pub fn prune(&self) {
        let now_ms = self.clock.now_ms();
        self.idle().prune(now_ms);
        self.records().prune(now_ms);
    }

    fn records(&self) -> std::sync::MutexGuard<'_, ConnectionRecords> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn idle(&self) -> std::sync::MutexGuard<'_, IdleConnections<Connection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Sends `request` and waits for the response head.
///
/// # Errors
/// The request got no final response; the variant tells whether any of it was written.
pub async fn send(
    connection: &mut Connection,
    peer: &str,
    request: Request<Full<Bytes>>,
) -> std::result::Result<Response<Incoming>, SendFailure> {
    let response = connection.try_send_request(request).await.map_err(|mut failure| {
        let is_unsent = failure.take_message().is_some();
        let error = failure.into_error();
        if is_unsent {
            return SendFailure::NotSent(Error::refused("send request", peer, error));
        }
        SendFailure::Unknown(Error::failed("send request", peer, error))
    })?;
    check_final(response.status())
        .map_err(|error| SendFailure::Invalid(Error::failed("read answer", peer, error)))?;
    Ok(response)
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
