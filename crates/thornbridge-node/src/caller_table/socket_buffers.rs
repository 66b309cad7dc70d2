//! Shares of connections in the memory that the system may hold for them: bytes that have arrived and are
//! not read, and bytes that are written and not acknowledged.
//!
//! Half of the memory is for the least share of as many connections as may be open; of the other half a
//! connection gets a part of what is left, so that few connections have large buffers.

/// Largest share of a connection beside the least one.
const MAX_EXTRA_BYTES: usize = 256 * 1_024;
/// Parts of the memory that is left, of which a connection gets one.
const EXTRA_PARTS: usize = 16;
/// A share holds two buffers, and the system takes up to twice the size that is set for each.
const SIZES_PER_SHARE: usize = 4;

/// Memory that the system may hold for connections.
#[derive(Clone, Copy, Debug)]
pub(super) struct SocketBuffers {
    limit_bytes: usize,
    extra_used_bytes: usize,
}

/// Share of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct BufferShare {
    least_bytes: usize,
    extra_bytes: usize,
}

impl SocketBuffers {
    pub(super) fn new(limit_bytes: usize) -> Self {
        Self {
            limit_bytes,
            extra_used_bytes: 0,
        }
    }

    /// Takes a share, where `max_connections` may be open.
    pub(super) fn take(&mut self, max_connections: usize) -> BufferShare {
        let left = (self.limit_bytes / 2).saturating_sub(self.extra_used_bytes);
        let share = BufferShare {
            least_bytes: self.limit_bytes / 2 / max_connections.max(1),
            extra_bytes: (left / EXTRA_PARTS).min(MAX_EXTRA_BYTES),
        };
        self.extra_used_bytes += share.extra_bytes;
        share
    }

    /// Returns the share of a connection that was closed.
    pub(super) fn put_back(&mut self, share: BufferShare) {
        self.extra_used_bytes -= share.extra_bytes;
    }
}

impl BufferShare {
    /// Size to set for each buffer of the connection.
    pub(super) fn buffer_bytes(self) -> usize {
        (self.least_bytes + self.extra_bytes) / SIZES_PER_SHARE
    }
}
