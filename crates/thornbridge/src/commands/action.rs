//! `thornbridge action`: one action, at most once, through a node.

use crate::caller;
use crate::error::CommandError;
use crate::output::{self, Format};
use bpaf::Bpaf;
use std::net::SocketAddr;
use thornbridge_proto::caller::{ActionAnswer, ActionBody};

/// Ask a node to run an action at most once
///
///
/// The same key through any node gives the same outcome; the action is not run again.
/// Exit code 3 where it was refused and did not run, 4 where it may have run.
///
///
/// Example: thornbridge action reminder-out "shift 17" --key reminder-17 --node 127.0.0.1:20101
#[derive(Clone, Debug, Bpaf)]
#[bpaf(command("action"), generate(action))]
pub struct Action {
    /// Address of a node for callers
    #[bpaf(argument("ADDRESS"), env("THORNBRIDGE_NODE"))]
    node: SocketAddr,
    /// Idempotency key: two requests with one key are one action
    #[bpaf(argument("KEY"))]
    key: String,
    /// Time allowed, e.g. 500ms; the service's own where absent
    #[bpaf(argument::<humantime::Duration>("DURATION"), optional)]
    timeout: Option<humantime::Duration>,
    /// Form of the result: text or json
    #[bpaf(argument("FORMAT"), fallback(Format::Text))]
    format: Format,
    /// Service to ask
    #[bpaf(positional("SERVICE"))]
    service: String,
    /// Payload, passed to the back end as it stands
    #[bpaf(positional("PAYLOAD"))]
    payload: String,
}

impl Action {
    /// Runs the command.
    pub async fn run(self) -> Result<(), CommandError> {
        let body = ActionBody {
            payload: self.payload,
            timeout_ms: self.timeout.map(caller::milliseconds),
        };
        let path = format!(
            "/v1/services/{}/actions",
            caller::path_segment(&self.service)
        );
        let headers = [("idempotency-key", self.key.as_str())];
        let answer: ActionAnswer = caller::ask(self.node, "action", &path, &headers, &body).await?;
        output::print(self.format, &answer, |answer| {
            let replayed = if answer.replayed {
                "ran earlier under this key"
            } else {
                "ran"
            };
            format!(
                "request {}: {replayed}\n{}",
                answer.request_id, answer.outcome
            )
        })
    }
}
