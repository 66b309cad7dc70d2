//! A request under way.

use super::leg::Leg;
use super::owning::{Coordinator, GrantState};
use super::slice::Slice;
use crate::driver_action::CallerId;
use crate::gateway::notes::{AttemptNote, SliceNote};
use crate::gateway::patience::CallerTry;
use crate::gateway::routes::{ResolvedRoute, ResolvedTarget};
use crate::time::Timestamp;
use std::net::SocketAddr;
use std::sync::Arc;
use thornbridge_proto::fingerprint::Fingerprint;

/// Who gets the answer of a request.
#[derive(Clone, Debug)]
pub(super) enum Origin {
    /// A caller of this node.
    Caller,
    /// The node whose caller's gather it is a slice of.
    Coordinator(Coordinator),
}

/// A request under way.
#[derive(Debug)]
pub(super) struct Request {
    pub(super) caller: CallerId,
    pub(super) id: String,
    pub(super) fingerprint: Fingerprint,
    pub(super) route: Arc<ResolvedRoute>,
    pub(super) arrived: Timestamp,
    /// Which try of its caller it is.
    pub(super) caller_try: CallerTry,
    /// When an answer has to leave to be worth most.
    pub(super) answer_by: Timestamp,
    /// When the final answer has to leave.
    pub(super) ends: Timestamp,
    pub(super) legs: Vec<Leg>,
    /// Most attempts for each part, those of other nodes included.
    pub(super) attempts: u32,
    /// When it is in the schedule.
    pub(super) look_at: Timestamp,
    pub(super) notes: Vec<AttemptNote>,
    pub(super) denied: usize,
    pub(super) origin: Origin,
    /// Slices that other nodes answer.
    pub(super) slices: Vec<Slice>,
}

/// How the parts stand.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Progress {
    pub(super) all: usize,
    pub(super) answered: usize,
    pub(super) failed: usize,
}

impl Progress {
    /// Parts that may still answer.
    pub(super) fn pending(self) -> usize {
        self.all - self.answered - self.failed
    }
}

impl Request {
    pub(super) fn progress(&self) -> Progress {
        let mut progress = Progress {
            all: self.legs.len(),
            ..Progress::default()
        };
        for leg in &self.legs {
            progress.answered += usize::from(leg.is_answered());
            progress.failed += usize::from(leg.is_failed());
        }
        progress
    }

    /// Whether its caller tried before, and so does not come back.
    pub(super) fn is_last_try(&self) -> bool {
        self.caller_try == CallerTry::Later
    }

    pub(super) fn is_gather(&self) -> bool {
        matches!(self.route.target, ResolvedTarget::Gather(_))
    }

    /// Whether any server may have run a part of it.
    pub(super) fn may_have_run(&self) -> bool {
        let legs = self.legs.iter().any(|leg| leg.ran() > 0);
        legs || self.slices.iter().any(|slice| slice.granted > 0)
    }

    /// Parts that only silent nodes could answer yet.
    pub(super) fn stuck(&self) -> usize {
        let stuck = self.slices.iter().filter(|slice| !slice.is_waiting());
        let legs = stuck.flat_map(|slice| &self.legs[slice.shards()]);
        legs.filter(|leg| leg.is_delegated()).count()
    }

    /// Slices that have an owner that is silent.
    pub(super) fn silent_owners(&self) -> usize {
        let silent = self.slices.iter().filter(|slice| slice.has_silent_owner());
        silent.count()
    }

    /// Whether more than half of its slices have one.
    pub(super) fn most_owners_are_silent(&self) -> bool {
        self.silent_owners() * 2 > self.slices.len()
    }

    /// Before this no second attempt is made, where its coordinator said so.
    pub(super) fn second_after(&self) -> Option<Timestamp> {
        match &self.origin {
            Origin::Caller => None,
            Origin::Coordinator(coordinator) => Some(coordinator.second_after),
        }
    }

    /// The node whose caller's gather it is a slice of.
    pub(super) fn coordinator(&self) -> Option<SocketAddr> {
        match &self.origin {
            Origin::Caller => None,
            Origin::Coordinator(coordinator) => Some(coordinator.address),
        }
    }

    /// Its slices, for the log.
    pub(super) fn slice_notes(&self) -> Vec<SliceNote> {
        let slices = self.slices.iter();
        slices.flat_map(|slice| slice.notes(self.arrived)).collect()
    }

    /// Whether its coordinator may grant it further attempts.
    pub(super) fn awaits_grant(&self) -> bool {
        match &self.origin {
            Origin::Caller => false,
            Origin::Coordinator(coordinator) => coordinator.grant != GrantState::Settled,
        }
    }

    /// A part needs an attempt that was not granted yet: its coordinator is asked, once.
    pub(super) fn request_grant(&mut self) {
        if let Origin::Coordinator(coordinator) = &mut self.origin
            && coordinator.grant == GrantState::NotRequested
        {
            coordinator.must_report = true;
        }
    }

    /// When a report is due to its coordinator.
    pub(super) fn report_at(&self) -> Option<Timestamp> {
        match &self.origin {
            Origin::Coordinator(coordinator) if coordinator.reported.is_none() => {
                Some(coordinator.second_after.min(self.answer_by))
            }
            _ => None,
        }
    }

    /// When late parts are told to its coordinator, where some wait for that.
    fn late_report_at(&self) -> Option<Timestamp> {
        let Origin::Coordinator(coordinator) = &self.origin else {
            return None;
        };
        let news = self.legs.iter().any(|leg| leg.is_over() && !leg.reported);
        coordinator
            .next_report()
            .filter(|_| news)
            .map(|time| time.max(self.answer_by))
    }

    /// When it is to be looked at, if no attempt ends before.
    pub(super) fn next_look(&self, now: Timestamp) -> Timestamp {
        let legs = self.legs.iter().filter(|leg| !leg.is_over());
        let legs = legs.filter_map(|leg| leg.look_at).min();
        let answer_by = (self.is_gather() && now < self.answer_by).then_some(self.answer_by);
        let silent = self.slices.iter().filter_map(|slice| slice.silent_at).min();
        [
            legs,
            answer_by,
            silent,
            self.report_at(),
            self.late_report_at(),
            Some(self.ends),
        ]
        .into_iter()
        .flatten()
        .min()
        .unwrap_or(self.ends)
    }
}
