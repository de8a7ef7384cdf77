//! The requests of this gateway that wait for capacity; they are woken one by one, in the order
//! that the policy decides.

use std::collections::{HashMap, VecDeque};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use rand::RngExt;
use tokio::sync::Notify;
use tracing::info;

use super::shared::Relay;
use crate::clock::Clock;
use crate::metrics::{Counter, Gauge, Metrics, Timer};
use crate::policy::place_share::{PlaceShare, ServicePlaces};
use crate::policy::waiting_queue::{
    QueueKey, QueueLimits, QueueRefusal, QueueStatus, WaitingQueues, WaitingRequest,
};

/// How long and over how many responses the usual response times of a service are measured.
const RESPONSE_WINDOW_MS: u64 = 5_000;
const RESPONSES_MAX: usize = 64;
/// How often the first request of a queue tries again without a notification, which pauses of
/// endpoints end without; the limits of this interval, and the number of tries a second of all
/// queues together between them.
const RETRY_INTERVAL_MIN_MS: u64 = 25;
const RETRY_INTERVAL_MAX_MS: u64 = 250;
const RETRIES_PER_S: usize = 320;
/// How long the share of free places is kept after the last request waited.
const SHARE_KEPT_MS: u64 = 2_000;

/// The waiting requests of a gateway.
pub struct RequestQueue {
    clock: Clock,
    metrics: Metrics,
    /// The number of waiting requests and shares, so that a request finds out without a lock that
    /// there are none.
    in_use: AtomicUsize,
    state: Mutex<State>,
}

struct State {
    queues: WaitingQueues,
    waiters: HashMap<u64, Waiter>,
    shares: HashMap<QueueKey, KeptShare>,
    response_times: HashMap<Arc<str>, ServiceTimes>,
}

/// A request that waits.
struct Waiter {
    request: Arc<str>,
    wake: Arc<Notify>,
    /// True once a more urgent request has taken its place.
    is_replaced: bool,
}

/// A share of free places, with the time at which it was last needed.
struct KeptShare {
    share: PlaceShare,
    used_at_ms: u64,
}

/// The times of the last responses, each with the time at which it was measured.
#[derive(Default)]
struct ResponseTimes(VecDeque<(u64, u64)>);

impl ResponseTimes {
    fn note(&mut self, now_ms: u64, took_ms: u64) {
        if self.0.len() == RESPONSES_MAX {
            self.0.pop_front();
        }
        self.0.push_back((now_ms, took_ms));
    }

    /// The median; 0 without recent responses.
    fn median_ms(&self, now_ms: u64) -> u64 {
        let mut times = Vec::new();
        for (at_ms, took_ms) in &self.0 {
            if at_ms + RESPONSE_WINDOW_MS >= now_ms {
                times.push(*took_ms);
            }
        }
        times.sort_unstable();
        times.get(times.len() / 2).copied().unwrap_or(0)
    }
}

#[derive(Default)]
struct ServiceTimes {
    to_head: ResponseTimes,
    to_end: ResponseTimes,
}

/// The usual response times of a service as this gateway observed them in the last seconds.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct UsualTimes {
    /// To the head of the response.
    pub(super) to_head_ms: u64,
    /// To the end of the response.
    pub(super) to_end_ms: u64,
}

/// Whether a waiting request may try to be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Turn {
    /// It is the first one.
    Now,
    /// It is the first one, but tries again later, for example because the free places are left to
    /// other gateways.
    RetryLater,
    /// Others go before it.
    NotFirst,
}

