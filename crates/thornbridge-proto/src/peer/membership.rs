//! SWIM: probes, indirect probes, and member updates riding on them.
//!
//! Source: A. Das, I. Gupta, A. Motivala, "SWIM: Scalable Weakly-consistent
//! Infection-style Process Group Membership Protocol", DSN 2002; adaptive
//! suspicion after "Lifeguard", 2017 (arXiv:1707.00788).

use super::PeerEndpoint;
use crate::{Incarnation, NodeId, NodeName, RegionName, ZoneName};
use serde::de::Error as _;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::net::SocketAddr;

/// Buckets that a member table is divided into for anti-entropy.
pub const MEMBER_BUCKETS: usize = 32;

/// State of a member.
///
/// Written by name for operators, and as a number in frames.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MemberState {
    /// Answers probes.
    Alive,
    /// Did not answer; may refute.
    Suspect,
    /// Announced a planned stop: takes no new work.
    Leaving,
    /// Did not refute a suspicion. A run that was declared dead by mistake, or behind a network
    /// split, comes back under a higher incarnation; a new run has a new node id.
    Dead,
}

impl MemberState {
    /// Every state, in the order of their numbers in frames.
    pub const ALL: [Self; 4] = [Self::Alive, Self::Suspect, Self::Leaving, Self::Dead];

    /// The state's name.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Alive => "alive",
            Self::Suspect => "suspect",
            Self::Leaving => "leaving",
            Self::Dead => "dead",
        }
    }
}

impl Serialize for MemberState {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        if serializer.is_human_readable() {
            serializer.serialize_str(self.as_str())
        } else {
            serializer.serialize_u8(*self as u8)
        }
    }
}

impl<'de> Deserialize<'de> for MemberState {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let found = if deserializer.is_human_readable() {
            let name = String::deserialize(deserializer)?;
            Self::ALL.into_iter().find(|state| state.as_str() == name)
        } else {
            let number = u8::deserialize(deserializer)?;
            Self::ALL.get(usize::from(number)).copied()
        };
        found.ok_or_else(|| D::Error::custom("not a member state"))
    }
}

/// What is known of a member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Run and address.
    pub endpoint: PeerEndpoint,
    /// Where operators reach it, so that they find all nodes through one.
    pub operator_address: SocketAddr,
    /// Operator's name for it.
    pub name: NodeName,
    /// Zone.
    pub zone: ZoneName,
    /// Region.
    pub region: RegionName,
    /// Raised by the member to refute.
    pub incarnation: Incarnation,
    /// State at that incarnation.
    pub state: MemberState,
}

/// Where a member runs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Locality {
    /// Zone.
    pub zone: ZoneName,
    /// Region.
    pub region: RegionName,
}

/// A member of a [`MemberBatch`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PackedMember {
    /// Run.
    pub node: NodeId,
    /// Peer address.
    pub address: SocketAddr,
    /// Address for operators.
    pub operator_address: SocketAddr,
    /// Operator's name for it.
    pub name: NodeName,
    /// Index into the batch's localities.
    pub locality: u16,
    /// Incarnation.
    pub incarnation: Incarnation,
    /// State at that incarnation.
    pub state: MemberState,
}

/// Many members, with zones and regions written once.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberBatch {
    /// Zones and regions of the members.
    pub localities: Vec<Locality>,
    /// Members.
    pub members: Vec<PackedMember>,
}

impl MemberBatch {
    /// Packs records. Members beyond 65,536 different localities are left out.
    pub fn pack<'a>(records: impl IntoIterator<Item = &'a MemberRecord>) -> Self {
        let mut batch = Self::default();
        for record in records {
            let Ok(locality) = u16::try_from(batch.locality_of(record)) else {
                continue;
            };
            batch.members.push(PackedMember {
                node: record.endpoint.node,
                address: record.endpoint.address,
                operator_address: record.operator_address,
                name: record.name.clone(),
                locality,
                incarnation: record.incarnation,
                state: record.state,
            });
        }
        batch
    }

    /// The records. A member whose locality is not in the batch is left out.
    pub fn unpack(self) -> Vec<MemberRecord> {
        let Self {
            localities,
            members,
        } = self;
        members
            .into_iter()
            .filter_map(|member| {
                let locality = localities.get(usize::from(member.locality))?;
                Some(MemberRecord {
                    endpoint: PeerEndpoint {
                        node: member.node,
                        address: member.address,
                    },
                    operator_address: member.operator_address,
                    name: member.name,
                    zone: locality.zone.clone(),
                    region: locality.region.clone(),
                    incarnation: member.incarnation,
                    state: member.state,
                })
            })
            .collect()
    }

    fn locality_of(&mut self, record: &MemberRecord) -> usize {
        let known = self
            .localities
            .iter()
            .position(|locality| locality.zone == record.zone && locality.region == record.region);
        known.unwrap_or_else(|| {
            self.localities.push(Locality {
                zone: record.zone.clone(),
                region: record.region.clone(),
            });
            self.localities.len() - 1
        })
    }
}

