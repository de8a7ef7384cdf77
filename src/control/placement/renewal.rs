//! Handles updates of weights: loads the newest version and unloads replaced ones in time.

use std::ops::Bound;
use std::sync::Arc;

use super::endpoint::{EndpointState, WeightsState};
use super::{Placement, PlacementRequest, Wanted};
use crate::message::{OrderKind, WeightsName};

/// The recent requests above which a new version is loaded before any gateway asks for it.
const VERSION_MIN_REQUESTS: f64 = 0.2;
/// The period in which each endpoint is scanned once for replaced versions. Three such periods
/// remain of the allowed time when replaced versions become due for unloading.
const SCAN_PERIOD_MS: u64 = 500;

impl Placement {
    /// Requests the newest version of weights that are in use in an older version.
    ///
    /// A different endpoint loads the newest version, so that the older one serves requests until
    /// then.
    pub(super) fn request_newest_versions(&mut self, now_ms: u64) {
        let mut wanted = Vec::new();
        let mut settled = Vec::new();
        for name in &self.updated_weights {
            if self.demand.recent(now_ms, name) < VERSION_MIN_REQUESTS {
                continue;
            }
            let newest = self.required_version(name);
            let holds_older = |endpoint: &&EndpointState| {
                endpoint.places.get(name).is_some_and(|place| place.version < newest)
            };
            match self.endpoints.values().find(holds_older) {
                Some(endpoint) => wanted.push((endpoint.endpoint.service.clone(), name.clone())),
                None => settled.push(name.clone()),
            }
        }
        for name in settled {
            self.updated_weights.remove(&name);
        }
        for (service, name) in wanted {
            // No gateway asked, so no availability zone is preferred.
            let request = PlacementRequest::additional(now_ms, &name, Arc::from(""));
            self.wanted.entry(Wanted::new(service, name)).or_insert(request);
        }
    }

    /// Unloads versions that were replaced so long ago that no request may begin on them any more.
    ///
    /// Gateways stopped sending requests to these versions earlier. Requests that still wait have
    /// not begun, and the endpoint refuses them as not run. The limit thus holds for gateways with
    /// stale information too, and the memory is freed.
    pub(super) fn unload_replaced_versions(&mut self, now_ms: u64) {
        if self.versions.is_empty() {
            return;
        }
        self.scan_for_replaced(now_ms);
        let mut due = Vec::new();
        // An endpoint carries out one order at a time, so endpoints with several replaced versions
        // are visited in each pass.
        for id in std::mem::take(&mut self.holding_replaced) {
            let Some(endpoint) = self.endpoints.get(&id) else { continue };
            let Some(name) = self.find_replaced(now_ms, endpoint) else { continue };
            if endpoint.is_free_for_orders(now_ms) {
                due.push((id.clone(), name));
            }
            self.holding_replaced.insert(id);
        }
        for (id, name) in due {
            self.order(now_ms, &id, OrderKind::Unload { name });
        }
    }

    /// Scans as many endpoints as are due for the time since the last scan.
    fn scan_for_replaced(&mut self, now_ms: u64) {
        let passed_ms = now_ms.saturating_sub(self.scanned_at_ms).min(SCAN_PERIOD_MS);
        self.scanned_at_ms = now_ms;
        let scan_count = self.endpoints.len() * passed_ms as usize / SCAN_PERIOD_MS as usize + 1;
        let from = match &self.scan_cursor {
            Some(id) => Bound::Excluded(id.clone()),
            None => Bound::Unbounded,
        };
        let mut found = Vec::new();
        let mut older = Vec::new();
        let mut scan_cursor = None;
        for (id, endpoint) in self.endpoints.range((from, Bound::Unbounded)).take(scan_count) {
            scan_cursor = Some(id.clone());
            if self.find_replaced(now_ms, endpoint).is_some() {
                found.push(id.clone());
            }
            for (name, place) in &endpoint.places {
                if place.version < self.required_version(name) {
                    older.push(name.clone());
                }
            }
        }
        // After the last endpoint, the scan starts again from the first.
        self.scan_cursor = scan_cursor;
        self.holding_replaced.extend(found);
        self.updated_weights.extend(older);
    }

    fn find_replaced(&self, now_ms: u64, endpoint: &EndpointState) -> Option<WeightsName> {
        for (name, place) in &endpoint.places {
            let is_adapter = name.adapter.is_some();
            if is_adapter
                && place.state == WeightsState::Ready
                && place.version < self.versions.due(now_ms, name)
            {
                return Some(name.clone());
            }
        }
        None
    }
}
