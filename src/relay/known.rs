//! The state of one endpoint as a gateway knows it, and the cost estimate for sending a request
//! there.

use tokio::sync::watch;

use super::prompt::{PrefixCache, PromptChain};
use super::speed::PlainSamples;
use super::waiting::{ReadingPace, UnansweredRequests, UnreadMs};
use crate::hash;
use crate::message::{Load, RegisteredEndpoint, WeightsName};
use crate::policy::endpoint_backoff::EndpointBackoff;
use crate::policy::endpoint_speed::{self, RecentWork, Work};
use crate::policy::rank::{LATE_RANK, Urgency};

/// The number of measured responses from which an endpoint's own reading pace is used instead of
/// the pace of all endpoints.
const OWN_PACE_MIN_RESPONSES: u32 = 12;
/// The cost of a full batch to a request: each running request slows down all others.
const FULL_BATCH_MS: f64 = 100.0;
/// Requests that a plain service queues for each one that it runs, as a lower bound: the users'
/// services queue four, and two wait no longer than the latency objectives allow.
const QUEUED_PER_SLOT: u32 = 2;

/// The part of an engine's slots, as a divisor, that requests of workspaces over their share leave
/// free. Requests for different adapters wait in different queues, so their order does not decide
/// which one gets a slot; a slot or two in each engine lets the others in while one ends.
const RESERVE_DIVISOR: u32 = 10;

/// The state of an endpoint as one gateway knows it.
#[derive(Debug)]
pub(super) struct EndpointState {
    pub(super) endpoint: RegisteredEndpoint,
    pub(super) own_running: u32,
    pub(super) others_running: u32,
    pub(super) waiting: UnansweredRequests,
    pub(super) pace: ReadingPace,
    pub(super) prefix_cache: PrefixCache,
    /// The hash of the endpoint's address.
    pub(super) hash: u64,
    pub(super) failures: u32,
    pub(super) paused_until_ms: u64,
    pub(super) backoff: EndpointBackoff,
    /// True once a request that needs no weights was sent there.
    pub(super) is_plain: bool,
    /// The work that the endpoint did for this gateway.
    pub(super) own_work: RecentWork,
    /// The work that it did for the other gateways.
    pub(super) others_work: Work,
    pub(super) plain_samples: PlainSamples,
    /// Random, from 0 to 1; drawn again with each refresh while endpoints differ in speed.
    pub(super) full_draw: f64,
    /// The units of work in the last report.
    pub(super) reported_units: u32,
    /// How much slower than its service the endpoint is; 1 if it is as fast.
    pub(super) slowdown: f64,
    pub(super) logged_slowdown: f64,
    /// The time until which the endpoint counts as leaving because a response announced it.
    pub(super) leaving_until_ms: u64,
    /// Notifies the requests that await its responses when it has ended; created when a request is
    /// first sent there.
    pub(super) ended: Option<watch::Sender<IncarnationEnd>>,
}

/// The evidence that an incarnation ended without closing its connections, in order of certainty.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum IncarnationEnd {
    /// No evidence.
    None,
    /// Silent for long and unreachable, which may be a network fault.
    Unreachable,
    /// Silent for long, and refuses connections or answers no probe. The process may still recover,
    /// or complete responses before it ends.
    Unresponsive,
    /// Another incarnation has taken its place.
    Replaced,
}

/// The room that a request needs at an endpoint.
#[derive(Debug, Clone, Copy)]
pub(super) enum RoomWanted {
    /// A free slot.
    Slot,
    /// A free slot of an engine, beyond those that are kept free for requests of workspaces within
    /// their share.
    SlotBesideReserve,
    /// A place in the queue of a plain endpoint, from which it completes in time.
    Queue {
        /// The time left until the latency objective.
        left_ms: u64,
        /// The mean time of a request over the service; 0 if it is not known.
        unit_ms: f64,
        /// True if the load counts are older than a request runs.
        has_late_counts: bool,
    },
}

/// The expected cost and queue rank of a request at an endpoint.
#[derive(Debug, Clone, Copy)]
pub(super) struct CostEstimate {
    pub(super) cost_ms: f64,
    pub(super) rank: Option<u8>,
}

/// The properties of a request to a model that matter for selecting an endpoint.
#[derive(Debug, Clone)]
pub struct Wanted {
    /// The weights that the request needs.
    pub weights: WeightsName,
    /// The priority of the request.
    pub priority: u8,
    /// The time left until the latency objective.
    pub left_ms: f64,
    /// The length of the prompt.
    pub prompt_tokens: u32,
    /// The parts of the prompt.
    pub prompt: PromptChain,
    /// The token capacity of an engine's memory.
    pub memory_tokens: u64,
}

impl EndpointState {
    /// Creates the state of a newly registered endpoint.
    pub(super) fn new(endpoint: RegisteredEndpoint) -> Self {
        Self {
            hash: hash::stable(&endpoint.address.to_string()),
            endpoint,
            own_running: 0,
            others_running: 0,
            waiting: UnansweredRequests::new(),
            pace: ReadingPace::new(),
            prefix_cache: PrefixCache::new(),
            failures: 0,
            paused_until_ms: 0,
            backoff: EndpointBackoff::default(),
            is_plain: false,
            own_work: RecentWork::default(),
            others_work: Work::default(),
            plain_samples: PlainSamples::default(),
            full_draw: 1.0,
            reported_units: 0,
            slowdown: 1.0,
            logged_slowdown: 1.0,
            leaving_until_ms: 0,
            ended: None,
        }
    }

