//! Failures of endpoints, their pauses, and the requests that are notified of their ends.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;

use tokio::sync::watch;

use super::fleet::Fleet;
use super::known::{EndpointState, IncarnationEnd};
use crate::message::RegisteredEndpoint;

/// The first pause after an endpoint failed; doubled with each further consecutive failure.
const FIRST_PAUSE_MS: u64 = 400;
/// The longest pause. An endpoint that recovers under the same incarnation stays unused for up to
/// this long.
const PAUSE_MAX_MS: u64 = 5_000;
/// Consecutive failures after which an endpoint that can be reached is paused.
const FAILURES_TO_PAUSE: u32 = 3;
/// How long an endpoint that reported itself full gets no requests.
const FULL_PAUSE_MS: u64 = 60;

/// The same for one that ends when it rejects too many requests in a second.
const BRITTLE_PAUSE_MS: u64 = 1_000;

impl Fleet {
    /// Records that `id` refused a request because it is full.
    pub fn refused(&mut self, now_ms: u64, id: &str) {
        let Some(state) = self.endpoints.get_mut(id) else { return };
        self.slot_leases.note_rejected(id);
        let brittleness = self.brittle.get(&state.endpoint.service);
        let is_brittle = brittleness.is_some_and(|it| it.is_brittle(now_ms));
        let pause_ms = if is_brittle { BRITTLE_PAUSE_MS } else { FULL_PAUSE_MS };
        state.paused_until_ms = state.paused_until_ms.max(now_ms + pause_ms);
    }

    /// Records that no connection to `id` could be made.
    pub fn mark_unreachable(&mut self, now_ms: u64, id: &Arc<str>) {
        if let Some(state) = self.endpoints.get_mut(id) {
            let pause_ms = (FIRST_PAUSE_MS << state.failures.min(8)).min(PAUSE_MAX_MS);
            state.failures += 1;
            state.paused_until_ms = now_ms + pause_ms;
        }
    }

    /// Records that `id` broke off a response or answered wrongly. A single failure does not pause
    /// it; returns true if several did.
    pub fn failed(&mut self, now_ms: u64, id: &Arc<str>) -> bool {
        let Some(state) = self.endpoints.get_mut(id) else { return false };
        state.failures += 1;
        if state.failures < FAILURES_TO_PAUSE {
            return false;
        }
        state.paused_until_ms =
            now_ms + (FIRST_PAUSE_MS << state.failures.min(8)).min(PAUSE_MAX_MS);
        true
    }

    /// Records that `id` has ended; it can only come back as another incarnation.
    pub fn mark_ended(&mut self, now_ms: u64, id: &Arc<str>) {
        let Some(state) = self.endpoints.get_mut(id) else { return };
        state.failures += FAILURES_TO_PAUSE;
        state.paused_until_ms = now_ms + PAUSE_MAX_MS;
    }

    /// Returns a receiver that is notified when `id` is found to have ended.
    pub(super) fn watch_end(&mut self, id: &str) -> Option<watch::Receiver<IncarnationEnd>> {
        let state = self.endpoints.get_mut(id)?;
        let ended = state.ended.get_or_insert_with(|| watch::Sender::new(IncarnationEnd::None));
        // A new request is being sent, so the endpoint may have recovered from a hang.
        ended.send_if_modified(|ended| {
            if *ended != IncarnationEnd::Replaced {
                *ended = IncarnationEnd::None;
            }
            false
        });
        Some(ended.subscribe())
    }

    /// Returns a receiver that is notified when `id` is found to have ended from now on.
    pub(super) fn subscribe_end(&mut self, id: &str) -> Option<watch::Receiver<IncarnationEnd>> {
        let state = self.endpoints.get_mut(id)?;
        let ended = state.ended.get_or_insert_with(|| watch::Sender::new(IncarnationEnd::None));
        Some(ended.subscribe())
    }

    /// Takes back that `id` may have ended, since it has sent something; not that it was replaced.
    pub(super) fn withdraw_end(&self, id: &str) {
        let Some(ended) = self.endpoints.get(id).and_then(|state| state.ended.as_ref()) else {
            return;
        };
        ended.send_if_modified(|ended| {
            if *ended != IncarnationEnd::Replaced {
                *ended = IncarnationEnd::None;
            }
            false
        });
    }

    /// Notifies the requests that await responses of `id` that it may have ended.
    pub(super) fn notify_possible_end(&self, id: &str, end: IncarnationEnd) {
        let Some(ended) = self.endpoints.get(id).and_then(|state| state.ended.as_ref()) else {
            return;
        };
        ended.send_if_modified(|ended| {
            let is_new = *ended < end;
            *ended = end.max(*ended);
            is_new
        });
    }

    /// Returns the known endpoints that `registered` replaces, by name or address, and notifies the
    /// requests that await their responses.
    pub fn replaced_by(&mut self, registered: &[&RegisteredEndpoint]) -> Vec<RegisteredEndpoint> {
        let is_new = |endpoint: &&&RegisteredEndpoint| !self.endpoints.contains_key(&endpoint.id);
        let new: Vec<_> = registered.iter().filter(is_new).collect();
        if new.is_empty() {
            return Vec::new();
        }
        let names: HashSet<&str> = new.iter().map(|endpoint| &*endpoint.name).collect();
        let addresses: HashSet<SocketAddr> = new.iter().map(|endpoint| endpoint.address).collect();
        let mut replaced = Vec::new();
        for EndpointState { endpoint, ended, .. } in self.endpoints.values() {
            if !names.contains(&*endpoint.name) && !addresses.contains(&endpoint.address) {
                continue;
            }
            if let Some(ended) = ended {
                ended.send_replace(IncarnationEnd::Replaced);
            }
            replaced.push(endpoint.clone());
        }
        replaced
    }
}
