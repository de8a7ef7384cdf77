//! The settings of each process: one YAML file, checked whole before anything starts.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use crate::control::fleet::EndpointKind;
use crate::control::ledger::LedgerLimits;
use crate::control::permit::StoreBudget;
use crate::control::raft::Timing;
use crate::document::is_name;
use crate::policy::route::MAX_HOMES;
use crate::yaml::{Fault, Faults, Node, Source};

const DAY_MS: u64 = 86_400_000;

/// Settings that every process has.
#[derive(Debug, Clone)]
pub struct Common {
    /// The instance's name, unique among processes of its kind.
    pub name: Arc<str>,
    /// The availability zone.
    pub zone: Arc<str>,
    /// Where peers reach this process.
    pub listen_peers: SocketAddr,
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
    pub platform_address: SocketAddr,
    /// How often the list is read.
    pub platform_poll_ms: u64,
    /// The pools of endpoints.
    pub pools: Vec<PoolSettings>,
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

fn parse_with<T>(
    file: &Arc<str>,
    text: &str,
    read: fn(&Node<'_>, &mut Faults) -> Option<T>,
) -> Result<T, Vec<Fault>> {
    let mut faults = Faults::new();
    let source = Source::parse(file, text, &mut faults);
    let roots = source.roots();
    let mut settings = None;
    if let [root] = roots.as_slice() {
        settings = read(root, &mut faults);
    } else if faults.is_empty() {
        faults.add_file(file, 1, "expected one document with settings");
    }
    match settings {
        Some(settings) if faults.is_empty() => Ok(settings),
        _ => Err(faults.into_vec()),
    }
}

/// Hands out the fields of a mapping, and at the end complains of those that nobody asked for.
struct Fields<'a, 'f> {
    node: Node<'a>,
    found: Vec<(String, Node<'a>)>,
    asked: BTreeSet<&'static str>,
    faults: &'f mut Faults,
}

impl<'a, 'f> Fields<'a, 'f> {
    fn new(node: &Node<'a>, faults: &'f mut Faults) -> Self {
        let found = node.fields(faults);
        Self { node: node.clone(), found, asked: BTreeSet::new(), faults }
    }

    fn optional(&mut self, name: &'static str) -> Option<Node<'a>> {
        self.asked.insert(name);
        self.found.iter().find(|(found, _)| found == name).map(|(_, node)| node.clone())
    }

    fn required(&mut self, name: &'static str, expected: &str) -> Option<Node<'a>> {
        let found = self.optional(name);
        if found.is_none() {
            self.faults
                .add(&self.node, format!("the field {name} is missing; expected {expected}"));
        }
        found
    }

    fn name(&mut self, name: &'static str) -> Option<Arc<str>> {
        let node = self.required(name, "a name")?;
        let text = node.text(self.faults)?;
        if !is_name(&text) {
            self.faults.add(&node, format!("\"{text}\" is not a name"));
            return None;
        }
        Some(text)
    }

    fn text_or(&mut self, name: &'static str, default: &str) -> Arc<str> {
        match self.optional(name) {
            Some(node) => node.text(self.faults).unwrap_or_else(|| default.into()),
            None => default.into(),
        }
    }

    fn int_or(
        &mut self,
        name: &'static str,
        default: u64,
        range: std::ops::RangeInclusive<u64>,
    ) -> u64 {
        match self.optional(name) {
            Some(node) => node.int(range, self.faults).unwrap_or(default),
            None => default,
        }
    }

    fn number_or(
        &mut self,
        name: &'static str,
        default: f64,
        range: std::ops::RangeInclusive<f64>,
    ) -> f64 {
        match self.optional(name) {
            Some(node) => node.number(range, self.faults).unwrap_or(default),
            None => default,
        }
    }

    fn bool_or(&mut self, name: &'static str, default: bool) -> bool {
        match self.optional(name) {
            Some(node) => node.bool(self.faults).unwrap_or(default),
            None => default,
        }
    }

    fn address(&mut self, name: &'static str) -> Option<SocketAddr> {
        let node = self.required(name, "an address such as 127.0.0.1:7000")?;
        read_address(&node, self.faults)
    }

    fn optional_address(&mut self, name: &'static str) -> Option<SocketAddr> {
        let node = self.optional(name)?;
        read_address(&node, self.faults)
    }

    /// Reads a nested mapping; one that is absent reads like an empty one.
    fn section<T>(
        &mut self,
        name: &'static str,
        default: T,
        read: impl FnOnce(&mut Fields<'_, '_>) -> T,
    ) -> T {
        let Some(node) = self.optional(name) else { return default };
        let mut fields = Fields::new(&node, self.faults);
        let value = read(&mut fields);
        fields.finish();
        value
    }

    fn finish(self) {
        let known: Vec<&str> = self.asked.iter().copied().collect();
        for (name, node) in &self.found {
            if self.asked.contains(name.as_str()) {
                continue;
            }
            let expected = known.join(", ");
            self.faults.add(node, format!("unknown field; expected one of {expected}"));
        }
    }
}

fn read_address(node: &Node<'_>, faults: &mut Faults) -> Option<SocketAddr> {
    let text = node.text(faults)?;
    let Ok(address) = text.parse::<SocketAddr>() else {
        let expected = "expected an address such as 127.0.0.1:7000";
        faults.add(node, format!("{expected}, found the text \"{text}\""));
        return None;
    };
    Some(address)
}

fn read_common(fields: &mut Fields<'_, '_>) -> Option<Common> {
    let name = fields.name("name");
    let zone = fields.name("zone");
    let listen_peers = fields.address("listen_peers");
    let listen_admin = fields.address("listen_admin");
    let log_level = fields.text_or("log_level", "info");
    let metrics_address = fields.optional_address("metrics_address");
    let metrics_prefix = fields.text_or("metrics_prefix", "winchvane");
    Some(Common {
        name: name?,
        zone: zone?,
        listen_peers: listen_peers?,
        listen_admin: listen_admin?,
        log_level,
        metrics_address,
        metrics_prefix,
    })
}

/// Complains of two listeners on one port.
fn check_ports(node: &Node<'_>, listeners: &[(&str, SocketAddr)], faults: &mut Faults) {
    for (position, (name, address)) in listeners.iter().enumerate() {
        for (other_name, other) in &listeners[..position] {
            if address.port() != other.port() || address.port() == 0 {
                continue;
            }
            let detail = format!("{name} and {other_name} both use port {}", address.port());
            faults.add(node, detail);
        }
    }
}

fn read_control(root: &Node<'_>, faults: &mut Faults) -> Option<ControlSettings> {
    let mut fields = Fields::new(root, faults);
    let common = read_common(&mut fields);
    let region = fields.name("region");
    let data_folder = fields
        .required("data_folder", "the path of a folder")
        .and_then(|node| node.text(fields.faults));
    let replicas = read_replicas(&mut fields);
    let timing = fields.section("timing", Timing::default(), read_timing);
    let lease_ms = fields.int_or("lease_ms", 2_500, 500..=60_000);
    let snapshot_entries = fields.int_or("snapshot_entries", 50_000, 10..=10_000_000);
    let ledger = fields.section("ledger", LedgerLimits::default(), |fields| LedgerLimits {
        retention_ms: fields.int_or("retention_ms", DAY_MS, 1_000..=365 * DAY_MS),
        max_keys: fields.int_or("max_keys", 1_000_000, 1..=100_000_000) as usize,
    });
    let store = read_store(&mut fields);
    let platform_address = fields.address("platform_address");
    let platform_poll_ms = fields.int_or("platform_poll_ms", 1_000, 50..=60_000);
    let pools = read_pools(&mut fields);
    fields.finish();
    let common = common?;
    let listeners = [("listen_peers", common.listen_peers), ("listen_admin", common.listen_admin)];
    check_ports(root, &listeners, faults);
    if !replicas.iter().any(|replica| replica.address == common.listen_peers) {
        let address = common.listen_peers;
        faults.add(root, format!("replicas must name this replica's own listen_peers {address}"));
    }
    Some(ControlSettings {
        common,
        region: region?,
        data_folder: PathBuf::from(&*data_folder?),
        replicas,
        timing,
        lease_ms,
        snapshot_entries,
        ledger,
        store: store?,
        platform_address: platform_address?,
        platform_poll_ms,
        pools,
    })
}

fn read_timing(fields: &mut Fields<'_, '_>) -> Timing {
    let heartbeat_ms = fields.int_or("heartbeat_ms", 100, 10..=5_000);
    let election_ms = fields.int_or("election_ms", 600, 50..=60_000);
    if election_ms < heartbeat_ms * 3 {
        let detail = "election_ms must be at least three times heartbeat_ms";
        fields.faults.add(&fields.node, detail);
    }
    Timing { heartbeat_ms, election_ms }
}

fn read_replicas(fields: &mut Fields<'_, '_>) -> Vec<ReplicaAddress> {
    let mut replicas: Vec<ReplicaAddress> = Vec::new();
    let Some(node) = fields.required("replicas", "a list of {name, address}") else {
        return replicas;
    };
    for item in node.items(fields.faults) {
        let mut replica = Fields::new(&item, fields.faults);
        let name = replica.name("name");
        let address = replica.address("address");
        replica.finish();
        let (Some(name), Some(address)) = (name, address) else { continue };
        for other in &replicas {
            if other.name == name || other.address == address {
                let detail = format!("replica \"{name}\" at {address} is listed twice");
                fields.faults.add(&item, detail);
            }
        }
        replicas.push(ReplicaAddress { name, address });
    }
    if replicas.len().is_multiple_of(2) {
        let detail = format!("expected an odd number of replicas, found {}", replicas.len());
        fields.faults.add(&node, detail);
    }
    replicas
}

fn read_store(fields: &mut Fields<'_, '_>) -> Option<StoreBudget> {
    let expected = "a mapping with loads_per_s and concurrent_loads";
    let node = fields.required("store", expected)?;
    let mut store = Fields::new(&node, fields.faults);
    let loads_per_s = store
        .required("loads_per_s", "a number")
        .and_then(|node| node.number(0.01..=100_000.0, store.faults));
    let concurrent_loads = store
        .required("concurrent_loads", "an integer")
        .and_then(|node| node.int(1..=100_000, store.faults));
    let load_timeout_ms = store.int_or("load_timeout_ms", 10_000, 100..=600_000);
    store.finish();
    Some(StoreBudget {
        loads_per_s: loads_per_s?,
        concurrent_loads: concurrent_loads? as usize,
        load_timeout_ms,
    })
}

fn read_pools(fields: &mut Fields<'_, '_>) -> Vec<PoolSettings> {
    let mut pools: Vec<PoolSettings> = Vec::new();
    let Some(node) = fields.required("pools", "a list of {name, kind, checks_epoch}") else {
        return pools;
    };
    for item in node.items(fields.faults) {
        let mut pool = Fields::new(&item, fields.faults);
        let name = pool.name("name");
        let kind = match pool.required("kind", "engine or plain").and_then(|node| {
            let text = node.text(pool.faults)?;
            Some((text, node))
        }) {
            Some((text, _)) if &*text == "engine" => Some(EndpointKind::Engine),
            Some((text, _)) if &*text == "plain" => Some(EndpointKind::Plain),
            Some((text, node)) => {
                pool.faults.add(&node, format!("expected engine or plain, found \"{text}\""));
                None
            }
            None => None,
        };
        let checks_epoch =
            pool.required("checks_epoch", "true or false").and_then(|node| node.bool(pool.faults));
        let places = pool.int_or("places", 64, 1..=100_000) as u32;
        pool.finish();
        let (Some(name), Some(kind), Some(checks_epoch)) = (name, kind, checks_epoch) else {
            continue;
        };
        if pools.iter().any(|pool| pool.name == name) {
            fields.faults.add(&item, format!("pool \"{name}\" is listed twice"));
        }
        pools.push(PoolSettings { name, kind, checks_epoch, places });
    }
    pools
}

fn read_gateway(root: &Node<'_>, faults: &mut Faults) -> Option<GatewaySettings> {
    let mut fields = Fields::new(root, faults);
    let common = read_common(&mut fields);
    let listen_callers = fields.address("listen_callers");
    let control = read_control_addresses(&mut fields);
    let limits = fields.section("limits", default_limits(), read_limits);
    let lease = fields.section("lease", default_lease(), read_lease);
    let retry = fields.section("retry", default_retry(), |fields| RetrySettings {
        attempts: fields.int_or("attempts", 4, 1..=20) as u32,
        budget_ratio: fields.number_or("budget_ratio", 0.2, 0.0..=10.0),
        budget_burst: fields.number_or("budget_burst", 20.0, 0.0..=100_000.0),
    });
    let policy = fields.section("policy", PolicySettings::default(), read_policy);
    let endpoints = fields.section("endpoints", default_endpoints(), read_endpoints);
    let stop_timeout_ms = fields.int_or("stop_timeout_ms", 60_000, 0..=3_600_000);
    let stop_grace_ms = fields.int_or("stop_grace_ms", 2_000, 0..=600_000);
    fields.finish();
    let common = common?;
    let listen_callers = listen_callers?;
    let listeners = [
        ("listen_peers", common.listen_peers),
        ("listen_admin", common.listen_admin),
        ("listen_callers", listen_callers),
    ];
    check_ports(root, &listeners, faults);
    Some(GatewaySettings {
        common,
        listen_callers,
        control,
        limits,
        lease,
        retry,
        policy,
        endpoints,
        stop_timeout_ms,
        stop_grace_ms,
    })
}

fn read_control_addresses(fields: &mut Fields<'_, '_>) -> Vec<SocketAddr> {
    let mut addresses = Vec::new();
    let Some(node) = fields.required("control", "a list of the addresses of control's replicas")
    else {
        return addresses;
    };
    for item in node.items(fields.faults) {
        let Some(address) = read_address(&item, fields.faults) else { continue };
        addresses.push(address);
    }
    if addresses.is_empty() {
        fields.faults.add(&node, "expected at least one address");
    }
    addresses
}

fn default_limits() -> CallerLimits {
    CallerLimits {
        body_max_bytes: 4 << 20,
        header_max_bytes: 32 << 10,
        header_timeout_ms: 5_000,
        body_timeout_ms: 15_000,
        concurrent_requests: 4_096,
        connections: 8_192,
        recorded_answer_max_bytes: 256 << 10,
        in_progress_wait_ms: 2_000,
    }
}

fn read_limits(fields: &mut Fields<'_, '_>) -> CallerLimits {
    let default = default_limits();
    CallerLimits {
        body_max_bytes: fields.int_or(
            "body_max_bytes",
            default.body_max_bytes as u64,
            1_024..=1 << 28,
        ) as usize,
        header_max_bytes: fields.int_or(
            "header_max_bytes",
            default.header_max_bytes as u64,
            8_192..=1 << 20,
        ) as usize,
        header_timeout_ms: fields.int_or(
            "header_timeout_ms",
            default.header_timeout_ms,
            100..=600_000,
        ),
        body_timeout_ms: fields.int_or("body_timeout_ms", default.body_timeout_ms, 100..=600_000),
        concurrent_requests: fields.int_or(
            "concurrent_requests",
            default.concurrent_requests as u64,
            1..=1_000_000,
        ) as usize,
        connections: fields.int_or("connections", default.connections as u64, 1..=1_000_000)
            as usize,
        recorded_answer_max_bytes: fields.int_or(
            "recorded_answer_max_bytes",
            default.recorded_answer_max_bytes as u64,
            0..=16 << 20,
        ) as usize,
        in_progress_wait_ms: fields.int_or(
            "in_progress_wait_ms",
            default.in_progress_wait_ms,
            0..=60_000,
        ),
    }
}

fn default_lease() -> LeaseSettings {
    LeaseSettings { renew_ms: 500, lease_ms: 2_500, margin_ms: 300, freshness_ms: 5_000 }
}

fn read_lease(fields: &mut Fields<'_, '_>) -> LeaseSettings {
    let default = default_lease();
    let lease = LeaseSettings {
        renew_ms: fields.int_or("renew_ms", default.renew_ms, 50..=10_000),
        lease_ms: fields.int_or("lease_ms", default.lease_ms, 500..=60_000),
        margin_ms: fields.int_or("margin_ms", default.margin_ms, 10..=10_000),
        freshness_ms: fields.int_or("freshness_ms", default.freshness_ms, 500..=600_000),
    };
    if lease.renew_ms * 2 + lease.margin_ms > lease.lease_ms {
        let detail = "lease_ms must be at least twice renew_ms plus margin_ms";
        fields.faults.add(&fields.node, detail);
    }
    lease
}

fn default_retry() -> RetrySettings {
    RetrySettings { attempts: 4, budget_ratio: 0.2, budget_burst: 20.0 }
}

fn read_policy(fields: &mut Fields<'_, '_>) -> PolicySettings {
    let default = PolicySettings::default();
    PolicySettings {
        load_stall_weight: fields.number_or(
            "load_stall_weight",
            default.load_stall_weight,
            0.0..=100.0,
        ),
        batch_efficiency_weight: fields.number_or(
            "batch_efficiency_weight",
            default.batch_efficiency_weight,
            0.0..=100.0,
        ),
        queue_max: fields.int_or("queue_max", default.queue_max as u64, 1..=1_000_000) as usize,
        workspace_share: fields.number_or("workspace_share", default.workspace_share, 0.01..=1.0),
        aging_ms: fields.int_or("aging_ms", default.aging_ms, 1..=600_000),
        loads_at_once: fields.int_or("loads_at_once", default.loads_at_once as u64, 1..=64)
            as usize,
        load_wait_max_ms: fields.int_or(
            "load_wait_max_ms",
            default.load_wait_max_ms,
            1..=3_600_000,
        ),
        load_estimate_ms: fields.int_or("load_estimate_ms", default.load_estimate_ms, 1..=600_000),
        service_estimate_ms: fields.int_or(
            "service_estimate_ms",
            default.service_estimate_ms,
            1..=600_000,
        ),
        popularity_half_life_ms: fields.int_or(
            "popularity_half_life_ms",
            default.popularity_half_life_ms,
            100..=3_600_000,
        ),
        homes: fields.int_or("homes", default.homes as u64, 1..=MAX_HOMES as u64) as usize,
        second_place: fields.bool_or("second_place", default.second_place),
        loads_by_urgency: fields.bool_or("loads_by_urgency", default.loads_by_urgency),
    }
}

fn default_endpoints() -> EndpointSettings {
    EndpointSettings {
        connect_timeout_ms: 500,
        status_poll_ms: 1_000,
        status_timeout_ms: 1_000,
        failures_to_down: 3,
        load_timeout_ms: 10_000,
        idle_timeout_ms: 30_000,
    }
}

fn read_endpoints(fields: &mut Fields<'_, '_>) -> EndpointSettings {
    let default = default_endpoints();
    EndpointSettings {
        connect_timeout_ms: fields.int_or(
            "connect_timeout_ms",
            default.connect_timeout_ms,
            10..=60_000,
        ),
        status_poll_ms: fields.int_or("status_poll_ms", default.status_poll_ms, 20..=60_000),
        status_timeout_ms: fields.int_or(
            "status_timeout_ms",
            default.status_timeout_ms,
            20..=60_000,
        ),
        failures_to_down: fields.int_or(
            "failures_to_down",
            u64::from(default.failures_to_down),
            1..=100,
        ) as u32,
        load_timeout_ms: fields.int_or("load_timeout_ms", default.load_timeout_ms, 100..=600_000),
        idle_timeout_ms: fields.int_or("idle_timeout_ms", default.idle_timeout_ms, 100..=600_000),
    }
}
