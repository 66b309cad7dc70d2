//! Signals between the parts of a node, dispatched by [`crate::Node`].

use crate::configuration::ActiveConfiguration;
use crate::membership::MemberView;
use std::sync::Arc;
use thornbridge_proto::peer::health::HealthRecord;

/// A signal between the parts of a node.
#[derive(Clone, Debug)]
pub enum Signal {
    /// From the control plane: a configuration became active.
    ConfigurationActivated(Arc<ActiveConfiguration>),
    /// From the control plane: the member list changed.
    MembersChanged(Arc<MemberView>),
    /// From health sharing: a back end's record changed, by this node or a peer.
    BackEndHealthUpdated(HealthRecord),
    /// From routing: a back end's state changed, as seen in a reply or failure.
    BackEndObserved(HealthRecord),
}
