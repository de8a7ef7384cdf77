//! The policy's measurement: the deciding code of the gateways before fake engines and a fake store,
//! under a virtual clock. No network and no processes.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::sync::Arc;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp, Zipf};
use winchvane::control::permit::{PermitOutcome, Permits, StoreBudget};
use winchvane::message::{AdapterKey, Priority, Refusal};
use winchvane::policy::owner::{Effect, EngineStatus, Owner, Usability};
use winchvane::policy::queue::Job;
use winchvane::policy::route::Router;
use winchvane::settings::PolicySettings;

const POOL: &str = "engines";
const RENEW_MS: u64 = 500;
const TICK_MS: u64 = 100;
const MAX_ATTEMPTS: usize = 4;
/// A popularity that halves this fast orders adapters by their last use.
const LRU_HALF_LIFE_MS: u64 = 200;

/// The brief's sizes of one user.
#[derive(Debug, Clone, Copy)]
pub struct Deployment {
    /// Engines.
    pub engines: usize,
    /// Adapters.
    pub adapters: usize,
    /// Requests that an engine runs at once.
    pub places: u32,
    /// Adapters that an engine holds.
    pub slots: u32,
    /// Mean tokens of an answer.
    pub tokens: f64,
    /// Loads that the store starts in a second.
    pub loads_per_s: f64,
    /// Loads at once at full speed.
    pub concurrent_loads: usize,
    /// Gateways.
    pub gateways: usize,
    /// How much a load stall weighs.
    pub load_stall_weight: f64,
    /// How much an empty place weighs.
    pub batch_efficiency_weight: f64,
}

/// What decides.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// The code of the gateways.
    Winchvane,
    /// The engine with the least load, known at once; the adapter used longest ago is evicted.
    LeastLoaded,
    /// The engine of the highest hash with the adapter; the adapter used longest ago is evicted.
    Rendezvous,
}

/// What happens in the second half of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Nothing.
    None,
    /// A quiet adapter becomes the busiest.
    Shift,
    /// A third of the engines restart empty.
    Restart,
    /// One load in ten fails.
    FailedLoads,
    /// A third of the engines are lost.
    LostZone,
    /// The store slows to a third for a minute.
    SlowStore,
    /// Three times the load for a minute.
    Surge,
}

/// One run.
#[derive(Debug, Clone)]
pub struct Options {
    /// The user.
    pub deployment: Deployment,
    /// What decides.
    pub policy: Policy,
    /// The policy's settings.
    pub settings: PolicySettings,
    /// False when loads go to the store without a share of its budget.
    pub budget: bool,
    /// What happens.
    pub fault: Fault,
    /// Seed of arrivals and adapters.
    pub seed: u64,
    /// The exponent of the adapters' popularity.
    pub zipf: f64,
    /// Requests a second.
    pub rate: f64,
    /// Length of the run; the first third is not counted.
    pub seconds: u64,
}

/// One request of the workload.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// When.
    pub at_us: u64,
    /// The adapter's number.
    pub adapter: usize,
    tokens: u32,
    gateway: usize,
}

/// What a run showed.
#[derive(Debug, Clone, Default)]
pub struct Report {
    /// Load stalls of answered requests, in milliseconds, with the time of arrival.
    pub stalls_ms: Vec<(u64, f64)>,
    /// Times to the first token, in milliseconds.
    pub first_token_ms: Vec<f64>,
    /// Sum over steps of the share of places used.
    pub step_shares: f64,
    /// Steps.
    pub steps: u64,
    /// Loads done.
    pub loads: u64,
    /// Loads of an adapter in place of another.
    pub evictions: u64,
    /// Load time of the store in use, in load milliseconds.
    pub store_ms: f64,
    /// Requests asked for.
    pub asked: u64,
    /// Requests answered.
    pub answered: u64,
    /// Requests refused, by cause.
    pub refused: HashMap<&'static str, u64>,
    /// Requests asked for and answered by workspace.
    pub workspaces: HashMap<usize, (u64, u64)>,
    /// Requests answered, by second.
    pub goodput: Vec<u64>,
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive(usize),
    Step(usize),
    Store(u64),
    Renew,
    Tick,
    Fault(bool),
}

