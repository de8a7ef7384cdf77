//! The memory of a stream that another process has opened.

use crate::policy::resource_limiter::{NoRoom, Purpose};
use crate::resources::{ConnectionGuard, HeldBytes, Shed};

/// The memory of a stream without its messages: its buffers, and the task that serves it.
const STREAM_BYTES: u64 = 2 << 10;

/// Memory of a stream and of a message on it that has not arrived completely.
pub(super) struct StreamMemory {
    _stream: HeldBytes,
    message: HeldBytes,
    message_bytes: u64,
}

impl StreamMemory {
    /// Takes the memory of a stream of `connection`.
    ///
    /// # Errors
    /// There is too little.
    pub(super) fn new(connection: &ConnectionGuard) -> Result<Self, NoRoom> {
        let mut stream = connection.hold_for(Purpose::Stream);
        if stream.resize(STREAM_BYTES).is_err() {
            connection.resources().note(Shed::Stream);
            return Err(NoRoom);
        }
        let message = connection.hold_for(Purpose::Message);
        Ok(Self { _stream: stream, message, message_bytes: 0 })
    }

    /// Sets how much has arrived of a message.
    ///
    /// # Errors
    /// There is too little memory.
    pub(super) fn set_message_bytes(&mut self, message_bytes: u64) -> Result<(), NoRoom> {
        if message_bytes == self.message_bytes {
            return Ok(());
        }
        if self.message.resize(message_bytes).is_err() {
            self.message.resources().note(Shed::Message);
            return Err(NoRoom);
        }
        self.message_bytes = message_bytes;
        Ok(())
    }

    /// Records that a part of a message has arrived.
    pub(super) fn note_progress(&self) {
        self.message.note_progress();
    }
}