    /// True if the endpoint is leaving according to its registration or to a recent response.
    pub(super) fn is_leaving(&self, now_ms: u64) -> bool {
        self.endpoint.leaving || self.has_announced_end(now_ms)
    }

    /// True if a recent response announced that the endpoint is about to shut down.
    pub(super) fn has_announced_end(&self, now_ms: u64) -> bool {
        now_ms < self.leaving_until_ms
    }

    /// True if the endpoint has this software version, or if none is needed.
    pub(super) fn has_software(&self, wanted: Option<&str>) -> bool {
        wanted.is_none_or(|wanted| *self.endpoint.software_version == *wanted)
    }

    /// The work that the endpoint did for all gateways.
    pub(super) fn work(&self, now_ms: u64) -> Work {
        self.own_work.get(now_ms) + self.others_work
    }

    /// True if the endpoint has as many requests as it takes. A plain service may queue requests
    /// beyond its slots: the counts of the other gateways arrive late, so an endpoint that looks
    /// full may be half empty. Its queue is limited to what completes in time, if it is known how
    /// long a request takes.
    pub(super) fn is_full(&self, room: RoomWanted) -> bool {
        let slots = self.endpoint.slots;
        let limit = match room {
            // Engines get no queue allowance: each additional request slows down all others.
            RoomWanted::Slot => slots,
            RoomWanted::SlotBesideReserve => slots - slots.div_ceil(RESERVE_DIVISOR).min(slots / 2),
            RoomWanted::Queue { left_ms, unit_ms, .. } => {
                let max = slots.saturating_mul(1 + QUEUED_PER_SLOT);
                endpoint_speed::plain_limit(slots, max, left_ms, unit_ms * self.slowdown)
            }
        };
        let running = self.own_running + self.others_running;
        if let RoomWanted::Queue { has_late_counts: true, .. } = room {
            return self.full_draw < endpoint_speed::full_chance(slots, limit, running);
        }
        running >= limit
    }

    /// True if fewer requests run there than it has slots, as far as is known.
    pub(super) fn has_free_slot(&self) -> bool {
        self.own_running + self.others_running < self.endpoint.slots
    }

    /// This gateway's load at the endpoint, with the given `demand_per_min`; `is_brittle` if the
    /// gateway has heard that its service is.
    pub(super) fn load(&self, now_ms: u64, demand_per_min: u32, is_brittle: bool) -> Load {
        let UnreadMs { in_time, late } = self.waiting.own_unread();
        let (waiting_ms, late_ms) = (in_time as u32, late as u32);
        let (work_units, work_ms) = self.own_work.get(now_ms).to_reported();
        let running = self.own_running;
        let brittle = u32::from(is_brittle);
        Load { running, waiting_ms, late_ms, demand_per_min, work_units, work_ms, brittle }
    }

    /// The tokens of a prompt that the endpoint has to read because it has not cached them.
    pub(super) fn unread_tokens(&self, wanted: &Wanted) -> u32 {
        wanted.prompt_tokens.saturating_sub(self.prefix_cache.cached_tokens(&wanted.prompt))
    }

    /// The endpoint's own reading pace, or `usual` until enough responses were measured.
    pub(super) fn pace(&self, usual: ReadingPace) -> ReadingPace {
        if self.pace.samples() < OWN_PACE_MIN_RESPONSES { usual } else { self.pace }
    }

    /// Estimates the cost of a request that is sent now.
    pub(super) fn estimate(
        &self,
        now_ms: u64,
        wanted: Option<&Wanted>,
        usual: ReadingPace,
    ) -> CostEstimate {
        let running = f64::from(self.own_running + self.others_running);
        let slot_ms = FULL_BATCH_MS / f64::from(self.endpoint.slots.max(1));
        // A plain service runs several requests at once, so a slow one delays no other.
        let Some(wanted) = wanted else {
            // The last of `running` + 1 requests completes at a time in proportion to their number
            // and the slowdown. Less one request at the usual speed, so that endpoints with
            // different slots compare by their load alone if they are equally fast.
            let cost_ms = ((running + 1.0) * self.slowdown - 1.0) * slot_ms;
            return CostEstimate { cost_ms, rank: None };
        };
        let batch_ms = running * slot_ms * self.slowdown;
        let pace = self.pace(usual);
        let urgency = Urgency {
            priority: wanted.priority,
            left_ms: wanted.left_ms,
            reading_ms: pace.reading_ms(self.unread_tokens(wanted)),
        };
        let wait_ms = self.waiting.wait_ms(now_ms);
        let rank = urgency.rank_after(wait_ms);
        let waits_ms = if rank == LATE_RANK { self.waiting.late_wait_ms(now_ms) } else { wait_ms };
        // An endpoint that reads slowly is worth its cost only for short prompts.
        CostEstimate { cost_ms: batch_ms + waits_ms + urgency.reading_ms, rank: Some(rank) }
    }
}