struct EngineModel {
    owner: Owner,
    running: Vec<(u64, u32, bool)>,
    stepping: bool,
    boot_id: u64,
    lost: bool,
    published_changes: Option<u64>,
}

struct Load {
    engine: usize,
    adapter: AdapterKey,
    permit: Option<u64>,
    left_ms: f64,
    started_ms: u64,
    boot_id: u64,
}

/// The weight store: loads share what it gives beyond its full speed for a few.
struct StoreModel {
    loads: Vec<Load>,
    at_us: u64,
    speed: f64,
    version: u64,
}

/// The time of one load at full speed.
pub(crate) fn load_ms(deployment: &Deployment) -> f64 {
    deployment.concurrent_loads as f64 / deployment.loads_per_s * 1_000.0
}

/// The time of a step: a base, and a little for each request and each further adapter in it. The
/// brief gives the base; the slopes are assumptions, stated in `docs/POLICY.md`.
fn step_us(batch: usize, adapters: usize) -> u64 {
    5_000 + 50 * batch as u64 + 250 * adapters.saturating_sub(1) as u64
}

fn adapter_key(number: usize) -> AdapterKey {
    AdapterKey::new(format!("a{number:05}"), 1)
}

/// The rate at which a cache of the most popular adapters would miss as often as the store can load.
pub fn capacity_rate(deployment: &Deployment, zipf: f64) -> f64 {
    let weight = |rank: usize| 1.0 / (rank as f64).powf(zipf);
    let total: f64 = (1..=deployment.adapters).map(weight).sum();
    let held = deployment.engines * deployment.slots as usize;
    let missed: f64 = (held + 1..=deployment.adapters).map(weight).sum();
    deployment.loads_per_s * total / missed
}

/// The requests of a run.
pub fn workload(options: &Options) -> Vec<Arrival> {
    let mut rng = SmallRng::seed_from_u64(options.seed);
    let deployment = &options.deployment;
    let zipf = Zipf::new(deployment.adapters as f64, options.zipf).expect("a valid exponent");
    let tokens = Exp::new(1.0 / deployment.tokens).expect("a valid mean");
    let end_us = options.seconds * 1_000_000;
    let fault_us = end_us / 2;
    let mut arrivals = Vec::new();
    let mut at_us = 0.0;
    loop {
        let surging = options.fault == Fault::Surge
            && (fault_us as f64..fault_us as f64 + 60e6).contains(&at_us);
        // A day's curve, pressed into the run: a tenth up and down.
        let day = 1.0 + 0.1 * (at_us / end_us as f64 * std::f64::consts::TAU).sin();
        let rate = options.rate * day * if surging { 3.0 } else { 1.0 };
        let gap = Exp::new(rate / 1e6).expect("a positive rate");
        at_us += gap.sample(&mut rng);
        if at_us >= end_us as f64 {
            return arrivals;
        }
        let mut adapter = zipf.sample(&mut rng) as usize - 1;
        if options.fault == Fault::Shift && at_us >= fault_us as f64 {
            // Within a minute the quietest adapter gets as much as the busiest.
            let share = ((at_us - fault_us as f64) / 60e6).min(1.0);
            if adapter == 0 && rng.random_bool(share) {
                adapter = deployment.adapters - 1;
            }
        }
        arrivals.push(Arrival {
            at_us: at_us as u64,
            adapter,
            tokens: (tokens.sample(&mut rng) as u32).clamp(1, 1_000),
            gateway: rng.random_range(0..deployment.gateways),
        });
    }
}

/// Runs the workload through a policy.
pub fn run(options: &Options) -> Report {
    Run::new(options).run()
}

struct Run<'a> {
    options: &'a Options,
    rng: SmallRng,
    now_us: u64,
    sequence: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    arrivals: Vec<Arrival>,
    tried: HashMap<u64, Vec<Arc<str>>>,
    engines: Vec<EngineModel>,
    names: Vec<Arc<str>>,
    routers: Vec<Router>,
    outbox: Vec<usize>,
    permits: Permits,
    permit_tokens: HashMap<u64, usize>,
    next_token: u64,
    store: StoreModel,
    report: Report,
    failing: bool,
}

