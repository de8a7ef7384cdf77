//! The actor that serves one owned endpoint: passes events to the owner's policy and executes the
//! effects that the policy decides on.

mod loads;
mod summary;

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use ractor::{Actor, ActorProcessingErr, ActorRef, RpcReplyPort};
use tokio::sync::{mpsc, watch};
use tracing::{info, warn};

use self::loads::return_permit;
use self::summary::PublishedState;
use crate::control::fleet::{EndpointKind, EndpointRecord};
use crate::endpoint::{Endpoint, EngineRefusal, HttpEndpoint};
use crate::error::Result;
use crate::gateway::run::DispatchedRequest;
use crate::gateway::shared::{OwnedEndpoint, Shared};
use crate::message::{AdapterKey, ForwardEvent, ForwardRequest, LoadReport, Refusal, SessionUp};
use crate::metrics::{Counter, Timer};
use crate::policy::owner::{Effect, EngineStatus, Owner, Usability};
use crate::policy::queue::Job;

const TICK_INTERVAL: Duration = Duration::from_millis(100);
const MAX_RESUBMITS: u32 = 2;
const EVENT_CHANNEL_CAPACITY: usize = 64;
const RETRY_AFTER_MS: u32 = 100;

/// A message to the actor.
pub enum OwnerMessage {
    /// A request, and the channel for its events.
    Submit(Box<ForwardRequest>, mpsc::Sender<ForwardEvent>),
    /// A dispatched request has ended.
    Finished(u64),
    /// The engine did not start a dispatched request.
    NotStarted(u64, EngineRefusal),
    /// A load has ended.
    LoadEnded {
        /// The adapter.
        adapter: AdapterKey,
        /// How long it took.
        took_ms: u64,
        /// The result.
        result: Result<()>,
    },
    /// Control's reply to a permit request: the permit's id, or none if it was denied, and then the
    /// delay in milliseconds before the next request.
    Permit(Option<u64>, u64),
    /// The engine's status, and the policy's count of changes when it was requested.
    Status(Result<EngineStatus>, u64),
    /// Sent at every `TICK_INTERVAL`.
    Tick,
    /// Whether the platform's list marks the endpoint as leaving.
    Leaving(bool),
    /// Number of requests that the platform reports as running at the endpoint.
    LoadReport(u32),
    /// The endpoint has a new owner, or will have one after its release.
    HandOver {
        /// True when control waits for this gateway to release the endpoint.
        release: bool,
    },
    /// Requests the state dump.
    Dump(RpcReplyPort<serde_json::Value>),
}

/// A request that is queued or running.
struct Held {
    request: Arc<ForwardRequest>,
    events: mpsc::Sender<ForwardEvent>,
    resubmits: u32,
}

/// Arguments for starting the actor.
pub struct OwnerArguments {
    shared: Arc<Shared>,
    record: EndpointRecord,
    endpoint: Arc<dyn Endpoint>,
}

/// The actor's state.
pub struct OwnerState {
    shared: Arc<Shared>,
    record: EndpointRecord,
    endpoint: Arc<dyn Endpoint>,
    owner: Owner,
    held: HashMap<u64, Held>,
    next_job: u64,
    status_pending: bool,
    status_due_ms: u64,
    status_failures: u32,
    leaving: bool,
    handed_over: bool,
    /// True while the endpoint counts as down; running requests watch this value.
    down: watch::Sender<bool>,
    published: Option<PublishedState>,
}

/// The actor that serves one owned endpoint.
pub struct OwnerActor;

/// Starts, updates or stops the actor of an endpoint whose record has changed.
pub fn update_actor(shared: &Arc<Shared>, name: &Arc<str>, record: Option<EndpointRecord>) {
    let own_name = &shared.settings.common.name;
    let current = shared.owned().get(name).cloned();
    let is_owned = record.as_ref().is_some_and(|record| record.owner.as_ref() == Some(own_name));
    let Some(record) = record.filter(|_| is_owned) else {
        if let Some(owned) = shared.owned().remove(name) {
            let _ = owned.actor.cast(OwnerMessage::HandOver { release: false });
        }
        return;
    };
    let release = record.successor.is_some();
    let leaving = record.listed.leaving;
    match current {
        Some(owned) if owned.epoch == record.epoch => {
            let _ = owned.actor.cast(OwnerMessage::Leaving(leaving));
            if release {
                let _ = owned.actor.cast(OwnerMessage::HandOver { release });
            }
        }
        current => {
            if let Some(owned) = current {
                let _ = owned.actor.cast(OwnerMessage::HandOver { release: false });
            }
            start_actor(shared, name, record, release);
        }
    }
}

