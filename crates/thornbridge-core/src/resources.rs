//! Resources shared by the query and action engines.

use crate::context::Context;
use crate::limits::{Limits, Release, RequestOutcome};
use crate::routing::Router;
use thornbridge_proto::ServiceName;

/// Router, limits and released requests, borrowed for one event.
pub struct Resources<'a> {
    /// Load balancing and connections.
    pub router: &'a mut Router,
    /// Admission control and budgets of extra load.
    pub limits: &'a mut Limits,
    /// Queued requests to run or refuse. [`crate::Node`] passes them to their engines.
    pub released: &'a mut Release,
}

impl Resources<'_> {
    /// Reports the end of an admitted request, which may release queued requests.
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
