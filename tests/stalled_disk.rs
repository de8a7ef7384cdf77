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

/// The interface of a replica that was started.
fn api_of(started: common::replica::Started) -> ControlApi {
    let own: SocketAddr = ([127, 0, 0, 1], 9).into();
    let hello = distribution::hello("n1".into(), 1, "a".into(), own);
    let common::replica::Started { replica, leads, leader } = started;
    let distributor = distribution::spawn(hello, Clock::new(), leader.clone());
    let running = Running { replica, distributor, leads, leader };
    ControlApi::new(Arc::new(RwLock::new(Stage::Running(running))))
}

#[tokio::test]
async fn a_follower_whose_disk_stalls_still_tells_who_leads() {
    let (stalls, writes) = (Arc::new(AtomicBool::new(true)), Arc::new(AtomicBool::new(false)));
    let disk = StalledDisk { stalls: stalls.clone(), writes: writes.clone() };
    let replica = common::replica::start(Box::new(disk), Timing::default()).await.replica;
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

/// What users saw: operators' calls and heartbeats at the replica that led were answered 503 after 0.9 s
/// each, for as long as its disk stalled, though others had long elected another leader.
/// Order of events: a replica leads, its disk takes a write and does not come back, calls arrive.
/// Cause: the replica does nothing while it writes, so what it knew of the leader stayed as it was: itself.
/// Evidence: a hunt's log, `call_answered status=503 after_ms=900` again and again during a stall.
#[tokio::test]
async fn a_leader_whose_disk_stalls_answers_at_once_that_it_knows_nothing() {
    let (stalls, writes) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
    let disk = StalledDisk { stalls: stalls.clone(), writes: writes.clone() };
    let started = common::replica::start(Box::new(disk), Timing::default()).await;
    let api = api_of(started);
    while !matches!(api.call(named(1)).await, CallOutcome::Answered(_)) {
        tokio::time::sleep(POLL).await;
    }
    stalls.store(true, Ordering::SeqCst);
    let waiting = tokio::spawn({
        let api = api.clone();
        async move { api.call(named(2)).await }
    });
    // Others may elect a leader from here on.
    tokio::time::sleep(Duration::from_millis(Timing::default().election_ms) + ANSWER_MAX).await;
    let was_answered = waiting.is_finished();
    let outcome = tokio::time::timeout(ANSWER_MAX, api.call(named(3))).await;
    stalls.store(false, Ordering::SeqCst);
    assert!(was_answered, "the call that found the disk stalled waits on");
    assert!(matches!(outcome, Ok(CallOutcome::Unknown)), "{outcome:?}");
    let again = async {
        while !matches!(api.call(named(4)).await, CallOutcome::Answered(_)) {
            tokio::time::sleep(POLL).await;
        }
    };
    tokio::time::timeout(Duration::from_secs(5), again).await.expect("it leads on, being alone");
}
