//! Percentiles, medians and spreads.

use serde::Serialize;
use std::fmt;

/// The smallest value that a share of all values does not exceed; 0 where there are none.
pub fn percentile(sorted: &[u32], share: f64) -> u32 {
    if sorted.is_empty() {
        return 0;
    }
    let rank = (share * sorted.len() as f64).ceil() as usize;
    sorted[rank.clamp(1, sorted.len()) - 1]
}

/// Median, least and greatest of a figure over several seeds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Spread {
    /// Median.
    pub median: f64,
    /// Least.
    pub least: f64,
    /// Greatest.
    pub greatest: f64,
}

impl Spread {
    /// The spread of some values.
    pub fn of(values: &[f64]) -> Self {
        let mut sorted = values.to_vec();
        sorted.sort_by(f64::total_cmp);
        let (Some(least), Some(greatest)) = (sorted.first(), sorted.last()) else {
            return Self::default();
        };
        let middle = sorted.len() / 2;
        let median = if sorted.len().is_multiple_of(2) {
            (sorted[middle - 1] + sorted[middle]) / 2.0
        } else {
            sorted[middle]
        };
        Self {
            median,
            least: *least,
            greatest: *greatest,
        }
    }
}

impl fmt::Display for Spread {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            median,
            least,
            greatest,
        } = self;
        write!(formatter, "{median:.4} [{least:.4}, {greatest:.4}]")
    }
}
