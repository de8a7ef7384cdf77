//! Which versions of renewed weights requests may still begin on.
//!
//! Each version has its own age, which a newer one does not end: with one time for the newest only, an
//! adapter renewed every two seconds kept its first version in use for as long as it was renewed.
//! A version whose age is not known counts as old enough, so that a process that starts anew, or was told
//! late, uses nothing that was replaced.

use std::collections::HashMap;

use crate::message::WeightsName;

/// The part of the allowed time, in percent, for which gateways still send requests to an older version.
///
/// The rest is for those that wait at an endpoint: 3.8 s at most were seen, at overloaded ones. A load
/// of the newer version takes about 0.3 s.
pub const SENT_PERCENT: u64 = 25;
/// The part of the allowed time, in percent, after which an older version is taken from endpoints: what
/// still waits there has not begun then and is refused as not run.
pub const HELD_PERCENT: u64 = 70;
/// The part of the allowed time, in percent, after which a request that has not begun on an older version
/// is taken back from where it waits.
///
/// An endpoint that stands still takes no order before it has begun what it read: of 322 requests 16
/// began 6.5 s after the newer version was acknowledged. By this time one that runs has refused
/// what waited, as not run, which is better for the client; the rest is for the way there.
pub const BEGUN_PERCENT: u64 = 80;
/// Into how many steps the allowed time is divided: a version that follows another within a step is due
/// with it, so that no more than one for each step, and one, are kept.
const STEPS: u64 = 8;

/// What is known of the versions of some weights.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KnownVersion {
    /// The newest that was named.
    pub newest: u64,
    /// For how long the newest has been known here.
    pub known_for_ms: u64,
    /// The oldest that a request may still begin on; 0 while any will do.
    pub due: u64,
}

/// A version whose time has not come.
#[derive(Debug, Clone, Copy)]
struct Coming {
    version: u64,
    due_at_ms: u64,
}

#[derive(Debug, Clone, Default)]
struct Renewed {
    newest: u64,
    newest_since_ms: u64,
    due: u64,
    /// The oldest first.
    coming: Vec<Coming>,
}

impl Renewed {
    fn due(&self, now_ms: u64) -> u64 {
        let mut due = self.due;
        for coming in &self.coming {
            if coming.due_at_ms <= now_ms {
                due = due.max(coming.version);
            }
        }
        due
    }

    fn settle(&mut self, now_ms: u64) {
        self.due = self.due(now_ms);
        let due = self.due;
        self.coming.retain(|coming| coming.version > due);
    }
}

/// The versions of all weights that were ever renewed.
#[derive(Debug)]
pub struct Versions {
    /// How long a version that was replaced may still be used.
    usable_ms: u64,
    renewed: HashMap<WeightsName, Renewed>,
}

impl Versions {
    /// No weights were renewed; one that is replaced may be used for `usable_ms`.
    pub fn new(usable_ms: u64) -> Self {
        Self { usable_ms, renewed: HashMap::new() }
    }

    /// Notes a version that was named at `now_ms`, or since.
    pub fn record(&mut self, now_ms: u64, name: WeightsName, version: u64) {
        let due_at_ms = now_ms + self.usable_ms;
        let step_ms = self.usable_ms / STEPS;
        let Some(renewed) = self.note(now_ms, name, version) else { return };
        match renewed.coming.last_mut() {
            Some(last) if due_at_ms < last.due_at_ms + step_ms => last.version = version,
            _ => renewed.coming.push(Coming { version, due_at_ms }),
        }
    }

    /// Notes a version that was named at some time before: nothing older may be used.
    pub fn record_with_unknown_age(&mut self, now_ms: u64, name: WeightsName, version: u64) {
        let Some(renewed) = self.note(now_ms, name, version) else { return };
        renewed.due = version;
        renewed.coming.clear();
    }

    /// Takes a newer version over; nothing when it is not newer.
    fn note(&mut self, now_ms: u64, name: WeightsName, version: u64) -> Option<&mut Renewed> {
        let renewed = self.renewed.entry(name).or_default();
        if version <= renewed.newest {
            return None;
        }
        renewed.settle(now_ms);
        renewed.newest = version;
        renewed.newest_since_ms = now_ms;
        Some(renewed)
    }

    /// What is known of `name`; nothing when it was never renewed.
    pub fn known_version(&self, now_ms: u64, name: &WeightsName) -> Option<KnownVersion> {
        let renewed = self.renewed.get(name)?;
        Some(KnownVersion {
            newest: renewed.newest,
            known_for_ms: now_ms.saturating_sub(renewed.newest_since_ms),
            due: renewed.due(now_ms),
        })
    }

    /// The newest version of `name`; nothing when it was never renewed.
    pub fn newest(&self, name: &WeightsName) -> Option<u64> {
        self.renewed.get(name).map(|renewed| renewed.newest)
    }

    /// The oldest version of `name` that a request may still begin on; 0 while any will do.
    pub fn due(&self, now_ms: u64, name: &WeightsName) -> u64 {
        self.renewed.get(name).map_or(0, |renewed| renewed.due(now_ms))
    }

    /// When `held` falls, or fell, due; nothing while no newer version is known.
    pub fn due_at_ms(&self, now_ms: u64, name: &WeightsName, held: u64) -> Option<u64> {
        let renewed = self.renewed.get(name)?;
        if held >= renewed.newest {
            return None;
        }
        if held < renewed.due(now_ms) {
            return Some(now_ms);
        }
        let newer = renewed.coming.iter().find(|coming| coming.version > held)?;
        Some(newer.due_at_ms)
    }

    /// True when no weights were renewed.
    pub fn is_empty(&self) -> bool {
        self.renewed.is_empty()
    }
}
