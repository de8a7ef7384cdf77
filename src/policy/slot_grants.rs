//! Leases the slots of endpoints to gateways, at the coordinator of these endpoints.
//!
//! The slots granted at an endpoint are never more than it has, so an endpoint rejects no request
//! that was sent under a lease. Gateways that wait for a slot get one each, in turn.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::sync::Arc;

use crate::message::{SlotClaim, SlotClaims, SlotGrant, SlotGrants, SlotStream};

/// How long the slots of a gateway that sends nothing stay leased to it. Longer than gateways use them
/// without an answer.
const EXPIRY_MS: u64 = 2_500;
/// The same for a gateway that has leased nothing; its next claims then need another stream.
const IDLE_EXPIRY_MS: u64 = 60_000;
/// How long a rejection counts as a slot that is in use without a lease: a request whose client has
/// left may still run.
const REJECTED_MS: u64 = 1_000;

/// What the coordinator knows of the endpoints whose slots it leases.
pub trait CoordinatedEndpoints {
    /// True if `endpoint` is registered.
    fn is_known(&self, endpoint: &str) -> bool;

    /// True if this gateway coordinates `endpoint`, as far as it knows.
    fn is_coordinated(&self, endpoint: &str) -> bool;

    /// The slots that may be leased at `endpoint`; `None` if none may be, because this gateway does not
    /// coordinate it or does not know yet which slots are in use there.
    fn leasable_slots(&self, endpoint: &str) -> Option<u32>;
}

/// The slots of one gateway at one endpoint.
#[derive(Debug, Clone, Copy, Default)]
struct Share {
    wanted: u32,
    granted: u32,
}

/// The slots of one endpoint.
#[derive(Debug, Default)]
struct Pool {
    shares: BTreeMap<Arc<str>, Share>,
    /// The gateways that want more slots, in the order of their turns.
    waiting: VecDeque<Arc<str>>,
    rejected_at_ms: VecDeque<u64>,
    /// True once this gateway has known that it coordinates the endpoint: claims also arrive before.
    is_coordinated: bool,
}

/// A gateway that has claimed slots.
#[derive(Debug)]
struct Holder {
    heard_at_ms: u64,
    stream: SlotStream,
    /// The number of its latest claims.
    number: u64,
}

/// The slots that this coordinator leases.
#[derive(Debug, Default)]
pub struct SlotGrantor {
    pools: HashMap<Arc<str>, Pool>,
    holders: HashMap<Arc<str>, Holder>,
}

/// The grants that changed, by gateway.
type Changed = BTreeMap<Arc<str>, BTreeSet<Arc<str>>>;

impl Pool {
    /// Applies a claim of `gateway`.
    fn claim(&mut self, now_ms: u64, gateway: &Arc<str>, claim: &SlotClaim) {
        for _ in 0..claim.rejected {
            self.rejected_at_ms.push_back(now_ms);
        }
        if claim.wanted == 0 {
            self.remove(gateway);
            return;
        }
        let share = self.shares.entry(gateway.clone()).or_default();
        share.wanted = claim.wanted;
        // Requests that run already need no permission.
        share.granted = share.granted.max(claim.in_use).min(claim.wanted);
        let is_waiting = self.waiting.contains(gateway);
        if share.granted < share.wanted && !is_waiting {
            self.waiting.push_back(gateway.clone());
        } else if share.granted >= share.wanted && is_waiting {
            self.waiting.retain(|waiting| waiting != gateway);
        }
    }

    fn remove(&mut self, gateway: &str) {
        self.shares.remove(gateway);
        self.waiting.retain(|waiting| &**waiting != gateway);
    }

    /// Grants free slots to the gateways that wait; adds the changed grants of `endpoint`.
    fn distribute(&mut self, now_ms: u64, endpoint: &Arc<str>, slots: u32, changed: &mut Changed) {
        while self.rejected_at_ms.front().is_some_and(|at_ms| at_ms + REJECTED_MS <= now_ms) {
            self.rejected_at_ms.pop_front();
        }
        let slots = slots.saturating_sub(self.rejected_at_ms.len() as u32);
        let mut granted: u32 = self.shares.values().map(|share| share.granted).sum();
        while granted < slots
            && let Some(gateway) = self.waiting.pop_front()
        {
            let Some(share) = self.shares.get_mut(&gateway) else { continue };
            share.granted += 1;
            granted += 1;
            changed.entry(gateway.clone()).or_default().insert(endpoint.clone());
            if share.granted < share.wanted {
                self.waiting.push_back(gateway);
            }
        }
    }
}

impl SlotGrantor {
    /// Creates a grantor that has leased nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// True if no gateway has a lease.
    pub fn is_empty(&self) -> bool {
        self.holders.is_empty()
    }

    /// True if the gateway has claims that have not expired.
    pub fn has_holder(&self, gateway: &str) -> bool {
        self.holders.contains_key(gateway)
    }

