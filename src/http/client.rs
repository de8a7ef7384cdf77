//! A client with a connection pool.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::{Framing, SenderCheck, WholeBody, check_final, is_event_stream};
use crate::error::{Error, Result};
use crate::wire::BoxFuture;

/// How long an idle connection is kept for later requests.
const IDLE_MAX: Duration = Duration::from_secs(20);

/// As many times in a row can the connections to a peer be replaced before older ones expire.
const POOLS: usize = 4;

/// A peer that did not answer in time.
struct Doubted {
    /// The pool that is used since.
    pool: usize,
    /// When the connections kept before have expired.
    until: Instant,
}

type PooledClient = Client<HttpConnector, Full<Bytes>>;

/// A client that keeps connections open for later requests.
///
/// A kept connection may have stopped passing data on without being closed. After an exchange without
/// an answer in time, requests to the same peer use the connections of another pool until those kept
/// before have expired.
#[derive(Clone)]
pub struct HttpClient {
    pools: [PooledClient; POOLS],
    /// The peers that did not answer in time.
    doubted: Arc<Mutex<HashMap<String, Doubted>>>,
    connect_timeout_ms: u64,
}

impl HttpClient {
    /// Creates a client whose attempts to connect fail after `connect_timeout_ms`.
    pub fn new(connect_timeout_ms: u64) -> Self {
        Self::with_unacknowledged_max(connect_timeout_ms, None)
    }

    /// Creates a client that closes a connection when data stays unacknowledged for
    /// `unacknowledged_max`, so that a request that was given up does not arrive later.
    pub fn with_unacknowledged_max(
        connect_timeout_ms: u64,
        unacknowledged_max: Option<Duration>,
    ) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_tcp_user_timeout(unacknowledged_max);
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(Duration::from_millis(connect_timeout_ms)));
        let mut builder = Client::builder(TokioExecutor::new());
        builder
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_MAX)
            // An endpoint may close a pooled connection just before it is used. The request is sent
            // again on another connection only if none of it was written.
            .retry_canceled_requests(true);
        let pools = std::array::from_fn(|_| builder.build(connector.clone()));
        Self { pools, doubted: Arc::default(), connect_timeout_ms }
    }

    /// The client for requests to `peer`.
    fn client_for(&self, peer: &str) -> &PooledClient {
        let now = Instant::now();
        let doubted = self.doubted.lock().unwrap_or_else(PoisonError::into_inner);
        let pool = doubted.get(peer).filter(|peer| now < peer.until).map_or(0, |peer| peer.pool);
        &self.pools[pool]
    }

    /// Records that `peer` did not answer in time.
    fn doubt(&self, peer: &str) {
        let now = Instant::now();
        let mut doubted = self.doubted.lock().unwrap_or_else(PoisonError::into_inner);
        doubted.retain(|_, peer| now < peer.until);
        let used = doubted.get(peer).map_or(0, |peer| peer.pool);
        let pool = (used + 1) % POOLS;
        doubted.insert(peer.to_owned(), Doubted { pool, until: now + IDLE_MAX });
    }

    /// Sends a request and returns the answer once its head has arrived.
    ///
    /// # Errors
    /// "Not run" if no connection could be made or no byte was written; otherwise it is unknown
    /// whether the request ran.
    pub async fn send(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<WholeBody<Incoming>>> {
        let peer = request.uri().authority().map_or_else(String::new, ToString::to_string);
        let response = self.client_for(&peer).request(request).await.map_err(|error| {
            if error.is_connect() {
                return Error::refused("connect", peer.clone(), root_cause(&error));
            }
            if is_unsent(&error) {
                return Error::refused("send request", peer.clone(), root_cause(&error));
            }
            Error::failed("send request", peer.clone(), root_cause(&error))
        })?;
        let (head, body) = response.into_parts();
        check_final(head.status)
            .map_err(|error| Error::failed("read answer", peer.clone(), error))?;
        let framing = Framing::of(&head)
            .map_err(|error| Error::failed("read answer", peer.clone(), error))?;
        let is_events = is_event_stream(&head.headers, false);
        let peer: Arc<str> = peer.into();
        let timeout_ms = self.connect_timeout_ms;
        let body = WholeBody::new(peer.clone(), framing, body, is_events)
            .with_sender_check(Reconnect { peer, timeout_ms });
        Ok(Response::from_parts(head, body))
    }

    /// Sends a request and reads the complete answer.
    ///
    /// # Errors
    /// As [`send`](Self::send); also an answer larger than `max_bytes` or not complete within
    /// `timeout_ms`.
    pub async fn exchange(
        &self,
        request: Request<Full<Bytes>>,
        timeout_ms: u64,
        max_bytes: usize,
    ) -> Result<(StatusCode, Bytes)> {
        let peer = request.uri().authority().map_or_else(String::new, ToString::to_string);
        let exchange = async {
            let response = self.send(request).await?;
            let status = response.status();
            let body = Limited::new(response.into_body(), max_bytes)
                .collect()
                .await
                .map_err(|error| Error::failed("read answer", peer.clone(), error))?;
            Ok((status, body.to_bytes()))
        };
        let Ok(result) = timeout(Duration::from_millis(timeout_ms), exchange).await else {
            self.doubt(&peer);
            return Err(Error::timeout("exchange", peer.clone(), timeout_ms));
        };
        result
    }

    /// Sends a GET request for `path` and returns the body of the answer.
    ///
    /// # Errors
    /// As [`exchange`](Self::exchange); also a status other than success.
    pub async fn get(
        &self,
        address: SocketAddr,
        path: &str,
        timeout_ms: u64,
        max_bytes: usize,
    ) -> Result<Bytes> {
        let request = request(Method::GET, address, path, None, Bytes::new())?;
        let (status, body) = self.exchange(request, timeout_ms, max_bytes).await?;
        if !status.is_success() {
            return Err(Error::failed("get", address.to_string(), format!("status {status}")));
        }
        Ok(body)
    }
}

