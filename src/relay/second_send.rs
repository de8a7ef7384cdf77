//! Sends a request once more on a new connection when its own connection seems to be silent.
//!
//! The first connection is still read: if the endpoint is only slow, it answers there first, and
//! the second send is cancelled.

use std::future::pending;
use std::net::SocketAddr;
use std::pin::Pin;
use std::time::Duration;

use http::Response;
use hyper::body::Incoming;
use tracing::{info, warn};

use super::attempt::{InFlightRequest, WaitAborted};
use super::border::SendMeta;
use super::connection_records::OlderConnections;
use super::exchange::Exchange;
use super::pool::{self, Connection, ConnectionTrial, SendFailure};
use super::shared::Relay;
use crate::metrics::Counter;
use crate::routing::Repeat;

/// How long a request waits at least before its connection is doubted.
const DOUBTED_AFTER_MIN: Duration = Duration::from_millis(300);
/// The same where no response has been measured lately.
const DOUBTED_AFTER_UNKNOWN_MS: u64 = 800;
/// A connection is doubted after this multiple of the time in which something usually comes.
pub(super) const USUAL_TIMES: u64 = 4;
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

type Head = std::result::Result<Response<Incoming>, SendFailure>;

/// The head of a response, and the connection on which it came if that is not the first one.
pub(super) type AwaitedHead = (Result<Head, WaitAborted>, Option<Connection>);

impl Exchange {
    /// Waits for the head of the response to a request that is being sent.
    pub(super) async fn await_head(
        &self,
        send: &SendMeta,
        mut sending: Pin<&mut impl Future<Output = Head>>,
        flight: &InFlightRequest,
    ) -> AwaitedHead {
        let trial = tokio::select! {
            biased;
            head = self.wait_for_head(sending.as_mut(), flight) => return (head, None),
            trial = self.doubted(flight.address) => trial,
        };
        let relay = &self.relay;
        let now_ms = relay.now_ms();
        if !self.may_send_twice(now_ms) || !self.take_retry(now_ms) {
            drop(trial);
            return (self.wait_for_head(sending, flight).await, None);
        }
        let waited_ms = now_ms - self.sent_at_ms;
        info!(event = "sent_on_new_connection", request = %self.meta.id, endpoint = %send.endpoint, waited_ms);
        let send = SendMeta { deadline_ms: self.left_ms(now_ms), ..send.clone() };
        tokio::select! {
            biased;
            head = self.wait_for_head(sending, flight) => (head, None),
            Some((connection, response)) = self.send_on_new_connection(&send, flight.address) => {
                drop(trial);
                relay.note_silent_connection(&send.endpoint, flight.address, self.sent_at_ms);
                (Ok(Ok(response)), Some(connection))
            }
        }
    }

    /// Returns once the connections that were open when the request was sent have been quiet for long:
    /// with a trial if no newer one has brought anything either.
    async fn doubted(&self, address: SocketAddr) -> Option<ConnectionTrial<'_>> {
        let pool = &self.relay.pool;
        // An engine's time to the first token depends on its queue and on the prompt, and a second send
        // would have it read the prompt twice.
        if self.chosen.service.engine.is_some() {
            pending::<()>().await;
        }
        // Most responses have started by then, so that nothing more is done for them.
        tokio::time::sleep(DOUBTED_AFTER_MIN).await;
        let doubted_after_ms = self.doubted_after_ms();
        self.relay.clock.sleep_until(self.sent_at_ms + doubted_after_ms).await;
        let mut is_doubted = false;
        loop {
            let quiet_since_ms = self.relay.now_ms() - doubted_after_ms;
            let comparison = pool.compare_older(address, self.sent_at_ms, quiet_since_ms);
            if comparison == OlderConnections::Quiet && !is_doubted {
                // No further request waits on them.
                is_doubted = true;
                pool.forget(address);
            }
            if self.chosen.route.repeat == Repeat::Once {
                if is_doubted {
                    pending::<()>().await;
                }
            } else if comparison == OlderConnections::Silent {
                return None;
            } else if comparison == OlderConnections::Quiet
                && let Some(trial) = pool.begin_trial(address)
            {
                return Some(trial);
            }
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
    }

    fn doubted_after_ms(&self) -> u64 {
        let usual = self.relay.queue.usual_times(self.relay.now_ms(), &self.chosen.service.name);
        if usual.to_head_ms == 0 {
            return DOUBTED_AFTER_UNKNOWN_MS;
        }
        (DOUBTED_AFTER_MIN.as_millis() as u64).max(usual.to_head_ms * USUAL_TIMES)
    }

    /// False where one request more than an endpoint has slots for could end it.
    fn may_send_twice(&self, now_ms: u64) -> bool {
        let is_brittle = self.relay.fleet().is_brittle(now_ms, &self.chosen.service.name);
        self.possible_runs.get() < self.attempts() && !is_brittle && !self.is_continuation
    }

    /// Sends the request on a new connection; `None` if it is not run there, since it may still be on
    /// the first one.
    async fn send_on_new_connection(
        &self,
        send: &SendMeta,
        address: SocketAddr,
    ) -> Option<(Connection, Response<Incoming>)> {
        let mut connection = self.relay.pool.open(address).await.ok()?;
        let response =
            pool::send(&mut connection, &send.endpoint, self.request(send)).await.ok()?;
        let platform_headers = &self.relay.platform_headers;
        let head = platform_headers.read_answer(response.status(), response.headers());
        (!head.not_run && !head.misdirected).then_some((connection, response))
    }
}

impl Relay {
    /// Records that nothing came on a connection to an endpoint since `from_ms`, while a newer one
    /// worked.
    pub(super) fn note_silent_connection(&self, endpoint: &str, address: SocketAddr, from_ms: u64) {
        self.metrics.count(Counter::EndpointConnectionsSilent);
        let silent_ms = self.now_ms() - from_ms;
        warn!(event = "endpoint_connection_silent", endpoint, address = %address, silent_ms);
    }
}
