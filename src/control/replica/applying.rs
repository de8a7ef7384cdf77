//! Applying committed entries: state changes, replies to waiting callers, reads and snapshots.

use super::reads::Read;
use super::{Replica, Waiter};
use crate::control::history::{LatestChanges, RecentChanges};
use crate::control::raft::{Entry, Output, Payload, Snapshot};
use crate::control::state::{Command, Outcome, State};
use crate::error::Result;
use crate::message::{Change, ControlReply};
use crate::metrics::Counter;

impl Replica {
    /// Applies committed entries, replies to the callers that wait for them, and serves confirmed
    /// reads.
    ///
    /// # Errors
    /// An entry that cannot be decoded.
    pub fn apply(&mut self, output: &mut Output) -> Result<()> {
        for entry in std::mem::take(&mut output.committed) {
            self.apply_entry(entry)?;
        }
        self.publish();
        for token in std::mem::take(&mut output.failed_reads) {
            if let Some(read) = self.reads.remove(&token) {
                self.fail_read(read);
            }
        }
        for (token, index) in std::mem::take(&mut output.reads) {
            debug_assert!(
                self.applied >= index,
                "the state has not reached the index of a confirmed read"
            );
            if let Some(read) = self.reads.remove(&token) {
                self.serve_read(read);
            }
        }
        Ok(())
    }

    fn apply_entry(&mut self, entry: Entry) -> Result<()> {
        let Entry { index, term, payload } = entry;
        let mut outcome = Outcome::Done;
        let mut changes = Vec::new();
        if let Payload::Command(bytes) = payload {
            (outcome, changes) = self.state.apply(index, Command::decode(&bytes)?);
        }
        self.applied = index;
        self.terms.applied(term);
        self.metrics.count(Counter::EntriesApplied);
        self.record_changes(index, changes);
        let Some((proposed_term, waiter)) = self.waiters.remove(&index) else { return Ok(()) };
        if proposed_term != term {
            if let Waiter::Call(reply) = waiter {
                let _ = reply.send(ControlReply::Lost);
            }
            return Ok(());
        }
        self.resolve_waiter(index, waiter, outcome);
        Ok(())
    }

    /// Records the changes of the entry at `index`, to be published with those of all entries that
    /// were committed together with it.
    fn record_changes(&mut self, index: u64, changes: Vec<Change>) {
        if changes.is_empty() {
            return;
        }
        for change in &changes {
            if let Change::EndpointRemoved(name) = change {
                self.summaries.remove(name);
            }
        }
        self.apply_changes(&changes);
        for change in &changes {
            self.unpublished.push(index, change.clone());
        }
        self.recent.push(index, changes);
        self.whole_state.clear();
    }

    fn resolve_waiter(&mut self, index: u64, waiter: Waiter, outcome: Outcome) {
        match (waiter, outcome) {
            (Waiter::Register { session }, Outcome::Registered(epoch)) => {
                self.welcome(session, epoch, index);
            }
            (Waiter::Call(reply), outcome) => {
                let answer = match outcome {
                    Outcome::Applied(applied) => ControlReply::Applied(applied),
                    Outcome::Claimed(claimed) => ControlReply::Claimed(claimed),
                    Outcome::Done | Outcome::Registered(_) => ControlReply::Settled,
                    Outcome::Accepted => ControlReply::Accepted,
                };
                let _ = reply.send(answer);
            }
            (Waiter::Register { .. } | Waiter::NoReply, _) => {}
        }
    }

    fn serve_read(&mut self, read: Read) {
        match read {
            Read::Renewals(renewals) => {
                for renewal in renewals {
                    self.confirm_renewal(renewal);
                }
            }
            Read::Welcome { session } => self.welcome_follower(session),
            Read::Origin { from, ask } => self.answer_origin(&from, &ask),
            Read::Routing(reply) => {
                let document = self.state.registry.routing_document().cloned();
                let _ = reply.send(ControlReply::Routing(document));
            }
            Read::Get { kind, name, reply } => {
                let documents = self.state.config.documents(kind, name.as_deref());
                let _ = reply.send(ControlReply::Documents(documents));
            }
            Read::Status(reply) => {
                let _ = reply.send(ControlReply::Status(self.status()));
            }
            Read::DryRun { documents, reply } => {
                let (applied, _) = self.state.config.apply(self.applied, documents, true);
                let _ = reply.send(ControlReply::Applied(applied));
            }
        }
    }

    /// Replaces the state and the applied index by those of a received snapshot.
    ///
    /// # Errors
    /// A snapshot that cannot be decoded.
    pub fn install(&mut self, snapshot: &Snapshot) -> Result<()> {
        self.state = State::decode(&snapshot.data)?;
        self.applied = snapshot.index;
        self.recent = RecentChanges::new(snapshot.index, self.settings.limits.history_max_bytes);
        self.unpublished = LatestChanges::new();
        self.published_routing = self.state.registry.routing().cloned();
        self.whole_state.clear();
        Ok(())
    }

    /// Returns a snapshot of the state if enough entries or bytes have been applied since the last
    /// one.
    pub fn snapshot_due(&self) -> Option<Snapshot> {
        let has_enough_entries =
            self.applied >= self.raft.snapshot_index() + self.settings.snapshot_entries;
        let applied_bytes = self.raft.log_bytes_up_to(self.applied);
        if !has_enough_entries && applied_bytes < self.settings.limits.log_max_bytes {
            return None;
        }
        Some(Snapshot {
            index: self.applied,
            term: self.raft.term_at(self.applied)?,
            members: self.raft.members_at(self.applied),
            data: self.state.encode(),
        })
    }
}
