//! Checks of answers and refusals: one snapshot, true coverage, whole and one's own, not run.

use super::{Invariant, Oracle};
use crate::scenario::Deployment;
use crate::simulator::corpus::{self, Searched};
use std::collections::BTreeSet;
use thornbridge_core::Timestamp;
use thornbridge_proto::back_end::{Attempt, ReplyOutcome, Work};
use thornbridge_proto::caller::{
    ActionAnswer, Coverage, Executed, Hit, QueryAnswer, Refusal, RefusalReason,
};
use thornbridge_proto::{RequestId, ShardId, SnapshotId};

/// What a caller asked one node for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Asked {
    /// Number of the caller's request.
    pub request: u64,
    /// Try of it.
    pub attempt: u32,
    /// Service, by position.
    pub service: usize,
    /// Most hits wanted.
    pub limit: u32,
    /// Query or action.
    pub kind: AskedKind,
}

/// Kind of a caller's request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AskedKind {
    /// May be repeated.
    Query,
    /// May not.
    Action,
}

/// What really happened for one request of a node.
#[derive(Clone, Debug, Default)]
pub struct RequestTruth {
    /// Query number and try, from the text that the back ends saw.
    asked: Option<(u64, u32)>,
    /// Whether any back end began to run any of it.
    executed: bool,
    /// Whole replies that reached the node.
    delivered: Vec<(ShardId, SnapshotId)>,
    /// Shards that an attempt was sent for.
    sent: Vec<ShardId>,
}

impl RequestTruth {
    /// Notes an attempt on a shard; gives whether it is the first.
    pub(super) fn note_sent(&mut self, shard: ShardId) -> bool {
        let first = !self.sent.contains(&shard);
        if first {
            self.sent.push(shard);
        }
        first
    }
}

impl Oracle {
    /// A back end began to run an attempt.
    pub fn executed(&mut self, now: Timestamp, attempt: &Attempt) {
        let request = attempt.request;
        let refused = self.refused.contains_key(&request);
        if refused {
            self.log
                .check(Invariant::RefusedMeansNotRun, now, false, || {
                    format!("request {request} ran after a refusal that said it did not")
                });
        }
        let truth = self.requests.entry(request).or_default();
        truth.executed = true;
        match &attempt.work {
            Work::Query { query, .. } => truth.asked = corpus::parse_query_text(query),
            Work::Action { key, .. } => self.action_executed(now, key, request),
        }
    }

    /// A whole reply reached the node that sent the attempt.
    pub fn reply_delivered(&mut self, request: RequestId, shard: ShardId, outcome: &ReplyOutcome) {
        if let ReplyOutcome::Hits { snapshot, .. } = outcome {
            let truth = self.requests.entry(request).or_default();
            truth.delivered.push((shard, snapshot.clone()));
        }
    }

    /// A node answered a query.
    pub fn query_answered(
        &mut self,
        now: Timestamp,
        deployment: &Deployment,
        asked: Option<Asked>,
        answer: &QueryAnswer,
    ) {
        let truth = self.requests.remove(&answer.request_id).unwrap_or_default();
        self.check_one_snapshot(now, deployment, asked, answer);
        self.check_coverage(now, deployment, asked, answer, &truth);
        self.check_whole(now, deployment, asked, answer, &truth);
        self.check_reference(now, &answer.configuration);
    }

    fn check_one_snapshot(
        &mut self,
        now: Timestamp,
        deployment: &Deployment,
        asked: Option<Asked>,
        answer: &QueryAnswer,
    ) {
        let of_answer = |hit: &Hit| hit.title == answer.snapshot.as_str();
        let known = asked.is_some_and(|asked| {
            let catalogue = &deployment.services[asked.service].catalogue;
            catalogue.number(&answer.snapshot).is_some()
        });
        let holds = known && answer.hits.iter().all(of_answer);
        self.log.check(Invariant::OneSnapshot, now, holds, || {
            let titles: BTreeSet<&str> = answer.hits.iter().map(|hit| hit.title.as_str()).collect();
            format!(
                "request {} answered from {} with hits of {titles:?}",
                answer.request_id, answer.snapshot
            )
        });
    }

    fn check_coverage(
        &mut self,
        now: Timestamp,
        deployment: &Deployment,
        asked: Option<Asked>,
        answer: &QueryAnswer,
        truth: &RequestTruth,
    ) {
        let holds = asked.is_some_and(|asked| {
            let shards = shards_of(deployment, asked, &answer.snapshot);
            is_coverage_true(&answer.coverage, shards, &answer.snapshot, truth)
        });
        self.log.check(Invariant::TrueCoverage, now, holds, || {
            format!(
                "request {} reports {:?}; replies of {:?} reached the node",
                answer.request_id, answer.coverage, truth.delivered
            )
        });
    }

    fn check_whole(
        &mut self,
        now: Timestamp,
        deployment: &Deployment,
        asked: Option<Asked>,
        answer: &QueryAnswer,
        truth: &RequestTruth,
    ) {
        let expected = asked.and_then(|asked| expected_hits(deployment, asked, answer));
        let own = asked.is_some_and(|asked| match truth.asked {
            Some(seen) => seen == (asked.request, asked.attempt),
            None => answer.coverage.shards_answered == 0,
        });
        let holds = own && expected.as_ref() == Some(&answer.hits);
        self.log
            .check(Invariant::WholeAnswerToOwnRequest, now, holds, || {
                format!(
                    "request {} of {asked:?} (back ends saw {:?}) answered {:?}, expected {expected:?}",
                    answer.request_id, truth.asked, answer.hits
                )
            });
    }

