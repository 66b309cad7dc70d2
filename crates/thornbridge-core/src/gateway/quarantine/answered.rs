//! Requests that servers answered lately.
//!
//! Guards against a request that many callers send being taken for one that crashes servers when all
//! servers of a service end at one moment: each connection that breaks then carries it.

use crate::time::Timestamp;
use std::collections::BTreeMap;
use std::time::Duration;
use thornbridge_proto::fingerprint::Fingerprint;

/// Requests of one generation at most: about 0.1 MB.
const REQUESTS_MAXIMUM: usize = 2_048;

/// Two generations, of which the older one is dropped as a whole.
#[derive(Debug, Default)]
pub(super) struct AnsweredLately {
    young: BTreeMap<Fingerprint, Timestamp>,
    old: BTreeMap<Fingerprint, Timestamp>,
    turned: Timestamp,
}

impl AnsweredLately {
    /// A server answered a request.
    pub(super) fn add(&mut self, now: Timestamp, fingerprint: Fingerprint, lifetime: Duration) {
        let full = self.young.len() >= REQUESTS_MAXIMUM;
        if full || now.since(self.turned) >= lifetime {
            self.old = std::mem::take(&mut self.young);
            self.turned = now;
        }
        self.young.insert(fingerprint, now);
    }

    /// Whether one did within this time.
    pub(super) fn contains(
        &self,
        now: Timestamp,
        fingerprint: Fingerprint,
        lifetime: Duration,
    ) -> bool {
        let mut generations = [&self.young, &self.old].into_iter();
        let answered = generations.find_map(|requests| requests.get(&fingerprint));
        answered.is_some_and(|answered| now.since(*answered) < lifetime)
    }
}
