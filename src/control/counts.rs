//! Adding up what gateways have under way at endpoints.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::session::Session;
use crate::message::{EndpointLoad, Load};

/// How often all counts are added up anew, so that those of sessions which have ended are forgotten.
const ALL_EVERY_MS: u64 = 1_000;

/// Which counts have changed since they were added up last.
#[derive(Debug, Default)]
pub struct Counts {
    changed: BTreeSet<Arc<str>>,
    /// What was added up when all counts were.
    all: BTreeSet<Arc<str>>,
    all_due_ms: u64,
}

impl Counts {
    /// Nothing counted yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes what `session` tells of endpoints.
    pub fn update(&mut self, session: &mut Session, loads: Vec<EndpointLoad>) {
        for EndpointLoad { endpoint, load } in loads {
            self.changed.insert(endpoint.clone());
            session.loads.insert(endpoint, load);
        }
    }

    /// Notes that an endpoint's count has changed elsewhere.
    pub fn mark_changed(&mut self, endpoint: &Arc<str>) {
        self.changed.insert(endpoint.clone());
    }

    /// Forgets what a session that has ended told.
    pub fn mark_session_ended(&mut self, session: &Session) {
        self.changed.extend(session.loads.keys().cloned());
    }

    /// Adds everything up the next time, for a session that has just come.
    pub fn mark_all_changed(&mut self) {
        self.all_due_ms = 0;
    }

    /// The sums over `sessions` of what has changed; now and then of everything, that which only
    /// `elsewhere` names included.
    pub fn totals<'a>(
        &mut self,
        now_ms: u64,
        sessions: impl Iterator<Item = &'a Session> + Clone,
        elsewhere: impl Iterator<Item = &'a Arc<str>>,
    ) -> BTreeMap<Arc<str>, Load> {
        let mut due = std::mem::take(&mut self.changed);
        if now_ms >= self.all_due_ms {
            self.all_due_ms = now_ms + ALL_EVERY_MS;
            let mut all: BTreeSet<Arc<str>> = elsewhere.cloned().collect();
            for session in sessions.clone() {
                all.extend(session.loads.keys().cloned());
            }
            // Those that nobody names any more have to be told as nothing, once.
            due.extend(std::mem::replace(&mut self.all, all.clone()));
            due.extend(all);
        }
        let mut totals = BTreeMap::new();
        for endpoint in due {
            let mut total = Load::default();
            for session in sessions.clone() {
                total = total.plus(session.loads.get(&endpoint).copied().unwrap_or_default());
            }
            totals.insert(endpoint, total);
        }
        totals
    }
}
