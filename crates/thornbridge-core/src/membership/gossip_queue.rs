//! Member updates waiting to ride on messages.

use crate::gossip::{Allowance, TransmissionQueue, Urgency};
use thornbridge_proto::NodeId;
use thornbridge_proto::frame;
use thornbridge_proto::peer::membership::{MemberState, MemberUpdate};

/// What an update is about. Suspicions by different members stand beside each other, since they
/// confirm each other.
type Subject = (NodeId, Option<NodeId>);

/// The queue.
#[derive(Debug, Default)]
pub struct GossipQueue {
    queue: TransmissionQueue<Subject, MemberUpdate>,
}

impl GossipQueue {
    /// Adds an update in place of older ones about the same member.
    pub fn push(&mut self, update: MemberUpdate, transmissions: u32) {
        let Ok(encoded) = frame::encode(&update) else {
            return;
        };
        let node = update.node();
        let suspected_by = match &update {
            MemberUpdate::Suspicion { suspected_by, .. } => Some(*suspected_by),
            MemberUpdate::Record(_) | MemberUpdate::State { .. } => None,
        };
        if suspected_by.is_none() {
            let all_suspicions = (node, None)..=(node, Some(NodeId(u64::MAX)));
            self.queue.remove_range(all_suspicions);
        }
        let urgency = urgency(&update);
        let sized = (update, encoded.len());
        self.queue
            .push((node, suspected_by), urgency, transmissions, sized);
    }

    /// Takes updates for one message.
    pub fn take(&mut self, allowance: Allowance) -> Vec<MemberUpdate> {
        self.queue.take(allowance)
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }
}

fn urgency(update: &MemberUpdate) -> Urgency {
    match update {
        MemberUpdate::State {
            state: MemberState::Leaving,
            ..
        } => Urgency::Leaving,
        MemberUpdate::State { .. } => Urgency::State,
        MemberUpdate::Suspicion { .. } => Urgency::Unconfirmed,
        MemberUpdate::Record(_) => Urgency::Metadata,
    }
}
