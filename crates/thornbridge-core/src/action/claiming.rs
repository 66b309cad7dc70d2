//! Claiming a key at the group, and asking its owner where another claim holds it.

use super::ActionEngine;
use super::owned::{Phase, Votes};
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

/// Longest pause before a key is claimed again; drawn, so that two claimants part.
const LONGEST_BACKOFF: Duration = Duration::from_millis(20);

impl ActionEngine {
    /// Begins to claim a key at the latest group.
    pub(super) fn claim(&mut self, context: &mut Context<'_>, key: Digest) {
        let votes = self.member.latest().map(Votes::new).unwrap_or_default();
        if votes.members.is_empty() {
            self.ask_for_group(context);
        }
        if let Some(action) = self.owned.get_mut(&key) {
            action.phase = Phase::Claiming(votes);
            self.send_claims(context, key);
        }
    }

    /// Sends the claim to the members that have not answered. Those that leave are left out where
    /// the others suffice.
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
            .fit_members(&votes.members)
            .iter()
            .filter(unanswered)
            .copied()
            .collect();
        for member in members {
            let claim = claim.clone();
            let message = ActionMessage::Claim { epoch, claim };
            self.outbox.send(context, member, message);
        }
        self.wake_at(key, context.now + self.parameters.resend_interval);
    }

    /// Members that take work, if they are a majority; else all.
    fn fit_members(&self, members: &[PeerEndpoint]) -> Vec<PeerEndpoint> {
        let Some(view) = &self.view else {
            return members.to_vec();
        };
        let takes_work = |member: &&PeerEndpoint| {
            view.accepting_work()
                .any(|known| known.endpoint.node == member.node)
        };
        let fit: Vec<PeerEndpoint> = members.iter().filter(takes_work).copied().collect();
        if fit.len() >= super::group::majority(members.len()) {
            fit
        } else {
            members.to_vec()
        }
    }

    /// A member answered a claim.
    pub(super) fn verdict(
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
                    true => self.finish_for_other(context, resources, key, &end),
                    false => self.key_reused(context, resources, key),
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
            return self.run_owned(context, resources, key);
        }
        if !votes.is_lost() {
            return;
        }
        self.counters.claims_lost += 1;
        match votes.holder.clone() {
            Some(holder) => self.ask_holder(context, resources, key, holder),
            None => {
                let detail = "the nodes that keep keys have no room; the action was not run";
                self.give_up(context, resources, key, RefusalReason::Overloaded, detail);
            }
        }
    }

    /// Another claim holds the key: withdraws the own claim for good, and asks the other's owner.
    fn ask_holder(
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
        // A released claim is never used again: its release may still be on its way.
        action.claim = fresh;
        if holder.payload != action.plan.payload {
            return self.key_reused(context, resources, key);
        }
        action.phase = Phase::Asking {
            holder,
            since: context.now,
        };
        self.send_question(context, key);
    }

    fn send_question(&mut self, context: &mut Context<'_>, key: Digest) {
        let Some(action) = self.owned.get(&key) else {
            return;
        };
        if let Phase::Asking { holder, .. } = &action.phase {
            let claim = holder.id;
            let owner = holder.owner;
            let message = ActionMessage::Ask { claim, key };
            self.outbox.send(context, owner, message);
        }
        self.wake_at(key, context.now + self.parameters.resend_interval);
    }

    /// The owner of a claim that held the key answered.
    pub(super) fn told(
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
        let Phase::Asking { holder, .. } = &action.phase else {
            return;
        };
        if holder.id != claim {
            return;
        }
        match answer {
            OwnerAnswer::Running => {}
            OwnerAnswer::Ended(end) => self.finish_for_other(context, resources, key, &end),
            OwnerAnswer::Gone => self.owner_is_gone(context, resources, key),
            OwnerAnswer::NeverRun => {
                self.release_everywhere(context, key, claim);
                let pause = context.random.random_range(Duration::ZERO..LONGEST_BACKOFF);
                let until = context.now + pause;
                if let Some(action) = self.owned.get_mut(&key) {
                    action.phase = Phase::Backoff { until };
                }
                self.wake_at(key, until);
            }
        }
    }

    fn owner_is_gone(
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
            detail: "the node that took this key is gone; the action may have run and is not sent \
                     again"
                .to_owned(),
        };
        let end = ActionEnd::Failed { refusal };
        self.finish_for_other(context, resources, key, &end);
    }

    /// Looks at an action whose time has come.
    pub(super) fn look(
        &mut self,
        context: &mut Context<'_>,
        resources: &mut Resources<'_>,
        key: Digest,
    ) {
        self.refuse_overdue(context, key);
        let Some(action) = self.owned.get(&key) else {
            return;
        };
        let now = context.now;
        let overdue = action.deadline <= now;
        match &action.phase {
            Phase::Queued => {}
            Phase::Claiming(_) | Phase::Backoff { .. } if overdue => {
                self.give_up_undecided(context, resources, key);
            }
            Phase::Claiming(votes) => {
                let latest = self.member.latest().map(|group| group.epoch);
                match latest.is_some_and(|latest| latest > votes.epoch) {
                    true => self.claim(context, key),
                    false => self.ask_or_resend(context, key),
                }
            }
            Phase::Backoff { until } if *until <= now => self.claim(context, key),
            Phase::Backoff { until } => self.wake_at(key, *until),
            Phase::Asking { holder, since } => {
                let known = self.knows(holder.owner);
                let patience = self.parameters.unknown_owner_patience;
                let lost = !known && now.since(*since) >= patience;
                match overdue || lost {
                    true => self.owner_is_gone(context, resources, key),
                    false => self.send_question(context, key),
                }
            }
            Phase::Running { .. } => self.look_at_attempt(context, resources, key),
            Phase::Ended { .. } => self.forget_if_old(now, key),
        }
    }

    fn ask_or_resend(&mut self, context: &mut Context<'_>, key: Digest) {
        if self.member.latest().is_none() {
            self.ask_for_group(context);
        }
        self.send_claims(context, key);
    }

    fn knows(&self, owner: PeerEndpoint) -> bool {
        let view = self.view.as_ref();
        view.is_some_and(|view| view.member(owner.node).is_some())
    }

    /// Tells the group that the action's claim never runs.
    pub(super) fn release_claim(&mut self, context: &mut Context<'_>, key: Digest) {
        if let Some(action) = self.owned.get(&key) {
            self.release_everywhere(context, key, action.claim);
        }
    }

    fn release_everywhere(&mut self, context: &mut Context<'_>, key: Digest, claim: ClaimId) {
        for member in self.group_members() {
            let message = ActionMessage::Release { key, claim };
            self.outbox.send(context, member, message);
        }
    }

    pub(super) fn group_members(&self) -> Vec<PeerEndpoint> {
        let latest = self.member.latest();
        latest.map_or_else(Vec::new, |group| group.members.clone())
    }

    /// Sets when an action is looked at next, unless that is sooner.
    pub(super) fn wake_at(&mut self, key: Digest, at: Timestamp) {
        let Some(action) = self.owned.get_mut(&key) else {
            return;
        };
        let by_waiter = action.waiters.iter().map(|waiter| waiter.deadline).min();
        let at = by_waiter.map_or(at, |deadline| deadline.min(at));
        if let Some(old) = action.wake.replace(at) {
            self.timers.remove(&(old, key));
        }
        self.timers.insert((at, key));
    }
}
