//! Forwards streams, and resumes a broken event stream at another endpoint.

use std::sync::Arc;

use bytes::Bytes;
use futures_util::stream;
use http::header::CONTENT_LENGTH;
use http::response::Parts;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Body, Frame};
use tokio::task::yield_now;
use tracing::{info, warn};

use super::exchange::{ENDPOINT_ENDED, Exchange, remove_connection_headers};
use super::handler::InProgress;
use super::refusal::Failure;
use super::source::{Source, StartedResponse};
use super::speed::EventTimes;
use crate::clock::Clock;
use crate::error::{Error, Result};
use crate::events::EventSplitter;
use crate::http::{Answer, AnswerBody, Framing};
use crate::metrics::Counter;
use crate::routing::Repeat;

/// A stream that is being forwarded.
struct ForwardedStream {
    exchange: Exchange,
    endpoint: Upstream,
    /// `None` if the response is no event stream.
    events: Option<EventSplitter>,
    can_resume: bool,
}

/// The endpoint's side of a stream.
struct Upstream {
    head: Parts,
    body: AnswerBody,
    source: Source,
    times: EventTimes,
}

impl Upstream {
    fn new(started: StartedResponse) -> Self {
        let (head, body) = started.response.into_parts();
        Self { head, body, source: started.source, times: EventTimes::default() }
    }

    async fn next(&mut self, clock: Clock, until_ms: u64) -> Result<Option<Bytes>> {
        let peer = self.source.endpoint().clone();
        let left_ms = until_ms.saturating_sub(clock.now_ms());
        self.times.note_read(clock.now_ms());
        loop {
            let frame = tokio::select! {
                biased;
                frame = clock.timeout_at(until_ms, self.body.frame()) => frame,
                () = self.source.wait_for_end() => {
                    return Err(Error::failed("read stream", peer.clone(), ENDPOINT_ENDED));
                }
                never = self.source.probe_while_silent() => match never {},
            };
            let frame =
                frame.ok_or_else(|| Error::timeout("read stream", peer.clone(), left_ms))?;
            let Some(frame) = frame else { return Ok(None) };
            let frame = frame.map_err(|error| Error::failed("read stream", peer.clone(), error))?;
            if let Ok(data) = frame.into_data() {
                self.times.note_data(clock.now_ms(), &data);
                return Ok(Some(data));
            }
        }
    }
}

/// The response to a request whose endpoint has started to stream.
pub(super) fn answer(exchange: Exchange, started: StartedResponse) -> Answer {
    let endpoint = Upstream::new(started);
    // The gateway that read a request resumes its stream.
    let can_resume = exchange.chosen.route.repeat == Repeat::Resume && !exchange.is_detour;
    let events = exchange
        .is_event_stream(&endpoint.head)
        .then(|| EventSplitter::new(exchange.meta.last_event));
    let mut head = endpoint.head.clone();
    remove_connection_headers(&mut head.headers);
    if can_resume {
        head.headers.remove(CONTENT_LENGTH);
    }
    let running = ForwardedStream { exchange, endpoint, events, can_resume };
    let body = StreamBody::new(stream::unfold(Some(running), next_frame));
    Answer::from_parts(head, body.boxed())
}

type FrameResult = Result<Frame<Bytes>>;

async fn next_frame(
    running: Option<ForwardedStream>,
) -> Option<(FrameResult, Option<ForwardedStream>)> {
    let mut running = running?;
    loop {
        let (clock, ends_at_ms) = (running.exchange.relay.clock, running.exchange.ends_at_ms);
        match running.endpoint.next(clock, ends_at_ms).await {
            Ok(Some(data)) => {
                running.exchange.last_data_at_ms = clock.now_ms();
                let Some(events) = &mut running.events else {
                    return Some((Ok(Frame::data(data)), Some(running)));
                };
                let Some(whole) = events.push(&data) else { continue };
                if running.can_resume {
                    running.exchange.note_stream_begun(running.endpoint.source.software_version());
                }
                return Some((Ok(Frame::data(whole)), Some(running)));
            }
            Ok(None) => return finish(running),
            Err(error) => {
                running = match resume(running, &error).await {
                    Ok(running) => running,
                    Err(error) => {
                        // The server writes the events before only once this is not ready.
                        yield_now().await;
                        return Some((Err(error), None));
                    }
                };
            }
        }
    }
}

