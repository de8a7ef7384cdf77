//! A server with limits.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use http::{Request, Version};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};
use tracing::{debug, warn};

use super::Answer;
use super::client_stream::{ClientStream, ResetSwitch};
use crate::metrics::{Counter, Metrics};
use crate::wire::BoxFuture;

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
    let reset_switch = ResetSwitch::default();
    let stream = ClientStream::new(stream, reset_switch.clone());
    let service = service_fn(move |request: Request<Incoming>| {
        // Its responses without a length end with the connection.
        if request.version() < Version::HTTP_11 {
            reset_switch.reset_unless_shut_down();
        }
        let answer = handler.handle(request);
        async move {
            let mut answer = answer.await;
            // An answer that is passed on may have the version of its endpoint.
            *answer.version_mut() = Version::HTTP_11;
            Ok::<_, Infallible>(answer)
        }
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
