//! Clusters, roles and messages that tests of roll-outs share.

use super::rollout_cluster::{Cluster, endpoint};
use super::support::millis;
use crate::gateway::GatewayEvent;
use crate::gateway::servers::{VersionRole, VersionRoles};
use thornbridge_proto::ServerVersion;
use thornbridge_proto::peer::PeerMessage;
use thornbridge_proto::peer::rollout::{RolloutGrant, RolloutMessage, RolloutState};

/// Outcomes, good and bad, of requests in a quarter of a second at each node.
pub const GOOD: [u32; 2] = [2, 0];
pub const BAD: [u32; 2] = [0, 2];
pub const STABLE: [u32; 2] = [10, 0];

/// Three nodes and an order for a service with servers of both versions.
pub fn ordered() -> Cluster {
    let mut cluster = Cluster::start(3, &["s"]);
    cluster.store.order("s", "new");
    cluster.store.register("s-3", "s", "new");
    cluster.run(millis(1_000));
    cluster
}

pub fn trial_roles() -> VersionRoles {
    VersionRoles {
        established: version("old"),
        trial: version("new"),
        ..VersionRoles::default()
    }
}

pub fn rejected_roles() -> VersionRoles {
    VersionRoles {
        established: version("old"),
        rejected: version("new"),
        ..VersionRoles::default()
    }
}

pub fn role_at(cluster: &Cluster, node: usize, service: &str, of: &str) -> VersionRole {
    let roles = cluster.roles(node, service);
    roles.role_of(&ServerVersion::new(of))
}

/// Grant that tells a node of another node's decision.
pub fn grant_event(
    cluster: &Cluster,
    node: usize,
    from: usize,
    decision: Option<RolloutState>,
) -> GatewayEvent {
    let grant = RolloutGrant {
        decision,
        ..cluster.empty_grant(node)
    };
    GatewayEvent::PeerMessage {
        from: endpoint(from),
        message: PeerMessage::Rollout(RolloutMessage::Grant(grant)),
    }
}

pub fn version(name: &str) -> Option<ServerVersion> {
    Some(ServerVersion::new(name))
}
