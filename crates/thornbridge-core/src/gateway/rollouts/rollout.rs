//! One roll-out at this node: whom it reports to, what it conducts, and what is to be written.

use super::conductor::{Conductor, Decision, DecisionReason};
use super::orders::KnownOrder;
use super::reporter::Reporter;
use super::writer::Writer;
use crate::gateway::budget::ServiceKey;
use crate::gateway::slices::rank;
use crate::time::Timestamp;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;
use thornbridge_proto::ServiceName;
use thornbridge_proto::peer::rollout::{RolloutId, RolloutState};
use xxhash_rust::xxh3::xxh3_64;

/// Time between a decision to complete and its write, in which nodes move their requests: the servers
/// of the replaced version stop once the state is written.
const MOVING: Duration = Duration::from_millis(300);
/// Delay of the write of a decision by a conductor that knows little, so that one that knows more goes
/// first: a node that lost sight of the others conducts as well.
const BLIND_DELAY: Duration = Duration::from_millis(700);
/// The same where other nodes report to the conductor, so that the state stands by the deadline.
const UNDECIDED_DELAY: Duration = Duration::from_millis(350);
/// Time after which another member writes a decision that the conductor has not written.
const UNWRITTEN: Duration = Duration::from_secs(1);
/// Delay for each rank, so that few members write the same.
const RANK_DELAY: Duration = Duration::from_millis(500);
/// Time for which a member counts as reporting to this node.
const REPORTER_MEMORY: Duration = Duration::from_secs(5);
/// Time for which a conductor counts as informed after a report.
const INFORMED_FOR: Duration = Duration::from_secs(2);
/// Members by rank that are told of a decision even if they do not report.
const SUCCESSORS_TOLD: usize = 4;
/// Time after the start of conducting in which the counts of all nodes arrive.
const COLLECTING: Duration = Duration::from_millis(300);

/// How this node came to a decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::gateway) enum DecisionOrigin {
    /// Decided here, with enough outcomes of the version on trial.
    Own,
    /// Decided here, with too few outcomes or without recent reports.
    Blind,
    /// Learnt from another node, or from the store before it was restored.
    Learnt,
}

/// Decision that the store does not hold yet.
#[derive(Clone, Copy, Debug)]
pub(in crate::gateway) struct KnownDecision {
    pub(in crate::gateway) state: RolloutState,
    pub(in crate::gateway) origin: DecisionOrigin,
    /// Whether other nodes reported here lately.
    hears_others: bool,
    at: Timestamp,
}

/// State of one roll-out.
#[derive(Debug)]
pub(in crate::gateway) struct Rollout {
    pub(in crate::gateway) id: RolloutId,
    pub(in crate::gateway) service: ServiceKey,
    /// Members that may conduct, by rank.
    pub(in crate::gateway) candidates: Vec<SocketAddr>,
    /// Position of this node among them; `None` if it takes no new work.
    pub(in crate::gateway) own_rank: Option<usize>,
    pub(in crate::gateway) reporter: Reporter,
    pub(in crate::gateway) conductor: Option<Conductor>,
    /// When this node last began to conduct.
    pub(in crate::gateway) conducting_since: Timestamp,
    pub(in crate::gateway) decision: Option<KnownDecision>,
    pub(in crate::gateway) writer: Writer,
    /// When what was due was last done.
    pub(in crate::gateway) advanced_at: Timestamp,
    /// Whether this node handed over and the log says so.
    pub(in crate::gateway) handed_over: bool,
    /// Nodes that report to this one, and when they last did.
    reporters: BTreeMap<SocketAddr, Timestamp>,
}

impl Rollout {
    pub(in crate::gateway) fn new(id: RolloutId, service: ServiceKey) -> Self {
        Self {
            id,
            service,
            candidates: Vec::new(),
            own_rank: None,
            reporter: Reporter::default(),
            conductor: None,
            conducting_since: Timestamp::ZERO,
            decision: None,
            writer: Writer::default(),
            advanced_at: Timestamp::ZERO,
            handed_over: false,
            reporters: BTreeMap::new(),
        }
    }

    /// Orders the members that take new work by their rank for the service.
    pub(in crate::gateway) fn set_members(&mut self, own: SocketAddr, members: &[SocketAddr]) {
        self.candidates = by_rank(&self.id.service, members);
        self.own_rank = self.candidates.iter().position(|member| *member == own);
    }

    /// Notes a report to this node.
    pub(in crate::gateway) fn reported(&mut self, now: Timestamp, from: SocketAddr) {
        self.reporters.insert(from, now);
        self.reporters
            .retain(|_, at| now.since(*at) < REPORTER_MEMORY);
    }

    /// Nodes to tell of a decision: those that report here, and the first by rank.
    pub(in crate::gateway) fn nodes_to_tell(&self, own: SocketAddr) -> BTreeSet<SocketAddr> {
        let successors = self.candidates.iter().take(SUCCESSORS_TOLD);
        let nodes = self.reporters.keys().chain(successors).copied();
        nodes.filter(|node| *node != own).collect()
    }

    /// Whether this node conducts although nobody reports to it.
    pub(in crate::gateway) fn conducts_unasked(&self, now: Timestamp, order: &KnownOrder) -> bool {
        match self.own_rank {
            None => false,
            Some(0) => true,
            Some(rank) => now >= self.takeover_at(order, rank),
        }
    }

