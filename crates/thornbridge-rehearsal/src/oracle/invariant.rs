//! What must always hold, and a record of where it did not.

use serde::{Deserialize, Serialize};
use std::fmt;
use thornbridge_core::Timestamp;

/// An invariant of the product.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Invariant {
    /// Every hit of an answer comes from the answer's snapshot.
    OneSnapshot,
    /// The shards that an answer names as answered, and only they, did answer.
    TrueCoverage,
    /// A caller gets one answer, to its own request, with all hits of the shards that answered.
    WholeAnswerToOwnRequest,
    /// A request whose refusal says that it did not run did not run, and does not later.
    RefusedMeansNotRun,
    /// The action of a key starts on one back end, once.
    AtMostOnce,
    /// A back end or node that announced leaving gets no new work after 3 s.
    LeavingGetsNoNewWork,
    /// A node that stops as planned finishes all it accepted before.
    PlannedStopCutsNothing,
    /// A generation that took effect is in force on every live node within seconds, and no
    /// node's generation ever falls.
    #[serde(rename = "configuration_in_force_and_monotonic")]
    ConfigurationActiveAndMonotonic,
    /// A generation stands for one version and digest everywhere, one that was approved.
    OneApprovedVersion,
}

impl Invariant {
    /// Every invariant.
    pub const ALL: [Self; 9] = [
        Self::OneSnapshot,
        Self::TrueCoverage,
        Self::WholeAnswerToOwnRequest,
        Self::RefusedMeansNotRun,
        Self::AtMostOnce,
        Self::LeavingGetsNoNewWork,
        Self::PlannedStopCutsNothing,
        Self::ConfigurationActiveAndMonotonic,
        Self::OneApprovedVersion,
    ];

    /// The name in reports.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::OneSnapshot => "one_snapshot",
            Self::TrueCoverage => "true_coverage",
            Self::WholeAnswerToOwnRequest => "whole_answer_to_own_request",
            Self::RefusedMeansNotRun => "refused_means_not_run",
            Self::AtMostOnce => "at_most_once",
            Self::LeavingGetsNoNewWork => "leaving_gets_no_new_work",
            Self::PlannedStopCutsNothing => "planned_stop_cuts_nothing",
            Self::ConfigurationActiveAndMonotonic => "configuration_in_force_and_monotonic",
            Self::OneApprovedVersion => "one_approved_version",
        }
    }
}

impl fmt::Display for Invariant {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

/// An invariant that did not hold.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Violation {
    /// Which.
    pub invariant: Invariant,
    /// Virtual time.
    pub at: Timestamp,
    /// What happened, against what is true.
    pub event: String,
}

/// Violations kept with their details; further ones are only counted.
const DETAILS_KEPT: usize = 20;

/// Counts of checks and violations.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CheckLog {
    checks: [u64; Invariant::ALL.len()],
    violations: [u64; Invariant::ALL.len()],
    details: Vec<Violation>,
}

impl CheckLog {
    /// Counts a check, and a violation where it does not hold.
    pub fn check(
        &mut self,
        invariant: Invariant,
        at: Timestamp,
        holds: bool,
        event: impl FnOnce() -> String,
    ) {
        self.checks[invariant as usize] += 1;
        if holds {
            return;
        }
        self.violations[invariant as usize] += 1;
        if self.details.len() < DETAILS_KEPT {
            let event = event();
            self.details.push(Violation {
                invariant,
                at,
                event,
            });
        }
    }

    /// Checks made.
    pub fn checks(&self, invariant: Invariant) -> u64 {
        self.checks[invariant as usize]
    }

    /// Violations found.
    pub fn violations(&self, invariant: Invariant) -> u64 {
        self.violations[invariant as usize]
    }

    /// Violations of all invariants.
    pub fn total_violations(&self) -> u64 {
        self.violations.iter().sum()
    }

    /// The first violations with their details.
    pub fn details(&self) -> &[Violation] {
        &self.details
    }
}
