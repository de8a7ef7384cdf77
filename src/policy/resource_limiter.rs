//! Bounds the connections that a process accepts and the memory that their requests take, and decides
//! which connection is closed when one more needs room.
//!
//! Memory is counted for all requests together, as it is taken. A part of it is kept for small
//! requests. Room is made by closing the connection whose unfinished request has held memory for
//! longest without progress; a request that was received completely is never given up. Whole answers have
//! memory of their own, for which those connections are closed whose clients do not read. So have the
//! streams that other processes open, and the messages that arrive on them.

use std::collections::HashMap;

/// The share of a process's memory for connections, in percent.
const CONNECTIONS_MEMORY_PERCENT: u64 = 36;
/// The memory of a connection that does not hold a request: 18 KiB with its buffers, and what may arrive
/// for it while nothing is read.
const CONNECTION_BYTES: u64 = 78 << 10;
/// The share of a process's memory for the heads and bodies of requests, in percent.
const REQUESTS_MEMORY_PERCENT: u64 = 24;
/// The share of that memory that is kept for small requests, and of that for streams and messages for peers
/// that have little of it, in percent.
const SMALL_PERCENT: u64 = 25;
/// The share of a process's memory for whole answers, in percent.
const ANSWERS_MEMORY_PERCENT: u64 = 5;
/// The share of a process's memory for streams that other processes open, in percent.
const STREAMS_MEMORY_PERCENT: u64 = 2;
/// The share that is kept for messages of other processes that have not arrived completely, in percent.
const MESSAGES_MEMORY_PERCENT: u64 = 4;
/// The share that these may have in all while requests leave it to them, in percent: a snapshot is one
/// message.
const MESSAGES_MAX_MEMORY_PERCENT: u64 = 20;
/// The part of the memory for requests up to which they may take more than they need, in percent.
const SPARE_PERCENT: u64 = 25;
/// The largest memory of a small request, or of the streams or messages of a small peer.
const SMALL_MAX_BYTES: u64 = 64 << 10;
/// The share of descriptors for connections of clients, in percent, and once more for those to endpoints:
/// each request that runs needs one of each.
const CLIENTS_PERCENT: usize = 38;
/// The share of descriptors for health checks and operators, in percent.
const OPERATORS_PERCENT: usize = 4;
/// The share of descriptors for connections of the system's other processes, in percent.
const PEERS_PERCENT: usize = 15;
/// A listener has at least this many connections, however few descriptors there are.
const CONNECTIONS_MIN: usize = 8;
/// An unfinished request, or an answer that is not read, is stalled when it has made no progress for so
/// long.
const STALLED_MS: u64 = 200;
/// A connection may be closed for another one when its client has read nothing of its answer for so
/// long.
const UNREAD_MS: u64 = 2_000;

/// Whom a listener serves. Each class has connections of its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListenerClass {
    /// Clients; at control, endpoints and operators of a platform.
    Clients,
    /// Health checks and operators.
    Operators,
    /// The system's other processes.
    Peers,
}

impl ListenerClass {
    const COUNT: usize = 3;
}

/// The bounds of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResourceLimits {
    /// The most connections of clients.
    pub clients_max: usize,
    /// The most connections of health checks and operators, at all their listeners together.
    pub operators_max: usize,
    /// The most connections of other processes.
    pub peers_max: usize,
    /// The most memory of all requests together.
    pub requests_max_bytes: u64,
    /// The part of it that is kept for small requests.
    pub small_kept_bytes: u64,
    /// The most memory of all whole answers together.
    pub answers_max_bytes: u64,
    /// The most memory of all streams that other processes have opened.
    pub streams_max_bytes: u64,
    /// The memory that is kept for messages that have not arrived completely.
    pub messages_kept_bytes: u64,
    /// The most memory of all these; what exceeds the memory that is kept is taken from that of requests.
    pub messages_max_bytes: u64,
}

