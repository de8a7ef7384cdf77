//! The tasks of a distributor: its event loop and the link to the leader.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{MissedTickBehavior, interval, timeout};
use tracing::debug;

use super::Distributor;
use crate::clock::Clock;
use crate::control::outbox::OutboxSender;
use crate::error::{Error, Result};
use crate::following::send;
use crate::message::{
    FollowedRouting, Heartbeat, SessionDown, SessionHello, SessionRole, SessionUp,
};
use crate::policy::running_time::RunningTimer;
use crate::wire::{Channel, Peer, Receiver, Sender};

/// The event loop's tick; renewals and load counts are sent in multiples of this.
const TICK: Duration = Duration::from_millis(20);
/// A leader that is silent for this long loses the link. Leaders answer renewals every 150 ms, and
/// gateways here must find another leader in time for changes to take effect.
const SILENCE_TIMEOUT_MS: u64 = 600;
const SILENCE_TIMEOUT: Duration = Duration::from_millis(SILENCE_TIMEOUT_MS);
/// How often the silence is checked, and the longest time between two checks that counts towards it:
/// after a stall of this process, messages of the leader may wait to be read.
const SILENCE_CHECK_INTERVAL: Duration = Duration::from_millis(50);
const SILENCE_STEP_MAX_MS: u64 = 100;
const OPEN_TIMEOUT: Duration = Duration::from_millis(300);
const RETRY_PAUSE: Duration = Duration::from_millis(20);
/// The maximum number of queued messages to the leader.
const QUEUE_MAX: usize = 1_024;

/// A message to the distributor's event loop.
#[derive(Debug)]
enum Message {
    Open(u64, SessionHello, OutboxSender),
    Up(u64, SessionUp),
    Close(u64),
    Linked(mpsc::Sender<SessionUp>),
    Unlinked,
    Down(SessionDown),
    Heartbeat(Heartbeat, oneshot::Sender<HeartbeatResult>),
    Dump(oneshot::Sender<serde_json::Value>),
}

/// The result of a heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeartbeatResult {
    /// False when only the leader can handle the heartbeat.
    pub accepted: bool,
    /// The replica to which the endpoint should send its next heartbeats.
    pub server: Option<SocketAddr>,
}

/// A handle to the distributor of this process.
#[derive(Debug, Clone)]
pub struct DistributorHandle(mpsc::UnboundedSender<Message>);

impl DistributorHandle {
    /// Opens a gateway's session; false when the process is shutting down.
    pub fn open(&self, id: u64, hello: SessionHello, down: OutboxSender) -> bool {
        self.0.send(Message::Open(id, hello, down)).is_ok()
    }

    /// Passes on a message of a session; false when the process is shutting down.
    pub fn up(&self, id: u64, up: SessionUp) -> bool {
        self.0.send(Message::Up(id, up)).is_ok()
    }

    /// Reports that a session's stream has ended.
    pub fn close(&self, id: u64) {
        // An event loop that has ended has no sessions to close.
        let _ = self.0.send(Message::Close(id));
    }

    /// Passes on a heartbeat; `None` when the process is shutting down.
    pub async fn heartbeat(&self, heartbeat: Heartbeat) -> Option<HeartbeatResult> {
        let (reply, answer) = oneshot::channel();
        self.0.send(Message::Heartbeat(heartbeat, reply)).ok()?;
        answer.await.ok()
    }

    /// Returns the state dump; `None` when the process is shutting down.
    pub async fn dump(&self) -> Option<serde_json::Value> {
        let (reply, answer) = oneshot::channel();
        self.0.send(Message::Dump(reply)).ok()?;
        answer.await.ok()
    }
}

/// Starts a distributor that follows the replica named by `leader`.
///
/// `hello` is sent to the leader when the link opens. Its address identifies this replica, which
/// needs no link while it leads.
pub fn spawn(
    hello: SessionHello,
    clock: Clock,
    leader: watch::Receiver<Option<SocketAddr>>,
) -> DistributorHandle {
    let (queue, messages) = mpsc::unbounded_channel();
    let distributor = Distributor::new(hello.zone.clone());
    tokio::spawn(run(distributor, hello.address, clock, messages, leader.clone()));
    tokio::spawn(maintain_link(hello, leader, queue.clone()));
    DistributorHandle(queue)
}

async fn run(
    mut distributor: Distributor,
    own_address: SocketAddr,
    clock: Clock,
    mut messages: mpsc::UnboundedReceiver<Message>,
    leader: watch::Receiver<Option<SocketAddr>>,
) {
    let mut ticks = interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            message = messages.recv() => {
                let Some(message) = message else { return };
                let leader = *leader.borrow();
                handle_message(&mut distributor, clock.now_ms(), message, leader);
            }
            _ = ticks.tick() => {
                if *leader.borrow() == Some(own_address) {
                    // The leader serves gateways in sessions of its own.
                    distributor.end_sessions(Some(own_address));
                }
                distributor.tick(clock.now_ms());
            }
        }
    }
}

