//! State of one server: registration, statistics, connections and in-flight attempts.

use super::cold::ColdState;
use super::queue::PartQueue;
use super::rejections::Rejections;
use super::versions::VersionRole;
use crate::driver_action::ConnectionId;
use crate::gateway::budget::ServiceKey;
use crate::gateway::event::ServerLoad;
use crate::gateway::parameters::ServerParameters;
use crate::time::Timestamp;
use std::net::SocketAddr;
use std::time::Duration;
use thornbridge_proto::peer::view::{Instance, StoreRevision};
use thornbridge_proto::{AttemptId, BackEndId, RegionName, ServerVersion, ServiceName, ZoneName};

/// Largest change of the logarithm of a slowdown by one observation. One slow answer may be a pause;
/// two in a row indicate a slow server.
const MAX_SLOWDOWN_STEP: f64 = 0.7;
/// Range to which observed slowdowns are clamped.
const SLOWDOWN_RANGE: (f64, f64) = (0.2, 8.0);
/// Slowdown added for a server that has just started.
const COLD_START_SLOWDOWN: f64 = 0.5;
/// Age at which a load report is disregarded; its weight decreases linearly until then.
const LOAD_REPORT_LIFETIME: Duration = Duration::from_secs(1);
/// Bound on the doublings of the reconnect backoff.
const MAX_BACKOFF_DOUBLINGS: u32 = 8;
/// Weight of a connect time that is longer than the current estimate of the round trip.
const ROUND_TRIP_WEIGHT: f64 = 0.1;

/// Distance of a server from this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(in crate::gateway) enum Distance {
    SameZone,
    SameRegion,
    OtherRegion,
}

impl Distance {
    /// Assumed round trip.
    fn default_round_trip(self) -> Duration {
        match self {
            Self::SameZone => Duration::from_micros(500),
            Self::SameRegion => Duration::from_millis(2),
            Self::OtherRegion => Duration::from_millis(25),
        }
    }
}

/// State of a server's registration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::gateway) enum Availability {
    /// Takes requests.
    Ready,
    /// Registry entry removed without draining; used only as a last resort.
    Vanished {
        /// End of the grace period.
        until: Timestamp,
    },
    /// Another server has its address; takes no requests until its registry entry changes.
    Displaced,
    /// Leaving; takes no new requests.
    Draining,
    /// Left, or replaced by a later run.
    Gone,
}

impl Availability {
    /// Label for logs.
    pub(in crate::gateway) fn as_str(self) -> &'static str {
        match self {
            Self::Ready => "ready",
            Self::Vanished { .. } => "vanished",
            Self::Displaced => "displaced",
            Self::Draining => "draining",
            Self::Gone => "gone",
        }
    }
}

/// An in-flight attempt.
#[derive(Clone, Copy, Debug)]
pub(in crate::gateway) struct InFlightAttempt {
    pub(in crate::gateway) attempt: AttemptId,
    pub(in crate::gateway) sent_at: Timestamp,
    /// Expected time to the answer.
    pub(in crate::gateway) expected: Duration,
}

/// An open connection without an attempt.
#[derive(Clone, Copy, Debug)]
pub(in crate::gateway) struct IdleConnection {
    pub(in crate::gateway) connection: ConnectionId,
    /// When the connection became idle, and was last known to work.
    pub(in crate::gateway) idle_since: Timestamp,
    /// When the connection is closed unless it is used.
    pub(in crate::gateway) idle_until: Timestamp,
}

