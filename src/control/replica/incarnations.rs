//! Decides which incarnation of an endpoint a heartbeat or a deregistration belongs to when calls
//! arrive late.
//!
//! A deregistration without a birth time soon after a restart may belong to the previous
//! incarnation or to the registered one. In case it belongs to the registered one, that one is
//! marked as leaving and gets no new requests. If heartbeats then show that the registered one
//! still runs, it is used again, so that a late deregistration costs only a few seconds.

use std::collections::HashMap;
use std::sync::Arc;

use tracing::info;

use super::{Replica, Waiter};
use crate::control::reply::Reply;
use crate::control::state::Operation;
use crate::message::{EndpointEnd, Heartbeat, RegisteredEndpoint};

/// How long after a restart a deregistration without a birth time may belong to the previous
/// incarnation: calls arrive seconds late.
const LATE_END_WINDOW_MS: u64 = 10_000;
/// By how much the sequence number of a heartbeat must exceed that of the last one before a
/// deregistration to prove that it was sent later. Endpoints call one replica after the other, so
/// one heartbeat may have been under way when the deregistration arrived.
const MIN_SEQUENCE_GAP: u64 = 2;

/// Stands for the sequence number of an endpoint that announced its shutdown; no heartbeat reaches
/// it.
const ANNOUNCED_SHUTDOWN: u64 = u64::MAX;

/// Endpoints that are registered as leaving but may still run: by id, the sequence number of the
/// last heartbeat known to precede the deregistration.
#[derive(Debug, Default)]
pub(super) struct UncertainEnds(HashMap<Arc<str>, u64>);

impl UncertainEnds {
    /// Records a deregistration that arrived after the heartbeat with number `sequence`, if there
    /// was one.
    fn record_end(&mut self, id: &Arc<str>, sequence: Option<u64>) {
        // A repeated deregistration means the same moment as the first, so the first number is kept.
        if let (Some(sequence), false) = (sequence, self.0.contains_key(id)) {
            self.0.insert(id.clone(), sequence);
        }
    }

    /// Records that an endpoint announced its shutdown. Heartbeats that arrive later without the
    /// announcement were sent before it.
    pub(super) fn record_leaving(&mut self, id: &Arc<str>) {
        self.0.insert(id.clone(), ANNOUNCED_SHUTDOWN);
    }

    /// True if the endpoint announced its shutdown.
    fn has_left(&self, id: &str) -> bool {
        self.0.get(id) == Some(&ANNOUNCED_SHUTDOWN)
    }

    /// True if this heartbeat of an endpoint registered as leaving was sent after the
    /// deregistration.
    ///
    /// A leader that did not receive the deregistration counts from the first heartbeat that it
    /// receives.
    fn is_sent_after_end(&mut self, heartbeat: &Heartbeat) -> bool {
        let id = &heartbeat.endpoint.id;
        let before_end = *self.0.entry(id.clone()).or_insert(heartbeat.sequence);
        heartbeat.sequence >= before_end.saturating_add(MIN_SEQUENCE_GAP)
    }

    /// Removes an endpoint that has ended or was shown to run.
    pub(super) fn forget(&mut self, id: &str) {
        self.0.remove(id);
    }

    /// Removes all endpoints.
    pub(super) fn clear(&mut self) {
        self.0.clear();
    }
}

impl Replica {
    /// Records the time of a registration that replaces another incarnation of the same name.
    pub(super) fn record_restart(&mut self, now_ms: u64, endpoint: &RegisteredEndpoint) {
        let earlier = self.state.registry.named(&endpoint.name);
        if !earlier.is_some_and(|earlier| endpoint.is_other_incarnation_of(earlier)) {
            return;
        }
        let restarted = &mut self.registered.restarted_at_ms;
        restarted.retain(|_, at_ms| *at_ms + LATE_END_WINDOW_MS > now_ms);
        restarted.insert(endpoint.name.clone(), now_ms);
    }

    /// Deregisters an endpoint and replies after the commit. If the deregistration may belong to
    /// the previous incarnation, the endpoint is marked as leaving instead.
    pub(super) fn deregister_endpoint(
        &mut self,
        now_ms: u64,
        wall_ms: u64,
        end: EndpointEnd,
        reply: Reply,
    ) {
        let uncertain = self.uncertain_incarnation(now_ms, &end);
        let born_ms = end.born_ms.unwrap_or(0);
        let is_unclear = uncertain.is_some();
        info!(event = "endpoint_ends", endpoint = %end.name, born_ms, is_unclear);
        let operation = match uncertain {
            Some(endpoint) => {
                let sequence = self.registered.latest_sequence(&endpoint.id);
                self.registered.uncertain_ends.record_end(&endpoint.id, sequence);
                Operation::RegisterEndpoint(RegisteredEndpoint { leaving: true, ..endpoint })
            }
            None => Operation::DeregisterEndpoint(end),
        };
        self.propose(wall_ms, operation, Waiter::Call(reply));
    }

    /// Returns the registered incarnation if `end` has no birth time and may belong to the previous
    /// incarnation: the endpoint restarted just now, or possibly before this replica became the
    /// leader, and has not announced its shutdown.
    fn uncertain_incarnation(&self, now_ms: u64, end: &EndpointEnd) -> Option<RegisteredEndpoint> {
        if end.born_ms.is_some() {
            return None;
        }
        let known = self.state.registry.named(&end.name)?;
        let restarted_at_ms = match self.registered.restarted_at_ms.get(&end.name) {
            Some(at_ms) => *at_ms,
            None if self.state.registry.has_previous_incarnation(known) => {
                self.registered.leading_since_ms
            }
            None => return None,
        };
        let is_recent = restarted_at_ms + LATE_END_WINDOW_MS > now_ms;
        let has_left = self.registered.uncertain_ends.has_left(&known.id);
        (is_recent && !has_left).then(|| known.clone())
    }

    /// Checks whether a heartbeat shows that an endpoint registered as leaving still runs, and if
    /// so stops tracking it as possibly ended.
    pub(super) fn confirm_running(&mut self, heartbeat: &Heartbeat) -> bool {
        let is_running = self.registered.uncertain_ends.is_sent_after_end(heartbeat);
        if is_running {
            let (endpoint, sequence) = (&heartbeat.endpoint.id, heartbeat.sequence);
            info!(event = "endpoint_goes_on", endpoint = %endpoint, sequence);
            self.registered.uncertain_ends.forget(endpoint);
        }
        is_running
    }

    /// True for a heartbeat of an incarnation that ended before the registered one of its name
    /// began.
    ///
    /// Clocks may jump back, so a later incarnation may have an earlier birth time; it is accepted
    /// once the registered incarnation is silent.
    pub(super) fn is_from_earlier_incarnation(
        &self,
        now_ms: u64,
        endpoint: &RegisteredEndpoint,
    ) -> bool {
        let registry = &self.state.registry;
        if registry.endpoints().contains_key(&endpoint.id) {
            return false;
        }
        let Some(known) = registry.named(&endpoint.name) else { return false };
        let is_silent = !self.registered.placement.is_endpoint_live(now_ms, &known.id);
        known.born_ms > endpoint.born_ms && (endpoint.born_ms == 0 || !is_silent)
    }
}
