//! Waits for an endpoint that can take a request, and sends the request to it once.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::sync::watch;
use tracing::info;

use super::border::{Backoff, SendMeta};
use super::exchange::Exchange;
use super::known::{IncarnationEnd, Wanted};
use super::pick::{PickRequest, Picked};
use super::pool::{self, Connection, SendFailure};
use super::queue::{QueuePlace, Turn};
use super::refusal::NotSent;
use super::shared::Relay;
use super::shares::CapacityWait;
use crate::message::{AdapterNeed, WeightsName};
use crate::policy::fair_share::ShareClass;
use crate::policy::rank::LATE_RANK;
use crate::policy::waiting_queue::{QueueKey, QueueRefusal, WaitingRequest};
use crate::routing::Repeat;

/// How long before a quarter of the latency objective a request to a service without any known
/// endpoint is refused; until then a refusal costs the client nothing.
const REFUSAL_MARGIN_MS: u64 = 12;
/// How often the first waiting request tries again without a notification. Pauses end without one.
const RETRY_INTERVAL_MS: u64 = 25;
/// How often the leader is asked again for weights; it drops asks that are not repeated within
/// 1.5 s.
const ASK_AGAIN_MS: u64 = 1_000;
/// What a request waits for if the endpoints or the requests before it leave no place.
const ENDPOINT_FULL: &str = "endpoints are full";
const WEIGHTS_NOT_LOADED: &str = "weights are not loaded";
const NO_ENDPOINT: &str = "no endpoint";

/// How long a started response may bring no data before its endpoint is probed.
const SILENT_PROBE_MS: u64 = 400;
/// The same for a response that has not started, while the endpoint starts no other response
/// either.
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
    pub(super) address: std::net::SocketAddr,
    ended: Option<watch::Receiver<IncarnationEnd>>,
    /// The least certain evidence of the endpoint's end that stops the wait for the response.
    give_up_on: IncarnationEnd,
}

impl InFlightRequest {
    /// Returns once the endpoint is found to have ended, or never. The endpoint's connections may
    /// still be open at that time.
    pub(super) async fn wait_for_end(&self) {
        if let Some(mut ended) = self.ended.clone()
            && ended.wait_for(|ended| *ended >= self.give_up_on).await.is_ok()
        {
            // Responses that the endpoint sent before may still be in transit.
            tokio::time::sleep(Duration::from_millis(LAST_RESPONSES_MS)).await;
            return;
        }
        std::future::pending::<()>().await;
    }

    /// How the endpoint was found to have ended; `None` while the response is still awaited.
    pub(super) fn end(&self) -> Option<IncarnationEnd> {
        let end = *self.ended.as_ref()?.borrow();
        (end >= self.give_up_on).then_some(end)
    }

    /// Probes the endpoint, unless the response is awaited whatever the result.
    fn probe_silent(&self) {
        if self.give_up_on == IncarnationEnd::Unreachable {
            self.relay.probe_silent(&self.endpoint);
        }
    }

    /// Probes the endpoint repeatedly; awaited alongside the next part of the response and dropped
    /// when that arrives.
    pub(super) async fn probe_while_silent(&self) -> Infallible {
        loop {
            self.relay.clock.sleep_until(self.relay.now_ms() + SILENT_PROBE_MS).await;
            self.probe_silent();
        }
    }
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
        self.relay.queue.note_place_left(now_ms, &key);
    }
}

/// A response whose head has arrived and whose body is still being received.
pub(super) struct StartedResponse {
    pub(super) flight: InFlightRequest,
    pub(super) connection: Connection,
    pub(super) response: Response<Incoming>,
}

/// The endpoint selected for a request.
pub(super) struct Target {
    pub(super) id: Arc<str>,
    pub(super) name: Arc<str>,
    pub(super) address: std::net::SocketAddr,
    pub(super) weights_version: Option<u64>,
    pub(super) held_version: Option<u64>,
    pub(super) rank: Option<u8>,
    pub(super) expected_ms: u64,
    /// What the request waited for before the endpoint was selected; empty if it did not wait.
    pub(super) waited_for: &'static str,
    /// The place of a request that waited; the next one tries when it is dropped.
    pub(super) place: Option<QueuePlace>,
}

