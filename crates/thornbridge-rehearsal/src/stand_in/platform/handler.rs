//! HTTP requests to the platform: faults first, then the store.

use super::faults::{Outage, PlatformFaults};
use super::machines::MachineLists;
use super::readers::Readers;
use super::request::{Target, header, if_match, precondition, watch_from};
use super::store::{Store, StoreConflict};
use super::watches::OpenWatch;
use super::{PlatformConfig, READER_HEADER};
use crate::stand_in::server::{
    Body, ConnectionCut, Handler, Outcome, Rejection, empty, json, parse_json, read_body, text,
};
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use serde::{Deserialize, Serialize};
use std::future::pending;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use thornbridge_proto::limits::PLATFORM_OBJECT_BYTES;
use thornbridge_proto::platform::{
    Machine, ObjectKind, Precondition, ResourceVersion, StoredObject, WatchChange,
};
use tokio::sync::watch;
use tokio::time::Instant;

/// Largest body of a control request.
const CONTROL_BODY_BYTES: usize = 1024 * 1024;

/// What a platform stand-in did.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformCounters {
    /// Requests, control excluded.
    pub requests: u64,
    /// Writes that took effect.
    pub writes: u64,
    /// Writes whose precondition did not hold.
    pub conflicts: u64,
    /// Answers lost after the write took effect.
    pub lost_answers: u64,
    /// Requests of one reader too many.
    pub refused_readers: u64,
    /// Watches open now.
    pub open_watches: u64,
    /// Readers that count now.
    pub readers: usize,
    /// Most readers at once so far.
    pub most_readers: usize,
}

#[derive(Serialize)]
struct ObjectList {
    objects: Vec<StoredObject>,
    version: ResourceVersion,
}

#[derive(Debug)]
struct State {
    store: Store,
    faults: PlatformFaults,
    readers: Readers,
    machines: MachineLists,
    counters: PlatformCounters,
}

/// State of one platform, shared by its connections.
#[derive(Debug)]
pub struct PlatformHandler {
    state: Mutex<State>,
    /// Raised by each change of store or faults; wakes the watches.
    change_count: watch::Sender<u64>,
}

impl PlatformHandler {
    /// A platform without objects.
    pub fn new(config: PlatformConfig) -> Self {
        let state = State {
            store: Store::new(config.history_limit),
            faults: config.faults,
            readers: Readers::new(config.reader_window),
            machines: MachineLists::new(config.machines, Instant::now()),
            counters: PlatformCounters::default(),
        };
        Self {
            state: Mutex::new(state),
            change_count: watch::Sender::new(0),
        }
    }

    /// Sets all faults at once.
    pub fn set_faults(&self, faults: PlatformFaults) {
        self.state().faults = faults;
        self.wake_watches();
    }

    /// The faults in effect.
    pub fn faults(&self) -> PlatformFaults {
        self.state().faults.clone()
    }

    /// Forgets the history.
    pub fn compact(&self) {
        self.state().store.compact();
        self.wake_watches();
    }

    /// Sets the true list of machines.
    pub fn set_machines(&self, machines: Vec<Machine>) {
        self.state().machines.set(machines, Instant::now());
    }

    /// What was done so far.
    pub fn counters(&self) -> PlatformCounters {
        let mut state = self.state();
        let mut counters = state.counters.clone();
        counters.readers = state.readers.count(Instant::now());
        counters.most_readers = state.readers.most_at_once();
        counters
    }

    /// Reads an object.
    pub fn object(&self, kind: ObjectKind, name: &str) -> Option<StoredObject> {
        self.state().store.get(kind, name).cloned()
    }

    pub(super) fn changed(&self) -> watch::Receiver<u64> {
        self.change_count.subscribe()
    }

    pub(super) fn changes_after(
        &self,
        kind: ObjectKind,
        from: ResourceVersion,
    ) -> Option<Vec<WatchChange>> {
        self.state().store.changes_after(kind, from)
    }

    pub(super) fn watch_opened(&self, reader: Option<&str>) {
        let mut state = self.state();
        state.counters.open_watches += 1;
        if let Some(reader) = reader {
            state.readers.watch_opened(reader);
        }
    }

