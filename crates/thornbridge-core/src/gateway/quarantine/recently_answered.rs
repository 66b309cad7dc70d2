//! Requests that were answered recently.
//!
//! When all servers of a service stop at once, every broken connection may carry the same popular
//! request. A recent answer shows that the request did not cause these failures.

use crate::time::Timestamp;
use std::collections::BTreeMap;
use std::time::Duration;
use thornbridge_proto::fingerprint::Fingerprint;

/// Maximum number of requests per generation; bounds the memory to about 0.1 MB.
const MAX_REQUESTS_PER_GENERATION: usize = 2_048;

/// Answered requests in two generations; rotation drops the older one.
#[derive(Debug, Default)]
pub(super) struct RecentlyAnswered {
    current: BTreeMap<Fingerprint, Timestamp>,
    previous: BTreeMap<Fingerprint, Timestamp>,
    rotated_at: Timestamp,
}

impl RecentlyAnswered {
    /// Records that a server answered a request.
    pub(super) fn add(&mut self, now: Timestamp, fingerprint: Fingerprint, lifetime: Duration) {
        let full = self.current.len() >= MAX_REQUESTS_PER_GENERATION;
        if full || now.since(self.rotated_at) >= lifetime {
            self.previous = std::mem::take(&mut self.current);
            self.rotated_at = now;
        }
        self.current.insert(fingerprint, now);
    }

    /// Whether a server answered the request within `lifetime` before `now`.
    pub(super) fn contains(
        &self,
        now: Timestamp,
        fingerprint: Fingerprint,
        lifetime: Duration,
    ) -> bool {
        let mut generations = [&self.current, &self.previous].into_iter();
        let answered = generations.find_map(|requests| requests.get(&fingerprint));
        answered.is_some_and(|answered| now.since(*answered) < lifetime)
    }
}
