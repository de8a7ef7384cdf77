//! Streams under way when all connections to endpoints fall silent, at gateways that have run for longer
//! than the window of their retry budgets.

mod common;

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use common::System;
use winchvane_soak::client::ask_for_stream;
use winchvane_soak::proxy::Silence;
use winchvane_soak::record::End;
use winchvane_soak::region::Size;

const SIZE: Size = Size { gateways: 3, endpoints: 8, engines: 2, block: 135 };
const ADAPTER_CLIENTS: u32 = 4;
const STREAM_CLIENTS: usize = 48;
/// The pause before each of the 8 events of a stream.
const EVENT_PAUSE: Duration = Duration::from_millis(250);
const CLIENT_PAUSE: Duration = Duration::from_millis(20);
const DEADLINE: Duration = Duration::from_secs(11);
/// Longer than the window of the retry budgets.
const STEADY_AFTER: Duration = Duration::from_secs(12);
const SILENCES: u32 = 2;
const SILENCES_PAUSE: Duration = Duration::from_secs(5);
/// The share of the streams under way that have to end whole.
const WHOLE_MIN: f64 = 0.95;

/// A stream that has ended.
struct Ended {
    sent_at: Instant,
    ended_at: Instant,
    is_whole: bool,
}

impl Ended {
    fn was_under_way(&self, at: Instant) -> bool {
        self.sent_at < at && at < self.ended_at
    }
}

/// Prints how often each value of `field` occurs in the lines of `event`.
fn print_counts(log: &str, event: &str, field: &str) {
    let mut counts = BTreeMap::<&str, usize>::new();
    for line in log.lines() {
        if !line.contains(&format!("event={event} ")) {
            continue;
        }
        let Some((_, value)) = line.split_once(&format!(" {field}=")) else { continue };
        let value = match value.strip_prefix('"') {
            Some(quoted) => quoted.split('"').next(),
            None => value.split(' ').next(),
        };
        *counts.entry(value.unwrap_or_default()).or_default() += 1;
    }
    println!("{event} by {field}: {counts:?}");
}

/// Guards against streams that wait for their deadlines on silent connections although retries are left.
#[tokio::test(flavor = "multi_thread")]
async fn streams_under_way_at_steady_gateways_end_whole_when_connections_fall_silent() {
    let system = System::start_with(SIZE, ADAPTER_CLIENTS).await;
    for endpoint in &system.region.endpoints {
        endpoint.set_event_pause(EVENT_PAUSE);
    }
    let gateways = system.region.gateway_addresses();
    let ended = Arc::new(Mutex::new(Vec::new()));
    let mut clients = Vec::new();
    for client in 0..STREAM_CLIENTS {
        let (gateways, record) = (gateways.clone(), system.record.clone());
        let ended = ended.clone();
        clients.push(tokio::spawn(async move {
            for turn in client.. {
                let sent_at = Instant::now();
                let gateway = gateways[turn % gateways.len()];
                let end = ask_for_stream(gateway, DEADLINE, &record).await;
                let (ended_at, is_whole) = (Instant::now(), end == End::Served);
                let stream = Ended { sent_at, ended_at, is_whole };
                ended.lock().expect("the lock is not poisoned").push(stream);
                tokio::time::sleep(CLIENT_PAUSE).await;
            }
        }));
    }
    tokio::time::sleep(STEADY_AFTER).await;
    let mut silent_at = Vec::new();
    for _ in 0..SILENCES {
        silent_at.push(Instant::now());
        system.region.silence_endpoints(Silence::Both);
        tokio::time::sleep(SILENCES_PAUSE).await;
    }
    // All streams that were under way have ended by then.
    tokio::time::sleep(DEADLINE).await;
    for client in clients {
        client.abort();
    }
    let breaches = system.record.seen_breaches();
    let log = system.stop("steady-gateways");
    print_counts(&log, "answer_doubted", "not_continued");
    print_counts(&log, "not_continued", "reason");
    print_counts(&log, "retry", "allowed");
    let ended = std::mem::take(&mut *ended.lock().expect("the lock is not poisoned"));
    let was_hit = |stream: &&Ended| silent_at.iter().any(|at| stream.was_under_way(*at));
    let streams: Vec<_> = ended.iter().filter(was_hit).collect();
    let (under_way, whole) = (streams.len(), streams.iter().filter(|it| it.is_whole).count());
    let has_waited = |it: &&&Ended| it.ended_at - it.sent_at + EVENT_PAUSE > DEADLINE;
    let waited = streams.iter().filter(has_waited).count();
    println!("{waited} waited for their deadline");
    let share = whole as f64 / under_way as f64;
    println!("{whole} of {under_way} streams under way whole, of {} in all", ended.len());
    assert!(breaches.is_empty(), "{breaches:?}");
    assert!(share >= WHOLE_MIN, "{share}");
}
