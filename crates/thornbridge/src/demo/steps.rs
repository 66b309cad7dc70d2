//! The steps of the demonstration up to the drain; each notes what it measured and what must hold.

use super::deployment::{Deployment, PATIENCE};
use super::summary::{DeploymentSummary, RolloutMeasured};
use crate::caller;
use crate::error::{CommandError, ExitStatus};
use std::net::SocketAddr;
use std::time::Duration;
use thornbridge_config::bundle::{ServiceKind, Snapshot};
use thornbridge_proto::caller::{ActionAnswer, ActionBody, QueryAnswer, QueryBody};
use thornbridge_proto::{Generation, ServiceName, SnapshotId};
use thornbridge_rehearsal::load;
use tokio::time::Instant;

/// Length of the steady load.
const STEADY_LOAD: Duration = Duration::from_secs(3);

/// Length of the load that runs while a snapshot is rolled out.
const ROLLOUT_LOAD: Duration = Duration::from_secs(2);

/// Time into that load at which the rollout starts.
const ROLLOUT_START: Duration = Duration::from_millis(500);

/// Actions sent, each through two nodes.
const ACTIONS: usize = 50;

/// Version and snapshot of the second rollout.
const SECOND_VERSION: &str = "2";
const SECOND_SNAPSHOT: &str = "2026-12-02";

/// Publishes, approves and rolls out the first version.
pub async fn first_rollout(
    deployment: &mut Deployment,
    summary: &mut DeploymentSummary,
) -> Result<(), CommandError> {
    deployment.publish_and_approve().await?;
    roll_out(deployment, summary, None).await
}

async fn roll_out(
    deployment: &Deployment,
    summary: &mut DeploymentSummary,
    expected: Option<Generation>,
) -> Result<(), CommandError> {
    let started = Instant::now();
    let version = deployment.bundle.version.clone();
    let generation = deployment.roll_out(version.clone(), expected).await?;
    let everywhere = deployment.active_everywhere(generation).await;
    let measured = RolloutMeasured {
        version,
        generation,
        nodes: deployment.nodes.len(),
        seconds: everywhere.map(|_| started.elapsed().as_secs_f64()),
    };
    let what = format!("generation {generation} is in force on every node");
    summary.check(what, everywhere.is_some());
    summary.rollouts.push(measured);
    Ok(())
}

/// Queries over all services through all nodes.
pub async fn steady_load(
    deployment: &Deployment,
    summary: &mut DeploymentSummary,
) -> Result<(), CommandError> {
    let report = load::run(&deployment.load(&deployment.nodes, STEADY_LOAD)).await?;
    summary.note_load("steady load", &report);
    Ok(())
}

/// Each action is sent under one key through two nodes at the same time.
pub async fn actions(
    deployment: &Deployment,
    summary: &mut DeploymentSummary,
) -> Result<(), CommandError> {
    let Some(service) = deployment.services(ServiceKind::Action).pop() else {
        return Ok(());
    };
    let mut run_once = 0;
    let mut alike = 0;
    for number in 0..ACTIONS {
        let key = format!("demo-{number}");
        let first = send_action(deployment, &service, &key, number);
        let second = send_action(deployment, &service, &key, number + 1);
        let (first, second) = tokio::join!(first, second);
        if let (Ok(first), Ok(second)) = (first, second) {
            alike += usize::from(first.outcome == second.outcome);
        }
        run_once += usize::from(deployment.back_ends.executions(&key).runs.len() == 1);
    }
    summary.actions = Some(super::summary::ActionsMeasured {
        service,
        sent: ACTIONS,
        run_once,
        same_outcome: alike,
    });
    summary.check(
        "each action sent twice under its key ran once".to_owned(),
        run_once == ACTIONS,
    );
    Ok(())
}

async fn send_action(
    deployment: &Deployment,
    service: &ServiceName,
    key: &str,
    number: usize,
) -> Result<ActionAnswer, CommandError> {
    let node = &deployment.nodes[number % deployment.nodes.len()];
    let path = format!("/v1/services/{service}/actions");
    let body = ActionBody {
        payload: format!("demo action {key}"),
        timeout_ms: None,
    };
    let headers = [("idempotency-key", key)];
    caller::ask(node.caller_address(), "action", &path, &headers, &body).await
}

