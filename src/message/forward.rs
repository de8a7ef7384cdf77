//! Requests on their way to the owner of an endpoint, and what comes back.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::message::{AdapterKey, Priority, RunState, Summary};

/// A request on its way to the owner of an endpoint.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ForwardRequest {
    /// The id of the caller's request.
    pub request_id: Arc<str>,
    /// The endpoint chosen.
    pub endpoint: Arc<str>,
    /// The adapter and version that must answer; none for a plain service.
    pub adapter: Option<AdapterKey>,
    /// The workspace of the service.
    pub workspace: Arc<str>,
    /// The priority.
    pub priority: Priority,
    /// The time that is left for the whole answer.
    pub remaining_ms: u32,
    /// The call itself.
    pub call: Call,
}

/// A call to an endpoint.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Call {
    /// The HTTP method.
    pub method: Arc<str>,
    /// Path and query.
    pub path: Arc<str>,
    /// The content type, if there is a body.
    pub content_type: Option<Arc<str>>,
    /// The idempotency key, for endpoints that know it too.
    pub idempotency_key: Option<Arc<str>>,
    /// True when the answer is to be streamed.
    pub stream: bool,
    /// The body.
    pub body: Vec<u8>,
}

/// What comes back for a [`ForwardRequest`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum ForwardEvent {
    /// The request was not run here.
    Refused {
        /// Why.
        refusal: Refusal,
        /// When to come back.
        retry_after_ms: u32,
        /// How the endpoint looks now.
        summary: Option<Summary>,
    },
    /// The answer begins.
    Head {
        /// The endpoint's HTTP status.
        status: u16,
        /// The content type.
        content_type: Arc<str>,
        /// How long the request waited for its adapter to load.
        load_wait_ms: u32,
    },
    /// A part of the answer.
    Data(Vec<u8>),
    /// The answer is whole.
    End {
        /// How the endpoint looks now.
        summary: Option<Summary>,
    },
    /// The answer stops here.
    Failed {
        /// Whether the request ran.
        run: RunState,
        /// What happened.
        detail: String,
    },
}

/// Why an owner did not run a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Refusal {
    /// This gateway does not own the endpoint.
    NotOwner,
    /// The endpoint is leaving.
    Leaving,
    /// The endpoint does not answer.
    EndpointDown,
    /// Too much waits there already.
    QueueFull,
    /// The workspace has more than its share of the queue.
    WorkspaceShare,
    /// The answer could not come in time.
    DeadlineUnmeetable,
    /// The deadline passed while the request waited.
    DeadlinePassed,
    /// The adapter could not be loaded.
    LoadFailed,
    /// Too many loads wait for the weight store.
    LoadBacklog,
    /// The engine refused the request before it started.
    EndpointRefused,
    /// The owner's lease cannot be confirmed.
    LeaseLost,
}

impl Refusal {
    /// True when another endpoint may still take the request.
    pub fn can_retry_elsewhere(self) -> bool {
        !matches!(self, Self::DeadlinePassed | Self::WorkspaceShare | Self::LoadBacklog)
    }

    /// A short name for logs, metrics and error texts.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotOwner => "not_owner",
            Self::Leaving => "leaving",
            Self::EndpointDown => "endpoint_down",
            Self::QueueFull => "queue_full",
            Self::WorkspaceShare => "workspace_share",
            Self::DeadlineUnmeetable => "deadline_unmeetable",
            Self::DeadlinePassed => "deadline_passed",
            Self::LoadFailed => "load_failed",
            Self::LoadBacklog => "load_backlog",
            Self::EndpointRefused => "endpoint_refused",
            Self::LeaseLost => "lease_lost",
        }
    }
}
