//! Bodies of callers' requests: joined while they are received, and counted in the caller's account.

use super::{Account, Evicted, Pool, Reservation};
use crate::joined_body::JoinedBody;
use bytes::Bytes;

/// Length up to which a body is not counted: part of what each connection may hold.
const UNCOUNTED_BYTES: usize = 4 * 1_024;
/// First size of a buffer for a body of unknown length.
const FIRST_BUFFER_BYTES: usize = 64 * 1_024;
/// Growth of such a buffer. Few sizes: buffers that bodies outgrew are of use to others.
const BUFFER_GROWTH: usize = 4;

/// Body that is being received.
#[derive(Debug)]
pub(crate) struct RequestBody {
    /// Longest body: no buffer is larger.
    max_bytes: usize,
    /// Length that the caller announced.
    announced_bytes: Option<usize>,
    joined: JoinedBody,
    /// Of what the body's buffer holds.
    reservation: Reservation,
}

impl RequestBody {
    /// An empty body of at most `max_bytes`, of which the caller has announced so many.
    pub(crate) fn new(account: &Account, max_bytes: usize, announced_bytes: Option<usize>) -> Self {
        Self {
            max_bytes,
            announced_bytes,
            joined: JoinedBody::default(),
            reservation: account.reservation(Pool::Requests),
        }
    }

    /// Bytes that were received.
    pub(crate) fn len(&self) -> usize {
        self.joined.len()
    }

    /// Adds a piece, once there is room for it.
    pub(crate) async fn push(&mut self, data: Bytes) -> Result<(), Evicted> {
        let len = self.len() + data.len();
        if self.len() == 0 {
            self.reserve(len).await?;
        } else if len > self.joined.capacity() {
            // What is reserved is what the buffer holds, not what was received.
            let capacity = self.next_capacity(len);
            self.reserve(capacity).await?;
            self.joined.reserve(capacity);
        }
        self.joined.push(data);
        Ok(())
    }

    /// The whole body, which stays counted as long as anything refers to it.
    pub(crate) fn finish(self) -> Bytes {
        let bytes = self.joined.finish();
        match self.reservation.bytes() {
            0 => bytes,
            _ => self.reservation.hold(bytes),
        }
    }

    /// Size of a buffer for at least so many bytes.
    fn next_capacity(&self, len: usize) -> usize {
        let grown = match self.announced_bytes {
            Some(announced) => announced,
            None => (self.joined.capacity() * BUFFER_GROWTH).max(FIRST_BUFFER_BYTES),
        };
        grown.min(self.max_bytes).max(len)
    }

    /// Reserves so many bytes in all.
    async fn reserve(&mut self, bytes: usize) -> Result<(), Evicted> {
        match bytes.saturating_sub(self.reservation.bytes()) {
            more if more > 0 && bytes > UNCOUNTED_BYTES => self.reservation.grow(more).await,
            _ => Ok(()),
        }
    }
}
