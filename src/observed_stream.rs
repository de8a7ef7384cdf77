//! A TCP connection that reports what it receives.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Informed of the bytes that a connection receives.
pub(crate) trait ReceiptLog {
    /// Records that `bytes`, more than none, were received.
    fn note_received(&self, bytes: usize);
}

/// A connection that reports what it receives to a log.
pub(crate) struct ObservedStream<L> {
    inner: TcpStream,
    log: Arc<L>,
}

impl<L> ObservedStream<L> {
    /// Observes `inner`.
    pub(crate) fn new(inner: TcpStream, log: Arc<L>) -> Self {
        Self { inner, log }
    }
}

impl<L: ReceiptLog> AsyncRead for ObservedStream<L> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled_before = buffer.filled().len();
        let polled = Pin::new(&mut self.inner).poll_read(context, buffer);
        let received = buffer.filled().len() - filled_before;
        if received > 0 {
            self.log.note_received(received);
        }
        polled
    }
}

impl<L> AsyncWrite for ObservedStream<L> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(context)
    }
}
