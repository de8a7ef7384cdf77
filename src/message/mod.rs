//! The values that travel between the system's processes.
//!
//! What concerns control stands in a file of its own, and so do requests on their way to an owner;
//! all are found here.

mod control;
mod crash;
mod credit;
mod forward;
mod order;
mod registration;
mod request_key;
mod session;

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

pub use control::{
    ApplyReply, Change, ControlReply, ControlRequest, DocumentVerdict, GroupStatus, PeerMessage,
    PermitRequest, ProbeReply, Verdict,
};
pub use crash::{BrokenRun, EndpointCrash, RequestStanding, Standing};
pub use credit::{CreditAsk, CreditGrant};
pub use forward::{Call, ForwardEvent, ForwardRequest, Refusal};
pub use order::{EngineOrder, EngineReport, OrderKind, OrderOutcome, OrderResult};
pub use registration::{
    AdapterNeed, EndpointEnd, EndpointLoad, Heartbeat, Holding, Load, NewestVersion, Placed,
    RegisteredEndpoint, Weights, WeightsName, WeightsUse,
};
pub use request_key::{RequestContent, RequestKey};
pub use session::{
    Forwarded, Group, LoadReport, SessionDown, SessionHello, SessionRole, SessionServer, SessionUp,
};

/// What is known about a request that got no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunState {
    /// It was never started on an endpoint.
    NotRun,
    /// It may have run.
    Unknown,
}

impl RunState {
    /// The value of the `winchvane-run` header.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

/// An adapter and its version.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AdapterKey {
    /// The adapter's name.
    pub name: Arc<str>,
    /// The version.
    pub version: u32,
}

impl AdapterKey {
    /// The adapter `name` at `version`.
    pub fn new(name: impl Into<Arc<str>>, version: u32) -> Self {
        Self { name: name.into(), version }
    }

    /// Reads `name@version`.
    pub fn parse(text: &str) -> Option<Self> {
        let (name, version) = text.rsplit_once('@')?;
        if name.is_empty() {
            return None;
        }
        Some(Self { name: name.into(), version: version.parse().ok()? })
    }
}

impl fmt::Display for AdapterKey {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{}@{}", self.name, self.version)
    }
}

/// How urgent a request is.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Priority {
    /// Somebody waits for the answer.
    Interactive,
    /// The usual case.
    #[default]
    Standard,
    /// Work that may wait.
    Batch,
}

impl Priority {
    /// All priorities, the most urgent first.
    pub const ALL: [Self; 3] = [Self::Interactive, Self::Standard, Self::Batch];

    /// Reads `interactive`, `standard` or `batch`.
    pub fn parse(text: &str) -> Option<Self> {
        match text {
            "interactive" => Some(Self::Interactive),
            "standard" => Some(Self::Standard),
            "batch" => Some(Self::Batch),
            _ => None,
        }
    }

    /// The name that [`parse`](Self::parse) reads.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Interactive => "interactive",
            Self::Standard => "standard",
            Self::Batch => "batch",
        }
    }
}

/// Which calls of a service may never be repeated.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum NotRepeatable {
    /// Every call may be repeated.
    None,
    /// No call may be repeated.
    All,
    /// The calls listed as `METHOD /path` may not be; a path covers what is below it.
    Calls(Arc<[Arc<str>]>),
}

impl NotRepeatable {
    /// True when a call with this method and path may not be repeated.
    pub fn covers(&self, method: &str, path: &str) -> bool {
        let calls = match self {
            Self::None => return false,
            Self::All => return true,
            Self::Calls(calls) => calls,
        };
        for call in calls.iter() {
            let (call_method, call_path) = call.split_once(' ').unwrap_or(("*", call));
            if call_method != "*" && !call_method.eq_ignore_ascii_case(method) {
                continue;
            }
            let Some(rest) = path.strip_prefix(call_path.trim_end_matches('/')) else { continue };
            if rest.is_empty() || rest.starts_with('/') || rest.starts_with('?') {
                return true;
            }
        }
        false
    }
}

/// A service as the gateways use it, made from its template and parameters.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// The unique name.
    pub name: Arc<str>,
    /// The workspace that owns it.
    pub workspace: Arc<str>,
    /// The pool of endpoints that serves it.
    pub pool: Arc<str>,
    /// The adapter; none for a plain service.
    pub adapter: Option<AdapterKey>,
    /// The priority of its requests.
    pub priority: Priority,
    /// The longest time that a caller waits.
    pub deadline_ms: u32,
    /// The most tokens that one answer may have.
    pub max_tokens: u32,
    /// Which calls may never be repeated.
    pub not_repeatable: NotRepeatable,
}

/// What an owner tells about one endpoint.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// The endpoint.
    pub endpoint: Arc<str>,
    /// The epoch of the ownership under which this was seen.
    pub epoch: u64,
    /// Rises with each summary of one epoch.
    pub sequence: u64,
    /// False when the owner saw it fail.
    pub healthy: bool,
    /// Adapters that are loaded or loading; `None` when unchanged since the last summary.
    pub adapters: Option<Vec<AdapterKey>>,
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub queued: u32,
    /// Requests that can run at once.
    pub places: u32,
    /// Adapters that can be loaded at once.
    pub slots: u32,
    /// How often the least used idle adapter is asked for, per second; 0 when a slot is free and
    /// infinite when every slot is busy.
    pub coldest_rate: f32,
}
