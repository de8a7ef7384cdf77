//! Engines that speak the platform's protocol: batches that begin together, versions, orders with a
//! sequence, pauses, and restarts under the same id.

mod life;
mod running;
mod weights;

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use http::{Method, Request, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::sync::{Semaphore, watch};

pub use life::Ends;
use life::Life;
pub use running::LateEvents;
use running::Running;
pub use weights::{ADAPTERS_MAX, BASE, NotBegun, Order, Outcome, Weights};

use crate::cut::Cuts;
use crate::endpoint::{Answer, look_for_headers, rejection, text, whole};
use crate::operator::call_control;
use crate::overload::Overload;
use crate::record::Record;
use crate::room::Room;

/// The service that engines serve.
pub const SERVICE: &str = "engine";
/// Requests that an engine runs at once.
pub const SLOTS: u32 = 16;
const HEARTBEAT: Duration = Duration::from_millis(500);
const FIRST_TOKEN: Duration = Duration::from_millis(30);
const EVENT_PAUSE: Duration = Duration::from_millis(20);
/// The body of a request that ends each engine which begins it.
pub const CRASHING: &[u8] = b"crashes its engine";
/// The ids of prompt parts that crash each engine which begins a request with one of them, unless it
/// is the last part, start with these digits.
pub const CRASHING_PART: &str = "dead";
/// How long after its first event an engine ends that runs such a request.
const CRASHES_AFTER: Duration = Duration::from_millis(30);
/// How long an engine that ended so stays away.
const RESTARTS_AFTER: Duration = Duration::from_secs(3);
/// How late an order is carried out whose answer is lost.
const LATE_ORDER: Duration = Duration::from_millis(2_500);

/// An engine, from one incarnation to the next.
pub struct Engine {
    id: String,
    addresses: [SocketAddr; 2],
    control: Vec<SocketAddr>,
    cuts: Arc<Cuts>,
    record: Arc<Record>,
    life: Mutex<Option<Arc<Life>>>,
    lives: AtomicU64,
    paused: watch::Sender<bool>,
    delays_orders: AtomicBool,
    /// How its incarnations end when they crash.
    ends: Mutex<Ends>,
    event_pause_ms: AtomicU64,
    /// Makes some events of its streams late.
    late_events: Mutex<LateEvents>,
    /// The share of streams that end inside an event.
    cut_percent: AtomicU64,
    has_newer_software: AtomicBool,
    /// True if half of its streams end with their connection.
    marks_no_ends: AtomicBool,
    waiting: AtomicUsize,
    /// Its overload signal and received requests.
    pub overload: Overload,
    /// The requests that it has room for.
    pub room: Arc<Room>,
}

/// A request that was read and has not begun, until this is dropped.
struct Waits<'a>(&'a AtomicUsize);

impl<'a> Waits<'a> {
    fn new(waiting: &'a AtomicUsize) -> Self {
        waiting.fetch_add(1, Ordering::SeqCst);
        Self(waiting)
    }
}

impl Drop for Waits<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

pub(crate) fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |passed| passed.as_millis() as u64)
}

impl Engine {
    /// An engine with `slots` that has not started; its incarnations take the addresses in turn.
    pub fn new(
        id: String,
        addresses: [SocketAddr; 2],
        slots: u32,
        control: Vec<SocketAddr>,
        cuts: Arc<Cuts>,
        record: Arc<Record>,
    ) -> Arc<Self> {
        Arc::new(Self {
            id,
            addresses,
            control,
            cuts,
            record,
            life: Mutex::new(None),
            lives: AtomicU64::new(0),
            paused: watch::channel(false).0,
            delays_orders: AtomicBool::new(false),
            ends: Mutex::new(Ends::Closed),
            event_pause_ms: AtomicU64::new(EVENT_PAUSE.as_millis() as u64),
            late_events: Mutex::default(),
            cut_percent: AtomicU64::new(0),
            has_newer_software: AtomicBool::new(false),
            marks_no_ends: AtomicBool::new(false),
            waiting: AtomicUsize::new(0),
            overload: Overload::new(),
            room: Room::new(slots),
        })
    }

