//! Sends a request to an endpoint once, and waits for the head of the response.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use tokio::sync::watch;
use tracing::info;

use super::border::{Backoff, SendMeta};
use super::connection_records::OlderConnections;
use super::doubt::{Continuation, Doubt, OpenAnswer, Raced};
use super::exchange::Exchange;
use super::known::IncarnationEnd;
use super::pool::{self, SendFailure};
use super::queue::QueuePlace;
use super::reach::Suspicion;
use super::sender::EndpointCheck;
use super::shared::Relay;
use super::source::{Source, StartedResponse};
use crate::http::{Framing, WholeBody};
use crate::message::WeightsName;
use crate::policy::rank::LATE_RANK;
use crate::policy::waiting_queue::QueueKey;
use crate::routing::Repeat;

/// How long a started response may bring no data before its endpoint is probed.
const SILENT_PROBE_MS: u64 = 400;
/// How often its connection is then compared with newer ones.
const SILENCE_CHECK_MS: u64 = 200;
/// How long a response may not have started before its endpoint is probed, while the endpoint starts
/// no other response either.
const NOT_STARTED_PROBE_MS: u64 = 800;
/// How long responses may still arrive after their endpoint was found to have ended.
const LAST_RESPONSES_MS: u64 = 300;

/// A request in flight at an endpoint; dropped when its response has ended or failed.
pub(super) struct InFlightRequest {
    relay: Arc<Relay>,
    service: Arc<str>,
    weights: Option<WeightsName>,
    number: u64,
    sent_at_ms: u64,
    /// True once the endpoint has started a response.
    has_started: bool,
    pub(super) endpoint: Arc<str>,
    /// The endpoint's software version.
    pub(super) software_version: Arc<str>,
    pub(super) address: std::net::SocketAddr,
    ended: Option<watch::Receiver<IncarnationEnd>>,
    /// True if the request may be sent once more beside the open answer.
    is_repeatable: bool,
}

impl InFlightRequest {
    /// Returns once another incarnation has certainly taken the endpoint's place, or never. The
    /// endpoint's connections may still be open at that time.
    pub(super) async fn wait_for_end(&self) {
        wait_for(self.ended.clone(), IncarnationEnd::Replaced).await;
        // Responses that the endpoint sent before may still be in transit.
        tokio::time::sleep(Duration::from_millis(LAST_RESPONSES_MS)).await;
    }

    /// True if another incarnation has taken the endpoint's place.
    pub(super) fn is_replaced(&self) -> bool {
        self.ended.as_ref().is_some_and(|ended| *ended.borrow() == IncarnationEnd::Replaced)
    }

    /// Records that the response has brought something, which takes back what was guessed of an end of
    /// the endpoint.
    pub(super) fn note_data(&self) {
        let Some(ended) = &self.ended else { return };
        let end = *ended.borrow();
        if end == IncarnationEnd::Unreachable || end == IncarnationEnd::Unresponsive {
            self.relay.fleet().withdraw_end(&self.endpoint);
        }
    }

    /// Returns once the response is doubted, or never: for silence, not before `after_ms`.
    ///
    /// Awaited alongside each part of the response, so it does nothing before the first probe is due.
    pub(super) async fn doubt(&self, after_ms: u64) -> Doubt {
        if !self.is_repeatable {
            std::future::pending::<()>().await;
        }
        tokio::select! {
            end = wait_for(self.ended.clone(), IncarnationEnd::Unreachable) => Doubt::Ended(end),
            () = self.watch_silence(after_ms) => Doubt::Silent,
        }
    }

    /// Probes the endpoint, unless the response is awaited whatever the result.
    fn probe_silent(&self) {
        if self.is_repeatable {
            self.relay.probe_silent(&self.endpoint);
        }
    }

