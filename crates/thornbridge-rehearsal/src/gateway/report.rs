//! What a run was worth.

use super::network::Span;
use super::oracle::Broken;
use std::collections::BTreeMap;
use std::time::Duration;
use thornbridge_proto::frame;
use thornbridge_proto::peer::PeerMessage;
use thornbridge_proto::peer::view::ViewMessage;

/// What a message between nodes is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum PeerTopic {
    /// Members.
    Members,
    /// Which views nodes have.
    Digests,
    /// Route configurations.
    Configuration,
    /// Entries of the registry.
    Registry,
    /// Slices of gathers.
    Slices,
    /// Anything else.
    Other,
}

impl PeerTopic {
    fn of(message: &PeerMessage) -> Self {
        match message {
            PeerMessage::Membership(_) => Self::Members,
            PeerMessage::View(view) => match view {
                ViewMessage::Digest { .. } | ViewMessage::Pull(_) => Self::Digests,
                ViewMessage::Configuration { .. } => Self::Configuration,
                ViewMessage::Registry(_) => Self::Registry,
                ViewMessage::Evacuations(_) => Self::Other,
            },
            PeerMessage::Slice(_) => Self::Slices,
            PeerMessage::Configuration(_)
            | PeerMessage::Health(_)
            | PeerMessage::Action(_)
            | PeerMessage::Quarantine(_)
            | PeerMessage::Rollout(_) => Self::Other,
        }
    }
}

/// Counts of one run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct GatewayReport {
    /// Requests that callers sent, each counted once however often it was tried.
    pub asked: u64,
    /// Whole answers within the latency objective, seen at the caller.
    pub in_time: u64,
    /// Answers that left parts out, within the objective.
    pub partial_in_time: u64,
    /// Answers after the objective.
    pub late: u64,
    /// Requests whose last try was refused.
    pub refused: u64,
    /// Requests whose last try failed, or was never answered.
    pub failed: u64,
    /// Servers that crashed under each request that crashes servers, as these came.
    pub crashed_by_request: Vec<u64>,
    /// Other requests that were refused for crashing servers.
    pub wrongly_refused: u64,
    /// Arrivals at servers.
    pub arrivals: u64,
    /// Arrivals beyond the first of each part.
    pub extra: u64,
    /// Connections that servers reset, since they had too many.
    pub over_limit: u64,
    /// Connections opened.
    pub opened: u64,
    /// Calls to the store.
    pub store_calls: u64,
    /// Messages between nodes.
    pub peer_messages: u64,
    /// Bytes of messages between nodes, as they are encoded.
    pub peer_bytes: BTreeMap<(Span, PeerTopic), u64>,
    /// Longest time from a version's acknowledgement until a node had it in force.
    pub longest_activation: Duration,
    /// Longest time from the moment that a server said it leaves until a node knew.
    pub longest_leaving_known: Duration,
    /// Rules that were broken.
    pub broken: Vec<Broken>,
    /// Requests served, by the second of their first try.
    pub served_by_second: Vec<(u64, u64)>,
}

impl GatewayReport {
    /// Counts a message between nodes.
    pub(super) fn count_peer_message(&mut self, span: Span, message: &PeerMessage) {
        let topic = PeerTopic::of(message);
        let bytes = frame::encode(message).map_or(0, |encoded| encoded.len() as u64);
        *self.peer_bytes.entry((span, topic)).or_default() += bytes;
    }

    /// Bytes of messages of these topics that crossed a span.
    pub fn bytes_across(&self, span: Span, topics: &[PeerTopic]) -> u64 {
        let counted = self.peer_bytes.iter();
        let wanted =
            counted.filter(|((crossed, topic), _)| *crossed == span && topics.contains(topic));
        wanted.map(|(_, bytes)| bytes).sum()
    }

    /// Servers that crashed under requests that crash servers.
    pub fn crashed(&self) -> u64 {
        self.crashed_by_request.iter().sum()
    }

    /// Requests with an answer, in time or late.
    pub fn served(&self) -> u64 {
        self.in_time + self.partial_in_time + self.late
    }

    /// Share of the requests that were answered.
    pub fn served_share(&self) -> f64 {
        self.served() as f64 / self.asked.max(1) as f64
    }

    /// Share of the requests that were answered within the objective.
    pub fn in_time_share(&self) -> f64 {
        (self.in_time + self.partial_in_time) as f64 / self.asked.max(1) as f64
    }
}
