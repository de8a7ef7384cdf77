//! The endpoints that run but cannot be reached from this gateway.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use rand::seq::IndexedRandom;

use super::fleet::Fleet;
use crate::message::RegisteredEndpoint;

impl Fleet {
    /// Marks `id` as out of reach; returns its address unless it is unknown or already marked.
    pub fn mark_out_of_reach(&mut self, id: &Arc<str>) -> Option<SocketAddr> {
        let address = self.endpoints.get(id)?.endpoint.address;
        self.out_of_reach.insert(id.clone()).then_some(address)
    }

    /// Marks `id` as in reach and ends its pause; returns false if it was not out of reach.
    pub fn mark_in_reach(&mut self, now_ms: u64, id: &str) -> bool {
        if !self.out_of_reach.remove(id) {
            return false;
        }
        if let Some(state) = self.endpoints.get_mut(id) {
            state.failures = 0;
            state.paused_until_ms = state.paused_until_ms.min(now_ms);
        }
        true
    }

    /// True if `id` runs but cannot be reached from this gateway.
    pub fn is_out_of_reach(&self, id: &str) -> bool {
        self.out_of_reach.contains(id)
    }

    /// True if any endpoint is out of reach.
    pub fn has_out_of_reach(&self) -> bool {
        !self.out_of_reach.is_empty()
    }

    /// True if `service` has endpoints and all that do not leave are out of reach.
    pub fn is_service_out_of_reach(&self, now_ms: u64, service: &str) -> bool {
        if self.out_of_reach.is_empty() {
            return false;
        }
        let mut has_any = false;
        for id in self.by_service.get(service).into_iter().flatten() {
            if self.endpoints.get(id).is_none_or(|state| state.is_leaving(now_ms)) {
                continue;
            }
            if !self.out_of_reach.contains(id) {
                return false;
            }
            has_any = true;
        }
        has_any
    }

    /// The services whose endpoints are all out of reach.
    pub fn services_out_of_reach(&self, now_ms: u64) -> Vec<Arc<str>> {
        let is_out = |service: &&Arc<str>| self.is_service_out_of_reach(now_ms, service);
        self.by_service.keys().filter(is_out).cloned().collect()
    }

    /// True if the endpoints of any service are all out of reach.
    pub fn is_cut_off(&self, now_ms: u64) -> bool {
        self.by_service.keys().any(|service| self.is_service_out_of_reach(now_ms, service))
    }

    /// The endpoints that are out of reach, by service.
    pub fn out_of_reach(&self) -> BTreeMap<Arc<str>, Vec<RegisteredEndpoint>> {
        let mut by_service: BTreeMap<Arc<str>, Vec<RegisteredEndpoint>> = BTreeMap::new();
        for id in &self.out_of_reach {
            let Some(state) = self.endpoints.get(id) else { continue };
            let endpoint = state.endpoint.clone();
            by_service.entry(endpoint.service.clone()).or_default().push(endpoint);
        }
        by_service
    }

    /// The ids of the endpoints of `service`.
    pub fn in_service(&self, service: &str) -> Vec<Arc<str>> {
        self.by_service.get(service).cloned().unwrap_or_default()
    }

    /// The endpoints of `service` that are not known to be out of reach, except `suspects`.
    pub fn others_in_reach(
        &self,
        service: &str,
        suspects: &[RegisteredEndpoint],
    ) -> Vec<RegisteredEndpoint> {
        let mut others = Vec::new();
        for id in self.by_service.get(service).into_iter().flatten() {
            let Some(state) = self.endpoints.get(id) else { continue };
            let is_suspect = suspects.iter().any(|suspect| suspect.id == *id);
            if !is_suspect && !self.out_of_reach.contains(id) {
                others.push(state.endpoint.clone());
            }
        }
        others
    }

    /// True if any endpoint has started a response since `at_ms`.
    pub fn has_any_answered_since(&self, at_ms: u64) -> bool {
        self.endpoints.values().any(|state| !state.waiting.is_silent_since(at_ms))
    }

    /// Returns up to `max` endpoints, chosen at random, other than `ids`.
    pub fn sample_except(&mut self, ids: &[Arc<str>], max: usize) -> Vec<RegisteredEndpoint> {
        let mut others = Vec::new();
        for (id, state) in &self.endpoints {
            if !ids.contains(id) {
                others.push(state.endpoint.clone());
            }
        }
        others.sample(&mut self.random, max).cloned().collect()
    }

    /// Returns up to `max` endpoints of other services than `service`, chosen at random.
    pub fn sample_elsewhere(&mut self, service: &str, max: usize) -> Vec<RegisteredEndpoint> {
        let mut others = Vec::new();
        for state in self.endpoints.values() {
            if &*state.endpoint.service != service {
                others.push(state.endpoint.clone());
            }
        }
        others.sample(&mut self.random, max).cloned().collect()
    }

    /// Includes `id` in the next report of failing endpoints.
    pub fn mark_failing(&mut self, id: &Arc<str>) {
        self.failing.insert(id.clone());
    }
}
