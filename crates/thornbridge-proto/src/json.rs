//! Decoding of JSON bodies under a size limit.

use serde::de::DeserializeOwned;
use snafu::{ResultExt, Snafu, ensure};

/// A JSON body could not be taken.
#[derive(Debug, Snafu)]
pub enum JsonError {
    /// Larger than allowed.
    #[snafu(display("the body has {length} bytes; the limit is {limit}"))]
    TooLarge {
        /// Its length.
        length: usize,
        /// The limit.
        limit: usize,
    },
    /// Not the JSON that is expected.
    #[snafu(display("the body is not the expected JSON: {source}"))]
    Malformed {
        /// Cause, with line and column.
        source: serde_json::Error,
    },
}

/// Decodes a body of at most `limit` bytes.
pub fn decode<T: DeserializeOwned>(bytes: &[u8], limit: usize) -> Result<T, JsonError> {
    let length = bytes.len();
    ensure!(length <= limit, TooLargeSnafu { length, limit });
    serde_json::from_slice(bytes).context(MalformedSnafu)
}
