//! Requests to one back end: admission, queue, slots, service time, reply.

use super::counters::BackEndCounters;
use super::executions::ExecutionLog;
use super::faults::{BackEndFaults, ReplyFault};
use super::index::Index;
use super::progress::{Running, State, Stay};
use super::work::{encode, read_attempt, read_cancellation, reply_to};
use crate::scenario::{ServiceTime, hash_parts};
use crate::stand_in::server::{
    Body, ConnectionCut, Handler, Outcome, cut_in_half, empty, json, text,
};
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::{Method, Request, Response, StatusCode};
use std::future::pending;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use thornbridge_config::bundle::BackEnd;
use thornbridge_proto::SnapshotId;
use thornbridge_proto::back_end::{
    Attempt, BackEndReply, LOAD_HEADER, LoadReport, Readiness, ReplyOutcome, Work,
};
use tokio::sync::{Notify, Semaphore, watch};
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

/// What a shedding back end asks callers to wait.
const SHED_RETRY_AFTER_MS: u64 = 100;
/// Snapshot that a reply names under [`ReplyFault::WrongSnapshot`].
const WRONG_SNAPSHOT: &str = "wrong-snapshot";
const WORK_PURPOSE: u64 = 31;
const SERVER_PURPOSE: u64 = 32;

/// What a back end is made of.
#[derive(Debug)]
pub struct HandlerSetup {
    /// Id, slots, connections.
    pub back_end: BackEnd,
    /// What it holds.
    pub index: Index,
    /// Where runs of actions are recorded.
    pub executions: Arc<ExecutionLog>,
    /// Service times.
    pub service_time: ServiceTime,
    /// Requests that may wait for each slot.
    pub queue_per_slot: u32,
    /// Slowness while cold.
    pub cold_factor: f64,
    /// Seed.
    pub seed: u64,
}

/// State of one back end, shared by its connections.
#[derive(Debug)]
pub struct BackEndHandler {
    pub(super) setup: HandlerSetup,
    slots: Semaphore,
    faults: watch::Sender<BackEndFaults>,
    state: Mutex<State>,
    /// Signalled whenever work ends.
    pub(super) work_ended: Notify,
}

/// How an attempt's time on the back end ended.
enum Ending {
    Ran,
    Cancelled,
    Expired,
}

impl BackEndHandler {
    /// An idle back end.
    pub fn new(setup: HandlerSetup) -> Self {
        let state = State::new(setup.index.clone());
        Self {
            slots: Semaphore::new(setup.back_end.slots as usize),
            setup,
            faults: watch::Sender::new(BackEndFaults::default()),
            state: Mutex::new(state),
            work_ended: Notify::new(),
        }
    }

    /// The back end.
    pub fn back_end(&self) -> &BackEnd {
        &self.setup.back_end
    }

    /// Faults in effect.
    pub fn faults(&self) -> BackEndFaults {
        self.faults.borrow().clone()
    }

    /// Sets all faults at once.
    pub fn set_faults(&self, faults: BackEndFaults) {
        self.faults.send_replace(faults);
    }

    /// Changes what it holds.
    pub fn set_index(&self, index: Index) {
        self.state().index = index;
    }

    /// What it did.
    pub fn counters(&self) -> BackEndCounters {
        self.state().counters.clone()
    }

    /// Returns once nothing runs or waits.
    pub async fn idle(&self) {
        loop {
            let ended = self.work_ended.notified();
            if self.state().attempts.is_empty() {
                return;
            }
            ended.await;
        }
    }

