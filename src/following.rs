//! Client side of the sessions with control: choosing the replica to follow and sending to it.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::timeout;

use crate::error::{Error, Result};
use crate::message::{Group, SessionUp};
use crate::traffic;
use crate::wire::Sender;

/// The time after which a replica that accepts no data is given up.
const SEND_TIMEOUT: Duration = Duration::from_secs(1);

/// Sends a message on a session.
///
/// # Errors
/// The session was closed, or the replica accepts no data.
pub async fn send(sender: &mut Sender<SessionUp>, up: &SessionUp) -> Result<()> {
    let size_bytes = timeout(SEND_TIMEOUT, sender.send(up))
        .await
        .map_err(|_| Error::timeout("send", "control", SEND_TIMEOUT.as_millis() as u64))??;
    traffic::count(up.kind(), size_bytes);
    Ok(())
}

/// How long a replica is not preferred after a failure; doubled with each consecutive failure.
const BACKOFF_MS: u64 = 2_000;
/// The upper limit of a backoff.
const BACKOFF_MAX_MS: u64 = 30_000;

/// The backoff of a replica that failed.
#[derive(Debug, Clone, Copy, Default)]
struct Backoff {
    /// The number of consecutive failures.
    failures: u32,
    /// The time until which the replica is not preferred.
    until_ms: u64,
}

/// Selects the replica that a gateway tries next: the one that another replica redirected it to,
/// then one that serves its availability zone, then all known ones round robin.
#[derive(Debug)]
pub struct ServerSearch {
    zone: Arc<str>,
    seeds: Vec<SocketAddr>,
    group: Group,
    /// The target of a redirect that has not been tried yet.
    pending_redirect: Option<SocketAddr>,
    /// The target of the last redirect.
    redirect_target: Option<SocketAddr>,
    /// The number of replicas selected round robin so far.
    turn: usize,
    backoffs: HashMap<SocketAddr, Backoff>,
    /// Replicas that failed since a replica was last followed, with the value of `tries` at that
    /// time.
    failed_at: HashMap<SocketAddr, usize>,
    /// The number of round-robin tries since a replica was last followed.
    tries: usize,
    /// The number of failed attempts since a replica was last followed.
    failed: u32,
}

impl ServerSearch {
    /// Creates a search for a gateway in `zone`; `seeds` are the replicas known at the start, at
    /// least one.
    pub fn new(zone: Arc<str>, seeds: Vec<SocketAddr>) -> Self {
        Self {
            zone,
            seeds,
            group: Group::default(),
            pending_redirect: None,
            redirect_target: None,
            turn: 0,
            backoffs: HashMap::new(),
            failed_at: HashMap::new(),
            tries: 0,
            failed: 0,
        }
    }

    /// Replaces the replicas and the zones that they serve.
    pub fn set_group(&mut self, group: Group) {
        for server in &group.servers {
            // The leader has listed the replica again, so its earlier failures no longer count.
            if !self.group.servers.contains(server) {
                self.backoffs.remove(&server.address);
            }
        }
        self.group = group;
    }

    /// True while a replica that this gateway would otherwise prefer is in backoff.
    pub fn has_failed_server(&self, now_ms: u64) -> bool {
        self.backoffs.values().any(|backoff| backoff.until_ms > now_ms)
    }

    /// Records that the replica at `address` does not serve this gateway and redirected it to
    /// `leader`, if it knows one.
    pub fn record_redirect(
        &mut self,
        now_ms: u64,
        address: SocketAddr,
        leader: Option<SocketAddr>,
    ) {
        self.pending_redirect = leader;
        self.redirect_target = leader;
        if leader.is_none() {
            // Without a backoff this replica would be tried again and again if it serves the zone.
            self.record_failure(now_ms, address);
        }
    }

    /// Records that an attempt with the replica at `address` failed. True for the first failure
    /// since a replica was last followed, which should be logged.
    pub fn record_failure(&mut self, now_ms: u64, address: SocketAddr) -> bool {
        // All other replicas, which includes every replica at the start, are not preferred anyway.
        if self.serves_zone(address) || self.redirect_target == Some(address) {
            let backoff = self.backoffs.entry(address).or_default();
            let backoff_ms = (BACKOFF_MS << backoff.failures.min(8)).min(BACKOFF_MAX_MS);
            backoff.until_ms = now_ms + backoff_ms;
            backoff.failures += 1;
        }
        self.failed_at.insert(address, self.tries);
        self.failed += 1;
        self.failed == 1
    }

    /// Records that a replica is followed. Returns the number of attempts that failed before.
    pub fn found(&mut self) -> u32 {
        self.failed_at.clear();
        self.tries = 0;
        std::mem::take(&mut self.failed)
    }

    /// Ends the backoff of the replica at `address`, which has served this gateway for a while.
    pub fn serves(&mut self, address: SocketAddr) {
        self.backoffs.remove(&address);
    }

    /// Selects the replica to try.
    pub fn next(&mut self, now_ms: u64) -> SocketAddr {
        if let Some(leader) = self.pending_redirect.take() {
            return leader;
        }
        if self.failed == 0
            && let Some(replica) = self.zone_replica(now_ms)
        {
            return replica;
        }
        let known = self.known_replicas();
        self.tries += 1;
        for _ in 0..known.len() {
            let address = self.next_in_turn(&known);
            // A replica that hangs accepts connections without ever replying, so that an attempt
            // lasts until its timeout. All other replicas are tried before a failed one is tried
            // again.
            let failed_at = self.failed_at.get(&address);
            if failed_at.is_none_or(|failed_at| self.tries - failed_at >= known.len()) {
                return address;
            }
        }
        self.next_in_turn(&known)
    }

    fn next_in_turn(&mut self, known: &[SocketAddr]) -> SocketAddr {
        self.turn += 1;
        known[self.turn % known.len()]
    }

    /// Returns the replicas of the group and the seeds.
    fn known_replicas(&self) -> Vec<SocketAddr> {
        let mut known = self.group.replicas.clone();
        for seed in &self.seeds {
            if !known.contains(seed) {
                known.push(*seed);
            }
        }
        known
    }

    /// Returns a replica that serves the zone, unless `current` serves it.
    pub fn nearer_replica(&self, now_ms: u64, current: SocketAddr) -> Option<SocketAddr> {
        if self.serves_zone(current) { None } else { self.zone_replica(now_ms) }
    }

    fn serves_zone(&self, address: SocketAddr) -> bool {
        for server in &self.group.servers {
            if server.zone == self.zone && server.address == address {
                return true;
            }
        }
        false
    }

    /// Returns a replica that serves the zone and is not in backoff.
    fn zone_replica(&self, now_ms: u64) -> Option<SocketAddr> {
        for server in &self.group.servers {
            if server.zone != self.zone {
                continue;
            }
            let backoff = self.backoffs.get(&server.address);
            if backoff.is_none_or(|backoff| backoff.until_ms <= now_ms) {
                return Some(server.address);
            }
        }
        None
    }
}
