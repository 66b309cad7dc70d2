//! Messages from peers, and the exchange of views with them.

use super::Gateway;
use super::action::GatewayAction;
use super::telemetry::ViewOrigin;
use super::views::era::is_plausible_era;
use std::net::SocketAddr;
use std::time::Duration;
use thornbridge_config::routes::RouteConfiguration;
use thornbridge_proto::BackEndId;
use thornbridge_proto::peer::view::{
    EvacuatedZones, RegistryDelta, StoreRevision, ViewDigest, ViewMessage,
};
use thornbridge_proto::peer::{PeerEndpoint, PeerMessage};

impl Gateway {
    pub(super) fn peer_message(&mut self, from: PeerEndpoint, message: PeerMessage) {
        self.slices.message_received(self.now, from.address);
        self.note_rollout_peer(from);
        match message {
            PeerMessage::Membership(message) => self.with_membership(|membership, context| {
                membership.peer_message(context, from, message);
            }),
            PeerMessage::View(message) => self.view_message(from.address, message),
            PeerMessage::Slice(message) => self.slice_message(from.address, message),
            PeerMessage::Quarantine(message) => {
                self.rollout_peer_announced(from, &message);
                for record in &message.records {
                    self.quarantine.merge(self.now, &mut self.actions, record);
                }
            }
            PeerMessage::Rollout(message) => self.rollout_message(from, message),
            // Query and action clusters ([`crate::Node`]) use these messages, gateways do not.
            PeerMessage::Configuration(_) | PeerMessage::Health(_) | PeerMessage::Action(_) => {}
        }
    }

    pub(super) fn view_message(&mut self, peer: SocketAddr, message: ViewMessage) {
        if let Some(era) = self.implausible_era(&message) {
            let reason = format!("implausible store era {era}");
            self.report_rejected_object(format!("view message of {peer}"), reason);
            return;
        }
        match message {
            ViewMessage::Digest { digest, age_ms } => {
                let age = Duration::from_millis(u64::from(age_ms));
                let own = self.view_status();
                self.freshness
                    .record_peer_digest(self.now, own.digest, digest, age);
                self.view_gossip
                    .handle_digest(self.now, &mut self.actions, peer, digest, age, own);
            }
            ViewMessage::Pull(peer_digest) => self.answer_pull(peer, peer_digest),
            ViewMessage::Configuration { encoded, .. } => {
                self.apply_peer_configuration(peer, &encoded)
            }
            ViewMessage::Registry(delta) => match delta.as_displaced() {
                Some(entries) => self.apply_peer_displaced(peer, entries),
                None => self.apply_peer_registry(peer, delta),
            },
            ViewMessage::Evacuations(evacuated) => self.apply_peer_evacuations(peer, evacuated),
        }
    }

    /// The store era in a message, if it is implausible.
    fn implausible_era(&self, message: &ViewMessage) -> Option<u64> {
        let era = match message {
            ViewMessage::Digest { digest, .. } | ViewMessage::Pull(digest) => {
                digest.registry.era.max(digest.evacuations.era)
            }
            ViewMessage::Registry(delta) => delta.upto.era,
            ViewMessage::Evacuations(evacuated) => evacuated.at.era,
            ViewMessage::Configuration { .. } => return None,
        };
        let current = self.registry.revision().map(|revision| revision.era);
        (!is_plausible_era(current, era)).then_some(era)
    }

    pub(super) fn answer_pull(&mut self, peer: SocketAddr, peer_digest: ViewDigest) {
        let newest = match self.staging.get() {
            Some(staged) => Some(&staged.configuration),
            None => self.configuration.as_ref(),
        };
        if let Some(configuration) = newest
            && configuration.version.0 > peer_digest.configuration
            && let Ok(encoded) = rmp_serde::to_vec(&**configuration)
        {
            let version = configuration.version.0;
            self.send_view(peer, ViewMessage::Configuration { version, encoded });
        }
        if let Some(evacuated) = self.evacuations.newer_than(peer_digest.evacuations) {
            self.send_view(peer, ViewMessage::Evacuations(evacuated));
        }
        if let Some(delta) = self.registry.delta(peer_digest.registry) {
            self.send_view(peer, ViewMessage::Registry(delta));
            if let Some(displaced) = RegistryDelta::of_displaced(self.servers.displaced()) {
                self.send_view(peer, ViewMessage::Registry(displaced));
            }
        }
    }

    pub(super) fn send_view(&mut self, to: SocketAddr, message: ViewMessage) {
        let message = PeerMessage::View(message);
        self.actions
            .push_back(GatewayAction::SendPeer { to, message });
    }

    pub(super) fn apply_peer_configuration(&mut self, peer: SocketAddr, encoded: &[u8]) {
        let Ok(configuration) = rmp_serde::from_slice::<RouteConfiguration>(encoded) else {
            self.report_rejected_object(format!("configuration of {peer}"), "malformed".to_owned());
            return;
        };
        if self.stage_configuration(configuration, ViewOrigin::Peer) {
            self.announce(Some(peer));
        }
    }

    /// Announces changed views. `from`: the peer that sent the change; `None` for the store.
    pub(super) fn announce(&mut self, from: Option<SocketAddr>) {
        let own = self.view_status();
        self.view_gossip
            .announce(&mut self.random, &mut self.actions, own, from);
    }

    pub(super) fn apply_peer_registry(&mut self, peer: SocketAddr, delta: RegistryDelta) {
        let before = self.registry.revision();
        let changes = self.registry.apply_delta(self.now, delta);
        let changed = !changes.is_empty();
        self.registry_updated(before, changes, ViewOrigin::Peer);
        if changed {
            self.announce(Some(peer));
        }
    }

    /// Announces the servers that this node found displaced.
    pub(super) fn announce_displaced(&mut self) {
        let entries = self.servers.take_newly_displaced();
        self.servers_displaced(entries, None);
    }

    fn apply_peer_displaced(&mut self, peer: SocketAddr, entries: &[(StoreRevision, BackEndId)]) {
        let mut news = Vec::new();
        for (revision, id) in entries {
            let actions = &mut self.actions;
            if self.servers.reported_displaced(actions, *revision, id) {
                news.push((*revision, id.clone()));
            }
        }
        self.servers_displaced(news, Some(peer));
    }

    /// Moves what was queued at displaced servers, and announces them. `from`: the peer that reported
    /// them; `None` for this node.
    fn servers_displaced(
        &mut self,
        entries: Vec<(StoreRevision, BackEndId)>,
        from: Option<SocketAddr>,
    ) {
        if entries.is_empty() {
            return;
        }
        self.slices_outdated = true;
        self.reassign_queued_parts();
        self.view_gossip
            .announce_displaced(&mut self.random, &mut self.actions, entries, from);
    }

    fn apply_peer_evacuations(&mut self, peer: SocketAddr, evacuated: EvacuatedZones) {
        let changes = self.evacuations.replace(evacuated.zones, evacuated.at);
        let changed = !changes.is_empty();
        self.apply_evacuation_changes(changes, ViewOrigin::Peer);
        if changed {
            self.announce(Some(peer));
        }
    }
}
