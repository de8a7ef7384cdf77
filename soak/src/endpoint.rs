//! Endpoints that speak the platform's protocol and note what they run.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::stream;
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Body, Frame, Incoming};
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::sync::{Semaphore, watch};
use tokio::time::timeout;

use crate::engine::unix_ms;
use crate::leaving::Leaving;
use crate::operator::call_control;
use crate::overload::Overload;
use crate::record::Record;
use crate::room::Room;

/// Events of a stream.
pub const EVENTS: u64 = 8;
const EVENT_PAUSE_MS: u64 = 40;
const WORK_MS: u64 = 15;
const HEARTBEAT: Duration = Duration::from_millis(600);
/// Requests that an endpoint runs at once, unless a run sets another number.
pub const SLOTS: u32 = 64;
/// How long an endpoint that ended stays away, unless a run sets another time.
const RESTARTS_AFTER_MS: u64 = 3_000;
/// How long connections of an incarnation that ended silently stay open once the next one is up.
const SILENT_AFTER_RESTART: Duration = Duration::from_secs(1);
/// An endpoint ends once it has worked on a request whose path has this in it.
pub const CRASHING_PATH: &str = "/crash";
/// What clients put into headers that only gateways may set.
pub const FORGED: &str = "999999";

/// An answer of an endpoint.
pub type Answer = Response<BoxBody<Bytes, std::io::Error>>;

/// One endpoint of the plain service.
pub struct Endpoint {
    service: &'static str,
    address: SocketAddr,
    public: SocketAddr,
    incarnation: AtomicU64,
    born_ms: AtomicU64,
    breaks: AtomicBool,
    stalls: watch::Sender<bool>,
    silent: watch::Sender<bool>,
    leaving: Leaving,
    record: Arc<Record>,
    work_ms: AtomicU64,
    event_pause_ms: AtomicU64,
    restarts_after_ms: AtomicU64,
    ends_silently: AtomicBool,
    running: Semaphore,
    /// False while it has ended and the next incarnation has not started.
    is_up: watch::Sender<bool>,
    /// Its overload signal and received requests.
    pub overload: Overload,
    /// The requests that it has room for.
    pub room: Arc<Room>,
}

impl Endpoint {
    /// An endpoint that serves `slots` requests at once at `address` and is reached at `public`.
    pub fn new(
        address: SocketAddr,
        public: SocketAddr,
        slots: u32,
        record: Arc<Record>,
    ) -> Arc<Self> {
        let incarnation = AtomicU64::new(1);
        let born_ms = AtomicU64::new(unix_ms());
        let breaks = AtomicBool::new(false);
        Arc::new(Self {
            service: "plain",
            address,
            public,
            incarnation,
            born_ms,
            breaks,
            stalls: watch::Sender::new(false),
            silent: watch::Sender::new(false),
            leaving: Leaving::default(),
            record,
            work_ms: AtomicU64::new(WORK_MS),
            event_pause_ms: AtomicU64::new(EVENT_PAUSE_MS),
            restarts_after_ms: AtomicU64::new(RESTARTS_AFTER_MS),
            ends_silently: AtomicBool::new(false),
            running: Semaphore::new(slots as usize),
            is_up: watch::Sender::new(true),
            overload: Overload::new(),
            room: Room::new(slots),
        })
    }

    /// Sets how long it works on a request.
    pub fn set_work(&self, work: Duration) {
        self.work_ms.store(work.as_millis() as u64, Ordering::SeqCst);
    }

    /// Sets the pause before each event of streams that start from now on.
    pub fn set_event_pause(&self, pause: Duration) {
        self.event_pause_ms.store(pause.as_millis() as u64, Ordering::SeqCst);
    }

    /// Sets how long it stays away once it has ended.
    pub fn set_restarts_after(&self, after: Duration) {
        self.restarts_after_ms.store(after.as_millis() as u64, Ordering::SeqCst);
    }

    /// Lets it end without closing a connection: nothing answers until the next incarnation has been up for a
    /// while.
    pub fn end_silently(&self) {
        self.ends_silently.store(true, Ordering::SeqCst);
    }

