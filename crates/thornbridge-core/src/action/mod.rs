//! At-most-once actions: each idempotency key runs at most once.
//!
//! The node that receives an action claims its key at the claim group (`group_member`, `group`,
//! `decider`). With a majority of grants the node owns the key and sends attempts one at a time,
//! each only after the previous one certainly did not run (`running`). Without a majority, the node
//! queries the owner of the key (`claiming`). A repeated request receives the recorded end
//! (`answering`).
//!
//! Safety depends neither on time nor on the member list, only on majorities within an epoch and on
//! each epoch's group being decided once in the platform's store. Source: L. Lamport, D. Malkhi, L.
//! Zhou, "Vertical Paxos and Primary-Backup Replication", PODC 2009.

mod answering;
mod claim_table;
mod claiming;
mod decider;
mod group;
mod group_member;
mod leaving;
mod outbox;
mod owned_action;
mod parameters;
mod peer_messages;
mod planner;
mod running;
#[cfg(test)]
mod tests;

pub use parameters::{ActionCounters, ActionParameters};

use crate::configuration::ActiveConfiguration;
use crate::context::Context;
use crate::driver_action::{CallerId, OperationId};
use crate::limits::{Admission, AdmissionRefusal, AdmissionRequest};
use crate::membership::MemberView;
use crate::planning::PlanRefusal;
use crate::resources::Resources;
use crate::time::Timestamp;
use decider::GroupDecider;
use group_member::GroupMember;
use leaving::Leaving;
use outbox::Outbox;
use owned_action::{OwnedAction, Phase, Waiter};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;
use thornbridge_proto::caller::{ActionRequest, Executed, Refusal, RefusalReason};
use thornbridge_proto::peer::PeerEndpoint;
use thornbridge_proto::peer::action::ClaimId;
use thornbridge_proto::platform::{PlatformFailure, PlatformRequest, PlatformResponse};
use thornbridge_proto::{Digest, RequestId, ServiceName};

/// Retry delay in refusals; a group is usually decided within this time.
const RETRY_AFTER_NO_GROUP: Duration = Duration::from_secs(1);

/// A node's actions, and its state as a member of the claim group.
#[derive(Debug)]
pub struct ActionEngine {
    parameters: ActionParameters,
    active: Option<Arc<ActiveConfiguration>>,
    view: Option<Arc<MemberView>>,
    outbox: Outbox,
    member: GroupMember,
    decider: GroupDecider,
    owned: BTreeMap<Digest, OwnedAction>,
    /// Keys by the request that was admitted or is queued by admission control.
    keys_by_request: BTreeMap<RequestId, Digest>,
    keys_by_caller: BTreeMap<CallerId, Digest>,
    timers: BTreeSet<(Timestamp, Digest)>,
    open_actions: usize,
    last_claim_sequence: u64,
    /// Highest sequence number of a claim whose end was removed. Ends of older claims may be
    /// missing too.
    highest_removed_claim: u64,
    leaving: Option<Leaving>,
    counters: ActionCounters,
}

impl ActionEngine {
    /// Creates an engine without a configuration or a group.
    pub fn new(parameters: ActionParameters, own: PeerEndpoint) -> Self {
        Self {
            active: None,
            view: None,
            outbox: Outbox::new(own),
            member: GroupMember::new(&parameters),
            decider: GroupDecider::new(),
            owned: BTreeMap::new(),
            keys_by_request: BTreeMap::new(),
            keys_by_caller: BTreeMap::new(),
            timers: BTreeSet::new(),
            open_actions: 0,
            last_claim_sequence: 0,
            highest_removed_claim: 0,
            leaving: None,
            counters: ActionCounters::default(),
            parameters,
        }
    }

    /// Counters of this node's actions and of its work for the claim group.
    pub fn counters(&self) -> ActionCounters {
        let mut counters = self.counters.clone();
        counters.grants = self.member.grants;
        counters.claims_kept = self.member.claim_count() as u64;
        counters.groups_joined = self.member.groups_joined;
        counters.groups_decided = self.decider.groups_decided;
        counters
    }

    /// Open actions, plus one while the handover of claims delays a planned stop.
    pub fn in_flight(&self) -> usize {
        self.open_actions + usize::from(self.leaving.is_some())
    }

    /// Applies a new configuration; actions in flight keep theirs.
    pub fn install(&mut self, active: &Arc<ActiveConfiguration>) {
        self.active = Some(Arc::clone(active));
    }

    /// Applies a new member list.
    pub fn members_changed(&mut self, view: &Arc<MemberView>) {
        self.view = Some(Arc::clone(view));
    }

    /// Sets whether this node reads the platform, and so maintains the claim group.
    pub fn set_platform_reader(&mut self, now: Timestamp, is_reader: bool) {
        self.decider.set_platform_reader(now, is_reader);
    }

    /// Starts an action requested by a caller.
    pub fn start(
        &mut self,
        context: &mut Context<'_>,
        resources: &mut Resources<'_>,
        caller: CallerId,
        request_id: RequestId,
        request: ActionRequest,
    ) {
        self.counters.received += 1;
        let planned = planner::plan(self.active.as_ref(), &request);
        let mut waiter = Waiter {
            caller,
            request: request_id,
            arrived_at: context.now,
            deadline: context.now,
        };
        let plan = match planned {
            Ok(plan) => plan,
            Err(refusal) => {
                return self.refuse_unadmitted(context, &request.service, waiter, refusal);
            }
        };
        waiter.deadline = context.now + plan.timeout(&request);
        self.keys_by_caller.insert(caller, plan.key);
        if self.owned.contains_key(&plan.key) {
            self.handle_repeat(context, plan.key, plan.payload, waiter);
        } else if self.owned.len() >= self.parameters.maximum_claims {
            let refusal = PlanRefusal {
                reason: RefusalReason::Overloaded,
                detail: "idempotency key table of the node is full; the action was not run"
                    .to_owned(),
            };
            self.refuse_unadmitted(context, &request.service, waiter, refusal);
        } else {
            self.start_new(context, resources, Arc::new(plan), waiter);
        }
        self.handle_own_messages(context, resources);
    }

