//! How much slower or faster an endpoint works than the other endpoints of its service, learned
//! from the responses to all gateways.
//!
//! A single gateway of many sees too few responses of an endpoint to judge it, so gateways sum
//! their samples. The samples decay: an endpoint that gets no requests counts as normal again and
//! is tried again.

use std::collections::BTreeMap;
use std::ops::{Add, AddAssign, SubAssign};
use std::sync::Arc;

use crate::message::Load;

/// The time in which a sample loses half of its weight.
const HALF_LIFE_MS: f64 = 3_000.0;
/// The units of evidence below which an endpoint counts as normal.
const UNITS_MIN: f64 = 8.0;
/// The slowdowns within which an endpoint counts as normal, so that noise changes nothing where
/// endpoints are equally fast.
const NORMAL_MIN: f64 = 0.87;
const NORMAL_MAX: f64 = 1.15;
/// The largest slowdown, and the largest ratio of a single response to the mean.
const SLOWDOWN_MAX: f64 = 4.0;
/// The smallest slowdown. It limits what an endpoint attracts that answers without doing the work.
const SLOWDOWN_MIN: f64 = 1.0 / SLOWDOWN_MAX;
/// The chance to take an endpoint as full begins this far below the limit, in multiples of the
/// slots, and rises by `FULL_CHANCE_STEP` for each further multiple. The rise is slow because all
/// gateways react to the same counts, which are older than a request runs: with a steep rise, an
/// endpoint runs empty and then overflows.
const FULL_CHANCE_MARGIN: f64 = 0.67;
const FULL_CHANCE_STEP: f64 = 0.18;
/// Below 1, so that an endpoint whose counts are wrong is still tried.
const FULL_CHANCE_MAX: f64 = 0.9;
/// The change of a slowdown that is reported.
const REPORTED_STEP: f64 = 1.0 / 8.0;
/// The change of a slowdown that is logged.
const LOGGED_STEP: f64 = 1.0 / 4.0;

/// Work that an endpoint or a service did: units, and the time that they took.
///
/// A unit is a response of a plain service, or an event of an engine's stream.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Work {
    /// The number of units.
    pub units: f64,
    /// The time that they took.
    pub ms: f64,
}

impl Work {
    /// The work in a reported load.
    pub fn from_load(load: &Load) -> Self {
        Self { units: load.work_units.into(), ms: load.work_ms.into() }
    }

    /// The work as reported: whole units, with the same mean.
    pub fn to_reported(self) -> (u32, u32) {
        let units = self.units.round();
        (units as u32, (self.mean_ms().unwrap_or(0.0) * units).round() as u32)
    }

    /// The mean time of a unit; `None` with too little evidence.
    pub fn known_mean_ms(self) -> Option<f64> {
        self.mean_ms().filter(|_| self.units >= UNITS_MIN)
    }

    fn mean_ms(self) -> Option<f64> {
        (self.units > 0.0).then(|| self.ms / self.units)
    }

    /// The slowdown of an endpoint that did this work, at a service whose endpoints together did
    /// the work of `service`: 1 is normal, and 2 takes twice as long.
    pub fn slowdown(self, service: Self) -> f64 {
        let (Some(own_ms), Some(service_ms)) = (self.known_mean_ms(), service.known_mean_ms())
        else {
            return 1.0;
        };
        // A mean of 0 ms is below the resolution of the clock.
        let ratio = own_ms.max(1.0) / service_ms.max(1.0);
        if is_normal(ratio) {
            return 1.0;
        }
        ratio.clamp(SLOWDOWN_MIN, SLOWDOWN_MAX)
    }
}

impl Add for Work {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self { units: self.units + other.units, ms: self.ms + other.ms }
    }
}

impl AddAssign for Work {
    fn add_assign(&mut self, other: Self) {
        *self = *self + other;
    }
}

impl SubAssign for Work {
    fn sub_assign(&mut self, other: Self) {
        self.units -= other.units;
        self.ms -= other.ms;
    }
}

/// The decaying sum of the work that one endpoint did for one gateway.
#[derive(Debug, Clone, Copy, Default)]
pub struct RecentWork {
    work: Work,
    at_ms: u64,
}

impl RecentWork {
    /// Adds the work of one response; `usual_ms` is the mean time of a unit over the service, if
    /// known. A very slow response is counted as `SLOWDOWN_MAX` times the mean, because its delay
    /// may have another cause than the endpoint's speed.
    pub fn add(&mut self, now_ms: u64, mut response: Work, usual_ms: Option<f64>) {
        if let Some(usual_ms) = usual_ms {
            response.ms = response.ms.min(usual_ms.max(1.0) * SLOWDOWN_MAX * response.units);
        }
        self.work = self.get(now_ms) + response;
        self.at_ms = self.at_ms.max(now_ms);
    }

