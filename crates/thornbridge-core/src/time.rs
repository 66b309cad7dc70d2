//! Monotonic timestamps.

use serde::{Deserialize, Serialize};
use std::ops::{Add, Sub};
use std::time::Duration;

/// Monotonic time since an epoch chosen by the driver. Not comparable with wall-clock time or with
/// timestamps of other nodes.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Timestamp(Duration);

impl Timestamp {
    /// The epoch.
    pub const ZERO: Self = Self(Duration::ZERO);
    /// Later than any event.
    pub const MAX: Self = Self(Duration::MAX);

    /// Creates a timestamp from the time since the epoch.
    pub const fn from_epoch(since: Duration) -> Self {
        Self(since)
    }

    /// Time since the epoch.
    pub const fn since_epoch(self) -> Duration {
        self.0
    }

    /// Time since `earlier`; zero if `earlier` is later than `self`.
    pub fn since(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }
}

impl Add<Duration> for Timestamp {
    type Output = Self;

    fn add(self, rhs: Duration) -> Self {
        Self(self.0.saturating_add(rhs))
    }
}

impl Sub<Duration> for Timestamp {
    type Output = Self;

    fn sub(self, rhs: Duration) -> Self {
        Self(self.0.saturating_sub(rhs))
    }
}