/// Takes a sender for running that accepts another connection.
#[derive(Debug)]
struct Reconnect {
    peer: Arc<str>,
    timeout_ms: u64,
}

impl SenderCheck for Reconnect {
    fn confirm(&self) -> BoxFuture<'static, Result<()>> {
        let Self { peer, timeout_ms } = self;
        let (peer, timeout_ms) = (peer.clone(), *timeout_ms);
        Box::pin(async move {
            let connecting = TcpStream::connect(&*peer);
            timeout(Duration::from_millis(timeout_ms), connecting)
                .await
                .map_err(|_| Error::timeout("connect again", peer.clone(), timeout_ms))?
                .map_err(|error| Error::failed("connect again", peer.clone(), error))?;
            Ok(())
        })
    }
}

/// Builds a request to `address`.
///
/// # Errors
/// The path or the content type is not valid in HTTP.
pub fn request(
    method: Method,
    address: SocketAddr,
    path: &str,
    content_type: Option<&str>,
    body: Bytes,
) -> Result<Request<Full<Bytes>>> {
    let mut builder = Request::builder().method(method).uri(format!("http://{address}{path}"));
    if let Some(content_type) = content_type {
        builder = builder.header(http::header::CONTENT_TYPE, content_type);
    }
    builder.body(Full::new(body)).map_err(|error| {
        Error::invalid(format!("the request to {address} cannot be built: {error}"))
    })
}

/// True if the connection ended before any byte of the request was written to it.
fn is_unsent(error: &(dyn std::error::Error + 'static)) -> bool {
    let mut cause = Some(error);
    while let Some(found) = cause {
        if found.downcast_ref::<hyper::Error>().is_some_and(hyper::Error::is_canceled) {
            return true;
        }
        cause = found.source();
    }
    false
}

fn root_cause(error: &(dyn std::error::Error + 'static)) -> String {
    let mut cause = error;
    while let Some(next) = cause.source() {
        cause = next;
    }
    cause.to_string()
}
