//! The operators' side of nodes: status and drain.

use crate::caller;
use crate::error::{CommandError, NodeSnafu};
use crate::http_client::{self, HttpRequest};
use futures_util::future::join_all;
use hyper::StatusCode;
use snafu::ResultExt;
use std::net::SocketAddr;
use std::time::Duration;
use thornbridge_core::status::StatusReport;
use thornbridge_rehearsal::http_client::ClientResponse;

/// Time for a node to answer an operator.
const OPERATOR_TIMEOUT: Duration = Duration::from_secs(5);

/// What one node knows.
pub async fn status(node: SocketAddr) -> Result<StatusReport, CommandError> {
    const STEP: &str = "status";
    let response = exchange(node, STEP, "GET", "/v1/status").await?;
    if response.status != StatusCode::OK {
        return Err(caller::refusal(node, STEP, &response));
    }
    caller::decode(node, STEP, &response)
}

/// What each of the nodes knows, in their order; asked at the same time.
pub async fn status_of_all(nodes: &[SocketAddr]) -> Vec<Result<StatusReport, CommandError>> {
    join_all(nodes.iter().map(|node| status(*node))).await
}

/// Asks a node to begin a planned stop.
pub async fn drain(node: SocketAddr) -> Result<(), CommandError> {
    const STEP: &str = "drain";
    let response = exchange(node, STEP, "POST", "/v1/drain").await?;
    match response.status {
        StatusCode::OK | StatusCode::ACCEPTED => Ok(()),
        _ => Err(caller::refusal(node, STEP, &response)),
    }
}

async fn exchange(
    node: SocketAddr,
    step: &'static str,
    method: &str,
    path: &str,
) -> Result<ClientResponse, CommandError> {
    let request = HttpRequest {
        method,
        path,
        headers: &[],
        body: Vec::new(),
    };
    http_client::exchange(node, request, OPERATOR_TIMEOUT)
        .await
        .context(NodeSnafu { step, peer: node })
}
