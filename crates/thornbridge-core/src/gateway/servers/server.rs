//! One server: what is known of it, and what is on its way to it.

use super::queue::WaitingQueue;
use super::rejections::Rejections;
use crate::driver_action::ConnectionId;
use crate::gateway::budget::ServiceKey;
use crate::gateway::event::ServerLoad;
use crate::gateway::parameters::ServerParameters;
use crate::time::Timestamp;
use std::net::SocketAddr;
use std::time::Duration;
use thornbridge_proto::peer::view::Instance;
use thornbridge_proto::{AttemptId, BackEndId, ServiceName, ZoneName};

/// Most that one observation changes the logarithm of a speed: a single pause is no slow server,
/// two slow answers in a row are.
const SPEED_STEP: f64 = 0.7;
/// Slowest and fastest speed that is believed, as a factor on the usual work.
const SPEED_RANGE: (f64, f64) = (0.2, 8.0);
/// Extra work of a server that has just started, as a share.
const COLD_SHARE: f64 = 0.5;
/// Age after which a load report says nothing any more.
const LOAD_LIFETIME: Duration = Duration::from_secs(1);
/// Refusals in a row beyond which the pause does not grow.
const MOST_DOUBLINGS: u32 = 8;
/// Weight of an opening time that is longer than the least one seen.
const ROUND_TRIP_WEIGHT: f64 = 0.1;

/// How far a server is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(in crate::gateway) enum Distance {
    SameZone,
    SameRegion,
    OtherRegion,
}

impl Distance {
    /// Round trip before one was seen.
    fn usual_round_trip(self) -> Duration {
        match self {
            Self::SameZone => Duration::from_micros(500),
            Self::SameRegion => Duration::from_millis(2),
            Self::OtherRegion => Duration::from_millis(25),
        }
    }
}

/// Whether a server may get requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::gateway) enum Availability {
    /// Takes requests.
    Ready,
    /// Its entry is gone, without notice: a last choice until then.
    Vanished {
        /// End of that.
        until: Timestamp,
    },
    /// Said that it leaves: nothing new.
    Draining,
    /// Gone.
    Gone,
}

impl Availability {
    /// Name for logs.
    pub(in crate::gateway) fn as_str(self) -> &'static str {
        match self {
            Self::Ready => "ready",
            Self::Vanished { .. } => "vanished",
            Self::Draining => "draining",
            Self::Gone => "gone",
        }
    }
}

/// An attempt that has not ended.
#[derive(Clone, Copy, Debug)]
pub(in crate::gateway) struct Outstanding {
    pub(in crate::gateway) attempt: AttemptId,
    pub(in crate::gateway) sent: Timestamp,
    /// Time that it is expected to take.
    pub(in crate::gateway) expected: Duration,
}

/// A connection that rests.
#[derive(Clone, Copy, Debug)]
pub(in crate::gateway) struct Resting {
    pub(in crate::gateway) connection: ConnectionId,
    /// Since when: it was sound then.
    pub(in crate::gateway) since: Timestamp,
    pub(in crate::gateway) until: Timestamp,
}

/// One server.
#[derive(Debug)]
pub(in crate::gateway) struct Server {
    pub(in crate::gateway) id: BackEndId,
    /// When its run started, in Unix milliseconds; 0 where it does not say.
    born_ms: u64,
    pub(in crate::gateway) service: ServiceKey,
    pub(in crate::gateway) service_name: ServiceName,
    pub(in crate::gateway) address: SocketAddr,
    pub(in crate::gateway) zone: ZoneName,
    pub(in crate::gateway) distance: Distance,
    pub(in crate::gateway) slots: u32,
    pub(in crate::gateway) availability: Availability,
    /// Whether the operator wants nothing to be sent to its zone.
    pub(super) evacuated: bool,
    /// Whether this node is one of those that keep a connection to it.
    pub(in crate::gateway) assigned: bool,
    /// Whether a connection is to be opened ahead of use: not after one that was not used.
    pub(in crate::gateway) wanted: bool,
    pub(in crate::gateway) outstanding: Vec<Outstanding>,
    pub(in crate::gateway) waiting: WaitingQueue,
    pub(in crate::gateway) resting: Vec<Resting>,
    pub(in crate::gateway) open: u32,
    pub(in crate::gateway) opening: u32,
    pub(in crate::gateway) connect_after: Timestamp,
    /// Connections in a row that were not opened, or closed before they carried an answer.
    pub(super) refusals: u32,
    pub(in crate::gateway) avoided: bool,
    cold_until: Timestamp,
    round_trip: Option<Duration>,
    /// Logarithm of its work over the usual, at a time.
    speed: (f64, Timestamp),
    /// Cost of its failures in seconds, at a time.
    failures: (f64, Timestamp),
    pub(in crate::gateway) rejections: Rejections,
    load: Option<(ServerLoad, Timestamp)>,
}

