//! What a process may use for those who connect to it: one limiter that all its listeners share.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use nix::sys::resource::{Resource, getrlimit};
use tokio::sync::{Notify, watch};
use tokio::time::timeout;
use tracing::warn;

use crate::clock::Clock;
use crate::metrics::{Counter, Gauge, Metrics};
use crate::policy::resource_limiter::{
    Closed, ConnectionId, ListenerClass, NoRoom, Purpose, ResourceLimiter, ResourceLimits, Stage,
};

/// The interval of log lines of one kind; what happens between them is counted.
const LOG_INTERVAL_MS: u64 = 1_000;
/// How often memory for an answer is tried for while none is given back: clients may have stopped to read
/// meanwhile.
const ANSWER_RETRY: Duration = Duration::from_millis(50);

/// The number of descriptors that the operating system lets this process open.
pub fn descriptors_allowed() -> usize {
    match getrlimit(Resource::RLIMIT_NOFILE) {
        Ok((allowed, _)) => usize::try_from(allowed).unwrap_or(usize::MAX),
        Err(error) => {
            warn!(event = "descriptor_limit_unknown", error = %error);
            usize::MAX
        }
    }
}

/// What is refused or closed for want of resources.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Shed {
    /// A new connection, since all others were in use.
    Connection,
    /// A connection that could not be accepted, since no descriptor was left.
    Accept,
    /// An open connection that waited for a request.
    Idle,
    /// An open connection whose request was not received completely.
    Unfinished,
    /// An open connection whose client did not read its answer.
    Unread,
    /// A head for which there was no memory.
    Head,
    /// A body for which there was no memory.
    Body,
    /// A body that is larger than one may be.
    LargeBody,
    /// A stream of another process for which there was no memory.
    Stream,
    /// A message of another process for which there was no memory.
    Message,
    /// An open connection of another process whose messages did not arrive.
    Peer,
}

impl Shed {
    /// Of a connection that was selected to be closed while it was in `stage`, by someone who needs memory
    /// for `purpose` or a connection.
    fn of_closed(stage: Stage, purpose: Option<Purpose>) -> Self {
        match stage {
            Stage::Running if purpose == Some(Purpose::Message) => Self::Peer,
            Stage::Idle => Self::Idle,
            Stage::Head | Stage::Body | Stage::Discarding => Self::Unfinished,
            Stage::Running | Stage::Unread => Self::Unread,
        }
    }

    fn counter(self) -> Counter {
        match self {
            Self::Connection => Counter::ConnectionsRefused,
            Self::Accept => Counter::AcceptsFailed,
            Self::Idle => Counter::ConnectionsClosedIdle,
            Self::Unfinished => Counter::ConnectionsClosedUnfinished,
            Self::Unread => Counter::ConnectionsClosedUnread,
            Self::Head => Counter::HeadsWithoutRoom,
            Self::Body => Counter::BodiesWithoutRoom,
            Self::LargeBody => Counter::BodiesTooLarge,
            Self::Stream => Counter::StreamsWithoutRoom,
            Self::Message => Counter::MessagesWithoutRoom,
            Self::Peer => Counter::PeersClosedStalled,
        }
    }

    /// The kind, as named in log lines.
    fn as_str(self) -> &'static str {
        match self {
            Self::Connection => "connection",
            Self::Accept => "accept",
            Self::Idle => "idle_connection",
            Self::Unfinished => "unfinished_request",
            Self::Unread => "unread_answer",
            Self::Head => "head",
            Self::Body => "body",
            Self::LargeBody => "large_body",
            Self::Stream => "stream",
            Self::Message => "message",
            Self::Peer => "stalled_peer",
        }
    }
}

/// The resources of a process. Clones share them.
#[derive(Clone)]
pub struct Resources(Arc<Inner>);

struct Inner {
    clock: Clock,
    metrics: Metrics,
    state: Mutex<State>,
    /// Signals that memory of an answer was given back.
    answer_freed: Notify,
}

struct State {
    limiter: ResourceLimiter,
    /// Tells the tasks of each connection when it was selected to be closed.
    closing: HashMap<ConnectionId, watch::Sender<bool>>,
    lines: HashMap<Shed, Line>,
}

/// The last log line of a kind.
struct Line {
    written_ms: u64,
    /// How often it happened since.
    unwritten: u64,
}

impl Resources {
    /// Creates resources within `limits`.
    pub fn new(limits: ResourceLimits, metrics: Metrics) -> Self {
        let limiter = ResourceLimiter::new(limits);
        let state = State { limiter, closing: HashMap::new(), lines: HashMap::new() };
        let answer_freed = Notify::new();
        Self(Arc::new(Inner {
            clock: Clock::new(),
            metrics,
            state: Mutex::new(state),
            answer_freed,
        }))
    }

