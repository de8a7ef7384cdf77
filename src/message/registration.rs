//! Messages about endpoints that register themselves: registrations, heartbeats, loads, and the
//! weights that the endpoints hold.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// A base model, or an adapter of one.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct WeightsName {
    /// The base model.
    pub model: Arc<str>,
    /// The adapter; `None` for the base model itself.
    pub adapter: Option<Arc<str>>,
}

impl WeightsName {
    /// `adapter` of `model`, or the base model if `adapter` is `None`.
    pub fn new(model: impl Into<Arc<str>>, adapter: Option<&str>) -> Self {
        Self { model: model.into(), adapter: adapter.map(Into::into) }
    }

    /// The length of both names together.
    pub fn size_bytes(&self) -> usize {
        self.model.len() + self.adapter.as_ref().map_or(0, |adapter| adapter.len())
    }

    /// The base model of these weights.
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
    /// The base model or adapter.
    pub name: WeightsName,
    /// The version.
    pub version: u64,
}

/// The registration of one incarnation of an endpoint; each restart begins a new incarnation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegisteredEndpoint {
    /// The id of the incarnation; a restart changes it if the endpoint reports its start time.
    pub id: Arc<str>,
    /// The name of the endpoint, which may be the same after a restart.
    pub name: Arc<str>,
    /// The start time that the incarnation reports, in Unix milliseconds; 0 if it reports none.
    /// It distinguishes incarnations, but is only a hint at their order, since clocks jump.
    pub born_ms: u64,
    /// The service that the endpoint serves.
    pub service: Arc<str>,
    /// The address at which it serves requests.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// The maximum number of concurrent requests.
    pub slots: u32,
    /// True once the endpoint has announced its shutdown.
    pub leaving: bool,
    /// The version of its software; empty if it reports none. A stream that one version began
    /// cannot be continued by another one.
    pub software_version: Arc<str>,
}

impl RegisteredEndpoint {
    /// The id of the incarnation of `name` that started at `born_ms`.
    ///
    /// All state of an endpoint is stored under this id, so that the state of one incarnation is
    /// not mistaken for that of the next one, which starts without weights and with new counters
    /// under the same name.
    pub fn incarnation_id(name: &str, born_ms: u64) -> Arc<str> {
        if born_ms == 0 { name.into() } else { format!("{name}@{born_ms}").into() }
    }

    /// True if `other` is another incarnation of the same name.
    pub fn is_other_incarnation_of(&self, other: &Self) -> bool {
        self.name == other.name && self.id != other.id
    }
}

/// The shutdown of an endpoint, as the endpoint announces it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointEnd {
    /// The endpoint's name.
    pub name: Arc<str>,
    /// The start time of the incarnation that shuts down; `None` means the registered one.
    pub born_ms: Option<u64>,
}

/// The state that an endpoint reports periodically.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The registration of the endpoint.
    pub endpoint: RegisteredEndpoint,
    /// Increases with each heartbeat of one incarnation.
    pub sequence: u64,
    /// The weights that the endpoint holds; `None` if it does not report weights.
    pub holds: Option<Vec<Weights>>,
}

/// The longest name that control keeps.
const NAME_MAX_BYTES: usize = 1 << 10;

/// Fails if a name is longer than control keeps.
fn check_name(what: &str, name: &str) -> Result<(), String> {
    if name.len() <= NAME_MAX_BYTES {
        return Ok(());
    }
    Err(format!("{what} has {} bytes, of {NAME_MAX_BYTES} at most", name.len()))
}

impl WeightsName {
    /// Checks that control can keep the names.
    ///
    /// # Errors
    /// Which one is too long.
    pub fn check(&self) -> Result<(), String> {
        check_name("the model", &self.model)?;
        self.adapter.as_deref().map_or(Ok(()), |adapter| check_name("the adapter", adapter))
    }
}

impl EndpointEnd {
    /// Checks that control can keep the name.
    ///
    /// # Errors
    /// It is too long.
    pub fn check(&self) -> Result<(), String> {
        check_name("the endpoint", &self.name)
    }
}