impl Server {
    pub(super) fn new(
        now: Timestamp,
        instance: &Instance,
        service: ServiceKey,
        distance: Distance,
    ) -> Self {
        Self {
            id: instance.id.clone(),
            born_ms: instance.born_ms,
            service,
            service_name: instance.service.clone(),
            address: instance.address,
            zone: instance.zone.clone(),
            distance,
            slots: instance.slots.max(1),
            availability: Availability::Ready,
            evacuated: false,
            assigned: false,
            wanted: true,
            outstanding: Vec::new(),
            waiting: WaitingQueue::default(),
            resting: Vec::new(),
            open: 0,
            opening: 0,
            connect_after: now,
            refusals: 0,
            avoided: false,
            cold_until: now + Duration::from_millis(u64::from(instance.cold_milliseconds)),
            round_trip: None,
            speed: (0.0, now),
            failures: (0.0, now),
            rejections: Rejections::none(now),
            load: None,
        }
    }

    /// Whether an entry is of this run of the server. One that does not say when it started is.
    pub(super) fn is_run(&self, instance: &Instance) -> bool {
        let unknown = self.born_ms == 0 || instance.born_ms == 0;
        unknown || self.born_ms == instance.born_ms
    }

    /// Identity of this run, which no other has.
    pub(in crate::gateway) fn run_id(&self) -> BackEndId {
        match self.born_ms {
            0 => self.id.clone(),
            born_ms => BackEndId::new(format!("{}@{born_ms}", self.id.as_str())),
        }
    }

    /// Whether it may get requests, if only as a last choice.
    pub(in crate::gateway) fn takes_requests(&self) -> bool {
        !self.evacuated && !self.is_leaving()
    }

    /// Whether it said that it leaves, or is gone.
    pub(super) fn is_leaving(&self) -> bool {
        matches!(
            self.availability,
            Availability::Draining | Availability::Gone
        )
    }

    /// It is slow until then.
    pub(super) fn is_cold_until(&mut self, until: Timestamp) {
        self.cold_until = self.cold_until.max(until);
    }

    pub(super) fn vanishes_at(&self) -> Option<Timestamp> {
        match self.availability {
            Availability::Vanished { until } => Some(until),
            _ => None,
        }
    }

    /// Round trip to it.
    pub(in crate::gateway) fn round_trip(&self) -> Duration {
        self.round_trip
            .unwrap_or_else(|| self.distance.usual_round_trip())
    }

    /// A connection opened in this time.
    pub(super) fn observe_round_trip(&mut self, took: Duration) {
        let known = self.round_trip.unwrap_or(took);
        // The least one seen is the way itself; longer ones hold this node's own delays.
        self.round_trip = Some(if took < known {
            took
        } else {
            let more = (took - known).mul_f64(ROUND_TRIP_WEIGHT);
            known + more.min(Duration::from_millis(1))
        });
    }

    /// Its work over the usual.
    pub(in crate::gateway) fn speed(&self, parameters: &ServerParameters, now: Timestamp) -> f64 {
        let (speed, at) = self.speed;
        let decayed = speed * half_life(now.since(at), parameters.speed_half_life);
        let cold = if now < self.cold_until {
            COLD_SHARE
        } else {
            0.0
        };
        decayed.exp() + cold
    }

    /// It took `work` where `usual` is usual.
    pub(in crate::gateway) fn observe_speed(
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
        let observed = ratio.clamp(SPEED_RANGE.0, SPEED_RANGE.1).ln();
        let (speed, at) = self.speed;
        let age = now.since(at);
        let decayed = speed * half_life(age, parameters.speed_half_life);
        // The longer nothing was observed, the more the newest observation says.
        let intervals = age.as_secs_f64() / parameters.speed_interval.as_secs_f64();
        let weight = 1.0 - (1.0 - parameters.speed_weight).powf(intervals.max(1.0));
        let step = ((observed - decayed) * weight).clamp(-SPEED_STEP, SPEED_STEP);
        self.speed = (decayed + step, now);
    }

