//! The part of the log that is kept in memory: the entries after the snapshot, and their bytes.

use std::collections::VecDeque;

use super::types::Entry;

/// The entries after the snapshot.
#[derive(Debug, Default)]
pub(super) struct Log {
    snapshot_index: u64,
    snapshot_term: u64,
    entries: VecDeque<Kept>,
    /// The bytes of all entries that were ever appended here, without those that were truncated.
    end_bytes: u64,
}

#[derive(Debug)]
struct Kept {
    entry: Entry,
    /// `Log::end_bytes` after this entry.
    end_bytes: u64,
}

impl Log {
    /// Creates a log that goes on after the snapshot at `snapshot_index` with `entries`.
    pub(super) fn new(snapshot_index: u64, snapshot_term: u64, entries: Vec<Entry>) -> Self {
        let mut log = Self { snapshot_index, snapshot_term, ..Self::default() };
        for entry in entries {
            log.push(entry);
        }
        log
    }

    /// The index that the snapshot covers.
    pub(super) fn snapshot_index(&self) -> u64 {
        self.snapshot_index
    }

    /// The index of the last entry.
    pub(super) fn last_index(&self) -> u64 {
        self.entries.back().map_or(self.snapshot_index, |kept| kept.entry.index)
    }

    /// The term of the entry at `index`, if it is known.
    pub(super) fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.snapshot_index {
            return Some(self.snapshot_term);
        }
        self.get(index).map(|entry| entry.term)
    }

    /// The entry at `index`, if it is kept.
    pub(super) fn get(&self, index: u64) -> Option<&Entry> {
        self.kept(index).map(|kept| &kept.entry)
    }

    fn kept(&self, index: u64) -> Option<&Kept> {
        let position = index.checked_sub(self.snapshot_index + 1)?;
        self.entries.get(usize::try_from(position).ok()?)
    }

    /// The entries after `index`, in order.
    pub(super) fn after(&self, index: u64) -> impl DoubleEndedIterator<Item = &Entry> {
        let position = index.saturating_sub(self.snapshot_index);
        let position = usize::try_from(position).unwrap_or(usize::MAX).min(self.entries.len());
        self.entries.range(position..).map(|kept| &kept.entry)
    }

    /// All entries, in order.
    pub(super) fn iter(&self) -> impl DoubleEndedIterator<Item = &Entry> {
        self.entries.iter().map(|kept| &kept.entry)
    }

    /// The bytes of all entries that are kept.
    pub(super) fn size_bytes(&self) -> u64 {
        self.bytes_between(self.snapshot_index, self.last_index())
    }

    /// The bytes of the entries after `index` up to `last_index`, as far as they are kept.
    pub(super) fn bytes_between(&self, index: u64, last_index: u64) -> u64 {
        self.bytes_up_to(last_index).saturating_sub(self.bytes_up_to(index))
    }

    /// `end_bytes` of the entry at `index`, or of the kept entry next to it.
    fn bytes_up_to(&self, index: u64) -> u64 {
        if let Some(kept) = self.kept(index) {
            return kept.end_bytes;
        }
        let Some(first) = self.entries.front() else { return self.end_bytes };
        if index < first.entry.index {
            return first.end_bytes - first.entry.payload.size_bytes() as u64;
        }
        self.end_bytes
    }

    /// Appends an entry.
    pub(super) fn push(&mut self, entry: Entry) {
        self.end_bytes += entry.payload.size_bytes() as u64;
        self.entries.push_back(Kept { entry, end_bytes: self.end_bytes });
    }

    /// Removes the entries from `index` on.
    pub(super) fn truncate_from(&mut self, index: u64) {
        while self.entries.back().is_some_and(|kept| kept.entry.index >= index) {
            let Some(kept) = self.entries.pop_back() else { return };
            self.end_bytes = kept.end_bytes - kept.entry.payload.size_bytes() as u64;
        }
    }

    /// Removes the entries up to `index`, of `term`, which a snapshot covers now.
    pub(super) fn compact(&mut self, index: u64, term: u64) {
        while self.entries.front().is_some_and(|kept| kept.entry.index <= index) {
            self.entries.pop_front();
        }
        self.snapshot_index = index;
        self.snapshot_term = term;
    }

    /// Replaces everything by a snapshot at `index`, of `term`.
    pub(super) fn reset(&mut self, index: u64, term: u64) {
        *self = Self::new(index, term, Vec::new());
    }
}