impl Heartbeat {
    /// Checks that control can keep what the endpoint reports.
    ///
    /// # Errors
    /// Which name is too long.
    pub fn check(&self) -> Result<(), String> {
        let RegisteredEndpoint { name, service, zone, software_version, .. } = &self.endpoint;
        check_name("the endpoint", name)?;
        check_name("the service", service)?;
        check_name("the availability zone", zone)?;
        check_name("the software version", software_version)?;
        for weights in self.holds.iter().flatten() {
            weights.name.check()?;
        }
        Ok(())
    }
}

/// Weights that requests need and that no endpoint known to the gateway holds, or too few of them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdapterNeed {
    /// The service whose endpoints may hold the weights.
    pub service: Arc<str>,
    /// The adapter or base model.
    pub weights: WeightsName,
    /// The number of requests for the weights since the gateway's last report.
    pub requests: u32,
    /// True if the endpoints that hold the weights are full and one more is needed.
    pub more: bool,
    /// The software version that the endpoint must have, if the requests resume streams.
    pub software_version: Option<Arc<str>>,
}

/// The state of one model or adapter at an endpoint, as known to the leader of control.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placed {
    /// The endpoint's id.
    pub endpoint: Arc<str>,
    /// The base model or adapter.
    pub name: WeightsName,
    /// Whether the endpoint holds the weights.
    pub holding: Holding,
}

/// Whether an endpoint holds weights.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Holding {
    /// The weights are loaded in this version, and requests may use them.
    Ready(u64),
    /// The weights are being loaded.
    Coming,
    /// The endpoint no longer holds the weights.
    Gone,
}

/// The load that gateways put on an endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// The number of requests in progress.
    pub running: u32,
    /// The estimated time to read (prefill) the prompts of requests that are not answered yet; late
    /// requests are counted in `late_ms` instead.
    pub waiting_ms: u32,
    /// The same for requests that are late already, whose prompts engines read last.
    pub late_ms: u32,
    /// The demand in requests per minute; reported while the endpoint advertises a rate limit.
    pub demand_per_min: u32,
    /// The units of work that the endpoint did in the last seconds; older ones count for less.
    pub work_units: u32,
    /// The time that these units took.
    pub work_ms: u32,
    /// The number of gateways to which endpoints of the service have said that they are brittle.
    pub brittle: u32,
}

impl Load {
    /// Adds each figure of `other`; saturates instead of overflowing.
    #[must_use]
    pub fn saturating_add(self, other: Self) -> Self {
        Self {
            running: self.running.saturating_add(other.running),
            waiting_ms: self.waiting_ms.saturating_add(other.waiting_ms),
            late_ms: self.late_ms.saturating_add(other.late_ms),
            demand_per_min: self.demand_per_min.saturating_add(other.demand_per_min),
            work_units: self.work_units.saturating_add(other.work_units),
            work_ms: self.work_ms.saturating_add(other.work_ms),
            brittle: self.brittle.saturating_add(other.brittle),
        }
    }

    /// This load without the work that the endpoint did.
    #[must_use]
    pub fn without_work(self) -> Self {
        Self { work_units: 0, work_ms: 0, ..self }
    }

    /// Subtracts each figure of `other`; the result is at least 0.
    #[must_use]
    pub fn saturating_sub(self, other: Self) -> Self {
        Self {
            running: self.running.saturating_sub(other.running),
            waiting_ms: self.waiting_ms.saturating_sub(other.waiting_ms),
            late_ms: self.late_ms.saturating_sub(other.late_ms),
            demand_per_min: self.demand_per_min.saturating_sub(other.demand_per_min),
            work_units: self.work_units.saturating_sub(other.work_units),
            work_ms: self.work_ms.saturating_sub(other.work_ms),
            brittle: self.brittle.saturating_sub(other.brittle),
        }
    }
}

/// The load of one gateway, or of all other gateways, on an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointLoad {
    /// The endpoint's id.
    pub endpoint: Arc<str>,
    /// The load.
    pub load: Load,
}

/// The use of weights at an endpoint by the requests of one gateway.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightsUse {
    /// The endpoint's id.
    pub endpoint: Arc<str>,
    /// The weights.
    pub name: WeightsName,
    /// The number of requests sent since the gateway's last report.
    pub requests: u32,
    /// The estimated time to read (prefill) the prompts of these requests.
    pub reading_ms: u32,
    /// The number of requests in progress now.
    pub under_way: u32,
}

/// The newest version of weights, as announced to control.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NewestVersion {
    /// The weights.
    pub name: WeightsName,
    /// The newest version.
    pub version: u64,
}