    /// The remaining work at `now_ms`.
    pub fn get(&self, now_ms: u64) -> Work {
        if self.work.units <= 0.0 {
            return Work::default();
        }
        let passed_ms = now_ms.saturating_sub(self.at_ms) as f64;
        let left = (-passed_ms / HALF_LIFE_MS).exp2();
        Work { units: self.work.units * left, ms: self.work.ms * left }
    }
}

/// The time that one response of a plain service took, without the time in the endpoint's queue:
/// with `running` other requests at the endpoint when it was sent, beyond its slots, it took a
/// place in the queue.
pub fn plain_work(took_ms: u64, running: u32, slots: u32) -> Work {
    let crowding = f64::from(running.saturating_add(1)) / f64::from(slots.max(1));
    Work { units: 1.0, ms: took_ms as f64 / crowding.max(1.0) }
}

/// The number of requests that a plain endpoint takes at most: those that complete within
/// `left_ms` if a unit takes `unit_ms` there, but not fewer than its slots, nor more than `max`.
pub fn plain_limit(slots: u32, max: u32, left_ms: u64, unit_ms: f64) -> u32 {
    if unit_ms <= 0.0 {
        return max;
    }
    let completed = left_ms as f64 / unit_ms * f64::from(slots);
    (completed as u32).clamp(slots.min(max), max)
}

/// The chance with which a gateway that has late load counts takes an endpoint as full, if `limit`
/// requests may be there and `running` are known. It rises from 0 at two thirds of the slots below the limit.
///
/// If all gateways stopped sending to an endpoint that was full some time ago, it would run empty
/// before they knew, and then all would send at once. A steeper rise has the same effect.
pub fn full_chance(slots: u32, limit: u32, running: u32) -> f64 {
    let above = f64::from(running) - f64::from(limit) + f64::from(slots) * FULL_CHANCE_MARGIN;
    (above / f64::from(slots.max(1)) * FULL_CHANCE_STEP).clamp(0.0, FULL_CHANCE_MAX)
}

/// Returns true if an endpoint's slowdown as of the load `reported` differs from that as of
/// `current`, so that a gateway would choose differently if it knew `current`.
///
/// Where endpoints are alike in speed, both are 1 and nothing is reported.
pub fn is_worth_reporting(reported: &Load, current: &Load, service: Work) -> bool {
    if (reported.work_units, reported.work_ms) == (current.work_units, current.work_ms) {
        return false;
    }
    let before = Work::from_load(reported).slowdown(service);
    differs_by(before, Work::from_load(current).slowdown(service), REPORTED_STEP)
}

/// True for the slowdown of an endpoint that is as fast as its service.
pub fn is_normal(slowdown: f64) -> bool {
    (NORMAL_MIN..=NORMAL_MAX).contains(&slowdown)
}

/// Returns true if a slowdown differs enough from the one logged before to be logged again.
pub fn is_worth_logging(logged: f64, slowdown: f64) -> bool {
    differs_by(logged, slowdown, LOGGED_STEP) || (is_normal(slowdown) && !is_normal(logged))
}

fn differs_by(before: f64, now: f64, step: f64) -> bool {
    (now - before).abs() > before.min(now) * step
}

/// The work of all endpoints by service, kept up to date with the load of each endpoint.
#[derive(Debug, Default)]
pub struct ServiceWork {
    by_endpoint: BTreeMap<Arc<str>, (Arc<str>, Work)>,
    by_service: BTreeMap<Arc<str>, Work>,
}

impl ServiceWork {
    /// Sets the work in the load of an endpoint of `service`.
    pub fn set(&mut self, endpoint: &Arc<str>, service: &Arc<str>, load: &Load) {
        self.remove(endpoint);
        let work = Work::from_load(load);
        *self.by_service.entry(service.clone()).or_default() += work;
        // Kept also without work: then the earlier work that was reported is taken back.
        self.by_endpoint.insert(endpoint.clone(), (service.clone(), work));
    }

    /// Removes the work of an endpoint.
    pub fn remove(&mut self, endpoint: &str) {
        let Some((service, work)) = self.by_endpoint.remove(endpoint) else { return };
        let Some(sum) = self.by_service.get_mut(&service) else { return };
        *sum -= work;
        if sum.units <= 0.0 {
            self.by_service.remove(&service);
        }
    }

    /// The work of all endpoints of `service`.
    pub fn of_service(&self, service: &str) -> Work {
        self.by_service.get(service).copied().unwrap_or_default()
    }

    /// The work of all endpoints of the service that `endpoint` belongs to.
    pub fn of_service_with(&self, endpoint: &str) -> Work {
        self.by_endpoint
            .get(endpoint)
            .map_or_else(Work::default, |(service, _)| self.of_service(service))
    }
}