/// A server of a service.
#[derive(Debug)]
pub(in crate::gateway) struct Server {
    pub(in crate::gateway) id: BackEndId,
    /// Start of the server process, in Unix milliseconds; 0 if unknown.
    started_ms: u64,
    /// Revision of the registry entry.
    pub(super) revision: StoreRevision,
    pub(in crate::gateway) service: ServiceKey,
    pub(in crate::gateway) service_name: ServiceName,
    pub(in crate::gateway) address: SocketAddr,
    pub(in crate::gateway) zone: ZoneName,
    pub(super) version: ServerVersion,
    pub(in crate::gateway) role: VersionRole,
    /// Whether the server serves although its version is held: no serving server is left.
    pub(super) stands_in: bool,
    pub(in crate::gateway) distance: Distance,
    /// Region of the zone, if it is known.
    pub(super) region: Option<RegionName>,
    /// Requests that the server processes concurrently.
    pub(in crate::gateway) slots: u32,
    pub(in crate::gateway) availability: Availability,
    /// Whether the server's zone is evacuated.
    pub(super) evacuated: bool,
    /// Whether the server is in the subset that this node connects to.
    pub(in crate::gateway) in_subset: bool,
    /// Whether to connect ahead of use; cleared when the last connection expires idle or a connection
    /// is lost unused.
    pub(in crate::gateway) preconnect: bool,
    pub(in crate::gateway) in_flight: Vec<InFlightAttempt>,
    pub(in crate::gateway) queue: PartQueue,
    /// Whether the queued parts were queued under another role and must move.
    pub(super) queue_void: bool,
    pub(in crate::gateway) idle: Vec<IdleConnection>,
    /// Established connections.
    pub(in crate::gateway) open: u32,
    /// Connections being established.
    pub(in crate::gateway) opening: u32,
    /// Earliest time to open another connection.
    pub(in crate::gateway) reconnect_at: Timestamp,
    /// Connections in a row that could not be opened or were closed before they carried an answer.
    pub(super) consecutive_connect_failures: u32,
    /// Whether the log last reported the server as avoided.
    pub(in crate::gateway) avoided: bool,
    cold_until: Timestamp,
    /// Whether a bound on cold servers applies, and what it leaves.
    pub(super) cold: ColdState,
    round_trip: Option<Duration>,
    /// Logarithm of the slowdown, and when it was updated.
    log_slowdown: (f64, Timestamp),
    /// Decaying failure cost in seconds, and when it was updated.
    failure_cost_s: (f64, Timestamp),
    pub(in crate::gateway) rejections: Rejections,
    /// Last load report, and when it was received.
    load: Option<(ServerLoad, Timestamp)>,
}

impl Server {
    pub(super) fn new(
        now: Timestamp,
        instance: &Instance,
        revision: StoreRevision,
        service: ServiceKey,
        distance: Distance,
    ) -> Self {
        let cold_until = now + cold_left(instance);
        Self {
            id: instance.id.clone(),
            started_ms: instance.born_ms,
            revision,
            service,
            service_name: instance.service.clone(),
            address: instance.address,
            zone: instance.zone.clone(),
            version: instance.version.clone(),
            role: VersionRole::Serving,
            stands_in: false,
            distance,
            region: None,
            slots: instance.slots.max(1),
            availability: Availability::Ready,
            evacuated: false,
            in_subset: false,
            preconnect: true,
            in_flight: Vec::new(),
            queue: PartQueue::default(),
            queue_void: false,
            idle: Vec::new(),
            open: 0,
            opening: 0,
            reconnect_at: now,
            consecutive_connect_failures: 0,
            avoided: false,
            cold_until,
            cold: ColdState::new(cold_until),
            round_trip: None,
            log_slowdown: (0.0, now),
            failure_cost_s: (0.0, now),
            rejections: Rejections::new(now),
            load: None,
        }
    }

    /// Whether a registry entry belongs to this run of the server: the address is the same, and the
    /// start time where both are known.
    pub(super) fn is_same_run(&self, instance: &Instance) -> bool {
        let unknown = self.started_ms == 0 || instance.born_ms == 0;
        let same_start = unknown || self.started_ms == instance.born_ms;
        same_start && self.address == instance.address
    }

    /// Identity of this run of the server, distinct from other runs of the same instance.
    pub(in crate::gateway) fn run_id(&self) -> BackEndId {
        match self.started_ms {
            0 => self.id.clone(),
            started_ms => BackEndId::new(format!("{}@{started_ms}", self.id.as_str())),
        }
    }

    /// Whether the server may get new requests, if only as a last resort.
    pub(in crate::gateway) fn takes_requests(&self) -> bool {
        !self.evacuated && !self.is_leaving() && self.version_serves()
    }

