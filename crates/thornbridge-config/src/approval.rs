//! Approval: an Ed25519 signature (RFC 8032) over a bundle's version and digest.

use ed25519_dalek::{Signature, Signer, VerifyingKey};
use serde::{Deserialize, Serialize};
use snafu::Snafu;
use thornbridge_proto::{BundleVersion, Digest};

pub use ed25519_dalek::SigningKey;

/// Separates these signatures from any other use of the same key.
const SIGNATURE_CONTEXT: &[u8] = b"thornbridge bundle approval v1\0";

/// Length of an Ed25519 public or secret key in bytes.
pub const KEY_BYTES: usize = 32;

/// A key that may approve bundles, as listed in the settings.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TrustedKey {
    /// Name of the key, e.g. `ops-2026`.
    pub id: String,
    /// Public key in hexadecimal.
    pub public_key: String,
}

/// A signed approval.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Approval {
    /// Version approved.
    pub version: BundleVersion,
    /// Digest approved.
    pub digest: Digest,
    /// Id of the key that signed.
    pub key_id: String,
    /// Signature in hexadecimal.
    pub signature: String,
}

/// An approval does not hold.
#[derive(Debug, Snafu, PartialEq, Eq)]
pub enum ApprovalError {
    /// The key is not in the trusted list.
    #[snafu(display("key {key_id:?} is not trusted"))]
    UntrustedKey {
        /// Its id.
        key_id: String,
    },
    /// A trusted key is not an Ed25519 public key.
    #[snafu(display(
        "trusted key {key_id:?} is not 64 hexadecimal digits of an Ed25519 public key"
    ))]
    MalformedKey {
        /// Its id.
        key_id: String,
    },
    /// The signature is not over this version and digest by this key.
    #[snafu(display(
        "the signature by key {key_id:?} does not match version {version} and its digest"
    ))]
    BadSignature {
        /// Key.
        key_id: String,
        /// Version.
        version: BundleVersion,
    },
}

impl TrustedKey {
    /// The public half of a secret key, under a name.
    pub fn of(id: &str, key: &SigningKey) -> Self {
        Self {
            id: id.to_owned(),
            public_key: hex::encode(key.verifying_key().to_bytes()),
        }
    }
}

impl Approval {
    /// Signs a version and digest.
    pub fn signed(key_id: &str, key: &SigningKey, version: BundleVersion, digest: Digest) -> Self {
        let signature = hex::encode(sign(key, &version, &digest));
        Self {
            version,
            digest,
            key_id: key_id.to_owned(),
            signature,
        }
    }

    /// Checks the approval against the trusted keys; gives the raw signature.
    pub fn verified(&self, trusted: &[TrustedKey]) -> Result<Vec<u8>, ApprovalError> {
        let signature = hex::decode(&self.signature).map_err(|_| ApprovalError::BadSignature {
            key_id: self.key_id.clone(),
            version: self.version.clone(),
        })?;
        verify(
            trusted,
            &self.key_id,
            &self.version,
            &self.digest,
            &signature,
        )?;
        Ok(signature)
    }
}

fn signed_bytes(version: &BundleVersion, digest: &Digest) -> Vec<u8> {
    let mut bytes = SIGNATURE_CONTEXT.to_vec();
    bytes.extend_from_slice(version.as_str().as_bytes());
    bytes.push(0);
    bytes.extend_from_slice(&digest.0);
    bytes
}

/// Signs a version and digest; gives the raw signature.
pub fn sign(key: &SigningKey, version: &BundleVersion, digest: &Digest) -> Vec<u8> {
    key.sign(&signed_bytes(version, digest)).to_bytes().to_vec()
}

/// Checks a raw signature against the trusted keys.
pub fn verify(
    trusted: &[TrustedKey],
    key_id: &str,
    version: &BundleVersion,
    digest: &Digest,
    signature: &[u8],
) -> Result<(), ApprovalError> {
    let key =
        trusted
            .iter()
            .find(|key| key.id == key_id)
            .ok_or_else(|| ApprovalError::UntrustedKey {
                key_id: key_id.to_owned(),
            })?;
    let key = verifying_key(key)?;
    let bad = || ApprovalError::BadSignature {
        key_id: key_id.to_owned(),
        version: version.clone(),
    };
    let signature = Signature::from_slice(signature).map_err(|_| bad())?;
    key.verify_strict(&signed_bytes(version, digest), &signature)
        .map_err(|_| bad())
}

pub(crate) fn verifying_key(key: &TrustedKey) -> Result<VerifyingKey, ApprovalError> {
    let malformed = || ApprovalError::MalformedKey {
        key_id: key.id.clone(),
    };
    let mut bytes = [0; KEY_BYTES];
    hex::decode_to_slice(&key.public_key, &mut bytes).map_err(|_| malformed())?;
    let key = VerifyingKey::from_bytes(&bytes).map_err(|_| malformed())?;
    // A key of small order verifies signatures that nobody made.
    if key.is_weak() {
        return Err(malformed());
    }
    Ok(key)
}
