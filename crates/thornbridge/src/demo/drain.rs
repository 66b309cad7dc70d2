//! The drain of one node while queries run: what it had taken is answered whole.

use super::deployment::Deployment;
use super::steps;
use super::summary::{DeploymentSummary, DrainMeasured};
use crate::error::CommandError;
use crate::http_client::HttpError;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use thornbridge_config::bundle::ServiceKind;
use thornbridge_proto::ServiceName;
use thornbridge_proto::caller::Executed;
use thornbridge_rehearsal::load;
use tokio::task::JoinSet;
use tokio::time::Instant;

/// Time between two queries to the node that is drained.
const QUERY_INTERVAL: Duration = Duration::from_millis(2);

/// Queries sent to it before the stop is asked for, and after.
const QUERIES_BEFORE: usize = 300;
const QUERIES_AFTER: usize = 100;

/// Length of the load on the other nodes.
const LOAD: Duration = Duration::from_secs(1);

/// What became of one query to the node that is drained.
enum Fate {
    Answered,
    RefusedNotRun,
    NotConnected,
    CutOff,
}

/// Drains the first node while it and the others are asked.
pub async fn drain_under_load(
    deployment: &mut Deployment,
    summary: &mut DeploymentSummary,
) -> Result<(), CommandError> {
    let Some(service) = deployment.services(ServiceKind::Query).first().cloned() else {
        return Ok(());
    };
    let options = deployment.load(&deployment.nodes[1..], LOAD);
    let load = tokio::spawn(async move { load::run(&options).await });
    let mut node = deployment.nodes.remove(0);
    let stopping = Arc::new(AtomicBool::new(false));
    let mut queries = JoinSet::new();
    send(&mut queries, &node, &service, QUERIES_BEFORE, &stopping).await;
    let counted = node.counters().await;
    let started = Instant::now();
    stopping.store(true, Ordering::SeqCst);
    node.stop().await;
    send(&mut queries, &node, &service, QUERIES_AFTER, &stopping).await;
    node.wait().await;
    let seconds = started.elapsed().as_secs_f64();
    let mut measured = DrainMeasured {
        seconds,
        ..DrainMeasured::default()
    };
    while let Some(fate) = queries.join_next().await {
        count(&mut measured, fate.unwrap_or(Fate::CutOff));
    }
    if let Some(counted) = counted {
        summary.add_counters(&counted);
    }
    summary.check(
        "the drained node cut off no query".to_owned(),
        measured.cut_off == 0 && measured.answered > 0,
    );
    summary.drain = Some(measured);
    if let Ok(report) = load.await {
        summary.note_load("load on the other nodes during the drain", &report?);
    }
    Ok(())
}

async fn send(
    queries: &mut JoinSet<Fate>,
    node: &thornbridge_node::RunningNode,
    service: &ServiceName,
    count: usize,
    stopping: &Arc<AtomicBool>,
) {
    for _ in 0..count {
        let stopping = Arc::clone(stopping);
        queries.spawn(fate_of_query(
            node.caller_address(),
            service.clone(),
            stopping,
        ));
        tokio::time::sleep(QUERY_INTERVAL).await;
    }
}

async fn fate_of_query(node: SocketAddr, service: ServiceName, stopping: Arc<AtomicBool>) -> Fate {
    match steps::query(node, &service).await {
        Ok(_) => Fate::Answered,
        Err(CommandError::RefusedByNode { problem, .. }) if problem.executed == Executed::No => {
            Fate::RefusedNotRun
        }
        Err(CommandError::Node {
            source: HttpError::Connect { .. },
            ..
        }) if stopping.load(Ordering::SeqCst) => Fate::NotConnected,
        Err(_) => Fate::CutOff,
    }
}

fn count(measured: &mut DrainMeasured, fate: Fate) {
    match fate {
        Fate::Answered => measured.answered += 1,
        Fate::RefusedNotRun => measured.refused_not_run += 1,
        Fate::NotConnected => measured.not_connected += 1,
        Fate::CutOff => measured.cut_off += 1,
    }
}
