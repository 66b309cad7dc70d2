//! Who is told of requests under which servers crashed.
//!
//! A suspicion goes to two members that the request's fingerprint names, so that crashes that several
//! nodes saw are added up; a quarantine, and the end of one, to all members, and again to one drawn at
//! random each second. A member that is new is told by the first three in the order of members.

use super::record::{Audience, Record, Stage};
use super::{Quarantine, change, wire};
use crate::gateway::action::GatewayAction;
use crate::gateway::notes::ViewOrigin;
use crate::gateway::slices::rank;
use crate::time::Timestamp;
use rand::seq::IndexedRandom;
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use thornbridge_proto::fingerprint::Fingerprint;
use thornbridge_proto::peer::quarantine::{CrashRecord, QuarantineMessage};
use thornbridge_proto::peer::{PeerEndpoint, PeerMessage};

/// Members that add up the crashes of a request: one may be gone.
const HOMES: usize = 2;
/// Members that tell a new one what they know.
const WELCOMING: usize = 3;
/// Records in one message: some 5 KB.
const RECORDS_A_MESSAGE: usize = 64;

/// The members, and when one of them is told again.
#[derive(Debug, Default)]
pub(super) struct Spreading {
    own: Option<SocketAddr>,
    /// All members, this one included.
    members: BTreeSet<PeerEndpoint>,
    next_repair: Timestamp,
}

impl Spreading {
    /// The members that add up the crashes of a request, this one included.
    fn homes(&self, fingerprint: Fingerprint) -> Vec<SocketAddr> {
        // Its lower half is as evenly spread as the whole.
        let hash = fingerprint.0 as u64;
        let members = self.members.iter().map(|member| member.address);
        let mut homes: Vec<SocketAddr> = members.collect();
        homes.sort_by_key(|address| Reverse(rank(*address, hash)));
        homes.truncate(HOMES);
        homes
    }

    fn peers(&self) -> Vec<SocketAddr> {
        let members = self.members.iter().map(|member| member.address);
        members
            .filter(|address| Some(*address) != self.own)
            .collect()
    }

    /// Whether this node is one of those that tell new members.
    fn is_welcoming(&self) -> bool {
        let mut first = self.members.iter().take(WELCOMING);
        first.any(|member| Some(member.address) == self.own)
    }
}

impl Quarantine {
    /// The members are these now.
    pub(in crate::gateway) fn set_members(
        &mut self,
        now: Timestamp,
        actions: &mut VecDeque<GatewayAction>,
        own: SocketAddr,
        members: BTreeSet<PeerEndpoint>,
    ) {
        let known = std::mem::replace(&mut self.spreading.members, members);
        self.spreading.own = Some(own);
        if self.records.is_empty() || !self.spreading.is_welcoming() {
            return;
        }
        let records = self.known_to_all(now);
        let new = self.spreading.members.difference(&known);
        for member in new.filter(|member| member.address != own) {
            send(actions, member.address, &records);
        }
    }

    /// Tells one peer what is known of a request, if anything is.
    pub(in crate::gateway) fn tell_peer(
        &self,
        now: Timestamp,
        actions: &mut VecDeque<GatewayAction>,
        to: SocketAddr,
        fingerprint: Fingerprint,
    ) {
        if let Some(record) = self.records.get(&fingerprint) {
            send(actions, to, &[wire(now, fingerprint, record)]);
        }
    }

    /// When [`Self::timer_due`] wants to be called.
    pub(in crate::gateway) fn next_timeout(&self) -> Option<Timestamp> {
        if self.records.is_empty() {
            return None;
        }
        let tell = self.to_tell.first().map(|(time, _)| *time);
        let regular = self.spreading.next_repair.min(self.next_sweep);
        Some(tell.map_or(regular, |tell| tell.min(regular)))
    }

    /// Tells others what is due.
    pub(in crate::gateway) fn timer_due(
        &mut self,
        now: Timestamp,
        random: &mut Pcg64Mcg,
        actions: &mut VecDeque<GatewayAction>,
    ) {
        if self.records.is_empty() {
            self.to_tell.clear();
            return;
        }
        self.tell(now, actions);
        if self.spreading.next_repair <= now {
            self.spreading.next_repair = now + self.parameters.repair_interval;
            let records = self.known_to_all(now);
            if let Some(peer) = self.spreading.peers().choose(random) {
                send(actions, *peer, &records);
            }
        }
        if self.next_sweep <= now {
            self.next_sweep = now + self.parameters.repair_interval;
            self.sweep(now);
        }
    }

    fn tell(&mut self, now: Timestamp, actions: &mut VecDeque<GatewayAction>) {
        let mut for_peers: BTreeMap<SocketAddr, Vec<CrashRecord>> = BTreeMap::new();
        while let Some((time, fingerprint)) = self.to_tell.first().copied() {
            if time > now {
                break;
            }
            self.to_tell.remove(&(time, fingerprint));
            let Some(record) = self.records.get_mut(&fingerprint) else {
                continue;
            };
            record.tell_at = None;
            let audience = record.audience();
            if audience == Audience::Nobody {
                continue;
            }
            let to = match audience {
                Audience::All => self.spreading.peers(),
                Audience::Homes | Audience::Nobody => self.spreading.homes(fingerprint),
            };
            if record.told < audience || record.stage == Stage::Cleared {
                actions.push_back(change(fingerprint, record, ViewOrigin::Own));
            }
            record.told = audience;
            for peer in to.into_iter().filter(|to| Some(*to) != self.spreading.own) {
                let records = for_peers.entry(peer).or_default();
                records.push(wire(now, fingerprint, record));
            }
        }
        for (peer, records) in for_peers {
            send(actions, peer, &records);
        }
    }

    /// What all members are told, the newest first.
    fn known_to_all(&self, now: Timestamp) -> Vec<CrashRecord> {
        let concerns_all = |record: &Record| record.audience() == Audience::All;
        let records = self.records.iter();
        let mut records: Vec<_> = records.filter(|(_, record)| concerns_all(record)).collect();
        records.sort_by_key(|(_, record)| Reverse(record.changed));
        let records = records.into_iter().take(RECORDS_A_MESSAGE);
        records
            .map(|(fingerprint, record)| wire(now, *fingerprint, record))
            .collect()
    }
}

fn send(actions: &mut VecDeque<GatewayAction>, to: SocketAddr, records: &[CrashRecord]) {
    for records in records.chunks(RECORDS_A_MESSAGE) {
        let records = records.to_vec();
        let message = PeerMessage::Quarantine(QuarantineMessage { records });
        actions.push_back(GatewayAction::SendPeer { to, message });
    }
}
