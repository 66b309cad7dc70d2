//! Validation shared by the planning of queries and actions.

use crate::configuration::ActiveConfiguration;
use std::sync::Arc;
use std::time::Duration;
use thornbridge_config::bundle::{Service, ServiceKind};
use thornbridge_proto::ServiceName;
use thornbridge_proto::caller::RefusalReason;
use thornbridge_proto::limits::CALLER_TIMEOUT;

/// Refusal of a request that cannot be planned.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct PlanRefusal {
    /// Reason of the refusal.
    pub(crate) reason: RefusalReason,
    /// Message for the operator of the caller.
    pub(crate) detail: String,
}

pub(crate) fn refuse<T>(
    reason: RefusalReason,
    detail: impl Into<String>,
) -> Result<T, PlanRefusal> {
    let detail = detail.into();
    Err(PlanRefusal { reason, detail })
}

/// Finds a service of the active configuration that accepts this kind of request.
pub(crate) fn find_service<'a>(
    active: Option<&'a Arc<ActiveConfiguration>>,
    name: &ServiceName,
    kind: ServiceKind,
) -> Result<(&'a Arc<ActiveConfiguration>, &'a Service), PlanRefusal> {
    let Some(active) = active else {
        let detail = "no configuration received yet";
        return refuse(RefusalReason::NotReady, detail);
    };
    let Some(service) = active.service(name) else {
        let detail = format!("service {name:?} is not in the configuration");
        return refuse(RefusalReason::UnknownService, detail);
    };
    if service.kind != kind {
        let accepted = match service.kind {
            ServiceKind::Query => "queries, not actions",
            ServiceKind::Action => "actions, not queries",
        };
        let detail = format!("service {name:?} accepts {accepted}");
        return refuse(RefusalReason::WrongKind, detail);
    }
    Ok((active, service))
}

/// Checks the caller's timeout.
pub(crate) fn check_timeout(timeout: Option<Duration>) -> Result<(), PlanRefusal> {
    let timeout = timeout.unwrap_or(CALLER_TIMEOUT);
    if timeout > Duration::ZERO && timeout <= CALLER_TIMEOUT {
        return Ok(());
    }
    let max_ms = CALLER_TIMEOUT.as_millis();
    let timeout_ms = timeout.as_millis();
    let detail = format!("timeout is {timeout_ms} ms; expected 1 to {max_ms} ms");
    refuse(RefusalReason::Invalid, detail)
}