impl ResourceLimits {
    /// The bounds of a process that may use `memory_max_bytes` of memory and `descriptors_max`
    /// descriptors.
    pub fn new(memory_max_bytes: u64, descriptors_max: usize) -> Self {
        let by_memory = memory_max_bytes * CONNECTIONS_MEMORY_PERCENT / 100 / CONNECTION_BYTES;
        let share = |percent: usize, memory_percent: u64| {
            let by_memory = by_memory * memory_percent / 100;
            (descriptors_max / 100 * percent + descriptors_max % 100 * percent / 100)
                .min(by_memory as usize)
                .max(CONNECTIONS_MIN)
        };
        let requests_max_bytes = memory_max_bytes * REQUESTS_MEMORY_PERCENT / 100;
        Self {
            clients_max: share(CLIENTS_PERCENT, 100),
            operators_max: share(OPERATORS_PERCENT, 10),
            peers_max: share(PEERS_PERCENT, 50),
            requests_max_bytes,
            small_kept_bytes: requests_max_bytes * SMALL_PERCENT / 100,
            answers_max_bytes: memory_max_bytes * ANSWERS_MEMORY_PERCENT / 100,
            streams_max_bytes: memory_max_bytes * STREAMS_MEMORY_PERCENT / 100,
            messages_kept_bytes: memory_max_bytes * MESSAGES_MEMORY_PERCENT / 100,
            messages_max_bytes: memory_max_bytes * MESSAGES_MAX_MEMORY_PERCENT / 100,
        }
    }

    /// The most memory that one request can take.
    pub fn request_max_bytes(&self) -> u64 {
        self.requests_max_bytes - self.small_kept_bytes
    }

    /// The most memory that messages of one connection can take.
    pub fn message_max_bytes(&self) -> u64 {
        share(self.messages_max_bytes, false)
    }

    /// Sets a lower bound on connections of clients.
    #[must_use]
    pub fn with_clients_max(mut self, clients_max: usize) -> Self {
        self.clients_max = self.clients_max.min(clients_max);
        self
    }

    fn connections_max(&self, class: ListenerClass) -> usize {
        match class {
            ListenerClass::Clients => self.clients_max,
            ListenerClass::Operators => self.operators_max,
            ListenerClass::Peers => self.peers_max,
        }
    }
}

/// What a connection does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// It waits for a request.
    Idle,
    /// The head of a request is being received, or the handshake of a peer.
    Head,
    /// The body of a request is being received.
    Body,
    /// The body of a request that was refused is being received and discarded.
    Discarding,
    /// A request that was received completely is being answered.
    Running,
    /// The client does not read its answer.
    Unread,
}

/// What memory of a connection is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Purpose {
    /// The head or the body of a request.
    Request,
    /// A whole answer, until the client has read it.
    Answer,
    /// A stream that another process has opened.
    Stream,
    /// A message of another process, until it has arrived completely.
    Message,
}

impl Purpose {
    const COUNT: usize = 4;
}

/// Identifies a connection in the limiter of its process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(u64);

/// A connection that has to be closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Closed {
    /// The connection.
    pub id: ConnectionId,
    /// What it did.
    pub stage: Stage,
}

/// There is no room, and none can be made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NoRoom;

#[derive(Debug)]
struct Connection {
    class: ListenerClass,
    stage: Stage,
    /// When it entered its stage, or last made progress there.
    since_ms: u64,
    /// Its memory for each purpose, some of which may outlive it.
    held_bytes: [u64; Purpose::COUNT],
    state: ConnectionState,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ConnectionState {
    Open,
    /// It was selected to be closed. It counts no more, nor does its memory, which is freed at once.
    Closing,
    /// It has ended, and memory of it is still in use.
    Ended,
}

/// The connections of a process and their memory.
#[derive(Debug)]
pub struct ResourceLimiter {
    limits: ResourceLimits,
    next_id: u64,
    connections: HashMap<ConnectionId, Connection>,
    /// The number of open connections of each class.
    open: [usize; ListenerClass::COUNT],
    /// The memory of all connections for each purpose.
    held_bytes: [u64; Purpose::COUNT],
}

impl ResourceLimiter {
    /// Creates a limiter without connections.
    pub fn new(limits: ResourceLimits) -> Self {
        let open = [0; ListenerClass::COUNT];
        let held_bytes = [0; Purpose::COUNT];
        Self { limits, next_id: 0, connections: HashMap::new(), open, held_bytes }
    }

    /// The bounds.
    pub fn limits(&self) -> ResourceLimits {
        self.limits
    }

    /// The memory of all connections for `purpose`.
    pub fn held_bytes(&self, purpose: Purpose) -> u64 {
        self.held_bytes[purpose as usize]
    }

    /// The number of open connections of all classes.
    pub fn open_connections(&self) -> usize {
        self.open.iter().sum()
    }

