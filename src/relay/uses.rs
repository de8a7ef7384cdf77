//! Records which weights this gateway's requests use at which endpoints, for reports to the leader.

use std::collections::HashMap;
use std::sync::Arc;

use crate::message::{WeightsName, WeightsUse};

/// How often all uses are reported, changed or not.
const FULL_REPORT_INTERVAL_MS: u64 = 1_000;

/// An endpoint and the weights in use there.
type UseKey = (Arc<str>, WeightsName);

/// The requests that use some weights at an endpoint.
#[derive(Debug, Clone, Copy, Default)]
struct Use {
    under_way: u32,
    /// The number of requests sent since the last report.
    sent: u32,
    /// The reading time of the prompts sent since the last report.
    reading_ms: f64,
    changed: bool,
}

/// The weights in use by all requests of one gateway.
#[derive(Debug, Default)]
pub(super) struct WeightsUses {
    by_endpoint: HashMap<UseKey, Use>,
    full_report_at_ms: u64,
}

impl WeightsUses {
    /// Counts a request whose prompt takes `reading_ms` to read.
    pub(super) fn start(&mut self, endpoint: &Arc<str>, weights: &WeightsName, reading_ms: f64) {
        let entry = self.by_endpoint.entry((endpoint.clone(), weights.clone())).or_default();
        entry.under_way += 1;
        entry.sent += 1;
        entry.reading_ms += reading_ms;
        entry.changed = true;
    }

    /// Counts a request that has ended.
    pub(super) fn finish(&mut self, endpoint: &Arc<str>, weights: &WeightsName) {
        let key = (endpoint.clone(), weights.clone());
        let Some(entry) = self.by_endpoint.get_mut(&key) else { return };
        entry.under_way = entry.under_way.saturating_sub(1);
        entry.changed |= entry.under_way == 0;
    }

    /// Returns the changes since the last call; every [`FULL_REPORT_INTERVAL_MS`] all uses, since
    /// the leader forgets uses that are not reported again.
    pub(super) fn take(&mut self, now_ms: u64) -> Vec<WeightsUse> {
        let is_full_report = self.full_report_at_ms + FULL_REPORT_INTERVAL_MS <= now_ms;
        if is_full_report {
            self.full_report_at_ms = now_ms;
        }
        let mut used = Vec::new();
        for ((endpoint, name), entry) in &mut self.by_endpoint {
            if !entry.changed && !is_full_report {
                continue;
            }
            used.push(WeightsUse {
                endpoint: endpoint.clone(),
                name: name.clone(),
                requests: entry.sent,
                reading_ms: entry.reading_ms as u32,
                under_way: entry.under_way,
            });
            entry.sent = 0;
            entry.reading_ms = 0.0;
            entry.changed = false;
        }
        self.by_endpoint.retain(|_, entry| entry.under_way > 0);
        used
    }

    /// Makes the next report include all uses, for a leader that knows none of them.
    pub(super) fn force_full_report(&mut self) {
        self.full_report_at_ms = 0;
    }
}
