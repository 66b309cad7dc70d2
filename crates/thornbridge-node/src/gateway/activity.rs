//! What a caller's connection is doing, seen from its bytes: resting, bringing a request's head,
//! or waiting for an answer. So one sweep can close connections that rest for too long or bring
//! their heads too slowly, by limits that change while they are open.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, AtomicU64, Ordering};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

const RESTING: u8 = 0;
const HEAD: u8 = 1;
const BUSY: u8 = 2;

/// The state of one connection and since when.
#[derive(Debug)]
pub(super) struct Activity {
    epoch: Instant,
    state: AtomicU8,
    since_millis: AtomicU64,
    requests: AtomicU64,
}

impl Activity {
    pub(super) fn new() -> Arc<Self> {
        Arc::new(Self {
            epoch: Instant::now(),
            state: AtomicU8::new(RESTING),
            since_millis: AtomicU64::new(0),
            requests: AtomicU64::new(0),
        })
    }

    /// A request's head is whole; gives whether it is the connection's first.
    pub(super) fn request_began(&self) -> bool {
        self.enter(BUSY);
        self.requests.fetch_add(1, Ordering::Relaxed) == 0
    }

    /// Its answer is decided.
    pub(super) fn request_ended(&self) {
        self.enter(RESTING);
    }

    /// Whether it rests, or brings a head, for longer than allowed.
    pub(super) fn is_overdue(&self, idle: Duration, head: Duration) -> bool {
        let since = Duration::from_millis(self.since_millis.load(Ordering::Relaxed));
        let elapsed = self.epoch.elapsed().saturating_sub(since);
        match self.state.load(Ordering::Relaxed) {
            RESTING => elapsed > idle,
            HEAD => elapsed > head,
            _ => false,
        }
    }

    fn bytes_came(&self) {
        if self.state.load(Ordering::Relaxed) == RESTING {
            self.enter(HEAD);
        }
    }

    fn enter(&self, state: u8) {
        let now = self.epoch.elapsed().as_millis() as u64;
        self.state.store(state, Ordering::Relaxed);
        self.since_millis.store(now, Ordering::Relaxed);
    }
}

/// A caller's stream that notes when bytes come.
pub(super) struct ObservedStream {
    stream: TcpStream,
    activity: Arc<Activity>,
}

impl ObservedStream {
    pub(super) fn new(stream: TcpStream, activity: Arc<Activity>) -> Self {
        Self { stream, activity }
    }
}

impl AsyncRead for ObservedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        if buffer.filled().len() > before {
            self.activity.bytes_came();
        }
        polled
    }
}

impl AsyncWrite for ObservedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[std::io::IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, buffers)
    }
}