    /// Ends at once with all that it runs, and starts the next incarnation a while later.
    pub fn crash_for_a_while(&self) {
        self.is_up.send_replace(false);
    }

    fn id(&self) -> String {
        format!("i-{}-{}", self.public.ip(), self.incarnation.load(Ordering::SeqCst))
    }

    /// Starts another incarnation: what is sent to the one before is refused from now on.
    pub fn restart(&self) {
        self.incarnation.fetch_add(1, Ordering::SeqCst);
        self.restart_under_id();
    }

    /// Starts another incarnation under the same id, which counts its heartbeats anew.
    pub fn restart_under_id(&self) {
        self.born_ms.store(unix_ms(), Ordering::SeqCst);
        self.overload.record_restart();
    }

    /// Announces with its heartbeats that it leaves, and continues to serve.
    pub fn leave(&self) {
        self.leaving.begin();
    }

    /// Starts another incarnation if it was leaving.
    pub fn return_if_left(&self) {
        if self.leaving.end() {
            self.restart();
        }
    }

    /// Breaks answers off in the middle from now on, or no longer.
    pub fn set_breaks(&self, breaks: bool) {
        self.breaks.store(breaks, Ordering::SeqCst);
    }

    /// Falls silent in the middle of streams from now on, or goes on with them.
    pub fn set_stalls(&self, stalls: bool) {
        self.stalls.send_replace(stalls);
    }

    /// Stands still as a whole, or goes on: requests, probes and heartbeats wait meanwhile.
    pub fn set_silent(&self, silent: bool) {
        self.silent.send_replace(silent);
    }

    async fn until_not_silent(&self) {
        // The sender lives as long as the endpoint.
        let _ = self.silent.subscribe().wait_for(|silent| !silent).await;
    }

    /// Serves requests and sends heartbeats until the run ends.
    ///
    /// # Errors
    /// The address is taken.
    pub async fn start(self: Arc<Self>, control: Vec<SocketAddr>) -> std::io::Result<()> {
        let mut listener = TcpListener::bind(self.address).await?;
        tokio::spawn(self.clone().beat(control));
        tokio::spawn(async move {
            loop {
                let mut is_up = self.is_up.subscribe();
                tokio::select! {
                    () = self.clone().accept(&listener) => {}
                    // The sender lives as long as the endpoint.
                    _ = is_up.wait_for(|is_up| !is_up) => {}
                }
                let away_ms = self.restarts_after_ms.load(Ordering::SeqCst);
                let away = tokio::time::sleep(Duration::from_millis(away_ms));
                // Connections to a listener that accepts none stay open.
                let silent = self.ends_silently.load(Ordering::SeqCst).then_some(listener);
                away.await;
                drop(silent);
                listener = match TcpListener::bind(self.address).await {
                    Ok(listener) => listener,
                    Err(error) => {
                        self.record.breach(format!("{} does not restart: {error}", self.id()));
                        return;
                    }
                };
                self.restart();
                self.is_up.send_replace(true);
            }
        });
        Ok(())
    }

