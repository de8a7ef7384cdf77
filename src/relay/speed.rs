//! Takes samples of the endpoints' speeds from responses, and applies the slowdowns learned from
//! the samples of all gateways.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use rand::RngExt;
use tracing::info;

use super::fleet::Fleet;
use crate::policy::endpoint_speed::{self, Work};

/// How often slowdowns are computed; the samples of other gateways arrive about as often. It is
/// done less often with many endpoints, which limits the CPU time.
const REFRESH_INTERVAL_MS: u64 = 100;
const ENDPOINTS_PER_INTERVAL: usize = 1_000;
/// How long a response head waits to be counted. It is counted at once if it is counted at all.
const HEAD_EXPIRY_MS: u64 = 50;
/// The pause in reading after which a stream does not count: its events arrived earlier than the
/// client read them.
const READER_PAUSE_MS: u64 = 100;

/// A request that was sent to a plain endpoint.
#[derive(Debug, Clone, Copy)]
struct SentRequest {
    number: u64,
    sent_at_ms: u64,
    /// Other requests known to be at the endpoint at that time.
    running: u32,
}

/// A response head that may be counted as a sample.
#[derive(Debug, Clone, Copy)]
struct ResponseHead {
    request: SentRequest,
    at_ms: u64,
}

/// The requests to one plain endpoint whose responses are samples of its speed.
#[derive(Debug, Default)]
pub(super) struct PlainSamples {
    sent: Vec<SentRequest>,
    heads: Vec<ResponseHead>,
}

impl PlainSamples {
    /// Records a request that is sent under `number`, with `running` others at the endpoint.
    pub(super) fn start(&mut self, now_ms: u64, number: u64, running: u32) {
        self.sent.push(SentRequest { number, sent_at_ms: now_ms, running });
    }

    /// Records that the head of the response to request `number` has arrived.
    pub(super) fn answered(&mut self, now_ms: u64, number: u64) {
        self.heads.retain(|head| head.at_ms + HEAD_EXPIRY_MS >= now_ms);
        if let Some(request) = self.take_sent(number) {
            self.heads.push(ResponseHead { request, at_ms: now_ms });
        }
    }

    /// Records that the request `number` has ended.
    pub(super) fn end(&mut self, number: u64) {
        self.take_sent(number);
    }

    fn take_sent(&mut self, number: u64) -> Option<SentRequest> {
        let position = self.sent.iter().position(|sent| sent.number == number)?;
        Some(self.sent.swap_remove(position))
    }

    /// Takes the head of the response to a request that was sent at `sent_at_ms` or, if a
    /// connection had to be made first, soon after.
    fn take(&mut self, sent_at_ms: u64) -> Option<ResponseHead> {
        let mut first: Option<usize> = None;
        for (position, head) in self.heads.iter().enumerate() {
            let at_ms = head.request.sent_at_ms;
            let is_first = first.is_none_or(|first| at_ms < self.heads[first].request.sent_at_ms);
            if at_ms >= sent_at_ms && is_first {
                first = Some(position);
            }
        }
        first.map(|position| self.heads.swap_remove(position))
    }
}

/// The number of events in a stream, and the time between the first and the last one.
#[derive(Debug, Default)]
pub struct EventTimes {
    events: u32,
    first_at_ms: u64,
    last_at_ms: u64,
    /// True within a line; an empty line ends an event.
    is_within_line: bool,
    is_within_event: bool,
    has_reader_paused: bool,
}

impl EventTimes {
    /// Records that the client's side asks for the next data of the stream.
    pub fn note_read(&mut self, now_ms: u64) {
        self.has_reader_paused |= self.events > 0 && self.last_at_ms + READER_PAUSE_MS < now_ms;
    }

    /// Counts the events that end in `data`, which arrived now.
    pub fn note_data(&mut self, now_ms: u64, data: &[u8]) {
        let has_none = self.events == 0;
        for byte in data {
            match byte {
                b'\n' if self.is_within_line => self.is_within_line = false,
                b'\n' if self.is_within_event => {
                    self.is_within_event = false;
                    self.events = self.events.saturating_add(1);
                }
                b'\n' | b'\r' => {}
                _ => (self.is_within_line, self.is_within_event) = (true, true),
            }
        }
        if has_none {
            self.first_at_ms = now_ms;
        }
        self.last_at_ms = now_ms;
    }

