//! Cutting a stream into whole events.

use bytes::{Bytes, BytesMut};

/// An event larger than this is passed on in parts; a stream with one cannot be taken up.
const EVENT_MAX_BYTES: usize = 1 << 20;

/// Holds back an event that has not arrived whole, and knows the number of the last one given out.
#[derive(Debug, Default)]
pub struct EventSplitter {
    partial: BytesMut,
    last_event: Option<u64>,
}

impl EventSplitter {
    /// Nothing arrived yet; the client has events up to `last_event`.
    pub fn new(last_event: Option<u64>) -> Self {
        Self { partial: BytesMut::new(), last_event }
    }

    /// The number of the last event given out.
    pub fn last_event(&self) -> Option<u64> {
        self.last_event
    }

    /// Takes bytes in and gives out the events that are now whole.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        self.partial.extend_from_slice(bytes);
        let end = end_of_events(&self.partial)
            .or_else(|| (self.partial.len() > EVENT_MAX_BYTES).then_some(self.partial.len()))?;
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

/// Where the last whole event ends: after an empty line.
fn end_of_events(bytes: &[u8]) -> Option<usize> {
    let mut position = bytes.len();
    while position > 0 {
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

fn last_number(events: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(events).ok()?;
    for line in text.lines().rev() {
        let Some(number) = line.strip_prefix("id:") else { continue };
        return number.trim().parse().ok();
    }
    None
}
