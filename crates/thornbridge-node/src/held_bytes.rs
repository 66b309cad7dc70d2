//! Bytes that hold something else for as long as anything refers to them.

use bytes::Bytes;

struct HeldBytes<T> {
    bytes: Bytes,
    _held: T,
}

impl<T> AsRef<[u8]> for HeldBytes<T> {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// The bytes; `held` is dropped with the last reference to them.
pub(crate) fn holding<T: Send + 'static>(bytes: Bytes, held: T) -> Bytes {
    Bytes::from_owner(HeldBytes { bytes, _held: held })
}
