//! Decides the order of requests that wait for capacity, and which of them are refused.
//!
//! Requests of one service, or of one service and its weights, compete for the same capacity and
//! form one queue. Requests that can meet their latency objective go first, then by priority.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use super::fair_share::ShareClass;
use crate::message::WeightsName;

/// The time over which the rates of a queue are measured.
const RATE_WINDOW_MS: u64 = 2_000;
/// The shortest time over which a rate is used; over less, single requests decide it.
const RATE_MIN_MS: u64 = 300;
/// One in this many requests sent from a queue is of a lower priority than the first one, if such a
/// request waits that is still in time: a less urgent kind of request is delayed, but not starved.
const LOWER_PRIORITY_INTERVAL: u32 = 10;
/// The limits of `Retry-After`.
const RETRY_AFTER_MIN_MS: u64 = 100;
const RETRY_AFTER_MAX_MS: u64 = 2_000;
/// `Retry-After` of a queue whose rate is unknown; about the time of a load, or of a few responses.
const RETRY_AFTER_UNKNOWN_MS: u64 = 300;
/// The jitter of `Retry-After`, as a share of it. Without jitter, the clients that were refused
/// together would return together.
const RETRY_AFTER_JITTER: f64 = 0.5;

/// The bounds of all queues of a gateway together.
#[derive(Debug, Clone, Copy)]
pub struct QueueLimits {
    /// The maximum number of waiting requests.
    pub requests: usize,
    /// The maximum total size of their bodies.
    pub size_bytes: usize,
}

impl Default for QueueLimits {
    fn default() -> Self {
        Self { requests: 1_000, size_bytes: 16 << 20 }
    }
}

/// A request that waits for capacity.
#[derive(Debug, Clone, Copy)]
pub struct WaitingRequest {
    /// The priority of the request; 0 is the most urgent.
    pub priority: u8,
    /// When the request arrived.
    pub started_ms: u64,
    /// The last time at which it can be sent and usually meet its latency objective.
    pub objective_at_ms: u64,
    /// The last time at which it can be sent and usually be answered before its deadline.
    pub give_up_at_ms: u64,
    /// Whether the request is within the share of its workspace.
    pub share: ShareClass,
    /// The size of its body.
    pub size_bytes: usize,
}

impl WaitingRequest {
    /// True if it will miss its latency objective; all requests in time go before it.
    pub fn is_late(&self, now_ms: u64) -> bool {
        now_ms > self.objective_at_ms
    }

    /// When to check once more whether the request can be served: after a tenth of its deadline, when
    /// a refused client can still retry in time.
    pub fn recheck_at_ms(&self) -> u64 {
        self.started_ms + self.give_up_at_ms.saturating_sub(self.started_ms) / 10
    }

    /// The position in the order; smaller goes first.
    fn rank(&self, now_ms: u64) -> (bool, u8, ShareClass, u64) {
        let is_late = self.is_late(now_ms);
        let due_ms = if is_late { self.give_up_at_ms } else { self.objective_at_ms };
        (is_late, self.priority, self.share, due_ms)
    }
}

/// The capacity that the requests of one queue compete for.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct QueueKey {
    /// The service.
    pub service: Arc<str>,
    /// The weights that an engine must hold; `None` for a plain service.
    pub weights: Option<WeightsName>,
}

/// A request that joined a queue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Joined {
    /// Identifies the request.
    pub ticket: u64,
    /// Less urgent requests that had to leave because the queues were full; they are to be refused.
    pub replaced: Vec<u64>,
}

/// Why a request is refused instead of waiting.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QueueRefusal {
    /// The queues are full of requests that are at least as urgent.
    Full,
    /// The request is expected to wait for too long.
    DeadlineUnreachable,
}

/// A queue for the state dump.
#[derive(Debug, Clone, PartialEq)]
pub struct QueueStatus {
    /// The capacity that the requests compete for.
    pub key: QueueKey,
    /// The number of waiting requests.
    pub length: usize,
    /// How long the oldest of them has waited.
    pub oldest_ms: u64,
    /// The rate at which requests left the queue; `None` if it is unknown.
    pub sent_per_s: Option<f64>,
}

