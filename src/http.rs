//! HTTP over `hyper`: a client with a connection pool, and a server with limits.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response, StatusCode};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::service::service_fn;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};
use tokio::time::timeout;
use tracing::{debug, warn};

use crate::error::{Error, Result};
use crate::metrics::{Counter, Metrics};
use crate::wire::BoxFuture;

/// The body of an answer. An error in it aborts the connection, so that the client does not take
/// the answer to be complete.
pub type AnswerBody = BoxBody<Bytes, Error>;

/// An answer to a caller.
pub type Answer = Response<AnswerBody>;

/// Builds a body from bytes in memory.
pub fn full(body: impl Into<Bytes>) -> AnswerBody {
    Full::new(body.into()).map_err(|never: Infallible| match never {}).boxed()
}

/// Builds an answer with a body in memory.
pub fn answer(status: StatusCode, content_type: &str, body: impl Into<Bytes>) -> Answer {
    let mut answer = Response::new(full(body));
    *answer.status_mut() = status;
    if let Ok(value) = content_type.parse() {
        answer.headers_mut().insert(http::header::CONTENT_TYPE, value);
    }
    answer
}

/// Builds an answer with a JSON body.
pub fn json_answer(status: StatusCode, body: &serde_json::Value) -> Answer {
    answer(status, "application/json", body.to_string())
}

/// A client that keeps connections open for later requests.
#[derive(Clone)]
pub struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
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
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(Duration::from_secs(20))
            // An endpoint may close a pooled connection just before it is used. The request is sent
            // again on another connection only if none of it was written.
            .retry_canceled_requests(true)
            .build(connector);
        Self { client }
    }

    /// Sends a request and returns the answer once its head has arrived.
    ///
    /// # Errors
    /// "Not run" if no connection could be made or no byte was written; otherwise it is unknown
    /// whether the request ran.
    pub async fn send(&self, request: Request<Full<Bytes>>) -> Result<Response<Incoming>> {
        let peer = request.uri().authority().map_or_else(String::new, ToString::to_string);
        self.client.request(request).await.map_err(|error| {
            if error.is_connect() {
                return Error::refused("connect", peer, root_cause(&error));
            }
            if is_unsent(&error) {
                return Error::refused("send request", peer, root_cause(&error));
            }
            Error::failed("send request", peer, root_cause(&error))
        })
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
        timeout(Duration::from_millis(timeout_ms), exchange)
            .await
            .map_err(|_| Error::timeout("exchange", peer.clone(), timeout_ms))?
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

/// The reason why a body could not be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyFault {
    /// The body is larger than allowed.
    TooLarge,
    /// The body did not arrive in time.
    TooSlow,
    /// The connection failed before the end of the body.
    Broken,
}

/// Reads a complete body, of at most `max_bytes`, within `timeout_ms`.
///
/// # Errors
/// The limit that was exceeded, or a connection that failed.
pub async fn read_body<B>(
    body: B,
    max_bytes: usize,
    timeout_ms: u64,
) -> std::result::Result<Bytes, BodyFault>
where
    B: Body<Data = Bytes>,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let collected =
        timeout(Duration::from_millis(timeout_ms), Limited::new(body, max_bytes).collect());
    match collected.await {
        Err(_) => Err(BodyFault::TooSlow),
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.downcast_ref::<LengthLimitError>().is_some() => {
            Err(BodyFault::TooLarge)
        }
        Ok(Err(_)) => Err(BodyFault::Broken),
    }
}

/// A handler of HTTP requests.
pub trait HttpHandler: Send + Sync + 'static {
    /// Answers a request.
    fn handle(&self, request: Request<Incoming>) -> BoxFuture<'static, Answer>;
}

/// Limits of an HTTP server.
#[derive(Debug, Clone, Copy)]
pub struct ServerLimits {
    /// The maximum number of open connections; further ones are closed immediately.
    pub connections: usize,
    /// The maximum size of the request headers.
    pub header_max_bytes: usize,
    /// The maximum time for the headers to arrive.
    pub header_timeout_ms: u64,
    /// True if a client that has closed its sending side still receives its answer; otherwise it
    /// counts as disconnected and its request is cancelled.
    pub half_close: bool,
}

impl Default for ServerLimits {
    fn default() -> Self {
        Self {
            connections: 1_024,
            header_max_bytes: 32 << 10,
            header_timeout_ms: 5_000,
            half_close: true,
        }
    }
}

/// Accepts connections until `stop` becomes true, then waits for the open connections to end.
pub async fn serve(
    listener: TcpListener,
    handler: Arc<dyn HttpHandler>,
    limits: ServerLimits,
    metrics: Metrics,
    mut stop: watch::Receiver<bool>,
) {
    let open = Arc::new(Semaphore::new(limits.connections));
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stopped(&mut stop) => break,
        };
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(error) => {
                warn!(event = "accept_failed", listener = "http", error = %error);
                tokio::time::sleep(Duration::from_millis(50)).await;
                continue;
            }
        };
        let Ok(permit) = open.clone().try_acquire_owned() else {
            metrics.count(Counter::CallerConnectionFailed);
            warn!(event = "connection_refused", reason = "too many connections");
            continue;
        };
        let connection =
            serve_connection(stream, handler.clone(), limits, metrics.clone(), stop.clone());
        tokio::spawn(async move {
            connection.await;
            drop(permit);
        });
    }
    drop(listener);
    // Each connection holds a permit, so all permits are available once the last connection has
    // ended.
    let _ = open.acquire_many(limits.connections as u32).await;
}

async fn serve_connection(
    stream: TcpStream,
    handler: Arc<dyn HttpHandler>,
    limits: ServerLimits,
    metrics: Metrics,
    mut stop: watch::Receiver<bool>,
) {
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| {
        let answer = handler.handle(request);
        async move { Ok::<_, Infallible>(answer.await) }
    });
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(limits.header_timeout_ms))
        .max_buf_size(limits.header_max_bytes.max(8_192))
        .half_close(limits.half_close)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let result = tokio::select! {
        result = connection.as_mut() => result,
        () = stopped(&mut stop) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = result {
        metrics.count(Counter::CallerConnectionFailed);
        debug!(event = "connection_failed", error = %error);
    }
}

/// Returns once `stop` becomes true or its sender is dropped.
pub async fn stopped(stop: &mut watch::Receiver<bool>) {
    let _ = stop.wait_for(|stop| *stop).await;
}

/// Returns the value of a header; `None` if it is missing or is not visible ASCII.
pub fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}