    pub(super) fn state(&self) -> MutexGuard<'_, State> {
        // No code panics while it holds the lock half-way through a change.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn load_report(&self, snapshots: bool) -> LoadReport {
        let faults = self.faults();
        let state = self.state();
        let real = state.load();
        let load = state.history.reported(Instant::now(), &faults, real);
        let readiness = if faults.leaving {
            Readiness::Leaving
        } else if faults.cold {
            Readiness::Cold
        } else {
            Readiness::Ready
        };
        LoadReport {
            running: load.running,
            queued: load.queued,
            slots: self.setup.back_end.slots,
            readiness,
            snapshots: snapshots.then(|| held(&state.index, &faults)),
        }
    }

    fn probe(&self, path: &str) -> Response<Body> {
        self.state().counters.probes += 1;
        json(StatusCode::OK, &self.load_report(path == "/health"))
    }

    fn cancel(&self, path: &str) -> Response<Body> {
        let Some(attempt) = read_cancellation(path) else {
            return text(StatusCode::NOT_FOUND, "no such path");
        };
        match self.state().attempts.get(&attempt) {
            Some(stop) => {
                stop.notify_one();
                empty(StatusCode::ACCEPTED)
            }
            None => empty(StatusCode::NOT_FOUND),
        }
    }

    /// The reason not to take an attempt, where there is one.
    fn refusal(&self, attempt: &Attempt) -> Option<ReplyOutcome> {
        let faults = self.faults();
        let mut state = self.state();
        state.counters.arrived += 1;
        if faults.leaving {
            state.counters.arrived_while_leaving += 1;
            return Some(ReplyOutcome::Leaving);
        }
        if attempt.time_left.is_zero() {
            state.counters.expired += 1;
            return Some(ReplyOutcome::Expired);
        }
        if !state.index.holds(attempt) || !holds_snapshot(attempt, &faults) {
            state.counters.not_held += 1;
            return Some(ReplyOutcome::NotHeld);
        }
        let most_queued = self.setup.queue_per_slot * self.setup.back_end.slots;
        if faults.shed || state.counters.queued >= most_queued {
            state.counters.shed += 1;
            let retry_after_ms = SHED_RETRY_AFTER_MS;
            return Some(ReplyOutcome::Shed { retry_after_ms });
        }
        None
    }

    async fn work(&self, attempt: &Attempt) -> ReplyOutcome {
        if let Some(refusal) = self.refusal(attempt) {
            return refusal;
        }
        let stay = Stay::new(self, attempt);
        let outcome = match self.wait_and_run(attempt, &stay.stop).await {
            Ending::Ran => self.outcome(attempt),
            Ending::Cancelled => ReplyOutcome::Cancelled,
            Ending::Expired => ReplyOutcome::Expired,
        };
        stay.end(&outcome);
        outcome
    }

    async fn wait_and_run(&self, attempt: &Attempt, stop: &Notify) -> Ending {
        let expiry = Instant::now() + attempt.time_left;
        let slot = tokio::select! {
            biased;
            () = stop.notified() => return Ending::Cancelled,
            slot = self.slots.acquire() => slot,
            () = tokio::time::sleep_until(expiry) => return Ending::Expired,
        };
        let _running = Running::new(self, attempt);
        let ran = tokio::select! {
            biased;
            () = self.serve_time(attempt) => Ending::Ran,
            () = stop.notified(), if is_query(attempt) => Ending::Cancelled,
        };
        drop(slot);
        ran
    }

    /// Takes the time that the work takes, and longer while it is held.
    async fn serve_time(&self, attempt: &Attempt) {
        let faults = self.faults();
        let cold = if faults.cold {
            self.setup.cold_factor
        } else {
            1.0
        };
        let time = self.drawn_time(attempt);
        tokio::time::sleep(time.mul_f64(faults.straggler_factor * cold)).await;
        let mut faults = self.faults.subscribe();
        // An error means that the back end is being dropped.
        let _ = faults.wait_for(|faults| !faults.hold).await;
    }

    fn drawn_time(&self, attempt: &Attempt) -> Duration {
        let text = match &attempt.work {
            Work::Query { query, .. } => query,
            Work::Action { key, .. } => key,
        };
        let seed = self.setup.seed;
        let shard = u64::from(attempt.shard.0);
        let work = [seed, shard, xxh3_64(text.as_bytes())];
        let server = xxh3_64(self.setup.back_end.id.as_str().as_bytes());
        let on_server = [seed, server, attempt.request.sequence, attempt.attempt.0];
        self.setup.service_time.draw(
            hash_parts(WORK_PURPOSE, &work),
            hash_parts(SERVER_PURPOSE, &on_server),
        )
    }

    fn outcome(&self, attempt: &Attempt) -> ReplyOutcome {
        match &attempt.work {
            Work::Action { key, .. } => ReplyOutcome::Done {
                outcome: format!("{key} done by {}", self.setup.back_end.id),
            },
            Work::Query {
                snapshot,
                query,
                limit,
                ..
            } => {
                let state = self.state();
                let index = &state.index;
                ReplyOutcome::Hits {
                    snapshot: snapshot.clone(),
                    hits: index.search(&attempt.service, attempt.shard, snapshot, query, *limit),
                }
            }
        }
    }

    async fn reply(&self, attempt: &Attempt, outcome: ReplyOutcome) -> Outcome {
        let ran = matches!(
            outcome,
            ReplyOutcome::Hits { .. } | ReplyOutcome::Done { .. }
        );
        let fault = if ran {
            self.faults().reply
        } else {
            ReplyFault::None
        };
        let reply = spoilt(reply_to(attempt, outcome), fault);
        match fault {
            ReplyFault::Lost => pending().await,
            ReplyFault::Cut => Err(ConnectionCut),
            ReplyFault::Half => Ok(cut_in_half(encode(&reply)).await),
            ReplyFault::Malformed => Ok(self.with_load(malformed())),
            _ => Ok(self.with_load(encode(&reply))),
        }
    }

    fn with_load(&self, mut response: Response<Body>) -> Response<Body> {
        let report = serde_json::to_string(&self.load_report(false));
        let value = report
            .ok()
            .and_then(|text| HeaderValue::from_str(&text).ok());
        if let Some(value) = value {
            response.headers_mut().insert(LOAD_HEADER, value);
        }
        response
    }
}

