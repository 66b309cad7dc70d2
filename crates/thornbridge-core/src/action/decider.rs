//! Selection of the next claim group by the platform readers. Each epoch has one group, since
//! groups are written by compare-and-swap on one stored object.

use super::group::{GROUP_NAME, choose_members, is_member, majority, needs_change};
use super::parameters::ActionParameters;
use crate::driver_action::OperationId;
use crate::membership::MemberView;
use crate::time::Timestamp;
use std::collections::BTreeSet;
use thornbridge_proto::NodeId;
use thornbridge_proto::peer::PeerEndpoint;
use thornbridge_proto::peer::action::{ClaimGroup, GroupEpoch};
use thornbridge_proto::platform::{
    ObjectKind, PlatformFailure, PlatformRequest, PlatformResponse, Precondition, ResourceVersion,
    StoredObject,
};

/// Epoch of the first group of a deployment.
const FIRST_EPOCH: u64 = 1;
/// Smallest group that tolerates the loss of one member.
const MIN_REDUNDANT_MEMBERS: usize = 3;

/// A request to the platform.
#[derive(Debug)]
enum StoreRequest {
    Read,
    Write(ClaimGroup),
}

/// State of a node in selecting claim groups; active while the node reads the platform.
#[derive(Debug)]
pub(super) struct GroupDecider {
    is_reader: bool,
    next_check: Option<Timestamp>,
    /// When a change of the group was first found necessary.
    change_needed_since: Option<Timestamp>,
    /// Members that reported that they grant claims in `deciding_epoch`.
    deciding: BTreeSet<NodeId>,
    deciding_epoch: GroupEpoch,
    queued: Option<(StoreRequest, PlatformRequest)>,
    in_flight: Option<(OperationId, StoreRequest)>,
    /// Whether the last request to the store failed. Checks then use the longer interval.
    store_failed: bool,
    pub(super) groups_decided: u64,
}

impl GroupDecider {
    pub(super) fn new() -> Self {
        Self {
            is_reader: false,
            next_check: None,
            change_needed_since: None,
            deciding: BTreeSet::new(),
            deciding_epoch: GroupEpoch(0),
            queued: None,
            in_flight: None,
            store_failed: false,
            groups_decided: 0,
        }
    }

    pub(super) fn set_platform_reader(&mut self, now: Timestamp, is_reader: bool) {
        if is_reader == self.is_reader {
            return;
        }
        self.is_reader = is_reader;
        self.next_check = is_reader.then_some(now);
        self.change_needed_since = None;
        self.queued = None;
    }

    /// Records that a member grants claims in an epoch.
    pub(super) fn record_deciding(&mut self, member: NodeId, epoch: GroupEpoch) {
        if epoch > self.deciding_epoch {
            self.deciding_epoch = epoch;
            self.deciding.clear();
        }
        if epoch == self.deciding_epoch {
            self.deciding.insert(member);
        }
    }

    pub(super) fn next_timeout(&self) -> Option<Timestamp> {
        self.next_check
    }

    /// Checks whether the group has to change, and queues a read of the stored group if so. Returns
    /// the members that have not reported that they grant claims.
    pub(super) fn check(
        &mut self,
        now: Timestamp,
        parameters: &ActionParameters,
        view: &MemberView,
        latest: Option<&ClaimGroup>,
    ) -> Vec<PeerEndpoint> {
        if self.next_check.is_none_or(|due| due > now) {
            return Vec::new();
        }
        let needed =
            latest.is_none_or(|latest| needs_change(view, latest, parameters.group_members));
        let not_deciding_members =
            latest.map_or(Vec::new(), |latest| self.members_not_deciding(latest));
        let is_settled = !needed && not_deciding_members.is_empty() || self.store_failed;
        self.next_check = Some(match is_settled {
            true => now + parameters.group_check_interval,
            false => now + parameters.group_change_interval,
        });
        if !needed {
            self.change_needed_since = None;
        } else {
            let since = *self.change_needed_since.get_or_insert(now);
            let is_urgent = latest.is_none_or(|latest| {
                has_leaving_member(view, latest) || lacks_redundancy(view, latest)
            });
            if is_urgent || now.since(since) >= parameters.replacement_delay {
                self.queue_read();
            }
        }
        not_deciding_members
    }

    fn members_not_deciding(&self, latest: &ClaimGroup) -> Vec<PeerEndpoint> {
        let decides = |member: &PeerEndpoint| {
            self.deciding_epoch == latest.epoch && self.deciding.contains(&member.node)
        };
        let members = latest.members.iter().copied();
        members.filter(|member| !decides(member)).collect()
    }

    fn queue_read(&mut self) {
        if self.queued.is_some() || self.in_flight.is_some() {
            return;
        }
        let request = PlatformRequest::Get {
            kind: ObjectKind::ClaimGroup,
            name: GROUP_NAME.to_owned(),
        };
        self.queued = Some((StoreRequest::Read, request));
    }

    /// Next request to the platform, sent under the given identifier.
    pub(super) fn poll_request(&mut self, operation: OperationId) -> Option<PlatformRequest> {
        let (request_kind, request) = self.queued.take()?;
        self.in_flight = Some((operation, request_kind));
        Some(request)
    }

    pub(super) fn has_request(&self) -> bool {
        self.queued.is_some()
    }

