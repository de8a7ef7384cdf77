//! Opens data folders with random damage: the recovered state is one that stood after some record,
//! or the folder is refused as damaged.

#[path = "common/fuzz.rs"]
mod fuzz;

use std::fs::{read_dir, write};
use std::path::{Path, PathBuf};

use fuzz::check;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::sample::Index;
use tempfile::TempDir;
use winchvane::control::raft::{Entry, HardState, Members, Payload, Snapshot};
use winchvane::control::storage::{Batch, FileStorage, Identity, Storage};

type State = (HardState, Vec<Entry>);

/// A log, with the offset at which each record ends and the state after it.
struct WrittenLog {
    bytes: Vec<u8>,
    ends: Vec<usize>,
    states: Vec<State>,
}

#[derive(Debug, Clone)]
enum Damage {
    Flip(Index, u8),
    Cut(Index),
    Duplicate(Index, Index),
    Zero(Index, Index),
    Append(Vec<u8>),
}

fn damage() -> impl Strategy<Value = Damage> {
    let offset = any::<Index>;
    prop_oneof![
        4 => (offset(), 1..=u8::MAX).prop_map(|(at, bits)| Damage::Flip(at, bits)),
        1 => offset().prop_map(Damage::Cut),
        1 => (offset(), offset()).prop_map(|(from, to)| Damage::Duplicate(from, to)),
        1 => (offset(), offset()).prop_map(|(from, to)| Damage::Zero(from, to)),
        1 => vec(any::<u8>(), 1..80).prop_map(Damage::Append),
    ]
}

fn apply(bytes: &mut Vec<u8>, damage: &Damage) {
    let offset_count = bytes.len() + 1;
    let ordered = |from: &Index, to: &Index| {
        let (from, to) = (from.index(offset_count), to.index(offset_count));
        (from.min(to), from.max(to))
    };
    match damage {
        Damage::Flip(at, bits) if !bytes.is_empty() => {
            let at = at.index(bytes.len());
            bytes[at] ^= bits;
        }
        Damage::Flip(..) => {}
        Damage::Cut(at) => bytes.truncate(at.index(offset_count)),
        Damage::Duplicate(from, to) => {
            let (from, to) = ordered(from, to);
            let part = bytes[from..to].to_vec();
            bytes.splice(to..to, part);
        }
        Damage::Zero(from, to) => {
            let (from, to) = ordered(from, to);
            bytes[from..to].fill(0);
        }
        Damage::Append(more) => bytes.extend_from_slice(more),
    }
}

fn log_file(folder: &Path) -> PathBuf {
    for entry in read_dir(folder).expect("the folder can be listed") {
        let path = entry.expect("the entry can be read").path();
        if path.file_name().is_some_and(|name| name.to_string_lossy().starts_with("log-")) {
            return path;
        }
    }
    panic!("there is no log");
}

/// Stores ten entries, one record at a time, then replaces the last four in a later term and adds
/// two.
fn write_log() -> WrittenLog {
    let folder = TempDir::new().expect("a folder can be made");
    let mut storage = FileStorage::open(folder.path()).expect("it opens").storage;
    let mut states = vec![State::default()];
    let mut ends = vec![0];
    let log = log_file(folder.path());
    let mut batches = Vec::new();
    for (term, indexes) in [(1, 1..=10), (2, 7..=12)] {
        let hard_state = Some(HardState { term, vote: Some(term) });
        batches.push(Batch { hard_state, ..Batch::default() });
        batches.push(Batch { truncate_from: Some(*indexes.start()), ..Batch::default() });
        for index in indexes {
            let payload = Payload::Command(vec![index as u8; index as usize * 3].into());
            batches
                .push(Batch { append: vec![Entry { index, term, payload }], ..Batch::default() });
        }
    }
    for batch in batches {
        storage.save(&batch).expect("it can be stored");
        let (mut hard, mut entries) = states.last().cloned().unwrap_or_default();
        hard = batch.hard_state.unwrap_or(hard);
        entries.retain(|entry| batch.truncate_from.is_none_or(|from| entry.index < from));
        entries.extend(batch.append);
        states.push((hard, entries));
        ends.push(log.metadata().expect("the log has a size").len() as usize);
    }
    let bytes = std::fs::read(&log).expect("the log can be read");
    WrittenLog { bytes, ends, states }
}

