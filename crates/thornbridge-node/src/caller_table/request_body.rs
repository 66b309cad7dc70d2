//! Bodies of callers' requests: joined while they are received, and counted in the caller's account.

use super::{Account, Evicted, Pool, Reservation};
use bytes::{Bytes, BytesMut};

/// Length up to which a body is not counted: part of what each connection may hold.
const UNCOUNTED_BYTES: usize = 4 * 1_024;
/// First size of a buffer for a body of unknown length.
const FIRST_BUFFER_BYTES: usize = 64 * 1_024;
/// Growth of such a buffer. Few sizes: buffers that bodies outgrew are of use to others.
const BUFFER_GROWTH: usize = 4;

/// Body that is being received.
#[derive(Debug)]
pub(crate) struct RequestBody<'a> {
    account: &'a Account,
    /// Longest body: no buffer is larger.
    max_bytes: usize,
    /// Length that the caller announced.
    announced_bytes: Option<usize>,
    /// The first piece, while there is only one. It refers to the connection's read buffer.
    first: Bytes,
    joined: BytesMut,
    reservation: Option<Reservation>,
    reserved_bytes: usize,
}

impl<'a> RequestBody<'a> {
    /// An empty body of at most `max_bytes`, of which the caller has announced so many.
    pub(crate) fn new(
        account: &'a Account,
        max_bytes: usize,
        announced_bytes: Option<usize>,
    ) -> Self {
        Self {
            account,
            max_bytes,
            announced_bytes,
            first: Bytes::new(),
            joined: BytesMut::new(),
            reservation: None,
            reserved_bytes: 0,
        }
    }

    /// Bytes that were received.
    pub(crate) fn len(&self) -> usize {
        self.first.len() + self.joined.len()
    }

    /// Adds a piece, once there is room for it.
    pub(crate) async fn push(&mut self, data: Bytes) -> Result<(), Evicted> {
        if self.len() == 0 {
            self.reserve(data.len()).await?;
            self.first = data;
            return Ok(());
        }
        // What is reserved is what the buffer holds, not what was received.
        let len = self.len() + data.len();
        if len > self.joined.capacity() {
            let capacity = self.next_capacity(len);
            self.reserve(capacity).await?;
            let more = capacity - self.joined.len();
            self.joined.reserve(more);
        }
        self.joined
            .extend_from_slice(&std::mem::take(&mut self.first));
        self.joined.extend_from_slice(&data);
        Ok(())
    }

    /// The whole body, which stays counted as long as anything refers to it.
    pub(crate) fn finish(self) -> Bytes {
        let bytes = match self.joined.is_empty() {
            true => self.first,
            false => self.joined.freeze(),
        };
        match self.reservation {
            Some(reservation) => reservation.hold(bytes),
            None => bytes,
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
        if bytes <= UNCOUNTED_BYTES || bytes <= self.reserved_bytes {
            return Ok(());
        }
        let account = self.account;
        let reservation = self
            .reservation
            .get_or_insert_with(|| account.reservation(Pool::Requests));
        reservation.grow(bytes - self.reserved_bytes).await?;
        self.reserved_bytes = bytes;
        Ok(())
    }
}
