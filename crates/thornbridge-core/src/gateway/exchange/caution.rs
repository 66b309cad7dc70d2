//! Requests under which servers crashed: to which servers they still go, and how they are given up.

use super::answering::crashes_servers;
use super::attempts::Attempt;
use super::leg::{Leg, LegState};
use super::request::{Origin, Request};
use super::{Exchanges, Scope};
use crate::driver_action::CallerId;
use crate::gateway::action::RefusalReason;
use crate::gateway::event::RequestHead;
use crate::gateway::quarantine::Caution;
use crate::gateway::routes::ResolvedRoute;
use crate::time::Timestamp;
use std::net::SocketAddr;
use std::time::Duration;
use thornbridge_proto::peer::slice::SliceTask;

/// Time between looks at a request that servers crashed under: what other nodes tell of it is no event
/// of its own.
const CAREFUL_LOOK: Duration = Duration::from_millis(20);
/// Least time between looks at a request.
const LEAST_LOOK: Duration = Duration::from_millis(1);

impl Request {
    /// Whether a server has answered a part of it: then it is not what makes servers crash.
    pub(super) fn has_answer(&self) -> bool {
        self.legs.iter().any(Leg::is_answered)
    }

    fn has_open_attempt(&self) -> bool {
        self.legs.iter().any(|leg| !leg.open.is_empty())
    }

    /// When it is to be looked at, if no attempt ends before.
    pub(super) fn next_look_by(&self, caution: Caution, now: Timestamp) -> Timestamp {
        let look = match caution {
            Caution::None => self.next_look(now),
            _ => (now + CAREFUL_LOOK).min(self.ends),
        };
        look.max(now + LEAST_LOOK)
    }

    /// Whether it is given up.
    pub(super) fn is_over_by(&self, caution: Caution) -> bool {
        match caution {
            Caution::None | Caution::OneAtATime => false,
            Caution::NoMore => !self.has_open_attempt(),
            Caution::Refuse => true,
        }
    }
}

impl Exchanges {
    /// Whether a request may be sent to another server now.
    pub(super) fn may_send_now(scope: &Scope<'_>, request: &Request) -> bool {
        match scope.quarantine.caution(scope.now, request.fingerprint) {
            Caution::None => true,
            Caution::OneAtATime => !request.has_open_attempt(),
            Caution::NoMore | Caution::Refuse => false,
        }
    }

    /// Refuses a slice of a request that crashes servers. Told of that first, its coordinator asks no
    /// other owner.
    pub(super) fn refuse_crashing_slice(
        &self,
        scope: &mut Scope<'_>,
        coordinator: SocketAddr,
        task: &SliceTask,
    ) {
        let fingerprint = task.fingerprint;
        scope
            .quarantine
            .tell_peer(scope.now, scope.actions, coordinator, fingerprint);
        self.refuse_slice(scope, coordinator, task.slice);
    }

    /// Refuses a request that crashes servers before anything is done for it.
    pub(super) fn refuse_crashing(
        &mut self,
        scope: &mut Scope<'_>,
        caller: CallerId,
        head: &RequestHead,
        route: &ResolvedRoute,
    ) {
        let reason = RefusalReason::CrashesServers;
        let lasts = scope.quarantine.lasts(scope.now, head.fingerprint);
        self.refuse_unstarted(scope, caller, head, route, reason, lasts);
    }

    /// An attempt broke: takes it as a crash that its request may have caused.
    pub(super) fn suspect(&self, scope: &mut Scope<'_>, record: &Attempt) {
        let request = record.caller.and_then(|caller| self.requests.get(&caller));
        let fingerprint = match request {
            Some(request) => (!request.has_answer()).then_some(request.fingerprint),
            None => record.suspect,
        };
        let server = scope.servers.get(record.carrier.server);
        if let (Some(fingerprint), Some(server)) = (fingerprint, server) {
            let run = server.run_id();
            scope.quarantine.crashed(scope.now, fingerprint, &run);
        }
    }

    /// No server gets the request any more: its caller or coordinator is told.
    pub(super) fn give_up(&mut self, scope: &mut Scope<'_>, mut request: Request) {
        scope.quarantine.given_up(scope.now, request.fingerprint);
        if matches!(request.origin, Origin::Caller) {
            let lasts = scope.quarantine.lasts(scope.now, request.fingerprint);
            let answer = crashes_servers(&request, lasts);
            self.finish(scope, request, answer);
            return;
        }
        for index in 0..request.legs.len() {
            if let Some((server, _)) = request.legs[index].queued_at() {
                scope.servers.stop_waiting(server, request.caller, index);
            }
            if !request.legs[index].is_over() {
                request.legs[index].state = LegState::Failed;
            }
        }
        self.advance_owned(scope, &mut request);
        self.finish_owned(scope, request);
    }
}