    /// Handles the platform's reply to the request in flight. Returns the group that the reply
    /// shows to be decided, if any.
    pub(super) fn platform_reply(
        &mut self,
        now: Timestamp,
        operation: OperationId,
        result: &Result<PlatformResponse, PlatformFailure>,
        parameters: &ActionParameters,
        view: &MemberView,
        latest: Option<&ClaimGroup>,
    ) -> Option<ClaimGroup> {
        if self.in_flight.as_ref()?.0 != operation {
            return None;
        }
        let (_, request_kind) = self.in_flight.take()?;
        self.store_failed = !matches!(result, Ok(_) | Err(PlatformFailure::Conflict { .. }));
        match (request_kind, result) {
            (StoreRequest::Read, Ok(PlatformResponse::Object(object))) => {
                self.handle_read(now, object.as_ref(), parameters, view, latest)
            }
            (StoreRequest::Write(group), Ok(PlatformResponse::Written { .. })) => {
                self.groups_decided += 1;
                self.change_needed_since = None;
                Some(group)
            }
            (_, Err(PlatformFailure::Conflict { current })) => {
                let (group, _) = decode(current.as_ref()?)?;
                Some(group)
            }
            // After a failed write, the next check reads whether it took effect.
            _ => None,
        }
    }

    fn handle_read(
        &mut self,
        now: Timestamp,
        object: Option<&StoredObject>,
        parameters: &ActionParameters,
        view: &MemberView,
        latest: Option<&ClaimGroup>,
    ) -> Option<ClaimGroup> {
        if !self.is_reader {
            return None;
        }
        let Some(object) = object else {
            match latest {
                Some(latest) if self.is_lost(now, latest, parameters, view) => {
                    self.write_initial(latest.epoch.0 + 1, parameters, view);
                }
                Some(latest) => {
                    self.write_successor(latest, Precondition::Absent, parameters, view)
                }
                None => self.write_initial(FIRST_EPOCH, parameters, view),
            }
            return None;
        };
        let (group, version) = decode(object)?;
        self.write_successor(&group, Precondition::Version(version), parameters, view);
        Some(group)
    }

    /// Whether a group's claims may be abandoned: its majority has been unavailable for long.
    /// Checked only where an operator deleted the object.
    fn is_lost(
        &self,
        now: Timestamp,
        group: &ClaimGroup,
        parameters: &ActionParameters,
        view: &MemberView,
    ) -> bool {
        let since = self.change_needed_since.unwrap_or(now);
        !self.is_deciding(view, group) && now.since(since) >= parameters.lost_group_patience
    }

    /// Whether a majority of the group grants claims and is still in the member list.
    fn is_deciding(&self, view: &MemberView, group: &ClaimGroup) -> bool {
        let decides = |member: &&PeerEndpoint| {
            self.deciding.contains(&member.node) && view.member(member.node).is_some()
        };
        let deciding = group.members.iter().filter(decides).count();
        self.deciding_epoch == group.epoch && deciding >= majority(group.members.len())
    }

    /// Proposes a group without a predecessor.
    fn write_initial(&mut self, epoch: u64, parameters: &ActionParameters, view: &MemberView) {
        let group = ClaimGroup {
            epoch: GroupEpoch(epoch),
            members: choose_members(view, &[], parameters.group_members),
            previous: Vec::new(),
        };
        if !group.members.is_empty() {
            self.queue_write(group, Precondition::Absent);
        }
    }

    /// Proposes the next group, if a change is needed and the current group can hand its claims
    /// over.
    fn write_successor(
        &mut self,
        group: &ClaimGroup,
        precondition: Precondition,
        parameters: &ActionParameters,
        view: &MemberView,
    ) {
        // A group that grants nothing yet cannot hand claims over, and its successor would wait
        // forever.
        if !self.is_deciding(view, group) || !needs_change(view, group, parameters.group_members) {
            return;
        }
        let next = ClaimGroup {
            epoch: GroupEpoch(group.epoch.0 + 1),
            members: choose_members(view, &group.members, parameters.group_members),
            previous: group.members.clone(),
        };
        if !next.members.is_empty() {
            self.queue_write(next, precondition);
        }
    }

    fn queue_write(&mut self, group: ClaimGroup, precondition: Precondition) {
        let Ok(body) = serde_json::to_string(&group) else {
            return;
        };
        let request = PlatformRequest::Put {
            kind: ObjectKind::ClaimGroup,
            name: GROUP_NAME.to_owned(),
            body,
            precondition,
        };
        self.queued = Some((StoreRequest::Write(group), request));
    }
}

fn decode(object: &StoredObject) -> Option<(ClaimGroup, ResourceVersion)> {
    let group = serde_json::from_str(&object.body).ok()?;
    Some((group, object.resource_version))
}

/// Whether the group does not tolerate the loss of one member although enough nodes accept work.
fn lacks_redundancy(view: &MemberView, group: &ClaimGroup) -> bool {
    group.members.len() < MIN_REDUNDANT_MEMBERS
        && view.accepting_work().count() >= MIN_REDUNDANT_MEMBERS
}

/// Whether a member is leaving and waits for its replacement.
fn has_leaving_member(view: &MemberView, group: &ClaimGroup) -> bool {
    view.members().iter().any(|member| {
        member.state == thornbridge_proto::peer::membership::MemberState::Leaving
            && is_member(&group.members, member.endpoint.node)
    })
}
