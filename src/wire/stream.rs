//! The two halves of a stream of messages.

use std::fmt;
use std::future::poll_fn;
use std::marker::PhantomData;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use bincode::config::standard;
use bytes::{Buf, Bytes, BytesMut};
use h2::client::ResponseFuture;
use h2::{RecvStream, SendStream};
use http::{Response, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::liveness::StreamGuard;
use super::memory::StreamMemory;
use super::{RECEIVED_BYTES, RECEIVED_MESSAGES, REFUSAL_HEADER, SENT_BYTES, SENT_MESSAGES};
use crate::binary;
use crate::error::{Error, Result};
use crate::policy::resource_limiter::NoRoom;

const LENGTH_BYTES: usize = 4;
const MAX_MESSAGE_BYTES: usize = 256 << 20;
/// A buffer up to this size is kept for further messages.
const KEPT_BUFFER_BYTES: usize = 64 << 10;

/// A message in the form in which it is sent. Clones share its bytes.
pub struct Encoded<T> {
    bytes: Bytes,
    message: PhantomData<fn(T)>,
}

impl<T: Serialize> Encoded<T> {
    /// Encodes a message.
    ///
    /// # Errors
    /// The message cannot be encoded.
    pub fn new(message: &T) -> Result<Self> {
        Ok(Self { bytes: encode(message)?, message: PhantomData })
    }

    /// The number of bytes that are sent.
    pub fn size_bytes(&self) -> usize {
        self.bytes.len()
    }
}

impl<T> Clone for Encoded<T> {
    fn clone(&self) -> Self {
        Self { bytes: self.bytes.clone(), message: PhantomData }
    }
}

impl<T> fmt::Debug for Encoded<T> {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "Encoded({} bytes)", self.bytes.len())
    }
}

/// The sending half of a stream.
pub struct Sender<T> {
    stream: SendStream<Bytes>,
    peer: Arc<str>,
    message: PhantomData<fn(T)>,
    guard: StreamGuard,
}

impl<T: Serialize> Sender<T> {
    pub(super) fn new(stream: SendStream<Bytes>, peer: Arc<str>, guard: StreamGuard) -> Self {
        Self { stream, peer, message: PhantomData, guard }
    }

    /// Sends one message, waiting for flow-control capacity, and returns its size in bytes.
    ///
    /// # Errors
    /// The message cannot be encoded, or the stream or connection is closed; it has certainly not
    /// arrived completely.
    pub async fn send(&mut self, message: &T) -> Result<usize> {
        self.send_encoded(Encoded::new(message)?).await
    }

    /// Like [`send`](Self::send), for a message that several receivers get.
    ///
    /// # Errors
    /// The stream or connection is closed; the message has certainly not arrived completely.
    pub async fn send_encoded(&mut self, message: Encoded<T>) -> Result<usize> {
        let mut data = message.bytes;
        let size_bytes = data.len();
        SENT_MESSAGES.fetch_add(1, Ordering::Relaxed);
        SENT_BYTES.fetch_add(size_bytes as u64, Ordering::Relaxed);
        while !data.is_empty() {
            self.stream.reserve_capacity(data.len());
            let mut capacity = self.stream.capacity();
            if capacity == 0 {
                capacity = match poll_fn(|context| self.stream.poll_capacity(context)).await {
                    Some(Ok(capacity)) => capacity,
                    Some(Err(error)) => return Err(self.send_error(error)),
                    None => return Err(self.send_error("the stream is closed")),
                };
            }
            let chunk = data.split_to(capacity.min(data.len()));
            self.stream.send_data(chunk, false).map_err(|error| self.send_error(error))?;
        }
        Ok(size_bytes)
    }

    /// True if the connection has brought nothing for so long that a message sent on it may be lost.
    pub fn is_doubted(&self) -> bool {
        self.guard.is_doubted()
    }

    /// Ends the stream.
    pub fn finish(mut self) {
        // Fails if the peer has reset the stream already, which ends it too.
        let _ = self.stream.send_data(Bytes::new(), true);
    }

    /// Waits until the peer resets the stream or the connection fails.
    pub async fn closed(&mut self) {
        let _ = poll_fn(|context| self.stream.poll_reset(context)).await;
    }

    /// The message has not arrived completely.
    fn send_error(&self, error: impl ToString) -> Error {
        Error::refused("send", self.peer.clone(), error)
    }
}

/// The receiving half of a stream.
pub struct Receiver<T> {
    body: Body,
    buffer: BytesMut,
    peer: Arc<str>,
    message: PhantomData<fn() -> T>,
    _guard: StreamGuard,
    /// The memory that the process has for what others send; `None` for its own streams.
    memory: Option<Box<StreamMemory>>,
}

pub(super) enum Body {
    Pending(ResponseFuture),
    Open(RecvStream),
}