    /// It failed in a way that costs this much.
    pub(in crate::gateway) fn failed(
        &mut self,
        parameters: &ServerParameters,
        now: Timestamp,
        cost: Duration,
    ) {
        let before = self.failure_cost(parameters, now).as_secs_f64();
        self.failures = (before + cost.as_secs_f64(), now);
    }

    /// It refused a connection, or closed one before it carried an answer.
    pub(super) fn connection_refused(
        &mut self,
        now: Timestamp,
        first: Duration,
        longest: Duration,
    ) {
        let doublings = self.refusals.min(MOST_DOUBLINGS);
        self.refusals += 1;
        let pause = first * 2_u32.pow(doublings);
        self.connect_after = now + pause.min(longest);
    }

    /// Cost of its failures as they are remembered.
    pub(in crate::gateway) fn failure_cost(
        &self,
        parameters: &ServerParameters,
        now: Timestamp,
    ) -> Duration {
        let (cost, at) = self.failures;
        Duration::from_secs_f64(cost * half_life(now.since(at), parameters.failure_half_life))
    }

    /// An attempt was sent to it.
    pub(in crate::gateway) fn sent(
        &mut self,
        now: Timestamp,
        attempt: AttemptId,
        expected: Duration,
    ) {
        self.outstanding.push(Outstanding {
            attempt,
            sent: now,
            expected,
        });
    }

    /// An attempt at it ended.
    pub(in crate::gateway) fn ended(&mut self, attempt: AttemptId) {
        self.outstanding.retain(|other| other.attempt != attempt);
    }

    /// It told its load.
    pub(in crate::gateway) fn loaded(&mut self, now: Timestamp, load: ServerLoad) {
        self.load = Some((load, now));
    }

    /// Requests beyond those that it works on at once for this node (`lanes`), of this node and,
    /// where it told, of others.
    pub(super) fn queue(&self, now: Timestamp, lanes: u32) -> f64 {
        let own = (self.outstanding.len() + self.waiting.len()) as f64;
        let reported = self
            .load
            .filter(|(_, at)| now.since(*at) < LOAD_LIFETIME)
            .map_or(0.0, |(load, at)| {
                let freshness = 1.0 - now.since(at).as_secs_f64() / LOAD_LIFETIME.as_secs_f64();
                f64::from(load.running.saturating_sub(1) + load.waiting) * freshness
            });
        let own = (own + 1.0 - f64::from(lanes)).max(0.0);
        let reported = (reported + 1.0 - f64::from(self.slots)).max(0.0);
        own.max(reported)
    }

    /// Attempts that have been silent for so long that their connections may be dead.
    fn unanswered(
        &self,
        parameters: &ServerParameters,
        now: Timestamp,
    ) -> impl Iterator<Item = &Outstanding> {
        self.outstanding.iter().filter(move |attempt| {
            let usual = attempt.expected.mul_f64(parameters.silence_factor);
            let patience = (usual + parameters.silence_margin).max(parameters.dead_connection);
            now.since(attempt.sent) > patience
        })
    }

    /// Connections that may carry a request yet, the resting ones included.
    pub(super) fn live_connections(&self, parameters: &ServerParameters, now: Timestamp) -> u32 {
        let dead = self.unanswered(parameters, now).count() as u32;
        self.open.saturating_sub(dead)
    }

    /// Whether a resting connection may be dead: it was last sound before an attempt that is silent
    /// was sent, so that what silenced that one may have silenced it, too.
    pub(super) fn may_be_dead(
        &self,
        parameters: &ServerParameters,
        now: Timestamp,
        resting: &Resting,
    ) -> bool {
        let mut unanswered = self.unanswered(parameters, now);
        unanswered.any(|attempt| resting.since <= attempt.sent)
    }

    /// Whether an attempt there is silent for longer than it should be.
    pub(in crate::gateway) fn is_silent(
        &self,
        parameters: &ServerParameters,
        now: Timestamp,
    ) -> bool {
        self.outstanding.iter().any(|attempt| {
            let patience = attempt.expected.mul_f64(parameters.silence_factor);
            now.since(attempt.sent) > patience + parameters.silence_margin
        })
    }
}

pub(super) fn half_life(age: Duration, half_life: Duration) -> f64 {
    0.5_f64.powf(age.as_secs_f64() / half_life.as_secs_f64().max(1e-6))
}
