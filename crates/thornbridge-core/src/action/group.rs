//! Choice of a claim group's members.

use crate::membership::MemberView;
use std::collections::BTreeMap;
use thornbridge_proto::peer::PeerEndpoint;
use thornbridge_proto::peer::action::ClaimGroup;
use thornbridge_proto::{NodeId, ZoneName};

/// Name of the one group object in the store.
pub(super) const GROUP_NAME: &str = "current";

/// Votes that decide among this many members.
pub(super) fn majority(members: usize) -> usize {
    members / 2 + 1
}

/// Whether a node is a member.
pub(super) fn is_member(members: &[PeerEndpoint], node: NodeId) -> bool {
    members.iter().any(|member| member.node == node)
}

/// Members for a new group: those of the present one that take work stay; places that are left
/// go to the zones that have the fewest. The number is odd: an even one bears no more losses.
pub(super) fn choose_members(
    view: &MemberView,
    present: &[PeerEndpoint],
    most: usize,
) -> Vec<PeerEndpoint> {
    let taking: Vec<_> = view.accepting_work().collect();
    let most = most.min(taking.len());
    let wanted = if most % 2 == 0 {
        most.saturating_sub(1)
    } else {
        most
    };
    let stays = |endpoint: &PeerEndpoint| is_member(present, endpoint.node);
    let mut chosen: Vec<PeerEndpoint> = Vec::new();
    let mut per_zone: BTreeMap<&ZoneName, usize> = BTreeMap::new();
    while chosen.len() < wanted {
        let best = taking
            .iter()
            .filter(|member| !is_member(&chosen, member.endpoint.node))
            .min_by_key(|member| {
                let in_zone = per_zone.get(&member.zone).copied().unwrap_or_default();
                (!stays(&member.endpoint), in_zone, member.endpoint)
            });
        let Some(best) = best else {
            break;
        };
        *per_zone.entry(&best.zone).or_default() += 1;
        chosen.push(best.endpoint);
    }
    chosen.sort_unstable();
    chosen
}

/// Whether a group should be followed by another one: a member is gone or leaving, or the cluster
/// has grown so that more may be lost.
pub(super) fn needs_change(view: &MemberView, group: &ClaimGroup, most: usize) -> bool {
    let takes_work = |member: &PeerEndpoint| {
        view.accepting_work()
            .any(|known| known.endpoint.node == member.node)
    };
    let all_there = group.members.iter().all(takes_work);
    !all_there || choose_members(view, &group.members, most).len() > group.members.len()
}
