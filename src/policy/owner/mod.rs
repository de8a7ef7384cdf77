//! The owner of one endpoint: what is dispatched, loaded, evicted and refused there.
//!
//! Calls take the present time and leave [`Effect`]s, which the caller fetches with
//! [`Owner::take_effects`] and carries out.

mod loads;

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use crate::message::{AdapterKey, Priority, Refusal, Summary};
use crate::policy::owner::loads::Room;
use crate::policy::popularity::Popularity;
use crate::policy::queue::{Job, Queue};
use crate::settings::PolicySettings;

const FAILED_LOAD_PAUSE_MAX_MS: u64 = 30_000;
const RETRY_AFTER_MIN_MS: u64 = 100;
const ESTIMATE_SHARE: f64 = 0.1;
/// How much earlier than its arrival a request counts for each request that its workspace does not
/// have running.
const FAIRNESS_MS: u64 = 25;
/// How much later a request counts, per unit of batch weight, when its adapter is not in the batch.
const OTHER_ADAPTER_MS: f64 = 40.0;

/// What the owner wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Send the request to the endpoint.
    Dispatch {
        /// The request.
        job: u64,
        /// How long it waited for its adapter.
        load_wait_ms: u64,
    },
    /// Give the request its final answer.
    Refuse {
        /// The request.
        job: u64,
        /// Why.
        refusal: Refusal,
        /// When to come back.
        retry_after_ms: u64,
    },
    /// Ask for a share of the weight store's budget.
    AskPermit {
        /// How much waits for the load.
        urgency: f32,
    },
    /// Give an unused permit back.
    ReturnPermit {
        /// The permit.
        permit: u64,
    },
    /// Unload `evict` if there is one, then load `adapter`.
    Load {
        /// The adapter to load.
        adapter: AdapterKey,
        /// An idle adapter that makes room.
        evict: Option<AdapterKey>,
        /// The permit to give back afterwards.
        permit: u64,
    },
}

/// Whether the endpoint may be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Usability {
    /// It takes work.
    Usable,
    /// The platform is about to stop it.
    Leaving,
    /// It does not answer.
    Down,
    /// The lease of this gateway ran out.
    LeaseLost,
    /// It has been given to another owner, or this gateway is stopping.
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

/// What an engine says of itself.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EngineStatus {
    /// Drawn at each start of the engine.
    pub boot_id: u64,
    /// Requests that it runs at once.
    pub places: u32,
    /// Adapters that it holds at once.
    pub slots: u32,
    /// Each loaded adapter with the number of its running requests.
    pub loaded: Vec<(AdapterKey, u32)>,
}

#[derive(Debug)]
struct Slot {
    /// Tells a later load of the same adapter from this one.
    generation: u64,
    loaded_at_ms: Option<u64>,
    running: u32,
    /// Requests on the engine that this owner did not send: those of the owner before it.
    foreign: u32,
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
    /// False until the engine has told what it runs: nothing is unloaded before that.
    verified: bool,
    slots: BTreeMap<AdapterKey, Slot>,
    queue: Queue,
    running: HashMap<u64, Running>,
    /// The most that ran at once since the last report of load.
    running_peak: u32,
    /// Requests that others run at the endpoint, as the last report suggests.
    others_running: u32,
    running_by_workspace: HashMap<Arc<str>, u64>,
    failures: HashMap<AdapterKey, Failure>,
    popularity: Popularity,
    permits_asked: usize,
    permit_pause_until_ms: u64,
    loading: usize,
    load_ms: f64,
    /// From the first request for an adapter until it was loaded, the store's queue included.
    load_wait_ms: f64,
    service_ms: f64,
    changes: u64,
    sequence: u64,
    effects: Vec<Effect>,
}

impl Owner {
    /// The owner of an engine, which tells its places and slots by itself.
    pub fn new_engine(endpoint: Arc<str>, epoch: u64, settings: PolicySettings) -> Self {
        Self::new(endpoint, epoch, settings, true, 0)
    }

