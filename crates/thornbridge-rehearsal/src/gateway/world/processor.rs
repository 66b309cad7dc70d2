//! Processor time of nodes: events wait their turn, and what they cause happens when it is done.

use super::{Occurrence, World};
use std::collections::VecDeque;
use std::time::Duration;
use thornbridge_core::Timestamp;
use thornbridge_core::gateway::{GatewayAction, GatewayEvent};

/// Time of a whole core to take or send one message: half of what a part of a gather needs
/// (docs/design/0017: about 0.1 ms, calculated).
const MESSAGE_COST: Duration = Duration::from_micros(50);

/// What a node's processor has to do.
#[derive(Debug, Default)]
pub(super) struct Processor {
    busy_until: Timestamp,
    backlog: VecDeque<GatewayEvent>,
}

impl Processor {
    /// A new process has nothing to do.
    pub(super) fn reset(&mut self) {
        *self = Self::default();
    }

    /// Keeps an event that has to wait; gives it back where it does not.
    pub(super) fn queue(&mut self, now: Timestamp, event: GatewayEvent) -> Option<GatewayEvent> {
        if self.busy_until <= now && self.backlog.is_empty() {
            return Some(event);
        }
        self.backlog.push_back(event);
        None
    }
}

impl World {
    /// A node's processor is free: the next event that waits is taken.
    pub(super) fn node_free(&mut self, node: usize, life: u32) {
        let machine = &mut self.machines[node];
        if machine.life != life {
            return;
        }
        if machine.frozen_until > self.now {
            let at = machine.frozen_until;
            self.schedule_at(at, Occurrence::NodeFree(node, life));
            return;
        }
        if let Some(event) = machine.processor.backlog.pop_front() {
            self.handle_event(node, life, event);
        }
    }

    /// Lets a node's actions happen as its processor gets to them.
    pub(super) fn carry_out_in_turn(
        &mut self,
        node: usize,
        life: u32,
        event_costs: bool,
        actions: Vec<GatewayAction>,
    ) {
        let Some(share) = self.scenario.processor_share else {
            for action in actions {
                self.carry_out(node, life, action);
            }
            return;
        };
        let cost = MESSAGE_COST.div_f64(share);
        let mut at = self.now + cost * u32::from(event_costs);
        for action in actions {
            if is_message(&action) {
                at = at + cost;
            }
            let action = Box::new(action);
            self.schedule_at(at, Occurrence::CarryOut(node, life, action));
        }
        self.machines[node].processor.busy_until = at;
        self.schedule_at(at, Occurrence::NodeFree(node, life));
    }
}

/// Whether an event is something that was read from a socket.
pub(super) fn is_read(event: &GatewayEvent) -> bool {
    matches!(
        event,
        GatewayEvent::Request { .. }
            | GatewayEvent::Replied { .. }
            | GatewayEvent::PeerMessage { .. }
            | GatewayEvent::SourceReplied { .. }
            | GatewayEvent::ConnectionOpened { .. }
    )
}

fn is_message(action: &GatewayAction) -> bool {
    matches!(
        action,
        GatewayAction::Send { .. }
            | GatewayAction::Answer { .. }
            | GatewayAction::SendPeer { .. }
            | GatewayAction::SendTask { .. }
            | GatewayAction::Open { .. }
            | GatewayAction::Read { .. }
    )
}
