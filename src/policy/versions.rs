//! Versions of weights: which replaced versions requests may still start on.
//!
//! Each version has its own deadline, which newer versions do not extend: with a single deadline,
//! for the newest version, an adapter updated every two seconds kept its first version in use for
//! as long as the updates went on. A version of unknown age counts as old enough, so that a process
//! that has just started, or was informed late, uses no replaced version.

use std::collections::HashMap;

use crate::message::WeightsName;

/// The part of the allowed time, in percent, for which gateways still send requests to a replaced
/// version.
///
/// The rest is for requests that wait at an endpoint: up to 3.8 s were seen at overloaded
/// endpoints. A load of the newer version takes about 0.3 s.
pub const SENT_PERCENT: u64 = 25;
/// The part of the allowed time, in percent, after which a replaced version is unloaded from
/// endpoints: requests that still wait there have not started and are refused as not run.
pub const HELD_PERCENT: u64 = 70;
/// The part of the allowed time, in percent, after which a request that has not started on a
/// replaced version is withdrawn from the endpoint where it waits.
///
/// A stalled endpoint executes no order before it has started the requests that it has read: of 322
/// requests, 16 started 6.5 s after the newer version was acknowledged. By this time, an endpoint
/// that is not stalled has refused its waiting requests as not run, which is better for the client;
/// the rest of the allowed time is for the withdrawal to arrive.
pub const BEGUN_PERCENT: u64 = 80;
/// The number of steps that the allowed time is divided into: a version published within a step of
/// the previous one becomes due together with it, so that at most one version per step, plus one,
/// is stored.
const STEPS: u64 = 8;

/// The known versions of one model or adapter.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KnownVersion {
    /// The newest published version.
    pub newest: u64,
    /// How long this process has known the newest version.
    pub known_for_ms: u64,
    /// The oldest version that a request may still start on; 0 if any may be used.
    pub due: u64,
}

/// A version that becomes the oldest usable one at `due_at_ms`.
#[derive(Debug, Clone, Copy)]
struct Coming {
    version: u64,
    due_at_ms: u64,
}

#[derive(Debug, Clone, Default)]
struct WeightsVersions {
    newest: u64,
    newest_since_ms: u64,
    due: u64,
    /// Versions that are not due yet, oldest first.
    coming: Vec<Coming>,
}

impl WeightsVersions {
    fn due(&self, now_ms: u64) -> u64 {
        let mut due = self.due;
        for coming in &self.coming {
            if coming.due_at_ms <= now_ms {
                due = due.max(coming.version);
            }
        }
        due
    }

    fn advance(&mut self, now_ms: u64) {
        self.due = self.due(now_ms);
        let due = self.due;
        self.coming.retain(|coming| coming.version > due);
    }
}

/// The published versions of all weights.
#[derive(Debug)]
pub struct Versions {
    /// How long a replaced version may still be used.
    usable_ms: u64,
    weights: HashMap<WeightsName, WeightsVersions>,
}

impl Versions {
    /// Creates an empty set; a replaced version may be used for `usable_ms`.
    pub fn new(usable_ms: u64) -> Self {
        Self { usable_ms, weights: HashMap::new() }
    }

    /// Records a version that was published at `now_ms` or later.
    pub fn record(&mut self, now_ms: u64, name: WeightsName, version: u64) {
        let due_at_ms = now_ms + self.usable_ms;
        let step_ms = self.usable_ms / STEPS;
        let Some(weights) = self.insert_newer(now_ms, name, version) else { return };
        match weights.coming.last_mut() {
            Some(last) if due_at_ms < last.due_at_ms + step_ms => last.version = version,
            _ => weights.coming.push(Coming { version, due_at_ms }),
        }
    }

    /// Records a version that was published at an unknown earlier time: no older version may be
    /// used.
    pub fn record_with_unknown_age(&mut self, now_ms: u64, name: WeightsName, version: u64) {
        let Some(weights) = self.insert_newer(now_ms, name, version) else { return };
        weights.due = version;
        weights.coming.clear();
    }

    /// Records a version as the newest; returns `None` if a newer or equal one is known.
    fn insert_newer(
        &mut self,
        now_ms: u64,
        name: WeightsName,
        version: u64,
    ) -> Option<&mut WeightsVersions> {
        let weights = self.weights.entry(name).or_default();
        if version <= weights.newest {
            return None;
        }
        weights.advance(now_ms);
        weights.newest = version;
        weights.newest_since_ms = now_ms;
        Some(weights)
    }

    /// The known versions of `name`; `None` if none was published.
    pub fn known_version(&self, now_ms: u64, name: &WeightsName) -> Option<KnownVersion> {
        let weights = self.weights.get(name)?;
        Some(KnownVersion {
            newest: weights.newest,
            known_for_ms: now_ms.saturating_sub(weights.newest_since_ms),
            due: weights.due(now_ms),
        })
    }

    /// The newest version of `name`; `None` if none was published.
    pub fn newest(&self, name: &WeightsName) -> Option<u64> {
        self.weights.get(name).map(|weights| weights.newest)
    }

    /// The oldest version of `name` that a request may still start on; 0 if any may be used.
    pub fn due(&self, now_ms: u64, name: &WeightsName) -> u64 {
        self.weights.get(name).map_or(0, |weights| weights.due(now_ms))
    }

    /// The time from which version `held` may no longer be used; `None` while no newer version is
    /// known.
    pub fn due_at_ms(&self, now_ms: u64, name: &WeightsName, held: u64) -> Option<u64> {
        let weights = self.weights.get(name)?;
        if held >= weights.newest {
            return None;
        }
        if held < weights.due(now_ms) {
            return Some(now_ms);
        }
        let newer = weights.coming.iter().find(|coming| coming.version > held)?;
        Some(newer.due_at_ms)
    }

    /// Returns true if no version was published.
    pub fn is_empty(&self) -> bool {
        self.weights.is_empty()
    }
}
