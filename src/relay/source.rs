//! Where the response to a request comes from: an endpoint, or an endpoint through another gateway.

use std::future::pending;
use std::sync::Arc;

use http::{HeaderMap, Response};

use super::attempt::InFlightRequest;
use super::detour::PeerFlight;
use super::doubt::Doubt;
use super::pool::Connection;
use super::shared::Relay;
use crate::http::AnswerBody;

/// A response whose head has arrived and whose body is still being received.
pub(super) struct StartedResponse {
    pub(super) source: Source,
    pub(super) response: Response<AnswerBody>,
}

/// The source of a response, until the response has ended or failed.
pub(super) enum Source {
    /// An endpoint that this gateway sent the request to.
    Endpoint(InFlightRequest, Connection),
    /// Another gateway.
    Peer(PeerFlight),
}

impl Source {
    /// The endpoint that answers.
    pub(super) fn endpoint(&self) -> &Arc<str> {
        match self {
            Self::Endpoint(flight, _) => &flight.endpoint,
            Self::Peer(flight) => &flight.endpoint,
        }
    }

    /// The software version of the endpoint that answers.
    pub(super) fn software_version(&self) -> &Arc<str> {
        match self {
            Self::Endpoint(flight, _) => &flight.software_version,
            Self::Peer(flight) => &flight.software_version,
        }
    }

    /// The other gateway through which the response comes; empty if there is none.
    pub(super) fn peer(&self) -> &str {
        match self {
            Self::Endpoint(..) => "",
            Self::Peer(flight) => &flight.peer,
        }
    }

    /// True if this gateway sent the request to the endpoint itself.
    pub(super) fn is_direct(&self) -> bool {
        matches!(self, Self::Endpoint(..))
    }

    /// Returns once another incarnation has taken the endpoint's place, or never.
    pub(super) async fn wait_for_end(&self) {
        match self {
            Self::Endpoint(flight, _) => flight.wait_for_end().await,
            // The other gateway watches the endpoint.
            Self::Peer(_) => pending().await,
        }
    }

    /// Returns once the response is doubted, or never: for silence, not before `after_ms`. Awaited
    /// alongside the next part of the response.
    pub(super) async fn doubt(&self, after_ms: u64) -> Doubt {
        match self {
            Self::Endpoint(flight, _) => flight.doubt(after_ms).await,
            Self::Peer(flight) => flight.doubt(after_ms).await,
        }
    }

    /// Records that the response has brought something.
    pub(super) fn note_data(&self) {
        if let Self::Endpoint(flight, _) = self {
            flight.note_data();
        }
    }

    /// True if another incarnation has taken the endpoint's place.
    pub(super) fn is_replaced(&self) -> bool {
        match self {
            Self::Endpoint(flight, _) => flight.is_replaced(),
            Self::Peer(_) => false,
        }
    }

    /// Keeps the connection of a response that was received completely, for later requests.
    pub(super) fn keep(self, relay: &Relay, headers: &HeaderMap) {
        if let Self::Endpoint(flight, connection) = self {
            relay.pool.keep(flight.address, connection, headers);
        }
    }
}
