//! What has been committed: applied to the state, told, and answered to whoever waited for it.

use super::{Read, Replica, Waiter};
use crate::control::raft::{Entry, Output, Payload, Snapshot};
use crate::control::session::RecentChanges;
use crate::control::state::{Command, Outcome, State};
use crate::error::Result;
use crate::message::{Change, ControlReply};
use crate::metrics::Counter;

/// Recorded answers can make entries large, so their bytes bound the log as well as their number.
const SNAPSHOT_BYTES: usize = 64 << 20;

impl Replica {
    /// Applies what has been committed and answers what waited for it.
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
                self.lose_read(read);
            }
        }
        for (token, index) in std::mem::take(&mut output.reads) {
            debug_assert!(self.applied >= index, "a read is confirmed before it can be served");
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
            self.unsnapshotted_bytes += bytes.len();
            (outcome, changes) = self.state.apply(index, Command::decode(&bytes)?);
        }
        self.applied = index;
        self.terms.applied(term);
        self.metrics.count(Counter::EntriesApplied);
        self.note_changes(index, changes);
        let Some((proposed_term, waiter)) = self.waiters.remove(&index) else { return Ok(()) };
        if proposed_term != term {
            if let Waiter::Call(reply) = waiter {
                let _ = reply.send(ControlReply::Lost);
            }
            return Ok(());
        }
        self.answer(index, waiter, outcome);
        Ok(())
    }

    /// Notes the changes of the entry at `index`, which are told with those of the entries that were
    /// committed together with it.
    fn note_changes(&mut self, index: u64, changes: Vec<Change>) {
        if changes.is_empty() {
            return;
        }
        for change in &changes {
            if let Change::EndpointRemoved(name) = change {
                self.summaries.remove(name);
            }
        }
        self.note_registered(&changes);
        self.unpublished.extend(changes.iter().cloned());
        self.recent.push(index, changes.into());
    }

    fn answer(&mut self, index: u64, waiter: Waiter, outcome: Outcome) {
        match (waiter, outcome) {
            (Waiter::Register { session }, Outcome::Registered(epoch)) => {
                let Some(found) = self.sessions.get_mut(&session) else { return };
                if !found.welcome(epoch, index, &self.recent, &self.state) {
                    self.sessions.remove(&session);
                }
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
            (Waiter::Register { .. } | Waiter::Nobody, _) => {}
        }
    }

    fn serve_read(&mut self, read: Read) {
        match read {
            Read::Renewals(renewals) => {
                for renewal in renewals {
                    self.renewed(renewal);
                }
            }
            Read::Welcome { session } => self.welcome_follower(session),
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

    /// Replaces state and log position by an installed snapshot.
    ///
    /// # Errors
    /// A snapshot that cannot be decoded.
    pub fn install(&mut self, snapshot: &Snapshot) -> Result<()> {
        self.state = State::decode(&snapshot.data)?;
        self.applied = snapshot.index;
        self.recent = RecentChanges::new(snapshot.index);
        Ok(())
    }

    /// A snapshot of the state, when enough entries or bytes have been applied since the last one.
    pub fn snapshot_due(&mut self) -> Option<Snapshot> {
        let has_many = self.applied >= self.raft.snapshot_index() + self.settings.snapshot_entries;
        if !has_many && self.unsnapshotted_bytes < SNAPSHOT_BYTES {
            return None;
        }
        self.unsnapshotted_bytes = 0;
        Some(Snapshot {
            index: self.applied,
            term: self.raft.term_at(self.applied)?,
            members: self.raft.members_at(self.applied),
            data: self.state.encode(),
        })
    }
}
