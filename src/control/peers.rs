//! The gateways that may send requests for each other, as the leader knows them.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use crate::hash;
use crate::message::PeerGateway;

/// How long a gateway that does not announce itself again is offered to others.
const ANNOUNCED_MS: u64 = 25_000;
/// The number of gateways of its own availability zone that a gateway is offered.
const NEAR_MAX: usize = 6;
/// The number of gateways of other availability zones that a gateway is offered.
const FAR_MAX: usize = 6;
/// The number of gateways that lease the slots of endpoints: enough that none of them has much to do,
/// and few enough to tell all gateways of each change.
const COORDINATORS_MAX: usize = 64;

/// A gateway that announced itself.
#[derive(Debug)]
struct Announced {
    gateway: PeerGateway,
    at_ms: u64,
    /// The services of which it reaches no endpoint.
    out_of_reach: Vec<Arc<str>>,
}

/// The gateways that announced that they send requests for others.
#[derive(Debug, Default)]
pub struct Peers {
    by_name: BTreeMap<Arc<str>, Announced>,
}

impl Peers {
    /// No gateways.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records an announcement of `name`, which reaches no endpoint of the services `out_of_reach`.
    pub fn announce(
        &mut self,
        now_ms: u64,
        name: &Arc<str>,
        zone: &Arc<str>,
        address: SocketAddr,
        out_of_reach: Vec<Arc<str>>,
    ) {
        self.by_name.retain(|_, known| now_ms < known.at_ms + ANNOUNCED_MS);
        let gateway = PeerGateway { name: name.clone(), zone: zone.clone(), address };
        self.by_name.insert(name.clone(), Announced { gateway, at_ms: now_ms, out_of_reach });
    }

    /// Returns the gateways to offer to `name` in `zone`.
    ///
    /// Each gateway is offered others by a hash of both names, so that the load of many gateways
    /// that are cut off at once is spread over all others.
    pub fn offered_to(&self, now_ms: u64, name: &str, zone: &str) -> Vec<PeerGateway> {
        let own_hash = hash::stable(name);
        let (mut near, mut far) = (Vec::new(), Vec::new());
        for known in self.by_name.values() {
            let is_old = known.at_ms + ANNOUNCED_MS <= now_ms;
            if is_old || !known.out_of_reach.is_empty() || &*known.gateway.name == name {
                continue;
            }
            let rank = hash::affinity(own_hash, hash::stable(&known.gateway.name));
            let group = if &*known.gateway.zone == zone { &mut near } else { &mut far };
            group.push((rank, known.gateway.clone()));
        }
        let mut offered = Vec::new();
        for (mut group, max) in [(near, NEAR_MAX), (far, FAR_MAX)] {
            group.sort_by(|(one, _), (other, _)| other.cmp(one));
            offered.extend(group.into_iter().take(max).map(|(_, gateway)| gateway));
        }
        offered
    }

    /// The gateways that lease the slots of endpoints, by name: those of the connected ones that rank
    /// first by a hash.
    pub fn coordinators(
        &self,
        now_ms: u64,
        is_connected: impl Fn(&str) -> bool,
    ) -> Vec<PeerGateway> {
        let mut gateways = Vec::new();
        for (name, known) in &self.by_name {
            if now_ms < known.at_ms + ANNOUNCED_MS && is_connected(name) {
                gateways.push(known.gateway.clone());
            }
        }
        gateways.sort_by_cached_key(|gateway| hash::stable(&gateway.name));
        gateways.truncate(COORDINATORS_MAX);
        gateways.sort_by(|one, other| one.name.cmp(&other.name));
        gateways
    }

    /// The gateways that reach no endpoint of some service, each with these services.
    pub fn cut_off(&self, now_ms: u64) -> BTreeSet<(Arc<str>, Arc<str>)> {
        let mut cut_off = BTreeSet::new();
        for (name, known) in &self.by_name {
            if known.at_ms + ANNOUNCED_MS <= now_ms {
                continue;
            }
            for service in &known.out_of_reach {
                cut_off.insert((name.clone(), service.clone()));
            }
        }
        cut_off
    }
}
