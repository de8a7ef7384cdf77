//! Engines whose machines are lost: nothing closes their connections, and they never come back.

mod common;

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use common::System;
use winchvane_soak::client::{Try, start_repeating};
use winchvane_soak::record::End;
use winchvane_soak::region::Size;

const ENGINES: u8 = 6;
const VANISHING: usize = 2;
const CLIENTS: u32 = 16;
const PERIOD: Duration = Duration::from_millis(100);
/// The time for which clients send requests after the engines have vanished.
const LENGTH: Duration = Duration::from_secs(6);
/// The largest time of one request: the engine is silent for 0.4 s, is asked twice, and the request waits 0.65 s
/// before it is sent on.
const REFUSING_MAX: Duration = Duration::from_millis(2_500);
/// The same where the engine has to be asked for 2.3 s.
const UNANSWERED_MAX: Duration = Duration::from_secs(5);

/// Guards against requests that wait at a lost engine until their deadline of 10 s.
#[tokio::test(flavor = "multi_thread")]
async fn requests_at_engines_that_refuse_connections_are_sent_on() {
    check_requests_at_lost_engines(90, true, REFUSING_MAX).await;
}

/// The same where connections are taken and never answered.
#[tokio::test(flavor = "multi_thread")]
async fn requests_at_engines_that_answer_nothing_are_sent_on() {
    check_requests_at_lost_engines(91, false, UNANSWERED_MAX).await;
}

async fn check_requests_at_lost_engines(block: u8, refuses: bool, longest_max: Duration) {
    let size = Size { gateways: 3, endpoints: 1, engines: ENGINES, block };
    let system = System::start_with(size, 4).await;
    let tries: Arc<Mutex<Vec<(Try, Duration)>>> = Arc::default();
    let noted = tries.clone();
    let note: Arc<dyn Fn(Try) + Send + Sync> = Arc::new(move |tried| {
        let took = tried.sent_at.elapsed();
        noted.lock().expect("the lock is not poisoned").push((tried, took));
    });
    let gateways = system.region.gateway_addresses();
    let clients = start_repeating(&gateways, CLIENTS, PERIOD, &system.record, &note);
    // Until several engines hold the adapter.
    tokio::time::sleep(Duration::from_secs(4)).await;
    let mut vanished = 0;
    for engine in &system.region.engines {
        if vanished < VANISHING && engine.holds().contains("a1@") {
            engine.vanish(refuses);
            vanished += 1;
        }
    }
    let vanished_at = Instant::now();
    tokio::time::sleep(LENGTH + longest_max).await;
    for client in clients {
        client.abort();
    }
    let tries = tries.lock().expect("the lock is not poisoned").clone();
    let later: Vec<_> =
        tries.iter().filter(|(tried, took)| tried.sent_at + *took >= vanished_at).collect();
    let failed = later.iter().filter(|(tried, _)| tried.end != End::Served).count();
    let longest = later.iter().map(|(_, took)| *took).max().unwrap_or_default();
    // A request that still waits shows only in that its client got no answer lately.
    let ended_at = Instant::now();
    let mut answered = BTreeSet::new();
    for (tried, took) in &later {
        if tried.sent_at + *took + longest_max >= ended_at {
            answered.insert(tried.client);
        }
    }
    println!("{vanished} vanished; longest {longest:?} of {}, {failed} failed", later.len());
    let breaches = system.record.seen_breaches();
    system.stop(if refuses { "vanished-refusing" } else { "vanished-unanswered" });
    assert!(breaches.is_empty(), "{breaches:?}");
    assert_eq!(vanished, VANISHING, "engines vanished");
    assert_eq!(answered.len(), CLIENTS as usize, "clients that got an answer lately");
    assert!(longest <= longest_max, "a request took {longest:?}");
    assert_eq!(failed, 0, "of {} requests", later.len());
}
