//! Endpoints that end when they reject too many requests in a second.

mod common;

use std::sync::Arc;
use std::time::{Duration, Instant};

use common::System;
use http::{Method, StatusCode};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use tokio::sync::{Mutex, MutexGuard};
use winchvane_soak::client::Try;
use winchvane_soak::open_load::OpenLoad;
use winchvane_soak::operator::{call_control, put};
use winchvane_soak::record::{End, Kind};
use winchvane_soak::region::{Size, Slots};
use winchvane_soak::room::Room;
use yare::parameterized;

const ENDPOINTS: u8 = 10;
const SLOTS: u32 = 6;
/// How long endpoints work on a request; engines begin to answer after 30 ms.
const WORK: Duration = Duration::from_millis(400);
const ENGINE_EVENT_PAUSE: Duration = Duration::from_millis(46);
const BORNE_PER_S: f64 = ENDPOINTS as f64 * SLOTS as f64 * 1_000.0 / 400.0;
/// The rejections a second that endpoints name.
const NAMED_PER_S: u32 = 6;
/// The requests that endpoints let wait before gateways must know that they are brittle, and after.
const WAITING_BEFORE: u32 = 24;
const WAITING_AFTER: u32 = 2;
const DEADLINE_MS: u64 = 3_000;
const WARM_UP: Duration = Duration::from_secs(4);
const KNOWN_WITHIN: Duration = Duration::from_secs(3);
/// The time after endpoints restrict their queues in which served requests are counted.
const SETTLED_AFTER: Duration = Duration::from_millis(500);
const COUNTED: Duration = Duration::from_secs(10);
/// Two, and a tenth of the endpoints.
const ENDS_MAX: usize = 3;
/// The gateways that are restarted, the load meanwhile, and for how long.
const RESTARTED_GATEWAYS: u8 = 12;
const RESTARTED_LOAD: f64 = 1.2;
const RESTARTING: Duration = Duration::from_secs(10);
const GATEWAY_DOWN: Duration = Duration::from_millis(300);
const CONTROL_DOWN: Duration = Duration::from_secs(1);
const LAST_VERSION: u64 = 1_000;
/// The operator reads for at least this long.
const READ_WITHIN: Duration = Duration::from_secs(3);
const READ_GIVEN_UP: Duration = Duration::from_secs(20);
const READ_PAUSE: Duration = Duration::from_millis(100);
/// The part of the requests, or of what the endpoints bear if that is less, that must be served.
const SERVED_MIN: f64 = 0.8;

/// Each day has up to 46 processes, so they run one after the other.
static ONE_DAY: Mutex<()> = Mutex::const_new(());

struct Brittle {
    _alone: MutexGuard<'static, ()>,
    system: System,
    /// The tries with the times at which they ended.
    tries: Arc<std::sync::Mutex<Vec<(Instant, Try)>>>,
    rooms: Vec<Arc<Room>>,
}

impl Brittle {
    /// Starts a region whose endpoints of this `kind` get `load` times what they bear.
    async fn start(kind: Kind, gateways: u8, load: f64, block: u8) -> Self {
        let (endpoints, engines) =
            if kind == Kind::Adapter { (1, ENDPOINTS) } else { (ENDPOINTS, 1) };
        let alone = ONE_DAY.lock().await;
        let size = Size { gateways, endpoints, engines, block };
        let slots = Slots { endpoint: SLOTS, engine: SLOTS, ..Slots::default() };
        let system = System::start_with_slots(size, slots, 4).await;
        let region = &system.region;
        region.engines.iter().for_each(|engine| engine.set_event_pause(ENGINE_EVENT_PAUSE));
        region.endpoints.iter().for_each(|endpoint| endpoint.set_work(WORK));
        let rooms = if kind == Kind::Adapter {
            region.engines.iter().map(|engine| engine.room.clone()).collect()
        } else {
            region.endpoints.iter().map(|endpoint| endpoint.room.clone()).collect()
        };
        let started = Self { _alone: alone, tries: Arc::default(), rooms, system };
        started.restrict(WAITING_BEFORE, false);
        let noted = started.tries.clone();
        let note: Arc<dyn Fn(Try) + Send + Sync> = Arc::new(move |tried| {
            noted.lock().expect("the lock is not poisoned").push((Instant::now(), tried));
        });
        let gateways = started.system.region.gateway_addresses();
        let per_s = load * BORNE_PER_S;
        let seed = block.into();
        let open_load = OpenLoad { kind, gateways, per_s, deadline_ms: DEADLINE_MS, seed };
        open_load.start(&started.system.record, &note);
        let mut started = started;
        started.system.stop_clients();
        started
    }

