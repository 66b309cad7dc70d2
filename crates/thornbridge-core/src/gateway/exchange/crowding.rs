//! Room for a request when as many are in flight as a node takes.
//!
//! The request of a caller that is late for the longest gives way: a late answer has lost most of its
//! worth, and requests that are never answered must not keep all others out until their deadlines.

use super::request::Origin;
use super::{Context, Exchanges, answering};
use crate::driver_action::CallerId;
use crate::gateway::action::{GatewayAction, RefusalReason};
use crate::time::Timestamp;
use thornbridge_proto::peer::slice::SliceStop;

impl Exchanges {
    /// Whether there is room for a request, or a late one that can give way.
    pub(super) fn has_room(&self, now: Timestamp) -> bool {
        !self.is_full() || self.latest(now).is_some()
    }

    /// Gives up the latest request if there is no room for one that is about to start.
    pub(super) fn make_room(&mut self, context: &mut Context<'_>) {
        if !self.is_full() {
            return;
        }
        let Some(caller) = self.latest(context.now) else {
            return;
        };
        let cancel_at = context.now + self.parameters.gone_grace;
        let Some(mut request) = self.remove_request(context, caller, cancel_at) else {
            return;
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
    }

    fn is_full(&self) -> bool {
        self.requests.len() >= self.parameters.requests_maximum
    }

    /// The request of a caller that is late for the longest.
    fn latest(&self, now: Timestamp) -> Option<CallerId> {
        let late = self.requests.values().filter(|request| {
            matches!(request.origin, Origin::Caller) && request.soft_deadline < now
        });
        let latest = late.min_by_key(|request| request.soft_deadline);
        latest.map(|request| request.caller)
    }
}
