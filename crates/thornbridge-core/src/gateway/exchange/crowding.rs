//! Room for a request when as many are in flight as a node takes.
//!
//! The request of a caller that is late for the longest gives way: a late answer has lost most of its
//! worth, and requests that are never answered must not keep all others out until their deadlines.

use super::request::Origin;
use super::{Context, Exchanges, answering};
use crate::gateway::action::{GatewayAction, RefusalReason};
use thornbridge_proto::peer::slice::SliceStop;

impl Exchanges {
    /// Whether a request may start; gives up a late one if that is needed.
    pub(super) fn make_room(&mut self, context: &mut Context<'_>) -> bool {
        if self.requests.len() < self.parameters.requests_maximum {
            return true;
        }
        let late = self.requests.values().filter(|request| {
            matches!(request.origin, Origin::Caller) && request.soft_deadline < context.now
        });
        let latest = late.min_by_key(|request| request.soft_deadline);
        let Some(caller) = latest.map(|request| request.caller) else {
            return false;
        };
        let cancel_at = context.now + self.parameters.gone_grace;
        let Some(mut request) = self.remove_request(context, caller, cancel_at) else {
            return false;
        };
        let reason = RefusalReason::Overloaded;
        let retry_after = self.parameters.retry_after;
        let answer = answering::answer_given_up(&request, reason, retry_after);
        let outcome = answering::outcome(&answer);
        let retry_after = answering::retry_after(&answer);
        context
            .actions
            .push_back(GatewayAction::Answer { caller, answer });
        self.stop_slices(context, &mut request, SliceStop::CallerGone);
        self.log_outcome(context, &request, outcome, retry_after);
        true
    }
}
