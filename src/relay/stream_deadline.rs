//! Ends streams at their deadline although their clients do not read.

use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame};
use tokio::task::AbortHandle;
use tracing::info;

use crate::clock::Clock;
use crate::error::{Error, Result};
use crate::http::AnswerBody;

/// How long after its deadline a stream is dropped: one that is being read ends by itself before.
const MARGIN_MS: u64 = 100;

/// A stream that is dropped, and with it the connection to its endpoint, soon after its deadline.
///
/// A body is polled only while its client makes room for more, so a stream cannot end itself while
/// nobody reads it.
pub(super) struct StreamUntilDeadline {
    /// `None` once the deadline has passed.
    body: Arc<Mutex<Option<AnswerBody>>>,
    timer: AbortHandle,
}

impl StreamUntilDeadline {
    /// Lets the stream for `request` go on until `deadline_ms`.
    pub(super) fn new(clock: Clock, deadline_ms: u64, request: Arc<str>, body: AnswerBody) -> Self {
        let body = Arc::new(Mutex::new(Some(body)));
        let dropped = body.clone();
        let timer = tokio::spawn(async move {
            clock.sleep_until(deadline_ms + MARGIN_MS).await;
            let body = lock(&dropped).take();
            if body.is_some() {
                info!(event = "stream_unread_at_deadline", request = %request);
            }
        });
        Self { body, timer: timer.abort_handle() }
    }
}

fn lock(body: &Mutex<Option<AnswerBody>>) -> MutexGuard<'_, Option<AnswerBody>> {
    body.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Drop for StreamUntilDeadline {
    fn drop(&mut self) {
        self.timer.abort();
    }
}

impl Body for StreamUntilDeadline {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>>>> {
        let mut body = lock(&self.body);
        let Some(body) = &mut *body else {
            return Poll::Ready(Some(Err(Error::timeout("pass stream on", "client", MARGIN_MS))));
        };
        Pin::new(body).poll_frame(context)
    }
}
