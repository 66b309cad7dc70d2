//! Exposure of a version on trial under random events.

use super::support::{Harness, RECORD, SentAttempt, answer, verdict};
use super::trial_support::{VALID, grant, on_trial, report, rolled_back, serving, set_roles};
use crate::driver_action::CallerId;
use crate::gateway::{ExchangeFailure, GatewayEvent, ReplyVerdict};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use thornbridge_proto::AttemptId;

#[derive(Clone, Copy, Debug)]
enum Step {
    Grant(u32),
    Request,
    Answer,
    Reject,
    Fail(ExchangeFailure),
    CallerLeaves,
    HoldConnects,
    OpenPending,
    ResetNextConnection,
    RollBack,
    BeginAgain,
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (0..4_u32).prop_map(Step::Grant),
        6 => Just(Step::Request),
        3 => Just(Step::Answer),
        2 => Just(Step::Reject),
        1 => Just(Step::Fail(ExchangeFailure::MayHaveRun)),
        1 => Just(Step::Fail(ExchangeFailure::NotSent)),
        1 => Just(Step::CallerLeaves),
        1 => Just(Step::HoldConnects),
        1 => Just(Step::OpenPending),
        1 => Just(Step::ResetNextConnection),
        1 => Just(Step::RollBack),
        1 => Just(Step::BeginAgain),
        3 => (0..400_u64).prop_map(Step::Wait),
    ]
}

/// A gateway, and what the version on trial may have got.
struct Run {
    harness: Harness,
    callers: Vec<CallerId>,
    ended: BTreeSet<AttemptId>,
    granted: usize,
    /// Attempts at the version on trial that were not sent after all.
    unsent: usize,
    is_rolled_back: bool,
}

impl Run {
    fn new() -> Self {
        Self {
            harness: serving(on_trial(), &["old-1", "old-2", "new-1", "new-2"]),
            callers: Vec::new(),
            ended: BTreeSet::new(),
            granted: 0,
            unsent: 0,
            is_rolled_back: false,
        }
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::Grant(permits) => {
                grant(&mut self.harness, permits);
                self.granted += permits as usize;
            }
            Step::Request => self.callers.push(self.harness.send_request("/x")),
            Step::Answer => self.reply(answer(RECORD)),
            Step::Reject => self.reply(verdict(ReplyVerdict::NotRun)),
            Step::Fail(failure) => self.fail(failure),
            Step::CallerLeaves => {
                if let Some(caller) = self.callers.pop() {
                    let event = GatewayEvent::CallerDisconnected { caller };
                    self.harness.event(event);
                }
            }
            Step::HoldConnects => self.harness.hold_connects(),
            Step::OpenPending => self.harness.open_pending(),
            Step::ResetNextConnection => self.harness.reset_next_connections(1),
            Step::RollBack => {
                set_roles(&mut self.harness, rolled_back());
                self.is_rolled_back = true;
            }
            Step::BeginAgain => {
                set_roles(&mut self.harness, on_trial());
                self.is_rolled_back = false;
            }
            Step::Wait(millis) => self.harness.advance(Duration::from_millis(millis)),
        }
    }

    /// Oldest attempt that is in flight.
    fn take_open_attempt(&mut self) -> Option<SentAttempt> {
        let mut sent = self.harness.sent.iter();
        let open = sent.find(|sent| {
            !self.ended.contains(&sent.attempt) && self.harness.open.contains(&sent.connection)
        });
        let open = open.cloned()?;
        self.ended.insert(open.attempt);
        Some(open)
    }

    fn reply(&mut self, reply: crate::gateway::ServerReply) {
        if let Some(sent) = self.take_open_attempt() {
            self.harness.reply(sent.attempt, reply);
        }
    }

    fn fail(&mut self, failure: ExchangeFailure) {
        let Some(sent) = self.take_open_attempt() else {
            return;
        };
        let is_unsent = failure == ExchangeFailure::NotSent && is_new(&sent);
        self.unsent += usize::from(is_unsent);
        let attempt = sent.attempt;
        self.harness
            .event(GatewayEvent::Failed { attempt, failure });
    }

    fn sent_to_new(&self) -> usize {
        self.harness.sent.iter().filter(|sent| is_new(sent)).count()
    }

    /// Permits that were returned or lapsed, once every request ended.
    fn returned(&mut self) -> usize {
        for caller in std::mem::take(&mut self.callers) {
            let event = GatewayEvent::CallerDisconnected { caller };
            self.harness.event(event);
        }
        self.harness.advance(VALID * 2);
        report(&mut self.harness).returned as usize
    }
}

fn is_new(sent: &SentAttempt) -> bool {
    sent.instance.starts_with("new")
}

fn config() -> Config {
    Config {
        cases: 200,
        rng_seed: RngSeed::Fixed(31),
        ..Config::default()
    }
}

proptest! {
    #![proptest_config(config())]

    /// Guards against more requests at a version on trial than there are permits, and against lost
    /// permits.
    #[test]
    fn each_permit_is_used_or_returned(steps in prop::collection::vec(step(), 0..80)) {
        let mut run = Run::new();
        for step in steps {
            run.apply(step);
            prop_assert!(run.sent_to_new() - run.unsent <= run.granted);
        }
        let used = run.sent_to_new() - run.unsent;
        prop_assert_eq!(used + run.returned(), run.granted);
    }

    #[test]
    fn only_first_attempts_are_sent_to_version_on_trial(steps in prop::collection::vec(step(), 0..80)) {
        let mut run = Run::new();
        for step in steps {
            run.apply(step);
        }
        let mut attempts: BTreeMap<CallerId, Vec<bool>> = BTreeMap::new();
        for sent in &run.harness.sent {
            attempts.entry(sent.caller).or_default().push(is_new(sent));
        }
        for by_caller in attempts.values() {
            prop_assert!(!by_caller[1..].contains(&true), "{:?}", by_caller);
        }
    }

    #[test]
    fn rejected_version_gets_nothing(steps in prop::collection::vec(step(), 0..80)) {
        let mut run = Run::new();
        for step in steps {
            let before = run.sent_to_new();
            let was_rolled_back = run.is_rolled_back;
            run.apply(step);
            if was_rolled_back && run.is_rolled_back {
                prop_assert_eq!(run.sent_to_new(), before);
            }
        }
    }
}