fn handle_message(
    distributor: &mut Distributor,
    now_ms: u64,
    message: Message,
    leader: Option<SocketAddr>,
) {
    match message {
        Message::Open(id, hello, down) => distributor.open(now_ms, id, hello, down, leader),
        Message::Up(id, up) => distributor.handle_session_message(now_ms, id, up),
        Message::Close(id) => distributor.close(id),
        Message::Linked(up) => distributor.linked(now_ms, up),
        Message::Unlinked => distributor.unlinked(now_ms),
        Message::Down(down) => distributor.handle_leader_message(now_ms, down),
        Message::Heartbeat(heartbeat, reply) => {
            let server = distributor.server_of(&heartbeat.endpoint.zone);
            let accepted = distributor.heartbeat(heartbeat);
            // The receiver is gone when the endpoint has turned to another replica.
            let _ = reply.send(HeartbeatResult { accepted, server });
        }
        Message::Dump(reply) => {
            let _ = reply.send(distributor.dump());
        }
    }
}

/// Keeps a link to the current leader, except while this process leads.
async fn maintain_link(
    hello: SessionHello,
    mut leader: watch::Receiver<Option<SocketAddr>>,
    queue: mpsc::UnboundedSender<Message>,
) {
    let own_address = hello.address;
    let mut hint = None;
    loop {
        let known = hint.take().or(*leader.borrow_and_update());
        match known.filter(|address| *address != own_address) {
            None => {
                // Waits for a new leader, and checks again after the timeout.
                let _ = timeout(SILENCE_TIMEOUT, leader.changed()).await;
            }
            Some(address) => match follow(&hello, address, &queue).await {
                Ok(next) => hint = next,
                Err(error) => debug!(event = "link_failed", peer = %address, error = %error),
            },
        }
        if queue.send(Message::Unlinked).is_err() {
            return;
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
}

type Streams = (Sender<SessionUp>, Receiver<SessionDown>);

/// Follows the replica at `address`; returns the address of the leader if the replica names one.
async fn follow(
    hello: &SessionHello,
    address: SocketAddr,
    queue: &mpsc::UnboundedSender<Message>,
) -> Result<Option<SocketAddr>> {
    let peer = Peer::new(address);
    let opened = timeout(OPEN_TIMEOUT, peer.open(Channel::Session)).await;
    let limit_ms = OPEN_TIMEOUT.as_millis() as u64;
    let (mut sender, mut receiver): Streams =
        opened.map_err(|_| Error::timeout("open link", address.to_string(), limit_ms))??;
    send(&mut sender, &SessionUp::Hello(hello.clone())).await?;
    let (up, mut outgoing) = mpsc::channel(QUEUE_MAX);
    let mut up = Some(up);
    let mut routing = FollowedRouting::new();
    let clock = Clock::new();
    let mut silence = RunningTimer::new(clock.now_ms(), SILENCE_STEP_MAX_MS);
    let mut checks = interval(SILENCE_CHECK_INTERVAL);
    checks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            // After a stall, nothing times out before the leader's messages are read.
            biased;
            down = receiver.next() => {
                silence = RunningTimer::new(clock.now_ms(), SILENCE_STEP_MAX_MS);
                let Some(down) = down? else {
                    return Err(Error::failed("follow", address.to_string(), "the link was closed"));
                };
                let message = match down {
                    SessionDown::NotLeader { leader } => return Ok(leader),
                    SessionDown::Expired => return Ok(Some(address)),
                    SessionDown::Welcome { .. } => match up.take() {
                        Some(up) => Message::Linked(up),
                        None => continue,
                    },
                    SessionDown::Changes { index, reset, complete, mut changes } => {
                        routing.resolve(&mut changes)?;
                        Message::Down(SessionDown::Changes { index, reset, complete, changes })
                    }
                    down => Message::Down(down),
                };
                if queue.send(message).is_err() {
                    return Ok(None);
                }
            }
            Some(message) = outgoing.recv() => send(&mut sender, &message).await?,
            _ = checks.tick() => {
                if silence.observe(clock.now_ms()) >= SILENCE_TIMEOUT_MS {
                    return Err(Error::timeout("follow", address.to_string(), SILENCE_TIMEOUT_MS));
                }
            }
        }
    }
}

/// The `SessionHello` of a distributor.
pub fn hello(name: Arc<str>, boot_id: u64, zone: Arc<str>, address: SocketAddr) -> SessionHello {
    let role = SessionRole::Distributor;
    SessionHello { name, boot_id, zone, address, applied_index: 0, role, zone_server_failed: false }
}
