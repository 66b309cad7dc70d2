//! Fingerprints: what stays the same when a caller sends a request again.
//!
//! The identity that a caller gives a request is new with each of its tries. A fingerprint is a
//! digest of what a server is sent, and on whose behalf; nobody can make another request that has the
//! same one.
//!
//! The address that a request comes from is no part of it: a caller may come back by way of another
//! machine or zone, where it has another address.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::fmt;

/// Hexadecimal digits by which a log names a fingerprint: one in 10^14 is met twice by chance.
const DIGITS_SHOWN: usize = 12;

/// What a fingerprint is taken of.
#[derive(Clone, Copy, Debug)]
pub struct FingerprintSource<'a> {
    /// Credentials that the request carries; empty where there are none.
    pub credentials: &'a [u8],
    /// Method.
    pub method: &'a str,
    /// Host, in lower case and without a port.
    pub host: &'a str,
    /// Path and query.
    pub target: &'a str,
    /// Body.
    pub body: &'a [u8],
}

/// The first half of a SHA-256 digest.
#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fingerprint(pub u128);

impl Fingerprint {
    /// The fingerprint of a request.
    pub fn of(source: &FingerprintSource<'_>) -> Self {
        let mut digest = Sha256::new();
        let texts = [source.method, source.host, source.target];
        let parts = texts.map(str::as_bytes);
        for part in [source.credentials].into_iter().chain(parts) {
            // With its length, so that no two lists of parts give the same bytes.
            digest.update((part.len() as u64).to_be_bytes());
            digest.update(part);
        }
        digest.update(source.body);
        let digest = digest.finalize();
        let half = digest.iter().take(16);
        Self(half.fold(0, |number, byte| number << 8 | u128::from(*byte)))
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let digits = format!("{:032x}", self.0);
        formatter.write_str(&digits[..DIGITS_SHOWN])
    }
}

impl fmt::Debug for Fingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, formatter)
    }
}
