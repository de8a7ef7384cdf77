//! The slots of endpoints that a gateway may use, as their coordinators lease them.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use crate::message::{PeerGateway, SlotClaim, SlotClaims, SlotGrants, SlotStream};

/// How long a gateway uses its slots after it sent the latest claims that were answered.
pub(super) const VALID_MS: u64 = 1_200;
/// How often claims are sent at least while slots are leased.
const KEEP_INTERVAL_MS: u64 = 400;
/// How long a slot that no request needs any more stays wanted.
const WANTED_MS: u64 = 300;
/// How long an unused slot is kept for the next request, unless other gateways wait for it.
const KEPT_MS: u64 = 100;
/// How long after an endpoint was asked for a slot another one is asked too.
const NEXT_ENDPOINT_MS: u64 = 40;

/// The slots at one endpoint.
#[derive(Debug, Default)]
struct Lease {
    coordinator: Option<PeerGateway>,
    granted: u32,
    /// The slots of the latest claim.
    claimed: u32,
    /// The numbers of the claims that were not answered yet, with their slots.
    unanswered: VecDeque<(u64, u32)>,
    /// When a request first wanted the slot that is wanted until `wanted_until_ms`.
    wanted_at_ms: u64,
    wanted_until_ms: u64,
    used_at_ms: u64,
    is_contended: bool,
    rejected: u32,
}

/// The exchange with one coordinator.
#[derive(Debug, Default)]
struct Link {
    stream: SlotStream,
    number: u64,
    sent_at_ms: u64,
    /// When each message that was not answered yet was sent, by its number.
    unanswered: VecDeque<(u64, u64)>,
    valid_until_ms: u64,
}

/// The slots that this gateway may use, by endpoint.
#[derive(Debug)]
pub struct SlotLeases {
    gateway: Arc<str>,
    /// The latest stream that was opened.
    stream: SlotStream,
    leases: HashMap<Arc<str>, Lease>,
    links: HashMap<Arc<str>, Link>,
}

impl Lease {
    /// The slots that may be used: a claim for fewer slots holds from when it was sent.
    fn usable(&self) -> u32 {
        let claimed = self.unanswered.iter().map(|(_, slots)| *slots).min();
        claimed.map_or(self.granted, |claimed| claimed.min(self.granted))
    }

    fn is_from(&self, coordinator: &str) -> bool {
        self.coordinator.as_ref().is_some_and(|known| &*known.name == coordinator)
    }

    fn is_wanted(&self, now_ms: u64) -> bool {
        now_ms < self.wanted_until_ms
    }

    /// The slots to claim while `in_use` are used.
    fn target(&self, now_ms: u64, in_use: u32) -> u32 {
        let wanted = in_use + u32::from(self.is_wanted(now_ms));
        let is_kept = !self.is_contended && now_ms < self.used_at_ms + KEPT_MS;
        if is_kept { wanted.max(self.usable()) } else { wanted }
    }
}

impl SlotLeases {
    /// Creates a set without leases for the gateway `gateway`; `process` is drawn at random.
    pub fn new(gateway: Arc<str>, process: u64) -> Self {
        let stream = SlotStream { process, number: 0 };
        Self { gateway, stream, leases: HashMap::new(), links: HashMap::new() }
    }

    /// True if no slot is leased or wanted.
    pub fn is_empty(&self) -> bool {
        self.leases.is_empty()
    }

    /// True if slots of `endpoint` are leased or wanted.
    pub fn contains(&self, endpoint: &str) -> bool {
        self.leases.contains_key(endpoint)
    }

    /// True if one more request may be sent to `endpoint` while `in_use` run there.
    pub fn may_use(&self, now_ms: u64, endpoint: &str, in_use: u32) -> bool {
        let Some(lease) = self.leases.get(endpoint) else { return false };
        let link = lease.coordinator.as_ref().and_then(|it| self.links.get(&it.name));
        link.is_some_and(|link| now_ms < link.valid_until_ms) && in_use < lease.usable()
    }

    /// The slots granted at `endpoint`, for logs.
    pub fn granted(&self, endpoint: &str) -> u32 {
        self.leases.get(endpoint).map_or(0, |lease| lease.granted)
    }

