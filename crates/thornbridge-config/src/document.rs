//! A TOML document read value by value, so that every problem is found at once and with its line.
//!
//! [`Reader`] collects problems instead of stopping at the first: a value that cannot be used is
//! noted with its key path, and its place in the result is taken by a default. The paths noted
//! are kept, so that checks of meaning say nothing about values that were never read.

use crate::problem::Problem;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;
use toml::Spanned;
use toml::de::{DeTable, DeValue};

/// Longest part of a value that is shown in a problem.
const SHOWN_CHARACTERS: usize = 60;

/// What stands where a key is missing.
const NOTHING: &str = "nothing";

/// One value of the document with its key path.
#[derive(Clone, Debug)]
pub(crate) struct Entry<'a> {
    pub(crate) path: String,
    value: &'a Spanned<DeValue<'a>>,
}

/// One table of the document; `content` is absent where the value is not a table.
#[derive(Clone, Debug)]
pub(crate) struct Table<'a> {
    path: String,
    line: Option<usize>,
    content: Option<&'a DeTable<'a>>,
}

/// Reads values and collects what is wrong with them.
#[derive(Debug)]
pub(crate) struct Reader<'t> {
    text: &'t str,
    line_starts: Vec<usize>,
    places: BTreeMap<String, usize>,
    unusable: BTreeSet<String>,
    problems: Vec<Problem>,
}

impl<'t> Reader<'t> {
    /// A reader of values of this text.
    pub(crate) fn new(text: &'t str) -> Self {
        let breaks = text.bytes().enumerate().filter(|(_, byte)| *byte == b'\n');
        Self {
            text,
            line_starts: breaks.map(|(offset, _)| offset + 1).collect(),
            places: BTreeMap::new(),
            unusable: BTreeSet::new(),
            problems: Vec::new(),
        }
    }

