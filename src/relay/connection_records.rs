//! What the open connections to endpoints have brought, from which silent ones are recognized.
//!
//! A connection may stop passing data on without being closed, while new connections to the same
//! endpoint work. A slow endpoint looks the same on a single connection, but not on newer ones.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use crate::clock::Clock;
use crate::observed_stream::ReceiptLog;

/// How long the record of a closed connection is kept.
const CLOSED_KEPT_MS: u64 = 3_000;

/// What one connection has brought.
#[derive(Debug)]
pub struct ConnectionRecord {
    clock: Clock,
    opened_at_ms: u64,
    /// Equals `opened_at_ms` until something is received.
    received_at_ms: AtomicU64,
}

impl ConnectionRecord {
    /// The record of a connection that is being opened.
    pub fn new(clock: Clock) -> Self {
        let opened_at_ms = clock.now_ms();
        Self { clock, opened_at_ms, received_at_ms: AtomicU64::new(opened_at_ms) }
    }

    fn received_at_ms(&self) -> u64 {
        self.received_at_ms.load(Ordering::Relaxed)
    }

    fn has_received_since(&self, at_ms: u64) -> bool {
        let received_at_ms = self.received_at_ms();
        received_at_ms > self.opened_at_ms && received_at_ms > at_ms
    }
}

impl ReceiptLog for ConnectionRecord {
    fn note_received(&self, _: usize) {
        self.received_at_ms.store(self.clock.now_ms(), Ordering::Relaxed);
    }
}

/// What the connections to an endpoint show about those that have been open for some time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OlderConnections {
    /// Some of them have brought data lately.
    Active,
    /// None has brought data lately, nor has any newer one: the endpoint may be slow.
    Quiet,
    /// None has brought data lately, but a newer one has.
    Silent,
}

/// The records of connections by the address of their endpoint.
#[derive(Debug, Default)]
pub struct ConnectionRecords {
    by_address: HashMap<SocketAddr, Vec<Arc<ConnectionRecord>>>,
    /// When endpoints last answered a probe.
    reached_at_ms: HashMap<SocketAddr, u64>,
    /// Endpoints that are being tried on a new connection.
    trials: HashSet<SocketAddr>,
}

impl ConnectionRecords {
    /// Adds the record of a new connection.
    pub fn add(&mut self, now_ms: u64, address: SocketAddr, record: Arc<ConnectionRecord>) {
        let records = self.by_address.entry(address).or_default();
        records.retain(|record| is_needed(now_ms, record));
        records.push(record);
    }

    /// Compares the connections that were open at `open_at_ms`, which count as quiet if they have
    /// brought nothing since `quiet_since_ms`, with newer ones.
    pub fn compare(
        &self,
        address: SocketAddr,
        open_at_ms: u64,
        quiet_since_ms: u64,
    ) -> OlderConnections {
        let mut comparison = OlderConnections::Quiet;
        for record in self.by_address.get(&address).into_iter().flatten() {
            let is_newer = record.opened_at_ms > open_at_ms;
            if is_newer && record.has_received_since(open_at_ms) {
                comparison = OlderConnections::Silent;
            }
            if !is_newer && record.has_received_since(quiet_since_ms) {
                return OlderConnections::Active;
            }
        }
        comparison
    }

    /// Records that the endpoint answered a probe, which is sent on a connection of its own.
    pub fn note_reached(&mut self, now_ms: u64, address: SocketAddr) {
        self.reached_at_ms.insert(address, now_ms);
    }

    /// True if the endpoint answered a probe since `at_ms`.
    pub fn was_reached_since(&self, at_ms: u64, address: SocketAddr) -> bool {
        self.reached_at_ms.get(&address).is_some_and(|reached_at_ms| *reached_at_ms > at_ms)
    }

    /// Begins to try an endpoint on a new connection; returns false if that is being done already.
    pub fn begin_trial(&mut self, address: SocketAddr) -> bool {
        self.trials.insert(address)
    }

    /// Ends the trial of an endpoint.
    pub fn end_trial(&mut self, address: SocketAddr) {
        self.trials.remove(&address);
    }

    /// Drops the records of connections that were closed some time ago.
    pub fn prune(&mut self, now_ms: u64) {
        for records in self.by_address.values_mut() {
            records.retain(|record| is_needed(now_ms, record));
        }
        self.by_address.retain(|_, records| !records.is_empty());
        self.reached_at_ms.retain(|_, reached_at_ms| *reached_at_ms + CLOSED_KEPT_MS > now_ms);
    }
}

/// True while the connection is open or was lately; an open connection holds its record.
fn is_needed(now_ms: u64, record: &Arc<ConnectionRecord>) -> bool {
    Arc::strong_count(record) > 1 || record.received_at_ms() + CLOSED_KEPT_MS > now_ms
}
