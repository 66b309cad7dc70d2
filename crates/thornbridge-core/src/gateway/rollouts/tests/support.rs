//! Reports, conductors and times for the tests.

use crate::gateway::parameters::RolloutParameters;
use crate::gateway::rollouts::conductor::{Conductor, Permits, Timing};
use crate::time::Timestamp;
use std::net::SocketAddr;
use std::time::Duration;
use thornbridge_proto::peer::rollout::{Outcomes, RolloutId, RolloutReport, RouteReport};
use thornbridge_proto::{BackEndId, ServerVersion, ServiceName};

pub(super) const ORDERED_AT: Timestamp = Timestamp::from_epoch(Duration::from_secs(100));
pub(super) const PERIOD: Duration = Duration::from_secs(12);
pub(super) const ROUTE: &str = "lookup";
pub(super) const OTHER_ROUTE: &str = "sweep";

pub(super) fn at_ms(since_order_ms: u64) -> Timestamp {
    ORDERED_AT + Duration::from_millis(since_order_ms)
}

pub(super) fn node(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (number / 250) as u8, (number % 250) as u8], 7))
}

pub(super) fn order() -> RolloutId {
    RolloutId {
        service: ServiceName::new("members"),
        target: ServerVersion::new("v2"),
        created: 7,
    }
}

pub(super) fn instances(count: usize) -> Vec<BackEndId> {
    (0..count)
        .map(|idx| BackEndId::new(format!("new-{idx}")))
        .collect()
}

/// Conductor with three servers to sample and without the slack.
pub(super) fn new_conductor() -> Conductor {
    let timing = Timing {
        ordered_at: ORDERED_AT,
        period: PERIOD,
    };
    let mut conductor = Conductor::new(RolloutParameters::default(), timing);
    conductor.set_instances(instances(3));
    conductor
}

pub(super) fn outcomes(good: u32, bad: u32) -> Outcomes {
    Outcomes { good, bad }
}

pub(super) fn requests(route: &str, requests: u32) -> RouteReport {
    RouteReport {
        route: route.to_owned(),
        requests,
        ..RouteReport::default()
    }
}

pub(super) fn answers(route: &str, trial: Outcomes, stable: Outcomes) -> RouteReport {
    RouteReport {
        route: route.to_owned(),
        trial,
        stable,
        ..RouteReport::default()
    }
}

pub(super) fn report(routes: Vec<RouteReport>) -> RolloutReport {
    RolloutReport {
        order: order(),
        routes,
    }
}

pub(super) fn permits_in(permits: &Permits) -> u32 {
    permits.by_route.iter().map(|(_, count)| count).sum()
}

pub(super) fn permits_of(permits: &Permits, route: &str) -> u32 {
    let of_route = permits.by_route.iter().filter(|(name, _)| name == route);
    of_route.map(|(_, count)| count).sum()
}
