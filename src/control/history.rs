//! The latest changes of the state that gateways follow, one for each item.
//!
//! A follower needs only the newest state of an item, so a change replaces the earlier one of the same
//! item. What is kept is thus never larger than the state itself and the names of what was removed.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use crate::message::{Change, FeatureKey, WeightsName};

/// Most items that were changed and are kept.
const ITEMS_MAX: usize = 20_000;

/// What a change is about; a later change of the same item replaces it.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Item {
    Service(Arc<str>),
    Endpoint(Arc<str>),
    Gateway(Arc<str>),
    Routing,
    Registration(Arc<str>),
    Version(WeightsName),
    Standing(FeatureKey),
}

impl Item {
    fn of(change: &Change) -> Self {
        match change {
            Change::Service(service) => Self::Service(service.name.clone()),
            Change::ServiceRetired(name) => Self::Service(name.clone()),
            Change::Endpoint(record) => Self::Endpoint(record.name().clone()),
            Change::EndpointRemoved(name) => Self::Endpoint(name.clone()),
            Change::Gateway(record) => Self::Gateway(record.name.clone()),
            Change::GatewayRemoved(name) => Self::Gateway(name.clone()),
            Change::Routing(_) | Change::RoutingUpdate(_) => Self::Routing,
            Change::Registered(endpoint) => Self::Registration(endpoint.id.clone()),
            Change::Deregistered(id) => Self::Registration(id.clone()),
            Change::Version(newest) | Change::VersionOfUnknownAge(newest) => {
                Self::Version(newest.name.clone())
            }
            Change::Standing(standing) => Self::Standing(standing.key),
        }
    }
}

#[derive(Debug)]
struct Latest {
    index: u64,
    change: Change,
    size_bytes: usize,
}

/// The latest change of each item, in the order in which they were made.
#[derive(Debug, Default)]
pub struct LatestChanges {
    next_position: u64,
    by_position: BTreeMap<u64, Latest>,
    positions: HashMap<Item, u64>,
    size_bytes: usize,
}

impl LatestChanges {
    /// No changes.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a change of the entry at `index`, which replaces an earlier one of the same item.
    pub fn push(&mut self, index: u64, change: Change) {
        let position = self.next_position;
        self.next_position += 1;
        if let Some(earlier) = self.positions.insert(Item::of(&change), position) {
            self.remove(earlier);
        }
        let size_bytes = change.size_bytes();
        self.size_bytes += size_bytes;
        self.by_position.insert(position, Latest { index, change, size_bytes });
    }

    /// The number of items.
    pub fn len(&self) -> usize {
        self.by_position.len()
    }

    /// True if there are no changes.
    pub fn is_empty(&self) -> bool {
        self.by_position.is_empty()
    }

    /// An estimate of the memory that the changes take.
    pub fn size_bytes(&self) -> usize {
        self.size_bytes
    }

    /// Removes all changes and returns them in order.
    pub fn take(&mut self) -> Vec<Change> {
        let taken = std::mem::take(self);
        taken.by_position.into_values().map(|latest| latest.change).collect()
    }

    /// Removes the oldest change and returns its index.
    fn pop_oldest(&mut self) -> Option<u64> {
        let (_, oldest) = self.by_position.pop_first()?;
        self.size_bytes -= oldest.size_bytes;
        self.positions.remove(&Item::of(&oldest.change));
        Some(oldest.index)
    }

    fn remove(&mut self, position: u64) {
        if let Some(removed) = self.by_position.remove(&position) {
            self.size_bytes -= removed.size_bytes;
        }
    }
}

/// The latest changes of recent entries, for followers that are only a little behind.
#[derive(Debug)]
pub struct RecentChanges {
    floor: u64,
    max_bytes: u64,
    changes: LatestChanges,
}

impl RecentChanges {
    /// Creates an empty history of at most `max_bytes`; followers behind `floor` need the whole state.
    pub fn new(floor: u64, max_bytes: u64) -> Self {
        Self { floor, max_bytes, changes: LatestChanges::new() }
    }

    /// Adds the changes of the entry at `index`.
    pub fn push(&mut self, index: u64, changes: Vec<Change>) {
        for change in changes {
            self.changes.push(index, change);
        }
        while self.changes.len() > ITEMS_MAX || self.changes.size_bytes() as u64 > self.max_bytes {
            let Some(index) = self.changes.pop_oldest() else { return };
            self.floor = index;
        }
    }

    /// The latest changes of the items that were changed after `index`, or `None` if some are no longer
    /// kept.
    pub fn since(&self, index: u64) -> Option<Vec<Change>> {
        if index < self.floor {
            return None;
        }
        let mut changes = Vec::new();
        for latest in self.changes.by_position.values() {
            if latest.index > index {
                changes.push(latest.change.clone());
            }
        }
        Some(changes)
    }

    /// An estimate of the memory that the kept changes take.
    pub fn size_bytes(&self) -> usize {
        self.changes.size_bytes()
    }
}
