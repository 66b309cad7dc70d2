//! Limit on what a server may send before the head of its response is complete.
//!
//! hyper limits the size of one head. Interim responses (1xx) precede the head in any number, and
//! hyper discards each without end.

use super::observed_stream::ReadObserver;
use std::io;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

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

    /// Whether more than the limit was received.
    pub(super) fn is_exceeded(&self) -> bool {
        let received = self.received_bytes.load(Ordering::Relaxed);
        self.is_awaited.load(Ordering::Relaxed) && received >= MAX_BYTES_BEFORE_BODY
    }
}

impl ReadObserver for HeadProgress {
    fn check(&self) -> io::Result<()> {
        match self.is_exceeded() {
            true => Err(io::Error::other("response head too large")),
            false => Ok(()),
        }
    }

    fn received(&self, bytes: usize) {
        self.received_bytes.fetch_add(bytes, Ordering::Relaxed);
    }
}