#[derive(Debug)]
struct Entry {
    ticket: u64,
    request: WaitingRequest,
    /// True if it could not be sent where others may be, until capacity may have become free.
    is_passed: bool,
}

/// The requests that compete for one capacity.
#[derive(Debug)]
struct Queue {
    waiting: Vec<Entry>,
    /// Since when the queue has not been empty.
    busy_since_ms: u64,
    /// The time of each send, and whether the request was late.
    sent: VecDeque<(u64, bool)>,
    /// The number of requests sent, while less urgent ones waited, since one of these was sent.
    sent_since_lower: u32,
    /// The time and priority of each request that joined.
    joined: VecDeque<(u64, u8)>,
}

impl Queue {
    fn new(now_ms: u64) -> Self {
        Self {
            waiting: Vec::new(),
            busy_since_ms: now_ms,
            sent: VecDeque::new(),
            sent_since_lower: 0,
            joined: VecDeque::new(),
        }
    }

    fn forget_old(&mut self, now_ms: u64) {
        let from_ms = now_ms.saturating_sub(RATE_WINDOW_MS);
        while self.sent.front().is_some_and(|(at_ms, _)| *at_ms < from_ms) {
            self.sent.pop_front();
        }
        while self.joined.front().is_some_and(|(at_ms, _)| *at_ms < from_ms) {
            self.joined.pop_front();
        }
    }

    /// The time over which the rates are measured; `None` if it is too short.
    fn measured_ms(&self, now_ms: u64) -> Option<u64> {
        let measured_ms = now_ms.saturating_sub(self.busy_since_ms).min(RATE_WINDOW_MS);
        (measured_ms >= RATE_MIN_MS).then_some(measured_ms)
    }

    /// The rate at which requests are sent from the queue. `None` if it is unknown, also if nothing
    /// was sent, for example while weights are being loaded: this says nothing about the time after
    /// the load.
    fn rate_per_ms(&self, now_ms: u64) -> Option<f64> {
        let measured_ms = self.measured_ms(now_ms)?;
        let from_ms = now_ms - measured_ms;
        let sent = self.sent.iter().filter(|(at_ms, _)| *at_ms >= from_ms).count();
        (sent > 0).then(|| sent as f64 / measured_ms as f64)
    }

    /// The rate at which late requests are sent from the queue.
    fn late_rate_per_ms(&self, now_ms: u64) -> f64 {
        let Some(measured_ms) = self.measured_ms(now_ms) else { return 0.0 };
        let from_ms = now_ms - measured_ms;
        let sent = self.sent.iter().filter(|(at_ms, is_late)| *at_ms >= from_ms && *is_late);
        sent.count() as f64 / measured_ms as f64
    }

    /// The request that may be sent next.
    fn first(&self, now_ms: u64) -> Option<&Entry> {
        let waiting = || self.waiting.iter().filter(|entry| now_ms < entry.request.give_up_at_ms);
        let rank = |entry: &&Entry| (entry.is_passed, entry.request.rank(now_ms), entry.ticket);
        let first = waiting().min_by_key(rank)?;
        if self.sent_since_lower + 1 < LOWER_PRIORITY_INTERVAL {
            return Some(first);
        }
        let is_lower = |entry: &&Entry| {
            entry.request.priority > first.request.priority && !entry.request.is_late(now_ms)
        };
        waiting().filter(is_lower).min_by_key(rank).or(Some(first))
    }

