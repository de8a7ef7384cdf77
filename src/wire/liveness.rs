//! Closes connections between processes that have fallen silent.
//!
//! Both sides apply [`SilenceObserver`] to each connection. A side that closes it fails all its
//! streams, and their users open new ones on another connection.

use std::convert::Infallible;
use std::fmt;
use std::future::pending;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use h2::{Ping, PingPong};
use tokio::sync::Notify;
use tracing::{debug, warn};

use super::Channel;
use crate::clock::Clock;
use crate::metrics::{Counter, Metrics};
use crate::observed_stream::ReceiptLog;
use crate::policy::silence::{OBSERVE_INTERVAL_MS, SilenceAction, SilenceObserver};

/// What passes on one connection.
#[derive(Debug, Default)]
pub(super) struct Activity {
    received_bytes: AtomicU64,
    /// The open streams by channel.
    streams: [AtomicUsize; Channel::COUNT],
    is_doubted: AtomicBool,
}

impl Activity {
    /// Counts a stream of `channel` as open until the guard and its clones are dropped.
    pub(super) fn open(self: &Arc<Self>, channel: Channel) -> StreamGuard {
        self.streams[channel as usize].fetch_add(1, Ordering::Relaxed);
        StreamGuard(Arc::new(OpenStream { activity: self.clone(), channel }))
    }

    /// True if further streams should use another connection.
    pub(super) fn is_doubted(&self) -> bool {
        self.is_doubted.load(Ordering::Relaxed)
    }

    fn is_in_use(&self) -> bool {
        self.streams.iter().any(|streams| streams.load(Ordering::Relaxed) > 0)
    }
}

impl ReceiptLog for Activity {
    fn note_received(&self, bytes: usize) {
        self.received_bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }
}

/// Lists the channels of open streams.
impl fmt::Display for Activity {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut separator = "";
        for channel in Channel::ALL {
            let streams = self.streams[channel as usize].load(Ordering::Relaxed);
            if streams == 0 {
                continue;
            }
            write!(formatter, "{separator}{}:{streams}", &channel.path()[1..])?;
            separator = ",";
        }
        Ok(())
    }
}

/// Held by both halves of a stream; the stream counts as open until both are dropped.
#[derive(Debug, Clone)]
pub(super) struct StreamGuard(Arc<OpenStream>);

impl StreamGuard {
    /// True if the stream's connection is doubted.
    pub(super) fn is_doubted(&self) -> bool {
        self.0.activity.is_doubted()
    }
}

#[derive(Debug)]
struct OpenStream {
    activity: Arc<Activity>,
    channel: Channel,
}

impl Drop for OpenStream {
    fn drop(&mut self) {
        self.activity.streams[self.channel as usize].fetch_sub(1, Ordering::Relaxed);
    }
}

/// Why a connection is closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum End {
    /// The other side has not answered.
    Silent {
        /// For how long.
        silent_ms: u64,
    },
    /// It has had no streams for long.
    Unused,
}

/// Which side of a connection this process is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Side {
    /// It opened the connection.
    Opened,
    /// It accepted the connection.
    Accepted,
}

impl End {
    /// Records that the connection with `peer` is closed, and the streams that are lost with it.
    pub(super) fn note(
        self,
        peer: &str,
        side: Side,
        activity: &Activity,
        metrics: Option<&Metrics>,
    ) {
        match self {
            Self::Silent { silent_ms } => {
                if let Some(metrics) = metrics {
                    metrics.count(Counter::PeerConnectionsSilent);
                }
                let side = side.name();
                warn!(event = "peer_connection_silent", peer, side, silent_ms, streams = %activity);
            }
            Self::Unused => debug!(event = "peer_connection_unused", peer, side = side.name()),
        }
    }
}

impl Side {
    fn name(self) -> &'static str {
        match self {
            Self::Opened => "opened",
            Self::Accepted => "accepted",
        }
    }
}

/// Returns once the connection has to be closed; pings the other side when necessary.
pub(super) async fn watch(activity: Arc<Activity>, pings: Option<PingPong>) -> End {
    let ping_wanted = Notify::new();
    tokio::select! {
        end = observe(&activity, &ping_wanted) => end,
        never = send_pings(pings, &ping_wanted) => match never {},
    }
}

async fn observe(activity: &Activity, ping_wanted: &Notify) -> End {
    let clock = Clock::new();
    let mut observer = SilenceObserver::new(clock.now_ms());
    loop {
        tokio::time::sleep(Duration::from_millis(OBSERVE_INTERVAL_MS)).await;
        let received_bytes = activity.received_bytes.load(Ordering::Relaxed);
        let action = observer.observe(clock.now_ms(), received_bytes, activity.is_in_use());
        activity.is_doubted.store(observer.is_doubted(), Ordering::Relaxed);
        match action {
            SilenceAction::Wait => {}
            SilenceAction::Ping => ping_wanted.notify_one(),
            SilenceAction::CloseSilent { silent_ms } => return End::Silent { silent_ms },
            SilenceAction::CloseUnused => return End::Unused,
        }
    }
}

/// Sends a ping whenever one is wanted and none is unanswered.
async fn send_pings(pings: Option<PingPong>, ping_wanted: &Notify) -> Infallible {
    let Some(mut pings) = pings else { return pending().await };
    loop {
        ping_wanted.notified().await;
        if pings.ping(Ping::opaque()).await.is_err() {
            // The connection is about to end.
            return pending().await;
        }
    }
}
