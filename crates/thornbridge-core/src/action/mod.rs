//! Requests that may not be repeated: each key runs at most once.
//!
//! The node that takes an action claims its key at the claim group (`member`, `group`,
//! `decider`). With a majority of grants it owns the key, and sends attempts one after the other,
//! another one only after one that certainly did not run (`running`). Without, it asks the owner
//! (`claiming`). Who repeats a key gets the recorded end (`answering`).
//!
//! Nothing here depends on time or on the member list for safety: only on majorities within an
//! epoch, and on each epoch's group being decided once in the platform's store. Source: L. Lamport,
//! D. Malkhi, L. Zhou, "Vertical Paxos and Primary-Backup Replication", PODC 2009.

mod answering;
mod claim_table;
mod claiming;
mod decider;
mod group;
mod leaving;
mod member;
mod outbox;
mod owned;
mod parameters;
mod peers;
mod planner;
mod running;
#[cfg(test)]
mod tests;

pub use parameters::{ActionCounters, ActionParameters};

use crate::configuration::InForce;
use crate::context::Context;
use crate::driver_action::{CallerId, OperationId};
use crate::limits::{Admission, AdmissionRefusal, AdmissionRequest};
use crate::membership::MemberView;
use crate::planning::PlanRefusal;
use crate::resources::Resources;
use crate::time::Timestamp;
use decider::GroupDecider;
use leaving::Leaving;
use member::GroupMember;
use outbox::Outbox;
use owned::{OwnedAction, Phase, Waiter};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;
use thornbridge_proto::caller::{ActionRequest, Executed, Refusal, RefusalReason};
use thornbridge_proto::peer::PeerEndpoint;
use thornbridge_proto::peer::action::ClaimId;
use thornbridge_proto::platform::{PlatformFailure, PlatformRequest, PlatformResponse};
use thornbridge_proto::{Digest, RequestId, ServiceName};

/// Told to a caller whose action could not be claimed: a group is usually decided within this.
const RETRY_AFTER_NO_GROUP: Duration = Duration::from_secs(1);

/// All actions of one node, and its part in the claim group.
#[derive(Debug)]
pub struct ActionEngine {
    parameters: ActionParameters,
    in_force: Option<Arc<InForce>>,
    view: Option<Arc<MemberView>>,
    outbox: Outbox,
    member: GroupMember,
    decider: GroupDecider,
    owned: BTreeMap<Digest, OwnedAction>,
    /// Keys by the request that holds a place in the limits or waits for one.
    requests: BTreeMap<RequestId, Digest>,
    callers: BTreeMap<CallerId, Digest>,
    timers: BTreeSet<(Timestamp, Digest)>,
    open: usize,
    last_claim: u64,
    /// Ended claims up to this one may be forgotten.
    forgotten_claims: u64,
    leaving: Option<Leaving>,
    counters: ActionCounters,
}

impl ActionEngine {
    /// An engine without a configuration and without a group.
    pub fn new(parameters: ActionParameters, own: PeerEndpoint) -> Self {
        Self {
            in_force: None,
            view: None,
            outbox: Outbox::new(own),
            member: GroupMember::new(&parameters),
            decider: GroupDecider::new(),
            owned: BTreeMap::new(),
            requests: BTreeMap::new(),
            callers: BTreeMap::new(),
            timers: BTreeSet::new(),
            open: 0,
            last_claim: 0,
            forgotten_claims: 0,
            leaving: None,
            counters: ActionCounters::default(),
            parameters,
        }
    }

    /// Counters.
    pub fn counters(&self) -> ActionCounters {
        let mut counters = self.counters.clone();
        counters.grants = self.member.grants;
        counters.claims_kept = self.member.claims_kept() as u64;
        counters.groups_joined = self.member.groups_joined;
        counters.groups_decided = self.decider.groups_decided;
        counters
    }

    /// What this node must see to its end before it stops: actions, and handing its claims over.
    pub fn in_flight(&self) -> usize {
        self.open + usize::from(self.leaving.is_some())
    }

    /// Takes a new configuration; actions in flight keep theirs.
    pub fn install(&mut self, in_force: &Arc<InForce>) {
        self.in_force = Some(Arc::clone(in_force));
    }

    /// Takes a new member list.
    pub fn members_changed(&mut self, view: &Arc<MemberView>) {
        self.view = Some(Arc::clone(view));
    }

    /// Whether this node reads the platform now: then it also sees to the claim group.
    pub fn set_reading(&mut self, now: Timestamp, reading: bool) {
        self.decider.set_reading(now, reading);
    }

