//! `thornbridge drain`: a planned stop of one node.

use crate::error::CommandError;
use crate::node_client;
use crate::output::{self, Format};
use bpaf::Bpaf;
use serde::Serialize;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// Time between two looks at a node that is stopping.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);

/// Stop a node: it announces leaving, takes no new work, finishes what is in flight and ends
///
///
/// Ends when the node has ended; exit code 1 where it has not within the time given.
///
///
/// Example: thornbridge drain --node 127.0.0.1:20201
#[derive(Clone, Debug, Bpaf)]
#[bpaf(command("drain"), generate(drain))]
pub struct Drain {
    /// Address of the node for operators
    #[bpaf(argument("ADDRESS"))]
    node: SocketAddr,
    /// Time to wait for its end; 0s only asks for the stop
    #[bpaf(argument::<humantime::Duration>("DURATION"), fallback(Duration::from_secs(60).into()))]
    timeout: humantime::Duration,
    /// Form of the result: text or json
    #[bpaf(argument("FORMAT"), fallback(Format::Text))]
    format: Format,
}

#[derive(Serialize)]
struct Drained {
    node: SocketAddr,
    ended: bool,
    seconds: f64,
}

impl Drain {
    /// Runs the command.
    pub async fn run(self) -> Result<(), CommandError> {
        let started = Instant::now();
        let limit = Duration::from(self.timeout);
        node_client::drain(self.node).await?;
        let ended = ended_within(self.node, limit).await;
        let drained = Drained {
            node: self.node,
            ended,
            seconds: started.elapsed().as_secs_f64(),
        };
        output::print(self.format, &drained, |drained| match drained.ended {
            true => format!(
                "node {} has ended after {:.1} s",
                drained.node, drained.seconds
            ),
            false => format!("node {} is leaving", drained.node),
        })?;
        if ended || limit.is_zero() {
            Ok(())
        } else {
            let node = self.node;
            Err(CommandError::NotDrained { node, limit })
        }
    }
}

/// Whether the node stopped listening for operators, which it does last.
async fn ended_within(node: SocketAddr, limit: Duration) -> bool {
    let deadline = Instant::now() + limit;
    while Instant::now() < deadline {
        if let Err(CommandError::Node { source, .. }) = node_client::status(node).await
            && !source.may_have_taken_effect()
        {
            return true;
        }
        tokio::time::sleep(LOOK_INTERVAL).await;
    }
    false
}