/// Forwards the platform's report of an endpoint's load to its actor, if this gateway owns it.
pub fn report_load(shared: &Shared, report: &LoadReport) {
    let owned = shared.owned().get(&report.endpoint).cloned();
    if let Some(owned) = owned {
        let _ = owned.actor.cast(OwnerMessage::LoadReport(report.running));
    }
}

fn start_actor(shared: &Arc<Shared>, name: &Arc<str>, record: EndpointRecord, release: bool) {
    let client = shared.http.clone();
    let settings = shared.settings.endpoints;
    let address = record.listed.address;
    let endpoint: Arc<dyn Endpoint> = match record.listed.kind {
        EndpointKind::Engine => Arc::new(HttpEndpoint::new_engine(address, client, settings)),
        EndpointKind::Plain => Arc::new(HttpEndpoint::new_plain(address, client, settings)),
    };
    info!(event = "endpoint_owned", endpoint = %name, epoch = record.epoch);
    shared.metrics.count(Counter::Takeovers);
    let epoch = record.epoch;
    let arguments = OwnerArguments { shared: shared.clone(), record, endpoint };
    let Ok((actor, _)) = ractor::ActorRuntime::spawn_instant(None, OwnerActor, arguments) else {
        return;
    };
    if release {
        let _ = actor.cast(OwnerMessage::HandOver { release });
    }
    shared.owned().insert(name.clone(), OwnedEndpoint { epoch, actor });
}

impl Actor for OwnerActor {
    type Msg = OwnerMessage;
    type State = OwnerState;
    type Arguments = OwnerArguments;

    async fn pre_start(
        &self,
        myself: ActorRef<Self::Msg>,
        arguments: Self::Arguments,
    ) -> std::result::Result<Self::State, ActorProcessingErr> {
        let OwnerArguments { shared, record, endpoint } = arguments;
        myself.send_interval(TICK_INTERVAL, || OwnerMessage::Tick);
        myself.cast(OwnerMessage::Tick)?;
        let name = record.name().clone();
        let policy = shared.settings.policy;
        let owner = match record.listed.kind {
            EndpointKind::Engine => Owner::new_engine(name, record.epoch, policy),
            EndpointKind::Plain => {
                Owner::new_plain(name, record.epoch, policy, record.listed.places)
            }
        };
        Ok(OwnerState {
            leaving: record.listed.leaving,
            shared,
            record,
            endpoint,
            owner,
            held: HashMap::new(),
            next_job: 0,
            status_pending: false,
            status_due_ms: 0,
            status_failures: 0,
            handed_over: false,
            down: watch::Sender::new(false),
            published: None,
        })
    }

    async fn handle(
        &self,
        myself: ActorRef<Self::Msg>,
        message: Self::Msg,
        state: &mut Self::State,
    ) -> std::result::Result<(), ActorProcessingErr> {
        let now_ms = state.shared.now_ms();
        match message {
            OwnerMessage::Submit(request, events) => state.submit(now_ms, *request, events),
            OwnerMessage::Finished(job) => {
                state.held.remove(&job);
                state.owner.finished(now_ms, job);
            }
            OwnerMessage::NotStarted(job, refusal) => state.retry_or_refuse(now_ms, job, refusal),
            OwnerMessage::LoadEnded { adapter, took_ms, result } => {
                state.record_load(now_ms, &adapter, took_ms, &result);
            }
            OwnerMessage::Permit(Some(permit), _) => state.owner.permit_granted(now_ms, permit),
            OwnerMessage::Permit(None, retry_after_ms) => {
                state.owner.permit_denied(now_ms, retry_after_ms);
            }
            OwnerMessage::Status(result, changes) => state.record_status(now_ms, result, changes),
            OwnerMessage::Tick => state.tick(now_ms, &myself),
            OwnerMessage::Leaving(leaving) => state.leaving = leaving,
            OwnerMessage::LoadReport(running) => state.owner.note_load_report(now_ms, running),
            OwnerMessage::HandOver { release } => state.hand_over(release),
            OwnerMessage::Dump(reply) => {
                let _ = reply.send(state.dump());
            }
        }
        state.update_usability(now_ms);
        state.execute_effects(&myself);
        state.publish(now_ms);
        if state.handed_over && state.held.is_empty() {
            myself.stop(None);
        }
        Ok(())
    }
}

