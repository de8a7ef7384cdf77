//! Splits a stream of server-sent events into whole events.

use bytes::{Bytes, BytesMut};

/// The largest event that is buffered. A larger one is forwarded in parts, and the stream cannot be
/// resumed inside it.
const EVENT_MAX_BYTES: usize = 1 << 20;

/// Buffers an event until it is complete, and tracks the id of the last event returned.
#[derive(Debug, Default)]
pub struct EventSplitter {
    partial: BytesMut,
    last_event: Option<u64>,
    /// True while the client has received only part of an event.
    is_within_event: bool,
}

impl EventSplitter {
    /// Creates an empty splitter for a client that has received the events up to `last_event`.
    pub fn new(last_event: Option<u64>) -> Self {
        Self { partial: BytesMut::new(), last_event, is_within_event: false }
    }

    /// True if the client has received whole events only, so that another endpoint can continue
    /// after the last one. Inside an event a resumed stream would lose the rest of that event,
    /// because its id already counts as received.
    pub fn is_at_event_boundary(&self) -> bool {
        !self.is_within_event
    }

    /// The id of the last event returned.
    pub fn last_event(&self) -> Option<u64> {
        self.last_event
    }

    /// Adds received bytes and returns the events that are now complete.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        let searched = self.partial.len();
        self.partial.extend_from_slice(bytes);
        let end_of_whole = find_event_end(&self.partial, searched);
        let end = end_of_whole
            .or_else(|| (self.partial.len() > EVENT_MAX_BYTES).then_some(self.partial.len()))?;
        self.is_within_event = end_of_whole.is_none();
        let whole = self.partial.split_to(end).freeze();
        if let Some(number) = last_event_id(&whole) {
            self.last_event = Some(number);
        }
        Some(whole)
    }

    /// Drops the buffered part of an event that will not be completed.
    pub fn drop_partial(&mut self) {
        self.partial.clear();
    }

    /// Returns the remaining bytes at the end of a complete response.
    pub fn take_remainder(&mut self) -> Option<Bytes> {
        if self.partial.is_empty() {
            return None;
        }
        Some(self.partial.split().freeze())
    }
}

/// The end of the last whole event, which is after an empty line; no event ends within the first
/// `searched` bytes.
fn find_event_end(bytes: &[u8], searched: usize) -> Option<usize> {
    let mut position = bytes.len();
    while position > searched {
        position -= 1;
        if bytes[position] != b'\n' {
            continue;
        }
        let before = &bytes[..position];
        if before.ends_with(b"\n") || before.ends_with(b"\n\r") {
            return Some(position + 1);
        }
    }
    None
}

/// The last numeric event id in `events`. Ids that are not numbers or not UTF-8 are skipped.
fn last_event_id(events: &[u8]) -> Option<u64> {
    for line in events.rsplit(|byte| *byte == b'\n') {
        let Some(number) = line.strip_prefix(b"id:") else { continue };
        let Ok(number) = std::str::from_utf8(number) else { continue };
        if let Ok(number) = number.trim().parse() {
            return Some(number);
        }
    }
    None
}
