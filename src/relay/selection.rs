//! Waits for an endpoint that can take a request.

use std::sync::Arc;

use super::confirmation::CHECK_INTERVAL_MS;
use super::exchange::Exchange;
use super::known::Wanted;
use super::pick::{PickRequest, Picked};
use super::queue::{QueuePlace, Turn};
use super::refusal::NotSent;
use super::shares::CapacityWait;
use crate::message::{AdapterNeed, WeightsName};
use crate::policy::fair_share::ShareClass;
use crate::policy::waiting_queue::{QueueKey, QueueRefusal, WaitingRequest};

/// How long a request waits for a service without any known endpoint: a gateway that has just
/// started learns of the endpoints within that time.
const FIRST_ENDPOINT_WAIT_MS: u64 = 400;
/// How often the first waiting request whose weights no endpoint holds tries again without a
/// notification: it is woken once one does.
const PLACED_RETRY_INTERVAL_MS: u64 = 250;
/// How often the leader is asked again for weights; it drops asks that are not repeated within
/// 1.5 s.
const ASK_AGAIN_MS: u64 = 1_000;
/// What a request waits for if the endpoints or the requests before it leave no place.
const ENDPOINT_FULL: &str = "endpoints are full";
const WEIGHTS_NOT_LOADED: &str = "weights are not loaded";
const NO_ENDPOINT: &str = "no endpoint";

/// The endpoint selected for a request.
pub(super) struct Target {
    pub(super) id: Arc<str>,
    pub(super) name: Arc<str>,
    pub(super) address: std::net::SocketAddr,
    pub(super) software_version: Arc<str>,
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
struct Wait<'a> {
    /// What the request waited for first; empty before its first search.
    for_reason: &'static str,
    /// What it waits for now.
    reason: &'static str,
    /// True if the last search was so recent that another one would find the same.
    has_just_searched: bool,
    /// When the leader was last asked for the weights.
    asked_at_ms: Option<u64>,
    is_rechecked: bool,
    /// Counts the request as waiting for capacity.
    capacity: Option<CapacityWait<'a>>,
}

impl Wait<'_> {
    /// When the request has to be checked or asks for its weights again.
    fn check_at_ms(&self, place: &QueuePlace) -> u64 {
        let ask_at_ms = self.asked_at_ms.map_or(u64::MAX, |at_ms| at_ms + ASK_AGAIN_MS);
        let recheck_at_ms =
            if self.is_rechecked { u64::MAX } else { place.request.recheck_at_ms() };
        place.request.give_up_at_ms.min(ask_at_ms).min(recheck_at_ms)
    }
}

/// Why no endpoint takes a request.
fn describe(picked: &Picked) -> &'static str {
    match picked {
        Picked::Endpoint { .. } => "",
        Picked::OutOfReach => "endpoints are out of reach",
        Picked::NoEndpoint => NO_ENDPOINT,
        Picked::NoVersion => "no endpoint has the stream's software version",
        Picked::Full => ENDPOINT_FULL,
        Picked::AwaitingSlot => "a leased slot",
        Picked::Limited { .. } => "endpoints limit what they take",
        Picked::BackingOff { .. } => "endpoints asked for backoff",
        Picked::Coming => "weights are on their way",
        Picked::NoHome => WEIGHTS_NOT_LOADED,
    }
}

