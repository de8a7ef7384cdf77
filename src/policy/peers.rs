//! The gateways that can send requests for this one, and the choice among them.

use std::sync::Arc;

use crate::message::PeerGateway;

/// How many more requests may be in progress through a gateway of the own availability zone than
/// through one of another zone: traffic between zones is charged.
const ZONE_PREFERENCE_REQUESTS: u32 = 4;
/// How long a gateway that refused is left out.
const REFUSED_PAUSE_MS: u64 = 300;
/// How long a gateway that could not be reached, or fell silent, is left out.
const LOST_PAUSE_MS: u64 = 2_000;

/// A gateway as this one knows it.
#[derive(Debug, Clone)]
struct KnownPeer {
    gateway: PeerGateway,
    /// Requests of this gateway that it works on.
    in_progress: u32,
    left_out_until_ms: u64,
}

/// The other gateways known to a gateway.
#[derive(Debug)]
pub struct PeerGateways {
    name: Arc<str>,
    zone: Arc<str>,
    peers: Vec<KnownPeer>,
}

impl PeerGateways {
    /// No other gateways are known to the gateway `name` in `zone`.
    pub fn new(name: Arc<str>, zone: Arc<str>) -> Self {
        Self { name, zone, peers: Vec::new() }
    }

    /// Replaces the known gateways; what is known of those that stay is kept.
    pub fn set(&mut self, gateways: Vec<PeerGateway>) {
        let mut peers = Vec::new();
        for gateway in gateways {
            if gateway.name == self.name {
                continue;
            }
            let known = self.peers.iter().find(|known| known.gateway == gateway).cloned();
            let new = KnownPeer { gateway, in_progress: 0, left_out_until_ms: 0 };
            peers.push(known.unwrap_or(new));
        }
        self.peers = peers;
    }

    /// Returns the gateway to send through, other than those of `tried`; `draw` is random, from 0
    /// to 1, and decides among equals.
    pub fn choose(&self, now_ms: u64, tried: &[Arc<str>], draw: f64) -> Option<PeerGateway> {
        let mut best: Vec<&KnownPeer> = Vec::new();
        let mut least = u32::MAX;
        for peer in &self.peers {
            if peer.left_out_until_ms > now_ms || tried.contains(&peer.gateway.name) {
                continue;
            }
            let is_near = peer.gateway.zone == self.zone;
            let cost = peer.in_progress + if is_near { 0 } else { ZONE_PREFERENCE_REQUESTS };
            if cost < least {
                least = cost;
                best.clear();
            }
            if cost == least {
                best.push(peer);
            }
        }
        let position = (draw * best.len() as f64) as usize;
        best.get(position.min(best.len().saturating_sub(1))).map(|peer| peer.gateway.clone())
    }

    /// Returns up to `max` gateways to ask for their view, by turns of another availability zone and
    /// of the own one: gateways of one zone often lose the same connections. `draws` are random, from
    /// 0 to 1.
    pub fn to_ask(
        &self,
        now_ms: u64,
        max: usize,
        mut draws: impl FnMut() -> f64,
    ) -> Vec<PeerGateway> {
        let (mut near, mut far) = (Vec::new(), Vec::new());
        for peer in &self.peers {
            if peer.left_out_until_ms > now_ms {
                continue;
            }
            let group = if peer.gateway.zone == self.zone { &mut near } else { &mut far };
            group.push(peer.gateway.clone());
        }
        let mut asked = Vec::new();
        while asked.len() < max && !(near.is_empty() && far.is_empty()) {
            for group in [&mut far, &mut near] {
                if group.is_empty() || asked.len() == max {
                    continue;
                }
                let position = (draws() * group.len() as f64) as usize;
                asked.push(group.swap_remove(position.min(group.len() - 1)));
            }
        }
        asked
    }

    /// Records that a request is sent through `name`.
    pub fn start(&mut self, name: &str) {
        if let Some(peer) = self.find(name) {
            peer.in_progress += 1;
        }
    }

    /// Records that a request sent through `name` has ended.
    pub fn finish(&mut self, name: &str) {
        if let Some(peer) = self.find(name) {
            peer.in_progress = peer.in_progress.saturating_sub(1);
        }
    }

    /// Records that `name` refused to send a request.
    pub fn note_refused(&mut self, now_ms: u64, name: &str) {
        self.leave_out(name, now_ms + REFUSED_PAUSE_MS);
    }

    /// Records that `name` could not be reached, or fell silent.
    pub fn note_lost(&mut self, now_ms: u64, name: &str) {
        self.leave_out(name, now_ms + LOST_PAUSE_MS);
    }

    fn leave_out(&mut self, name: &str, until_ms: u64) {
        if let Some(peer) = self.find(name) {
            peer.left_out_until_ms = peer.left_out_until_ms.max(until_ms);
        }
    }

    fn find(&mut self, name: &str) -> Option<&mut KnownPeer> {
        self.peers.iter_mut().find(|peer| &*peer.gateway.name == name)
    }

    /// The number of known gateways.
    pub fn len(&self) -> usize {
        self.peers.len()
    }

    /// True if no other gateway is known.
    pub fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }
}
