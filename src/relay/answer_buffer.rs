//! Collects a whole answer in memory that the process has room for.

use bytes::Bytes;

use crate::resources::{ConnectionGuard, HeldBytes};

/// An answer up to this size is collected without waiting for memory.
const SMALL_MAX_BYTES: usize = 16 << 10;

/// The part of a whole answer that has arrived.
pub(super) struct AnswerBuffer<'a> {
    /// The connection of the client that asked for it, if it is one of this process.
    client: Option<&'a ConnectionGuard>,
    /// The size of the answer, or the largest that it may have.
    size_max_bytes: usize,
    bytes: Vec<u8>,
    held: Option<HeldBytes>,
}

impl<'a> AnswerBuffer<'a> {
    /// A buffer for an answer of at most `size_max_bytes` to `client`.
    pub(super) fn new(client: Option<&'a ConnectionGuard>, size_max_bytes: usize) -> Self {
        Self { client, size_max_bytes, bytes: Vec::new(), held: None }
    }

    /// Appends a part. Waits for the memory of the whole answer first, once it is not a small one: those
    /// that have a part of their memory would wait for each other.
    pub(super) async fn append(&mut self, part: &[u8]) {
        let is_small = self.bytes.len() + part.len() <= SMALL_MAX_BYTES;
        if let Some(client) = self.client.take_if(|_| !is_small) {
            self.held = client.hold_answer(self.size_max_bytes as u64).await;
        }
        self.bytes.extend_from_slice(part);
    }

    /// The whole answer, whose memory is given back when its last clone is dropped.
    pub(super) fn finish(mut self) -> Bytes {
        self.bytes.shrink_to_fit();
        match self.held {
            Some(held) => held.into_bytes(self.bytes),
            None => self.bytes.into(),
        }
    }
}
