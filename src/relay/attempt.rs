//! Choosing an endpoint for a request, and one send to it.

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
use super::pick::Picked;
use super::pool::{self, Connection, SendFailure};
use super::refusal::NotSent;
use super::shared::Relay;
use crate::message::{AdapterNeed, WeightsName};
use crate::policy::rank::LATE_RANK;
use crate::routing::Repeat;

/// How much before a quarter of the latency objective a request that found no place is refused; a
/// refusal costs nothing until then.
const PATIENCE_MARGIN_MS: u64 = 12;
/// How long a request waits for weights that are on their way, as a share of the latency objective.
const LOAD_HOLD_PERCENT: u64 = 180;

/// How long nothing comes of an answer that has begun before its endpoint is asked whether it is still there.
const SILENT_MS: u64 = 400;
/// The same for an answer that has not begun, while the endpoint begins no other one either.
const NOT_BEGUN_SILENT_MS: u64 = 800;
/// How long after an endpoint was replaced its last answers may take to come.
const LAST_ANSWERS_MS: u64 = 300;

/// A request that runs at an endpoint; dropped when its answer has ended either way.
pub(super) struct Flight {
    relay: Arc<Relay>,
    weights: Option<WeightsName>,
    number: u64,
    pub(super) endpoint: Arc<str>,
    pub(super) address: std::net::SocketAddr,
    ended: Option<watch::Receiver<IncarnationEnd>>,
    /// The end from which an answer is not waited for any longer.
    enough: IncarnationEnd,
}

impl Flight {
    /// Returns once the endpoint is found to have ended, which may be never: its own connections need
    /// not have been closed by then.
    pub(super) async fn ended(&self) {
        if let Some(mut ended) = self.ended.clone()
            && ended.wait_for(|ended| *ended >= self.enough).await.is_ok()
        {
            // What it answered before may still be on its way.
            tokio::time::sleep(Duration::from_millis(LAST_ANSWERS_MS)).await;
            return;
        }
        std::future::pending::<()>().await;
    }

    /// How the endpoint was found to have ended; none while its answer is still waited for.
    pub(super) fn end(&self) -> Option<IncarnationEnd> {
        let end = *self.ended.as_ref()?.borrow();
        (end >= self.enough).then_some(end)
    }

    /// Asks whether the endpoint is still there, unless the answer would be waited for anyhow.
    fn ask_silent(&self) {
        if self.enough == IncarnationEnd::Unreachable {
            self.relay.ask_silent(&self.endpoint);
        }
    }

    /// Asks the endpoint again and again whether it is still there; awaited beside the next part of its
    /// answer and dropped when that comes.
    pub(super) async fn ask_while_silent(&self) -> Infallible {
        loop {
            self.relay.clock.sleep_until(self.relay.now_ms() + SILENT_MS).await;
            self.ask_silent();
        }
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        let now_ms = self.relay.now_ms();
        let weights = self.weights.as_ref();
        self.relay.fleet().finish(now_ms, &self.endpoint, weights, self.number);
        self.relay.changed.notify_waiters();
    }
}

/// The head of an endpoint's answer, its body still on the way.
pub(super) struct Started {
    pub(super) flight: Flight,
    pub(super) connection: Connection,
    pub(super) response: Response<Incoming>,
}

/// The endpoint that a request goes to.
pub(super) struct Target {
    pub(super) id: Arc<str>,
    pub(super) name: Arc<str>,
    pub(super) address: std::net::SocketAddr,
    pub(super) weights_version: Option<u64>,
    pub(super) held_version: Option<u64>,
    pub(super) rank: Option<u8>,
    pub(super) expected_ms: u64,
    /// What it had to wait for first; empty when it did not wait.
    pub(super) waited_for: &'static str,
}

