//! The settings of each process: one YAML file, checked whole before anything starts.

mod control;
mod gateway;
mod reader;
mod relay;

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use crate::control::fleet::EndpointKind;
use crate::control::ledger::LedgerLimits;
use crate::control::permit::StoreBudget;
use crate::control::placement::PlacementSettings;
use crate::control::raft::Timing;
use crate::policy::quota::QuotaBounds;
use crate::settings::control::read_control;
use crate::settings::gateway::read_gateway;
use crate::settings::reader::parse_with;
pub use crate::settings::relay::{RelayRetrySettings, RelaySettings};
use crate::yaml::{Fault, Faults};

/// Settings that every process has.
#[derive(Debug, Clone)]
pub struct Common {
    /// The instance's name, unique among processes of its kind.
    pub name: Arc<str>,
    /// The availability zone.
    pub zone: Arc<str>,
    /// Where peers reach this process.
    pub listen_peers: SocketAddr,
    /// Where other processes reach `listen_peers`, when that is another address.
    pub advertise_peers: Option<SocketAddr>,
    /// Where state dumps, log levels and, on gateways, declarations are taken.
    pub listen_admin: SocketAddr,
    /// The log level at the start.
    pub log_level: Arc<str>,
    /// Where statsd lines go.
    pub metrics_address: Option<SocketAddr>,
    /// The first part of every metric's name.
    pub metrics_prefix: Arc<str>,
}

/// A replica of control as the settings of others name it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReplicaAddress {
    /// Its name.
    pub name: Arc<str>,
    /// Where peers reach it.
    pub address: SocketAddr,
}

/// What the platform's list does not tell about a pool's endpoints.
#[derive(Debug, Clone)]
pub struct PoolSettings {
    /// The pool.
    pub name: Arc<str>,
    /// Engines or plain services.
    pub kind: EndpointKind,
    /// True when the endpoints refuse orders with an old epoch.
    pub checks_epoch: bool,
    /// How many requests a plain service takes at once.
    pub places: u32,
}

/// Settings of `winchvane-control`.
#[derive(Debug, Clone)]
pub struct ControlSettings {
    /// What every process has.
    pub common: Common,
    /// The region whose group this replica belongs to.
    pub region: Arc<str>,
    /// The folder for identity, snapshot and log.
    pub data_folder: PathBuf,
    /// Every replica of the group, this one included.
    pub replicas: Vec<ReplicaAddress>,
    /// Heartbeat and election periods.
    pub timing: Timing,
    /// How long a gateway's lease lasts.
    pub lease_ms: u64,
    /// Entries between two snapshots.
    pub snapshot_entries: u64,
    /// Bounds of the run ledger.
    pub ledger: LedgerLimits,
    /// What the weight store allows.
    pub store: StoreBudget,
    /// Where the platform lists its instances.
    pub platform_address: Option<SocketAddr>,
    /// How often the list is read.
    pub platform_poll_ms: u64,
    /// The pools of endpoints.
    pub pools: Vec<PoolSettings>,
    /// How the group is found where `replicas` are not named.
    pub seeds: Option<SeedSettings>,
    /// Where endpoints and operators of a platform call, if there is one.
    pub listen_api: Option<SocketAddr>,
    /// Bounds of orders to engines.
    pub placement: PlacementSettings,
    /// What is allowed above the quotas of workspaces.
    pub quota: QuotaBounds,
    /// How long a new group waits for all its voters before it takes a configuration.
    pub founding_wait_ms: u64,
}

/// How a replica finds its group when only some of the replicas are known beforehand.
#[derive(Debug, Clone)]
pub struct SeedSettings {
    /// True at the first start of the whole system; only then a group may be founded.
    pub found: bool,
    /// How many voters the group should have.
    pub voters: usize,
}

/// Bounds on what callers may send.
#[derive(Debug, Clone, Copy)]
pub struct CallerLimits {
    /// The largest request body.
    pub body_max_bytes: usize,
    /// The largest set of request headers.
    pub header_max_bytes: usize,
    /// The longest time for the headers to arrive.
    pub header_timeout_ms: u64,
    /// The longest time for the body to arrive.
    pub body_timeout_ms: u64,
    /// Requests in progress at one gateway.
    pub concurrent_requests: usize,
    /// Connections at one gateway.
    pub connections: usize,
    /// The largest answer that the run ledger keeps.
    pub recorded_answer_max_bytes: usize,
    /// How long a retry of a call in progress waits for its outcome.
    pub in_progress_wait_ms: u64,
}

/// The gateway's own lease and freshness.
#[derive(Debug, Clone, Copy)]
pub struct LeaseSettings {
    /// How often the lease is renewed.
    pub renew_ms: u64,
    /// How long control keeps the lease; the same value as `lease_ms` of control.
    pub lease_ms: u64,
    /// How much earlier the gateway itself holds the lease for ended.
    pub margin_ms: u64,
    /// How long requests are admitted after the last confirmation of the configuration.
    pub freshness_ms: u64,
}

