//! The owner of one endpoint: decides which requests are dispatched or refused there and which
//! adapters are loaded and evicted.
//!
//! Methods take the current time and queue [`Effect`]s, which the caller fetches with
//! [`Owner::take_effects`] and executes.

mod loads;

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use crate::message::{AdapterKey, Priority, Refusal, Summary};
use crate::policy::owner::loads::SlotSource;
use crate::policy::popularity::Popularity;
use crate::policy::queue::{Job, Queue};
use crate::settings::PolicySettings;

const FAILED_LOAD_PAUSE_MAX_MS: u64 = 30_000;
const RETRY_AFTER_MIN_MS: u64 = 100;
const ESTIMATE_SMOOTHING: f64 = 0.1;
/// The delay in the dispatch order of a request for each running request of its workspace.
const FAIRNESS_MS: u64 = 25;
/// The delay in the dispatch order, per unit of batch weight, of a request whose adapter is not in
/// the batch.
const OTHER_ADAPTER_MS: f64 = 40.0;

/// An action that the caller executes.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Send the request to the endpoint.
    Dispatch {
        /// The id of the request.
        job: u64,
        /// How long the request waited for its adapter.
        load_wait_ms: u64,
    },
    /// Refuse the request.
    Refuse {
        /// The id of the request.
        job: u64,
        /// The reason.
        refusal: Refusal,
        /// The time after which the client may retry.
        retry_after_ms: u64,
    },
    /// Ask for a permit to load an adapter from the weight store.
    AskPermit {
        /// The urgency of the load.
        urgency: f32,
    },
    /// Return an unused permit.
    ReturnPermit {
        /// The permit.
        permit: u64,
    },
    /// Unload `evict`, if any, then load `adapter`.
    Load {
        /// The adapter to load.
        adapter: AdapterKey,
        /// An idle adapter whose slot is reused.
        evict: Option<AdapterKey>,
        /// The permit to return after the load.
        permit: u64,
    },
}

/// Whether the endpoint may be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Usability {
    /// The endpoint accepts requests.
    Usable,
    /// The platform is about to stop the endpoint.
    Leaving,
    /// The endpoint does not answer.
    Down,
    /// The lease of this gateway has expired.
    LeaseLost,
    /// The endpoint has another owner, or this gateway is shutting down.
    HandedOver,
}

impl Usability {
    fn refusal(self) -> Option<Refusal> {
        match self {
            Self::Usable => None,
            Self::Leaving => Some(Refusal::Leaving),
            Self::Down => Some(Refusal::EndpointDown),
            Self::LeaseLost => Some(Refusal::LeaseLost),
            Self::HandedOver => Some(Refusal::NotOwner),
        }
    }
}

/// The status reported by an engine.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EngineStatus {
    /// A random id of each start of the engine.
    pub boot_id: u64,
    /// The number of requests that it runs at once.
    pub places: u32,
    /// The number of adapters that it holds at once.
    pub slots: u32,
    /// Each loaded adapter with the number of its running requests.
    pub loaded: Vec<(AdapterKey, u32)>,
}

#[derive(Debug)]
struct Slot {
    /// Distinguishes this load of the adapter from later ones.
    generation: u64,
    loaded_at_ms: Option<u64>,
    running: u32,
    /// Running requests that the previous owner sent.
    inherited: u32,
}

#[derive(Debug, Clone, Copy)]
struct Failure {
    until_ms: u64,
    count: u32,
}

#[derive(Debug)]
struct Running {
    /// The adapter and the generation of its slot.
    slot: Option<(AdapterKey, u64)>,
    workspace: Arc<str>,
    started_ms: u64,
}

/// The state machine of one owned endpoint.
#[derive(Debug)]
pub struct Owner {
    endpoint: Arc<str>,
    epoch: u64,
    settings: PolicySettings,
    is_engine: bool,
    usability: Usability,
    places: u32,
    slot_count: u32,
    boot_id: Option<u64>,
    /// False until the engine has reported what it runs; nothing is unloaded before that.
    is_verified: bool,
    slots: BTreeMap<AdapterKey, Slot>,
    queue: Queue,
    running: HashMap<u64, Running>,
    /// The maximum number of running requests since the last load report.
    running_peak: u32,
    /// The number of requests that others run at the endpoint, estimated from the last load report.
    others_running: u32,
    running_by_workspace: HashMap<Arc<str>, u64>,
    failures: HashMap<AdapterKey, Failure>,
    popularity: Popularity,
    permits_asked: usize,
    permit_pause_until_ms: u64,
    loading: usize,
    load_ms: f64,
    /// The moving average of the time from the first request for an adapter to the end of its load,
    /// including the wait for a permit.
    load_wait_ms: f64,
    service_ms: f64,
    changes: u64,
    sequence: u64,
    effects: Vec<Effect>,
}

