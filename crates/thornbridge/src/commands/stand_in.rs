//! `thornbridge stand-in`: what surrounds nodes, over real sockets.

use crate::error::{CommandError, ReadFileSnafu, SignalSnafu};
use bpaf::Bpaf;
use snafu::ResultExt;
use std::future::Future;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use thornbridge_config::parse;
use thornbridge_rehearsal::stand_in::back_end::{self, BackEndsConfig, Ports};
use thornbridge_rehearsal::stand_in::platform::{self, PlatformConfig};
use tokio::signal::unix::{SignalKind, signal};

/// Where the control endpoint of back ends listens unless told: any free port.
const ANY_PORT: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Stand-ins:
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(stand_in))]
pub enum StandIn {
    /// Run a platform: an object store with versions and watches, kept in memory
    ///
    ///
    /// Prints `ready {"address":...}` once it listens. Ends on SIGTERM or SIGINT. Faults are set
    /// over POST /stand-in/faults.
    ///
    ///
    /// Example: thornbridge stand-in platform --listen 127.0.0.1:20000
    #[bpaf(command)]
    Platform {
        /// Address to listen on; port 0 is any free one
        #[bpaf(argument("ADDRESS"))]
        listen: SocketAddr,
        /// TOML file with faults and limits from the start
        #[bpaf(argument("FILE"), optional)]
        config: Option<PathBuf>,
    },
    /// Run all back ends of a bundle in one process, each on a port of its own
    ///
    ///
    /// Prints `ready {"control":...,"addresses":...}` once all listen. On SIGTERM or SIGINT they
    /// leave: they take no new work, finish what they have, and end. Faults are set over POST
    /// /stand-in/faults at the control address.
    ///
    ///
    /// Example: thornbridge stand-in back-end examples/th-north.toml
    #[bpaf(command("back-end"))]
    BackEnd {
        /// Address of the control endpoint; port 0 is any free one
        #[bpaf(argument("ADDRESS"), fallback(ANY_PORT))]
        control: SocketAddr,
        /// Listen on free ports in place of the bundle's
        free_ports: bool,
        /// Seed of the service times
        #[bpaf(argument("NUMBER"), fallback(1))]
        seed: u64,
        /// Bundle whose back ends to run
        #[bpaf(positional("FILE"))]
        bundle: PathBuf,
    },
}

impl StandIn {
    /// Runs the command.
    pub async fn run(self) -> Result<(), CommandError> {
        let stop = stop_signal()?;
        match self {
            Self::Platform { listen, config } => {
                let config = platform_config(config.as_deref())?;
                Ok(platform::run(config, listen, stop).await?)
            }
            Self::BackEnd {
                control,
                free_ports,
                seed,
                bundle,
            } => {
                let ports = if free_ports {
                    Ports::Free
                } else {
                    Ports::OfBundle
                };
                let mut config = BackEndsConfig::new(parse::read_bundle(&bundle)?, ports);
                config.control = control;
                config.seed = seed;
                Ok(back_end::run(config, stop).await?)
            }
        }
    }
}

fn platform_config(file: Option<&Path>) -> Result<PlatformConfig, CommandError> {
    let Some(file) = file else {
        return Ok(PlatformConfig::default());
    };
    let text = std::fs::read_to_string(file).context(ReadFileSnafu { file })?;
    toml::from_str(&text).map_err(|error| CommandError::Usage {
        detail: format!("{}: {error}", file.display()),
    })
}

/// Done when the process is asked to end.
fn stop_signal() -> Result<impl Future<Output = ()>, CommandError> {
    let mut terminate = signal(SignalKind::terminate()).context(SignalSnafu)?;
    let mut interrupt = signal(SignalKind::interrupt()).context(SignalSnafu)?;
    Ok(async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
    })
}
