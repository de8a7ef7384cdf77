//! One replica of control, alone in its group, as actor tests start it.

use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, RwLock};

use tokio::sync::watch;
use winchvane::clock::Clock;
use winchvane::control::admission::Admissions;
use winchvane::control::api::ControlApi;
use winchvane::control::distribution;
use winchvane::control::ledger::LedgerLimits;
use winchvane::control::limits::ControlLimits;
use winchvane::control::permit::StoreBudget;
use winchvane::control::placement::PlacementSettings;
use winchvane::control::raft::{Member, Members, Raft, Recovered, Timing};
use winchvane::control::replica::{Replica, ReplicaSettings};
use winchvane::control::server::{ReplicaArguments, ReplicaHandle};
use winchvane::control::serving::{Running, Stage};
use winchvane::control::state::State;
use winchvane::control::storage::Storage;
use winchvane::metrics::Metrics;
use winchvane::policy::quota::QuotaBounds;

/// The bounds of the smallest instances that run control.
pub fn limits() -> ControlLimits {
    ControlLimits::new(256_000_000, 128_000_000)
}

/// A replica in zone `a` that is alone in its group, at the time `now_ms`.
pub fn alone(address: SocketAddr, timing: Timing, now_ms: u64) -> Replica {
    alone_with(State::new(), address, timing, now_ms)
}

/// The same, with the state that another leader left.
pub fn alone_with(state: State, address: SocketAddr, timing: Timing, now_ms: u64) -> Replica {
    let mut members = Members::default();
    members.0.insert(1, Member { name: "n1".into(), address, voter: true });
    let raft = Raft::new(1, members, Recovered::default(), timing, 1, now_ms);
    let settings = ReplicaSettings {
        instance: "n1".into(),
        zone: "a".into(),
        lease_ms: 2_500,
        snapshot_entries: 1_000,
        limits: limits(),
        ledger: LedgerLimits::default(),
        store: StoreBudget { loads_per_s: 1.0, concurrent_loads: 1, load_timeout_ms: 1_000 },
        placement: PlacementSettings::default(),
        quota: QuotaBounds::default(),
        founding_wait_ms: 0,
    };
    Replica::new(raft, state, settings, Metrics::local())
}

/// A replica that was started, and what it tells others in its process.
pub struct Started {
    pub replica: ReplicaHandle,
    /// Set while it leads.
    pub leads: Arc<AtomicBool>,
    /// Who leads, as far as it knows.
    pub leader: watch::Receiver<Option<SocketAddr>>,
}

/// Starts a replica in zone `a` on `storage`.
pub async fn start(storage: Box<dyn Storage>, timing: Timing) -> Started {
    let address: SocketAddr = ([127, 0, 0, 1], 9).into();
    let clock = Clock::new();
    let metrics = Metrics::local();
    let leads = Arc::new(AtomicBool::new(false));
    let (leader, leader_known) = watch::channel(None);
    let arguments = ReplicaArguments {
        replica: alone(address, timing, clock.now_ms()),
        storage,
        address,
        clock,
        metrics,
        leads: leads.clone(),
        leader,
    };
    let replica = ReplicaHandle::spawn(arguments).await.expect("the replica starts");
    Started { replica, leads, leader: leader_known }
}

/// The call interface of a started replica.
pub fn api_of(started: Started) -> ControlApi {
    let own: SocketAddr = ([127, 0, 0, 1], 9).into();
    let hello = distribution::hello("n1".into(), 1, "a".into(), own);
    let Started { replica, leads, leader } = started;
    let distributor = distribution::spawn(hello, Clock::new(), leader.clone());
    let admissions = Admissions::new(limits(), Metrics::local());
    let running = Running { replica, distributor, leads, leader, admissions };
    ControlApi::new(Arc::new(RwLock::new(Stage::Running(running))))
}
