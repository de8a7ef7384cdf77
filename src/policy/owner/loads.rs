//! Adapter loads of an owned endpoint: which adapter is loaded next, which one is evicted, and when
//! further loads are refused.

use crate::message::{AdapterKey, Priority, Refusal};
use crate::policy::queue::{Group, Job};

use super::{
    ESTIMATE_SMOOTHING, Effect, FAILED_LOAD_PAUSE_MAX_MS, Failure, Owner, Slot, Usability,
};

const FAILED_LOAD_PAUSE_MS: u64 = 500;
/// The weight of the latest load in the moving average of the wait for loads.
const LOAD_WAIT_SMOOTHING: f64 = 0.3;

/// Where the slot for a load comes from.
pub(super) enum SlotSource {
    Free,
    Evict(AdapterKey),
}

impl Owner {
    /// Applies the result of a load.
    pub fn load_ended(&mut self, now_ms: u64, adapter: &AdapterKey, took_ms: u64, loaded: bool) {
        self.loading = self.loading.saturating_sub(1);
        self.changes += 1;
        if loaded {
            self.load_ms += (took_ms as f64 - self.load_ms) * ESTIMATE_SMOOTHING;
            self.failures.remove(adapter);
            if let Some(slot) = self.slots.get_mut(adapter) {
                slot.loaded_at_ms = Some(now_ms);
            }
            self.update_load_wait(now_ms, adapter);
        } else {
            self.slots.remove(adapter);
            let retry_after_ms = self.record_load_failure(now_ms, adapter);
            self.refuse_waiting(Refusal::LoadFailed, retry_after_ms, |job| {
                job.adapter.as_ref() == Some(adapter)
            });
        }
        self.schedule(now_ms);
    }

    pub(super) fn update_load_wait(&mut self, now_ms: u64, adapter: &AdapterKey) {
        let Some(group) = self.queue.groups().get(&Some(adapter.clone())) else { return };
        let Some(first_ms) = group.heads().map(|job| job.arrived_ms).min() else { return };
        let waited_ms = now_ms.saturating_sub(first_ms) as f64;
        self.load_wait_ms += (waited_ms - self.load_wait_ms) * LOAD_WAIT_SMOOTHING;
    }

    /// Returns true if the wait for loads is too long to add one. One load is always allowed, so
    /// that the estimate is never older than the last load.
    pub(super) fn has_load_backlog(&self, adapter: &AdapterKey) -> bool {
        if self.load_wait_ms < self.settings.load_wait_max_ms as f64 {
            return false;
        }
        if self.slots.contains_key(adapter) || self.queue.has_requests_for(adapter) {
            return false;
        }
        let waits = |(adapter, _): (&Option<AdapterKey>, &Group)| {
            adapter.as_ref().is_some_and(|adapter| !self.slots.contains_key(adapter))
        };
        self.loading > 0 || self.queue.groups().iter().any(waits)
    }

    /// Records a failed load; returns the pause before the next attempt.
    pub(super) fn record_load_failure(&mut self, now_ms: u64, adapter: &AdapterKey) -> u64 {
        let count = self.failures.get(adapter).map_or(0, |failure| failure.count + 1);
        let pause_ms = (FAILED_LOAD_PAUSE_MS << count.min(10)).min(FAILED_LOAD_PAUSE_MAX_MS);
        let until_ms = now_ms + pause_ms;
        self.failures.insert(adapter.clone(), Failure { until_ms, count });
        pause_ms
    }

    /// Uses a permit for the most urgent load, or returns the permit if no adapter can be loaded.
    pub fn permit_granted(&mut self, now_ms: u64, permit: u64) {
        self.permits_asked = self.permits_asked.saturating_sub(1);
        let Some((adapter, _)) = self.most_urgent_load(now_ms) else {
            self.effects.push(Effect::ReturnPermit { permit });
            return;
        };
        let Some(source) = self.find_slot(now_ms) else {
            self.effects.push(Effect::ReturnPermit { permit });
            return;
        };
        let evict = match source {
            SlotSource::Free => None,
            SlotSource::Evict(victim) => Some(victim),
        };
        if let Some(victim) = &evict {
            self.slots.remove(victim);
        }
        self.changes += 1;
        let slot = Slot { generation: self.changes, loaded_at_ms: None, running: 0, inherited: 0 };
        self.slots.insert(adapter.clone(), slot);
        self.loading += 1;
        self.effects.push(Effect::Load { adapter, evict, permit });
        self.schedule(now_ms);
    }

