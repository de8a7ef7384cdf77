//! Choosing among the endpoints that could take a request.

use super::known::{Known, Wanted};
use super::waiting::ReadingPace;
use crate::hash;

/// The share of a prompt's common parts that the endpoint which all gateways prefer for them is
/// expected to keep, beyond what this gateway knows.
const COMMON_SHARE: f64 = 0.3;
/// By how much an endpoint must be cheaper than another one to be taken 2.7 times as often.
const SPREAD_MS: f64 = 50.0;

/// An endpoint that could take a request.
#[derive(Debug, Clone, Copy)]
pub(super) struct Candidate<'a> {
    pub(super) cost_ms: f64,
    pub(super) rank: Option<u8>,
    pub(super) known: &'a Known,
}

/// The cheapest of `candidates`.
pub(super) fn cheapest<'a>(candidates: &[Candidate<'a>]) -> Option<Candidate<'a>> {
    candidates.iter().copied().min_by(|one, other| one.cost_ms.total_cmp(&other.cost_ms))
}

/// Makes the endpoint cheaper that all gateways agree on for the prompt's shared parts: another one of
/// them may have had these read there, which this gateway does not know.
pub(super) fn prefer_common(
    candidates: &mut [Candidate<'_>],
    wanted: Option<&Wanted>,
    pace: ReadingPace,
) {
    let Some((shared_hash, tokens)) = wanted.and_then(|wanted| wanted.prompt.shared()) else {
        return;
    };
    let fit = |candidate: &&mut Candidate<'_>| hash::affinity(candidate.known.hash, shared_hash);
    if let Some(best) = candidates.iter_mut().max_by_key(fit) {
        best.cost_ms -= pace.reading_ms(tokens) * COMMON_SHARE;
    }
}

/// One of `candidates`, cheap ones more often than dear ones; `draw` is random, from 0 to 1.
///
/// Many gateways see the same counts late. If each took the cheapest, all would go to the same
/// endpoint until the next counts arrive, and to the next one after that.
pub(super) fn draw_cheap<'a>(candidates: &[Candidate<'a>], draw: f64) -> Option<Candidate<'a>> {
    let least_ms = cheapest(candidates)?.cost_ms;
    let share = |candidate: &Candidate<'_>| ((least_ms - candidate.cost_ms) / SPREAD_MS).exp();
    let mut left = draw * candidates.iter().map(share).sum::<f64>();
    for candidate in candidates {
        left -= share(candidate);
        if left <= 0.0 {
            return Some(*candidate);
        }
    }
    candidates.last().copied()
}
