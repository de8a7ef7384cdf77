//! Parts of prompts that crash each engine which begins a request with them, whatever else the
//! request holds, and sound requests that share their other parts.

mod common;

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use common::System;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use winchvane_soak::client::ask_with_prompt;
use winchvane_soak::record::End;
use winchvane_soak::region::Size;

const ENGINES: u8 = 10;
/// The number of crashes after which the part has to be known.
const CRASHES_TO_KNOW: usize = 5;
/// How long after that crash requests with the part may still reach engines, and how many may later.
const KNOWN_WITHIN: Duration = Duration::from_secs(3);
const LATER_RUNS_MAX: usize = 3;
/// How long after that crash sound requests may be served less often.
const SOUND_AGAIN_WITHIN: Duration = Duration::from_secs(6);
const CALM: Duration = Duration::from_secs(4);
const SOUND_CLIENTS: u64 = 16;
const SOUND_PERIOD: Duration = Duration::from_millis(100);
const SOUND_SHARED: &str = "5ea1:200,1:80,2:100";

type Tries = Arc<Mutex<Vec<(Instant, bool)>>>;

/// Starts clients whose requests share all parts but the last; records which were served.
fn start_sound_clients(system: &System) -> (Tries, Vec<tokio::task::JoinHandle<()>>) {
    let tries = Tries::default();
    let gateways = system.region.gateway_addresses();
    let mut clients = Vec::new();
    for client in 0..SOUND_CLIENTS {
        let (tries, gateways, record) = (tries.clone(), gateways.clone(), system.record.clone());
        clients.push(tokio::spawn(async move {
            for turn in client.. {
                let prompt = format!("{SOUND_SHARED},{client:x}{turn:04x}:40");
                let sent_at = Instant::now();
                let gateway = gateways[turn as usize % gateways.len()];
                let (_, end) = ask_with_prompt(gateway, &prompt, &record).await;
                tries.lock().expect("no thread panicked").push((sent_at, end == End::Served));
                tokio::time::sleep(SOUND_PERIOD).await;
            }
        }));
    }
    (tries, clients)
}

/// Sends requests that share `prefixes` by turns and nothing else, each to a random gateway.
async fn send_crashing(system: &System, prefixes: &[&str], period: Duration, length: Duration) {
    let gateways = system.region.gateway_addresses();
    let mut rng = SmallRng::seed_from_u64(59);
    let until = Instant::now() + length;
    let mut sends = Vec::new();
    while Instant::now() < until {
        let number = sends.len();
        let prompt = format!("{},bad{number:05x}:40", prefixes[number % prefixes.len()]);
        let gateway = gateways[rng.random_range(0..gateways.len())];
        let record = system.record.clone();
        sends.push(tokio::spawn(async move {
            let (id, end) = ask_with_prompt(gateway, &prompt, &record).await;
            if matches!(end, End::NotRun(_)) && record.has_run(&id) {
                record.breach(format!("{id} has run and its client got that it has not"));
            }
        }));
        tokio::time::sleep(period).await;
    }
    for send in sends {
        send.await.expect("it does not panic");
    }
}

/// The share of the requests sent from `from` to `until` that was served, and their number.
fn served(tries: &Tries, from: Instant, until: Instant) -> (f64, usize) {
    let tries = tries.lock().expect("no thread panicked");
    let sent: Vec<bool> =
        tries.iter().filter(|(at, _)| (from..until).contains(at)).map(|(_, is)| *is).collect();
    let served = sent.iter().filter(|is_served| **is_served).count();
    (served as f64 / sent.len().max(1) as f64, sent.len())
}

/// Checks that each part is kept from the engines and sound requests are served all the same.
async fn check(block: u8, name: &str, prefixes: &[&str], period: Duration, length: Duration) {
    let size = Size { gateways: 3, endpoints: 1, engines: ENGINES, block };
    let system = System::start_with(size, 4).await;
    let (tries, clients) = start_sound_clients(&system);
    let started = Instant::now();
    tokio::time::sleep(CALM).await;
    let calm_until = Instant::now();
    send_crashing(&system, prefixes, period, length).await;
    let ended = Instant::now();
    let mut later = Vec::new();
    let mut known_at = calm_until;
    for begun in system.record.crashing_by_cause().values() {
        let Some(last) = begun.get(CRASHES_TO_KNOW - 1) else { continue };
        later.push(begun.iter().filter(|at| **at > *last + KNOWN_WITHIN).count());
        known_at = known_at.max(*last);
    }
    let crashed = system.record.crashing().len();
    let (before, _) = served(&tries, started, calm_until);
    let (after, sent) = served(&tries, known_at + SOUND_AGAIN_WITHIN, ended);
    println!(
        "{crashed} engines crashed, {later:?} later; sound {before:.3} -> {after:.3} of {sent}"
    );
    for client in clients {
        client.abort();
    }
    let breaches = system.record.seen_breaches();
    system.stop(name);
    assert!(breaches.is_empty(), "{breaches:?}");
    assert!(later.iter().all(|later| *later <= LATER_RUNS_MAX), "{later:?} engines later");
    assert!(sent > 20, "{sent} sound requests");
    assert!(after * 2.0 >= before, "sound requests served: {before:.3} -> {after:.3}");
}

const OFTEN: Duration = Duration::from_millis(250);
const LENGTH: Duration = Duration::from_secs(20);

#[tokio::test(flavor = "multi_thread")]
async fn a_middle_part_that_crashes_engines_is_kept_from_them() {
    check(90, "middle-part", &["5ea1:200,dead1:80,2:100"], OFTEN, LENGTH).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_first_part_that_crashes_engines_is_kept_from_them() {
    check(91, "first-part", &["dead2:200,1:80"], OFTEN, LENGTH).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn two_parts_that_crash_engines_by_turns_are_each_kept_from_them() {
    let prefixes = ["5ea1:200,dead3:80,2:100", "5ea1:200,1:80,dead4:100"];
    check(92, "two-parts", &prefixes, OFTEN, LENGTH).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_part_that_crashes_engines_now_and_then_is_kept_from_them() {
    let period = Duration::from_secs(1);
    check(93, "rare-part", &["5ea1:200,dead5:80,2:100"], period, LENGTH).await;
}
