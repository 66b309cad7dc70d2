//! Conditions under which a query is answered or refused.

use super::parameters::WaitPolicy;
use crate::time::Timestamp;
use thornbridge_config::bundle::CompletenessPolicy;
use thornbridge_proto::caller::RefusalReason;

/// Tolerance for the floating-point error of `minimum_coverage × shards`.
const ROUNDING: f64 = 1e-9;

/// Conditions for the end of one query, fixed when it is planned.
#[derive(Clone, Debug)]
pub(super) struct CompletionRules {
    /// Completeness policy of the service.
    pub(super) policy: CompletenessPolicy,
    /// Whether the service's policy applies, or all shards are waited for.
    pub(super) wait: WaitPolicy,
    /// Soft deadline of a latency-first service.
    pub(super) target: Timestamp,
    /// Hard deadline of the query.
    pub(super) deadline: Timestamp,
    /// Minimum coverage of an answer, 0 to 1.
    pub(super) minimum_coverage: f64,
}

/// Number of shards by state.
#[derive(Clone, Copy, Debug)]
pub(super) struct Progress {
    /// Shards in the layout.
    pub(super) total: u32,
    /// Shards whose hits have been received.
    pub(super) answered: u32,
    /// Shards that may still answer.
    pub(super) unresolved: u32,
}

/// Next step of a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Verdict {
    /// Keep waiting.
    Wait,
    /// Answer with the current coverage.
    Answer,
    /// Refuse the query.
    Refuse(RefusalReason),
}

impl CompletionRules {
    /// Decides by the hits received and the shards that may still answer, however unlikely.
    pub(super) fn evaluate(&self, now: Timestamp, progress: Progress) -> Verdict {
        let enough = self.meets_minimum_coverage(progress.answered, progress.total);
        if enough && progress.unresolved == 0 {
            return Verdict::Answer;
        }
        if !self.meets_minimum_coverage(progress.answered + progress.unresolved, progress.total) {
            return Verdict::Refuse(RefusalReason::InsufficientCoverage);
        }
        if now >= self.deadline {
            return match enough {
                true => Verdict::Answer,
                false => Verdict::Refuse(RefusalReason::DeadlineExceeded),
            };
        }
        if enough && self.prefers_latency() && now >= self.target {
            return Verdict::Answer;
        }
        Verdict::Wait
    }

    /// Minimum expected number of further shards by the target for which waiting goes on; `None`
    /// if the query may not be answered before the target.
    pub(super) fn least_expected_shards(&self, progress: Progress) -> Option<f64> {
        let WaitPolicy::AsService {
            least_expected_shards,
            ..
        } = self.wait
        else {
            return None;
        };
        let may_answer_early = self.prefers_latency()
            && self.meets_minimum_coverage(progress.answered, progress.total);
        may_answer_early.then_some(least_expected_shards)
    }

    /// Whether the current coverage suffices for an answer.
    pub(super) fn has_minimum_coverage(&self, progress: Progress) -> bool {
        self.meets_minimum_coverage(progress.answered, progress.total)
    }

    /// Whether the service's policy applies.
    pub(super) fn uses_service_policy(&self) -> bool {
        self.wait != WaitPolicy::AllUntilHardDeadline
    }

    /// Whether the query is answered at the target.
    pub(super) fn prefers_latency(&self) -> bool {
        self.policy == CompletenessPolicy::LatencyFirst && self.uses_service_policy()
    }

    fn meets_minimum_coverage(&self, answered: u32, total: u32) -> bool {
        answered > 0 && f64::from(answered) + ROUNDING >= self.minimum_coverage * f64::from(total)
    }
}