fn finish(running: ForwardedStream) -> Option<(FrameResult, Option<ForwardedStream>)> {
    let ForwardedStream { exchange, endpoint, events, .. } = running;
    let Upstream { head, source, times, .. } = endpoint;
    let now_ms = exchange.relay.now_ms();
    let after_ms = now_ms - exchange.started_ms;
    info!(
        event = "stream_ended",
        request = %exchange.meta.id,
        endpoint = %source.endpoint(),
        peer = source.peer(),
        framing = Framing::of(&head).map_or("unknown", Framing::name),
        after_ms
    );
    if head.status.is_success() {
        exchange.note_served();
        // The unit of a plain service is a response, not an event.
        let is_engine = exchange.chosen.service.engine.is_some();
        let work = times.work().filter(|_| is_engine && source.is_direct());
        if let Some(work) = work {
            exchange.relay.fleet().note_work(now_ms, source.endpoint(), work);
        }
    }
    source.keep(&exchange.relay, &head.headers);
    let rest = events.and_then(|mut events| events.take_remainder())?;
    Some((Ok(Frame::data(rest)), None))
}

/// Resumes a broken stream at another endpoint, if that is allowed.
async fn resume(running: ForwardedStream, error: &Error) -> Result<ForwardedStream> {
    let ForwardedStream { mut exchange, endpoint, events, can_resume } = running;
    let id = exchange.meta.id.clone();
    let peer = endpoint.source.endpoint().clone();
    let from_software = exchange.relay.fleet().software_version(&peer);
    let end = endpoint.source.end();
    if let Some(end) = end {
        exchange.note_ended(&peer, end);
    } else if !error.is_timeout() && endpoint.source.is_direct() {
        exchange.note_broken_off(&peer);
    }
    if endpoint.source.is_direct() {
        exchange.relay.note_failure(&peer);
    }
    drop(endpoint);
    let broken = |exchange: &Exchange, not_resumed: &str| {
        exchange.note_broken(&peer, &from_software, error, not_resumed)
    };
    let Some(mut events) = events.filter(|_| can_resume) else {
        return Err(broken(&exchange, "the route does not allow it"));
    };
    events.drop_partial();
    let last_event = events.last_event();
    if !events.is_at_event_boundary() {
        return Err(broken(&exchange, "the client has a part of an event"));
    }
    if !exchange.can_send_again() {
        return Err(broken(&exchange, "no attempt or no time is left"));
    }
    if end.is_some() {
        exchange.wait_for_evaluation(&peer).await;
    }
    let started = match exchange.start(last_event).await {
        Ok(started) => started,
        Err(Failure::NotSent(reason)) => return Err(broken(&exchange, &format!("{reason:?}"))),
        Err(Failure::Unknown(detail)) => return Err(broken(&exchange, &detail)),
    };
    exchange.relay.metrics.count(Counter::StreamsResumed);
    let software = exchange.relay.fleet().software_version(started.source.endpoint());
    info!(
        event = "stream_resumed",
        request = %id,
        from = %peer,
        from_software = %from_software,
        endpoint = %started.source.endpoint(),
        software = %software,
        peer = started.source.peer(),
        last_event = last_event.unwrap_or(0)
    );
    if !started.response.status().is_success() {
        return Err(broken(&exchange, "the endpoint refused"));
    }
    let endpoint = Upstream::new(started);
    Ok(ForwardedStream { exchange, endpoint, events: Some(events), can_resume })
}

impl Exchange {
    /// Logs and counts a stream that its client does not receive whole.
    fn note_broken(
        &self,
        endpoint: &Arc<str>,
        software: &str,
        error: &Error,
        not_resumed: &str,
    ) -> Error {
        let serving = self.relay.fleet().software_versions(&self.chosen.service.name);
        warn!(
            event = "stream_broken",
            request = %self.meta.id,
            route = %self.chosen.route.name,
            endpoint = %endpoint,
            software,
            serving = %serving,
            error = %error,
            not_resumed
        );
        self.relay.metrics.count(Counter::StreamsBroken);
        Error::failed("pass stream on", endpoint.clone(), error)
    }
}

/// A body that keeps `counted` until it has ended.
pub(super) fn hold(body: AnswerBody, counted: InProgress) -> AnswerBody {
    if body.is_end_stream() {
        return body;
    }
    Holding { body, _counted: counted }.boxed()
}

struct Holding {
    body: AnswerBody,
    _counted: InProgress,
}

impl Body for Holding {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        mut self: std::pin::Pin<&mut Self>,
        context: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<std::result::Result<Frame<Bytes>, Error>>> {
        std::pin::Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> hyper::body::SizeHint {
        self.body.size_hint()
    }
}
