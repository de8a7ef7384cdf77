//! What the actor tells of its endpoint: summaries for routers, and the state dump.

use serde_json::json;

use super::OwnerState;
use crate::policy::owner::Usability;

/// What was last published; a summary goes out when it changes.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) struct Published {
    changes: u64,
    usability: Usability,
    pressure: Pressure,
    places: usize,
}

/// How much runs and waits, in steps: summaries that differ in less are not worth a message.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Pressure {
    Idle,
    Light,
    Heavy,
    Full,
}

impl OwnerState {
    /// Tells routers what has changed since the last summary.
    pub(super) fn publish(&mut self, now_ms: u64) {
        let running = self.owner.running();
        let queued = self.owner.queued();
        let summary = self.owner.summary(now_ms, false);
        let places = summary.places as usize;
        let pressure = match running + queued {
            0 => Pressure::Idle,
            load if load * 2 <= places => Pressure::Light,
            load if load < places => Pressure::Heavy,
            _ => Pressure::Full,
        };
        let published = Published {
            changes: self.owner.changes(),
            usability: self.owner.usability(),
            pressure,
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

    /// The state dump.
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
