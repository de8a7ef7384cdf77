//! Engines whose streams pause for as long as clients allow, while they answer everything else in time.

mod common;

use std::sync::{Arc, Mutex};
use std::time::Duration;

use common::System;
use winchvane_soak::client::Try;
use winchvane_soak::engine::LateEvents;
use winchvane_soak::operator::put;
use winchvane_soak::random_gateway_clients::RandomGatewayClients;
use winchvane_soak::record::{End, Kind};
use winchvane_soak::region::Size;

const CLIENTS: u32 = 32;
const ENGINES: u8 = 6;
const PAUSES: LateEvents = LateEvents { percent: 8, by: Duration::from_millis(1_200) };
const PLAYED: Duration = Duration::from_secs(12);
const CONFIGURATION_EVERY: Duration = Duration::from_millis(500);

/// Guards against streams that are given up for a pause of their engine.
#[tokio::test(flavor = "multi_thread")]
async fn streams_are_whole_while_engines_pause_and_the_configuration_changes() {
    let size = Size { gateways: 3, endpoints: 1, engines: ENGINES, block: 130 };
    let system = System::start_with(size, 4).await;
    let tries = Arc::new(Mutex::new(Vec::new()));
    let noted = tries.clone();
    let note: Arc<dyn Fn(Try) + Send + Sync> = Arc::new(move |tried| {
        noted.lock().expect("the lock is not poisoned").push(tried);
    });
    let clients = RandomGatewayClients {
        kind: Kind::Adapter,
        gateways: system.region.gateway_addresses(),
        clients: CLIENTS,
        pause: Duration::from_millis(20),
        retries: true,
        seed: 130,
    };
    let clients = clients.start(&system.record, &note);
    tokio::time::sleep(Duration::from_secs(3)).await;
    for engine in &system.region.engines {
        engine.set_late_events(PAUSES);
    }
    tries.lock().expect("the lock is not poisoned").clear();
    let control = system.region.control_addresses();
    let changes = (PLAYED.as_millis() / CONFIGURATION_EVERY.as_millis()) as u64;
    for change in 0..changes {
        put(&control, 0, 10 + change, &system.record).await;
        tokio::time::sleep(CONFIGURATION_EVERY).await;
    }
    for client in clients {
        client.abort();
    }
    let breaches = system.record.seen_breaches();
    let log = system.stop("pausing-engines");
    let tries = std::mem::take(&mut *tries.lock().expect("the lock is not poisoned"));
    let broken = log.lines().filter(|line| line.contains("event=stream_broken")).count();
    let lost = tries.iter().filter(|tried| matches!(tried.end, End::Unknown(_))).count();
    let taken_over = log.matches("event=answer_taken_over").count();
    println!("{} tries, {lost} lost, {broken} broken, {taken_over} taken over", tries.len());
    assert!(breaches.is_empty(), "{breaches:?}");
    assert!(tries.len() > 100, "{} tries", tries.len());
    assert_eq!((lost, broken), (0, 0), "of {} tries", tries.len());
}
