//! Body of a message that is being received.

use bytes::{Bytes, BytesMut};

/// Pieces of a body, joined; not copied while there is only one.
#[derive(Debug, Default)]
pub(crate) struct JoinedBody {
    first: Bytes,
    joined: BytesMut,
}

impl JoinedBody {
    /// Adds a piece.
    pub(crate) fn push(&mut self, data: Bytes) {
        if self.len() == 0 {
            self.first = data;
            return;
        }
        self.joined
            .extend_from_slice(&std::mem::take(&mut self.first));
        self.joined.extend_from_slice(&data);
    }

    /// Size of the buffer, which is none while there is only one piece.
    pub(crate) fn capacity(&self) -> usize {
        self.joined.capacity()
    }

    /// Makes room for so many bytes in all.
    pub(crate) fn reserve(&mut self, bytes: usize) {
        self.joined.reserve(bytes - self.joined.len());
    }

    /// Bytes that were added.
    pub(crate) fn len(&self) -> usize {
        self.first.len() + self.joined.len()
    }

    /// Memory that the body holds: buffers grow ahead of what they hold.
    pub(crate) fn held_bytes(&self) -> usize {
        self.first.len() + self.joined.capacity()
    }

    /// The whole body.
    pub(crate) fn finish(self) -> Bytes {
        match self.joined.is_empty() {
            true => self.first,
            false => self.joined.freeze(),
        }
    }
}
