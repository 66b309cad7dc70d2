//! Truth about actions: each key runs at most once, and refusals of it are true.

use super::{Invariant, Oracle};
use crate::simulator::back_end;
use std::collections::HashMap;
use thornbridge_core::Timestamp;
use thornbridge_proto::RequestId;
use thornbridge_proto::caller::Refusal;
use xxhash_rust::xxh3::Xxh3DefaultBuilder;

/// What happened to one key.
#[derive(Clone, Copy, Debug, Default)]
struct KeyTruth {
    executions: u32,
    /// Requests with this key that nodes took and did not yet answer.
    open: u32,
    /// Requests that ended otherwise than by a refusal that says "not run".
    ended_otherwise: u32,
}

/// What happened to all keys.
#[derive(Debug, Default)]
pub struct ActionTruth {
    keys: HashMap<u64, KeyTruth, Xxh3DefaultBuilder>,
}

impl Oracle {
    /// A node is asked for an action.
    pub fn action_asked(&mut self, request: u64) {
        self.actions.keys.entry(request).or_default().open += 1;
    }

    /// A node that was asked for an action is gone without an answer.
    pub fn action_abandoned(&mut self, request: u64) {
        self.action_settled(request, false);
    }

    pub(super) fn action_settled(&mut self, request: u64, refused: bool) {
        let truth = self.actions.keys.entry(request).or_default();
        truth.open = truth.open.saturating_sub(1);
        if !refused {
            truth.ended_otherwise += 1;
        }
    }

    pub(super) fn action_executed(&mut self, now: Timestamp, key: &str, request: RequestId) {
        let Some(number) = back_end::parse_action_key(key) else {
            return;
        };
        let truth = self.actions.keys.entry(number).or_default();
        truth.executions += 1;
        let executions = truth.executions;
        self.log
            .check(Invariant::AtMostOnce, now, executions <= 1, || {
                format!("key {key:?} ran {executions} times, now for request {request}")
            });
        self.check_key_refused(now, number);
    }

    /// A refusal that says that an action did not run: no request with its key may have run it.
    pub(super) fn check_key_not_run(&mut self, now: Timestamp, number: u64, refusal: &Refusal) {
        let ran = self
            .actions
            .keys
            .get(&number)
            .is_some_and(|truth| truth.executions > 0);
        self.log
            .check(Invariant::RefusedMeansNotRun, now, !ran, || {
                format!("action {number} ran, but was refused as not run: {refusal:?}")
            });
    }

    /// Where every request with a key was refused as not run, the key must not have run.
    pub(super) fn check_key_refused(&mut self, now: Timestamp, number: u64) {
        let truth = self.actions.keys.get(&number).copied().unwrap_or_default();
        let all_refused = truth.open == 0 && truth.ended_otherwise == 0;
        let holds = !(all_refused && truth.executions > 0);
        self.log
            .check(Invariant::RefusedMeansNotRun, now, holds, || {
                format!("action {number} ran, though each of its requests was refused as not run")
            });
    }

    pub(super) fn is_outcome_of(&self, request: u64, outcome: &str) -> bool {
        let ran = self
            .actions
            .keys
            .get(&request)
            .is_some_and(|truth| truth.executions > 0);
        ran && outcome == back_end::action_outcome(&back_end::action_key(request))
    }
}
