//! What every process does that follows control: finding a replica to follow, and telling it things.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::timeout;

use crate::error::{Error, Result};
use crate::message::{Group, SessionUp};
use crate::traffic;
use crate::wire::Sender;

/// A replica that takes nothing in for this long is given up.
const SEND_TIMEOUT: Duration = Duration::from_secs(1);

/// Sends a message on a session.
///
/// # Errors
/// The session was closed, or its other end takes nothing in.
pub async fn send(sender: &mut Sender<SessionUp>, up: &SessionUp) -> Result<()> {
    let size_bytes = timeout(SEND_TIMEOUT, sender.send(up))
        .await
        .map_err(|_| Error::timeout("send", "control", SEND_TIMEOUT.as_millis() as u64))??;
    traffic::count(up.kind(), size_bytes);
    Ok(())
}

/// A replica that failed is not preferred again for this long; doubled with each failure in a row.
const AVOIDED_MS: u64 = 2_000;
/// The longest such time.
const AVOIDED_MAX_MS: u64 = 30_000;

/// A replica that failed.
#[derive(Debug, Clone, Copy, Default)]
struct Avoided {
    /// How often in a row.
    failures: u32,
    /// Until when it is not preferred.
    until_ms: u64,
}

/// Which replica a gateway tries next: the one that was named, then one that serves its availability
/// zone, then all known ones by turns.
#[derive(Debug)]
pub struct ServerSearch {
    zone: Arc<str>,
    seeds: Vec<SocketAddr>,
    group: Group,
    hint: Option<SocketAddr>,
    /// The replica that another one named last.
    named: Option<SocketAddr>,
    turn: usize,
    avoided: HashMap<SocketAddr, Avoided>,
    /// Replicas that failed since one was last followed, and after how many tries.
    failed_at: HashMap<SocketAddr, usize>,
    /// Tries since one was last followed.
    tries: usize,
    /// Attempts that failed since one was last followed.
    failed: u32,
}

impl ServerSearch {
    /// A search of a gateway in `zone` that knows the replicas `seeds`, of which there is one at
    /// least.
    pub fn new(zone: Arc<str>, seeds: Vec<SocketAddr>) -> Self {
        Self {
            zone,
            seeds,
            group: Group::default(),
            hint: None,
            named: None,
            turn: 0,
            avoided: HashMap::new(),
            failed_at: HashMap::new(),
            tries: 0,
            failed: 0,
        }
    }

    /// Takes over who the replicas are and whom they serve.
    pub fn set_group(&mut self, group: Group) {
        for server in &group.servers {
            // One that serves again, as the leader says, is as good as any.
            if !self.group.servers.contains(server) {
                self.avoided.remove(&server.address);
            }
        }
        self.group = group;
    }

    /// True while a replica that would serve the zone fails.
    pub fn has_failed_server(&self, now_ms: u64) -> bool {
        self.avoided.values().any(|avoided| avoided.until_ms > now_ms)
    }

    /// Notes that `address` does not serve here and named `leader` to try next, if it knows one.
    pub fn record_redirect(
        &mut self,
        now_ms: u64,
        address: SocketAddr,
        leader: Option<SocketAddr>,
    ) {
        self.hint = leader;
        self.named = leader;
        if leader.is_none() {
            // It would be asked again and again otherwise, as the nearest one.
            self.record_failure(now_ms, address);
        }
    }

    /// Notes that `address` failed; true for the first attempt since one was followed, to be logged.
    pub fn record_failure(&mut self, now_ms: u64, address: SocketAddr) -> bool {
        // One that serves nobody yet, as all do at first, is not preferred anyway.
        if self.serves_zone(address) || self.named == Some(address) {
            let avoided = self.avoided.entry(address).or_default();
            let pause_ms = (AVOIDED_MS << avoided.failures.min(8)).min(AVOIDED_MAX_MS);
            avoided.until_ms = now_ms + pause_ms;
            avoided.failures += 1;
        }
        self.failed_at.insert(address, self.tries);
        self.failed += 1;
        self.failed == 1
    }

    /// Notes that a replica is followed; returns how many attempts failed before.
    pub fn found(&mut self) -> u32 {
        self.failed_at.clear();
        self.tries = 0;
        std::mem::take(&mut self.failed)
    }

    /// Notes that `address` has served for a while.
    pub fn serves(&mut self, address: SocketAddr) {
        self.avoided.remove(&address);
    }

    /// The replica to try.
    pub fn next(&mut self, now_ms: u64) -> SocketAddr {
        if let Some(hint) = self.hint.take() {
            return hint;
        }
        if self.failed == 0
            && let Some(near) = self.near(now_ms)
        {
            return near;
        }
        let known = self.known();
        self.tries += 1;
        for _ in 0..known.len() {
            let address = self.by_turns(&known);
            // One that stands still takes connections and says nothing, so that each attempt costs the longest
            // wait: all others go before it.
            let failed_at = self.failed_at.get(&address);
            if failed_at.is_none_or(|failed_at| self.tries - failed_at >= known.len()) {
                return address;
            }
        }
        self.by_turns(&known)
    }

    fn by_turns(&mut self, known: &[SocketAddr]) -> SocketAddr {
        self.turn += 1;
        known[self.turn % known.len()]
    }

    /// All replicas that are known.
    fn known(&self) -> Vec<SocketAddr> {
        let mut known = self.group.replicas.clone();
        for seed in &self.seeds {
            if !known.contains(seed) {
                known.push(*seed);
            }
        }
        known
    }

    /// A replica that serves the zone, when `current` is none of them.
    pub fn nearer_replica(&self, now_ms: u64, current: SocketAddr) -> Option<SocketAddr> {
        if self.serves_zone(current) { None } else { self.near(now_ms) }
    }

    fn serves_zone(&self, address: SocketAddr) -> bool {
        for server in &self.group.servers {
            if server.zone == self.zone && server.address == address {
                return true;
            }
        }
        false
    }

    fn near(&self, now_ms: u64) -> Option<SocketAddr> {
        for server in &self.group.servers {
            if server.zone != self.zone {
                continue;
            }
            let avoided = self.avoided.get(&server.address);
            if avoided.is_none_or(|avoided| avoided.until_ms <= now_ms) {
                return Some(server.address);
            }
        }
        None
    }
}