/// The wait of a request for an endpoint.
struct Wait {
    /// What the request waited for first; empty if it has not waited.
    for_reason: &'static str,
    /// When the leader was last asked for the weights.
    asked_at_ms: Option<u64>,
}

/// What a request waits for.
struct Blocked {
    reason: &'static str,
    /// When the endpoints that could take it may take the next request; `None` if that is unknown.
    until_ms: Option<u64>,
}

/// Why no endpoint takes a request.
fn describe(picked: &Picked) -> &'static str {
    match picked {
        Picked::Endpoint { .. } => "",
        Picked::NoEndpoint => NO_ENDPOINT,
        Picked::Full => ENDPOINT_FULL,
        Picked::Limited { .. } => "endpoints limit what they take",
        Picked::BackingOff { .. } => "endpoints asked for backoff",
        Picked::Coming => "weights are on their way",
        Picked::NoHome => WEIGHTS_NOT_LOADED,
    }
}

/// The result of one send.
pub(super) enum Attempt {
    Started(Box<StartedResponse>),
    NotRun(&'static str),
    /// The endpoint rejected the request because it is full.
    Full,
    /// The endpoint refused the request and asked for backoff.
    RefusedWithBackoff,
    Unknown(String),
    /// No response came before the deadline.
    Overdue,
    /// The endpoint was found to have ended without closing its connections.
    Ended(IncarnationEnd),
    /// The connection was closed because the request may no longer start on the version that the
    /// endpoint holds.
    TakenBack,
}

/// Why the wait for a response was given up.
enum WaitAborted {
    /// The deadline passed.
    Deadline,
    /// The endpoint was found to have ended.
    Ended,
    /// The version that the endpoint holds was replaced too long ago.
    Replaced,
}

impl Exchange {
    /// Waits until an endpoint can take the request, in the order of the queue and for as long as a
    /// response can still be expected before the deadline.
    pub(super) async fn pick(&self) -> Result<Target, NotSent> {
        let relay = &self.relay;
        let key = self.queue_key();
        let mut wait = Wait { for_reason: "", asked_at_ms: None };
        let mut reason = ENDPOINT_FULL;
        let mut has_tried = self.was_rejected;
        if !self.was_rejected && !relay.queue.is_contended(&key) {
            has_tried = true;
            let now_ms = relay.now_ms();
            match self.pick_endpoint(now_ms, &wait, None) {
                Ok(target) => return Ok(target),
                Err(picked) => reason = self.note_no_endpoint(now_ms, &mut wait, &picked)?.reason,
            }
        } else if let Some(weights) = &key.weights {
            let is_held = relay.fleet().is_held(weights);
            if !is_held {
                reason = WEIGHTS_NOT_LOADED;
            }
            self.ask_for_weights(relay.now_ms(), &mut wait, is_held);
        }
        wait.for_reason = reason;
        let place = self.join_queue(relay.now_ms(), &key, reason)?;
        let mut capacity_wait = self.note_capacity_wait(reason, None);
        let mut is_rechecked = false;
        // A request that was rejected or has just searched does not try again at once.
        let mut turn =
            if has_tried { Turn::RetryLater } else { relay.turn(relay.now_ms(), &place) };
        loop {
            let now_ms = relay.now_ms();
            if now_ms >= self.ends_at_ms {
                return Err(NotSent::Late);
            }
            let mut again_at_ms = now_ms + RETRY_INTERVAL_MS;
            match turn {
                Turn::Now => match self.pick_endpoint(now_ms, &wait, Some(&place)) {
                    Ok(target) => {
                        place.note_sent(now_ms);
                        return Ok(Target { place: Some(place), ..target });
                    }
                    Err(picked) => {
                        let blocked = self.note_no_endpoint(now_ms, &mut wait, &picked)?;
                        reason = blocked.reason;
                        capacity_wait = self.note_capacity_wait(reason, capacity_wait);
                        again_at_ms = blocked.until_ms.unwrap_or(again_at_ms);
                    }
                },
                Turn::RetryLater => {}
                Turn::NotFirst => again_at_ms = u64::MAX,
            }
            let ask_at_ms = wait.asked_at_ms.map_or(u64::MAX, |at_ms| at_ms + ASK_AGAIN_MS);
            let recheck_at_ms = if is_rechecked { u64::MAX } else { place.request.recheck_at_ms() };
            let wake_at_ms =
                place.request.give_up_at_ms.min(again_at_ms).min(ask_at_ms).min(recheck_at_ms);
            let _ = relay.clock.timeout_at(wake_at_ms, place.woken()).await;
            let now_ms = relay.now_ms();
            if place.is_replaced() {
                let after_ms = relay.queue.retry_after_ms(now_ms, &key);
                return Err(NotSent::Replaced { after_ms });
            }
            if now_ms >= place.request.give_up_at_ms {
                let after_ms = relay.queue.retry_after_ms(now_ms, &key);
                return Err(NotSent::WaitEnded { reason, after_ms });
            }
            if now_ms >= recheck_at_ms {
                is_rechecked = true;
                place.recheck(now_ms).map_err(|refusal| self.refuse_queue(refusal, reason))?;
            }
            turn = relay.turn(now_ms, &place);
            if let (Turn::NotFirst | Turn::RetryLater, Some(weights)) = (turn, &key.weights) {
                let is_held = relay.fleet().is_held(weights);
                self.ask_for_weights(now_ms, &mut wait, is_held);
            }
        }
    }