    /// Starts an incarnation unless one runs: the first one with its base model, later ones empty.
    ///
    /// # Errors
    /// The address is taken.
    pub async fn start(self: &Arc<Self>) -> std::io::Result<()> {
        if self.is_running() {
            return Ok(());
        }
        let number = self.lives.fetch_add(1, Ordering::SeqCst);
        let address = self.addresses[number as usize % self.addresses.len()];
        let listener = TcpListener::bind(address).await?;
        let weights = if number == 0 { Weights::with_base() } else { Weights::default() };
        let (ended, _) = watch::channel(None);
        let life = Arc::new(Life {
            born_ms: unix_ms(),
            address,
            software: if self.has_newer_software.load(Ordering::SeqCst) { "v1.2" } else { "v1" },
            weights: Mutex::new(weights),
            turn: Semaphore::new(1),
            slots: Arc::new(Semaphore::new(self.room.slots as usize)),
            paused: self.paused.subscribe(),
            ended,
            listens: watch::channel(true).0,
        });
        self.overload.record_restart();
        *lock(&self.life) = Some(life.clone());
        let engine = self.clone();
        tokio::spawn(life.clone().until_ended(self.clone().beat(life.clone())));
        tokio::spawn(async move {
            life.clone().until_refusing(engine.accept(life.clone(), &listener)).await;
            life.listens.send_replace(false);
            life.close_new_connections(&listener).await;
        });
        Ok(())
    }

    /// Ends the incarnation at once; it says nothing.
    pub fn crash(&self) {
        let ends = *lock(&self.ends);
        if let Some(life) = lock(&self.life).take() {
            life.ended.send_replace(Some(ends));
        }
    }

    /// Ends the incarnation for good without closing a connection; new connections are refused, or never
    /// answered.
    pub fn vanish(&self, refuses: bool) {
        if let Some(life) = lock(&self.life).take() {
            life.ended.send_replace(Some(Ends::Vanished { refuses }));
        }
    }

    /// Sets how its incarnations end when they crash.
    pub fn set_ends(&self, ends: Ends) {
        *lock(&self.ends) = ends;
    }

