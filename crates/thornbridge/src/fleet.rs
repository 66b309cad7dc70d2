//! All live nodes, found from a few of them: each is asked for the generation it has in force.

use crate::error;
use crate::node_client;
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::net::SocketAddr;
use thornbridge_core::status::StatusReport;
use thornbridge_proto::peer::membership::{MemberRecord, MemberState};
use thornbridge_proto::{Generation, NodeId, NodeName};

/// A live node that has not got a generation, and why that is known.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Pending {
    /// Its name, where known.
    pub name: Option<NodeName>,
    /// Its address for operators.
    pub address: SocketAddr,
    /// Generation that it has, or why it did not say.
    pub reason: String,
}

impl fmt::Display for Pending {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(name) = &self.name {
            write!(formatter, "{name} ")?;
        }
        write!(formatter, "({}): {}", self.address, self.reason)
    }
}

/// What the live nodes said at one time.
#[derive(Debug, Default)]
pub struct Fleet {
    answered: BTreeMap<NodeId, StatusReport>,
    addresses: BTreeMap<NodeId, SocketAddr>,
    silent: BTreeMap<SocketAddr, Silent>,
}

#[derive(Debug)]
struct Silent {
    name: Option<NodeName>,
    reason: String,
}

impl Fleet {
    /// Asks the nodes given, and then the live members that they know of.
    pub async fn look(given: &[SocketAddr]) -> Self {
        let mut fleet = Self::default();
        let mut asked = BTreeSet::new();
        let mut next: BTreeMap<SocketAddr, Option<NodeName>> =
            given.iter().map(|address| (*address, None)).collect();
        while !next.is_empty() {
            let addresses: Vec<SocketAddr> = next.keys().copied().collect();
            let answers = node_client::status_of_all(&addresses).await;
            for ((address, name), answer) in next.into_iter().zip(answers) {
                asked.insert(address);
                fleet.note(address, name, answer);
            }
            next = fleet.unasked(&asked);
        }
        fleet
    }

    fn note(
        &mut self,
        address: SocketAddr,
        name: Option<NodeName>,
        answer: Result<StatusReport, error::CommandError>,
    ) {
        match answer {
            Ok(status) => {
                self.addresses.insert(status.node, address);
                self.answered.insert(status.node, status);
            }
            Err(error) => {
                let reason = error::with_causes(&error);
                self.silent.insert(address, Silent { name, reason });
            }
        }
    }

    /// Live members that nobody asked yet.
    fn unasked(&self, asked: &BTreeSet<SocketAddr>) -> BTreeMap<SocketAddr, Option<NodeName>> {
        let members = self.answered.values().flat_map(|status| &status.members);
        members
            .filter(|member| takes_work(member) && !asked.contains(&member.operator_address))
            .map(|member| (member.operator_address, Some(member.name.clone())))
            .collect()
    }

    /// Names of the nodes that have a generation, or a later one, in force.
    pub fn having(&self, generation: Generation) -> Vec<NodeName> {
        let having = self.answered.values();
        let having = having.filter(|status| has(status, generation));
        having.map(|status| status.name.clone()).collect()
    }

    /// Live nodes that have not got a generation.
    pub fn pending(&self, generation: Generation) -> Vec<Pending> {
        let behind = self.answered.values().filter(|status| {
            let leaving = status.readiness == thornbridge_core::status::NodeReadiness::Leaving;
            !leaving && !has(status, generation)
        });
        let behind = behind.map(|status| Pending {
            name: Some(status.name.clone()),
            address: self.addresses[&status.node],
            reason: status.configuration.as_ref().map_or_else(
                || "has no configuration".to_owned(),
                |one| format!("has generation {}", one.generation),
            ),
        });
        let silent = self.silent.iter().map(|(address, silent)| Pending {
            name: silent.name.clone(),
            address: *address,
            reason: silent.reason.clone(),
        });
        behind.chain(silent).collect()
    }
}

fn has(status: &StatusReport, generation: Generation) -> bool {
    let configuration = status.configuration.as_ref();
    configuration.is_some_and(|one| one.generation >= generation)
}

/// A member that is leaving or dead takes no new work, so that nothing is expected of it.
fn takes_work(member: &MemberRecord) -> bool {
    matches!(member.state, MemberState::Alive | MemberState::Suspect)
}
