//! Forwards streams, and resumes a broken event stream at another endpoint.

use std::pin::pin;
use std::sync::Arc;

use bytes::Bytes;
use futures_util::stream;
use http::header::CONTENT_LENGTH;
use http::response::Parts;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use tokio::task::yield_now;
use tracing::{info, warn};

use super::doubt::{Continuation, OpenAnswer, Raced};
use super::exchange::{ENDPOINT_ENDED, Exchange};
use super::known::IncarnationEnd;
use super::refusal::Failure;
use super::source::{Source, StartedResponse};
use super::speed::EventTimes;
use super::stream_deadline::StreamUntilDeadline;
use crate::clock::Clock;
use crate::error::{Error, Result};
use crate::events::EventSplitter;
use crate::http::{Answer, AnswerBody, Framing, remove_connection_headers};
use crate::metrics::Counter;
use crate::routing::{Repeat, Route};

/// A stream is doubted after this multiple of the longest pause that it has made, or that its route
/// aims at if that is more.
const PAUSE_TIMES: u64 = 2;
/// The same multiple of the pause that its route aims at, as an upper bound: clients abandon a stream
/// after some pause, and its continuation needs time to start.
const PAUSE_AIM_TIMES_MAX: u64 = 4;

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
    source: Source,
    reader: UpstreamReader,
}

/// Reads what an endpoint streams.
struct UpstreamReader {
    body: AnswerBody,
    times: EventTimes,
    /// The longest time for which the endpoint has sent nothing so far.
    longest_pause_ms: u64,
    has_data: bool,
}

impl Upstream {
    fn new(started: StartedResponse) -> Self {
        let (head, body) = started.response.into_parts();
        let reader = UpstreamReader {
            body,
            times: EventTimes::default(),
            longest_pause_ms: 0,
            has_data: false,
        };
        Self { head, source: started.source, reader }
    }
}

impl UpstreamReader {
    /// How long the endpoint may send nothing until the stream is doubted.
    fn quiet_max_ms(&self, route: &Route) -> u64 {
        if !self.has_data {
            return route.latency_objective_ms;
        }
        let aim_ms = route.gap_objective_ms;
        let quiet_max_ms = self.longest_pause_ms.max(aim_ms) * PAUSE_TIMES;
        if aim_ms == 0 { quiet_max_ms } else { quiet_max_ms.min(aim_ms * PAUSE_AIM_TIMES_MAX) }
    }

    /// The next part of the stream to pass on: whole events, or any data if it is no event stream.
    async fn next(
        &mut self,
        clock: Clock,
        until_ms: u64,
        source: &Source,
        events: &mut Option<EventSplitter>,
    ) -> Result<Option<Bytes>> {
        loop {
            let Some(data) = self.next_data(clock, until_ms, source).await? else {
                return Ok(None);
            };
            let Some(events) = events else { return Ok(Some(data)) };
            if let Some(whole) = events.push(&data) {
                return Ok(Some(whole));
            }
        }
    }

