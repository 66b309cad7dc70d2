//! Driver of one router that checks its invariants after every call.

use super::fixture::{CONNECTION_SHARE, active_configuration, member_view};
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
enum ConnectionState {
    Opening,
    Idle,
    Busy(AttemptId),
}

/// Driver state, tracked independently of the router.
pub struct Harness {
    pub router: Router,
    pub now: Timestamp,
    pub signals: VecDeque<Signal>,
    /// Attempts in progress, with their back end and whether a result is expected (not cancelled).
    pub attempts: BTreeMap<AttemptId, (BackEndId, bool)>,
    pub sent: BTreeMap<AttemptId, (ConnectionId, Attempt)>,
    connections: BTreeMap<ConnectionId, (BackEndId, ConnectionState)>,
    pub leaving: Vec<BackEndId>,
    pub max_connections_per_back_end: usize,
    random: Pcg64Mcg,
    actions: VecDeque<Action>,
}

impl Harness {
    pub fn new(parameters: RoutingParameters, bundle: Bundle, nodes: u64) -> Self {
        let mut harness = Self {
            router: Router::new(parameters),
            now: Timestamp::from_epoch(Duration::from_secs(1)),
            signals: VecDeque::new(),
            attempts: BTreeMap::new(),
            sent: BTreeMap::new(),
            connections: BTreeMap::new(),
            leaving: Vec::new(),
            max_connections_per_back_end: CONNECTION_SHARE,
            random: Pcg64Mcg::seed_from_u64(11),
            actions: VecDeque::new(),
        };
        harness.call(|router, context| router.members_changed(context, &member_view(nodes)));
        harness.install(bundle);
        harness
    }

    pub fn install(&mut self, bundle: Bundle) {
        let active = active_configuration(bundle);
        self.call(|router, context| router.install(context, &active));
    }

    /// Calls the router, then executes and checks every action.
    pub fn call<T>(&mut self, call: impl FnOnce(&mut Router, &mut Context<'_>) -> T) -> T {
        let mut context = Context::new(
            self.now,
            &mut self.random,
            &mut self.actions,
            &mut self.signals,
        );
        let result = call(&mut self.router, &mut context);
        while let Some(action) = self.actions.pop_front() {
            self.execute(action);
        }
        while let Some(finished) = self.router.poll_finished() {
            assert_eq!(finished.result, Err(AttemptFailure::NotSent));
            self.remove_finished(&finished);
        }
        self.check_invariants();
        result
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::OpenConnection {
                connection,
                back_end,
                ..
            } => {
                assert!(
                    !self.leaving.contains(&back_end),
                    "connection opened to leaving back end"
                );
                self.connections
                    .insert(connection, (back_end, ConnectionState::Opening));
            }
            Action::CloseConnection { connection } => {
                self.connections
                    .remove(&connection)
                    .expect("closed connection is tracked");
            }
            Action::SendAttempt {
                connection,
                attempt,
            } => {
                let (back_end, state) = self
                    .connections
                    .get_mut(&connection)
                    .expect("connection is tracked");
                assert_eq!(
                    *state,
                    ConnectionState::Idle,
                    "attempt sent on busy connection"
                );
                assert_eq!(self.attempts[&attempt.attempt], (back_end.clone(), true));
                assert!(
                    !self.leaving.contains(back_end),
                    "attempt sent to leaving back end"
                );
                *state = ConnectionState::Busy(attempt.attempt);
                self.sent.insert(attempt.attempt, (connection, attempt));
            }
            _ => {}
        }
    }

    fn check_invariants(&self) {
        let mut connections: BTreeMap<&BackEndId, usize> = BTreeMap::new();
        self.connections
            .values()
            .for_each(|(back_end, _)| *connections.entry(back_end).or_default() += 1);
        for (back_end, count) in connections {
            assert!(
                count <= self.max_connections_per_back_end,
                "{back_end} has {count} connections"
            );
        }
        let mut attempts: BTreeMap<&BackEndId, u32> = BTreeMap::new();
        self.attempts
            .values()
            .for_each(|(back_end, _)| *attempts.entry(back_end).or_default() += 1);
        for (back_end, count) in attempts {
            assert_eq!(
                self.router.in_flight_at(back_end),
                count,
                "attempts at {back_end}"
            );
        }
        assert_eq!(self.router.attempts_in_flight(), self.attempts.len());
    }

    fn remove_finished(&mut self, finished: &FinishedAttempt) {
        let removed = self.attempts.remove(&finished.attempt.attempt);
        assert_eq!(removed, Some((finished.back_end.clone(), true)));
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
        self.attempts.insert(id, (back_end.clone(), true));
        self.call(|router, context| {
            router.dispatch(context, back_end, AttemptOwner::Query, attempt);
        });
        id
    }

