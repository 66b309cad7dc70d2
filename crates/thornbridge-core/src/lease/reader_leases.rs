//! Leases that make a node a reader of the platform: a few for each region, at most one for each
//! node.
//!
//! Only the first nodes in the region's ranking are candidates, so that the number of nodes that
//! access the platform does not grow with the cluster.

use super::{FencingToken, Lease, LeaseCounters, LeaseParameters, reader_ranking};
use crate::context::Context;
use crate::driver_action::{Action, OperationId, StateChange};
use crate::membership::MemberView;
use crate::status::LeaseStatus;
use crate::time::Timestamp;
use rand::Rng;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use thornbridge_proto::NodeId;
use thornbridge_proto::peer::PeerEndpoint;
use thornbridge_proto::peer::membership::{MemberRecord, MemberState};
use thornbridge_proto::platform::{PlatformFailure, PlatformResponse};

/// Lease durations between reads of a lease whose holder is alive by membership. Also used by a
/// node that has seeds but knows no peer: without a peer network, every node ranks first in its own
/// view.
const LIVE_HOLDER_CHECK_DURATIONS: u32 = 12;

/// Reader leases of a node's region.
#[derive(Debug)]
pub struct ReaderLeases {
    parameters: LeaseParameters,
    own: PeerEndpoint,
    /// Whether the node has seeds, and so waits for peers before it becomes a candidate.
    has_seeds: bool,
    leases: Vec<Lease>,
    /// Request in flight of each lease.
    operations: Vec<Option<OperationId>>,
    ranking: Vec<PeerEndpoint>,
    view: Option<Arc<MemberView>>,
    leaving: bool,
    started_at: Option<Timestamp>,
    /// Last contact of this node or a peer with the platform.
    last_contact: Option<Timestamp>,
    /// Position of the lease that was last reported as held.
    reported_held: Option<usize>,
    counters: LeaseCounters,
}

impl ReaderLeases {
    /// Creates the leases of the node's region; they are not wanted before [`Self::started`] is
    /// called.
    pub fn new(parameters: LeaseParameters, own: &MemberRecord, has_seeds: bool) -> Self {
        let names =
            (0..parameters.readers_per_region).map(|slot| format!("reader-{}-{slot}", own.region));
        let leases: Vec<Lease> = names
            .map(|name| Lease::new(parameters.clone(), name, own.endpoint.node))
            .collect();
        Self {
            own: own.endpoint,
            has_seeds,
            operations: vec![None; leases.len()],
            leases,
            ranking: vec![own.endpoint],
            view: None,
            leaving: false,
            started_at: None,
            last_contact: None,
            reported_held: None,
            counters: LeaseCounters::default(),
            parameters,
        }
    }

    /// Records the start of the node.
    pub fn started(&mut self, now: Timestamp) {
        self.started_at = Some(now);
    }

    /// Fencing token while this node is a reader.
    pub fn held_token(&self, now: Timestamp) -> Option<FencingToken> {
        self.leases.iter().find_map(|lease| lease.held_token(now))
    }

    /// Counters of all leases.
    pub fn counters(&self) -> &LeaseCounters {
        &self.counters
    }

    /// Status of the leases that this node has read or held.
    pub fn statuses(&self, now: Timestamp) -> Vec<LeaseStatus> {
        let status = |lease: &Lease| {
            let (holder, token) = lease.last_seen()?;
            Some(LeaseStatus {
                name: lease.name().to_owned(),
                holder,
                held_here: lease.held_token(now).is_some(),
                fencing_token: token.0,
            })
        };
        self.leases.iter().filter_map(status).collect()
    }

    /// Next nodes in the ranking, which become candidates when the readers cannot reach the
    /// platform. Readers notify them first of contact with it.
    pub fn standbys(&self) -> Vec<SocketAddr> {
        let standbys = self.ranking.iter().skip(self.parameters.readers_per_region);
        let others = standbys.filter(|endpoint| **endpoint != self.own);
        others.map(|endpoint| endpoint.address).collect()
    }

