//! Faults of the platform.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// All faults in effect. The default is none.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Whether requests are served at all.
    pub outage: Outage,
    /// Wait before a request is looked at.
    #[serde(with = "humantime_serde")]
    pub request_delay: Duration,
    /// Wait after a request took effect, before its answer.
    #[serde(with = "humantime_serde")]
    pub answer_delay: Duration,
    /// Number of next writes that take effect and whose connection is then cut instead of answered.
    pub lose_write_answers: u32,
    /// What happens to watches.
    pub watch: WatchFault,
    /// Most readers at once; absent: any number.
    pub reader_limit: Option<usize>,
    /// Age of the list of machines that is shown.
    #[serde(with = "humantime_serde")]
    pub machine_list_lag: Duration,
}

/// How the platform is away.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outage {
    /// It is not.
    #[default]
    None,
    /// Each request is answered with 503; nothing changes. Watches are cut.
    Unavailable,
    /// Each request's connection is cut without an answer; nothing changes. Watches are cut.
    Cut,
    /// Requests are taken and never answered; nothing changes. Watches stay open and silent.
    Hang,
}

/// What happens to watches.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WatchFault {
    /// Nothing.
    #[default]
    None,
    /// The connection is cut in the middle of each change's line.
    Split,
    /// Watches stay open and show nothing; what was missed is shown when healed.
    Silent,
}
