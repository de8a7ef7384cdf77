//! Endpoints that ended under requests, and requests that may have ended them.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::{RequestKey, WeightsName};

/// A request that was under way at an endpoint when that ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BrokenRun {
    /// The request.
    pub key: RequestKey,
    /// The weights that it ran on.
    pub weights: Option<WeightsName>,
    /// For how long it had run, or had waited there if it had not begun.
    pub ran_ms: u32,
    /// How long before the endpoint's end the gateway had last served a request with the same
    /// content; none if it has not lately.
    pub served_ago_ms: Option<u32>,
}

/// An endpoint's end, as one gateway saw it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointCrash {
    /// The endpoint's incarnation.
    pub endpoint: Arc<str>,
    /// The service that it served.
    pub service: Arc<str>,
    /// How long ago it was seen.
    pub ago_ms: u32,
    /// The gateway's requests that were broken off with it.
    pub runs: Vec<BrokenRun>,
}

/// How requests with some content are treated.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Standing {
    /// Like all others; gateways tell when one of them is served.
    Watched,
    /// Each try is sent to one endpoint only.
    Suspected,
    /// Endpoints end under them: they are refused for some time.
    Held {
        /// For how long, from when this was decided.
        for_ms: u64,
        /// How many times they were held before.
        times: u32,
    },
    /// One gateway may send one of them; it is refused elsewhere.
    OnTrial {
        /// That gateway.
        gateway: Arc<str>,
        /// How many times they were held before.
        times: u32,
    },
    /// Nothing is held against them any more.
    Cleared,
}

impl Standing {
    /// True while such requests are refused, but for one that is tried.
    pub fn is_refused(&self) -> bool {
        matches!(self, Self::Held { .. } | Self::OnTrial { .. })
    }

    /// How many times they were held before.
    pub fn times_held(&self) -> u32 {
        match self {
            Self::Held { times, .. } | Self::OnTrial { times, .. } => *times,
            Self::Watched | Self::Suspected | Self::Cleared => 0,
        }
    }
}

/// Requests with the same content, and how they are treated.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestStanding {
    /// Which requests.
    pub key: RequestKey,
    /// The weights that they ask for.
    pub weights: Option<WeightsName>,
    /// How they are treated.
    pub standing: Standing,
}
