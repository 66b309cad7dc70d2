//! In-flight requests.

use super::part::Part;
use super::slice::Slice;
use super::slice_owner::{Coordinator, GrantState};
use crate::driver_action::CallerId;
use crate::gateway::caller_try::CallerTry;
use crate::gateway::routes::{ResolvedRoute, ResolvedTarget};
use crate::gateway::telemetry::{AttemptSummary, SliceSummary};
use crate::time::Timestamp;
use std::net::SocketAddr;
use std::sync::Arc;
use thornbridge_proto::fingerprint::Fingerprint;

/// Recipient of a request's answer.
#[derive(Clone, Debug)]
pub(super) enum Origin {
    /// A caller of this node.
    Caller,
    /// Coordinator of the gather of which the request is a slice.
    Coordinator(Coordinator),
}

/// An in-flight request.
#[derive(Debug)]
pub(super) struct Request {
    pub(super) caller: CallerId,
    pub(super) id: String,
    pub(super) fingerprint: Fingerprint,
    pub(super) route: Arc<ResolvedRoute>,
    pub(super) arrived: Timestamp,
    pub(super) caller_try: CallerTry,
    /// When an answer must leave to meet the latency objective.
    pub(super) soft_deadline: Timestamp,
    /// When the final answer must leave.
    pub(super) deadline: Timestamp,
    pub(super) parts: Vec<Part>,
    /// Attempt limit per part, including attempts of other nodes.
    pub(super) max_attempts: u32,
    /// Time of the next check in the schedule.
    pub(super) check_at: Timestamp,
    pub(super) attempt_summaries: Vec<AttemptSummary>,
    pub(super) budget_denials: usize,
    pub(super) origin: Origin,
    /// Slices delegated to other nodes.
    pub(super) slices: Vec<Slice>,
}

/// Number of parts by state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Progress {
    pub(super) total: usize,
    pub(super) answered: usize,
    pub(super) failed: usize,
}

impl Progress {
    /// Parts that may still answer.
    pub(super) fn pending(self) -> usize {
        self.total - self.answered - self.failed
    }
}

impl Request {
    pub(super) fn progress(&self) -> Progress {
        let mut progress = Progress {
            total: self.parts.len(),
            ..Progress::default()
        };
        for part in &self.parts {
            progress.answered += usize::from(part.is_answered());
            progress.failed += usize::from(part.is_failed());
        }
        progress
    }

    /// Whether the caller tried before and will not retry again.
    pub(super) fn is_caller_retry(&self) -> bool {
        self.caller_try == CallerTry::Retry
    }

    /// Whether only servers in some regions may get the request.
    pub(super) fn has_homes(&self) -> bool {
        !self.route.route.home_regions.is_empty()
    }

    pub(super) fn is_gather(&self) -> bool {
        matches!(self.route.target, ResolvedTarget::Gather(_))
    }

    /// Whether any server may have run a part.
    pub(super) fn may_have_run(&self) -> bool {
        let any_part = self.parts.iter().any(|part| part.possible_runs() > 0);
        any_part || self.slices.iter().any(|slice| slice.granted_attempts > 0)
    }

    /// Number of parts that only silent owners could answer.
    pub(super) fn stalled_parts(&self) -> usize {
        let stalled = self
            .slices
            .iter()
            .filter(|slice| !slice.has_responsive_owner());
        let parts = stalled.flat_map(|slice| &self.parts[slice.shards()]);
        parts.filter(|part| part.is_delegated()).count()
    }

    /// Number of slices with a silent owner.
    pub(super) fn slices_with_silent_owner(&self) -> usize {
        let silent = self.slices.iter().filter(|slice| slice.has_silent_owner());
        silent.count()
    }

    /// Whether more than half of the slices have a silent owner.
    pub(super) fn most_slices_have_silent_owner(&self) -> bool {
        self.slices_with_silent_owner() * 2 > self.slices.len()
    }

    /// Earliest time of a hedge, if the coordinator set one.
    pub(super) fn hedge_not_before(&self) -> Option<Timestamp> {
        match &self.origin {
            Origin::Caller => None,
            Origin::Coordinator(coordinator) => Some(coordinator.hedge_not_before),
        }
    }

    /// Coordinator, if the request is a slice.
    pub(super) fn coordinator(&self) -> Option<SocketAddr> {
        match &self.origin {
            Origin::Caller => None,
            Origin::Coordinator(coordinator) => Some(coordinator.address),
        }
    }

    /// Delegations of the request, for the log.
    pub(super) fn slice_summaries(&self) -> Vec<SliceSummary> {
        let slices = self.slices.iter();
        slices
            .flat_map(|slice| slice.summaries(self.arrived))
            .collect()
    }

    /// Whether the coordinator may still grant further attempts.
    pub(super) fn awaits_grant(&self) -> bool {
        match &self.origin {
            Origin::Caller => false,
            Origin::Coordinator(coordinator) => coordinator.grant != GrantState::Settled,
        }
    }

    /// Schedules a request for further attempts, at most once.
    pub(super) fn request_grant(&mut self) {
        if let Origin::Coordinator(coordinator) = &mut self.origin
            && coordinator.grant == GrantState::NotRequested
        {
            coordinator.report_due = true;
        }
    }

    /// Schedules a request for lent attempts in place of those that lapsed or were used.
    pub(super) fn request_renewal(&mut self) {
        if let Origin::Coordinator(coordinator) = &mut self.origin
            && coordinator.grant == GrantState::Settled
        {
            coordinator.grant = GrantState::NotRequested;
            coordinator.report_due = true;
        }
    }

    /// When the first report to the coordinator is due.
    pub(super) fn first_report_at(&self) -> Option<Timestamp> {
        match &self.origin {
            Origin::Coordinator(coordinator) if coordinator.last_report_at.is_none() => {
                Some(coordinator.hedge_not_before.min(self.soft_deadline))
            }
            _ => None,
        }
    }

    /// When a report of late parts is due, if there are any.
    fn late_report_at(&self) -> Option<Timestamp> {
        let Origin::Coordinator(coordinator) = &self.origin else {
            return None;
        };
        let has_unreported = self
            .parts
            .iter()
            .any(|part| part.is_finished() && !part.reported);
        coordinator
            .next_report()
            .filter(|_| has_unreported)
            .map(|time| time.max(self.soft_deadline))
    }

    /// When to check the request next, unless an attempt ends first.
    pub(super) fn next_check(&self, now: Timestamp) -> Timestamp {
        let parts = self.parts.iter().filter(|part| !part.is_finished());
        let parts = parts.filter_map(|part| part.check_at).min();
        let soft_deadline =
            (self.is_gather() && now < self.soft_deadline).then_some(self.soft_deadline);
        let silent = self.slices.iter().filter_map(|slice| slice.silent_at).min();
        [
            parts,
            soft_deadline,
            silent,
            self.first_report_at(),
            self.late_report_at(),
            Some(self.deadline),
        ]
        .into_iter()
        .flatten()
        .min()
        .unwrap_or(self.deadline)
    }
}
