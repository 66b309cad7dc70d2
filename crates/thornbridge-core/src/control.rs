//! Control plane of a node: membership, configuration, reader leases and health sharing.

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

/// Control plane of a node.
#[derive(Debug)]
pub struct ControlPlane {
    /// Member list.
    pub membership: Membership,
    /// Register of configuration generations.
    pub configuration: ConfigurationRegister,
    /// Reader leases of the region.
    pub readers: ReaderLeases,
    /// Health of back ends.
    pub health: HealthSharing,
    last_operation: u64,
    machine_list_operation: Option<OperationId>,
}

impl ControlPlane {
    /// Creates the control plane of a node without known members.
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
            machine_list_operation: None,
        }
    }

    /// Starts the control plane; must be called first.
    pub fn started(&mut self, context: &mut Context<'_>) {
        self.membership.started(context);
        self.readers.started(context.now);
        self.run_reader_timers(context);
    }

    /// Starts a planned stop.
    pub fn leave(&mut self, context: &mut Context<'_>) {
        self.membership.leave(context);
        self.readers.leave(context, &mut self.last_operation);
        self.update_platform_reader(context);
    }

    /// Handles a change of the member list.
    pub fn members_changed(&mut self, context: &mut Context<'_>, view: &Arc<MemberView>) {
        self.configuration.members_changed(context.now, view);
        self.readers.members_changed(context.now, view);
        self.health.members_changed(context, view);
        self.run_reader_and_configuration_timers(context);
    }

    /// Handles a peer's message about membership, configuration or health; ignores others.
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
                self.forward_platform_contact(context.now);
            }
            PeerMessage::Health(message) => self.health.peer_message(context, from, message),
            PeerMessage::Action(_)
            | PeerMessage::View(_)
            | PeerMessage::Slice(_)
            | PeerMessage::Quarantine(_)
            | PeerMessage::Rollout(_) => {}
        }
    }

    /// Handles the loss of a link to a peer.
    pub fn link_down(&mut self, context: &mut Context<'_>, address: SocketAddr) {
        self.membership.link_down(context, address);
    }

    /// Handles a pause of the process or a jump of its clock.
    pub fn clock_jumped(&mut self, context: &mut Context<'_>) {
        self.membership.clock_jumped(context);
        self.health.clock_jumped(context);
        self.readers.clock_jumped(context, &mut self.last_operation);
        self.update_platform_reader(context);
    }

    /// Handles a response or failure of a request to the platform.
    pub fn platform_reply(
        &mut self,
        context: &mut Context<'_>,
        operation: OperationId,
        result: &Result<PlatformResponse, PlatformFailure>,
    ) {
        if is_answer(result) {
            self.configuration.record_platform_contact(context.now);
        }
        if self.machine_list_operation == Some(operation) {
            self.machine_list_operation = None;
            if let Ok(PlatformResponse::Machines(machines)) = result {
                self.membership.machine_list_received(context, machines);
            }
            return;
        }
        self.readers
            .platform_reply(context, operation, result, &mut self.last_operation);
        self.update_platform_reader(context);
        self.configuration
            .platform_reply(context, operation, result, &mut self.last_operation);
        self.forward_platform_contact(context.now);
    }

    /// Handles a change reported by a watch. Dropped if the reader lease has expired.
    pub fn watch_changed(
        &mut self,
        context: &mut Context<'_>,
        watch: WatchId,
        change: &WatchChange,
    ) {
        self.run_reader_timers(context);
        self.configuration
            .watch_changed(context, watch, change, &mut self.last_operation);
    }

    /// Handles the end of a watch.
    pub fn watch_ended(&mut self, context: &mut Context<'_>, watch: WatchId, end: WatchEnd) {
        self.configuration.watch_ended(context, watch, end);
    }

    /// Allocates an id for a request to the platform.
    pub fn next_operation(&mut self) -> OperationId {
        self.last_operation += 1;
        OperationId(self.last_operation)
    }

    /// Time by which [`Self::timer_due`] must be called.
    pub fn next_timeout(&self) -> Option<Timestamp> {
        let timeouts = [
            self.membership.next_timeout(),
            self.configuration.next_timeout(),
            self.readers.next_timeout(),
            self.health.next_timeout(),
        ];
        timeouts.into_iter().flatten().min()
    }

    /// Runs all timers that are due.
    pub fn timer_due(&mut self, context: &mut Context<'_>) {
        self.membership.timer_due(context);
        self.request_machine_list(context);
        self.health.timer_due(context);
        self.run_reader_and_configuration_timers(context);
    }

    /// Requests the platform's list of machines if membership needs it to find members.
    fn request_machine_list(&mut self, context: &mut Context<'_>) {
        if !self.membership.machine_list_due(context) {
            return;
        }
        let operation = self.next_operation();
        self.machine_list_operation = Some(operation);
        let request = PlatformRequest::ListMachines;
        context.act(Action::Platform { operation, request });
    }

    fn run_reader_and_configuration_timers(&mut self, context: &mut Context<'_>) {
        self.run_reader_timers(context);
        self.configuration
            .timer_due(context, &mut self.last_operation);
    }

    fn run_reader_timers(&mut self, context: &mut Context<'_>) {
        self.readers.timer_due(context, &mut self.last_operation);
        self.update_platform_reader(context);
    }

    /// Starts or stops reading the platform: a node reads while it holds a reader lease.
    fn update_platform_reader(&mut self, context: &mut Context<'_>) {
        let holds_lease = self.readers.held_token(context.now).is_some();
        let standbys = if holds_lease {
            self.readers.standbys()
        } else {
            Vec::new()
        };
        self.configuration
            .set_platform_reader(context, holds_lease, standbys);
    }

    /// Passes the last contact with the platform to the leases, where standby candidates use it.
    fn forward_platform_contact(&mut self, now: Timestamp) {
        if let Some(age) = self.configuration.platform_age(now) {
            self.readers.record_platform_contact(now - age);
        }
    }
}

/// Whether the platform answered. A failed precondition counts as an answer.
fn is_answer(result: &Result<PlatformResponse, PlatformFailure>) -> bool {
    matches!(result, Ok(_) | Err(PlatformFailure::Conflict { .. }))
}
