//! Authentication of a link's frames: HMAC-SHA-256 (RFC 2104) with one key per direction.
//!
//! The tag of a frame covers its sequence number, so that frames that are changed, repeated,
//! dropped or reordered are detected.

use bytes::{BufMut, Bytes, BytesMut};
use hmac::{Hmac, Mac};
use sha2::Sha256;

/// Length of a frame's tag: HMAC truncated to half of SHA-256's output (RFC 2104, section 5).
pub(super) const TAG_BYTES: usize = 16;
/// Length of a key and of an untruncated HMAC.
pub(super) const KEY_BYTES: usize = 32;

type HmacSha256 = Hmac<Sha256>;

/// HMAC of several parts, each prefixed with its length so that the encoding is unambiguous.
pub(super) fn mac_of_parts(key: &[u8], parts: &[&[u8]]) -> [u8; KEY_BYTES] {
    mac_over(key, parts).finalize().into_bytes().into()
}

/// Verifies an HMAC of several parts in constant time.
pub(super) fn verify_mac_of_parts(key: &[u8], parts: &[&[u8]], expected: &[u8]) -> bool {
    mac_over(key, parts).verify_slice(expected).is_ok()
}

fn mac_over(key: &[u8], parts: &[&[u8]]) -> HmacSha256 {
    let mut mac = new_mac(key);
    for part in parts {
        mac.update(&(part.len() as u64).to_be_bytes());
        mac.update(part);
    }
    mac
}

fn new_mac(key: &[u8]) -> HmacSha256 {
    HmacSha256::new_from_slice(key).expect("HMAC takes keys of any length")
}

/// Error: the tag of a frame does not match its payload and sequence number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Tampered;

/// Seals or opens the frames of one direction of a link.
#[derive(Clone)]
pub(super) struct FrameAuthenticator {
    mac: HmacSha256,
    sequence: u64,
}

impl FrameAuthenticator {
    pub(super) fn new(key: &[u8; KEY_BYTES]) -> Self {
        Self {
            mac: new_mac(key),
            sequence: 0,
        }
    }

    /// Appends the tag to the payload of the next frame.
    pub(super) fn seal(&mut self, payload: &[u8]) -> Bytes {
        let tag = self.next_mac(payload).finalize().into_bytes();
        let mut frame = BytesMut::with_capacity(payload.len() + TAG_BYTES);
        frame.put_slice(payload);
        frame.put_slice(&tag[..TAG_BYTES]);
        frame.freeze()
    }

    /// Verifies and removes the tag of the next frame.
    pub(super) fn open(&mut self, mut frame: BytesMut) -> Result<BytesMut, Tampered> {
        let length = frame.len().checked_sub(TAG_BYTES).ok_or(Tampered)?;
        let tag = frame.split_off(length);
        self.next_mac(&frame)
            .verify_truncated_left(&tag)
            .map_err(|_| Tampered)?;
        Ok(frame)
    }

    fn next_mac(&mut self, payload: &[u8]) -> HmacSha256 {
        // Cloning the keyed state avoids hashing the key again for each frame.
        let mut mac = self.mac.clone();
        mac.update(&self.sequence.to_be_bytes());
        mac.update(payload);
        self.sequence += 1;
        mac
    }
}
