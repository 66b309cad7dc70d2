//! What the parts of a node tell each other. [`crate::Node`] hands each signal on.

use crate::configuration::ActiveConfiguration;
use crate::membership::MemberView;
use std::sync::Arc;
use thornbridge_proto::peer::health::HealthRecord;

/// News between the parts of one node.
#[derive(Clone, Debug)]
pub enum Signal {
    /// From control: this configuration is in force from now on.
    ConfigurationActivated(Arc<ActiveConfiguration>),
    /// From control: the members changed.
    MembersChanged(Arc<MemberView>),
    /// From health sharing: news of a back end, seen here or by a peer.
    BackEndHealthUpdated(HealthRecord),
    /// From routing: this node saw, in a reply or failure, news worth spreading.
    BackEndObserved(HealthRecord),
}
