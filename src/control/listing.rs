//! Polling of the platform's list of instances.
//!
//! The list is out of date by the time it is read, so it only tells which endpoints exist and which
//! are about to stop; whether an endpoint answers is observed by its owner.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tracing::warn;

use crate::control::fleet::{EndpointKind, ListedEndpoint};
use crate::control::server::{ReplicaHandle, ReplicaMessage};
use crate::error::{Error, Result};
use crate::http::HttpClient;
use crate::message::LoadReport;
use crate::settings::{ControlSettings, PoolSettings};

const LIST_MAX_BYTES: usize = 16 << 20;
const LIST_TIMEOUT_MS: u64 = 2_000;

/// An instance in the platform's answer to `GET /instances`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PlatformInstance {
    /// The unique name.
    pub name: Arc<str>,
    /// Where it serves HTTP.
    pub address: SocketAddr,
    /// The availability zone.
    pub zone: Arc<str>,
    /// The pool.
    pub pool: Arc<str>,
    /// Live or leaving.
    pub state: PlatformState,
    /// Number of requests that the platform saw running on it some time ago; not every platform
    /// reports it.
    #[serde(default)]
    pub running: Option<u32>,
}

/// The state of an instance in the platform's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum PlatformState {
    /// Accepts requests.
    Live,
    /// About to stop.
    Leaving,
}

/// Polls the list while this replica leads, and sends it to the replica.
pub async fn poll(
    settings: ControlSettings,
    address: SocketAddr,
    leads: Arc<AtomicBool>,
    actor: ReplicaHandle,
) {
    let client = HttpClient::new(LIST_TIMEOUT_MS);
    let pause = Duration::from_millis(settings.platform_poll_ms);
    loop {
        tokio::time::sleep(pause).await;
        if !leads.load(Ordering::Relaxed) {
            continue;
        }
        match read(&client, address, &settings).await {
            Ok(listed) => {
                let Listing { endpoints, load_reports } = listed;
                if actor.cast(ReplicaMessage::Listed(endpoints, load_reports)).is_err() {
                    return;
                }
            }
            Err(error) => warn!(event = "platform_list_failed", error = %error),
        }
    }
}

/// The endpoints in the list and the load reports on plain ones.
struct Listing {
    endpoints: Vec<ListedEndpoint>,
    load_reports: Vec<LoadReport>,
}

async fn read(
    client: &HttpClient,
    address: SocketAddr,
    settings: &ControlSettings,
) -> Result<Listing> {
    let body = client.get(address, "/instances", LIST_TIMEOUT_MS, LIST_MAX_BYTES).await?;
    let instances: Vec<PlatformInstance> = serde_json::from_slice(&body)
        .map_err(|error| Error::failed("read platform list", address.to_string(), error))?;
    let mut endpoints = Vec::with_capacity(instances.len());
    let mut load_reports = Vec::new();
    for instance in instances {
        let Some(pool) = settings.pools.iter().find(|pool| pool.name == instance.pool) else {
            warn!(event = "instance_of_unknown_pool", instance = %instance.name, pool = %instance.pool);
            continue;
        };
        if let (EndpointKind::Plain, Some(running)) = (pool.kind, instance.running) {
            load_reports.push(LoadReport { endpoint: instance.name.clone(), running });
        }
        endpoints.push(listed_endpoint(instance, pool));
    }
    Ok(Listing { endpoints, load_reports })
}

fn listed_endpoint(instance: PlatformInstance, pool: &PoolSettings) -> ListedEndpoint {
    ListedEndpoint {
        name: instance.name,
        address: instance.address,
        zone: instance.zone,
        pool: instance.pool,
        kind: pool.kind,
        checks_epoch: pool.checks_epoch,
        places: pool.places,
        leaving: instance.state == PlatformState::Leaving,
    }
}