    fn note_sent(&mut self, now_ms: u64, ticket: u64) {
        let Some(sent) = self.waiting.iter().find(|entry| entry.ticket == ticket) else { return };
        let WaitingRequest { priority, .. } = sent.request;
        self.sent.push_back((now_ms, sent.request.is_late(now_ms)));
        let mut others = self.waiting.iter().filter(|entry| entry.ticket != ticket);
        let has_more_urgent = others.clone().any(|entry| entry.request.priority < priority);
        let has_less_urgent = others.any(|entry| entry.request.priority > priority);
        let count = if has_less_urgent { self.sent_since_lower + 1 } else { 0 };
        self.sent_since_lower = if has_more_urgent { 0 } else { count };
        self.forget_old(now_ms);
    }

    /// The rate at which requests of up to `priority` join.
    fn joining_per_ms(&self, now_ms: u64, priority: Option<u8>) -> f64 {
        let (Some(measured_ms), Some(priority)) = (self.measured_ms(now_ms), priority) else {
            return 0.0;
        };
        let from_ms = now_ms - measured_ms;
        let is_counted = |(at_ms, joined): &&(u64, u8)| *at_ms >= from_ms && *joined <= priority;
        self.joined.iter().filter(is_counted).count() as f64 / measured_ms as f64
    }

    /// The number of waiting requests that go before one of `rank`; `except` is not counted.
    fn ahead(&self, now_ms: u64, rank: (bool, u8, ShareClass, u64), except: u64) -> usize {
        let is_ahead = |entry: &&Entry| {
            entry.ticket != except
                && entry.request.give_up_at_ms > now_ms
                && entry.request.rank(now_ms) <= rank
        };
        self.waiting.iter().filter(is_ahead).count()
    }

    /// True if the request is expected to be sent too late: neither in time for its latency
    /// objective nor, after the requests in time, before its deadline. Requests that will overtake
    /// it are expected to join at the present rate.
    fn misses_deadline(&self, now_ms: u64, request: &WaitingRequest, ticket: u64) -> bool {
        if now_ms >= request.give_up_at_ms {
            return true;
        }
        let Some(rate) = self.rate_per_ms(now_ms) else { return false };
        let fits = |ahead: usize, net: f64, until_ms: u64| {
            net > 0.0 && (ahead + 1) as f64 / net <= until_ms.saturating_sub(now_ms) as f64
        };
        let rank = request.rank(now_ms);
        let more_urgent = self.joining_per_ms(now_ms, request.priority.checked_sub(1));
        let ahead = self.ahead(now_ms, rank, ticket);
        if !request.is_late(now_ms) && fits(ahead, rate - more_urgent, request.objective_at_ms) {
            return false;
        }
        let late = (true, request.priority, request.share, request.give_up_at_ms);
        let ahead = self.ahead(now_ms, late, ticket);
        let left = rate - self.joining_per_ms(now_ms, Some(u8::MAX));
        !fits(ahead, left.max(self.late_rate_per_ms(now_ms)), request.give_up_at_ms)
    }
}

/// The waiting requests of a gateway.
#[derive(Debug)]
pub struct WaitingQueues {
    limits: QueueLimits,
    queues: HashMap<QueueKey, Queue>,
    keys: HashMap<u64, QueueKey>,
    size_bytes: usize,
    tickets: u64,
}

impl WaitingQueues {
    /// Creates empty queues.
    pub fn new(limits: QueueLimits) -> Self {
        Self { limits, queues: HashMap::new(), keys: HashMap::new(), size_bytes: 0, tickets: 0 }
    }

    /// Adds a request to a queue. If the queues are full, it replaces less urgent requests.
    ///
    /// # Errors
    /// The request cannot be served in time, or the queues are full of requests that are at least
    /// as urgent.
    pub fn push(
        &mut self,
        now_ms: u64,
        key: &QueueKey,
        request: WaitingRequest,
    ) -> Result<Joined, QueueRefusal> {
        self.forget_idle(now_ms);
        let queue = self.queues.entry(key.clone()).or_insert_with(|| Queue::new(now_ms));
        if queue.waiting.is_empty() {
            queue.busy_since_ms = now_ms;
        }
        queue.forget_old(now_ms);
        if queue.misses_deadline(now_ms, &request, 0) {
            return Err(QueueRefusal::DeadlineUnreachable);
        }
        let replaced = self.make_room(now_ms, &request).ok_or(QueueRefusal::Full)?;
        for ticket in &replaced {
            self.remove(*ticket);
        }
        self.tickets += 1;
        let ticket = self.tickets;
        self.size_bytes += request.size_bytes;
        self.keys.insert(ticket, key.clone());
        let queue = self.queues.entry(key.clone()).or_insert_with(|| Queue::new(now_ms));
        queue.waiting.push(Entry { ticket, request, is_passed: false });
        queue.joined.push_back((now_ms, request.priority));
        Ok(Joined { ticket, replaced })
    }

