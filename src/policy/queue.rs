//! The requests that wait at one endpoint, by adapter and priority.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;

use crate::message::{AdapterKey, Priority};

/// A request with the properties that determine its place in the queue.
#[derive(Debug, Clone)]
pub struct Job {
    /// The id of the request at this owner.
    pub id: u64,
    /// The adapter that the request needs; `None` for a plain service.
    pub adapter: Option<AdapterKey>,
    /// The workspace of the request.
    pub workspace: Arc<str>,
    /// The priority.
    pub priority: Priority,
    /// The time of arrival.
    pub arrived_ms: u64,
    /// The time at which the client stops waiting.
    pub deadline_ms: u64,
}

/// The requests that wait for one adapter.
#[derive(Debug, Default)]
pub struct Group {
    queues: [VecDeque<Job>; 3],
}

impl Group {
    /// The number of requests.
    pub fn len(&self) -> usize {
        self.queues.iter().map(VecDeque::len).sum()
    }

    /// Returns true if there are no requests.
    pub fn is_empty(&self) -> bool {
        self.queues.iter().all(VecDeque::is_empty)
    }

    /// The oldest request of each priority.
    pub fn heads(&self) -> impl Iterator<Item = &Job> {
        self.queues.iter().filter_map(VecDeque::front)
    }

    /// All requests.
    pub fn jobs(&self) -> impl Iterator<Item = &Job> {
        self.queues.iter().flatten()
    }

    fn queue(&mut self, priority: Priority) -> &mut VecDeque<Job> {
        &mut self.queues[priority as usize]
    }
}

/// All requests that wait at one endpoint.
#[derive(Debug, Default)]
pub struct Queue {
    groups: BTreeMap<Option<AdapterKey>, Group>,
    by_workspace: HashMap<Arc<str>, usize>,
    len: usize,
}

impl Queue {
    /// Creates an empty queue.
    pub fn new() -> Self {
        Self::default()
    }

    /// The number of requests.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns true if there are no requests.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// The number of waiting requests of `workspace`.
    pub fn workspace_len(&self, workspace: &str) -> usize {
        self.by_workspace.get(workspace).copied().unwrap_or(0)
    }

    /// The groups by adapter.
    pub fn groups(&self) -> &BTreeMap<Option<AdapterKey>, Group> {
        &self.groups
    }

    /// Returns true if a request waits for `adapter`.
    pub fn has_requests_for(&self, adapter: &AdapterKey) -> bool {
        self.groups.contains_key(&Some(adapter.clone()))
    }

    /// Adds a request behind those of its adapter and priority.
    pub fn push(&mut self, job: Job) {
        self.len += 1;
        *self.by_workspace.entry(job.workspace.clone()).or_insert(0) += 1;
        let group = self.groups.entry(job.adapter.clone()).or_default();
        group.queue(job.priority).push_back(job);
    }

    /// Removes the oldest request of an adapter and priority.
    pub fn pop(&mut self, adapter: &Option<AdapterKey>, priority: Priority) -> Option<Job> {
        let group = self.groups.get_mut(adapter)?;
        let job = group.queue(priority).pop_front()?;
        if group.is_empty() {
            self.groups.remove(adapter);
        }
        self.note_removed(&job);
        Some(job)
    }

    /// Removes the most recent request of the lowest priority below `priority`.
    pub fn pop_below(&mut self, priority: Priority) -> Option<Job> {
        for lower in Priority::ALL.into_iter().rev() {
            if lower <= priority {
                return None;
            }
            let mut youngest: Option<(u64, &Option<AdapterKey>)> = None;
            for (adapter, group) in &self.groups {
                let Some(job) = group.queues[lower as usize].back() else { continue };
                if youngest.is_none_or(|(arrived_ms, _)| job.arrived_ms > arrived_ms) {
                    youngest = Some((job.arrived_ms, adapter));
                }
            }
            let Some((_, adapter)) = youngest else { continue };
            let adapter = adapter.clone();
            return self.pop_back(&adapter, lower);
        }
        None
    }

    fn pop_back(&mut self, adapter: &Option<AdapterKey>, priority: Priority) -> Option<Job> {
        let group = self.groups.get_mut(adapter)?;
        let job = group.queue(priority).pop_back()?;
        if group.is_empty() {
            self.groups.remove(adapter);
        }
        self.note_removed(&job);
        Some(job)
    }

    /// Removes all requests that `wanted` selects.
    pub fn take(&mut self, wanted: impl Fn(&Job) -> bool) -> Vec<Job> {
        let mut taken = Vec::new();
        for group in self.groups.values_mut() {
            for queue in &mut group.queues {
                if !queue.iter().any(&wanted) {
                    continue;
                }
                let (matching, rest): (VecDeque<Job>, VecDeque<Job>) =
                    queue.drain(..).partition(|job| wanted(job));
                *queue = rest;
                taken.extend(matching);
            }
        }
        self.groups.retain(|_, group| !group.is_empty());
        for job in &taken {
            self.note_removed(job);
        }
        taken
    }

    fn note_removed(&mut self, job: &Job) {
        self.len -= 1;
        if let Some(count) = self.by_workspace.get_mut(&job.workspace) {
            *count -= 1;
            if *count == 0 {
                self.by_workspace.remove(&job.workspace);
            }
        }
    }
}