    /// The work of the complete stream; `None` without a pause between two events, or if the client
    /// read slowly.
    pub fn work(&self) -> Option<Work> {
        let units = self.events.saturating_sub(1);
        let ms = self.last_at_ms.saturating_sub(self.first_at_ms);
        (units > 0 && !self.has_reader_paused).then(|| Work { units: units.into(), ms: ms as f64 })
    }
}

impl Fleet {
    /// Counts the head of the response of a plain endpoint to a request that was sent at
    /// `sent_at_ms`; a response that states an error says nothing about the endpoint's speed.
    pub fn note_plain_response(
        &mut self,
        now_ms: u64,
        id: &str,
        sent_at_ms: u64,
        is_success: bool,
    ) {
        let Some(state) = self.endpoints.get_mut(id) else { return };
        let Some(ResponseHead { request, at_ms }) = state.plain_samples.take(sent_at_ms) else {
            return;
        };
        if is_success {
            let took_ms = at_ms.saturating_sub(request.sent_at_ms);
            let slots = state.endpoint.slots;
            let work = endpoint_speed::plain_work(took_ms, request.running, slots);
            self.note_work(now_ms, id, work);
        }
    }

    /// Counts the work that endpoint `id` did for one response.
    pub fn note_work(&mut self, now_ms: u64, id: &str, work: Work) {
        let Some(state) = self.endpoints.get_mut(id) else { return };
        let usual_ms = self.unit_ms.get(&state.endpoint.service).copied();
        state.own_work.add(now_ms, work, usual_ms);
    }

    /// The slowdowns of the endpoints that differ in speed from their service.
    pub fn slowdowns(&self) -> BTreeMap<Arc<str>, f64> {
        let mut slowdowns = BTreeMap::new();
        for (id, state) in &self.endpoints {
            if !endpoint_speed::is_normal(state.slowdown) {
                slowdowns.insert(id.clone(), state.slowdown);
            }
        }
        slowdowns
    }

    /// Computes the slowdowns of all endpoints, unless this was done a short time ago.
    pub(super) fn refresh_slowdowns(&mut self, now_ms: u64) {
        if now_ms < self.slowdowns_due_ms {
            return;
        }
        let intervals = 1 + self.endpoints.len() / ENDPOINTS_PER_INTERVAL;
        self.slowdowns_due_ms = now_ms + REFRESH_INTERVAL_MS * intervals as u64;
        let mut services: HashMap<Arc<str>, Work> = HashMap::new();
        for state in self.endpoints.values() {
            let work = state.work(now_ms);
            if work.units > 0.0 {
                *services.entry(state.endpoint.service.clone()).or_default() += work;
            }
        }
        self.uneven_services.clear();
        for (id, state) in &mut self.endpoints {
            let Some(service) = services.get(&state.endpoint.service) else {
                state.slowdown = 1.0;
                continue;
            };
            let work = state.work(now_ms);
            state.slowdown = work.slowdown(*service);
            if !endpoint_speed::is_normal(state.slowdown) {
                self.uneven_services.insert(state.endpoint.service.clone());
            }
            if endpoint_speed::is_worth_logging(state.logged_slowdown, state.slowdown) {
                state.logged_slowdown = state.slowdown;
                info!(
                    event = "endpoint_speed",
                    endpoint = %id,
                    slowdown = format_args!("{:.2}", state.slowdown),
                    units = work.units.round() as u64
                );
            }
        }
        for service in &self.uneven_services {
            for id in self.by_service.get(service).into_iter().flatten() {
                if let Some(state) = self.endpoints.get_mut(id) {
                    state.full_draw = self.random.random();
                }
            }
        }
        self.unit_ms.clear();
        for (service, work) in services {
            if let Some(unit_ms) = work.known_mean_ms() {
                self.unit_ms.insert(service, unit_ms);
            }
        }
    }
}
