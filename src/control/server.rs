//! The actor of a replica: stores and sends what the replica decides, and passes it all messages.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use ractor::concurrency::oneshot;
use ractor::{Actor, ActorProcessingErr, ActorRef, RpcReplyPort};
use tokio::sync::watch;
use tokio::time::{MissedTickBehavior, timeout};
use tracing::{error, info, warn};

use crate::clock::{Clock, wall_ms};
use crate::control::fleet::ListedEndpoint;
use crate::control::inbox::{Inbox, Unflushed, Work};
use crate::control::outbox::OutboxSender;
use crate::control::raft::{Envelope, NodeId, Output, Snapshot};
use crate::control::replica::Replica;
use crate::control::replica_links::ReplicaLinks;
use crate::control::reply::Reply;
use crate::control::storage::{Batch, Storage};
use crate::error::{Error, Result};
use crate::logging;
use crate::message::{ControlRequest, LoadReport, PeerMessage, SessionHello, SessionUp};
use crate::metrics::{Counter, Gauge, Metrics, Timer};
use crate::process::EXIT_STORAGE;
use crate::wire::BoxFuture;

const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// A replica that handles one message for longer than this holds up all others.
const SLOW_MS: u64 = 100;
/// Pause before a write to a full disk is retried.
const DISK_FULL_PAUSE: Duration = Duration::from_millis(200);

/// The messages of the actor.
pub enum ReplicaMessage {
    /// A message of another replica.
    Peer(PeerMessage),
    /// Advance the timers.
    Tick,
    /// A single call.
    Call(ControlRequest, Reply),
    /// A gateway opens a session.
    Open(u64, SessionHello, OutboxSender),
    /// A message of a session.
    Up(u64, SessionUp),
    /// A session's stream has ended.
    Close(u64),
    /// The platform's list and its reports of load.
    Listed(Vec<ListedEndpoint>, Vec<LoadReport>),
    /// Asks for the state dump.
    Dump(RpcReplyPort<serde_json::Value>),
    /// Hand leadership over; the process is about to stop.
    Stop(RpcReplyPort<()>),
}

impl ReplicaMessage {
    /// The message kind, as named in log lines.
    fn kind(&self) -> &'static str {
        match self {
            Self::Peer(_) => "peer",
            Self::Tick => "tick",
            Self::Call(..) => "call",
            Self::Open(..) => "open",
            Self::Up(_, up) => up.kind(),
            Self::Close(_) => "close",
            Self::Listed(..) => "listed",
            Self::Dump(_) => "dump",
            Self::Stop(_) => "stop",
        }
    }
}

/// Lets the actor do its next piece of work. One is sent for each message, and one for each flush.
struct Turn;

/// Sends messages to a replica.
#[derive(Clone)]
pub struct ReplicaHandle {
    actor: ActorRef<Turn>,
    inbox: Arc<Inbox>,
}

impl ReplicaHandle {
    /// Starts the actor of a replica.
    ///
    /// # Errors
    /// The actor cannot be started.
    pub fn spawn(arguments: ReplicaArguments) -> BoxFuture<'static, Result<Self>> {
        // Boxed because the replica is large.
        Box::pin(async move {
            let inbox = Arc::new(Inbox::default());
            let (actor, _) = ReplicaActor::spawn(None, ReplicaActor, (arguments, inbox.clone()))
                .await
                .map_err(|error| Error::failed("start replica", "actor", error))?;
            let handle = Self { actor, inbox };
            tokio::spawn(handle.clone().tick());
            Ok(handle)
        })
    }

    /// Advances the replica's timers until it stops.
    async fn tick(self) {
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            if self.cast(ReplicaMessage::Tick).is_err() {
                return;
            }
        }
    }

    /// Sends a message.
    ///
    /// # Errors
    /// The replica has stopped.
    pub fn cast(&self, message: ReplicaMessage) -> Result<()> {
        if !self.inbox.push(message) {
            return Ok(());
        }
        self.actor.cast(Turn).map_err(|error| Error::failed("send", "replica", error))
    }

    /// Sends a message and waits for the answer.
    ///
    /// # Errors
    /// The replica has stopped, or does not answer within `timeout_ms`.
    pub async fn call<T: Send + 'static>(
        &self,
        message: impl FnOnce(RpcReplyPort<T>) -> ReplicaMessage,
        timeout_ms: u64,
    ) -> Result<T> {
        let (reply, answered) = oneshot::<T>();
        self.cast(message(RpcReplyPort::from(reply)))?;
        let answered = timeout(Duration::from_millis(timeout_ms), answered).await;
        let answered = answered.map_err(|_| Error::timeout("call", "replica", timeout_ms))?;
        answered.map_err(|error| Error::failed("call", "replica", error))
    }
}