impl Exchange {
    /// Waits until an endpoint can take the request, in the order of the queue and for as long as a
    /// response can still be expected before the deadline.
    pub(super) async fn pick(&self) -> Result<Target, NotSent> {
        let relay = &self.relay;
        let key = self.queue_key();
        let mut wait = Wait {
            for_reason: "",
            reason: ENDPOINT_FULL,
            has_just_searched: self.was_rejected,
            asked_at_ms: None,
            is_rechecked: false,
            capacity: None,
        };
        if let Some(target) = self.try_at_once(&key, &mut wait)? {
            return Ok(target);
        }
        wait.for_reason = wait.reason;
        let place = self.join_queue(relay.now_ms(), &key, wait.reason)?;
        self.note_capacity_wait(&mut wait);
        let mut turn = if wait.has_just_searched {
            Turn::RetryLater
        } else {
            relay.turn(relay.now_ms(), &place)
        };
        loop {
            let now_ms = relay.now_ms();
            let mut again_at_ms = now_ms + relay.queue.retry_interval_ms();
            match turn {
                Turn::Now if !relay.may_decide(now_ms) => {
                    again_at_ms = now_ms + CHECK_INTERVAL_MS;
                }
                Turn::Now => match self.pick_endpoint(now_ms, &wait, Some(&place)) {
                    Ok(target) => {
                        place.note_sent(now_ms);
                        return Ok(Target { place: Some(place), ..target });
                    }
                    Err(picked) => {
                        let until_ms = self.note_not_picked(now_ms, &mut wait, &picked)?;
                        again_at_ms = match (until_ms, &picked) {
                            (Some(until_ms), _) => until_ms,
                            (None, Picked::Coming | Picked::NoHome) => {
                                now_ms + PLACED_RETRY_INTERVAL_MS
                            }
                            (None, _) => again_at_ms,
                        };
                        let is_over_share =
                            picked == Picked::Full && self.share() == ShareClass::Over;
                        // Endpoints of other software versions may take the requests behind it.
                        if is_over_share || self.origin.is_some() {
                            place.let_others_pass();
                        }
                    }
                },
                Turn::RetryLater => {}
                Turn::NotFirst => again_at_ms = u64::MAX,
            }
            let wake_at_ms = again_at_ms.min(wait.check_at_ms(&place));
            let _ = relay.clock.timeout_at(wake_at_ms, place.woken()).await;
            let now_ms = relay.now_ms();
            self.check_wait(now_ms, &mut wait, &place, &key)?;
            turn = relay.turn(now_ms, &place);
            if let (Turn::NotFirst | Turn::RetryLater, Some(weights)) = (turn, &key.weights) {
                let is_held = relay.fleet().is_held(weights);
                self.ask_for_weights(now_ms, &mut wait, is_held);
            }
        }
    }