impl Handler for BackEndHandler {
    fn connection_opened(&self) -> bool {
        let mut state = self.state();
        let counters = &mut state.counters;
        if counters.connections >= self.setup.back_end.connections {
            counters.refused_connections += 1;
            return false;
        }
        counters.connections += 1;
        counters.most_connections = counters.most_connections.max(counters.connections);
        true
    }

    fn connection_closed(&self) {
        self.state().counters.connections -= 1;
    }

    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Outcome {
        if self.faults().hang {
            return pending().await;
        }
        let path = request.uri().path().to_owned();
        match (request.method(), path.as_str()) {
            (&Method::GET, "/load" | "/health") => Ok(self.probe(&path)),
            (&Method::DELETE, _) => Ok(self.cancel(&path)),
            (&Method::POST, _) => match read_attempt(request).await {
                Ok(attempt) => {
                    let outcome = self.work(&attempt).await;
                    self.reply(&attempt, outcome).await
                }
                Err(rejection) => Ok(*rejection),
            },
            _ => Ok(empty(StatusCode::METHOD_NOT_ALLOWED)),
        }
    }
}

fn is_query(attempt: &Attempt) -> bool {
    matches!(attempt.work, Work::Query { .. })
}

fn held(index: &Index, faults: &BackEndFaults) -> Vec<SnapshotId> {
    let mut snapshots = index.snapshots();
    if let Some(held) = &faults.held_snapshots {
        snapshots.retain(|snapshot| held.contains(snapshot));
    }
    snapshots
}

fn holds_snapshot(attempt: &Attempt, faults: &BackEndFaults) -> bool {
    match (&attempt.work, &faults.held_snapshots) {
        (Work::Query { snapshot, .. }, Some(held)) => held.contains(snapshot),
        _ => true,
    }
}

fn malformed() -> Response<Body> {
    let mut response = json(StatusCode::OK, &());
    *response.body_mut() = crate::stand_in::server::full("{\"request\": ");
    response
}

fn spoilt(mut reply: BackEndReply, fault: ReplyFault) -> BackEndReply {
    match fault {
        ReplyFault::WrongRequest => reply.request.sequence += 1,
        ReplyFault::WrongSnapshot => {
            if let ReplyOutcome::Hits { snapshot, hits } = &mut reply.outcome {
                *snapshot = SnapshotId::new(WRONG_SNAPSHOT);
                for hit in hits {
                    hit.title = WRONG_SNAPSHOT.to_owned();
                }
            }
        }
        ReplyFault::Failed => {
            let detail = "the stand-in was told to fail".to_owned();
            reply.outcome = ReplyOutcome::Failed { detail };
        }
        _ => {}
    }
    reply
}