    async fn next_data(
        &mut self,
        clock: Clock,
        until_ms: u64,
        source: &Source,
    ) -> Result<Option<Bytes>> {
        let peer = source.endpoint();
        let read_at_ms = clock.now_ms();
        let left_ms = until_ms.saturating_sub(read_at_ms);
        // Data that is always there would otherwise come before the timeout each time.
        if left_ms == 0 {
            return Err(Error::timeout("read stream", peer.clone(), left_ms));
        }
        self.times.note_read(read_at_ms);
        loop {
            let frame = tokio::select! {
                biased;
                frame = clock.timeout_at(until_ms, self.body.frame()) => frame,
                () = source.wait_for_end() => {
                    return Err(Error::failed("read stream", peer.clone(), ENDPOINT_ENDED));
                }
            };
            let frame =
                frame.ok_or_else(|| Error::timeout("read stream", peer.clone(), left_ms))?;
            let Some(frame) = frame else { return Ok(None) };
            let frame = frame.map_err(|error| Error::failed("read stream", peer.clone(), error))?;
            if let Ok(data) = frame.into_data() {
                let now_ms = clock.now_ms();
                self.times.note_data(now_ms, &data);
                self.longest_pause_ms = self.longest_pause_ms.max(now_ms - read_at_ms);
                self.has_data = true;
                source.note_data();
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
    let (clock, deadline_ms) = (exchange.relay.clock, exchange.ends_at_ms);
    let request = exchange.meta.id.clone();
    let running = ForwardedStream { exchange, endpoint, events, can_resume };
    let body = StreamBody::new(stream::unfold(Some(running), next_frame)).boxed();
    let body = StreamUntilDeadline::new(clock, deadline_ms, request, body);
    Answer::from_parts(head, body.boxed())
}

type FrameResult = Result<Frame<Bytes>>;

async fn next_frame(
    running: Option<ForwardedStream>,
) -> Option<(FrameResult, Option<ForwardedStream>)> {
    let mut running = running?;
    loop {
        match running.next().await {
            Ok(Some(data)) => {
                running.exchange.last_data_at_ms = running.exchange.relay.now_ms();
                if running.events.is_some() && running.can_resume {
                    running.exchange.note_stream_begun(running.endpoint.source.software_version());
                }
                return Some((Ok(Frame::data(data)), Some(running)));
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

/// A continuation that has brought the next part of its stream.
struct ContinuedStream {
    exchange: Exchange,
    endpoint: Upstream,
    events: Option<EventSplitter>,
    data: Bytes,
}

impl ForwardedStream {
    /// The next part of the stream, from its endpoint or from a continuation elsewhere.
    async fn next(&mut self) -> Result<Option<Bytes>> {
        let last_event = self.events.as_ref().and_then(EventSplitter::last_event);
        let continued = match self.race_for_next(last_event).await {
            Raced::Open(next) => return next,
            Raced::Continued { continued, lost } => {
                if let Some(Err(error)) = lost {
                    Break::note(&self.exchange, &self.endpoint.source, &error);
                }
                continued
            }
        };
        let ContinuedStream { exchange, endpoint, events, data } = continued;
        let from = &self.endpoint.source;
        let (from, from_software) = (from.endpoint(), from.software_version());
        note_resumed(&exchange, (from, from_software), &endpoint.source, last_event);
        self.exchange.take_over(from, exchange);
        self.endpoint = endpoint;
        self.events = events;
        Ok(Some(data))
    }

    /// Reads the next part of the stream and, once it is doubted, of its continuation after
    /// `last_event`.
    async fn race_for_next(
        &mut self,
        last_event: Option<u64>,
    ) -> Raced<Result<Option<Bytes>>, ContinuedStream> {
        let Self { exchange, endpoint, events, can_resume } = self;
        let Upstream { source, reader, .. } = endpoint;
        let (clock, until_ms) = (exchange.relay.clock, exchange.ends_at_ms);
        let is_at_boundary = events.as_ref().is_some_and(EventSplitter::is_at_event_boundary);
        let answer = OpenAnswer {
            endpoint: source.endpoint(),
            last_event,
            is_continuable: *can_resume && is_at_boundary,
        };
        let doubt = pin!(source.doubt(reader.quiet_max_ms(&exchange.chosen.route)));
        let open = pin!(reader.next(clock, until_ms, source, events));
        let is_lost = |next: &Result<_>| next.as_ref().is_err_and(|error| !error.is_timeout());
        exchange.race(answer, open, is_lost, doubt, read_continuation).await
    }
}

/// Waits until a continuation has brought the next part of its stream; `None` if it breaks off, ends
/// without any, or is doubted itself.
async fn read_continuation(continuation: Continuation) -> Option<ContinuedStream> {
    let Continuation { exchange, started, last_event } = continuation;
    let mut endpoint = Upstream::new(started);
    let mut events = Some(EventSplitter::new(last_event));
    let (clock, until_ms) = (exchange.relay.clock, exchange.ends_at_ms);
    let Upstream { source, reader, .. } = &mut endpoint;
    let quiet_max_ms = reader.quiet_max_ms(&exchange.chosen.route);
    let next = tokio::select! {
        biased;
        next = reader.next(clock, until_ms, source, &mut events) => next.map_err(|it| it.to_string()),
        doubt = source.doubt(quiet_max_ms) => Err(format!("it is doubted: {doubt:?}")),
    };
    let reason = match next {
        Ok(Some(data)) => return Some(ContinuedStream { exchange, endpoint, events, data }),
        Ok(None) => "it ended without an event".to_owned(),
        Err(reason) => reason,
    };
    info!(event = "not_continued", request = %exchange.meta.id, reason);
    None
}

fn finish(running: ForwardedStream) -> Option<(FrameResult, Option<ForwardedStream>)> {
    let ForwardedStream { mut exchange, endpoint, events, .. } = running;
    exchange.end_guard.note_logged();
    exchange.note_answer_time();
    let Upstream { head, source, reader } = endpoint;
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
        let work = reader.times.work().filter(|_| is_engine && source.is_direct());
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
    let broken = Break::note(&exchange, &endpoint.source, error);
    drop(endpoint);
    let mut events = resumable(&exchange, events, can_resume)
        .map_err(|why| broken.report(&mut exchange, why))?;
    if broken.endpoint_ended {
        exchange.wait_for_evaluation(&broken.endpoint).await;
    }
    events.drop_partial();
    let started = match exchange.start(events.last_event()).await {
        Ok(started) => started,
        Err(Failure::NotSent(reason)) => {
            return Err(broken.report(&mut exchange, &format!("{reason:?}")));
        }
        Err(Failure::Unknown(detail)) => return Err(broken.report(&mut exchange, &detail)),
    };
    if !started.response.status().is_success() {
        return Err(broken.report(&mut exchange, "the endpoint refused"));
    }
    let from = (&broken.endpoint, &broken.software_version);
    note_resumed(&exchange, from, &started.source, events.last_event());
    let endpoint = Upstream::new(started);
    Ok(ForwardedStream { exchange, endpoint, events: Some(events), can_resume })
}

/// The events sent so far, or why the stream may not be resumed at another endpoint.
fn resumable(
    exchange: &Exchange,
    events: Option<EventSplitter>,
    can_resume: bool,
) -> std::result::Result<EventSplitter, &'static str> {
    let events = events.filter(|_| can_resume).ok_or("the route does not allow it")?;
    if !events.is_at_event_boundary() {
        return Err("the client has a part of an event");
    }
    if !exchange.can_send_again() {
        return Err("no attempt or no time is left");
    }
    Ok(events)
}

/// How a stream broke.
struct Break<'a> {
    endpoint: Arc<str>,
    software_version: Arc<str>,
    error: &'a Error,
    /// True if another incarnation has taken the endpoint's place.
    endpoint_ended: bool,
}

impl<'a> Break<'a> {
    /// Lets later choices of endpoints know of the failure of `source`.
    fn note(exchange: &Exchange, source: &Source, error: &'a Error) -> Self {
        let endpoint = source.endpoint().clone();
        let software_version = exchange.relay.fleet().software_version(&endpoint);
        let endpoint_ended = source.is_replaced();
        if endpoint_ended {
            exchange.note_ended(&endpoint, IncarnationEnd::Replaced);
        } else if !error.is_timeout() && source.is_direct() {
            exchange.note_broken_off(&endpoint);
        }
        if source.is_direct() {
            exchange.relay.note_failure(&endpoint);
        }
        Self { endpoint, software_version, error, endpoint_ended }
    }

    /// Logs and counts a stream that its client does not receive whole.
    fn report(&self, exchange: &mut Exchange, not_resumed: &str) -> Error {
        exchange.end_guard.note_logged();
        let serving = exchange.relay.fleet().software_versions(&exchange.chosen.service.name);
        warn!(
            event = "stream_broken",
            request = %exchange.meta.id,
            route = %exchange.chosen.route.name,
            endpoint = %self.endpoint,
            software = %self.software_version,
            serving = %serving,
            error = %self.error,
            not_resumed
        );
        exchange.relay.metrics.count(Counter::StreamsBroken);
        Error::failed("pass stream on", self.endpoint.clone(), self.error)
    }
}

/// Logs and counts a stream that is resumed at `source` after `last_event`, which came `from` another
/// endpoint and its software version.
fn note_resumed(
    exchange: &Exchange,
    (endpoint, software_version): (&Arc<str>, &Arc<str>),
    source: &Source,
    last_event: Option<u64>,
) {
    exchange.relay.metrics.count(Counter::StreamsResumed);
    info!(
        event = "stream_resumed",
        request = %exchange.meta.id,
        from = %endpoint,
        from_software = %software_version,
        endpoint = %source.endpoint(),
        software = %source.software_version(),
        peer = source.peer(),
        last_event = last_event.unwrap_or(0)
    );
}
