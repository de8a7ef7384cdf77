//! A server with limits.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use http::{Request, Version};
use hyper::body::{Body, Incoming};
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::task::yield_now;
use tokio::time::timeout;
use tracing::{debug, warn};

use super::Answer;
use super::body::RequestBody;
use super::client_stream::{ClientStream, RECEIVE_BUFFER_BYTES, ResetSwitch};
use super::meter::RequestMeter;
use crate::metrics::Counter;
use crate::policy::resource_limiter::ListenerClass;
use crate::resources::Resources;
use crate::wire::BoxFuture;

/// How long a connection that is closed for another one may take to send its last answer.
const LAST_ANSWER: Duration = Duration::from_millis(200);
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// A handler of HTTP requests.
pub trait HttpHandler: Send + Sync + 'static {
    /// Answers a request.
    fn handle(&self, request: Request<RequestBody>) -> BoxFuture<'static, Answer>;
}

/// Limits of an HTTP server.
#[derive(Debug, Clone, Copy)]
pub struct ServerLimits {
    /// Whom it serves, which decides how many connections it may have.
    pub class: ListenerClass,
    /// The maximum size of the request headers.
    pub header_max_bytes: usize,
    /// The maximum time for the headers to arrive.
    pub header_timeout_ms: u64,
    /// True if a client that has closed its sending side still receives its answer; otherwise it
    /// counts as disconnected and its request is cancelled.
    pub half_close: bool,
}

impl ServerLimits {
    /// The usual limits of a server for `class`.
    pub fn new(class: ListenerClass) -> Self {
        Self { class, header_max_bytes: 32 << 10, header_timeout_ms: 5_000, half_close: true }
    }
}

/// Accepts connections until `stop` becomes true, then waits for the open connections to end.
pub async fn serve(
    listener: TcpListener,
    handler: Arc<dyn HttpHandler>,
    limits: ServerLimits,
    resources: Resources,
    mut stop: watch::Receiver<bool>,
) {
    // Its connections take over the size.
    if let Err(error) = SockRef::from(&listener).set_recv_buffer_size(RECEIVE_BUFFER_BYTES) {
        warn!(event = "receive_buffer_not_set", error = %error);
    }
    let (open, mut all_ended) = mpsc::channel::<Infallible>(1);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stopped(&mut stop) => break,
        };
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(error) => {
                debug!(event = "accept_failed", listener = "http", error = %error);
                resources.free_descriptor();
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let Ok(connected) = resources.connect(limits.class) else {
            resources.metrics().count(Counter::CallerConnectionFailed);
            continue;
        };
        let meter = RequestMeter::new(connected.guard);
        let connection = serve_connection(stream, handler.clone(), limits, meter, stop.clone());
        let is_open = open.clone();
        tokio::spawn(async move {
            connection.await;
            drop(is_open);
        });
        if connected.has_closed {
            yield_now().await;
        }
    }
    drop(listener);
    // Each connection holds a sender.
    drop(open);
    let _ = all_ended.recv().await;
}

async fn serve_connection(
    stream: TcpStream,
    handler: Arc<dyn HttpHandler>,
    limits: ServerLimits,
    meter: RequestMeter,
    mut stop: watch::Receiver<bool>,
) {
    let _ = stream.set_nodelay(true);
    let reset_switch = ResetSwitch::default();
    let (guard, own_meter) = (meter.guard().clone(), meter.clone());
    let stream = ClientStream::new(stream, reset_switch.clone(), meter.clone());
    let service = service_fn(move |request: Request<Incoming>| {
        // Its responses without a length end with the connection.
        if request.version() < Version::HTTP_11 {
            reset_switch.reset_unless_shut_down();
        }
        meter.head_ended(!request.body().is_end_stream());
        let answer = handler.handle(request.map(|body| RequestBody::new(body, meter.clone())));
        let meter = meter.clone();
        async move {
            let mut answer = answer.await;
            // An answer that is passed on may have the version of its endpoint.
            *answer.version_mut() = Version::HTTP_11;
            Ok::<_, Infallible>(answer.map(|body| meter.until_end_of(body)))
        }
    });
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(limits.header_timeout_ms))
        .max_buf_size(limits.header_max_bytes.max(8_192))
        .half_close(limits.half_close)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let mut is_stopping = false;
    let result = loop {
        tokio::select! {
            // A request must not begin on a connection that is being closed.
            biased;
            () = guard.closing() => {
                if !own_meter.has_begun_answers() {
                    return;
                }
                connection.as_mut().graceful_shutdown();
                // What has not been sent by then is given up.
                break timeout(LAST_ANSWER, connection).await.unwrap_or(Ok(()));
            }
            result = connection.as_mut() => break result,
            () = stopped(&mut stop), if !is_stopping => {
                is_stopping = true;
                connection.as_mut().graceful_shutdown();
            }
        }
    };
    if let Err(error) = result {
        guard.resources().metrics().count(Counter::CallerConnectionFailed);
        debug!(event = "connection_failed", error = %error);
    }
}

/// Returns once `stop` becomes true or its sender is dropped.
pub async fn stopped(stop: &mut watch::Receiver<bool>) {
    let _ = stop.wait_for(|stop| *stop).await;
}
