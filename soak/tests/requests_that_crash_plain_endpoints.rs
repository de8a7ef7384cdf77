//! Requests for whole answers that crash the endpoints of a small plain service, and requests that were
//! there by chance.

mod common;

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use common::System;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use tokio::task::JoinHandle;
use winchvane_soak::client::ask_for_path;
use winchvane_soak::record::{End, Kind};
use winchvane_soak::region::{Port, Size, Slots};
use yare::parameterized;

/// How long after its third crash the system has to know such a request.
const KNOWN_WITHIN: Duration = Duration::from_secs(3);
/// How many endpoints may begin it after that.
const LATER_RUNS_MAX: usize = 3;
const WORK: Duration = Duration::from_millis(30);
const CRASHING_PERIOD: Duration = Duration::from_millis(300);
const SENT_FOR: Duration = Duration::from_secs(20);
/// When ordinary requests are served again, counted from the first crashing request.
const CALM_AFTER: Duration = Duration::from_secs(12);
const ORDINARY_CLIENTS: usize = 12;
const ORDINARY_PERIOD: Duration = Duration::from_millis(100);
const BACK_AFTER: Duration = Duration::from_secs(2);

/// Each has a dozen processes, so they run one after the other.
static ONE_REGION: tokio::sync::Mutex<()> = tokio::sync::Mutex::const_new(());

/// Crashing requests and the service that gets them.
#[derive(Clone, Copy)]
struct Crashing {
    kind: Kind,
    port: Port,
    endpoints: u8,
    /// The number of different paths, sent by turns.
    contents: usize,
    back_after: Duration,
    /// True if no two ordinary requests are alike.
    all_differ: bool,
    block: u8,
}

impl Crashing {
    /// One GET at three endpoints whose ports stay open.
    fn new(block: u8) -> Self {
        let (kind, port, back_after) = (Kind::Any, Port::StaysOpen, BACK_AFTER);
        Self { kind, port, endpoints: 3, contents: 1, back_after, all_differ: false, block }
    }
}

/// A request of an ordinary client: when it was sent, and whether it was served.
type Sent = (Instant, bool);

struct Ordinary {
    sent: Arc<Mutex<Vec<Sent>>>,
    clients: Vec<JoinHandle<()>>,
}

impl Ordinary {
    fn start(system: &System, all_differ: bool) -> Self {
        let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
        let mut clients = Vec::new();
        for client in 0..ORDINARY_CLIENTS {
            let gateways = system.region.gateway_addresses();
            let (record, noted) = (system.record.clone(), sent.clone());
            clients.push(tokio::spawn(async move {
                for turn in client.. {
                    let asked_at = Instant::now();
                    let number = if all_differ { turn } else { 0 };
                    let path = format!("/any/{client}-{number}");
                    let address = gateways[turn % gateways.len()];
                    let (_, end) = ask_for_path(address, Kind::Any, &path, &record).await;
                    let served = end == End::Served;
                    noted.lock().expect("nobody panics with it").push((asked_at, served));
                    tokio::time::sleep(ORDINARY_PERIOD).await;
                }
            }));
        }
        Self { sent, clients }
    }

    /// How many were sent since `from`, and how many of them were not served.
    fn since(&self, from: Instant) -> (usize, usize) {
        let sent = self.sent.lock().expect("nobody panics with it");
        let later: Vec<_> = sent.iter().filter(|(at, _)| *at >= from).collect();
        (later.len(), later.iter().filter(|(_, served)| !served).count())
    }

    fn stop(self) {
        for client in self.clients {
            client.abort();
        }
    }
}

async fn start(size: Size, port: Port, back_after: Duration) -> System {
    let slots = Slots { port, ..Slots::default() };
    let mut system = System::start_with_slots(size, slots, 2).await;
    system.stop_clients();
    for endpoint in &system.region.endpoints {
        endpoint.set_work(WORK);
        endpoint.set_restarts_after(back_after);
    }
    system
}

/// The contents and parts that are held according to `logs`.
fn held(logs: &str) -> BTreeSet<&str> {
    let lines = logs.lines().filter(|line| line.contains("event=request_held"));
    lines.filter_map(|line| line.split_whitespace().find(|word| word.starts_with("key="))).collect()
}

/// Sends the crashing requests for `SENT_FOR`, each to a gateway drawn by lot.
async fn send_crashing(system: &System, crashing: &Crashing) {
    let mut rng = SmallRng::seed_from_u64(crashing.block.into());
    let gateways = system.region.gateway_addresses();
    let until = Instant::now() + SENT_FOR;
    let mut sends = Vec::new();
    while Instant::now() < until {
        let address = gateways[rng.random_range(0..gateways.len())];
        let prefix = if crashing.kind == Kind::Any { "any" } else { "once" };
        let path = format!("/{prefix}/crash-{}", sends.len() % crashing.contents);
        let (record, kind) = (system.record.clone(), crashing.kind);
        sends.push(tokio::spawn(async move {
            let (id, end) = ask_for_path(address, kind, &path, &record).await;
            if matches!(end, End::NotRun(_)) && record.has_run(&id) {
                record.breach(format!("{id} has run and its client was told that it has not"));
            }
        }));
        tokio::time::sleep(CRASHING_PERIOD).await;
    }
    for send in sends {
        send.await.expect("it does not panic");
    }
}

