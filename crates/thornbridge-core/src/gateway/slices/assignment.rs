//! Assignment of shard groups to members: rendezvous hashing with bounded loads.
//!
//! Every node computes the same assignment from the same member list. Members are visited in hash
//! order; each joins the group that it ranks highest among those with the fewest owners. Groups
//! therefore have equally many owners, and a membership change moves few others. Nodes with
//! different member lists disagree on some owners, so a member serves any slice that is delegated
//! to it.

use std::net::SocketAddr;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Owners of each group, as indices into `members`.
pub(in crate::gateway) fn assign_owners(members: &[SocketAddr], groups: &[u64]) -> Vec<Vec<usize>> {
    let mut owners = vec![Vec::new(); groups.len()];
    if groups.is_empty() {
        return owners;
    }
    let mut order: Vec<(u64, usize)> = members
        .iter()
        .enumerate()
        .map(|(position, address)| (rank(*address, 0), position))
        .collect();
    order.sort_unstable();
    for (index, (_, position)) in order.into_iter().enumerate() {
        // Each round adds one owner to every group.
        let capacity = index / groups.len() + 1;
        let open = (0..groups.len()).filter(|group| owners[*group].len() < capacity);
        let best = open.max_by_key(|group| rank(members[position], groups[*group]));
        if let Some(group) = best {
            owners[group].push(position);
        }
    }
    owners
}

/// Rank of a member for a hash.
pub(in crate::gateway) fn rank(member: SocketAddr, hash: u64) -> u64 {
    xxh3_64_with_seed(member.to_string().as_bytes(), hash)
}
