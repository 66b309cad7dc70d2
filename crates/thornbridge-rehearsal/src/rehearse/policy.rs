//! Policies as data: tunable values of the core.

use snafu::{ResultExt, Snafu};
use std::convert::Infallible;
use std::fmt;
use std::path::PathBuf;
use std::str::FromStr;
use thornbridge_core::Parameters;
use thornbridge_core::query::QueryParameters;
use thornbridge_core::routing::BalancerPolicy;

/// Which tunable values the nodes get.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Policy {
    /// The defaults.
    Thornbridge,
    /// Random replica, no hedging, wait for all shards, fixed retries.
    Baseline,
    /// Values of a TOML file; those that it leaves out are the defaults.
    File(PathBuf),
}

/// A policy cannot be used.
#[derive(Debug, Snafu)]
pub enum PolicyError {
    /// The file cannot be read.
    #[snafu(display("cannot read policy {path}"))]
    ReadPolicy {
        /// Its path.
        path: String,
        /// Cause.
        source: std::io::Error,
    },
    /// Not tunable values.
    #[snafu(display("policy {path}: {source}"))]
    MalformedPolicy {
        /// Its path.
        path: String,
        /// Cause, with line and column.
        source: toml::de::Error,
    },
}

impl Policy {
    /// The tunable values.
    pub fn parameters(&self) -> Result<Parameters, PolicyError> {
        match self {
            Self::Thornbridge => Ok(Parameters::default()),
            Self::Baseline => Ok(baseline()),
            Self::File(path) => {
                let name = path.display().to_string();
                let text =
                    std::fs::read_to_string(path).context(ReadPolicySnafu { path: &name })?;
                toml::from_str(&text).context(MalformedPolicySnafu { path: name })
            }
        }
    }
}

/// Random replica without ejection, no hedging, wait for all shards, fixed retries.
fn baseline() -> Parameters {
    let mut parameters = Parameters {
        query: QueryParameters::baseline(),
        ..Parameters::default()
    };
    parameters.routing.balancer.policy = BalancerPolicy::Random;
    parameters.routing.outlier.greatest_share = 0.0;
    parameters
}

impl fmt::Display for Policy {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Thornbridge => formatter.write_str("thornbridge"),
            Self::Baseline => formatter.write_str("baseline"),
            Self::File(path) => path.display().fmt(formatter),
        }
    }
}

impl FromStr for Policy {
    type Err = Infallible;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Ok(match text {
            "thornbridge" => Self::Thornbridge,
            "baseline" => Self::Baseline,
            path => Self::File(PathBuf::from(path)),
        })
    }
}