impl RequestQueue {
    /// Creates empty queues.
    pub fn new(clock: Clock, metrics: Metrics, limits: QueueLimits) -> Self {
        let state = State {
            queues: WaitingQueues::new(limits),
            waiters: HashMap::new(),
            shares: HashMap::new(),
            response_times: HashMap::new(),
        };
        Self { clock, metrics, in_use: AtomicUsize::new(0), state: Mutex::new(state) }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// True if no request waits, and none has waited recently.
    pub fn is_idle(&self) -> bool {
        self.in_use.load(Ordering::Relaxed) == 0
    }

    /// True if requests compete for this capacity: others wait, here or recently at other gateways.
    pub(super) fn is_contended(&self, key: &QueueKey) -> bool {
        if self.is_idle() {
            return false;
        }
        let mut state = self.state();
        state.forget_shares(self.clock.now_ms());
        self.publish(&state);
        state.queues.has_waiting(key) || state.shares.contains_key(key)
    }

    /// The number of requests that wait in the queue of `key`.
    pub(super) fn waiting(&self, key: &QueueKey) -> usize {
        self.state().queues.waiting(key)
    }

    /// Records a response whose head has arrived.
    pub(super) fn note_head(&self, now_ms: u64, service: &Arc<str>, took_ms: u64) {
        let mut state = self.state();
        state.response_times.entry(service.clone()).or_default().to_head.note(now_ms, took_ms);
    }

    /// Records a response that has ended.
    pub(super) fn note_end(&self, now_ms: u64, service: &Arc<str>, took_ms: u64) {
        let mut state = self.state();
        state.response_times.entry(service.clone()).or_default().to_end.note(now_ms, took_ms);
    }

    pub(super) fn usual_times(&self, now_ms: u64, service: &Arc<str>) -> UsualTimes {
        let state = self.state();
        let Some(times) = state.response_times.get(service) else { return UsualTimes::default() };
        UsualTimes {
            to_head_ms: times.to_head.median_ms(now_ms),
            to_end_ms: times.to_end.median_ms(now_ms),
        }
    }

    /// `Retry-After` of a request that is refused after or instead of waiting.
    pub(super) fn retry_after_ms(&self, now_ms: u64, key: &QueueKey) -> u64 {
        self.state().queues.retry_after_ms(now_ms, key, rand::rng().random())
    }

    /// How soon the first request of a queue tries again if nothing wakes it: later if there are many
    /// queues, since each try is a search for an endpoint.
    pub fn retry_interval_ms(&self) -> u64 {
        let queues = self.state().queues.busy_queues();
        ((queues * 1_000 / RETRIES_PER_S) as u64)
            .clamp(RETRY_INTERVAL_MIN_MS, RETRY_INTERVAL_MAX_MS)
    }

    /// The queues in which requests wait.
    pub fn status(&self, now_ms: u64) -> Vec<QueueStatus> {
        self.state().queues.status(now_ms)
    }

    /// Wakes the first request of each queue for which `concerns` is true, because its capacity may
    /// have become free.
    pub fn wake_firsts(&self, now_ms: u64, concerns: impl Fn(&QueueKey) -> bool) {
        if self.is_idle() {
            return;
        }
        let mut state = self.state();
        state.queues.note_capacity(&concerns);
        for ticket in state.queues.firsts(now_ms, &concerns) {
            if let Some(waiter) = state.waiters.get(&ticket) {
                waiter.wake.notify_one();
            }
        }
    }

    /// Records that an endpoint rejected a request because it is full.
    pub(super) fn note_rejected(&self, key: &QueueKey) {
        if let Some(kept) = self.state().shares.get_mut(key) {
            kept.share.note_rejected();
        }
    }

    /// Adds a request to the queue of `key`.
    ///
    /// # Errors
    /// The request cannot be served in time, or the queues are full of requests that are at least
    /// as urgent.
    pub fn join(
        self: &Arc<Self>,
        now_ms: u64,
        key: &QueueKey,
        id: &str,
        request: WaitingRequest,
    ) -> Result<QueuePlace, QueueRefusal> {
        let mut state = self.state();
        let joined = state.queues.push(now_ms, key, request)?;
        let wake = Arc::new(Notify::new());
        let waiter = Waiter { request: id.into(), wake: wake.clone(), is_replaced: false };
        state.waiters.insert(joined.ticket, waiter);
        for ticket in joined.replaced {
            let Some(waiter) = state.waiters.get_mut(&ticket) else { continue };
            waiter.is_replaced = true;
            waiter.wake.notify_one();
            self.metrics.count(Counter::RequestsReplacedInQueue);
            info!(event = "queue_replaced", request = %waiter.request, by = id);
        }
        self.publish(&state);
        drop(state);
        Ok(QueuePlace {
            queue: self.clone(),
            key: key.clone(),
            ticket: joined.ticket,
            wake,
            joined_at_ms: now_ms,
            request,
        })
    }

    fn publish(&self, state: &State) {
        let waiting = state.queues.len();
        self.in_use.store(waiting + state.shares.len(), Ordering::Relaxed);
        self.metrics.gauge(Gauge::RequestsWaiting, waiting as u64);
    }

    fn shared_keys(&self) -> Vec<QueueKey> {
        if self.is_idle() {
            return Vec::new();
        }
        self.state().shares.keys().cloned().collect()
    }
}

impl State {
    /// Drops the shares that are not needed any more, also if no counts arrive.
    fn forget_shares(&mut self, now_ms: u64) {
        let queues = &self.queues;
        self.shares.retain(|key, kept| {
            queues.has_waiting(key) || now_ms < kept.used_at_ms + SHARE_KEPT_MS
        });
    }

