//! A replica whose disk is full for a while.

mod common;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::Duration;

use winchvane::control::raft::{Entry, HardState, Snapshot, Timing};
use winchvane::control::server::{ReplicaHandle, ReplicaMessage};
use winchvane::control::storage::{Batch, Storage};
use winchvane::error::{Error, Result};
use winchvane::message::{ControlReply, ControlRequest};
use winchvane::routing::RoutingConfiguration;

/// Storage that keeps nothing and fails with a full disk while `full` is set.
struct FullDisk {
    full: Arc<AtomicBool>,
    failed_writes: Arc<AtomicU32>,
}

impl FullDisk {
    fn write(&self) -> Result<()> {
        if !self.full.load(Ordering::SeqCst) {
            return Ok(());
        }
        self.failed_writes.fetch_add(1, Ordering::SeqCst);
        Err(Error::io("append", "log", std::io::ErrorKind::StorageFull.into()))
    }
}

impl Storage for FullDisk {
    fn save(&mut self, _: &Batch) -> Result<()> {
        self.write()
    }

    fn save_snapshot(&mut self, _: &Snapshot, _: HardState, _: &[Entry]) -> Result<()> {
        self.write()
    }

    fn load_snapshot(&self) -> Result<Option<Snapshot>> {
        Ok(None)
    }
}

async fn start(disk: FullDisk) -> ReplicaHandle {
    common::replica::start(Box::new(disk), Timing::default()).await.replica
}

fn put(version: u64) -> ControlRequest {
    let configuration = RoutingConfiguration { version, ..RoutingConfiguration::default() };
    ControlRequest::PutRouting {
        configuration: Arc::new(configuration),
        document: version.to_string().into(),
    }
}

async fn call(actor: &ReplicaHandle, request: ControlRequest) -> Option<ControlReply> {
    actor.call(|reply| ReplicaMessage::Call(request, reply.into()), 500).await.ok()
}

async fn call_until_accepted(actor: &ReplicaHandle, version: u64) {
    for _ in 0..100 {
        if matches!(call(actor, put(version)).await, Some(ControlReply::Accepted)) {
            return;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    panic!("version {version} was never accepted");
}

#[tokio::test]
async fn a_full_disk_acknowledges_nothing_and_is_used_again_once_it_has_space() {
    let (full, failed_writes) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU32::new(0)));
    let actor = start(FullDisk { full: full.clone(), failed_writes: failed_writes.clone() }).await;
    call_until_accepted(&actor, 1).await;
    full.store(true, Ordering::SeqCst);
    let reply = call(&actor, put(2)).await;
    assert!(
        !matches!(reply, Some(ControlReply::Accepted)),
        "a change that is not stored is acknowledged"
    );
    assert!(failed_writes.load(Ordering::SeqCst) > 0);
    full.store(false, Ordering::SeqCst);
    call_until_accepted(&actor, 3).await;
    let read = call(&actor, ControlRequest::GetRouting).await;
    assert!(matches!(read, Some(ControlReply::Routing(Some(document))) if &*document == "3"));
}
