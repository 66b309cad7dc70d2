//! Carries out operators' commands against the platform's store.

use crate::error::{CommandError, OperatorSnafu};
use snafu::ResultExt;
use std::net::SocketAddr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use thornbridge_config::objects::RolloutOrigin;
use thornbridge_core::operator::{OperatorCommand, OperatorOutcome, OperatorSession, OperatorStep};
use thornbridge_node::PlatformClient;
use thornbridge_proto::ChangeId;

/// Time to wait for one answer of the store.
const STORE_TIMEOUT: Duration = Duration::from_secs(5);

/// Name under which the command line reads from the store.
const READER: &str = "operator";

/// Carries a command out. A fresh change id tells this command's writes from any other's.
pub async fn execute(
    platform: SocketAddr,
    command: OperatorCommand,
) -> Result<OperatorOutcome, CommandError> {
    let client = PlatformClient::new(platform, READER, STORE_TIMEOUT);
    let change = ChangeId::new(format!("{:032x}", rand::random::<u128>()));
    let mut session = OperatorSession::new(command, change);
    let mut answer = None;
    loop {
        match session.step(answer.take()) {
            OperatorStep::Request(request) => answer = Some(client.execute(&request).await),
            OperatorStep::Wait(pause) => tokio::time::sleep(pause).await,
            OperatorStep::Done(result) => return result.context(OperatorSnafu { platform }),
        }
    }
}

/// Who asks for a rollout, and when, for the history.
pub fn origin(author: String, automation: bool) -> RolloutOrigin {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).ok();
    RolloutOrigin {
        author,
        automation,
        at_unix_ms: since_epoch.and_then(|time| u64::try_from(time.as_millis()).ok()),
    }
}
