//! Handles one client request from admission to the end of its response.

use std::pin::pin;
use std::sync::{Arc, OnceLock};

use bytes::Bytes;
use http::header::HOST;
use http::response::Parts;
use http::{HeaderMap, Method, Uri};

use super::access::Access;
use super::admission::Admitted;
use super::border::{AnswerMeta, RequestMeta, SendMeta};
use super::detour::PeerSigns;
use super::doubt::{Continuation, Doubt, OpenAnswer, Raced};
use super::end_guard::EndGuard;
use super::prompt::{PromptChain, shared_features};
use super::quota::UsedCredit;
use super::refusal::{Failure, NotSent};
use super::run_count::RunCount;
use super::selection::Target;
use super::shared::Relay;
use super::shares::RequestShare;
use super::source::StartedResponse;
use super::standings::Permission;
use super::trial::Trial;
use crate::http::{header, is_event_stream};
use crate::message::{FeatureKey, RequestContent, StreamOrigin};
use crate::metrics::Timer;
use crate::policy::resend::FailureCause;
use crate::resources::ConnectionGuard;
use crate::routing::RouteMatch;

/// The part of the deadline that is reserved for returning the response.
pub(super) const RESPONSE_MARGIN_MS: u64 = 5;
/// The error of a response whose endpoint was found to have ended without closing the connection.
pub(super) const ENDPOINT_ENDED: &str = "the endpoint has ended";
/// The maximum number of refused sends per request, in addition to the attempts that the route
/// allows.
pub(super) const REFUSED_SENDS_MAX: u32 = 3;

/// A client request that is being handled.
pub(super) struct Exchange {
    pub(super) relay: Arc<Relay>,
    pub(super) meta: RequestMeta,
    pub(super) chosen: RouteMatch,
    pub(super) access: Access,
    pub(super) used_credit: Option<UsedCredit>,
    pub(super) started_ms: u64,
    pub(super) ends_at_ms: u64,
    pub(super) method: Method,
    pub(super) target: Uri,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    /// The client's connection; `None` if another gateway read the request.
    pub(super) client: Option<ConnectionGuard>,
    pub(super) prompt: PromptChain,
    pub(super) tried: Vec<Arc<str>>,
    /// The time of the last send; 0 before the first one.
    pub(super) sent_at_ms: u64,
    /// When the current endpoint started its response; `None` before that.
    pub(super) response_started_at_ms: Option<u64>,
    /// When data of that response last arrived.
    pub(super) last_data_at_ms: u64,
    /// The expected wait at the selected endpoint, and the request's rank in its queue.
    pub(super) expected_ms: u64,
    pub(super) rank: u8,
    /// The age of what the gateway knew at the last send.
    pub(super) known_age_ms: u64,
    /// What the request waited for before it was sent; empty if it did not wait.
    pub(super) waited_for: &'static str,
    /// True once an endpoint has started a response; one that is buffered may still fail.
    pub(super) has_answered: bool,
    /// The version that the endpoint's weights are known to have.
    pub(super) held_version: Option<u64>,
    /// Logs the end of the request if nothing else does.
    pub(super) end_guard: EndGuard,
    content_key: OnceLock<FeatureKey>,
    /// The features that the prompt shares with others.
    prompt_features: Vec<FeatureKey>,
    /// Whether the request may be resent within the same attempt of the client.
    permission: Permission,
    /// The leader's permissions to send this attempt although features of it were held.
    pub(super) trials: Vec<Trial>,
    pub(super) share: Arc<RequestShare>,
    /// The cause of the last failure, until the outcome of the send that follows it is known.
    pub(super) failure_cause: Option<FailureCause>,
    /// True if the request failed and was not resent because second sends seldom succeed.
    pub(super) not_resent: bool,
    /// The number of sends that an endpoint may have run.
    pub(super) possible_runs: RunCount,
    /// The number of sends of which nothing was written.
    pub(super) unsent: u32,
    /// The number of sends that endpoints refused without asking for backoff.
    pub(super) refused: u32,
    /// The number of sends that endpoints refused with a request for backoff.
    pub(super) refused_with_backoff: u32,
    /// True if the last send was rejected because the endpoint is full; the request then waits for
    /// its turn like others.
    pub(super) was_rejected: bool,
    /// True if another gateway read the request and sent it here.
    pub(super) is_detour: bool,
    /// True if it continues an answer that is still open.
    pub(super) is_continuation: bool,
    /// The number of endpoints that the request may be sent to.
    attempts: u32,
    /// Where the stream began of which the client has received an event; only endpoints of this
    /// service and software version can continue it.
    pub(super) origin: Option<StreamOrigin>,
}

