//! Handling of the platform's replies.

use super::{
    Acquisition, FencingToken, HeldLease, InFlightRequest, Lease, Observed, RequestKind,
    UncertainWrite,
};
use crate::lease::LeaseCounters;
use crate::time::Timestamp;
use std::time::Duration;
use thornbridge_config::objects::LeaseObject;
use thornbridge_proto::platform::{
    PlatformFailure, PlatformResponse, Precondition, ResourceVersion, StoredObject,
};

/// Maximum durations between two reads with different versions that show a live holder. A single
/// read cannot tell whether the lease has expired.
const MAX_RENEWAL_GAP_DURATIONS: u32 = 2;

/// A write of this node that took effect.
#[derive(Clone, Copy, Debug)]
struct Grant {
    sent_at: Timestamp,
    token: FencingToken,
    renewal: u64,
    version: ResourceVersion,
}

impl Lease {
    /// Handles the reply to the request in flight. `jitter`, from 0 to 1, spreads retries.
    pub fn handle_reply(
        &mut self,
        now: Timestamp,
        result: &Result<PlatformResponse, PlatformFailure>,
        jitter: f64,
        counters: &mut LeaseCounters,
    ) {
        let Some(in_flight) = self.in_flight.take() else {
            return;
        };
        self.lose_if_expired(now, counters);
        if in_flight.ignore_reply || matches!(in_flight.kind, RequestKind::Release) {
            self.check_at = now;
            return;
        }
        match result {
            Ok(PlatformResponse::Object(object)) => {
                self.handle_object(now, object.as_ref(), counters)
            }
            Ok(PlatformResponse::Written { version }) => {
                self.handle_written(now, in_flight, *version, counters)
            }
            Err(PlatformFailure::Conflict { current }) => {
                counters.conflicts += 1;
                self.handle_conflict(now, current.as_ref(), counters);
            }
            Err(PlatformFailure::NoAnswer) => {
                self.handle_no_answer(now, in_flight, jitter, counters)
            }
            Ok(_) | Err(_) => self.schedule_retry(now, jitter),
        }
    }

    fn handle_written(
        &mut self,
        now: Timestamp,
        in_flight: InFlightRequest,
        version: ResourceVersion,
        counters: &mut LeaseCounters,
    ) {
        let RequestKind::Write { token, renewal } = in_flight.kind else {
            return;
        };
        self.consecutive_failures = 0;
        self.uncertain_write = None;
        let grant = Grant {
            sent_at: in_flight.sent_at,
            token,
            renewal,
            version,
        };
        self.set_held(now, grant, counters);
    }

    /// Holds the lease from the time at which the write was sent, unless that has expired already.
    fn set_held(&mut self, now: Timestamp, grant: Grant, counters: &mut LeaseCounters) {
        let Grant {
            sent_at,
            token,
            renewal,
            version,
        } = grant;
        let validity = self
            .parameters
            .duration
            .saturating_sub(self.parameters.margin);
        let current = self
            .held_lease
            .filter(|held_lease| held_lease.token == token);
        let valid_until = current.map_or(sent_at + validity, |current| {
            current.valid_until.max(sent_at + validity)
        });
        if now >= valid_until {
            self.lose(now, counters);
            return;
        }
        match current {
            Some(_) => counters.renewed += 1,
            None => counters.gained += 1,
        }
        self.observed = None;
        self.acquisition = None;
        self.held_lease = Some(HeldLease {
            token,
            renewal,
            version,
            valid_until,
            renew_at: sent_at + self.parameters.renew_interval,
        });
    }

    pub(super) fn lose_if_expired(&mut self, now: Timestamp, counters: &mut LeaseCounters) {
        if self.held_lease.is_some() && self.held_token(now).is_none() {
            self.lose(now, counters);
        }
    }

    pub(super) fn lose(&mut self, now: Timestamp, counters: &mut LeaseCounters) {
        if self.held_lease.take().is_some() {
            counters.lost += 1;
        }
        self.check_at = now;
    }

    fn handle_conflict(
        &mut self,
        now: Timestamp,
        current: Option<&StoredObject>,
        counters: &mut LeaseCounters,
    ) {
        match current {
            Some(object) => self.handle_object(now, Some(object), counters),
            None => {
                self.lose(now, counters);
                self.observed = None;
            }
        }
    }

