//! Versions of servers in the registry, which peers copy.

use super::support::{Harness, instance};
use crate::gateway::parameters::GatewayParameters;
use crate::gateway::{GatewayEvent, ViewKind, ViewObject};
use thornbridge_proto::ServerVersion;
use thornbridge_proto::peer::view::{InstanceState, StoreRevision};

fn server(id: &str, revision: u64) -> ViewObject {
    let mut instance = instance(id, "s", InstanceState::Ready);
    instance.version = ServerVersion::new("v1");
    ViewObject::Instance(StoreRevision::without_era(revision), instance)
}

/// Versions that a peer receives after a list and a watch have told one server each.
fn versions_for_peers(rollouts_enabled: bool) -> Vec<ServerVersion> {
    let mut harness = Harness::unconfigured();
    let mut parameters = GatewayParameters::default();
    parameters.rollouts.enabled = rollouts_enabled;
    let parameters = Box::new(parameters);
    harness.event(GatewayEvent::Reconfigured { parameters });
    harness.list_reply(ViewKind::Registry, vec![server("s1", 10)], 50);
    harness.advance(super::support::millis(1_000));
    harness.watch_reply(ViewKind::Registry, vec![server("s2", 60)], 60);
    let delta = harness.gateway.registry.delta(StoreRevision::default());
    let present = delta.expect("a registry").present.into_iter();
    present.map(|(_, instance)| instance.version).collect()
}

#[test]
fn peers_receive_versions_where_rollouts_may_be_ordered() {
    assert_eq!(versions_for_peers(true), ["v1".into(), "v1".into()]);
}

/// Guards against messages that differ from those of earlier builds in deployments without roll-outs.
#[test]
fn peers_receive_no_versions_where_no_rollout_may_be_ordered() {
    assert_eq!(versions_for_peers(false), ["".into(), "".into()]);
}
