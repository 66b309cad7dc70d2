//! Results on standard output, as text or JSON; the log has the same two forms.

use crate::error::{CommandError, OutputSnafu};
use serde::Serialize;
use snafu::ResultExt;
use std::io::Write;
use std::str::FromStr;

/// How a result or a line of the log is written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Format {
    /// For people.
    #[default]
    Text,
    /// One JSON value, of the log one a line.
    Json,
}

impl FromStr for Format {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            other => Err(format!("found {other:?}; expected text or json")),
        }
    }
}

/// Prints a result: as JSON, or as the text that `text` makes of it.
pub fn print<T: Serialize>(
    format: Format,
    value: &T,
    text: impl FnOnce(&T) -> String,
) -> Result<(), CommandError> {
    let shown = match format {
        Format::Text => text(value),
        Format::Json => serde_json::to_string_pretty(value)
            .map_err(std::io::Error::from)
            .context(OutputSnafu { what: "the result" })?,
    };
    let mut output = std::io::stdout().lock();
    writeln!(output, "{}", shown.trim_end()).context(OutputSnafu { what: "the result" })
}

/// Columns of text, each as wide as its widest cell.
#[derive(Clone, Debug)]
pub struct Table {
    rows: Vec<Vec<String>>,
}

/// Between two columns.
const COLUMN_GAP: &str = "  ";

impl Table {
    /// A table with this header.
    pub fn new(header: &[&str]) -> Self {
        let header = header.iter().map(|cell| (*cell).to_owned()).collect();
        Self { rows: vec![header] }
    }

    /// Adds a row; it may be shorter than the header.
    pub fn row(&mut self, cells: Vec<String>) {
        self.rows.push(cells);
    }

    fn width(&self, column: usize) -> usize {
        let cells = self.rows.iter().filter_map(|row| row.get(column));
        cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
    }
}

impl std::fmt::Display for Table {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        for row in &self.rows {
            let last = row.len().saturating_sub(1);
            for (column, cell) in row.iter().enumerate() {
                if column == last {
                    writeln!(formatter, "{cell}")?;
                } else {
                    write!(
                        formatter,
                        "{cell:width$}{COLUMN_GAP}",
                        width = self.width(column)
                    )?;
                }
            }
        }
        Ok(())
    }
}
