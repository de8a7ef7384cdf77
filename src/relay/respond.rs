//! The response to a request: found at an endpoint, or why there is none.

use super::exchange::Exchange;
use super::refusal::Failure;
use super::stream;
use crate::http::Answer;

impl Exchange {
    /// Sends the request to an endpoint and returns the response for its client.
    pub(super) async fn run(mut self) -> Answer {
        if let Err(reason) = self.find_origin().await {
            return self.give_up(Failure::NotSent(reason));
        }
        let started = match self.start(None).await {
            Ok(started) => started,
            Err(failure) => return self.give_up(failure),
        };
        let head = self.read_head(&started);
        let status = started.response.status();
        self.note_answered(&started);
        self.has_answered = true;
        self.end_guard.note_answered();
        debug_assert!(!head.not_run, "a refused send is not started");
        if self.chosen.route.streams && status.is_success() {
            return stream::answer(self, started);
        }
        self.forward_buffered(started).await
    }
}
