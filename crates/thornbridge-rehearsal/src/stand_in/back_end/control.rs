//! The control endpoint of a process of back ends.

use super::Fleet;
use crate::stand_in::server::{
    Body, Handler, ListenError, Outcome, Rejection, empty, json, parse_json, read_body, text,
};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use std::sync::Arc;
use thornbridge_config::bundle::Bundle;
use thornbridge_proto::BackEndId;
use thornbridge_proto::limits::PLATFORM_OBJECT_BYTES;

/// Answers control requests.
#[derive(Debug)]
pub struct ControlHandler {
    fleet: Arc<Fleet>,
}

impl ControlHandler {
    /// Control over a fleet.
    pub fn new(fleet: Arc<Fleet>) -> Self {
        Self { fleet }
    }

    async fn control(&self, request: Request<Incoming>) -> Result<Response<Body>, Rejection> {
        let method = request.method().clone();
        let path = request.uri().path().to_owned();
        let body = read_body(request.into_body(), PLATFORM_OBJECT_BYTES).await?;
        let segments: Vec<&str> = path.trim_start_matches('/').split('/').collect();
        match (method.as_str(), segments.as_slice()) {
            ("GET", ["stand-in", "back-ends"]) => Ok(json(StatusCode::OK, &self.fleet.states())),
            ("GET", ["stand-in", "executions", key]) => {
                let executions = self.fleet.executions.of_key(key);
                Ok(json(StatusCode::OK, &executions))
            }
            ("POST", ["stand-in", "faults"]) => {
                let faults = parse_json(&body)?;
                let set = self.fleet.set_all_faults(&faults).await;
                set.map_err(cannot_listen)?;
                Ok(empty(StatusCode::NO_CONTENT))
            }
            ("POST", ["stand-in", "back-ends", id, "faults"]) => self.set_faults(id, &body).await,
            ("PUT", ["stand-in", "bundle"]) => {
                let bundle: Bundle = parse_json(&body)?;
                self.fleet.set_bundle(&bundle);
                Ok(empty(StatusCode::NO_CONTENT))
            }
            _ => Err(empty(StatusCode::NOT_FOUND).into()),
        }
    }

    async fn set_faults(&self, id: &str, body: &[u8]) -> Result<Response<Body>, Rejection> {
        let Some(server) = self.fleet.servers.get(&BackEndId::new(id)) else {
            return Err(text(StatusCode::NOT_FOUND, "no such back end").into());
        };
        let set = server.set_faults(parse_json(body)?).await;
        set.map_err(cannot_listen)?;
        Ok(empty(StatusCode::NO_CONTENT))
    }
}

impl Handler for ControlHandler {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Outcome {
        let answer = self.control(request).await;
        Ok(answer.unwrap_or_else(|rejection| *rejection))
    }
}

fn cannot_listen(error: ListenError) -> Rejection {
    text(StatusCode::CONFLICT, error.to_string()).into()
}
