//! How much of an instance's memory and disk control uses for what grows with changes.

/// The share of the memory for recent changes, which followers a little behind get, in percent.
const HISTORY_MEMORY_PERCENT: u64 = 3;
/// The shares of the memory and of the disk for log entries since the last snapshot, in percent. On the
/// disk are also two snapshots while one replaces the other.
const LOG_MEMORY_PERCENT: u64 = 6;
const LOG_DISK_PERCENT: u64 = 15;
/// The share of the memory for entries on the way to one replica, in percent.
const IN_FLIGHT_MEMORY_PERCENT: u64 = 2;
/// The share of the memory for messages that wait for one follower, in percent.
const SESSION_MEMORY_PERCENT: u64 = 2;
/// The share of the memory for recorded answers of calls that run once, in percent. Snapshots have them too.
const ANSWERS_MEMORY_PERCENT: u64 = 6;
/// The share of those that is kept once there are more, in percent, so that they are not dropped one by one.
const ANSWERS_KEPT_PERCENT: u64 = 90;
/// The share of the memory for changes from their arrival until they are applied, in percent of their
/// documents. Each takes some five times as much: parsed, encoded, stored, sent and decoded again.
const CHANGES_MEMORY_PERCENT: u64 = 3;
/// The share for changes that wait for their turn, of which only the documents are held, in percent.
const WAITING_MEMORY_PERCENT: u64 = 9;

/// Bounds, in bytes, of what a replica of control keeps beside its state. A single item that is larger
/// than a bound is still handled, unless the bound says otherwise.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ControlLimits {
    /// Recent changes that are kept for followers.
    pub history_max_bytes: u64,
    /// Applied log entries after which a snapshot is due.
    pub log_max_bytes: u64,
    /// Entries that are sent to one replica before it has confirmed them.
    pub in_flight_max_bytes: u64,
    /// Messages that wait for one follower.
    pub session_max_bytes: u64,
    /// Recorded answers of calls that run once.
    pub answers_max_bytes: u64,
    /// Documents of changes that are processed at once; a single larger one is refused for good.
    pub changes_max_bytes: u64,
    /// Documents of changes that wait for their turn.
    pub waiting_max_bytes: u64,
}

impl ControlLimits {
    /// The bounds of a replica that may use `memory_max_bytes` of memory and `disk_max_bytes` of disk.
    pub fn new(memory_max_bytes: u64, disk_max_bytes: u64) -> Self {
        let memory = |percent: u64| memory_max_bytes * percent / 100;
        let log_on_disk_bytes = disk_max_bytes * LOG_DISK_PERCENT / 100;
        Self {
            history_max_bytes: memory(HISTORY_MEMORY_PERCENT),
            log_max_bytes: memory(LOG_MEMORY_PERCENT).min(log_on_disk_bytes),
            in_flight_max_bytes: memory(IN_FLIGHT_MEMORY_PERCENT),
            session_max_bytes: memory(SESSION_MEMORY_PERCENT),
            answers_max_bytes: memory(ANSWERS_MEMORY_PERCENT),
            changes_max_bytes: memory(CHANGES_MEMORY_PERCENT),
            waiting_max_bytes: memory(WAITING_MEMORY_PERCENT),
        }
    }

    /// The recorded answers that are kept once there are more than may be.
    pub fn answers_kept_bytes(&self) -> u64 {
        self.answers_max_bytes * ANSWERS_KEPT_PERCENT / 100
    }
}
