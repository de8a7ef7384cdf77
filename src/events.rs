//! Finds the events of an event stream (`text/event-stream`) that arrives in pieces.

use bytes::{Bytes, BytesMut};

/// The largest event that is buffered. A larger one is forwarded in parts, and the stream cannot be
/// resumed inside it.
const EVENT_MAX_BYTES: usize = 1 << 20;

/// How the last line ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LineEnd {
    Newline,
    /// A carriage return, which a newline may follow.
    Return,
    ReturnNewline,
}

/// Tells where events end. A line ends with CR LF, LF or CR, and an event with an empty line.
///
/// A comment counts as a part of the event that follows it: a stream that ends after a comment
/// without an empty line may have been cut there.
#[derive(Debug, Clone, Copy, Default)]
pub struct EventScanner {
    /// True if the current line has any bytes.
    has_bytes: bool,
    /// True once the current event has a line.
    has_lines: bool,
    line_end: Option<LineEnd>,
    /// True if the last line was empty.
    was_empty: bool,
    /// True after a carriage return in a stream whose last line ended with CR LF.
    awaits_newline: bool,
}

impl EventScanner {
    /// Reads the next bytes of the stream and returns the end of the last event in them.
    pub fn scan(&mut self, bytes: &[u8]) -> Option<usize> {
        let mut event_end = None;
        for (position, byte) in bytes.iter().enumerate() {
            if self.awaits_newline && *byte != b'\n' {
                self.awaits_newline = false;
                if self.was_empty {
                    event_end = Some(position);
                }
            }
            if self.push(*byte) {
                event_end = Some(position + 1);
            }
        }
        event_end
    }

    /// True if no event has been started and not ended.
    pub fn is_between_events(&self) -> bool {
        !self.has_lines && !self.has_bytes && !self.awaits_newline
    }

    /// Returns true if an empty line ends with `byte`.
    fn push(&mut self, byte: u8) -> bool {
        let follows_return = self.line_end == Some(LineEnd::Return) && !self.has_bytes;
        match byte {
            b'\n' if follows_return => {
                self.line_end = Some(LineEnd::ReturnNewline);
                self.awaits_newline = false;
                self.was_empty
            }
            b'\n' => self.end_line(LineEnd::Newline),
            b'\r' => {
                self.awaits_newline = self.line_end == Some(LineEnd::ReturnNewline);
                self.end_line(LineEnd::Return) && !self.awaits_newline
            }
            _ => {
                self.has_bytes = true;
                false
            }
        }
    }

    /// Returns true if the line is empty, which ends an event.
    fn end_line(&mut self, line_end: LineEnd) -> bool {
        self.was_empty = !self.has_bytes;
        self.has_lines = self.has_bytes;
        self.has_bytes = false;
        self.line_end = Some(line_end);
        self.was_empty
    }
}

/// Buffers an event until it is complete, and tracks the id of the last event returned.
#[derive(Debug, Default)]
pub struct EventSplitter {
    scanner: EventScanner,
    partial: BytesMut,
    last_event: Option<u64>,
    /// True while the client has received only part of an event.
    is_within_event: bool,
}

impl EventSplitter {
    /// Creates an empty splitter for a client that has received the events up to `last_event`.
    pub fn new(last_event: Option<u64>) -> Self {
        Self { last_event, ..Self::default() }
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
        let buffered = self.partial.len();
        let end_of_whole = self.scanner.scan(bytes).map(|end| buffered + end);
        self.partial.extend_from_slice(bytes);
        let end = end_of_whole
            .or_else(|| (self.partial.len() > EVENT_MAX_BYTES).then_some(self.partial.len()))?;
        self.is_within_event = end_of_whole.is_none();
        let whole = self.partial.split_to(end).freeze();
        if let Some(number) = last_event_id(&whole) {
            self.last_event = Some(number);
        }
        Some(whole)
    }

    /// Prepares for the stream of another endpoint: drops the buffered part of an event that will
    /// not be completed.
    pub fn drop_partial(&mut self) {
        self.scanner = EventScanner::default();
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

/// The last numeric event id in `events`. Ids that are not numbers or not UTF-8 are skipped.
fn last_event_id(events: &[u8]) -> Option<u64> {
    for line in events.rsplit(|byte| matches!(byte, b'\n' | b'\r')) {
        let Some(number) = line.strip_prefix(b"id:") else { continue };
        let Ok(number) = std::str::from_utf8(number) else { continue };
        if let Ok(number) = number.trim().parse() {
            return Some(number);
        }
    }
    None
}
