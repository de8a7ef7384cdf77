//! Weights that were renewed: getting the newest version, and taking older ones away in time.

use std::ops::Bound;
use std::sync::Arc;

use super::endpoint::{EndpointPlaces, PlaceState};
use super::{Placement, Want};
use crate::message::{OrderKind, WeightsName};

/// Requests within a short time above which a new version of weights is fetched ahead of a request.
const VERSION_MIN_REQUESTS: f64 = 0.2;
/// Passes in which every endpoint is looked at once for replaced versions; a pass comes every 20 ms or
/// later, and more than a second of the allowed time is left.
const PASSES_PER_LOOK: usize = 10;

impl Placement {
    /// Wants the newest version of what is used in an older one.
    ///
    /// Another endpoint gets it, so that the older version serves until then.
    pub(super) fn want_newest_versions(&mut self, now_ms: u64) {
        let mut wanted = Vec::new();
        for name in self.versions.names() {
            if self.demand.recent(now_ms, name) < VERSION_MIN_REQUESTS {
                continue;
            }
            let newest = self.version_wanted(name);
            for endpoint in self.endpoints.values() {
                let Some(place) = endpoint.places.get(name) else { continue };
                if place.version < newest {
                    wanted.push((endpoint.endpoint.service.clone(), name.clone()));
                    break;
                }
            }
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
        let looks = self.endpoints.len() / PASSES_PER_LOOK + 1;
        let from = match &self.looked_until {
            Some(id) => Bound::Excluded(id.clone()),
            None => Bound::Unbounded,
        };
        let mut due = Vec::new();
        let mut looked_until = None;
        for (id, endpoint) in self.endpoints.range((from, Bound::Unbounded)).take(looks) {
            looked_until = Some(id.clone());
            let Some(name) = self.replaced_at(now_ms, endpoint) else { continue };
            due.push((id.clone(), name));
        }
        // After the last endpoint it begins again with the first one.
        self.looked_until = looked_until;
        for (id, name) in due {
            self.order(now_ms, &id, OrderKind::Unload { name });
        }
    }

    fn replaced_at(&self, now_ms: u64, endpoint: &EndpointPlaces) -> Option<WeightsName> {
        if !endpoint.is_free_for_orders(now_ms) {
            return None;
        }
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