    /// Creates resources that have room for anything, and local metrics.
    pub fn local() -> Self {
        Self::new(ResourceLimits::new(1 << 40, 1 << 20), Metrics::local())
    }

    /// The bounds.
    pub fn limits(&self) -> ResourceLimits {
        self.state().limiter.limits()
    }

    /// The metrics of the process.
    pub fn metrics(&self) -> &Metrics {
        &self.0.metrics
    }

    /// Adds a connection that was accepted, for which another one may be closed.
    ///
    /// # Errors
    /// There are too many, and all of them are in use; the connection has to be closed.
    pub fn connect(&self, class: ListenerClass) -> Result<Connected, NoRoom> {
        let now_ms = self.0.clock.now_ms();
        let mut state = self.state();
        let Ok((id, closed)) = state.limiter.connect(now_ms, class) else {
            drop(state);
            self.note(Shed::Connection);
            return Err(NoRoom);
        };
        let (sender, closing) = watch::channel(false);
        state.closing.insert(id, sender);
        drop(state);
        self.close(closed.as_slice(), None);
        let inner = GuardInner { resources: self.clone(), id, closing };
        Ok(Connected { guard: ConnectionGuard(Arc::new(inner)), has_closed: closed.is_some() })
    }

    /// Closes the connection of a client that has asked for nothing for longest, since no descriptor is
    /// left for a new one.
    pub fn free_descriptor(&self) {
        let now_ms = self.0.clock.now_ms();
        let closed = self.state().limiter.close_oldest(now_ms, ListenerClass::Clients);
        self.close(closed.as_slice(), None);
        self.note(Shed::Accept);
    }

    /// Counts what was refused or closed, and logs it unless a line of this kind was written a moment
    /// ago.
    pub fn note(&self, shed: Shed) {
        self.0.metrics.count(shed.counter());
        let now_ms = self.0.clock.now_ms();
        let mut state = self.state();
        let (connections, held_bytes) =
            (state.limiter.open_connections(), state.limiter.held_bytes(Purpose::Request));
        let number = match state.lines.get_mut(&shed) {
            Some(line) if now_ms < line.written_ms + LOG_INTERVAL_MS => {
                line.unwritten += 1;
                return;
            }
            Some(line) => line.unwritten + 1,
            None => 1,
        };
        state.lines.insert(shed, Line { written_ms: now_ms, unwritten: 0 });
        drop(state);
        warn!(event = "shed", what = shed.as_str(), number, connections, held_bytes);
    }

    fn close(&self, closed: &[Closed], purpose: Option<Purpose>) {
        for closed in closed {
            if let Some(sender) = self.state().closing.get(&closed.id) {
                sender.send_replace(true);
            }
            self.note(Shed::of_closed(closed.stage, purpose));
        }
        self.publish();
    }

    fn take(&self, id: ConnectionId, purpose: Purpose, bytes: u64) -> Result<(), NoRoom> {
        let now_ms = self.0.clock.now_ms();
        let mut closed = Vec::new();
        let taken = self.state().limiter.take(now_ms, id, purpose, bytes, &mut closed);
        self.close(&closed, Some(purpose));
        taken
    }

    fn give_back(&self, id: ConnectionId, purpose: Purpose, bytes: u64) {
        self.state().limiter.give_back(id, purpose, bytes);
        if purpose == Purpose::Answer {
            self.0.answer_freed.notify_waiters();
        }
        self.publish();
    }

    fn note_progress(&self, id: ConnectionId) {
        let now_ms = self.0.clock.now_ms();
        self.state().limiter.note_progress(now_ms, id);
    }

