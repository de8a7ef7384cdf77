//! Requests that a gateway sends through another gateway because it cannot reach the endpoints
//! itself, the events of their answers, and how gateways learn of each other.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::message::StreamOrigin;
use crate::routing::Credential;

/// A gateway that may send requests of other gateways to endpoints.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerGateway {
    /// Its name.
    pub name: Arc<str>,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// The address at which other gateways reach it.
    pub address: SocketAddr,
}

/// The first message on a stream between gateways.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Send a request to an endpoint.
    Detour(Box<DetourRequest>),
    /// Tell which of these endpoints the receiver reaches.
    Reach(Vec<Arc<str>>),
}

/// A request that was read and admitted by the gateway that sends it on.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct DetourRequest {
    /// The gateway that read the request.
    pub gateway: Arc<str>,
    /// The version of the routing configuration under which it was admitted.
    pub routing_version: u64,
    /// The HTTP method.
    pub method: Box<str>,
    /// The path and query.
    pub target: Box<str>,
    /// The headers for the endpoint, without those that only a gateway may set.
    pub headers: Vec<(Box<str>, Vec<u8>)>,
    /// The client's credential.
    pub credential: Credential,
    /// The time since the request was read.
    pub age_ms: u64,
    /// The time left for the whole answer.
    pub left_ms: u64,
    /// The number of endpoints that it may still be sent to.
    pub attempts: u32,
    /// The endpoints that it was sent to before.
    pub tried: Vec<Arc<str>>,
    /// The id of the last event that the client has received, if a stream is resumed.
    pub last_event: Option<u64>,
    /// Where the stream began that is resumed.
    pub origin: Option<StreamOrigin>,
    /// The body.
    pub body: Vec<u8>,
}

/// A message of the gateway that received a [`PeerRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerEvent {
    /// The request was not sent to any endpoint and will not be.
    Refused(DetourRefusal),
    /// The gateway still works on the request; sent while there is nothing else to send.
    Alive,
    /// The head of an endpoint's answer.
    Head {
        /// The endpoint's incarnation.
        endpoint: Arc<str>,
        /// The endpoint's software version.
        software_version: Arc<str>,
        /// The number of endpoints that may have run the request.
        runs: u32,
        /// The HTTP status.
        status: u16,
        /// The headers, without those that apply to a single connection.
        headers: Vec<(Box<str>, Vec<u8>)>,
    },
    /// A part of the body.
    Data(Vec<u8>),
    /// The answer is complete.
    End,
    /// The request may have run and has no complete answer.
    Failed {
        /// The number of endpoints that may have run the request.
        runs: u32,
        /// What happened.
        detail: String,
    },
    /// The answer to [`PeerRequest::Reach`]: for each endpoint, whether the gateway reaches it;
    /// `None` if it does not know the endpoint.
    Reached(Vec<Option<bool>>),
}

/// Why a gateway sends no request for another gateway.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum DetourRefusal {
    /// It cannot reach the endpoints either.
    OutOfReach,
    /// It serves too many requests of other gateways.
    Busy,
    /// It is shutting down.
    Stopping,
    /// Its routing configuration is older than the one under which the request was admitted, or has
    /// no route for the request.
    OtherRoutes,
    /// The endpoints cannot take the request now.
    NotServed {
        /// The time after which the client may retry.
        after_ms: u64,
    },
}
