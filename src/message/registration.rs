//! Endpoints that register themselves, and what the leader tells gateways about their adapters.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// A base model, or an adapter of one.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct WeightsName {
    /// The base model.
    pub model: Arc<str>,
    /// The adapter; none for the base model itself.
    pub adapter: Option<Arc<str>>,
}

impl WeightsName {
    /// The adapter `adapter` of `model`.
    pub fn new(model: impl Into<Arc<str>>, adapter: Option<&str>) -> Self {
        Self { model: model.into(), adapter: adapter.map(Into::into) }
    }

    /// The base model without an adapter.
    #[must_use]
    pub fn base(&self) -> Self {
        Self { model: self.model.clone(), adapter: None }
    }
}

impl fmt::Display for WeightsName {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.adapter {
            Some(adapter) => write!(out, "{}/{adapter}", self.model),
            None => write!(out, "{}", self.model),
        }
    }
}

/// Weights at a version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Weights {
    /// What they are of.
    pub name: WeightsName,
    /// Their version.
    pub version: u64,
}

/// One life of an endpoint, as it registers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegisteredEndpoint {
    /// The incarnation's own id; a restart brings another one.
    pub id: Arc<str>,
    /// The name that the endpoint goes by; it may keep it when it restarts.
    pub name: Arc<str>,
    /// When the incarnation started, as it says: Unix milliseconds, 0 where it does not say. Clocks
    /// jump, so that it tells incarnations apart and orders them only as a hint.
    pub born_ms: u64,
    /// The service that it serves.
    pub service: Arc<str>,
    /// Where it serves.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// Requests that it runs at once.
    pub slots: u32,
    /// True once it has announced that it leaves.
    pub leaving: bool,
}

impl RegisteredEndpoint {
    /// The id of the incarnation of `name` that was born at `born_ms`.
    ///
    /// Everything known of an endpoint is kept by this id, so that nothing of one incarnation is taken
    /// for the next one's, which begins empty and counts anew under the same name.
    pub fn incarnation_id(name: &str, born_ms: u64) -> Arc<str> {
        if born_ms == 0 { name.into() } else { format!("{name}@{born_ms}").into() }
    }

    /// True when `other` goes by the same name and is another incarnation.
    pub fn is_other_incarnation_of(&self, other: &Self) -> bool {
        self.name == other.name && self.id != other.id
    }
}

/// The end of an endpoint, as it tells it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointEnd {
    /// The endpoint's name.
    pub name: Arc<str>,
    /// When the incarnation that ends started; the one that is registered where it does not say.
    pub born_ms: Option<u64>,
}

/// What an endpoint tells again and again.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Who it is.
    pub endpoint: RegisteredEndpoint,
    /// Rises with each heartbeat of one incarnation.
    pub sequence: u64,
    /// What it holds; none when the endpoint tells nothing of weights.
    pub holds: Option<Vec<Weights>>,
}

/// An adapter that requests ask for and that no endpoint known to the gateway holds, or too few.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdapterNeed {
    /// The service whose endpoints may hold it.
    pub service: Arc<str>,
    /// The adapter, or the base model.
    pub weights: WeightsName,
    /// How many requests asked since the last time.
    pub requests: u32,
    /// True when the endpoints that hold it are full and one more is asked for.
    pub more: bool,
}

/// What an endpoint holds, as the leader of control knows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placed {
    /// The endpoint's id.
    pub endpoint: Arc<str>,
    /// What it is about.
    pub name: WeightsName,
    /// What is known of them there.
    pub holding: Holding,
}

/// Whether an endpoint holds weights.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Holding {
    /// Requests may use them, at this version.
    Ready(u64),
    /// They are on their way.
    Coming,
    /// It does not hold them any more.
    Gone,
}

/// What gateways have under way at an endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests.
    pub running: u32,
    /// How long the endpoint reads the prompts of those that are not answered yet.
    pub waiting_ms: u32,
    /// The same of those that are late already; engines read them last.
    pub late_ms: u32,
    /// The demand in requests per minute; reported while the endpoint advertises a rate limit.
    pub demand_per_min: u32,
}

impl Load {
    /// The sum of both.
    #[must_use]
    pub fn saturating_add(self, other: Self) -> Self {
        Self {
            running: self.running.saturating_add(other.running),
            waiting_ms: self.waiting_ms.saturating_add(other.waiting_ms),
            late_ms: self.late_ms.saturating_add(other.late_ms),
            demand_per_min: self.demand_per_min.saturating_add(other.demand_per_min),
        }
    }

    /// What is left without `other`.
    #[must_use]
    pub fn saturating_sub(self, other: Self) -> Self {
        Self {
            running: self.running.saturating_sub(other.running),
            waiting_ms: self.waiting_ms.saturating_sub(other.waiting_ms),
            late_ms: self.late_ms.saturating_sub(other.late_ms),
            demand_per_min: self.demand_per_min.saturating_sub(other.demand_per_min),
        }
    }
}

/// What one gateway, or all others, have under way at one endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointLoad {
    /// The endpoint's id.
    pub endpoint: Arc<str>,
    /// What is under way there.
    pub load: Load,
}

/// The use of weights at one endpoint through one gateway.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightsUse {
    /// The endpoint's id.
    pub endpoint: Arc<str>,
    /// The weights.
    pub name: WeightsName,
    /// Requests that were sent since the gateway's last report.
    pub requests: u32,
    /// How long the endpoint reads their prompts.
    pub reading_ms: u32,
    /// Requests that are under way now.
    pub under_way: u32,
}

/// A version of weights that was named as the newest.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NewestVersion {
    /// The weights.
    pub name: WeightsName,
    /// Their newest version.
    pub version: u64,
}