    pub fn cancel(&mut self, attempt: AttemptId) {
        match self.attempts.get_mut(&attempt) {
            Some(open) if self.sent.contains_key(&attempt) => open.1 = false,
            _ => {
                self.attempts.remove(&attempt);
            }
        }
        self.call(|router, context| router.cancel(context, attempt));
    }

    pub fn reply(&mut self, attempt: AttemptId, outcome: ReplyOutcome, load: Option<LoadReport>) {
        let (connection, sent) = self.sent.remove(&attempt).expect("attempt was sent");
        self.connections
            .get_mut(&connection)
            .expect("connection is tracked")
            .1 = ConnectionState::Idle;
        let (_, expects_result) = self
            .attempts
            .remove(&attempt)
            .expect("attempt is in progress");
        if let ReplyOutcome::Leaving = outcome {
            self.leaving.push(self.connections[&connection].0.clone());
        }
        let reply = BackEndReply {
            request: sent.request,
            attempt,
            shard: sent.shard,
            outcome,
        };
        let finished =
            self.call(|router, context| router.attempt_replied(context, attempt, reply, load));
        assert_eq!(
            finished.is_some(),
            expects_result,
            "result expected unless cancelled"
        );
    }

    pub fn hits_outcome() -> ReplyOutcome {
        ReplyOutcome::Hits {
            snapshot: "snapshot".into(),
            hits: Vec::new(),
        }
    }

    /// Breaks a connection. Reports the failure of its attempt first, as drivers do.
    pub fn break_connection(&mut self, connection: ConnectionId, failure: AttemptFailure) {
        let (_, state) = self.connections[&connection].clone();
        if let ConnectionState::Busy(attempt) = state {
            let (back_end, expects_result) = self
                .attempts
                .remove(&attempt)
                .expect("attempt is in progress");
            self.sent.remove(&attempt);
            // The attempt may be moved to another connection, so it stays in progress for now.
            let moved_before = self.router.counters().attempts_moved;
            self.attempts
                .insert(attempt, (back_end.clone(), expects_result));
            let finished = self.fail_attempt(attempt, failure);
            let moved = self.router.counters().attempts_moved > moved_before;
            assert_eq!(finished.is_some(), expects_result && !moved);
            if !moved {
                self.attempts.remove(&attempt);
            }
            self.check_invariants();
        }
        self.connections.remove(&connection);
        self.call(|router, context| router.connection_lost(context, connection));
    }

    fn fail_attempt(
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
        let finished = self.router.attempt_failed(&mut context, attempt, failure);
        while let Some(action) = self.actions.pop_front() {
            self.execute(action);
        }
        while let Some(finished) = self.router.poll_finished() {
            self.remove_finished(&finished);
        }
        finished
    }

    pub fn complete_open(&mut self, connection: ConnectionId) {
        self.connections
            .get_mut(&connection)
            .expect("connection is tracked")
            .1 = ConnectionState::Idle;
        self.call(|router, context| router.connection_opened(context, connection));
    }

    pub fn open_connections(&mut self) {
        while let Some(connection) = self.opening_connections().first().copied() {
            self.complete_open(connection);
        }
    }

    pub fn opening_connections(&self) -> Vec<ConnectionId> {
        self.connections
            .iter()
            .filter(|(_, (_, state))| *state == ConnectionState::Opening)
            .map(|(connection, _)| *connection)
            .collect()
    }

    pub fn connections(&self) -> Vec<ConnectionId> {
        self.connections.keys().copied().collect()
    }

    pub fn connections_to(&self, back_end: &BackEndId) -> Vec<ConnectionId> {
        self.connections
            .iter()
            .filter(|(_, (to, _))| to == back_end)
            .map(|(connection, _)| *connection)
            .collect()
    }

    /// Advances the time and runs due timers.
    pub fn advance_time(&mut self, time: Duration) {
        let end = self.now + time;
        let mut calls = 0;
        while let Some(due) = self.router.next_timeout().filter(|due| *due <= end) {
            self.now = due.max(self.now);
            self.timer();
            calls += 1;
            assert!(calls < 100_000, "timer stays due after {calls} calls");
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
                && let Some((_, ConnectionState::Busy(attempt))) = self.connections.get(&connection)
            {
                let (_, expects_result) = self
                    .attempts
                    .remove(attempt)
                    .expect("attempt is in progress");
                assert!(
                    !expects_result,
                    "connection of an uncancelled attempt closed"
                );
                self.sent.remove(attempt);
            }
            self.execute(action);
        }
        while let Some(finished) = self.router.poll_finished() {
            assert_eq!(finished.result, Err(AttemptFailure::NotSent));
            self.remove_finished(&finished);
        }
        self.check_invariants();
    }
}
