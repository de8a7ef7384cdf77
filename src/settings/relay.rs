//! Reading the settings of a relay.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::settings::reader::{Fields, check_ports, parse_with, read_address};
use crate::yaml::{Fault, Faults, Node};

/// The settings of a relay.
#[derive(Debug, Clone)]
pub struct RelaySettings {
    /// The instance's name.
    pub name: Arc<str>,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// Where clients call.
    pub listen_clients: SocketAddr,
    /// Where health checks call.
    pub listen_ready: SocketAddr,
    /// Where operators ask for the state dump.
    pub listen_admin: SocketAddr,
    /// Some of control's replicas.
    pub seeds: Vec<SocketAddr>,
    /// The bounds of sends beyond the first.
    pub retry: RelayRetrySettings,
    /// How long after a version of weights was replaced requests may begin on it.
    pub version_within_ms: u64,
    /// How long after a key was taken away requests with it may still be taken in, by gateways that are cut off
    /// too; none is no bound.
    pub revoked_within_ms: Option<u64>,
    /// The largest set of headers.
    pub header_max_bytes: usize,
    /// How long after a planned stop began the process may still run.
    pub stop_grace_ms: u64,
    /// What is logged.
    pub log_level: Arc<str>,
    /// Where metrics are sent, if anywhere.
    pub metrics_address: Option<SocketAddr>,
    /// The beginning of their names.
    pub metrics_prefix: Arc<str>,
}

/// Sends beyond the first of each request, over all gateways.
#[derive(Debug, Clone, Copy)]
pub struct RelayRetrySettings {
    /// How many for each request.
    pub ratio: f64,
    /// How many more in each window.
    pub slack: f64,
    /// The window.
    pub window_ms: u64,
}

impl RelaySettings {
    /// Reads the settings of a relay.
    ///
    /// # Errors
    /// Every fault that was found.
    pub fn parse(file: &Arc<str>, text: &str) -> Result<Self, Vec<Fault>> {
        parse_with(file, text, read_relay)
    }
}

fn read_relay(root: &Node<'_>, faults: &mut Faults) -> Option<RelaySettings> {
    let mut fields = Fields::new(root, faults);
    let name = fields.name("name");
    let zone = fields.name("zone");
    let listen_clients = fields.address("listen_clients");
    let listen_ready = fields.address("listen_ready");
    let listen_admin = fields.address("listen_admin");
    let seeds = read_seeds(&mut fields);
    let retry = fields.section("retry", default_retry(), |fields| RelayRetrySettings {
        ratio: fields.number_or("ratio", 0.2, 0.0..=10.0),
        slack: fields.number_or("slack", 20.0, 0.0..=1_000_000.0),
        window_ms: fields.int_or("window_ms", 10_000, 100..=3_600_000),
    });
    let version_within_ms = fields.int_or("version_within_ms", 5_000, 100..=600_000);
    let revoked_within_ms = fields.optional_int("revoked_within_ms", 100..=3_600_000);
    let header_max_bytes = fields.int_or("header_max_bytes", 64 << 10, 1_024..=16 << 20) as usize;
    let stop_grace_ms = fields.int_or("stop_grace_ms", 8_000, 0..=3_600_000);
    let log_level = fields.text_or("log_level", "info");
    let metrics_address = fields.optional_address("metrics_address");
    let metrics_prefix = fields.text_or("metrics_prefix", "winchvane");
    fields.finish();
    let (listen_clients, listen_ready, listen_admin) =
        (listen_clients?, listen_ready?, listen_admin?);
    let listeners = [
        ("listen_clients", listen_clients),
        ("listen_ready", listen_ready),
        ("listen_admin", listen_admin),
    ];
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
        seeds,
        retry,
        version_within_ms,
        revoked_within_ms,
        header_max_bytes,
        stop_grace_ms,
        log_level,
        metrics_address,
        metrics_prefix,
    })
}

fn default_retry() -> RelayRetrySettings {
    RelayRetrySettings { ratio: 0.2, slack: 20.0, window_ms: 10_000 }
}

fn read_seeds(fields: &mut Fields<'_, '_>) -> Vec<SocketAddr> {
    let mut addresses = Vec::new();
    let Some(node) = fields.required("seeds", "a mapping with addresses and peer_port") else {
        return addresses;
    };
    let mut seeds = Fields::new(&node, fields.faults);
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
            seeds.faults.add(&list, "expected one address at least");
        }
    }
    seeds.finish();
    addresses
}