    /// Applies a new member list, and reads the leases whose holder is no longer alive.
    pub fn members_changed(&mut self, now: Timestamp, view: &Arc<MemberView>) {
        self.ranking = reader_ranking(view, self.max_candidates());
        self.view = Some(Arc::clone(view));
        for position in 0..self.leases.len() {
            let held = self.leases[position].held_token(now).is_some();
            let holder = self.leases[position]
                .last_seen()
                .and_then(|(holder, _)| holder);
            if !held && holder.is_some_and(|holder| !self.is_alive(holder)) {
                self.leases[position].check_now(now);
            }
        }
    }

    /// Records the time of a contact with the platform, by this node or a peer.
    pub fn record_platform_contact(&mut self, at: Timestamp) {
        self.last_contact = self.last_contact.max(Some(at));
    }

    /// Begins a planned stop: releases a held lease.
    pub fn leave(&mut self, context: &mut Context<'_>, last_operation: &mut u64) {
        self.leaving = true;
        self.timer_due(context, last_operation);
    }

    /// Discards all state based on time after the process was paused or its clock jumped.
    pub fn clock_jumped(&mut self, context: &mut Context<'_>, last_operation: &mut u64) {
        for lease in &mut self.leases {
            lease.clock_jumped(context.now, &mut self.counters);
        }
        self.timer_due(context, last_operation);
    }

    /// Time of the next call of [`Self::timer_due`], if any.
    pub fn next_timeout(&self) -> Option<Timestamp> {
        let leases = self.leases.iter().filter_map(Lease::next_timeout);
        leases.chain(self.next_candidacy()).min()
    }

    /// Reads, acquires, renews or releases the leases that are due.
    pub fn timer_due(&mut self, context: &mut Context<'_>, last_operation: &mut u64) {
        self.update_wanted(context.now);
        for position in self.lease_order() {
            let other_held_or_pending = self.is_other_held_or_pending(position);
            let lease = &mut self.leases[position];
            if let Some(request) =
                lease.poll(context.now, !other_held_or_pending, &mut self.counters)
            {
                *last_operation += 1;
                let operation = OperationId(*last_operation);
                self.operations[position] = Some(operation);
                context.act(Action::Platform { operation, request });
            }
        }
        self.report_changes(context);
    }

    /// Handles the platform's reply; false if it belongs to no request of these leases.
    pub fn platform_reply(
        &mut self,
        context: &mut Context<'_>,
        operation: OperationId,
        result: &Result<PlatformResponse, PlatformFailure>,
        last_operation: &mut u64,
    ) -> bool {
        let in_flight = self.operations.iter();
        let Some(position) = in_flight
            .into_iter()
            .position(|in_flight| *in_flight == Some(operation))
        else {
            return false;
        };
        self.operations[position] = None;
        let jitter = context.random.random();
        self.update_check_durations();
        self.leases[position].handle_reply(context.now, result, jitter, &mut self.counters);
        self.timer_due(context, last_operation);
        true
    }

    fn max_candidates(&self) -> usize {
        self.parameters.readers_per_region + self.parameters.extra_candidates
    }

    /// Candidates allowed now: one more for each interval without contact with the platform.
    fn allowed_candidates(&self, now: Timestamp) -> usize {
        let time_since_contact = self.time_since_contact(now).as_millis();
        let interval = self.parameters.escalation_interval.as_millis().max(1);
        let extra = usize::try_from(time_since_contact / interval).unwrap_or(usize::MAX);
        self.parameters.readers_per_region + extra.min(self.parameters.extra_candidates)
    }

    fn time_since_contact(&self, now: Timestamp) -> Duration {
        let since = self.last_contact.max(self.started_at);
        since.map_or(Duration::ZERO, |since| now.since(since))
    }

