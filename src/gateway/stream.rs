//! Checking an engine's answer while it passes through: every part must come from the adapter and
//! version that the request named, and a stream must be whole.

use bytes::{Bytes, BytesMut};
use serde::Deserialize;

use crate::message::AdapterKey;

const EVENT_END: &[u8] = b"\n\n";
const DATA_PREFIX: &[u8] = b"data:";
const DONE: &[u8] = b"[DONE]";
const MAX_EVENT_BYTES: usize = 1 << 20;

#[derive(Deserialize)]
struct ModelField<'a> {
    #[serde(borrow)]
    model: Option<std::borrow::Cow<'a, str>>,
}

/// Why an answer is not passed on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StreamFault {
    /// Another adapter or version answered.
    WrongAdapter(String),
    /// The answer is not what an engine sends.
    Malformed(&'static str),
}

/// Checks a whole JSON answer.
///
/// # Errors
/// Another adapter answered, or the body is not JSON with a `model`.
pub fn check_json(body: &[u8], adapter: &AdapterKey) -> Result<(), StreamFault> {
    let field: ModelField<'_> = serde_json::from_slice(body)
        .map_err(|_| StreamFault::Malformed("the answer is not JSON"))?;
    check_model(field, adapter)
}

fn check_model(field: ModelField<'_>, adapter: &AdapterKey) -> Result<(), StreamFault> {
    let Some(model) = field.model else {
        return Err(StreamFault::Malformed("the answer does not name its model"));
    };
    let is_named = model.rsplit_once('@').is_some_and(|(name, version)| {
        name == &*adapter.name && version.parse() == Ok(adapter.version)
    });
    if is_named { Ok(()) } else { Err(StreamFault::WrongAdapter(model.into_owned())) }
}

/// Checks server-sent events as they arrive in pieces.
#[derive(Debug)]
pub struct EventChecker {
    adapter: AdapterKey,
    buffer: BytesMut,
    done: bool,
}

impl EventChecker {
    /// A checker for answers of `adapter`.
    pub fn new(adapter: AdapterKey) -> Self {
        Self { adapter, buffer: BytesMut::new(), done: false }
    }

    /// Takes a piece in and returns the whole events that may now be passed on.
    ///
    /// # Errors
    /// An event of another adapter, or one that is not what an engine sends.
    pub fn push(&mut self, piece: &[u8]) -> Result<Option<Bytes>, StreamFault> {
        let scanned = self.buffer.len().saturating_sub(EVENT_END.len() - 1);
        self.buffer.extend_from_slice(piece);
        let Some(end) = last_event_end(&self.buffer, scanned) else {
            if self.buffer.len() > MAX_EVENT_BYTES {
                return Err(StreamFault::Malformed("an event is too long"));
            }
            return Ok(None);
        };
        let events = self.buffer.split_to(end).freeze();
        let mut start = 0;
        while let Some(length) = find(&events[start..], EVENT_END) {
            self.check_event(&events[start..start + length])?;
            start += length + EVENT_END.len();
        }
        Ok(Some(events))
    }

    /// True once the stream has ended as it should.
    pub fn is_whole(&self) -> bool {
        self.done && self.buffer.is_empty()
    }

    fn check_event(&mut self, event: &[u8]) -> Result<(), StreamFault> {
        let Some(data) = event.strip_prefix(DATA_PREFIX) else {
            // Comments and other fields carry no answer.
            return Ok(());
        };
        let data = data.trim_ascii();
        if self.done {
            return Err(StreamFault::Malformed("events follow the end of the stream"));
        }
        if data == DONE {
            self.done = true;
            return Ok(());
        }
        let field: ModelField<'_> = serde_json::from_slice(data)
            .map_err(|_| StreamFault::Malformed("an event is not JSON"))?;
        check_model(field, &self.adapter)
    }
}

fn last_event_end(buffer: &[u8], scanned: usize) -> Option<usize> {
    let position =
        buffer[scanned..].windows(EVENT_END.len()).rposition(|pair| pair == EVENT_END)?;
    Some(scanned + position + EVENT_END.len())
}

fn find(bytes: &[u8], wanted: &[u8]) -> Option<usize> {
    bytes.windows(wanted.len()).position(|window| window == wanted)
}