/// What came of one send.
pub(super) enum Attempt {
    Started(Box<Started>),
    NotRun(&'static str),
    /// The endpoint refused it and asked for backoff.
    RefusedWithBackoff,
    Unknown(String),
    /// No answer came before the deadline.
    Overdue,
    /// The endpoint closed no connection and was found to have ended.
    Ended(IncarnationEnd),
    /// Its connection was closed, since it may not begin any more on what the endpoint holds.
    TakenBack,
}

/// Why an answer is not waited for any longer.
enum Overdue {
    /// The deadline passed.
    Deadline,
    /// The endpoint was found to have ended.
    Ended,
    /// The version that the endpoint holds was replaced too long ago.
    Replaced,
}

impl Exchange {
    /// Waits until an endpoint can take the request, as long as that is worth it.
    pub(super) async fn pick(&self) -> Result<Target, NotSent> {
        let quarter_ms = self.chosen.route.latency_objective_ms / 4;
        let patience_ms = quarter_ms.saturating_sub(PATIENCE_MARGIN_MS);
        let until_ms = (self.started_ms + patience_ms).min(self.ends_at_ms);
        // Weights that are on their way are worth more than a refusal, also when the answer is late.
        let hold_ms = self.chosen.route.latency_objective_ms * LOAD_HOLD_PERCENT / 100;
        let hold_until_ms = (self.started_ms + hold_ms).min(self.ends_at_ms);
        let mut asked = false;
        let mut waited_for = "";
        loop {
            let changed = self.relay.changed.notified();
            let now_ms = self.relay.now_ms();
            let weights = self.engine_weights();
            let service = &self.chosen.service.name;
            let wanted = weights.map(|weights| self.wanted(now_ms, weights));
            let (wanted, tried) = (wanted.as_ref(), &self.tried);
            let picked = if waited_for.is_empty() {
                self.relay.fleet().pick(now_ms, service, wanted, tried)
            } else {
                self.relay.fleet().pick_again(now_ms, service, wanted, tried)
            };
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
            let until_ms = if picked == Picked::Coming { hold_until_ms } else { until_ms };
            if let (Some(weights), false) = (weights, asked) {
                asked = true;
                let need = AdapterNeed {
                    service: service.clone(),
                    weights: weights.clone(),
                    requests: 1,
                    more: picked == Picked::Full,
                };
                self.relay.ask_for(need);
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

    /// The weights that an engine must hold; a plain service holds none, whatever the client says.
    fn engine_weights(&self) -> Option<&WeightsName> {
        self.meta.weights.as_ref().filter(|_| self.chosen.service.engine.is_some())
    }

    fn wanted(&self, now_ms: u64, weights: &WeightsName) -> Wanted {
        let route = &self.chosen.route;
        let memory_tokens =
            self.chosen.service.engine.as_ref().map_or(0, |spec| spec.memory_tokens);
        let objective_at_ms = self.started_ms + route.latency_objective_ms;
        // No engine reads more than it has room for, whatever the client says.
        let prompt_max_tokens = match memory_tokens {
            0 => u32::MAX,
            room => u32::try_from(room).unwrap_or(u32::MAX),
        };
        Wanted {
            weights: weights.clone(),
            priority: self.priority(),
            left_ms: objective_at_ms.saturating_sub(now_ms) as f64,
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
                relay.fleet().unreachable(relay.now_ms(), &send.endpoint);
                info!(event = "endpoint_unreachable", endpoint = %send.endpoint, error = %error);
                return Attempt::NotRun("the endpoint cannot be reached");
            }
        };
        let weights = self.engine_weights();
        let now_ms = relay.now_ms();
        let wanted = weights.map(|weights| self.wanted(now_ms, weights));
        let is_late = send.priority >= LATE_RANK;
        let number = relay.fleet().start(now_ms, &send.endpoint, wanted.as_ref(), is_late);
        let flight = Flight {
            relay: relay.clone(),
            weights: weights.cloned(),
            number,
            endpoint: send.endpoint.clone(),
            address,
            ended: relay.fleet().watch_end(&send.endpoint),
            enough: match self.chosen.route.repeat {
                // An endpoint that is ending may still answer what cannot be sent again.
                Repeat::Once => IncarnationEnd::Replaced,
                Repeat::Any | Repeat::Resume => IncarnationEnd::Unreachable,
            },
        };
        let peer = &*send.endpoint;
        let sending = pool::send(&mut connection, peer, self.request(send));
        let response = match self.answered_in_time(sending, &flight).await {
            Err(Overdue::Deadline) => {
                return Attempt::Overdue;
            }
            Err(Overdue::Ended) => {
                return Attempt::Ended(flight.end().unwrap_or(IncarnationEnd::Replaced));
            }
            Err(Overdue::Replaced) => return Attempt::TakenBack,
            Ok(Err(SendFailure::NotSent(error))) => {
                info!(event = "send_lost", endpoint = %send.endpoint, error = %error);
                return Attempt::NotRun("the connection was closed");
            }
            Ok(Err(SendFailure::Unknown(error))) => return Attempt::Unknown(error.to_string()),
            Ok(Ok(response)) => response,
        };
        let head = relay.border.read_answer(response.status(), response.headers());
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
        // An overloaded endpoint can also ask for backoff in the answer to a request that it started.
        if head.backoff == Backoff::None {
            relay.fleet().answered(relay.now_ms(), &send.endpoint, number);
        }
        Attempt::Started(Box::new(Started { flight, connection, response }))
    }

    /// Waits for the head of an answer until the deadline, or until the request may not begin any
    /// more on the version to which it was sent.
    ///
    /// What bounds its wait is here and not at the endpoint alone, which takes no order while it
    /// stands still, or while its order holder is lost.
    async fn answered_in_time<T>(
        &self,
        answer: impl Future<Output = T>,
        flight: &Flight,
    ) -> Result<T, Overdue> {
        let ended = flight.ended();
        tokio::pin!(ended);
        tokio::pin!(answer);
        let mut begin_by_ms = None;
        let mut ask_at_ms = self.sent_at_ms + NOT_BEGUN_SILENT_MS;
        loop {
            let version_known = self.relay.version_known.notified();
            tokio::pin!(version_known);
            version_known.as_mut().enable();
            let now_ms = self.relay.now_ms();
            // The first newer version bounds it, whatever comes after that one.
            begin_by_ms = begin_by_ms.or_else(|| self.begin_by_ms(now_ms));
            let until_ms = begin_by_ms.unwrap_or(u64::MAX).min(self.ends_at_ms);
            tokio::select! {
                biased;
                answered = &mut answer => return Ok(answered),
                () = &mut version_known => continue,
                () = &mut ended => return Err(Overdue::Ended),
                () = self.relay.clock.sleep_until(ask_at_ms.min(until_ms)) => {}
            }
            if self.relay.now_ms() < until_ms {
                ask_at_ms = self.relay.now_ms() + NOT_BEGUN_SILENT_MS;
                if self.relay.fleet().is_silent_since(self.sent_at_ms, &flight.endpoint) {
                    flight.ask_silent();
                }
                continue;
            }
            if self.relay.now_ms() >= self.ends_at_ms {
                return Err(Overdue::Deadline);
            }
            if !self.may_have_begun(&flight.endpoint) {
                return Err(Overdue::Replaced);
            }
            begin_by_ms = Some(u64::MAX);
        }
    }

    fn begin_by_ms(&self, now_ms: u64) -> Option<u64> {
        let weights = self.engine_weights()?;
        self.relay.fleet().begin_by_ms(now_ms, weights, self.held_version?)
    }

    /// A stream shows that it has begun; an answer that comes whole has begun unless nothing at all
    /// was answered there since it was sent.
    fn may_have_begun(&self, endpoint: &str) -> bool {
        !self.chosen.route.streams && !self.relay.fleet().is_silent_since(self.sent_at_ms, endpoint)
    }

    fn request(&self, send: &SendMeta) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.target.clone();
        *request.headers_mut() = self.headers.clone();
        self.relay.border.write_request(request.headers_mut(), send);
        request
    }
}
