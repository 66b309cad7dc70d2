//! Dissemination of facts: gossip of changes, anti-entropy, and the bootstrap of new nodes.

use super::HealthSharing;
use super::bootstrap::Bootstrap;
use super::facts::FactKind;
use crate::context::Context;
use crate::driver_action::Action;
use crate::gossip::{self, Urgency, differing_buckets};
use rand::seq::IndexedRandom;
use std::collections::{BTreeMap, BTreeSet};
use thornbridge_proto::back_end::Readiness;
use thornbridge_proto::frame;
use thornbridge_proto::peer::health::{
    BackEndKey, HEALTH_BUCKETS, HealthBatch, HealthChange, HealthFact, HealthMessage,
};
use thornbridge_proto::peer::{PeerEndpoint, PeerMessage};

/// Changes per message of the response to a bootstrap request; about 4 kB.
const CHANGES_PER_RESPONSE_MESSAGE: usize = 256;

impl HealthSharing {
    /// Handles a message from a peer.
    pub fn peer_message(
        &mut self,
        context: &mut Context<'_>,
        from: PeerEndpoint,
        message: HealthMessage,
    ) {
        match message {
            HealthMessage::Changes { batch } => {
                let applied = self.merge(context, batch.unpack());
                for change in applied {
                    self.gossip_change(context, change);
                }
            }
            HealthMessage::Facts { batch } => {
                self.merge(context, batch.unpack());
            }
            HealthMessage::FirstFacts { batch } => self.handle_first_facts(context, batch),
            HealthMessage::Request => self.answer_request(context, from),
            HealthMessage::Digest { digest } => self.handle_digest(context, from, digest),
            HealthMessage::BucketDigests { digests } => {
                self.handle_bucket_digests(context, from, &digests);
            }
            HealthMessage::Buckets { buckets, batch } => {
                self.handle_buckets(context, from, &buckets, batch);
            }
        }
    }

    /// Merges changes and signals the changed back ends. Returns the changes that were newer.
    fn merge(
        &mut self,
        context: &mut Context<'_>,
        changes: Vec<HealthChange>,
    ) -> Vec<HealthChange> {
        let mut applied = Vec::new();
        let mut changed_back_ends = BTreeSet::new();
        for change in changes {
            let vote = matches!(change.fact, HealthFact::Unreachable(_));
            if vote && !self.observers.is_member(change.observer) {
                continue;
            }
            let Some(monitored) = self.back_ends.get_mut(&change.back_end) else {
                continue;
            };
            if monitored.facts.merge(&change) {
                monitored.record_change(&self.parameters, context.now, &change.fact);
                self.counters.learnt += 1;
                changed_back_ends.insert(change.back_end);
                applied.push(change);
            }
        }
        for key in changed_back_ends {
            self.signal_health(context, key);
        }
        applied
    }

    /// Queues a change for gossip.
    pub(super) fn enqueue(&mut self, subject: (BackEndKey, FactKind), change: HealthChange) {
        let Ok(encoded) = frame::encode(&HealthBatch::pack([&change])) else {
            return;
        };
        let transmissions_to_all =
            gossip::transmissions(self.parameters.transmission_margin, self.member_count);
        let (urgency, transmissions) = match change.fact {
            HealthFact::Readiness(Readiness::Leaving) => (Urgency::Leaving, transmissions_to_all),
            HealthFact::Readiness(_) => (Urgency::State, transmissions_to_all),
            HealthFact::Unreachable(_) => (Urgency::Unconfirmed, transmissions_to_all),
            HealthFact::Snapshots(_) => {
                let limited = self
                    .parameters
                    .snapshot_transmissions
                    .min(transmissions_to_all);
                (Urgency::Metadata, limited)
            }
        };
        let sized = (change, encoded.len());
        self.gossip_queue
            .push(subject, urgency, transmissions, sized);
    }

    /// Gossips queued changes to random neighbours, if a round is due.
    pub(super) fn gossip_due(&mut self, context: &mut Context<'_>) {
        if self.gossip_queue.is_empty() || context.now < self.next_gossip {
            return;
        }
        self.next_gossip = context.now + self.parameters.gossip_interval;
        let fanout = self.parameters.gossip_fanout;
        let recipients: Vec<PeerEndpoint> = self
            .neighbours
            .choose_multiple(context.random, fanout)
            .copied()
            .collect();
        for neighbour in recipients {
            let limit = self.parameters.message_limit_bytes;
            let allowance = self.gossip_budget.allowance(context.now, limit);
            let changes = self.gossip_queue.take(allowance);
            if changes.is_empty() {
                return;
            }
            let batch = HealthBatch::pack(&changes);
            let message = HealthMessage::Changes { batch };
            self.gossip_budget.spend(send(context, neighbour, message));
        }
    }

    /// Requests all facts from a neighbour during the bootstrap, if a request is due.
    pub(super) fn request_facts_due(&mut self, context: &mut Context<'_>) {
        let has_peers = !self.neighbours.is_empty();
        if !self
            .bootstrap
            .request_due(&self.parameters, context.now, has_peers)
        {
            return;
        }
        if let Some(neighbour) = self.neighbours.choose(context.random).copied() {
            send(context, neighbour, HealthMessage::Request);
        }
    }

