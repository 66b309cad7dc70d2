//! State machine of one lease at one node: observe, acquire, renew, release.

mod replies;

use super::{LeaseCounters, LeaseParameters};
use crate::time::Timestamp;
use serde::{Deserialize, Serialize};
use thornbridge_config::objects::LeaseObject;
use thornbridge_proto::platform::{ObjectKind, PlatformRequest, Precondition, ResourceVersion};
use thornbridge_proto::{ChangeId, NodeId};

/// Number raised by each change of holder. A protected resource rejects tokens lower than the
/// highest one seen, which excludes stale holders.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct FencingToken(pub u64);

/// One lease, without I/O. [`Self::poll`] returns at most one request, whose reply must be passed
/// to [`Self::handle_reply`] before the next.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Lease {
    parameters: LeaseParameters,
    name: String,
    own: NodeId,
    wanted: bool,
    held_lease: Option<HeldLease>,
    observed: Option<Observed>,
    acquisition: Option<Acquisition>,
    uncertain_write: Option<UncertainWrite>,
    in_flight: Option<InFlightRequest>,
    check_at: Timestamp,
    consecutive_failures: u32,
    renewed_check_durations: u32,
}

/// A lease held by this node, valid by the node's own clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct HeldLease {
    token: FencingToken,
    renewal: u64,
    version: ResourceVersion,
    valid_until: Timestamp,
    renew_at: Timestamp,
}

/// The lease as last read, and since when it has been unchanged.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Observed {
    object: LeaseObject,
    version: ResourceVersion,
    since: Timestamp,
}

/// A pending acquisition of a free lease: the precondition and the token of its write.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Acquisition {
    precondition: Precondition,
    token: FencingToken,
}

/// Writes of this node whose answers were lost. `since` is the sending time of the first;
/// `read_first` is set until the store was read after the last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct UncertainWrite {
    token: FencingToken,
    renewal: u64,
    since: Timestamp,
    read_first: bool,
}

/// The request in flight. Its reply is ignored after a clock jump, which makes `sent_at`
/// meaningless.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct InFlightRequest {
    kind: RequestKind,
    sent_at: Timestamp,
    ignore_reply: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum RequestKind {
    Read,
    Write { token: FencingToken, renewal: u64 },
    Release,
}

impl Lease {
    /// Creates a lease that this node does not want yet.
    pub fn new(parameters: LeaseParameters, name: String, own: NodeId) -> Self {
        Self {
            parameters,
            name,
            own,
            wanted: false,
            held_lease: None,
            observed: None,
            acquisition: None,
            uncertain_write: None,
            in_flight: None,
            check_at: Timestamp::ZERO,
            consecutive_failures: 0,
            renewed_check_durations: 1,
        }
    }

    /// Name of the lease object in the store.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// The token while this node may act as the holder; checked before each use.
    pub fn held_token(&self, now: Timestamp) -> Option<FencingToken> {
        let held_lease = self.held_lease.as_ref();
        held_lease
            .filter(|held_lease| now < held_lease.valid_until)
            .map(|held_lease| held_lease.token)
    }

    /// Holder and token as last observed.
    pub fn last_seen(&self) -> Option<(Option<NodeId>, FencingToken)> {
        if let Some(held_lease) = &self.held_lease {
            return Some((Some(self.own), held_lease.token));
        }
        let observed = self.observed.as_ref();
        observed.map(|seen| (seen.object.holder, FencingToken(seen.object.fencing_token)))
    }

    /// Whether this node wants to hold the lease.
    pub fn is_wanted(&self) -> bool {
        self.wanted
    }

    /// Whether the lease is held, or a write is in flight or has an unknown outcome. A node then
    /// takes no second lease.
    pub fn is_held_or_pending(&self) -> bool {
        let writing =
            |in_flight: &InFlightRequest| matches!(in_flight.kind, RequestKind::Write { .. });
        self.held_lease.is_some()
            || self.in_flight.as_ref().is_some_and(writing)
            || self.uncertain_write.is_some()
    }

    /// Sets whether this node wants the lease. A held lease that is no longer wanted is released.
    pub fn set_wanted(&mut self, now: Timestamp, wanted: bool) {
        if wanted && !self.wanted {
            self.check_at = now;
        }
        if !wanted {
            self.acquisition = None;
            self.observed = None;
            if self.held_lease.is_none() {
                self.uncertain_write = None;
            }
        }
        self.wanted = wanted;
    }

    /// Sets how many durations pass before a lease that is being renewed is read again.
    pub fn set_renewed_check_durations(&mut self, durations: u32) {
        self.renewed_check_durations = durations.max(1);
    }

    /// Schedules a read now, since the holder may have failed.
    pub fn check_now(&mut self, now: Timestamp) {
        self.check_at = self.check_at.min(now);
    }

