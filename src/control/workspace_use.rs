//! Sums the use of services by workspaces that sessions report, and sends each session the sum of
//! all others.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::session::Session;
use crate::message::{SessionDown, SessionRole, UseCounts, WorkspaceUse};
use crate::policy::workspace_use::{self, OtherUses, REPORT_INTERVAL_MS, UseMap};

/// How often sums are computed even if no report arrived: sessions opened since need them, and sums
/// of a former server expire.
const RECOMPUTE_INTERVAL_MS: u64 = 1_000;

#[derive(Debug, Default)]
struct SessionUses {
    reported: UseMap,
    /// The sums that it was last sent.
    sent: UseMap,
}

/// The workspace uses reported by the sessions of a distributor or the leader.
#[derive(Debug, Default)]
pub struct WorkspaceUses {
    by_session: BTreeMap<u64, SessionUses>,
    /// The sums of other zones; at the leader there are none.
    remote: OtherUses,
    /// The sums last reported to the leader.
    reported: UseMap,
    is_changed: bool,
    due_ms: u64,
    full_sum_due_ms: u64,
}

impl WorkspaceUses {
    /// Creates empty sums.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the report of a session.
    pub fn update(&mut self, session: u64, uses: Vec<WorkspaceUse>) {
        let known = self.by_session.entry(session).or_default();
        workspace_use::update_uses(&mut known.reported, uses);
        self.is_changed = true;
    }

    /// Records the sums of other zones.
    pub fn update_remote(&mut self, uses: Vec<WorkspaceUse>) {
        self.remote.update(uses);
        self.is_changed = true;
    }

    /// Handles a link to a new leader, which gets all sums with the next report.
    pub fn linked(&mut self, now_ms: u64) {
        self.remote.linked(now_ms);
        self.reported.clear();
        self.is_changed = true;
    }

    /// Handles the end of the link.
    pub fn unlinked(&mut self, now_ms: u64) {
        self.remote.unlinked(now_ms);
    }

    /// Sends each of `sessions` the changed sums of all others and returns the changed sums of the
    /// sessions here, for the leader. Counts of sessions that have ended are dropped.
    pub fn advance(&mut self, now_ms: u64, sessions: &BTreeMap<u64, Session>) -> Vec<WorkspaceUse> {
        let known = self.by_session.len();
        self.by_session.retain(|id, _| sessions.contains_key(id));
        self.is_changed |= self.by_session.len() < known;
        if now_ms >= self.full_sum_due_ms {
            self.full_sum_due_ms = now_ms + RECOMPUTE_INTERVAL_MS;
            self.is_changed = true;
        }
        if !self.is_changed || now_ms < self.due_ms {
            return Vec::new();
        }
        self.is_changed = false;
        let mut own = UseMap::new();
        for uses in self.by_session.values() {
            add_uses(&mut own, &uses.reported);
        }
        let mut all = self.remote.sums(now_ms);
        add_uses(&mut all, &own);
        let is_idle = all.is_empty() && self.by_session.is_empty() && self.reported.is_empty();
        if is_idle {
            return Vec::new();
        }
        let mut is_sent = false;
        for (id, session) in sessions {
            if session.epoch.is_none() || session.hello.role == SessionRole::Owner {
                continue;
            }
            is_sent |= self.by_session.entry(*id).or_default().send_others(&all, session);
        }
        let report = workspace_use::take_changes(&mut self.reported, &own);
        if is_sent || !report.is_empty() {
            self.due_ms = now_ms + REPORT_INTERVAL_MS;
        }
        self.by_session.retain(|_, uses| !uses.reported.is_empty() || !uses.sent.is_empty());
        report
    }
}

impl SessionUses {
    /// Sends the changes of `all` less the counts of this session; returns false if there are none.
    fn send_others(&mut self, all: &UseMap, session: &Session) -> bool {
        let mut others = UseMap::new();
        for (key, total) in all {
            let own = self.reported.get(key).copied().unwrap_or_default();
            workspace_use::set_use(&mut others, key.clone(), total.saturating_sub(own));
        }
        let mut sent = self.sent.clone();
        let changes = workspace_use::take_changes(&mut sent, &others);
        if changes.is_empty() || !session.send(SessionDown::WorkspaceUse(changes)) {
            return false;
        }
        self.sent = sent;
        true
    }
}

fn add_uses(sums: &mut UseMap, uses: &BTreeMap<(Arc<str>, Arc<str>), UseCounts>) {
    for (key, counts) in uses {
        let sum = sums.entry(key.clone()).or_default();
        *sum = sum.saturating_add(*counts);
    }
}