    /// Selects an endpoint for a request that competes with no others. If none can take it, or if
    /// others wait, records what it waits for.
    ///
    /// # Errors
    /// The request cannot wait.
    fn try_at_once<'a>(
        &'a self,
        key: &QueueKey,
        wait: &mut Wait<'a>,
    ) -> Result<Option<Target>, NotSent> {
        let relay = &self.relay;
        let now_ms = relay.now_ms();
        if !self.was_rejected && !relay.queue.is_contended(key) {
            wait.has_just_searched = true;
            return match self.pick_endpoint(now_ms, wait, None) {
                Ok(target) => Ok(Some(target)),
                Err(picked) => self.note_not_picked(now_ms, wait, &picked).map(|_| None),
            };
        }
        if let Some(weights) = &key.weights {
            let is_held = relay.fleet().is_held(weights);
            if !is_held {
                wait.reason = WEIGHTS_NOT_LOADED;
            }
            self.ask_for_weights(now_ms, wait, is_held);
        }
        Ok(None)
    }

    /// Checks after a wake-up whether the request may continue to wait.
    ///
    /// # Errors
    /// Its wait is over, or it is not expected to be served in time any more.
    fn check_wait(
        &self,
        now_ms: u64,
        wait: &mut Wait<'_>,
        place: &QueuePlace,
        key: &QueueKey,
    ) -> Result<(), NotSent> {
        let after_ms = || self.relay.queue.retry_after_ms(now_ms, key);
        if place.is_replaced() {
            return Err(NotSent::Replaced { after_ms: after_ms() });
        }
        if now_ms >= place.request.give_up_at_ms {
            return Err(NotSent::WaitEnded { reason: wait.reason, after_ms: after_ms() });
        }
        if !wait.is_rechecked && now_ms >= place.request.recheck_at_ms() {
            wait.is_rechecked = true;
            place.recheck(now_ms).map_err(|refusal| self.refuse_queue(refusal, wait.reason))?;
        }
        Ok(())
    }

    /// Counts the request as waiting for capacity while that is what it waits for: a wait for weights
    /// does not show that capacity is short.
    fn note_capacity_wait<'a>(&'a self, wait: &mut Wait<'a>) {
        if wait.reason != ENDPOINT_FULL {
            wait.capacity = None;
        } else if wait.capacity.is_none() {
            wait.capacity = self.wait_for_capacity();
        }
    }

    /// Records why no endpoint could take the request; returns when the endpoints may take the next
    /// one, if that is known.
    ///
    /// # Errors
    /// The request cannot wait for that long.
    fn note_not_picked<'a>(
        &'a self,
        now_ms: u64,
        wait: &mut Wait<'a>,
        picked: &Picked,
    ) -> Result<Option<u64>, NotSent> {
        wait.reason = describe(picked);
        if *picked == Picked::OutOfReach {
            return Err(NotSent::OutOfReach);
        }
        if *picked == Picked::NoVersion {
            return Err(NotSent::VersionGone);
        }
        if *picked != Picked::AwaitingSlot {
            self.ask_for_weights(now_ms, wait, *picked == Picked::Full);
        }
        self.note_capacity_wait(wait);
        if now_ms >= self.ends_at_ms {
            return Err(NotSent::Late);
        }
        if *picked == Picked::NoEndpoint && now_ms >= self.started_ms + FIRST_ENDPOINT_WAIT_MS {
            return Err(NotSent::NoPlace(wait.reason));
        }
        self.throttled_until_ms(now_ms, picked)
    }

    /// Selects an endpoint.
    ///
    /// # Errors
    /// Why none can take the request.
    fn pick_endpoint(
        &self,
        now_ms: u64,
        wait: &Wait<'_>,
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
            others_wait: place.is_some() && self.relay.queue.waiting(&self.queue_key()) > 1,
            software_version: self.software_version(),
            ..PickRequest::new(&self.chosen.service.name, wanted.as_ref(), &self.tried)
        };
        match self.relay.fleet().pick_for(now_ms, &request) {
            Picked::Endpoint {
                id,
                name,
                address,
                software_version,
                weights_version,
                held_version,
                rank,
                expected_ms,
            } => Ok(Target {
                id,
                name,
                address,
                software_version,
                weights_version,
                held_version,
                rank,
                expected_ms,
                waited_for: wait.for_reason,
                place: None,
            }),
            picked => {
                if matches!(picked, Picked::AwaitingSlot | Picked::Full) {
                    self.relay.slots.changed.notify_one();
                }
                Err(picked)
            }
        }
    }

    /// When the endpoints that could take the request may take the next one; `None` if they are not
    /// throttled.
    ///
    /// # Errors
    /// The request cannot wait for that long.
    fn throttled_until_ms(&self, now_ms: u64, picked: &Picked) -> Result<Option<u64>, NotSent> {
        let (Picked::Limited { after_ms } | Picked::BackingOff { after_ms }) = *picked else {
            return Ok(None);
        };
        let is_too_late = now_ms + after_ms >= self.give_up_at_ms(now_ms);
        match picked {
            Picked::Limited { .. } if is_too_late => Err(NotSent::Limited { after_ms }),
            Picked::BackingOff { .. } if is_too_late => Err(NotSent::BackingOff { after_ms }),
            _ => Ok(Some(now_ms + after_ms)),
        }
    }

    /// Asks the leader to load the weights, and repeats it while the request waits.
    fn ask_for_weights(&self, now_ms: u64, wait: &mut Wait<'_>, more: bool) {
        let Some(weights) = self.engine_weights() else { return };
        if wait.asked_at_ms.is_some_and(|asked_at_ms| now_ms < asked_at_ms + ASK_AGAIN_MS) {
            return;
        }
        // A repeated ask does not count towards the demand for the weights again.
        let requests = u32::from(wait.asked_at_ms.is_none());
        wait.asked_at_ms = Some(now_ms);
        let service = self.chosen.service.name.clone();
        let software_version = self.software_version().map(Into::into);
        let need =
            AdapterNeed { service, weights: weights.clone(), requests, more, software_version };
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

    /// The capacity that the request competes for.
    pub(super) fn queue_key(&self) -> QueueKey {
        let service = self.chosen.service.name.clone();
        QueueKey { service, weights: self.engine_weights().cloned() }
    }

    /// The weights that an engine must hold; `None` for a plain service, whatever weights the
    /// client names.
    pub(super) fn engine_weights(&self) -> Option<&WeightsName> {
        self.meta.weights.as_ref().filter(|_| self.chosen.service.engine.is_some())
    }

    /// The software version that an endpoint must have; `None` if any will do.
    fn software_version(&self) -> Option<&str> {
        self.origin.as_ref().map(|origin| &*origin.software_version)
    }

    /// When the latency objective passes.
    fn objective_at_ms(&self) -> u64 {
        self.started_ms + self.chosen.route.latency_objective_ms
    }

    pub(super) fn wanted(&self, now_ms: u64, weights: &WeightsName) -> Wanted {
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
}
