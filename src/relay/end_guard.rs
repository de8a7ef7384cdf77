//! Logs requests that end without any other line about their end: the client's connection has ended,
//! or the process ends.

use std::sync::Arc;

use tracing::info;

use super::shared::Relay;
use crate::metrics::Counter;

/// Logs and counts a request when it is dropped, unless its end was logged before.
pub(super) struct EndGuard {
    relay: Arc<Relay>,
    request: Arc<str>,
    route: Arc<str>,
    started_ms: u64,
    /// True once an endpoint has started a response for the client.
    has_answered: bool,
    is_logged: bool,
}

impl EndGuard {
    pub(super) fn new(
        relay: Arc<Relay>,
        request: Arc<str>,
        route: Arc<str>,
        started_ms: u64,
    ) -> Self {
        Self { relay, request, route, started_ms, has_answered: false, is_logged: false }
    }

    /// A guard of a continuation, whose end says nothing about the client's request.
    pub(super) fn beside(&self) -> Self {
        let Self { relay, request, route, started_ms, .. } = self;
        let mut guard = Self::new(relay.clone(), request.clone(), route.clone(), *started_ms);
        guard.note_logged();
        guard
    }

    /// Records that an endpoint has started a response for the client.
    pub(super) fn note_answered(&mut self) {
        self.has_answered = true;
    }

    /// Records that the end of the request is logged elsewhere.
    pub(super) fn note_logged(&mut self) {
        self.is_logged = true;
    }
}

impl Drop for EndGuard {
    fn drop(&mut self) {
        if self.is_logged {
            return;
        }
        let Self { relay, request, route, .. } = self;
        relay.metrics.count(Counter::CallersGone);
        info!(
            event = "request_dropped",
            request = %request,
            route = %route,
            answered = self.has_answered,
            stopping = relay.is_stopping(),
            after_ms = relay.now_ms().saturating_sub(self.started_ms)
        );
    }
}