    /// Takes a caller's action.
    pub fn start(
        &mut self,
        context: &mut Context<'_>,
        resources: &mut Resources<'_>,
        caller: CallerId,
        request_id: RequestId,
        request: ActionRequest,
    ) {
        self.counters.received += 1;
        let planned = planner::plan(self.in_force.as_ref(), &request);
        let mut waiter = Waiter {
            caller,
            request: request_id,
            arrived: context.now,
            deadline: context.now,
        };
        let plan = match planned {
            Ok(plan) => plan,
            Err(refusal) => {
                return self.refuse_at_once(context, &request.service, waiter, refusal);
            }
        };
        waiter.deadline = context.now + plan.time_allowed(&request);
        self.callers.insert(caller, plan.key);
        if self.owned.contains_key(&plan.key) {
            self.repeat(context, plan.key, plan.payload, waiter);
        } else if self.owned.len() >= self.parameters.maximum_claims {
            let refusal = PlanRefusal {
                reason: RefusalReason::Overloaded,
                detail: "this node remembers as many keys as it may; the action was not run"
                    .to_owned(),
            };
            self.refuse_at_once(context, &request.service, waiter, refusal);
        } else {
            self.own(context, resources, Arc::new(plan), waiter);
        }
        self.handle_own_messages(context, resources);
    }

    /// Begins an action whose key this node does not know.
    fn own(
        &mut self,
        context: &mut Context<'_>,
        resources: &mut Resources<'_>,
        plan: Arc<planner::ActionPlan>,
        waiter: Waiter,
    ) {
        let key = plan.key;
        let asked = AdmissionRequest {
            service: &plan.service,
            request: waiter.request,
            deadline: waiter.deadline,
            predicted_run_time: None,
        };
        let admission = resources.limits.admit(context, asked);
        let action = OwnedAction {
            plan,
            request: waiter.request,
            claim: self.next_claim(),
            phase: Phase::Queued,
            waiters: vec![waiter],
            deadline: waiter.deadline,
            wake: None,
        };
        self.owned.insert(key, action);
        self.requests.insert(waiter.request, key);
        self.open += 1;
        match admission {
            Admission::Run => self.claim(context, key),
            Admission::Queued => {}
            Admission::Refuse(refusal) => self.refuse_waiting(context, waiter.request, refusal),
        }
    }

    fn next_claim(&mut self) -> ClaimId {
        self.last_claim += 1;
        ClaimId {
            node: self.outbox.own().node,
            sequence: self.last_claim,
        }
    }

    /// Runs an action whose turn has come.
    pub fn run(
        &mut self,
        context: &mut Context<'_>,
        resources: &mut Resources<'_>,
        request: RequestId,
    ) {
        if let Some(key) = self.requests.get(&request).copied() {
            self.claim(context, key);
            self.handle_own_messages(context, resources);
        }
    }

    /// Refuses an action that never ran.
    pub fn refuse_waiting(
        &mut self,
        context: &mut Context<'_>,
        request: RequestId,
        refusal: AdmissionRefusal,
    ) {
        let Some(key) = self.requests.get(&request).copied() else {
            return;
        };
        let refusal = Refusal {
            request_id: request,
            reason: refusal.reason,
            executed: Executed::No,
            retry_after: Some(refusal.retry_after),
            detail: "too much is asked of this service now; the action was not run".to_owned(),
        };
        self.forget_refused(context, key, &refusal);
    }

    /// A caller went away; its action goes on.
    pub fn caller_gone(&mut self, caller: CallerId) {
        let key = self.callers.remove(&caller);
        if let Some(action) = key.and_then(|key| self.owned.get_mut(&key)) {
            action.waiters.retain(|waiter| waiter.caller != caller);
        }
    }

    /// When [`Self::timer_due`] wants to be called.
    pub fn next_timeout(&self) -> Option<Timestamp> {
        let timeouts = [
            self.timers.first().map(|(time, _)| *time),
            self.member.next_timeout(),
            self.decider.next_timeout(),
            self.leaving.as_ref().map(Leaving::next_timeout),
        ];
        timeouts.into_iter().flatten().min()
    }

    /// Ends, repeats and asks for what is due.
    pub fn timer_due(&mut self, context: &mut Context<'_>, resources: &mut Resources<'_>) {
        while let Some((time, key)) = self.timers.first().copied() {
            if time > context.now {
                break;
            }
            self.timers.pop_first();
            if let Some(action) = self.owned.get_mut(&key) {
                action.wake = None;
                self.look(context, resources, key);
            }
        }
        self.member.timer_due(context, &mut self.outbox);
        self.check_group(context);
        self.handle_own_messages(context, resources);
        self.leave_if_possible(context.now);
    }

    /// The next request to the platform, which gets the identity that `next_operation` gives.
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

    /// Takes the platform's answer, if it is to a question of this engine.
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
            self.announce(context, group);
        }
        self.handle_own_messages(context, resources);
    }

    fn refuse_at_once(
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
