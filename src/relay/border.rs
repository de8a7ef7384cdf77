//! The interface to the HTTP headers that a platform uses for requests and responses.

use std::sync::Arc;

use http::{HeaderMap, StatusCode};

use super::prompt::PromptPart;
use crate::message::WeightsName;
use crate::routing::Credential;

/// The metadata in a request's headers.
#[derive(Debug, Clone, Default)]
pub struct RequestMeta {
    /// The client's id for this attempt.
    pub id: Arc<str>,
    /// How long the client waits.
    pub deadline_ms: Option<u64>,
    /// The weights that the request needs.
    pub weights: Option<WeightsName>,
    /// The length of the prompt.
    pub prompt_tokens: u32,
    /// The parts of the prompt in order, if the client states them.
    pub prompt_parts: Vec<PromptPart>,
    /// The maximum length of the output.
    pub output_tokens: u32,
    /// Names of prompt fields that could not be read, or only in part; unreadable values count as
    /// 0.
    pub unread: Vec<&'static str>,
    /// The id of the last event that the client received, if it resumes a stream.
    pub last_event: Option<u64>,
    /// The id of the attempt that received the stream's first event, if the client resumes it.
    pub resumed_attempt: Option<Arc<str>>,
    /// The client's credential.
    pub credential: Credential,
}

impl RequestMeta {
    /// The tokens of the prompt plus the maximum output; `None` if the client states neither.
    pub fn tokens(&self) -> Option<u64> {
        let tokens = u64::from(self.prompt_tokens) + u64::from(self.output_tokens);
        (tokens > 0).then_some(tokens)
    }
}

/// The metadata that the relay adds when it sends a request to an endpoint.
#[derive(Debug, Clone)]
pub struct SendMeta {
    /// The endpoint's incarnation.
    pub endpoint: Arc<str>,
    /// The endpoint's name; an endpoint with another name must refuse the request.
    pub endpoint_name: Arc<str>,
    /// How long the response may take.
    pub deadline_ms: u64,
    /// The id of the last event that the client received, if a stream is resumed.
    pub last_event: Option<u64>,
    /// The version that the weights must have, if only one will do.
    pub weights_version: Option<u64>,
    /// The request's rank in the endpoint's queue; 0 is served first.
    pub priority: u8,
    /// The workspace of the request.
    pub workspace: Option<Arc<str>>,
}

/// A limit on a rate, for all gateways together, that an endpoint advertises in a response.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub enum RateLimit {
    /// No limit.
    #[default]
    None,
    /// A limit per second.
    PerSecond(f64),
    /// A value that is not a valid number.
    Unreadable,
}

/// The backoff that an endpoint asks of this gateway only, in a refusal.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Backoff {
    /// No backoff.
    #[default]
    None,
    /// A duration in milliseconds.
    Millis(u64),
    /// A value that is not a valid duration.
    Unreadable,
}

/// The metadata in the head of an endpoint's response.
#[derive(Debug, Clone, Default)]
pub struct AnswerMeta {
    /// True if the endpoint states that it did not run the request and will not.
    pub not_run: bool,
    /// True if another incarnation answered, or an endpoint that lacks the weights.
    pub misdirected: bool,
    /// The id of the request that was answered; `None` if the answer carries none and thus belongs to no
    /// request.
    pub request_id: Option<Arc<str>>,
    /// True if the answer carries the endpoint's signature, as every success does.
    pub is_signed: bool,
    /// The endpoint's rate limit.
    pub rate_limit: RateLimit,
    /// The rejections a second, of all gateways together, that the endpoint bears before it ends.
    pub rejection_limit: RateLimit,
    /// The backoff that the endpoint asks for.
    pub backoff: Backoff,
    /// True if the endpoint announces that it is about to shut down.
    pub leaving: bool,
}

/// Reads and writes the HTTP headers of a platform.
pub trait PlatformHeaders: Send + Sync + 'static {
    /// Reads the metadata of a client's request.
    ///
    /// # Errors
    /// What the client has to correct.
    fn read_request(&self, headers: &HeaderMap) -> std::result::Result<RequestMeta, String>;

    /// Removes the headers that only the gateway may send to endpoints.
    fn remove_reserved(&self, headers: &mut HeaderMap);

    /// Writes the metadata that the relay adds.
    fn write_request(&self, headers: &mut HeaderMap, send: &SendMeta);

    /// Reads the metadata in the head of an endpoint's response.
    fn read_answer(&self, status: StatusCode, headers: &HeaderMap) -> AnswerMeta;

    /// True if `path` is the platform's readiness check.
    fn is_ready_path(&self, path: &str) -> bool;
}