/// The arguments of the actor.
pub struct ReplicaArguments {
    /// The replica.
    pub replica: Replica,
    /// Its storage.
    pub storage: Box<dyn Storage>,
    /// The address for peers.
    pub address: SocketAddr,
    /// The process's clock.
    pub clock: Clock,
    /// The metrics.
    pub metrics: Metrics,
    /// True while this replica leads.
    pub leads: Arc<AtomicBool>,
    /// Publishes the leader's address, as far as this replica knows.
    pub leader: watch::Sender<Option<SocketAddr>>,
}

/// The actor's state.
struct ReplicaState {
    replica: Replica,
    storage: Option<Box<dyn Storage>>,
    address: SocketAddr,
    clock: Clock,
    metrics: Metrics,
    leads: Arc<AtomicBool>,
    leader: watch::Sender<Option<SocketAddr>>,
    links: ReplicaLinks,
    addresses: HashMap<NodeId, SocketAddr>,
    inbox: Arc<Inbox>,
    unflushed: Unflushed,
}

/// The actor.
struct ReplicaActor;

impl Actor for ReplicaActor {
    type Msg = Turn;
    type State = ReplicaState;
    type Arguments = (ReplicaArguments, Arc<Inbox>);

    async fn pre_start(
        &self,
        _: ActorRef<Self::Msg>,
        (arguments, inbox): Self::Arguments,
    ) -> std::result::Result<Self::State, ActorProcessingErr> {
        Ok(ReplicaState {
            replica: arguments.replica,
            storage: Some(arguments.storage),
            address: arguments.address,
            clock: arguments.clock,
            leads: arguments.leads,
            leader: arguments.leader,
            links: ReplicaLinks::new(arguments.metrics.clone()),
            metrics: arguments.metrics,
            addresses: HashMap::new(),
            inbox,
            unflushed: Unflushed::default(),
        })
    }

    async fn handle(
        &self,
        myself: ActorRef<Self::Msg>,
        Turn: Self::Msg,
        state: &mut Self::State,
    ) -> std::result::Result<(), ActorProcessingErr> {
        match state.inbox.next(state.unflushed) {
            Work::None => {}
            Work::Flush => {
                state.unflushed = Unflushed::default();
                if let Err(error) = state.flush().await {
                    // The content of the disk is unknown now, so nothing may be acknowledged any
                    // more.
                    error!(event = "storage_failed", error = %error);
                    logging::finish();
                    std::process::exit(i32::from(EXIT_STORAGE));
                }
                state.metrics.count(Counter::Flushes);
            }
            Work::Handle(message, lane) => {
                let needs_flush = !matches!(message, ReplicaMessage::Dump(_));
                state.handle(message);
                if needs_flush && state.unflushed.count(lane) {
                    myself.cast(Turn)?;
                }
            }
        }
        Ok(())
    }
}

