//! Summaries of an owned endpoint for the routers of all gateways, and the actor's state dump.

use serde_json::json;

use super::OwnerState;
use crate::policy::owner::Usability;

/// The values that decide whether a summary is published: one is sent when any of them has changed.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) struct PublishedState {
    changes: u64,
    usability: Usability,
    load_level: LoadLevel,
    places: usize,
}

/// Number of running and queued requests in coarse steps, so that small differences cause no message.
#[derive(Clone, Copy, PartialEq, Eq)]
enum LoadLevel {
    Idle,
    Light,
    Heavy,
    Full,
}

impl OwnerState {
    /// Publishes a summary if it differs enough from the last one; otherwise updates only the local
    /// router.
    pub(super) fn publish(&mut self, now_ms: u64) {
        let running = self.owner.running();
        let queued = self.owner.queued();
        let summary = self.owner.summary(now_ms, false);
        let places = summary.places as usize;
        let load_level = match running + queued {
            0 => LoadLevel::Idle,
            load if load * 2 <= places => LoadLevel::Light,
            load if load < places => LoadLevel::Heavy,
            _ => LoadLevel::Full,
        };
        let published = PublishedState {
            changes: self.owner.changes(),
            usability: self.owner.usability(),
            load_level,
            places,
        };
        if self.handed_over {
            return;
        }
        if self.published == Some(published) {
            self.shared.router().observe(summary);
            return;
        }
        let with_adapters = self.published.is_none_or(|last| last.changes != published.changes);
        self.published = Some(published);
        let summary = self.owner.summary(now_ms, with_adapters);
        self.shared.publish(summary);
    }

    /// Builds the state dump.
    pub(super) fn dump(&self) -> serde_json::Value {
        let mut adapters = Vec::new();
        for (adapter, loaded, running) in self.owner.adapters() {
            let adapter = adapter.to_string();
            adapters.push(json!({"adapter": adapter, "loaded": loaded, "running": running}));
        }
        json!({
            "endpoint": self.record.name(),
            "address": self.record.listed.address.to_string(),
            "epoch": self.record.epoch,
            "usability": format!("{:?}", self.owner.usability()),
            "running": self.owner.running(),
            "queued": self.owner.queued(),
            "others_running": self.owner.others_running(),
            "adapters": adapters,
        })
    }
}
