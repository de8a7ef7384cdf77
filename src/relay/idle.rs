//! Keeps idle connections for reuse.

use std::collections::HashMap;
use std::net::SocketAddr;

/// How long an idle connection is reused, unless the endpoint states a shorter time.
const IDLE_MAX_MS: u64 = 4_000;
/// The share of the keep-alive time promised by the endpoint for which a connection is reused.
/// Later, a request could cross the endpoint's close.
const IDLE_SHARE: f64 = 0.7;

/// Idle connections by address; the most recently used one is reused first.
#[derive(Debug)]
pub struct IdleConnections<C> {
    by_address: HashMap<SocketAddr, Vec<Idle<C>>>,
}

#[derive(Debug)]
struct Idle<C> {
    connection: C,
    until_ms: u64,
}

impl<C> Default for IdleConnections<C> {
    fn default() -> Self {
        Self::new()
    }
}

impl<C> IdleConnections<C> {
    /// Creates an empty set.
    pub fn new() -> Self {
        Self { by_address: HashMap::new() }
    }

    /// Keeps a connection for its next request; the endpoint promises to keep it for
    /// `keep_alive_ms`.
    pub fn put(
        &mut self,
        now_ms: u64,
        address: SocketAddr,
        connection: C,
        keep_alive_ms: Option<u64>,
    ) {
        let promised_ms = keep_alive_ms.map(|kept_ms| (kept_ms as f64 * IDLE_SHARE) as u64);
        let until_ms = now_ms + promised_ms.unwrap_or(IDLE_MAX_MS).min(IDLE_MAX_MS);
        self.by_address.entry(address).or_default().push(Idle { connection, until_ms });
    }

    /// Takes the most recently used connection that `is_ready`, and drops expired ones.
    pub fn take(
        &mut self,
        now_ms: u64,
        address: SocketAddr,
        is_ready: impl Fn(&C) -> bool,
    ) -> Option<C> {
        let idle = self.by_address.get_mut(&address)?;
        idle.retain(|idle| idle.until_ms > now_ms);
        let position = idle.iter().rposition(|idle| is_ready(&idle.connection))?;
        Some(idle.remove(position).connection)
    }

    /// Drops the connections to an address.
    pub fn forget(&mut self, address: SocketAddr) {
        self.by_address.remove(&address);
    }

    /// Drops all expired connections.
    pub fn prune(&mut self, now_ms: u64) {
        for idle in self.by_address.values_mut() {
            idle.retain(|idle| idle.until_ms > now_ms);
        }
        self.by_address.retain(|_, idle| !idle.is_empty());
    }
}
