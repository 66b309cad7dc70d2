//! Which members own which groups of shards: rendezvous hashing with bounded loads.
//!
//! Every node computes the same assignment from the same member list, without a message. In an order
//! that is drawn by hash, each member takes the group that it ranks highest of those that have no
//! more owners than others, so that groups have equally many, and a member that comes or goes moves
//! few others. Nodes whose member lists differ disagree about some owners; a member serves whatever
//! slice it is asked for.

use std::net::SocketAddr;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Gives the owners of each group, as positions in `members`.
pub(in crate::gateway) fn owners_of_groups(
    members: &[SocketAddr],
    groups: &[u64],
) -> Vec<Vec<usize>> {
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
        // Each round gives every group one owner more.
        let room = index / groups.len() + 1;
        let open = (0..groups.len()).filter(|group| owners[*group].len() < room);
        let best = open.max_by_key(|group| rank(members[position], groups[*group]));
        if let Some(group) = best {
            owners[group].push(position);
        }
    }
    owners
}

/// Rank of a member for something that has this hash.
pub(in crate::gateway) fn rank(member: SocketAddr, hash: u64) -> u64 {
    xxh3_64_with_seed(member.to_string().as_bytes(), hash)
}
