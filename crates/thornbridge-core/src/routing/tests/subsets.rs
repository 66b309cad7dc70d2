//! Assignment of nodes to back ends, checked over whole clusters.

use super::fixture::proptest_config;
use crate::routing::subset::identity_hash;
use crate::routing::subset::{SubsetBuild, SubsetNode, SubsetParameters, SubsetServer, Topology};
use proptest::prelude::*;
use thornbridge_proto::{NodeId, ZoneName};

fn zone(number: usize) -> ZoneName {
    format!("zone-{number}").into()
}

fn nodes(count: usize) -> Vec<SubsetNode> {
    (0..count)
        .map(|node| SubsetNode::new(NodeId(node as u64 * 7919 + 1), zone(node % 3)))
        .collect()
}

fn topology(shards: usize, replicas: usize, connection_limit: u32) -> Topology {
    let servers = (0..shards * replicas)
        .map(|server| SubsetServer {
            hash: identity_hash(&format!("server-{server}")),
            zone: zone(server % 3),
            connection_limit,
        })
        .collect();
    let groups = (0..shards)
        .map(|shard| {
            (0..replicas)
                .map(|replica| (shard * replicas + replica) as u32)
                .collect()
        })
        .collect();
    Topology { servers, groups }
}

fn shares_of_all_nodes(
    topology: &Topology,
    nodes: &[SubsetNode],
    expected_nodes: u32,
) -> Vec<Vec<u32>> {
    let parameters = SubsetParameters::default();
    let mut build = SubsetBuild::new(parameters, topology.clone(), nodes.to_vec(), expected_nodes);
    while !build.advance(100) {}
    nodes.iter().map(|node| build.shares(node.node)).collect()
}

proptest! {
    #![proptest_config(proptest_config(100))]

    /// All nodes together stay within a back end's connection limit, and no node has two replicas of a
    /// shard while another has none.
    #[test]
    fn connection_limits_hold_and_replicas_are_divided_fairly(
        node_count in 1..120usize,
        shards in 1..6usize,
        replicas in 1..8usize,
        connection_limit in 1..80u32,
        invisible_nodes in 0..40u32,
    ) {
        let topology = topology(shards, replicas, connection_limit);
        let nodes = nodes(node_count);
        let shares = shares_of_all_nodes(&topology, &nodes, node_count as u32 + invisible_nodes);
        for server in 0..topology.servers.len() {
            let used: u32 = shares.iter().map(|shares| shares[server]).sum();
            prop_assert!(used <= connection_limit);
        }
        for group in &topology.groups {
            let reached = |shares: &Vec<u32>| {
                group.iter().filter(|server| shares[**server as usize] > 0).count()
            };
            let least = shares.iter().map(reached).min().unwrap_or(0);
            let most = shares.iter().map(reached).max().unwrap_or(0);
            prop_assert!(most < 2 || least > 0 , "{least} to {most} replicas per node");
        }
    }
}

/// Every node is assigned a replica of every shard, with many nodes and shards.
#[test]
fn every_node_reaches_every_shard_of_large_cluster() {
    let topology = topology(190, 17, 70);
    let nodes = nodes(690);
    let shares = shares_of_all_nodes(&topology, &nodes, 690);
    for group in &topology.groups {
        for shares in &shares {
            assert!(group.iter().any(|server| shares[*server as usize] > 0));
        }
    }
}

/// Replicas assigned to a node are in different zones, mostly including its own.
#[test]
fn assigned_replicas_are_in_different_zones() {
    let topology = topology(8, 6, 40);
    let nodes = nodes(60);
    let shares = shares_of_all_nodes(&topology, &nodes, 60);
    let mut pairs = 0;
    let mut own_zone = 0;
    let mut multi_zone = 0;
    for group in &topology.groups {
        for (node, shares) in nodes.iter().zip(&shares) {
            let zones: std::collections::BTreeSet<&ZoneName> = group
                .iter()
                .filter(|server| shares[**server as usize] > 0)
                .map(|server| &topology.servers[*server as usize].zone)
                .collect();
            pairs += 1;
            own_zone += usize::from(zones.contains(&node.zone));
            multi_zone += usize::from(zones.len() >= 2);
        }
    }
    assert_eq!(multi_zone, pairs);
    assert!(
        own_zone * 10 >= pairs * 9,
        "{own_zone} of {pairs} pairs include the own zone"
    );
}

/// Removing a node changes few assignments of the others.
#[test]
fn node_removal_moves_few_assignments() {
    let topology = topology(20, 17, 70);
    let mut nodes = nodes(690);
    let before = shares_of_all_nodes(&topology, &nodes, 690);
    nodes.remove(345);
    let after = shares_of_all_nodes(&topology, &nodes, 690);
    let mut changed = 0;
    let mut total = 0;
    for (index, after) in after.iter().enumerate() {
        let before = &before[index + usize::from(index >= 345)];
        changed += before
            .iter()
            .zip(after)
            .filter(|(old, new)| old != new)
            .count();
        total += after.iter().filter(|share| **share > 0).count();
    }
    assert!(
        changed * 50 < total,
        "{changed} of {total} assignments changed"
    );
}
