//! Nodes that send companions: few, since each has another connection to the server that is sampled,
//! beyond its share of the server's connections.

use crate::time::Timestamp;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// Nodes at a time.
const NODES_MAXIMUM: usize = 12;
/// Time without requests that may have companions after which another node takes the place of one.
const SILENCE: Duration = Duration::from_secs(3);

/// Nodes that send companions.
#[derive(Debug, Default)]
pub(super) struct CompanionNodes {
    /// When each last reported requests that may have companions.
    chosen: BTreeMap<SocketAddr, Timestamp>,
    /// Routes on which the last report of a node had requests for which its budget allowed companions.
    affordable: BTreeMap<SocketAddr, BTreeSet<String>>,
}

impl CompanionNodes {
    /// Notes a report on a route's companions. `affordable`: the node had requests since the last one for
    /// which its budget allowed companions.
    pub(super) fn reported(
        &mut self,
        now: Timestamp,
        node: SocketAddr,
        route: &str,
        affordable: bool,
    ) {
        let routes = self.affordable.entry(node).or_default();
        match affordable {
            true => routes.insert(route.to_owned()),
            false => routes.remove(route),
        };
        if affordable && let Some(reported_at) = self.chosen.get_mut(&node) {
            *reported_at = now;
        }
    }

    /// Whether a node can send companions of a route's requests now.
    pub(super) fn can_send(&self, node: SocketAddr, route: &str) -> bool {
        let routes = self.affordable.get(&node);
        routes.is_some_and(|routes| routes.contains(route))
    }

    /// Whether a node is one of those that send companions; chooses it if there are too few.
    pub(super) fn admit(&mut self, now: Timestamp, node: SocketAddr) -> bool {
        self.chosen
            .retain(|_, reported_at| now.since(*reported_at) < SILENCE);
        let routes = self.affordable.get(&node);
        let is_able = routes.is_some_and(|routes| !routes.is_empty());
        if is_able && self.chosen.len() < NODES_MAXIMUM {
            self.chosen.entry(node).or_insert(now);
        }
        self.chosen.contains_key(&node)
    }
}
