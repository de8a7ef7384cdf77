//! Reads state that was stored before endpoints reported software versions.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

use serde::Deserialize;

use crate::binary;
use crate::control::config::Config;
use crate::control::fleet::Fleet;
use crate::control::ledger::Ledger;
use crate::control::placement::OrderHolders;
use crate::control::registry::{Registry, StoredRouting};
use crate::control::state::State;
use crate::message::{FeatureKey, FeatureStanding, RegisteredEndpoint, WeightsName};

#[derive(Deserialize)]
struct LegacyState {
    clock_ms: u64,
    config: Config,
    ledger: Ledger,
    fleet: Fleet,
    registry: LegacyRegistry,
}

#[derive(Deserialize)]
pub(super) struct LegacyRegistry {
    pub(super) routing: Option<StoredRouting>,
    endpoints: BTreeMap<Arc<str>, LegacyEndpoint>,
    pub(super) ended_ids: VecDeque<Arc<str>>,
    pub(super) versions: BTreeMap<WeightsName, u64>,
    pub(super) order_holders: OrderHolders,
    pub(super) copies: BTreeMap<Arc<str>, VecDeque<WeightsName>>,
    pub(super) standings: BTreeMap<FeatureKey, FeatureStanding>,
}

#[derive(Deserialize)]
struct LegacyEndpoint {
    id: Arc<str>,
    name: Arc<str>,
    born_ms: u64,
    service: Arc<str>,
    address: SocketAddr,
    zone: Arc<str>,
    slots: u32,
    leaving: bool,
}

/// Decodes an older snapshot.
///
/// # Errors
/// Bytes that are not an encoded state.
pub(super) fn decode(bytes: &[u8]) -> Result<State, String> {
    let decoded: LegacyState = match binary::decode(bytes) {
        Ok(state) => state,
        // Still older snapshots end without standings, the last field; appending a zero byte decodes
        // them as none.
        Err(_) => binary::decode(&[bytes, &[0]].concat())?,
    };
    let LegacyState { clock_ms, config, ledger, fleet, registry } = decoded;
    Ok(State::from_parts(clock_ms, config, ledger, fleet, Registry::from_legacy(registry)))
}

impl LegacyRegistry {
    /// The endpoints, whose software versions are not known.
    pub(super) fn take_endpoints(&mut self) -> BTreeMap<Arc<str>, RegisteredEndpoint> {
        let mut endpoints = BTreeMap::new();
        for (key, endpoint) in std::mem::take(&mut self.endpoints) {
            let LegacyEndpoint { id, name, born_ms, service, address, zone, slots, leaving } =
                endpoint;
            let software_version = "".into();
            let endpoint = RegisteredEndpoint {
                id,
                name,
                born_ms,
                service,
                address,
                zone,
                slots,
                leaving,
                software_version,
            };
            endpoints.insert(key, endpoint);
        }
        endpoints
    }
}