    /// The owner of a plain service that takes `places` requests at once.
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
            verified: !is_engine,
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

    /// Fetches what has to be done.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// Requests that run.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Requests that others run at the endpoint, as the last report of load suggests.
    pub fn others_running(&self) -> u32 {
        self.others_running
    }

    /// Requests that wait.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Whether the endpoint may be used.
    pub fn usability(&self) -> Usability {
        self.usability
    }

    /// Counts the changes of loaded adapters; a status that was asked for under another count is
    /// out of date.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// Takes a request in.
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
        if !self.make_room(&job) {
            return;
        }
        self.queue.push(job);
        self.pump(now_ms);
    }

    /// Keeps the queue within its bounds; false when `job` itself was refused.
    fn make_room(&mut self, job: &Job) -> bool {
        let retry_after_ms = self.drain_ms();
        let share = (self.settings.queue_max as f64 * self.settings.workspace_share).ceil();
        let is_crowded = self.queue.len() * 2 >= self.settings.queue_max;
        if is_crowded && self.queue.of_workspace(&job.workspace) as f64 >= share {
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

    /// Takes a waiting request out; it gets no answer. False when it does not wait.
    pub fn cancel(&mut self, job: u64) -> bool {
        !self.queue.take(|waiting| waiting.id == job).is_empty()
    }

    /// Notes that a dispatched request has ended.
    pub fn finished(&mut self, now_ms: u64, job: u64) {
        let Some(running) = self.running.remove(&job) else { return };
        let took_ms = now_ms.saturating_sub(running.started_ms) as f64;
        self.service_ms += (took_ms - self.service_ms) * ESTIMATE_SHARE;
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
        self.pump(now_ms);
    }

    /// Notes that the engine does not have an adapter that this owner took for loaded.
    pub fn adapter_missing(&mut self, now_ms: u64, adapter: &AdapterKey) {
        if self.slots.get(adapter).is_some_and(|slot| slot.loaded_at_ms.is_some()) {
            self.slots.remove(adapter);
            self.changes += 1;
        }
        self.pump(now_ms);
    }

    /// Takes in what the engine says of itself, unless adapters changed since `changes` was read.
    ///
    /// Returns true when the engine has restarted.
    pub fn observe(&mut self, now_ms: u64, changes: u64, status: &EngineStatus) -> bool {
        let restarted = self.boot_id.is_some_and(|boot_id| boot_id != status.boot_id);
        self.boot_id = Some(status.boot_id);
        self.places = status.places;
        self.slot_count = status.slots;
        if self.usability == Usability::Down {
            self.usability = Usability::Usable;
        }
        if changes != self.changes && !restarted {
            self.pump(now_ms);
            return false;
        }
        self.verified = true;
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
                Slot { generation, loaded_at_ms: Some(now_ms), running: 0, foreign: 0 }
            });
            slot.foreign = running.saturating_sub(slot.running);
        }
        self.pump(now_ms);
        restarted
    }

    /// Changes whether the endpoint may be used; what waits is refused when it may not.
    pub fn set_usability(&mut self, now_ms: u64, usability: Usability) {
        if self.usability == usability {
            return;
        }
        self.usability = usability;
        if usability == Usability::Down || usability == Usability::LeaseLost {
            // Another owner may change what is loaded before this one is back.
            self.verified = !self.is_engine;
        }
        if let Some(refusal) = usability.refusal() {
            self.refuse_waiting(refusal, RETRY_AFTER_MIN_MS, |_| true);
        }
        self.pump(now_ms);
    }

    /// Takes the platform's report of load in. It is some time old, so only what exceeds the most that
    /// this owner had running lately counts as the load of others.
    pub fn note_load_report(&mut self, now_ms: u64, running: u32) {
        self.others_running = running.saturating_sub(self.running_peak);
        self.running_peak = self.running.len() as u32;
        self.pump(now_ms);
    }

    /// The places that others leave free, one at least: a report is a hint and must not stop work.
    fn usable_places(&self) -> u32 {
        self.places.saturating_sub(self.others_running).max(self.places.min(1))
    }

    /// Lets time pass: requests whose deadline has come get their answer.
    pub fn tick(&mut self, now_ms: u64) {
        let retry_after_ms = self.drain_ms();
        self.refuse_waiting(Refusal::DeadlinePassed, retry_after_ms, |job| {
            job.deadline_ms <= now_ms
        });
        self.failures.retain(|_, failure| failure.until_ms + FAILED_LOAD_PAUSE_MAX_MS > now_ms);
        self.pump(now_ms);
    }

    /// What the others should know; the adapters only when asked for.
    pub fn summary(&mut self, now_ms: u64, with_adapters: bool) -> Summary {
        self.sequence += 1;
        Summary {
            endpoint: self.endpoint.clone(),
            epoch: self.epoch,
            sequence: self.sequence,
            healthy: self.usability == Usability::Usable && (self.verified || !self.is_engine),
            adapters: with_adapters.then(|| self.slots.keys().cloned().collect()),
            running: self.running.len() as u32,
            queued: self.queue.len() as u32,
            places: self.places,
            slots: self.slot_count,
            coldest_rate: self.coldest_rate(now_ms),
        }
    }

    fn coldest_rate(&self, now_ms: u64) -> f32 {
        match self.find_room(now_ms) {
            None => f32::INFINITY,
            Some(Room::Free) => 0.0,
            Some(Room::Evict(victim)) => self.popularity.rate_per_s(now_ms, &victim) as f32,
        }
    }

    /// The adapters in slots, with whether each is loaded and how many of its requests run.
    pub fn adapters(&self) -> Vec<(AdapterKey, bool, u32)> {
        let mut adapters = Vec::with_capacity(self.slots.len());
        for (adapter, slot) in &self.slots {
            adapters.push((adapter.clone(), slot.loaded_at_ms.is_some(), slot.running));
        }
        adapters
    }

    fn pump(&mut self, now_ms: u64) {
        if self.usability != Usability::Usable {
            return;
        }
        while (self.running.len() as u32) < self.usable_places() {
            let Some((adapter, priority)) = self.next_to_dispatch(now_ms) else { break };
            let Some(job) = self.queue.pop(&adapter, priority) else { break };
            self.dispatch(now_ms, job);
        }
        self.ask_permits(now_ms);
    }

    /// The group and priority whose oldest request is due next: by priority and age, with a lead
    /// for workspaces that have little running and for adapters that are in the batch already.
    fn next_to_dispatch(&self, now_ms: u64) -> Option<(Option<AdapterKey>, Priority)> {
        let other_adapter_ms = (self.settings.batch_efficiency_weight * OTHER_ADAPTER_MS) as u64;
        let mut best: Option<(u64, &Option<AdapterKey>, Priority)> = None;
        for (adapter, group) in self.queue.groups() {
            let slot = adapter.as_ref().and_then(|adapter| self.slots.get(adapter));
            if adapter.is_some() && slot.is_none_or(|slot| slot.loaded_at_ms.is_none()) {
                continue;
            }
            let is_other = slot.is_some_and(|slot| slot.running == 0);
            for job in group.heads() {
                let running = self.running_by_workspace.get(&job.workspace).copied().unwrap_or(0);
                let mut due_ms = self.due_ms(job) + running * FAIRNESS_MS;
                if is_other {
                    due_ms += other_adapter_ms;
                }
                if job.deadline_ms > now_ms && best.is_none_or(|(best_ms, _, _)| due_ms < best_ms) {
                    best = Some((due_ms, adapter, job.priority));
                }
            }
        }
        best.map(|(_, adapter, priority)| (adapter.clone(), priority))
    }

    /// Each step of priority counts like `aging_ms` of waiting, so none waits for ever.
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

    /// About how long what waits now takes to be dispatched.
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
