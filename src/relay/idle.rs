//! Connections that wait for their next request.

use std::collections::HashMap;
use std::net::SocketAddr;

/// How long a connection is used again after its last answer where the endpoint says nothing.
const IDLE_MAX_MS: u64 = 4_000;
/// The share of the time an endpoint promises to keep a connection after which it is not used: a
/// request could cross the close.
const IDLE_SHARE: f64 = 0.7;

/// Idle connections by address, the latest used first.
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
    /// None yet.
    pub fn new() -> Self {
        Self { by_address: HashMap::new() }
    }

    /// Keeps a connection for its next request; the endpoint keeps it for `keep_alive_ms`.
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

    /// The latest used connection that `is_ready`; those that are too old are dropped.
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

    /// Drops what is too old everywhere.
    pub fn prune(&mut self, now_ms: u64) {
        for idle in self.by_address.values_mut() {
            idle.retain(|idle| idle.until_ms > now_ms);
        }
        self.by_address.retain(|_, idle| !idle.is_empty());
    }
}
