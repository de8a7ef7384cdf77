//! Weights that were renewed: getting the newest version, and taking older ones away in time.

use std::ops::Bound;
use std::sync::Arc;

use super::endpoint::{EndpointPlaces, PlaceState};
use super::{Placement, Want};
use crate::message::{OrderKind, WeightsName};

/// Requests within a short time above which a new version of weights is fetched ahead of a request.
const VERSION_MIN_REQUESTS: f64 = 0.2;
/// In this time every endpoint is looked at once for replaced versions; three times as much is left of
/// the allowed time when they are to be unloaded.
const LOOK_MS: u64 = 500;

impl Placement {
    /// Wants the newest version of what is used in an older one.
    ///
    /// Another endpoint gets it, so that the older version serves until then.
    pub(super) fn want_newest_versions(&mut self, now_ms: u64) {
        let mut wanted = Vec::new();
        let mut settled = Vec::new();
        for name in &self.renewed {
            if self.demand.recent(now_ms, name) < VERSION_MIN_REQUESTS {
                continue;
            }
            let newest = self.version_wanted(name);
            let holds_older = |endpoint: &&EndpointPlaces| {
                endpoint.places.get(name).is_some_and(|place| place.version < newest)
            };
            match self.endpoints.values().find(holds_older) {
                Some(endpoint) => wanted.push((endpoint.endpoint.service.clone(), name.clone())),
                None => settled.push(name.clone()),
            }
        }
        for name in settled {
            self.renewed.remove(&name);
        }
        for (service, name) in wanted {
            // No gateway asked, so that no availability zone goes before another one.
            let want = Want::further(now_ms, &name, Arc::from(""));
            self.wanted.entry((service, name)).or_insert(want);
        }
    }

    /// Unloads versions that were replaced so long ago that nothing may begin on them soon.
    ///
    /// Gateways stopped sending there before; what still waits has not begun, and the endpoint refuses
    /// it as not run. This holds whatever a gateway knows, and frees the place.
    pub(super) fn unload_replaced_versions(&mut self, now_ms: u64) {
        if self.versions.is_empty() {
            return;
        }
        self.look_for_replaced(now_ms);
        let mut due = Vec::new();
        // An endpoint takes one order at a time, so that those with several are looked at each time.
        for id in std::mem::take(&mut self.outdated) {
            let Some(endpoint) = self.endpoints.get(&id) else { continue };
            let Some(name) = self.replaced_at(now_ms, endpoint) else { continue };
            if endpoint.is_free_for_orders(now_ms) {
                due.push((id.clone(), name));
            }
            self.outdated.insert(id);
        }
        for (id, name) in due {
            self.order(now_ms, &id, OrderKind::Unload { name });
        }
    }

    /// Looks at as many endpoints as the time since the last look asks for.
    fn look_for_replaced(&mut self, now_ms: u64) {
        let passed_ms = now_ms.saturating_sub(self.looked_at_ms).min(LOOK_MS);
        self.looked_at_ms = now_ms;
        let looks = self.endpoints.len() * passed_ms as usize / LOOK_MS as usize + 1;
        let from = match &self.looked_until {
            Some(id) => Bound::Excluded(id.clone()),
            None => Bound::Unbounded,
        };
        let mut found = Vec::new();
        let mut older = Vec::new();
        let mut looked_until = None;
        for (id, endpoint) in self.endpoints.range((from, Bound::Unbounded)).take(looks) {
            looked_until = Some(id.clone());
            if self.replaced_at(now_ms, endpoint).is_some() {
                found.push(id.clone());
            }
            for (name, place) in &endpoint.places {
                if place.version < self.version_wanted(name) {
                    older.push(name.clone());
                }
            }
        }
        // After the last endpoint it begins again with the first one.
        self.looked_until = looked_until;
        self.outdated.extend(found);
        self.renewed.extend(older);
    }

    fn replaced_at(&self, now_ms: u64, endpoint: &EndpointPlaces) -> Option<WeightsName> {
        for (name, place) in &endpoint.places {
            let is_adapter = name.adapter.is_some();
            if is_adapter
                && place.state == PlaceState::Ready
                && place.version < self.versions.due(now_ms, name)
            {
                return Some(name.clone());
            }
        }
        None
    }
}
