//! Sends one request to a node and tells what came of it.

use super::options::{LoadKind, LoadOptions};
use super::schedule::DueRequest;
use crate::http_client::{ClientConnection, ClientError, ClientResponse, json_request};
use hyper::header::HeaderValue;
use hyper::{Method, StatusCode};
use std::collections::BTreeSet;
use std::future::Future;
use std::sync::{Mutex, PoisonError};
use thornbridge_proto::back_end::KEY_HEADER;
use thornbridge_proto::caller::{
    ActionBody, Executed, Problem, QueryAnswer, QueryBody, RefusalReason,
};

/// Waits so much longer than the request is allowed before it is given up.
const GIVE_UP_FACTOR: u32 = 2;

/// What came of one request.
#[derive(Clone, Debug, PartialEq)]
pub enum RequestOutcome {
    /// An answer; actions have a coverage of 1.
    Answered {
        /// Coverage of the answer.
        coverage: f64,
        /// Hits that name a document of an earlier hit of the answer.
        duplicates: u64,
    },
    /// A refusal, with its words on whether the request ran.
    Refused {
        /// Why.
        reason: RefusalReason,
        /// Whether it ran.
        executed: Executed,
    },
    /// No whole, well-formed response.
    Failed,
}

/// Sends requests.
pub trait RequestSender: Send + Sync + 'static {
    /// Sends one and waits for what comes of it.
    fn send(&self, request: DueRequest) -> impl Future<Output = RequestOutcome> + Send;
}

/// Sends to nodes over kept connections.
#[derive(Debug)]
pub struct NodeSender {
    options: LoadOptions,
    /// Idle connections of each node.
    idle: Vec<Mutex<Vec<ClientConnection>>>,
}

impl NodeSender {
    /// No connections yet.
    pub fn new(options: LoadOptions) -> Self {
        let idle = options.nodes.iter().map(|_| Mutex::default());
        Self {
            idle: idle.collect(),
            options,
        }
    }

    async fn connection(&self, node: usize) -> Result<ClientConnection, ClientError> {
        if let Some(connection) = self.idle_connection(node) {
            return Ok(connection);
        }
        ClientConnection::open(self.options.nodes[node]).await
    }

    fn idle_connection(&self, node: usize) -> Option<ClientConnection> {
        let mut idle = self.idle[node]
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        while let Some(connection) = idle.pop() {
            if !connection.is_closed() {
                return Some(connection);
            }
        }
        None
    }

    async fn exchange(&self, request: DueRequest) -> Result<ClientResponse, ClientError> {
        let mut connection = self.connection(request.node).await?;
        let response = match self.options.kind {
            LoadKind::Query => connection.send(self.query(request)?).await?,
            LoadKind::Action => connection.send(self.action(request)?).await?,
        };
        let mut idle = self.idle[request.node]
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        idle.push(connection);
        Ok(response)
    }

    fn query(&self, request: DueRequest) -> Result<HttpRequest, ClientError> {
        let service = &self.options.services[request.service].service;
        let body = QueryBody {
            query: format!("load {} {}", self.options.seed, request.number),
            limit: self.options.limit,
            timeout_ms: Some(self.timeout_ms()),
            minimum_coverage: None,
        };
        json_request(
            Method::POST,
            &format!("/v1/services/{service}/query"),
            &body,
        )
    }

    fn action(&self, request: DueRequest) -> Result<HttpRequest, ClientError> {
        let service = &self.options.services[request.service].service;
        let name = format!("load-{}-{}", self.options.seed, request.number);
        let body = ActionBody {
            payload: name.clone(),
            timeout_ms: Some(self.timeout_ms()),
        };
        let path = format!("/v1/services/{service}/actions");
        let mut http = json_request(Method::POST, &path, &body)?;
        if let Ok(key) = HeaderValue::from_str(&name) {
            http.headers_mut().insert(KEY_HEADER, key);
        }
        Ok(http)
    }

    fn timeout_ms(&self) -> u64 {
        u64::try_from(self.options.timeout.as_millis()).unwrap_or(u64::MAX)
    }
}

type HttpRequest = hyper::Request<http_body_util::Full<bytes::Bytes>>;

impl RequestSender for NodeSender {
    async fn send(&self, request: DueRequest) -> RequestOutcome {
        let longest = self.options.timeout * GIVE_UP_FACTOR;
        let exchange = tokio::time::timeout(longest, self.exchange(request));
        match exchange.await {
            Ok(Ok(response)) => outcome_of(self.options.kind, &response),
            Ok(Err(_)) | Err(_) => RequestOutcome::Failed,
        }
    }
}

fn outcome_of(kind: LoadKind, response: &ClientResponse) -> RequestOutcome {
    if response.status != StatusCode::OK {
        return match response.json::<Problem>() {
            Ok(problem) => RequestOutcome::Refused {
                reason: problem.reason,
                executed: problem.executed,
            },
            Err(_) => RequestOutcome::Failed,
        };
    }
    if kind == LoadKind::Action {
        return RequestOutcome::Answered {
            coverage: 1.0,
            duplicates: 0,
        };
    }
    match response.json::<QueryAnswer>() {
        Ok(answer) => RequestOutcome::Answered {
            coverage: answer.coverage.fraction,
            duplicates: duplicates(&answer),
        },
        Err(_) => RequestOutcome::Failed,
    }
}

fn duplicates(answer: &QueryAnswer) -> u64 {
    let hits = &answer.hits;
    let documents: BTreeSet<&str> = hits.iter().map(|hit| hit.document.as_str()).collect();
    (hits.len() - documents.len()) as u64
}
