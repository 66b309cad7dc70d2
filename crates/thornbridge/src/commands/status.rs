//! `thornbridge status`: what nodes know.

use crate::error::CommandError;
use crate::node_client;
use crate::output::{self, Format, Table};
use bpaf::Bpaf;
use serde::Serialize;
use std::net::SocketAddr;
use thornbridge_core::status::{NodeReadiness, StatusReport};
use thornbridge_proto::peer::membership::MemberState;

/// Show what nodes know: generation in force, members, leases, back ends, services
///
///
/// Exit code 1 where any of the nodes asked does not answer.
///
///
/// Example: thornbridge status --node 127.0.0.1:20201 --node 127.0.0.1:20202
#[derive(Clone, Debug, Bpaf)]
#[bpaf(command("status"), generate(status))]
pub struct Status {
    /// Address of a node for operators; may be repeated
    #[bpaf(argument("ADDRESS"), some("found no node; expected --node ADDRESS"))]
    node: Vec<SocketAddr>,
    /// Form of the result: text or json
    #[bpaf(argument("FORMAT"), fallback(Format::Text))]
    format: Format,
}

/// One node's answer, or why there is none.
#[derive(Serialize)]
struct NodeStatus {
    address: SocketAddr,
    #[serde(skip_serializing_if = "Option::is_none")]
    status: Option<StatusReport>,
    #[serde(skip_serializing_if = "Option::is_none")]
    error: Option<String>,
}

impl Status {
    /// Runs the command.
    pub async fn run(self) -> Result<(), CommandError> {
        let answers = node_client::status_of_all(&self.node).await;
        let mut silent = Vec::new();
        let mut nodes = Vec::new();
        for (address, answer) in self.node.iter().zip(answers) {
            let (status, error) = match answer {
                Ok(status) => (Some(status), None),
                Err(error) => (None, Some(crate::error::with_causes(&error))),
            };
            if status.is_none() {
                silent.push(*address);
            }
            nodes.push(NodeStatus {
                address: *address,
                status,
                error,
            });
        }
        output::print(self.format, &nodes, |nodes| as_text(nodes))?;
        if silent.is_empty() {
            Ok(())
        } else {
            Err(CommandError::NodesSilent { nodes: silent })
        }
    }
}

fn as_text(nodes: &[NodeStatus]) -> String {
    let mut text = summary(nodes);
    for node in nodes {
        if let Some(status) = &node.status {
            text += &format!("\nseen from {} ({})\n", status.name, node.address);
            text += &members(status);
            text += &leases(status);
            text += &back_ends(status);
            text += &services(status);
        }
    }
    text
}

fn summary(nodes: &[NodeStatus]) -> String {
    let header = [
        "ADDRESS",
        "NODE",
        "STATE",
        "GENERATION",
        "VERSION",
        "DIGEST",
        "PLATFORM HEARD",
    ];
    let mut table = Table::new(&header);
    for node in nodes {
        let address = node.address.to_string();
        let Some(status) = &node.status else {
            let error = node.error.clone().unwrap_or_default();
            table.row(vec![address, "-".into(), error]);
            continue;
        };
        let configuration = status.configuration.as_ref();
        let staleness = status.platform_staleness.map_or_else(
            || "never".to_owned(),
            |staleness| format!("{:.1} s ago", staleness.as_secs_f64()),
        );
        table.row(vec![
            address,
            status.name.to_string(),
            readiness(&status.readiness).to_owned(),
            configuration.map_or("-".into(), |one| one.generation.to_string()),
            configuration.map_or("-".into(), |one| one.version.to_string()),
            configuration.map_or("-".into(), |one| short(&one.digest.to_string())),
            staleness,
        ]);
    }
    table.to_string()
}

/// Enough of a digest to tell two apart by eye.
fn short(digest: &str) -> String {
    const SHOWN_DIGITS: usize = 12;
    digest.chars().take(SHOWN_DIGITS).collect()
}

fn readiness(readiness: &NodeReadiness) -> &'static str {
    match readiness {
        NodeReadiness::Ready => "ready",
        NodeReadiness::NoConfiguration => "no configuration",
        NodeReadiness::LearningHealth => "learning health",
        NodeReadiness::Leaving => "leaving",
    }
}

fn members(status: &StatusReport) -> String {
    let mut table = Table::new(&["MEMBER", "RUN", "PEER ADDRESS", "ZONE", "REGION", "STATE"]);
    for member in &status.members {
        let state = match member.state {
            MemberState::Alive => "alive",
            MemberState::Suspect => "suspect",
            MemberState::Leaving => "leaving",
            MemberState::Dead => "dead",
        };
        table.row(vec![
            member.name.to_string(),
            member.endpoint.node.to_string(),
            member.endpoint.address.to_string(),
            member.zone.to_string(),
            member.region.to_string(),
            state.to_owned(),
        ]);
    }
    table.to_string()
}

fn leases(status: &StatusReport) -> String {
    if status.leases.is_empty() {
        return String::new();
    }
    let mut table = Table::new(&["LEASE", "HOLDER", "HELD HERE", "FENCING TOKEN"]);
    for lease in &status.leases {
        table.row(vec![
            lease.name.clone(),
            lease.holder.map_or("-".into(), |holder| holder.to_string()),
            if lease.held_here { "yes" } else { "no" }.to_owned(),
            lease.fencing_token.to_string(),
        ]);
    }
    table.to_string()
}

fn back_ends(status: &StatusReport) -> String {
    if status.back_ends.is_empty() {
        return String::new();
    }
    let mut table = Table::new(&["BACK END", "STATE"]);
    for back_end in &status.back_ends {
        table.row(vec![back_end.back_end.to_string(), back_end.state.clone()]);
    }
    table.to_string()
}

fn services(status: &StatusReport) -> String {
    if status.services.is_empty() {
        return String::new();
    }
    let mut table = Table::new(&["SERVICE", "IN FLIGHT", "QUEUED", "LIMIT", "SNAPSHOT"]);
    for service in &status.services {
        let snapshot = service.snapshot.as_ref();
        table.row(vec![
            service.service.to_string(),
            service.in_flight.to_string(),
            service.queued.to_string(),
            service.concurrency_limit.to_string(),
            snapshot.map_or("-".into(), |snapshot| snapshot.to_string()),
        ]);
    }
    table.to_string()
}