    /// The requests that have to leave so that `request` fits; `None` if one of them is at least as
    /// urgent.
    fn make_room(&self, now_ms: u64, request: &WaitingRequest) -> Option<Vec<u64>> {
        let (mut waiting, mut size_bytes) =
            (self.keys.len() + 1, self.size_bytes + request.size_bytes);
        let fits = |waiting: usize, size_bytes: usize| {
            waiting <= self.limits.requests && size_bytes <= self.limits.size_bytes
        };
        if fits(waiting, size_bytes) {
            return Some(Vec::new());
        }
        let mut others: Vec<&Entry> =
            self.queues.values().flat_map(|queue| queue.waiting.iter()).collect();
        others.sort_by_key(|entry| (entry.request.rank(now_ms), entry.ticket));
        let mut replaced = Vec::new();
        while !fits(waiting, size_bytes) {
            let least = others.pop()?;
            if least.request.rank(now_ms) <= request.rank(now_ms) {
                return None;
            }
            waiting -= 1;
            size_bytes -= least.request.size_bytes;
            replaced.push(least.ticket);
        }
        Some(replaced)
    }

    /// Drops the queues that are empty and whose rates are out of date.
    fn forget_idle(&mut self, now_ms: u64) {
        self.queues.retain(|_, queue| {
            let last_ms = queue.sent.back().map_or(queue.busy_since_ms, |(at_ms, _)| *at_ms);
            !queue.waiting.is_empty() || last_ms + RATE_WINDOW_MS > now_ms
        });
    }

    /// Removes a request that no longer waits.
    pub fn remove(&mut self, ticket: u64) {
        let Some(key) = self.keys.remove(&ticket) else { return };
        let Some(queue) = self.queues.get_mut(&key) else { return };
        let Some(position) = queue.waiting.iter().position(|entry| entry.ticket == ticket) else {
            return;
        };
        self.size_bytes -= queue.waiting.swap_remove(position).request.size_bytes;
    }

    /// The request that may be sent next; `None` if none waits that can still be answered.
    pub fn first(&self, now_ms: u64, key: &QueueKey) -> Option<u64> {
        self.queues.get(key)?.first(now_ms).map(|entry| entry.ticket)
    }

    /// The first request of each queue for which `concerns` is true, the most urgent one first.
    pub fn firsts(&self, now_ms: u64, concerns: impl Fn(&QueueKey) -> bool) -> Vec<u64> {
        let mut firsts = Vec::new();
        for (key, queue) in &self.queues {
            if queue.waiting.is_empty() || !concerns(key) {
                continue;
            }
            let first = queue.first(now_ms);
            firsts.extend(first.map(|entry| (entry.request.rank(now_ms), entry.ticket)));
        }
        firsts.sort_unstable();
        firsts.into_iter().map(|(_, ticket)| ticket).collect()
    }

    /// Lets the others go before a request that could not be sent, until capacity may have become
    /// free: a request over its share needs a free slot, and others may use places in the queue of a
    /// plain endpoint. Returns true if others wait and may try now.
    pub fn let_others_pass(&mut self, ticket: u64) -> bool {
        let Some(queue) = self.keys.get(&ticket).and_then(|key| self.queues.get_mut(key)) else {
            return false;
        };
        let has_others =
            queue.waiting.iter().any(|entry| !entry.is_passed && entry.ticket != ticket);
        for entry in &mut queue.waiting {
            entry.is_passed |= entry.ticket == ticket;
        }
        has_others
    }

