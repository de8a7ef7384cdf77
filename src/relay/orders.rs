//! Sends the control leader's orders to engines.
//!
//! Each endpoint gets its orders from a single gateway, its order holder, which is recorded in the
//! replicated log, so that loads continue across a change of leader. A gateway sends orders only
//! for a short time after the leader last confirmed its session; another gateway may order the same
//! endpoint only after that time and the engine's order lease have passed. A gateway in a graceful
//! shutdown sends orders until its process ends: after a restart it continues as the same holder,
//! which is faster than any change of holder.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use crate::clock::Clock;
use crate::message::{EngineOrder, OrderOutcome, RegisteredEndpoint};
use crate::wire::BoxFuture;

/// How long after the send time of its last confirmed renewal a gateway may send orders: three
/// renewals.
pub const SEND_LEASE_MS: u64 = 1_000;

/// How long after the lease check an order may still be written: connecting takes up to 250 ms.
pub const ORDER_WRITE_MS: u64 = 300;

/// The lease under which a gateway sends orders; checked immediately before each one is written.
#[derive(Debug, Clone)]
pub struct SendLease {
    until_ms: Arc<AtomicU64>,
    clock: Clock,
}

impl SendLease {
    /// Creates a lease that has not begun.
    pub fn new(clock: Clock) -> Self {
        Self { until_ms: Arc::default(), clock }
    }

    /// Extends the lease after the leader confirmed a renewal sent at `sent_at_ms`.
    pub fn confirm(&self, sent_at_ms: u64) {
        self.until_ms.fetch_max(sent_at_ms + SEND_LEASE_MS, Ordering::AcqRel);
    }

    /// True while orders may be sent.
    pub fn holds(&self) -> bool {
        self.clock.now_ms() < self.until_ms.load(Ordering::Acquire)
    }
}

/// The client that sends orders and probes to engines.
pub trait EngineClient: Send + Sync + 'static {
    /// Sends `order` unless `lease` has ended, and waits for the outcome.
    fn carry_out(&self, order: EngineOrder, lease: SendLease) -> BoxFuture<'static, OrderOutcome>;

    /// Probes an engine with a request that it answers at once; false if no answer comes.
    fn probe(&self, endpoint: &RegisteredEndpoint) -> BoxFuture<'static, bool>;

    /// Probes an endpoint of a plain service with a request that it rejects at once, without taking
    /// a place; false if no answer comes.
    fn probe_plain(&self, endpoint: &RegisteredEndpoint) -> BoxFuture<'static, bool>;
}
