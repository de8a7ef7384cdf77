//! The use of services by workspaces as gateways and control exchange it: which changes are reported,
//! and how long the sums of other gateways are used.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::message::{UseCounts, WorkspaceUse};

/// The minimum time between two messages with counts, in either direction.
pub const REPORT_INTERVAL_MS: u64 = 250;
/// How long the sums of other gateways are used without control.
const SUMS_HOLD_MS: u64 = 5_000;
/// How long earlier sums count beside those of a new server, which learns the counts of the
/// gateways one by one.
const TAKEOVER_MS: u64 = 1_000;
/// Changes of counts are reported when they exceed the larger value divided by this.
const CHANGE_DIVISOR: u32 = 16;

/// Returns true if `current` differs enough from the counts `reported` before to affect shares.
pub fn is_worth_reporting(reported: UseCounts, current: UseCounts) -> bool {
    let differs = |one: u32, other: u32| one.abs_diff(other) > one.max(other) / CHANGE_DIVISOR;
    differs(reported.asked, current.asked)
        || differs(reported.sent, current.sent)
        || (reported.waiting > 0) != (current.waiting > 0)
}

/// Counts by service and workspace.
pub type UseMap = BTreeMap<(Arc<str>, Arc<str>), UseCounts>;

/// Replaces the counts that `uses` names; counts of 0 are removed.
pub fn update_uses(map: &mut UseMap, uses: Vec<WorkspaceUse>) {
    for WorkspaceUse { service, workspace, counts } in uses {
        set_use(map, (service, workspace), counts);
    }
}

/// Replaces one entry; counts of 0 are removed.
pub fn set_use(map: &mut UseMap, key: (Arc<str>, Arc<str>), counts: UseCounts) {
    if counts == UseCounts::default() {
        map.remove(&key);
    } else {
        map.insert(key, counts);
    }
}

/// Records `current` as reported and returns the changes to report since then.
pub fn take_changes(reported: &mut UseMap, current: &UseMap) -> Vec<WorkspaceUse> {
    let ended = reported.keys().filter(|key| !current.contains_key(*key)).cloned();
    let mut changes: Vec<_> = ended.map(|key| (key, UseCounts::default())).collect();
    for (key, counts) in current {
        let before = reported.get(key).copied().unwrap_or_default();
        if is_worth_reporting(before, *counts) {
            changes.push((key.clone(), *counts));
        }
    }
    let mut uses = Vec::with_capacity(changes.len());
    for (key, counts) in changes {
        set_use(reported, key.clone(), counts);
        let (service, workspace) = key;
        uses.push(WorkspaceUse { service, workspace, counts });
    }
    uses
}

/// The sums of all other gateways, which outlast the loss of the server that sent them for some
/// time.
#[derive(Debug, Default)]
pub struct OtherUses {
    /// As sent by the current server.
    current: UseMap,
    /// As sent by the server before.
    former: UseMap,
    former_until_ms: u64,
    linked_at_ms: Option<u64>,
}

impl OtherUses {
    /// Records a session with a server, which sends all its sums.
    pub fn linked(&mut self, now_ms: u64) {
        self.linked_at_ms.get_or_insert(now_ms);
    }

    /// Records the end of the session, if there is one.
    pub fn unlinked(&mut self, now_ms: u64) {
        let Some(linked_at_ms) = self.linked_at_ms.take() else { return };
        let sums = std::mem::take(&mut self.current);
        // A server that was followed for a shorter time may have had few of the counts.
        if now_ms >= linked_at_ms + TAKEOVER_MS {
            self.former = sums;
            self.former_until_ms = now_ms + SUMS_HOLD_MS;
        }
    }

    /// Applies changes of the sums.
    pub fn update(&mut self, uses: Vec<WorkspaceUse>) {
        update_uses(&mut self.current, uses);
    }

    /// Returns the sums to use now.
    pub fn sums(&mut self, now_ms: u64) -> UseMap {
        let is_taken_over = self.linked_at_ms.is_some_and(|at_ms| now_ms >= at_ms + TAKEOVER_MS);
        if is_taken_over || now_ms >= self.former_until_ms {
            self.former.clear();
        }
        let mut sums = self.current.clone();
        for (key, former) in &self.former {
            let sum = sums.entry(key.clone()).or_default();
            *sum = sum.max(*former);
        }
        sums
    }
}
