//! Claims stored by one member of the claim group.

use super::parameters::ActionParameters;
use crate::time::Timestamp;
use std::collections::{BTreeMap, VecDeque};
use std::ops::Bound;
use std::time::Duration;
use thornbridge_proto::Digest;
use thornbridge_proto::peer::action::{ActionEnd, Claim, ClaimId, ClaimRecord, ClaimVerdict};

/// Maximum entries that a full table examines for eviction before it refuses a claim.
const MAX_EVICTION_SCAN: usize = 16;

#[derive(Clone, Debug)]
struct ClaimEntry {
    claim: Claim,
    /// Other claims on the key, received in handovers. One of them may have won, so the key is
    /// granted to nobody until only one claim is left.
    rivals: Vec<Claim>,
    end: Option<ActionEnd>,
    granted_at: Timestamp,
}

/// Claims by key, bounded. When full, evicts ended claims older than the minimum retention, and
/// refuses new claims if there are none.
#[derive(Debug)]
pub(super) struct ClaimTable {
    capacity: usize,
    retention: Duration,
    least_retention: Duration,
    entries: BTreeMap<Digest, ClaimEntry>,
    /// Keys in the order of their grants; keys whose claim was removed or granted again are
    /// skipped.
    by_grant_time: VecDeque<(Timestamp, Digest)>,
}

/// One page of claim records.
pub(super) struct TablePage {
    pub(super) records: Vec<ClaimRecord>,
    pub(super) last: bool,
}

impl ClaimTable {
    pub(super) fn new(parameters: &ActionParameters) -> Self {
        Self {
            capacity: parameters.maximum_claims,
            retention: parameters.retention,
            least_retention: parameters.least_retention,
            entries: BTreeMap::new(),
            by_grant_time: VecDeque::new(),
        }
    }

    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Grants a key to the first claim on it. Repeats of that claim are granted again.
    pub(super) fn claim(&mut self, now: Timestamp, claim: Claim) -> ClaimVerdict {
        self.remove_expired(now);
        if let Some(entry) = self.entries.get(&claim.key) {
            return entry.verdict(&claim);
        }
        if self.entries.len() >= self.capacity && !self.evict_oldest_ended(now) {
            return ClaimVerdict::Full;
        }
        self.insert(now, claim, None);
        ClaimVerdict::Granted
    }

    /// Removes a claim that did not run and never will.
    pub(super) fn release(&mut self, key: &Digest, claim: ClaimId) {
        let Some(entry) = self
            .entries
            .get_mut(key)
            .filter(|entry| entry.end.is_none())
        else {
            return;
        };
        entry.rivals.retain(|rival| rival.id != claim);
        if entry.claim.id != claim {
            return;
        }
        match entry.rivals.pop() {
            Some(rival) => entry.claim = rival,
            None => {
                self.entries.remove(key);
            }
        }
    }

    /// Records the end of a claim. Only a claim that won can end, so it replaces any other claim.
    pub(super) fn record_end(&mut self, now: Timestamp, claim: Claim, end: ActionEnd) {
        match self.entries.get_mut(&claim.key) {
            Some(entry) => entry.set_end(claim, end),
            None => self.insert(now, claim, Some(end)),
        }
    }

    /// Merges a record from another member's table.
    pub(super) fn merge_record(&mut self, now: Timestamp, record: ClaimRecord) {
        let granted_at = now - record.age;
        let Some(entry) = self.entries.get_mut(&record.claim.key) else {
            return self.insert(granted_at, record.claim, record.end);
        };
        entry.granted_at = entry.granted_at.max(granted_at);
        match record.end {
            Some(end) => entry.set_end(record.claim, end),
            None => entry.add_rival(record.claim),
        }
    }

    fn insert(&mut self, granted_at: Timestamp, claim: Claim, end: Option<ActionEnd>) {
        self.by_grant_time.push_back((granted_at, claim.key));
        let entry = ClaimEntry {
            claim,
            rivals: Vec::new(),
            end,
            granted_at,
        };
        self.entries.insert(entry.claim.key, entry);
    }

    fn remove_expired(&mut self, now: Timestamp) {
        while let Some((granted_at, key)) = self.by_grant_time.front().copied() {
            if granted_at + self.retention > now {
                return;
            }
            self.by_grant_time.pop_front();
            let Some(entry) = self.entries.get(&key) else {
                continue;
            };
            if entry.granted_at + self.retention <= now {
                self.entries.remove(&key);
            } else {
                self.by_grant_time.push_back((entry.granted_at, key));
            }
        }
    }

    /// Removes the oldest ended claim past the minimum retention; false if the entries examined
    /// include none.
    fn evict_oldest_ended(&mut self, now: Timestamp) -> bool {
        for _ in 0..MAX_EVICTION_SCAN {
            let Some((granted_at, key)) = self.by_grant_time.front().copied() else {
                return false;
            };
            if granted_at + self.least_retention > now {
                return false;
            }
            self.by_grant_time.pop_front();
            match self.entries.get(&key) {
                None => {}
                Some(entry) if entry.end.is_some() && entry.granted_at <= granted_at => {
                    self.entries.remove(&key);
                    return true;
                }
                // Not ended: moved to the back of the queue.
                Some(_) => self.by_grant_time.push_back((now, key)),
            }
        }
        false
    }

    /// Up to `limit` entries after a key, in key order.
    pub(super) fn page(&self, now: Timestamp, after: Option<Digest>, limit: usize) -> TablePage {
        let start = after.map_or(Bound::Unbounded, Bound::Excluded);
        let mut rest = self.entries.range((start, Bound::Unbounded));
        let mut records = Vec::new();
        for (_, entry) in rest.by_ref().take(limit) {
            records.extend(entry.records(now));
        }
        TablePage {
            records,
            last: rest.next().is_none(),
        }
    }
}

impl ClaimEntry {
    fn verdict(&self, claim: &Claim) -> ClaimVerdict {
        let other = std::iter::once(&self.claim)
            .chain(&self.rivals)
            .find(|entry| entry.id != claim.id);
        match (other, &self.end) {
            (None, None) => ClaimVerdict::Granted,
            (None, Some(_)) => self.held_verdict(&self.claim),
            (Some(_), Some(_)) => self.held_verdict(&self.claim),
            (Some(other), None) => self.held_verdict(other),
        }
    }

    fn held_verdict(&self, claim: &Claim) -> ClaimVerdict {
        ClaimVerdict::Held {
            claim: claim.clone(),
            end: self.end.clone(),
        }
    }

    fn set_end(&mut self, claim: Claim, end: ActionEnd) {
        if self.end.is_some() {
            return;
        }
        self.claim = claim;
        self.rivals = Vec::new();
        self.end = Some(end);
    }

    fn add_rival(&mut self, claim: Claim) {
        let is_known = self.claim.id == claim.id || self.rivals.iter().any(|it| it.id == claim.id);
        if self.end.is_none() && !is_known {
            self.rivals.push(claim);
        }
    }

    fn records(&self, now: Timestamp) -> impl Iterator<Item = ClaimRecord> {
        let age = now.since(self.granted_at);
        let first = ClaimRecord {
            claim: self.claim.clone(),
            end: self.end.clone(),
            age,
        };
        let rivals = self.rivals.iter().map(move |rival| ClaimRecord {
            claim: rival.clone(),
            end: None,
            age,
        });
        std::iter::once(first).chain(rivals)
    }
}
