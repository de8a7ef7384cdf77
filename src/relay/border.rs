//! How a platform spells requests and answers.

use std::sync::Arc;

use http::{HeaderMap, StatusCode};

use super::prompt::PromptPart;
use crate::message::WeightsName;
use crate::routing::Credential;

/// What a request's headers say.
#[derive(Debug, Clone, Default)]
pub struct RequestMeta {
    /// The client's id for this attempt of its own.
    pub id: Arc<str>,
    /// How long the client waits.
    pub deadline_ms: Option<u64>,
    /// The weights that have to answer it.
    pub weights: Option<WeightsName>,
    /// The tokens of its prompt.
    pub prompt_tokens: u32,
    /// The parts of its prompt, in order, where they are told.
    pub prompt_parts: Vec<PromptPart>,
    /// The most tokens that its answer may have.
    pub output_tokens: u32,
    /// Fields of the prompt that could not be read, or not whole; what is missing counts as nothing.
    pub unread: Vec<&'static str>,
    /// The number of the last event that the client has, where it takes a stream up.
    pub last_event: Option<u64>,
    /// Whose request it is.
    pub credential: Credential,
}

impl RequestMeta {
    /// The tokens of its prompt and the most of its answer; none where they are not told.
    pub fn tokens(&self) -> Option<u64> {
        let tokens = u64::from(self.prompt_tokens) + u64::from(self.output_tokens);
        (tokens > 0).then_some(tokens)
    }
}

/// What the relay adds to a request for one endpoint.
#[derive(Debug, Clone)]
pub struct SendMeta {
    /// The endpoint's incarnation.
    pub endpoint: Arc<str>,
    /// The endpoint's name; one that goes by another name must refuse.
    pub endpoint_name: Arc<str>,
    /// How long the answer may take.
    pub deadline_ms: u64,
    /// The last event that the client has, where a stream is taken up.
    pub last_event: Option<u64>,
    /// The version that the weights must have, where it matters.
    pub weights_version: Option<u64>,
    /// The rank of the request's route; 0 goes first.
    pub priority: u8,
    /// The workspace that the request belongs to.
    pub workspace: Option<Arc<str>>,
}

/// The rate limit for all gateways together that an endpoint advertises in an answer.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub enum RateLimit {
    /// No limit.
    #[default]
    None,
    /// A limit in requests per second.
    PerSecond(f64),
    /// A value that is not a valid number.
    Unreadable,
}

/// The backoff that an endpoint asks this gateway, but not the others, for in a refusal.
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

/// What an answer's head says.
#[derive(Debug, Clone, Default)]
pub struct AnswerMeta {
    /// True when the endpoint says that it did not start the request and will not.
    pub not_run: bool,
    /// True when another incarnation answered, or one that lacks the weights.
    pub misdirected: bool,
    /// The id of the request that is answered.
    pub request_id: Option<Arc<str>>,
    /// The endpoint's rate limit.
    pub rate_limit: RateLimit,
    /// The backoff that the endpoint asks for.
    pub backoff: Backoff,
    /// True when the endpoint announces that it is about to shut down.
    pub leaving: bool,
}

/// Reads and writes what a platform puts into headers.
pub trait PlatformHeaders: Send + Sync + 'static {
    /// Reads a client's request.
    ///
    /// # Errors
    /// What the client has to correct.
    fn read_request(&self, headers: &HeaderMap) -> std::result::Result<RequestMeta, String>;

    /// Removes what a client must not tell endpoints: what the gateway alone may say.
    fn remove_reserved(&self, headers: &mut HeaderMap);

    /// Writes what the relay adds.
    fn write_request(&self, headers: &mut HeaderMap, send: &SendMeta);

    /// Reads the head of an endpoint's answer.
    fn read_answer(&self, status: StatusCode, headers: &HeaderMap) -> AnswerMeta;

    /// True when `path` asks whether this gateway takes requests.
    fn is_ready_path(&self, path: &str) -> bool;
}
