//! Crashes of engines whose ports accept connections although no engine is there.

mod common;

use std::sync::Arc;
use std::time::{Duration, Instant};

use common::System;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use winchvane_soak::client::{ADAPTERS, Try, ask_for_adapter, start_repeating};
use winchvane_soak::engine::{CRASHING, Ends};
use winchvane_soak::record::End;
use winchvane_soak::region::Size;

/// How long after its third crash requests with the crashing body may reach engines unnoticed.
const KNOWN_WITHIN: Duration = Duration::from_secs(3);
/// How many engines may begin the crashing body after that.
const LATER_RUNS_MAX: usize = 3;
const CRASHING_PERIOD: Duration = Duration::from_millis(400);
const CLIENT_PAUSE: Duration = Duration::from_millis(10);
/// Streams take 0.4 s.
const EVENT_PAUSE: Duration = Duration::from_millis(50);

/// Starts a system with `clients` whose streams keep all engines busy at all gateways.
async fn start_busy(size: Size, clients: u32) -> System {
    let mut system = System::start_with(size, 12).await;
    system.stop_clients();
    for engine in &system.region.engines {
        engine.set_ends(Ends::ClosedBehindProxy);
        engine.set_event_pause(EVENT_PAUSE);
    }
    let ignore: Arc<dyn Fn(Try) + Send + Sync> = Arc::new(|_| {});
    let gateways = system.region.gateway_addresses();
    start_repeating(&gateways, clients, CLIENT_PAUSE, &system.record, &ignore);
    tokio::time::sleep(Duration::from_secs(3)).await;
    system
}

/// The names of the gateways whose logs, kept below `name`, have a line with all of `words`.
fn gateways_that_logged(name: &str, gateways: u8, words: &[&str]) -> Vec<u8> {
    let mut found = Vec::new();
    for gateway in 1..=gateways {
        let log = common::log_of(name, &format!("gateway-{gateway}"));
        if log.lines().any(|line| words.iter().all(|word| line.contains(word))) {
            found.push(gateway);
        }
    }
    found
}

#[tokio::test(flavor = "multi_thread")]
async fn each_gateway_reports_its_broken_streams_of_an_engine_behind_an_open_port() {
    let size = Size { gateways: 4, endpoints: 1, engines: 4, block: 140 };
    let system = start_busy(size, 32).await;
    for engine in 0..size.engines {
        system.region.engines[usize::from(engine)].crash_for_a_while();
        // Its next incarnation starts later, so that it proves nothing.
        tokio::time::sleep(Duration::from_millis(2_500)).await;
        let name = format!("open-port-{engine}");
        let id = format!("endpoint=e-{}@", engine + 1);
        system.keep_logs(&name);
        let broken = gateways_that_logged(&name, size.gateways, &["event=run_broken_off", &id]);
        let confirmed = gateways_that_logged(&name, size.gateways, &["event=crash_confirmed", &id]);
        println!("{id} broke off responses at {broken:?}, confirmed by {confirmed:?}");
        assert!(!broken.is_empty(), "the engine ran nothing");
        assert_eq!(confirmed, broken, "gateways that confirmed the crash of {id}");
        tokio::time::sleep(Duration::from_secs(3)).await;
    }
    let breaches = system.record.seen_breaches();
    system.stop("open-port");
    assert!(breaches.is_empty(), "{breaches:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_crashes_engines_behind_open_ports_is_held() {
    let size = Size { gateways: 7, endpoints: 1, engines: 12, block: 141 };
    let system = start_busy(size, 64).await;
    let gateways = system.region.gateway_addresses();
    let mut rng = SmallRng::seed_from_u64(141);
    let started = Instant::now();
    let mut sends = Vec::new();
    while started.elapsed() < Duration::from_secs(24) {
        let address = gateways[rng.random_range(0..gateways.len())];
        let record = system.record.clone();
        sends.push(tokio::spawn(async move {
            let sent_at = Instant::now();
            let (_, end) = ask_for_adapter(address, ADAPTERS[0], CRASHING, &record).await;
            (sent_at, end)
        }));
        tokio::time::sleep(CRASHING_PERIOD).await;
    }
    let mut refused_at = None;
    for send in sends {
        let (sent_at, end) = send.await.expect("it does not panic");
        if matches!(end, End::NotRun(_)) {
            refused_at.get_or_insert(sent_at);
        }
    }
    let runs = system.record.crashing();
    let known_at = runs.get(2).map(|third| *third + KNOWN_WITHIN);
    let later = runs.iter().filter(|at| known_at.is_some_and(|known_at| **at > known_at)).count();
    let refused_ms = refused_at.map(|at| at.duration_since(started).as_millis());
    let (sent, begun, most) = system.record.run_counts();
    println!("{sent} requests ran {begun} times, one of them {most} times");
    println!("{} engines crashed, {later} late, first refusal after {refused_ms:?} ms", runs.len());
    let breaches = system.record.seen_breaches();
    system.stop("open-ports");
    assert!(breaches.is_empty(), "{breaches:?}");
    assert!(runs.len() >= 3, "only {} engines crashed", runs.len());
    assert!(later <= LATER_RUNS_MAX, "{later} engines crashed late, {} in all", runs.len());
    assert!(refused_at.zip(known_at).is_some_and(|(at, known_at)| at <= known_at), "refused late");
}