    /// True if a request should want a slot at an endpoint other than `wanted`, those where it wants one
    /// already: there is none, or it has waited there for long.
    pub fn wants_next<'a>(&self, now_ms: u64, endpoints: impl Iterator<Item = &'a str>) -> bool {
        let mut latest_ms = None;
        for endpoint in endpoints {
            let Some(lease) = self.leases.get(endpoint) else { continue };
            if lease.is_wanted(now_ms) {
                latest_ms = latest_ms.max(Some(lease.wanted_at_ms));
            }
        }
        latest_ms.is_none_or(|at_ms| at_ms + NEXT_ENDPOINT_MS <= now_ms)
    }

    /// True if a slot at `endpoint` is wanted.
    pub fn is_wanted(&self, now_ms: u64, endpoint: &str) -> bool {
        self.leases.get(endpoint).is_some_and(|lease| lease.is_wanted(now_ms))
    }

    /// Wants one more slot at `endpoint`.
    pub fn want(&mut self, now_ms: u64, endpoint: &Arc<str>) {
        let lease = self.leases.entry(endpoint.clone()).or_default();
        if !lease.is_wanted(now_ms) {
            lease.wanted_at_ms = now_ms;
        }
        lease.wanted_until_ms = now_ms + WANTED_MS;
    }

    /// Wants no slot at `endpoint` any more, beyond those in use.
    pub fn unwant(&mut self, endpoint: &str) {
        if let Some(lease) = self.leases.get_mut(endpoint) {
            lease.wanted_until_ms = 0;
        }
    }

    /// Records that a request is sent to `endpoint`, or has ended there.
    pub fn note_use(&mut self, now_ms: u64, endpoint: &str) {
        if let Some(lease) = self.leases.get_mut(endpoint) {
            lease.used_at_ms = now_ms;
        }
    }

    /// Records that `endpoint` rejected a request because it is full, and returns the slot.
    pub fn note_rejected(&mut self, endpoint: &str) {
        if let Some(lease) = self.leases.get_mut(endpoint) {
            lease.rejected += 1;
            lease.wanted_until_ms = 0;
            lease.used_at_ms = 0;
        }
    }

    /// The claims to send now, by coordinator. `in_use` tells how many requests run at an endpoint,
    /// `coordinator` who leases its slots.
    pub fn take_claims(
        &mut self,
        now_ms: u64,
        in_use: impl Fn(&str) -> u32,
        coordinator: impl Fn(&str) -> Option<PeerGateway>,
    ) -> Vec<(PeerGateway, SlotClaims)> {
        let mut due: HashMap<Arc<str>, (PeerGateway, Vec<SlotClaim>)> = HashMap::new();
        for (endpoint, lease) in &mut self.leases {
            let Some(to) = coordinator(endpoint) else { continue };
            if !lease.is_from(&to.name) {
                let (wanted_at_ms, wanted_until_ms) = (lease.wanted_at_ms, lease.wanted_until_ms);
                let coordinator = Some(to.clone());
                let new = Lease { coordinator, wanted_at_ms, wanted_until_ms, ..Lease::default() };
                // The former coordinator takes the slots back when it learns that it is one no more.
                *lease = new;
            }
            let used = in_use(endpoint);
            let target = lease.target(now_ms, used);
            let is_kept = target > 0
                && self
                    .links
                    .get(&to.name)
                    .is_none_or(|link| link.sent_at_ms + KEEP_INTERVAL_MS <= now_ms);
            let has_changed = target != lease.claimed || lease.rejected > 0;
            if !has_changed && !is_kept {
                continue;
            }
            let (_, claims) = due.entry(to.name.clone()).or_insert_with(|| (to, Vec::new()));
            if has_changed {
                let rejected = std::mem::take(&mut lease.rejected);
                let endpoint = endpoint.clone();
                claims.push(SlotClaim { endpoint, wanted: target, in_use: used, rejected });
                lease.claimed = target;
            }
        }
        let mut taken = Vec::new();
        for (name, (to, claims)) in due {
            let link = self.links.entry(name).or_insert_with(|| {
                self.stream.number += 1;
                Link { stream: self.stream, ..Link::default() }
            });
            link.number += 1;
            link.sent_at_ms = now_ms;
            link.unanswered.push_back((link.number, now_ms));
            for claim in &claims {
                if let Some(lease) = self.leases.get_mut(&claim.endpoint)
                    && lease.is_from(&to.name)
                {
                    lease.unanswered.push_back((link.number, claim.wanted));
                }
            }
            let (gateway, stream, number) = (self.gateway.clone(), link.stream, link.number);
            taken.push((to, SlotClaims { gateway, stream, number, claims }));
        }
        self.leases.retain(|_, lease| {
            lease.claimed > 0 || lease.is_wanted(now_ms) || !lease.unanswered.is_empty()
        });
        taken
    }

    /// Applies the grants of a coordinator; returns the endpoints at which more slots may be used.
    pub fn apply(&mut self, coordinator: &str, grants: SlotGrants) -> Vec<Arc<str>> {
        let Some(link) = self.links.get_mut(coordinator) else { return Vec::new() };
        if link.stream != grants.stream {
            return Vec::new();
        }
        while let Some((number, sent_at_ms)) = link.unanswered.front().copied() {
            if number > grants.number {
                break;
            }
            link.valid_until_ms = link.valid_until_ms.max(sent_at_ms + VALID_MS);
            link.unanswered.pop_front();
        }
        let mut more = Vec::new();
        for grant in grants.grants {
            let Some(lease) = self.leases.get_mut(&grant.endpoint) else { continue };
            if !lease.is_from(coordinator) {
                continue;
            }
            let usable = lease.usable();
            while lease.unanswered.front().is_some_and(|(number, _)| *number <= grants.number) {
                lease.unanswered.pop_front();
            }
            lease.granted = grant.slots;
            lease.is_contended = grant.is_contended;
            if lease.usable() > usable {
                more.push(grant.endpoint);
            }
        }
        more
    }

    /// Drops the leases of a coordinator whose stream has ended, unless another one was opened since;
    /// they are claimed anew.
    pub fn lose(&mut self, coordinator: &str, stream: SlotStream) {
        if self.links.get(coordinator).is_none_or(|link| link.stream != stream) {
            return;
        }
        self.links.remove(coordinator);
        for lease in self.leases.values_mut() {
            if lease.is_from(coordinator) {
                lease.granted = 0;
                lease.claimed = 0;
                lease.unanswered.clear();
            }
        }
    }

    /// The coordinators, with their streams, that have left claims unanswered for so long that they
    /// count as lost.
    pub fn silent(&self, now_ms: u64) -> Vec<(Arc<str>, SlotStream)> {
        let mut silent = Vec::new();
        for (name, link) in &self.links {
            if link.unanswered.front().is_some_and(|(_, at_ms)| at_ms + VALID_MS <= now_ms) {
                silent.push((name.clone(), link.stream));
            }
        }
        silent
    }

    /// Removes an endpoint that has ended.
    pub fn remove(&mut self, endpoint: &str) {
        self.leases.remove(endpoint);
    }
}
