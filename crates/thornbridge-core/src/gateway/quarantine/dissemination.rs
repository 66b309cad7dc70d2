//! Dissemination of crash records among members.
//!
//! A suspicion is sent to two members selected by the fingerprint of the request, which aggregate
//! the crashes seen by different nodes. A quarantine and its end are sent to all members, and
//! periodically to a random member to repair lost messages. New members receive the records from
//! the first members in member order.

use super::record::{Audience, Record, Stage};
use super::{Quarantine, state_change, to_wire};
use crate::gateway::action::GatewayAction;
use crate::gateway::slices::rank;
use crate::gateway::telemetry::ViewOrigin;
use crate::time::Timestamp;
use rand::seq::IndexedRandom;
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use thornbridge_proto::fingerprint::Fingerprint;
use thornbridge_proto::peer::quarantine::{CrashRecord, QuarantineMessage};
use thornbridge_proto::peer::{PeerEndpoint, PeerMessage};

/// Members that aggregate the crashes of one request; more than one for redundancy.
const AGGREGATORS_PER_REQUEST: usize = 2;
/// Members that send their records to a new member.
const BOOTSTRAP_SENDERS: usize = 3;
/// Maximum number of records per message.
const RECORDS_PER_MESSAGE: usize = 64;

/// Members and the schedule of repair messages.
#[derive(Debug, Default)]
pub(super) struct Dissemination {
    own_address: Option<SocketAddr>,
    /// All members, including this node.
    members: BTreeSet<PeerEndpoint>,
    next_repair: Timestamp,
}

impl Dissemination {
    /// Members that aggregate the crashes of a request; may include this node.
    fn aggregators(&self, fingerprint: Fingerprint) -> Vec<SocketAddr> {
        // Truncation keeps the lower half, which is as uniform as the whole hash.
        let hash = fingerprint.0 as u64;
        let members = self.members.iter().map(|member| member.address);
        let mut aggregators: Vec<SocketAddr> = members.collect();
        aggregators.sort_by_key(|address| Reverse(rank(*address, hash)));
        aggregators.truncate(AGGREGATORS_PER_REQUEST);
        aggregators
    }

    fn peers(&self) -> Vec<SocketAddr> {
        let members = self.members.iter().map(|member| member.address);
        members
            .filter(|address| Some(*address) != self.own_address)
            .collect()
    }

    /// Whether this node sends its records to new members.
    fn bootstraps_new_members(&self) -> bool {
        let mut senders = self.members.iter().take(BOOTSTRAP_SENDERS);
        senders.any(|member| Some(member.address) == self.own_address)
    }
}

impl Quarantine {
    /// Replaces the member list and sends cluster-wide records to new members.
    pub(in crate::gateway) fn set_members(
        &mut self,
        now: Timestamp,
        actions: &mut VecDeque<GatewayAction>,
        own: SocketAddr,
        members: BTreeSet<PeerEndpoint>,
    ) {
        let previous = std::mem::replace(&mut self.dissemination.members, members);
        self.dissemination.own_address = Some(own);
        if self.records.is_empty() || !self.dissemination.bootstraps_new_members() {
            return;
        }
        let records = self.cluster_wide_records(now);
        let new_members = self.dissemination.members.difference(&previous);
        for member in new_members.filter(|member| member.address != own) {
            send(actions, member.address, &records);
        }
    }

    /// Sends the record of a request to one peer, if there is one.
    pub(in crate::gateway) fn notify_peer(
        &self,
        now: Timestamp,
        actions: &mut VecDeque<GatewayAction>,
        to: SocketAddr,
        fingerprint: Fingerprint,
    ) {
        if let Some(record) = self.records.get(&fingerprint) {
            send(actions, to, &[to_wire(now, fingerprint, record)]);
        }
    }

    /// Time at which [`Self::timer_due`] must be called.
    pub(in crate::gateway) fn next_timeout(&self) -> Option<Timestamp> {
        if self.records.is_empty() {
            return None;
        }
        let next_announcement = self.announcements.first().map(|(time, _)| *time);
        let next_periodic = self.dissemination.next_repair.min(self.next_expiry);
        Some(next_announcement.map_or(next_periodic, |time| time.min(next_periodic)))
    }

    /// Sends due announcements and repair messages, and expires old records.
    pub(in crate::gateway) fn timer_due(
        &mut self,
        now: Timestamp,
        random: &mut Pcg64Mcg,
        actions: &mut VecDeque<GatewayAction>,
    ) {
        if self.records.is_empty() {
            self.announcements.clear();
            return;
        }
        self.send_announcements(now, actions);
        if self.dissemination.next_repair <= now {
            self.dissemination.next_repair = now + self.parameters.repair_interval;
            let records = self.cluster_wide_records(now);
            if let Some(peer) = self.dissemination.peers().choose(random) {
                send(actions, *peer, &records);
            }
        }
        if self.next_expiry <= now {
            self.next_expiry = now + self.parameters.repair_interval;
            self.expire(now);
        }
    }

    fn send_announcements(&mut self, now: Timestamp, actions: &mut VecDeque<GatewayAction>) {
        let mut records_by_peer: BTreeMap<SocketAddr, Vec<CrashRecord>> = BTreeMap::new();
        while let Some((time, fingerprint)) = self.announcements.first().copied() {
            if time > now {
                break;
            }
            self.announcements.remove(&(time, fingerprint));
            let Some(record) = self.records.get_mut(&fingerprint) else {
                continue;
            };
            record.announce_at = None;
            let audience = record.audience();
            if audience == Audience::None {
                continue;
            }
            let recipients = match audience {
                Audience::All => self.dissemination.peers(),
                Audience::Aggregators | Audience::None => {
                    self.dissemination.aggregators(fingerprint)
                }
            };
            if record.announced_to < audience || record.stage == Stage::Cleared {
                actions.push_back(state_change(fingerprint, record, ViewOrigin::Own));
            }
            record.announced_to = audience;
            for peer in recipients
                .into_iter()
                .filter(|to| Some(*to) != self.dissemination.own_address)
            {
                let records = records_by_peer.entry(peer).or_default();
                records.push(to_wire(now, fingerprint, record));
            }
        }
        for (peer, records) in records_by_peer {
            send(actions, peer, &records);
        }
    }

    /// Records that concern all members, newest first, limited to one message.
    fn cluster_wide_records(&self, now: Timestamp) -> Vec<CrashRecord> {
        let concerns_all = |record: &Record| record.audience() == Audience::All;
        let records = self.records.iter();
        let mut records: Vec<_> = records.filter(|(_, record)| concerns_all(record)).collect();
        records.sort_by_key(|(_, record)| Reverse(record.changed_at));
        let records = records.into_iter().take(RECORDS_PER_MESSAGE);
        records
            .map(|(fingerprint, record)| to_wire(now, *fingerprint, record))
            .collect()
    }
}

fn send(actions: &mut VecDeque<GatewayAction>, to: SocketAddr, records: &[CrashRecord]) {
    for records in records.chunks(RECORDS_PER_MESSAGE) {
        let records = records.to_vec();
        let message = PeerMessage::Quarantine(QuarantineMessage { records });
        actions.push_back(GatewayAction::SendPeer { to, message });
    }
}
