//! What the query and the action engine share.

use crate::context::Context;
use crate::limits::{Limits, Release, RequestOutcome};
use crate::routing::Router;
use thornbridge_proto::ServiceName;

/// The router, the limits, and what the limits release; borrowed for one event.
pub struct Resources<'a> {
    /// Chooses back ends and owns the connections.
    pub router: &'a mut Router,
    /// Admission and budgets.
    pub limits: &'a mut Limits,
    /// Requests whose turn or end came while an engine worked. [`crate::Node`] hands them on.
    pub released: &'a mut Release,
}

impl Resources<'_> {
    /// A request that ran has ended; others may run now.
    pub fn request_finished(
        &mut self,
        context: &Context<'_>,
        service: &ServiceName,
        outcome: RequestOutcome,
    ) {
        let release = self.limits.request_finished(context, service, outcome);
        self.released.extend(release);
    }
}
