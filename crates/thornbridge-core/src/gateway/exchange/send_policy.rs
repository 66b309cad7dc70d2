//! Sending restrictions for requests suspected of crashing servers, and their refusal.

use super::answering::crash_refusal;
use super::attempts::Attempt;
use super::part::{Part, PartState};
use super::request::{Origin, Request};
use super::{Context, Exchanges};
use crate::driver_action::CallerId;
use crate::gateway::action::RefusalReason;
use crate::gateway::event::RequestHead;
use crate::gateway::quarantine::SendPolicy;
use crate::gateway::routes::ResolvedRoute;
use crate::time::Timestamp;
use std::net::SocketAddr;
use std::time::Duration;
use thornbridge_proto::peer::slice::SliceTask;

/// Interval between checks of a suspected request; crash records from peers trigger no check.
const SUSPECT_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Minimum interval between checks of a request.
const MIN_CHECK_INTERVAL: Duration = Duration::from_millis(1);

impl Request {
    /// Whether any server answered a part, which clears the request of suspicion.
    pub(super) fn has_answer(&self) -> bool {
        self.parts.iter().any(Part::is_answered)
    }

    fn has_attempt_in_flight(&self) -> bool {
        self.parts.iter().any(|part| !part.in_flight.is_empty())
    }

    /// When to check the request next, unless an attempt ends first.
    pub(super) fn next_check_under(&self, policy: SendPolicy, now: Timestamp) -> Timestamp {
        let check_at = match policy {
            SendPolicy::Unrestricted => self.next_check(now),
            _ => (now + SUSPECT_CHECK_INTERVAL).min(self.deadline),
        };
        check_at.max(now + MIN_CHECK_INTERVAL)
    }

    /// Whether the request is to be given up.
    pub(super) fn should_give_up(&self, policy: SendPolicy) -> bool {
        match policy {
            SendPolicy::Unrestricted | SendPolicy::OneAtATime => false,
            SendPolicy::AwaitInFlight => !self.has_attempt_in_flight(),
            SendPolicy::Refuse => true,
        }
    }
}

impl Exchanges {
    /// Whether the request may be sent to another server now.
    pub(super) fn may_send_now(context: &Context<'_>, request: &Request) -> bool {
        match context
            .quarantine
            .send_policy(context.now, request.fingerprint)
        {
            SendPolicy::Unrestricted => true,
            SendPolicy::OneAtATime => !request.has_attempt_in_flight(),
            SendPolicy::AwaitInFlight | SendPolicy::Refuse => false,
        }
    }

    /// Refuses a slice of a request that crashes servers. The crash record is sent first, so that
    /// the coordinator does not delegate the slice again.
    pub(super) fn refuse_crashing_slice(
        &self,
        context: &mut Context<'_>,
        coordinator: SocketAddr,
        task: &SliceTask,
    ) {
        let fingerprint = task.fingerprint;
        context
            .quarantine
            .notify_peer(context.now, context.actions, coordinator, fingerprint);
        self.refuse_slice(context, coordinator, task.slice);
    }

    /// Refuses a request that crashes servers before any attempt.
    pub(super) fn refuse_crashing(
        &mut self,
        context: &mut Context<'_>,
        caller: CallerId,
        head: &RequestHead,
        route: &ResolvedRoute,
    ) {
        let reason = RefusalReason::CrashesServers;
        let remaining = context.quarantine.remaining(context.now, head.fingerprint);
        self.refuse_unstarted(context, caller, head, route, reason, remaining);
    }

    /// Reports a broken attempt as a crash that its request may have caused.
    pub(super) fn report_crash(&self, context: &mut Context<'_>, record: &Attempt) {
        let request = record.caller.and_then(|caller| self.requests.get(&caller));
        let fingerprint = match request {
            Some(request) => (!request.has_answer()).then_some(request.fingerprint),
            None => record.suspect,
        };
        let server = context.servers.get(record.target.server);
        if let (Some(fingerprint), Some(server)) = (fingerprint, server) {
            let run = server.run_id();
            context
                .quarantine
                .record_crash(context.now, fingerprint, &run);
        }
    }

    /// Ends a request that may be sent to no server any more.
    pub(super) fn give_up(&mut self, context: &mut Context<'_>, mut request: Request) {
        context
            .quarantine
            .record_abandoned(context.now, request.fingerprint);
        if matches!(request.origin, Origin::Caller) {
            let remaining = context
                .quarantine
                .remaining(context.now, request.fingerprint);
            let answer = crash_refusal(&request, remaining);
            self.finish(context, request, answer);
            return;
        }
        for index in 0..request.parts.len() {
            if let Some((server, _)) = request.parts[index].queued_at() {
                context.servers.remove_queued(server, request.caller, index);
            }
            if !request.parts[index].is_finished() {
                request.parts[index].state = PartState::Failed;
            }
        }
        self.advance_served_slice(context, &mut request);
        self.finish_served_slice(context, request);
    }
}