impl ReplicaState {
    fn handle(&mut self, message: ReplicaMessage) {
        let now_ms = self.clock.now_ms();
        let what = message.kind();
        match message {
            ReplicaMessage::Dump(reply) => {
                let _ = reply.send(self.replica.dump());
            }
            ReplicaMessage::Stop(reply) => {
                self.replica.raft.transfer_leadership();
                let _ = reply.send(());
            }
            ReplicaMessage::Tick => {
                self.metrics.gauge(Gauge::MessagesWaiting, self.inbox.len() as u64);
                self.replica.publish_held_bytes();
                self.metrics.gauge(Gauge::LinkBytesWaiting, self.links.waiting_bytes());
                self.replica.tick(now_ms, wall_ms());
            }
            ReplicaMessage::Peer(message) => {
                self.addresses.insert(message.envelope.from, message.address);
                if message.envelope.to == self.replica.raft.id() {
                    self.replica.raft.receive(now_ms, message.envelope);
                }
            }
            ReplicaMessage::Call(request, reply) => {
                self.replica.call(now_ms, wall_ms(), request, reply);
            }
            ReplicaMessage::Open(session, hello, down) => {
                self.replica.open(now_ms, wall_ms(), session, hello, down);
            }
            ReplicaMessage::Up(session, up) => {
                self.replica.handle_session_message(now_ms, wall_ms(), session, up);
            }
            ReplicaMessage::Close(session) => self.replica.close(session),
            ReplicaMessage::Listed(listed, load_reports) => {
                self.replica.listed(wall_ms(), listed);
                self.replica.set_load_reports(load_reports);
            }
        }
        let ended_ms = self.clock.now_ms();
        self.replica.end_placement_pass(ended_ms);
        let took_ms = ended_ms - now_ms;
        if took_ms >= SLOW_MS {
            warn!(event = "replica_busy", what, took_ms, waiting = self.inbox.len());
        }
    }
}

impl ReplicaState {
    async fn flush(&mut self) -> Result<()> {
        loop {
            let now_ms = self.clock.now_ms();
            let mut output = self.replica.raft.take_output(now_ms);
            let idle = !output.must_store()
                && output.committed.is_empty()
                && output.late.is_empty()
                && output.early.is_empty();
            self.send_all(std::mem::take(&mut output.early));
            self.store(&mut output).await?;
            self.send_all(std::mem::take(&mut output.late));
            self.replica.apply(&mut output)?;
            self.send_snapshots(&output)?;
            self.replica.check_leadership(self.clock.now_ms(), wall_ms());
            self.leads.store(self.replica.is_leading(), Ordering::Relaxed);
            self.publish_leader();
            if idle {
                break;
            }
        }
        self.compact().await
    }

    fn publish_leader(&mut self) {
        let leader = self.replica.leader_address();
        self.leader.send_if_modified(|known| std::mem::replace(known, leader) != leader);
    }

    async fn store(&mut self, output: &mut Output) -> Result<()> {
        if !output.must_store() {
            return Ok(());
        }
        if let Some(snapshot) = output.install.take() {
            info!(event = "snapshot_installed", index = snapshot.index);
            self.replica.install(&snapshot)?;
            self.save_snapshot(snapshot).await?;
            // The new log file already holds all of this output.
            self.replica.raft.mark_persisted(self.replica.raft.last_index());
            return Ok(());
        }
        let batch = Batch {
            hard_state: output.hard_state,
            truncate_from: output.truncate_from,
            append: std::mem::take(&mut output.append),
        };
        let last_index = batch.append.last().map(|entry| entry.index);
        let started_ms = self.clock.now_ms();
        let batch = Arc::new(batch);
        self.retry_while_full(move |storage| storage.save(&batch)).await?;
        self.metrics.count(Counter::LogSyncs);
        self.metrics.time(Timer::LogSync, self.clock.now_ms() - started_ms);
        if let Some(index) = last_index {
            self.replica.raft.mark_persisted(index);
        }
        Ok(())
    }

