//! Refusal of requests before they are routed.

use super::Gateway;
use super::action::{GatewayAction, GatewayAnswer, RefusalReason, RefusalStatus};
use super::caller_try::CallerTry;
use super::event::RequestHead;
use super::telemetry::RequestSummary;
use crate::driver_action::CallerId;
use std::time::Duration;

/// Refusal of a request that was not routed.
pub(super) struct Refusal {
    pub(super) reason: RefusalReason,
    pub(super) status: RefusalStatus,
    pub(super) retry_after: Option<Duration>,
    pub(super) caller_try: CallerTry,
    /// Time that the request waited in this node.
    pub(super) waited: Duration,
}

impl Refusal {
    /// A refusal that a retry would not change.
    pub(super) fn permanent(reason: RefusalReason, status: RefusalStatus) -> Self {
        Self {
            reason,
            status,
            retry_after: None,
            caller_try: CallerTry::Unknown,
            waited: Duration::ZERO,
        }
    }
}

impl Gateway {
    /// Answers a request with a refusal and logs it.
    pub(super) fn refuse(&mut self, caller: CallerId, head: &RequestHead, refusal: Refusal) {
        let Refusal {
            reason,
            status,
            retry_after,
            caller_try,
            waited,
        } = refusal;
        let mut summary = RequestSummary::unstarted(
            head.id.clone().unwrap_or_default(),
            head.fingerprint,
            String::new(),
            self.routes.version,
            self.registry.revision().unwrap_or_default(),
            reason,
        );
        summary.duration = waited;
        let summary = summary.with_retry(caller_try, retry_after);
        self.actions.push_back(GatewayAction::Finished(summary));
        let answer = GatewayAnswer::Refused {
            reason,
            status,
            retry_after,
        };
        self.actions
            .push_back(GatewayAction::Answer { caller, answer });
    }
}