impl<'a> Run<'a> {
    fn new(options: &'a Options) -> Self {
        let deployment = &options.deployment;
        let mut settings = options.settings;
        if options.policy != Policy::Winchvane {
            settings.popularity_half_life_ms = LRU_HALF_LIFE_MS;
            settings.loads_at_once = deployment.slots as usize;
            settings.batch_efficiency_weight = 0.0;
            settings.load_wait_max_ms = 3_600_000;
            settings.loads_by_urgency = false;
        }
        settings.load_estimate_ms = load_ms(deployment) as u64;
        settings.service_estimate_ms = (deployment.tokens * 6.0) as u64;
        let mut engines = Vec::new();
        let mut names: Vec<Arc<str>> = Vec::new();
        for number in 0..deployment.engines {
            let name: Arc<str> = format!("engine-{number:03}").into();
            let mut owner = Owner::new_engine(name.clone(), 1, settings);
            owner.observe(0, 0, &status(deployment, 1));
            let running = Vec::new();
            engines.push(EngineModel {
                owner,
                running,
                stepping: false,
                boot_id: 1,
                lost: false,
                published_changes: None,
            });
            names.push(name);
        }
        let mut routers = Vec::new();
        for _ in 0..deployment.gateways {
            let mut router = Router::new(settings);
            for (number, name) in names.iter().enumerate() {
                let owner = format!("gateway-{}", number % deployment.gateways);
                router.put(name, &POOL.into(), Some(owner.into()), 1, false, 1);
            }
            routers.push(router);
        }
        let budget = StoreBudget {
            loads_per_s: deployment.loads_per_s,
            concurrent_loads: deployment.concurrent_loads,
            load_timeout_ms: 30_000,
        };
        Self {
            options,
            rng: SmallRng::seed_from_u64(options.seed + 1),
            now_us: 0,
            sequence: 0,
            events: BinaryHeap::new(),
            arrivals: workload(options),
            tried: HashMap::new(),
            engines,
            names,
            routers,
            outbox: Vec::new(),
            permits: Permits::new(budget, 0),
            permit_tokens: HashMap::new(),
            next_token: 0,
            store: StoreModel { loads: Vec::new(), at_us: 0, speed: 1.0, version: 0 },
            report: Report { goodput: vec![0; options.seconds as usize + 1], ..Report::default() },
            failing: false,
        }
    }

    fn run(mut self) -> Report {
        for engine in 0..self.engines.len() {
            self.publish(engine);
        }
        self.renew();
        if let Some(first) = self.arrivals.first() {
            self.schedule(first.at_us, Event::Arrive(0));
        }
        self.schedule(RENEW_MS * 1_000, Event::Renew);
        self.schedule(TICK_MS * 1_000, Event::Tick);
        let half_us = self.options.seconds * 500_000;
        self.schedule(half_us, Event::Fault(true));
        self.schedule(half_us + 60_000_000, Event::Fault(false));
        let end_us = self.options.seconds * 1_000_000;
        while let Some(Reverse((at_us, _, event))) = self.events.pop() {
            if at_us > end_us {
                break;
            }
            self.now_us = at_us;
            self.handle(event);
        }
        self.report
    }

