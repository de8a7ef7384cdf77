//! Connections of clients, some of which mark the end of a response by their own end.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use super::meter::RequestMeter;

/// The most that one read takes. A read that fills hyper's buffer of 8 KiB would double it, and it would
/// stay large.
const READ_MAX_BYTES: usize = (8 << 10) - 1;

/// The receive buffer of a connection. The system doubles it for its own data, which are few on fast
/// networks, so that up to twice as much may arrive before it is read.
pub(super) const RECEIVE_BUFFER_BYTES: usize = 24 << 10;
/// The same while a large body is received: the largest window of a connection that was accepted with a
/// small buffer.
pub(super) const WIDE_RECEIVE_BUFFER_BYTES: usize = 64 << 10;

/// A client's connection that is reset unless it is shut down, once
/// [`reset_unless_shut_down`](ResetSwitch::reset_unless_shut_down) was called.
///
/// A response to HTTP/1.0 without a length ends with its connection. Its client can tell a response
/// that was broken off only by a reset; this holds also if this process is killed.
pub(super) struct ClientStream {
    stream: TcpStream,
    switch: ResetSwitch,
    resets: bool,
    meter: RequestMeter,
    /// True if the client does not read what was written last.
    is_blocked: bool,
    /// True while the receive buffer is the wide one.
    is_wide: bool,
    /// True from then on until all that has arrived was read.
    may_hold_more: bool,
}

/// Turns on the reset of a connection.
#[derive(Debug, Clone, Default)]
pub(super) struct ResetSwitch(Arc<AtomicBool>);

impl ResetSwitch {
    /// From the next write on the connection is reset when it is dropped, unless it was shut down.
    pub(super) fn reset_unless_shut_down(&self) {
        self.0.store(true, Ordering::Release);
    }
}

impl ClientStream {
    /// Wraps a connection, which `switch` and `meter` belong to.
    pub(super) fn new(stream: TcpStream, switch: ResetSwitch, meter: RequestMeter) -> Self {
        Self {
            stream,
            switch,
            resets: false,
            meter,
            is_blocked: false,
            is_wide: false,
            may_hold_more: false,
        }
    }

    /// Notes the result of a write.
    fn note_write(&mut self, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        let is_blocked = written.is_pending();
        // A write that the client makes room for is progress, another try is none.
        if is_blocked != self.is_blocked {
            self.meter.set_blocked(is_blocked);
        }
        self.is_blocked = is_blocked;
        written
    }

    /// Sets the receive buffer that the meter asks for.
    fn follow_meter(&mut self) -> io::Result<()> {
        let is_wide = self.meter.is_wide();
        if is_wide == self.is_wide {
            return Ok(());
        }
        let size_bytes = if is_wide { WIDE_RECEIVE_BUFFER_BYTES } else { RECEIVE_BUFFER_BYTES };
        SockRef::from(&self.stream).set_recv_buffer_size(size_bytes)?;
        self.is_wide = is_wide;
        self.may_hold_more = true;
        Ok(())
    }

    fn follow_switch(&mut self) -> io::Result<()> {
        if self.resets || !self.switch.0.load(Ordering::Acquire) {
            return Ok(());
        }
        // Closing a socket that lingers for no time resets its connection.
        SockRef::from(&self.stream).set_linger(Some(Duration::ZERO))?;
        self.resets = true;
        Ok(())
    }

    fn end_reset(&mut self) -> io::Result<()> {
        if !self.resets {
            return Ok(());
        }
        SockRef::from(&self.stream).set_linger(None)?;
        self.resets = false;
        Ok(())
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.follow_meter()?;
        let length = buffer.remaining().min(READ_MAX_BYTES);
        let mut part = ReadBuf::new(buffer.initialize_unfilled_to(length));
        let read = Pin::new(&mut self.stream).poll_read(context, &mut part);
        if read.is_pending() && self.may_hold_more && !self.is_wide {
            self.may_hold_more = false;
            self.meter.end_wide();
        }
        ready!(read)?;
        let read_bytes = part.filled().len();
        buffer.advance(read_bytes);
        Poll::Ready(self.meter.note_read(read_bytes))
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.follow_meter()?;
        self.follow_switch()?;
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.note_write(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.follow_meter()?;
        self.follow_switch()?;
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.note_write(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.end_reset()?;
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