impl OwnerState {
    fn submit(&mut self, now_ms: u64, request: ForwardRequest, events: mpsc::Sender<ForwardEvent>) {
        let held = Held { request: Arc::new(request), events, resubmits: 0 };
        self.enqueue(now_ms, held, now_ms);
    }

    fn enqueue(&mut self, now_ms: u64, held: Held, arrived_ms: u64) {
        self.next_job += 1;
        let request = &held.request;
        let job = Job {
            id: self.next_job,
            adapter: request.adapter.clone(),
            workspace: request.workspace.clone(),
            priority: request.priority,
            arrived_ms,
            deadline_ms: now_ms + u64::from(request.remaining_ms),
        };
        self.held.insert(job.id, held);
        self.owner.submit(now_ms, job);
    }

    /// Handles a request that the engine did not start. If the adapter was not loaded, the request is
    /// queued again up to `MAX_RESUBMITS` times; otherwise it is refused.
    fn retry_or_refuse(&mut self, now_ms: u64, job: u64, refusal: EngineRefusal) {
        self.owner.finished(now_ms, job);
        let Some(mut held) = self.held.remove(&job) else { return };
        if refusal == EngineRefusal::AdapterNotLoaded {
            if let Some(adapter) = &held.request.adapter {
                warn!(event = "adapter_missing", endpoint = %self.record.name(), adapter = %adapter);
                self.owner.adapter_missing(now_ms, adapter);
            }
            self.status_due_ms = now_ms;
            if held.resubmits < MAX_RESUBMITS {
                held.resubmits += 1;
                self.enqueue(now_ms, held, now_ms);
                return;
            }
        }
        let retry_after_ms = RETRY_AFTER_MS;
        let refused = ForwardEvent::Refused {
            refusal: Refusal::EndpointRefused,
            retry_after_ms,
            summary: None,
        };
        let _ = held.events.try_send(refused);
    }

    fn record_status(&mut self, now_ms: u64, result: Result<EngineStatus>, changes: u64) {
        self.status_pending = false;
        match result {
            Ok(status) => {
                if self.status_failures >= self.shared.settings.endpoints.failures_to_down {
                    info!(event = "endpoint_up", endpoint = %self.record.name());
                }
                self.status_failures = 0;
                if self.record.listed.kind == EndpointKind::Engine
                    && self.owner.observe(now_ms, changes, &status)
                {
                    warn!(event = "engine_restarted", endpoint = %self.record.name());
                    self.shared.metrics.count(Counter::EngineRestarts);
                }
            }
            Err(error) => {
                self.status_failures += 1;
                if self.status_failures == self.shared.settings.endpoints.failures_to_down {
                    warn!(event = "endpoint_down", endpoint = %self.record.name(), error = %error);
                }
            }
        }
    }

    fn tick(&mut self, now_ms: u64, myself: &ActorRef<OwnerMessage>) {
        let mut abandoned = Vec::new();
        for (job, held) in &self.held {
            if held.events.is_closed() {
                abandoned.push(*job);
            }
        }
        for job in abandoned {
            // `cancel` skips running requests: these end once their response cannot be sent.
            if self.owner.cancel(job) {
                self.shared.metrics.count(Counter::CallersGone);
                self.held.remove(&job);
            }
        }
        self.owner.tick(now_ms);
        if !self.status_pending && now_ms >= self.status_due_ms && !self.handed_over {
            self.status_pending = true;
            self.status_due_ms = now_ms + self.shared.settings.endpoints.status_poll_ms;
            self.request_status(myself.clone());
        }
    }

