//! What a replica recovers from its data folder after failures.

use std::fs::{OpenOptions, read, write};
use std::path::{Path, PathBuf};

use tempfile::TempDir;
use winchvane::control::raft::{Entry, HardState, Members, Payload, Snapshot};
use winchvane::control::storage::{Batch, FileStorage, Opened, Storage};
use yare::parameterized;

fn entry(index: u64, term: u64) -> Entry {
    let bytes = vec![index as u8; 40];
    Entry { index, term, payload: Payload::Command(bytes.into()) }
}

fn batch(term: u64, indexes: std::ops::RangeInclusive<u64>) -> Batch {
    Batch {
        hard_state: Some(HardState { term, vote: Some(1) }),
        truncate_from: None,
        append: indexes.map(|index| entry(index, term)).collect(),
    }
}

fn filled() -> TempDir {
    let folder = TempDir::new().expect("a folder can be made");
    let mut opened = open(folder.path());
    opened.storage.save(&batch(1, 1..=10)).expect("it can be stored");
    folder
}

fn open(folder: &Path) -> Opened {
    FileStorage::open(folder).expect("the folder opens")
}

fn log_file(folder: &Path) -> PathBuf {
    let mut logs = Vec::new();
    for entry in folder.read_dir().expect("the folder can be listed") {
        let path = entry.expect("the entry can be read").path();
        if path.file_name().is_some_and(|name| name.to_string_lossy().starts_with("log-")) {
            logs.push(path);
        }
    }
    logs.sort();
    logs.pop().expect("there is a log")
}

fn snapshot(index: u64, term: u64) -> Snapshot {
    Snapshot { index, term, members: Members::default(), data: vec![7; 100].into() }
}

#[test]
fn all_stored_records_are_recovered() {
    let folder = filled();
    let opened = open(folder.path());
    assert_eq!(opened.recovered.hard_state, HardState { term: 1, vote: Some(1) });
    assert_eq!(opened.recovered.entries.len(), 10);
    assert_eq!(opened.dropped_bytes, 0);
}

#[test]
fn truncated_entries_are_not_recovered() {
    let folder = filled();
    let mut opened = open(folder.path());
    let mut later = batch(2, 6..=7);
    later.truncate_from = Some(6);
    opened.storage.save(&later).expect("it can be stored");
    let entries = open(folder.path()).recovered.entries;
    let terms: Vec<u64> = entries.iter().map(|entry| entry.term).collect();
    assert_eq!(terms, [1, 1, 1, 1, 1, 2, 2]);
}

#[parameterized(
    one_byte = { 1 },
    half_a_record = { 30 },
    all_but_the_header = { 50 },
)]
fn an_incomplete_last_record_is_cut_off(lost_bytes: u64) {
    let folder = filled();
    let path = log_file(folder.path());
    let file = OpenOptions::new().write(true).open(&path).expect("the log opens");
    let size = file.metadata().expect("the log has a size").len();
    file.set_len(size - lost_bytes).expect("the log can be cut");
    let mut opened = open(folder.path());
    assert_eq!(opened.recovered.entries.len(), 9);
    assert!(opened.dropped_bytes > 0);
    // Records appended after the cut are recovered.
    opened.storage.save(&batch(2, 10..=11)).expect("it can be stored");
    assert_eq!(open(folder.path()).recovered.entries.len(), 11);
}

#[test]
fn a_flipped_byte_before_the_last_record_is_refused() {
    let folder = filled();
    let path = log_file(folder.path());
    let whole = read(&path).expect("the log can be read");
    let last_record = whole.len() - 60;
    for position in 0..last_record {
        let mut damaged = whole.clone();
        damaged[position] ^= 0x40;
        write(&path, &damaged).expect("the log can be written");
        let error = FileStorage::open(folder.path()).expect_err("damage is refused");
        assert!(error.is_damaged(), "byte {position}: {error}");
    }
}

#[test]
fn zeros_after_the_end_are_cut_off() {
    let folder = filled();
    let path = log_file(folder.path());
    let mut bytes = read(&path).expect("the log can be read");
    bytes.extend_from_slice(&[0; 4_096]);
    write(&path, &bytes).expect("the log can be written");
    assert_eq!(open(folder.path()).recovered.entries.len(), 10);
}

#[test]
fn a_snapshot_replaces_the_log_before_it() {
    let folder = filled();
    let mut opened = open(folder.path());
    let hard = HardState { term: 3, vote: None };
    let rest = [entry(9, 1), entry(10, 1)];
    opened.storage.save_snapshot(&snapshot(8, 1), hard, &rest).expect("it can be stored");
    opened.storage.save(&batch(4, 11..=12)).expect("it can be stored");
    let opened = open(folder.path());
    assert_eq!(opened.snapshot, Some(snapshot(8, 1)));
    let indexes: Vec<u64> = opened.recovered.entries.iter().map(|entry| entry.index).collect();
    assert_eq!(indexes, [9, 10, 11, 12]);
    assert_eq!(opened.recovered.hard_state.term, 4);
}

#[test]
fn a_crash_between_snapshot_and_log_keeps_the_later_entries() {
    let folder = filled();
    let old_log = read(log_file(folder.path())).expect("the log can be read");
    let old_path = log_file(folder.path());
    let mut opened = open(folder.path());
    let hard = HardState { term: 1, vote: Some(1) };
    opened.storage.save_snapshot(&snapshot(8, 1), hard, &[]).expect("it can be stored");
    std::fs::remove_file(log_file(folder.path())).expect("the new log can be removed");
    write(&old_path, old_log).expect("the old log can be put back");
    let indexes: Vec<u64> =
        open(folder.path()).recovered.entries.iter().map(|entry| entry.index).collect();
    assert_eq!(indexes, [9, 10]);
}

/// A received snapshot replaced a log that conflicts with it. The log's later entries must not be
/// recovered: their old terms would make the replica vote for a candidate that lacks accepted
/// changes.
#[test]
fn a_log_that_conflicts_with_a_received_snapshot_is_dropped() {
    let folder = filled();
    let old_log = read(log_file(folder.path())).expect("the log can be read");
    let old_path = log_file(folder.path());
    let mut opened = open(folder.path());
    let hard = HardState { term: 5, vote: None };
    opened.storage.save_snapshot(&snapshot(8, 5), hard, &[]).expect("it can be stored");
    std::fs::remove_file(log_file(folder.path())).expect("the new log can be removed");
    write(&old_path, old_log).expect("the old log can be put back");
    assert!(open(folder.path()).recovered.entries.is_empty());
}

#[test]
fn a_damaged_snapshot_is_refused() {
    let folder = filled();
    let mut opened = open(folder.path());
    opened
        .storage
        .save_snapshot(&snapshot(8, 1), HardState::default(), &[])
        .expect("it can be stored");
    let path = folder.path().join("snapshot");
    let mut bytes = read(&path).expect("the snapshot can be read");
    let middle = bytes.len() / 2;
    bytes[middle] ^= 1;
    write(&path, bytes).expect("the snapshot can be written");
    assert!(FileStorage::open(folder.path()).expect_err("damage is refused").is_damaged());
}
