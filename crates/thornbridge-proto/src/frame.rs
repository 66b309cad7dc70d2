//! Encoding of peer messages: one `rmp-serde` value a frame. The length prefix is the transport's.

use crate::limits::PEER_FRAME_BYTES;
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::{ResultExt, Snafu, ensure};

/// A frame could not be encoded or decoded.
#[derive(Debug, Snafu)]
pub enum FrameError {
    /// Larger than [`PEER_FRAME_BYTES`].
    #[snafu(display("the frame has {length} bytes; the limit is {PEER_FRAME_BYTES}"))]
    TooLarge {
        /// Its length.
        length: usize,
    },
    /// Could not be encoded.
    #[snafu(display("cannot encode the frame"))]
    Encode {
        /// Cause.
        source: rmp_serde::encode::Error,
    },
    /// Not a message of this protocol.
    #[snafu(display("cannot decode the frame"))]
    Decode {
        /// Cause.
        source: rmp_serde::decode::Error,
    },
}

/// Encodes one message.
pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>, FrameError> {
    let bytes = rmp_serde::to_vec(message).context(EncodeSnafu)?;
    ensure_size(bytes.len())?;
    Ok(bytes)
}

/// Decodes one message.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, FrameError> {
    ensure_size(bytes.len())?;
    rmp_serde::from_slice(bytes).context(DecodeSnafu)
}

fn ensure_size(length: usize) -> Result<(), FrameError> {
    ensure!(length <= PEER_FRAME_BYTES, TooLargeSnafu { length });
    Ok(())
}
