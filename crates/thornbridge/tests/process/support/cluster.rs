//! A platform, back ends and nodes as processes, with keys and a bundle in a directory of their own.

use super::bundle::{SNAPSHOT, bundle_text};
use super::node::{LIMIT, NodeProgram, get};
use super::program::{Finished, Program, run};
use super::wait::until;
use hyper::Method;
use serde::Serialize;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::Path;
use tempfile::TempDir;
use thornbridge_config::bundle::Bundle;
use thornbridge_config::parse;
use thornbridge_proto::Generation;
use thornbridge_proto::caller::QueryAnswer;
use thornbridge_rehearsal::http_client::{json_request, send_once};
use thornbridge_rehearsal::stand_in::back_end::{
    BackEndFaults, BackEndState, BackEndsReady, expected_hits_of,
};
use thornbridge_rehearsal::stand_in::platform::{PlatformCounters, PlatformFaults, PlatformReady};

const NOWHERE: &str = "127.0.0.1:0";

/// The processes of one test. Fields drop in this order: nodes first.
#[derive(Debug)]
pub struct Cluster {
    pub nodes: Vec<NodeProgram>,
    pub back_ends: Program,
    pub back_ends_ready: BackEndsReady,
    pub platform: Program,
    pub platform_address: SocketAddr,
    directory: TempDir,
    trusted_key: String,
    more_settings: String,
    started_nodes: usize,
}

impl Cluster {
    /// A cluster whose nodes all have the first version in force.
    pub async fn ready(nodes: usize) -> Self {
        Self::ready_with(nodes, "").await
    }

    /// The same, with further lines of settings.
    pub async fn ready_with(nodes: usize, more_settings: &str) -> Self {
        let cluster = Self::start(nodes, more_settings).await;
        cluster.publish_and_approve("1").await;
        assert_eq!(cluster.rollout("1").await.code, Some(0));
        cluster.await_generation(Generation(1)).await;
        cluster
    }

    /// A cluster whose platform holds nothing yet.
    pub async fn without_configuration(nodes: usize) -> Self {
        Self::start(nodes, "").await
    }

    async fn start(nodes: usize, more_settings: &str) -> Self {
        let directory = TempDir::new().expect("directory");
        let path = directory.path();
        let trusted_key = make_keys(path).await;
        std::fs::write(
            path.join("plan.toml"),
            bundle_text("1", &Default::default()),
        )
        .expect("bundle");
        let arguments = ["stand-in", "platform", "--listen", NOWHERE];
        let (platform, ready) = Program::start::<PlatformReady>(path, "platform", &arguments);
        let arguments = ["stand-in", "back-end", "--free-ports", "plan.toml"];
        let (back_ends, back_ends_ready) = Program::start(path, "back-ends", &arguments);
        let mut cluster = Self {
            nodes: Vec::new(),
            back_ends,
            back_ends_ready,
            platform,
            platform_address: ready.address,
            directory,
            trusted_key,
            more_settings: more_settings.to_owned(),
            started_nodes: 0,
        };
        // The settings of any node tell operators which keys count.
        cluster.write_settings("operator");
        for _ in 0..nodes {
            cluster.start_node();
        }
        cluster
    }

    /// Starts one more node, which joins through those that there are; its position.
    pub fn start_node(&mut self) -> usize {
        self.started_nodes += 1;
        let name = format!("node-{}", self.started_nodes);
        let file = self.write_settings(&name);
        let path = self.directory.path();
        let (program, ready) = Program::start(path, &name, &["node", "--settings", &file]);
        self.nodes.push(NodeProgram { program, ready });
        self.nodes.len() - 1
    }

    fn write_settings(&self, name: &str) -> String {
        let file = format!("{name}.toml");
        let settings = self.settings(name);
        std::fs::write(self.directory.path().join(&file), settings).expect("settings");
        file
    }

