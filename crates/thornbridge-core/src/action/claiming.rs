//! Claiming a key at the claim group, and querying the owner of a claim that already holds the key.

use super::ActionEngine;
use super::owned_action::{Phase, Votes};
use crate::context::Context;
use crate::resources::Resources;
use crate::time::Timestamp;
use rand::Rng;
use std::time::Duration;
use thornbridge_proto::Digest;
use thornbridge_proto::caller::{Executed, Refusal, RefusalReason};
use thornbridge_proto::peer::PeerEndpoint;
use thornbridge_proto::peer::action::{
    ActionEnd, ActionMessage, Claim, ClaimId, ClaimVerdict, GroupEpoch, OwnerAnswer,
};

/// Maximum backoff before a key is claimed again; randomized to keep two claimants from colliding
/// repeatedly.
const MAX_CLAIM_BACKOFF: Duration = Duration::from_millis(20);

impl ActionEngine {
    /// Starts claiming a key at the latest known group.
    pub(super) fn start_claim(&mut self, context: &mut Context<'_>, key: Digest) {
        let votes = self.member.latest().map(Votes::new).unwrap_or_default();
        if votes.members.is_empty() {
            self.request_group(context);
        }
        if let Some(action) = self.owned.get_mut(&key) {
            action.phase = Phase::Claiming(votes);
            self.send_claims(context, key);
        }
    }

    /// Sends the claim to the members that have not answered. Leaving members are skipped if the
    /// others form a majority.
    fn send_claims(&mut self, context: &mut Context<'_>, key: Digest) {
        let Some(action) = self.owned.get(&key) else {
            return;
        };
        let Phase::Claiming(votes) = &action.phase else {
            return;
        };
        let claim = action.as_claim(self.outbox.own());
        let epoch = votes.epoch;
        let unanswered = |member: &&PeerEndpoint| !votes.answers.contains_key(&member.node);
        let members: Vec<PeerEndpoint> = self
            .available_members(&votes.members)
            .iter()
            .filter(unanswered)
            .copied()
            .collect();
        for member in members {
            let claim = claim.clone();
            let message = ActionMessage::Claim { epoch, claim };
            self.outbox.send(context, member, message);
        }
        self.schedule_check(key, context.now + self.parameters.resend_interval);
    }

    /// Members that accept work, if they form a majority; otherwise all members.
    fn available_members(&self, members: &[PeerEndpoint]) -> Vec<PeerEndpoint> {
        let Some(view) = &self.view else {
            return members.to_vec();
        };
        let accepts_work = |member: &&PeerEndpoint| {
            view.accepting_work()
                .any(|known| known.endpoint.node == member.node)
        };
        let available: Vec<PeerEndpoint> = members.iter().filter(accepts_work).copied().collect();
        if available.len() >= super::group::majority(members.len()) {
            available
        } else {
            members.to_vec()
        }
    }

    /// Handles a member's verdict on a claim.
    pub(super) fn handle_verdict(
        &mut self,
        context: &mut Context<'_>,
        resources: &mut Resources<'_>,
        from: PeerEndpoint,
        epoch: GroupEpoch,
        (key, claim): (Digest, ClaimId),
        verdict: ClaimVerdict,
    ) {
        if let ClaimVerdict::NotDeciding { latest } = &verdict {
            self.exchange_groups(context, from, latest.clone());
        }
        let Some(action) = self.owned.get_mut(&key).filter(|it| it.claim == claim) else {
            return;
        };
        let Phase::Claiming(votes) = &mut action.phase else {
            return;
        };
        if votes.epoch != epoch || !super::group::is_member(&votes.members, from.node) {
            return;
        }
        match verdict {
            ClaimVerdict::Granted => {
                votes.answers.insert(from.node, true);
            }
            ClaimVerdict::Held {
                claim: holder,
                end: Some(end),
            } => {
                let same = holder.payload == action.plan.payload;
                self.release_claim(context, key);
                return match same {
                    true => self.finish_by_other_claim(context, resources, key, &end),
                    false => self.refuse_reused_key(context, resources, key),
                };
            }
            ClaimVerdict::Held { claim, end: None } => {
                votes.answers.insert(from.node, false);
                votes.holder.get_or_insert(claim);
            }
            ClaimVerdict::Full => {
                votes.answers.insert(from.node, false);
                votes.full = true;
            }
            ClaimVerdict::NotDeciding { .. } => return,
        }
        self.count_votes(context, resources, key);
    }

    fn count_votes(
        &mut self,
        context: &mut Context<'_>,
        resources: &mut Resources<'_>,
        key: Digest,
    ) {
        let Some(action) = self.owned.get(&key) else {
            return;
        };
        let Phase::Claiming(votes) = &action.phase else {
            return;
        };
        if votes.is_won() {
            self.counters.claims_won += 1;
            return self.send_first_attempt(context, resources, key);
        }
        if !votes.is_lost() {
            return;
        }
        self.counters.claims_lost += 1;
        match votes.holder.clone() {
            Some(holder) => self.query_owner(context, resources, key, holder),
            None => {
                let detail = "claim tables of the claim group are full; the action was not run";
                self.refuse_not_run(context, resources, key, RefusalReason::Overloaded, detail);
            }
        }
    }

    /// Releases this node's claim and queries the owner of the claim that holds the key.
    fn query_owner(
        &mut self,
        context: &mut Context<'_>,
        resources: &mut Resources<'_>,
        key: Digest,
        holder: Claim,
    ) {
        self.release_claim(context, key);
        let fresh = self.next_claim();
        let Some(action) = self.owned.get_mut(&key) else {
            return;
        };
        // A released claim is never reused: its release may still be in flight.
        action.claim = fresh;
        if holder.payload != action.plan.payload {
            return self.refuse_reused_key(context, resources, key);
        }
        action.phase = Phase::QueryingOwner {
            holder,
            since: context.now,
        };
        self.send_owner_query(context, key);
    }