    /// Serves connections until the listener fails.
    async fn accept(self: Arc<Self>, listener: &TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            let endpoint = self.clone();
            let service = service_fn(move |request| {
                let endpoint = endpoint.clone();
                async move { Ok::<_, Infallible>(endpoint.serve(request).await) }
            });
            let connection = hyper::server::conn::http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service);
            let endpoint = self.clone();
            tokio::spawn(async move {
                tokio::select! {
                    // A connection that breaks is what this program is about.
                    ended = connection => drop(ended),
                    () = endpoint.until_closed() => {}
                }
            });
        }
    }

    /// Waits until a connection that is open now is closed by the endpoint's end.
    async fn until_closed(&self) {
        let mut is_up = self.is_up.subscribe();
        // The sender lives as long as the endpoint.
        let _ = is_up.wait_for(|is_up| !is_up).await;
        if self.ends_silently.load(Ordering::SeqCst) {
            let _ = is_up.wait_for(|is_up| *is_up).await;
            tokio::time::sleep(SILENT_AFTER_RESTART).await;
        }
    }

    async fn beat(self: Arc<Self>, control: Vec<SocketAddr>) {
        let mut sequence = 0;
        let mut turn = 0;
        let mut told_born_ms = 0;
        loop {
            // The sender lives as long as the endpoint.
            let _ = self.is_up.subscribe().wait_for(|is_up| *is_up).await;
            self.until_not_silent().await;
            let born_ms = self.born_ms.load(Ordering::SeqCst);
            if born_ms != told_born_ms {
                (told_born_ms, sequence) = (born_ms, 0);
            }
            sequence += 1;
            let is_leaving = self.leaving.has_begun();
            let state = if is_leaving { "draining" } else { "ready" };
            let body = json!({
                "service": self.service, "address": self.public, "zone": "zone-1", "version": "v1",
                "slots": self.room.slots, "state": state, "cold_remaining_ms": 0, "sequence": sequence,
                "born": born_ms,
            });
            let path = format!("/winchvane/instances/{}", self.id());
            let answered =
                call_control(&control, turn, http::Method::PUT, &path, body.to_string()).await;
            turn += usize::from(answered.is_none());
            if is_leaving && answered.is_some_and(|(status, _)| status.is_success()) {
                self.leaving.note_acknowledged(Instant::now());
            }
            // A change of its state is announced at once.
            let _ = timeout(HEARTBEAT, self.leaving.changed.notified()).await;
        }
    }

    async fn serve(self: Arc<Self>, request: Request<Incoming>) -> Answer {
        if !*self.silent.borrow() {
            let answer = self.answer(request).await;
            self.until_not_silent().await;
            return answer;
        }
        let (head, body) = request.into_parts();
        let id = text(&head.headers, "request-id");
        let Ok(body) = body.collect().await else {
            return whole(StatusCode::BAD_REQUEST, &id, String::new());
        };
        let request = Request::from_parts(head, Full::new(body.to_bytes()));
        // A process that goes on runs what has arrived, also if its client has closed the connection.
        let answered = tokio::spawn(async move {
            self.until_not_silent().await;
            self.answer(request).await
        });
        answered.await.unwrap_or_else(|_| whole(StatusCode::BAD_GATEWAY, &id, String::new()))
    }

    async fn answer<B: Body>(&self, request: Request<B>) -> Answer {
        self.overload.record_arrival(request.headers(), self.record.disturbance_state());
        let mut answer = self.run(request).await;
        self.overload.write_headers(answer.headers_mut());
        self.room.write_headers(answer.headers_mut());
        answer
    }

    async fn run<B: Body>(&self, request: Request<B>) -> Answer {
        let headers = request.headers().clone();
        let path = request.uri().path().to_owned();
        let id = text(&headers, "request-id");
        if text(&headers, "expect-instance") != self.id() {
            return whole(StatusCode::MISDIRECTED_REQUEST, &id, String::new());
        }
        if let Some(late) = self.leaving.lateness(Instant::now()) {
            let name = self.id();
            self.record.breach(format!(
                "request {id} reached {name} {late:?} after its leaving was acknowledged"
            ));
        }
        // A request whose body did not arrive is not run.
        if request.into_body().collect().await.is_err() {
            return whole(StatusCode::BAD_REQUEST, &id, String::new());
        }
        if let Some(answer) = self.overload.refusal(&id) {
            return answer;
        }
        look_for_headers(&self.record, &id, &headers);
        if let Some(breach) = self.record.keys.run(&id, &headers) {
            self.record.breach(breach);
        }
        let _present = match self.room.enter() {
            Ok(present) => present,
            Err(rejected) => {
                if rejected.ends {
                    self.is_up.send_replace(false);
                }
                return rejection(&id);
            }
        };
        let Ok(_slot) = self.running.acquire().await else { return rejection(&id) };
        let run = self.record.run(&id);
        let crashes = path.contains(CRASHING_PATH);
        if crashes {
            self.record.crashes(&id, path.as_bytes(), self.id());
        }
        tokio::time::sleep(Duration::from_millis(self.work_ms.load(Ordering::SeqCst))).await;
        if crashes {
            self.crash_for_a_while();
            // Its connection is closed meanwhile.
            std::future::pending::<()>().await;
        }
        if text(&headers, "x-stream").is_empty() {
            let body = format!("done {id}");
            if self.breaks.load(Ordering::SeqCst) && run == 1 {
                return broken(&id, body);
            }
            return whole(StatusCode::OK, &id, body);
        }
        let first = text(&headers, "last-event-id").parse::<u64>().map_or(1, |last| last + 1);
        let last = if self.breaks.load(Ordering::SeqCst) { EVENTS / 2 } else { EVENTS };
        let pause = Duration::from_millis(self.event_pause_ms.load(Ordering::SeqCst));
        let (stalls, silent) = (self.stalls.subscribe(), self.silent.subscribe());
        streamed(&id, (first, last), pause, stalls, silent)
    }
}

