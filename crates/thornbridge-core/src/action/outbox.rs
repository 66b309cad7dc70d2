//! Outgoing messages about actions, including those that a node sends to itself.

use crate::context::Context;
use crate::driver_action::Action;
use std::collections::VecDeque;
use thornbridge_proto::peer::action::ActionMessage;
use thornbridge_proto::peer::{PeerEndpoint, PeerMessage};

/// Sends messages to peers, and queues those to this node itself.
#[derive(Debug)]
pub(super) struct Outbox {
    own: PeerEndpoint,
    to_self: VecDeque<ActionMessage>,
}

impl Outbox {
    pub(super) fn new(own: PeerEndpoint) -> Self {
        Self {
            own,
            to_self: VecDeque::new(),
        }
    }

    pub(super) fn own(&self) -> PeerEndpoint {
        self.own
    }

    pub(super) fn send(
        &mut self,
        context: &mut Context<'_>,
        to: PeerEndpoint,
        message: ActionMessage,
    ) {
        if to.node == self.own.node {
            self.to_self.push_back(message);
            return;
        }
        context.act(Action::SendPeer {
            to: to.address,
            message: PeerMessage::Action(message),
        });
    }

    pub(super) fn next_to_self(&mut self) -> Option<ActionMessage> {
        self.to_self.pop_front()
    }
}
