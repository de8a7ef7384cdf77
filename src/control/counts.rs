//! Sums the loads that gateway sessions report, by endpoint.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::session::Session;
use crate::message::{EndpointLoad, Load};

/// How often all sums are recomputed, which drops loads of ended sessions.
const FULL_SUM_INTERVAL_MS: u64 = 1_000;

/// Tracks which endpoints' loads have changed since they were last summed.
#[derive(Debug, Default)]
pub struct Counts {
    changed: BTreeSet<Arc<str>>,
    /// The endpoints of the last full sum.
    all: BTreeSet<Arc<str>>,
    full_sum_due_ms: u64,
}

impl Counts {
    /// Creates an empty tracker.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the loads reported by `session`.
    pub fn update(&mut self, session: &mut Session, loads: Vec<EndpointLoad>) {
        for EndpointLoad { endpoint, load } in loads {
            self.changed.insert(endpoint.clone());
            session.loads.insert(endpoint, load);
        }
    }

    /// Marks an endpoint whose load changed outside of these sessions.
    pub fn mark_changed(&mut self, endpoint: &Arc<str>) {
        self.changed.insert(endpoint.clone());
    }

    /// Marks the endpoints of a session that has ended.
    pub fn mark_session_ended(&mut self, session: &Session) {
        self.changed.extend(session.loads.keys().cloned());
    }

    /// Makes the next call of `totals` sum all loads, for a session that has just opened.
    pub fn mark_all_changed(&mut self) {
        self.full_sum_due_ms = 0;
    }

    /// Returns the sums over `sessions` for changed endpoints. Periodically sums all endpoints,
    /// including those named only by `other_endpoints`.
    pub fn totals<'a>(
        &mut self,
        now_ms: u64,
        sessions: impl Iterator<Item = &'a Session> + Clone,
        other_endpoints: impl Iterator<Item = &'a Arc<str>>,
    ) -> BTreeMap<Arc<str>, Load> {
        let mut due = std::mem::take(&mut self.changed);
        if now_ms >= self.full_sum_due_ms {
            self.full_sum_due_ms = now_ms + FULL_SUM_INTERVAL_MS;
            let mut all: BTreeSet<Arc<str>> = other_endpoints.cloned().collect();
            for session in sessions.clone() {
                all.extend(session.loads.keys().cloned());
            }
            // Endpoints that no session reports any more are reported once, as idle.
            due.extend(std::mem::replace(&mut self.all, all.clone()));
            due.extend(all);
        }
        let mut totals = BTreeMap::new();
        for endpoint in due {
            let mut total = Load::default();
            for session in sessions.clone() {
                total =
                    total.saturating_add(session.loads.get(&endpoint).copied().unwrap_or_default());
            }
            totals.insert(endpoint, total);
        }
        totals
    }
}