impl<T: DeserializeOwned> Receiver<T> {
    pub(super) fn new(body: Body, peer: Arc<str>, guard: StreamGuard) -> Self {
        let buffer = BytesMut::new();
        Self { body, buffer, peer, message: PhantomData, _guard: guard, memory: None }
    }

    /// Takes memory for messages that have not arrived completely.
    pub(super) fn with_memory(self, memory: StreamMemory) -> Self {
        Self { memory: Some(Box::new(memory)), ..self }
    }

    /// Receives the next message; `None` once the peer has ended the stream.
    ///
    /// # Errors
    /// The stream was reset or ended within a message, the peer has another wire version, the bytes
    /// are not a valid message, or there is no memory for the message.
    pub async fn next(&mut self) -> Result<Option<T>> {
        loop {
            if let Some(message) = self.decode_buffered()? {
                return Ok(Some(message));
            }
            self.take_memory().await?;
            let stream = self.open().await?;
            let Some(chunk) = stream.data().await else {
                if self.buffer.is_empty() {
                    return Ok(None);
                }
                return Err(self.receive_error("the stream ends within a message"));
            };
            let chunk = chunk.map_err(|error| self.receive_error(error))?;
            let size = chunk.len();
            self.buffer.extend_from_slice(&chunk);
            if let Some(memory) = &self.memory {
                memory.note_progress();
            }
            if let Body::Open(stream) = &mut self.body {
                let _ = stream.flow_control().release_capacity(size);
            }
        }
    }

    /// Takes memory for the whole message of which a part has arrived: several that have a part of their
    /// memory would wait for each other.
    async fn take_memory(&mut self) -> Result<()> {
        if self.buffer.is_empty() && self.buffer.capacity() > KEPT_BUFFER_BYTES {
            self.buffer = BytesMut::new();
        }
        let announced_bytes = self.announced_bytes().map_or(0, |length| LENGTH_BYTES + length);
        let message_bytes = announced_bytes.max(self.buffer.len()) as u64;
        let Some(memory) = &mut self.memory else { return Ok(()) };
        memory
            .set_message_bytes(message_bytes)
            .await
            .map_err(|NoRoom| self.receive_error("there is no memory for the message"))
    }

    /// The body of the stream; waits for the peer's response first if it has not arrived yet.
    async fn open(&mut self) -> Result<&mut RecvStream> {
        if let Body::Pending(response) = &mut self.body {
            let response = response
                .await
                .map_err(|error| Error::failed("open stream", self.peer.clone(), error))?;
            if response.status() != StatusCode::OK {
                return Err(Error::refused("open stream", self.peer.clone(), refusal(&response)));
            }
            self.body = Body::Open(response.into_body());
        }
        match &mut self.body {
            Body::Open(stream) => Ok(stream),
            Body::Pending(_) => unreachable!("the response was taken above"),
        }
    }

    /// The length of the first buffered message, once that has arrived.
    fn announced_bytes(&self) -> Option<usize> {
        let header = self.buffer.first_chunk::<LENGTH_BYTES>()?;
        Some(u32::from_le_bytes(*header) as usize)
    }

    /// Decodes and removes the first buffered message; `None` while it is incomplete.
    fn decode_buffered(&mut self) -> Result<Option<T>> {
        let Some(length) = self.announced_bytes() else { return Ok(None) };
        if length > MAX_MESSAGE_BYTES {
            return Err(self.receive_error(format!("a message of {length} bytes is too long")));
        }
        if self.buffer.len() < LENGTH_BYTES + length {
            return Ok(None);
        }
        self.buffer.advance(LENGTH_BYTES);
        let body = self.buffer.split_to(length);
        RECEIVED_MESSAGES.fetch_add(1, Ordering::Relaxed);
        RECEIVED_BYTES.fetch_add((LENGTH_BYTES + length) as u64, Ordering::Relaxed);
        binary::decode(&body).map(Some).map_err(|error| self.receive_error(error))
    }

    fn receive_error(&self, error: impl ToString) -> Error {
        Error::failed("receive", self.peer.clone(), error)
    }
}

/// Why the peer refused the stream, as far as its response tells.
fn refusal(response: &Response<RecvStream>) -> String {
    let status = response.status();
    let reason = response.headers().get(REFUSAL_HEADER).and_then(|reason| reason.to_str().ok());
    match reason {
        Some(reason) => format!("the peer answered {status}: {reason}"),
        None => format!("the peer answered {status}"),
    }
}

fn encode<T: Serialize>(message: &T) -> Result<Bytes> {
    let mut bytes = vec![0; LENGTH_BYTES];
    bincode::serde::encode_into_std_write(message, &mut bytes, standard())
        .map_err(|error| Error::invalid(format!("a message cannot be encoded: {error}")))?;
    let length = (bytes.len() - LENGTH_BYTES) as u32;
    bytes[..LENGTH_BYTES].copy_from_slice(&length.to_le_bytes());
    Ok(bytes.into())
}
