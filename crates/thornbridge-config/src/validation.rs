//! What bundles and settings must mean: every error at once, each with key path, value and what
//! would be right.

mod bundle_checks;
mod connection_budget;
mod service_checks;
mod settings_checks;

use crate::bundle::Bundle;
use crate::problem::Problem;
use crate::settings::NodeSettings;
use std::collections::BTreeMap;
use std::time::Duration;
use thornbridge_proto::limits::CALLER_TIMEOUT;

pub use connection_budget::{CONNECTION_RESERVE, connections_given_out};

/// Longest name: it fits a header and a path with room to spare.
pub const NAME_BYTES: usize = 64;

/// Longest hard deadline: the longest that a caller may ask for.
pub const MAXIMUM_DEADLINE: Duration = CALLER_TIMEOUT;

/// Highest priority.
pub const MAXIMUM_PRIORITY: u8 = 9;

/// Most shards of one layout. A query goes to all of them.
pub const MAXIMUM_SHARDS: usize = 4_096;

/// Everything that is wrong with a bundle that is well formed. Lines are not known here.
pub fn bundle_problems(bundle: &Bundle) -> Vec<Problem> {
    let findings = bundle_findings(bundle).into_iter();
    findings.map(|finding| finding.problem).collect()
}

/// Everything that is wrong with settings that are well formed. Lines are not known here.
pub fn settings_problems(settings: &NodeSettings) -> Vec<Problem> {
    let findings = settings_findings(settings).into_iter();
    findings.map(|finding| finding.problem).collect()
}

/// A problem, and the other values that it rests on.
#[derive(Clone, Debug)]
pub(crate) struct Finding {
    /// The problem.
    pub(crate) problem: Problem,
    /// Key paths of the other values compared. Where one could not be read, nothing was found.
    pub(crate) rests_on: Vec<String>,
}

pub(crate) fn bundle_findings(bundle: &Bundle) -> Vec<Finding> {
    let mut findings = Findings::default();
    bundle_checks::check(bundle, &mut findings);
    findings.list
}

pub(crate) fn settings_findings(settings: &NodeSettings) -> Vec<Finding> {
    let mut findings = Findings::default();
    settings_checks::check(settings, &mut findings);
    findings.list
}

/// Collects findings.
#[derive(Debug, Default)]
struct Findings {
    list: Vec<Finding>,
}

impl Findings {
    /// Notes a problem with one value.
    fn add(&mut self, path: String, found: impl ToString, expected: impl ToString) {
        self.add_resting_on(path, found, expected, Vec::new());
    }

    /// Notes a problem with one value in the light of others.
    fn add_resting_on(
        &mut self,
        path: String,
        found: impl ToString,
        expected: impl ToString,
        rests_on: Vec<String>,
    ) {
        let problem = Problem {
            line: None,
            path,
            found: found.to_string(),
            expected: expected.to_string(),
        };
        self.list.push(Finding { problem, rests_on });
    }

    /// A name travels in paths and headers, so that it holds only characters that need no escape.
    fn check_name(&mut self, path: String, name: &str) {
        let plain = |byte: u8| byte.is_ascii_alphanumeric() || b"-._~".contains(&byte);
        let fits = !name.is_empty() && name.len() <= NAME_BYTES && !name.starts_with('.');
        if !fits || !name.bytes().all(plain) {
            let expected = format!(
                "1 to {NAME_BYTES} ASCII letters, digits, '-', '_', '~' or '.', not beginning with '.'"
            );
            self.add(path, format!("{name:?}"), expected);
        }
    }

    /// An address that something can be reached at.
    fn check_address(&mut self, path: String, address: std::net::SocketAddr) {
        let ip = address.ip();
        if ip.is_unspecified() || ip.is_multicast() || address.port() == 0 {
            self.add(
                path,
                address,
                "the address of one machine and a port from 1",
            );
        }
    }

    /// A number from 0 to 1.
    fn check_fraction(&mut self, path: String, fraction: f64) {
        if !(0.0..=1.0).contains(&fraction) {
            self.add(path, fraction, "a number from 0 to 1");
        }
    }
}

/// Values that may stand once, with the path at which each was seen first.
#[derive(Debug)]
struct Unique<T> {
    seen: BTreeMap<T, String>,
}

impl<T: Ord + Clone + ToString> Unique<T> {
    fn new() -> Self {
        Self {
            seen: BTreeMap::new(),
        }
    }

    /// Notes a value that was seen before.
    fn check(&mut self, findings: &mut Findings, path: String, value: &T) {
        match self.seen.get(value) {
            None => {
                self.seen.insert(value.clone(), path);
            }
            Some(first) => findings.add_resting_on(
                path,
                value.to_string(),
                format!("another value than {first}"),
                vec![first.clone()],
            ),
        }
    }
}
