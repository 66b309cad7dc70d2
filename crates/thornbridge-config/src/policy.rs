//! A policy file: tunable values in TOML that replace defaults.
//!
//! The file has the tables of the values that it changes; what it leaves out stays. Times are
//! numbers of milliseconds under a name that ends in `_ms`. Every problem is told at once: names
//! that do not exist, and values of another kind.

use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::Snafu;
use toml::{Table, Value};

/// Ending of the names of times.
const MILLISECONDS: &str = "_ms";
/// Nanoseconds of a millisecond.
const NANOS_PER_MS: f64 = 1e6;
/// Nanoseconds of a second.
const NANOS_PER_SECOND: u64 = 1_000_000_000;

/// A policy cannot be used.
#[derive(Debug, Snafu)]
pub enum PolicyError {
    /// It is no TOML.
    #[snafu(display("not TOML: {source}"), context(false))]
    Malformed {
        /// Where and why.
        source: toml::de::Error,
    },
    /// Names or values that cannot be used.
    #[snafu(display("{}", problems.join("; ")))]
    Unusable {
        /// Every problem, by the path of its name.
        problems: Vec<String>,
    },
    /// The values that it is laid over cannot be written as TOML.
    #[snafu(display("tunable values: {source}"), context(false))]
    Values {
        /// Cause.
        source: toml::ser::Error,
    },
}

/// The values with those of the policy in their place.
pub fn apply<T: Serialize + DeserializeOwned>(values: &T, policy: &str) -> Result<T, PolicyError> {
    let policy: Table = toml::from_str(policy)?;
    let mut changed = Table::try_from(values)?;
    let mut problems = Vec::new();
    overlay(&mut changed, &policy, "", &mut problems);
    if !problems.is_empty() {
        return UnusableSnafu { problems }.fail();
    }
    Ok(Value::Table(changed).try_into()?)
}

fn overlay(values: &mut Table, policy: &Table, path: &str, problems: &mut Vec<String>) {
    for (name, new) in policy {
        let path = format!("{path}{name}");
        let time = name.strip_suffix(MILLISECONDS);
        let known = values.contains_key(name);
        let plain = time.filter(|_| !known).unwrap_or(name);
        match (values.get_mut(plain), new) {
            (None, _) => problems.push(format!("{path}: no such value")),
            (Some(Value::Table(old)), _) if is_time(old) => match milliseconds(new) {
                Some(time) if plain != name => *old = time,
                _ => problems.push(format!("{path}: a time is a number under NAME_ms")),
            },
            (Some(Value::Table(old)), Value::Table(new)) => {
                overlay(old, new, &format!("{path}."), problems);
            }
            (Some(Value::Float(old)), Value::Integer(new)) => *old = *new as f64,
            (Some(old), new) if old.same_type(new) => *old = new.clone(),
            (Some(old), _) => {
                problems.push(format!("{path}: expected {}", old.type_str()));
            }
        }
    }
}

fn is_time(table: &Table) -> bool {
    table.len() == 2 && table.contains_key("secs") && table.contains_key("nanos")
}

/// A time as it is serialized.
fn milliseconds(value: &Value) -> Option<Table> {
    let millis = match value {
        Value::Integer(millis) => *millis as f64,
        Value::Float(millis) => *millis,
        _ => return None,
    };
    if !millis.is_finite() || millis < 0.0 {
        return None;
    }
    let nanos = (millis * NANOS_PER_MS) as u64;
    let part = |nanos: u64| Value::Integer(nanos as i64);
    Some(Table::from_iter([
        ("secs".to_owned(), part(nanos / NANOS_PER_SECOND)),
        ("nanos".to_owned(), part(nanos % NANOS_PER_SECOND)),
    ]))
}
