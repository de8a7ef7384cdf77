//! Cutting a stream into whole events.

use bytes::{Bytes, BytesMut};

/// An event larger than this is passed on in parts; a stream cannot be taken up within it.
const EVENT_MAX_BYTES: usize = 1 << 20;

/// Holds back an event that has not arrived whole, and knows the number of the last one given out.
#[derive(Debug, Default)]
pub struct EventSplitter {
    partial: BytesMut,
    last_event: Option<u64>,
    /// True while the client has a part of an event.
    is_within_event: bool,
}

impl EventSplitter {
    /// Nothing arrived yet; the client has events up to `last_event`.
    pub fn new(last_event: Option<u64>) -> Self {
        Self { partial: BytesMut::new(), last_event, is_within_event: false }
    }

    /// True when the client has whole events only, so that another endpoint may go on after the last:
    /// the rest of a part would be lost, and its number hides that.
    pub fn can_be_taken_up(&self) -> bool {
        !self.is_within_event
    }

    /// The number of the last event given out.
    pub fn last_event(&self) -> Option<u64> {
        self.last_event
    }

    /// Takes bytes in and gives out the events that are now whole.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        let searched = self.partial.len();
        self.partial.extend_from_slice(bytes);
        let end_of_whole = end_of_events(&self.partial, searched);
        let end = end_of_whole
            .or_else(|| (self.partial.len() > EVENT_MAX_BYTES).then_some(self.partial.len()))?;
        self.is_within_event = end_of_whole.is_none();
        let whole = self.partial.split_to(end).freeze();
        if let Some(number) = last_number(&whole) {
            self.last_event = Some(number);
        }
        Some(whole)
    }

    /// Drops what came of an event that will not be finished.
    pub fn drop_partial(&mut self) {
        self.partial.clear();
    }

    /// What is left at the end of a whole answer.
    pub fn take_rest(&mut self) -> Option<Bytes> {
        if self.partial.is_empty() {
            return None;
        }
        Some(self.partial.split().freeze())
    }
}

/// Where the last whole event ends: after an empty line. None ends within the first `searched` bytes.
fn end_of_events(bytes: &[u8], searched: usize) -> Option<usize> {
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

/// The last number in `events`; lines that hold none, and bytes that are no text, hide no other.
fn last_number(events: &[u8]) -> Option<u64> {
    for line in events.rsplit(|byte| *byte == b'\n') {
        let Some(number) = line.strip_prefix(b"id:") else { continue };
        let Ok(number) = std::str::from_utf8(number) else { continue };
        if let Ok(number) = number.trim().parse() {
            return Some(number);
        }
    }
    None
}
