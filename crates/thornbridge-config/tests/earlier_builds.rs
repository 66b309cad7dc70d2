//! Route configurations that earlier builds sent, and that they read.

use serde::{Deserialize, Serialize};
use std::time::Duration;
use thornbridge_config::routes::{
    CallerLimits, Repeatability, Route, RouteConfiguration, RouteTarget, RouteVersion,
    RoutedService, WarmUp,
};
use thornbridge_proto::{RegionName, ServiceName};

#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct EarlierRoute {
    name: String,
    host: String,
    prefix: String,
    target: RouteTarget,
    repeatability: Repeatability,
    time_limit: Duration,
    latency_objective: Duration,
    priority: u8,
    attempts: u32,
}

#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct EarlierService {
    name: ServiceName,
    connections: u32,
}

#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct EarlierConfiguration {
    version: RouteVersion,
    routes: Vec<EarlierRoute>,
    services: Vec<EarlierService>,
    limits: CallerLimits,
}

fn earlier() -> EarlierConfiguration {
    EarlierConfiguration {
        version: RouteVersion(4),
        routes: vec![EarlierRoute {
            name: "orders".to_owned(),
            host: "host".to_owned(),
            prefix: "/orders/".to_owned(),
            target: RouteTarget::Service(ServiceName::new("orders")),
            repeatability: Repeatability::Repeatable,
            time_limit: Duration::from_millis(900),
            latency_objective: Duration::from_millis(100),
            priority: 1,
            attempts: 2,
        }],
        services: vec![EarlierService {
            name: ServiceName::new("orders"),
            connections: 40,
        }],
        limits: CallerLimits::default(),
    }
}

fn without_rules() -> RouteConfiguration {
    RouteConfiguration {
        version: RouteVersion(4),
        routes: vec![Route {
            name: "orders".to_owned(),
            host: "host".to_owned(),
            prefix: "/orders/".to_owned(),
            target: RouteTarget::Service(ServiceName::new("orders")),
            repeatability: Repeatability::Repeatable,
            time_limit: Duration::from_millis(900),
            latency_objective: Duration::from_millis(100),
            priority: 1,
            attempts: 2,
            home_regions: Vec::new(),
        }],
        services: vec![RoutedService {
            name: ServiceName::new("orders"),
            connections: 40,
            warm_up: None,
        }],
        limits: CallerLimits::default(),
    }
}

#[test]
fn configuration_without_rules_of_places_has_the_bytes_of_earlier_builds() {
    let bytes = rmp_serde::to_vec(&without_rules()).unwrap();
    assert_eq!(bytes, rmp_serde::to_vec(&earlier()).unwrap());
}

#[test]
fn bytes_of_earlier_builds_are_decoded() {
    let bytes = rmp_serde::to_vec(&earlier()).unwrap();
    let decoded: RouteConfiguration = rmp_serde::from_slice(&bytes).unwrap();
    assert_eq!(decoded, without_rules());
}

#[test]
fn rules_of_places_survive_the_way_to_a_peer() {
    let mut configuration = without_rules();
    configuration.routes[0].home_regions = vec![RegionName::new("south")];
    configuration.services[0].warm_up = Some(WarmUp {
        duration: Duration::from_secs(4),
        requests_per_s: 6.5,
    });
    let bytes = rmp_serde::to_vec(&configuration).unwrap();
    let decoded: RouteConfiguration = rmp_serde::from_slice(&bytes).unwrap();
    assert_eq!(decoded, configuration);
}

#[test]
fn rate_that_is_no_number_above_zero_is_a_problem() {
    let mut configuration = without_rules();
    configuration.services[0].warm_up = Some(WarmUp {
        duration: Duration::from_secs(4),
        requests_per_s: f64::NAN,
    });
    let problems = configuration.problems();
    assert_eq!(problems.len(), 1);
    assert_eq!(problems[0].subject, "service orders");
}