    /// Probes the endpoint repeatedly while nothing comes. Returns once the connection seems to be
    /// silent although the endpoint is reached on newer ones, not before `after_ms`.
    async fn watch_silence(&self, after_ms: u64) {
        let Relay { clock, pool, .. } = &*self.relay;
        let from_ms = clock.now_ms();
        let mut check_at_ms = from_ms + SILENT_PROBE_MS;
        loop {
            clock.sleep_until(check_at_ms).await;
            self.probe_silent();
            let silent_ms = check_at_ms - from_ms;
            check_at_ms += SILENCE_CHECK_MS;
            let is_first = silent_ms == SILENT_PROBE_MS;
            if is_first
                && pool.compare_older(self.address, from_ms, from_ms) == OlderConnections::Quiet
            {
                // Further requests use new connections, which show whether the endpoint works.
                pool.forget(self.address);
            }
            // Other connections may have brought something after this one, before they fell silent.
            let quiet_since_ms = from_ms + silent_ms - SILENT_PROBE_MS;
            if !is_first
                && silent_ms >= after_ms
                && pool.are_silent(self.address, from_ms, quiet_since_ms)
            {
                return;
            }
        }
    }
}

/// Returns the evidence of an endpoint's end once it is at least as certain as `least`, or never.
pub(super) async fn wait_for(
    ended: Option<watch::Receiver<IncarnationEnd>>,
    least: IncarnationEnd,
) -> IncarnationEnd {
    if let Some(mut ended) = ended
        && let Ok(end) = ended.wait_for(|end| *end >= least).await
    {
        return *end;
    }
    std::future::pending().await
}

impl Drop for InFlightRequest {
    fn drop(&mut self) {
        let now_ms = self.relay.now_ms();
        let weights = self.weights.as_ref();
        self.relay.fleet().finish(now_ms, &self.endpoint, weights, self.number);
        if self.has_started {
            let took_ms = now_ms.saturating_sub(self.sent_at_ms);
            self.relay.queue.note_end(now_ms, &self.service, took_ms);
        }
        let key = QueueKey { service: self.service.clone(), weights: self.weights.take() };
        self.relay.note_place_left(now_ms, &self.endpoint, &key);
    }
}

/// Returns the next evidence of an endpoint's end, or never.
async fn wait_for_new(ended: Option<watch::Receiver<IncarnationEnd>>) -> IncarnationEnd {
    if let Some(mut ended) = ended {
        while ended.changed().await.is_ok() {
            let end = *ended.borrow_and_update();
            if end >= IncarnationEnd::Unreachable {
                return end;
            }
        }
    }
    std::future::pending().await
}