    fn restrict(&self, waiting_max: u32, ends: bool) {
        for room in &self.rooms {
            room.restrict(waiting_max, ends);
        }
    }

    /// Names the limit, and restricts the queues once gateways must know it.
    async fn become_brittle(&self) {
        tokio::time::sleep(WARM_UP).await;
        for room in &self.rooms {
            room.name_limit(Some(NAMED_PER_S));
        }
        tokio::time::sleep(KNOWN_WITHIN).await;
        self.restrict(WAITING_AFTER, true);
    }

    /// Lets the endpoints become brittle, and waits until the requests to count have ended.
    async fn run(&self) -> Instant {
        self.become_brittle().await;
        tokio::time::sleep(SETTLED_AFTER).await;
        let from = Instant::now();
        tokio::time::sleep(COUNTED).await;
        from
    }

    /// Kills a gateway again and again and starts it a moment later; returns how many were killed.
    async fn restart_gateways(&mut self, rng: &mut SmallRng, until: Instant) -> usize {
        let mut killed = 0;
        while Instant::now() < until {
            let programs = &mut self.system.region.programs;
            let number = rng.random_range(0..programs.len());
            if programs[number].is_control {
                continue;
            }
            programs[number].kill();
            killed += 1;
            tokio::time::sleep(GATEWAY_DOWN).await;
            self.system.region.programs[number].start().expect("the program starts");
            let pause_ms = rng.random_range(100..2_000);
            tokio::time::sleep(Duration::from_millis(pause_ms)).await;
        }
        killed
    }

    /// Kills all of control right after a change was acknowledged; returns how long after its start the
    /// configuration was read.
    async fn read_after_final_fault(&mut self) -> Duration {
        let control = self.system.region.control_addresses();
        let record = self.system.record.clone();
        let mut turn = 0;
        while !put(&control, turn, LAST_VERSION, &record).await {
            turn += 1;
            assert!(turn < 100, "the change is not acknowledged");
        }
        let programs = &mut self.system.region.programs;
        for program in programs.iter_mut().filter(|program| program.is_control) {
            program.kill();
        }
        tokio::time::sleep(CONTROL_DOWN).await;
        let programs = &mut self.system.region.programs;
        for program in programs.iter_mut().filter(|program| program.is_control) {
            program.start().expect("the program starts");
        }
        let started = Instant::now();
        for turn in 0.. {
            let path = "/winchvane/config";
            let read = call_control(&control, turn, Method::GET, path, String::new()).await;
            if let Some((StatusCode::OK, body)) = read {
                let body: serde_json::Value = serde_json::from_slice(&body).expect("it is JSON");
                assert!(
                    body["version"].as_u64() >= Some(LAST_VERSION),
                    "an older version was read"
                );
                break;
            }
            assert!(started.elapsed() < READ_GIVEN_UP, "the configuration was not read");
            tokio::time::sleep(READ_PAUSE).await;
        }
        started.elapsed()
    }

    fn ends(&self) -> usize {
        self.rooms.iter().map(|room| room.ends()).sum()
    }

