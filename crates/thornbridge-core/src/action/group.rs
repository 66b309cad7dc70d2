//! Selection of a claim group's members.

use crate::membership::MemberView;
use std::collections::BTreeMap;
use thornbridge_proto::peer::PeerEndpoint;
use thornbridge_proto::peer::action::ClaimGroup;
use thornbridge_proto::{NodeId, ZoneName};

/// Name of the group object in the store.
pub(super) const GROUP_NAME: &str = "current";

/// Votes needed among this many members.
pub(super) fn majority(members: usize) -> usize {
    members / 2 + 1
}

pub(super) fn is_member(members: &[PeerEndpoint], node: NodeId) -> bool {
    members.iter().any(|member| member.node == node)
}

/// Selects the members of a new group. Current members that accept work remain; the other places go
/// to the zones with the fewest members. The number is odd, since one member more tolerates no more
/// failures.
pub(super) fn choose_members(
    view: &MemberView,
    current: &[PeerEndpoint],
    limit: usize,
) -> Vec<PeerEndpoint> {
    let available: Vec<_> = view.accepting_work().collect();
    let limit = limit.min(available.len());
    let size = if limit % 2 == 0 {
        limit.saturating_sub(1)
    } else {
        limit
    };
    let remains = |endpoint: &PeerEndpoint| is_member(current, endpoint.node);
    let mut chosen: Vec<PeerEndpoint> = Vec::new();
    let mut per_zone: BTreeMap<&ZoneName, usize> = BTreeMap::new();
    while chosen.len() < size {
        let best = available
            .iter()
            .filter(|member| !is_member(&chosen, member.endpoint.node))
            .min_by_key(|member| {
                let in_zone = per_zone.get(&member.zone).copied().unwrap_or_default();
                (!remains(&member.endpoint), in_zone, member.endpoint)
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

/// Whether a group needs a successor: a member is gone or leaving, or more members are available.
pub(super) fn needs_change(view: &MemberView, group: &ClaimGroup, limit: usize) -> bool {
    let accepts_work = |member: &PeerEndpoint| {
        view.accepting_work()
            .any(|known| known.endpoint.node == member.node)
    };
    let all_available = group.members.iter().all(accepts_work);
    !all_available || choose_members(view, &group.members, limit).len() > group.members.len()
}
