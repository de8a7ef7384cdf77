//! Answers that are doubted: continued elsewhere beside the open one, which is given up only once its
//! continuation has brought something.
//!
//! An endpoint that pauses, a connection that has fallen silent and an endpoint that has ended without
//! closing anything look the same for a while. Whatever a gateway takes it for, the open answer goes
//! on being read. Only an end of its connection, another incarnation in the endpoint's place, the
//! deadline or the end of the client's connection ends it by itself.

use std::pin::{Pin, pin};
use std::sync::Arc;

use tokio::select;
use tracing::info;

use super::exchange::Exchange;
use super::known::IncarnationEnd;
use super::refusal::Failure;
use super::source::StartedResponse;
use super::standings::Permission;
use crate::metrics::Counter;
use crate::policy::resend::FailureKind;
use crate::routing::Repeat;

/// How long after a continuation that was not possible, or came to nothing, the next one may begin.
const CONTINUE_AGAIN_MS: u64 = 200;

/// The same at most, after several that came to nothing; doubled with each.
const CONTINUE_AGAIN_MAX_MS: u64 = 1_600;

/// Why an open answer is doubted; never a reason to give it up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Doubt {
    /// It has brought nothing for long.
    Silent,
    /// Its endpoint seems to have ended without closing its connections.
    Ended(IncarnationEnd),
}

/// Which answer brought something first.
pub(super) enum Raced<O, C> {
    /// The open one, unless it has ended and nothing continues it.
    Open(O),
    /// Its continuation.
    Continued {
        /// What the continuation has brought.
        continued: C,
        /// How the open answer ended, if it was lost meanwhile.
        lost: Option<O>,
    },
}

/// A request that was sent once more beside its open answer, and the response that has started.
pub(super) struct Continuation {
    pub(super) exchange: Exchange,
    pub(super) started: StartedResponse,
    /// The last event that the client has received of the open answer.
    pub(super) last_event: Option<u64>,
}

/// A try to continue an answer. It is boxed because it starts a request as the open answer did, and
/// shared since it is a part of response bodies.
type Trying = Pin<Box<dyn Future<Output = Result<Continuation, NotContinued>> + Send + Sync>>;

/// Why there is no continuation.
pub(super) enum NotContinued {
    /// It is not possible now, or came to nothing.
    Yet,
    /// It would be of no use.
    Ever,
}

/// An answer that is awaited and may be continued beside.
pub(super) struct OpenAnswer<'a> {
    /// The endpoint that is to answer.
    pub(super) endpoint: &'a Arc<str>,
    /// The last event that the client has received.
    pub(super) last_event: Option<u64>,
    /// False if it cannot be continued elsewhere.
    pub(super) is_continuable: bool,
}

impl Exchange {
    /// Awaits `open` and, from the first `doubt` on, a continuation beside it. Whichever brings
    /// something first wins, and the other one is cancelled by being dropped.
    ///
    /// `is_lost` tells whether the open answer has certainly ended without a result: a continuation that
    /// is under way then goes on alone. `read` waits until a started continuation has brought something;
    /// it returns `None` if that came to nothing.
    pub(super) async fn race<O, C, R>(
        &self,
        answer: OpenAnswer<'_>,
        mut open: Pin<&mut impl Future<Output = O>>,
        is_lost: impl Fn(&O) -> bool,
        doubt: Pin<&mut impl Future<Output = Doubt>>,
        read: impl Fn(Continuation) -> R,
    ) -> Raced<O, C>
    where
        R: Future<Output = Option<C>>,
    {
        let doubt = select! {
            biased;
            opened = &mut open => return Raced::Open(opened),
            doubt = doubt => doubt,
        };
        self.note_doubted(&answer, doubt);
        // Boxed, so that the many answers that are never doubted have small futures.
        Box::pin(self.race_doubted(answer, open, is_lost, doubt, read)).await
    }

