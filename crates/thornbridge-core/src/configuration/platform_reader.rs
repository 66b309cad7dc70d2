//! Platform reader: lists and watches the rollout register, and fetches the bundle it names.
//!
//! Runs only while the node holds a reader lease. The register is also read periodically, since a
//! dead watch can be silent.

use super::parameters::{ConfigurationCounters, ConfigurationParameters};
use crate::context::Context;
use crate::driver_action::{Action, OperationId, StateChange, WatchId};
use crate::time::Timestamp;
use rand::Rng;
use std::time::Duration;
use thornbridge_config::objects::{PublishedBundle, ROLLOUT_NAME, Rollout};
use thornbridge_proto::peer::configuration::GenerationRecord;
use thornbridge_proto::platform::{
    ObjectKind, PlatformFailure, PlatformRequest, PlatformResponse, ResourceVersion, StoredObject,
    WatchChange, WatchEnd,
};

/// Result of a read or a watch.
#[derive(Debug)]
pub(super) enum ReaderUpdate {
    /// Record of the generation in the rollout register.
    Record(GenerationRecord),
    /// A generation with its published bundle.
    Bundle(GenerationRecord, Box<PublishedBundle>),
    /// An object in the store is missing or cannot be decoded.
    Malformed(String),
}

#[derive(Debug)]
enum ReaderRequest {
    Register,
    Bundle(GenerationRecord),
}

/// Reader state of one node.
#[derive(Debug)]
pub(super) struct PlatformReader {
    parameters: ConfigurationParameters,
    active: bool,
    in_flight: Option<(OperationId, ReaderRequest)>,
    watch: Option<WatchId>,
    last_watch: u64,
    next_check: Timestamp,
    failures: u32,
    reachable: Option<bool>,
}

impl PlatformReader {
    pub(super) fn new(parameters: ConfigurationParameters) -> Self {
        Self {
            parameters,
            active: false,
            in_flight: None,
            watch: None,
            last_watch: 0,
            next_check: Timestamp::ZERO,
            failures: 0,
            reachable: None,
        }
    }

    pub(super) fn is_active(&self) -> bool {
        self.active
    }

    /// Whether the last request succeeded; `None` before the first.
    pub(super) fn reachable(&self) -> Option<bool> {
        self.reachable
    }

    /// Starts or stops reading when the lease is gained or lost.
    pub(super) fn set_active(&mut self, context: &mut Context<'_>, active: bool) {
        if active == self.active {
            return;
        }
        self.active = active;
        self.in_flight = None;
        self.failures = 0;
        self.next_check = context.now;
        if let Some(watch) = self.watch.take() {
            context.act(Action::StopWatch { watch });
        }
    }

    pub(super) fn next_timeout(&self) -> Option<Timestamp> {
        let idle = self.active && self.in_flight.is_none();
        idle.then_some(self.next_check)
    }

    pub(super) fn timer_due(
        &mut self,
        context: &mut Context<'_>,
        last_operation: &mut u64,
        counters: &mut ConfigurationCounters,
    ) {
        if !self.active || self.in_flight.is_some() || context.now < self.next_check {
            return;
        }
        let request = PlatformRequest::List {
            kind: ObjectKind::Rollout,
        };
        let operation = send_request(context, last_operation, request, counters);
        self.in_flight = Some((operation, ReaderRequest::Register));
    }

    /// Requests the bundle of a record.
    pub(super) fn fetch(
        &mut self,
        context: &mut Context<'_>,
        record: GenerationRecord,
        last_operation: &mut u64,
        counters: &mut ConfigurationCounters,
    ) {
        let request = PlatformRequest::Get {
            kind: ObjectKind::Bundle,
            name: record.version.as_str().to_owned(),
        };
        let operation = send_request(context, last_operation, request, counters);
        self.in_flight = Some((operation, ReaderRequest::Bundle(record)));
    }

    /// Whether the operation is the request in flight.
    pub(super) fn is_in_flight(&self, operation: OperationId) -> bool {
        let in_flight = self.in_flight.as_ref();
        in_flight.is_some_and(|(in_flight, _)| *in_flight == operation)
    }

