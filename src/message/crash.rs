//! Reports of endpoints that crashed while they ran requests, and the standings of requests that
//! may have caused crashes.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::{FeatureKey, WeightsName};

/// A feature of requests that were in progress at an endpoint when the endpoint crashed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InterruptedFeature {
    /// The feature.
    pub key: FeatureKey,
    /// The weights that the requests used, if the feature is their whole content.
    pub weights: Option<WeightsName>,
    /// The longest time for which a request with the feature had run, or had waited at the endpoint
    /// if it had not started.
    pub ran_ms: u32,
    /// The time between the last request with the feature that the gateway served and the crash;
    /// `None` if the gateway served none recently.
    pub served_ago_ms: Option<u32>,
}

/// The crash of an endpoint, as observed by one gateway.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointCrash {
    /// The id of the endpoint's incarnation.
    pub endpoint: Arc<str>,
    /// The service that the endpoint served.
    pub service: Arc<str>,
    /// The time since the gateway observed the crash.
    pub ago_ms: u32,
    /// The features of the gateway's requests that the crash interrupted.
    pub features: Vec<InterruptedFeature>,
}

/// How gateways treat requests that have a feature.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Standing {
    /// Treated like all other requests, but gateways report when one of them is served.
    Watched,
    /// Each attempt is sent to one endpoint only; of requests with the same content, one at a time.
    Suspected,
    /// Refused for some time, since endpoints crash when they run these requests.
    Held {
        /// The time for which they are refused, counted from the decision.
        for_ms: u64,
        /// The number of times that they were held before.
        times: u32,
    },
    /// One gateway may send one of these requests as a trial; all others are refused.
    OnTrial {
        /// The gateway that may send the trial.
        gateway: Arc<str>,
        /// The number of times that they were held before.
        times: u32,
    },
    /// No longer suspected of causing crashes.
    Cleared,
    /// Suspected, and running at one gateway; all others wait for the outcome.
    Running {
        /// The gateway that may send one of these requests.
        gateway: Arc<str>,
    },
}

impl Standing {
    /// True while such requests are refused, except for a trial.
    pub fn is_refused(&self) -> bool {
        matches!(self, Self::Held { .. } | Self::OnTrial { .. })
    }

    /// The gateway that may send one of these requests as a trial.
    pub fn trying(&self) -> Option<&Arc<str>> {
        match self {
            Self::OnTrial { gateway, .. } | Self::Running { gateway } => Some(gateway),
            Self::Watched | Self::Suspected | Self::Held { .. } | Self::Cleared => None,
        }
    }

    /// The number of times that such requests were held before.
    pub fn times_held(&self) -> u32 {
        match self {
            Self::Held { times, .. } | Self::OnTrial { times, .. } => *times,
            Self::Watched | Self::Suspected | Self::Running { .. } | Self::Cleared => 0,
        }
    }
}

/// The standing of requests that have a feature.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FeatureStanding {
    /// The feature.
    pub key: FeatureKey,
    /// The weights that the requests require, if the feature is their whole content.
    pub weights: Option<WeightsName>,
    /// The standing.
    pub standing: Standing,
}
