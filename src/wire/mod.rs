//! Streams of length-prefixed `bincode` messages between processes of the system, over HTTP/2.

mod liveness;
mod memory;
mod peer;
mod server;
mod stream;

use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};

pub use peer::{Peer, Peers};
pub use server::{Handler, Incoming, serve};
pub use stream::{Encoded, Receiver, Sender};

/// The version of the message format; a process refuses streams of any other version.
pub const WIRE_VERSION: &str = "3";

const VERSION_HEADER: &str = "winchvane-wire";
/// Says why a stream is refused.
const REFUSAL_HEADER: &str = "winchvane-refusal";
const STREAM_WINDOW_BYTES: u32 = 1 << 20;
const CONNECTION_WINDOW_BYTES: u32 = 16 << 20;
const MAX_STREAMS: u32 = 100_000;

static SENT_BYTES: AtomicU64 = AtomicU64::new(0);
static RECEIVED_BYTES: AtomicU64 = AtomicU64::new(0);
static SENT_MESSAGES: AtomicU64 = AtomicU64::new(0);
static RECEIVED_MESSAGES: AtomicU64 = AtomicU64::new(0);

/// The number and bytes of messages that this process has exchanged with its peers, without the
/// overhead of HTTP/2, TCP and IP.
pub fn traffic() -> serde_json::Value {
    serde_json::json!({
        "sent_messages": SENT_MESSAGES.load(Ordering::Relaxed),
        "sent_bytes": SENT_BYTES.load(Ordering::Relaxed),
        "received_messages": RECEIVED_MESSAGES.load(Ordering::Relaxed),
        "received_bytes": RECEIVED_BYTES.load(Ordering::Relaxed),
    })
}

/// A boxed future, as returned by methods of trait objects.
pub type BoxFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// The purpose of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Channel {
    /// Messages between replicas of control.
    Raft,
    /// A session of a gateway or distributor with control.
    Session,
    /// A single call to control.
    Control,
    /// A request to the owner of an endpoint.
    Forward,
    /// A request of a relay to another one.
    Peer,
    /// The slots that a relay claims from another one.
    Slots,
}

impl Channel {
    const ALL: [Self; 6] =
        [Self::Raft, Self::Session, Self::Control, Self::Forward, Self::Peer, Self::Slots];

    const COUNT: usize = Self::ALL.len();

    fn path(self) -> &'static str {
        match self {
            Self::Raft => "/raft",
            Self::Session => "/session",
            Self::Control => "/control",
            Self::Forward => "/forward",
            Self::Peer => "/peer",
            Self::Slots => "/slots",
        }
    }

    fn parse(path: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|channel| channel.path() == path)
    }
}
