//! The links on which a replica sends messages of the log to the other replicas.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time::timeout;
use tracing::{debug, warn};

use crate::control::raft::NodeId;
use crate::error::{Error, Result};
use crate::message::PeerMessage;
use crate::metrics::Metrics;
use crate::traffic;
use crate::wire::{Channel, Peer, Receiver, Sender};

const QUEUE_SIZE: usize = 4_096;
/// The bytes of messages that wait for one replica; a single larger one may wait alone.
const QUEUE_MAX_BYTES: u64 = 8 << 20;
const RETRY_PAUSE: Duration = Duration::from_millis(50);
const SEND_TIMEOUT: Duration = Duration::from_secs(2);
/// A message is sent once more on a new connection if the first one turns out to have been closed.
const TRIES: usize = 2;

/// Links to the other replicas, opened on first use.
pub struct ReplicaLinks {
    metrics: Metrics,
    by_replica: HashMap<NodeId, Link>,
    /// The bytes that wait for all replicas or are being sent to them.
    waiting_bytes: Arc<AtomicU64>,
}

/// The queue of messages for one replica.
struct Link {
    address: SocketAddr,
    queue: mpsc::Sender<Queued>,
    waiting_bytes: Arc<AtomicU64>,
    /// True while messages are dropped for want of room.
    is_full: bool,
}

/// A message that waits or is being sent, with the bytes that it takes meanwhile.
struct Queued {
    message: PeerMessage,
    size_bytes: u64,
    counters: [Arc<AtomicU64>; 2],
}

impl Queued {
    fn new(message: PeerMessage, counters: [Arc<AtomicU64>; 2]) -> Self {
        let size_bytes = message.envelope.message.content_bytes();
        for counter in &counters {
            counter.fetch_add(size_bytes, Ordering::Relaxed);
        }
        Self { message, size_bytes, counters }
    }
}

impl Drop for Queued {
    fn drop(&mut self) {
        for counter in &self.counters {
            counter.fetch_sub(self.size_bytes, Ordering::Relaxed);
        }
    }
}

impl ReplicaLinks {
    /// Creates an empty set.
    pub fn new(metrics: Metrics) -> Self {
        Self { metrics, by_replica: HashMap::new(), waiting_bytes: Arc::default() }
    }

    /// The bytes of the messages that wait for replicas or are being sent to them.
    pub fn waiting_bytes(&self) -> u64 {
        self.waiting_bytes.load(Ordering::Relaxed)
    }

    /// Queues a message for the replica `to`, which is reached at `address`. A full queue drops it as a
    /// network would; Raft sends it again.
    pub fn send(&mut self, to: NodeId, address: SocketAddr, message: PeerMessage) {
        let is_open = |link: &Link| link.address == address && !link.queue.is_closed();
        if !self.by_replica.get(&to).is_some_and(is_open) {
            self.open(to, address);
        }
        let Some(link) = self.by_replica.get_mut(&to) else { return };
        let size_bytes = message.envelope.message.content_bytes();
        let waiting_bytes = link.waiting_bytes.load(Ordering::Relaxed);
        let has_room = waiting_bytes == 0 || waiting_bytes + size_bytes <= QUEUE_MAX_BYTES;
        if !has_room && size_bytes > 0 {
            if !std::mem::replace(&mut link.is_full, true) {
                warn!(event = "link_full", peer = %address, waiting_bytes, size_bytes);
            }
            return;
        }
        link.is_full &= size_bytes == 0;
        let counters = [link.waiting_bytes.clone(), self.waiting_bytes.clone()];
        let _ = link.queue.try_send(Queued::new(message, counters));
    }

    fn open(&mut self, to: NodeId, address: SocketAddr) {
        let (sender, queue) = mpsc::channel(QUEUE_SIZE);
        let waiting_bytes = Arc::default();
        self.by_replica.insert(to, Link { address, queue: sender, waiting_bytes, is_full: false });
        let peer = Peer::new(address).with_metrics(self.metrics.clone());
        tokio::spawn(run(peer, queue));
    }
}

type Streams = (Sender<PeerMessage>, Receiver<()>);

async fn run(peer: Peer, mut queue: mpsc::Receiver<Queued>) {
    let mut streams = None;
    while let Some(queued) = queue.recv().await {
        for _ in 0..TRIES {
            match send(&peer, &mut streams, &queued.message).await {
                Ok(size_bytes) => {
                    traffic::count("raft", size_bytes);
                    break;
                }
                Err(error) => {
                    debug!(event = "link_failed", error = %error);
                    if streams.take().is_none() {
                        tokio::time::sleep(RETRY_PAUSE).await;
                        break;
                    }
                    peer.drop_connection().await;
                }
            }
        }
    }
}

/// Sends a message on `streams`, which are opened first if there are none; returns its size in bytes.
async fn send(peer: &Peer, streams: &mut Option<Streams>, message: &PeerMessage) -> Result<usize> {
    // A message that is lost with its stream is sent again, so the stream is replaced before its
    // connection is known to be silent.
    if streams.as_ref().is_some_and(|(sender, _)| sender.is_doubted()) {
        *streams = None;
    }
    if streams.is_none() {
        *streams = Some(peer.open(Channel::Raft).await?);
    }
    let Some((sender, _)) = streams else { return Err(Error::invalid("no stream was opened")) };
    let limit_ms = SEND_TIMEOUT.as_millis() as u64;
    let sent = timeout(SEND_TIMEOUT, sender.send(message)).await;
    sent.map_err(|_| Error::timeout("send", "replica", limit_ms))?
}
