//! Suspicion timeouts: how long a suspected member has to refute.
//!
//! The timeout starts at its maximum and decreases with each member that independently confirms the
//! suspicion. Reference: "Lifeguard: Local Health Awareness for More Accurate Failure Detection",
//! 2017 (arXiv:1707.00788), section IV.

use super::MembershipParameters;
use crate::time::Timestamp;
use std::collections::BTreeMap;
use std::time::Duration;
use thornbridge_proto::{Incarnation, NodeId};

/// Suspicion of one member.
#[derive(Clone, Debug)]
pub struct Suspicion {
    incarnation: Incarnation,
    started: Timestamp,
    /// Members that suspect, the first being the one that raised the suspicion.
    suspected_by: Vec<NodeId>,
    minimum: Duration,
    maximum: Duration,
    required_confirmations: usize,
}

impl Suspicion {
    /// When the member is declared dead, unless it refutes or the timeout is shortened.
    pub fn deadline(&self) -> Timestamp {
        self.started + self.timeout()
    }

    fn timeout(&self) -> Duration {
        if self.required_confirmations == 0 {
            return self.minimum;
        }
        let confirmations = self.suspected_by.len().saturating_sub(1) as f64;
        let required = self.required_confirmations as f64;
        let share = (confirmations + 1.0).ln() / (required + 1.0).ln();
        let timeout_secs = self.maximum.as_secs_f64()
            - (self.maximum - self.minimum).as_secs_f64() * share.min(1.0);
        Duration::from_secs_f64(timeout_secs).max(self.minimum)
    }

    fn confirm(&mut self, suspected_by: NodeId) -> bool {
        let confirmed = self.suspected_by.len() > self.required_confirmations;
        if confirmed || self.suspected_by.contains(&suspected_by) {
            return false;
        }
        self.suspected_by.push(suspected_by);
        true
    }
}

/// Suspicions held by this node.
#[derive(Debug, Default)]
pub struct Suspicions {
    by_node: BTreeMap<NodeId, Suspicion>,
}

impl Suspicions {
    /// Raises a suspicion, or confirms the current one. Returns whether either took effect.
    pub fn suspect(
        &mut self,
        parameters: &MembershipParameters,
        now: Timestamp,
        members: usize,
        (node, incarnation): (NodeId, Incarnation),
        suspected_by: NodeId,
    ) -> bool {
        if let Some(current) = self.by_node.get_mut(&node)
            && current.incarnation == incarnation
        {
            return current.confirm(suspected_by);
        }
        let minimum = minimum_timeout(parameters, members);
        let others = members.saturating_sub(2);
        let suspicion = Suspicion {
            incarnation,
            started: now,
            suspected_by: vec![suspected_by],
            minimum,
            maximum: minimum.mul_f64(parameters.suspicion_maximum_factor.max(1.0)),
            required_confirmations: parameters.suspicion_confirmations.min(others),
        };
        self.by_node.insert(node, suspicion);
        true
    }

    /// Removes a suspicion.
    pub fn clear(&mut self, node: NodeId) {
        self.by_node.remove(&node);
    }

    /// Removes expired suspicions and returns their members.
    pub fn take_expired(&mut self, now: Timestamp) -> Vec<NodeId> {
        let expired: Vec<NodeId> = self
            .by_node
            .iter()
            .filter(|(_, suspicion)| suspicion.deadline() <= now)
            .map(|(node, _)| *node)
            .collect();
        for node in &expired {
            self.by_node.remove(node);
        }
        expired
    }

    /// Restarts all suspicions without confirmations, since a paused process may have missed
    /// refutations.
    pub fn restart(&mut self, now: Timestamp) {
        for suspicion in self.by_node.values_mut() {
            suspicion.started = now;
            suspicion.suspected_by.truncate(1);
        }
    }

    /// Earliest deadline of a suspicion.
    pub fn next_timeout(&self) -> Option<Timestamp> {
        self.by_node.values().map(Suspicion::deadline).min()
    }

    /// Number of suspected members.
    pub fn len(&self) -> usize {
        self.by_node.len()
    }
}

/// Minimum suspicion timeout in a cluster of this size.
fn minimum_timeout(parameters: &MembershipParameters, members: usize) -> Duration {
    let periods = (members.max(1) as f64).log10() * parameters.suspicion_factor;
    parameters
        .probe_period
        .mul_f64(periods)
        .max(parameters.suspicion_minimum)
}
