//! Trials of requests that were held, from the wait for one to its outcome.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use super::shared::Relay;
use crate::message::RequestKey;

/// The leader's permission to send a held request once.
///
/// Returned when it is dropped without an outcome: until the leader knows one, all other tries are refused.
pub(super) struct Trial {
    relay: Arc<Relay>,
    key: RequestKey,
    has_outcome: AtomicBool,
}

impl Trial {
    /// A trial of the request `key` that was taken.
    pub(super) fn new(relay: Arc<Relay>, key: RequestKey) -> Self {
        Self { relay, key, has_outcome: AtomicBool::new(false) }
    }

    /// Notes that the leader learns the outcome: the request was served, or broken off.
    pub(super) fn had_outcome(&self) {
        self.has_outcome.store(true, Ordering::Relaxed);
    }
}

impl Drop for Trial {
    fn drop(&mut self) {
        if !*self.has_outcome.get_mut() {
            self.relay.crashes.return_trial(self.key);
        }
    }
}

/// A request's wait for a trial, counted until it is dropped.
pub(super) struct TrialWait<'a> {
    relay: &'a Relay,
    key: RequestKey,
}

impl<'a> TrialWait<'a> {
    /// A wait that begins.
    pub(super) fn new(relay: &'a Relay, key: RequestKey) -> Self {
        relay.crashes.standings().begin_wait(key);
        Self { relay, key }
    }
}

impl Drop for TrialWait<'_> {
    fn drop(&mut self) {
        self.relay.crashes.standings().end_wait(&self.key);
    }
}
