//! The messages that wait at a replica.
//!
//! A replica handles one message at a time. What operators ask, and what replicas need to agree,
//! goes before the messages of gateways and endpoints, of which any number may wait.

use std::collections::VecDeque;
use std::sync::{Mutex, MutexGuard, PoisonError};

use super::server::ReplicaMessage;
use crate::message::ControlRequest;

/// The number of messages that are handled before the replica stores and sends what they caused: one
/// sync of the disk serves all of them.
const BATCH_MAX: usize = 64;

/// Which messages go first.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Lane {
    /// Messages of operators and replicas, and timers.
    Urgent,
    /// Messages of gateways and endpoints.
    Ordinary,
}

impl Lane {
    fn of(message: &ReplicaMessage) -> Self {
        match message {
            ReplicaMessage::Peer(_)
            | ReplicaMessage::Tick
            | ReplicaMessage::Dump(_)
            | ReplicaMessage::Stop(_) => Self::Urgent,
            ReplicaMessage::Call(request, _) => Self::of_call(request),
            ReplicaMessage::Open(..)
            | ReplicaMessage::Up(..)
            | ReplicaMessage::Close(_)
            | ReplicaMessage::Listed(..) => Self::Ordinary,
        }
    }

    fn of_call(request: &ControlRequest) -> Self {
        match request {
            ControlRequest::Probe
            | ControlRequest::Join { .. }
            | ControlRequest::Apply { .. }
            | ControlRequest::Get { .. }
            | ControlRequest::Status
            | ControlRequest::GetRouting
            | ControlRequest::PutRouting { .. }
            | ControlRequest::PutVersion(_) => Self::Urgent,
            ControlRequest::Heartbeat(_)
            | ControlRequest::Deregister(_)
            | ControlRequest::Claim(_)
            | ControlRequest::Settle { .. }
            | ControlRequest::Permit(_)
            | ControlRequest::PermitDone { .. } => Self::Ordinary,
        }
    }
}

/// What the replica does next.
pub(super) enum Work {
    /// Handle a message.
    Handle(ReplicaMessage, Lane),
    /// Store and send what the messages handled since the last flush caused.
    Flush,
    /// Nothing is left to do.
    None,
}

/// The number of messages handled since the last flush.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Unflushed {
    urgent: usize,
    ordinary: usize,
}

impl Unflushed {
    /// Counts a message; returns true for the first one since the last flush.
    pub(super) fn count(&mut self, lane: Lane) -> bool {
        let is_first = self.total() == 0;
        match lane {
            Lane::Urgent => self.urgent += 1,
            Lane::Ordinary => self.ordinary += 1,
        }
        is_first
    }

    fn total(self) -> usize {
        self.urgent + self.ordinary
    }
}

/// The waiting messages, by lane, each in the order of arrival.
#[derive(Default)]
pub(super) struct Inbox(Mutex<Lanes>);

#[derive(Default)]
struct Lanes {
    urgent: VecDeque<ReplicaMessage>,
    ordinary: VecDeque<ReplicaMessage>,
    /// True while a tick waits; another one would do the same work again.
    has_tick: bool,
}

impl Inbox {
    fn lanes(&self) -> MutexGuard<'_, Lanes> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a message; returns false if it is a tick and one waits already.
    pub(super) fn push(&self, message: ReplicaMessage) -> bool {
        let mut lanes = self.lanes();
        if matches!(message, ReplicaMessage::Tick) && std::mem::replace(&mut lanes.has_tick, true) {
            return false;
        }
        match Lane::of(&message) {
            Lane::Urgent => lanes.urgent.push_back(message),
            Lane::Ordinary => lanes.ordinary.push_back(message),
        }
        true
    }

    /// Takes what to do next.
    pub(super) fn next(&self, unflushed: Unflushed) -> Work {
        let mut lanes = self.lanes();
        if unflushed.total() < BATCH_MAX
            && let Some(message) = lanes.urgent.pop_front()
        {
            lanes.has_tick &= !matches!(message, ReplicaMessage::Tick);
            return Work::Handle(message, Lane::Urgent);
        }
        // An answer to an urgent message does not wait for ordinary ones.
        let is_full = unflushed.urgent > 0 || unflushed.total() >= BATCH_MAX;
        if is_full || unflushed.total() > 0 && lanes.ordinary.is_empty() {
            return Work::Flush;
        }
        lanes
            .ordinary
            .pop_front()
            .map_or(Work::None, |message| Work::Handle(message, Lane::Ordinary))
    }

    /// The number of waiting messages.
    pub(super) fn len(&self) -> usize {
        let lanes = self.lanes();
        lanes.urgent.len() + lanes.ordinary.len()
    }
}