impl Owner {
    /// Creates the owner of an engine, which reports its places and slots itself.
    pub fn new_engine(endpoint: Arc<str>, epoch: u64, settings: PolicySettings) -> Self {
        Self::new(endpoint, epoch, settings, true, 0)
    }

    /// Creates the owner of a plain service that runs `places` requests at once.
    pub fn new_plain(
        endpoint: Arc<str>,
        epoch: u64,
        settings: PolicySettings,
        places: u32,
    ) -> Self {
        Self::new(endpoint, epoch, settings, false, places)
    }

    fn new(
        endpoint: Arc<str>,
        epoch: u64,
        settings: PolicySettings,
        is_engine: bool,
        places: u32,
    ) -> Self {
        Self {
            endpoint,
            epoch,
            is_engine,
            usability: Usability::Usable,
            places,
            slot_count: 0,
            boot_id: None,
            is_verified: !is_engine,
            slots: BTreeMap::new(),
            queue: Queue::new(),
            running: HashMap::new(),
            running_peak: 0,
            others_running: 0,
            running_by_workspace: HashMap::new(),
            failures: HashMap::new(),
            popularity: Popularity::new(settings.popularity_half_life_ms),
            permits_asked: 0,
            permit_pause_until_ms: 0,
            loading: 0,
            load_ms: settings.load_estimate_ms as f64,
            load_wait_ms: settings.load_estimate_ms as f64,
            service_ms: settings.service_estimate_ms as f64,
            changes: 0,
            sequence: 0,
            settings,
            effects: Vec::new(),
        }
    }

    /// Takes the queued effects.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// The number of running requests.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// The number of requests that others run at the endpoint, estimated from the last load report.
    pub fn others_running(&self) -> u32 {
        self.others_running
    }

    /// The number of waiting requests.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Whether the endpoint may be used.
    pub fn usability(&self) -> Usability {
        self.usability
    }

    /// The number of changes to the loaded adapters so far; a status requested at another count is
    /// out of date.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// Queues or refuses a request.
    pub fn submit(&mut self, now_ms: u64, job: Job) {
        if let Some(refusal) = self.usability.refusal() {
            self.refuse(job.id, refusal, RETRY_AFTER_MIN_MS);
            return;
        }
        if let Some(adapter) = &job.adapter {
            self.popularity.note(now_ms, adapter);
            if let Some(failure) = self.failures.get(adapter)
                && failure.until_ms > now_ms
            {
                let retry_after_ms = failure.until_ms - now_ms;
                self.refuse(job.id, Refusal::LoadFailed, retry_after_ms);
                return;
            }
        }
        if job.adapter.as_ref().is_some_and(|adapter| self.has_load_backlog(adapter)) {
            let retry_after_ms = self.load_wait_ms as u64;
            self.refuse(job.id, Refusal::LoadBacklog, retry_after_ms);
            return;
        }
        let wait_ms = self.expected_wait_ms(job.adapter.as_ref());
        if now_ms + wait_ms > job.deadline_ms {
            self.refuse(job.id, Refusal::DeadlineUnmeetable, wait_ms);
            return;
        }
        if !self.ensure_queue_space(&job) {
            return;
        }
        self.queue.push(job);
        self.schedule(now_ms);
    }

    /// Keeps the queue within its limits; returns false if `job` was refused.
    fn ensure_queue_space(&mut self, job: &Job) -> bool {
        let retry_after_ms = self.drain_ms();
        let share = (self.settings.queue_max as f64 * self.settings.workspace_share).ceil();
        let is_half_full = self.queue.len() * 2 >= self.settings.queue_max;
        if is_half_full && self.queue.workspace_len(&job.workspace) as f64 >= share {
            self.refuse(job.id, Refusal::WorkspaceShare, retry_after_ms);
            return false;
        }
        if self.queue.len() < self.settings.queue_max {
            return true;
        }
        let Some(shed) = self.queue.pop_below(job.priority) else {
            self.refuse(job.id, Refusal::QueueFull, retry_after_ms);
            return false;
        };
        self.refuse(shed.id, Refusal::QueueFull, retry_after_ms);
        true
    }

    /// Removes a waiting request without a response; returns false if it was not waiting.
    pub fn cancel(&mut self, job: u64) -> bool {
        !self.queue.take(|waiting| waiting.id == job).is_empty()
    }

    /// Records that a dispatched request has ended.
    pub fn finished(&mut self, now_ms: u64, job: u64) {
        let Some(running) = self.running.remove(&job) else { return };
        let took_ms = now_ms.saturating_sub(running.started_ms) as f64;
        self.service_ms += (took_ms - self.service_ms) * ESTIMATE_SMOOTHING;
        if let Some(count) = self.running_by_workspace.get_mut(&running.workspace) {
            *count -= 1;
            if *count == 0 {
                self.running_by_workspace.remove(&running.workspace);
            }
        }
        if let Some((adapter, generation)) = running.slot
            && let Some(slot) = self.slots.get_mut(&adapter)
            && slot.generation == generation
        {
            slot.running = slot.running.saturating_sub(1);
        }
        self.schedule(now_ms);
    }

