//! What an endpoint's reports and heartbeats tell of the weights that it holds.

use super::endpoint::{
    EndpointPlaces, FIRST_CHECK_MS, HEARTBEAT_LATE_MS, PlaceState, REPORT_LAG_MS,
};
use crate::message::{EngineReport, Holding, Placed, Weights};

impl EndpointPlaces {
    pub(super) fn reported(
        &mut self,
        now_ms: u64,
        report: &EngineReport,
        placed: &mut Vec<Placed>,
    ) {
        self.sequence = Some(report.sequence);
        self.drop_loads_not_taken(now_ms, report, placed);
        self.finish_unloads(now_ms, report);
        self.reconcile(now_ms, &report.holds, 0, placed);
        for coming in &report.coming {
            if !self.places.contains_key(&coming.name) {
                let state = PlaceState::Loading { check_at_ms: now_ms, pause_ms: FIRST_CHECK_MS };
                self.put(now_ms, &coming.name, coming.version, state);
            }
            if let Some(place) = self.places.get_mut(&coming.name) {
                place.accepted = true;
            }
        }
        for place in self.places.values_mut() {
            if let PlaceState::Loading { pause_ms, .. } = place.state {
                place.state = PlaceState::Loading { check_at_ms: now_ms, pause_ms };
            }
        }
    }

    /// Sees which unloads that waited for their runs are done.
    fn finish_unloads(&mut self, now_ms: u64, report: &EngineReport) {
        let mut waits = false;
        let mut gone = Vec::new();
        for (name, place) in &self.places {
            if place.state != PlaceState::Unloading {
                continue;
            }
            if report.holds.iter().any(|weights| weights.name == *name) {
                waits |= place.accepted;
            } else {
                gone.push(name.clone());
            }
        }
        for name in gone {
            self.places.remove(&name);
            self.dropped_at_ms.insert(name, now_ms);
        }
        if waits {
            self.sequence = None;
            self.report_from_ms = now_ms + REPORT_LAG_MS;
        }
    }

    /// Forgets loads that the endpoint neither holds nor expects.
    fn drop_loads_not_taken(
        &mut self,
        now_ms: u64,
        report: &EngineReport,
        placed: &mut Vec<Placed>,
    ) {
        let mut dropped = Vec::new();
        for (name, place) in &self.places {
            let is_listed =
                report.holds.iter().chain(&report.coming).any(|weights| weights.name == *name);
            let is_loading = matches!(place.state, PlaceState::Loading { .. });
            if is_loading && !is_listed && place.changed_at_ms + REPORT_LAG_MS <= now_ms {
                dropped.push(name.clone());
            }
        }
        for name in dropped {
            self.places.remove(&name);
            placed.push(self.tell(&name, Holding::Gone));
        }
    }

    /// Takes over what a heartbeat told, as far as nothing younger is known.
    pub fn observe(&mut self, now_ms: u64, holds: &[Weights], placed: &mut Vec<Placed>) {
        if self.has_order_under_way() {
            return;
        }
        self.reconcile(now_ms, holds, HEARTBEAT_LATE_MS, placed);
    }

    fn reconcile(
        &mut self,
        now_ms: u64,
        holds: &[Weights],
        younger_ms: u64,
        placed: &mut Vec<Placed>,
    ) {
        for weights in holds {
            let known = self.places.get(&weights.name);
            let is_settled = known.is_none_or(|place| {
                place.changed_at_ms + younger_ms <= now_ms && place.state != PlaceState::Unloading
            });
            let is_known = known.is_some_and(|place| {
                place.state == PlaceState::Ready && place.version == weights.version
            });
            let dropped_at_ms = self.dropped_at_ms.get(&weights.name);
            let is_old_news = dropped_at_ms.is_some_and(|at_ms| at_ms + younger_ms > now_ms);
            if !is_settled || is_known || is_old_news {
                continue;
            }
            self.put(now_ms, &weights.name, weights.version, PlaceState::Ready);
            self.note_copy(now_ms, &weights.name);
            placed.push(self.tell(&weights.name, Holding::Ready(weights.version)));
        }
        let mut missing = Vec::new();
        for (name, place) in &self.places {
            let is_listed = holds.iter().any(|weights| weights.name == *name);
            let is_settled = place.changed_at_ms + younger_ms.max(500) <= now_ms;
            let is_loading = matches!(place.state, PlaceState::Loading { .. });
            if !is_listed && is_settled && !is_loading {
                missing.push(name.clone());
            }
        }
        for name in missing {
            self.places.remove(&name);
            placed.push(self.tell(&name, Holding::Gone));
        }
    }
}
