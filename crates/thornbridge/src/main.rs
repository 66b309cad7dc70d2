//! The thornbridge command line.

mod caller;
mod command_line;
mod commands;
mod demo;
mod error;
mod fleet;
mod http_client;
mod logging;
mod node_client;
mod operator;
mod operator_report;
mod output;

use bpaf::{Args, ParseFailure};
use command_line::{Command, CommandLine, command_line};
use error::{CommandError, ExitStatus};
use std::process::ExitCode;

/// Width at which help is wrapped.
const HELP_WIDTH: usize = 100;

fn main() -> ExitCode {
    let command_line = match command_line().run_inner(Args::current_args()) {
        Ok(command_line) => command_line,
        Err(failure) => return show_parse_failure(failure),
    };
    let level = command_line.command.default_log_level();
    match command_line.command {
        Command::Gateway(_) => logging::start_on_standard_output(level),
        _ => logging::start(command_line.log_format, level),
    }
    match run(command_line) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{}", error::with_causes(&error));
            error.exit_status().into()
        }
    }
}

/// Help and version go to standard output and are a success; a usage error goes to standard error.
fn show_parse_failure(failure: ParseFailure) -> ExitCode {
    let usage_error = matches!(failure, ParseFailure::Stderr(_));
    failure.print_message(HELP_WIDTH);
    if usage_error {
        ExitStatus::Invalid.into()
    } else {
        ExitCode::SUCCESS
    }
}

fn run(command_line: CommandLine) -> Result<(), CommandError> {
    let mut builder = match command_line.command {
        // A gateway has a fraction of one processor: more threads would only take turns.
        Command::Gateway(_) => tokio::runtime::Builder::new_current_thread(),
        _ => tokio::runtime::Builder::new_multi_thread(),
    };
    let runtime = builder
        .enable_all()
        .build()
        .map_err(|source| CommandError::Runtime { source })?;
    runtime.block_on(commands::run(command_line.command))
}
