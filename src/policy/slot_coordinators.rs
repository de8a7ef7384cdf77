//! Which gateway coordinates the slots of an endpoint.
//!
//! Control lists the gateways that may coordinate, and each endpoint belongs to one of them by
//! rendezvous hashing, so that few endpoints move when the list changes. A gateway that becomes the
//! coordinator of an endpoint does not know which slots are in use there until all others have had
//! time to claim them.

use std::collections::VecDeque;

use crate::hash;
use crate::message::PeerGateway;
use crate::policy::slot_leases::VALID_MS;

/// How long after it became the coordinator a gateway leases no free slots: until the leases of the
/// coordinator before have ended, and the other gateways have claimed the slots that they use.
const SETTLE_MS: u64 = VALID_MS + 300;

/// The lists of coordinators of the last seconds.
#[derive(Debug, Default)]
pub struct SlotCoordinators {
    /// Each list with the time from which it was known, oldest first.
    lists: VecDeque<(u64, Vec<PeerGateway>)>,
}

impl SlotCoordinators {
    /// No list is known.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the list that control sent.
    pub fn set(&mut self, now_ms: u64, gateways: Vec<PeerGateway>) {
        if self.lists.back().is_some_and(|(_, known)| *known == gateways) {
            return;
        }
        self.lists.push_back((now_ms, gateways));
        while self.lists.get(1).is_some_and(|(from_ms, _)| from_ms + SETTLE_MS <= now_ms) {
            self.lists.pop_front();
        }
    }

    /// True if any gateway is listed.
    pub fn is_known(&self) -> bool {
        !self.lists.is_empty()
    }

    /// The gateway that coordinates `endpoint`; `None` while no gateway is listed.
    pub fn of(&self, endpoint: &str) -> Option<&PeerGateway> {
        let (_, gateways) = self.lists.back()?;
        coordinator(gateways, hash::stable(endpoint))
    }

    /// True if the gateway `name` has coordinated `endpoint` for so long that it knows which slots are
    /// in use.
    pub fn is_settled(&self, now_ms: u64, name: &str, endpoint: &str) -> bool {
        let endpoint_hash = hash::stable(endpoint);
        let from_ms = now_ms.saturating_sub(SETTLE_MS);
        for (position, (known_from_ms, gateways)) in self.lists.iter().enumerate().rev() {
            if coordinator(gateways, endpoint_hash).is_none_or(|it| &*it.name != name) {
                return false;
            }
            if *known_from_ms <= from_ms {
                return true;
            }
            if position == 0 {
                return false;
            }
        }
        false
    }
}

fn coordinator(gateways: &[PeerGateway], endpoint_hash: u64) -> Option<&PeerGateway> {
    gateways.iter().max_by_key(|it| hash::affinity(endpoint_hash, hash::stable(&it.name)))
}
