//! The stored files of a replica: identity, snapshot and log.
//!
//! The log is a single append-only file of checksummed records. A snapshot starts a new file, and
//! the old one is removed once the new one is synced. A record that is cut off at the end of the
//! file was never acknowledged and is dropped. A damaged record before readable ones is an error,
//! since the replica may have acknowledged it.

use std::fs::{self, File, OpenOptions};
use std::io::{self, BufReader, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

use bincode::config::standard;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::binary;
use crate::control::raft::{Entry, HardState, Members, NodeId, Recovered, Snapshot};
use crate::error::{Error, Result};

const HEADER_BYTES: usize = 8;
const MAX_RECORD_BYTES: usize = 256 << 20;
/// A buffer for records up to this size is kept for further ones.
const KEPT_BUFFER_BYTES: usize = 256 << 10;
const IDENTITY_FILE: &str = "identity";
const SNAPSHOT_FILE: &str = "snapshot";
const LOG_PREFIX: &str = "log-";

/// The identity of a replica.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// The id, which is lost with the folder.
    pub id: NodeId,
    /// The members of the group at its founding; empty for a replica that joined later.
    pub founders: Members,
    /// True once the replica may have voted; from then on a missing log is an error.
    pub started: bool,
}

/// One record of the log file.
#[derive(Debug, Clone, Serialize, Deserialize)]
enum Record {
    HardState(HardState),
    Truncate { from: u64 },
    Entry(Entry),
}

/// Changes of the log to store together.
#[derive(Debug, Default)]
pub struct Batch {
    /// Term and vote, if changed.
    pub hard_state: Option<HardState>,
    /// Stored entries from this index on are to be removed.
    pub truncate_from: Option<u64>,
    /// Entries to append.
    pub append: Vec<Entry>,
}

/// Durable storage of a replica.
pub trait Storage: Send + 'static {
    /// Stores and syncs `batch`.
    ///
    /// # Errors
    /// Any failure to write or sync. The content of the disk is unknown then, and the replica must
    /// stop.
    fn save(&mut self, batch: &Batch) -> Result<()>;

    /// Stores `snapshot` and starts a new log with `hard_state` and `entries`.
    ///
    /// # Errors
    /// Any failure to write or sync; see [`save`](Self::save).
    fn save_snapshot(
        &mut self,
        snapshot: &Snapshot,
        hard_state: HardState,
        entries: &[Entry],
    ) -> Result<()>;

    /// Reads the stored snapshot.
    ///
    /// # Errors
    /// A file that cannot be read or fails its checksum.
    fn load_snapshot(&self) -> Result<Option<Snapshot>>;
}

/// Storage in files of one folder.
#[derive(Debug)]
pub struct FileStorage {
    folder: PathBuf,
    log: File,
    log_path: PathBuf,
    generation: u64,
    size_bytes: u64,
    buffer: Vec<u8>,
}

/// An opened data folder and its content.
#[derive(Debug)]
pub struct Opened {
    /// The storage for further writes.
    pub storage: FileStorage,
    /// The state recovered from log and snapshot.
    pub recovered: Recovered,
    /// The snapshot.
    pub snapshot: Option<Snapshot>,
    /// Bytes of an incomplete record at the end of the log, which were dropped.
    pub dropped_bytes: u64,
    /// True if the log holds no record.
    pub is_blank: bool,
}

impl FileStorage {
    /// Opens the files below `folder`, which must exist.
    ///
    /// # Errors
    /// A file that cannot be read or written, or that is damaged before its end.
    pub fn open(folder: &Path) -> Result<Opened> {
        let snapshot = read_snapshot(folder)?;
        let mut recovered = Recovered::default();
        if let Some(snapshot) = &snapshot {
            recovered.snapshot = Some((snapshot.index, snapshot.term, snapshot.members.clone()));
        }
        let (generation, log_path) = newest_log(folder)?;
        let mut dropped_bytes = 0;
        if log_path.exists() {
            dropped_bytes = read_log(&log_path, &mut recovered)?;
        }
        let log = OpenOptions::new()
            .create(true)
            .append(true)
            .open(&log_path)
            .map_err(|error| file_error("open", &log_path, error))?;
        let size = log.metadata().map_err(|error| file_error("stat", &log_path, error))?.len();
        sync_folder(folder)?;
        let storage = Self {
            folder: folder.to_owned(),
            log,
            log_path,
            generation,
            size_bytes: size,
            buffer: Vec::new(),
        };
        Ok(Opened { storage, recovered, snapshot, dropped_bytes, is_blank: size == 0 })
    }

