//! Tells whole responses from ones that were broken off.

use std::fmt;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use http::HeaderMap;
use http::header::CONTENT_TYPE;
use hyper::body::{Body, Frame, SizeHint};
use tokio::task::{JoinError, JoinHandle};

use super::framing::Framing;
use super::header;
use crate::error::{Error, Result};
use crate::events::EventScanner;
use crate::wire::BoxFuture;

const EVENT_STREAM: &str = "text/event-stream";

/// Tells whether the sender of a response was done when it closed the connection.
pub trait SenderCheck: fmt::Debug + Send + Sync + 'static {
    /// Returns once the sender is known to run, or to end as it announced.
    ///
    /// # Errors
    /// The sender may have crashed.
    fn confirm(&self) -> BoxFuture<'static, Result<()>>;
}

/// A response body that ends with an error unless it is whole.
///
/// The connection reports a body that ends before its length or its last chunk. A body whose end is
/// marked by the end of the connection looks alike if the sender was done and if it crashed, so
/// that [`with_sender_check`](Self::with_sender_check) tells these apart. An event stream is whole
/// only if it ends between two events, however its end is marked.
#[derive(Debug)]
pub struct WholeBody<B> {
    body: B,
    peer: Arc<str>,
    framing: Framing,
    /// `None` if the body is no event stream.
    events: Option<EventScanner>,
    is_empty: bool,
    /// Only for a body that ends with its connection.
    sender: Option<Box<dyn SenderCheck>>,
    progress: Progress,
}

#[derive(Debug)]
enum Progress {
    Reading,
    /// The connection was closed, and the sender is checked.
    Checking(JoinHandle<Result<()>>),
    /// The body was found to be whole or broken.
    Ended,
}

impl<B: Body<Data = Bytes>> WholeBody<B> {
    /// Checks the body of a response from `peer` whose end is marked by `framing`.
    pub fn new(peer: Arc<str>, framing: Framing, body: B, is_event_stream: bool) -> Self {
        let events = is_event_stream.then(EventScanner::default);
        let progress = Progress::Reading;
        Self { body, peer, framing, events, is_empty: true, sender: None, progress }
    }

    /// Checks the sender of a body that ends with its connection.
    #[must_use]
    pub fn with_sender_check(mut self, sender: impl SenderCheck) -> Self {
        if self.framing == Framing::Close {
            self.sender = Some(Box::new(sender));
        }
        self
    }

    fn note(&mut self, data: &[u8]) {
        self.is_empty &= data.is_empty();
        if let Some(events) = &mut self.events {
            events.scan(data);
        }
    }

    /// Checks the last bytes of a body that ends now.
    fn check_end(&self) -> Result<()> {
        let Some(events) = &self.events else { return Ok(()) };
        if !events.is_between_events() {
            return Err(self.broken("the stream ended inside an event"));
        }
        // A sender that crashes between the head and the first event leaves just this.
        if self.is_empty && self.framing == Framing::Close {
            return Err(self.broken("the connection closed before the first event"));
        }
        Ok(())
    }

    /// The result of a check of the sender.
    fn checked(&self, result: std::result::Result<Result<()>, JoinError>) -> Result<()> {
        let detail = match result {
            Ok(Ok(())) => return Ok(()),
            Ok(Err(error)) => error.to_string(),
            Err(error) => error.to_string(),
        };
        Err(self.broken(&format!("the connection closed without an end: {detail}")))
    }

    fn broken(&self, detail: &str) -> Error {
        Error::failed("read answer", self.peer.clone(), detail)
    }
}

impl<B> Body for WholeBody<B>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: std::fmt::Display,
{
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>>>> {
        loop {
            match &mut self.progress {
                Progress::Ended => return Poll::Ready(None),
                Progress::Checking(check) => {
                    let result = ready!(Pin::new(check).poll(context));
                    self.progress = Progress::Ended;
                    return Poll::Ready(self.checked(result).err().map(Err));
                }
                Progress::Reading => {}
            }
            let end = match ready!(Pin::new(&mut self.body).poll_frame(context)) {
                Some(Ok(frame)) => {
                    if let Some(data) = frame.data_ref() {
                        self.note(data);
                    }
                    return Poll::Ready(Some(Ok(frame)));
                }
                Some(Err(error)) => Err(self.broken(&error.to_string())),
                None => self.check_end(),
            };
            if end.is_ok()
                && let Some(sender) = self.sender.take()
            {
                self.progress = Progress::Checking(tokio::spawn(sender.confirm()));
                continue;
            }
            self.progress = Progress::Ended;
            return Poll::Ready(end.err().map(Err));
        }
    }

    fn is_end_stream(&self) -> bool {
        match self.progress {
            Progress::Reading => {
                self.sender.is_none() && self.body.is_end_stream() && self.check_end().is_ok()
            }
            Progress::Checking(_) => false,
            Progress::Ended => true,
        }
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// True if the headers say so, or say nothing and `is_expected`.
pub fn is_event_stream(headers: &HeaderMap, is_expected: bool) -> bool {
    if !headers.contains_key(CONTENT_TYPE) {
        return is_expected;
    }
    let Some(value) = header(headers, CONTENT_TYPE.as_str()) else { return false };
    let media_type = value.split(';').next().unwrap_or_default();
    media_type.trim().eq_ignore_ascii_case(EVENT_STREAM)
}