    /// Adds a connection, and selects another one to be closed if there are too many.
    ///
    /// # Errors
    /// The class has its most connections, and all of them are in use.
    pub fn connect(
        &mut self,
        now_ms: u64,
        class: ListenerClass,
    ) -> Result<(ConnectionId, Option<Closed>), NoRoom> {
        let mut closed = None;
        if self.open[class as usize] >= self.limits.connections_max(class) {
            closed = Some(self.close_oldest(now_ms, class).ok_or(NoRoom)?);
        }
        let id = ConnectionId(self.next_id);
        self.next_id += 1;
        let state = ConnectionState::Open;
        let held_bytes = [0; Purpose::COUNT];
        let connection =
            Connection { class, stage: Stage::Idle, since_ms: now_ms, held_bytes, state };
        self.connections.insert(id, connection);
        self.open[class as usize] += 1;
        Ok((id, closed))
    }

    /// Selects the connection of `class` to be closed that has asked for nothing for longest.
    pub fn close_oldest(&mut self, now_ms: u64, class: ListenerClass) -> Option<Closed> {
        self.close_longest_waiting(|_, connection| {
            connection.class == class && connection.is_closable(now_ms)
        })
    }

    /// Sets what a connection does from now on.
    pub fn set_stage(&mut self, now_ms: u64, id: ConnectionId, stage: Stage) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        connection.stage = stage;
        connection.since_ms = now_ms;
    }

    /// Records that a connection's request has made progress.
    pub fn note_progress(&mut self, now_ms: u64, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        connection.since_ms = now_ms;
    }

    /// Takes memory for something of a connection, and selects connections to be closed
    /// if there is too little; they are added to `closed`.
    ///
    /// # Errors
    /// All memory belongs to requests that were received completely or make progress, to answers that
    /// are read, to streams, or to messages that make progress, or the connection itself was selected to
    /// be closed.
    pub fn take(
        &mut self,
        now_ms: u64,
        id: ConnectionId,
        purpose: Purpose,
        bytes: u64,
        closed: &mut Vec<Closed>,
    ) -> Result<(), NoRoom> {
        let connection = self.connections.get(&id).ok_or(NoRoom)?;
        if connection.state != ConnectionState::Open {
            return Err(NoRoom);
        }
        if purpose == Purpose::Message
            && connection.held(purpose) + bytes > self.limits.message_max_bytes()
        {
            return Err(NoRoom);
        }
        while !self.has_room(id, purpose, bytes) {
            let stalled = self.close_stalled(now_ms, id, purpose).ok_or(NoRoom)?;
            closed.push(stalled);
        }
        self.add(id, purpose, bytes);
        Ok(())
    }

    /// Takes memory that the request of a connection could do without.
    ///
    /// # Errors
    /// Others may need it, or the connection was selected to be closed.
    pub fn take_spare(&mut self, id: ConnectionId, bytes: u64) -> Result<(), NoRoom> {
        let connection = self.connections.get(&id).ok_or(NoRoom)?;
        let spare_bytes = self.limits.requests_max_bytes * SPARE_PERCENT / 100;
        let needed_bytes = self.held_bytes(Purpose::Request) + bytes;
        if connection.state != ConnectionState::Open || needed_bytes > spare_bytes {
            return Err(NoRoom);
        }
        self.add(id, Purpose::Request, bytes);
        Ok(())
    }

    fn has_room(&self, id: ConnectionId, purpose: Purpose, bytes: u64) -> bool {
        let limits = &self.limits;
        let needed_bytes = self.held_bytes(purpose) + bytes;
        let own_bytes = self.connections.get(&id).map_or(0, |it| it.held(purpose)) + bytes;
        let is_small = own_bytes <= SMALL_MAX_BYTES;
        let requests_max_bytes =
            if is_small { limits.requests_max_bytes } else { limits.request_max_bytes() };
        match purpose {
            Purpose::Request => {
                let messages_bytes = self.held_bytes(Purpose::Message);
                let beyond_bytes = messages_bytes.saturating_sub(limits.messages_kept_bytes);
                needed_bytes + beyond_bytes <= requests_max_bytes
            }
            Purpose::Answer => needed_bytes <= limits.answers_max_bytes,
            Purpose::Stream => needed_bytes <= share(limits.streams_max_bytes, is_small),
            Purpose::Message => {
                let kept_bytes = share(limits.messages_kept_bytes, is_small);
                let beyond_bytes = needed_bytes.saturating_sub(kept_bytes);
                let requests_bytes = self.held_bytes(Purpose::Request);
                beyond_bytes == 0
                    || (needed_bytes <= share(limits.messages_max_bytes, is_small)
                        && requests_bytes + beyond_bytes <= requests_max_bytes)
            }
        }
    }

