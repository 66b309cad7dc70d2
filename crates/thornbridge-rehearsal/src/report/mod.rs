//! A rehearsal as a page: one HTML file with plots beside it as SVG.
//!
//! `index.html` shows the tables of the report and three kinds of plots: latency of each service as
//! a cumulative distribution with the lower bound's p99, coverage over time, load of each back end.

mod page;
mod plots;
#[cfg(test)]
mod tests;

use crate::rehearse::RehearsalReport;
use plots::PlotError;
use snafu::{ResultExt, Snafu};
use std::path::{Path, PathBuf};

/// Name of the page.
pub const PAGE_FILE: &str = "index.html";

/// A page could not be written.
#[derive(Debug, Snafu)]
pub enum ReportError {
    /// The directory cannot be made.
    #[snafu(display("cannot make the directory {}", path.display()))]
    MakeDirectory {
        /// Its path.
        path: PathBuf,
        /// Cause.
        source: std::io::Error,
    },
    /// A file cannot be written.
    #[snafu(display("cannot write {}", path.display()))]
    WriteFile {
        /// Its path.
        path: PathBuf,
        /// Cause.
        source: std::io::Error,
    },
    /// A plot cannot be drawn.
    #[snafu(display("cannot draw {name}"))]
    Draw {
        /// Its file's name.
        name: String,
        /// Cause.
        source: PlotError,
    },
}

/// One file of a report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReportFile {
    /// Name in the report's directory.
    pub name: String,
    /// Text.
    pub text: String,
}

/// Writes the page and its plots into a directory, which is made where absent.
pub fn write(report: &RehearsalReport, directory: &Path) -> Result<(), ReportError> {
    std::fs::create_dir_all(directory).context(MakeDirectorySnafu { path: directory })?;
    for file in render(report)? {
        let path = directory.join(&file.name);
        std::fs::write(&path, &file.text).context(WriteFileSnafu { path })?;
    }
    Ok(())
}

/// The files of a report.
pub fn render(report: &RehearsalReport) -> Result<Vec<ReportFile>, ReportError> {
    let mut files = Vec::new();
    for (service, series) in &report.series.services {
        let bound = report.oracle_lower_bound.get(service);
        let latency = plots::latency(
            service,
            &series.latencies_ms,
            bound.map(|bound| bound.p99_ms),
        );
        files.push(plot(page::latency_file(service), latency)?);
        if !series.coverage_over_time.is_empty() {
            let coverage = plots::coverage(service, &series.coverage_over_time);
            files.push(plot(page::coverage_file(service), coverage)?);
        }
    }
    let load = plots::back_end_load(&report.series.back_ends);
    files.push(plot(page::LOAD_FILE.to_owned(), load)?);
    let names: Vec<&str> = files.iter().map(|file| file.name.as_str()).collect();
    let text = page::html(report, &names);
    files.push(ReportFile {
        name: PAGE_FILE.to_owned(),
        text,
    });
    Ok(files)
}

fn plot(name: String, drawn: Result<String, PlotError>) -> Result<ReportFile, ReportError> {
    let text = drawn.context(DrawSnafu { name: &name })?;
    Ok(ReportFile { name, text })
}
