//! What endpoints advertise in their responses: limits, backoff, and that they are leaving.

use std::sync::Arc;

use super::border::RateLimit;
use super::fleet::Fleet;
use super::limits::LimitChange;
use super::pick::ALL_COMPARED_MAX_GATEWAYS;

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
        let rate_limit = self.limit_when_brittle(now_ms, id, rate_limit);
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

    /// The rate limit of endpoint `id`, which named `rate_limit`: many gateways, whose counts arrive
    /// later than a plain request runs, share what a brittle endpoint bears by rate.
    fn limit_when_brittle(&self, now_ms: u64, id: &str, rate_limit: RateLimit) -> RateLimit {
        let Some(state) = self.endpoints.get(id) else { return rate_limit };
        let unit_ms = self.unit_ms.get(&state.endpoint.service).copied();
        let is_shared = state.is_plain && self.gateways > ALL_COMPARED_MAX_GATEWAYS;
        let Some(unit_ms) = unit_ms.filter(|_| is_shared && state.brittleness.is_brittle(now_ms))
        else {
            return rate_limit;
        };
        // The measured times include waits, which leaves room for uneven arrivals.
        let bears_per_s = f64::from(state.endpoint.slots) * 1_000.0 / unit_ms.max(1.0);
        match rate_limit {
            RateLimit::PerSecond(per_s) => RateLimit::PerSecond(per_s.min(bears_per_s)),
            RateLimit::None | RateLimit::Unreadable => RateLimit::PerSecond(bears_per_s),
        }
    }

    /// Applies the rejections a second that endpoint `id` bears, as its response to a request sent
    /// at `sent_at_ms` names them; returns whether it is brittle if that has changed.
    pub fn note_brittle(
        &mut self,
        now_ms: u64,
        id: &str,
        sent_at_ms: u64,
        limit: RateLimit,
    ) -> Option<bool> {
        let rejections_per_s = match limit {
            RateLimit::None => None,
            RateLimit::PerSecond(per_s) => Some(per_s),
            RateLimit::Unreadable => return None,
        };
        let state = self.endpoints.get_mut(id)?;
        let has_changed = state.brittleness.note(now_ms, sent_at_ms, rejections_per_s);
        has_changed.then(|| state.brittleness.is_brittle(now_ms))
    }

    /// Starts or extends the backoff that `id` asked for; returns true if it was started.
    pub fn start_backoff(&mut self, now_ms: u64, id: &str, backoff_ms: u64) -> bool {
        self.endpoints.get_mut(id).is_some_and(|state| state.backoff.start(now_ms, backoff_ms))
    }

    /// True if `id` is leaving according to its registration or to a recent response.
    pub(super) fn is_leaving(&self, now_ms: u64, id: &str) -> bool {
        self.endpoints.get(id).is_some_and(|state| state.is_leaving(now_ms))
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
