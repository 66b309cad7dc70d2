//! The interface towards operators: health, status, metrics, drain.

use crate::input::{InputSender, Inspection};
use crate::metrics::Metrics;
use bytes::Bytes;
use serde::Serialize;
use std::sync::Arc;
use std::time::Duration;
use thornbridge_core::Event;
use thornbridge_core::status::NodeReadiness;
use warp::Filter;
use warp::filters::BoxedFilter;
use warp::http::{HeaderValue, StatusCode, header};
use warp::reply::Response;

/// Time within which a driver that works answers. One that does not is stuck.
const DRIVER_ANSWER: Duration = Duration::from_secs(2);

/// Media type of the metrics.
const METRICS_MEDIA_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Body of `/livez` and `/readyz`.
#[derive(Debug, Serialize)]
struct Health {
    /// `ok`, or why not.
    status: String,
}

/// The operators' routes.
pub(crate) fn routes(inputs: InputSender, metrics: Arc<Metrics>) -> BoxedFilter<(Response,)> {
    let inputs = warp::any().map(move || inputs.clone());
    let live = warp::path!("livez").and(inputs.clone()).then(live);
    let ready = warp::path!("readyz").and(inputs.clone()).then(ready);
    let status = warp::path!("v1" / "status")
        .and(inputs.clone())
        .then(status);
    let metrics = warp::path!("metrics")
        .and(inputs.clone())
        .and(warp::any().map(move || Arc::clone(&metrics)))
        .then(scrape);
    let read = live.or(ready).unify().or(status).unify();
    let read = read.or(metrics).unify();
    let drain = warp::path!("v1" / "drain").and(inputs).then(drain);
    let unknown = warp::any().map(|| plain(StatusCode::NOT_FOUND, "there is nothing here"));
    warp::get()
        .and(read)
        .or(warp::post().and(drain))
        .unify()
        .or(unknown)
        .unify()
        .boxed()
}

async fn inspect(inputs: &InputSender) -> Option<Inspection> {
    let answered = tokio::time::timeout(DRIVER_ANSWER, inputs.inspect()).await;
    answered.ok()?.ok()
}

async fn live(inputs: InputSender) -> Response {
    match inspect(&inputs).await {
        Some(_) => health(StatusCode::OK, "ok"),
        None => driver_stuck(),
    }
}

async fn ready(inputs: InputSender) -> Response {
    let Some(inspection) = inspect(&inputs).await else {
        return driver_stuck();
    };
    match inspection.status.readiness {
        NodeReadiness::Ready => health(StatusCode::OK, "ok"),
        reason => health(StatusCode::SERVICE_UNAVAILABLE, readiness_text(&reason)),
    }
}

fn readiness_text(readiness: &NodeReadiness) -> &'static str {
    match readiness {
        NodeReadiness::Ready => "ok",
        NodeReadiness::NoConfiguration => {
            "no configuration: none was learnt yet from the platform or from peers"
        }
        NodeReadiness::LearningHealth => {
            "learning health: peers are being asked which back ends are leaving"
        }
        NodeReadiness::Leaving => "leaving: a planned stop is under way",
    }
}

async fn status(inputs: InputSender) -> Response {
    match inspect(&inputs).await {
        Some(inspection) => json(StatusCode::OK, &inspection.status),
        None => driver_stuck(),
    }
}

async fn scrape(inputs: InputSender, metrics: Arc<Metrics>) -> Response {
    let Some(inspection) = inspect(&inputs).await else {
        return driver_stuck();
    };
    match metrics.encode(&inspection) {
        Ok(text) => response(StatusCode::OK, METRICS_MEDIA_TYPE, text.into_bytes()),
        Err(error) => plain(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
    }
}

/// Starts a planned stop, as SIGTERM does.
async fn drain(inputs: InputSender) -> Response {
    match inputs.event(Event::StopRequested).await {
        Ok(()) => health(StatusCode::ACCEPTED, "leaving"),
        Err(_) => driver_stuck(),
    }
}

fn driver_stuck() -> Response {
    health(
        StatusCode::SERVICE_UNAVAILABLE,
        "the driver does not answer",
    )
}

fn health(status: StatusCode, words: &str) -> Response {
    let body = Health {
        status: words.to_owned(),
    };
    json(status, &body)
}

fn json<T: Serialize>(status: StatusCode, body: &T) -> Response {
    match serde_json::to_vec(body) {
        Ok(body) => response(status, "application/json", body),
        Err(error) => plain(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
    }
}

fn plain(status: StatusCode, words: &str) -> Response {
    response(status, "text/plain", words.as_bytes().to_vec())
}

fn response(status: StatusCode, media_type: &'static str, body: Vec<u8>) -> Response {
    let mut response = Response::new(Bytes::from(body).into());
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, HeaderValue::from_static(media_type));
    response
}
