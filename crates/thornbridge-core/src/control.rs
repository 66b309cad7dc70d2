//! Control: membership, configuration, leases and health sharing, composed.

use crate::configuration::ConfigurationRegister;
use crate::context::Context;
use crate::driver_action::{Action, OperationId, WatchId};
use crate::health::HealthSharing;
use crate::lease::ReaderLeases;
use crate::membership::{MemberView, Membership};
use crate::parameters::Parameters;
use crate::time::Timestamp;
use std::net::SocketAddr;
use std::sync::Arc;
use thornbridge_config::approval::TrustedKey;
use thornbridge_proto::peer::membership::MemberRecord;
use thornbridge_proto::peer::{PeerEndpoint, PeerMessage};
use thornbridge_proto::platform::{
    PlatformFailure, PlatformRequest, PlatformResponse, WatchChange, WatchEnd,
};

/// The control part of one node.
#[derive(Debug)]
pub struct ControlPlane {
    /// Member list.
    pub membership: Membership,
    /// Generation register.
    pub configuration: ConfigurationRegister,
    /// Leases of the region's readers.
    pub readers: ReaderLeases,
    /// Health of back ends.
    pub health: HealthSharing,
    last_operation: u64,
    machine_list: Option<OperationId>,
}

impl ControlPlane {
    /// Control of a node that knows only itself.
    pub fn new(
        parameters: &Parameters,
        own: MemberRecord,
        seeds: Vec<SocketAddr>,
        trusted_keys: Vec<TrustedKey>,
    ) -> Self {
        let expects_peers = !seeds.is_empty();
        let readers = ReaderLeases::new(parameters.lease.clone(), &own, expects_peers);
        Self {
            readers,
            membership: Membership::new(parameters.membership.clone(), own, seeds),
            configuration: ConfigurationRegister::new(
                parameters.configuration.clone(),
                trusted_keys,
            ),
            health: HealthSharing::new(parameters.health.clone(), expects_peers),
            last_operation: 0,
            machine_list: None,
        }
    }

    /// First call.
    pub fn started(&mut self, context: &mut Context<'_>) {
        self.membership.started(context);
        self.readers.started(context.now);
        self.readers_due(context);
    }

    /// A planned stop begins.
    pub fn leave(&mut self, context: &mut Context<'_>) {
        self.membership.leave(context);
        self.readers.leave(context, &mut self.last_operation);
        self.follow_lease(context);
    }

    /// The members changed.
    pub fn members_changed(&mut self, context: &mut Context<'_>, view: &Arc<MemberView>) {
        self.configuration.members_changed(context.now, view);
        self.readers.members_changed(context.now, view);
        self.health.members_changed(context, view);
        self.timer_due_but_membership(context);
    }

    /// Takes a peer's message, unless it is about actions.
    pub fn peer_message(
        &mut self,
        context: &mut Context<'_>,
        from: PeerEndpoint,
        message: PeerMessage,
    ) {
        match message {
            PeerMessage::Membership(message) => {
                self.membership.peer_message(context, from, message)
            }
            PeerMessage::Configuration(message) => {
                self.configuration.peer_message(context, from, message);
                self.share_platform_news(context.now);
            }
            PeerMessage::Health(message) => self.health.peer_message(context, from, message),
            PeerMessage::Action(_)
            | PeerMessage::View(_)
            | PeerMessage::Slice(_)
            | PeerMessage::Quarantine(_) => {}
        }
    }

    /// A link to a peer broke.
    pub fn link_down(&mut self, context: &mut Context<'_>, address: SocketAddr) {
        self.membership.link_down(context, address);
    }

    /// The process was paused or its clock jumped.
    pub fn clock_jumped(&mut self, context: &mut Context<'_>) {
        self.membership.clock_jumped(context);
        self.health.clock_jumped(context);
        self.readers.clock_jumped(context, &mut self.last_operation);
        self.follow_lease(context);
    }

    /// The platform answered.
    pub fn platform_reply(
        &mut self,
        context: &mut Context<'_>,
        operation: OperationId,
        result: &Result<PlatformResponse, PlatformFailure>,
    ) {
        if is_answer(result) {
            self.configuration.record_platform_contact(context.now);
        }
        if self.machine_list == Some(operation) {
            self.machine_list = None;
            if let Ok(PlatformResponse::Machines(machines)) = result {
                self.membership.machine_list_received(context, machines);
            }
            return;
        }
        self.readers
            .platform_reply(context, operation, result, &mut self.last_operation);
        self.follow_lease(context);
        self.configuration
            .platform_reply(context, operation, result, &mut self.last_operation);
        self.share_platform_news(context.now);
    }

    /// A watch saw a change. One that arrives after the lease ended is dropped.
    pub fn watch_changed(
        &mut self,
        context: &mut Context<'_>,
        watch: WatchId,
        change: &WatchChange,
    ) {
        self.readers_due(context);
        self.configuration
            .watch_changed(context, watch, change, &mut self.last_operation);
    }

    /// A watch ended.
    pub fn watch_ended(&mut self, context: &mut Context<'_>, watch: WatchId, end: WatchEnd) {
        self.configuration.watch_ended(context, watch, end);
    }

    /// A fresh identity for a request to the platform.
    pub fn next_operation(&mut self) -> OperationId {
        self.last_operation += 1;
        OperationId(self.last_operation)
    }

    /// When [`Self::timer_due`] wants to be called.
    pub fn next_timeout(&self) -> Option<Timestamp> {
        let timeouts = [
            self.membership.next_timeout(),
            self.configuration.next_timeout(),
            self.readers.next_timeout(),
            self.health.next_timeout(),
        ];
        timeouts.into_iter().flatten().min()
    }

    /// Does what is due.
    pub fn timer_due(&mut self, context: &mut Context<'_>) {
        self.membership.timer_due(context);
        self.ask_for_machines(context);
        self.health.timer_due(context);
        self.timer_due_but_membership(context);
    }

    /// A node that finds nobody reads the platform's list of machines once in a while.
    fn ask_for_machines(&mut self, context: &mut Context<'_>) {
        if !self.membership.machine_list_due(context) {
            return;
        }
        let operation = self.next_operation();
        self.machine_list = Some(operation);
        let request = PlatformRequest::ListMachines;
        context.act(Action::Platform { operation, request });
    }

    fn timer_due_but_membership(&mut self, context: &mut Context<'_>) {
        self.readers_due(context);
        self.configuration
            .timer_due(context, &mut self.last_operation);
    }

    fn readers_due(&mut self, context: &mut Context<'_>) {
        self.readers.timer_due(context, &mut self.last_operation);
        self.follow_lease(context);
    }

    /// The node reads the platform exactly while it holds a reader's lease.
    fn follow_lease(&mut self, context: &mut Context<'_>) {
        let reading = self.readers.held_token(context.now).is_some();
        let standbys = if reading {
            self.readers.standbys()
        } else {
            Vec::new()
        };
        self.configuration
            .set_platform_reader(context, reading, standbys);
    }

    /// Candidates that wait behind the readers go by how long the platform was not heard.
    fn share_platform_news(&mut self, now: Timestamp) {
        if let Some(age) = self.configuration.platform_age(now) {
            self.readers.record_platform_contact(now - age);
        }
    }
}

/// Whether the platform spoke: a refusal by precondition is an answer too.
fn is_answer(result: &Result<PlatformResponse, PlatformFailure>) -> bool {
    matches!(result, Ok(_) | Err(PlatformFailure::Conflict { .. }))
}