    /// Ends the incarnation at once and starts the next one a while later.
    pub fn crash_for_a_while(self: &Arc<Self>) {
        self.crash();
        let engine = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(RESTARTS_AFTER).await;
            if !engine.is_running()
                && let Err(error) = engine.start().await
            {
                engine.record.breach(format!("{} does not start any more: {error}", engine.id));
            }
        });
    }

    /// Makes the pauses between events of its streams longer or shorter.
    pub fn set_event_pause(&self, pause: Duration) {
        self.event_pause_ms.store(pause.as_millis() as u64, Ordering::SeqCst);
    }

    /// Makes some events of its streams late from now on, while it answers everything else in time.
    pub fn set_late_events(&self, late_events: LateEvents) {
        *lock(&self.late_events) = late_events;
    }

    /// Cuts this share of its streams inside an event from now on.
    pub fn cut_streams(&self, percent: u64) {
        self.cut_percent.store(percent, Ordering::SeqCst);
    }

    /// Ends half of its streams with their connection.
    pub fn mark_no_ends(&self) {
        self.marks_no_ends.store(true, Ordering::SeqCst);
    }

    /// Starts later incarnations with the newer software version, or the older one again.
    pub fn set_newer_software(&self, newer: bool) {
        self.has_newer_software.store(newer, Ordering::SeqCst);
    }

    /// Stands still, or goes on: what comes meanwhile is read, and nothing begins or is answered.
    pub fn pause(&self, paused: bool) {
        self.paused.send_replace(paused);
    }

    /// Loses the answers of orders and carries them out late, or no longer.
    pub fn delay_orders(&self, delays: bool) {
        self.delays_orders.store(delays, Ordering::SeqCst);
    }

    /// True while an incarnation runs.
    pub fn is_running(&self) -> bool {
        lock(&self.life).is_some()
    }

    /// True when it runs and its base model is loaded.
    pub fn is_of_use(&self) -> bool {
        let life = lock(&self.life).clone();
        life.is_some_and(|life| lock(&life.weights).has_base(unix_ms()))
    }

    /// The adapters that it holds, as `NAME@VERSION`.
    pub fn holds(&self) -> String {
        let life = lock(&self.life).clone();
        life.map_or_else(String::new, |life| lock(&life.weights).tell(unix_ms()).to_string())
    }

    /// Requests that it has read and not begun.
    pub fn waiting(&self) -> usize {
        self.waiting.load(Ordering::SeqCst)
    }

    /// Its id, which it keeps.
    pub fn id(&self) -> &str {
        &self.id
    }

    async fn accept(self: Arc<Self>, life: Arc<Life>, listener: &TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            let (engine, of_life) = (self.clone(), life.clone());
            let service = service_fn(move |request| {
                let (engine, life) = (engine.clone(), of_life.clone());
                async move { Ok::<_, Infallible>(engine.serve(&life, request).await) }
            });
            let cuts = self.cuts.clone();
            tokio::spawn(life.clone().until_closed(async move {
                let Some(stream) = cuts.admit(stream).await else { return };
                let reset = stream.until_reset();
                let connection = hyper::server::conn::http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), service);
                tokio::select! {
                    // A connection that breaks is what this program is about.
                    ended = connection => drop(ended),
                    () = reset => {}
                }
            }));
        }
    }

    async fn beat(self: Arc<Self>, life: Arc<Life>) {
        let (mut sequence, mut turn) = (0, 0);
        loop {
            life.wait_until_running().await;
            sequence += 1;
            let models = lock(&life.weights).tell(unix_ms());
            let body = json!({
                "service": SERVICE, "address": life.address, "zone": "zone-1", "version": life.software,
                "slots": self.room.slots, "state": "ready", "cold_remaining_ms": 0, "stage": "both",
                "models": models, "sequence": sequence, "born": life.born_ms,
            });
            let path = format!("/winchvane/instances/{}", self.id);
            let answered =
                call_control(&self.control, turn, Method::PUT, &path, body.to_string()).await;
            turn += usize::from(answered.is_none());
            tokio::time::sleep(HEARTBEAT).await;
        }
    }

    async fn serve(self: Arc<Self>, life: &Arc<Life>, request: Request<Incoming>) -> Answer {
        let engine = self.clone();
        let mut answer = self.answer(life, request).await;
        engine.overload.write_headers(answer.headers_mut());
        engine.room.write_headers(answer.headers_mut());
        answer
    }

    async fn answer(self: Arc<Self>, life: &Arc<Life>, request: Request<Incoming>) -> Answer {
        let (head, body) = request.into_parts();
        let id = text(&head.headers, "request-id");
        let Ok(body) = body.collect().await else {
            return whole(StatusCode::BAD_REQUEST, &id, String::new());
        };
        match head.uri.path() {
            "/winchvane/order" => {
                let Some(order) = Order::read(&body.to_bytes()) else {
                    return whole(StatusCode::BAD_REQUEST, &id, String::new());
                };
                // Once it was read it is carried out, also when its connection is closed.
                let carried_out = tokio::spawn(self.carry_out(life.clone(), order));
                carried_out.await.unwrap_or_else(|_| refused(StatusCode::CONFLICT, &id))
            }
            "/winchvane/report" => {
                life.take_turn().await;
                let report = lock(&life.weights).report(unix_ms(), life.born_ms);
                whole(StatusCode::OK, &id, report.to_string())
            }
            _ => {
                self.overload.record_arrival(&head.headers, self.record.disturbance_state());
                if let Some(answer) = self.overload.refusal(&id) {
                    return answer;
                }
                self.run(life, &id, &head.headers, &body.to_bytes()).await
            }
        }
    }

    async fn carry_out(self: Arc<Self>, life: Arc<Life>, order: Order) -> Answer {
        if self.delays_orders.load(Ordering::SeqCst) {
            tokio::time::sleep(LATE_ORDER).await;
            // Whatever incarnation runs by then takes it.
            let Some(life) = lock(&self.life).clone() else { return std::future::pending().await };
            self.obey(&life, &order);
            return std::future::pending().await;
        }
        life.take_turn().await;
        let status = match self.obey(&life, &order) {
            Outcome::Done => StatusCode::OK,
            Outcome::UnderWay => StatusCode::ACCEPTED,
            Outcome::Conflict => StatusCode::CONFLICT,
            Outcome::Missing => StatusCode::MISDIRECTED_REQUEST,
            Outcome::NoRoom => StatusCode::INSUFFICIENT_STORAGE,
        };
        whole(status, "", "{}".to_owned())
    }

    fn obey(&self, life: &Life, order: &Order) -> Outcome {
        let newest = order.adapter().map_or(1, |adapter| self.record.newest(adapter));
        let outcome = lock(&life.weights).order(unix_ms(), order, newest);
        if outcome == Outcome::NoRoom {
            self.record.breach(format!("{} was ordered to load more than it holds", self.id));
        }
        outcome
    }

    async fn run(
        self: Arc<Self>,
        life: &Arc<Life>,
        id: &str,
        headers: &http::HeaderMap,
        body: &[u8],
    ) -> Answer {
        let waits = Waits::new(&self.waiting);
        life.take_turn().await;
        let model = text(headers, "model");
        let adapter = model.strip_prefix("base/").unwrap_or_default().to_owned();
        let version = text(headers, "expect-version").parse().ok();
        if text(headers, "expect-instance") != self.id
            || !lock(&life.weights).accepts(&adapter, version)
        {
            return refused(StatusCode::MISDIRECTED_REQUEST, id);
        }
        let present = match self.room.enter() {
            Ok(present) => present,
            Err(rejected) => {
                if rejected.ends {
                    self.crash_for_a_while();
                }
                return rejection(id);
            }
        };
        let Ok(slot) = life.slots.clone().acquire_owned().await else {
            return refused(StatusCode::SERVICE_UNAVAILABLE, id);
        };
        let begun = lock(&life.weights).begin(unix_ms(), &adapter);
        let version = match begun {
            Ok(version) => version,
            Err(NotBegun::Missing) => return refused(StatusCode::MISDIRECTED_REQUEST, id),
            Err(NotBegun::Closed) => return refused(StatusCode::SERVICE_UNAVAILABLE, id),
        };
        drop(waits);
        let event_pause = Duration::from_millis(self.event_pause_ms.load(Ordering::SeqCst));
        let late_events = *lock(&self.late_events);
        let running = Running {
            life: life.clone(),
            adapter,
            event_pause,
            late_events,
            _slot: slot,
            _present: present,
        };
        look_for_headers(&self.record, id, headers);
        self.record.run(id);
        self.record.begun(id, &running.adapter, version, &self.id);
        tokio::time::sleep(FIRST_TOKEN).await;
        if let Some(cause) = crash_cause(headers, body) {
            let incarnation = format!("{}@{}", self.id, life.born_ms);
            self.record.crashes(id, cause, incarnation);
            tokio::spawn(self.clone().crash_under_it(life.clone()));
        }
        let first = text(headers, "last-event-id").parse::<u64>().map_or(1, |last| last + 1);
        let is_cut = rand::random_range(0..100) < self.cut_percent.load(Ordering::SeqCst);
        let has_chunks = !self.marks_no_ends.load(Ordering::SeqCst) || rand::random();
        running.streamed(id, first, is_cut, has_chunks)
    }

    async fn crash_under_it(self: Arc<Self>, life: Arc<Life>) {
        tokio::time::sleep(CRASHES_AFTER).await;
        let runs_still = lock(&self.life).as_ref().is_some_and(|now| Arc::ptr_eq(now, &life));
        if runs_still {
            self.crash_for_a_while();
        }
    }
}

/// What crashes the engine that begins this request: the whole body, or a shared part of its prompt.
fn crash_cause<'a>(headers: &'a http::HeaderMap, body: &'a [u8]) -> Option<&'a [u8]> {
    if body.starts_with(CRASHING) {
        return Some(body);
    }
    let prompt = headers.get("prompt-prefix")?.to_str().ok()?;
    let (shared, _own) = prompt.rsplit_once(',')?;
    let mut parts = shared.split(',');
    parts.find(|part| part.starts_with(CRASHING_PART)).map(str::as_bytes)
}

fn refused(status: StatusCode, id: &str) -> Answer {
    let mut answer = rejection(id);
    *answer.status_mut() = status;
    answer
}