    /// Stops everything; checks how often endpoints ended, and that enough requests were served.
    fn stop_and_check(self, name: &str, load: f64, from: Instant) {
        let until = from + COUNTED;
        let tries = self.tries.lock().expect("the lock is not poisoned").clone();
        let counted: Vec<_> =
            tries.iter().filter(|(ended_at, _)| (from..until).contains(ended_at)).collect();
        let served = counted.iter().filter(|(_, tried)| tried.end == End::Served).count();
        let is_unknown = |tried: &Try| matches!(tried.end, End::Unknown(_));
        let unknown = counted.iter().filter(|(_, tried)| is_unknown(tried)).count();
        let borne = BORNE_PER_S * COUNTED.as_secs_f64() * load.min(1.0);
        let used = served as f64 / borne;
        let ends = self.ends();
        let most = self.rooms.iter().map(|room| room.most_rejected()).max().unwrap_or_default();
        println!(
            "{name}: {ends} ends, at most {most} rejections in a second, {used:.2} used, {unknown} of {} without an answer",
            counted.len()
        );
        println!("{name}: served by second {:?}", served_by_second(&counted, from));
        self.system.stop(name);
        assert!(ends <= ENDS_MAX, "{ends} ends, {ENDS_MAX} allowed");
        assert!(used >= SERVED_MIN, "{used:.2} of what endpoints bear or clients asked was used");
    }
}

/// How many requests were served in each of the counted seconds, which tells a pause from a lasting loss.
fn served_by_second(counted: &[&(Instant, Try)], from: Instant) -> Vec<usize> {
    let mut served = vec![0; COUNTED.as_secs() as usize];
    for (ended_at, tried) in counted {
        if tried.end != End::Served {
            continue;
        }
        served[ended_at.duration_since(from).as_secs() as usize] += 1;
    }
    served
}

/// Gateways are killed and started again while endpoints are brittle, then all of control at once;
/// `WINCHVANE_SEEDS` draws more such days.
#[test]
fn brittle_endpoints_do_not_end_while_gateways_restart_and_the_configuration_is_read() {
    let seeds = std::env::var("WINCHVANE_SEEDS").ok().and_then(|text| text.parse().ok());
    for seed in 0..seeds.unwrap_or(1_u64) {
        // The endpoints and clients of a day end with its runtime.
        let runtime = tokio::runtime::Runtime::new().expect("a runtime");
        runtime.block_on(run_day_with_restarts(seed));
        runtime.shutdown_timeout(Duration::from_secs(2));
    }
}

async fn run_day_with_restarts(seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let kind = if seed.is_multiple_of(2) { Kind::Adapter } else { Kind::Once };
    let mut brittle = Brittle::start(kind, RESTARTED_GATEWAYS, RESTARTED_LOAD, 67).await;
    brittle.become_brittle().await;
    let until = Instant::now() + RESTARTING;
    let killed = brittle.restart_gateways(&mut rng, until).await;
    let ends = brittle.ends();
    let read_after = brittle.read_after_final_fault().await;
    println!("seed {seed}, {kind:?}: {killed} killed, {ends} ends, read after {read_after:?}");
    brittle.system.stop("brittle-67");
    assert!(ends <= ENDS_MAX, "seed {seed}: {ends} ends, {ENDS_MAX} allowed");
    assert!(read_after <= READ_WITHIN, "seed {seed}: read after {read_after:?}");
}

#[parameterized(
    engines_at_few_gateways = { Kind::Adapter, 6, 2.0, 60 },
    engines_at_many_gateways = { Kind::Adapter, 40, 0.85, 61 },
    engines_at_many_gateways_overloaded = { Kind::Adapter, 40, 2.0, 62 },
    plain_at_few_gateways_overloaded = { Kind::Once, 6, 2.0, 63 },
    plain_at_many_gateways = { Kind::Once, 40, 0.85, 64 },
    plain_at_many_gateways_overloaded = { Kind::Once, 40, 2.0, 65 },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn brittle_endpoints_do_not_end_and_are_used(kind: Kind, gateways: u8, load: f64, block: u8) {
    let brittle = Brittle::start(kind, gateways, load, block).await;
    let from = brittle.run().await;
    brittle.stop_and_check(&format!("brittle-{block}"), load, from);
}
