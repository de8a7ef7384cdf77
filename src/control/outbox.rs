//! The messages that wait to be sent to one follower: a gateway or a distributor.
//!
//! Messages are sent in order, but for the routing configuration: a newer one takes the place of one
//! that still waits, since a follower that does not keep up needs only the newest. Messages to several
//! followers are shared, and encoded once.

use std::collections::VecDeque;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};

use tokio::sync::Notify;

use crate::error::Result;
use crate::message::{Change, SessionDown};
use crate::routing::{RoutingConfiguration, RoutingUpdate};
use crate::wire::Encoded;

/// Most messages that wait for one follower.
const MESSAGES_MAX: usize = 512;

/// The bytes of all messages of this process that wait or are being sent; each counts once.
static WAITING_BYTES: AtomicU64 = AtomicU64::new(0);

/// The bytes of all messages that wait for followers or are being sent to them.
pub fn waiting_bytes() -> u64 {
    WAITING_BYTES.load(Ordering::Relaxed)
}

/// A message to one or more followers.
#[derive(Debug)]
pub struct Outgoing {
    message: SessionDown,
    size_bytes: u64,
    encoded: OnceLock<Encoded<SessionDown>>,
    /// What replaces the message for a follower that has not got the one before.
    whole: Option<Whole>,
}

/// A configuration, and the message that carries all of it.
#[derive(Debug)]
struct Whole {
    index: u64,
    configuration: Arc<RoutingConfiguration>,
    message: OnceLock<Arc<Outgoing>>,
}

impl Outgoing {
    /// Creates a message that may be sent to several followers.
    pub fn new(message: SessionDown) -> Arc<Self> {
        Self::with_whole(message, None)
    }

    /// Creates the message of the configuration `next`, which a further message completes, for followers
    /// that have the configuration `known`, or none.
    pub fn routing(
        index: u64,
        known: Option<&Arc<RoutingConfiguration>>,
        next: Arc<RoutingConfiguration>,
    ) -> Arc<Self> {
        if let Some(known) = known {
            let update = RoutingUpdate::between(known, &next);
            if update.size_bytes() < next.size_bytes() / 2 {
                let whole = Whole { index, configuration: next, message: OnceLock::new() };
                let message = routing_message(index, Change::RoutingUpdate(update));
                return Self::with_whole(message, Some(whole));
            }
        }
        Self::new(routing_message(index, Change::Routing(next)))
    }

    fn with_whole(message: SessionDown, whole: Option<Whole>) -> Arc<Self> {
        let size_bytes = message.size_bytes() as u64;
        WAITING_BYTES.fetch_add(size_bytes, Ordering::Relaxed);
        Arc::new(Self { message, size_bytes, encoded: OnceLock::new(), whole })
    }

    /// This message for followers that have not got the one before.
    fn to_whole(self: Arc<Self>) -> Arc<Self> {
        let Some(Whole { index, configuration, message }) = &self.whole else { return self };
        let new = || Self::new(routing_message(*index, Change::Routing(configuration.clone())));
        message.get_or_init(new).clone()
    }

    /// The message.
    pub fn message(&self) -> &SessionDown {
        &self.message
    }

    /// An estimate of the memory that the message takes.
    pub fn size_bytes(&self) -> u64 {
        self.size_bytes
    }

    /// The message in the form in which it is sent.
    ///
    /// # Errors
    /// The message cannot be encoded.
    pub fn encoded(&self) -> Result<Encoded<SessionDown>> {
        if let Some(encoded) = self.encoded.get() {
            return Ok(encoded.clone());
        }
        let encoded = Encoded::new(&self.message)?;
        if self.encoded.set(encoded.clone()).is_ok() {
            WAITING_BYTES.fetch_add(encoded.size_bytes() as u64, Ordering::Relaxed);
        }
        Ok(encoded)
    }

    /// True for a message that a newer one of its kind makes superfluous: a routing configuration, which
    /// a further message completes.
    fn is_replaceable(&self) -> bool {
        let SessionDown::Changes { reset: false, complete: false, changes, .. } = &self.message
        else {
            return false;
        };
        matches!(changes[..], [Change::Routing(_) | Change::RoutingUpdate(_)])
    }

    fn has_routing(&self) -> bool {
        let SessionDown::Changes { changes, .. } = &self.message else { return false };
        changes.iter().any(|it| matches!(it, Change::Routing(_) | Change::RoutingUpdate(_)))
    }
}

fn routing_message(index: u64, change: Change) -> SessionDown {
    SessionDown::Changes { index, reset: false, complete: false, changes: vec![change] }
}

impl Drop for Outgoing {
    fn drop(&mut self) {
        let encoded_bytes = self.encoded.get().map_or(0, Encoded::size_bytes) as u64;
        WAITING_BYTES.fetch_sub(self.size_bytes + encoded_bytes, Ordering::Relaxed);
    }
}

