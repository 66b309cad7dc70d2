//! One slice of a gather, as its coordinator sees it.

use crate::gateway::notes::{SliceNote, SliceOutcome};
use crate::gateway::slices::Plan;
use crate::time::Timestamp;
use bytes::Bytes;
use std::net::SocketAddr;
use std::ops::Range;
use std::sync::Arc;
use thornbridge_proto::peer::slice::SliceId;

/// Owners that are asked for one slice at most.
pub(super) const OWNERS_ASKED: usize = 2;

/// One owner that was asked.
#[derive(Clone, Copy, Debug)]
pub(super) struct AskedOwner {
    pub(super) owner: SocketAddr,
    pub(super) id: SliceId,
    pub(super) at: Timestamp,
    pub(super) outcome: SliceOutcome,
}

/// One slice.
#[derive(Debug)]
pub(super) struct Slice {
    pub(super) plan: Arc<Plan>,
    pub(super) group: usize,
    pub(super) asked: Vec<AskedOwner>,
    /// Owner whose reports count: the first that reported.
    pub(super) reporting: Option<SliceId>,
    /// When an owner that has not reported by then counts as silent.
    pub(super) silent_at: Option<Timestamp>,
    /// Before this no owner makes a second attempt.
    pub(super) second_after: Timestamp,
    /// Attempts that owners may have made for each of its shards.
    pub(super) attempts: u32,
    /// Records of its reports.
    pub(super) records: Vec<Bytes>,
}

impl Slice {
    /// Places of its shards.
    pub(super) fn shards(&self) -> Range<usize> {
        self.plan.groups[self.group].shards.clone()
    }

    /// Owners that were asked.
    pub(super) fn owners(&self) -> Vec<SocketAddr> {
        self.asked.iter().map(|asked| asked.owner).collect()
    }

    /// Owners that may still report.
    pub(super) fn open(&self) -> impl Iterator<Item = &AskedOwner> {
        let asked = self.asked.iter();
        asked.filter(|asked| matches!(asked.outcome, SliceOutcome::Asked | SliceOutcome::Reporting))
    }

    /// Takes an owner's state over.
    pub(super) fn set_outcome(&mut self, id: SliceId, outcome: SliceOutcome) {
        if let Some(asked) = self.asked.iter_mut().find(|asked| asked.id == id) {
            asked.outcome = outcome;
        }
    }

    /// For the log.
    pub(super) fn notes(&self, arrived: Timestamp) -> impl Iterator<Item = SliceNote> {
        let asked = self.asked.iter();
        asked.map(move |asked| SliceNote {
            owner: asked.owner,
            asked_after: asked.at.since(arrived),
            outcome: asked.outcome,
        })
    }
}
