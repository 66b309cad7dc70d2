//! Anti-entropy: repairs member tables that gossip left different.
//!
//! Two members compare a digest of their whole table, which is too large to send often. If the
//! digests differ, the members exchange digests of buckets, then incarnations and states of the
//! members in some differing buckets, then the records that either lacks. Digests cover neither
//! suspicions nor dead members, since nodes drop these at different times.

use super::{Membership, send};
use crate::context::Context;
use crate::gossip::differing_buckets;
use rand::seq::IndexedRandom;
use std::collections::{BTreeMap, BTreeSet};
use thornbridge_proto::NodeId;
use thornbridge_proto::peer::PeerEndpoint;
use thornbridge_proto::peer::membership::{
    MEMBER_BUCKETS, MemberBatch, MemberKey, MemberRecord, MemberState, MembershipMessage,
};
use xxhash_rust::xxh3::xxh3_64;

impl Membership {
    /// Starts an exchange with a neighbour, if one is due.
    pub(super) fn sync_due(&mut self, context: &mut Context<'_>) {
        if context.now < self.sync.next() {
            return;
        }
        self.sync.plan(context.now, context.random);
        let Some(neighbour) = self.neighbours.all.choose(context.random).copied() else {
            return;
        };
        if let Some(address) = self.address_of(neighbour) {
            let digest = self.digest();
            send(context, address, MembershipMessage::Digest { digest });
        }
    }

    /// Handles a peer's digest of its whole table.
    pub(super) fn handle_digest(
        &mut self,
        context: &mut Context<'_>,
        from: PeerEndpoint,
        digest: u64,
    ) {
        if digest == self.digest() {
            return;
        }
        self.counters.syncs_differing += 1;
        let digests = self.bucket_digests();
        let answer = MembershipMessage::BucketDigests { digests };
        send(context, from.address, answer);
    }

    /// Handles a peer's bucket digests: sends some of the differing buckets.
    pub(super) fn handle_bucket_digests(
        &mut self,
        context: &mut Context<'_>,
        from: PeerEndpoint,
        digests: &[u64],
    ) {
        self.sync.hasten(context.now, context.random);
        if self.sync_budget.available(context.now) == 0 {
            return;
        }
        let limit = self.parameters.sync_buckets;
        let buckets = differing_buckets(&self.bucket_digests(), digests, limit, context.random);
        let keys = self.in_buckets(&buckets).map(key_of).collect();
        self.send_repair(context, from, MembershipMessage::Buckets { buckets, keys });
    }

    /// Handles a peer's member states in some buckets: applies these, replies with newer records,
    /// and requests the records that are missing here.
    pub(super) fn handle_buckets(
        &mut self,
        context: &mut Context<'_>,
        from: PeerEndpoint,
        buckets: &[u8],
        keys: &[MemberKey],
    ) {
        let theirs: BTreeMap<NodeId, MemberKey> = keys.iter().map(|key| (key.node, *key)).collect();
        let newer = self.newer_than(buckets, &theirs);
        if !newer.is_empty() {
            let batch = MemberBatch::pack(&newer);
            self.send_repair(context, from, MembershipMessage::Newer { batch });
        }
        let own = self.own.endpoint.node;
        let is_known = |node: NodeId| node == own || self.table.get(node).is_some();
        let listed = keys.iter().map(|key| key.node);
        let nodes: Vec<NodeId> = listed.filter(|node| !is_known(*node)).collect();
        if !nodes.is_empty() {
            send(context, from.address, MembershipMessage::Wanted { nodes });
        }
        for key in keys {
            self.apply_state(context, key.node, key.incarnation, key.state);
        }
    }

    /// Handles a request for the records of members unknown to a peer.
    pub(super) fn handle_wanted(
        &mut self,
        context: &mut Context<'_>,
        from: PeerEndpoint,
        nodes: &[NodeId],
    ) {
        let wanted: BTreeSet<NodeId> = nodes.iter().copied().collect();
        let records = self.present_with_own();
        let records = records.filter(|record| wanted.contains(&record.endpoint.node));
        let batch = MemberBatch::pack(records);
        if !batch.members.is_empty() {
            self.send_repair(context, from, MembershipMessage::Newer { batch });
        }
    }

    /// Records that supersede the peer's, and those that the peer lacks.
    fn newer_than(
        &self,
        buckets: &[u8],
        theirs: &BTreeMap<NodeId, MemberKey>,
    ) -> Vec<MemberRecord> {
        let dead_here = self
            .table
            .entries()
            .map(|entry| &entry.record)
            .filter(|record| record.state == MemberState::Dead)
            .filter(|record| theirs.contains_key(&record.endpoint.node));
        self.in_buckets(buckets)
            .chain(dead_here)
            .filter(|record| {
                theirs.get(&record.endpoint.node).is_none_or(|theirs| {
                    (record.incarnation, record.state) > (theirs.incarnation, theirs.state)
                })
            })
            .cloned()
            .collect()
    }

    fn send_repair(
        &mut self,
        context: &mut Context<'_>,
        to: PeerEndpoint,
        message: MembershipMessage,
    ) {
        let bytes = thornbridge_proto::frame::encode(&message).map_or(0, |bytes| bytes.len());
        self.sync_budget.spend(bytes);
        send(context, to.address, message);
    }

    /// This node and the members that are not dead.
    fn present_with_own(&self) -> impl Iterator<Item = &MemberRecord> {
        std::iter::once(&self.own).chain(self.table.present())
    }

    fn in_buckets(&self, buckets: &[u8]) -> impl Iterator<Item = &MemberRecord> {
        self.present_with_own()
            .filter(move |record| buckets.contains(&(bucket_of(record) as u8)))
    }

    pub(super) fn digest(&self) -> u64 {
        self.present_with_own().map(record_digest).fold(0, xor)
    }

    fn bucket_digests(&self) -> Vec<u64> {
        let mut digests = vec![0; MEMBER_BUCKETS];
        for record in self.present_with_own() {
            digests[bucket_of(record)] ^= record_digest(record);
        }
        digests
    }
}

fn key_of(record: &MemberRecord) -> MemberKey {
    MemberKey {
        node: record.endpoint.node,
        incarnation: record.incarnation,
        state: record.state,
    }
}

fn xor(left: u64, right: u64) -> u64 {
    left ^ right
}

fn bucket_of(record: &MemberRecord) -> usize {
    xxh3_64(&record.endpoint.node.0.to_le_bytes()) as usize % MEMBER_BUCKETS
}

fn record_digest(record: &MemberRecord) -> u64 {
    let mut bytes = [0; 13];
    bytes[..8].copy_from_slice(&record.endpoint.node.0.to_le_bytes());
    bytes[8..12].copy_from_slice(&record.incarnation.0.to_le_bytes());
    bytes[12] = u8::from(record.state == MemberState::Leaving);
    xxh3_64(&bytes)
}