    fn schedule(&mut self, at_us: u64, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at_us, self.sequence, event)));
    }

    fn now_ms(&self) -> u64 {
        self.now_us / 1_000
    }

    /// True once the run has settled.
    fn counts(&self, at_us: u64) -> bool {
        at_us >= self.options.seconds * 1_000_000 / 3
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(number) => {
                if let Some(next) = self.arrivals.get(number + 1) {
                    self.schedule(next.at_us, Event::Arrive(number + 1));
                }
                self.arrive(number);
            }
            Event::Step(engine) => self.step(engine),
            Event::Store(version) if version == self.store.version => self.store_done(),
            Event::Store(_) => {}
            Event::Renew => {
                self.renew();
                self.schedule(self.now_us + RENEW_MS * 1_000, Event::Renew);
            }
            Event::Tick => {
                for engine in 0..self.engines.len() {
                    let now_ms = self.now_ms();
                    self.engines[engine].owner.tick(now_ms);
                    self.carry_out(engine);
                }
                self.poll_permits();
                self.schedule(self.now_us + TICK_MS * 1_000, Event::Tick);
            }
            Event::Fault(begins) => self.fault(begins),
        }
    }

    fn arrive(&mut self, number: usize) {
        if self.counts(self.now_us) {
            self.report.asked += 1;
            let workspace = self.report.workspaces.entry(self.arrivals[number].adapter % 100);
            workspace.or_default().0 += 1;
        }
        self.send(number, None);
    }

    /// Sends a request to an engine that it has not tried, or counts it as refused.
    fn send(&mut self, number: usize, refusal: Option<Refusal>) {
        let arrival = self.arrivals[number].clone();
        let key = adapter_key(arrival.adapter);
        let tried = self.tried.get(&(number as u64)).cloned().unwrap_or_default();
        let choice =
            if tried.len() < MAX_ATTEMPTS { self.choose(&arrival, &key, &tried) } else { None };
        let Some(engine) = choice else {
            self.tried.remove(&(number as u64));
            if self.counts(arrival.at_us) {
                let cause = refusal.map_or("no_endpoint", Refusal::as_str);
                *self.report.refused.entry(cause).or_default() += 1;
            }
            return;
        };
        self.routers[arrival.gateway].note_sent(&self.names[engine], Some(&key));
        let job = Job {
            id: number as u64,
            adapter: Some(key),
            workspace: format!("w{}", arrival.adapter % 100).into(),
            priority: Priority::Interactive,
            arrived_ms: arrival.at_us / 1_000,
            deadline_ms: arrival.at_us / 1_000 + 20_000,
        };
        let now_ms = self.now_ms();
        self.engines[engine].owner.submit(now_ms, job);
        self.carry_out(engine);
    }

    fn choose(&self, arrival: &Arrival, key: &AdapterKey, tried: &[Arc<str>]) -> Option<usize> {
        let is_open =
            |engine: &usize| !self.engines[*engine].lost && !tried.contains(&self.names[*engine]);
        let engines = (0..self.engines.len()).filter(is_open);
        match self.options.policy {
            Policy::Winchvane => {
                let router = &self.routers[arrival.gateway];
                let place = router.choose(self.now_ms(), POOL, Some(key), tried)?;
                self.names.iter().position(|name| *name == place.name)
            }
            Policy::LeastLoaded => engines.min_by_key(|engine| {
                let owner = &self.engines[*engine].owner;
                (owner.running() + owner.queued(), (engine + arrival.tokens as usize) % 7)
            }),
            Policy::Rendezvous => engines.max_by_key(|engine| {
                let mut hash = (arrival.adapter as u64) << 20 | *engine as u64;
                hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
                hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
                hash ^ (hash >> 31)
            }),
        }
    }

    fn carry_out(&mut self, engine: usize) {
        let mut queue: VecDeque<Effect> = self.engines[engine].owner.take_effects().into();
        let mut refused = Vec::new();
        while let Some(effect) = queue.pop_front() {
            match effect {
                Effect::Dispatch { job, load_wait_ms } => {
                    let tokens = self.arrivals[job as usize].tokens;
                    let at_us = self.arrivals[job as usize].at_us;
                    self.engines[engine].running.push((job, tokens, true));
                    if self.counts(at_us) {
                        self.report.stalls_ms.push((at_us, load_wait_ms as f64));
                    }
                    self.start_step(engine);
                }
                Effect::Refuse { job, refusal, .. } => refused.push((job, refusal)),
                Effect::AskPermit { urgency } => self.ask_permit(engine, urgency),
                Effect::ReturnPermit { permit } => self.permits.return_permit("g", permit),
                Effect::Load { adapter, evict, permit } => {
                    if evict.is_some() {
                        self.report.evictions += 1;
                    }
                    self.start_load(engine, adapter, Some(permit));
                }
            }
            queue.extend(self.engines[engine].owner.take_effects());
        }
        self.publish(engine);
        for (job, refusal) in refused {
            let gateway = self.arrivals[job as usize].gateway;
            self.routers[gateway].note_ended(&self.names[engine]);
            self.tried.entry(job).or_default().push(self.names[engine].clone());
            self.send(job as usize, Some(refusal));
        }
    }

    fn ask_permit(&mut self, engine: usize, urgency: f32) {
        let now_ms = self.now_ms();
        if self.options.policy != Policy::Winchvane || !self.options.budget {
            self.engines[engine].owner.permit_granted(now_ms, 0);
            return;
        }
        self.next_token += 1;
        self.permit_tokens.insert(self.next_token, engine);
        self.permits.request(now_ms, self.next_token, "g".into(), urgency, 2_000);
        self.poll_permits();
    }

    fn poll_permits(&mut self) {
        let now_ms = self.now_ms();
        for (token, outcome) in self.permits.poll(now_ms) {
            let Some(engine) = self.permit_tokens.remove(&token) else { continue };
            match outcome {
                PermitOutcome::Granted(permit) => {
                    self.engines[engine].owner.permit_granted(now_ms, permit);
                }
                PermitOutcome::Denied(_) => self.engines[engine].owner.permit_denied(now_ms, 0),
            }
            self.carry_out(engine);
        }
    }

    fn start_load(&mut self, engine: usize, adapter: AdapterKey, permit: Option<u64>) {
        self.advance_store();
        let boot_id = self.engines[engine].boot_id;
        let left_ms = load_ms(&self.options.deployment);
        let started_ms = self.now_ms();
        self.store.loads.push(Load { engine, adapter, permit, left_ms, started_ms, boot_id });
        self.schedule_store();
    }

    fn store_rate(&self) -> f64 {
        let full = self.options.deployment.concurrent_loads as f64;
        self.store.speed * (full / self.store.loads.len().max(1) as f64).min(1.0)
    }

    fn advance_store(&mut self) {
        let passed_ms = (self.now_us - self.store.at_us) as f64 / 1_000.0;
        let rate = self.store_rate();
        for load in &mut self.store.loads {
            load.left_ms -= passed_ms * rate;
        }
        self.report.store_ms += passed_ms * rate * self.store.loads.len() as f64;
        self.store.at_us = self.now_us;
    }

    fn schedule_store(&mut self) {
        self.store.version += 1;
        let least = self.store.loads.iter().map(|load| load.left_ms).fold(f64::INFINITY, f64::min);
        if least.is_finite() {
            let wait_us = (least.max(0.0) / self.store_rate() * 1_000.0).ceil() as u64 + 1;
            self.schedule(self.now_us + wait_us, Event::Store(self.store.version));
        }
    }

    fn store_done(&mut self) {
        self.advance_store();
        let now_ms = self.now_ms();
        let (done, left): (Vec<Load>, Vec<Load>) =
            self.store.loads.drain(..).partition(|load| load.left_ms <= 0.001);
        self.store.loads = left;
        self.schedule_store();
        for load in done {
            self.report.loads += 1;
            if let Some(permit) = load.permit {
                self.permits.return_permit("g", permit);
            }
            let model = &mut self.engines[load.engine];
            let fails = self.failing && self.rng.random_bool(0.1);
            let loaded = !fails && !model.lost && model.boot_id == load.boot_id;
            model.owner.load_ended(now_ms, &load.adapter, now_ms - load.started_ms, loaded);
            self.carry_out(load.engine);
        }
        self.poll_permits();
    }

    fn start_step(&mut self, engine: usize) {
        let model = &self.engines[engine];
        if model.stepping || model.running.is_empty() {
            return;
        }
        let mut adapters: Vec<usize> =
            model.running.iter().map(|(job, ..)| self.arrivals[*job as usize].adapter).collect();
        adapters.sort_unstable();
        adapters.dedup();
        let duration_us = step_us(model.running.len(), adapters.len());
        if self.counts(self.now_us) {
            self.report.steps += 1;
            self.report.step_shares +=
                model.running.len() as f64 / f64::from(self.options.deployment.places);
        }
        self.engines[engine].stepping = true;
        self.schedule(self.now_us + duration_us, Event::Step(engine));
    }

    fn step(&mut self, engine: usize) {
        let now_ms = self.now_ms();
        self.engines[engine].stepping = false;
        let mut finished = Vec::new();
        for (job, left, first) in &mut self.engines[engine].running {
            let arrival = &self.arrivals[*job as usize];
            if *first {
                *first = false;
                if arrival.at_us >= self.options.seconds * 1_000_000 / 3 {
                    let took_ms = (self.now_us - arrival.at_us) as f64 / 1_000.0;
                    self.report.first_token_ms.push(took_ms);
                }
            }
            *left -= 1;
            if *left == 0 {
                finished.push(*job);
            }
        }
        self.engines[engine].running.retain(|(_, left, _)| *left > 0);
        for job in finished {
            self.tried.remove(&job);
            let arrival = self.arrivals[job as usize].clone();
            self.report.goodput[(self.now_us / 1_000_000) as usize] += 1;
            if self.counts(arrival.at_us) {
                self.report.answered += 1;
                self.report.workspaces.entry(arrival.adapter % 100).or_default().1 += 1;
            }
            self.routers[arrival.gateway].note_ended(&self.names[engine]);
            self.engines[engine].owner.finished(now_ms, job);
        }
        self.carry_out(engine);
        self.start_step(engine);
    }

    fn publish(&mut self, engine: usize) {
        let now_ms = self.now_ms();
        let model = &mut self.engines[engine];
        let changes = model.owner.changes();
        let with_adapters = model.published_changes != Some(changes);
        model.published_changes = Some(changes);
        let summary = model.owner.summary(now_ms, with_adapters);
        let gateway = engine % self.options.deployment.gateways;
        self.routers[gateway].observe(summary);
        if !self.outbox.contains(&engine) {
            self.outbox.push(engine);
        }
    }

    fn renew(&mut self) {
        let now_ms = self.now_ms();
        for engine in std::mem::take(&mut self.outbox) {
            let summary = self.engines[engine].owner.summary(now_ms, true);
            for router in &mut self.routers {
                router.observe(summary.clone());
            }
        }
    }

    fn fault(&mut self, begins: bool) {
        let deployment = self.options.deployment;
        let now_ms = self.now_ms();
        match (self.options.fault, begins) {
            (Fault::Restart, true) => {
                for engine in 0..self.engines.len() / 3 {
                    self.restart(engine, &deployment);
                }
            }
            (Fault::LostZone, true) => {
                for engine in 0..self.engines.len() / 3 {
                    self.restart(engine, &deployment);
                    self.engines[engine].lost = true;
                    self.engines[engine].owner.set_usability(now_ms, Usability::Down);
                    self.carry_out(engine);
                }
            }
            (Fault::FailedLoads, _) => self.failing = begins,
            (Fault::SlowStore, _) => {
                self.advance_store();
                self.store.speed = if begins { 1.0 / 3.0 } else { 1.0 };
                self.schedule_store();
            }
            _ => {}
        }
    }

    /// The engine comes back empty; what ran on it is asked for again.
    fn restart(&mut self, engine: usize, deployment: &Deployment) {
        let now_ms = self.now_ms();
        let model = &mut self.engines[engine];
        model.boot_id += 1;
        let running = std::mem::take(&mut model.running);
        for (job, ..) in &running {
            model.owner.finished(now_ms, *job);
        }
        let changes = model.owner.changes();
        model.owner.observe(now_ms, changes, &status(deployment, model.boot_id));
        self.carry_out(engine);
        for (job, ..) in running {
            self.send(job as usize, None);
        }
    }
}

fn status(deployment: &Deployment, boot_id: u64) -> EngineStatus {
    let (places, slots) = (deployment.places, deployment.slots);
    EngineStatus { boot_id, places, slots, loaded: Vec::new() }
}
