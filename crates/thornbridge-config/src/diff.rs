//! What differs between two bundles: services, back ends, layouts, snapshots and their fields.
//!
//! Elements of lists are matched by their name or id, so that a file in another order does not
//! differ. Shards are matched by their number, which is their identity.

use crate::bundle::Bundle;
use crate::canonical::{CanonicalError, SectionSet};
use serde::Serialize;
use serde_json::{Map, Value};
use snafu::Snafu;
use std::collections::BTreeSet;
use std::fmt;

/// Keys that name an element of a list, in the order of preference.
const IDENTITY_KEYS: [&str; 2] = ["name", "id"];

/// One difference.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Difference {
    /// Key path; elements are named by their name or id, e.g.
    /// `services[roster-desk].back_ends[roster-desk-0-0].slots`.
    pub path: String,
    /// Value in the first bundle; absent where it was added.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub before: Option<Value>,
    /// Value in the second bundle; absent where it was removed.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub after: Option<Value>,
}

impl fmt::Display for Difference {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let path = &self.path;
        match (&self.before, &self.after) {
            (Some(before), Some(after)) => write!(formatter, "~ {path}: {before} -> {after}"),
            (Some(before), None) => write!(formatter, "- {path}: {before}"),
            (None, Some(after)) => write!(formatter, "+ {path}: {after}"),
            (None, None) => write!(formatter, "  {path}"),
        }
    }
}

/// Two bundles cannot be compared.
#[derive(Debug, Snafu)]
pub enum DiffError {
    /// One has no canonical form.
    #[snafu(display("a bundle has no canonical form"), context(false))]
    Canonical {
        /// Cause.
        source: CanonicalError,
    },
    /// One cannot be written as JSON.
    #[snafu(display("a bundle cannot be written as JSON"), context(false))]
    Json {
        /// Cause.
        source: serde_json::Error,
    },
}

/// All differences between two bundles, by path.
pub fn differences(before: &Bundle, after: &Bundle) -> Result<Vec<Difference>, DiffError> {
    let before = canonical_value(before)?;
    let after = canonical_value(after)?;
    let mut found = Vec::new();
    compare(String::new(), Some(&before), Some(&after), &mut found);
    Ok(found)
}

fn canonical_value(bundle: &Bundle) -> Result<Value, DiffError> {
    let bundle = SectionSet::of(bundle)?.assemble()?;
    Ok(serde_json::to_value(bundle)?)
}

fn compare(
    path: String,
    before: Option<&Value>,
    after: Option<&Value>,
    found: &mut Vec<Difference>,
) {
    if before == after {
        return;
    }
    match (before, after) {
        (Some(Value::Object(before)), Some(Value::Object(after))) => {
            compare_tables(&path, before, after, found);
        }
        (Some(Value::Array(before)), Some(Value::Array(after))) => {
            compare_lists(&path, before, after, found);
        }
        _ => found.push(Difference {
            path,
            before: before.cloned(),
            after: after.cloned(),
        }),
    }
}

fn compare_tables(
    path: &str,
    before: &Map<String, Value>,
    after: &Map<String, Value>,
    found: &mut Vec<Difference>,
) {
    let keys: BTreeSet<&String> = before.keys().chain(after.keys()).collect();
    for key in keys {
        let path = if path.is_empty() {
            key.clone()
        } else {
            format!("{path}.{key}")
        };
        compare(path, before.get(key), after.get(key), found);
    }
}

fn compare_lists(path: &str, before: &[Value], after: &[Value], found: &mut Vec<Difference>) {
    let before_names = names(before);
    let after_names = names(after);
    let added = after_names
        .iter()
        .filter(|name| !before_names.contains(name));
    for name in before_names.iter().chain(added) {
        let element = |names: &[String], values: &'_ [Value]| {
            let index = names.iter().position(|one| one == name)?;
            values.get(index).cloned()
        };
        let element_before = element(&before_names, before);
        let element_after = element(&after_names, after);
        let path = format!("{path}[{name}]");
        compare(path, element_before.as_ref(), element_after.as_ref(), found);
    }
    note_order(path, &before_names, &after_names, found);
}

/// The same elements in another order differ: snapshots stand newest first.
fn note_order(path: &str, before: &[String], after: &[String], found: &mut Vec<Difference>) {
    let kept_before: Vec<&String> = before.iter().filter(|name| after.contains(name)).collect();
    let kept_after: Vec<&String> = after.iter().filter(|name| before.contains(name)).collect();
    if kept_before != kept_after {
        found.push(Difference {
            path: format!("{path} (order)"),
            before: Some(before.into()),
            after: Some(after.into()),
        });
    }
}

fn names(values: &[Value]) -> Vec<String> {
    let numbered = values.iter().enumerate();
    numbered.map(|(index, value)| name(index, value)).collect()
}

/// The name of an element: its name or id, a text itself, or its number.
fn name(index: usize, value: &Value) -> String {
    let named = IDENTITY_KEYS
        .iter()
        .find_map(|key| value.get(key)?.as_str());
    let named = named.or_else(|| value.as_str());
    named.map_or_else(|| index.to_string(), str::to_owned)
}
