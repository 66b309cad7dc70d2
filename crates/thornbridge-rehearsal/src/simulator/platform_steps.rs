//! What reaches the platform, and what it answers under its faults.

use super::Simulator;
use super::network::Place;
use super::node_actions::{PLATFORM_TIMEOUT, no_answer};
use super::occurrence::{NodeArrival, Occurrence, PlatformArrival};
use super::platform::PlatformClient;
use super::trace::Step;
use crate::fault::Fault;
use crate::scenario::hash_parts;
use std::time::Duration;
use thornbridge_config::approval::Approval;
use thornbridge_config::objects::Rollout;
use thornbridge_core::{Event, OperationId, WatchId};
use thornbridge_proto::platform::{
    Machine, ObjectKind, PlatformFailure, PlatformRequest, PlatformResponse, ResourceVersion,
    WatchChange, WatchEnd,
};

/// Time that the store takes for a request.
const STORE_TIME: Duration = Duration::from_millis(5);
/// Time that it takes under [`Fault::StoreSlow`].
const SLOW_STORE_TIME: Duration = Duration::from_secs(3);
const LOSS_PURPOSE: u64 = 61;

impl Simulator {
    pub(super) fn platform_step(&mut self, client: PlatformClient, arrival: PlatformArrival) {
        self.trace
            .note(self.now, Step::Platform, [client_tag(client), 0, 0], || {
                super::node_steps::shortened(format!("platform <- {client:?} {arrival:?}"))
            });
        if self.schedule.is_active(Fault::StoreDown, self.now) {
            if let Some(event) = no_answer(&arrival) {
                self.send_to_client(PLATFORM_TIMEOUT, client, event);
            }
            return;
        }
        match arrival {
            PlatformArrival::Request { operation, request } => {
                self.platform_request(client, operation, request);
            }
            PlatformArrival::Watch { watch, kind, from } => {
                self.platform_watch(client, watch, kind, from);
            }
            PlatformArrival::StopWatch { watch } => self.platform.stop_watch(client, watch),
        }
    }

    fn platform_request(
        &mut self,
        client: PlatformClient,
        operation: OperationId,
        request: PlatformRequest,
    ) {
        let writes = matches!(request, PlatformRequest::Put { .. });
        let result = self.store(client, request);
        let lost = writes && self.is_answer_lost();
        let (delay, result) = if lost {
            (PLATFORM_TIMEOUT, Err(PlatformFailure::NoAnswer))
        } else {
            (self.store_time(), result)
        };
        self.send_to_client(delay, client, Event::PlatformReply { operation, result });
    }

    /// Carries out a request at once and tells watchers and the oracle.
    pub(super) fn store(
        &mut self,
        client: PlatformClient,
        request: PlatformRequest,
    ) -> Result<PlatformResponse, PlatformFailure> {
        let (result, change) = self.platform.apply(self.now, client, request);
        if let Some(change) = change {
            self.note_change(&change);
            for (watcher, watch) in self.platform.watchers(change.object.kind) {
                let change = change.clone();
                let delay = self.store_time();
                self.send_to_client(delay, watcher, Event::WatchChanged { watch, change });
            }
        }
        result
    }

    fn note_change(&mut self, change: &WatchChange) {
        if change.object.kind == ObjectKind::Approval
            && let Ok(approval) = serde_json::from_str::<Approval>(&change.object.body)
        {
            self.oracle
                .approved(self.now, approval.version, approval.digest);
        }
        if change.object.kind == ObjectKind::Rollout
            && let Ok(rollout) = serde_json::from_str::<Rollout>(&change.object.body)
        {
            let record = rollout.current;
            self.oracle.generation_written(
                self.now,
                record.generation,
                &record.version,
                record.digest,
            );
        }
    }

    fn is_answer_lost(&self) -> bool {
        let active = self
            .schedule
            .active(Fault::StoreLostAnswer, self.now)
            .next();
        active.is_some_and(|window| {
            let time = self.now.since_epoch().as_nanos() as u64;
            hash_parts(window.seed, &[LOSS_PURPOSE, time]).is_multiple_of(2)
        })
    }

    fn store_time(&self) -> Duration {
        if self.schedule.is_active(Fault::StoreSlow, self.now) {
            SLOW_STORE_TIME
        } else {
            STORE_TIME
        }
    }

    fn platform_watch(
        &mut self,
        client: PlatformClient,
        watch: WatchId,
        kind: ObjectKind,
        from: ResourceVersion,
    ) {
        let delay = self.store_time();
        match self.platform.watch(client, watch, kind, from) {
            Ok(missed) => {
                for change in missed {
                    self.send_to_client(delay, client, Event::WatchChanged { watch, change });
                }
            }
            Err(end) => self.send_to_client(delay, client, Event::WatchEnded { watch, end }),
        }
    }

    /// An answer on its way to a client; a client that is cut off gets none.
    pub(super) fn send_to_client(&mut self, delay: Duration, client: PlatformClient, event: Event) {
        let (node, run) = match client {
            PlatformClient::Node { node, run } => (node, run),
            PlatformClient::Operator(operator) => {
                if let Event::PlatformReply { result, .. } = event {
                    let answer = Some(result);
                    self.after(delay, Occurrence::Operator { operator, answer });
                }
                return;
            }
        };
        let to = self.place_of_node(node);
        let way = self.network.reliable(self.now, Place::Platform, to);
        let (delay, event) = match way {
            Some(way) => (delay + way, event),
            None => match cut_off(event) {
                Some(event) => (PLATFORM_TIMEOUT, event),
                None => return,
            },
        };
        let arrival = NodeArrival::Event(event);
        self.after(delay, Occurrence::Node { node, run, arrival });
    }

    /// All watches end, as the store goes down.
    pub(super) fn lose_watches(&mut self) {
        for (client, watch) in self.platform.end_all_watches() {
            let end = WatchEnd::Lost;
            self.send_to_client(Duration::ZERO, client, Event::WatchEnded { watch, end });
        }
    }

    /// The list of machines as it is now; shown until the next listing.
    pub(super) fn list_machines(&mut self) {
        let nodes = self.setup.deployment.nodes.iter().zip(&self.hosts);
        let machines = nodes.map(|(place, host)| Machine {
            peer_address: place.address,
            zone: place.zone_name.clone(),
            leaving: host.stopping_since.is_some(),
        });
        self.platform.machines = machines.collect();
    }
}

/// What a process tells the core when an answer cannot reach it.
fn cut_off(event: Event) -> Option<Event> {
    match event {
        Event::PlatformReply { operation, .. } => Some(Event::PlatformReply {
            operation,
            result: Err(PlatformFailure::NoAnswer),
        }),
        Event::WatchChanged { watch, .. } | Event::WatchEnded { watch, .. } => {
            Some(Event::WatchEnded {
                watch,
                end: WatchEnd::Lost,
            })
        }
        _ => None,
    }
}

fn client_tag(client: PlatformClient) -> u64 {
    match client {
        PlatformClient::Node { node, .. } => 1 + ((node as u64) << 1),
        PlatformClient::Operator(operator) => (operator as u64) << 1,
    }
}
