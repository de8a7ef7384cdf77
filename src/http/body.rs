//! Reads the bodies of requests into memory that the process has room for.

use std::ops::RangeInclusive;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use rand::RngExt;
use tokio::runtime::Handle;
use tokio::time::{Instant, timeout_at};

use super::meter::RequestMeter;
use crate::resources::{ConnectionGuard, HeldBytes, Shed};

/// The sizes to which the memory of a body grows before it doubles. Many steps of many bodies would leave
/// holes in the heap that nothing else fits into.
const FIRST_BYTES: [usize; 2] = [8 << 10, 64 << 10];
/// A body from this size on is a large one, more of which may arrive before it is read.
const LARGE_BYTES: usize = 256 << 10;
/// A body makes progress when this much of it has arrived.
const PROGRESS_BYTES: usize = 64 << 10;
/// A body that makes progress may take this many times as long as one that makes none.
const SLOWNESS_MAX: u32 = 5;
/// What is read of a body that nobody needs, so that its client has sent it and reads the answer.
const DISCARDED_MAX_BYTES: usize = 8 << 20;
const DISCARDED_FOR: Duration = Duration::from_secs(1);

/// What a client is told whose body there is no memory for.
pub const NO_ROOM: &str = "there is no memory for the body";
/// When such a client may come back: bodies take about as long. Clients that were refused together come
/// back one by one.
const NO_ROOM_RETRY_MS: RangeInclusive<u64> = 500..=1_500;

/// The time after which a client may retry whose body there was no memory for.
pub fn no_room_retry_ms() -> u64 {
    rand::rng().random_range(NO_ROOM_RETRY_MS)
}

/// The reason why a body could not be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyFault {
    /// The body is larger than allowed.
    TooLarge,
    /// The process has no memory left for the body.
    NoRoom,
    /// The body did not arrive in time, or made no progress.
    TooSlow,
    /// The connection failed before the end of the body.
    Broken,
}

/// The body of a request that is being received. What is not read of it is discarded.
pub struct RequestBody {
    /// `None` once the body was read.
    incoming: Option<Incoming>,
    meter: RequestMeter,
}

impl RequestBody {
    /// The body of the request that `meter` measures.
    pub(super) fn new(incoming: Incoming, meter: RequestMeter) -> Self {
        Self { incoming: Some(incoming), meter }
    }

    /// Counts the connection that the request came on as open.
    pub fn connection(&self) -> ConnectionGuard {
        self.meter.guard().clone()
    }

    /// The length that the client has announced; 0 if it has not.
    pub fn announced_bytes(&self) -> u64 {
        self.incoming.as_ref().map_or(0, |incoming| incoming.size_hint().lower())
    }

    /// Reads the whole body, of at most `max_bytes`. Each 64 KiB of it, and what is left at the end,
    /// may take `timeout_ms`, all of it five times as long. Its memory belongs to the
    /// process's limit for all requests until the last clone of the bytes is dropped.
    ///
    /// # Errors
    /// The limit that was exceeded, or a connection that failed.
    pub async fn read(mut self, max_bytes: usize, timeout_ms: u64) -> Result<Bytes, BodyFault> {
        let Some(mut incoming) = self.incoming.take() else { return Err(BodyFault::Broken) };
        let guard = self.meter.guard().clone();
        let collected = async {
            tokio::select! {
                // The connection is closed soon, so the request must not begin.
                biased;
                () = guard.closing() => Err(BodyFault::NoRoom),
                collected = self.collect(&mut incoming, max_bytes, timeout_ms) => collected,
            }
        };
        let collected = collected.await;
        let resources = guard.resources();
        match &collected {
            Err(BodyFault::TooLarge) => resources.note(Shed::LargeBody),
            Err(BodyFault::NoRoom) => resources.note(Shed::Body),
            Ok(_) | Err(BodyFault::TooSlow | BodyFault::Broken) => {}
        }
        if collected.is_err() {
            // What is left of it is discarded.
            self.incoming = Some(incoming);
        }
        collected
    }

