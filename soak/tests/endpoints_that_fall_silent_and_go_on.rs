//! Endpoints, gateways and replicas that stand still as a whole for a second and go on: requests, probes
//! and heartbeats wait.

mod common;

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use common::System;
use nix::sys::signal::Signal;
use tokio::sync::Mutex as AsyncMutex;
use winchvane_soak::client::Try;
use winchvane_soak::endpoint::SLOTS;
use winchvane_soak::faults::SILENT_FOR_A_SECOND;
use winchvane_soak::open_load::OpenLoad;
use winchvane_soak::record::{End, Kind};
use winchvane_soak::region::{Size, Slots};
use yare::parameterized;

const ENDPOINTS: u8 = 6;
const DEADLINE_MS: u64 = 2_500;
const DEADLINE: Duration = Duration::from_millis(DEADLINE_MS);
/// Two thirds of the requests may be repeated.
const REPEATABLE_PER_S: f64 = 40.0;
const ONCE_PER_S: f64 = 20.0;
/// How often each endpoint falls silent.
const ROUNDS: u32 = 2;
const WARM_UP: Duration = Duration::from_secs(3);

type Tries = Arc<Mutex<Vec<(Try, Duration)>>>;

fn start_load(system: &System, kind: Kind, per_s: f64, seed: u64) -> Tries {
    let tries = Tries::default();
    let noted = tries.clone();
    let note: Arc<dyn Fn(Try) + Send + Sync> = Arc::new(move |tried| {
        let took = tried.sent_at.elapsed();
        noted.lock().expect("the lock is not poisoned").push((tried, took));
    });
    let gateways = system.region.gateway_addresses();
    let load = OpenLoad { kind, gateways, per_s, deadline_ms: DEADLINE_MS, seed };
    load.start(&system.record, &note);
    tries
}

/// Prints and returns the tries sent in `from..until` that failed, with the time that each took.
fn failed(name: &str, tries: &Tries, from: Instant, until: Instant) -> Vec<(End, Duration)> {
    let tries = tries.lock().expect("the lock is not poisoned");
    let (mut sent, mut failed, mut slowest) = (0, Vec::new(), Duration::ZERO);
    for (tried, took) in tries.iter().filter(|(tried, _)| (from..until).contains(&tried.sent_at)) {
        sent += 1;
        slowest = slowest.max(*took);
        if tried.end != End::Served || *took > DEADLINE {
            failed.push((tried.end.clone(), *took));
        }
    }
    println!("{name}: {} of {sent} failed, the slowest took {slowest:?}: {failed:?}", failed.len());
    assert!(sent > 100, "{sent} were sent");
    failed
}

/// Those that fall silent by turns.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Silent {
    Endpoints,
    GatewaysAndReplicas,
}

/// Lets each one fall silent and go on.
async fn fall_silent_by_turns(system: &mut System, silent: Silent) {
    if silent == Silent::GatewaysAndReplicas {
        for program in &mut system.region.programs {
            program.signal(Signal::SIGSTOP);
            tokio::time::sleep(SILENT_FOR_A_SECOND).await;
            program.signal(Signal::SIGCONT);
        }
        return;
    }
    for endpoint in &system.region.endpoints {
        endpoint.set_silent(true);
        tokio::time::sleep(SILENT_FOR_A_SECOND).await;
        endpoint.set_silent(false);
    }
}

/// The tests run one after the other, since each has eight processes.
static TURN: AsyncMutex<()> = AsyncMutex::const_new(());

/// Guards against requests that are lost, or run twice, because something sound is silent for a second.
#[parameterized(
    endpoints = { Silent::Endpoints, SLOTS, 15, 131 },
    busy_endpoints = { Silent::Endpoints, 4, 150, 132 },
    gateways_and_replicas = { Silent::GatewaysAndReplicas, SLOTS, 15, 133 },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn no_request_is_lost_while_some_fall_silent_by_turns_and_go_on(
    silent: Silent,
    slots: u32,
    work_ms: u64,
    block: u8,
) {
    let _turn = TURN.lock().await;
    let size = Size { gateways: 3, endpoints: ENDPOINTS, engines: 2, block };
    let slots = Slots { endpoint: slots, ..Slots::default() };
    let mut system = System::start_with_slots(size, slots, 4).await;
    system.stop_clients();
    for endpoint in &system.region.endpoints {
        endpoint.set_work(Duration::from_millis(work_ms));
    }
    let repeatable = start_load(&system, Kind::Any, REPEATABLE_PER_S, block.into());
    let once = start_load(&system, Kind::Once, ONCE_PER_S, u64::from(block) + 1);
    tokio::time::sleep(WARM_UP).await;
    let from = Instant::now();
    for _ in 0..ROUNDS {
        fall_silent_by_turns(&mut system, silent).await;
    }
    let until = Instant::now();
    // The last requests end within their deadline.
    tokio::time::sleep(DEADLINE + Duration::from_secs(1)).await;
    let breaches = system.record.seen_breaches();
    system.stop(&format!("fall-silent-{block}"));
    let repeatable = failed("repeatable", &repeatable, from, until);
    let once = failed("once", &once, from, until);
    assert!(breaches.is_empty(), "{breaches:?}");
    assert!(repeatable.is_empty(), "{repeatable:?}");
    assert!(once.is_empty(), "{once:?}");
}
