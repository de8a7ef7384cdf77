//! Requests that a gateway forwards to the owner of an endpoint, and the events of their answers.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::message::{AdapterKey, Priority, RunState, Summary};

/// A request forwarded to the gateway that owns the endpoint.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ForwardRequest {
    /// The id of the caller's request.
    pub request_id: Arc<str>,
    /// The selected endpoint.
    pub endpoint: Arc<str>,
    /// The required adapter and version; `None` for a service without an adapter.
    pub adapter: Option<AdapterKey>,
    /// The workspace of the service.
    pub workspace: Arc<str>,
    /// The priority.
    pub priority: Priority,
    /// The remaining time for the whole answer.
    pub remaining_ms: u32,
    /// The call.
    pub call: Call,
}

/// A call to an endpoint.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Call {
    /// The HTTP method.
    pub method: Arc<str>,
    /// The path and query.
    pub path: Arc<str>,
    /// The content type, if there is a body.
    pub content_type: Option<Arc<str>>,
    /// The idempotency key, for endpoints that support it themselves.
    pub idempotency_key: Option<Arc<str>>,
    /// True if the answer is to be streamed.
    pub stream: bool,
    /// The body.
    pub body: Vec<u8>,
}

/// A part of the answer to a [`ForwardRequest`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum ForwardEvent {
    /// The owner refused the request; it was not run.
    Refused {
        /// The reason.
        refusal: Refusal,
        /// The time after which a retry is worthwhile.
        retry_after_ms: u32,
        /// The current state of the endpoint.
        summary: Option<Summary>,
    },
    /// The head of the answer.
    Head {
        /// The endpoint's HTTP status.
        status: u16,
        /// The content type.
        content_type: Arc<str>,
        /// The time that the request waited for its adapter to load.
        load_wait_ms: u32,
    },
    /// A part of the body.
    Data(Vec<u8>),
    /// The answer is complete.
    End {
        /// The current state of the endpoint.
        summary: Option<Summary>,
    },
    /// The request failed, or its answer was cut off.
    Failed {
        /// Whether the request was run.
        run: RunState,
        /// The error text.
        detail: String,
    },
}

/// The reason for which an owner did not run a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Refusal {
    /// This gateway does not own the endpoint.
    NotOwner,
    /// The endpoint is shutting down.
    Leaving,
    /// The endpoint does not answer.
    EndpointDown,
    /// The queue of the endpoint is full.
    QueueFull,
    /// The workspace uses more than its share of the queue.
    WorkspaceShare,
    /// The request cannot be answered before its deadline.
    DeadlineUnmeetable,
    /// The deadline passed while the request was queued.
    DeadlinePassed,
    /// The adapter could not be loaded.
    LoadFailed,
    /// Too many loads wait for the weight store.
    LoadBacklog,
    /// The engine refused the request before running it.
    EndpointRefused,
    /// The owner's lease cannot be confirmed.
    LeaseLost,
}

impl Refusal {
    /// True if another endpoint may still accept the request.
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