    /// A node answered an action.
    pub fn action_answered(&mut self, now: Timestamp, asked: Option<Asked>, answer: &ActionAnswer) {
        self.requests.remove(&answer.request_id);
        self.check_reference(now, &answer.configuration);
        let holds = asked.is_some_and(|asked| {
            asked.kind == AskedKind::Action && self.is_outcome_of(asked.request, &answer.outcome)
        });
        self.log
            .check(Invariant::WholeAnswerToOwnRequest, now, holds, || {
                format!(
                    "request {} of {asked:?} was told outcome {:?}, which its action did not give",
                    answer.request_id, answer.outcome
                )
            });
        if let Some(asked) = asked {
            self.action_settled(asked.request, false);
        }
    }

    /// A node refused a request, or said that it failed.
    pub fn refused(&mut self, now: Timestamp, asked: Option<Asked>, refusal: &Refusal) {
        let request = refusal.request_id;
        let truth = self.requests.remove(&request).unwrap_or_default();
        let says_no = refusal.executed == Executed::No;
        self.log.check(
            Invariant::RefusedMeansNotRun,
            now,
            !(says_no && truth.executed),
            || {
                format!(
                    "request {request} was refused ({refusal:?}), but a back end ran part of it"
                )
            },
        );
        if says_no {
            self.refused.insert(request, ());
        }
        if let Some(asked) = asked.filter(|asked| asked.kind == AskedKind::Action) {
            if says_no && !is_refused_at_the_door(refusal.reason) {
                self.check_key_not_run(now, asked.request, refusal);
            }
            self.action_settled(asked.request, says_no);
            self.check_key_refused(now, asked.request);
        }
    }

    /// A request got no answer from a node that ran on, though its time is long over.
    pub fn never_answered(&mut self, now: Timestamp, asked: Asked, holds: bool) {
        self.log
            .check(Invariant::WholeAnswerToOwnRequest, now, holds, || {
                format!("{asked:?} was never answered by a node that ran on")
            });
    }

    /// A request of a crashed node needs no truth any more.
    pub fn forget_requests_of(&mut self, node: thornbridge_proto::NodeId) {
        self.requests.retain(|request, _| request.node != node);
    }
}

/// Whether a refusal speaks of this request only: the node did nothing for it. Any other refusal
/// of an action speaks of the action, whichever request with its key ran it.
fn is_refused_at_the_door(reason: RefusalReason) -> bool {
    matches!(
        reason,
        RefusalReason::Leaving
            | RefusalReason::NotReady
            | RefusalReason::Overloaded
            | RefusalReason::KeyReused
            | RefusalReason::Invalid
            | RefusalReason::UnknownService
            | RefusalReason::WrongKind
            | RefusalReason::InProgress
    )
}

fn shards_of(deployment: &Deployment, asked: Asked, snapshot: &SnapshotId) -> Option<u32> {
    let catalogue = &deployment.services[asked.service].catalogue;
    let number = catalogue.number(snapshot)?;
    Some(catalogue.layout_of(number).shards.len() as u32)
}

fn is_coverage_true(
    coverage: &Coverage,
    shards: Option<u32>,
    snapshot: &SnapshotId,
    truth: &RequestTruth,
) -> bool {
    let Some(total) = shards else {
        return false;
    };
    let missing: BTreeSet<u32> = coverage.missing.iter().map(|gap| gap.shard.0).collect();
    let answered = (0..total).filter(|shard| !missing.contains(shard));
    let contributed = |shard: u32| {
        truth
            .delivered
            .iter()
            .any(|(delivered, from)| delivered.0 == shard && from == snapshot)
    };
    let mut count = 0;
    for shard in answered {
        if !contributed(shard) {
            return false;
        }
        count += 1;
    }
    let fraction = f64::from(count) / f64::from(total.max(1));
    coverage.shards_total == total
        && coverage.shards_answered == count
        && missing.len() == coverage.missing.len()
        && (coverage.fraction - fraction).abs() < 1e-9
}

fn expected_hits(deployment: &Deployment, asked: Asked, answer: &QueryAnswer) -> Option<Vec<Hit>> {
    if asked.kind != AskedKind::Query {
        return None;
    }
    let catalogue = &deployment.services[asked.service].catalogue;
    let snapshot = catalogue.number(&answer.snapshot)?;
    let searched = Searched {
        service: asked.service,
        query: asked.request,
        snapshot,
        snapshot_id: &answer.snapshot,
        shards: catalogue.layout_of(snapshot).shards.len() as u32,
    };
    let missing: BTreeSet<ShardId> = answer
        .coverage
        .missing
        .iter()
        .map(|gap| gap.shard)
        .collect();
    let answered = |shard: ShardId| !missing.contains(&shard);
    Some(corpus::hits_of_answer(
        searched,
        asked.limit as usize,
        answered,
    ))
}