    /// Starts an action whose key has no action at this node.
    fn start_new(
        &mut self,
        context: &mut Context<'_>,
        resources: &mut Resources<'_>,
        plan: Arc<planner::ActionPlan>,
        waiter: Waiter,
    ) {
        let key = plan.key;
        let admission_request = AdmissionRequest {
            service: &plan.service,
            request: waiter.request,
            deadline: waiter.deadline,
            predicted_run_time: None,
        };
        let admission = resources.limits.admit(context, admission_request);
        let action = OwnedAction {
            plan,
            request: waiter.request,
            claim: self.next_claim(),
            phase: Phase::Queued,
            waiters: vec![waiter],
            deadline: waiter.deadline,
            next_check: None,
        };
        self.owned.insert(key, action);
        self.keys_by_request.insert(waiter.request, key);
        self.open_actions += 1;
        match admission {
            Admission::Run => self.start_claim(context, key),
            Admission::Queued => {}
            Admission::Refuse(refusal) => self.refuse_queued(context, waiter.request, refusal),
        }
    }

    fn next_claim(&mut self) -> ClaimId {
        self.last_claim_sequence += 1;
        ClaimId {
            node: self.outbox.own().node,
            sequence: self.last_claim_sequence,
        }
    }

    /// Runs an action that was queued by admission control.
    pub fn run(
        &mut self,
        context: &mut Context<'_>,
        resources: &mut Resources<'_>,
        request: RequestId,
    ) {
        if let Some(key) = self.keys_by_request.get(&request).copied() {
            self.start_claim(context, key);
            self.handle_own_messages(context, resources);
        }
    }

    /// Refuses an action that was queued or rejected by admission control.
    pub fn refuse_queued(
        &mut self,
        context: &mut Context<'_>,
        request: RequestId,
        refusal: AdmissionRefusal,
    ) {
        let Some(key) = self.keys_by_request.get(&request).copied() else {
            return;
        };
        let refusal = Refusal {
            request_id: request,
            reason: refusal.reason,
            executed: Executed::No,
            retry_after: Some(refusal.retry_after),
            detail: "service overloaded; the action was not run".to_owned(),
        };
        self.remove_and_refuse(context, key, &refusal);
    }

    /// Removes a caller that disconnected; its action continues.
    pub fn caller_disconnected(&mut self, caller: CallerId) {
        let key = self.keys_by_caller.remove(&caller);
        if let Some(action) = key.and_then(|key| self.owned.get_mut(&key)) {
            action.waiters.retain(|waiter| waiter.caller != caller);
        }
    }

    /// Time of the next call of [`Self::timer_due`], if any.
    pub fn next_timeout(&self) -> Option<Timestamp> {
        let timeouts = [
            self.timers.first().map(|(time, _)| *time),
            self.member.next_timeout(),
            self.decider.next_timeout(),
            self.leaving.as_ref().map(Leaving::next_timeout),
        ];
        timeouts.into_iter().flatten().min()
    }

    /// Performs what is due: timeouts, resends, group checks.
    pub fn timer_due(&mut self, context: &mut Context<'_>, resources: &mut Resources<'_>) {
        while let Some((time, key)) = self.timers.first().copied() {
            if time > context.now {
                break;
            }
            self.timers.pop_first();
            if let Some(action) = self.owned.get_mut(&key) {
                action.next_check = None;
                self.check_action(context, resources, key);
            }
        }
        self.member.timer_due(context, &mut self.outbox);
        self.check_group(context);
        self.handle_own_messages(context, resources);
        self.finish_leaving_if_ready(context.now);
    }

    /// Next request to the platform, with its identifier from `next_operation`.
    pub fn poll_platform_request(
        &mut self,
        next_operation: impl FnOnce() -> OperationId,
    ) -> Option<(OperationId, PlatformRequest)> {
        if !self.decider.has_request() {
            return None;
        }
        let operation = next_operation();
        let request = self.decider.poll_request(operation)?;
        Some((operation, request))
    }

    /// Handles the platform's reply to a request of this engine; ignores other replies.
    pub fn platform_reply(
        &mut self,
        context: &mut Context<'_>,
        resources: &mut Resources<'_>,
        operation: OperationId,
        result: &Result<PlatformResponse, PlatformFailure>,
    ) {
        let Some(view) = self.view.clone() else {
            return;
        };
        let latest = self.member.latest();
        let decided = self.decider.platform_reply(
            context.now,
            operation,
            result,
            &self.parameters,
            &view,
            latest,
        );
        if let Some(group) = decided {
            self.announce_group(context, group);
        }
        self.handle_own_messages(context, resources);
    }

    fn refuse_unadmitted(
        &mut self,
        context: &mut Context<'_>,
        service: &ServiceName,
        waiter: Waiter,
        refusal: PlanRefusal,
    ) {
        let retry_after = match refusal.reason {
            RefusalReason::UnknownService | RefusalReason::WrongKind | RefusalReason::Invalid => {
                None
            }
            _ => Some(RETRY_AFTER_NO_GROUP),
        };
        let refusal = Refusal {
            request_id: waiter.request,
            reason: refusal.reason,
            executed: Executed::No,
            retry_after,
            detail: refusal.detail,
        };
        self.refuse(context, service, waiter, refusal);
    }
}
