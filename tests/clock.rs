//! Leases and deadlines while the machine is suspended.
//!
//! The monotonic clock and the runtime's timers stop during a suspension, which made leases look
//! younger and deadlines further off than they were. A test cannot suspend the machine, so the time
//! source jumps here as it does across a suspension.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use winchvane::clock::{Clock, SinceBoot, TimeSource};
use winchvane::relay::{SEND_LEASE_MS, SendLease};

/// A time source that moves only in jumps.
#[derive(Debug)]
struct Jumps(AtomicU64);

impl TimeSource for Jumps {
    fn now_ms(&self) -> u64 {
        self.0.load(Ordering::SeqCst)
    }
}

#[test]
fn the_time_is_the_one_since_the_machine_started() {
    let uptime = std::fs::read_to_string("/proc/uptime").expect("/proc/uptime can be read");
    let uptime_s: f64 = uptime.split(' ').next().expect("a first number").parse().expect("seconds");
    let now_s = SinceBoot.now_ms() as f64 / 1_000.0;
    assert!((now_s - uptime_s).abs() < 0.5, "{now_s} and {uptime_s}");
    let clock = Clock::new();
    std::thread::sleep(Duration::from_millis(20));
    assert!((20..1_000).contains(&clock.now_ms()));
}

#[test]
fn an_order_lease_ends_while_the_machine_is_suspended() {
    static SOURCE: Jumps = Jumps(AtomicU64::new(5_000));
    let lease = SendLease::new(Clock::with_source(&SOURCE));
    lease.confirm(0);
    assert!(lease.holds());
    SOURCE.0.fetch_add(SEND_LEASE_MS, Ordering::SeqCst);
    assert!(!lease.holds());
}

#[tokio::test]
async fn a_wait_whose_time_passed_while_the_machine_was_suspended_ends_soon() {
    static SOURCE: Jumps = Jumps(AtomicU64::new(0));
    let clock = Clock::with_source(&SOURCE);
    let started = Instant::now();
    let wait =
        tokio::spawn(async move { clock.timeout_at(60_000, std::future::pending::<()>()).await });
    tokio::time::sleep(Duration::from_millis(20)).await;
    SOURCE.0.fetch_add(60_000, Ordering::SeqCst);
    assert!(wait.await.expect("the task does not panic").is_none());
    assert!(started.elapsed() < Duration::from_secs(2), "{:?}", started.elapsed());
}

#[tokio::test]
async fn what_ends_in_time_is_given_back() {
    let clock = Clock::new();
    assert_eq!(clock.timeout_at(clock.now_ms() + 1_000, async { 7 }).await, Some(7));
}
