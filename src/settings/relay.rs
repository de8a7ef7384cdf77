//! Defines and reads the settings of a relay (`winchvane-platform-gateway`).

use std::net::SocketAddr;
use std::sync::Arc;

use crate::settings::ResourceSettings;
use crate::settings::reader::{
    FieldReader, check_ports, parse_settings, read_address, read_resources,
};
use crate::yaml::{Fault, Faults, Node};

/// The memory of the smallest entry instances.
const MEMORY_MB: u64 = 120;

/// The settings of a relay.
#[derive(Debug, Clone)]
pub struct RelaySettings {
    /// The instance's name.
    pub name: Arc<str>,
    /// The availability zone.
    pub zone: Arc<str>,
    /// The listener for clients.
    pub listen_clients: SocketAddr,
    /// The listener for health checks.
    pub listen_ready: SocketAddr,
    /// The listener for requests of operators, such as state dumps.
    pub listen_admin: SocketAddr,
    /// The listener for other gateways, which send requests through this one; `None` to serve none.
    pub listen_peers: Option<SocketAddr>,
    /// The addresses of some of control's replicas.
    pub seeds: Vec<SocketAddr>,
    /// Limits on retries.
    pub retry: RelayRetrySettings,
    /// How long after control acknowledged a change of routes or endpoints requests may still be
    /// sent without it, by gateways that are connected to control.
    pub changes_within_ms: u64,
    /// How long after a version of weights was replaced requests may still start on it.
    pub version_within_ms: u64,
    /// How long after an API key was revoked requests with it may still be accepted, also by gateways
    /// that are disconnected from control; `None` for no limit.
    pub revoked_within_ms: Option<u64>,
    /// The maximum size of a request's headers.
    pub header_max_bytes: usize,
    /// What the process may use.
    pub resources: ResourceSettings,
    /// How long the process may still run after a planned stop began.
    pub stop_grace_ms: u64,
    /// The initial log level.
    pub log_level: Arc<str>,
    /// The address to which metrics are sent; `None` to send none.
    pub metrics_address: Option<SocketAddr>,
    /// The prefix of every metric's name.
    pub metrics_prefix: Arc<str>,
}

/// Limits on retries, counted over all gateways.
#[derive(Debug, Clone, Copy)]
pub struct RelayRetrySettings {
    /// The number of retries allowed for each request.
    pub ratio: f64,
    /// The number of retries allowed in each window in addition.
    pub slack: f64,
    /// The length of the window.
    pub window_ms: u64,
}

impl RelaySettings {
    /// Parses and checks settings.
    ///
    /// # Errors
    /// All faults of the text.
    pub fn parse(file: &Arc<str>, text: &str) -> Result<Self, Vec<Fault>> {
        parse_settings(file, text, read_relay)
    }
}

fn read_relay(root: &Node<'_>, faults: &mut Faults) -> Option<RelaySettings> {
    let mut fields = FieldReader::new(root, faults);
    let name = fields.name("name");
    let zone = fields.name("zone");
    let listen_clients = fields.address("listen_clients");
    let listen_ready = fields.address("listen_ready");
    let listen_admin = fields.address("listen_admin");
    let listen_peers = fields.optional_address("listen_peers");
    let seeds = read_seeds(&mut fields);
    let retry = fields.section("retry", default_retry(), |fields| RelayRetrySettings {
        ratio: fields.number_or("ratio", 0.2, 0.0..=10.0),
        slack: fields.number_or("slack", 20.0, 0.0..=1_000_000.0),
        window_ms: fields.int_or("window_ms", 10_000, 100..=3_600_000),
    });
    let changes_within_ms = fields.int_or("changes_within_ms", 2_000, 1_000..=600_000);
    let version_within_ms = fields.int_or("version_within_ms", 5_000, 100..=600_000);
    let revoked_within_ms = fields.optional_int("revoked_within_ms", 100..=3_600_000);
    let header_max_bytes = fields.int_or("header_max_bytes", 64 << 10, 1_024..=16 << 20) as usize;
    let resources = read_resources(&mut fields, MEMORY_MB);
    let stop_grace_ms = fields.int_or("stop_grace_ms", 8_000, 0..=3_600_000);
    let log_level = fields.text_or("log_level", "info");
    let metrics_address = fields.optional_address("metrics_address");
    let metrics_prefix = fields.text_or("metrics_prefix", "winchvane");
    fields.finish();
    let (listen_clients, listen_ready, listen_admin) =
        (listen_clients?, listen_ready?, listen_admin?);
    let mut listeners = vec![
        ("listen_clients", listen_clients),
        ("listen_ready", listen_ready),
        ("listen_admin", listen_admin),
    ];
    if let Some(address) = listen_peers {
        listeners.push(("listen_peers", address));
    }
    check_ports(root, &listeners, faults);
    if seeds.is_empty() {
        return None;
    }
    Some(RelaySettings {
        name: name?,
        zone: zone?,
        listen_clients,
        listen_ready,
        listen_admin,
        listen_peers,
        seeds,
        retry,
        changes_within_ms,
        version_within_ms,
        revoked_within_ms,
        header_max_bytes,
        resources,
        stop_grace_ms,
        log_level,
        metrics_address,
        metrics_prefix,
    })
}

fn default_retry() -> RelayRetrySettings {
    RelayRetrySettings { ratio: 0.2, slack: 20.0, window_ms: 10_000 }
}

fn read_seeds(fields: &mut FieldReader<'_, '_>) -> Vec<SocketAddr> {
    let mut addresses = Vec::new();
    let Some(node) = fields.required("seeds", "a mapping with addresses and peer_port") else {
        return addresses;
    };
    let mut seeds = FieldReader::new(&node, fields.faults);
    let peer_port = seeds.int_or("peer_port", 0, 0..=65_535) as u16;
    if let Some(list) = seeds.required("addresses", "a list of addresses") {
        for item in list.items(seeds.faults) {
            let Some(mut address) = read_address(&item, seeds.faults) else { continue };
            if peer_port != 0 {
                address.set_port(peer_port);
            }
            addresses.push(address);
        }
        if addresses.is_empty() {
            seeds.faults.add(&list, "expected at least one address");
        }
    }
    seeds.finish();
    addresses
}
