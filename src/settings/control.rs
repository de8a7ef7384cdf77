//! Reading the settings of `winchvane-control`.

use std::path::PathBuf;

use crate::control::fleet::EndpointKind;
use crate::control::ledger::LedgerLimits;
use crate::control::permit::StoreBudget;
use crate::control::raft::Timing;
use crate::settings::reader::{Fields, check_ports, read_common};
use crate::settings::{ControlSettings, PoolSettings, ReplicaAddress};
use crate::yaml::{Faults, Node};

const DAY_MS: u64 = 86_400_000;

pub(super) fn read_control(root: &Node<'_>, faults: &mut Faults) -> Option<ControlSettings> {
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
