//! Measures what a connection holds for the request that it receives or answers.

use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};

use super::AnswerBody;
use super::client_stream::WIDE_RECEIVE_BUFFER_BYTES;
use crate::error::Error;
use crate::policy::resource_limiter::Stage;
use crate::resources::{ConnectionGuard, HeldBytes, Shed};

/// The part of a head that fits into the buffer that each connection has.
const BUFFER_BYTES: usize = 8 << 10;
/// What may arrive beyond the usual while a large body is received: the system doubles the size of a
/// receive buffer.
const WIDE_WINDOW_BYTES: u64 = 2 * WIDE_RECEIVE_BUFFER_BYTES as u64;
/// A buffer that grows doubles its size.
const GROWTH: usize = 2;

/// Measures the requests of one connection, which come one after the other. Clones share it.
#[derive(Clone)]
pub(super) struct RequestMeter {
    guard: ConnectionGuard,
    request: Arc<Mutex<RequestState>>,
    /// True while more than usual may arrive before it is read.
    is_wide: Arc<AtomicBool>,
}

struct RequestState {
    stage: Stage,
    head_bytes: usize,
    /// The memory of a large head until the request is answered.
    held: HeldBytes,
    /// The memory of what may arrive beyond the usual, until all of that was read.
    window: Option<HeldBytes>,
    body_is_open: bool,
    answer_is_open: bool,
    /// True while the connection accepts no more of an answer.
    is_blocked: bool,
    /// True once the head of a first request was received.
    has_requests: bool,
}

impl RequestMeter {
    /// Measures the requests of the connection that `guard` belongs to.
    pub(super) fn new(guard: ConnectionGuard) -> Self {
        let request = RequestState {
            stage: Stage::Idle,
            head_bytes: 0,
            held: guard.hold(),
            window: None,
            body_is_open: false,
            answer_is_open: false,
            is_blocked: false,
            has_requests: false,
        };
        Self { guard, request: Arc::new(Mutex::new(request)), is_wide: Arc::default() }
    }

    /// Counts the connection as open.
    pub(super) fn guard(&self) -> &ConnectionGuard {
        &self.guard
    }

    /// Measures bytes that the connection has received.
    ///
    /// # Errors
    /// They belong to a head that there is no memory for.
    pub(super) fn note_read(&self, bytes: usize) -> io::Result<()> {
        let mut request = self.request();
        match request.stage {
            Stage::Unread if request.answer_is_open => return Ok(()),
            Stage::Idle | Stage::Unread => self.enter(&mut request, Stage::Head),
            Stage::Head => {}
            _ => return Ok(()),
        }
        request.head_bytes += bytes;
        if request.head_bytes <= BUFFER_BYTES {
            return Ok(());
        }
        let held_bytes = request.head_bytes * GROWTH;
        request.held.resize(held_bytes as u64).map_err(|_| {
            self.guard.resources().note(Shed::Head);
            io::Error::new(io::ErrorKind::OutOfMemory, "there is no memory for the head")
        })
    }

    /// The head of a request was received.
    pub(super) fn head_ended(&self, has_body: bool) {
        let mut request = self.request();
        request.body_is_open = has_body;
        request.answer_is_open = true;
        request.has_requests = true;
        self.enter(&mut request, if has_body { Stage::Body } else { Stage::Running });
    }

    /// A large body is being received. If there is memory, more of it may arrive before it is read, so
    /// that it takes fewer round trips.
    pub(super) fn widen(&self) {
        let mut request = self.request();
        if request.window.is_none() {
            request.window = self.guard.hold_spare(WIDE_WINDOW_BYTES);
        }
        if request.window.is_some() {
            self.is_wide.store(true, Ordering::Release);
        }
    }

    /// True while more than usual may arrive before it is read.
    pub(super) fn is_wide(&self) -> bool {
        self.is_wide.load(Ordering::Acquire)
    }

    /// All that had arrived was read, and no more than usual arrives from now on.
    pub(super) fn end_wide(&self) {
        self.request().window = None;
    }

    /// The body of the request is refused, and what is left of it is discarded.
    pub(super) fn body_refused(&self) {
        self.is_wide.store(false, Ordering::Release);
        self.enter(&mut self.request(), Stage::Discarding);
    }

    /// The body of the request was received or given up.
    pub(super) fn body_ended(&self) {
        let mut request = self.request();
        if !request.body_is_open {
            return;
        }
        request.body_is_open = false;
        self.is_wide.store(false, Ordering::Release);
        self.go_on(&mut request);
    }

    /// True if an answer may not have been sent completely: unless the connection receives a head, or
    /// has received none.
    pub(super) fn has_begun_answers(&self) -> bool {
        let request = self.request();
        request.has_requests && request.stage != Stage::Head
    }

    /// The connection does, or does not, accept more of an answer.
    pub(super) fn set_blocked(&self, is_blocked: bool) {
        let mut request = self.request();
        request.is_blocked = is_blocked;
        if matches!(request.stage, Stage::Idle | Stage::Running | Stage::Unread) {
            self.enter_next(&mut request);
        }
    }

    /// Measures the request until `body`, which answers it, has ended.
    pub(super) fn until_end_of(self, body: AnswerBody) -> MeteredAnswer {
        MeteredAnswer { body, meter: self }
    }

    fn answer_ended(&self) {
        let mut request = self.request();
        request.answer_is_open = false;
        self.go_on(&mut request);
    }

    /// Goes on with the answer, or with the next request.
    fn go_on(&self, request: &mut RequestState) {
        if request.body_is_open {
            return;
        }
        if !request.answer_is_open {
            request.head_bytes = 0;
            request.held = self.guard.hold();
        }
        self.enter_next(request);
    }

    /// Enters the stage of a connection that receives no request.
    fn enter_next(&self, request: &mut RequestState) {
        let stage = if request.is_blocked {
            // The last part of an answer is sent after its body has ended.
            Stage::Unread
        } else if request.answer_is_open {
            Stage::Running
        } else {
            Stage::Idle
        };
        self.enter(request, stage);
    }

    fn enter(&self, request: &mut RequestState, stage: Stage) {
        request.stage = stage;
        self.guard.set_stage(stage);
    }

    fn request(&self) -> MutexGuard<'_, RequestState> {
        self.request.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The body of an answer whose request is measured until it ends.
pub(super) struct MeteredAnswer {
    body: AnswerBody,
    meter: RequestMeter,
}

impl Drop for MeteredAnswer {
    fn drop(&mut self) {
        self.meter.answer_ended();
    }
}

impl Body for MeteredAnswer {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
