//! The interface towards callers: HTTP/1.1 and JSON in, core events out, and answers back.

mod problem;
mod request;
#[cfg(test)]
mod tests;

use crate::caller_table::{Account, Evicted, Phase, Pool};
use crate::input::{CallerReply, CallerRequest, DriverEnded, Input, InputSender};
use crate::unanswered::{OutcomeUnknown, Unanswered};
use bytes::{Buf, Bytes};
use futures_util::Stream;
use problem::Rejected;
use request::{Body, Head};
use serde::Serialize;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use thornbridge_core::CallerId;
use thornbridge_proto::{RequestId, ServiceName};
use tokio::sync::oneshot;
use warp::Filter;
use warp::filters::BoxedFilter;
use warp::http::{HeaderMap, HeaderValue, Method, StatusCode, header};
use warp::reply::Response;

/// Copies of a request beside its body: as it was parsed, and as it is sent to a back end.
const REQUEST_COPIES: usize = 2;
/// Response header: the id of the request, in answers and in problems.
pub(crate) const REQUEST_ID_HEADER: &str = "thornbridge-request";

/// What every handler needs.
#[derive(Clone)]
struct Callers {
    inputs: InputSender,
    next: Arc<AtomicU64>,
    body_read_timeout: Duration,
}

/// Which interface a request came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Endpoint {
    Query,
    Actions,
}

/// The routes; every other path gets a problem with status 404.
pub(crate) fn routes(inputs: InputSender, body_read_timeout: Duration) -> BoxedFilter<(Response,)> {
    let callers = Callers {
        inputs,
        next: Arc::default(),
        body_read_timeout,
    };
    let query = endpoint(callers.clone(), Endpoint::Query, "query");
    let actions = endpoint(callers, Endpoint::Actions, "actions");
    let unknown = warp::path::full().map(|path: warp::path::FullPath| {
        problem::response(&Rejected::unknown_path(path.as_str()), None)
    });
    query.or(actions).unify().or(unknown).unify().boxed()
}

fn endpoint(
    callers: Callers,
    endpoint: Endpoint,
    segment: &'static str,
) -> BoxedFilter<(Response,)> {
    warp::path!("v1" / "services" / String / ..)
        .and(warp::path(segment))
        .and(warp::path::end())
        .and(warp::method())
        .and(warp::header::headers_cloned())
        .and(warp::body::stream())
        .and(warp::ext::get::<Arc<Account>>())
        .then(
            move |service: String, method, headers, body, account: Arc<Account>| {
                let callers = callers.clone();
                async move {
                    let service = ServiceName::from(service);
                    let account = account.as_ref();
                    callers
                        .handle(account, endpoint, service, method, headers, body)
                        .await
                }
            },
        )
        .boxed()
}

impl Callers {
    async fn handle<S, B>(
        self,
        account: &Account,
        endpoint: Endpoint,
        service: ServiceName,
        method: Method,
        headers: HeaderMap,
        body: S,
    ) -> Response
    where
        S: Stream<Item = Result<B, warp::Error>>,
        B: Buf,
    {
        account.set_phase(Phase::AwaitingCaller);
        let read = self
            .read(account, endpoint, service, method, &headers, body)
            .await;
        let (request, body_bytes) = match read {
            Ok(read) => read,
            Err(rejected) => return problem::response(&rejected, None),
        };
        let copies = account.reserve(Pool::Requests, body_bytes * REQUEST_COPIES);
        let Ok(_copies) = copies.await else {
            return problem::response(&Rejected::overloaded(), None);
        };
        account.set_phase(Phase::AwaitingAnswer);
        let answer = self.ask(request).await;
        account.set_phase(Phase::AwaitingCaller);
        match answer {
            Ok(reply) => respond(account, reply).await,
            Err(Unanswered::NotAccepted) => problem::response(&Rejected::stopping(), None),
            Err(Unanswered::OutcomeUnknown(unknown)) => without_answer(unknown),
        }
    }

    /// Reads a request, and the length of its body.
    async fn read<S, B>(
        &self,
        account: &Account,
        endpoint: Endpoint,
        service: ServiceName,
        method: Method,
        headers: &HeaderMap,
        body: S,
    ) -> Result<(CallerRequest, usize), Rejected>
    where
        S: Stream<Item = Result<B, warp::Error>>,
        B: Buf,
    {
        let head = Head::check(endpoint, &method, headers)?;
        let reading = Body::read(account, request::announced_length(headers), body);
        let body: Bytes = tokio::time::timeout(self.body_read_timeout, reading)
            .await
            .map_err(|_| Rejected::slow_body())??;
        Ok((head.parse(service, &body)?, body.len()))
    }

    /// Hands a request to the core. Dropping the future tells the core that the caller is gone.
    async fn ask(&self, request: CallerRequest) -> Result<CallerReply, Unanswered> {
        let caller = CallerId(self.next.fetch_add(1, Ordering::Relaxed) + 1);
        let (reply, receiver) = oneshot::channel();
        let input = Input::Caller {
            caller,
            request,
            reply,
        };
        let mut presence = Presence {
            caller,
            inputs: &self.inputs,
            answered: false,
        };
        let taken = self.inputs.send(input).await;
        taken.map_err(|DriverEnded| Unanswered::NotAccepted)?;
        let reply = receiver.await;
        presence.answered = true;
        reply.map_err(|_| Unanswered::OutcomeUnknown(OutcomeUnknown))
    }
}

/// A caller that waits. hyper drops the handler when the connection breaks, and this with it.
struct Presence<'a> {
    caller: CallerId,
    inputs: &'a InputSender,
    answered: bool,
}

impl Drop for Presence<'_> {
    fn drop(&mut self) {
        if !self.answered {
            self.inputs.caller_gone(self.caller);
        }
    }
}

/// Stands for no response: the server breaks the connection instead of sending it.
fn without_answer(unknown: OutcomeUnknown) -> Response {
    let mut response = Response::default();
    *response.status_mut() = StatusCode::BAD_GATEWAY;
    response.extensions_mut().insert(unknown);
    response
}

async fn respond(account: &Account, reply: CallerReply) -> Response {
    match reply {
        CallerReply::Query(answer) => json(account, &answer, answer.request_id).await,
        CallerReply::Action(answer) => json(account, &answer, answer.request_id).await,
        CallerReply::Refusal(refusal) => problem::refusal(&refusal),
    }
}

/// The answer, counted until it is written to its connection.
async fn json<T: Serialize>(account: &Account, answer: &T, request: RequestId) -> Response {
    let Ok(body) = serde_json::to_vec(answer) else {
        return problem::response(&Rejected::unencodable(), Some(request));
    };
    let reserved = account.reserve(Pool::Answers, body.len()).await;
    let body = match reserved {
        Ok(reservation) => reservation.hold(Bytes::from(body)),
        // The connection of an evicted account is closed.
        Err(Evicted) => Bytes::new(),
    };
    let mut response = Response::new(body.into());
    let headers = response.headers_mut();
    headers.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    insert_request_id(headers, request);
    *response.status_mut() = StatusCode::OK;
    response
}

fn insert_request_id(headers: &mut HeaderMap, request: RequestId) {
    if let Ok(value) = HeaderValue::from_str(&request.to_string()) {
        headers.insert(REQUEST_ID_HEADER, value);
    }
}