    fn settings(&self, name: &str) -> String {
        let seeds = self.nodes.iter();
        let seeds: Vec<String> = seeds
            .map(|node| format!("\"{}\"", node.ready.peer_address))
            .collect();
        format!(
            r#"
name = "{name}"
zone = "a"
region = "north"
caller_address = "{NOWHERE}"
operator_address = "{NOWHERE}"
peer_address = "{NOWHERE}"
platform_address = "{}"
seeds = [{}]
cluster_key_file = "cluster.key"
{}

{}
"#,
            self.platform_address,
            seeds.join(", "),
            self.more_settings,
            self.trusted_key
        )
    }

    /// Runs a command in the cluster's directory.
    pub async fn command(&self, arguments: &[&str]) -> Finished {
        run(self.directory.path(), arguments).await
    }

    /// Runs a command against the platform, with JSON as the result.
    pub async fn operator(&self, arguments: &[&str]) -> Finished {
        let platform = self.platform_address.to_string();
        let mut all = arguments.to_vec();
        all.extend(["--platform", &platform, "--format", "json"]);
        self.command(&all).await
    }

    /// Publishes and approves a version.
    pub async fn publish_and_approve(&self, version: &str) {
        let file = format!("bundle-{version}.toml");
        let text = bundle_text(version, &self.back_ends_ready.addresses);
        std::fs::write(self.directory.path().join(&file), text).expect("bundle");
        let published = self.operator(&["bundle", "publish", &file]).await;
        assert_eq!(published.code, Some(0), "{published:?}");
        let approved = self
            .operator(&["approve", version, "--key", "ops.key"])
            .await;
        assert_eq!(approved.code, Some(0), "{approved:?}");
    }

    /// Asks to put a version in force.
    pub async fn rollout(&self, version: &str) -> Finished {
        self.rollout_by(version, "tester").await
    }

    /// Asks to put a version in force, as someone, where a generation is still the present one.
    pub async fn rollout_after(&self, generation: u64, version: &str, author: &str) -> Finished {
        let generation = generation.to_string();
        let expected = ["--expected-generation", &generation];
        self.rollout_with(version, author, &expected).await
    }

    /// Asks to put a version in force, as someone.
    pub async fn rollout_by(&self, version: &str, author: &str) -> Finished {
        self.rollout_with(version, author, &[]).await
    }

    /// Asks to put a version in force, as automation.
    pub async fn rollout_by_automation(&self, version: &str) -> Finished {
        self.rollout_with(version, "robot", &["--automation"]).await
    }

    /// Publishes, under a version, another bundle than [`Self::bundle`].
    pub async fn publish_other_content(&self, version: &str) -> Finished {
        let text = bundle_text(version, &Default::default());
        std::fs::write(self.directory.path().join("other.toml"), text).expect("bundle");
        self.operator(&["bundle", "publish", "other.toml"]).await
    }

    async fn rollout_with(&self, version: &str, author: &str, more: &[&str]) -> Finished {
        let settings = ["--settings", "operator.toml", "--author", author];
        let mut arguments = vec!["rollout", "start", version];
        arguments.extend(settings);
        arguments.extend(more);
        self.operator(&arguments).await
    }

    /// Waits until every node has a generation in force and takes callers.
    pub async fn await_generation(&self, generation: Generation) {
        for node in &self.nodes {
            let what = format!("{generation} in force on {}", node.ready.node);
            until(&what, async || {
                let here = node.generation().await? >= generation;
                (here && node.is_ready().await).then_some(())
            })
            .await;
        }
    }

    /// Waits for a generation on one node and checks at each look that it does not fall.
    pub async fn await_generation_on(&self, node: usize, wanted: Generation) {
        let mut last = Generation(0);
        until(&format!("{wanted} on node {node}"), async || {
            let generation = self.nodes[node].generation().await?;
            assert!(generation >= last, "fell from {last} to {generation}");
            last = generation;
            (generation >= wanted).then_some(())
        })
        .await;
    }

    /// The bundle of a version.
    pub fn bundle(&self, version: &str) -> Bundle {
        parse::bundle(&bundle_text(version, &self.back_ends_ready.addresses)).expect("bundle")
    }

