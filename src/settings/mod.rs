//! The settings of each process, read from one YAML file and fully checked before the process starts.

mod control;
mod gateway;
mod reader;
mod relay;

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use crate::control::fleet::EndpointKind;
use crate::control::ledger::LedgerLimits;
use crate::control::limits::ControlLimits;
use crate::control::permit::StoreBudget;
use crate::control::placement::PlacementSettings;
use crate::control::raft::Timing;
use crate::policy::quota::QuotaBounds;
use crate::policy::resource_limiter::ResourceLimits;
use crate::settings::control::read_control;
use crate::settings::gateway::read_gateway;
use crate::settings::reader::parse_settings;
pub use crate::settings::relay::{RelayRetrySettings, RelaySettings};
use crate::yaml::{Fault, Faults};

const MEGABYTE: u64 = 1_000_000;

/// Settings shared by `winchvane-control` and `winchvane-gateway`.
#[derive(Debug, Clone)]
pub struct CommonSettings {
    /// The instance's name, unique among processes of its kind.
    pub name: Arc<str>,
    /// The availability zone.
    pub zone: Arc<str>,
    /// The listener for other processes of the system.
    pub listen_peers: SocketAddr,
    /// The address at which other processes reach `listen_peers`, if it differs from `listen_peers`.
    pub advertise_peers: Option<SocketAddr>,
    /// The listener for requests of operators: state dumps, log levels and, on gateways, declarations.
    pub listen_admin: SocketAddr,
    /// The initial log level.
    pub log_level: Arc<str>,
    /// The address to which metrics are sent in the statsd format; `None` to send none.
    pub metrics_address: Option<SocketAddr>,
    /// The prefix of every metric's name.
    pub metrics_prefix: Arc<str>,
}

/// What a process may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResourceSettings {
    /// The memory of the process, in millions of bytes.
    pub memory_max_mb: u64,
    /// The most open descriptors; `None` for as many as the operating system allows.
    pub descriptors_max: Option<u64>,
}

impl ResourceSettings {
    /// The bounds of a process that the operating system lets open `descriptors_allowed`.
    pub fn limits(&self, descriptors_allowed: usize) -> ResourceLimits {
        let configured = self.descriptors_max.map_or(usize::MAX, |most| most as usize);
        let memory_max_bytes = self.memory_max_mb * MEGABYTE;
        ResourceLimits::new(memory_max_bytes, configured.min(descriptors_allowed))
    }
}

/// The name and address of a replica of control.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReplicaAddress {
    /// The name, unique in the group.
    pub name: Arc<str>,
    /// The address at which other processes reach the replica.
    pub address: SocketAddr,
}

/// Properties of a pool's endpoints that the platform's list of instances does not contain.
#[derive(Debug, Clone)]
pub struct PoolSettings {
    /// The pool's name.
    pub name: Arc<str>,
    /// Whether the endpoints are engines or plain services.
    pub kind: EndpointKind,
    /// True if the endpoints refuse orders with an epoch below the highest they have seen.
    pub checks_epoch: bool,
    /// The number of requests that a plain service runs at once.
    pub places: u32,
}

/// Settings of `winchvane-control`.
#[derive(Debug, Clone)]
pub struct ControlSettings {
    /// Settings shared with the gateway.
    pub common: CommonSettings,
    /// The region that the replica's group serves.
    pub region: Arc<str>,
    /// The folder for the replica's identity, snapshot and log.
    pub data_folder: PathBuf,
    /// All replicas of the group, including this one; if `seeds` is set, the addresses listed there.
    pub replicas: Vec<ReplicaAddress>,
    /// Heartbeat interval and election timeout.
    pub timing: Timing,
    /// The duration of a gateway's lease.
    pub lease_ms: u64,
    /// The number of log entries between two snapshots.
    pub snapshot_entries: u64,
    /// Limits of the run ledger, which makes calls that must not be repeated run at most once.
    pub ledger: LedgerLimits,
    /// Limits on loads from the weight store.
    pub store: StoreBudget,
    /// The address at which the platform serves its list of instances, if it has one.
    pub platform_address: Option<SocketAddr>,
    /// The interval between two reads of the list.
    pub platform_poll_ms: u64,
    /// The pools of endpoints.
    pub pools: Vec<PoolSettings>,
    /// How the replica finds its group; `None` if the settings name all replicas.
    pub seeds: Option<SeedSettings>,
    /// The listener for endpoints and operators of a platform, if there is one.
    pub listen_api: Option<SocketAddr>,
    /// Limits on orders to engines and on loads from the weight store.
    pub placement: PlacementSettings,
    /// How far workspaces may exceed their quotas.
    pub quota: QuotaBounds,
    /// How long a new group waits for its target number of voters before it accepts a routing
    /// configuration.
    pub founding_wait_ms: u64,
    /// What the process may use.
    pub resources: ResourceSettings,
    /// The disk of the process, in millions of bytes.
    pub disk_max_mb: u64,
}

/// How a replica finds its group if only some of the replicas are known in advance.
#[derive(Debug, Clone)]
pub struct SeedSettings {
    /// True at the first start of the whole system, which is the only time a group may be founded.
    pub found: bool,
    /// The target number of voters in the group.
    pub voters: usize,
}

