//! Waits for an endpoint that can take a request, and sends the request to it once.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::sync::watch;
use tokio::time::timeout;
use tracing::info;

use super::border::{Backoff, SendMeta};
use super::exchange::Exchange;
use super::known::{IncarnationEnd, Wanted};
use super::pick::{PickRequest, Picked};
use super::pool::{self, Connection, SendFailure};
use super::refusal::NotSent;
use super::shared::Relay;
use crate::message::{AdapterNeed, WeightsName};
use crate::policy::fair_share::ShareClass;
use crate::policy::rank::LATE_RANK;
use crate::routing::Repeat;

/// How long before a quarter of the latency objective a request that found no free endpoint is
/// refused; until then a refusal costs the client nothing.
const REFUSAL_MARGIN_MS: u64 = 12;
/// How long a request waits for weights that are being loaded, in percent of the latency objective.
const LOAD_WAIT_PERCENT: u64 = 180;

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
    weights: Option<WeightsName>,
    number: u64,
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
        self.relay.changed.notify_waiters();
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
}

/// The result of one send.
pub(super) enum Attempt {
    Started(Box<StartedResponse>),
    NotRun(&'static str),
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
    /// Waits until an endpoint can take the request, within the limits that the route's latency
    /// objective sets.
    pub(super) async fn pick(&self) -> Result<Target, NotSent> {
        let quarter_ms = self.chosen.route.latency_objective_ms / 4;
        let max_wait_ms = quarter_ms.saturating_sub(REFUSAL_MARGIN_MS);
        let until_ms = (self.started_ms + max_wait_ms).min(self.ends_at_ms);
        // A late response from weights that are being loaded is worth more than a refusal.
        let load_wait_ms = self.chosen.route.latency_objective_ms * LOAD_WAIT_PERCENT / 100;
        let load_wait_until_ms = (self.started_ms + load_wait_ms).min(self.ends_at_ms);
        let mut asked = false;
        let mut waited_for = "";
        let mut capacity_wait = None;
        loop {
            let changed = self.relay.changed.notified();
            let now_ms = self.relay.now_ms();
            let weights = self.engine_weights();
            let service = &self.chosen.service.name;
            let wanted = weights.map(|weights| self.wanted(now_ms, weights));
            let request = PickRequest {
                objective_left_ms: self.objective_at_ms().saturating_sub(now_ms),
                free_slots_only: self.share() == ShareClass::Over,
                is_repeated: !waited_for.is_empty(),
                ..PickRequest::new(service, wanted.as_ref(), &self.tried)
            };
            let picked = self.relay.fleet().pick_for(now_ms, &request);
            let reason = match picked {
                Picked::Endpoint {
                    id,
                    name,
                    address,
                    weights_version,
                    held_version,
                    rank,
                    expected_ms,
                } => {
                    return Ok(Target {
                        id,
                        name,
                        address,
                        weights_version,
                        held_version,
                        rank,
                        expected_ms,
                        waited_for,
                    });
                }
                Picked::NoEndpoint => "no endpoint",
                Picked::Full => "endpoints are full",
                Picked::Limited { .. } => "endpoints limit what they take",
                Picked::BackingOff { .. } => "endpoints asked for backoff",
                Picked::Coming => "weights are on their way",
                Picked::NoHome => "weights are not loaded",
            };
            if waited_for.is_empty() {
                waited_for = reason;
            }
            // A wait for weights does not show that capacity is short.
            capacity_wait = match picked {
                Picked::Full | Picked::Limited { .. } | Picked::BackingOff { .. } => {
                    capacity_wait.or_else(|| self.wait_for_capacity())
                }
                _ => None,
            };
            let until_ms = if picked == Picked::Coming { load_wait_until_ms } else { until_ms };
            if let (Some(weights), false) = (weights, asked) {
                asked = true;
                let need = AdapterNeed {
                    service: service.clone(),
                    weights: weights.clone(),
                    requests: 1,
                    more: picked == Picked::Full,
                };
                self.relay.request_weights(need);
            }
            if now_ms >= self.ends_at_ms {
                return Err(NotSent::Late);
            }
            let wake_at_ms = match picked {
                Picked::Limited { after_ms } if now_ms + after_ms >= until_ms => {
                    return Err(NotSent::Limited { after_ms });
                }
                Picked::BackingOff { after_ms } if now_ms + after_ms >= until_ms => {
                    return Err(NotSent::BackingOff { after_ms });
                }
                Picked::Limited { after_ms } | Picked::BackingOff { after_ms } => now_ms + after_ms,
                _ if now_ms >= until_ms => return Err(NotSent::NoPlace(reason)),
                _ => until_ms,
            };
            let wait = Duration::from_millis(wake_at_ms - now_ms);
            let _ = timeout(wait, changed).await;
        }
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

    pub(super) async fn attempt(&self, send: &SendMeta, address: std::net::SocketAddr) -> Attempt {
        let relay = &self.relay;
        let mut connection = match relay.pool.connection(address).await {
            Ok(connection) => connection,
            Err(error) => {
                relay.fleet().mark_unreachable(relay.now_ms(), &send.endpoint);
                info!(event = "endpoint_unreachable", endpoint = %send.endpoint, error = %error);
                return Attempt::NotRun("the endpoint cannot be reached");
            }
        };
        let weights = self.engine_weights();
        let now_ms = relay.now_ms();
        let wanted = weights.map(|weights| self.wanted(now_ms, weights));
        let is_late = send.priority >= LATE_RANK;
        let number = relay.fleet().start(now_ms, &send.endpoint, wanted.as_ref(), is_late);
        let flight = InFlightRequest {
            relay: relay.clone(),
            weights: weights.cloned(),
            number,
            endpoint: send.endpoint.clone(),
            address,
            ended: relay.fleet().watch_end(&send.endpoint),
            give_up_on: match self.chosen.route.repeat {
                // An endpoint that is shutting down may still answer a request that must not be
                // resent.
                Repeat::Once => IncarnationEnd::Replaced,
                Repeat::Any | Repeat::Resume => IncarnationEnd::Unreachable,
            },
        };
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
            return Attempt::NotRun("the endpoint refused");
        }
        // An overloaded endpoint may ask for backoff even in a response to a request that it ran.
        if head.backoff == Backoff::None {
            relay.fleet().answered(relay.now_ms(), &send.endpoint, number);
        }
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