    /// Checks that an answer holds exactly the hits of the shards that it says it covers, all of
    /// the one snapshot.
    pub fn assert_truthful(&self, answer: &QueryAnswer, text: &str) {
        let coverage = &answer.coverage;
        let missing = |shard| {
            coverage
                .missing
                .iter()
                .any(|missing| missing.shard == shard)
        };
        assert_eq!(answer.snapshot.as_str(), SNAPSHOT);
        assert_eq!(
            coverage.shards_answered as usize + coverage.missing.len(),
            coverage.shards_total as usize
        );
        let bundle = self.bundle("1");
        let search = &bundle.services[0];
        let expected = expected_hits_of(search, &answer.snapshot, text, LIMIT, |shard| {
            !missing(shard)
        });
        assert_eq!(answer.hits, expected, "{answer:?}");
    }

    /// Checks that an answer covers everything and is right.
    pub fn assert_whole(&self, answer: &QueryAnswer, text: &str) {
        assert_eq!(answer.coverage.fraction, 1.0, "{answer:?}");
        self.assert_truthful(answer, text);
    }

    /// Sets all faults of a back end.
    pub async fn set_back_end_faults(&self, id: &str, faults: &BackEndFaults) {
        let path = format!("/stand-in/back-ends/{id}/faults");
        post(self.back_ends_ready.control, &path, faults).await;
    }

    /// Sets all faults of all back ends.
    pub async fn set_all_back_end_faults(&self, faults: &BackEndFaults) {
        post(self.back_ends_ready.control, "/stand-in/faults", faults).await;
    }

    /// Sets all faults of the platform.
    pub async fn set_platform_faults(&self, faults: &PlatformFaults) {
        post(self.platform_address, "/stand-in/faults", faults).await;
    }

    /// What the platform did.
    pub async fn platform_counters(&self) -> PlatformCounters {
        let response = get(self.platform_address, "/stand-in/counters").await;
        response.expect("control").json().expect("counters")
    }

    /// An object's body in the platform's store.
    pub async fn stored(&self, path: &str) -> Option<Value> {
        let response = get(self.platform_address, &format!("/objects/{path}")).await;
        let object: Value = response.expect("platform").json().ok()?;
        serde_json::from_str(object["body"].as_str()?).ok()
    }

    /// Each back end's state.
    pub async fn back_end_states(&self) -> Vec<BackEndState> {
        let response = get(self.back_ends_ready.control, "/stand-in/back-ends").await;
        response.expect("control").json().expect("states")
    }

    /// One back end's state.
    pub async fn back_end_state(&self, id: &str) -> BackEndState {
        let states = self.back_end_states().await;
        let state = states.into_iter().find(|state| state.id.as_str() == id);
        state.expect("back end")
    }

    /// Waits until so many pieces of work run on a service's back ends.
    pub async fn await_running(&self, back_ends: &[&str], work: u32) {
        until("work running", async || {
            let states = self.back_end_states().await;
            let of_service = states.iter();
            let of_service = of_service.filter(|state| back_ends.contains(&state.id.as_str()));
            let running: u32 = of_service.map(|state| state.counters.running).sum();
            (running >= work).then_some(())
        })
        .await;
    }
}

async fn make_keys(directory: &Path) -> String {
    let cluster = run(directory, &["key", "cluster", "--output", "cluster.key"]).await;
    assert_eq!(cluster.code, Some(0), "{cluster:?}");
    let arguments = ["key", "generate", "--id", "ops", "--output", "ops.key"];
    let trusted = run(directory, &arguments).await;
    assert_eq!(trusted.code, Some(0), "{trusted:?}");
    trusted.output
}

async fn post<T: Serialize>(address: SocketAddr, path: &str, body: &T) {
    let request = json_request(Method::POST, path, body).expect("request");
    let response = send_once(address, request).await.expect("control");
    assert!(response.status.is_success(), "{response:?}");
}