    /// When a member of a rank decides without reports. The conductor of a busy service decides shortly
    /// before the end of the time allowed.
    fn takeover_at(&self, order: &KnownOrder, rank: usize) -> Timestamp {
        order.ends_at() + delay_of_rank(rank)
    }

    /// When this node's conductor may decide.
    pub(in crate::gateway) fn decides_from(&self) -> Timestamp {
        self.conducting_since + COLLECTING
    }

    /// Whether a decision of this node's conductor may be adopted. Without recent reports, others may
    /// know more until the end of the time allowed, unless the version is worse.
    pub(in crate::gateway) fn may_decide(
        &self,
        now: Timestamp,
        order: &KnownOrder,
        decision: &Decision,
    ) -> bool {
        let ends_at = self.takeover_at(order, self.own_rank.unwrap_or_default());
        decision.reason == DecisionReason::Worse || self.is_informed(now) || now >= ends_at
    }

    /// Adopts the decision of this node's conductor.
    pub(in crate::gateway) fn decide(&mut self, now: Timestamp, decision: &Decision) {
        let is_undecided = decision.reason == DecisionReason::Undecided;
        let origin = match self.is_informed(now) && !is_undecided {
            true => DecisionOrigin::Own,
            false => DecisionOrigin::Blind,
        };
        self.set_decision(now, decision.state, origin);
    }

    /// Adopts a decision of another node; returns whether it is news.
    ///
    /// A rejection prevails until the store holds a state: no request goes to a version that any
    /// conductor found worse.
    pub(in crate::gateway) fn learn(&mut self, now: Timestamp, state: RolloutState) -> bool {
        let is_news = match &self.decision {
            None => state.is_final(),
            Some(known) => match known.origin {
                DecisionOrigin::Own => false,
                DecisionOrigin::Blind => state != known.state,
                DecisionOrigin::Learnt => state > known.state,
            },
        };
        if is_news {
            self.set_decision(now, state, DecisionOrigin::Learnt);
        }
        is_news
    }

    fn set_decision(&mut self, now: Timestamp, state: RolloutState, origin: DecisionOrigin) {
        self.decision = Some(KnownDecision {
            state,
            origin,
            hears_others: self.hears_others(now),
            at: now,
        });
        self.conductor = None;
    }

    /// State to write, and from when on.
    pub(in crate::gateway) fn write_due(
        &self,
        order: &KnownOrder,
    ) -> Option<(RolloutState, Timestamp)> {
        let rank = self.own_rank?;
        if order.is_settled() {
            return None;
        }
        if let Some(decision) = &self.decision {
            let at = decision.at + write_delay(decision, rank);
            return Some((decision.state, at));
        }
        let starts = self.conductor.is_some() && order.reached.is_none();
        starts.then_some((RolloutState::Serving, self.conducting_since))
    }

    /// Whether a node reported here lately.
    fn is_informed(&self, now: Timestamp) -> bool {
        let mut reports = self.reporters.values();
        reports.any(|at| now.since(*at) < INFORMED_FOR)
    }

    /// Whether a node other than this one reported here lately.
    fn hears_others(&self, now: Timestamp) -> bool {
        let own = self.own_rank.and_then(|rank| self.candidates.get(rank));
        let mut reports = self.reporters.iter();
        reports.any(|(node, at)| Some(node) != own && now.since(*at) < INFORMED_FOR)
    }

    /// Next time at which something is due. It may have passed, if other events came first; what was due
    /// when it was last looked at is not due again.
    pub(in crate::gateway) fn next_timeout(&self, order: &KnownOrder) -> Option<Timestamp> {
        let conductor = self.conductor.as_ref();
        let write = self.write_due(order);
        let takeover = self.own_rank.map(|rank| self.takeover_at(order, rank));
        let timeouts = [
            conductor.and_then(Conductor::next_timeout),
            conductor.map(|_| self.decides_from()),
            write.map(|(_, at)| at),
            Some(self.writer.next_timeout()),
            self.reporter.next_timeout(),
            takeover,
        ];
        let timeouts = timeouts.into_iter().flatten();
        timeouts.filter(|at| *at > self.advanced_at).min()
    }
}

/// Time from a decision to its write by the member of a rank.
fn write_delay(decision: &KnownDecision, rank: usize) -> Duration {
    match (decision.origin, decision.state) {
        (DecisionOrigin::Own, RolloutState::Complete) => MOVING,
        (DecisionOrigin::Own, _) => Duration::ZERO,
        (DecisionOrigin::Blind, _) if decision.hears_others => UNDECIDED_DELAY,
        (DecisionOrigin::Blind, _) => BLIND_DELAY,
        (DecisionOrigin::Learnt, _) => UNWRITTEN + delay_of_rank(rank),
    }
}

fn delay_of_rank(rank: usize) -> Duration {
    RANK_DELAY * u32::try_from(rank).unwrap_or(u32::MAX)
}

/// Members by their rank as conductor of a service, the first one first.
fn by_rank(service: &ServiceName, members: &[SocketAddr]) -> Vec<SocketAddr> {
    let hash = xxh3_64(service.as_str().as_bytes());
    let mut members = members.to_vec();
    members.sort_by_key(|member| Reverse(rank(*member, hash)));
    members
}
