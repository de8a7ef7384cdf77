//! Which incarnation of an endpoint a heartbeat or an end belongs to, where calls come late.
//!
//! An end that does not say whose it is, soon after a restart, may be the former incarnation's or the
//! registered one's. Nothing new is sent to the endpoint from then on, so that a real end is kept, until
//! heartbeats show that it goes on, so that a late one costs a few seconds.

use std::collections::HashMap;
use std::sync::Arc;

use ractor::RpcReplyPort;
use tracing::info;

use super::{Replica, Waiter};
use crate::control::state::Operation;
use crate::message::{ControlReply, EndpointEnd, Heartbeat, RegisteredEndpoint};

/// For how long after a restart an end that does not say whose it is may be the former incarnation's:
/// calls come seconds late.
const LATE_END_MS: u64 = 10_000;
/// How far beyond the last heartbeat before an end one must count that was sent after it: endpoints
/// call one replica after the other, so that one call may have been on its way when the end was told.
const SENT_AFTER_END: u64 = 2;

/// In place of a sequence: beyond any that a heartbeat counts.
const LEAVES: u64 = u64::MAX;

/// Endpoints that are registered as leaving and might go on all the same: the sequence of the last
/// heartbeat known to be from before their end, by id.
#[derive(Debug, Default)]
pub(super) struct MaybeEnded(HashMap<Arc<str>, u64>);

impl MaybeEnded {
    /// Notes an end, after the heartbeat that counted `sequence` if one was heard.
    fn ended(&mut self, id: &Arc<str>, sequence: Option<u64>) {
        // One that is told again belongs to no later moment than the first.
        if let (Some(sequence), false) = (sequence, self.0.contains_key(id)) {
            self.0.insert(id.clone(), sequence);
        }
    }

    /// Notes an endpoint that says itself that it leaves; whatever comes later was sent earlier.
    pub(super) fn leaves(&mut self, id: &Arc<str>) {
        self.0.insert(id.clone(), LEAVES);
    }

    /// True for an endpoint that said itself that it leaves.
    fn has_left(&self, id: &str) -> bool {
        self.0.get(id) == Some(&LEAVES)
    }

    /// True when this heartbeat of an endpoint registered as leaving shows that it goes on.
    ///
    /// A leader that did not hear the end itself counts from the first heartbeat that it hears.
    fn goes_on(&mut self, heartbeat: &Heartbeat) -> bool {
        let id = &heartbeat.endpoint.id;
        let before_end = *self.0.entry(id.clone()).or_insert(heartbeat.sequence);
        heartbeat.sequence >= before_end.saturating_add(SENT_AFTER_END)
    }

    /// Forgets an endpoint that is gone or goes on.
    pub(super) fn forget(&mut self, id: &str) {
        self.0.remove(id);
    }

    /// Forgets everything.
    pub(super) fn clear(&mut self) {
        self.0.clear();
    }
}

impl Replica {
    /// Notes a registration that replaces another incarnation of its name.
    pub(super) fn note_restart(&mut self, now_ms: u64, endpoint: &RegisteredEndpoint) {
        let earlier = self.state.registry.named(&endpoint.name);
        if !earlier.is_some_and(|earlier| endpoint.is_other_life_of(earlier)) {
            return;
        }
        let restarted = &mut self.registered.restarted_at_ms;
        restarted.retain(|_, at_ms| *at_ms + LATE_END_MS > now_ms);
        restarted.insert(endpoint.name.clone(), now_ms);
    }

    /// Ends an endpoint's incarnation; the answer waits for the commit.
    pub(super) fn end_endpoint(
        &mut self,
        now_ms: u64,
        wall_ms: u64,
        end: EndpointEnd,
        reply: RpcReplyPort<ControlReply>,
    ) {
        let unclear = self.may_be_ended(now_ms, &end);
        let born_ms = end.born_ms.unwrap_or(0);
        let is_unclear = unclear.is_some();
        info!(event = "endpoint_ends", endpoint = %end.name, born_ms, is_unclear);
        let operation = match unclear {
            Some(endpoint) => {
                let sequence = self.registered.sequence_heard(&endpoint.id);
                self.registered.maybe_ended.ended(&endpoint.id, sequence);
                Operation::RegisterEndpoint(RegisteredEndpoint { leaving: true, ..endpoint })
            }
            None => Operation::DeregisterEndpoint(end),
        };
        self.propose(wall_ms, operation, Waiter::Call(reply));
    }

    /// The registered incarnation, for an end without a birth that may be the former one's: it restarted
    /// just now, or before this leader can know, and has not said that it leaves.
    fn may_be_ended(&self, now_ms: u64, end: &EndpointEnd) -> Option<RegisteredEndpoint> {
        if end.born_ms.is_some() {
            return None;
        }
        let known = self.state.registry.named(&end.name)?;
        let restarted_at_ms = match self.registered.restarted_at_ms.get(&end.name) {
            Some(at_ms) => *at_ms,
            None if self.state.registry.has_former_life(known) => self.registered.leading_since_ms,
            None => return None,
        };
        let is_recent = restarted_at_ms + LATE_END_MS > now_ms;
        let has_left = self.registered.maybe_ended.has_left(&known.id);
        (is_recent && !has_left).then(|| known.clone())
    }

    /// True when a heartbeat of an endpoint registered as leaving shows that it goes on.
    pub(super) fn goes_on(&mut self, heartbeat: &Heartbeat) -> bool {
        let goes_on = self.registered.maybe_ended.goes_on(heartbeat);
        if goes_on {
            let (endpoint, sequence) = (&heartbeat.endpoint.id, heartbeat.sequence);
            info!(event = "endpoint_goes_on", endpoint = %endpoint, sequence);
            self.registered.maybe_ended.forget(endpoint);
        }
        goes_on
    }

    /// True for a heartbeat of an incarnation that ended before the registered one of its name began.
    ///
    /// Clocks jump, so that a later incarnation may tell an earlier birth; by then the one that is
    /// registered is silent.
    pub(super) fn is_of_earlier_life(&self, now_ms: u64, endpoint: &RegisteredEndpoint) -> bool {
        let registry = &self.state.registry;
        if registry.endpoints().contains_key(&endpoint.id) {
            return false;
        }
        let Some(known) = registry.named(&endpoint.name) else { return false };
        let is_silent = !self.registered.placement.is_endpoint_live(now_ms, &known.id);
        known.born_ms > endpoint.born_ms && (endpoint.born_ms == 0 || !is_silent)
    }
}
