//! Versions of registry entries, encoded as names that no entry refers to.
//!
//! Entries have no field for a version: a new field would break earlier builds, which ignore such
//! names. After the names of services come a marker, the distinct versions, and a text with the
//! versions of the entries, run-length encoded: `1:40 0:2` for 40 entries of version 1 and 2 of
//! version 0. Nothing is appended if no entry has a version.

use super::packed_registry::Names;
use crate::{ServerVersion, ServiceName};
use snafu::{OptionExt, Snafu, ensure};

/// First of the appended names; others are those of a later build.
const MARKER: &str = "\0versions";

/// The versions of registry entries cannot be decoded.
#[derive(Debug, Snafu)]
pub enum MalformedVersions {
    /// The text with the entries' versions is missing.
    #[snafu(display("versions of registry entries are missing"))]
    MissingRuns,
    /// A run is not of the form `INDEX:COUNT`.
    #[snafu(display("malformed run of versions {run:?}"))]
    MalformedRun {
        /// The run.
        run: String,
    },
    /// A run refers to a version that is not listed.
    #[snafu(display("run of versions {run:?} refers to one of {versions} versions"))]
    MissingVersion {
        /// The run.
        run: String,
        /// Number of versions.
        versions: usize,
    },
    /// The runs do not add up to the entries.
    #[snafu(display("versions of registry entries do not add up to {entries}"))]
    WrongTotal {
        /// Number of entries.
        entries: usize,
    },
}

/// Appends the versions of the entries, in their order, to the names of services.
pub(super) fn append(services: &mut Vec<ServiceName>, versions: &[ServerVersion]) {
    if versions.iter().all(|version| version.as_str().is_empty()) {
        return;
    }
    let mut names = Names::new();
    let indices = versions.iter();
    let indices = indices.map(|version| names.index_of(version.clone()));
    let runs = format_runs(indices);
    services.push(ServiceName::new(MARKER));
    let listed = names.into_names().into_iter();
    services.extend(listed.map(|version| ServiceName::new(version.as_str())));
    services.push(ServiceName::new(runs));
}

/// Versions of `entries` entries, in their order, from the names that no entry refers to; empty
/// versions if there are none.
pub(super) fn extract(
    appended: &[ServiceName],
    entries: usize,
) -> Result<Vec<ServerVersion>, MalformedVersions> {
    let versions = match appended.split_first() {
        Some((marker, versions)) if marker.as_str() == MARKER => versions,
        _ => return Ok(vec![ServerVersion::default(); entries]),
    };
    let (runs, listed) = versions.split_last().context(MissingRunsSnafu)?;
    let listed = listed.iter();
    let listed: Vec<ServerVersion> = listed
        .map(|name| ServerVersion::new(name.as_str()))
        .collect();
    expand_runs(runs.as_str(), &listed, entries)
}

fn format_runs(indices: impl Iterator<Item = u32>) -> String {
    let mut runs: Vec<(u32, usize)> = Vec::new();
    for index in indices {
        match runs.last_mut() {
            Some((last, count)) if *last == index => *count += 1,
            _ => runs.push((index, 1)),
        }
    }
    let runs = runs.into_iter();
    let runs: Vec<String> = runs
        .map(|(index, count)| format!("{index}:{count}"))
        .collect();
    runs.join(" ")
}

fn expand_runs(
    runs: &str,
    listed: &[ServerVersion],
    entries: usize,
) -> Result<Vec<ServerVersion>, MalformedVersions> {
    let mut versions = Vec::with_capacity(entries);
    for run in runs.split_ascii_whitespace() {
        let (index, count) = parse_run(run).context(MalformedRunSnafu { run })?;
        let version = listed.get(index).context(MissingVersionSnafu {
            run,
            versions: listed.len(),
        })?;
        // Checked before the versions are allocated: a count may be of any size.
        ensure!(
            count <= entries - versions.len(),
            WrongTotalSnafu { entries }
        );
        versions.extend(std::iter::repeat_n(version.clone(), count));
    }
    ensure!(versions.len() == entries, WrongTotalSnafu { entries });
    Ok(versions)
}

fn parse_run(run: &str) -> Option<(usize, usize)> {
    let (index, count) = run.split_once(':')?;
    Some((index.parse().ok()?, count.parse().ok()?))
}
