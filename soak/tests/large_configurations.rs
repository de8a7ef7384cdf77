//! Changes of a large configuration in quick succession: control stays within its instance's memory
//! and disk, however many there are.
//!
//! `WINCHVANE_CHANGES` sets how many changes each run makes. Started by hand, with optimized programs:
//! `cargo test --release -p winchvane-soak --test large_configurations -- --include-ignored --test-threads 1`.
//! The workspace's tests run a small instance, and check the same bounds without processes (`history`,
//! `outbox`, `log_bytes`, `admission`, `change_budget`).

mod common;

use std::time::Duration;

use common::System;
use common::large::{Changes, Seen, Trouble, run};
use winchvane_soak::region::{Size, Slots};
use yare::parameterized;

/// The memory and the disk of the smallest instance that runs control.
const MEMORY_KB: u64 = 256_000;
const DISK_BYTES: u64 = 128_000_000;
/// Half of that memory, for the largest configurations of today.
const AIM_KB: u64 = MEMORY_KB / 2;
/// The time within which a version is in force at a gateway that has been in touch.
const APPLIED: Duration = Duration::from_secs(2);
const ACKNOWLEDGED: Duration = Duration::from_secs(1);

fn versions(usual: u64) -> u64 {
    let set = std::env::var("WINCHVANE_CHANGES").ok();
    set.and_then(|changes| changes.parse().ok()).unwrap_or(usual)
}

async fn play(block: u8, changes: Changes) -> Seen {
    play_with(block, Slots::default(), changes).await
}

async fn play_with(block: u8, slots: Slots, changes: Changes) -> Seen {
    let size = Size { gateways: 3, endpoints: 1, engines: 3, block };
    let memory_kb = slots.control_memory_mb * 1_000;
    let mut system = System::start_with_slots(size, slots, 4).await;
    let seen = run(&mut system.region, changes).await;
    let exits = system.region.exits();
    system.stop(&format!("large-{block}"));
    assert!(exits.is_empty(), "{exits:?}");
    assert!(seen.control_peak_kb.iter().all(|peak_kb| *peak_kb <= memory_kb), "{seen:?}");
    assert!(seen.stored_max_bytes <= DISK_BYTES, "{seen:?}");
    seen
}

/// The same changes beside a trouble.
#[parameterized(
    gateway_stands_still = { 131, Trouble::GatewayStandsStill, 1, 5_600 },
    replica_stands_still = { 132, Trouble::ReplicaStandsStill, 1, 5_600 },
    replica_killed = { 133, Trouble::ReplicaKilled, 1, 5_600 },
    all_replicas_killed = { 134, Trouble::AllReplicasKilled, 1, 5_600 },
    readers_that_take_nothing = { 135, Trouble::SilentReaders(150), 1, 5_600 },
    slow_gateway = { 169, Trouble::SlowGateway, 1, 5_600 },
    many_senders = { 136, Trouble::None, 40, 5_600 },
    twice_as_large = { 137, Trouble::None, 1, 11_200 },
    twice_as_large_and_slow = { 170, Trouble::SlowGateway, 1, 11_200 },
    twice_as_large_and_killed = { 138, Trouble::AllReplicasKilled, 1, 11_200 },
    twice_as_large_from_many_senders = { 139, Trouble::None, 40, 11_200 },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
#[ignore = "a run of all of them takes minutes; started by hand"]
async fn control_keeps_its_memory(block: u8, trouble: Trouble, senders: u64, routes: usize) {
    let seen = play(block, Changes { routes, versions: versions(200), senders, trouble }).await;
    assert!(seen.slowest_applied <= APPLIED, "{seen:?}");
    assert!(seen.acknowledged > 0, "{seen:?}");
}

/// Guards against a memory of control that grows with each change: it kept each version of the
/// configuration.
#[tokio::test(flavor = "multi_thread")]
#[cfg_attr(debug_assertions, ignore = "unoptimized programs take minutes for it")]
async fn control_keeps_its_memory_through_many_changes() {
    let changes =
        Changes { routes: 5_600, versions: versions(200), senders: 1, trouble: Trouble::None };
    let seen = play(130, changes).await;
    assert!(seen.control_peak_kb.iter().all(|peak_kb| *peak_kb <= AIM_KB), "{seen:?}");
    assert!(seen.slowest_applied <= APPLIED, "{seen:?}");
    assert!(seen.slowest_ack <= ACKNOWLEDGED, "{seen:?}");
    assert!(seen.others.is_empty(), "{seen:?}");
}

/// Guards against the same in programs that are not optimized: less memory, and fewer routes.
#[tokio::test(flavor = "multi_thread")]
async fn control_of_a_small_instance_keeps_its_memory_through_many_changes() {
    let slots = Slots { control_memory_mb: 48, ..Slots::default() };
    let changes =
        Changes { routes: 1_400, versions: versions(100), senders: 1, trouble: Trouble::None };
    let seen = play_with(168, slots, changes).await;
    assert!(seen.slowest_applied <= APPLIED, "{seen:?}");
    assert!(seen.acknowledged * 10 >= changes.versions * 9, "{seen:?}");
}