    /// Sends all facts to a new node, starting with those that make back ends unavailable. Not
    /// answered while this node is bootstrapping itself.
    fn answer_request(&mut self, context: &mut Context<'_>, from: PeerEndpoint) {
        if !self.is_bootstrapped() {
            return;
        }
        let monitored = self.back_ends.values();
        let facts = monitored.flat_map(|monitored| monitored.facts.changes());
        let (mut facts, others): (Vec<_>, Vec<_>) = facts.partition(makes_unavailable);
        facts.extend(others);
        let mut parts = facts.chunks(CHANGES_PER_RESPONSE_MESSAGE);
        let first = parts.next().unwrap_or_default();
        let batch = HealthBatch::pack(first);
        send(context, from, HealthMessage::FirstFacts { batch });
        for part in parts {
            let batch = HealthBatch::pack(part);
            send(context, from, HealthMessage::Facts { batch });
        }
    }

    /// Handles the first response to a bootstrap request; ends the bootstrap.
    fn handle_first_facts(&mut self, context: &mut Context<'_>, batch: HealthBatch) {
        self.merge(context, batch.unpack());
        self.bootstrap = Bootstrap::Done;
    }

    /// Starts an anti-entropy exchange with a neighbour, if one is due.
    pub(super) fn sync_due(&mut self, context: &mut Context<'_>) {
        if context.now < self.sync.next() {
            return;
        }
        self.sync.plan(context.now, context.random);
        if let Some(neighbour) = self.neighbours.choose(context.random).copied() {
            let digests = self.bucket_digests();
            let digest = digests.into_iter().fold(0, |left, right| left ^ right);
            send(context, neighbour, HealthMessage::Digest { digest });
        }
    }

    fn handle_digest(&mut self, context: &mut Context<'_>, from: PeerEndpoint, digest: u64) {
        let digests = self.bucket_digests();
        let own = digests.iter().fold(0, |left, right| left ^ right);
        if own != digest {
            self.counters.syncs_differing += 1;
            send(context, from, HealthMessage::BucketDigests { digests });
        }
    }

    fn handle_bucket_digests(
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
        let batch = HealthBatch::pack(&self.facts_in(&buckets));
        let message = HealthMessage::Buckets { buckets, batch };
        self.sync_budget.spend(send(context, from, message));
    }

    fn handle_buckets(
        &mut self,
        context: &mut Context<'_>,
        from: PeerEndpoint,
        buckets: &[u8],
        batch: HealthBatch,
    ) {
        let theirs = batch.unpack();
        let differing = self.differing_from(buckets, &theirs);
        if !differing.is_empty() {
            let batch = HealthBatch::pack(&differing);
            let message = HealthMessage::Facts { batch };
            self.sync_budget.spend(send(context, from, message));
        }
        self.merge(context, theirs);
    }

    /// Own facts in these buckets whose versions differ from the peer's.
    fn differing_from(&self, buckets: &[u8], theirs: &[HealthChange]) -> Vec<HealthChange> {
        let subject = |change: &HealthChange| (change.back_end, super::facts::kind_of(change));
        let theirs: BTreeMap<_, _> = theirs
            .iter()
            .map(|change| (subject(change), (change.version, change.observer)))
            .collect();
        let mut facts = self.facts_in(buckets);
        facts.retain(|own| {
            let stamp = theirs.get(&subject(own));
            stamp.is_none_or(|stamp| (own.version, own.observer) != *stamp)
        });
        facts
    }

    fn facts_in(&self, buckets: &[u8]) -> Vec<HealthChange> {
        self.back_ends
            .iter()
            .filter(|(key, _)| buckets.contains(&(bucket_of(**key) as u8)))
            .flat_map(|(_, monitored)| monitored.facts.changes())
            .collect()
    }

    fn bucket_digests(&self) -> Vec<u64> {
        let mut digests = vec![0; HEALTH_BUCKETS];
        for (key, monitored) in &self.back_ends {
            digests[bucket_of(*key)] ^= monitored.facts.digest();
        }
        digests
    }
}

/// Whether a change makes its back end unavailable.
fn makes_unavailable(change: &HealthChange) -> bool {
    match change.fact {
        HealthFact::Readiness(readiness) => readiness == Readiness::Leaving,
        HealthFact::Unreachable(unreachable) => unreachable,
        HealthFact::Snapshots(_) => false,
    }
}

fn bucket_of(key: BackEndKey) -> usize {
    key.0 as usize % HEALTH_BUCKETS
}

/// Sends a message. Returns its size in bytes.
fn send(context: &mut Context<'_>, to: PeerEndpoint, message: HealthMessage) -> usize {
    let bytes = frame::encode(&message).map_or(0, |encoded| encoded.len());
    context.act(Action::SendPeer {
        to: to.address,
        message: PeerMessage::Health(message),
    });
    bytes
}