    /// Records that the engine does not have an adapter that this owner considered loaded.
    pub fn adapter_missing(&mut self, now_ms: u64, adapter: &AdapterKey) {
        if self.slots.get(adapter).is_some_and(|slot| slot.loaded_at_ms.is_some()) {
            self.slots.remove(adapter);
            self.changes += 1;
        }
        self.schedule(now_ms);
    }

    /// Applies a status reported by the engine; ignores its adapters if they have changed since
    /// `changes` was read.
    ///
    /// Returns true if the engine has restarted.
    pub fn observe(&mut self, now_ms: u64, changes: u64, status: &EngineStatus) -> bool {
        let restarted = self.boot_id.is_some_and(|boot_id| boot_id != status.boot_id);
        self.boot_id = Some(status.boot_id);
        self.places = status.places;
        self.slot_count = status.slots;
        if self.usability == Usability::Down {
            self.usability = Usability::Usable;
        }
        if changes != self.changes && !restarted {
            self.schedule(now_ms);
            return false;
        }
        self.is_verified = true;
        let mut reported: HashMap<&AdapterKey, u32> = HashMap::new();
        for (adapter, running) in &status.loaded {
            reported.insert(adapter, *running);
        }
        let known = self.slots.len();
        self.slots
            .retain(|adapter, slot| slot.loaded_at_ms.is_none() || reported.contains_key(adapter));
        if self.slots.len() != known {
            self.changes += 1;
        }
        for (adapter, running) in reported {
            let slot = self.slots.entry(adapter.clone()).or_insert_with(|| {
                self.changes += 1;
                let generation = self.changes;
                Slot { generation, loaded_at_ms: Some(now_ms), running: 0, inherited: 0 }
            });
            slot.inherited = running.saturating_sub(slot.running);
        }
        self.schedule(now_ms);
        restarted
    }

    /// Sets whether the endpoint may be used; refuses the waiting requests if it may not.
    pub fn set_usability(&mut self, now_ms: u64, usability: Usability) {
        if self.usability == usability {
            return;
        }
        self.usability = usability;
        if usability == Usability::Down || usability == Usability::LeaseLost {
            // Another owner may change the loaded adapters before this one is back.
            self.is_verified = !self.is_engine;
        }
        if let Some(refusal) = usability.refusal() {
            self.refuse_waiting(refusal, RETRY_AFTER_MIN_MS, |_| true);
        }
        self.schedule(now_ms);
    }

    /// Applies the platform's load report. The report is delayed, so only requests beyond this
    /// owner's maximum since the previous report count as requests of others.
    pub fn note_load_report(&mut self, now_ms: u64, running: u32) {
        self.others_running = running.saturating_sub(self.running_peak);
        self.running_peak = self.running.len() as u32;
        self.schedule(now_ms);
    }

    /// The places that others do not use, at least one: a load report is only a hint and must not
    /// stop all work.
    fn usable_places(&self) -> u32 {
        self.places.saturating_sub(self.others_running).max(self.places.min(1))
    }

    /// Refuses the requests whose deadline has passed, forgets old load failures and dispatches
    /// what it can.
    pub fn tick(&mut self, now_ms: u64) {
        let retry_after_ms = self.drain_ms();
        self.refuse_waiting(Refusal::DeadlinePassed, retry_after_ms, |job| {
            job.deadline_ms <= now_ms
        });
        self.failures.retain(|_, failure| failure.until_ms + FAILED_LOAD_PAUSE_MAX_MS > now_ms);
        self.schedule(now_ms);
    }

    /// Creates the next summary for other gateways; lists the adapters only if `with_adapters` is
    /// true.
    pub fn summary(&mut self, now_ms: u64, with_adapters: bool) -> Summary {
        self.sequence += 1;
        Summary {
            endpoint: self.endpoint.clone(),
            epoch: self.epoch,
            sequence: self.sequence,
            healthy: self.usability == Usability::Usable && (self.is_verified || !self.is_engine),
            adapters: with_adapters.then(|| self.slots.keys().cloned().collect()),
            running: self.running.len() as u32,
            queued: self.queue.len() as u32,
            places: self.places,
            slots: self.slot_count,
            coldest_rate: self.coldest_rate(now_ms),
        }
    }

    fn coldest_rate(&self, now_ms: u64) -> f32 {
        match self.find_slot(now_ms) {
            None => f32::INFINITY,
            Some(SlotSource::Free) => 0.0,
            Some(SlotSource::Evict(victim)) => self.popularity.rate_per_s(now_ms, &victim) as f32,
        }
    }