    fn wake_first(&mut self, now_ms: u64, key: &QueueKey) {
        let Some(ticket) = self.queues.first(now_ms, key) else { return };
        if let Some(waiter) = self.waiters.get(&ticket) {
            waiter.wake.notify_one();
        }
    }
}

impl Relay {
    /// Records that a request of this gateway for `key` left `endpoint`, and wakes the first
    /// requests that the endpoint may take.
    pub(super) fn note_place_left(&self, now_ms: u64, endpoint: &str, key: &QueueKey) {
        if self.fleet().slot_leases.contains(endpoint) {
            self.slots.changed.notify_one();
        }
        if self.queue.is_idle() {
            return;
        }
        if let Some(kept) = self.queue.state().shares.get_mut(key) {
            kept.share.note_ended();
        }
        let fleet = self.fleet();
        self.queue.wake_firsts(now_ms, |waiting| fleet.may_take(endpoint, waiting));
    }

    /// Applies new load counts of `endpoints` to the shares of free places, and wakes the first
    /// requests that these endpoints may take.
    pub(super) fn note_counts(&self, endpoints: &[Arc<str>]) {
        let now_ms = self.now_ms();
        for key in self.queue.shared_keys() {
            let (gateways, places) = self.places(now_ms, &key);
            let mut state = self.queue.state();
            let is_waiting = state.queues.has_waiting(&key);
            let Some(kept) = state.shares.get_mut(&key) else { continue };
            kept.share.note_counts(now_ms, gateways, places, rand::rng().random());
            if is_waiting {
                kept.used_at_ms = now_ms;
            } else if kept.share.is_whole() {
                state.shares.remove(&key);
                self.queue.publish(&state);
            }
        }
        if self.queue.is_idle() {
            return;
        }
        let fleet = self.fleet();
        let free: Vec<_> = endpoints.iter().filter(|id| fleet.has_free_slot(id)).collect();
        self.queue.wake_firsts(now_ms, |key| {
            // Plain endpoints also take requests that wait in their queues.
            key.weights.is_none() || free.iter().any(|id| fleet.may_take(id, key))
        });
    }

    /// Applies places of the queues for which `concerns` is true, which became known by a
    /// registration or a load of weights, and wakes the first requests.
    pub(super) fn note_places(&self, concerns: impl Fn(&QueueKey) -> bool) {
        let now_ms = self.now_ms();
        for key in self.queue.shared_keys() {
            if !concerns(&key) {
                continue;
            }
            let (_, places) = self.places(now_ms, &key);
            if let Some(kept) = self.queue.state().shares.get_mut(&key) {
                kept.share.note_places(places, rand::rng().random());
            }
        }
        self.queue.wake_firsts(now_ms, concerns);
    }

    fn places(&self, now_ms: u64, key: &QueueKey) -> (usize, ServicePlaces) {
        let fleet = self.fleet();
        (fleet.gateways, fleet.places(now_ms, key))
    }