    /// Whether the server is displaced, draining or gone.
    pub(in crate::gateway) fn is_leaving(&self) -> bool {
        match self.availability {
            Availability::Displaced | Availability::Draining | Availability::Gone => true,
            Availability::Ready | Availability::Vanished { .. } => false,
        }
    }

    /// Whether the server has started so recently that it is slower than usual.
    pub(super) fn is_cold(&self, now: Timestamp) -> bool {
        now < self.cold_until
    }

    /// Treats the server as cold at least until the given time.
    pub(super) fn extend_cold_start(&mut self, until: Timestamp) {
        self.cold_until = self.cold_until.max(until);
    }

    /// End of the grace period of a vanished server.
    pub(super) fn vanished_until(&self) -> Option<Timestamp> {
        match self.availability {
            Availability::Vanished { until } => Some(until),
            _ => None,
        }
    }

    /// Estimated round trip to the server.
    pub(in crate::gateway) fn round_trip(&self) -> Duration {
        self.round_trip
            .unwrap_or_else(|| self.distance.default_round_trip())
    }

    /// Updates the round trip by the time that a connection took to open.
    pub(super) fn observe_round_trip(&mut self, connect_time: Duration) {
        let estimate = self.round_trip.unwrap_or(connect_time);
        // The minimum is the network's round trip; longer times include delays in this node.
        self.round_trip = Some(if connect_time < estimate {
            connect_time
        } else {
            let increase = (connect_time - estimate).mul_f64(ROUND_TRIP_WEIGHT);
            estimate + increase.min(Duration::from_millis(1))
        });
    }

    /// Expected ratio of the server's processing time to the usual one; 2.0 is twice as slow.
    pub(in crate::gateway) fn slowdown(
        &self,
        parameters: &ServerParameters,
        now: Timestamp,
    ) -> f64 {
        let (log_slowdown, at) = self.log_slowdown;
        let decayed = log_slowdown * decay_factor(now.since(at), parameters.speed_half_life);
        let cold = if self.is_cold(now) {
            COLD_START_SLOWDOWN
        } else {
            0.0
        };
        decayed.exp() + cold
    }

    /// Records a processing time of `work` for a request that usually takes `usual`.
    pub(in crate::gateway) fn observe_slowdown(
        &mut self,
        parameters: &ServerParameters,
        now: Timestamp,
        work: Duration,
        usual: Duration,
    ) {
        if usual.is_zero() {
            return;
        }
        let ratio = work.as_secs_f64() / usual.as_secs_f64();
        let observed = ratio.clamp(SLOWDOWN_RANGE.0, SLOWDOWN_RANGE.1).ln();
        let (log_slowdown, at) = self.log_slowdown;
        let age = now.since(at);
        let decayed = log_slowdown * decay_factor(age, parameters.speed_half_life);
        // The weight of an observation grows with the time since the previous one.
        let intervals = age.as_secs_f64() / parameters.speed_interval.as_secs_f64();
        let weight = 1.0 - (1.0 - parameters.speed_weight).powf(intervals.max(1.0));
        let step = ((observed - decayed) * weight).clamp(-MAX_SLOWDOWN_STEP, MAX_SLOWDOWN_STEP);
        self.log_slowdown = (decayed + step, now);
    }

    /// Adds a failure cost.
    pub(in crate::gateway) fn add_failure_cost(
        &mut self,
        parameters: &ServerParameters,
        now: Timestamp,
        cost: Duration,
    ) {
        let before = self.failure_cost(parameters, now).as_secs_f64();
        self.failure_cost_s = (before + cost.as_secs_f64(), now);
    }

    /// Records a connection that could not be opened or was closed before it carried an answer;
    /// doubles the backoff from `first` up to `longest`.
    pub(super) fn connect_failed(&mut self, now: Timestamp, first: Duration, longest: Duration) {
        let doublings = self.consecutive_connect_failures.min(MAX_BACKOFF_DOUBLINGS);
        self.consecutive_connect_failures += 1;
        let backoff = first * 2_u32.pow(doublings);
        self.reconnect_at = now + backoff.min(longest);
    }