    /// Reads the identity, if one was written.
    ///
    /// # Errors
    /// A file that cannot be read or fails its checksum.
    pub fn read_identity(folder: &Path) -> Result<Option<Identity>> {
        read_file(&folder.join(IDENTITY_FILE))
    }

    /// Writes the identity and syncs it.
    ///
    /// # Errors
    /// Any failure to write or sync.
    pub fn write_identity(folder: &Path, identity: &Identity) -> Result<()> {
        write_file(folder, IDENTITY_FILE, identity)
    }

    /// Appends the buffer to the log and syncs it. If only a part is written, that part is cut off
    /// again, so that the same batch can be saved later.
    fn write_buffer(&mut self) -> Result<()> {
        let path = &self.log_path;
        if let Err(error) = self.log.write_all(&self.buffer) {
            self.log.set_len(self.size_bytes).map_err(|error| file_error("cut", path, error))?;
            return Err(file_error("append", path, error));
        }
        self.log.sync_data().map_err(|error| file_error("sync", path, error))?;
        self.size_bytes += self.buffer.len() as u64;
        Ok(())
    }
}

impl Storage for FileStorage {
    fn save(&mut self, batch: &Batch) -> Result<()> {
        self.buffer.clear();
        self.buffer.shrink_to(KEPT_BUFFER_BYTES);
        if let Some(hard_state) = batch.hard_state {
            encode_record(&Record::HardState(hard_state), &mut self.buffer)?;
        }
        if let Some(from) = batch.truncate_from {
            encode_record(&Record::Truncate { from }, &mut self.buffer)?;
        }
        for entry in &batch.append {
            encode_record(&Record::Entry(entry.clone()), &mut self.buffer)?;
        }
        self.write_buffer()
    }

    fn save_snapshot(
        &mut self,
        snapshot: &Snapshot,
        hard_state: HardState,
        entries: &[Entry],
    ) -> Result<()> {
        // The snapshot is written first: after a crash between the two writes, the old log is still
        // valid on top of the newer snapshot.
        write_file(&self.folder, SNAPSHOT_FILE, snapshot)?;
        let new_path = log_path(&self.folder, self.generation + 1);
        let temporary = self.folder.join("log.tmp");
        let size_bytes = write_log(&temporary, hard_state, entries)?;
        fs::rename(&temporary, &new_path)
            .map_err(|error| file_error("rename", &new_path, error))?;
        sync_folder(&self.folder)?;
        self.log = OpenOptions::new()
            .append(true)
            .open(&new_path)
            .map_err(|error| file_error("open", &new_path, error))?;
        self.generation += 1;
        self.size_bytes = size_bytes;
        let old_path = std::mem::replace(&mut self.log_path, new_path);
        fs::remove_file(&old_path).map_err(|error| file_error("remove", &old_path, error))
    }

    fn load_snapshot(&self) -> Result<Option<Snapshot>> {
        read_snapshot(&self.folder)
    }
}

fn read_snapshot(folder: &Path) -> Result<Option<Snapshot>> {
    read_file(&folder.join(SNAPSHOT_FILE))
}

fn log_path(folder: &Path, generation: u64) -> PathBuf {
    folder.join(format!("{LOG_PREFIX}{generation:08}"))
}

fn newest_log(folder: &Path) -> Result<(u64, PathBuf)> {
    let mut newest = 0;
    for entry in fs::read_dir(folder).map_err(|error| file_error("list", folder, error))? {
        let entry = entry.map_err(|error| file_error("list", folder, error))?;
        let name = entry.file_name();
        let Some(number) = name.to_str().and_then(|name| name.strip_prefix(LOG_PREFIX)) else {
            continue;
        };
        let Ok(number) = number.parse::<u64>() else { continue };
        newest = newest.max(number);
    }
    Ok((newest, log_path(folder, newest)))
}