impl Exchange {
    /// Starts handling an admitted request.
    pub(super) fn new(relay: &Arc<Relay>, started_ms: u64, admitted: Admitted) -> Self {
        let Admitted { meta, chosen, access, used_credit, method, target, headers, body, client } =
            admitted;
        let timeout_ms = chosen.route.timeout_ms;
        let attempts = chosen.route.attempts.max(1);
        let allowed_ms =
            meta.deadline_ms.map_or(timeout_ms, |deadline_ms| deadline_ms.min(timeout_ms));
        let prompt = match &meta.weights {
            Some(weights) => PromptChain::new(weights, &meta.prompt_parts),
            None => PromptChain::default(),
        };
        let prompt_features = shared_features(&meta.prompt_parts);
        let (id, route) = (meta.id.clone(), chosen.route.name.clone());
        let end_guard = EndGuard::new(relay.clone(), id, route, started_ms);
        Self {
            relay: relay.clone(),
            meta,
            chosen,
            access,
            used_credit,
            started_ms,
            ends_at_ms: started_ms + allowed_ms,
            method,
            target,
            headers,
            body,
            client,
            prompt,
            tried: Vec::new(),
            sent_at_ms: 0,
            response_started_at_ms: None,
            last_data_at_ms: 0,
            expected_ms: 0,
            rank: 0,
            known_age_ms: 0,
            waited_for: "",
            has_answered: false,
            held_version: None,
            end_guard,
            content_key: OnceLock::new(),
            prompt_features,
            permission: Permission::Unrestricted,
            trials: Vec::new(),
            share: Arc::default(),
            failure_cause: None,
            not_resent: false,
            possible_runs: RunCount::default(),
            unsent: 0,
            refused: 0,
            refused_with_backoff: 0,
            was_rejected: false,
            is_detour: false,
            is_continuation: false,
            attempts,
            origin: None,
        }
    }

    /// The same request, to be sent once more beside its open answer from `endpoint`.
    pub(super) fn beside(&self, endpoint: &Arc<str>) -> Self {
        let mut tried = self.tried.clone();
        if !endpoint.is_empty() && !tried.contains(endpoint) {
            tried.push(endpoint.clone());
        }
        Self {
            relay: self.relay.clone(),
            meta: self.meta.clone(),
            chosen: self.chosen.clone(),
            access: self.access.clone(),
            used_credit: None,
            method: self.method.clone(),
            target: self.target.clone(),
            headers: self.headers.clone(),
            body: self.body.clone(),
            client: self.client.clone(),
            prompt: self.prompt.clone(),
            tried,
            response_started_at_ms: None,
            waited_for: "",
            end_guard: self.end_guard.beside(),
            content_key: self.content_key.clone(),
            prompt_features: self.prompt_features.clone(),
            trials: Vec::new(),
            share: self.share.clone(),
            failure_cause: None,
            possible_runs: self.possible_runs.clone(),
            was_rejected: false,
            is_continuation: true,
            origin: self.origin.clone(),
            ..*self
        }
    }

    /// Goes on with `continuation`, which has won against the open answer.
    pub(super) fn replace_with(&mut self, mut continuation: Self) {
        continuation.used_credit = self.used_credit.take();
        continuation.trials.append(&mut self.trials);
        std::mem::swap(&mut continuation.end_guard, &mut self.end_guard);
        continuation.is_continuation = false;
        *self = continuation;
    }

    /// Binds it to the place where the stream began that it resumes.
    #[must_use]
    pub(super) fn with_origin(mut self, origin: Option<StreamOrigin>) -> Self {
        self.origin = origin;
        self
    }

