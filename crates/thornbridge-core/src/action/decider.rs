//! Deciding on the next claim group: by the nodes that read the platform, through
//! compare-and-swap on one object, so that each epoch has one group.

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
/// Members from which on a group bears the loss of one.
const SMALLEST_SAFE_GROUP: usize = 3;

/// What was asked of the platform.
#[derive(Debug)]
enum Question {
    Read,
    Write(ClaimGroup),
}

/// The part of a platform reader in deciding on groups.
#[derive(Debug)]
pub(super) struct GroupDecider {
    reading: bool,
    next_check: Option<Timestamp>,
    /// Since when a change of the group is wanted.
    wanted_since: Option<Timestamp>,
    /// Members that said that they decide in the epoch.
    deciding: BTreeSet<NodeId>,
    deciding_epoch: GroupEpoch,
    queued: Option<(Question, PlatformRequest)>,
    asked: Option<(OperationId, Question)>,
    /// Whether the store failed last time: then it is asked less often.
    store_failed: bool,
    /// Groups written.
    pub(super) groups_decided: u64,
}

impl GroupDecider {
    pub(super) fn new() -> Self {
        Self {
            reading: false,
            next_check: None,
            wanted_since: None,
            deciding: BTreeSet::new(),
            deciding_epoch: GroupEpoch(0),
            queued: None,
            asked: None,
            store_failed: false,
            groups_decided: 0,
        }
    }

    /// Whether this node reads the platform now.
    pub(super) fn set_reading(&mut self, now: Timestamp, reading: bool) {
        if reading == self.reading {
            return;
        }
        self.reading = reading;
        self.next_check = reading.then_some(now);
        self.wanted_since = None;
        self.queued = None;
    }

    /// A member says that it decides.
    pub(super) fn member_decides(&mut self, member: NodeId, epoch: GroupEpoch) {
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

    /// Looks whether the group should change. Gives the members that are to be told of it.
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
        let wanted =
            latest.is_none_or(|latest| needs_change(view, latest, parameters.group_members));
        let untold = latest.map_or(Vec::new(), |latest| self.not_deciding(latest));
        let settled = !wanted && untold.is_empty() || self.store_failed;
        self.next_check = Some(match settled {
            true => now + parameters.group_check_interval,
            false => now + parameters.group_change_interval,
        });
        if !wanted {
            self.wanted_since = None;
        } else {
            let since = *self.wanted_since.get_or_insert(now);
            let urgent =
                latest.is_none_or(|latest| someone_leaves(view, latest) || is_frail(view, latest));
            if urgent || now.since(since) >= parameters.replacement_delay {
                self.read();
            }
        }
        untold
    }

    fn not_deciding(&self, latest: &ClaimGroup) -> Vec<PeerEndpoint> {
        let decides = |member: &PeerEndpoint| {
            self.deciding_epoch == latest.epoch && self.deciding.contains(&member.node)
        };
        let members = latest.members.iter().copied();
        members.filter(|member| !decides(member)).collect()
    }

    fn read(&mut self) {
        if self.queued.is_some() || self.asked.is_some() {
            return;
        }
        let request = PlatformRequest::Get {
            kind: ObjectKind::ClaimGroup,
            name: GROUP_NAME.to_owned(),
        };
        self.queued = Some((Question::Read, request));
    }

    /// The next request to the platform, which gets this identity.
    pub(super) fn poll_request(&mut self, operation: OperationId) -> Option<PlatformRequest> {
        let (question, request) = self.queued.take()?;
        self.asked = Some((operation, question));
        Some(request)
    }

    /// Whether [`Self::poll_request`] has one.
    pub(super) fn has_request(&self) -> bool {
        self.queued.is_some()
    }

    /// Takes the platform's answer, if it is to this part's question. Gives the group that is
    /// decided, as far as the answer shows.
    pub(super) fn platform_reply(
        &mut self,
        now: Timestamp,
        operation: OperationId,
        result: &Result<PlatformResponse, PlatformFailure>,
        parameters: &ActionParameters,
        view: &MemberView,
        latest: Option<&ClaimGroup>,
    ) -> Option<ClaimGroup> {
        if self.asked.as_ref()?.0 != operation {
            return None;
        }
        let (_, question) = self.asked.take()?;
        self.store_failed = !matches!(result, Ok(_) | Err(PlatformFailure::Conflict { .. }));
        match (question, result) {
            (Question::Read, Ok(PlatformResponse::Object(object))) => {
                self.read_answered(now, object.as_ref(), parameters, view, latest)
            }
            (Question::Write(group), Ok(PlatformResponse::Written { .. })) => {
                self.groups_decided += 1;
                self.wanted_since = None;
                Some(group)
            }
            (_, Err(PlatformFailure::Conflict { current })) => {
                let (group, _) = decode(current.as_ref()?)?;
                Some(group)
            }
            // Whether a write took effect is seen at the next check, by reading.
            _ => None,
        }
    }

