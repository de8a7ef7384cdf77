//! Forwards whole responses, which are buffered so that a request can still be resent.

use std::pin::pin;
use std::sync::atomic::{AtomicBool, Ordering};

use bytes::Bytes;
use http::header::CONTENT_LENGTH;
use http::response::Parts;
use http::{Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Body;

use super::answer_buffer::AnswerBuffer;
use super::doubt::{Continuation, OpenAnswer, Raced};
use super::exchange::{ENDPOINT_ENDED, Exchange};
use super::known::IncarnationEnd;
use super::second_send::USUAL_TIMES;
use super::source::{Source, StartedResponse};
use crate::http::{Answer, AnswerBody, full, remove_connection_headers};
use crate::policy::resend::FailureKind;

/// The largest response that is buffered before it is forwarded.
const BUFFERED_RESPONSE_MAX_BYTES: usize = 256 << 10;

/// The body of a response or why it broke off; `None` if the deadline passed before its end.
type Collected = Option<Result<Bytes, String>>;

/// A continuation whose response has arrived completely.
struct Continued {
    exchange: Exchange,
    source: Source,
    head: Parts,
    body: Bytes,
}

/// Waits until the response of a continuation is complete; `None` if it breaks off or is doubted
/// itself.
async fn collect_continuation(continuation: Continuation) -> Option<Continued> {
    let Continuation { exchange, started, .. } = continuation;
    let StartedResponse { source, response } = started;
    let (head, body) = response.into_parts();
    let quiet_max_ms = exchange.chosen.route.latency_objective_ms * USUAL_TIMES;
    let body = tokio::select! {
        biased;
        body = exchange.collect(body, &source) => body?.ok()?,
        _ = source.doubt(quiet_max_ms) => return None,
    };
    Some(Continued { exchange, source, head, body })
}

impl Exchange {
    /// Buffers the whole response, so that the request can still be resent if the response breaks
    /// off.
    pub(super) async fn forward_buffered(mut self, started: StartedResponse) -> Answer {
        let mut started = started;
        loop {
            let StartedResponse { source, response } = started;
            let (head, body) = response.into_parts();
            let (source, head, collected) = match self.race_for_body(body, &source).await {
                Raced::Open(collected) => (source, head, collected),
                Raced::Continued { continued, lost } => {
                    if lost.is_some() {
                        self.note_broken_response(&source, head.status);
                    }
                    self.take_over(source.endpoint(), continued.exchange);
                    (continued.source, continued.head, Some(Ok(continued.body)))
                }
            };
            let broken = match collected {
                Some(Ok(body)) => {
                    let (endpoint, is_direct) = (source.endpoint().clone(), source.is_direct());
                    source.keep(&self.relay, &head.headers);
                    self.note_answer_time();
                    if head.status.is_success() {
                        self.note_served();
                    }
                    if is_direct && !head.status.is_server_error() {
                        self.note_outcome(&endpoint, None);
                    }
                    self.end_guard.note_logged();
                    let mut answer = Response::from_parts(head, full(body));
                    remove_connection_headers(answer.headers_mut());
                    answer.headers_mut().remove(CONTENT_LENGTH);
                    return answer;
                }
                Some(Err(error)) => {
                    self.note_broken_response(&source, head.status);
                    Some(error)
                }
                None => None,
            };
            let is_replaced = source.is_replaced();
            let (endpoint, is_direct) = (source.endpoint().clone(), source.is_direct());
            drop(source);
            let handled = if let Some(detail) = broken {
                if is_direct {
                    self.handle_broken(&endpoint, detail)
                } else {
                    self.handle_unknown_outcome(detail)
                }
            } else {
                self.note_overdue();
                let detail = "the answer did not end before the deadline";
                self.handle_unknown_outcome(detail.to_owned())
            };
            if let Err(failure) = handled {
                return self.give_up(failure);
            }
            if is_replaced {
                self.wait_for_evaluation(&endpoint).await;
            }
            started = match self.start(None).await {
                Ok(started) => started,
                Err(failure) => return self.give_up(failure),
            };
        }
    }

    /// Reads the rest of a response and, once that is doubted, the response of another endpoint.
    async fn race_for_body(
        &self,
        body: AnswerBody,
        source: &Source,
    ) -> Raced<Collected, Continued> {
        let answer = OpenAnswer {
            endpoint: source.endpoint(),
            last_event: None,
            is_continuable: !self.is_detour,
        };
        let quiet_max_ms = self.chosen.route.latency_objective_ms * USUAL_TIMES;
        let open = pin!(self.collect(body, source));
        let doubt = pin!(source.doubt(quiet_max_ms));
        let is_lost = |collected: &Collected| matches!(collected, Some(Err(_)));
        self.race(answer, open, is_lost, doubt, collect_continuation).await
    }

    /// Reads the rest of a response; `None` if the deadline passes.
    async fn collect(&self, body: AnswerBody, source: &Source) -> Collected {
        let has_data = AtomicBool::new(false);
        let read = async {
            let announced_bytes = body.size_hint().exact().and_then(|it| usize::try_from(it).ok());
            let size_max_bytes = announced_bytes
                .map_or(BUFFERED_RESPONSE_MAX_BYTES, |it| it.min(BUFFERED_RESPONSE_MAX_BYTES));
            let mut body = Limited::new(body, BUFFERED_RESPONSE_MAX_BYTES);
            let mut collected = AnswerBuffer::new(self.client.as_ref(), size_max_bytes);
            while let Some(frame) = body.frame().await {
                has_data.store(true, Ordering::Relaxed);
                let frame = frame.map_err(|error| error.to_string())?;
                let Ok(data) = frame.into_data() else { continue };
                collected.append(&data).await;
            }
            Ok(collected.finish())
        };
        let ended = async {
            loop {
                has_data.store(false, Ordering::Relaxed);
                source.wait_for_end().await;
                // A response that still arrives is not lost.
                if !has_data.load(Ordering::Relaxed) {
                    return;
                }
            }
        };
        tokio::select! {
            biased;
            collected = self.relay.clock.timeout_at(self.ends_at_ms, read) => collected,
            () = ended => Some(Err(ENDPOINT_ENDED.to_owned())),
        }
    }

    /// Records a response that broke off. One that came through another gateway is recorded there.
    fn note_broken_response(&mut self, source: &Source, status: StatusCode) {
        if !source.is_direct() {
            return;
        }
        if source.is_replaced() {
            self.note_ended(source.endpoint(), IncarnationEnd::Replaced);
        } else {
            self.note_broken_off(source.endpoint());
        }
        // An error status was recorded when the response started.
        if !status.is_server_error() {
            self.note_outcome(source.endpoint(), Some(FailureKind::Broken));
        }
    }
}
