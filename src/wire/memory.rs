//! The memory of a stream that another process has opened.

use std::time::Duration;

use tokio::time::{sleep, timeout};

use crate::policy::resource_limiter::{NoRoom, Purpose};
use crate::resources::{ConnectionGuard, HeldBytes, Shed};

/// The memory of a stream without its messages: its buffers, and the task that serves it.
const STREAM_BYTES: u64 = 2 << 10;

/// How long a message waits for memory; nothing is read of its stream meanwhile.
const ROOM_WAIT: Duration = Duration::from_secs(1);
/// How often it tries to get some.
const ROOM_RETRY: Duration = Duration::from_millis(20);

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

    /// Sets the size of a message that is arriving; waits a while if there is too little memory for it.
    ///
    /// # Errors
    /// There is still too little, or there can never be as much.
    pub(super) async fn set_message_bytes(&mut self, message_bytes: u64) -> Result<(), NoRoom> {
        if message_bytes == self.message_bytes {
            return Ok(());
        }
        let resources = self.message.resources();
        let can_fit = message_bytes <= resources.limits().message_max_bytes();
        let has_room =
            can_fit && timeout(ROOM_WAIT, self.wait_for_room(message_bytes)).await.is_ok();
        if !has_room {
            self.message.resources().note(Shed::Message);
            return Err(NoRoom);
        }
        self.message_bytes = message_bytes;
        Ok(())
    }

    async fn wait_for_room(&mut self, message_bytes: u64) {
        while self.message.resize(message_bytes).is_err() {
            // It is not its sender that keeps it waiting.
            self.message.note_progress();
            sleep(ROOM_RETRY).await;
        }
    }

    /// Records that a part of a message has arrived.
    pub(super) fn note_progress(&self) {
        self.message.note_progress();
    }
}
