//! Interface between a session and its flow: requests, replies, and retryable failures.

use super::error::{OperatorError, StoredName};
use super::{OperatorOutcome, OperatorSession};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::fmt::Debug;
use thornbridge_proto::platform::{
    ObjectKind, PlatformFailure, PlatformRequest, PlatformResponse, Precondition, StoredObject,
};

/// Reply to the last request of a flow.
#[derive(Debug)]
pub(super) enum Reply {
    /// The object read; `None` if it does not exist.
    Object(Option<StoredObject>),
    /// The write took effect.
    Written,
    /// The precondition of the write failed.
    Conflict,
    /// The outcome of the write is unknown; a delayed write can still take effect.
    Lost,
}

/// Next step of a flow.
#[derive(Debug)]
pub(super) enum NextStep {
    /// Send a request.
    Request(PlatformRequest),
    /// Repeat the last request, a read, after a backoff.
    RetryRead,
    /// The command has ended.
    Done(Box<Result<OperatorOutcome, OperatorError>>),
}

impl NextStep {
    pub(super) fn done(result: Result<OperatorOutcome, OperatorError>) -> Self {
        Self::Done(Box::new(result))
    }
}

/// State machine of one command, driven by [`OperatorSession`].
pub(super) trait Flow: Debug + Send {
    /// Clones the flow in its current state.
    fn boxed_clone(&self) -> Box<dyn Flow>;
    /// Returns the first request.
    fn start(&mut self) -> NextStep;
    /// Handles the reply to the last request.
    fn handle_reply(&mut self, reply: Reply) -> NextStep;
    /// Returns the result of the command after the last retry.
    fn retries_exhausted(
        &mut self,
        failure: &PlatformFailure,
    ) -> Result<OperatorOutcome, OperatorError>;
}

impl Clone for Box<dyn Flow> {
    fn clone(&self) -> Self {
        self.boxed_clone()
    }
}

/// Converts a platform result into a reply, or returns a failure that the session handles.
pub(super) fn classify(
    request: &PlatformRequest,
    result: Result<PlatformResponse, PlatformFailure>,
) -> Result<Reply, PlatformFailure> {
    match result {
        Ok(PlatformResponse::Object(object)) => Ok(Reply::Object(object)),
        Ok(PlatformResponse::Written { .. }) => Ok(Reply::Written),
        Ok(PlatformResponse::Objects { .. } | PlatformResponse::Machines(_)) => {
            Err(PlatformFailure::Refused {
                detail: format!("unexpected kind of reply to {}", describe(request)),
            })
        }
        Err(PlatformFailure::Conflict { .. }) => Ok(Reply::Conflict),
        Err(PlatformFailure::NoAnswer) if is_write(request) => Ok(Reply::Lost),
        Err(failure) => Err(failure),
    }
}

/// Whether a request certainly had no effect and can be sent again.
pub(super) fn is_safe_to_retry(request: &PlatformRequest, failure: &PlatformFailure) -> bool {
    match failure {
        PlatformFailure::Unreachable | PlatformFailure::TooManyReaders => true,
        PlatformFailure::NoAnswer => !is_write(request),
        PlatformFailure::Conflict { .. } | PlatformFailure::Refused { .. } => false,
    }
}

fn is_write(request: &PlatformRequest) -> bool {
    matches!(request, PlatformRequest::Put { .. })
}

/// Error of a request that the store refused.
pub(super) fn store_error(request: &PlatformRequest, failure: PlatformFailure) -> OperatorError {
    let detail = match failure {
        PlatformFailure::Refused { detail } => detail,
        other => format!("{other:?}"),
    };
    OperatorError::StoreRefused {
        step: describe(request),
        detail,
    }
}

/// Description of a request for error messages.
pub(super) fn describe(request: &PlatformRequest) -> String {
    match request {
        PlatformRequest::Get { kind, name } => format!("reading {}/{name}", kind.as_str()),
        PlatformRequest::List { kind } => format!("listing {}", kind.as_str()),
        PlatformRequest::Put { kind, name, .. } => format!("writing {}/{name}", kind.as_str()),
        PlatformRequest::ListMachines => "listing machines".to_owned(),
    }
}

/// Request for an object.
pub(super) fn get(kind: ObjectKind, name: &str) -> NextStep {
    NextStep::Request(PlatformRequest::Get {
        kind,
        name: name.to_owned(),
    })
}

/// Request to write an object as JSON.
pub(super) fn put<T: Serialize>(
    kind: ObjectKind,
    name: &str,
    value: &T,
    precondition: Precondition,
) -> NextStep {
    match serde_json::to_string(value) {
        Ok(body) => NextStep::Request(PlatformRequest::Put {
            kind,
            name: name.to_owned(),
            body,
            precondition,
        }),
        Err(error) => NextStep::done(Err(OperatorError::Encode {
            object: StoredName::new(kind, name),
            detail: error.to_string(),
        })),
    }
}

/// Decodes the body of a stored object.
pub(super) fn decode<T: DeserializeOwned>(object: &StoredObject) -> Result<T, OperatorError> {
    serde_json::from_str(&object.body).map_err(|error| OperatorError::Malformed {
        object: StoredName::new(object.kind, &object.name),
        detail: error.to_string(),
    })
}

/// Error of a command that ended before any write.
pub(super) fn unavailable(step: &str, failure: &PlatformFailure) -> OperatorError {
    OperatorError::StoreUnavailable {
        step: step.to_owned(),
        detail: match failure {
            PlatformFailure::TooManyReaders => "the store has too many readers".to_owned(),
            PlatformFailure::Unreachable => "the store cannot be reached".to_owned(),
            _ => "the store does not answer".to_owned(),
        },
    }
}

const _: fn() = || {
    fn sendable<T: Send>() {}
    sendable::<OperatorSession>();
};
