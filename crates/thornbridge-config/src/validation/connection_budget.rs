//! Whether each shard's servers bear the connections of the most nodes that may come.
//!
//! Nodes share each server's connections by rendezvous subsetting: a node that cannot have a
//! connection to every replica has one to some of them. What must hold is that each node gets
//! at least one connection to a replica of each shard, from the part of the limits that is
//! given out.

use super::Findings;
use crate::bundle::{BackEnd, Service};

/// Share of a server's connections that is not given out: while members come and go, some nodes
/// hold connections that others do not know of.
pub const CONNECTION_RESERVE: f64 = 0.1;

/// Connections of a server that are given out to nodes, at least one.
pub fn connections_given_out(back_end: &BackEnd) -> u32 {
    let given_out = (f64::from(back_end.connections) * (1.0 - CONNECTION_RESERVE)) as u32;
    given_out.max(1).min(back_end.connections)
}

/// Notes each shard whose replicas bear fewer nodes than may come.
pub(super) fn check(service: &Service, path: &str, maximum_nodes: u32, findings: &mut Findings) {
    for (layout_index, layout) in service.layouts.iter().enumerate() {
        for (shard, replicas) in layout.shards.iter().enumerate() {
            let servers: Option<Vec<&BackEnd>> =
                replicas.iter().map(|id| service.back_end(id)).collect();
            let Some(servers) = servers else {
                // An unknown replica is a finding of its own.
                continue;
            };
            let borne: u64 = servers
                .iter()
                .map(|server| u64::from(connections_given_out(server)))
                .sum();
            if !servers.is_empty() && borne < u64::from(maximum_nodes) {
                findings.add_resting_on(
                    format!("{path}.layouts[{layout_index}].shards[{shard}]"),
                    format!("replicas that bear {borne} nodes' connections in all"),
                    format!(
                        "at least maximum_nodes = {maximum_nodes}; {:.0}% of each limit is kept free",
                        CONNECTION_RESERVE * 100.0
                    ),
                    rests_on(service, path),
                );
            }
        }
    }
}

fn rests_on(service: &Service, path: &str) -> Vec<String> {
    let limits =
        (0..service.back_ends.len()).map(|index| format!("{path}.back_ends[{index}].connections"));
    limits.chain(["maximum_nodes".to_owned()]).collect()
}
