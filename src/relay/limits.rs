//! The rate limits that endpoints advertise, and this gateway's share of each.

use std::collections::HashMap;
use std::sync::Arc;

use super::border::RateLimit;
use super::gateway_count::GatewayCount;
use crate::policy::endpoint_limit::{EndpointLimit, OtherGateways};
use crate::policy::recent_max::RecentMax;

/// The window over which the highest reported demand of the other gateways counts: it covers their
/// bursts and the requests in flight. A gateway that was disconnected within it does not rely on
/// the reported demand.
const OTHERS_WINDOW_MS: u64 = 4_000;

/// A change of an endpoint's rate limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum LimitChange {
    /// The endpoint advertised its first limit or a different one.
    Set {
        /// Requests per second.
        per_s: f64,
    },
    /// The endpoint no longer advertises a limit.
    Ended,
}

#[derive(Debug)]
struct LimitedEndpoint {
    limit: EndpointLimit,
    advertised_at_ms: u64,
    reported_per_min: u32,
}

/// The rate limits of all endpoints.
#[derive(Debug)]
pub(super) struct EndpointLimits {
    by_endpoint: HashMap<Arc<str>, LimitedEndpoint>,
    /// The demand of the other gateways by endpoint, in requests per minute.
    others: HashMap<Arc<str>, RecentMax>,
    gateways: GatewayCount,
}

impl EndpointLimits {
    pub(super) fn new() -> Self {
        Self {
            by_endpoint: HashMap::new(),
            others: HashMap::new(),
            gateways: GatewayCount::new(OTHERS_WINDOW_MS),
        }
    }

    pub(super) fn set_gateways(&mut self, now_ms: u64, gateways: u32) {
        self.gateways.set_reported(now_ms, gateways);
    }

    pub(super) fn note_confirmed(&mut self, sent_at_ms: u64) {
        self.gateways.note_confirmed(sent_at_ms);
    }

    /// Applies the rate limit in an endpoint's response to a request sent at `sent_at_ms`.
    pub(super) fn note(
        &mut self,
        now_ms: u64,
        endpoint: &Arc<str>,
        sent_at_ms: u64,
        rate_limit: RateLimit,
    ) -> Option<LimitChange> {
        match rate_limit {
            RateLimit::PerSecond(per_s) => self.set(now_ms, endpoint, per_s),
            RateLimit::None => self.end(endpoint, sent_at_ms),
            RateLimit::Unreadable => None,
        }
    }

    fn set(&mut self, now_ms: u64, endpoint: &Arc<str>, per_s: f64) -> Option<LimitChange> {
        let Some(limited) = self.by_endpoint.get_mut(endpoint) else {
            let limit = EndpointLimit::new(now_ms, per_s);
            let change = LimitChange::Set { per_s: limit.per_s() };
            let limited = LimitedEndpoint { limit, advertised_at_ms: now_ms, reported_per_min: 0 };
            self.by_endpoint.insert(endpoint.clone(), limited);
            return Some(change);
        };
        limited.advertised_at_ms = now_ms;
        let previous_per_s = limited.limit.per_s();
        limited.limit.set(per_s);
        let per_s = limited.limit.per_s();
        (per_s.to_bits() != previous_per_s.to_bits()).then_some(LimitChange::Set { per_s })
    }

    /// Ends a limit, unless the request was sent before the limit was last advertised.
    fn end(&mut self, endpoint: &Arc<str>, sent_at_ms: u64) -> Option<LimitChange> {
        let limited = self.by_endpoint.get(endpoint)?;
        if sent_at_ms < limited.advertised_at_ms {
            return None;
        }
        self.by_endpoint.remove(endpoint);
        Some(LimitChange::Ended)
    }

    /// Sets the demand of all other gateways for an endpoint, in requests per minute.
    pub(super) fn set_others(&mut self, now_ms: u64, endpoint: &Arc<str>, per_min: u32) {
        if let Some(others) = self.others.get_mut(endpoint) {
            others.set(now_ms, per_min);
            return;
        }
        if per_min == 0 {
            return;
        }
        let mut others = RecentMax::new(OTHERS_WINDOW_MS);
        others.set(now_ms, per_min);
        self.others.insert(endpoint.clone(), others);
    }

    /// Sets the demand of the other gateways to zero; earlier values expire with the window.
    pub(super) fn forget_others(&mut self, now_ms: u64) {
        for others in self.others.values_mut() {
            others.set(now_ms, 0);
        }
        self.others.retain(|_, others| others.get(now_ms).is_some_and(|per_min| per_min > 0));
    }

    /// Removes a deregistered endpoint.
    pub(super) fn remove(&mut self, endpoint: &str) {
        self.by_endpoint.remove(endpoint);
        self.others.remove(endpoint);
    }

    /// Counts a request that could go to `endpoint` towards the demand.
    pub(super) fn note_request(&mut self, now_ms: u64, endpoint: &str) {
        if let Some(limited) = self.by_endpoint.get_mut(endpoint) {
            limited.limit.note_request(now_ms);
        }
    }

    /// The time until the next request may go to `endpoint`; 0 if it may go now.
    ///
    /// `draw` is random, from 0 to 1.
    pub(super) fn wait_ms(&mut self, now_ms: u64, endpoint: &str, draw: f64) -> u64 {
        let Some(limited) = self.by_endpoint.get_mut(endpoint) else { return 0 };
        let is_in_touch = self.gateways.is_in_touch(now_ms);
        let reported = self.others.get_mut(endpoint).and_then(|others| others.get(now_ms));
        let others = OtherGateways {
            gateways: self.gateways.largest(now_ms).unwrap_or(1),
            demand_per_min: is_in_touch.then_some(reported.unwrap_or(0)),
        };
        limited.limit.wait_ms(now_ms, others, draw)
    }

    /// Consumes the token of a request that is sent to `endpoint`.
    pub(super) fn take(&mut self, endpoint: &str) {
        if let Some(limited) = self.by_endpoint.get_mut(endpoint) {
            limited.limit.take();
        }
    }

    /// This gateway's demand for `endpoint` in requests per minute; 0 without a limit.
    pub(super) fn demand_per_min(&self, endpoint: &str) -> u32 {
        self.by_endpoint.get(endpoint).map_or(0, |limited| limited.reported_per_min)
    }

    /// The endpoints for which this gateway's demand changed since the last call.
    pub(super) fn changed_demands(&mut self, now_ms: u64) -> Vec<Arc<str>> {
        let mut changed = Vec::new();
        for (endpoint, limited) in &mut self.by_endpoint {
            let per_min = limited.limit.demand_per_min(now_ms);
            if per_min == limited.reported_per_min {
                continue;
            }
            limited.reported_per_min = per_min;
            changed.push(endpoint.clone());
        }
        changed
    }

    pub(super) fn is_empty(&self) -> bool {
        self.by_endpoint.is_empty()
    }
}
