//! Counts the requests whose response is not complete.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, SizeHint};

use super::shared::Relay;
use crate::error::Result;
use crate::http::AnswerBody;

/// Counts a request as in progress until its response is complete.
pub(super) struct InProgress(Arc<Relay>);

impl InProgress {
    pub(super) fn new(relay: Arc<Relay>) -> Self {
        relay.in_progress.fetch_add(1, Ordering::Relaxed);
        Self(relay)
    }

    /// Counts the request until `body` has ended.
    pub(super) fn until_end_of(self, body: AnswerBody) -> AnswerBody {
        if body.is_end_stream() {
            return body;
        }
        CountedBody { body, _counted: self }.boxed()
    }
}

impl Drop for InProgress {
    fn drop(&mut self) {
        self.0.in_progress.fetch_sub(1, Ordering::Relaxed);
    }
}

struct CountedBody {
    body: AnswerBody,
    _counted: InProgress,
}

impl Body for CountedBody {
    type Data = Bytes;
    type Error = crate::error::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