/// Rolls out a new snapshot while queries run.
pub async fn snapshot_rollout(
    deployment: &mut Deployment,
    summary: &mut DeploymentSummary,
) -> Result<(), CommandError> {
    deployment.bundle.version = SECOND_VERSION.into();
    for service in &mut deployment.bundle.services {
        let newest = Snapshot {
            id: SnapshotId::new(SECOND_SNAPSHOT),
            layout: service.snapshots[0].layout.clone(),
        };
        service.snapshots.insert(0, newest);
    }
    deployment.back_ends.set_bundle(&deployment.bundle);
    deployment.publish_and_approve().await?;
    let options = deployment.load(&deployment.nodes, ROLLOUT_LOAD);
    let load = tokio::spawn(async move { load::run(&options).await });
    tokio::time::sleep(ROLLOUT_START).await;
    roll_out(deployment, summary, Some(Generation(1))).await?;
    if let Ok(report) = load.await {
        summary.note_load("load during the rollout of a snapshot", &report?);
    }
    for service in deployment.services(ServiceKind::Query) {
        let answer = send_query(deployment, &service).await?;
        summary.check(
            format!("{service} answers from snapshot {SECOND_SNAPSHOT}"),
            answer.snapshot.as_str() == SECOND_SNAPSHOT,
        );
    }
    Ok(())
}

/// One query through the node that was started last.
async fn send_query(
    deployment: &Deployment,
    service: &ServiceName,
) -> Result<QueryAnswer, CommandError> {
    let node = &deployment.nodes[deployment.nodes.len() - 1];
    query(node.caller_address(), service).await
}

/// One query.
pub async fn query(node: SocketAddr, service: &ServiceName) -> Result<QueryAnswer, CommandError> {
    let path = format!("/v1/services/{service}/query");
    let body = QueryBody {
        query: "demo".to_owned(),
        limit: 10,
        timeout_ms: None,
        minimum_coverage: None,
    };
    caller::ask(node, "query", &path, &[], &body).await
}

/// An operator who has not seen the second rollout is refused.
pub async fn stale_rollout(
    deployment: &Deployment,
    summary: &mut DeploymentSummary,
) -> Result<(), CommandError> {
    let stale = deployment.roll_out("1".into(), Some(Generation(1))).await;
    let refused = match &stale {
        Err(error) => error.exit_status() == ExitStatus::Refused,
        Ok(_) => false,
    };
    summary.stale_rollout = stale.err().map(|error| error.to_string());
    summary.check(
        "a rollout by a stale operator is refused".to_owned(),
        refused,
    );
    Ok(())
}

/// With the platform stopped, a new node learns the configuration from its peers.
pub async fn node_without_platform(
    deployment: &mut Deployment,
    summary: &mut DeploymentSummary,
) -> Result<(), CommandError> {
    if let Some(platform) = deployment.platform.take() {
        platform.stop().await;
    }
    let started = Instant::now();
    let node = deployment.add_node().await?;
    let ready = tokio::time::timeout(PATIENCE, node.wait_ready()).await;
    let ready = ready.unwrap_or(false);
    summary.ready_without_platform = ready.then(|| started.elapsed().as_secs_f64());
    summary.check(
        "a new node becomes ready while the platform is down".to_owned(),
        ready,
    );
    if let Some(service) = deployment.services(ServiceKind::Query).first() {
        let answer = send_query(deployment, service).await;
        let answered = answer.is_ok_and(|answer| answer.configuration.generation == Generation(2));
        summary.check("that node answers under generation 2".to_owned(), answered);
    }
    Ok(())
}

/// Adds up what the nodes counted.
pub async fn counters(deployment: &Deployment, summary: &mut DeploymentSummary) {
    for node in &deployment.nodes {
        if let Some(counters) = node.counters().await {
            summary.add_counters(&counters);
        }
    }
}
