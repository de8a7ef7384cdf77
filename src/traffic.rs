//! Counters of the messages that this process has sent to other processes of the system, by kind.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::sync::{Mutex, PoisonError};

/// The messages of one kind sent so far.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct MessageTotals {
    /// The number of messages.
    pub messages: u64,
    /// Their total size, without the overhead of `h2`, TCP and IP.
    pub size_bytes: u64,
}

static TOTALS: Mutex<BTreeMap<&'static str, MessageTotals>> = Mutex::new(BTreeMap::new());

/// Counts a message of `size_bytes`.
pub fn count(kind: &'static str, size_bytes: usize) {
    let mut table = TOTALS.lock().unwrap_or_else(PoisonError::into_inner);
    let total = table.entry(kind).or_default();
    total.messages += 1;
    total.size_bytes += size_bytes as u64;
}

/// Returns the totals by message kind.
pub fn totals() -> BTreeMap<&'static str, MessageTotals> {
    TOTALS.lock().unwrap_or_else(PoisonError::into_inner).clone()
}

/// Renders the totals in the Prometheus text format.
pub fn text() -> String {
    let mut text = String::from(
        "# HELP winchvane_peer_messages Messages sent to other processes of the system, by kind.\n\
         # TYPE winchvane_peer_messages counter\n",
    );
    let table = totals();
    for (kind, total) in &table {
        // Writing to a `String` cannot fail.
        let _ = writeln!(text, "winchvane_peer_messages{{message=\"{kind}\"}} {}", total.messages);
    }
    text.push_str(
        "# HELP winchvane_peer_bytes Bytes of these messages, without h2, TCP and IP overhead.\n\
         # TYPE winchvane_peer_bytes counter\n",
    );
    for (kind, total) in &table {
        let _ = writeln!(text, "winchvane_peer_bytes{{message=\"{kind}\"}} {}", total.size_bytes);
    }
    text
}