    /// The adapters in slots, with whether each is loaded and the number of its running requests.
    pub fn adapters(&self) -> Vec<(AdapterKey, bool, u32)> {
        let mut adapters = Vec::with_capacity(self.slots.len());
        for (adapter, slot) in &self.slots {
            adapters.push((adapter.clone(), slot.loaded_at_ms.is_some(), slot.running));
        }
        adapters
    }

    /// Dispatches requests while places are free, then asks for the permits that loads need.
    fn schedule(&mut self, now_ms: u64) {
        if self.usability != Usability::Usable {
            return;
        }
        while (self.running.len() as u32) < self.usable_places() {
            let Some((adapter, priority)) = self.next_to_dispatch(now_ms) else { break };
            let Some(job) = self.queue.pop(&adapter, priority) else { break };
            self.dispatch(now_ms, job);
        }
        self.request_permits(now_ms);
    }

    /// The adapter and priority of the next request: ordered by priority and age, with a lead for
    /// workspaces with few running requests and for adapters that are already in the batch.
    fn next_to_dispatch(&self, now_ms: u64) -> Option<(Option<AdapterKey>, Priority)> {
        let other_adapter_ms = (self.settings.batch_efficiency_weight * OTHER_ADAPTER_MS) as u64;
        let mut best: Option<(u64, &Option<AdapterKey>, Priority)> = None;
        for (adapter, group) in self.queue.groups() {
            let slot = adapter.as_ref().and_then(|adapter| self.slots.get(adapter));
            if adapter.is_some() && slot.is_none_or(|slot| slot.loaded_at_ms.is_none()) {
                continue;
            }
            let is_outside_batch = slot.is_some_and(|slot| slot.running == 0);
            for job in group.heads() {
                let running = self.running_by_workspace.get(&job.workspace).copied().unwrap_or(0);
                let mut due_ms = self.due_ms(job) + running * FAIRNESS_MS;
                if is_outside_batch {
                    due_ms += other_adapter_ms;
                }
                if job.deadline_ms > now_ms && best.is_none_or(|(best_ms, _, _)| due_ms < best_ms) {
                    best = Some((due_ms, adapter, job.priority));
                }
            }
        }
        best.map(|(_, adapter, priority)| (adapter.clone(), priority))
    }

    /// The position in the dispatch order, as a time: a level of priority counts as `aging_ms` of
    /// waiting, so that no request waits forever.
    fn due_ms(&self, job: &Job) -> u64 {
        job.arrived_ms + job.priority as u64 * self.settings.aging_ms
    }

    fn dispatch(&mut self, now_ms: u64, job: Job) {
        let mut load_wait_ms = 0;
        let mut held = None;
        if let Some(adapter) = job.adapter
            && let Some(slot) = self.slots.get_mut(&adapter)
        {
            slot.running += 1;
            let loaded_at_ms = slot.loaded_at_ms.unwrap_or(0);
            load_wait_ms = loaded_at_ms.saturating_sub(job.arrived_ms);
            held = Some((adapter, slot.generation));
        }
        *self.running_by_workspace.entry(job.workspace.clone()).or_insert(0) += 1;
        let running = Running { slot: held, workspace: job.workspace, started_ms: now_ms };
        self.running.insert(job.id, running);
        self.running_peak = self.running_peak.max(self.running.len() as u32);
        self.effects.push(Effect::Dispatch { job: job.id, load_wait_ms });
    }

    fn expected_wait_ms(&self, adapter: Option<&AdapterKey>) -> u64 {
        let ahead = (self.running.len() + self.queue.len() + 1) as f64 - f64::from(self.places);
        let queue_ms = ahead.max(0.0) / f64::from(self.places.max(1)) * self.service_ms;
        let load_ms = match adapter {
            Some(adapter) if !self.slots.contains_key(adapter) => self.load_ms,
            _ => 0.0,
        };
        queue_ms.max(load_ms) as u64
    }

    /// The estimated time until all requests that wait now are dispatched.
    fn drain_ms(&self) -> u64 {
        let rounds = self.queue.len() as f64 / f64::from(self.places.max(1));
        ((rounds * self.service_ms) as u64).max(RETRY_AFTER_MIN_MS)
    }

    fn refuse_waiting(
        &mut self,
        refusal: Refusal,
        retry_after_ms: u64,
        wanted: impl Fn(&Job) -> bool,
    ) {
        for job in self.queue.take(wanted) {
            self.refuse(job.id, refusal, retry_after_ms);
        }
    }

    fn refuse(&mut self, job: u64, refusal: Refusal, retry_after_ms: u64) {
        self.effects.push(Effect::Refuse { job, refusal, retry_after_ms });
    }
}