    /// Records a write that may have taken effect; the next request reads the object.
    fn handle_no_answer(
        &mut self,
        now: Timestamp,
        in_flight: InFlightRequest,
        jitter: f64,
        counters: &mut LeaseCounters,
    ) {
        self.schedule_retry(now, jitter);
        let RequestKind::Write { token, renewal } = in_flight.kind else {
            return;
        };
        counters.in_doubt += 1;
        let is_same = |write: &UncertainWrite| (write.token, write.renewal) == (token, renewal);
        let earlier = self.uncertain_write.filter(is_same);
        self.uncertain_write = Some(UncertainWrite {
            token,
            renewal,
            since: earlier.map_or(in_flight.sent_at, |write| write.since),
            read_first: true,
        });
    }

    /// Schedules a retry after a failed request.
    fn schedule_retry(&mut self, now: Timestamp, jitter: f64) {
        let delay = self.retry_delay(jitter);
        self.consecutive_failures += 1;
        match &mut self.held_lease {
            Some(held_lease) => held_lease.renew_at = now + delay,
            None => self.check_at = now + delay,
        }
    }

    fn retry_delay(&self, jitter: f64) -> Duration {
        let factor = 1 << self.consecutive_failures.min(8);
        let delay = self.parameters.retry_pause.saturating_mul(factor);
        delay
            .min(self.parameters.duration)
            .mul_f64(0.5 + jitter / 2.0)
    }

    fn handle_object(
        &mut self,
        now: Timestamp,
        object: Option<&StoredObject>,
        counters: &mut LeaseCounters,
    ) {
        self.consecutive_failures = 0;
        let Some(object) = object else {
            self.lose(now, counters);
            self.observed = None;
            self.uncertain_write = None;
            self.acquisition = Some(Acquisition {
                precondition: Precondition::Absent,
                token: FencingToken(1),
            });
            return;
        };
        match serde_json::from_str::<LeaseObject>(&object.body) {
            Ok(lease) if lease.holder == Some(self.own) => {
                self.handle_own_lease(now, &lease, object.resource_version, counters);
            }
            Ok(lease) => self.handle_foreign_lease(now, lease, object.resource_version, counters),
            Err(_) => {
                self.lose(now, counters);
                self.check_at = now + self.parameters.duration;
            }
        }
    }

    /// Handles an object that names this node as the holder. The lease is held only from the
    /// sending time of exactly that write: an uncertain renewal grants nothing while the store
    /// shows an earlier one.
    fn handle_own_lease(
        &mut self,
        now: Timestamp,
        lease: &LeaseObject,
        version: ResourceVersion,
        counters: &mut LeaseCounters,
    ) {
        if let Some(held_lease) = &mut self.held_lease
            && held_lease.version == version
        {
            held_lease.renew_at = now;
            if let Some(uncertain_write) = &mut self.uncertain_write {
                uncertain_write.read_first = false;
            }
            return;
        }
        let token = FencingToken(lease.fencing_token);
        match self.uncertain_write.take() {
            Some(write) if (write.token, write.renewal) == (token, lease.renewal) => {
                let grant = Grant {
                    sent_at: write.since,
                    token,
                    renewal: lease.renewal,
                    version,
                };
                self.set_held(now, grant, counters);
            }
            _ => self.lose(now, counters),
        }
        if self.held_lease.is_none() {
            self.plan_acquisition(token, version);
        }
    }

    fn handle_foreign_lease(
        &mut self,
        now: Timestamp,
        lease: LeaseObject,
        version: ResourceVersion,
        counters: &mut LeaseCounters,
    ) {
        self.lose(now, counters);
        self.uncertain_write = None;
        let token = FencingToken(lease.fencing_token);
        if lease.holder.is_none() {
            self.plan_acquisition(token, version);
            return;
        }
        let duration = Duration::from_millis(lease.duration_ms);
        let earlier = self.observed.take();
        let unchanged = earlier.as_ref().filter(|seen| seen.version == version);
        let since = unchanged.map_or(now, |seen| seen.since);
        let renewing = earlier.is_some_and(|seen| {
            seen.version != version && now.since(seen.since) <= duration * MAX_RENEWAL_GAP_DURATIONS
        });
        if now.since(since) >= duration {
            self.plan_acquisition(token, version);
        } else {
            let durations = if renewing {
                self.renewed_check_durations
            } else {
                1
            };
            self.check_at = since + duration * durations;
        }
        self.observed = Some(Observed {
            object: lease,
            version,
            since,
        });
    }

    fn plan_acquisition(&mut self, last: FencingToken, version: ResourceVersion) {
        self.acquisition = Some(Acquisition {
            precondition: Precondition::Version(version),
            token: FencingToken(last.0 + 1),
        });
    }
}
