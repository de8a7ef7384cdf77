//! Divides the free places that many gateways see late among those that have late requests waiting.

/// How long without load counts a gateway continues with what it knows itself; counts take up to
/// 200 ms.
const COUNT_TIMEOUT_MS: u64 = 200;
/// The part of the free places that a gateway begins with. Larger parts let many gateways flood a
/// single place; with smaller ones a single gateway that waits finds out too slowly that no other
/// does. If most places are free, for example where weights have just been loaded, it is up to half
/// of them.
const FIRST_PART: f64 = 0.125;
/// The growth of the part after the endpoints were overfull, and the factor by which the growth
/// increases from there while places stay free. A part that doubled at once would be too large
/// again before the counts show it.
const GROWTH_MIN: f64 = 0.02;
const GROWTH_STEP: f64 = 1.3;

/// This gateway's share of the free places of one service.
///
/// All gateways see the same free places, with a delay, and cannot know how many of them have late
/// requests. So each one sends late requests into a part of the free places. The part is halved when
/// endpoints turn out overfull. While places stay free it grows with each count: by the factor 2 at
/// first, and after it was halved by 2%, rising again by `GROWTH_STEP`. So the parts of the gateways
/// that have late requests add up to about one. A place that a request of this gateway leaves may be
/// used at once, because the other gateways do not know of it yet.
#[derive(Debug, Clone)]
pub struct PlaceShare {
    part: f64,
    /// By how much the part grows while places stay free, as a share of it.
    growth: f64,
    /// The number of requests that may be sent until the next count.
    allowed: f64,
    counted_at_ms: u64,
    was_rejected: bool,
}

/// The places of the endpoints of one service according to the last counts.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ServicePlaces {
    /// All places.
    pub total: u32,
    /// Free places.
    pub free: u32,
    /// Requests beyond the slots of their endpoints.
    pub excess: u32,
}

impl PlaceShare {
    /// A share when requests begin to wait, among `gateways` gateways.
    pub fn new(now_ms: u64, gateways: usize, places: ServicePlaces, draw: f64) -> Self {
        let idle = f64::from(places.free) / f64::from(places.total.max(1));
        let part = FIRST_PART.max(idle / 2.0).max(1.0 / gateways.max(1) as f64);
        let mut share =
            Self { part, growth: 1.0, allowed: 0.0, counted_at_ms: now_ms, was_rejected: false };
        share.allow(places, draw);
        share
    }

    /// Applies new counts; `draw` is random, from 0 to 1.
    pub fn note_counts(&mut self, now_ms: u64, gateways: usize, places: ServicePlaces, draw: f64) {
        let least = 1.0 / gateways.max(1) as f64;
        if self.was_rejected || places.excess > 0 {
            self.part = (self.part / 2.0).max(least);
            self.growth = GROWTH_MIN;
        } else if places.free > 0 {
            self.part = (self.part * (1.0 + self.growth)).min(1.0);
            self.growth = (self.growth * GROWTH_STEP).min(1.0);
        }
        self.counted_at_ms = now_ms;
        self.was_rejected = false;
        self.allow(places, draw);
    }

    /// Applies places that became known between two counts, by a registration or a load of weights.
    pub fn note_places(&mut self, places: ServicePlaces, draw: f64) {
        self.allow(places, draw);
    }

    /// True if no other gateway competes for the places.
    pub fn is_whole(&self) -> bool {
        self.part >= 1.0
    }

    /// A part below one place is used with that probability.
    fn allow(&mut self, places: ServicePlaces, draw: f64) {
        self.allowed = (f64::from(places.free) * self.part + draw).floor();
    }

    /// True if the gateway may send a waiting request.
    pub fn may_send(&self) -> bool {
        self.allowed >= 1.0
    }

    /// True if no counts came for so long that the gateway continues with what it knows itself.
    pub fn is_overdue(&self, now_ms: u64) -> bool {
        now_ms >= self.counted_at_ms + COUNT_TIMEOUT_MS
    }

    /// Records that a waiting request was sent.
    pub fn note_sent(&mut self) {
        self.allowed -= 1.0;
    }

    /// Records that a request of this gateway ended and left a place.
    pub fn note_ended(&mut self) {
        self.allowed += 1.0;
    }

    /// Records that an endpoint rejected a request because it is full.
    pub fn note_rejected(&mut self) {
        self.was_rejected = true;
    }
}
