//! A driver of one router that checks, with each action, what must always hold.

use super::fixture::{SHARE, active_configuration, view};
use crate::routing::{AttemptOwner, FinishedAttempt, Router, RoutingParameters};
use crate::{Action, AttemptFailure, ConnectionId, Context, Signal, Timestamp};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;
use thornbridge_config::bundle::Bundle;
use thornbridge_proto::back_end::{Attempt, BackEndReply, LoadReport, ReplyOutcome, Work};
use thornbridge_proto::{AttemptId, BackEndId, NodeId, RequestId, ShardId};

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Link {
    Opening,
    Idle,
    Busy(AttemptId),
}

/// What the driver knows, kept apart from the router's own books.
pub struct Harness {
    pub router: Router,
    pub now: Timestamp,
    pub signals: VecDeque<Signal>,
    /// Attempts not ended, with their back end; false once cancelled.
    pub open: BTreeMap<AttemptId, (BackEndId, bool)>,
    pub sent: BTreeMap<AttemptId, (ConnectionId, Attempt)>,
    links: BTreeMap<ConnectionId, (BackEndId, Link)>,
    pub leaving: Vec<BackEndId>,
    pub connections_per_back_end: usize,
    random: Pcg64Mcg,
    actions: VecDeque<Action>,
}

impl Harness {
    pub fn new(parameters: RoutingParameters, bundle: Bundle, nodes: u64) -> Self {
        let mut harness = Self {
            router: Router::new(parameters),
            now: Timestamp::from_epoch(Duration::from_secs(1)),
            signals: VecDeque::new(),
            open: BTreeMap::new(),
            sent: BTreeMap::new(),
            links: BTreeMap::new(),
            leaving: Vec::new(),
            connections_per_back_end: SHARE,
            random: Pcg64Mcg::seed_from_u64(11),
            actions: VecDeque::new(),
        };
        harness.call(|router, context| router.members_changed(context, &view(nodes)));
        harness.install(bundle);
        harness
    }

    pub fn install(&mut self, bundle: Bundle) {
        let active = active_configuration(bundle);
        self.call(|router, context| router.install(context, &active));
    }

    /// Calls the router, then carries out and checks every action.
    pub fn call<T>(&mut self, call: impl FnOnce(&mut Router, &mut Context<'_>) -> T) -> T {
        let mut context = Context::new(
            self.now,
            &mut self.random,
            &mut self.actions,
            &mut self.signals,
        );
        let result = call(&mut self.router, &mut context);
        while let Some(action) = self.actions.pop_front() {
            self.carry_out(action);
        }
        while let Some(finished) = self.router.poll_finished() {
            assert_eq!(finished.result, Err(AttemptFailure::NotSent));
            self.ended(&finished);
        }
        self.check();
        result
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::OpenConnection {
                connection,
                back_end,
                ..
            } => {
                assert!(
                    !self.leaving.contains(&back_end),
                    "connects to a leaving one"
                );
                self.links.insert(connection, (back_end, Link::Opening));
            }
            Action::CloseConnection { connection } => {
                self.links.remove(&connection).expect("closes what is open");
            }
            Action::SendAttempt {
                connection,
                attempt,
            } => {
                let (back_end, link) = self.links.get_mut(&connection).expect("is open");
                assert_eq!(*link, Link::Idle, "one attempt at a time");
                assert_eq!(self.open[&attempt.attempt], (back_end.clone(), true));
                assert!(!self.leaving.contains(back_end), "sends to a leaving one");
                *link = Link::Busy(attempt.attempt);
                self.sent.insert(attempt.attempt, (connection, attempt));
            }
            _ => {}
        }
    }

    fn check(&self) {
        let mut links: BTreeMap<&BackEndId, usize> = BTreeMap::new();
        self.links
            .values()
            .for_each(|(back_end, _)| *links.entry(back_end).or_default() += 1);
        for (back_end, count) in links {
            assert!(
                count <= self.connections_per_back_end,
                "{back_end}: {count}"
            );
        }
        let mut attempts: BTreeMap<&BackEndId, u32> = BTreeMap::new();
        self.open
            .values()
            .for_each(|(back_end, _)| *attempts.entry(back_end).or_default() += 1);
        for (back_end, count) in attempts {
            assert_eq!(self.router.in_flight_at(back_end), count, "{back_end}");
        }
        assert_eq!(self.router.attempts_in_flight(), self.open.len());
    }

    fn ended(&mut self, finished: &FinishedAttempt) {
        let known = self.open.remove(&finished.attempt.attempt);
        assert_eq!(known, Some((finished.back_end.clone(), true)));
        self.sent.remove(&finished.attempt.attempt);
    }

    pub fn choose(&mut self, candidates: &[BackEndId]) -> Option<BackEndId> {
        self.call(|router, context| router.choose(context, candidates, &[]).ok())
    }

