//! Limit on what a server may send before the head of its response is complete.
//!
//! hyper limits the size of one head. Interim responses (1xx) precede the head in any number, and
//! hyper discards each without end.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Maximum size of hyper's read buffer, and so of one head.
pub(super) const MAX_READ_BUFFER_BYTES: usize = 128 * 1024;
/// Maximum size of all that precedes the body. Several read buffers: one read may return a head and
/// much of the body, and hyper may read on before the head is handled.
const MAX_BYTES_BEFORE_BODY: usize = 4 * MAX_READ_BUFFER_BYTES;

/// Whether a response head is awaited, and what was received since.
#[derive(Debug, Default)]
pub(super) struct HeadProgress {
    is_awaited: AtomicBool,
    received_bytes: AtomicUsize,
    is_exceeded: AtomicBool,
}

impl HeadProgress {
    /// Starts counting, for a request that is about to be sent.
    pub(super) fn await_head(&self) {
        self.received_bytes.store(0, Ordering::Relaxed);
        self.is_awaited.store(true, Ordering::Relaxed);
    }

    /// Stops counting: the head is complete.
    pub(super) fn head_received(&self) {
        self.is_awaited.store(false, Ordering::Relaxed);
    }

    /// Whether the limit was exceeded.
    pub(super) fn is_exceeded(&self) -> bool {
        self.is_exceeded.load(Ordering::Relaxed)
    }

    fn check(&self) -> io::Result<()> {
        let received = self.received_bytes.load(Ordering::Relaxed);
        if !self.is_awaited.load(Ordering::Relaxed) || received < MAX_BYTES_BEFORE_BODY {
            return Ok(());
        }
        self.is_exceeded.store(true, Ordering::Relaxed);
        Err(io::Error::other("response head too large"))
    }
}

/// TCP stream to a server that ends in an error when a head is too large.
#[derive(Debug)]
pub(super) struct HeadLimitedStream {
    stream: TcpStream,
    progress: Arc<HeadProgress>,
}

impl HeadLimitedStream {
    pub(super) fn new(stream: TcpStream, progress: Arc<HeadProgress>) -> Self {
        Self { stream, progress }
    }
}

impl AsyncRead for HeadLimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.progress.check()?;
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        let received = buffer.filled().len() - before;
        self.progress
            .received_bytes
            .fetch_add(received, Ordering::Relaxed);
        polled
    }
}

impl AsyncWrite for HeadLimitedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, buffers)
    }
}
