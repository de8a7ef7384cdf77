//! Where streams began: this gateway's own records, and questions to the leader.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::{Notify, oneshot};

use super::exchange::Exchange;
use super::refusal::NotSent;
use crate::clock::Clock;
use crate::message::{BegunStreams, OriginAsk, StreamKey, StreamOrigin};
use crate::metrics::Counter;
use crate::policy::stream_origins::{StreamOrigins, group_by_origin};
use crate::routing::Repeat;

/// How long records are collected before they are sent to the leader.
const BATCH_MS: u64 = 20;
/// How long the leader may take to answer: a few round trips, and a round of its group.
const ANSWER_TIMEOUT_MS: u64 = 500;
/// The pause before the leader is asked again. The record of a stream that broke off right after it
/// began may still be on its way.
const ASK_AGAIN_MS: u64 = 100;
/// How often the leader is asked for one request.
const ASKS_MAX: u32 = 2;

/// The streams that began at this gateway, and questions about others.
#[derive(Debug)]
pub(super) struct Origins {
    clock: Clock,
    inner: Mutex<Inner>,
    /// Notified when there is something to send to the leader.
    pub(super) wanted: Notify,
}

#[derive(Debug, Default)]
struct Inner {
    own: StreamOrigins,
    /// Streams that were not reported to the leader yet.
    untold: Vec<(StreamKey, StreamOrigin)>,
    /// When they are sent; `None` if there are none.
    tell_at_ms: Option<u64>,
    asks: Vec<OriginAsk>,
    waiting: HashMap<StreamKey, Vec<oneshot::Sender<Option<StreamOrigin>>>>,
    is_linked: bool,
}

impl Origins {
    pub(super) fn new(clock: Clock) -> Self {
        Self { clock, inner: Mutex::default(), wanted: Notify::new() }
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that `stream` began, or was continued, at `origin`.
    pub(super) fn record(&self, now_ms: u64, stream: StreamKey, origin: &StreamOrigin) {
        let mut inner = self.inner();
        let begun = BegunStreams { origin: origin.clone(), streams: vec![stream] };
        inner.own.record(now_ms, &begun);
        inner.untold.push((stream, origin.clone()));
        if inner.tell_at_ms.is_none() {
            inner.tell_at_ms = Some(now_ms + BATCH_MS);
            self.wanted.notify_one();
        }
    }

    /// Where the stream began; `None` if neither this gateway nor the leader knows, or if the leader
    /// cannot be asked.
    pub(super) async fn find(&self, ask: OriginAsk) -> Option<StreamOrigin> {
        if let Some(origin) = self.inner().own.get(&ask.stream) {
            return Some(origin.clone());
        }
        for asked in 1..=ASKS_MAX {
            let answer = self.ask(ask.clone())?;
            let until_ms = self.clock.now_ms() + ANSWER_TIMEOUT_MS;
            let origin = self.clock.timeout_at(until_ms, answer).await?.ok()?;
            if origin.is_some() || asked == ASKS_MAX {
                return origin;
            }
            self.clock.sleep_until(self.clock.now_ms() + ASK_AGAIN_MS).await;
        }
        None
    }

    /// Asks the leader; `None` if there is no session with it.
    fn ask(&self, ask: OriginAsk) -> Option<oneshot::Receiver<Option<StreamOrigin>>> {
        let mut inner = self.inner();
        if !inner.is_linked {
            return None;
        }
        let (sender, answer) = oneshot::channel();
        inner.waiting.entry(ask.stream).or_default().push(sender);
        inner.asks.push(ask);
        self.wanted.notify_one();
        Some(answer)
    }

    /// Applies the leader's answer.
    pub(super) fn answered(&self, stream: &StreamKey, origin: Option<&StreamOrigin>) {
        let waiting = self.inner().waiting.remove(stream).unwrap_or_default();
        for sender in waiting {
            // The request may have been given up.
            let _ = sender.send(origin.cloned());
        }
    }

    /// Handles a new session with a leader, which knows none of the streams.
    pub(super) fn linked(&self, now_ms: u64) {
        let mut inner = self.inner();
        inner.is_linked = true;
        inner.untold.clear();
        for BegunStreams { origin, streams } in inner.own.all() {
            inner.untold.extend(streams.into_iter().map(|stream| (stream, origin.clone())));
        }
        inner.tell_at_ms = (!inner.untold.is_empty()).then_some(now_ms);
        drop(inner);
        self.wanted.notify_one();
    }

    /// Handles the end of the session; questions get no answer.
    pub(super) fn unlinked(&self) {
        let mut inner = self.inner();
        inner.is_linked = false;
        inner.asks.clear();
        inner.waiting.clear();
    }

    /// When there are records to send; `u64::MAX` if there are none.
    pub(super) fn tell_at_ms(&self) -> u64 {
        self.inner().tell_at_ms.unwrap_or(u64::MAX)
    }

    /// The questions to send to the leader.
    pub(super) fn take_asks(&self) -> Vec<OriginAsk> {
        std::mem::take(&mut self.inner().asks)
    }

    /// The records to send to the leader, if they are due.
    pub(super) fn take_begun(&self, now_ms: u64) -> Vec<BegunStreams> {
        let mut inner = self.inner();
        if inner.tell_at_ms.is_none_or(|at_ms| now_ms < at_ms) {
            return Vec::new();
        }
        inner.tell_at_ms = None;
        group_by_origin(std::mem::take(&mut inner.untold))
    }
}

impl Exchange {
    /// Finds out where the stream began that the client resumes, and binds the request to it.
    ///
    /// # Errors
    /// That is not known, or its service no longer serves the route.
    pub(super) async fn find_origin(&mut self) -> Result<(), NotSent> {
        if !self.resumes_stream() {
            return Ok(());
        }
        let named = self.meta.resumed_attempt.as_ref().map(|attempt| self.stream_key(attempt));
        let stream = named.unwrap_or_else(StreamKey::unnamed);
        let service = match self.chosen.route.targets.as_slice() {
            [only] => Some(only.service.clone()),
            _ => None,
        };
        let Some(origin) = self.relay.origins.find(OriginAsk { stream, service }).await else {
            self.relay.metrics.count(Counter::StreamsOfUnknownOrigin);
            return Err(NotSent::OriginUnknown);
        };
        let table = self.relay.table();
        let service = table.target(&self.chosen.route, &origin.service);
        self.chosen.service = service.ok_or(NotSent::VersionGone)?;
        // It is kept for as long as the client may resume it again.
        if let Some(stream) = named {
            self.relay.origins.record(self.relay.now_ms(), stream, &origin);
        }
        self.origin = Some(origin);
        Ok(())
    }

    /// True if the client has received events of the stream in an earlier attempt.
    fn resumes_stream(&self) -> bool {
        let has_events = self.meta.last_event.is_some_and(|last_event| last_event > 0);
        self.chosen.route.repeat == Repeat::Resume
            && (has_events || self.meta.resumed_attempt.is_some())
    }

    /// Binds the request to the software version of the endpoint whose first event its client
    /// receives, and records that for resumptions.
    pub(super) fn note_stream_begun(&mut self, software_version: &Arc<str>) {
        if self.origin.is_some() {
            return;
        }
        let origin = StreamOrigin {
            service: self.chosen.service.name.clone(),
            software_version: software_version.clone(),
        };
        let stream = self.stream_key(&self.meta.id);
        self.relay.origins.record(self.relay.now_ms(), stream, &origin);
        self.origin = Some(origin);
    }

    fn stream_key(&self, attempt: &str) -> StreamKey {
        StreamKey::new(self.access.workspace_name().as_deref(), attempt)
    }
}
