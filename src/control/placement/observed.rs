//! Applies the reports and heartbeats of an endpoint to its recorded state.

use super::endpoint::{
    EndpointState, FIRST_CHECK_MS, HEARTBEAT_MAX_AGE_MS, REPORT_LAG_MS, WeightsState,
};
use crate::message::{EngineReport, Holding, Placed, Weights};

impl EndpointState {
    pub(super) fn apply_report(
        &mut self,
        now_ms: u64,
        report: &EngineReport,
        placed: &mut Vec<Placed>,
    ) {
        self.sequence = Some(report.sequence);
        self.drop_unaccepted_loads(now_ms, report, placed);
        self.complete_unloads(now_ms, report);
        self.reconcile(now_ms, &report.holds, 0, placed);
        for coming in &report.coming {
            if !self.places.contains_key(&coming.name) {
                let state = WeightsState::Loading { check_at_ms: now_ms, pause_ms: FIRST_CHECK_MS };
                self.set_state(now_ms, &coming.name, coming.version, state);
            }
            if let Some(place) = self.places.get_mut(&coming.name) {
                place.accepted = true;
            }
        }
        for place in self.places.values_mut() {
            if let WeightsState::Loading { pause_ms, .. } = place.state {
                place.state = WeightsState::Loading { check_at_ms: now_ms, pause_ms };
            }
        }
    }

    /// Completes unloads of weights that are no longer reported. While others still wait for
    /// running requests, a further report is due.
    fn complete_unloads(&mut self, now_ms: u64, report: &EngineReport) {
        let mut is_any_waiting = false;
        let mut gone = Vec::new();
        for (name, place) in &self.places {
            if place.state != WeightsState::Unloading {
                continue;
            }
            if report.holds.iter().any(|weights| weights.name == *name) {
                is_any_waiting |= place.accepted;
            } else {
                gone.push(name.clone());
            }
        }
        for name in gone {
            self.places.remove(&name);
            self.unloaded_at_ms.insert(name, now_ms);
        }
        if is_any_waiting {
            self.sequence = None;
            self.report_due_ms = now_ms + REPORT_LAG_MS;
        }
    }

    /// Removes loads that the report lists neither as held nor as in progress.
    fn drop_unaccepted_loads(
        &mut self,
        now_ms: u64,
        report: &EngineReport,
        placed: &mut Vec<Placed>,
    ) {
        let mut dropped = Vec::new();
        for (name, place) in &self.places {
            let is_listed =
                report.holds.iter().chain(&report.coming).any(|weights| weights.name == *name);
            let is_loading = matches!(place.state, WeightsState::Loading { .. });
            if is_loading && !is_listed && place.changed_at_ms + REPORT_LAG_MS <= now_ms {
                dropped.push(name.clone());
            }
        }
        for name in dropped {
            self.places.remove(&name);
            placed.push(self.to_placed(&name, Holding::Gone));
        }
    }

    /// Applies the weights in a heartbeat, except where more recent changes are known.
    pub fn observe(&mut self, now_ms: u64, holds: &[Weights], placed: &mut Vec<Placed>) {
        if self.has_pending_order() {
            return;
        }
        self.reconcile(now_ms, holds, HEARTBEAT_MAX_AGE_MS, placed);
    }

    fn reconcile(
        &mut self,
        now_ms: u64,
        holds: &[Weights],
        max_age_ms: u64,
        placed: &mut Vec<Placed>,
    ) {
        for weights in holds {
            let known = self.places.get(&weights.name);
            let is_settled = known.is_none_or(|place| {
                place.changed_at_ms + max_age_ms <= now_ms && place.state != WeightsState::Unloading
            });
            let is_known = known.is_some_and(|place| {
                place.state == WeightsState::Ready && place.version == weights.version
            });
            let unloaded_at_ms = self.unloaded_at_ms.get(&weights.name);
            let is_stale = unloaded_at_ms.is_some_and(|at_ms| at_ms + max_age_ms > now_ms);
            if !is_settled || is_known || is_stale {
                continue;
            }
            self.set_state(now_ms, &weights.name, weights.version, WeightsState::Ready);
            self.record_copy(now_ms, &weights.name);
            placed.push(self.to_placed(&weights.name, Holding::Ready(weights.version)));
        }
        let mut missing = Vec::new();
        for (name, place) in &self.places {
            let is_listed = holds.iter().any(|weights| weights.name == *name);
            let is_settled = place.changed_at_ms + max_age_ms.max(500) <= now_ms;
            let is_loading = matches!(place.state, WeightsState::Loading { .. });
            if !is_listed && is_settled && !is_loading {
                missing.push(name.clone());
            }
        }
        for name in missing {
            self.places.remove(&name);
            placed.push(self.to_placed(&name, Holding::Gone));
        }
    }
}
