//! Key files: the operators' signing keys and the cluster key.
//!
//! A secret is read from a file that only its owner may read, and is neither logged nor printed:
//! the types here show no secret in [`std::fmt::Debug`].

use crate::approval::{Approval, KEY_BYTES, SigningKey, TrustedKey};
use rand::TryRngCore;
use rand::rngs::OsRng;
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use snafu::{OptionExt, ResultExt, Snafu, ensure};
use std::fmt;
use std::fs::OpenOptions;
use std::io::{Read, Write};
use std::os::unix::fs::{OpenOptionsExt, PermissionsExt};
use std::path::{Path, PathBuf};
use thornbridge_proto::{BundleVersion, Digest};

/// Mode of a new key file: its owner reads and writes it, nobody else does anything.
const KEY_FILE_MODE: u32 = 0o600;

/// Permission bits of group and others; none may be set on a key file.
const FOREIGN_ACCESS_BITS: u32 = 0o077;

/// Largest key file that is read.
const KEY_FILE_BYTES: u64 = 4096;

/// Length of the cluster key in bytes.
pub const CLUSTER_KEY_BYTES: usize = 32;

/// A key file cannot be made or used.
#[derive(Debug, Snafu)]
pub enum KeyError {
    /// The system gives no random bytes.
    #[snafu(display("cannot draw a key: {source}"))]
    Random {
        /// Cause.
        source: rand::rand_core::OsError,
    },
    /// The file exists or cannot be written.
    #[snafu(display("cannot create key file {}: {source}", file.display()))]
    Create {
        /// The file.
        file: PathBuf,
        /// Cause.
        source: std::io::Error,
    },
    /// The file cannot be read.
    #[snafu(display("cannot read key file {}: {source}", file.display()))]
    Unreadable {
        /// The file.
        file: PathBuf,
        /// Cause.
        source: std::io::Error,
    },
    /// Others may use the file.
    #[snafu(display(
        "key file {} has mode {mode:04o}; expected no access for group and others, e.g. 0600",
        file.display()
    ))]
    Exposed {
        /// The file.
        file: PathBuf,
        /// Its permission bits.
        mode: u32,
    },
    /// The file does not hold such a key. Its content is not shown, as it may be secret.
    #[snafu(display("key file {} does not hold {expected}", file.display()))]
    Malformed {
        /// The file.
        file: PathBuf,
        /// What it should hold.
        expected: &'static str,
    },
}

/// An operator's key for approvals, with its id.
#[derive(Clone)]
pub struct ApprovalKey {
    id: String,
    key: SigningKey,
}

impl fmt::Debug for ApprovalKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "ApprovalKey({:?})", self.id)
    }
}

/// Content of an approval key's file.
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct ApprovalKeyFile {
    id: String,
    secret_key: String,
}

const APPROVAL_KEY_CONTENT: &str =
    "`id` and `secret_key` as `thornbridge key generate` writes them";

impl ApprovalKey {
    /// Draws a new key.
    pub fn generate(id: &str) -> Result<Self, KeyError> {
        Ok(Self {
            id: id.to_owned(),
            key: SigningKey::from_bytes(&random_bytes()?),
        })
    }

    /// Reads a key from its file, after a check of the file's mode.
    pub fn read(file: &Path) -> Result<Self, KeyError> {
        let malformed = MalformedSnafu {
            file,
            expected: APPROVAL_KEY_CONTENT,
        };
        let text = read_secret(file)?;
        let content: ApprovalKeyFile = toml::from_str(&text).ok().context(malformed)?;
        let secret = decode_key(&content.secret_key).context(malformed)?;
        Ok(Self {
            id: content.id,
            key: SigningKey::from_bytes(&secret),
        })
    }

    /// Writes the key to a new file with mode 0600.
    pub fn write(&self, file: &Path) -> Result<(), KeyError> {
        let content = format!(
            "# Secret: whoever has this file may approve bundles.\nid = {:?}\nsecret_key = \"{}\"\n",
            self.id,
            hex::encode(self.key.to_bytes()),
        );
        create_secret(file, &content)
    }

    /// The public half, as nodes list it in their settings.
    pub fn trusted_key(&self) -> TrustedKey {
        TrustedKey::of(&self.id, &self.key)
    }

    /// Signs a version and digest.
    pub fn approve(&self, version: &BundleVersion, digest: &Digest) -> Approval {
        Approval::signed(&self.id, &self.key, version.clone(), *digest)
    }

    /// The id and the secret key, to sign with.
    pub fn into_parts(self) -> (String, SigningKey) {
        (self.id, self.key)
    }
}

/// The key that all nodes of a cluster share and authenticate each other by.
#[derive(Clone, PartialEq, Eq)]
pub struct ClusterKey([u8; CLUSTER_KEY_BYTES]);

impl fmt::Debug for ClusterKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("ClusterKey")
    }
}

impl ClusterKey {
    /// Draws a new key.
    pub fn generate() -> Result<Self, KeyError> {
        Ok(Self(random_bytes()?))
    }

    /// A key that anybody who knows `label` can make too. It keeps clusters apart that meet by
    /// mistake, and no more: for places that hand out no secret.
    pub fn derived(label: &str) -> Self {
        Self(Sha256::digest(label.as_bytes()).into())
    }

    /// Reads a key from its file, after a check of the file's mode.
    pub fn read(file: &Path) -> Result<Self, KeyError> {
        let text = read_secret(file)?;
        let key = decode_key(text.trim()).context(MalformedSnafu {
            file,
            expected: "64 hexadecimal digits",
        })?;
        Ok(Self(key))
    }

    /// Writes the key to a new file with mode 0600.
    pub fn write(&self, file: &Path) -> Result<(), KeyError> {
        create_secret(file, &format!("{}\n", hex::encode(self.0)))
    }

    /// The key itself, for the transport's message authentication code.
    pub fn as_bytes(&self) -> &[u8; CLUSTER_KEY_BYTES] {
        &self.0
    }
}

fn random_bytes<const LENGTH: usize>() -> Result<[u8; LENGTH], KeyError> {
    let mut bytes = [0; LENGTH];
    OsRng.try_fill_bytes(&mut bytes).context(RandomSnafu)?;
    Ok(bytes)
}

fn decode_key(text: &str) -> Option<[u8; KEY_BYTES]> {
    let mut bytes = [0; KEY_BYTES];
    hex::decode_to_slice(text, &mut bytes).ok()?;
    Some(bytes)
}

fn create_secret(file: &Path, content: &str) -> Result<(), KeyError> {
    OpenOptions::new()
        .write(true)
        .create_new(true)
        .mode(KEY_FILE_MODE)
        .open(file)
        .and_then(|mut handle| handle.write_all(content.as_bytes()))
        .context(CreateSnafu { file })
}

/// Opens first and checks the open file, so that the file checked is the file read.
fn read_secret(file: &Path) -> Result<String, KeyError> {
    let handle = std::fs::File::open(file).context(UnreadableSnafu { file })?;
    let metadata = handle.metadata().context(UnreadableSnafu { file })?;
    let mode = metadata.permissions().mode() & 0o7777;
    ensure!(mode & FOREIGN_ACCESS_BITS == 0, ExposedSnafu { file, mode });
    let mut text = String::new();
    handle
        .take(KEY_FILE_BYTES)
        .read_to_string(&mut text)
        .context(UnreadableSnafu { file })?;
    Ok(text)
}
