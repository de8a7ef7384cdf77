//! Startup of a replica: founding a group, restarting, or joining in place of a lost replica.
//!
//! A data folder without an identity was either never used or lost, and the replica cannot tell
//! which, so it probes every other replica. If all of them are empty, the group is founded. If one
//! of them belongs to a group, the replica draws a new id and joins as a learner. Otherwise it
//! waits. So a replica that lost its disk never votes under its old id.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, RwLock};
use std::time::Duration;

use rand::RngExt;
use tracing::{debug, info, warn};

use crate::clock::Clock;
use crate::control::raft::{HardState, Member, Members, NodeId, Raft, Timing};
use crate::control::replica::{Replica, ReplicaSettings};
use crate::control::serving::Stage;
use crate::control::state::State;
use crate::control::storage::{Batch, FileStorage, Identity, Opened, Storage};
use crate::error::{Error, Result};
use crate::message::{ControlReply, ControlRequest, ProbeReply};
use crate::metrics::Metrics;
use crate::settings::{ControlSettings, ReplicaAddress};
use crate::wire::{Channel, Peer};

const PROBE_TIMEOUT_MS: u64 = 1_000;
const PROBE_PAUSE: Duration = Duration::from_millis(100);
/// Ids from this one on are drawn at random; those below are of founders.
const FIRST_DRAWN_ID: NodeId = 1 << 16;

/// A replica that is ready to run.
pub struct Booted {
    /// The replica.
    pub replica: Replica,
    /// Its storage.
    pub storage: Box<dyn Storage>,
    /// True if it has to ask to join the group.
    pub joins: bool,
}

/// Prepares the replica until it can take part in the group.
///
/// # Errors
/// A data folder that cannot be used, or one that is damaged.
pub async fn boot(
    settings: &ControlSettings,
    stage: &Arc<RwLock<Stage>>,
    clock: Clock,
    metrics: &Metrics,
) -> Result<Booted> {
    let folder = &settings.data_folder;
    std::fs::create_dir_all(folder)
        .map_err(|error| Error::io("create data folder", folder.display().to_string(), error))?;
    let mut identity = match FileStorage::read_identity(folder)? {
        Some(identity) => identity,
        None => find_identity(settings).await?,
    };
    let mut opened = FileStorage::open(folder)?;
    if identity.started && opened.is_blank && opened.snapshot.is_none() {
        let detail = "the log is missing though this replica has taken part; move the data folder \
                      away and start again to join as a new replica";
        return Err(Error::damaged("boot", folder.display().to_string(), detail));
    }
    if opened.dropped_bytes > 0 {
        warn!(event = "torn_tail_dropped", dropped_bytes = opened.dropped_bytes);
    }
    if !identity.started {
        start(settings, stage, folder, &mut identity, &mut opened).await?;
    }
    let joins = identity.founders.0.is_empty();
    let state = match &opened.snapshot {
        Some(snapshot) => State::decode(&snapshot.data)?,
        None => State::new(),
    };
    info!(
        event = "booted",
        id = identity.id,
        entries = opened.recovered.entries.len(),
        snapshot_index = opened.snapshot.as_ref().map_or(0, |snapshot| snapshot.index)
    );
    let seed = rand::rng().random();
    let mut raft = Raft::new(
        identity.id,
        identity.founders,
        opened.recovered,
        Timing { ..settings.timing },
        seed,
        clock.now_ms(),
    );
    let limits = settings.control_limits();
    raft = raft.with_in_flight_max_bytes(limits.in_flight_max_bytes);
    if let Some(seeds) = &settings.seeds {
        raft = raft.with_target_voters(seeds.voters);
    }
    let replica_settings = ReplicaSettings {
        instance: settings.common.peers_address().to_string().into(),
        zone: settings.common.zone.clone(),
        lease_ms: settings.lease_ms,
        snapshot_entries: settings.snapshot_entries,
        limits,
        ledger: settings.ledger,
        store: settings.store,
        placement: settings.placement,
        quota: settings.quota,
        founding_wait_ms: settings.founding_wait_ms,
    };
    let replica = Replica::new(raft, state, replica_settings, metrics.clone());
    Ok(Booted { replica, storage: Box::new(opened.storage), joins })
}