/// Retries on other endpoints.
#[derive(Debug, Clone, Copy)]
pub struct RetrySettings {
    /// The most endpoints tried for one request.
    pub attempts: u32,
    /// Retries allowed for each first attempt, over time.
    pub budget_ratio: f64,
    /// Retries allowed in a burst.
    pub budget_burst: f64,
}

/// The placement and queueing policy.
#[derive(Debug, Clone, Copy)]
pub struct PolicySettings {
    /// How much a wait for a load weighs.
    pub load_stall_weight: f64,
    /// How much an empty place in an engine's batch weighs.
    pub batch_efficiency_weight: f64,
    /// Requests that may wait for one endpoint.
    pub queue_max: usize,
    /// The share of that queue that one workspace may take.
    pub workspace_share: f64,
    /// The wait after which a request counts as one priority higher.
    pub aging_ms: u64,
    /// Loads that one engine may have under way.
    pub loads_at_once: usize,
    /// The longest wait for a load, by what loads took of late, at which a request that needs one
    /// more is still taken.
    pub load_wait_max_ms: u64,
    /// How long a load takes, before any was seen.
    pub load_estimate_ms: u64,
    /// How long a request runs, before any was seen.
    pub service_estimate_ms: u64,
    /// The time in which an adapter's popularity halves.
    pub popularity_half_life_ms: u64,
    /// How many endpoints are weighed for an adapter that is loaded nowhere.
    pub homes: usize,
    /// True when a busy adapter may be loaded at a second endpoint.
    pub second_place: bool,
    /// True when the loads that most requests wait for go first.
    pub loads_by_urgency: bool,
}

impl Default for PolicySettings {
    fn default() -> Self {
        Self {
            load_stall_weight: 1.0,
            batch_efficiency_weight: 0.5,
            queue_max: 256,
            workspace_share: 0.5,
            aging_ms: 2_000,
            loads_at_once: 2,
            load_wait_max_ms: 4_000,
            load_estimate_ms: 450,
            service_estimate_ms: 1_000,
            popularity_half_life_ms: 300_000,
            homes: 4,
            second_place: true,
            loads_by_urgency: true,
        }
    }
}

/// Waits on endpoints.
#[derive(Debug, Clone, Copy)]
pub struct EndpointSettings {
    /// The longest time to connect.
    pub connect_timeout_ms: u64,
    /// How often the status is read.
    pub status_poll_ms: u64,
    /// The longest time for a status.
    pub status_timeout_ms: u64,
    /// Failed status reads until the endpoint counts as down.
    pub failures_to_down: u32,
    /// The longest time for a load.
    pub load_timeout_ms: u64,
    /// The longest time between two parts of an answer.
    pub idle_timeout_ms: u64,
}

/// Settings of `winchvane-gateway`.
#[derive(Debug, Clone)]
pub struct GatewaySettings {
    /// What every process has.
    pub common: Common,
    /// Where callers' HTTP is taken.
    pub listen_callers: SocketAddr,
    /// The replicas of control.
    pub control: Vec<SocketAddr>,
    /// Bounds on what callers may send.
    pub limits: CallerLimits,
    /// Lease and freshness.
    pub lease: LeaseSettings,
    /// Retries on other endpoints.
    pub retry: RetrySettings,
    /// Placement and queueing.
    pub policy: PolicySettings,
    /// Waits on endpoints.
    pub endpoints: EndpointSettings,
    /// The longest wait for requests in progress at a planned stop.
    pub stop_timeout_ms: u64,
    /// How long calls are still taken at a planned stop, until the balancer looks elsewhere.
    pub stop_grace_ms: u64,
}

/// Reads a file with `parse`.
///
/// # Errors
/// Every fault of the file; a file that cannot be read is one fault.
pub fn load<T>(
    path: &Path,
    parse: fn(&Arc<str>, &str) -> Result<T, Vec<Fault>>,
) -> Result<T, Vec<Fault>> {
    let file: Arc<str> = path.display().to_string().into();
    match std::fs::read_to_string(path) {
        Ok(text) => parse(&file, &text),
        Err(error) => {
            let mut faults = Faults::new();
            faults.add_file(&file, 0, format!("cannot be read: {error}"));
            Err(faults.into_vec())
        }
    }
}

impl Common {
    /// Where other processes of the system reach this one.
    pub fn peers_address(&self) -> SocketAddr {
        self.advertise_peers.unwrap_or(self.listen_peers)
    }
}

impl ControlSettings {
    /// Reads and checks settings.
    ///
    /// # Errors
    /// Every fault of the text.
    pub fn parse(file: &Arc<str>, text: &str) -> Result<Self, Vec<Fault>> {
        parse_with(file, text, read_control)
    }
}

impl GatewaySettings {
    /// Reads and checks settings.
    ///
    /// # Errors
    /// Every fault of the text.
    pub fn parse(file: &Arc<str>, text: &str) -> Result<Self, Vec<Fault>> {
        parse_with(file, text, read_gateway)
    }
}