    /// Makes it a request that another gateway read, which may be sent to `attempts` more endpoints
    /// and has been sent to those of `tried`.
    #[must_use]
    pub(super) fn with_detour(
        mut self,
        ends_at_ms: u64,
        attempts: u32,
        tried: Vec<Arc<str>>,
    ) -> Self {
        self.is_detour = true;
        self.ends_at_ms = self.ends_at_ms.min(ends_at_ms);
        self.attempts = self.attempts.min(attempts.max(1));
        self.tried = tried;
        self
    }

    /// The key of the request's content, equal for all attempts of a client. Computed on first use,
    /// since few requests need it.
    pub(super) fn content_key(&self) -> FeatureKey {
        *self.content_key.get_or_init(|| self.compute_content_key())
    }

    /// The features that the prompt shares with others.
    pub(super) fn prompt_features(&self) -> &[FeatureKey] {
        &self.prompt_features
    }

    /// Everything about the request that may crash endpoints.
    pub(super) fn features(&self) -> impl Iterator<Item = FeatureKey> {
        std::iter::once(self.content_key()).chain(self.prompt_features.iter().copied())
    }

    fn compute_content_key(&self) -> FeatureKey {
        FeatureKey::of_content(RequestContent {
            method: self.method.as_str(),
            host: header(&self.headers, HOST.as_str()).unwrap_or_default(),
            target: self.target.path_and_query().map_or("/", |target| target.as_str()),
            weights: self.meta.weights.as_ref(),
            body: &self.body,
        })
    }

    pub(super) fn read_head(&self, started: &StartedResponse) -> AnswerMeta {
        let response = &started.response;
        self.relay.platform_headers.read_answer(response.status(), response.headers())
    }

    /// Sends the request, resending it where that is allowed, until an endpoint starts a response.
    pub(super) async fn start(
        &mut self,
        last_event: Option<u64>,
    ) -> Result<StartedResponse, Failure> {
        loop {
            // What the gateway knows may have aged while an earlier send failed.
            if !self.relay.await_knowledge(self.ends_at_ms).await {
                return Err(Failure::NotSent(NotSent::Late));
            }
            self.permission = self.obtain_permission().await.map_err(Failure::NotSent)?;
            // The leader may have changed the request's standing since the last send.
            if self.possible_runs.get() > 0
                && self.permission == Permission::Once
                && !self.can_send_again()
            {
                return Err(Failure::Unknown("it is sent to one endpoint only".to_owned()));
            }
            let picked = tokio::select! {
                biased;
                picked = self.pick() => picked,
                () = self.relay.until_too_late_for(&self.chosen.route) => Err(NotSent::Stopping),
            };
            let picked = match picked {
                Ok(picked) => picked,
                Err(NotSent::OutOfReach) => {
                    if let Some(started) = self.start_detour(last_event).await? {
                        return Ok(started);
                    }
                    continue;
                }
                Err(reason) => return Err(Failure::NotSent(reason)),
            };
            self.was_rejected = false;
            self.check_not_held().map_err(Failure::NotSent)?;
            if self.lacks_trial() {
                continue;
            }
            if self.relay.is_too_late_for(self.relay.now_ms(), &self.chosen.route) {
                return Err(Failure::NotSent(NotSent::Stopping));
            }
            self.access
                .check_still_valid(&self.relay, &self.chosen.route)
                .map_err(Failure::NotSent)?;
            self.waited_for = picked.waited_for;
            self.held_version = picked.held_version;
            self.expected_ms = picked.expected_ms;
            self.rank = picked.rank.unwrap_or(self.priority());
            let Target { id, name, address, software_version, weights_version, place, .. } = picked;
            let now_ms = self.relay.now_ms();
            self.sent_at_ms = now_ms;
            self.known_age_ms = self.relay.known_age_ms(now_ms).unwrap_or(0);
            self.relay.metrics.time(Timer::KnownAge, self.known_age_ms);
            self.response_started_at_ms = None;
            if !self.is_first_send() && !self.take_retry(now_ms) {
                return Err(Failure::NotSent(NotSent::NoBudget));
            }
            let send = SendMeta {
                endpoint: id.clone(),
                endpoint_name: name,
                deadline_ms: self.left_ms(now_ms),
                last_event: last_event.or(self.meta.last_event),
                weights_version,
                priority: self.rank,
                workspace: self.access.workspace_name(),
            };
            self.possible_runs.add(1);
            let outcome = match self.race_for_head(&send, address, software_version, place).await {
                Raced::Open(outcome) => outcome,
                Raced::Continued { continued, lost } => {
                    let Continuation { exchange, started, .. } = continued;
                    if let Some(lost) = lost {
                        // Whatever follows from it, the continuation goes on.
                        let _ = self.handle_outcome(lost, &id, address).await;
                    }
                    self.take_over(&id, exchange);
                    return Ok(started);
                }
            };
            if let Some(started) = self.handle_outcome(outcome, &id, address).await? {
                return Ok(started);
            }
        }
    }

