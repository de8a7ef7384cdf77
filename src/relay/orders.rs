//! Giving orders to engines for the leader of control.
//!
//! Each endpoint gets its orders from one gateway, which is recorded in the log, so that loads go on
//! when control changes its leader. A gateway gives orders only while the leader has confirmed its
//! session a short time ago; only once that time and the engines' own lease have passed may another
//! gateway order the same endpoint. A gateway that is told to stop gives orders until its process
//! ends: after a restart it goes on as the same holder, which is sooner than any change of holder.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use crate::clock::Clock;
use crate::message::{EngineOrder, OrderOutcome, RegisteredEndpoint};
use crate::wire::BoxFuture;

/// How long after its last confirmed renewal was sent a gateway may give orders: three renewals.
pub const ORDER_HOLD_MS: u64 = 1_000;

/// How long after the look at the lease an order may still be written: connecting takes up to 250 ms.
pub const ORDER_WRITE_MS: u64 = 300;

/// Until when orders may be given; looked at right before each one is written.
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

    /// Extends the lease: the leader confirmed a renewal that was sent at `sent_at_ms`.
    pub fn confirm(&self, sent_at_ms: u64) {
        self.until_ms.fetch_max(sent_at_ms + ORDER_HOLD_MS, Ordering::AcqRel);
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

    /// Asks an engine anything that it answers at once; false when it does not.
    fn probe(&self, endpoint: &RegisteredEndpoint) -> BoxFuture<'static, bool>;
}
