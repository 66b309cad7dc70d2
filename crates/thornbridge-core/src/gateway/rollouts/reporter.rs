//! Which member a node reports to: the first by rank that answers as conductor.

use crate::time::Timestamp;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

/// Time without an answer after which a member is passed over.
const SILENCE: Duration = Duration::from_millis(600);
/// Time for which a member is passed over that is silent or does not conduct.
const PASSED_OVER: Duration = Duration::from_secs(5);

/// Reports to the conductor of one roll-out.
#[derive(Debug, Default)]
pub(in crate::gateway) struct Reporter {
    target: Option<SocketAddr>,
    /// When the reports that are not answered yet were sent, oldest first.
    unanswered: VecDeque<Timestamp>,
    /// Members that are passed over, and until when.
    passed_over: BTreeMap<SocketAddr, Timestamp>,
}

impl Reporter {
    /// Member to report to. If all are passed over, the one for which that ends first.
    pub(in crate::gateway) fn choose(
        &mut self,
        now: Timestamp,
        candidates: &[SocketAddr],
    ) -> Option<SocketAddr> {
        self.passed_over.retain(|_, until| *until > now);
        let passed_over = &self.passed_over;
        let until = |member: &&SocketAddr| passed_over.get(member).copied();
        // The first of equal keys: members that are not passed over come first, in order of rank.
        let target = candidates.iter().min_by_key(until).copied();
        if target != self.target {
            self.unanswered.clear();
            self.target = target;
        }
        target
    }

    /// Notes a report to the target.
    pub(in crate::gateway) fn sent(&mut self, now: Timestamp) {
        self.unanswered.push_back(now);
    }

    /// Notes that the target is not known to decode reports.
    pub(in crate::gateway) fn tried(&mut self, now: Timestamp) {
        if self.unanswered.is_empty() {
            self.unanswered.push_back(now);
        }
    }

    /// Notes that a member decodes reports.
    pub(in crate::gateway) fn reached(&mut self, member: SocketAddr) {
        if self.target == Some(member) {
            self.unanswered.clear();
        }
    }

    /// Passes the target over if it is silent.
    pub(in crate::gateway) fn check_silence(&mut self, now: Timestamp) {
        let oldest = self.unanswered.front();
        if oldest.is_some_and(|at| now.since(*at) >= SILENCE)
            && let Some(target) = self.target
        {
            self.pass_over(now, target);
        }
    }

    /// When [`Self::check_silence`] is due.
    pub(in crate::gateway) fn next_timeout(&self) -> Option<Timestamp> {
        self.unanswered.front().map(|at| *at + SILENCE)
    }

    /// Passes a member over, which does not conduct.
    pub(in crate::gateway) fn pass_over(&mut self, now: Timestamp, member: SocketAddr) {
        self.passed_over.insert(member, now + PASSED_OVER);
        if self.target == Some(member) {
            self.unanswered.clear();
        }
    }

    /// Notes an answer; returns when the answered report was sent, if it came from the target.
    pub(in crate::gateway) fn answered(&mut self, from: SocketAddr) -> Option<Timestamp> {
        match self.target == Some(from) {
            true => self.unanswered.pop_front(),
            false => None,
        }
    }
}
