//! TCP stream whose reads are observed.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Observer of the reads of a stream.
pub(super) trait ReadObserver {
    /// Called before each read, which fails with the error.
    fn check(&self) -> io::Result<()> {
        Ok(())
    }

    /// Called after each read that returned bytes.
    fn received(&self, bytes: usize);
}

/// TCP stream that reports its reads to an observer.
#[derive(Debug)]
pub(super) struct ObservedStream<O> {
    stream: TcpStream,
    observer: Arc<O>,
}

impl<O> ObservedStream<O> {
    pub(super) fn new(stream: TcpStream, observer: Arc<O>) -> Self {
        Self { stream, observer }
    }
}

impl<O: ReadObserver> AsyncRead for ObservedStream<O> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.observer.check()?;
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        let received = buffer.filled().len() - before;
        if received > 0 {
            self.observer.received(received);
        }
        polled
    }
}

impl<O: ReadObserver> AsyncWrite for ObservedStream<O> {
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
