//! Builds the HTTP responses to clients: whole, streamed, or replayed from the run ledger.

use std::sync::Arc;

use bytes::Bytes;
use futures_util::stream;
use http::header::{CONTENT_TYPE, HeaderValue};
use http::{HeaderMap, Response, StatusCode};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use tracing::warn;

use crate::control::ledger::RecordedAnswer;
use crate::error::Error;
use crate::gateway::exchange::{RemainingEvents, Streaming, WholeAnswer};
use crate::gateway::openai::error_object;
use crate::gateway::problem::RUN_HEADER;
use crate::gateway::shared::{InProgress, Shared};
use crate::http::{Answer, answer, final_status};
use crate::message::{AdapterKey, ForwardEvent, RunState};
use crate::metrics::Counter;

/// Response header: name of the adapter that answered.
pub const ADAPTER_HEADER: &str = "winchvane-adapter";
/// Response header: version of the adapter that answered.
pub const ADAPTER_VERSION_HEADER: &str = "winchvane-adapter-version";
/// Response header: time that the request waited for its adapter to load, in milliseconds.
pub const LOAD_WAIT_HEADER: &str = "winchvane-load-wait-ms";
/// Response header: set when the response is replayed from an earlier call with the same
/// idempotency key.
pub const REPLAYED_HEADER: &str = "winchvane-replayed";

pub(super) fn whole_answer(whole: WholeAnswer, adapter: Option<&AdapterKey>) -> Answer {
    let status = final_status(whole.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut answer = answer(status, &whole.content_type, whole.body);
    set_adapter_headers(answer.headers_mut(), adapter, whole.load_wait_ms);
    answer
}

pub(super) fn replayed_answer(recorded: &RecordedAnswer) -> Answer {
    let status = final_status(recorded.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut answer = answer(status, &recorded.content_type, recorded.body.clone());
    set_adapter_headers(answer.headers_mut(), recorded.adapter.as_ref(), 0);
    answer.headers_mut().insert(REPLAYED_HEADER, HeaderValue::from_static("true"));
    answer
}

fn set_adapter_headers(headers: &mut HeaderMap, adapter: Option<&AdapterKey>, load_wait_ms: u32) {
    let Some(adapter) = adapter else { return };
    if let Ok(name) = adapter.name.parse() {
        headers.insert(ADAPTER_HEADER, name);
    }
    headers.insert(ADAPTER_VERSION_HEADER, adapter.version.into());
    headers.insert(LOAD_WAIT_HEADER, load_wait_ms.into());
}

/// State that a streamed response keeps until its body is dropped.
pub(super) struct StreamingBody {
    pub(super) shared: Arc<Shared>,
    pub(super) request_id: Arc<str>,
    /// Counts the request as in progress until the body is dropped.
    pub(super) _in_progress: Option<InProgress>,
}

pub(super) fn stream_answer(
    streaming: Streaming,
    adapter: Option<&AdapterKey>,
    body: StreamingBody,
) -> Answer {
    let Streaming { content_type, first, load_wait_ms, rest } = streaming;
    let frames = stream::unfold(Some((Some(first), rest, body)), next_frame);
    let mut answer = Response::new(StreamBody::new(frames).boxed());
    if let Ok(value) = content_type.parse() {
        answer.headers_mut().insert(CONTENT_TYPE, value);
    }
    set_adapter_headers(answer.headers_mut(), adapter, load_wait_ms);
    answer
}

type StreamState = Option<(Option<Vec<u8>>, RemainingEvents, StreamingBody)>;
type FrameResult = Result<Frame<Bytes>, Error>;

async fn next_frame(state: StreamState) -> Option<(FrameResult, StreamState)> {
    let (first, mut rest, body) = state?;
    if let Some(first) = first {
        return Some((Ok(Frame::data(first.into())), Some((None, rest, body))));
    }
    match rest.next().await {
        ForwardEvent::Data(chunk) => {
            Some((Ok(Frame::data(chunk.into())), Some((None, rest, body))))
        }
        ForwardEvent::End { .. } => None,
        ForwardEvent::Failed { detail, .. } => {
            warn!(event = "stream_failed", request = %body.request_id, detail = %detail);
            body.shared.metrics.count(Counter::RequestsUnknown);
            Some((Ok(Frame::data(stream_error(&detail))), None))
        }
        ForwardEvent::Head { .. } | ForwardEvent::Refused { .. } => {
            Some((Ok(Frame::data(stream_error("the answer begins twice"))), None))
        }
    }
}

/// Error event that ends an interrupted stream, without a `[DONE]` after it.
fn stream_error(detail: &str) -> Bytes {
    let mut object = error_object("server_error", detail, None, "stream_broken");
    object["error"][RUN_HEADER] = RunState::Unknown.as_str().into();
    format!("data: {object}\n\n").into()
}
