//! Reads the settings of `winchvane-control`.

use std::path::PathBuf;

use crate::control::fleet::EndpointKind;
use crate::control::ledger::LedgerLimits;
use crate::control::permit::StoreBudget;
use crate::control::placement::PlacementSettings;
use crate::control::raft::Timing;
use crate::policy::quota::QuotaBounds;
use crate::settings::reader::{
    FieldReader, check_ports, read_address, read_common, read_resources,
};
use crate::settings::{ControlSettings, PoolSettings, ReplicaAddress, SeedSettings};
use crate::yaml::{Faults, Node};

const DAY_MS: u64 = 86_400_000;
/// The memory of the smallest instances with a disk.
const MEMORY_MB: u64 = 256;
/// Their disk.
const DISK_MB: u64 = 128;

pub(super) fn read_control(root: &Node<'_>, faults: &mut Faults) -> Option<ControlSettings> {
    let mut fields = FieldReader::new(root, faults);
    let common = read_common(&mut fields);
    let region = fields.name("region");
    let data_folder = fields
        .required("data_folder", "the path of a folder")
        .and_then(|node| node.text(fields.faults));
    let seeds = read_seeds(&mut fields);
    let (seeds, replicas) = match seeds {
        Some((seeds, replicas)) => (Some(seeds), replicas),
        None => (None, read_replicas(&mut fields)),
    };
    let timing = fields.section("timing", Timing::default(), read_timing);
    let lease_ms = fields.int_or("lease_ms", 2_500, 500..=60_000);
    let snapshot_entries = fields.int_or("snapshot_entries", 50_000, 10..=10_000_000);
    let ledger = fields.section("ledger", LedgerLimits::default(), |fields| LedgerLimits {
        retention_ms: fields.int_or("retention_ms", DAY_MS, 1_000..=365 * DAY_MS),
        max_keys: fields.int_or("max_keys", 1_000_000, 1..=100_000_000) as usize,
    });
    let store = read_store(&mut fields);
    let platform_address = fields.optional_address("platform_address");
    let listen_api = fields.optional_address("listen_api");
    let placement = fields.section("placement", PlacementSettings::default(), read_placement);
    let quota = fields.section("quota", QuotaBounds::default(), read_quota);
    let founding_wait_ms = fields.int_or("founding_wait_ms", 6_000, 0..=600_000);
    let platform_poll_ms = fields.int_or("platform_poll_ms", 1_000, 50..=60_000);
    let resources = read_resources(&mut fields, MEMORY_MB);
    let disk_max_mb = fields.int_or("disk_max_mb", DISK_MB, 16..=1_000_000_000);
    let pools = if platform_address.is_some() { read_pools(&mut fields) } else { Vec::new() };
    fields.finish();
    let common = common?;
    let listeners = [("listen_peers", common.listen_peers), ("listen_admin", common.listen_admin)];
    check_ports(root, &listeners, faults);
    if seeds.is_none() && !replicas.iter().any(|replica| replica.address == common.peers_address())
    {
        let address = common.peers_address();
        faults.add(root, format!("replicas must contain this replica's own address {address}"));
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
        platform_address,
        platform_poll_ms,
        pools,
        seeds,
        listen_api,
        placement,
        quota,
        founding_wait_ms,
        resources,
        disk_max_mb,
    })
}

fn read_timing(fields: &mut FieldReader<'_, '_>) -> Timing {
    let heartbeat_ms = fields.int_or("heartbeat_ms", 100, 10..=5_000);
    let election_ms = fields.int_or("election_ms", 600, 50..=60_000);
    if election_ms < heartbeat_ms * 3 {
        let detail = "election_ms must be at least three times heartbeat_ms";
        fields.faults.add(&fields.node, detail);
    }
    Timing { heartbeat_ms, election_ms }
}

fn read_quota(fields: &mut FieldReader<'_, '_>) -> QuotaBounds {
    let default = QuotaBounds::default();
    QuotaBounds {
        window_ms: fields.int_or("window_ms", default.window_ms, 100..=3_600_000),
        overrun: fields.number_or("overrun", default.overrun, 0.0..=10.0),
        slack: fields.number_or("slack", default.slack, 0.0..=1e15),
    }
}

fn read_placement(fields: &mut FieldReader<'_, '_>) -> PlacementSettings {
    let default = PlacementSettings::default();
    PlacementSettings {
        order_lease_ms: fields.int_or("order_lease_ms", default.order_lease_ms, 0..=600_000),
        version_within_ms: fields.int_or(
            "version_within_ms",
            default.version_within_ms,
            100..=600_000,
        ),
        store_share: fields.number_or("store_share", default.store_share, 0.01..=1.0),
        store_load_min_requests: fields.number_or(
            "store_load_min_requests",
            default.store_load_min_requests,
            0.0..=1_000.0,
        ),
    }
}

/// Reads the seeds and the number of failures that the group should tolerate.
///
/// The addresses are those at which any client reaches the seeds; `peer_port`, if set, is the port at
/// which they reach each other.
fn read_seeds(fields: &mut FieldReader<'_, '_>) -> Option<(SeedSettings, Vec<ReplicaAddress>)> {
    let node = fields.optional("seeds")?;
    let mut seeds = FieldReader::new(&node, fields.faults);
    let found = seeds.bool_or("found", false);
    let failures = seeds.int_or("failures", 1, 0..=100);
    let peer_port = seeds.int_or("peer_port", 0, 0..=65_535) as u16;
    let mut replicas = Vec::new();
    if let Some(list) = seeds.required("addresses", "a list of addresses") {
        for item in list.items(seeds.faults) {
            let Some(mut address) = read_address(&item, seeds.faults) else { continue };
            if peer_port != 0 {
                address.set_port(peer_port);
            }
            replicas.push(ReplicaAddress { name: address.to_string().into(), address });
        }
    }
    seeds.finish();
    Some((SeedSettings { found, voters: failures as usize * 2 + 1 }, replicas))
}

fn read_replicas(fields: &mut FieldReader<'_, '_>) -> Vec<ReplicaAddress> {
    let mut replicas: Vec<ReplicaAddress> = Vec::new();
    let Some(node) = fields.required("replicas", "a list of {name, address}") else {
        return replicas;
    };
    for item in node.items(fields.faults) {
        let mut replica = FieldReader::new(&item, fields.faults);
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

fn read_store(fields: &mut FieldReader<'_, '_>) -> Option<StoreBudget> {
    let expected = "a mapping with loads_per_s and concurrent_loads";
    let node = fields.required("store", expected)?;
    let mut store = FieldReader::new(&node, fields.faults);
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

fn read_pools(fields: &mut FieldReader<'_, '_>) -> Vec<PoolSettings> {
    let mut pools: Vec<PoolSettings> = Vec::new();
    let Some(node) = fields.required("pools", "a list of {name, kind, checks_epoch}") else {
        return pools;
    };
    for item in node.items(fields.faults) {
        let mut pool = FieldReader::new(&item, fields.faults);
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
