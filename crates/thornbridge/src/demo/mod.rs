//! Both deployments embedded: platform, back ends, real nodes and callers over real sockets in
//! one process, from the first rollout to the drain of a node.

mod deployment;
mod drain;
mod steps;
mod summary;

use crate::error::CommandError;
use deployment::Deployment;
use summary::{DemoSummary, DeploymentSummary};
use thornbridge_config::bundle::Bundle;
use thornbridge_config::parse;
use thornbridge_config::problem::InvalidFile;
use tokio::time::Instant;

/// Queries a second for each deployment: about a fifth of what its back ends bear.
pub const DEFAULT_RATE: f64 = 250.0;

const SAMPLES: [(&str, &str); 2] = [
    (
        "examples/th-north.toml",
        include_str!("../../../../examples/th-north.toml"),
    ),
    (
        "examples/dk-east.toml",
        include_str!("../../../../examples/dk-east.toml"),
    ),
];

/// Runs both deployments, one after the other.
pub async fn run(rate: f64, seed: u64) -> Result<DemoSummary, CommandError> {
    let started = Instant::now();
    let mut deployments = Vec::new();
    for (file, text) in SAMPLES {
        let bundle = sample(file, text)?;
        deployments.push(run_deployment(bundle, rate, seed).await?);
    }
    Ok(DemoSummary {
        deployments,
        seconds: started.elapsed().as_secs_f64(),
    })
}

fn sample(file: &str, text: &str) -> Result<Bundle, CommandError> {
    let invalid = |problems| InvalidFile::new(std::path::Path::new(file), problems);
    let bundle = parse::bundle(text).map_err(invalid);
    Ok(bundle.map_err(parse::ReadError::from)?)
}

async fn run_deployment(
    bundle: Bundle,
    rate: f64,
    seed: u64,
) -> Result<DeploymentSummary, CommandError> {
    let name = bundle.deployment.clone();
    let mut deployment = Deployment::start(bundle, rate, seed).await?;
    let mut summary = DeploymentSummary::new(name);
    steps::first_rollout(&mut deployment, &mut summary).await?;
    steps::steady_load(&deployment, &mut summary).await?;
    steps::actions(&deployment, &mut summary).await?;
    steps::snapshot_rollout(&mut deployment, &mut summary).await?;
    steps::stale_rollout(&deployment, &mut summary).await?;
    drain::drain_under_load(&mut deployment, &mut summary).await?;
    steps::node_without_platform(&mut deployment, &mut summary).await?;
    steps::counters(&deployment, &mut summary).await;
    deployment.stop().await;
    Ok(summary)
}