#[test]
fn a_damaged_log_is_recovered_up_to_a_record_or_refused() {
    let written = write_log();
    check(vec(damage(), 1..3), |damages| {
        let folder = TempDir::new().expect("a folder can be made");
        let mut bytes = written.bytes.clone();
        for damage in &damages {
            apply(&mut bytes, damage);
        }
        write(folder.path().join("log-00000000"), &bytes).expect("it can be written");
        match FileStorage::open(folder.path()) {
            Ok(opened) => {
                let found = (opened.recovered.hard_state, opened.recovered.entries);
                prop_assert!(written.states.contains(&found), "found {:?}", found);
                prop_assert!(opened.dropped_bytes <= bytes.len() as u64);
            }
            Err(error) => prop_assert!(error.is_damaged(), "{}", error),
        }
        Ok(())
    });
}

#[test]
fn duplicated_records_change_nothing_or_are_refused() {
    let written = write_log();
    let last = written.states.last().expect("there are states");
    check((any::<Index>(), any::<Index>()), |(from, to)| {
        let places = (from.index(written.ends.len()), to.index(written.ends.len()));
        let from = written.ends[places.0.min(places.1)];
        let to = written.ends[places.0.max(places.1)];
        let folder = TempDir::new().expect("a folder can be made");
        let bytes = [&written.bytes[..to], &written.bytes[from..]].concat();
        write(folder.path().join("log-00000000"), &bytes).expect("it can be written");
        match FileStorage::open(folder.path()) {
            Ok(opened) => {
                prop_assert_eq!(opened.recovered.hard_state, last.0);
                prop_assert_eq!(&opened.recovered.entries, &last.1);
            }
            Err(error) => prop_assert!(error.is_damaged(), "{}", error),
        }
        Ok(())
    });
}

#[test]
fn arbitrary_bytes_are_an_empty_log_or_refused() {
    check(vec(any::<u8>(), 0..400), |bytes| {
        let folder = TempDir::new().expect("a folder can be made");
        write(folder.path().join("log-00000000"), &bytes).expect("it can be written");
        match FileStorage::open(folder.path()) {
            Ok(opened) => prop_assert!(opened.recovered.entries.is_empty()),
            Err(error) => prop_assert!(error.is_damaged(), "{}", error),
        }
        Ok(())
    });
}

#[test]
fn a_damaged_snapshot_or_identity_is_refused_or_unchanged() {
    let folder = TempDir::new().expect("a folder can be made");
    let snapshot =
        Snapshot { index: 8, term: 1, members: Members::default(), data: vec![7; 100].into() };
    let identity = Identity { id: 77, founders: Members::default(), started: true };
    let mut storage = FileStorage::open(folder.path()).expect("it opens").storage;
    storage.save_snapshot(&snapshot, HardState::default(), &[]).expect("it can be stored");
    FileStorage::write_identity(folder.path(), &identity).expect("it can be stored");
    let files = ["snapshot", "identity"].map(|name| folder.path().join(name));
    let undamaged = files.clone().map(|file| std::fs::read(file).expect("it can be read"));
    check((0..2_usize, vec(damage(), 1..3)), |(which, damages)| {
        let mut bytes = undamaged[which].clone();
        for damage in &damages {
            apply(&mut bytes, damage);
        }
        write(&files[which], &bytes).expect("it can be written");
        let found = FileStorage::open(folder.path()).map(|opened| opened.snapshot);
        let read = FileStorage::read_identity(folder.path());
        write(&files[which], &undamaged[which]).expect("it can be written");
        match found {
            Ok(found) => prop_assert_eq!(found, Some(snapshot.clone())),
            Err(error) => prop_assert!(error.is_damaged(), "{}", error),
        }
        match read {
            Ok(read) => prop_assert_eq!(read, Some(identity.clone())),
            Err(error) => prop_assert!(error.is_damaged(), "{}", error),
        }
        Ok(())
    });
}