    /// Counts memory of an open connection.
    fn add(&mut self, id: ConnectionId, purpose: Purpose, bytes: u64) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        connection.held_bytes[purpose as usize] += bytes;
        self.held_bytes[purpose as usize] += bytes;
    }

    /// Gives back memory of a connection, which it may have outlived.
    pub fn give_back(&mut self, id: ConnectionId, purpose: Purpose, bytes: u64) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        connection.held_bytes[purpose as usize] -= bytes;
        match connection.state {
            ConnectionState::Open => self.held_bytes[purpose as usize] -= bytes,
            ConnectionState::Closing => {}
            ConnectionState::Ended => {
                self.held_bytes[purpose as usize] -= bytes;
                if !connection.holds_memory() {
                    self.connections.remove(&id);
                }
            }
        }
    }

    /// Records that a connection has ended.
    pub fn end(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        if connection.state == ConnectionState::Open {
            self.open[connection.class as usize] -= 1;
        }
        if connection.state == ConnectionState::Closing || !connection.holds_memory() {
            self.connections.remove(&id);
            return;
        }
        connection.state = ConnectionState::Ended;
    }

    /// Selects the connection to be closed that has held memory which serves `purpose` for longest without
    /// progress, unless it is `except`.
    fn close_stalled(
        &mut self,
        now_ms: u64,
        except: ConnectionId,
        purpose: Purpose,
    ) -> Option<Closed> {
        // Messages may have the memory of requests, and come first.
        let purposes: &[Purpose] = match purpose {
            Purpose::Message => &[Purpose::Message, Purpose::Request],
            Purpose::Request => &[Purpose::Request],
            Purpose::Answer => &[Purpose::Answer],
            Purpose::Stream => &[],
        };
        self.close_longest_waiting(|id, connection| {
            id != except && purposes.iter().any(|it| connection.is_stalled_with(now_ms, *it))
        })
    }

    /// Selects the one of the open connections that `is_candidate` whose last progress is the oldest.
    fn close_longest_waiting(
        &mut self,
        is_candidate: impl Fn(ConnectionId, &Connection) -> bool,
    ) -> Option<Closed> {
        let mut longest: Option<(u64, ConnectionId)> = None;
        for (id, connection) in &self.connections {
            if connection.state != ConnectionState::Open || !is_candidate(*id, connection) {
                continue;
            }
            // Of those that wait since the same time, the one that was accepted first.
            let found = (connection.since_ms, *id);
            if longest.is_none_or(|known| found < known) {
                longest = Some(found);
            }
        }
        let (_, id) = longest?;
        let connection = self.connections.get_mut(&id)?;
        connection.state = ConnectionState::Closing;
        self.open[connection.class as usize] -= 1;
        for (all_bytes, held_bytes) in self.held_bytes.iter_mut().zip(connection.held_bytes) {
            *all_bytes -= held_bytes;
        }
        Some(Closed { id, stage: connection.stage })
    }
}

/// How much of `max_bytes` for peers one of them may fill; the rest is kept for those that are small.
fn share(max_bytes: u64, is_small: bool) -> u64 {
    let kept_bytes = if is_small { 0 } else { max_bytes * SMALL_PERCENT / 100 };
    max_bytes - kept_bytes
}

impl Connection {
    fn held(&self, purpose: Purpose) -> u64 {
        self.held_bytes[purpose as usize]
    }

    fn holds_memory(&self) -> bool {
        self.held_bytes.iter().any(|bytes| *bytes > 0)
    }

    /// True if it may be closed for the memory that it holds for `purpose`, and holds some.
    fn is_stalled_with(&self, now_ms: u64, purpose: Purpose) -> bool {
        self.held(purpose) > 0 && self.is_stalled(now_ms, purpose)
    }

    /// True if it may be closed for another connection.
    fn is_closable(&self, now_ms: u64) -> bool {
        match self.stage {
            Stage::Idle | Stage::Head | Stage::Discarding => true,
            Stage::Body => self.is_stalled(now_ms, Purpose::Request),
            Stage::Unread => now_ms.saturating_sub(self.since_ms) >= UNREAD_MS,
            Stage::Running => false,
        }
    }

    /// True if it may be closed for the memory that it holds for `purpose`.
    fn is_stalled(&self, now_ms: u64, purpose: Purpose) -> bool {
        let can_stall = match purpose {
            Purpose::Stream => false,
            Purpose::Request => matches!(self.stage, Stage::Head | Stage::Body),
            Purpose::Answer => self.stage == Stage::Unread,
            Purpose::Message => true,
        };
        can_stall && now_ms.saturating_sub(self.since_ms) >= STALLED_MS
    }
}
