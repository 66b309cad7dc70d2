//! `thornbridge approve`: signs a published version.

use crate::error::CommandError;
use crate::operator;
use crate::operator_report;
use crate::output::{self, Format};
use bpaf::Bpaf;
use std::net::SocketAddr;
use std::path::PathBuf;
use thornbridge_config::keys::ApprovalKey;
use thornbridge_core::operator::OperatorCommand;
use thornbridge_proto::BundleVersion;

/// Approve a published bundle version: sign its version and digest
///
///
/// Example: thornbridge approve 1 --key ops.key --platform 127.0.0.1:20000
#[derive(Clone, Debug, Bpaf)]
#[bpaf(command("approve"), generate(approve))]
pub struct Approve {
    /// File of the secret key, made by `thornbridge key generate`
    #[bpaf(argument("FILE"))]
    key: PathBuf,
    /// Platform's address; also from the environment
    #[bpaf(argument("ADDRESS"), env("THORNBRIDGE_PLATFORM"))]
    platform: SocketAddr,
    /// Form of the result: text or json
    #[bpaf(argument("FORMAT"), fallback(Format::Text))]
    format: Format,
    /// Version to approve
    #[bpaf(positional("VERSION"))]
    version: String,
}

impl Approve {
    /// Runs the command.
    pub async fn run(self) -> Result<(), CommandError> {
        let (key_id, key) = ApprovalKey::read(&self.key)?.into_parts();
        let command = OperatorCommand::Approve {
            version: BundleVersion::new(self.version),
            key_id,
            key,
        };
        let outcome = operator::execute(self.platform, command).await?;
        output::print(self.format, &outcome, operator_report::as_text)
    }
}