    /// Records that a permit was denied; pauses asks for `retry_after_ms`.
    pub fn permit_denied(&mut self, now_ms: u64, retry_after_ms: u64) {
        self.permits_asked = self.permits_asked.saturating_sub(1);
        self.permit_pause_until_ms = now_ms + retry_after_ms;
    }

    pub(super) fn request_permits(&mut self, now_ms: u64) {
        if !self.is_verified || now_ms < self.permit_pause_until_ms {
            return;
        }
        let available = self.available_slots();
        let mut wanted = 0;
        let mut urgency = 0.0_f32;
        for (adapter, group) in self.queue.groups() {
            let Some(adapter) = adapter else { continue };
            if self.can_load(now_ms, adapter) {
                wanted += 1;
                urgency = urgency.max(self.urgency_of(now_ms, group));
            }
        }
        let allowed = self.settings.loads_at_once.saturating_sub(self.loading).min(available);
        while self.permits_asked < allowed.min(wanted) {
            self.permits_asked += 1;
            self.effects.push(Effect::AskPermit { urgency });
        }
    }

    /// Returns true if `adapter` has no slot and no pause after a failed load.
    pub(super) fn can_load(&self, now_ms: u64, adapter: &AdapterKey) -> bool {
        !self.slots.contains_key(adapter)
            && self.failures.get(adapter).is_none_or(|failure| failure.until_ms <= now_ms)
    }

    pub(super) fn most_urgent_load(&self, now_ms: u64) -> Option<(AdapterKey, f32)> {
        let mut best: Option<(AdapterKey, f32)> = None;
        if !self.is_verified || self.usability != Usability::Usable {
            return None;
        }
        for (adapter, group) in self.queue.groups() {
            let Some(adapter) = adapter else { continue };
            if !self.can_load(now_ms, adapter) {
                continue;
            }
            let urgency = self.urgency_of(now_ms, group);
            if best.as_ref().is_none_or(|(_, best)| urgency > *best) {
                best = Some((adapter.clone(), urgency));
            }
        }
        best
    }

    /// The urgency of a load: the sum over its requests, weighted by priority and rising with the
    /// wait, or just the longest wait if loads are not ordered by urgency.
    pub(super) fn urgency_of(&self, now_ms: u64, group: &Group) -> f32 {
        let waited_s = |job: &Job| now_ms.saturating_sub(job.arrived_ms) as f32 / 1_000.0;
        if !self.settings.loads_by_urgency {
            return group.jobs().map(waited_s).fold(0.0, f32::max);
        }
        let mut urgency = 0.0;
        for job in group.jobs() {
            let weight = match job.priority {
                Priority::Interactive => 4.0,
                Priority::Standard => 2.0,
                Priority::Batch => 1.0,
            };
            urgency += weight * (1.0 + waited_s(job));
        }
        urgency
    }

    /// Returns true if no request runs on the slot or waits for its adapter.
    pub(super) fn is_idle(&self, adapter: &AdapterKey, slot: &Slot) -> bool {
        self.is_verified
            && slot.loaded_at_ms.is_some()
            && slot.running == 0
            && slot.inherited == 0
            && !self.queue.has_requests_for(adapter)
    }

    pub(super) fn available_slots(&self) -> usize {
        let free = (self.slot_count as usize).saturating_sub(self.slots.len());
        free + self.slots.iter().filter(|(adapter, slot)| self.is_idle(adapter, slot)).count()
    }

    pub(super) fn find_slot(&self, now_ms: u64) -> Option<SlotSource> {
        if self.slots.len() < self.slot_count as usize {
            return Some(SlotSource::Free);
        }
        let mut coldest: Option<(f64, &AdapterKey)> = None;
        for (adapter, slot) in &self.slots {
            if !self.is_idle(adapter, slot) {
                continue;
            }
            let rate = self.popularity.rate_per_s(now_ms, adapter);
            if coldest.is_none_or(|(coldest, _)| rate < coldest) {
                coldest = Some((rate, adapter));
            }
        }
        coldest.map(|(_, adapter)| SlotSource::Evict(adapter.clone()))
    }
}