/// Reads the records of a log one by one; returns the bytes of an incomplete one at its end, which is cut
/// off.
fn read_log(path: &Path, recovered: &mut Recovered) -> Result<u64> {
    let file = File::open(path).map_err(|error| file_error("open", path, error))?;
    let end = file.metadata().map_err(|error| file_error("stat", path, error))?.len();
    let mut file = BufReader::new(file);
    let mut reader = LogReader::new(recovered);
    let mut body = Vec::new();
    let mut offset = 0;
    while offset < end {
        let read = read_body(&mut file, end - offset, &mut body);
        let is_whole = read.map_err(|error| file_error("read", path, error))?;
        let Some(record) = is_whole.then(|| binary::decode(&body).ok()).flatten() else {
            check_tail(path, offset)?;
            cut(path, offset)?;
            return Ok(end - offset);
        };
        reader.apply(record, path)?;
        offset += (HEADER_BYTES + body.len()) as u64;
    }
    Ok(0)
}

/// Reads the body of the next record, of a file that has `left_bytes` more; returns false if it is
/// incomplete or damaged.
fn read_body(file: &mut impl Read, left_bytes: u64, body: &mut Vec<u8>) -> io::Result<bool> {
    let mut header = [0; HEADER_BYTES];
    if left_bytes < HEADER_BYTES as u64 {
        return Ok(false);
    }
    file.read_exact(&mut header)?;
    let [size, checksum] = header_fields(header);
    let is_possible = size > 0
        && size as usize <= MAX_RECORD_BYTES
        && u64::from(size) <= left_bytes - HEADER_BYTES as u64;
    if !is_possible {
        return Ok(false);
    }
    body.clear();
    body.shrink_to(KEPT_BUFFER_BYTES.max(size as usize));
    body.resize(size as usize, 0);
    file.read_exact(body)?;
    Ok(crc32fast::hash(body) == checksum)
}

/// Fails if whole records follow the damaged one at `offset`.
fn check_tail(path: &Path, offset: u64) -> Result<()> {
    let mut tail = Vec::new();
    let read = File::open(path).and_then(|mut file| {
        file.seek(SeekFrom::Start(offset))?;
        file.read_to_end(&mut tail)
    });
    read.map_err(|error| file_error("read", path, error))?;
    let Some(next) = find_record(&tail, 1) else { return Ok(()) };
    let detail = format!(
        "the record at byte {offset} is damaged while one at byte {} is whole; move the data folder away \
         and start again to join as a new replica",
        offset + next as u64
    );
    Err(Error::damaged("read log", path_text(path), detail))
}

/// Applies the records of a log on top of a snapshot.
struct LogReader<'a> {
    recovered: &'a mut Recovered,
    base: u64,
    snapshot_term: u64,
    /// True if the log conflicts with the snapshot: the snapshot was received from a leader, and
    /// the replica stopped before its new log was in place.
    replaced: bool,
}

impl<'a> LogReader<'a> {
    fn new(recovered: &'a mut Recovered) -> Self {
        let (base, snapshot_term) =
            recovered.snapshot.as_ref().map_or((0, 0), |(index, term, _)| (*index, *term));
        Self { recovered, base, snapshot_term, replaced: false }
    }

    fn apply(&mut self, record: Record, path: &Path) -> Result<()> {
        let entry = match record {
            Record::HardState(hard_state) => {
                self.recovered.hard_state = hard_state;
                return Ok(());
            }
            Record::Truncate { from } => {
                self.recovered.entries.retain(|entry| entry.index < from);
                return Ok(());
            }
            Record::Entry(entry) => entry,
        };
        if entry.index == self.base {
            self.replaced = entry.term != self.snapshot_term;
        }
        if entry.index <= self.base || self.replaced {
            return Ok(());
        }
        let expected = self.recovered.entries.last().map_or(self.base, |last| last.index) + 1;
        if entry.index != expected {
            let detail = format!("found entry {} where entry {expected} was expected", entry.index);
            return Err(Error::damaged("read log", path_text(path), detail));
        }
        self.recovered.entries.push(entry);
        Ok(())
    }
}

fn cut(path: &Path, size: u64) -> Result<()> {
    let file = OpenOptions::new()
        .write(true)
        .open(path)
        .map_err(|error| file_error("open", path, error))?;
    file.set_len(size).map_err(|error| file_error("cut", path, error))?;
    file.sync_all().map_err(|error| file_error("sync", path, error))
}