    pub fn dispatch(&mut self, back_end: &BackEndId) -> AttemptId {
        let id = self.router.next_attempt_id();
        let attempt = Attempt {
            attempt: id,
            request: RequestId {
                node: NodeId(1),
                sequence: id.0,
            },
            service: "search".into(),
            shard: ShardId(0),
            time_left: Duration::from_millis(100),
            work: Work::Query {
                snapshot: "snapshot".into(),
                layout: "layout".into(),
                query: "q".into(),
                limit: 1,
            },
        };
        self.open.insert(id, (back_end.clone(), true));
        self.call(|router, context| {
            router.dispatch(context, back_end, AttemptOwner::Query, attempt);
        });
        id
    }

    pub fn cancel(&mut self, attempt: AttemptId) {
        match self.open.get_mut(&attempt) {
            Some(open) if self.sent.contains_key(&attempt) => open.1 = false,
            _ => {
                self.open.remove(&attempt);
            }
        }
        self.call(|router, context| router.cancel(context, attempt));
    }

    pub fn reply(&mut self, attempt: AttemptId, outcome: ReplyOutcome, load: Option<LoadReport>) {
        let (connection, sent) = self.sent.remove(&attempt).expect("was sent");
        self.links.get_mut(&connection).expect("is open").1 = Link::Idle;
        let (_, wanted) = self.open.remove(&attempt).expect("is open");
        if let ReplyOutcome::Leaving = outcome {
            self.leaving.push(self.links[&connection].0.clone());
        }
        let reply = BackEndReply {
            request: sent.request,
            attempt,
            shard: sent.shard,
            outcome,
        };
        let finished = self.call(|router, context| router.replied(context, attempt, reply, load));
        assert_eq!(finished.is_some(), wanted, "reported unless cancelled");
    }

    pub fn hits() -> ReplyOutcome {
        ReplyOutcome::Hits {
            snapshot: "snapshot".into(),
            hits: Vec::new(),
        }
    }

    /// A connection breaks: its attempt fails first, as drivers tell it.
    pub fn lose(&mut self, connection: ConnectionId, failure: AttemptFailure) {
        let (_, link) = self.links[&connection].clone();
        if let Link::Busy(attempt) = link {
            let (back_end, wanted) = self.open.remove(&attempt).expect("is open");
            self.sent.remove(&attempt);
            // It may be moved to another connection, so it is open until it is reported.
            let moved_before = self.router.counters().attempts_moved;
            self.open.insert(attempt, (back_end.clone(), wanted));
            let finished = self.fail_quietly(attempt, failure);
            let moved = self.router.counters().attempts_moved > moved_before;
            assert_eq!(finished.is_some(), wanted && !moved);
            if !moved {
                self.open.remove(&attempt);
            }
            self.check();
        }
        self.links.remove(&connection);
        self.call(|router, context| router.connection_lost(context, connection));
    }

    fn fail_quietly(
        &mut self,
        attempt: AttemptId,
        failure: AttemptFailure,
    ) -> Option<FinishedAttempt> {
        let mut context = Context::new(
            self.now,
            &mut self.random,
            &mut self.actions,
            &mut self.signals,
        );
        let finished = self.router.failed(&mut context, attempt, failure);
        while let Some(action) = self.actions.pop_front() {
            self.carry_out(action);
        }
        while let Some(finished) = self.router.poll_finished() {
            self.ended(&finished);
        }
        finished
    }

    pub fn opened(&mut self, connection: ConnectionId) {
        self.links.get_mut(&connection).expect("is known").1 = Link::Idle;
        self.call(|router, context| router.connection_opened(context, connection));
    }

    pub fn open_all(&mut self) {
        while let Some(connection) = self.opening().first().copied() {
            self.opened(connection);
        }
    }

    pub fn opening(&self) -> Vec<ConnectionId> {
        self.links
            .iter()
            .filter(|(_, (_, link))| *link == Link::Opening)
            .map(|(connection, _)| *connection)
            .collect()
    }

    pub fn links(&self) -> Vec<ConnectionId> {
        self.links.keys().copied().collect()
    }

    pub fn links_to(&self, back_end: &BackEndId) -> Vec<ConnectionId> {
        self.links
            .iter()
            .filter(|(_, (to, _))| to == back_end)
            .map(|(connection, _)| *connection)
            .collect()
    }

    /// Time passes; due timers run. Abandoned attempts end with it.
    pub fn pass(&mut self, time: Duration) {
        let end = self.now + time;
        let mut calls = 0;
        while let Some(due) = self.router.next_timeout().filter(|due| *due <= end) {
            self.now = due.max(self.now);
            self.timer();
            calls += 1;
            assert!(calls < 100_000, "a timer that is never done");
        }
        self.now = end;
    }

    fn timer(&mut self) {
        let mut context = Context::new(
            self.now,
            &mut self.random,
            &mut self.actions,
            &mut self.signals,
        );
        self.router.timer_due(&mut context);
        while let Some(action) = self.actions.pop_front() {
            if let Action::CloseConnection { connection } = action
                && let Some((_, Link::Busy(attempt))) = self.links.get(&connection)
            {
                let (_, wanted) = self.open.remove(attempt).expect("is open");
                assert!(!wanted, "only cancelled ones are abandoned");
                self.sent.remove(attempt);
            }
            self.carry_out(action);
        }
        while let Some(finished) = self.router.poll_finished() {
            assert_eq!(finished.result, Err(AttemptFailure::NotSent));
            self.ended(&finished);
        }
        self.check();
    }
}