/// How a member stands, as short as tables are compared by.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberKey {
    /// Run.
    pub node: NodeId,
    /// Incarnation.
    pub incarnation: Incarnation,
    /// State at that incarnation.
    pub state: MemberState,
}

/// News of one member, as small as it can be told.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberUpdate {
    /// A member that the receiver may not know.
    #[serde(rename = "r")]
    Record(MemberRecord),
    /// A new state of a member that the receiver knows from its record.
    #[serde(rename = "s")]
    State {
        /// The member.
        node: NodeId,
        /// Incarnation that the state belongs to.
        incarnation: Incarnation,
        /// State.
        state: MemberState,
    },
    /// One member suspects another; several that do so confirm each other.
    #[serde(rename = "u")]
    Suspicion {
        /// The member suspected.
        node: NodeId,
        /// Incarnation that is suspected.
        incarnation: Incarnation,
        /// Who suspects it.
        suspected_by: NodeId,
    },
}

impl MemberUpdate {
    /// The member that the news is about.
    pub fn node(&self) -> NodeId {
        match self {
            Self::Record(record) => record.endpoint.node,
            Self::State { node, .. } | Self::Suspicion { node, .. } => *node,
        }
    }
}

/// A message of the membership protocol. Names are short in frames, since most frames are.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MembershipMessage {
    /// Are you there?
    #[serde(rename = "p")]
    Ping {
        /// Echoed in the acknowledgement.
        sequence: u64,
        /// Member updates riding along.
        updates: Vec<MemberUpdate>,
    },
    /// I am.
    #[serde(rename = "a")]
    Acknowledge {
        /// Of the ping.
        sequence: u64,
        /// Member updates riding along.
        updates: Vec<MemberUpdate>,
    },
    /// Please ping the target for me.
    #[serde(rename = "q")]
    PingRequest {
        /// Echoed in the answer.
        sequence: u64,
        /// Who to ping.
        target: PeerEndpoint,
    },
    /// What came of a [`MembershipMessage::PingRequest`]. A failure is told too: it shows the
    /// asking node that its own links work.
    #[serde(rename = "i")]
    IndirectResult {
        /// Of the request.
        sequence: u64,
        /// Whether the target answered.
        reached: bool,
    },
    /// Member updates that do not wait for the next ping.
    #[serde(rename = "g")]
    Gossip {
        /// Updates.
        updates: Vec<MemberUpdate>,
    },
    /// A new node asks for the member list, introducing itself.
    #[serde(rename = "j")]
    Join {
        /// The sender.
        member: MemberRecord,
    },
    /// All members known that are not dead, in answer to a join, in one or more parts.
    #[serde(rename = "l")]
    MemberList {
        /// Members, the sender among them.
        batch: MemberBatch,
    },
    /// Anti-entropy: a digest of the sender's whole member table. Not answered where the
    /// receiver's is the same.
    #[serde(rename = "d")]
    Digest {
        /// Digest.
        digest: u64,
    },
    /// The receiver's digest is another than the sender's; these are the sender's, by bucket.
    #[serde(rename = "b")]
    BucketDigests {
        /// One for each of [`MEMBER_BUCKETS`].
        digests: Vec<u64>,
    },
    /// Which members the sender has in buckets that differ.
    #[serde(rename = "k")]
    Buckets {
        /// Which buckets.
        buckets: Vec<u8>,
        /// Its members in them that are not dead.
        keys: Vec<MemberKey>,
    },
    /// Members of the receiver's buckets that the sender does not know.
    #[serde(rename = "w")]
    Wanted {
        /// The members.
        nodes: Vec<NodeId>,
    },
    /// Members that the receiver wanted, or of which the sender knows something newer than the
    /// receiver's buckets said.
    #[serde(rename = "n")]
    Newer {
        /// The members, dead ones too.
        batch: MemberBatch,
    },
    /// The receiver is not known to the sender, which asks for its record.
    #[serde(rename = "r")]
    IntroductionRequest,
    /// The sender's own record.
    #[serde(rename = "t")]
    Introduction {
        /// The sender.
        member: MemberRecord,
    },
}