    /// Decayed cost of the server's failures.
    pub(in crate::gateway) fn failure_cost(
        &self,
        parameters: &ServerParameters,
        now: Timestamp,
    ) -> Duration {
        let (cost, at) = self.failure_cost_s;
        Duration::from_secs_f64(cost * decay_factor(now.since(at), parameters.failure_half_life))
    }

    /// Records an attempt that was sent to the server.
    pub(in crate::gateway) fn attempt_sent(
        &mut self,
        now: Timestamp,
        attempt: AttemptId,
        expected: Duration,
    ) {
        self.in_flight.push(InFlightAttempt {
            attempt,
            sent_at: now,
            expected,
        });
    }

    /// Records the end of an attempt.
    pub(in crate::gateway) fn attempt_ended(&mut self, attempt: AttemptId) {
        self.in_flight.retain(|other| other.attempt != attempt);
    }

    /// Records a load report of the server.
    pub(in crate::gateway) fn observe_load(&mut self, now: Timestamp, load: ServerLoad) {
        self.load = Some((load, now));
    }

    /// Estimated queue length at the server: requests beyond those that it processes concurrently.
    ///
    /// The maximum of this node's own requests beyond `concurrency` and, if the server reported its
    /// load recently, of all nodes' requests beyond its slots.
    pub(super) fn queue_length(&self, now: Timestamp, concurrency: u32) -> f64 {
        let own = (self.in_flight.len() + self.queue.len()) as f64;
        let reported = self
            .load
            .filter(|(_, at)| now.since(*at) < LOAD_REPORT_LIFETIME)
            .map_or(0.0, |(load, at)| {
                let freshness =
                    1.0 - now.since(at).as_secs_f64() / LOAD_REPORT_LIFETIME.as_secs_f64();
                f64::from(load.running.saturating_sub(1) + load.waiting) * freshness
            });
        let own = (own + 1.0 - f64::from(concurrency)).max(0.0);
        let reported = (reported + 1.0 - f64::from(self.slots)).max(0.0);
        own.max(reported)
    }

    /// Attempts without an answer for so long that their connections may be dead.
    fn stalled_attempts(
        &self,
        parameters: &ServerParameters,
        now: Timestamp,
    ) -> impl Iterator<Item = &InFlightAttempt> {
        self.in_flight.iter().filter(move |attempt| {
            let usual = attempt.expected.mul_f64(parameters.silence_factor);
            let limit = (usual + parameters.silence_margin).max(parameters.dead_connection);
            now.since(attempt.sent_at) > limit
        })
    }

    /// Open connections, idle ones included, without those that may be dead.
    pub(super) fn live_connections(&self, parameters: &ServerParameters, now: Timestamp) -> u32 {
        let dead = self.stalled_attempts(parameters, now).count() as u32;
        self.open.saturating_sub(dead)
    }

    /// Whether an idle connection may be dead: a stalled attempt was sent after the connection became
    /// idle, so that one fault may have broken both connections.
    pub(super) fn may_be_dead(
        &self,
        parameters: &ServerParameters,
        now: Timestamp,
        idle: &IdleConnection,
    ) -> bool {
        let mut stalled = self.stalled_attempts(parameters, now);
        stalled.any(|attempt| idle.idle_since <= attempt.sent_at)
    }

    /// Whether an attempt at the server has been in flight for longer than it should take.
    pub(in crate::gateway) fn is_silent(
        &self,
        parameters: &ServerParameters,
        now: Timestamp,
    ) -> bool {
        self.in_flight.iter().any(|attempt| {
            let limit = attempt.expected.mul_f64(parameters.silence_factor);
            now.since(attempt.sent_at) > limit + parameters.silence_margin
        })
    }
}

/// Time for which a registry entry tells that its server is cold.
pub(super) fn cold_left(instance: &Instance) -> Duration {
    Duration::from_millis(u64::from(instance.cold_milliseconds))
}

/// Factor by which a value with the given half-life has decayed.
pub(super) fn decay_factor(age: Duration, half_life: Duration) -> f64 {
    0.5_f64.powf(age.as_secs_f64() / half_life.as_secs_f64().max(1e-6))
}