    fn publish(&self) {
        let state = self.state();
        let connections = state.limiter.open_connections() as u64;
        let requests_bytes = state.limiter.held_bytes(Purpose::Request);
        let answers_bytes = state.limiter.held_bytes(Purpose::Answer);
        let streams_bytes = state.limiter.held_bytes(Purpose::Stream);
        let messages_bytes = state.limiter.held_bytes(Purpose::Message);
        drop(state);
        self.0.metrics.gauge(Gauge::ConnectionsOpen, connections);
        self.0.metrics.gauge(Gauge::RequestBytesHeld, requests_bytes);
        self.0.metrics.gauge(Gauge::AnswerBytesHeld, answers_bytes);
        self.0.metrics.gauge(Gauge::StreamBytesHeld, streams_bytes);
        self.0.metrics.gauge(Gauge::MessageBytesHeld, messages_bytes);
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A connection that was added.
pub struct Connected {
    /// Counts the connection as open.
    pub guard: ConnectionGuard,
    /// True if another one is being closed for it. Its tasks have to run before its descriptor is free.
    pub has_closed: bool,
}

/// Counts a connection as open until the last clone is dropped.
#[derive(Clone)]
pub struct ConnectionGuard(Arc<GuardInner>);

struct GuardInner {
    resources: Resources,
    id: ConnectionId,
    closing: watch::Receiver<bool>,
}

impl ConnectionGuard {
    /// The resources that the connection takes from.
    pub fn resources(&self) -> &Resources {
        &self.0.resources
    }

    /// Returns once the connection was selected to be closed.
    pub async fn closing(&self) {
        let mut closing = self.0.closing.clone();
        // The sender is dropped only after this guard.
        let _ = closing.wait_for(|closing| *closing).await;
    }

    /// Sets what the connection does from now on.
    pub fn set_stage(&self, stage: Stage) {
        let resources = &self.0.resources;
        let now_ms = resources.0.clock.now_ms();
        resources.state().limiter.set_stage(now_ms, self.0.id, stage);
    }

    /// Records that the connection's request has made progress.
    pub fn note_progress(&self) {
        self.0.resources.note_progress(self.0.id);
    }

    /// Memory for the connection's request, none yet.
    pub fn hold(&self) -> HeldBytes {
        self.hold_for(Purpose::Request)
    }

    /// Memory that the connection's request could do without; `None` if others may need it.
    pub fn hold_spare(&self, bytes: u64) -> Option<HeldBytes> {
        let resources = &self.0.resources;
        resources.state().limiter.take_spare(self.0.id, bytes).ok()?;
        resources.publish();
        let mut held = self.hold();
        held.bytes = bytes;
        Some(held)
    }

    /// Waits until there are `bytes` of memory for an answer; `None` if the connection is being closed or
    /// there can never be as much.
    pub async fn hold_answer(&self, bytes: u64) -> Option<HeldBytes> {
        let resources = &self.0.resources;
        if bytes > resources.limits().answers_max_bytes {
            return None;
        }
        let mut held = self.hold_for(Purpose::Answer);
        loop {
            let freed = resources.0.answer_freed.notified();
            if held.resize(bytes).is_ok() {
                return Some(held);
            }
            if *self.0.closing.borrow() {
                return None;
            }
            // It tries again in either case.
            let _ = timeout(ANSWER_RETRY, freed).await;
        }
    }

    /// Memory of the connection for `purpose`, none yet.
    pub fn hold_for(&self, purpose: Purpose) -> HeldBytes {
        HeldBytes { resources: self.0.resources.clone(), id: self.0.id, purpose, bytes: 0 }
    }
}

impl Drop for GuardInner {
    fn drop(&mut self) {
        let mut state = self.resources.state();
        state.limiter.end(self.id);
        state.closing.remove(&self.id);
        drop(state);
        self.resources.publish();
    }
}

/// Memory of a connection, which is given back when it is dropped and may outlive the connection.
pub struct HeldBytes {
    resources: Resources,
    id: ConnectionId,
    purpose: Purpose,
    bytes: u64,
}

impl HeldBytes {
    /// The resources that the memory was taken from.
    pub fn resources(&self) -> &Resources {
        &self.resources
    }

    /// Records that what the memory is for has made progress.
    pub fn note_progress(&self) {
        self.resources.note_progress(self.id);
    }

    /// Takes more memory or gives some back, so that it is `bytes` in all.
    ///
    /// # Errors
    /// There is too little.
    pub fn resize(&mut self, bytes: u64) -> Result<(), NoRoom> {
        if bytes > self.bytes {
            self.resources.take(self.id, self.purpose, bytes - self.bytes)?;
        } else {
            self.resources.give_back(self.id, self.purpose, self.bytes - bytes);
        }
        self.bytes = bytes;
        Ok(())
    }

    /// `bytes` that keep their memory until the last clone is dropped, and give back what they don't need.
    pub fn into_bytes(mut self, bytes: Vec<u8>) -> Bytes {
        // Only taking more can fail, and then it keeps what it has.
        let _ = self.resize(bytes.len() as u64);
        Bytes::from_owner(OwnedBytes { bytes, _held: self })
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        if self.bytes > 0 {
            self.resources.give_back(self.id, self.purpose, self.bytes);
        }
    }
}

struct OwnedBytes {
    bytes: Vec<u8>,
    _held: HeldBytes,
}

impl AsRef<[u8]> for OwnedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