    async fn race_doubted<O, C, R>(
        &self,
        answer: OpenAnswer<'_>,
        mut open: Pin<&mut impl Future<Output = O>>,
        is_lost: impl Fn(&O) -> bool,
        doubt: Doubt,
        read: impl Fn(Continuation) -> R,
    ) -> Raced<O, C>
    where
        R: Future<Output = Option<C>>,
    {
        let mut pause_ms = CONTINUE_AGAIN_MS;
        loop {
            let tried = async {
                let continuation = self.try_to_continue(&answer, doubt).await?;
                read(continuation).await.ok_or(NotContinued::Yet)
            };
            let mut tried = pin!(tried);
            select! {
                biased;
                opened = &mut open => {
                    if is_lost(&opened) && let Ok(continued) = tried.await {
                        return Raced::Continued { continued, lost: Some(opened) };
                    }
                    return Raced::Open(opened);
                }
                continued = &mut tried => match continued {
                    Ok(continued) => return Raced::Continued { continued, lost: None },
                    Err(NotContinued::Yet) => {}
                    Err(NotContinued::Ever) => return Raced::Open(open.await),
                }
            }
            let now_ms = self.relay.now_ms();
            let again_at_ms = now_ms + pause_ms;
            if self.not_continued(now_ms, &answer).is_none() {
                pause_ms = (pause_ms * 2).min(CONTINUE_AGAIN_MAX_MS);
            }
            select! {
                biased;
                opened = &mut open => return Raced::Open(opened),
                () = self.relay.clock.sleep_until(again_at_ms) => {}
            }
        }
    }

    fn note_doubted(&self, answer: &OpenAnswer<'_>, doubt: Doubt) {
        self.relay.metrics.count(Counter::AnswersDoubted);
        let now_ms = self.relay.now_ms();
        info!(
            event = "answer_doubted",
            request = %self.meta.id,
            endpoint = %answer.endpoint,
            doubt = ?doubt,
            last_event = answer.last_event.unwrap_or(0),
            has_started = self.response_started_at_ms.is_some(),
            quiet_ms = now_ms.saturating_sub(self.last_data_at_ms.max(self.sent_at_ms)),
            not_continued = self.not_continued(now_ms, answer).unwrap_or("")
        );
        // The evidence is kept even if the answer goes on: the leader forgets it once the request was
        // served.
        if let Doubt::Ended(end) = doubt {
            self.note_ended(answer.endpoint, end);
        }
    }

    /// Why the answer cannot be continued now; `None` if it can be.
    fn not_continued(&self, now_ms: u64, answer: &OpenAnswer<'_>) -> Option<&'static str> {
        if !answer.is_continuable || self.chosen.route.repeat == Repeat::Once {
            return Some("the request does not allow it");
        }
        if !self.can_send_again() {
            return Some("no attempt or no time is left");
        }
        if !self.is_unrestricted(now_ms) {
            return Some("requests like it may have ended endpoints");
        }
        if !self.relay.allows_late_retry(now_ms, &self.chosen.service.name) {
            return Some("no retry is left");
        }
        None
    }

    /// True if no feature of the request is held, on trial or suspected.
    fn is_unrestricted(&self, now_ms: u64) -> bool {
        let standings = self.relay.crashes.standings();
        standings.is_empty()
            || self
                .features()
                .all(|key| standings.permission(now_ms, key) == Permission::Unrestricted)
    }

    /// Sends the request once more.
    fn try_to_continue(&self, answer: &OpenAnswer<'_>, doubt: Doubt) -> Trying {
        if self.not_continued(self.relay.now_ms(), answer).is_some() {
            return Box::pin(async { Err(NotContinued::Yet) });
        }
        let mut exchange = self.beside(answer.endpoint);
        let (endpoint, last_event) = (answer.endpoint.clone(), answer.last_event);
        Box::pin(async move {
            if let Doubt::Ended(_) = doubt {
                exchange.wait_for_evaluation(&endpoint).await;
            }
            if exchange.chosen.route.repeat == Repeat::Any
                && !exchange.is_resend_worthwhile(&endpoint, FailureKind::Broken)
            {
                return Err(NotContinued::Ever);
            }
            let failure = match exchange.start(last_event).await {
                Ok(started) if started.response.status().is_success() => {
                    return Ok(Continuation { exchange, started, last_event });
                }
                Ok(started) => format!("the endpoint answered {}", started.response.status()),
                Err(Failure::NotSent(reason)) => format!("{reason:?}"),
                Err(Failure::Unknown(detail)) => detail,
            };
            info!(event = "not_continued", request = %exchange.meta.id, reason = %failure);
            Err(NotContinued::Yet)
        })
    }

    /// Goes on with a continuation that has won against the open answer from `endpoint`.
    pub(super) fn take_over(&mut self, endpoint: &Arc<str>, continuation: Self) {
        self.relay.metrics.count(Counter::AnswersTakenOver);
        let now_ms = self.relay.now_ms();
        let quiet_ms = now_ms.saturating_sub(self.last_data_at_ms.max(self.sent_at_ms));
        info!(event = "answer_taken_over", request = %self.meta.id, from = %endpoint, quiet_ms);
        self.replace_with(continuation);
    }
}
