//! A replica whose disk does not complete a write for a while.

mod common;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, RwLock};
use std::thread;
use std::time::Duration;

use tokio::sync::watch;
use winchvane::clock::Clock;
use winchvane::control::admission::Admissions;
use winchvane::control::api::{CallOutcome, ControlApi};
use winchvane::control::distribution;
use winchvane::control::raft::{Entry, HardState, Snapshot, Timing};
use winchvane::control::serving::{Running, Stage};
use winchvane::control::storage::{Batch, Storage};
use winchvane::error::Result;
use winchvane::message::{ControlRequest, NewestVersion, WeightsName};
use winchvane::metrics::Metrics;

/// How long a caller may wait for an answer.
const ANSWER_MAX: Duration = Duration::from_millis(200);
const POLL: Duration = Duration::from_millis(5);

/// Storage that keeps nothing and does not return from a write while `stalls` is set.
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
async fn a_follower_whose_disk_stalls_still_names_the_leader() {
    let (stalls, writes) = (Arc::new(AtomicBool::new(true)), Arc::new(AtomicBool::new(false)));
    let disk = StalledDisk { stalls: stalls.clone(), writes: writes.clone() };
    let replica = common::replica::start(Box::new(disk), Timing::default()).await.replica;
    while !writes.load(Ordering::SeqCst) {
        tokio::time::sleep(POLL).await;
    }
    let leader_address: SocketAddr = ([127, 0, 0, 2], 9).into();
    let (_leader, leader) = watch::channel(Some(leader_address));
    let own: SocketAddr = ([127, 0, 0, 1], 9).into();
    let hello = distribution::hello("n1".into(), 1, "a".into(), own);
    let distributor = distribution::spawn(hello, Clock::new(), leader.clone());
    let admissions = Admissions::new(common::replica::limits(), Metrics::local());
    let running = Running { replica, distributor, leads: Arc::default(), leader, admissions };
    let api = ControlApi::new(Arc::new(RwLock::new(Stage::Running(running))));
    let outcome = tokio::time::timeout(ANSWER_MAX, api.call(named(2))).await;
    // Lets the writing thread end before the test does.
    stalls.store(false, Ordering::SeqCst);
    assert!(
        matches!(outcome, Ok(CallOutcome::Elsewhere(leader)) if leader == leader_address),
        "{outcome:?}"
    );
}

/// Guards against a leader that answers calls with 503 after 0.9 s each for as long as its disk
/// stalls, although others have elected another leader: the replica does nothing while it writes,
/// so it kept the leader it last knew, itself.
#[tokio::test]
async fn a_leader_whose_disk_stalls_answers_at_once_without_a_leader() {
    let (stalls, writes) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
    let disk = StalledDisk { stalls: stalls.clone(), writes: writes.clone() };
    let started = common::replica::start(Box::new(disk), Timing::default()).await;
    let api = common::replica::api_of(started);
    while !matches!(api.call(named(1)).await, CallOutcome::Answered(_)) {
        tokio::time::sleep(POLL).await;
    }
    stalls.store(true, Ordering::SeqCst);
    let waiting = tokio::spawn({
        let api = api.clone();
        async move { api.call(named(2)).await }
    });
    // From here on, others may have elected a leader.
    tokio::time::sleep(Duration::from_millis(Timing::default().election_ms) + ANSWER_MAX).await;
    let was_answered = waiting.is_finished();
    let outcome = tokio::time::timeout(ANSWER_MAX, api.call(named(3))).await;
    stalls.store(false, Ordering::SeqCst);
    assert!(was_answered, "the call that was pending when the disk stalled is not answered");
    assert!(matches!(outcome, Ok(CallOutcome::Unknown)), "{outcome:?}");
    let served_again = async {
        while !matches!(api.call(named(4)).await, CallOutcome::Answered(_)) {
            tokio::time::sleep(POLL).await;
        }
    };
    tokio::time::timeout(Duration::from_secs(5), served_again)
        .await
        .expect("the only replica leads again");
}