    fn read_answered(
        &mut self,
        now: Timestamp,
        object: Option<&StoredObject>,
        parameters: &ActionParameters,
        view: &MemberView,
        latest: Option<&ClaimGroup>,
    ) -> Option<ClaimGroup> {
        if !self.reading {
            return None;
        }
        let Some(object) = object else {
            match latest {
                Some(latest) if self.is_lost(now, latest, parameters, view) => {
                    self.write_first(latest.epoch.0 + 1, parameters, view);
                }
                Some(latest) => self.follow(latest, Precondition::Absent, parameters, view),
                None => self.write_first(FIRST_EPOCH, parameters, view),
            }
            return None;
        };
        let (group, version) = decode(object)?;
        self.follow(&group, Precondition::Version(version), parameters, view);
        Some(group)
    }

    /// Whether most of a group has been gone for long. Only then, and only where an operator
    /// deleted the object, its claims are given up.
    fn is_lost(
        &self,
        now: Timestamp,
        group: &ClaimGroup,
        parameters: &ActionParameters,
        view: &MemberView,
    ) -> bool {
        let since = self.wanted_since.unwrap_or(now);
        !self.decides(view, group) && now.since(since) >= parameters.lost_group_patience
    }

    /// Whether a majority of a group said that it decides, and is still there to hand over.
    fn decides(&self, view: &MemberView, group: &ClaimGroup) -> bool {
        let decides = |member: &&PeerEndpoint| {
            self.deciding.contains(&member.node) && view.member(member.node).is_some()
        };
        let deciding = group.members.iter().filter(decides).count();
        self.deciding_epoch == group.epoch && deciding >= majority(group.members.len())
    }

    /// Proposes a group that takes nothing over.
    fn write_first(&mut self, epoch: u64, parameters: &ActionParameters, view: &MemberView) {
        let group = ClaimGroup {
            epoch: GroupEpoch(epoch),
            members: choose_members(view, &[], parameters.group_members),
            previous: Vec::new(),
        };
        if !group.members.is_empty() {
            self.write(group, Precondition::Absent);
        }
    }

    /// Proposes the group after this one, where it is wanted and can take over.
    fn follow(
        &mut self,
        group: &ClaimGroup,
        precondition: Precondition,
        parameters: &ActionParameters,
        view: &MemberView,
    ) {
        // A group that does not decide yet has nothing to hand over: its followers would wait
        // for it in vain.
        if !self.decides(view, group) || !needs_change(view, group, parameters.group_members) {
            return;
        }
        let next = ClaimGroup {
            epoch: GroupEpoch(group.epoch.0 + 1),
            members: choose_members(view, &group.members, parameters.group_members),
            previous: group.members.clone(),
        };
        if !next.members.is_empty() {
            self.write(next, precondition);
        }
    }

    fn write(&mut self, group: ClaimGroup, precondition: Precondition) {
        let Ok(body) = serde_json::to_string(&group) else {
            return;
        };
        let request = PlatformRequest::Put {
            kind: ObjectKind::ClaimGroup,
            name: GROUP_NAME.to_owned(),
            body,
            precondition,
        };
        self.queued = Some((Question::Write(group), request));
    }
}

fn decode(object: &StoredObject) -> Option<(ClaimGroup, ResourceVersion)> {
    let group = serde_json::from_str(&object.body).ok()?;
    Some((group, object.resource_version))
}

/// Whether the loss of one member would be the loss of the group, and other nodes could join.
fn is_frail(view: &MemberView, group: &ClaimGroup) -> bool {
    group.members.len() < SMALLEST_SAFE_GROUP
        && view.accepting_work().count() >= SMALLEST_SAFE_GROUP
}

/// Whether a member announced that it leaves: it waits to be replaced.
fn someone_leaves(view: &MemberView, group: &ClaimGroup) -> bool {
    view.members().iter().any(|member| {
        member.state == thornbridge_proto::peer::membership::MemberState::Leaving
            && is_member(&group.members, member.endpoint.node)
    })
}