/// Notes headers that only gateways may set and that came from a client.
pub(crate) fn look_for_headers(record: &Record, id: &str, headers: &HeaderMap) {
    for name in ["expect-instance", "expect-version", "request-priority"] {
        if headers.get_all(name).iter().count() > 1 {
            record.breach(format!("request {id} reached an endpoint with two of {name}"));
        }
    }
    for (name, value) in headers {
        if value == FORGED {
            record.breach(format!("request {id} reached an endpoint with its client's {name}"));
        }
    }
}

pub(crate) fn text(headers: &HeaderMap, name: &str) -> String {
    headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default().to_owned()
}

pub(crate) fn head(status: StatusCode, id: &str) -> http::response::Builder {
    Response::builder().status(status).header("request-id", id).header("server-stamp", "stamp")
}

pub(crate) fn whole(status: StatusCode, id: &str, body: String) -> Answer {
    let body = Full::new(Bytes::from(body)).map_err(|never| match never {}).boxed();
    head(status, id).body(body).expect("the parts are valid")
}

/// The answer of an endpoint that does not run the request.
pub(crate) fn rejection(id: &str) -> Answer {
    let mut answer = whole(StatusCode::SERVICE_UNAVAILABLE, id, String::new());
    answer.headers_mut().insert("not-executed", http::HeaderValue::from_static("1"));
    answer
}

/// Half of a body, then a break.
fn broken(id: &str, body: String) -> Answer {
    let length = body.len();
    let half = Bytes::from(body.into_bytes()).slice(..length / 2);
    let frames = stream::iter([
        Ok(Frame::data(half)),
        Err(std::io::Error::other("broken off by the endpoint")),
    ]);
    head(StatusCode::OK, id)
        .header("content-length", length)
        .body(StreamBody::new(frames).boxed())
        .expect("the parts are valid")
}

/// Events from `first` to `last`, each after a `pause`; a stream that ends before its last event breaks
/// off.
fn streamed(
    id: &str,
    (first, last): (u64, u64),
    pause: Duration,
    stalls: watch::Receiver<bool>,
    silent: watch::Receiver<bool>,
) -> Answer {
    let id_owned = id.to_owned();
    let frames = stream::unfold(first, move |number| {
        let (id, mut stalls, mut silent) = (id_owned.clone(), stalls.clone(), silent.clone());
        async move {
            if number > EVENTS {
                return None;
            }
            tokio::time::sleep(pause).await;
            if number > EVENTS / 2 {
                // The sender lives as long as the endpoint.
                let _ = stalls.wait_for(|stalls| !stalls).await;
            }
            let _ = silent.wait_for(|silent| !silent).await;
            if number > last {
                return Some((Err(std::io::Error::other("broken off")), EVENTS + 1));
            }
            let event = format!("id: {number}\ndata: {id}\n\n");
            Some((Ok(Frame::data(Bytes::from(event))), number + 1))
        }
    });
    head(StatusCode::OK, id)
        .header("content-type", "text/event-stream")
        .body(StreamBody::new(frames).boxed())
        .expect("the parts are valid")
}
