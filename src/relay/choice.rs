//! Selects one of the endpoints that could take a request, by cost.

use super::known::{EndpointState, Wanted};
use super::waiting::ReadingPace;
use crate::hash;

/// The share of a prompt's shared parts that the endpoint which all gateways prefer for them is
/// assumed to have cached, beyond what this gateway has sent there.
const CACHED_SHARE: f64 = 0.3;
/// The cost difference at which an endpoint is selected e (about 2.7) times as often as another
/// one.
pub(super) const COST_SCALE_MS: f64 = 50.0;
/// The same for plain endpoints that differ in speed, which are drawn mainly by speed. A plain
/// request runs for less time than load counts take to arrive, so with a smaller scale many gateways
/// send alternately too much and too little to each endpoint.
pub(super) const SPEED_SCALE_MS: f64 = 400.0;

/// An endpoint that could take a request.
#[derive(Debug, Clone, Copy)]
pub(super) struct Candidate<'a> {
    pub(super) cost_ms: f64,
    pub(super) rank: Option<u8>,
    pub(super) state: &'a EndpointState,
}

/// The cheapest of `candidates`.
pub(super) fn cheapest<'a>(candidates: &[Candidate<'a>]) -> Option<Candidate<'a>> {
    candidates.iter().copied().min_by(|one, other| one.cost_ms.total_cmp(&other.cost_ms))
}

/// Lowers the cost of the endpoint that all gateways prefer for the prompt's shared parts, chosen
/// by hash: another gateway may have sent these parts there without this gateway knowing.
pub(super) fn discount_preferred(
    candidates: &mut [Candidate<'_>],
    wanted: Option<&Wanted>,
    pace: ReadingPace,
) {
    let Some((shared_hash, tokens)) = wanted.and_then(|wanted| wanted.prompt.shared()) else {
        return;
    };
    let fit = |candidate: &&mut Candidate<'_>| hash::affinity(candidate.state.hash, shared_hash);
    if let Some(best) = candidates.iter_mut().max_by_key(fit) {
        best.cost_ms -= pace.reading_ms(tokens) * CACHED_SHARE;
    }
}

/// Selects one of `candidates` at random, weighted towards low cost and in proportion to speed;
/// `draw` is random, from 0 to 1. An endpoint that costs `scale_ms` more is selected 2.7 times less
/// often.
///
/// Many gateways see the same stale load counts. If each selected the cheapest endpoint, all of
/// them would send to that one until the next counts arrive, and then to the next cheapest.
pub(super) fn draw_weighted<'a>(
    candidates: &[Candidate<'a>],
    scale_ms: f64,
    draw: f64,
) -> Option<Candidate<'a>> {
    let least_ms = cheapest(candidates)?.cost_ms;
    let share = |candidate: &Candidate<'_>| {
        ((least_ms - candidate.cost_ms) / scale_ms).exp() / candidate.state.slowdown
    };
    let mut left = draw * candidates.iter().map(share).sum::<f64>();
    for candidate in candidates {
        left -= share(candidate);
        if left <= 0.0 {
            return Some(*candidate);
        }
    }
    candidates.last().copied()
}