    /// Whether the node has seeds but knows no peer.
    fn is_isolated(&self) -> bool {
        let is_alone = self
            .view
            .as_ref()
            .is_none_or(|view| view.members().len() <= 1);
        self.has_seeds && is_alone
    }

    fn is_alive(&self, node: NodeId) -> bool {
        let member = self.view.as_ref().and_then(|view| view.member(node));
        member.is_some_and(|member| member.state == MemberState::Alive)
    }

    /// Lengthens the interval between reads of leases whose holder is alive, since membership
    /// detects its failure.
    fn update_check_durations(&mut self) {
        for position in 0..self.leases.len() {
            let holder = self.leases[position]
                .last_seen()
                .and_then(|(holder, _)| holder);
            let is_stable =
                self.is_isolated() || holder.is_some_and(|holder| self.is_alive(holder));
            let durations = if is_stable {
                LIVE_HOLDER_CHECK_DURATIONS
            } else {
                1
            };
            self.leases[position].set_renewed_check_durations(durations);
        }
    }

    fn rank(&self) -> Option<usize> {
        self.ranking.iter().position(|ranked| *ranked == self.own)
    }

    fn candidacy_starts_at(&self) -> Option<Timestamp> {
        let started_at = self.started_at?;
        let waits = self.is_isolated();
        Some(if waits {
            started_at + self.parameters.join_grace
        } else {
            started_at
        })
    }

    fn is_candidate(&self, now: Timestamp) -> bool {
        let may_start = self.candidacy_starts_at().is_some_and(|at| now >= at);
        let allowed = self.allowed_candidates(now);
        !self.leaving && may_start && self.rank().is_some_and(|rank| rank < allowed)
    }

    /// When this node becomes a candidate, if it is in the ranking and wants no lease yet.
    fn next_candidacy(&self) -> Option<Timestamp> {
        if self.leaving || self.leases.iter().any(Lease::is_wanted) {
            return None;
        }
        let rank = self.rank()?;
        let escalations = (rank + 1).saturating_sub(self.parameters.readers_per_region) as u32;
        let since = self.last_contact.max(self.started_at)?;
        let escalated = since + self.parameters.escalation_interval * escalations;
        Some(escalated.max(self.candidacy_starts_at()?))
    }

    /// A holder wants only the lease that it holds, whatever its rank; a leaving node wants none.
    fn update_wanted(&mut self, now: Timestamp) {
        let held = self
            .leases
            .iter()
            .position(|lease| lease.held_token(now).is_some());
        let candidate = self.is_candidate(now);
        for (position, lease) in self.leases.iter_mut().enumerate() {
            let wanted = match held {
                Some(held) => held == position && !self.leaving,
                None => candidate,
            };
            lease.set_wanted(now, wanted);
        }
    }

    /// Leases in the order in which this node tries them. Each rank begins with another lease.
    fn lease_order(&self) -> Vec<usize> {
        let count = self.leases.len();
        let first = self.rank().unwrap_or(0);
        (0..count).map(|offset| (first + offset) % count).collect()
    }

    fn is_other_held_or_pending(&self, position: usize) -> bool {
        let mut leases = self.leases.iter().enumerate();
        leases.any(|(other, lease)| other != position && lease.is_held_or_pending())
    }

    fn report_changes(&mut self, context: &mut Context<'_>) {
        let held = self
            .leases
            .iter()
            .position(|lease| lease.held_token(context.now).is_some());
        if held == self.reported_held {
            return;
        }
        for (position, is_held) in [(self.reported_held, false), (held, true)] {
            if let Some(position) = position {
                let lease = &self.leases[position];
                context.act(Action::StateChanged(StateChange::LeaseChanged {
                    name: lease.name().to_owned(),
                    held: is_held,
                    fencing_token: lease.last_seen().map_or(0, |(_, token)| token.0),
                }));
            }
        }
        self.reported_held = held;
    }
}