/// Limits on requests of callers to a gateway.
#[derive(Debug, Clone, Copy)]
pub struct CallerLimits {
    /// The maximum size of a request body.
    pub body_max_bytes: usize,
    /// The maximum size of a request's headers.
    pub header_max_bytes: usize,
    /// The longest time for the headers to arrive.
    pub header_timeout_ms: u64,
    /// The longest time for the body to arrive.
    pub body_timeout_ms: u64,
    /// The maximum number of requests in progress.
    pub concurrent_requests: usize,
    /// The maximum number of connections.
    pub connections: usize,
    /// The maximum size of an answer that the run ledger keeps.
    pub recorded_answer_max_bytes: usize,
    /// How long a retry of a call that is in progress waits for the call's outcome.
    pub in_progress_wait_ms: u64,
}

/// The lease of a gateway and the freshness of its configuration.
#[derive(Debug, Clone, Copy)]
pub struct LeaseSettings {
    /// The interval between renewals of the lease.
    pub renew_ms: u64,
    /// The duration of the lease at control; must equal `lease_ms` in the settings of control.
    pub lease_ms: u64,
    /// How much earlier than control the gateway regards the lease as expired.
    pub margin_ms: u64,
    /// How long requests are admitted after the configuration was last confirmed.
    pub freshness_ms: u64,
}

/// Limits on retries at other endpoints.
#[derive(Debug, Clone, Copy)]
pub struct RetrySettings {
    /// The maximum number of endpoints tried for a request.
    pub attempts: u32,
    /// The number of retries allowed for each first attempt, on average.
    pub budget_ratio: f64,
    /// The number of retries allowed in a burst.
    pub budget_burst: f64,
}

/// The policy of placement and queueing.
#[derive(Debug, Clone, Copy)]
pub struct PolicySettings {
    /// The weight of the time spent waiting for a load.
    pub load_stall_weight: f64,
    /// The weight of an empty place in an engine's batch.
    pub batch_efficiency_weight: f64,
    /// The maximum number of requests waiting for an endpoint.
    pub queue_max: usize,
    /// The fraction of `queue_max` that one workspace may take once the queue is half full.
    pub workspace_share: f64,
    /// The waiting time that counts as much as one level of priority.
    pub aging_ms: u64,
    /// The maximum number of concurrent loads of an engine.
    pub loads_at_once: usize,
    /// The maximum wait for a load, estimated from recent loads; above it, a request that needs another
    /// load is refused.
    pub load_wait_max_ms: u64,
    /// The estimated duration of a load until one has been observed.
    pub load_estimate_ms: u64,
    /// The estimated duration of a request until one has been observed.
    pub service_estimate_ms: u64,
    /// The half-life of an adapter's popularity.
    pub popularity_half_life_ms: u64,
    /// The number of endpoints considered for loading an adapter.
    pub homes: usize,
    /// True if an adapter whose endpoints are busy may be loaded at another one.
    pub second_place: bool,
    /// True if loads are ordered by the number, priority and wait of their requests; otherwise the load
    /// of the longest-waiting request is first.
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

/// Timeouts and health checks of endpoints.
#[derive(Debug, Clone, Copy)]
pub struct EndpointSettings {
    /// The longest time to connect.
    pub connect_timeout_ms: u64,
    /// The interval between two reads of the status.
    pub status_poll_ms: u64,
    /// The longest time to read the status.
    pub status_timeout_ms: u64,
    /// The number of failed status reads in a row after which the endpoint counts as down.
    pub failures_to_down: u32,
    /// The longest duration of a load.
    pub load_timeout_ms: u64,
    /// The longest pause between two parts of an answer.
    pub idle_timeout_ms: u64,
}

/// Settings of `winchvane-gateway`.
#[derive(Debug, Clone)]
pub struct GatewaySettings {
    /// Settings shared with control.
    pub common: CommonSettings,
    /// The HTTP listener for callers.
    pub listen_callers: SocketAddr,
    /// The addresses of control's replicas.
    pub control: Vec<SocketAddr>,
    /// Limits on requests of callers.
    pub limits: CallerLimits,
    /// The lease and the freshness of the configuration.
    pub lease: LeaseSettings,
    /// Limits on retries at other endpoints.
    pub retry: RetrySettings,
    /// The policy of placement and queueing.
    pub policy: PolicySettings,
    /// Timeouts and health checks of endpoints.
    pub endpoints: EndpointSettings,
    /// What the process may use.
    pub resources: ResourceSettings,
    /// How long a planned stop waits for requests in progress.
    pub stop_timeout_ms: u64,
    /// How long requests are still accepted after a planned stop began, until the load balancer has
    /// noticed it.
    pub stop_grace_ms: u64,
}

/// Reads the file at `path` and parses it with `parse`.
///
/// # Errors
/// All faults of the file; a file that cannot be read is one fault.
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

impl CommonSettings {
    /// The address at which other processes of the system reach this one.
    pub fn peers_address(&self) -> SocketAddr {
        self.advertise_peers.unwrap_or(self.listen_peers)
    }
}

impl ControlSettings {
    /// Parses and checks settings.
    ///
    /// # Errors
    /// All faults of the text.
    pub fn parse(file: &Arc<str>, text: &str) -> Result<Self, Vec<Fault>> {
        parse_settings(file, text, read_control)
    }

    /// The bounds of what grows with changes.
    pub fn control_limits(&self) -> ControlLimits {
        ControlLimits::new(self.resources.memory_max_mb * MEGABYTE, self.disk_max_mb * MEGABYTE)
    }
}

impl GatewaySettings {
    /// Parses and checks settings.
    ///
    /// # Errors
    /// All faults of the text.
    pub fn parse(file: &Arc<str>, text: &str) -> Result<Self, Vec<Fault>> {
        parse_settings(file, text, read_gateway)
    }
}
