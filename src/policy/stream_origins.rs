//! Remembers at which software version recent streams began.

use std::collections::{BTreeMap, HashMap};

use crate::message::{BegunStreams, StreamKey, StreamOrigin};

/// How long a stream is remembered at least after it began or was last continued, unless too many
/// begin. A client that resumes one comes back within seconds.
const KEPT_MS: u64 = 30_000;
/// The number of streams after which the oldest ones are forgotten earlier; twice as many are kept
/// at most, which takes about 50 MB.
const GENERATION_MAX_STREAMS: usize = 500_000;

/// The software versions of recent streams.
///
/// Streams are kept in two generations; the older one is dropped as a whole.
#[derive(Debug, Default)]
pub struct StreamOrigins {
    origins: Vec<StreamOrigin>,
    newer: Generation,
    older: Generation,
}

#[derive(Debug, Default)]
struct Generation {
    began_at_ms: u64,
    /// An index into the origins; `None` for a key with streams of several origins.
    streams: HashMap<StreamKey, Option<u32>>,
}

impl StreamOrigins {
    /// No streams.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that streams began, or were continued.
    ///
    /// A client may use the id of an attempt again. If the streams began at different versions,
    /// neither is known from then on.
    pub fn record(&mut self, now_ms: u64, begun: &BegunStreams) {
        let origin = self.index_of(&begun.origin);
        for stream in &begun.streams {
            self.turn(now_ms);
            let known = self.newer.streams.get(stream).or_else(|| self.older.streams.get(stream));
            let agrees = known.is_none_or(|known| *known == Some(origin));
            self.newer.streams.insert(*stream, agrees.then_some(origin));
        }
    }

    /// Where a stream began, if that is known.
    pub fn get(&self, stream: &StreamKey) -> Option<&StreamOrigin> {
        let known = self.newer.streams.get(stream).or_else(|| self.older.streams.get(stream))?;
        self.origins.get((*known)? as usize)
    }

    /// All streams that are remembered, by origin.
    pub fn all(&self) -> Vec<BegunStreams> {
        let mut by_origin: BTreeMap<u32, Vec<StreamKey>> = BTreeMap::new();
        for generation in [&self.older, &self.newer] {
            for (stream, origin) in &generation.streams {
                let Some(origin) = origin else { continue };
                by_origin.entry(*origin).or_default().push(*stream);
            }
        }
        let mut all = Vec::new();
        for (origin, streams) in by_origin {
            let Some(origin) = self.origins.get(origin as usize) else { continue };
            all.push(BegunStreams { origin: origin.clone(), streams });
        }
        all
    }

    /// The number of streams that are remembered.
    pub fn len(&self) -> usize {
        self.newer.streams.len() + self.older.streams.len()
    }

    /// True if no stream is remembered.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Forgets the older generation once the newer one is old or large enough.
    fn turn(&mut self, now_ms: u64) {
        let is_old = now_ms >= self.newer.began_at_ms + KEPT_MS;
        if !is_old && self.newer.streams.len() < GENERATION_MAX_STREAMS {
            return;
        }
        let next = Generation { began_at_ms: now_ms, streams: HashMap::new() };
        self.older = std::mem::replace(&mut self.newer, next);
    }

    fn index_of(&mut self, origin: &StreamOrigin) -> u32 {
        let known = self.origins.iter().position(|known| known == origin);
        let index = known.unwrap_or_else(|| {
            self.origins.push(origin.clone());
            self.origins.len() - 1
        });
        index as u32
    }
}

/// Groups streams by origin, for a message.
pub fn group_by_origin(streams: Vec<(StreamKey, StreamOrigin)>) -> Vec<BegunStreams> {
    let mut by_origin: BTreeMap<StreamOrigin, Vec<StreamKey>> = BTreeMap::new();
    for (stream, origin) in streams {
        by_origin.entry(origin).or_default().push(stream);
    }
    by_origin.into_iter().map(|(origin, streams)| BegunStreams { origin, streams }).collect()
}

/// Merges the streams of several messages.
pub fn merge_by_origin(messages: Vec<BegunStreams>) -> Vec<BegunStreams> {
    let mut by_origin: BTreeMap<StreamOrigin, Vec<StreamKey>> = BTreeMap::new();
    for BegunStreams { origin, streams } in messages {
        by_origin.entry(origin).or_default().extend(streams);
    }
    by_origin.into_iter().map(|(origin, streams)| BegunStreams { origin, streams }).collect()
}