    /// Parses the text. Of what is not TOML, each place that the parser can tell is noted.
    pub(crate) fn parse(&mut self) -> Spanned<DeTable<'t>> {
        let (document, errors) = DeTable::parse_recoverable(self.text);
        for error in errors {
            let span = error.span();
            let found = span
                .clone()
                .map_or_else(|| "the document".to_owned(), |span| self.shown(span));
            let problem = Problem {
                line: span.map(|span| self.line_of(span.start)),
                path: String::new(),
                found,
                expected: format!("valid TOML: {}", error.message().replace('\n', ", ")),
            };
            self.problems.push(problem);
        }
        document
    }

    /// Problems so far.
    pub(crate) fn into_problems(self) -> Vec<Problem> {
        self.problems
    }

    /// Whether the text was found to be wrong anywhere.
    pub(crate) fn has_problems(&self) -> bool {
        !self.problems.is_empty()
    }

    /// Whether the value at this path, or one that holds it, could not be read.
    pub(crate) fn is_unusable(&self, path: &str) -> bool {
        let mut ends: Vec<usize> = path.match_indices(['.', '[']).map(|(end, _)| end).collect();
        ends.push(path.len());
        ends.into_iter()
            .any(|end| self.unusable.contains(&path[..end]))
    }

    /// Line of a path, or of the closest one that holds it.
    pub(crate) fn line_at(&self, path: &str) -> Option<usize> {
        let mut path = path;
        loop {
            if let Some(line) = self.places.get(path) {
                return Some(*line);
            }
            let end = path.rfind(['.', '['])?;
            path = &path[..end];
        }
    }

    /// Notes a problem of meaning, whose line is not known yet.
    pub(crate) fn note(&mut self, mut problem: Problem) {
        problem.line = self.line_at(&problem.path);
        self.problems.push(problem);
    }

    /// The whole document as a table of these keys.
    pub(crate) fn root<'a>(&mut self, document: &'a DeTable<'a>, keys: &[&str]) -> Table<'a> {
        let table = Table {
            path: String::new(),
            line: None,
            content: Some(document),
        };
        self.refuse_unknown_keys(&table, keys);
        table
    }

    /// A value as a table of these keys.
    pub(crate) fn table<'a>(&mut self, entry: &Entry<'a>, keys: &[&str]) -> Table<'a> {
        let content = entry.value.get_ref().as_table();
        if content.is_none() {
            self.refuse(entry, &format!("a table with the keys {}", keys.join(", ")));
        }
        let table = Table {
            path: entry.path.clone(),
            line: self.places.get(&entry.path).copied(),
            content,
        };
        self.refuse_unknown_keys(&table, keys);
        table
    }

    /// A key's value; noted as missing where absent.
    pub(crate) fn required<'a>(
        &mut self,
        table: &Table<'a>,
        key: &str,
        expected: &str,
    ) -> Option<Entry<'a>> {
        let found = self.optional(table, key);
        if found.is_none() && table.content.is_some() {
            let path = join(&table.path, key);
            self.unusable.insert(path.clone());
            self.problems.push(Problem {
                line: table.line,
                path,
                found: NOTHING.to_owned(),
                expected: expected.to_owned(),
            });
        }
        found
    }

    /// A key's value, where there is one.
    pub(crate) fn optional<'a>(&mut self, table: &Table<'a>, key: &str) -> Option<Entry<'a>> {
        let value = table.content?.get(key)?;
        let path = join(&table.path, key);
        Some(self.entry(path, value))
    }

    /// The values of an array.
    pub(crate) fn array<'a>(&mut self, entry: &Entry<'a>, expected: &str) -> Vec<Entry<'a>> {
        let Some(values) = entry.value.get_ref().as_array() else {
            self.refuse(entry, expected);
            return Vec::new();
        };
        let numbered = values.iter().enumerate();
        numbered
            .map(|(index, value)| self.entry(format!("{}[{index}]", entry.path), value))
            .collect()
    }

    /// A text.
    pub(crate) fn text(&mut self, entry: &Entry<'_>, expected: &str) -> Option<String> {
        let text = entry.value.get_ref().as_str().map(str::to_owned);
        self.or_refuse(entry, expected, text)
    }

    /// A text of a form that [`FromStr`] knows.
    pub(crate) fn parsed<T: FromStr>(&mut self, entry: &Entry<'_>, expected: &str) -> Option<T> {
        let text = entry.value.get_ref().as_str();
        let parsed = text.and_then(|text| text.parse().ok());
        self.or_refuse(entry, expected, parsed)
    }

    /// An IP address with a port.
    pub(crate) fn address(&mut self, entry: &Entry<'_>) -> Option<SocketAddr> {
        self.parsed(entry, "an IP number and a port, e.g. \"10.0.0.1:8080\"")
    }

    /// A duration with its unit.
    pub(crate) fn duration(&mut self, entry: &Entry<'_>) -> Option<Duration> {
        let text = entry.value.get_ref().as_str();
        let parsed = text.and_then(|text| humantime::parse_duration(text).ok());
        self.or_refuse(entry, "a duration with its unit, e.g. \"40ms\"", parsed)
    }

    /// A whole number within the range of its type.
    pub(crate) fn whole<T: TryFrom<i64>>(
        &mut self,
        entry: &Entry<'_>,
        expected: &str,
    ) -> Option<T> {
        let integer = entry.value.get_ref().as_integer();
        let number = integer
            .and_then(|integer| i64::from_str_radix(integer.as_str(), integer.radix()).ok())
            .and_then(|number| T::try_from(number).ok());
        self.or_refuse(entry, expected, number)
    }

    /// A finite number, written with or without a fraction.
    pub(crate) fn number(&mut self, entry: &Entry<'_>, expected: &str) -> Option<f64> {
        let value = entry.value.get_ref();
        let text = value
            .as_float()
            .map(|float| float.as_str())
            .or_else(|| value.as_integer().map(|integer| integer.as_str()));
        let number = text
            .and_then(|text| text.parse::<f64>().ok())
            .filter(|number| number.is_finite());
        self.or_refuse(entry, expected, number)
    }

    fn or_refuse<T>(&mut self, entry: &Entry<'_>, expected: &str, value: Option<T>) -> Option<T> {
        if value.is_none() {
            self.refuse(entry, expected);
        }
        value
    }

    fn refuse(&mut self, entry: &Entry<'_>, expected: &str) {
        self.unusable.insert(entry.path.clone());
        let span = entry.value.span();
        self.problems.push(Problem {
            line: Some(self.line_of(span.start)),
            path: entry.path.clone(),
            found: self.shown(span),
            expected: expected.to_owned(),
        });
    }

    fn refuse_unknown_keys(&mut self, table: &Table<'_>, keys: &[&str]) {
        for (key, _) in table.content.into_iter().flatten() {
            let name = key.get_ref().as_ref();
            if !keys.contains(&name) {
                self.problems.push(Problem {
                    line: Some(self.line_of(key.span().start)),
                    path: join(&table.path, name),
                    found: format!("the unknown key {name:?}"),
                    expected: format!("one of {}", keys.join(", ")),
                });
            }
        }
    }

    fn entry<'a>(&mut self, path: String, value: &'a Spanned<DeValue<'a>>) -> Entry<'a> {
        let line = self.line_of(value.span().start);
        self.places.insert(path.clone(), line);
        Entry { path, value }
    }

    fn line_of(&self, offset: usize) -> usize {
        1 + self.line_starts.partition_point(|start| *start <= offset)
    }

    /// The text of a span, as far as its first line and a limit go.
    fn shown(&self, span: std::ops::Range<usize>) -> String {
        let text = self.text.get(span).unwrap_or_default();
        let first_line = text.lines().next().unwrap_or_default();
        let shown: String = first_line.chars().take(SHOWN_CHARACTERS).collect();
        if shown.len() < text.len() {
            shown + "..."
        } else {
            shown
        }
    }
}

fn join(path: &str, key: &str) -> String {
    if path.is_empty() {
        key.to_owned()
    } else {
        format!("{path}.{key}")
    }
}
