//! What a search for an endpoint has found.

use std::sync::Arc;

use super::choice::Candidate;
use super::pick::Picked;

/// The result of a search for an endpoint.
#[derive(Debug, Default)]
pub(super) struct Found<'a> {
    pub(super) candidates: Vec<Candidate<'a>>,
    /// The cheapest of the endpoints that were already tried.
    pub(super) best_tried: Option<Candidate<'a>>,
    /// The number of endpoints that are up.
    pub(super) up: usize,
    /// The number of these that hold the weights.
    pub(super) holding: usize,
    /// The number of these that are loading the weights.
    pub(super) coming: usize,
    /// The number of endpoints that hold the weights and are out of reach.
    pub(super) out_of_reach: usize,
    /// The endpoints that are in backoff or whose limit is used up.
    pub(super) throttled: Vec<ThrottledEndpoint>,
    /// The brittle endpoints of which this gateway has no free slot.
    pub(super) unleased: Vec<Candidate<'a>>,
}

/// An endpoint that is in backoff or whose limit is used up.
#[derive(Debug)]
pub(super) struct ThrottledEndpoint {
    pub(super) id: Arc<str>,
    /// The time until the next request may be sent.
    pub(super) wait_ms: u64,
    /// True for an endpoint in backoff, whether or not its limit is used up.
    pub(super) in_backoff: bool,
}

/// The totals of a search that found no candidate.
pub(super) struct SearchTotals {
    pub(super) up: usize,
    pub(super) holding: usize,
    pub(super) coming: usize,
    pub(super) out_of_reach: usize,
    pub(super) throttled: Vec<ThrottledEndpoint>,
}

impl SearchTotals {
    pub(super) fn new(found: Found<'_>) -> Self {
        let Found { up, holding, coming, out_of_reach, throttled, .. } = found;
        Self { up, holding, coming, out_of_reach, throttled }
    }
}

impl ThrottledEndpoint {
    pub(super) fn to_picked(&self) -> Picked {
        let after_ms = self.wait_ms;
        if self.in_backoff {
            return Picked::BackingOff { after_ms };
        }
        Picked::Limited { after_ms }
    }
}
