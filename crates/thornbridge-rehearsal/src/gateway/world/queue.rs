//! Occurrences in order of time.

use super::Occurrence;
use thornbridge_core::Timestamp;

/// An occurrence that waits for its time; those of one time keep the order in which they came.
#[derive(Debug)]
pub(super) struct Waiting {
    pub(super) at: Timestamp,
    pub(super) sequence: u64,
    pub(super) occurrence: Occurrence,
}

impl PartialEq for Waiting {
    fn eq(&self, other: &Self) -> bool {
        self.sequence == other.sequence
    }
}

impl Eq for Waiting {}

impl PartialOrd for Waiting {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Waiting {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}
