//! Reads of the configuration while many other messages wait at the leader.

mod common;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use winchvane::control::api::CallOutcome;
use winchvane::control::raft::{Entry, HardState, Snapshot, Timing};
use winchvane::control::storage::{Batch, Storage};
use winchvane::error::Result;
use winchvane::message::{
    ControlReply, ControlRequest, Heartbeat, NewestVersion, RegisteredEndpoint, WeightsName,
};

/// How many endpoints start at once.
const ENDPOINTS: usize = 3_000;
/// The messages that the leader may handle before the read.
const HANDLED_BEFORE_MAX: usize = 100;
const POLL: Duration = Duration::from_millis(5);
/// Long enough for all messages to wait while the disk stalls.
const ELECTION_MS: u64 = 3_000;

/// Storage that keeps nothing and does not return from a write while `stalls` is set.
struct StalledDisk {
    stalls: Arc<AtomicBool>,
    writes: Arc<AtomicBool>,
}

impl Storage for StalledDisk {
    fn save(&mut self, _: &Batch) -> Result<()> {
        while self.stalls.load(Ordering::SeqCst) {
            self.writes.store(true, Ordering::SeqCst);
            thread::sleep(POLL);
        }
        Ok(())
    }

    fn save_snapshot(&mut self, _: &Snapshot, _: HardState, _: &[Entry]) -> Result<()> {
        Ok(())
    }

    fn load_snapshot(&self) -> Result<Option<Snapshot>> {
        Ok(None)
    }
}

fn heartbeat(number: usize) -> ControlRequest {
    let id: Arc<str> = format!("e{number}").into();
    let endpoint = RegisteredEndpoint {
        id: id.clone(),
        name: id,
        born_ms: 1,
        service: "engine".into(),
        address: ([127, 1, (number / 250) as u8, (number % 250) as u8], 7_000).into(),
        zone: "a".into(),
        slots: 12,
        leaving: false,
        software_version: "v1".into(),
    };
    ControlRequest::Heartbeat(Heartbeat { endpoint, sequence: 1, holds: None })
}

/// Guards against a leader that answers the operator only once it has handled everything that
/// endpoints and gateways sent before.
#[tokio::test]
async fn a_read_of_the_configuration_waits_for_no_message_of_endpoints() {
    let (stalls, writes) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
    let disk = StalledDisk { stalls: stalls.clone(), writes: writes.clone() };
    let timing = Timing { election_ms: ELECTION_MS, ..Timing::default() };
    let api = common::replica::api_of(common::replica::start(Box::new(disk), timing).await);
    let name = WeightsName { model: "m".into(), adapter: Some("a".into()) };
    let named = ControlRequest::PutVersion(NewestVersion { name, version: 1 });
    while !matches!(api.call(named.clone()).await, CallOutcome::Answered(_)) {
        tokio::time::sleep(POLL).await;
    }
    stalls.store(true, Ordering::SeqCst);
    let handled = Arc::new(AtomicUsize::new(0));
    let mut heartbeats = Vec::new();
    for number in 0..ENDPOINTS {
        let (api, handled) = (api.clone(), handled.clone());
        heartbeats.push(tokio::spawn(async move {
            let outcome = api.call(heartbeat(number)).await;
            assert!(matches!(outcome, CallOutcome::Answered(_)), "{outcome:?}");
            handled.fetch_add(1, Ordering::SeqCst);
        }));
    }
    while !writes.load(Ordering::SeqCst) {
        tokio::time::sleep(POLL).await;
    }
    let read = tokio::spawn({
        let (api, handled) = (api.clone(), handled.clone());
        async move { (api.call(ControlRequest::GetRouting).await, handled.load(Ordering::SeqCst)) }
    });
    tokio::time::sleep(POLL).await;
    stalls.store(false, Ordering::SeqCst);
    let (outcome, before) = read.await.expect("the read does not panic");
    assert!(
        matches!(outcome, CallOutcome::Answered(ControlReply::Routing(_))),
        "the read was not answered: {outcome:?}"
    );
    println!("{before} of {ENDPOINTS} messages were handled before the read");
    assert!(before <= HANDLED_BEFORE_MAX, "{before} messages, {HANDLED_BEFORE_MAX} allowed");
    for heartbeat in heartbeats {
        heartbeat.await.expect("each heartbeat is answered");
    }
}
