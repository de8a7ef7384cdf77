//! What endpoints advertise in their responses: limits, backoff, and that they are leaving.

use std::sync::Arc;

use super::border::RateLimit;
use super::fleet::Fleet;
use super::limits::LimitChange;

/// How long an endpoint counts as leaving after a response announced it. The limit brings back an
/// endpoint that announced it by mistake.
const LEAVING_EXPIRY_MS: u64 = 600_000;

impl Fleet {
    /// Applies the rate limit in the response of endpoint `id` to a request sent at `sent_at_ms`.
    pub fn note_limit(
        &mut self,
        now_ms: u64,
        id: &Arc<str>,
        sent_at_ms: u64,
        rate_limit: RateLimit,
    ) -> Option<LimitChange> {
        if rate_limit == RateLimit::None && self.limits.is_empty()
            || !self.endpoints.contains_key(id)
        {
            return None;
        }
        let change = self.limits.note(now_ms, id, sent_at_ms, rate_limit);
        if change.is_some() {
            self.loads_changed.insert(id.clone());
        }
        change
    }

    /// Applies whether endpoint `id` is brittle according to its response to a request sent at
    /// `sent_at_ms`; returns whether its service is brittle if that has changed.
    pub fn note_brittle(
        &mut self,
        now_ms: u64,
        id: &str,
        sent_at_ms: u64,
        limit: RateLimit,
    ) -> Option<bool> {
        let is_brittle = match limit {
            RateLimit::None => false,
            // The number does not matter: no more requests are sent than there are slots.
            RateLimit::PerSecond(_) => true,
            RateLimit::Unreadable => return None,
        };
        let service = self.endpoints.get(id)?.endpoint.service.clone();
        if !is_brittle && !self.brittle.contains_key(&service) {
            return None;
        }
        let brittleness = self.brittle.entry(service.clone()).or_default();
        let was_brittle = brittleness.is_brittle(now_ms);
        let was_heard = brittleness.is_heard(now_ms);
        brittleness.note(now_ms, sent_at_ms, is_brittle);
        let is_brittle = brittleness.is_brittle(now_ms);
        if was_heard != brittleness.is_heard(now_ms) {
            self.loads_changed.extend(self.by_service.get(&service).into_iter().flatten().cloned());
        }
        (was_brittle != is_brittle).then_some(is_brittle)
    }

    /// True while the endpoints of `service` end when they reject too many requests.
    pub fn is_brittle(&self, now_ms: u64, service: &str) -> bool {
        self.brittle.get(service).is_some_and(|brittleness| brittleness.is_brittle(now_ms))
    }

    /// Starts or extends the backoff that `id` asked for; returns true if it was started.
    pub fn start_backoff(&mut self, now_ms: u64, id: &str, backoff_ms: u64) -> bool {
        self.endpoints.get_mut(id).is_some_and(|state| state.backoff.start(now_ms, backoff_ms))
    }

    /// True if `id` announced in a recent response that it is about to shut down.
    pub(super) fn has_announced_end(&self, now_ms: u64, id: &str) -> bool {
        self.endpoints.get(id).is_some_and(|state| state.has_announced_end(now_ms))
    }

    /// True if `id` is registered and not leaving.
    pub(super) fn is_available(&self, now_ms: u64, id: &str) -> bool {
        self.endpoints.get(id).is_some_and(|state| !state.is_leaving(now_ms))
    }

    /// Marks `id` as leaving because it announced this in a response; returns true if it was not
    /// already leaving.
    pub fn mark_leaving(&mut self, now_ms: u64, id: &Arc<str>) -> bool {
        let Some(state) = self.endpoints.get_mut(id) else { return false };
        let is_new = !state.is_leaving(now_ms);
        state.leaving_until_ms = now_ms + LEAVING_EXPIRY_MS;
        self.leaving.insert(id.clone());
        is_new
    }
}