/// Marks the replica as started before it can vote; a founder first waits until all founders are
/// ready.
async fn start(
    settings: &ControlSettings,
    stage: &Arc<RwLock<Stage>>,
    folder: &Path,
    identity: &mut Identity,
    opened: &mut Opened,
) -> Result<()> {
    if !identity.founders.0.is_empty() {
        *stage.write().unwrap_or_else(std::sync::PoisonError::into_inner) = Stage::Founding;
        while !probe_all(settings)
            .await
            .iter()
            .all(|stage| matches!(stage, Some(ProbeReply::Founding | ProbeReply::Established)))
        {
            tokio::time::sleep(PROBE_PAUSE).await;
        }
    }
    let batch = Batch { hard_state: Some(HardState::default()), ..Batch::default() };
    opened.storage.save(&batch)?;
    identity.started = true;
    FileStorage::write_identity(folder, identity)
}

async fn find_identity(settings: &ControlSettings) -> Result<Identity> {
    let identity = loop {
        let stages = probe_all(settings).await;
        if stages.contains(&Some(ProbeReply::Established)) {
            let id = rand::rng().random_range(FIRST_DRAWN_ID..u64::MAX);
            info!(event = "joining_as_new_replica", id = id);
            break Identity { id, founders: Members::default(), started: false };
        }
        if !stages.contains(&None) && can_found(settings) {
            break founding_identity(settings)?;
        }
        info!(event = "waiting_for_replicas", answered = stages.iter().flatten().count());
        tokio::time::sleep(PROBE_PAUSE).await;
    };
    FileStorage::write_identity(&settings.data_folder, &identity)?;
    Ok(identity)
}

/// A group whose settings list all replicas can always be founded. With seeds, only a listed
/// replica may found it, and only if its settings say so, at the first start of the system.
fn can_found(settings: &ControlSettings) -> bool {
    let Some(seeds) = &settings.seeds else { return true };
    let own = settings.common.peers_address();
    seeds.found && settings.replicas.iter().any(|replica| replica.address == own)
}

fn founding_identity(settings: &ControlSettings) -> Result<Identity> {
    let mut sorted: Vec<&ReplicaAddress> = settings.replicas.iter().collect();
    sorted.sort_by(|one, other| one.name.cmp(&other.name));
    let mut founders = Members::default();
    let mut own = None;
    for (position, replica) in sorted.into_iter().enumerate() {
        let id = position as NodeId + 1;
        if replica.address == settings.common.peers_address() {
            own = Some(id);
        }
        let member = Member { name: replica.name.clone(), address: replica.address, voter: true };
        founders.0.insert(id, member);
    }
    let id = own.ok_or_else(|| Error::invalid("replicas do not name this replica"))?;
    info!(event = "founding", id = id, members = founders.0.len());
    Ok(Identity { id, founders, started: false })
}

/// Probes the startup stage of every other replica; `None` for one that does not answer.
async fn probe_all(settings: &ControlSettings) -> Vec<Option<ProbeReply>> {
    let mut stages = Vec::new();
    for address in other_replicas(settings) {
        let reply = Peer::new(address)
            .call(Channel::Control, &ControlRequest::Probe, PROBE_TIMEOUT_MS)
            .await;
        stages.push(match reply {
            Ok(ControlReply::Probe(stage)) => Some(stage),
            _ => None,
        });
    }
    stages
}

fn other_replicas(settings: &ControlSettings) -> Vec<SocketAddr> {
    let mut others = Vec::new();
    for replica in &settings.replicas {
        if replica.address != settings.common.peers_address() {
            others.push(replica.address);
        }
    }
    others
}

/// Asks the group to add this replica as a learner.
pub async fn ask_to_join(settings: &ControlSettings, id: NodeId) {
    let mut tried = std::collections::BTreeSet::new();
    let name = settings
        .replicas
        .iter()
        .find(|replica| replica.address == settings.common.peers_address())
        .map_or_else(
            || settings.common.peers_address().to_string().into(),
            |replica| replica.name.clone(),
        );
    let request = ControlRequest::Join { id, name, address: settings.common.peers_address() };
    let mut addresses = other_replicas(settings);
    while let Some(address) = addresses.pop() {
        if !tried.insert(address) {
            continue;
        }
        let reply: Result<ControlReply> =
            Peer::new(address).call(Channel::Control, &request, PROBE_TIMEOUT_MS).await;
        match reply {
            Ok(ControlReply::Joining) => return,
            // The leader may be missing from the settings.
            Ok(ControlReply::NotLeader { leader: Some(leader) }) => addresses.push(leader),
            Ok(_) => {}
            Err(error) => debug!(event = "join_call_failed", peer = %address, error = %error),
        }
    }
}