#[parameterized(
    get_at_open_ports = { Crashing::new(150) },
    post_at_open_ports = { Crashing { kind: Kind::Once, ..Crashing::new(151) } },
    get_at_closed_ports = { Crashing { port: Port::Closes, ..Crashing::new(152) } },
    post_at_closed_ports = { Crashing { kind: Kind::Once, port: Port::Closes, ..Crashing::new(153) } },
    get_at_silent_ports = { Crashing { port: Port::IsSilent, ..Crashing::new(163) } },
    post_at_silent_ports = {
        Crashing { kind: Kind::Once, port: Port::IsSilent, ..Crashing::new(164) }
    },
    three_by_turns = { Crashing { contents: 3, ..Crashing::new(154) } },
    at_two_endpoints = { Crashing { endpoints: 2, ..Crashing::new(155) } },
    at_ten_endpoints = { Crashing { endpoints: 10, ..Crashing::new(156) } },
    soon_back = { Crashing { back_after: Duration::from_millis(500), ..Crashing::new(157) } },
    late_back = { Crashing { back_after: Duration::from_secs(6), ..Crashing::new(158) } },
    beside_contents_that_all_differ = { Crashing { all_differ: true, ..Crashing::new(159) } },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn requests_that_crash_plain_endpoints_are_held(crashing: Crashing) {
    let _alone = ONE_REGION.lock().await;
    let Crashing { endpoints, contents, block, .. } = crashing;
    let size = Size { gateways: 7, endpoints, engines: 1, block };
    let system = start(size, crashing.port, crashing.back_after).await;
    let ordinary = Ordinary::start(&system, crashing.all_differ);
    tokio::time::sleep(Duration::from_secs(2)).await;
    let calm_at = Instant::now() + CALM_AFTER;
    send_crashing(&system, &crashing).await;
    let (sent, failed) = ordinary.since(calm_at);
    ordinary.stop();
    let runs = system.record.crashing().len();
    let mut later = Vec::new();
    for begun in system.record.crashing_by_cause().values() {
        let known_at = begun.get(2).map(|third| *third + KNOWN_WITHIN);
        let is_late = |at: &&Instant| known_at.is_some_and(|known_at| **at > known_at);
        later.push(begun.iter().filter(is_late).count());
    }
    println!("{runs} crashes, {later:?} late; {failed} of {sent} ordinary requests failed");
    let breaches = system.record.seen_breaches();
    let logs = system.stop(&format!("crashing-plain-{block}"));
    let held = held(&logs);
    assert!(breaches.is_empty(), "{breaches:?}");
    assert!(runs >= 3 * contents, "only {runs} crashes");
    assert!(later.iter().all(|later| *later <= LATER_RUNS_MAX), "{later:?} late, {runs} in all");
    assert!(held.len() <= contents, "innocent requests are held: {held:?}");
    assert!(failed * 20 <= sent, "{failed} of {sent} ordinary requests failed");
}

#[parameterized(
    one_by_lot = { 1, Duration::from_millis(1_500), false, 160 },
    one_by_lot_beside_contents_that_all_differ = { 1, Duration::from_millis(1_500), true, 161 },
    all_at_once = { 3, Duration::from_secs(6), false, 162 },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn requests_at_plain_endpoints_that_crash_by_themselves_are_not_held(
    at_once: usize,
    period: Duration,
    all_differ: bool,
    block: u8,
) {
    let _alone = ONE_REGION.lock().await;
    let size = Size { gateways: 7, endpoints: 3, engines: 1, block };
    let system = start(size, Port::StaysOpen, BACK_AFTER).await;
    let ordinary = Ordinary::start(&system, all_differ);
    let mut rng = SmallRng::seed_from_u64(block.into());
    let until = Instant::now() + Duration::from_secs(15);
    while Instant::now() < until {
        tokio::time::sleep(period).await;
        let first = rng.random_range(0..system.region.endpoints.len());
        for endpoint in system.region.endpoints.iter().cycle().skip(first).take(at_once) {
            endpoint.crash_for_a_while();
        }
    }
    tokio::time::sleep(BACK_AFTER + Duration::from_secs(3)).await;
    let calm_at = Instant::now();
    tokio::time::sleep(Duration::from_secs(3)).await;
    let (sent, failed) = ordinary.since(calm_at);
    ordinary.stop();
    let breaches = system.record.seen_breaches();
    let logs = system.stop(&format!("by-lot-plain-{block}"));
    let held = held(&logs);
    println!("{failed} of {sent} ordinary requests failed once it was calm, held: {held:?}");
    assert!(breaches.is_empty(), "{breaches:?}");
    assert!(logs.contains("event=endpoint_crashed"), "no crash was seen");
    assert!(held.is_empty(), "innocent requests are held: {held:?}");
    assert_eq!(failed, 0, "of {sent} ordinary requests");
}
