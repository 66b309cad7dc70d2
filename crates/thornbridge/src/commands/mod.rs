//! The commands, one module each.

pub mod action;
pub mod approve;
pub mod bundle;
pub mod demo;
pub mod drain;
pub mod gateway;
pub mod key;
pub mod load;
pub mod node;
pub mod query;
pub mod rehearse;
pub mod rollout;
pub mod stand_in;
pub mod status;

use crate::command_line::Command;
use crate::error::CommandError;

/// Runs a command.
pub async fn run(command: Command) -> Result<(), CommandError> {
    match command {
        Command::Node(node) => node.run().await,
        Command::Gateway(gateway) => gateway.run().await,
        Command::Bundle(bundle) => bundle.run().await,
        Command::Key(key) => key.run(),
        Command::Approve(approve) => approve.run().await,
        Command::Rollout(rollout) => rollout.run().await,
        Command::Status(status) => status.run().await,
        Command::Drain(drain) => drain.run().await,
        Command::StandIn(stand_in) => stand_in.run().await,
        Command::Load(load) => load.run().await,
        Command::Demo(demo) => demo.run().await,
        Command::Rehearse(rehearse) => rehearse.run(),
        Command::Query(query) => query.run().await,
        Command::Action(action) => action.run().await,
    }
}
