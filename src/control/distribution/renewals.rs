//! Replies to gateways that wait until the leader has confirmed a renewal of the link.

use std::collections::BTreeMap;

/// How long renewals of gateways are batched; a gateway renews every 300 ms and may send orders for
/// one second after a confirmed renewal.
const RENEW_BATCH_MS: u64 = 40;
/// The maximum time between two renewals of the link, which detect a lost leader.
const RENEW_INTERVAL_MAX_MS: u64 = 150;

/// A reply that a gateway gets once the leader has confirmed a renewal of the link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum AwaitedReply {
    /// The welcome of a new session.
    Welcome { session: u64 },
    /// The answer to a renewal of a gateway.
    Renewal { session: u64, sent_at_ms: u64 },
}

/// The renewals of the link, and the replies that each of them lets go.
#[derive(Debug, Default)]
pub(super) struct LinkRenewals {
    /// Replies that wait for the next renewal.
    waiting: Vec<AwaitedReply>,
    /// Replies that wait for renewals already sent, by renewal number.
    sent: BTreeMap<u64, Vec<AwaitedReply>>,
    /// The number of the last renewal sent.
    number: u64,
    renewed_at_ms: u64,
}

impl LinkRenewals {
    /// Creates the renewals of a link that has not been opened.
    pub(super) fn new() -> Self {
        Self::default()
    }

    /// Lets `reply` wait for the next renewal, since the leader may confirm earlier ones without
    /// having sent all that the gateway should know before.
    pub(super) fn await_next(&mut self, reply: AwaitedReply) {
        self.waiting.push(reply);
    }

    /// True if the link should be renewed now.
    pub(super) fn is_due(&self, now_ms: u64) -> bool {
        let interval_ms =
            if self.waiting.is_empty() { RENEW_INTERVAL_MAX_MS } else { RENEW_BATCH_MS };
        now_ms >= self.renewed_at_ms + interval_ms
    }

    /// Starts a renewal for all replies that wait; returns its number and the sessions of the
    /// gateways that renew with it.
    pub(super) fn start(&mut self, now_ms: u64) -> (u64, Vec<u64>) {
        self.renewed_at_ms = now_ms;
        self.number += 1;
        let waiting = std::mem::take(&mut self.waiting);
        let mut renewing = Vec::new();
        for reply in &waiting {
            let AwaitedReply::Renewal { session, .. } = reply else { continue };
            renewing.push(*session);
        }
        self.sent.insert(self.number, waiting);
        (self.number, renewing)
    }

    /// Returns the replies that waited for renewal `number`.
    pub(super) fn take_confirmed(&mut self, number: u64) -> Vec<AwaitedReply> {
        self.sent.remove(&number).unwrap_or_default()
    }

    /// Handles a new link, whose welcome counts as a renewal.
    pub(super) fn linked(&mut self, now_ms: u64) {
        self.renewed_at_ms = now_ms;
    }

    /// Handles the end of the link: the next leader confirms renewals that were not confirmed yet.
    pub(super) fn unlinked(&mut self) {
        for replies in std::mem::take(&mut self.sent).into_values() {
            self.waiting.extend(replies);
        }
    }

    /// Forgets the replies of sessions that have ended.
    pub(super) fn clear(&mut self) {
        self.waiting.clear();
        self.sent.clear();
    }

    /// The number of replies that wait for the next renewal.
    pub(super) fn waiting(&self) -> usize {
        self.waiting.len()
    }
}