    /// Handles the reply to the request in flight.
    pub(super) fn platform_reply(
        &mut self,
        context: &mut Context<'_>,
        result: &Result<PlatformResponse, PlatformFailure>,
        counters: &mut ConfigurationCounters,
    ) -> Option<ReaderUpdate> {
        let (_, request) = self.in_flight.take()?;
        let update = match (request, result) {
            (ReaderRequest::Register, Ok(PlatformResponse::Objects { objects, version })) => {
                self.open_watch(context, *version, counters);
                let register = objects.iter().find(|object| object.name == ROLLOUT_NAME);
                register.map(register_update)
            }
            (ReaderRequest::Bundle(record), Ok(PlatformResponse::Object(object))) => {
                Some(bundle_update(record, object.as_ref()))
            }
            (_, _) => {
                self.record_failure(context, counters);
                return None;
            }
        };
        self.record_success(context);
        update
    }

    /// Handles a change reported by a watch.
    pub(super) fn watch_changed(
        &mut self,
        watch: WatchId,
        change: &WatchChange,
    ) -> Option<ReaderUpdate> {
        let register = change.object.kind == ObjectKind::Rollout && !change.deleted;
        let current = self.watch == Some(watch);
        (register && current).then(|| register_update(&change.object))
    }

    /// Whether the watch is the reader's current one.
    pub(super) fn is_watching(&self, watch: WatchId) -> bool {
        self.watch == Some(watch)
    }

    /// Schedules a new list and watch: at once after a compaction, else after a backoff.
    pub(super) fn watch_ended(
        &mut self,
        context: &mut Context<'_>,
        watch: WatchId,
        end: WatchEnd,
        counters: &mut ConfigurationCounters,
    ) {
        if self.watch != Some(watch) {
            return;
        }
        self.watch = None;
        match end {
            WatchEnd::Compacted => self.next_check = context.now,
            WatchEnd::Lost | WatchEnd::TooManyReaders => self.record_failure(context, counters),
        }
    }

    fn open_watch(
        &mut self,
        context: &mut Context<'_>,
        from: ResourceVersion,
        counters: &mut ConfigurationCounters,
    ) {
        if self.watch.is_some() {
            return;
        }
        self.last_watch += 1;
        counters.watches_opened += 1;
        let watch = WatchId(self.last_watch);
        self.watch = Some(watch);
        context.act(Action::Watch {
            watch,
            kind: ObjectKind::Rollout,
            from,
        });
    }

    fn record_success(&mut self, context: &mut Context<'_>) {
        self.failures = 0;
        self.next_check = context.now + self.parameters.check_interval;
        self.set_reachable(context, true);
    }

    fn record_failure(&mut self, context: &mut Context<'_>, counters: &mut ConfigurationCounters) {
        counters.platform_failures += 1;
        self.next_check = context.now + self.backoff(context);
        self.failures += 1;
        self.set_reachable(context, false);
    }

    fn backoff(&self, context: &mut Context<'_>) -> Duration {
        let factor = 1 << self.failures.min(16);
        let backoff = self.parameters.reader_pause.saturating_mul(factor);
        let jitter = context.random.random_range(0.5..1.0);
        backoff
            .min(self.parameters.reader_pause_maximum)
            .mul_f64(jitter)
    }

    fn set_reachable(&mut self, context: &mut Context<'_>, reachable: bool) {
        if self.reachable.replace(reachable) != Some(reachable) {
            context.act(Action::StateChanged(StateChange::PlatformChanged {
                reachable,
            }));
        }
    }
}

fn register_update(object: &StoredObject) -> ReaderUpdate {
    match serde_json::from_str::<Rollout>(&object.body) {
        Ok(rollout) => ReaderUpdate::Record(rollout.current),
        Err(error) => ReaderUpdate::Malformed(format!("invalid rollout register: {error}")),
    }
}

fn bundle_update(record: GenerationRecord, object: Option<&StoredObject>) -> ReaderUpdate {
    let Some(object) = object else {
        return ReaderUpdate::Malformed(format!(
            "the bundle of version {} is not in the store",
            record.version
        ));
    };
    match serde_json::from_str(&object.body) {
        Ok(published) => ReaderUpdate::Bundle(record, Box::new(published)),
        Err(error) => ReaderUpdate::Malformed(format!(
            "invalid bundle of version {}: {error}",
            record.version
        )),
    }
}

fn send_request(
    context: &mut Context<'_>,
    last_operation: &mut u64,
    request: PlatformRequest,
    counters: &mut ConfigurationCounters,
) -> OperationId {
    *last_operation += 1;
    counters.platform_requests += 1;
    let operation = OperationId(*last_operation);
    context.act(Action::Platform { operation, request });
    operation
}