    /// Restores the order of the queues for which `concerns` is true, because their capacity may have
    /// become free.
    pub fn note_capacity(&mut self, concerns: impl Fn(&QueueKey) -> bool) {
        for (key, queue) in &mut self.queues {
            if queue.waiting.is_empty() || !concerns(key) {
                continue;
            }
            for entry in &mut queue.waiting {
                entry.is_passed = false;
            }
        }
    }

    /// Records that a waiting request was sent and removes it.
    pub fn note_sent(&mut self, now_ms: u64, key: &QueueKey, ticket: u64) {
        if let Some(queue) = self.queues.get_mut(key) {
            queue.note_sent(now_ms, ticket);
        }
        self.remove(ticket);
    }

    /// Checks again whether a request can be served before its deadline. More urgent requests may have joined, or the queue may have slowed
    /// down.
    ///
    /// # Errors
    /// The request is expected to wait for too long.
    pub fn recheck(&self, now_ms: u64, ticket: u64) -> Result<(), QueueRefusal> {
        let queue = self.keys.get(&ticket).and_then(|key| self.queues.get(key));
        let Some(queue) = queue else { return Ok(()) };
        let misses_deadline = queue
            .waiting
            .iter()
            .find(|entry| entry.ticket == ticket)
            .is_some_and(|entry| queue.misses_deadline(now_ms, &entry.request, ticket));
        if misses_deadline { Err(QueueRefusal::DeadlineUnreachable) } else { Ok(()) }
    }

    /// The time after which a refused client may retry: when the requests that wait now are
    /// expected to have been sent. `draw` is random, from 0 to 1.
    pub fn retry_after_ms(&self, now_ms: u64, key: &QueueKey, draw: f64) -> u64 {
        let expected_ms = self.queues.get(key).and_then(|queue| {
            let rate = queue.rate_per_ms(now_ms)?;
            Some(queue.waiting.len() as f64 / rate)
        });
        // Limited before the jitter, so that clients of a long queue do not return together.
        let longest_ms = RETRY_AFTER_MAX_MS as f64 / (1.0 + RETRY_AFTER_JITTER);
        let expected_ms = expected_ms.unwrap_or(RETRY_AFTER_UNKNOWN_MS as f64).min(longest_ms);
        let after_ms = expected_ms * (1.0 + (draw * 2.0 - 1.0) * RETRY_AFTER_JITTER);
        (after_ms as u64).clamp(RETRY_AFTER_MIN_MS, RETRY_AFTER_MAX_MS)
    }

    /// True if requests wait for this capacity.
    pub fn has_waiting(&self, key: &QueueKey) -> bool {
        self.waiting(key) > 0
    }

    /// The number of requests that wait in the queue of `key`.
    pub fn waiting(&self, key: &QueueKey) -> usize {
        self.queues.get(key).map_or(0, |queue| queue.waiting.len())
    }

    /// The number of queues in which requests wait.
    pub fn busy_queues(&self) -> usize {
        self.queues.values().filter(|queue| !queue.waiting.is_empty()).count()
    }

    /// The number of waiting requests.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// True if no request waits.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// The queues in which requests wait.
    pub fn status(&self, now_ms: u64) -> Vec<QueueStatus> {
        let mut status = Vec::new();
        for (key, queue) in &self.queues {
            let started = queue.waiting.iter().map(|entry| entry.request.started_ms);
            let Some(oldest_ms) = started.min() else { continue };
            status.push(QueueStatus {
                key: key.clone(),
                length: queue.waiting.len(),
                oldest_ms: now_ms.saturating_sub(oldest_ms),
                sent_per_s: queue.rate_per_ms(now_ms).map(|rate| rate * 1_000.0),
            });
        }
        status
    }
}