    /// Whether the request that waits at `place` may try to be sent. If others go before it, wakes
    /// the first one.
    pub(super) fn turn(&self, now_ms: u64, place: &QueuePlace) -> Turn {
        let key = &place.key;
        if !place.is_first(now_ms) {
            return Turn::NotFirst;
        }
        // A request in time waits for a few requests at most, so an endpoint that all gateways
        // select at once is soon free again. Late requests would take the places of those in time.
        if !place.request.is_late(now_ms) {
            return Turn::Now;
        }
        // Leased slots are this gateway's share of the places.
        if self.fleet().needs_lease(now_ms, &key.service) {
            return Turn::Now;
        }
        let (gateways, places) = self.places(now_ms, key);
        // Without a free place there is nothing to leave to others; the search tells what to wait
        // for.
        if gateways <= 1 || places.free == 0 {
            return Turn::Now;
        }
        let draw = rand::rng().random();
        let mut state = self.queue.state();
        let kept = state.shares.entry(key.clone()).or_insert_with(|| KeptShare {
            share: PlaceShare::new(now_ms, gateways, places, draw),
            used_at_ms: now_ms,
        });
        if kept.share.is_overdue(now_ms) {
            kept.share.note_counts(now_ms, gateways, places, draw);
        }
        kept.used_at_ms = now_ms;
        let may_send = kept.share.may_send();
        self.queue.publish(&state);
        if may_send { Turn::Now } else { Turn::RetryLater }
    }
}

/// The place of a request in a queue. Dropping it frees the place, also when the client leaves, and
/// lets the next request try.
pub struct QueuePlace {
    queue: Arc<RequestQueue>,
    key: QueueKey,
    ticket: u64,
    wake: Arc<Notify>,
    joined_at_ms: u64,
    pub(super) request: WaitingRequest,
}

impl QueuePlace {
    /// Waits until the request should try to be sent, or is refused.
    pub async fn woken(&self) {
        self.wake.notified().await;
    }

    /// True if no other request goes before it. Otherwise wakes the first one.
    pub fn is_first(&self, now_ms: u64) -> bool {
        let mut state = self.queue.state();
        let is_first = state.queues.first(now_ms, &self.key) == Some(self.ticket);
        if !is_first {
            state.wake_first(now_ms, &self.key);
        }
        is_first
    }

    /// True if a more urgent request has taken the place.
    pub fn is_replaced(&self) -> bool {
        let state = self.queue.state();
        state.waiters.get(&self.ticket).is_some_and(|waiter| waiter.is_replaced)
    }

    /// Lets the requests behind it try, although it could not be sent itself.
    pub(super) fn let_others_pass(&self) {
        let mut state = self.queue.state();
        if state.queues.let_others_pass(self.ticket) {
            state.wake_first(self.queue.clock.now_ms(), &self.key);
        }
    }

    /// Checks again whether the request can be served in time.
    ///
    /// # Errors
    /// The request is expected to wait for too long.
    pub fn recheck(&self, now_ms: u64) -> Result<(), QueueRefusal> {
        self.queue.state().queues.recheck(now_ms, self.ticket)
    }

    /// Records that an endpoint was selected for the request. The next request tries when the place
    /// is dropped.
    pub fn note_sent(&self, now_ms: u64) {
        let mut state = self.queue.state();
        state.queues.note_sent(now_ms, &self.key, self.ticket);
        if let Some(kept) = state.shares.get_mut(&self.key) {
            kept.share.note_sent();
        }
        self.queue.publish(&state);
        self.queue.metrics.time(Timer::QueueWait, now_ms.saturating_sub(self.joined_at_ms));
    }
}

impl Drop for QueuePlace {
    fn drop(&mut self) {
        let now_ms = self.queue.clock.now_ms();
        let mut state = self.queue.state();
        state.waiters.remove(&self.ticket);
        state.queues.remove(self.ticket);
        state.wake_first(now_ms, &self.key);
        self.queue.publish(&state);
    }
}
