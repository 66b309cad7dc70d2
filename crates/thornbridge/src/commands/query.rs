//! `thornbridge query`: one search through a node.

use crate::caller;
use crate::error::CommandError;
use crate::output::{self, Format};
use bpaf::Bpaf;
use std::net::SocketAddr;
use thornbridge_proto::caller::{QueryAnswer, QueryBody};

/// Ask a node to search a service
///
///
/// Exit code 3 where the node refused, 4 where it is unknown what came of it.
///
///
/// Example: thornbridge query roster-desk "nurse" --node 127.0.0.1:20101 --limit 5
#[derive(Clone, Debug, Bpaf)]
#[bpaf(command("query"), generate(query))]
pub struct Query {
    /// Address of a node for callers
    #[bpaf(argument("ADDRESS"), env("THORNBRIDGE_NODE"))]
    node: SocketAddr,
    /// Most hits wanted
    #[bpaf(argument("NUMBER"), fallback(10))]
    limit: u32,
    /// Time allowed, e.g. 80ms; the service's own where absent
    #[bpaf(argument::<humantime::Duration>("DURATION"), optional)]
    timeout: Option<humantime::Duration>,
    /// Least coverage that is worth an answer, 0 to 1; the service's own where absent
    #[bpaf(argument("FRACTION"))]
    minimum_coverage: Option<f64>,
    /// Form of the result: text or json
    #[bpaf(argument("FORMAT"), fallback(Format::Text))]
    format: Format,
    /// Service to search
    #[bpaf(positional("SERVICE"))]
    service: String,
    /// Text to search for
    #[bpaf(positional("TEXT"))]
    text: String,
}

impl Query {
    /// Runs the command.
    pub async fn run(self) -> Result<(), CommandError> {
        let body = QueryBody {
            query: self.text,
            limit: self.limit,
            timeout_ms: self.timeout.map(caller::milliseconds),
            minimum_coverage: self.minimum_coverage,
        };
        let path = format!("/v1/services/{}/query", caller::path_segment(&self.service));
        let answer: QueryAnswer = caller::ask(self.node, "query", &path, &[], &body).await?;
        output::print(self.format, &answer, as_text)
    }
}

fn as_text(answer: &QueryAnswer) -> String {
    let coverage = &answer.coverage;
    let mut text = format!(
        "request {}, snapshot {}, generation {} (version {})\ncoverage {:.4}: {} of {} shards\n",
        answer.request_id,
        answer.snapshot,
        answer.configuration.generation,
        answer.configuration.version,
        coverage.fraction,
        coverage.shards_answered,
        coverage.shards_total
    );
    for missing in &coverage.missing {
        text += &format!("missing shard {}: {:?}\n", missing.shard, missing.reason);
    }
    for hit in &answer.hits {
        text += &format!("{:>10.4}  {}  {}\n", hit.score, hit.document, hit.title);
    }
    text
}