    /// Counts the request as waiting for capacity while `reason` says so: a wait for weights does
    /// not show that capacity is short.
    fn note_capacity_wait<'a>(
        &'a self,
        reason: &str,
        known: Option<CapacityWait<'a>>,
    ) -> Option<CapacityWait<'a>> {
        if reason != ENDPOINT_FULL {
            return None;
        }
        known.or_else(|| self.wait_for_capacity())
    }

    /// Records that no endpoint could take the request; returns what it waits for.
    ///
    /// # Errors
    /// The request cannot wait for that long.
    fn note_no_endpoint(
        &self,
        now_ms: u64,
        wait: &mut Wait,
        picked: &Picked,
    ) -> Result<Blocked, NotSent> {
        let reason = describe(picked);
        self.ask_for_weights(now_ms, wait, *picked == Picked::Full);
        if now_ms >= self.ends_at_ms {
            return Err(NotSent::Late);
        }
        if *picked == Picked::NoEndpoint && now_ms >= self.first_endpoint_until_ms() {
            return Err(NotSent::NoPlace(reason));
        }
        Ok(Blocked { reason, until_ms: self.throttled_until_ms(now_ms, picked)? })
    }

    /// Selects an endpoint.
    ///
    /// # Errors
    /// Why none can take the request.
    fn pick_endpoint(
        &self,
        now_ms: u64,
        wait: &Wait,
        place: Option<&QueuePlace>,
    ) -> Result<Target, Picked> {
        let wanted = self.engine_weights().map(|weights| self.wanted(now_ms, weights));
        let objective_left_ms = self.objective_at_ms().saturating_sub(now_ms);
        // A late request must not delay requests that can still be answered in time.
        let is_late = match place {
            Some(place) => place.request.is_late(now_ms),
            None => objective_left_ms == 0,
        };
        let is_over_share = self.share() == ShareClass::Over;
        let request = PickRequest {
            objective_left_ms,
            free_slots_only: is_late || is_over_share,
            leaves_reserve: is_over_share,
            is_repeated: !wait.for_reason.is_empty(),
            ..PickRequest::new(&self.chosen.service.name, wanted.as_ref(), &self.tried)
        };
        match self.relay.fleet().pick_for(now_ms, &request) {
            Picked::Endpoint {
                id,
                name,
                address,
                weights_version,
                held_version,
                rank,
                expected_ms,
            } => Ok(Target {
                id,
                name,
                address,
                weights_version,
                held_version,
                rank,
                expected_ms,
                waited_for: wait.for_reason,
                place: None,
            }),
            picked => Err(picked),
        }
    }

    /// When the endpoints that could take the request may take the next one; `None` if they are not
    /// throttled.
    ///
    /// # Errors
    /// The request cannot wait for that long.
    fn throttled_until_ms(&self, now_ms: u64, picked: &Picked) -> Result<Option<u64>, NotSent> {
        let give_up_at_ms = self.give_up_at_ms(now_ms);
        match *picked {
            Picked::Limited { after_ms } if now_ms + after_ms >= give_up_at_ms => {
                Err(NotSent::Limited { after_ms })
            }
            Picked::BackingOff { after_ms } if now_ms + after_ms >= give_up_at_ms => {
                Err(NotSent::BackingOff { after_ms })
            }
            Picked::Limited { after_ms } | Picked::BackingOff { after_ms } => {
                Ok(Some(now_ms + after_ms))
            }
            _ => Ok(None),
        }
    }

    /// Asks the leader to load the weights, and repeats it while the request waits.
    fn ask_for_weights(&self, now_ms: u64, wait: &mut Wait, more: bool) {
        let Some(weights) = self.engine_weights() else { return };
        if wait.asked_at_ms.is_some_and(|asked_at_ms| now_ms < asked_at_ms + ASK_AGAIN_MS) {
            return;
        }
        // A repeated ask does not count towards the demand for the weights again.
        let requests = u32::from(wait.asked_at_ms.is_none());
        wait.asked_at_ms = Some(now_ms);
        let service = self.chosen.service.name.clone();
        let need = AdapterNeed { service, weights: weights.clone(), requests, more };
        self.relay.request_weights(need);
    }

    fn join_queue(
        &self,
        now_ms: u64,
        key: &QueueKey,
        reason: &'static str,
    ) -> Result<QueuePlace, NotSent> {
        let request = self.waiting_request(now_ms);
        let joined = self.relay.queue.join(now_ms, key, &self.meta.id, request);
        joined.map_err(|refusal| self.refuse_queue(refusal, reason))
    }

    fn waiting_request(&self, now_ms: u64) -> WaitingRequest {
        let usual = self.relay.queue.usual_times(now_ms, &self.chosen.service.name);
        WaitingRequest {
            priority: self.priority(),
            started_ms: self.started_ms,
            objective_at_ms: self.objective_at_ms().saturating_sub(usual.to_head_ms),
            give_up_at_ms: self.give_up_at_ms(now_ms),
            share: self.share(),
            size_bytes: self.body.len(),
        }
    }

    fn refuse_queue(&self, refusal: QueueRefusal, reason: &'static str) -> NotSent {
        let relay = &self.relay;
        let after_ms = relay.queue.retry_after_ms(relay.now_ms(), &self.queue_key());
        match refusal {
            QueueRefusal::Full => NotSent::QueueFull { after_ms },
            QueueRefusal::DeadlineUnreachable => NotSent::DeadlineUnreachable { reason, after_ms },
        }
    }

    /// The last time at which the request can be sent and usually be answered before the deadline.
    fn give_up_at_ms(&self, now_ms: u64) -> u64 {
        let usual = self.relay.queue.usual_times(now_ms, &self.chosen.service.name);
        // Responses slower than the deadline allows must not have every request refused.
        let most_ms = self.ends_at_ms.saturating_sub(self.started_ms) / 2;
        self.ends_at_ms - usual.to_end_ms.min(most_ms)
    }

    /// How long a request waits for a service without any known endpoint: a gateway that has just
    /// started learns of the endpoints within that time.
    fn first_endpoint_until_ms(&self) -> u64 {
        let quarter_ms = self.chosen.route.latency_objective_ms / 4;
        self.started_ms + quarter_ms.saturating_sub(REFUSAL_MARGIN_MS)
    }

    /// The capacity that the request competes for.
    pub(super) fn queue_key(&self) -> QueueKey {
        let service = self.chosen.service.name.clone();
        QueueKey { service, weights: self.engine_weights().cloned() }
    }

    /// The weights that an engine must hold; `None` for a plain service, whatever weights the
    /// client names.
    fn engine_weights(&self) -> Option<&WeightsName> {
        self.meta.weights.as_ref().filter(|_| self.chosen.service.engine.is_some())
    }

    /// When the latency objective passes.
    fn objective_at_ms(&self) -> u64 {
        self.started_ms + self.chosen.route.latency_objective_ms
    }

    fn wanted(&self, now_ms: u64, weights: &WeightsName) -> Wanted {
        let memory_tokens =
            self.chosen.service.engine.as_ref().map_or(0, |spec| spec.memory_tokens);
        // A prompt cannot exceed the engine's memory, whatever length the client states.
        let prompt_max_tokens = match memory_tokens {
            0 => u32::MAX,
            room => u32::try_from(room).unwrap_or(u32::MAX),
        };
        Wanted {
            weights: weights.clone(),
            priority: self.priority(),
            left_ms: self.objective_at_ms().saturating_sub(now_ms) as f64,
            prompt_tokens: self.meta.prompt_tokens.min(prompt_max_tokens),
            prompt: self.prompt.clone(),
            memory_tokens,
        }
    }

    /// Sends the request once. The next request of the queue tries when `place` is dropped: not
    /// before the endpoint's load counts this one.
    pub(super) async fn attempt(
        &self,
        send: &SendMeta,
        address: std::net::SocketAddr,
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
            address,
            ended: None,
            give_up_on: match self.chosen.route.repeat {
                // An endpoint that is shutting down may still answer a request that must not be
                // resent.
                Repeat::Once => IncarnationEnd::Replaced,
                Repeat::Any | Repeat::Resume => IncarnationEnd::Unreachable,
            },
        };
        drop(place);
        let mut connection = match relay.pool.connection(address).await {
            Ok(connection) => connection,
            Err(error) => {
                relay.fleet().mark_unreachable(relay.now_ms(), &send.endpoint);
                info!(event = "endpoint_unreachable", endpoint = %send.endpoint, error = %error);
                return Attempt::NotRun("the endpoint cannot be reached");
            }
        };
        // The endpoint accepted a connection, so an end that was found before may be over.
        flight.ended = relay.fleet().watch_end(&send.endpoint);
        let peer = &*send.endpoint;
        let sending = pool::send(&mut connection, peer, self.request(send));
        let response = match self.wait_for_head(sending, &flight).await {
            Err(WaitAborted::Deadline) => {
                return Attempt::Overdue;
            }
            Err(WaitAborted::Ended) => {
                return Attempt::Ended(flight.end().unwrap_or(IncarnationEnd::Replaced));
            }
            Err(WaitAborted::Replaced) => return Attempt::TakenBack,
            Ok(Err(SendFailure::NotSent(error))) => {
                info!(event = "send_lost", endpoint = %send.endpoint, error = %error);
                return Attempt::NotRun("the connection was closed");
            }
            Ok(Err(SendFailure::Unknown(error))) => return Attempt::Unknown(error.to_string()),
            Ok(Ok(response)) => response,
        };
        let head = relay.platform_headers.read_answer(response.status(), response.headers());
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
        Attempt::Started(Box::new(StartedResponse { flight, connection, response }))
    }

    /// Waits for the head of a response until the deadline, or until the request may no longer
    /// start on the weights version it was sent to.
    ///
    /// The gateway enforces this limit itself, because an endpoint takes no orders while it hangs
    /// or while its order holder is lost.
    async fn wait_for_head<T>(
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

    fn request(&self, send: &SendMeta) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.target.clone();
        *request.headers_mut() = self.headers.clone();
        self.relay.platform_headers.write_request(request.headers_mut(), send);
        request
    }
}
