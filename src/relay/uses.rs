//! Which weights this gateway's requests use at which endpoints, as the leader is told.

use std::collections::HashMap;
use std::sync::Arc;

use crate::message::{WeightsName, WeightsUse};

/// How often the leader is reminded of everything that is in use.
const USES_TOLD_EVERY_MS: u64 = 1_000;

/// An endpoint and the weights that requests use there.
type UseKey = (Arc<str>, WeightsName);

/// The requests that use some weights at an endpoint.
#[derive(Debug, Clone, Copy, Default)]
struct Use {
    under_way: u32,
    /// Sent since the last report.
    sent: u32,
    /// How long their prompts take to be read.
    reading_ms: f64,
    changed: bool,
}

/// All uses through one gateway.
#[derive(Debug, Default)]
pub(super) struct Uses {
    by_endpoint: HashMap<UseKey, Use>,
    told_at_ms: u64,
}

impl Uses {
    /// Counts a request whose prompt takes `reading_ms` to be read.
    pub(super) fn start(&mut self, endpoint: &Arc<str>, weights: &WeightsName, reading_ms: f64) {
        let use_here = self.by_endpoint.entry((endpoint.clone(), weights.clone())).or_default();
        use_here.under_way += 1;
        use_here.sent += 1;
        use_here.reading_ms += reading_ms;
        use_here.changed = true;
    }

    /// Counts a request that has ended.
    pub(super) fn finish(&mut self, endpoint: &Arc<str>, weights: &WeightsName) {
        let key = (endpoint.clone(), weights.clone());
        let Some(use_here) = self.by_endpoint.get_mut(&key) else { return };
        use_here.under_way = use_here.under_way.saturating_sub(1);
        use_here.changed |= use_here.under_way == 0;
    }

    /// What changed since the last call; now and then everything, since the leader forgets what it is
    /// not reminded of.
    pub(super) fn take(&mut self, now_ms: u64) -> Vec<WeightsUse> {
        let tells_all = self.told_at_ms + USES_TOLD_EVERY_MS <= now_ms;
        if tells_all {
            self.told_at_ms = now_ms;
        }
        let mut used = Vec::new();
        for ((endpoint, name), use_here) in &mut self.by_endpoint {
            if !use_here.changed && !tells_all {
                continue;
            }
            used.push(WeightsUse {
                endpoint: endpoint.clone(),
                name: name.clone(),
                requests: use_here.sent,
                reading_ms: use_here.reading_ms as u32,
                under_way: use_here.under_way,
            });
            use_here.sent = 0;
            use_here.reading_ms = 0.0;
            use_here.changed = false;
        }
        self.by_endpoint.retain(|_, use_here| use_here.under_way > 0);
        used
    }

    /// Tells everything the next time, to a leader that knows nothing.
    pub(super) fn forget_told(&mut self) {
        self.told_at_ms = 0;
    }
}
