//! Reading of bundles and settings: TOML text in, checked values or all problems out.

mod bundle_reader;
mod settings_reader;

use crate::bundle::Bundle;
use crate::document::Reader;
use crate::problem::{InvalidFile, Problem};
use crate::settings::NodeSettings;
use crate::validation::{self, Finding};
use snafu::{ResultExt, Snafu};
use std::path::{Path, PathBuf};

/// A file of the operator's cannot be used.
#[derive(Debug, Snafu)]
pub enum ReadError {
    /// It cannot be read.
    #[snafu(display("cannot read {}: {source}", file.display()))]
    Unreadable {
        /// The file.
        file: PathBuf,
        /// Cause.
        source: std::io::Error,
    },
    /// It says something that cannot be used.
    #[snafu(display("{source}"), context(false))]
    Invalid {
        /// All that is wrong.
        source: InvalidFile,
    },
}

/// Parses and validates a bundle.
pub fn bundle(text: &str) -> Result<Bundle, Vec<Problem>> {
    let mut reader = Reader::new(text);
    let document = reader.parse();
    if reader.has_problems() {
        return Err(reader.into_problems());
    }
    let bundle = bundle_reader::read(&mut reader, document.get_ref());
    let findings = validation::bundle_findings(&bundle);
    conclude(reader, bundle, findings)
}

/// Parses and validates a node's settings.
pub fn settings(text: &str) -> Result<NodeSettings, Vec<Problem>> {
    let mut reader = Reader::new(text);
    let document = reader.parse();
    if reader.has_problems() {
        return Err(reader.into_problems());
    }
    let settings = settings_reader::read(&mut reader, document.get_ref());
    let findings = validation::settings_findings(&settings);
    conclude(reader, settings, findings)
}

/// Reads, parses and validates a bundle.
pub fn read_bundle(file: &Path) -> Result<Bundle, ReadError> {
    let text = std::fs::read_to_string(file).context(UnreadableSnafu { file })?;
    Ok(bundle(&text).map_err(|problems| InvalidFile::new(file, problems))?)
}

/// Reads, parses and validates settings. A relative path in them starts at the file's directory.
pub fn read_settings(file: &Path) -> Result<NodeSettings, ReadError> {
    let text = std::fs::read_to_string(file).context(UnreadableSnafu { file })?;
    let mut settings = settings(&text).map_err(|problems| InvalidFile::new(file, problems))?;
    let directory = file.parent().unwrap_or(Path::new(""));
    settings.cluster_key_file = directory.join(&settings.cluster_key_file);
    Ok(settings)
}

/// Settings of a file, if there is one, with values of flags in place of its own. The problems
/// have no lines, since a value may come from either.
pub fn read_settings_with(
    file: Option<&Path>,
    flags: toml::Table,
) -> Result<NodeSettings, ReadError> {
    let shown = file.unwrap_or(Path::new("flags"));
    let mut table = match file {
        Some(file) => settings_table(file)?,
        None => toml::Table::new(),
    };
    table.extend(flags);
    let text = table.to_string();
    let parsed = settings(&text).map_err(|mut problems| {
        problems.iter_mut().for_each(|problem| problem.line = None);
        InvalidFile::new(shown, problems)
    });
    Ok(parsed?)
}

/// The file's values, with the path of the cluster key's file as [`read_settings`] gives it.
fn settings_table(file: &Path) -> Result<toml::Table, ReadError> {
    const KEY_FILE: &str = "cluster_key_file";
    let text = std::fs::read_to_string(file).context(UnreadableSnafu { file })?;
    let Ok(mut table) = text.parse::<toml::Table>() else {
        let mut reader = Reader::new(&text);
        reader.parse();
        return Err(InvalidFile::new(file, reader.into_problems()).into());
    };
    let directory = file.parent().unwrap_or(Path::new(""));
    if let Some(toml::Value::String(key_file)) = table.get_mut(KEY_FILE) {
        *key_file = directory.join(&*key_file).display().to_string();
    }
    Ok(table)
}

/// Adds what validation found, unless it rests on a value that could not be read.
fn conclude<T>(
    mut reader: Reader<'_>,
    value: T,
    findings: Vec<Finding>,
) -> Result<T, Vec<Problem>> {
    for finding in findings {
        let unread = |path: &String| reader.is_unusable(path);
        if !finding.rests_on.iter().any(unread) && !unread(&finding.problem.path) {
            reader.note(finding.problem);
        }
    }
    let mut problems = reader.into_problems();
    problems.sort_by_key(|problem| problem.line);
    if problems.is_empty() {
        Ok(value)
    } else {
        Err(problems)
    }
}
