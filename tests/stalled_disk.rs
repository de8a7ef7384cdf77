//! A replica whose disk takes a write and does not come back for a while.

mod common;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, RwLock};
use std::thread;
use std::time::Duration;

use tokio::sync::watch;
use winchvane::clock::Clock;
use winchvane::control::api::{CallOutcome, ControlApi};
use winchvane::control::distribution;
use winchvane::control::raft::{Entry, HardState, Snapshot, Timing};
use winchvane::control::serving::{Running, Stage};
use winchvane::control::storage::{Batch, Storage};
use winchvane::error::Result;
use winchvane::message::{ControlRequest, NewestVersion, WeightsName};

/// What a caller may wait for the address of the leader.
const ANSWER_MAX: Duration = Duration::from_millis(200);
const POLL: Duration = Duration::from_millis(5);

/// Keeps nothing, and does not return from a write while told so.
struct StalledDisk {
    stalls: Arc<AtomicBool>,
    writes: Arc<AtomicBool>,
}

impl StalledDisk {
    fn write(&self) {
        self.writes.store(true, Ordering::SeqCst);
        while self.stalls.load(Ordering::SeqCst) {
            thread::sleep(POLL);
        }
    }
}

impl Storage for StalledDisk {
    fn save(&mut self, _: &Batch) -> Result<()> {
        self.write();
        Ok(())
    }

    fn save_snapshot(&mut self, _: &Snapshot, _: HardState, _: &[Entry]) -> Result<()> {
        self.write();
        Ok(())
    }

    fn load_snapshot(&self) -> Result<Option<Snapshot>> {
        Ok(None)
    }
}

fn named(version: u64) -> ControlRequest {
    let name = WeightsName { model: "m".into(), adapter: Some("a".into()) };
    ControlRequest::PutVersion(NewestVersion { name, version })
}

#[tokio::test]
async fn a_follower_whose_disk_stalls_still_tells_who_leads() {
    let (stalls, writes) = (Arc::new(AtomicBool::new(true)), Arc::new(AtomicBool::new(false)));
    let disk = StalledDisk { stalls: stalls.clone(), writes: writes.clone() };
    let replica = common::replica::start(Box::new(disk), Timing::default()).await.0;
    while !writes.load(Ordering::SeqCst) {
        tokio::time::sleep(POLL).await;
    }
    let elsewhere: SocketAddr = ([127, 0, 0, 2], 9).into();
    let (_leader, leader) = watch::channel(Some(elsewhere));
    let own: SocketAddr = ([127, 0, 0, 1], 9).into();
    let hello = distribution::hello("n1".into(), 1, "a".into(), own);
    let distributor = distribution::spawn(hello, Clock::new(), leader.clone());
    let running = Running { replica, distributor, leads: Arc::default(), leader };
    let api = ControlApi::new(Arc::new(RwLock::new(Stage::Running(running))));
    let outcome = tokio::time::timeout(ANSWER_MAX, api.call(named(2))).await;
    // The thread that writes ends before the test does.
    stalls.store(false, Ordering::SeqCst);
    assert!(
        matches!(outcome, Ok(CallOutcome::Elsewhere(leader)) if leader == elsewhere),
        "{outcome:?}"
    );
}
