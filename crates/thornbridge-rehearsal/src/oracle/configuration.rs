//! Checks of configurations: one approved version a generation, in force everywhere in time.

use super::{Invariant, Oracle};
use std::collections::BTreeMap;
use std::time::Duration;
use thornbridge_core::Timestamp;
use thornbridge_proto::caller::ConfigurationReference;
use thornbridge_proto::{BundleVersion, Digest, Generation};

/// Time in which a generation is in force on every node that can be reached.
pub const ACTIVATION_LIMIT: Duration = Duration::from_secs(4);

/// A node as the configuration's spread sees it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NodeReach {
    /// Run of the node; a new run knows nothing.
    pub run: u32,
    /// Since when it runs and can reach the platform or peers that do, without a break.
    pub reachable_since: Option<Timestamp>,
}

#[derive(Clone, Copy, Debug, Default)]
struct NodeTruth {
    run: u32,
    generation: Option<Generation>,
}

/// Approved versions, the generations that took effect, and what nodes have in force.
#[derive(Debug, Default)]
pub struct ConfigurationTruth {
    approved: BTreeMap<BundleVersion, Digest>,
    generations: BTreeMap<Generation, (BundleVersion, Digest)>,
    current: Option<(Generation, Timestamp)>,
    nodes: Vec<NodeTruth>,
    slowest: Duration,
}

impl ConfigurationTruth {
    /// The longest time from a generation's effect to its being in force on a node that could
    /// be reached all the while.
    pub fn slowest(&self) -> Duration {
        self.slowest
    }

    /// The generation that took effect last.
    pub fn current(&self) -> Option<Generation> {
        self.current.map(|(generation, _)| generation)
    }

    fn node(&mut self, node: usize, run: u32) -> &mut NodeTruth {
        if self.nodes.len() <= node {
            self.nodes.resize(node + 1, NodeTruth::default());
        }
        let truth = &mut self.nodes[node];
        if truth.run != run {
            *truth = NodeTruth {
                run,
                generation: None,
            };
        }
        truth
    }
}

impl Oracle {
    /// An operator approved a version.
    pub fn approved(&mut self, now: Timestamp, version: BundleVersion, digest: Digest) {
        let earlier = self.configuration.approved.insert(version.clone(), digest);
        let holds = earlier.is_none_or(|earlier| earlier == digest);
        self.log
            .check(Invariant::OneApprovedVersion, now, holds, || {
                format!("version {version} was approved with two digests")
            });
    }

    /// A generation took effect in the platform's store.
    pub fn generation_written(
        &mut self,
        now: Timestamp,
        generation: Generation,
        version: &BundleVersion,
        digest: Digest,
    ) {
        let truth = &mut self.configuration;
        let known = truth.generations.get(&generation);
        let same = known.is_none_or(|known| *known == (version.clone(), digest));
        let approved = truth.approved.get(version) == Some(&digest);
        let last = truth.current.map_or(0, |(generation, _)| generation.0);
        let in_order = generation.0 == last + 1 || (known.is_some() && generation.0 == last);
        truth
            .generations
            .insert(generation, (version.clone(), digest));
        if known_is_new(last, generation) {
            truth.current = Some((generation, now));
        }
        let holds = same && approved && in_order;
        self.log
            .check(Invariant::OneApprovedVersion, now, holds, || {
                format!(
                    "generation {generation} of {version} was written after {last}: \
                     same {same}, approved {approved}"
                )
            });
    }

    /// A generation is in force on a run of a node.
    pub fn generation_activated(
        &mut self,
        now: Timestamp,
        node: usize,
        reach: NodeReach,
        generation: Generation,
        version: &BundleVersion,
    ) {
        let written = self.configuration.generations.get(&generation);
        let one = written.is_some_and(|(written, _)| written == version);
        self.log.check(Invariant::OneApprovedVersion, now, one, || {
            format!("node {node} has {version} as generation {generation}, which is not so")
        });
        let earlier = self.configuration.node(node, reach.run).generation;
        self.configuration.node(node, reach.run).generation = Some(generation);
        let rises = earlier.is_none_or(|earlier| earlier < generation);
        self.log.check(
            Invariant::ConfigurationActiveAndMonotonic,
            now,
            rises,
            || format!("node {node} went from generation {earlier:?} to {generation}"),
        );
        self.measure_spread(now, reach, generation);
    }

    fn measure_spread(&mut self, now: Timestamp, reach: NodeReach, generation: Generation) {
        let Some((current, since)) = self.configuration.current else {
            return;
        };
        let reachable = reach
            .reachable_since
            .is_some_and(|reached| reached <= since);
        if current == generation && reachable {
            self.configuration.slowest = self.configuration.slowest.max(now.since(since));
        }
    }

    /// Checks that a node has the generation that took effect last, once it had the time to.
    pub fn check_spread(&mut self, now: Timestamp, node: usize, reach: NodeReach) {
        let (Some(reachable), Some((generation, since))) =
            (reach.reachable_since, self.configuration.current)
        else {
            return;
        };
        if now.since(reachable.max(since)) < ACTIVATION_LIMIT {
            return;
        }
        let held = self.configuration.node(node, reach.run).generation;
        let holds = held.is_some_and(|held| held >= generation);
        self.log.check(
            Invariant::ConfigurationActiveAndMonotonic,
            now,
            holds,
            || {
                format!(
                    "node {node} has generation {held:?} in force, though {generation} took \
                     effect more than {ACTIVATION_LIMIT:?} ago and it can be reached since {reachable:?}"
                )
            },
        );
    }

    /// An answer names the configuration that it was planned under.
    pub(super) fn check_reference(&mut self, now: Timestamp, reference: &ConfigurationReference) {
        let written = self.configuration.generations.get(&reference.generation);
        let holds = written.is_some_and(|(version, digest)| {
            *version == reference.version && *digest == reference.digest
        });
        self.log
            .check(Invariant::OneApprovedVersion, now, holds, || {
                format!("an answer names {reference:?}, which was never in force")
            });
    }
}

fn known_is_new(last: u64, generation: Generation) -> bool {
    generation.0 > last
}