/// Creates the two ends of a queue for one follower, in which messages of `max_bytes` may wait; shared
/// configurations don't count.
pub fn outbox(max_bytes: u64) -> (OutboxSender, OutboxReceiver) {
    let shared = Arc::new(Shared::default());
    (OutboxSender { shared: shared.clone(), max_bytes }, OutboxReceiver(shared))
}

#[derive(Debug, Default)]
struct Shared {
    waiting: Mutex<Waiting>,
    changed: Notify,
}

#[derive(Debug, Default)]
struct Waiting {
    messages: VecDeque<Arc<Outgoing>>,
    size_bytes: u64,
    /// The position of the configuration that a newer one replaces.
    replaceable: Option<usize>,
    is_closed: bool,
}

/// What a queue has next.
enum Next {
    Message(Arc<Outgoing>),
    /// Nothing now.
    None,
    /// Nothing any more.
    Closed,
}

impl Shared {
    fn waiting(&self) -> MutexGuard<'_, Waiting> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn take_next(&self) -> Next {
        let mut waiting = self.waiting();
        match waiting.pop() {
            Some(message) => Next::Message(message),
            None if waiting.is_closed => Next::Closed,
            None => Next::None,
        }
    }

    fn close(&self) {
        self.waiting().is_closed = true;
        self.changed.notify_one();
    }
}

impl Waiting {
    fn push(&mut self, message: Arc<Outgoing>) {
        if message.is_replaceable() {
            if let Some(position) = self.replaceable {
                self.messages[position] = message.to_whole();
                return;
            }
            self.replaceable = Some(self.messages.len());
        } else {
            self.size_bytes += message.size_bytes;
            if message.has_routing() {
                // One that is sent after this message must not take a place before it.
                self.replaceable = None;
            }
        }
        self.messages.push_back(message);
    }

    fn pop(&mut self) -> Option<Arc<Outgoing>> {
        let message = self.messages.pop_front()?;
        if !message.is_replaceable() {
            self.size_bytes -= message.size_bytes;
        }
        // `None` once the configuration itself is taken.
        self.replaceable = self.replaceable.and_then(|position| position.checked_sub(1));
        Some(message)
    }
}

/// Why a message was not queued.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NotQueued {
    /// The follower's connection has ended.
    Closed,
    /// Too many messages or bytes wait: the follower does not keep up.
    Full,
}

/// The end of a follower's queue that takes messages.
#[derive(Debug)]
pub struct OutboxSender {
    shared: Arc<Shared>,
    max_bytes: u64,
}

impl OutboxSender {
    /// Queues a message without waiting.
    ///
    /// # Errors
    /// The follower has gone, or does not keep up.
    pub fn send(&self, message: Arc<Outgoing>) -> std::result::Result<(), NotQueued> {
        let mut waiting = self.shared.waiting();
        if waiting.is_closed {
            return Err(NotQueued::Closed);
        }
        // A message that is larger than all of the queue is taken while there is any room.
        if waiting.messages.len() >= MESSAGES_MAX || waiting.size_bytes >= self.max_bytes {
            return Err(NotQueued::Full);
        }
        waiting.push(message);
        drop(waiting);
        self.shared.changed.notify_one();
        Ok(())
    }

    /// Queues a message of the whole state, which a follower cannot do without, however large it is.
    ///
    /// # Errors
    /// The follower has gone.
    pub fn send_initial(&self, message: Arc<Outgoing>) -> std::result::Result<(), NotQueued> {
        let mut waiting = self.shared.waiting();
        if waiting.is_closed {
            return Err(NotQueued::Closed);
        }
        waiting.push(message);
        drop(waiting);
        self.shared.changed.notify_one();
        Ok(())
    }
}

impl Drop for OutboxSender {
    fn drop(&mut self) {
        self.shared.close();
    }
}

/// The end of a follower's queue from which messages are sent.
#[derive(Debug)]
pub struct OutboxReceiver(Arc<Shared>);

impl OutboxReceiver {
    /// Takes the next message; waits for one unless the other end was dropped.
    pub async fn next(&mut self) -> Option<Arc<Outgoing>> {
        loop {
            let changed = self.0.changed.notified();
            match self.0.take_next() {
                Next::Message(message) => return Some(message),
                Next::Closed => return None,
                Next::None => changed.await,
            }
        }
    }

    /// Takes the next message if one waits.
    pub fn try_next(&mut self) -> Option<SessionDown> {
        self.0.waiting().pop().map(|message| message.message.clone())
    }
}

impl Drop for OutboxReceiver {
    fn drop(&mut self) {
        let mut waiting = self.0.waiting();
        waiting.is_closed = true;
        waiting.messages.clear();
    }
}
