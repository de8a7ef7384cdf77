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

/// The number of endpoints of a service that were in use, including one that has crashed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Used {
    /// At some time of the period to which a single crash is related.
    pub within_period: usize,
    /// At the moment of the crash.
    pub at_crash: usize,
}

impl From<usize> for Used {
    fn from(used: usize) -> Self {
        Self { within_period: used, at_crash: used }
    }
}

/// Counts the endpoints of a service that were in use when one of them crashed.
///
/// Those that crashed shortly before were in use until then: without them, the few that are left would
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

    /// Counts the endpoints of `service` that were in use until the one at `address` crashed; `in_use` are
    /// those that are in use now. A place counts once, whatever incarnations it had.
    pub fn count_used(
        &mut self,
        now_ms: u64,
        service: &Arc<str>,
        address: Option<SocketAddr>,
        in_use: impl IntoIterator<Item = SocketAddr>,
    ) -> Used {
        self.crashed.retain(|crashed| crashed.at_ms + RATE_PERIOD_MIN_MS > now_ms);
        let mut crashed = BTreeSet::new();
        for known in &self.crashed {
            if known.service == *service && Some(known.address) != address {
                crashed.insert(known.address);
            }
        }
        let mut at_crash = 1;
        for other in in_use {
            if Some(other) != address {
                at_crash += 1;
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
        Used { within_period: at_crash + crashed.len(), at_crash }
    }
}