    /// Discards all state based on time after the process was paused or its clock jumped.
    pub fn clock_jumped(&mut self, now: Timestamp, counters: &mut LeaseCounters) {
        self.lose(now, counters);
        self.observed = None;
        self.acquisition = None;
        self.uncertain_write = None;
        if let Some(in_flight) = &mut self.in_flight {
            in_flight.ignore_reply = true;
        }
    }

    /// Time of the next call of [`Self::poll`], if any.
    pub fn next_timeout(&self) -> Option<Timestamp> {
        if let Some(held_lease) = &self.held_lease {
            return Some(match self.in_flight {
                None => held_lease.renew_at.min(held_lease.valid_until),
                Some(_) => held_lease.valid_until,
            });
        }
        let may_read = self.wanted && self.in_flight.is_none();
        may_read.then_some(self.check_at)
    }

    /// Next request, if one is due. `may_take` is false while the node acquires or holds another
    /// lease.
    pub fn poll(
        &mut self,
        now: Timestamp,
        may_take: bool,
        counters: &mut LeaseCounters,
    ) -> Option<PlatformRequest> {
        self.lose_if_expired(now, counters);
        if self.in_flight.is_some() {
            return None;
        }
        let request = match self.held_lease {
            Some(held_lease) if !self.wanted => {
                counters.released += 1;
                Some(self.release(now, held_lease))
            }
            Some(held_lease) if now >= held_lease.renew_at => Some(self.renew(now, held_lease)),
            Some(_) => None,
            None => self.poll_unheld(now, may_take),
        };
        counters.requests += u64::from(request.is_some());
        request
    }

    fn poll_unheld(&mut self, now: Timestamp, may_take: bool) -> Option<PlatformRequest> {
        if !self.wanted || now < self.check_at {
            return None;
        }
        match self.acquisition {
            Some(acquisition) if may_take => Some(self.acquire(now, acquisition)),
            Some(_) => {
                self.check_at = now + self.parameters.retry_pause;
                None
            }
            None => Some(self.read(now)),
        }
    }

    fn read(&mut self, now: Timestamp) -> PlatformRequest {
        self.set_in_flight(now, RequestKind::Read);
        PlatformRequest::Get {
            kind: ObjectKind::Lease,
            name: self.name.clone(),
        }
    }

    fn acquire(&mut self, now: Timestamp, acquisition: Acquisition) -> PlatformRequest {
        self.acquisition = None;
        self.write(now, acquisition.token, 0, acquisition.precondition)
    }

    /// Reads the object first after a lost answer, since that renewal may have taken effect.
    fn renew(&mut self, now: Timestamp, held_lease: HeldLease) -> PlatformRequest {
        if self.uncertain_write.is_some_and(|write| write.read_first) {
            return self.read(now);
        }
        let precondition = Precondition::Version(held_lease.version);
        self.write(now, held_lease.token, held_lease.renewal + 1, precondition)
    }

    fn write(
        &mut self,
        now: Timestamp,
        token: FencingToken,
        renewal: u64,
        precondition: Precondition,
    ) -> PlatformRequest {
        self.set_in_flight(now, RequestKind::Write { token, renewal });
        let object = self.object(Some(self.own), token, renewal);
        self.put(&object, precondition)
    }

    /// Releases the lease. The node stops using it at once, whatever the outcome of the request.
    fn release(&mut self, now: Timestamp, held_lease: HeldLease) -> PlatformRequest {
        self.held_lease = None;
        self.uncertain_write = None;
        self.set_in_flight(now, RequestKind::Release);
        let object = self.object(None, held_lease.token, held_lease.renewal + 1);
        self.put(&object, Precondition::Version(held_lease.version))
    }

    fn set_in_flight(&mut self, now: Timestamp, kind: RequestKind) {
        self.in_flight = Some(InFlightRequest {
            kind,
            sent_at: now,
            ignore_reply: false,
        });
    }

    fn object(&mut self, holder: Option<NodeId>, token: FencingToken, renewal: u64) -> LeaseObject {
        let kind = if holder.is_some() { "held" } else { "released" };
        LeaseObject {
            holder,
            fencing_token: token.0,
            duration_ms: self.parameters.duration.as_millis() as u64,
            renewal,
            change: ChangeId::new(format!(
                "{}-{}-{}-{renewal}-{kind}",
                self.own, self.name, token.0
            )),
        }
    }

    fn put(&self, object: &LeaseObject, precondition: Precondition) -> PlatformRequest {
        PlatformRequest::Put {
            kind: ObjectKind::Lease,
            name: self.name.clone(),
            body: serde_json::to_string(object).expect("numbers and strings serialize to JSON"),
            precondition,
        }
    }
}
