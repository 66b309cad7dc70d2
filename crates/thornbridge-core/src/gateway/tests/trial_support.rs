//! Harness for roll-outs: a service with servers of two versions.

use super::support::{Harness, RECORD, answer, configuration, instance, millis, route, service};
use crate::driver_action::CallerId;
use crate::gateway::budget::ServiceKey;
use crate::gateway::servers::VersionRoles;
use crate::gateway::{GatewayEvent, ViewKind, ViewObject};
use std::collections::BTreeSet;
use std::time::Duration;
use thornbridge_config::routes::{Repeatability, Route, RouteTarget};
use thornbridge_proto::peer::rollout::{RouteReport, companions_of, route_of_companions};
use thornbridge_proto::peer::view::{InstanceState, StoreRevision};
use thornbridge_proto::{BackEndId, ServerVersion, ServiceName};

/// Service that moves from version [`OLD`] to [`NEW`].
pub const SERVICE: &str = "s";
pub const OLD: &str = "v1";
pub const NEW: &str = "v2";
/// Prefix and name of the route.
pub const ROUTE: &str = "/";
/// Time for which permits are valid.
pub const VALID: Duration = Duration::from_secs(1);

/// Entry of a ready server whose id begins with `old` or `new`, after its version.
pub fn server(id: &str) -> ViewObject {
    let mut instance = instance(id, SERVICE, InstanceState::Ready);
    let version = if id.starts_with("old") { OLD } else { NEW };
    instance.version = ServerVersion::new(version);
    ViewObject::Instance(StoreRevision::without_era(10), instance)
}

/// Roles during a roll-out.
pub fn on_trial() -> VersionRoles {
    VersionRoles {
        established: Some(ServerVersion::new(OLD)),
        trial: Some(ServerVersion::new(NEW)),
        ..VersionRoles::default()
    }
}

/// Roles if nobody ordered the new version.
pub fn held() -> VersionRoles {
    VersionRoles {
        established: Some(ServerVersion::new(OLD)),
        ..VersionRoles::default()
    }
}

/// Roles after the new version took over.
pub fn complete() -> VersionRoles {
    VersionRoles {
        established: Some(ServerVersion::new(NEW)),
        ..VersionRoles::default()
    }
}

/// Roles after the new version was rolled back.
pub fn rolled_back() -> VersionRoles {
    VersionRoles {
        rejected: Some(ServerVersion::new(NEW)),
        ..held()
    }
}

pub fn plain_route() -> Route {
    route(ROUTE, service(SERVICE), Repeatability::Repeatable)
}

/// Gateway that keeps the versions of servers, while tests set their roles.
pub fn keeping_versions() -> Harness {
    let mut harness = Harness::unconfigured();
    harness.gateway.parameters.rollouts.enabled = true;
    harness
}

/// Gateway with these roles and servers.
pub fn serving(roles: VersionRoles, servers: &[&str]) -> Harness {
    serving_route(plain_route(), roles, servers)
}

pub fn serving_route(route: Route, roles: VersionRoles, servers: &[&str]) -> Harness {
    let mut harness = keeping_versions();
    load(&mut harness, route, roles, servers);
    harness.advance(millis(5_000));
    harness
}

/// Gateway that has no connection yet and holds those that it opens.
pub fn holding_connects(roles: VersionRoles, servers: &[&str]) -> Harness {
    let mut harness = keeping_versions();
    harness.hold_connects();
    load(&mut harness, plain_route(), roles, servers);
    harness
}

fn load(harness: &mut Harness, route: Route, roles: VersionRoles, servers: &[&str]) {
    let servers = servers.iter().map(|id| server(id));
    harness.list_reply(ViewKind::Registry, servers.collect(), 50);
    let is_trial = roles.trial.is_some();
    set_roles(harness, roles);
    let object = ViewObject::Configuration(configuration(1, vec![route]));
    harness.list_reply(ViewKind::Configuration, vec![object], 50);
    if is_trial {
        let service = service_key(harness);
        harness.gateway.trials.begin(service);
    }
}

/// Trial of the first of two versions, with one server each.
pub fn trial() -> Harness {
    serving(on_trial(), &["old-1", "new-1"])
}

/// Gather over the service alone.
pub fn gather_route() -> Route {
    let target: RouteTarget = super::support::gather(&[SERVICE], 1.0);
    route("/search/", target, Repeatability::Repeatable)
}

pub fn service_key(harness: &mut Harness) -> ServiceKey {
    let name = ServiceName::new(SERVICE);
    harness.gateway.servers.service_key(&name)
}

pub fn set_roles(harness: &mut Harness, roles: VersionRoles) {
    let service = service_key(harness);
    harness.gateway.servers.set_version_roles(service, roles);
    harness.gateway.version_roles_changed(&[service]);
    // Executes the actions.
    harness.event(GatewayEvent::AnswerDelayed {
        delay: Duration::ZERO,
    });
}

pub fn grant(harness: &mut Harness, permits: u32) {
    grant_for(harness, ROUTE, permits, None);
}

/// Grants permits of a route for a server of the version on trial.
pub fn grant_for(harness: &mut Harness, route: &str, permits: u32, instance: Option<&str>) {
    let service = service_key(harness);
    let by_route = [(route.to_owned(), permits)];
    let instance = instance.map(BackEndId::new);
    let now = harness.now;
    let trials = &mut harness.gateway.trials;
    trials.grant(now, service, &by_route, VALID, instance);
}

/// Counts since the last report, of the only route.
pub fn report(harness: &mut Harness) -> RouteReport {
    let [route, companions] = reports(harness);
    assert_eq!(companions.trial.total(), 0, "{companions:?}");
    assert_eq!(companions.returned, 0, "{companions:?}");
    route
}

/// Counts since the last report, of the only route and of its companions.
pub fn reports(harness: &mut Harness) -> [RouteReport; 2] {
    let service = service_key(harness);
    let now = harness.now;
    let routes = harness.gateway.trials.take_report(now, service);
    let routes = routes.unwrap_or_default().into_iter();
    let is_companions = |report: &RouteReport| route_of_companions(&report.route).is_some();
    let (companions, routes): (Vec<_>, Vec<_>) = routes.partition(is_companions);
    [routes, companions].map(|mut reports| {
        assert!(reports.len() <= 1, "{reports:?}");
        reports.pop().unwrap_or_default()
    })
}

/// Grants permits for companions of requests of the route.
pub fn grant_companions(harness: &mut Harness, permits: u32) {
    grant_for(harness, &companions_of(ROUTE), permits, None);
}

/// Servers that a request was sent to, in order.
pub fn servers_of(harness: &Harness, caller: CallerId) -> Vec<String> {
    let sent = harness.sent_for(caller).into_iter();
    sent.map(|sent| sent.instance).collect()
}

/// Sends a request and answers its attempts; returns the servers that it was sent to.
pub fn answered_request(harness: &mut Harness) -> Vec<String> {
    let caller = harness.send_request("/x");
    for sent in harness.sent_for(caller) {
        harness.reply(sent.attempt, answer(RECORD));
    }
    servers_of(harness, caller)
}

/// Servers that get the next twenty requests.
pub fn servers_used(harness: &mut Harness) -> BTreeSet<String> {
    (0..20).flat_map(|_| answered_request(harness)).collect()
}

pub fn names(names: &[&str]) -> BTreeSet<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}
