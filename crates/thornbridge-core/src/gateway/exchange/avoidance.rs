//! Failure costs of servers, and the log of those that are avoided.

use super::{Context, Exchanges};
use crate::gateway::action::GatewayAction;
use crate::gateway::servers::ServerKey;
use crate::gateway::telemetry::GatewayChange;
use std::time::Duration;

/// Failure cost from which a server is logged as avoided.
const AVOIDED_FAILURE_COST: Duration = Duration::from_millis(100);

impl Exchanges {
    /// Adds a failure cost to a server.
    pub(super) fn add_failure_cost(
        &mut self,
        context: &mut Context<'_>,
        key: ServerKey,
        cost: Duration,
        cause: &'static str,
    ) {
        let parameters = context.servers.parameters.clone();
        if let Some(server) = context.servers.get_mut(key) {
            server.add_failure_cost(&parameters, context.now, cost);
        }
        self.report_avoidance(context, key, cause);
    }

    /// Logs when a server starts or stops being avoided.
    pub(super) fn report_avoidance(
        &mut self,
        context: &mut Context<'_>,
        key: ServerKey,
        cause: &'static str,
    ) {
        let parameters = context.servers.parameters.clone();
        let Some(server) = context.servers.get_mut(key) else {
            return;
        };
        let avoided = server.failure_cost(&parameters, context.now) >= AVOIDED_FAILURE_COST;
        if avoided == server.avoided {
            return;
        }
        server.avoided = avoided;
        let change = GatewayChange::ServerAvoidance {
            id: server.id.clone(),
            avoided,
            cause,
        };
        context.actions.push_back(GatewayAction::Changed(change));
    }
}
