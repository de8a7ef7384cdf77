//! The room of an endpoint: the requests that run and wait there, those that it rejects because it is
//! full, and the number of rejections a second under which it ends.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use http::{HeaderMap, HeaderValue};

/// The window over which rejections are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// The requests at one endpoint, over all of its incarnations.
#[derive(Debug)]
pub struct Room {
    /// The number of requests that run at once.
    pub slots: u32,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    /// The number of requests that may wait for a slot.
    waiting_max: u32,
    /// The rejections a second that the endpoint names in its answers.
    named: Option<u32>,
    /// True if it ends when it rejects more.
    ends: bool,
    present: u32,
    rejected_at: VecDeque<Instant>,
    most_rejected: usize,
    ended_at: Vec<Instant>,
}

/// A request that was rejected because the endpoint is full.
#[derive(Debug, Clone, Copy)]
pub struct Rejected {
    /// True if the endpoint ends under it.
    pub ends: bool,
}

/// A request at an endpoint, until this is dropped.
#[derive(Debug)]
pub struct Present(Arc<Room>);

impl Drop for Present {
    fn drop(&mut self) {
        let mut state = self.0.state();
        state.present = state.present.saturating_sub(1);
    }
}

impl Room {
    /// An endpoint that lets any number of requests wait.
    pub fn new(slots: u32) -> Arc<Self> {
        let state = State {
            waiting_max: u32::MAX,
            named: None,
            ends: false,
            present: 0,
            rejected_at: VecDeque::new(),
            most_rejected: 0,
            ended_at: Vec::new(),
        };
        Arc::new(Self { slots, state: Mutex::new(state) })
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Names this number of rejections a second in all answers, or none any more.
    pub fn name_limit(&self, limit_per_s: Option<u32>) {
        let mut state = self.state();
        state.named = limit_per_s;
        state.ends &= limit_per_s.is_some();
    }

    /// Lets no more than `waiting_max` requests wait; the endpoint `ends` if it rejects more than it
    /// named.
    pub fn restrict(&self, waiting_max: u32, ends: bool) {
        let mut state = self.state();
        state.waiting_max = waiting_max;
        state.ends = ends;
    }

    /// Lets a request in.
    ///
    /// # Errors
    /// The endpoint is full.
    pub fn enter(self: &Arc<Self>) -> Result<Present, Rejected> {
        let mut state = self.state();
        if state.present < self.slots.saturating_add(state.waiting_max) {
            state.present += 1;
            return Ok(Present(self.clone()));
        }
        let now = Instant::now();
        state.rejected_at.push_back(now);
        while state.rejected_at.front().is_some_and(|at| now.duration_since(*at) >= WINDOW) {
            state.rejected_at.pop_front();
        }
        let rejected = state.rejected_at.len();
        let ends = state.ends && state.named.is_some_and(|named| rejected > named as usize);
        if state.named.is_some() {
            state.most_rejected = state.most_rejected.max(rejected);
        }
        if ends {
            state.ended_at.push(now);
            state.rejected_at.clear();
        }
        Err(Rejected { ends })
    }

    /// Adds the named limit to the headers of an answer.
    pub fn write_headers(&self, headers: &mut HeaderMap) {
        if let Some(named) = self.state().named {
            headers.insert("server-brittle", HeaderValue::from(named));
        }
    }

    /// The number of times that the endpoint ended because it rejected too many requests.
    pub fn ends(&self) -> usize {
        self.state().ended_at.len()
    }

    /// The most rejections within a second while a limit was named.
    pub fn most_rejected(&self) -> usize {
        self.state().most_rejected
    }
}
