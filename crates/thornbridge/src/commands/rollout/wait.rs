//! `thornbridge rollout wait`: until all live nodes have a generation in force.

use super::WAIT_LIMIT;
use crate::error::{CommandError, UsageSnafu};
use crate::fleet::{self, Fleet};
use crate::operator;
use crate::output::{self, Format};
use bpaf::Bpaf;
use serde::Serialize;
use snafu::OptionExt;
use std::net::SocketAddr;
use std::time::Duration;
use thornbridge_core::operator::{OperatorCommand, OperatorOutcome};
use thornbridge_proto::{Generation, NodeName};
use tokio::time::Instant;

/// Time between two looks at the nodes.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);

/// Flags of the command.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(wait))]
pub struct Wait {
    /// Address of a node for operators; may be repeated; the others are learnt from them
    #[bpaf(argument("ADDRESS"), some("found no node; expected --node ADDRESS"))]
    node: Vec<SocketAddr>,
    /// Generation to wait for; the one in force in the platform where absent
    #[bpaf(argument("GENERATION"))]
    generation: Option<u64>,
    /// Platform's address, to learn the generation; also from the environment
    #[bpaf(argument("ADDRESS"), env("THORNBRIDGE_PLATFORM"), optional)]
    platform: Option<SocketAddr>,
    /// Time to wait
    #[bpaf(argument::<humantime::Duration>("DURATION"), fallback(WAIT_LIMIT.into()))]
    timeout: humantime::Duration,
    /// Form of the result: text or json
    #[bpaf(argument("FORMAT"), fallback(Format::Text))]
    format: Format,
}

/// What came of the wait.
#[derive(Debug, Serialize)]
struct Waited {
    generation: Generation,
    in_force: Vec<NodeName>,
    pending: Vec<fleet::Pending>,
    seconds: f64,
}

impl Wait {
    /// Runs the command.
    pub async fn run(self) -> Result<(), CommandError> {
        let started = Instant::now();
        let generation = self.target().await?;
        let limit = Duration::from(self.timeout);
        let fleet = self.look_until(generation, started + limit).await;
        let waited = Waited {
            generation,
            in_force: fleet.having(generation),
            pending: fleet.pending(generation),
            seconds: started.elapsed().as_secs_f64(),
        };
        output::print(self.format, &waited, as_text)?;
        if waited.pending.is_empty() {
            Ok(())
        } else {
            Err(CommandError::NotActive {
                generation,
                pending: waited.pending,
                limit,
            })
        }
    }

    async fn target(&self) -> Result<Generation, CommandError> {
        if let Some(generation) = self.generation {
            return Ok(Generation(generation));
        }
        let platform = self.platform.context(UsageSnafu {
            detail: "found neither --generation nor --platform; expected one of them",
        })?;
        match operator::execute(platform, OperatorCommand::Current).await? {
            OperatorOutcome::Current(Some(rollout)) => Ok(rollout.current.generation),
            _ => Err(CommandError::Usage {
                detail: "nothing was ever rolled out; run `thornbridge rollout start` first"
                    .to_owned(),
            }),
        }
    }

    async fn look_until(&self, generation: Generation, deadline: Instant) -> Fleet {
        loop {
            let fleet = Fleet::look(&self.node).await;
            if fleet.pending(generation).is_empty() || Instant::now() >= deadline {
                return fleet;
            }
            tokio::time::sleep(LOOK_INTERVAL).await;
        }
    }
}

fn as_text(waited: &Waited) -> String {
    let count = waited.in_force.len();
    let mut text = format!(
        "generation {} is in force on {count} live nodes after {:.2} s\n",
        waited.generation, waited.seconds
    );
    for pending in &waited.pending {
        text += &format!("not on {pending}\n");
    }
    text
}
