//! Versions of servers in the registry, which peers copy.

use super::support::{Harness, instance, millis};
use crate::gateway::parameters::GatewayParameters;
use crate::gateway::views::registry::Registry;
use crate::gateway::{GatewayEvent, ViewKind, ViewObject};
use crate::time::Timestamp;
use thornbridge_proto::ServerVersion;
use thornbridge_proto::peer::view::{Instance, InstanceState, StoreRevision};

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
    harness.advance(millis(1_000));
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

fn entry(version: &str) -> (StoreRevision, Instance) {
    let mut instance = instance("s1", "s", InstanceState::Ready);
    instance.version = ServerVersion::new(version);
    (StoreRevision::without_era(10), instance)
}

/// Version in a registry that received one entry after the other, both at the same revision.
fn version_after(first: &str, second: &str) -> ServerVersion {
    let mut registry = Registry::default();
    let at = StoreRevision::without_era(50);
    for version in [first, second] {
        registry.replace(Timestamp::ZERO, vec![entry(version)], at);
    }
    let delta = registry.delta(StoreRevision::default());
    let present = delta.expect("a registry").present;
    present[0].1.version.clone()
}

/// Guards against servers without a version for good, after their entries came from an earlier build.
#[test]
fn version_that_an_earlier_build_left_out_is_added() {
    assert_eq!(version_after("", "v1"), "v1".into());
}

#[test]
fn entry_of_an_earlier_build_removes_no_version() {
    assert_eq!(version_after("v1", ""), "v1".into());
}
