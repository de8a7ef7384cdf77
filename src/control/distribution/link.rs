//! The tasks around a distributor: its own loop, and the link to the leader.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{MissedTickBehavior, interval, timeout};
use tracing::debug;

use super::Distributor;
use crate::clock::Clock;
use crate::error::{Error, Result};
use crate::following::send;
use crate::message::{Heartbeat, SessionDown, SessionHello, SessionRole, SessionUp};
use crate::wire::{Channel, Peer, Receiver, Sender};

/// The period of renewals and counts is a multiple of this.
const TICK: Duration = Duration::from_millis(20);
/// A leader that is silent this long is given up: it answers renewals every 150 ms, and the
/// gateways here have to find another one in time for a change to be in force.
const SILENCE_MS: u64 = 600;
const SILENCE: Duration = Duration::from_millis(SILENCE_MS);
const OPEN_TIMEOUT: Duration = Duration::from_millis(300);
const PAUSE: Duration = Duration::from_millis(20);
/// Messages that wait to be sent to the leader, at most.
const QUEUE: usize = 1_024;

/// What the distributor's loop is told.
#[derive(Debug)]
enum Message {
    Open(u64, SessionHello, mpsc::Sender<SessionDown>),
    Up(u64, SessionUp),
    Close(u64),
    Linked(mpsc::Sender<SessionUp>),
    Unlinked,
    Down(SessionDown),
    Heartbeat(Heartbeat, oneshot::Sender<HeartbeatResult>),
    Dump(oneshot::Sender<serde_json::Value>),
}

/// What became of a heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeartbeatResult {
    /// False when only the leader takes it.
    pub accepted: bool,
    /// The replica that takes the endpoint's next heartbeats best.
    pub server: Option<SocketAddr>,
}

/// Where a distributor is reached within its process.
#[derive(Debug, Clone)]
pub struct DistributorHandle(mpsc::UnboundedSender<Message>);

impl DistributorHandle {
    /// A gateway opens a session; false when the process is about to end.
    pub fn open(&self, id: u64, hello: SessionHello, down: mpsc::Sender<SessionDown>) -> bool {
        self.0.send(Message::Open(id, hello, down)).is_ok()
    }

    /// A message of a session.
    pub fn up(&self, id: u64, up: SessionUp) -> bool {
        self.0.send(Message::Up(id, up)).is_ok()
    }

    /// A session's stream has ended.
    pub fn close(&self, id: u64) {
        // A loop that has ended has no sessions either.
        let _ = self.0.send(Message::Close(id));
    }

    /// Takes a heartbeat in; none when the process is about to end.
    pub async fn heartbeat(&self, heartbeat: Heartbeat) -> Option<HeartbeatResult> {
        let (reply, answer) = oneshot::channel();
        self.0.send(Message::Heartbeat(heartbeat, reply)).ok()?;
        answer.await.ok()
    }

    /// The state dump; none when the process is about to end.
    pub async fn dump(&self) -> Option<serde_json::Value> {
        let (reply, answer) = oneshot::channel();
        self.0.send(Message::Dump(reply)).ok()?;
        answer.await.ok()
    }
}

/// Starts a distributor that follows whichever replica `leader` names.
///
/// `hello` is how it introduces itself; its address tells when this process leads.
pub fn spawn(
    hello: SessionHello,
    clock: Clock,
    leader: watch::Receiver<Option<SocketAddr>>,
) -> DistributorHandle {
    let (queue, messages) = mpsc::unbounded_channel();
    let distributor = Distributor::new(hello.zone.clone());
    tokio::spawn(run(distributor, hello.address, clock, messages, leader.clone()));
    tokio::spawn(keep_linked(hello, leader, queue.clone()));
    DistributorHandle(queue)
}

async fn run(
    mut distributor: Distributor,
    own: SocketAddr,
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
                take(&mut distributor, clock.now_ms(), message, leader);
            }
            _ = ticks.tick() => {
                if *leader.borrow() == Some(own) {
                    // The sessions of a leader are its own.
                    distributor.end_sessions(Some(own));
                }
                distributor.tick(clock.now_ms());
            }
        }
    }
}

fn take(distributor: &mut Distributor, now_ms: u64, message: Message, leader: Option<SocketAddr>) {
    match message {
        Message::Open(id, hello, down) => distributor.open(now_ms, id, hello, down, leader),
        Message::Up(id, up) => distributor.up(now_ms, id, up),
        Message::Close(id) => distributor.close(id),
        Message::Linked(up) => distributor.linked(now_ms, up),
        Message::Unlinked => distributor.unlinked(now_ms),
        Message::Down(down) => distributor.down(now_ms, down),
        Message::Heartbeat(heartbeat, reply) => {
            let server = distributor.server_of(&heartbeat.endpoint.zone);
            let accepted = distributor.heartbeat(heartbeat);
            // Nobody waits any more when the endpoint has gone elsewhere.
            let _ = reply.send(HeartbeatResult { accepted, server });
        }
        Message::Dump(reply) => {
            let _ = reply.send(distributor.dump());
        }
    }
}

/// Keeps a link to whoever leads, unless that is this process.
async fn keep_linked(
    hello: SessionHello,
    mut leader: watch::Receiver<Option<SocketAddr>>,
    queue: mpsc::UnboundedSender<Message>,
) {
    let own = hello.address;
    let mut hint = None;
    loop {
        let known = hint.take().or(*leader.borrow_and_update());
        match known.filter(|address| *address != own) {
            None => {
                // Woken by a change, or to look again after a while.
                let _ = timeout(SILENCE, leader.changed()).await;
            }
            Some(address) => match follow(&hello, address, &queue).await {
                Ok(next) => hint = next,
                Err(error) => debug!(event = "link_failed", peer = %address, error = %error),
            },
        }
        if queue.send(Message::Unlinked).is_err() {
            return;
        }
        tokio::time::sleep(PAUSE).await;
    }
}

type Streams = (Sender<SessionUp>, Receiver<SessionDown>);

/// Follows the replica at `address`; returns where the leader may be when it is another one.
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
    let (up, mut ups) = mpsc::channel(QUEUE);
    let mut up = Some(up);
    let clock = Clock::new();
    let mut silent_at_ms = SILENCE_MS;
    loop {
        tokio::select! {
            down = receiver.next() => {
                silent_at_ms = clock.now_ms() + SILENCE_MS;
                let Some(down) = down? else {
                    return Err(Error::failed("follow", address.to_string(), "the link ended"));
                };
                let message = match down {
                    SessionDown::NotLeader { leader } => return Ok(leader),
                    SessionDown::Expired => return Ok(Some(address)),
                    SessionDown::Welcome { .. } => match up.take() {
                        Some(up) => Message::Linked(up),
                        None => continue,
                    },
                    down => Message::Down(down),
                };
                if queue.send(message).is_err() {
                    return Ok(None);
                }
            }
            Some(message) = ups.recv() => send(&mut sender, &message).await?,
            () = clock.sleep_until(silent_at_ms) => {
                return Err(Error::timeout("follow", address.to_string(), SILENCE_MS));
            }
        }
    }
}

/// How a distributor introduces itself to the leader.
pub fn hello(name: Arc<str>, boot_id: u64, zone: Arc<str>, address: SocketAddr) -> SessionHello {
    let role = SessionRole::Distributor;
    SessionHello { name, boot_id, zone, address, applied_index: 0, role, near_fails: false }
}