    /// True if a response with this head is an event stream.
    pub(super) fn is_event_stream(&self, head: &Parts) -> bool {
        let is_expected = self.chosen.route.streams && head.status.is_success();
        is_event_stream(&head.headers, is_expected)
    }

    /// The priority of the workspace, or else of the route.
    pub(super) fn priority(&self) -> u8 {
        self.access.priority().unwrap_or(self.chosen.route.priority)
    }

    /// True unless an endpoint has seen the request before.
    fn is_first_send(&self) -> bool {
        self.possible_runs.get() + self.refused + self.refused_with_backoff == 0
    }

    /// Sends the request through another gateway; `None` if it may be sent again after an unknown
    /// outcome.
    async fn start_detour(
        &mut self,
        last_event: Option<u64>,
    ) -> Result<Option<StartedResponse>, Failure> {
        self.was_rejected = false;
        self.access.check_still_valid(&self.relay, &self.chosen.route).map_err(Failure::NotSent)?;
        if !self.is_first_send() && !self.take_retry(self.relay.now_ms()) {
            return Err(Failure::NotSent(NotSent::NoBudget));
        }
        self.sent_at_ms = self.relay.now_ms();
        let started = match self.race_detour(last_event).await {
            Raced::Open(started) => started?,
            Raced::Continued { continued, .. } => {
                let Continuation { exchange, started, .. } = continued;
                self.take_over(&Arc::from(""), exchange);
                return Ok(Some(started));
            }
        };
        if let Some(started) = &started {
            self.tried.push(started.source.endpoint().clone());
            self.last_data_at_ms = self.relay.now_ms();
            self.response_started_at_ms = Some(self.last_data_at_ms);
        }
        Ok(started)
    }

    /// Sends the request through another gateway, and once more if that one gives no sign of life
    /// before the response has started.
    async fn race_detour(
        &self,
        last_event: Option<u64>,
    ) -> Raced<Result<Option<StartedResponse>, Failure>, Continuation> {
        let signs = PeerSigns::new(self.relay.clock);
        let answer = OpenAnswer {
            // The other gateway selects it.
            endpoint: &Arc::from(""),
            last_event,
            is_continuable: true,
        };
        let open = pin!(self.detour(last_event, &signs));
        let doubt = pin!(async {
            signs.silence().await;
            Doubt::Silent
        });
        let is_lost = |started: &Result<Option<_>, _>| !matches!(started, Ok(Some(_)));
        self.race(answer, open, is_lost, doubt, |it| async { Some(it) }).await
    }

    /// The number of endpoints that the request may be sent to.
    pub(super) fn attempts(&self) -> u32 {
        if self.permission == Permission::Once { 1 } else { self.attempts }
    }

    pub(super) fn can_send_again(&self) -> bool {
        self.possible_runs.get() < self.attempts()
            && self.relay.now_ms() + RESPONSE_MARGIN_MS < self.ends_at_ms
    }

    /// Records how long the answer took that has just ended.
    pub(super) fn note_answer_time(&self) {
        let now_ms = self.relay.now_ms();
        let after_ms = now_ms.saturating_sub(self.sent_at_ms);
        self.relay.stopping.note_answer_time(now_ms, &self.chosen.route.name, after_ms);
    }

    pub(super) fn left_ms(&self, now_ms: u64) -> u64 {
        self.ends_at_ms.saturating_sub(now_ms).max(1)
    }
}
