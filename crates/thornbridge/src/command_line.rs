//! The command line: every command, its flags and its help.

use crate::commands::{
    action, approve, bundle, demo, drain, gateway, key, load, node, query, rehearse, rollout,
    stand_in, status,
};
use crate::output::Format;
use bpaf::Bpaf;

/// thornbridge: a query tier over many shards
///
///
/// Exit codes: 0 done, 1 failed, 2 wrong usage or invalid input, 3 conflict or refused, 4 outcome
/// unknown. Every command has --help with an example.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version, generate(command_line))]
pub struct CommandLine {
    /// Form of the log on standard error: text or json; its level is set by RUST_LOG
    #[bpaf(argument("FORMAT"), fallback(Format::Text))]
    pub log_format: Format,
    /// The command.
    #[bpaf(external(command))]
    pub command: Command,
}

/// Commands:
#[derive(Clone, Debug, Bpaf)]
pub enum Command {
    /// Show everything in one process
    Demo(#[bpaf(external(demo::demo))] demo::Demo),
    /// Run a node
    Node(#[bpaf(external(node::node))] node::Node),
    /// Run a gateway
    Gateway(#[bpaf(external(gateway::gateway))] gateway::Gateway),
    /// Run a stand-in for what surrounds nodes, over real sockets
    #[bpaf(command("stand-in"))]
    StandIn(#[bpaf(external(stand_in::stand_in))] stand_in::StandIn),
    /// Work with bundles
    #[bpaf(command("bundle"))]
    Bundle(#[bpaf(external(bundle::bundle))] bundle::Bundle),
    /// Make keys
    #[bpaf(command("key"))]
    Key(#[bpaf(external(key::key))] key::Key),
    /// Approve a published bundle version
    Approve(#[bpaf(external(approve::approve))] approve::Approve),
    /// Put an approved version in force, or look at what is in force
    #[bpaf(command("rollout"))]
    Rollout(#[bpaf(external(rollout::rollout))] rollout::Rollout),
    /// Show what nodes know
    Status(#[bpaf(external(status::status))] status::Status),
    /// Stop a node
    Drain(#[bpaf(external(drain::drain))] drain::Drain),
    /// Offer a load to nodes
    Load(#[bpaf(external(load::load))] load::Load),
    /// Rehearse faults and load in virtual time
    ///
    ///
    /// Exit code 1 where something that must always hold did not.
    ///
    ///
    /// Example: thornbridge rehearse --deployment th-north --fault straggler --load 0.6 --seed 3
    #[bpaf(command("rehearse"))]
    Rehearse(#[bpaf(external(rehearse::rehearse))] rehearse::Rehearse),
    /// Ask a node to search a service
    Query(#[bpaf(external(query::query))] query::Query),
    /// Ask a node to run an action at most once
    Action(#[bpaf(external(action::action))] action::Action),
}

impl Command {
    /// Level of the log unless `RUST_LOG` says otherwise. The demonstration runs many nodes, whose
    /// changes of state would drown its summary.
    pub fn default_log_level(&self) -> &'static str {
        match self {
            Self::Demo(_) => "warn",
            _ => "info",
        }
    }
}
