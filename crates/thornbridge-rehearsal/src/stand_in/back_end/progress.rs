//! Work on a back end from arrival to end, counted on every way out.

use super::counters::BackEndCounters;
use super::executions::Execution;
use super::handler::BackEndHandler;
use super::index::Index;
use super::load::{Load, LoadHistory};
use std::collections::BTreeMap;
use std::sync::Arc;
use thornbridge_proto::back_end::{Attempt, ReplyOutcome, Work};
use thornbridge_proto::{AttemptId, RequestId};
use tokio::sync::Notify;
use tokio::time::Instant;

/// What changes on one back end.
#[derive(Debug)]
pub struct State {
    /// What it holds.
    pub index: Index,
    /// What it did.
    pub counters: BackEndCounters,
    /// The loads there were.
    pub history: LoadHistory,
    /// Attempts that wait or run, and how each is told to stop.
    pub attempts: BTreeMap<(RequestId, AttemptId), Arc<Notify>>,
}

impl State {
    /// Idle.
    pub fn new(index: Index) -> Self {
        Self {
            index,
            counters: BackEndCounters::default(),
            history: LoadHistory::default(),
            attempts: BTreeMap::new(),
        }
    }

    /// The real load.
    pub fn load(&self) -> Load {
        Load {
            running: self.counters.running,
            queued: self.counters.queued,
        }
    }

    fn record_load(&mut self) {
        let load = self.load();
        self.history.record(Instant::now(), load);
    }
}

/// An attempt in the queue or running. Dropped without [`Stay::end`], its connection went away.
pub struct Stay<'a> {
    handler: &'a BackEndHandler,
    key: (RequestId, AttemptId),
    /// Told when the attempt is cancelled.
    pub stop: Arc<Notify>,
    ended: bool,
}

impl<'a> Stay<'a> {
    /// Begins.
    pub fn new(handler: &'a BackEndHandler, attempt: &Attempt) -> Self {
        let key = (attempt.request, attempt.attempt);
        let stop = Arc::new(Notify::new());
        let mut state = handler.state();
        state.attempts.insert(key, Arc::clone(&stop));
        state.counters.queued += 1;
        state.record_load();
        drop(state);
        Self {
            handler,
            key,
            stop,
            ended: false,
        }
    }

    /// Counts how the attempt ended.
    pub fn end(mut self, outcome: &ReplyOutcome) {
        self.ended = true;
        let counters = &mut self.handler.state().counters;
        match outcome {
            ReplyOutcome::Cancelled => counters.cancelled += 1,
            ReplyOutcome::Expired => counters.expired += 1,
            _ => counters.finished += 1,
        }
    }
}

impl Drop for Stay<'_> {
    fn drop(&mut self) {
        let mut state = self.handler.state();
        state.attempts.remove(&self.key);
        state.counters.queued -= 1;
        if !self.ended {
            state.counters.abandoned += 1;
        }
        state.record_load();
        drop(state);
        self.handler.work_ended.notify_waiters();
    }
}

/// An attempt that runs, which is not counted as waiting meanwhile.
pub struct Running<'a> {
    handler: &'a BackEndHandler,
}

impl<'a> Running<'a> {
    /// Begins.
    pub fn new(handler: &'a BackEndHandler, attempt: &Attempt) -> Self {
        let mut state = handler.state();
        state.counters.queued -= 1;
        state.counters.running += 1;
        state.counters.started += 1;
        state.record_load();
        drop(state);
        if let Work::Action { key, .. } = &attempt.work {
            let execution = Execution {
                back_end: handler.setup.back_end.id.clone(),
                request: attempt.request,
            };
            handler.setup.executions.record(key, execution);
        }
        Self { handler }
    }
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        let mut state = self.handler.state();
        state.counters.running -= 1;
        state.counters.queued += 1;
    }
}
