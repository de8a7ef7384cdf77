//! Types of the messages that gateways, distributors and replicas of control exchange.
//!
//! Each submodule defines the messages of one topic; this module re-exports them and defines the
//! types that several topics share.

mod control;
mod crash;
mod credit;
mod detour;
mod feature_key;
mod followed_routing;
mod forward;
mod order;
mod registration;
mod session;
mod size;
mod slots;
mod stream_origin;
mod workspace_use;

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

pub use control::{
    ApplyReply, Change, ControlReply, ControlRequest, DocumentVerdict, GroupStatus, PeerMessage,
    PermitRequest, ProbeReply, Verdict,
};
pub use crash::{EndpointCrash, FeatureStanding, InterruptedFeature, Standing};
pub use credit::{CreditAsk, CreditGrant};
pub use detour::{DetourRefusal, DetourRequest, PeerEvent, PeerGateway, PeerRequest};
pub use feature_key::{FeatureKey, RequestContent};
pub use followed_routing::FollowedRouting;
pub use forward::{Call, ForwardEvent, ForwardRequest, Refusal};
pub use order::{EngineOrder, EngineReport, OrderKind, OrderOutcome, OrderResult};
pub use registration::{
    AdapterNeed, EndpointEnd, EndpointLoad, Heartbeat, Holding, Load, NewestVersion, Placed,
    RegisteredEndpoint, Weights, WeightsName, WeightsUse,
};
pub use session::{
    Forwarded, Group, LoadReport, SessionDown, SessionHello, SessionRole, SessionServer, SessionUp,
};
pub use slots::{SlotClaim, SlotClaims, SlotGrant, SlotGrants, SlotStream};
pub use stream_origin::{BegunStreams, OriginAsk, StreamKey, StreamOrigin};
pub use workspace_use::{UseCounts, WorkspaceUse};

/// Whether a request that got no answer was run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunState {
    /// The request was never started on an endpoint.
    NotRun,
    /// The request may have run.
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

    /// Parses `name@version`.
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
    /// A user waits for the answer.
    Interactive,
    /// The default.
    #[default]
    Standard,
    /// Background work that may be delayed.
    Batch,
}

impl Priority {
    /// All priorities, most urgent first.
    pub const ALL: [Self; 3] = [Self::Interactive, Self::Standard, Self::Batch];

    /// Parses `interactive`, `standard` or `batch`.
    pub fn parse(text: &str) -> Option<Self> {
        match text {
            "interactive" => Some(Self::Interactive),
            "standard" => Some(Self::Standard),
            "batch" => Some(Self::Batch),
            _ => None,
        }
    }

    /// The name that [`parse`](Self::parse) accepts.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Interactive => "interactive",
            Self::Standard => "standard",
            Self::Batch => "batch",
        }
    }
}

/// The calls of a service that must not be repeated.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum NotRepeatable {
    /// Every call may be repeated.
    None,
    /// No call may be repeated.
    All,
    /// The calls listed as `METHOD /path` must not be repeated; a path includes all paths below it.
    Calls(Arc<[Arc<str>]>),
}

impl NotRepeatable {
    /// True if a call with this method and path must not be repeated.
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

/// A service as gateways use it, rendered from its template and parameters.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// The unique name.
    pub name: Arc<str>,
    /// The workspace that owns the service.
    pub workspace: Arc<str>,
    /// The pool of endpoints that serves it.
    pub pool: Arc<str>,
    /// The adapter; `None` for a service without one.
    pub adapter: Option<AdapterKey>,
    /// The priority of its requests.
    pub priority: Priority,
    /// The maximum time that a caller waits.
    pub deadline_ms: u32,
    /// The maximum number of tokens in an answer.
    pub max_tokens: u32,
    /// The calls that must not be repeated.
    pub not_repeatable: NotRepeatable,
}

/// The state of an endpoint as reported by the gateway that owns it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// The endpoint.
    pub endpoint: Arc<str>,
    /// The epoch of the ownership under which the state was observed.
    pub epoch: u64,
    /// Increases with each summary within one epoch.
    pub sequence: u64,
    /// False if the owner has seen the endpoint fail.
    pub healthy: bool,
    /// Adapters that are loaded or loading; `None` if unchanged since the last summary.
    pub adapters: Option<Vec<AdapterKey>>,
    /// The number of running requests.
    pub running: u32,
    /// The number of queued requests.
    pub queued: u32,
    /// The maximum number of concurrent requests.
    pub places: u32,
    /// The maximum number of loaded adapters.
    pub slots: u32,
    /// Requests per second for the least used idle adapter, which is the next one to be evicted; 0
    /// if a slot is free, infinite if every slot is in use.
    pub coldest_rate: f32,
}