    async fn collect(
        &self,
        incoming: &mut Incoming,
        max_bytes: usize,
        timeout_ms: u64,
    ) -> Result<Bytes, BodyFault> {
        let progress_max = Duration::from_millis(timeout_ms);
        let ends_at = Instant::now() + progress_max * SLOWNESS_MAX;
        let mut until = Instant::now() + progress_max;
        let resources = self.meter.guard().resources();
        // A larger one could never be read, however calm it is.
        let max_bytes = max_bytes.min(resources.limits().request_max_bytes() as usize);
        let mut buffer = BodyBuffer::new(self.meter.guard().hold(), incoming.size_hint().exact());
        if incoming.size_hint().lower() > max_bytes as u64 {
            return Err(BodyFault::TooLarge);
        }
        if incoming.size_hint().lower() >= LARGE_BYTES as u64 {
            self.meter.widen();
        }
        let mut progress_bytes = 0;
        while let Some(frame) =
            timeout_at(until, incoming.frame()).await.map_err(|_| BodyFault::TooSlow)?
        {
            let Ok(data) = frame.map_err(|_| BodyFault::Broken)?.into_data() else { continue };
            if buffer.len() + data.len() > max_bytes {
                return Err(BodyFault::TooLarge);
            }
            buffer.append(&data, max_bytes)?;
            if buffer.len() >= progress_bytes + PROGRESS_BYTES {
                progress_bytes = buffer.len();
                self.meter.guard().note_progress();
                until = ends_at.min(Instant::now() + progress_max);
                if progress_bytes >= LARGE_BYTES {
                    self.meter.widen();
                }
            }
        }
        Ok(buffer.finish())
    }
}

impl Drop for RequestBody {
    fn drop(&mut self) {
        let unread = self.incoming.take().filter(|incoming| !incoming.is_end_stream());
        // There is no runtime when the process ends.
        let (Some(incoming), Ok(runtime)) = (unread, Handle::try_current()) else {
            self.meter.body_ended();
            return;
        };
        self.meter.body_refused();
        runtime.spawn(discard(incoming, self.meter.clone()));
    }
}

/// Reads the rest of a body that nobody needs. Closing its connection earlier could discard the answer
/// before its client has read it.
async fn discard(mut incoming: Incoming, meter: RequestMeter) {
    let until = Instant::now() + DISCARDED_FOR;
    let mut left_bytes = DISCARDED_MAX_BYTES;
    while let Ok(Some(Ok(frame))) = timeout_at(until, incoming.frame()).await {
        let length = frame.data_ref().map_or(0, Bytes::len);
        let Some(left) = left_bytes.checked_sub(length) else { break };
        left_bytes = left;
    }
    meter.body_ended();
}

/// The part of a body that has arrived, in one piece of memory. The parts that the connection cuts
/// from its buffers are copied, since each of them would keep a whole buffer.
struct BodyBuffer {
    bytes: Vec<u8>,
    held: HeldBytes,
    /// The length that the client has announced. Memory is taken only as bytes arrive.
    announced_bytes: Option<u64>,
}

impl BodyBuffer {
    fn new(held: HeldBytes, announced_bytes: Option<u64>) -> Self {
        Self { bytes: Vec::new(), held, announced_bytes }
    }

    fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Appends a part of a body that has `max_bytes` at most.
    fn append(&mut self, part: &[u8], max_bytes: usize) -> Result<(), BodyFault> {
        let needed = self.bytes.len() + part.len();
        if needed > self.bytes.capacity() {
            let doubled = self.bytes.capacity() * 2;
            let first = FIRST_BYTES.into_iter().find(|first| needed <= *first);
            let most = self.announced_bytes.map_or(max_bytes, |it| max_bytes.min(it as usize));
            let capacity = first.unwrap_or(doubled).min(most).max(needed);
            self.held.resize(capacity as u64).map_err(|_| BodyFault::NoRoom)?;
            self.bytes.reserve_exact(capacity - self.bytes.len());
        }
        self.bytes.extend_from_slice(part);
        Ok(())
    }

    fn finish(mut self) -> Bytes {
        self.bytes.shrink_to_fit();
        self.held.into_bytes(self.bytes)
    }
}
