//! The endpoints that a crash could have happened at.

use std::collections::{BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

use super::evidence::RATE_PERIOD_MIN_MS;

#[derive(Debug)]
struct CrashedEndpoint {
    at_ms: u64,
    service: Arc<str>,
    address: SocketAddr,
}

/// Counts the endpoints of a service that were in use over the time to which a crash is related.
///
/// Those that crashed within this time were in use until then: without them, the few that are left would
/// seem to crash several times as often as they do.
#[derive(Debug, Default)]
pub struct Exposure {
    crashed: VecDeque<CrashedEndpoint>,
}

impl Exposure {
    /// Creates a record without crashes.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts the endpoints of `service` that were in use until the one at `address` crashed, including
    /// it; `in_use` are those that are in use now. A place counts once, whatever incarnations it had.
    pub fn count_used(
        &mut self,
        now_ms: u64,
        service: &Arc<str>,
        address: Option<SocketAddr>,
        in_use: impl IntoIterator<Item = SocketAddr>,
    ) -> usize {
        self.crashed.retain(|crashed| crashed.at_ms + RATE_PERIOD_MIN_MS > now_ms);
        let mut crashed = BTreeSet::new();
        for known in &self.crashed {
            if known.service == *service && Some(known.address) != address {
                crashed.insert(known.address);
            }
        }
        let mut used = 1;
        for other in in_use {
            if Some(other) != address {
                used += 1;
                crashed.remove(&other);
            }
        }
        if let Some(address) = address {
            self.crashed.push_back(CrashedEndpoint {
                at_ms: now_ms,
                service: service.clone(),
                address,
            });
        }
        used + crashed.len()
    }
}
