//! What the leader's confirmations tell a gateway: how old its knowledge is, whether it may decide on
//! requests with it, and for how long it may accept keys.

use std::sync::{MutexGuard, PoisonError};

use super::shared::Relay;
use crate::metrics::Timer;
use crate::policy::freshness::{Freshness, Knowledge};

/// How often a request that waits for a confirmation checks whether the gateway is disconnected from
/// control.
pub(super) const CHECK_INTERVAL_MS: u64 = 25;
/// How long keys are accepted without a confirmation, in percent of the time within which a revoked
/// key must stop working; less than 100 because clocks run at different rates.
const KEY_LEASE_PERCENT: u64 = 95;

impl Relay {
    fn freshness(&self) -> MutexGuard<'_, Freshness> {
        self.freshness.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that this gateway has received all changes up to the time the confirmed renewal was
    /// sent.
    pub(super) fn note_confirmed(&self, sent_at_ms: u64) {
        self.freshness().confirm(sent_at_ms);
        self.confirmed.notify_waiters();
        self.send_lease.confirm(sent_at_ms);
        self.gateways().note_confirmed(sent_at_ms);
        self.fleet().note_confirmed(sent_at_ms);
    }

    /// The age of what this gateway knows; `None` before the first confirmed renewal.
    pub(super) fn known_age_ms(&self, now_ms: u64) -> Option<u64> {
        self.freshness().age_ms(now_ms)
    }

    /// True once any renewal was confirmed, however long ago.
    pub(super) fn has_been_confirmed(&self) -> bool {
        self.known_age_ms(self.now_ms()).is_some()
    }

    /// True if this gateway knows all changes but the latest, for example to answer that no route
    /// matches.
    pub(super) fn is_up_to_date(&self, now_ms: u64) -> bool {
        self.has_been_confirmed() && self.freshness().check(now_ms) == Knowledge::Fresh
    }

    /// True if a request may be sent with what this gateway knows now.
    pub(super) fn may_decide(&self, now_ms: u64) -> bool {
        self.freshness().check(now_ms) != Knowledge::Awaited
    }

    /// True if a request that was assigned to `endpoint` before a wait may be sent to it now.
    pub(super) fn may_still_send(&self, endpoint: &str) -> bool {
        let now_ms = self.now_ms();
        self.may_decide(now_ms) && self.fleet().is_available(now_ms, endpoint)
    }

    /// Waits until requests may be sent with what this gateway knows; returns false if that is still
    /// not the case at `until_ms`.
    pub(super) async fn await_knowledge(&self, until_ms: u64) -> bool {
        let started_ms = self.now_ms();
        let mut now_ms = started_ms;
        let may_decide = loop {
            let confirmed = self.confirmed.notified();
            if self.may_decide(now_ms) {
                break true;
            }
            if now_ms >= until_ms {
                break false;
            }
            let wake_at_ms = until_ms.min(now_ms + CHECK_INTERVAL_MS);
            let _ = self.clock.timeout_at(wake_at_ms, confirmed).await;
            now_ms = self.now_ms();
        };
        if now_ms > started_ms {
            self.metrics.time(Timer::ConfirmationWait, now_ms - started_ms);
        }
        may_decide
    }

    /// How much longer the known keys may be accepted; 0 if not at all.
    ///
    /// The gateway knows of a revoked key by the first confirmed renewal that it sent after the
    /// revocation. So without confirmations it accepts keys for less than the time within which a
    /// revoked key must stop working, measured by a clock that keeps running while the process is
    /// suspended.
    pub(super) fn keys_valid_ms(&self, now_ms: u64) -> u64 {
        let Some(within_ms) = self.settings.revoked_within_ms else { return u64::MAX };
        let lease_ms = within_ms * KEY_LEASE_PERCENT / 100;
        self.known_age_ms(now_ms).map_or(0, |age_ms| lease_ms.saturating_sub(age_ms))
    }
}