    /// Applies the claims of a gateway; returns the grants to send, by gateway. There is always one
    /// for the gateway itself, which tells it that its claims have arrived. `None` if earlier claims of
    /// the gateway have expired, so that it has to send all of them on a new stream, or if it has opened
    /// another one since.
    pub fn claim(
        &mut self,
        now_ms: u64,
        claims: SlotClaims,
        endpoints: &dyn CoordinatedEndpoints,
    ) -> Option<Vec<(Arc<str>, SlotGrants)>> {
        let SlotClaims { gateway, stream, number, claims } = claims;
        let known = self.holders.get(&gateway).map(|holder| holder.stream);
        if known.is_some_and(|known| stream.is_before(&known))
            || known != Some(stream) && number != 1
        {
            return None;
        }
        let mut changed = Changed::new();
        let mut touched: BTreeSet<Arc<str>> = BTreeSet::new();
        if number == 1 {
            touched.extend(self.remove_holder(&gateway));
        }
        self.holders.insert(gateway.clone(), Holder { heard_at_ms: now_ms, stream, number });
        let answered = changed.entry(gateway.clone()).or_default();
        for claim in claims {
            let pool = self.pools.entry(claim.endpoint.clone()).or_default();
            pool.claim(now_ms, &gateway, &claim);
            answered.insert(claim.endpoint.clone());
            touched.insert(claim.endpoint);
        }
        for endpoint in touched {
            self.distribute(now_ms, &endpoint, endpoints, &mut changed);
        }
        Some(self.grants(changed))
    }

    /// Ends the leases of gateways that have fallen silent, and grants what has become free.
    pub fn advance(
        &mut self,
        now_ms: u64,
        endpoints: &dyn CoordinatedEndpoints,
    ) -> Vec<(Arc<str>, SlotGrants)> {
        let mut silent = Vec::new();
        for (gateway, holder) in &self.holders {
            let has_shares = self.pools.values().any(|pool| pool.shares.contains_key(gateway));
            let expiry_ms = if has_shares { EXPIRY_MS } else { IDLE_EXPIRY_MS };
            if holder.heard_at_ms + expiry_ms <= now_ms {
                silent.push(gateway.clone());
            }
        }
        for gateway in silent {
            self.remove_holder(&gateway);
            self.holders.remove(&gateway);
        }
        let mut changed = self.revoke_lost(endpoints);
        let waited_for: Vec<Arc<str>> = self.pools.keys().cloned().collect();
        for endpoint in waited_for {
            self.distribute(now_ms, &endpoint, endpoints, &mut changed);
        }
        self.pools.retain(|endpoint, pool| {
            let is_used = !pool.shares.is_empty() || !pool.rejected_at_ms.is_empty();
            is_used && endpoints.is_known(endpoint)
        });
        self.grants(changed)
    }

    /// Takes back the slots of endpoints that another gateway coordinates now: those who do not know it
    /// yet would continue to use them.
    fn revoke_lost(&mut self, endpoints: &dyn CoordinatedEndpoints) -> Changed {
        let mut changed = Changed::new();
        for (endpoint, pool) in &mut self.pools {
            let is_coordinated = endpoints.is_coordinated(endpoint);
            if pool.is_coordinated && !is_coordinated {
                for gateway in std::mem::take(&mut pool.shares).into_keys() {
                    changed.entry(gateway).or_default().insert(endpoint.clone());
                }
                pool.waiting.clear();
            }
            pool.is_coordinated = is_coordinated;
        }
        changed
    }

    /// Removes all claims of a gateway; returns the endpoints that they were for.
    fn remove_holder(&mut self, gateway: &str) -> Vec<Arc<str>> {
        let mut left = Vec::new();
        for (endpoint, pool) in &mut self.pools {
            if pool.shares.contains_key(gateway) {
                pool.remove(gateway);
                left.push(endpoint.clone());
            }
        }
        left
    }

    fn distribute(
        &mut self,
        now_ms: u64,
        endpoint: &Arc<str>,
        endpoints: &dyn CoordinatedEndpoints,
        changed: &mut Changed,
    ) {
        let Some(pool) = self.pools.get_mut(endpoint) else { return };
        let was_contended = !pool.waiting.is_empty();
        pool.distribute(now_ms, endpoint, endpoints.leasable_slots(endpoint).unwrap_or(0), changed);
        if !was_contended || pool.waiting.is_empty() {
            return;
        }
        // Gateways that hold slots which they do not use return them.
        for (gateway, share) in &pool.shares {
            if share.granted > 0 {
                changed.entry(gateway.clone()).or_default().insert(endpoint.clone());
            }
        }
    }

    fn grants(&self, changed: Changed) -> Vec<(Arc<str>, SlotGrants)> {
        let mut all = Vec::new();
        for (gateway, endpoints) in changed {
            let Some(holder) = self.holders.get(&gateway) else { continue };
            let mut grants = Vec::new();
            for endpoint in endpoints {
                let pool = self.pools.get(&endpoint);
                let share = pool.and_then(|pool| pool.shares.get(&gateway));
                let slots = share.map_or(0, |share| share.granted);
                let is_contended = pool.is_some_and(|pool| !pool.waiting.is_empty());
                grants.push(SlotGrant { endpoint, slots, is_contended });
            }
            let Holder { stream, number, .. } = *holder;
            all.push((gateway, SlotGrants { stream, number, grants }));
        }
        all
    }
}
