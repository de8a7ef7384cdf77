//! Orders to engines, and what becomes of them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use crate::clock::Clock;
use crate::message::{Weights, WeightsName};
use crate::wire::BoxFuture;

/// One order.
#[derive(Debug, Clone)]
pub struct EngineOrder {
    /// Counts this leader's orders.
    pub number: u64,
    /// The endpoint's incarnation; another one must refuse the order.
    pub endpoint: Arc<str>,
    /// Where it serves.
    pub address: SocketAddr,
    /// What is ordered.
    pub kind: OrderKind,
    /// The number of orders that the endpoint must have taken before this one.
    pub expected_sequence: Option<u64>,
    /// Who orders.
    pub holder: Arc<str>,
    /// Rises with each leader.
    pub token: u64,
}

/// What is ordered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderKind {
    /// Tell what you hold; changes nothing.
    Report,
    /// Load weights, or replace an older version of them.
    Load {
        /// The weights.
        name: WeightsName,
        /// The version; the newest when none is named.
        version: Option<u64>,
    },
    /// Drop weights.
    Unload {
        /// The weights.
        name: WeightsName,
    },
}

/// What an engine tells of itself.
#[derive(Debug, Clone, Default)]
pub struct EngineReport {
    /// Orders taken since the start.
    pub sequence: u64,
    /// What it holds.
    pub holds: Vec<Weights>,
    /// What is on its way.
    pub coming: Vec<Weights>,
}

/// What became of an order.
#[derive(Debug, Clone)]
pub enum OrderOutcome {
    /// The report that was asked for.
    Report(EngineReport),
    /// It is being carried out.
    UnderWay,
    /// It is done, or was so before.
    Done,
    /// Another order is under way, or the expected sequence differs.
    Conflict,
    /// The endpoint refused it; it is not carried out.
    Refused,
    /// It was not sent.
    NotSent,
    /// No answer came: it may be carried out, also much later.
    Unknown,
}

/// An order's outcome with what it belongs to.
#[derive(Debug, Clone)]
pub struct OrderResult {
    /// The order's number.
    pub number: u64,
    /// The endpoint.
    pub endpoint: Arc<str>,
    /// What was ordered.
    pub kind: OrderKind,
    /// What became of it.
    pub outcome: OrderOutcome,
}

/// Until when a leader may give orders; looked at right before each one is written.
#[derive(Debug, Clone)]
pub struct OrderLease {
    until_ms: Arc<AtomicU64>,
    clock: Clock,
}

impl OrderLease {
    /// A lease that has not begun.
    pub fn new(clock: Clock) -> Self {
        Self { until_ms: Arc::default(), clock }
    }

    /// Sets the end.
    pub fn set_until(&self, until_ms: u64) {
        self.until_ms.store(until_ms, Ordering::Release);
    }

    /// True while orders may be given.
    pub fn holds(&self) -> bool {
        self.clock.now_ms() < self.until_ms.load(Ordering::Acquire)
    }
}

/// How orders reach engines.
pub trait EngineClient: Send + Sync + 'static {
    /// Sends `order` unless `lease` has ended, and waits for the outcome.
    fn carry_out(&self, order: EngineOrder, lease: OrderLease) -> BoxFuture<'static, OrderOutcome>;
}
