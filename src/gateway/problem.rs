//! Error responses to clients: HTTP status, error object, whether the request may have run, and the
//! delay before a retry.

use http::StatusCode;
use http::header::{HeaderValue, RETRY_AFTER};
use tracing::info;

use crate::gateway::exchange::GivenUp;
use crate::gateway::openai::{BodyError, error_object};
use crate::gateway::shared::Shared;
use crate::http::{Answer, json_answer};
use crate::message::{Refusal, RunState};
use crate::metrics::Counter;

/// Response header: whether a request that failed may have run.
pub const RUN_HEADER: &str = "winchvane-run";
/// Response header: delay before a retry in milliseconds; `Retry-After` has whole seconds only.
pub const RETRY_AFTER_MS_HEADER: &str = "winchvane-retry-after-ms";

/// An error to be returned to the client.
pub struct Problem {
    /// The HTTP status.
    pub status: StatusCode,
    /// The `type` in the API's error object.
    pub kind: &'static str,
    /// The `code` in the error object.
    pub code: &'static str,
    /// Name of the invalid field, if the error concerns a field.
    pub param: Option<&'static str>,
    /// The `message` in the error object.
    pub message: String,
    /// Whether the request may have run.
    pub run: RunState,
    /// Delay before a retry; none when a retry cannot succeed.
    pub retry_after_ms: Option<u32>,
}

impl Problem {
    /// Creates an error for a request that the client has to correct.
    pub fn invalid(status: StatusCode, code: &'static str, message: impl Into<String>) -> Self {
        Self {
            status,
            kind: "invalid_request_error",
            code,
            param: None,
            message: message.into(),
            run: RunState::NotRun,
            retry_after_ms: None,
        }
    }

    /// Creates an error for a request that did not run and may be retried later.
    pub fn busy(code: &'static str, message: impl Into<String>, retry_after_ms: u32) -> Self {
        Self {
            status: StatusCode::SERVICE_UNAVAILABLE,
            kind: "server_error",
            code,
            param: None,
            message: message.into(),
            run: RunState::NotRun,
            retry_after_ms: Some(retry_after_ms),
        }
    }

    /// Counts and logs the error and builds the response.
    pub fn into_answer(self, shared: &Shared, request_id: &str) -> Answer {
        let counter = match (self.run, self.status.is_client_error()) {
            (RunState::Unknown, _) => Counter::RequestsUnknown,
            (RunState::NotRun, true) if self.retry_after_ms.is_none() => Counter::RequestsInvalid,
            (RunState::NotRun, _) => Counter::RequestsRefused,
        };
        shared.metrics.count(counter);
        info!(
            event = "request_failed",
            request = request_id,
            status = self.status.as_u16(),
            code = self.code,
            run = self.run.as_str(),
            detail = %self.message
        );
        let object = error_object(self.kind, &self.message, self.param, self.code);
        let mut answer = json_answer(self.status, &object);
        let headers = answer.headers_mut();
        headers.insert(RUN_HEADER, HeaderValue::from_static(self.run.as_str()));
        if let Some(retry_after_ms) = self.retry_after_ms {
            headers.insert(RETRY_AFTER, retry_after_ms.div_ceil(1_000).max(1).into());
            headers.insert(RETRY_AFTER_MS_HEADER, retry_after_ms.into());
        }
        answer
    }
}

impl From<BodyError> for Problem {
    fn from(error: BodyError) -> Self {
        let mut problem = Self::invalid(StatusCode::BAD_REQUEST, "invalid_body", error.message);
        problem.param = error.param;
        problem
    }
}

impl From<GivenUp> for Problem {
    fn from(given_up: GivenUp) -> Self {
        let GivenUp { run, refusal, retry_after_ms, detail } = given_up;
        let (status, code) = match (run, refusal) {
            (RunState::Unknown, _) => (StatusCode::BAD_GATEWAY, "outcome_unknown"),
            (_, Some(Refusal::QueueFull | Refusal::WorkspaceShare)) => {
                (StatusCode::TOO_MANY_REQUESTS, "overloaded")
            }
            (_, Some(Refusal::DeadlinePassed)) => (StatusCode::GATEWAY_TIMEOUT, "deadline_passed"),
            (_, Some(Refusal::DeadlineUnmeetable)) => {
                (StatusCode::SERVICE_UNAVAILABLE, "deadline_unmeetable")
            }
            (_, Some(Refusal::LoadBacklog)) => (StatusCode::SERVICE_UNAVAILABLE, "load_backlog"),
            (_, Some(Refusal::LoadFailed)) => (StatusCode::SERVICE_UNAVAILABLE, "load_failed"),
            _ => (StatusCode::SERVICE_UNAVAILABLE, "no_endpoint"),
        };
        Self {
            status,
            kind: "server_error",
            code,
            param: None,
            message: detail,
            run,
            retry_after_ms: Some(retry_after_ms),
        }
    }
}
