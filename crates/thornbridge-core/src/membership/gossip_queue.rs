//! Queue of member updates to piggyback on messages.

use crate::gossip::{Allowance, TransmissionQueue, Urgency};
use thornbridge_proto::NodeId;
use thornbridge_proto::frame;
use thornbridge_proto::peer::membership::{MemberState, MemberUpdate};

/// Subject of an update: a member and, for a suspicion, the member that raised it. Suspicions of
/// different members are queued separately, since they confirm each other.
type Subject = (NodeId, Option<NodeId>);

/// Queue of member updates.
#[derive(Debug, Default)]
pub struct GossipQueue {
    queue: TransmissionQueue<Subject, MemberUpdate>,
}

impl GossipQueue {
    /// Queues an update, replacing older ones on the same subject. A record or state also replaces
    /// all suspicions of its member.
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
            let suspicions_of_node = (node, None)..=(node, Some(NodeId(u64::MAX)));
            self.queue.remove_range(suspicions_of_node);
        }
        let urgency = urgency(&update);
        let update_with_size = (update, encoded.len());
        self.queue.push(
            (node, suspected_by),
            urgency,
            transmissions,
            update_with_size,
        );
    }

    /// Takes updates for one message, within the allowance.
    pub fn take(&mut self, allowance: Allowance) -> Vec<MemberUpdate> {
        self.queue.take(allowance)
    }

    /// Whether no update is queued.
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