/// The result of one send.
pub(super) enum Attempt {
    Started(Box<StartedResponse>),
    /// Nothing of the request was written.
    NotSent(&'static str),
    /// The endpoint rejected the request.
    NotRun(&'static str),
    /// The endpoint rejected the request because it is full.
    Full,
    /// The endpoint refused the request and asked for backoff.
    RefusedWithBackoff,
    /// Nothing was written, because the endpoint began to leave while the connection was made, or the
    /// gateway's knowledge became too old.
    Outdated,
    Unknown(String),
    /// The endpoint answered another request.
    Foreign,
    /// The endpoint sent something that is no final answer.
    Invalid(String),
    /// No response came before the deadline.
    Overdue,
    /// Another incarnation took the endpoint's place, which had not closed its connections.
    Ended,
    /// The connection was closed because the request may no longer start on the version that the
    /// endpoint holds.
    TakenBack,
}

impl Attempt {
    /// True if the send has certainly brought no response, while there was time for one.
    fn is_lost(&self) -> bool {
        !matches!(self, Self::Started(_) | Self::Overdue)
    }
}

/// Why the wait for a response was given up.
pub(super) enum WaitAborted {
    /// The deadline passed.
    Deadline,
    /// Another incarnation took the endpoint's place.
    Ended,
    /// The version that the endpoint holds was replaced too long ago.
    Replaced,
}

impl Exchange {
    /// Sends the request once. The next request of the queue tries when `place` is dropped: not
    /// before the endpoint's load counts this one.
    pub(super) async fn attempt(
        &self,
        send: &SendMeta,
        address: std::net::SocketAddr,
        software_version: Arc<str>,
        place: Option<QueuePlace>,
    ) -> Attempt {
        let relay = &self.relay;
        let weights = self.engine_weights();
        let now_ms = relay.now_ms();
        let wanted = weights.map(|weights| self.wanted(now_ms, weights));
        let is_late = send.priority >= LATE_RANK;
        let number = relay.fleet().start(now_ms, &send.endpoint, wanted.as_ref(), is_late);
        let mut flight = InFlightRequest {
            relay: relay.clone(),
            service: self.chosen.service.name.clone(),
            weights: weights.cloned(),
            number,
            sent_at_ms: now_ms,
            has_started: false,
            endpoint: send.endpoint.clone(),
            software_version,
            address,
            ended: None,
            is_repeatable: self.chosen.route.repeat != Repeat::Once,
        };
        drop(place);
        let mut connection = match relay.pool.connection(address).await {
            Ok(connection) => connection,
            Err(error) => {
                relay.fleet().mark_unreachable(relay.now_ms(), &send.endpoint);
                relay.suspect(&send.endpoint, Suspicion::Unreachable);
                info!(event = "endpoint_unreachable", endpoint = %send.endpoint, error = %error);
                return Attempt::NotSent("the endpoint cannot be reached");
            }
        };
        if !relay.may_still_send(&send.endpoint) {
            return Attempt::Outdated;
        }
        // The endpoint accepted a connection, so an end that was found before may be over.
        flight.ended = relay.fleet().watch_end(&send.endpoint);
        let peer = &*send.endpoint;
        let (head, second_connection) = {
            let sending = pool::send(&mut connection, peer, self.request(send));
            tokio::pin!(sending);
            self.await_head(send, sending, &flight).await
        };
        if let Some(second_connection) = second_connection {
            connection = second_connection;
        }
        let response = match head {
            Err(WaitAborted::Deadline) => {
                return Attempt::Overdue;
            }
            Err(WaitAborted::Ended) => return Attempt::Ended,
            Err(WaitAborted::Replaced) => return Attempt::TakenBack,
            Ok(Err(SendFailure::NotSent(error))) => {
                info!(event = "send_lost", endpoint = %send.endpoint, error = %error);
                return Attempt::NotSent("the connection was closed");
            }
            Ok(Err(SendFailure::Unknown(error))) => return Attempt::Unknown(error.to_string()),
            Ok(Err(SendFailure::Invalid(error))) => return Attempt::Invalid(error.to_string()),
            Ok(Ok(response)) => response,
        };
        let head = relay.platform_headers.read_answer(response.status(), response.headers());
        // Nothing in an answer to another request says anything about this one, or about the endpoint.
        // An answer without an id belongs to no request: endpoints return the id of each.
        if head.request_id.as_ref() != Some(&self.meta.id) {
            return Attempt::Foreign;
        }
        if response.status().is_success() && !head.is_signed {
            return Attempt::Invalid("a success without a signature".to_owned());
        }
        relay.note_endpoint_state(&send.endpoint, self.sent_at_ms, &head);
        if head.misdirected {
            if let Some(weights) = weights {
                relay.fleet().not_held(&send.endpoint, weights, self.held_version);
            }
            return Attempt::NotRun("the endpoint does not hold the weights");
        }
        if head.not_run {
            relay.fleet().refused(relay.now_ms(), &send.endpoint);
            if let Backoff::Millis(_) = head.backoff {
                return Attempt::RefusedWithBackoff;
            }
            relay.queue.note_rejected(&self.queue_key());
            return Attempt::Full;
        }
        // An overloaded endpoint may ask for backoff even in a response to a request that it ran.
        if head.backoff == Backoff::None {
            relay.fleet().answered(relay.now_ms(), &send.endpoint, number);
        }
        flight.has_started = true;
        let now_ms = relay.now_ms();
        relay.queue.note_head(now_ms, &flight.service, now_ms.saturating_sub(flight.sent_at_ms));
        self.note_share_sent();
        let (head, body) = response.into_parts();
        let framing = match Framing::of(&head) {
            Ok(framing) => framing,
            Err(error) => return Attempt::Unknown(error.to_string()),
        };
        let is_events = self.is_event_stream(&head);
        let sender = EndpointCheck::new(relay.clone(), send.endpoint.clone(), address);
        let body = WholeBody::new(send.endpoint.clone(), framing, body, is_events)
            .with_sender_check(sender)
            .boxed();
        let response = Response::from_parts(head, body);
        let source = Source::Endpoint(flight, connection);
        Attempt::Started(Box::new(StartedResponse { source, response }))
    }

    /// Sends the request once, and once more elsewhere if the first send is doubted before its response
    /// has started.
    pub(super) async fn race_for_head(
        &self,
        send: &SendMeta,
        address: std::net::SocketAddr,
        software_version: Arc<str>,
        place: Option<QueuePlace>,
    ) -> Raced<Attempt, Continuation> {
        // What was found before the send may be over.
        let ended = self.relay.fleet().subscribe_end(&send.endpoint);
        let doubt = pin!(async { Doubt::Ended(wait_for_new(ended).await) });
        let answer = OpenAnswer {
            endpoint: &send.endpoint,
            last_event: send.last_event,
            is_continuable: true,
        };
        let open = pin!(self.attempt(send, address, software_version, place));
        self.race(answer, open, Attempt::is_lost, doubt, |it| async { Some(it) }).await
    }

    /// Waits for the head of a response until the deadline, or until the request may no longer
    /// start on the weights version it was sent to.
    ///
    /// The gateway enforces this limit itself, because an endpoint takes no orders while it hangs
    /// or while its order holder is lost.
    pub(super) async fn wait_for_head<T>(
        &self,
        answer: impl Future<Output = T>,
        flight: &InFlightRequest,
    ) -> Result<T, WaitAborted> {
        let ended = flight.wait_for_end();
        tokio::pin!(ended);
        tokio::pin!(answer);
        let mut begin_by_ms = None;
        let mut ask_at_ms = self.sent_at_ms + NOT_STARTED_PROBE_MS;
        loop {
            let version_known = self.relay.version_known.notified();
            tokio::pin!(version_known);
            version_known.as_mut().enable();
            let now_ms = self.relay.now_ms();
            // The first newer version sets the limit; later versions do not extend it.
            begin_by_ms = begin_by_ms.or_else(|| self.begin_by_ms(now_ms));
            let until_ms = begin_by_ms.unwrap_or(u64::MAX).min(self.ends_at_ms);
            tokio::select! {
                biased;
                answered = &mut answer => return Ok(answered),
                () = &mut version_known => continue,
                () = &mut ended => return Err(WaitAborted::Ended),
                () = self.relay.clock.sleep_until(ask_at_ms.min(until_ms)) => {}
            }
            if self.relay.now_ms() < until_ms {
                ask_at_ms = self.relay.now_ms() + NOT_STARTED_PROBE_MS;
                if self.relay.fleet().is_silent_since(self.sent_at_ms, &flight.endpoint) {
                    flight.probe_silent();
                }
                continue;
            }
            if self.relay.now_ms() >= self.ends_at_ms {
                return Err(WaitAborted::Deadline);
            }
            if !self.may_have_started(&flight.endpoint) {
                return Err(WaitAborted::Replaced);
            }
            begin_by_ms = Some(u64::MAX);
        }
    }

    fn begin_by_ms(&self, now_ms: u64) -> Option<u64> {
        let weights = self.engine_weights()?;
        self.relay.fleet().begin_by_ms(now_ms, weights, self.held_version?)
    }

    /// Returns false for streams, whose first bytes would show that they have started. Any other
    /// request may have started if the endpoint has answered anything since it was sent.
    fn may_have_started(&self, endpoint: &str) -> bool {
        !self.chosen.route.streams && !self.relay.fleet().is_silent_since(self.sent_at_ms, endpoint)
    }

    pub(super) fn request(&self, send: &SendMeta) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.target.clone();
        *request.headers_mut() = self.headers.clone();
        self.relay.platform_headers.write_request(request.headers_mut(), send);
        request
    }
}
