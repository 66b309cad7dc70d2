//! What is wrong with a file of the operator's: every problem at once, each with its place.

use serde::Serialize;
use std::fmt;
use std::path::{Path, PathBuf};

/// One thing that is wrong.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Problem {
    /// Line in the file, from 1, where known.
    pub line: Option<usize>,
    /// Key path, e.g. `services[0].completeness.target`; empty for the whole file.
    pub path: String,
    /// The value found, as it may be written.
    pub found: String,
    /// What would be right.
    pub expected: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if !self.path.is_empty() {
            write!(formatter, "{}: ", self.path)?;
        }
        write!(
            formatter,
            "found {}; expected {}",
            self.found, self.expected
        )
    }
}

/// A file that cannot be used, with everything that is wrong with it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct InvalidFile {
    /// The file.
    pub file: PathBuf,
    /// What is wrong, in the order of the file. Never empty.
    pub problems: Vec<Problem>,
}

impl InvalidFile {
    /// Names the file of a list of problems.
    pub fn new(file: &Path, problems: Vec<Problem>) -> Self {
        Self {
            file: file.to_owned(),
            problems,
        }
    }
}

impl fmt::Display for InvalidFile {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, problem) in self.problems.iter().enumerate() {
            if index > 0 {
                formatter.write_str("\n")?;
            }
            write!(formatter, "{}", self.file.display())?;
            if let Some(line) = problem.line {
                write!(formatter, ":{line}")?;
            }
            write!(formatter, ": {problem}")?;
        }
        Ok(())
    }
}

impl std::error::Error for InvalidFile {}