    async fn save_snapshot(&mut self, snapshot: Snapshot) -> Result<()> {
        let hard_state = self.replica.raft.hard_state();
        let mut entries = Vec::new();
        for entry in self.replica.raft.entries() {
            if entry.index > snapshot.index {
                entries.push(entry.clone());
            }
        }
        self.metrics.count(Counter::SnapshotsWritten);
        self.metrics.gauge(Gauge::SnapshotBytes, snapshot.data.len() as u64);
        let (snapshot, entries) = (Arc::new(snapshot), Arc::new(entries));
        self.retry_while_full(move |storage| storage.save_snapshot(&snapshot, hard_state, &entries))
            .await
    }

    /// Retries while the disk is full. Nothing that has to be stored is acknowledged meanwhile, and
    /// the other replicas continue without this one.
    async fn retry_while_full(
        &mut self,
        work: impl Fn(&mut dyn Storage) -> Result<()> + Clone + Send + 'static,
    ) -> Result<()> {
        let mut was_full = false;
        let stall_deadline_ms = self.clock.now_ms() + self.replica.raft.election_ms();
        loop {
            match self.with_storage(stall_deadline_ms, work.clone()).await {
                Err(error) if error.is_disk_full() => {
                    if !was_full {
                        error!(event = "disk_full", error = %error);
                    }
                    was_full = true;
                    tokio::time::sleep(DISK_FULL_PAUSE).await;
                }
                result => {
                    if was_full && result.is_ok() {
                        info!(event = "disk_regained");
                    }
                    return result;
                }
            }
        }
    }

    async fn compact(&mut self) -> Result<()> {
        let Some(snapshot) = self.replica.snapshot_due() else { return Ok(()) };
        let index = snapshot.index;
        info!(event = "snapshot", index = index, size_bytes = snapshot.data.len());
        self.save_snapshot(snapshot).await?;
        self.replica.raft.compact(index);
        Ok(())
    }

    async fn with_storage(
        &mut self,
        stall_deadline_ms: u64,
        work: impl FnOnce(&mut dyn Storage) -> Result<()> + Send + 'static,
    ) -> Result<()> {
        let mut storage = self.storage.take().expect("the storage is only away during a call");
        let mut done = tokio::task::spawn_blocking(move || {
            let result = work(&mut *storage);
            (storage, result)
        });
        let in_time = self.clock.timeout_at(stall_deadline_ms, &mut done).await;
        let done = if let Some(done) = in_time {
            done
        } else {
            self.withdraw_leadership();
            done.await
        };
        let (storage, result) = done.map_err(|error| Error::failed("store", "log", error))?;
        self.storage = Some(storage);
        result
    }

    /// Stops announcing this replica as the leader while its disk stalls: it does nothing
    /// meanwhile, and others elect a leader. Without this, callers would each wait 0.9 s in vain
    /// instead of being answered at once.
    fn withdraw_leadership(&mut self) {
        if self.leads.swap(false, Ordering::Relaxed) {
            warn!(event = "lead_doubted", reason = "the disk stalls");
            self.leader.send_replace(None);
        }
    }

    fn send_snapshots(&mut self, output: &Output) -> Result<()> {
        for to in &output.need_snapshot {
            let storage = self.storage.as_ref().expect("the storage is only away during a call");
            let Some(snapshot) = storage.load_snapshot()? else { continue };
            info!(event = "snapshot_sent", to = to, index = snapshot.index);
            self.replica.raft.send_snapshot(*to, snapshot);
        }
        Ok(())
    }

    fn send_all(&mut self, envelopes: Vec<Envelope>) {
        for envelope in envelopes {
            let to = envelope.to;
            let member = self.replica.raft.members().0.get(&to).map(|member| member.address);
            let Some(address) = member.or_else(|| self.addresses.get(&to).copied()) else {
                continue;
            };
            self.links.send(to, address, PeerMessage { address: self.address, envelope });
        }
    }
}
