//! `thornbridge bundle`: check, digest and publication of bundles.

use crate::error::CommandError;
use crate::operator;
use crate::operator_report;
use crate::output::{self, Format};
use bpaf::Bpaf;
use serde::Serialize;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use thornbridge_config::bundle::Bundle as BundleFile;
use thornbridge_config::{canonical, diff, parse};
use thornbridge_core::operator::OperatorCommand;
use thornbridge_proto::{BundleVersion, Digest};

/// Commands on bundles:
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(bundle))]
pub enum Bundle {
    /// Check a bundle; every error at once, with file, line, key path, value and what would be right
    ///
    ///
    /// Example: thornbridge bundle check examples/th-north.toml
    #[bpaf(command)]
    Check {
        /// Form of the result: text or json
        #[bpaf(argument("FORMAT"), fallback(Format::Text))]
        format: Format,
        /// Bundle
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Print a bundle's canonical digest, which approvals sign
    ///
    ///
    /// Example: thornbridge bundle digest examples/th-north.toml
    #[bpaf(command)]
    Digest {
        /// Form of the result: text or json
        #[bpaf(argument("FORMAT"), fallback(Format::Text))]
        format: Format,
        /// Bundle
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Show what differs between two bundles
    ///
    ///
    /// Example: thornbridge bundle diff old.toml new.toml
    #[bpaf(command)]
    Diff {
        /// Form of the result: text or json
        #[bpaf(argument("FORMAT"), fallback(Format::Text))]
        format: Format,
        /// First bundle
        #[bpaf(positional("BEFORE"))]
        before: PathBuf,
        /// Second bundle
        #[bpaf(positional("AFTER"))]
        after: PathBuf,
    },
    /// Put a bundle into the platform's store, where its version never changes
    ///
    ///
    /// Example: thornbridge bundle publish examples/th-north.toml --platform 127.0.0.1:20000
    #[bpaf(command)]
    Publish {
        /// Platform's address; also from the environment
        #[bpaf(argument("ADDRESS"), env("THORNBRIDGE_PLATFORM"))]
        platform: SocketAddr,
        /// Form of the result: text or json
        #[bpaf(argument("FORMAT"), fallback(Format::Text))]
        format: Format,
        /// Bundle
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
}

/// What is said of a bundle.
#[derive(Serialize)]
struct Summary {
    version: BundleVersion,
    digest: Digest,
    deployment: String,
    services: usize,
    shards: usize,
    back_ends: usize,
}

impl Summary {
    fn of(bundle: &BundleFile) -> Result<Self, CommandError> {
        let layouts = bundle.services.iter().flat_map(|service| &service.layouts);
        Ok(Self {
            version: bundle.version.clone(),
            digest: canonical::digest(bundle)?,
            deployment: bundle.deployment.clone(),
            services: bundle.services.len(),
            shards: layouts.map(|layout| layout.shards.len()).sum(),
            back_ends: bundle.back_ends().count(),
        })
    }
}

impl Bundle {
    /// Runs the command.
    pub async fn run(self) -> Result<(), CommandError> {
        match self {
            Self::Check { format, file } => check(format, &file),
            Self::Digest { format, file } => {
                let summary = Summary::of(&parse::read_bundle(&file)?)?;
                output::print(format, &summary, |summary| summary.digest.to_string())
            }
            Self::Diff {
                format,
                before,
                after,
            } => show_differences(format, &before, &after),
            Self::Publish {
                platform,
                format,
                file,
            } => publish(platform, format, &file).await,
        }
    }
}

fn check(format: Format, file: &Path) -> Result<(), CommandError> {
    let summary = Summary::of(&parse::read_bundle(file)?)?;
    output::print(format, &summary, |summary| {
        format!(
            "{} is valid: version {}, {} services, {} shards, {} back ends\ndigest {}",
            file.display(),
            summary.version,
            summary.services,
            summary.shards,
            summary.back_ends,
            summary.digest
        )
    })
}

fn show_differences(format: Format, before: &Path, after: &Path) -> Result<(), CommandError> {
    let before = parse::read_bundle(before)?;
    let after = parse::read_bundle(after)?;
    let differences = diff::differences(&before, &after)?;
    output::print(format, &differences, |differences| {
        if differences.is_empty() {
            return "no difference".to_owned();
        }
        let lines: Vec<String> = differences.iter().map(ToString::to_string).collect();
        lines.join("\n")
    })
}

async fn publish(platform: SocketAddr, format: Format, file: &Path) -> Result<(), CommandError> {
    let bundle = parse::read_bundle(file)?;
    let command = OperatorCommand::Publish { bundle };
    let outcome = operator::execute(platform, command).await?;
    output::print(format, &outcome, operator_report::as_text)
}