fn encode_record<T: Serialize>(record: &T, buffer: &mut Vec<u8>) -> Result<()> {
    let start = buffer.len();
    buffer.extend_from_slice(&[0; HEADER_BYTES]);
    bincode::serde::encode_into_std_write(record, buffer, standard())
        .map_err(|error| Error::failed("encode record", "log", error))?;
    let body_size = (buffer.len() - start - HEADER_BYTES) as u32;
    let checksum = crc32fast::hash(&buffer[start + HEADER_BYTES..]);
    buffer[start..start + 4].copy_from_slice(&body_size.to_le_bytes());
    buffer[start + 4..start + HEADER_BYTES].copy_from_slice(&checksum.to_le_bytes());
    Ok(())
}

/// The size and the checksum of a record's body.
fn header_fields(header: [u8; HEADER_BYTES]) -> [u32; 2] {
    // Each half has the length of a field.
    let (size, checksum) = header.split_at(HEADER_BYTES / 2);
    [size, checksum].map(|field| u32::from_le_bytes(field.try_into().expect("half a header")))
}

fn decode_record(bytes: &[u8]) -> Option<(Record, usize)> {
    let body = verified_body(bytes)?;
    let record = binary::decode(body).ok()?;
    Some((record, HEADER_BYTES + body.len()))
}

fn verified_body(bytes: &[u8]) -> Option<&[u8]> {
    let [size, checksum] = header_fields(*bytes.first_chunk()?);
    let size = size as usize;
    if size == 0 || size > MAX_RECORD_BYTES {
        return None;
    }
    let body = bytes.get(HEADER_BYTES..HEADER_BYTES + size)?;
    (crc32fast::hash(body) == checksum).then_some(body)
}

fn find_record(bytes: &[u8], from: usize) -> Option<usize> {
    for offset in from..bytes.len() {
        if decode_record(&bytes[offset..]).is_some() {
            return Some(offset);
        }
    }
    None
}

fn read_file<T: DeserializeOwned>(path: &Path) -> Result<Option<T>> {
    let mut bytes = Vec::new();
    match File::open(path).and_then(|mut file| file.read_to_end(&mut bytes)) {
        Ok(_) => {}
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(error) => return Err(file_error("read", path, error)),
    }
    let Some(body) = verified_body(&bytes) else {
        return Err(Error::damaged("read", path_text(path), "the checksum does not match"));
    };
    binary::decode(body).map(Some).map_err(|error| Error::damaged("read", path_text(path), error))
}

fn write_file<T: Serialize>(folder: &Path, name: &str, value: &T) -> Result<()> {
    let mut bytes = Vec::new();
    encode_record(value, &mut bytes)?;
    let temporary = folder.join(format!("{name}.tmp"));
    let path = folder.join(name);
    write_synced(&temporary, &bytes)?;
    fs::rename(&temporary, &path).map_err(|error| file_error("rename", &path, error))?;
    sync_folder(folder)
}

/// Writes a new log record by record; returns its size.
fn write_log(path: &Path, hard_state: HardState, entries: &[Entry]) -> Result<u64> {
    let mut file = File::create(path).map_err(|error| file_error("create", path, error))?;
    let mut buffer = Vec::new();
    let mut size_bytes = 0;
    encode_record(&Record::HardState(hard_state), &mut buffer)?;
    for entry in entries {
        if buffer.len() >= KEPT_BUFFER_BYTES {
            file.write_all(&buffer).map_err(|error| file_error("write", path, error))?;
            size_bytes += buffer.len() as u64;
            buffer.clear();
        }
        encode_record(&Record::Entry(entry.clone()), &mut buffer)?;
    }
    file.write_all(&buffer).map_err(|error| file_error("write", path, error))?;
    file.sync_all().map_err(|error| file_error("sync", path, error))?;
    Ok(size_bytes + buffer.len() as u64)
}

fn write_synced(path: &Path, bytes: &[u8]) -> Result<()> {
    let mut file = File::create(path).map_err(|error| file_error("create", path, error))?;
    file.write_all(bytes).map_err(|error| file_error("write", path, error))?;
    file.sync_all().map_err(|error| file_error("sync", path, error))
}

fn sync_folder(folder: &Path) -> Result<()> {
    File::open(folder)
        .and_then(|file| file.sync_all())
        .map_err(|error| file_error("sync", folder, error))
}

fn path_text(path: &Path) -> String {
    path.display().to_string()
}

fn file_error(step: &'static str, path: &Path, error: io::Error) -> Error {
    Error::io(step, path_text(path), error)
}
