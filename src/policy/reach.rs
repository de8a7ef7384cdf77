//! Whether an endpoint that does not answer has failed, or only cannot be reached from this
//! gateway.
//!
//! A gateway cannot tell these apart by itself. What it reports of an endpoint counts for all
//! gateways, so it first asks another gateway.

use std::collections::VecDeque;
use std::sync::Arc;

/// How long a send that broke off counts.
const BROKEN_MS: u64 = 1_000;
/// The number of endpoints whose sends broke off from which these endpoints are suspected.
const BROKEN_ENDPOINTS_MIN: usize = 2;

/// The evidence about one endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReachEvidence {
    /// True if this gateway reached the endpoint just now.
    pub is_reached: bool,
    /// Whether any of the other gateways that were asked reached it; `None` if none could tell.
    pub is_reached_by_peer: Option<bool>,
    /// Whether this gateway reached any other endpoint; `None` if there is no other.
    pub are_others_reached: Option<bool>,
}

/// What the evidence says about the endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reach {
    /// This gateway reaches it.
    InReach,
    /// It answers others; the fault is in what connects this gateway to it.
    OutOfReach,
    /// It does not answer anyone.
    Down,
    /// Nothing tells whether the endpoint or the connection to it is at fault.
    Unknown,
}

impl ReachEvidence {
    /// Judges the endpoint.
    pub fn judge(self) -> Reach {
        if self.is_reached {
            return Reach::InReach;
        }
        match (self.is_reached_by_peer, self.are_others_reached) {
            (Some(true), _) => Reach::OutOfReach,
            (Some(false), _) | (None, Some(true)) => Reach::Down,
            (None, Some(false) | None) => Reach::Unknown,
        }
    }
}

/// Combines what other gateways tell of the same endpoints: one that is reached by any of them runs.
pub fn combine_views(count: usize, views: &[Vec<Option<bool>>]) -> Vec<Option<bool>> {
    let mut combined = vec![None; count];
    for view in views {
        for (known, reported) in combined.iter_mut().zip(view) {
            *known = match (*known, *reported) {
                (Some(true), _) | (_, Some(true)) => Some(true),
                (Some(false), _) | (_, Some(false)) => Some(false),
                (None, None) => None,
            };
        }
    }
    combined
}

/// The endpoints whose connections broke off lately before they answered.
///
/// A single endpoint that breaks off is usually at fault itself, which its later sends show without
/// a probe.
#[derive(Debug, Default)]
pub struct BrokenSends {
    recent: VecDeque<(u64, Arc<str>)>,
}

impl BrokenSends {
    /// Records that a send to `endpoint` broke off; returns the endpoints to suspect.
    pub fn note(&mut self, now_ms: u64, endpoint: &Arc<str>) -> Vec<Arc<str>> {
        self.recent.retain(|(at_ms, known)| now_ms < at_ms + BROKEN_MS && known != endpoint);
        self.recent.push_back((now_ms, endpoint.clone()));
        if self.recent.len() < BROKEN_ENDPOINTS_MIN {
            return Vec::new();
        }
        self.recent.iter().map(|(_, endpoint)| endpoint.clone()).collect()
    }
}
