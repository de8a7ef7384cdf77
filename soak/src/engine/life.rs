//! An incarnation of an engine, and how it ends.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::sync::{Semaphore, watch};
use tokio::time::timeout;

use super::{RESTARTS_AFTER, Weights};

/// One incarnation.
pub(super) struct Life {
    pub(super) born_ms: u64,
    pub(super) address: SocketAddr,
    pub(super) software: &'static str,
    pub(super) weights: Mutex<Weights>,
    /// What was read goes on one by one, in the order of arrival.
    pub(super) turn: Semaphore,
    pub(super) slots: Arc<Semaphore>,
    pub(super) paused: watch::Receiver<bool>,
    pub(super) ended: watch::Sender<Option<Ends>>,
    /// True until its listener is closed.
    pub(super) listens: watch::Sender<bool>,
}

/// How an incarnation ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ends {
    /// Its connections are closed, and new ones are refused.
    Closed,
    /// Its connections are closed; new ones are accepted and closed at once, as by a proxy before it.
    ClosedBehindProxy,
    /// Nothing is closed and nothing answers any more, until the next incarnation has been up for a while.
    Silent,
    /// The same for good, as when its machine is lost.
    Vanished {
        /// Whether new connections are refused; otherwise they are never answered.
        refuses: bool,
    },
}

impl Life {
    /// Runs `task` until it ends or this incarnation does.
    pub(super) async fn until_ended(self: Arc<Self>, task: impl Future<Output = ()>) {
        let mut ended = self.ended.subscribe();
        tokio::pin!(task);
        let ends = tokio::select! {
            () = &mut task => return,
            // The sender lives as long as the incarnation.
            ends = ended.wait_for(Option::is_some) => ends.map_or(None, |ends| *ends),
        };
        match ends {
            // What it holds stays open until the next incarnation has been up for a while.
            Some(Ends::Silent) => {
                tokio::time::sleep(RESTARTS_AFTER + Duration::from_secs(1)).await;
            }
            Some(Ends::Vanished { .. }) => std::future::pending().await,
            Some(Ends::Closed | Ends::ClosedBehindProxy) | None => {}
        }
    }

    /// Runs the task of a connection until it ends, or this incarnation does and has closed its
    /// listener: the system closes the sockets of a crashed process in the order of their creation.
    pub(super) async fn until_closed(self: Arc<Self>, task: impl Future<Output = ()>) {
        let (mut listens, mut ended) = (self.listens.subscribe(), self.ended.subscribe());
        tokio::pin!(task);
        tokio::select! {
            () = &mut task => return,
            // From now on the task stands still.
            _ = ended.wait_for(Option::is_some) => {}
        }
        self.until_ended(std::future::pending()).await;
        // The sender lives as long as the incarnation.
        let _ = listens.wait_for(|listens| !listens).await;
    }

    /// Accepts connections until this incarnation ends, or for as long as they are left unanswered after that.
    pub(super) async fn until_refusing(self: Arc<Self>, accept: impl Future<Output = ()>) {
        let mut ended = self.ended.subscribe();
        let refuses = async move {
            // The sender lives as long as the incarnation.
            let refuses = |ends: &Option<Ends>| *ends == Some(Ends::Vanished { refuses: true });
            if ended.wait_for(refuses).await.is_err() {
                std::future::pending::<()>().await;
            }
        };
        tokio::select! {
            () = self.until_ended(accept) => {}
            () = refuses => {}
        }
    }

    /// Accepts connections of an incarnation that ended behind a proxy and closes them, until the next
    /// incarnation has started.
    pub(super) async fn close_new_connections(&self, listener: &TcpListener) {
        if *self.ended.borrow() != Some(Ends::ClosedBehindProxy) {
            return;
        }
        let closing = async { while listener.accept().await.is_ok() {} };
        // It always ends by the timeout.
        let _ = timeout(RESTARTS_AFTER, closing).await;
    }

    pub(super) async fn wait_until_running(&self) {
        // The sender lives as long as the engine.
        let _ = self.paused.clone().wait_for(|paused| !paused).await;
    }

    /// Waits until everything that was read before has gone on.
    pub(super) async fn take_turn(&self) {
        let turn = self.turn.acquire().await;
        self.wait_until_running().await;
        drop(turn);
    }
}
