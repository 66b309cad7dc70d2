//! `thornbridge key`: making of keys.

use crate::error::CommandError;
use crate::output::{self, Format};
use bpaf::Bpaf;
use serde::Serialize;
use std::path::PathBuf;
use thornbridge_config::approval::TrustedKey;
use thornbridge_config::keys::{ApprovalKey, ClusterKey};

/// Kinds of keys:
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(key))]
pub enum Key {
    /// Make a key that approves bundles
    ///
    ///
    /// Writes the secret to a new file with mode 0600 and prints the public half as lines for
    /// the settings of nodes.
    ///
    ///
    /// Example: thornbridge key generate --id ops --output ops.key
    #[bpaf(command)]
    Generate {
        /// Name of the key, as approvals will show it
        #[bpaf(argument("NAME"))]
        id: String,
        /// New file for the secret
        #[bpaf(argument("FILE"))]
        output: PathBuf,
        /// Form of the result: text or json
        #[bpaf(argument("FORMAT"), fallback(Format::Text))]
        format: Format,
    },
    /// Make the key that the nodes of a cluster share
    ///
    ///
    /// Example: thornbridge key cluster --output cluster.key
    #[bpaf(command)]
    Cluster {
        /// New file for the secret
        #[bpaf(argument("FILE"))]
        output: PathBuf,
    },
}

#[derive(Serialize)]
struct Generated {
    file: PathBuf,
    trusted_key: TrustedKey,
}

impl Key {
    /// Runs the command.
    pub fn run(self) -> Result<(), CommandError> {
        match self {
            Self::Generate { id, output, format } => generate(&id, output, format),
            Self::Cluster { output } => Ok(ClusterKey::generate()?.write(&output)?),
        }
    }
}

fn generate(id: &str, file: PathBuf, format: Format) -> Result<(), CommandError> {
    let key = ApprovalKey::generate(id)?;
    key.write(&file)?;
    let trusted_key = key.trusted_key();
    output::print(format, &Generated { file, trusted_key }, |generated| {
        let key = &generated.trusted_key;
        format!(
            "[[trusted_keys]]\nid = {:?}\npublic_key = \"{}\"",
            key.id, key.public_key
        )
    })
}