    fn request_status(&self, myself: ActorRef<OwnerMessage>) {
        let endpoint = self.endpoint.clone();
        let epoch = self.record.epoch;
        let changes = self.owner.changes();
        tokio::spawn(async move {
            let status = endpoint.status(epoch).await;
            let _ = myself.cast(OwnerMessage::Status(status, changes));
        });
    }

    fn update_usability(&mut self, now_ms: u64) {
        let failures_to_down = self.shared.settings.endpoints.failures_to_down;
        let usability = if self.handed_over {
            Usability::HandedOver
        } else if !self.shared.lease.is_valid(now_ms) {
            Usability::LeaseLost
        } else if self.status_failures >= failures_to_down {
            Usability::Down
        } else if self.leaving {
            Usability::Leaving
        } else {
            Usability::Usable
        };
        let is_down = usability == Usability::Down;
        if self.down.send_if_modified(|down| std::mem::replace(down, is_down) != is_down) && is_down
        {
            warn!(event = "calls_given_up", endpoint = %self.record.name());
        }
        self.owner.set_usability(now_ms, usability);
    }

    fn hand_over(&mut self, release: bool) {
        if !self.handed_over {
            info!(event = "endpoint_handed_over", endpoint = %self.record.name(), epoch = self.record.epoch);
        }
        self.handed_over = true;
        if release {
            let endpoint = self.record.name().clone();
            let up = SessionUp::Release { endpoint, epoch: self.record.epoch };
            let _ = self.shared.session.send(up);
        }
    }

    fn execute_effects(&mut self, myself: &ActorRef<OwnerMessage>) {
        for effect in self.owner.take_effects() {
            match effect {
                Effect::Dispatch { job, load_wait_ms } => self.dispatch(job, load_wait_ms, myself),
                Effect::Refuse { job, refusal, retry_after_ms } => {
                    self.refuse(job, refusal, retry_after_ms);
                }
                Effect::AskPermit { urgency } => self.request_permit(urgency, myself),
                Effect::ReturnPermit { permit } => {
                    tokio::spawn(return_permit(self.shared.clone(), permit));
                }
                Effect::Load { adapter, evict, permit } => {
                    self.load(adapter, evict, permit, myself);
                }
            }
        }
    }

    fn refuse(&mut self, job: u64, refusal: Refusal, retry_after_ms: u64) {
        let Some(held) = self.held.remove(&job) else { return };
        let now_ms = self.shared.now_ms();
        let summary = Some(self.owner.summary(now_ms, false));
        let retry_after_ms = u32::try_from(retry_after_ms).unwrap_or(u32::MAX);
        let refused = ForwardEvent::Refused { refusal, retry_after_ms, summary };
        // Not full, since this is the first event; fails only when the client has disconnected.
        let _ = held.events.try_send(refused);
    }

    fn dispatch(&mut self, job: u64, load_wait_ms: u64, myself: &ActorRef<OwnerMessage>) {
        let Some(held) = self.held.get(&job) else { return };
        let run = DispatchedRequest {
            shared: self.shared.clone(),
            endpoint: self.endpoint.clone(),
            epoch: self.record.epoch,
            request: held.request.clone(),
            events: held.events.clone(),
            load_wait_ms: u32::try_from(load_wait_ms).unwrap_or(u32::MAX),
            down: self.down.subscribe(),
        };
        if load_wait_ms > 0 {
            self.shared.metrics.time(Timer::LoadWait, load_wait_ms);
        }
        let myself = myself.clone();
        self.shared.running.fetch_add(1, Ordering::Relaxed);
        tokio::spawn(async move {
            let shared = run.shared.clone();
            let message = match run.run().await {
                Some(refusal) => OwnerMessage::NotStarted(job, refusal),
                None => OwnerMessage::Finished(job),
            };
            shared.running.fetch_sub(1, Ordering::Relaxed);
            let _ = myself.cast(message);
        });
    }
}

/// Creates the channel for a request's events.
pub fn event_channel() -> (mpsc::Sender<ForwardEvent>, mpsc::Receiver<ForwardEvent>) {
    mpsc::channel(EVENT_CHANNEL_CAPACITY)
}
