//! Trials of held requests: guards for the wait for a trial and for its outcome.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use super::shared::Relay;
use crate::message::FeatureKey;

/// The leader's permission to send a held request once.
///
/// A trial that is dropped without an outcome is returned to the leader: until the leader knows the
/// outcome, all other attempts of the request are refused.
pub(super) struct Trial {
    relay: Arc<Relay>,
    key: FeatureKey,
    has_outcome: AtomicBool,
}

impl Trial {
    /// A trial of the request `key` that was taken.
    pub(super) fn new(relay: Arc<Relay>, key: FeatureKey) -> Self {
        Self { relay, key, has_outcome: AtomicBool::new(false) }
    }

    /// The feature that is tried.
    pub(super) fn key(&self) -> FeatureKey {
        self.key
    }

    /// Records that the leader will learn the outcome: the request was served, or its response
    /// broke off.
    pub(super) fn mark_outcome_known(&self) {
        self.has_outcome.store(true, Ordering::Relaxed);
    }
}

impl Drop for Trial {
    fn drop(&mut self) {
        if !*self.has_outcome.get_mut() {
            let reason = "its request ended neither served nor broken off";
            self.relay.crashes.return_trial(self.key, reason);
        }
    }
}

/// Counts a request as waiting for a trial until it is dropped.
pub(super) struct TrialWait<'a> {
    relay: &'a Relay,
    key: FeatureKey,
}

impl<'a> TrialWait<'a> {
    pub(super) fn new(relay: &'a Relay, key: FeatureKey) -> Self {
        relay.crashes.standings().begin_wait(key);
        Self { relay, key }
    }
}

impl Drop for TrialWait<'_> {
    fn drop(&mut self) {
        self.relay.crashes.standings().end_wait(&self.key);
    }
}
