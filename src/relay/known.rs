//! What a gateway knows of one endpoint, and what a request can expect there.

use tokio::sync::watch;

use super::prompt::{PrefixCache, PromptChain};
use super::waiting::{ReadingPace, UnreadMs, Waiting};
use crate::hash;
use crate::message::{Load, RegisteredEndpoint, WeightsName};
use crate::policy::endpoint_backoff::EndpointBackoff;
use crate::policy::rank::{LATE_RANK, Urgency};

/// Answers of an endpoint after which its own pace goes before that of all.
const OWN_PACE_MIN_ANSWERS: u32 = 12;
/// What a full batch costs a request: each one more slows every other one.
const FULL_BATCH_MS: f64 = 100.0;
/// Requests that a plain service queues for each one that it runs, at least; the users' queue four
/// for each, and two of them wait no longer than the latency objectives allow.
const QUEUED_PER_SLOT: u32 = 2;

/// An endpoint as one gateway knows it.
#[derive(Debug)]
pub(super) struct Known {
    pub(super) endpoint: RegisteredEndpoint,
    pub(super) own_running: u32,
    pub(super) others_running: u32,
    pub(super) waiting: Waiting,
    pub(super) pace: ReadingPace,
    pub(super) kept: PrefixCache,
    /// The hash of its address.
    pub(super) hash: u64,
    pub(super) failures: u32,
    pub(super) closed_until_ms: u64,
    pub(super) backoff: EndpointBackoff,
    /// The time until which the endpoint counts as leaving because an answer announced it.
    pub(super) leaving_until_ms: u64,
    /// Tells those that wait for its answers when it has ended; made when a request is sent there.
    pub(super) ended: Option<watch::Sender<IncarnationEnd>>,
}

/// What is known of an incarnation's end that closed no connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum IncarnationEnd {
    /// Nothing.
    None,
    /// It has been silent for long and cannot be reached, which may be the network's fault.
    Unreachable,
    /// It has been silent for long and refuses connections, or answers nothing that it is asked. It may still
    /// go on, or finish answers before its process ends.
    Unresponsive,
    /// Another incarnation has taken its place.
    Replaced,
}

/// What a request can expect at an endpoint.
#[derive(Debug, Clone, Copy)]
pub(super) struct Expected {
    pub(super) cost_ms: f64,
    pub(super) rank: Option<u8>,
}

/// What matters of a request for a model.
#[derive(Debug, Clone)]
pub struct Wanted {
    /// The weights that have to answer it.
    pub weights: WeightsName,
    /// The priority of its route.
    pub priority: u8,
    /// What is left of its latency objective.
    pub left_ms: f64,
    /// The tokens of its prompt.
    pub prompt_tokens: u32,
    /// The parts of its prompt.
    pub prompt: PromptChain,
    /// The tokens that fit an engine's memory.
    pub memory_tokens: u64,
}

impl Known {
    /// A registered endpoint of which nothing else is known.
    pub(super) fn new(endpoint: RegisteredEndpoint) -> Self {
        Self {
            hash: hash::stable(&endpoint.address.to_string()),
            endpoint,
            own_running: 0,
            others_running: 0,
            waiting: Waiting::new(),
            pace: ReadingPace::new(),
            kept: PrefixCache::new(),
            failures: 0,
            closed_until_ms: 0,
            backoff: EndpointBackoff::default(),
            leaving_until_ms: 0,
            ended: None,
        }
    }

    /// True when the endpoint is leaving according to its registration or to a recent answer.
    pub(super) fn is_leaving(&self, now_ms: u64) -> bool {
        self.endpoint.leaving || now_ms < self.leaving_until_ms
    }

    /// True when as many requests are under way here as it takes. An endpoint queues a few more
    /// than it runs, and what the other gateways have under way is known late, so that full by
    /// that may be half empty.
    pub(super) fn is_full(&self, is_engine: bool) -> bool {
        let slots = self.endpoint.slots;
        // An engine gives no room: each request more slows every other one there.
        let queued = if is_engine { 0 } else { slots * QUEUED_PER_SLOT };
        self.own_running + self.others_running >= slots + queued
    }

    /// This gateway's load at the endpoint, with the given `demand_per_min`.
    pub(super) fn load(&self, demand_per_min: u32) -> Load {
        let UnreadMs { in_time, late } = self.waiting.own_unread();
        let (waiting_ms, late_ms) = (in_time as u32, late as u32);
        Load { running: self.own_running, waiting_ms, late_ms, demand_per_min }
    }

    /// The tokens of a prompt that the endpoint does not keep.
    pub(super) fn unread_tokens(&self, wanted: &Wanted) -> u32 {
        wanted.prompt_tokens.saturating_sub(self.kept.cached_tokens(&wanted.prompt))
    }

    /// How fast this endpoint reads, as far as enough answers showed it.
    pub(super) fn pace(&self, usual: ReadingPace) -> ReadingPace {
        if self.pace.noted() < OWN_PACE_MIN_ANSWERS { usual } else { self.pace }
    }

    /// What a request that is sent now can expect here.
    pub(super) fn expect(
        &self,
        now_ms: u64,
        wanted: Option<&Wanted>,
        usual: ReadingPace,
    ) -> Expected {
        let running = f64::from(self.own_running + self.others_running);
        let batch_ms = running / f64::from(self.endpoint.slots.max(1)) * FULL_BATCH_MS;
        // A plain service works on several requests at once: one that takes long holds up no other.
        let Some(wanted) = wanted else { return Expected { cost_ms: batch_ms, rank: None } };
        let pace = self.pace(usual);
        let urgency = Urgency {
            priority: wanted.priority,
            left_ms: wanted.left_ms,
            reading_ms: pace.reading_ms(self.unread_tokens(wanted)),
        };
        let wait_ms = self.waiting.wait_ms(now_ms);
        let rank = urgency.rank_after(wait_ms);
        let waits_ms = if rank == LATE_RANK { self.waiting.late_wait_ms(now_ms) } else { wait_ms };
        // An endpoint that reads slowly is worth it only for a short prompt.
        Expected { cost_ms: batch_ms + waits_ms + urgency.reading_ms, rank: Some(rank) }
    }
}
