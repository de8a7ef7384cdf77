//! Checks an engine's response before it is forwarded: every part must come from the adapter and
//! version that the request named, and a stream must be complete.

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

/// Why a response is rejected.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AnswerFault {
    /// Another adapter or version answered; holds the `model` of the response.
    WrongAdapter(String),
    /// The response does not have the form of an engine's response.
    Malformed(&'static str),
}

/// Checks a whole JSON response.
///
/// # Errors
/// Another adapter or version answered, or the body is not JSON with a `model`.
pub fn check_json(body: &[u8], adapter: &AdapterKey) -> Result<(), AnswerFault> {
    let field: ModelField<'_> = serde_json::from_slice(body)
        .map_err(|_| AnswerFault::Malformed("the answer is not JSON"))?;
    check_model(field, adapter)
}

fn check_model(field: ModelField<'_>, adapter: &AdapterKey) -> Result<(), AnswerFault> {
    let Some(model) = field.model else {
        return Err(AnswerFault::Malformed("the answer does not name its model"));
    };
    let is_expected = model.rsplit_once('@').is_some_and(|(name, version)| {
        name == &*adapter.name && version.parse() == Ok(adapter.version)
    });
    if is_expected { Ok(()) } else { Err(AnswerFault::WrongAdapter(model.into_owned())) }
}

/// Checks server-sent events that arrive in chunks of any size.
#[derive(Debug)]
pub struct EventChecker {
    adapter: AdapterKey,
    buffer: BytesMut,
    done: bool,
}

impl EventChecker {
    /// Creates a checker for responses of `adapter`.
    pub fn new(adapter: AdapterKey) -> Self {
        Self { adapter, buffer: BytesMut::new(), done: false }
    }

    /// Adds a chunk and returns the events that are complete and checked, if any.
    ///
    /// # Errors
    /// An event comes from another adapter or version, is malformed or too long, or follows the end.
    pub fn push(&mut self, chunk: &[u8]) -> Result<Option<Bytes>, AnswerFault> {
        let scanned = self.buffer.len().saturating_sub(EVENT_END.len() - 1);
        self.buffer.extend_from_slice(chunk);
        let Some(end) = last_event_end(&self.buffer, scanned) else {
            if self.buffer.len() > MAX_EVENT_BYTES {
                return Err(AnswerFault::Malformed("an event is too long"));
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

    /// True once the final `[DONE]` event has arrived and no incomplete event follows it.
    pub fn is_complete(&self) -> bool {
        self.done && self.buffer.is_empty()
    }

    fn check_event(&mut self, event: &[u8]) -> Result<(), AnswerFault> {
        let Some(data) = event.strip_prefix(DATA_PREFIX) else {
            // Comments and other fields contain no part of the response.
            return Ok(());
        };
        let data = data.trim_ascii();
        if self.done {
            return Err(AnswerFault::Malformed("events follow the end of the stream"));
        }
        if data == DONE {
            self.done = true;
            return Ok(());
        }
        let field: ModelField<'_> = serde_json::from_slice(data)
            .map_err(|_| AnswerFault::Malformed("an event is not JSON"))?;
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