    fn send_owner_query(&mut self, context: &mut Context<'_>, key: Digest) {
        let Some(action) = self.owned.get(&key) else {
            return;
        };
        if let Phase::QueryingOwner { holder, .. } = &action.phase {
            let claim = holder.id;
            let owner = holder.owner;
            let message = ActionMessage::Ask { claim, key };
            self.outbox.send(context, owner, message);
        }
        self.schedule_check(key, context.now + self.parameters.resend_interval);
    }

    /// Handles the answer of the owner of the claim that holds the key.
    pub(super) fn handle_owner_answer(
        &mut self,
        context: &mut Context<'_>,
        resources: &mut Resources<'_>,
        key: Digest,
        claim: ClaimId,
        answer: OwnerAnswer,
    ) {
        let Some(action) = self.owned.get_mut(&key) else {
            return;
        };
        let Phase::QueryingOwner { holder, .. } = &action.phase else {
            return;
        };
        if holder.id != claim {
            return;
        }
        match answer {
            OwnerAnswer::Running => {}
            OwnerAnswer::Ended(end) => self.finish_by_other_claim(context, resources, key, &end),
            OwnerAnswer::Gone => self.finish_owner_lost(context, resources, key),
            OwnerAnswer::NeverRun => {
                self.broadcast_release(context, key, claim);
                let pause = context
                    .random
                    .random_range(Duration::ZERO..MAX_CLAIM_BACKOFF);
                let until = context.now + pause;
                if let Some(action) = self.owned.get_mut(&key) {
                    action.phase = Phase::Backoff { until };
                }
                self.schedule_check(key, until);
            }
        }
    }

    fn finish_owner_lost(
        &mut self,
        context: &mut Context<'_>,
        resources: &mut Resources<'_>,
        key: Digest,
    ) {
        let refusal = Refusal {
            request_id: Default::default(),
            reason: RefusalReason::OutcomeUnknown,
            executed: Executed::Unknown,
            retry_after: None,
            detail: "the node that owns the key is gone; the action may have run and is not sent \
                     again"
                .to_owned(),
        };
        let end = ActionEnd::Failed { refusal };
        self.finish_by_other_claim(context, resources, key, &end);
    }

    /// Performs what is due for an action: refusals, resends, retries or removal.
    pub(super) fn check_action(
        &mut self,
        context: &mut Context<'_>,
        resources: &mut Resources<'_>,
        key: Digest,
    ) {
        self.refuse_expired_waiters(context, key);
        let Some(action) = self.owned.get(&key) else {
            return;
        };
        let now = context.now;
        let expired = action.deadline <= now;
        match &action.phase {
            Phase::Queued => {}
            Phase::Claiming(_) | Phase::Backoff { .. } if expired => {
                self.refuse_undecided(context, resources, key);
            }
            Phase::Claiming(votes) => {
                let latest = self.member.latest().map(|group| group.epoch);
                match latest.is_some_and(|latest| latest > votes.epoch) {
                    true => self.start_claim(context, key),
                    false => self.resend_claims(context, key),
                }
            }
            Phase::Backoff { until } if *until <= now => self.start_claim(context, key),
            Phase::Backoff { until } => self.schedule_check(key, *until),
            Phase::QueryingOwner { holder, since } => {
                let known = self.is_known_member(holder.owner);
                let timeout = self.parameters.unknown_owner_patience;
                let lost = !known && now.since(*since) >= timeout;
                match expired || lost {
                    true => self.finish_owner_lost(context, resources, key),
                    false => self.send_owner_query(context, key),
                }
            }
            Phase::Running { .. } => self.check_attempt(context, resources, key),
            Phase::Ended { .. } => self.remove_if_expired(now, key),
        }
    }

    fn resend_claims(&mut self, context: &mut Context<'_>, key: Digest) {
        if self.member.latest().is_none() {
            self.request_group(context);
        }
        self.send_claims(context, key);
    }

    fn is_known_member(&self, owner: PeerEndpoint) -> bool {
        let view = self.view.as_ref();
        view.is_some_and(|view| view.member(owner.node).is_some())
    }

    /// Releases the action's claim at all members of the group.
    pub(super) fn release_claim(&mut self, context: &mut Context<'_>, key: Digest) {
        if let Some(action) = self.owned.get(&key) {
            self.broadcast_release(context, key, action.claim);
        }
    }

    fn broadcast_release(&mut self, context: &mut Context<'_>, key: Digest, claim: ClaimId) {
        for member in self.group_members() {
            let message = ActionMessage::Release { key, claim };
            self.outbox.send(context, member, message);
        }
    }

    pub(super) fn group_members(&self) -> Vec<PeerEndpoint> {
        let latest = self.member.latest();
        latest.map_or_else(Vec::new, |group| group.members.clone())
    }

    /// Schedules the action's next check: at `at`, or at the earliest deadline of a waiter.
    pub(super) fn schedule_check(&mut self, key: Digest, at: Timestamp) {
        let Some(action) = self.owned.get_mut(&key) else {
            return;
        };
        let first_deadline = action.waiters.iter().map(|waiter| waiter.deadline).min();
        let at = first_deadline.map_or(at, |deadline| deadline.min(at));
        if let Some(old) = action.next_check.replace(at) {
            self.timers.remove(&(old, key));
        }
        self.timers.insert((at, key));
    }
}