    pub(super) fn watch_closed(&self, reader: Option<&str>) {
        let mut state = self.state();
        state.counters.open_watches -= 1;
        if let Some(reader) = reader {
            state.readers.watch_closed(reader, Instant::now());
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        // No code panics while it holds the lock half-way through a change.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn wake_watches(&self) {
        self.change_count.send_modify(|count| *count += 1);
    }

    async fn control(&self, request: Request<Incoming>) -> Result<Response<Body>, Rejection> {
        let method = request.method().clone();
        let path = request.uri().path().to_owned();
        let body = read_body(request.into_body(), CONTROL_BODY_BYTES).await?;
        match (method.as_str(), path.as_str()) {
            ("GET", "/stand-in/faults") => Ok(json(StatusCode::OK, &self.faults())),
            ("GET", "/stand-in/counters") => Ok(json(StatusCode::OK, &self.counters())),
            ("POST", "/stand-in/faults") => {
                self.set_faults(parse_json(&body)?);
                Ok(empty(StatusCode::NO_CONTENT))
            }
            ("POST", "/stand-in/compact") => {
                self.compact();
                Ok(empty(StatusCode::NO_CONTENT))
            }
            ("PUT", "/stand-in/machines") => {
                self.set_machines(parse_json(&body)?);
                Ok(empty(StatusCode::NO_CONTENT))
            }
            _ => Err(empty(StatusCode::NOT_FOUND).into()),
        }
    }

    fn admit_reader(&self, reader: Option<&str>) -> Result<(), Rejection> {
        let mut state = self.state();
        state.counters.requests += 1;
        let Some(reader) = reader else {
            return Ok(());
        };
        let limit = state.faults.reader_limit;
        if state.readers.admit(reader, limit, Instant::now()) {
            return Ok(());
        }
        state.counters.refused_readers += 1;
        Err(text(StatusCode::TOO_MANY_REQUESTS, "too many readers").into())
    }

    async fn serve(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Result<Response<Body>, Rejection> {
        let reader = header(request.headers(), READER_HEADER).map(str::to_owned);
        self.admit_reader(reader.as_deref())?;
        let method = request.method().clone();
        let target = Target::parse(request.uri().path())?;
        match (method, target) {
            (Method::GET, Target::Machines) => Ok(self.list_machines()),
            (Method::GET, Target::Object(kind, name)) => self.get(kind, &name),
            (Method::GET, Target::Kind(kind)) => {
                match watch_from(request.uri().query().unwrap_or_default())? {
                    Some(from) => self.watch(reader, kind, from),
                    None => Ok(self.list(kind)),
                }
            }
            (Method::PUT, Target::Object(kind, name)) => {
                let precondition = precondition(request.headers())?;
                let body = read_body(request.into_body(), PLATFORM_OBJECT_BYTES).await?;
                self.put(kind, &name, &body, precondition)
            }
            (Method::DELETE, Target::Object(kind, name)) => {
                let version = if_match(request.headers())?;
                self.delete(kind, &name, version)
            }
            _ => Err(empty(StatusCode::METHOD_NOT_ALLOWED).into()),
        }
    }

    fn get(&self, kind: ObjectKind, name: &str) -> Result<Response<Body>, Rejection> {
        match self.object(kind, name) {
            Some(object) => Ok(json(StatusCode::OK, &object)),
            None => Err(empty(StatusCode::NOT_FOUND).into()),
        }
    }

    fn list(&self, kind: ObjectKind) -> Response<Body> {
        let state = self.state();
        let list = ObjectList {
            objects: state.store.list(kind),
            version: state.store.version(),
        };
        json(StatusCode::OK, &list)
    }

    fn list_machines(&self) -> Response<Body> {
        let state = self.state();
        let lag = state.faults.machine_list_lag;
        json(StatusCode::OK, &state.machines.shown(lag, Instant::now()))
    }

    fn watch(
        self: Arc<Self>,
        reader: Option<String>,
        kind: ObjectKind,
        from: ResourceVersion,
    ) -> Result<Response<Body>, Rejection> {
        if self.changes_after(kind, from).is_none() {
            return Err(text(
                StatusCode::GONE,
                "the version is not in the history: list again",
            )
            .into());
        }
        let watch = OpenWatch::new(self, reader, kind, from);
        Ok(Response::new(watch.into_body()))
    }

    fn put(
        &self,
        kind: ObjectKind,
        name: &str,
        body: &[u8],
        precondition: Precondition,
    ) -> Result<Response<Body>, Rejection> {
        let _: serde::de::IgnoredAny = parse_json(body)?;
        let body = String::from_utf8_lossy(body).into_owned();
        let mut state = self.state();
        let written = state.store.put(kind, name, body, precondition);
        let object = written.map_err(|conflict| refuse_write(&mut state, &conflict))?;
        state.counters.writes += 1;
        drop(state);
        self.wake_watches();
        let status = match precondition {
            Precondition::Absent => StatusCode::CREATED,
            Precondition::Version(_) => StatusCode::OK,
        };
        Ok(json(status, &object))
    }

    fn delete(
        &self,
        kind: ObjectKind,
        name: &str,
        version: Option<ResourceVersion>,
    ) -> Result<Response<Body>, Rejection> {
        let mut state = self.state();
        let deleted = state.store.delete(kind, name, version);
        let deleted = deleted.map_err(|conflict| refuse_write(&mut state, &conflict))?;
        if deleted.is_none() {
            return Err(empty(StatusCode::NOT_FOUND).into());
        }
        state.counters.writes += 1;
        drop(state);
        self.wake_watches();
        Ok(empty(StatusCode::NO_CONTENT))
    }

    /// Whether this write's answer is one of those to lose.
    fn takes_lost_answer(&self, write: bool, status: StatusCode) -> bool {
        let mut state = self.state();
        if !write || !status.is_success() || state.faults.lose_write_answers == 0 {
            return false;
        }
        state.faults.lose_write_answers -= 1;
        state.counters.lost_answers += 1;
        true
    }
}

impl Handler for PlatformHandler {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Outcome {
        if request.uri().path().starts_with("/stand-in/") {
            return Ok(self
                .control(request)
                .await
                .unwrap_or_else(|refused| *refused));
        }
        let delay = self.faults().request_delay;
        tokio::time::sleep(delay).await;
        let faults = self.faults();
        match faults.outage {
            Outage::None => {}
            Outage::Unavailable => return Ok(empty(StatusCode::SERVICE_UNAVAILABLE)),
            Outage::Cut => return Err(ConnectionCut),
            Outage::Hang => return pending().await,
        }
        let write = request.method() != Method::GET;
        let answer = Arc::clone(&self).serve(request).await;
        let response = answer.unwrap_or_else(|refused| *refused);
        tokio::time::sleep(faults.answer_delay).await;
        if self.takes_lost_answer(write, response.status()) {
            return Err(ConnectionCut);
        }
        Ok(response)
    }
}

fn refuse_write(state: &mut State, conflict: &StoreConflict) -> Rejection {
    state.counters.conflicts += 1;
    match &conflict.current {
        Some(current) => json(StatusCode::CONFLICT, current).into(),
        None => empty(StatusCode::CONFLICT).into(),
    }
}
