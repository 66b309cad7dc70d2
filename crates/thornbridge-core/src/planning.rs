//! What planning a query and planning an action have in common.

use crate::configuration::ActiveConfiguration;
use std::sync::Arc;
use std::time::Duration;
use thornbridge_config::bundle::{Service, ServiceKind};
use thornbridge_proto::ServiceName;
use thornbridge_proto::caller::RefusalReason;
use thornbridge_proto::limits::CALLER_TIMEOUT;

/// A request that cannot be run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct PlanRefusal {
    /// Why.
    pub(crate) reason: RefusalReason,
    /// One sentence for the operator of the caller.
    pub(crate) detail: String,
}

pub(crate) fn refuse<T>(
    reason: RefusalReason,
    detail: impl Into<String>,
) -> Result<T, PlanRefusal> {
    let detail = detail.into();
    Err(PlanRefusal { reason, detail })
}

/// The service that is asked, if it takes this kind of request.
pub(crate) fn find_service<'a>(
    active: Option<&'a Arc<ActiveConfiguration>>,
    name: &ServiceName,
    kind: ServiceKind,
) -> Result<(&'a Arc<ActiveConfiguration>, &'a Service), PlanRefusal> {
    let Some(active) = active else {
        let detail = "this node has no configuration yet";
        return refuse(RefusalReason::NotReady, detail);
    };
    let Some(service) = active.service(name) else {
        let detail = format!("the configuration has no service {name:?}");
        return refuse(RefusalReason::UnknownService, detail);
    };
    if service.kind != kind {
        let taken = match service.kind {
            ServiceKind::Query => "queries, not actions",
            ServiceKind::Action => "actions, not queries",
        };
        let detail = format!("service {name:?} takes {taken}");
        return refuse(RefusalReason::WrongKind, detail);
    }
    Ok((active, service))
}

/// Checks the time that a caller allows.
pub(crate) fn check_timeout(timeout: Option<Duration>) -> Result<(), PlanRefusal> {
    let timeout = timeout.unwrap_or(CALLER_TIMEOUT);
    if timeout > Duration::ZERO && timeout <= CALLER_TIMEOUT {
        return Ok(());
    }
    let most = CALLER_TIMEOUT.as_millis();
    let asked = timeout.as_millis();
    let detail = format!("timeout is {asked} ms; 1 to {most} ms is allowed");
    refuse(RefusalReason::Invalid, detail)
}
